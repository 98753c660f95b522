// Package snapshotpb has the protobuf messages of the records in a snapshot's file.
package snapshotpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative snapshot.proto"
