// Package snapshotpb is the schema of the records of a snapshot's file.
package snapshotpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative snapshot.proto"
