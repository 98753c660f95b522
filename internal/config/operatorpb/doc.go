// Package operatorpb contains the types generated from operator.proto, the schema of the operator's file.
package operatorpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative operator.proto"
