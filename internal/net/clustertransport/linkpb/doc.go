// Package linkpb has the protobuf messages that gateways of a cluster, and operators' tools, send each other.
package linkpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative link.proto"
