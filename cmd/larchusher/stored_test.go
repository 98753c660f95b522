package main

import (
	"testing"

	"larchusher/lab/golden"
)

// What one process hands to the next at an upgrade, and what the state sub-commands print, is read by other versions and
// by scripts. The files were written by 1a818d3.
func TestEncodedFormsAreThoseOf1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/handed-state.json", &handedState{})
	golden.JSON(t, "testdata/1a818d3/state-show.json", &fileState{})
}

func TestEncodedTypesNameTheirFields(t *testing.T) {
	golden.Tagged(t, handedState{})
	golden.Tagged(t, fileState{})
}
