// Package linkpb is the schema of what gateways of an installation send each other.
package linkpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative link.proto
