package discovery

import (
	"testing"

	"larchusher/lab/golden"
)

// The endpoint list that is handed to the successor process in a hot restart: the file written by version 1a818d3
// must still be read and written the same.
func TestInitialStateMatchesFileOf1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/known.json", &InitialState{})
}

func TestInitialStateFieldsHaveJSONNames(t *testing.T) {
	golden.Tagged(t, InitialState{})
}
