// Package scenepb is the schema of scenes of several zones.
package scenepb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative scene.proto"
