// Package scenepb is the schema of scenes of several zones.
package scenepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative scene.proto
