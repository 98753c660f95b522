package main

import (
	"testing"

	"larchusher/lab/golden"
)

// Other versions read the state that a process hands over at a hot restart, and scripts read the output of the state
// sub-commands, so their encoded forms must not change. Version 1a818d3 wrote the golden files.
func TestEncodedFormsAreCompatible(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/handed-state.json", &handedState{})
	golden.JSON(t, "testdata/1a818d3/state-show.json", &fileState{})
}

func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.Tagged(t, handedState{})
	golden.Tagged(t, fileState{})
}
