package hotrestart

import (
	"testing"

	"larchusher/lab/golden"
)

// What goes from one process to the next at an upgrade. The file was written by 1a818d3.
func TestEncodedFormsAreThoseOf1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/packet.json", &packet{})
}

func TestEncodedTypesNameTheirFields(t *testing.T) {
	golden.Tagged(t, packet{})
}
