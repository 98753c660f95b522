package replication

import (
	"testing"

	"larchusher/lab/golden"
)

// Values in common slots are read by gateways of other versions. The files were written by 1a818d3.
func TestEncodingMatchesGoldenFiles(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/place.json", &ListingValue{})
	golden.JSON(t, "testdata/1a818d3/evidence.json", &HealthValue{})
	golden.JSON(t, "testdata/1a818d3/notice.json", &DrainValue{})
	golden.JSON(t, "testdata/1a818d3/row.json", &Row{})
	golden.JSON(t, "testdata/1a818d3/difference.json", &Divergence{})
}

func TestEncodedFieldsAreTagged(t *testing.T) {
	golden.Tagged(t, ListingValue{})
	golden.Tagged(t, HealthValue{})
	golden.Tagged(t, DrainValue{})
	golden.Tagged(t, Row{})
	golden.Tagged(t, Divergence{})
}
