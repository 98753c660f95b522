package hotrestart

import (
	"testing"

	"larchusher/lab/golden"
)

// Packets go from one process to the next at an upgrade, which may be of another version. The golden file was written by version
// 1a818d3.
func TestJSONMatchesVersion1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/packet.json", &packet{})
}

func TestJSONFieldsHaveTags(t *testing.T) {
	golden.Tagged(t, packet{})
}
