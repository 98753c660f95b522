package replication

import (
	"testing"

	"larchusher/lab/golden"
)

// Values in common slots are read by gateways of other versions. The files were written by 1a818d3.
func TestEncodedFormsAreThoseOf1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/place.json", &Place{})
	golden.JSON(t, "testdata/1a818d3/evidence.json", &Evidence{})
	golden.JSON(t, "testdata/1a818d3/notice.json", &Notice{})
	golden.JSON(t, "testdata/1a818d3/row.json", &Row{})
	golden.JSON(t, "testdata/1a818d3/difference.json", &Difference{})
}

func TestEncodedTypesNameTheirFields(t *testing.T) {
	golden.Tagged(t, Place{})
	golden.Tagged(t, Evidence{})
	golden.Tagged(t, Notice{})
	golden.Tagged(t, Row{})
	golden.Tagged(t, Difference{})
}
