package discovery

import (
	"testing"

	"larchusher/lab/golden"
)

// The list of stores that goes to the next process at an upgrade. The file was written by 1a818d3.
func TestEncodedFormsAreThoseOf1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/known.json", &InitialState{})
}

func TestEncodedTypesNameTheirFields(t *testing.T) {
	golden.Tagged(t, InitialState{})
}
