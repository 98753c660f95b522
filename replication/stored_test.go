package replication

import (
	"testing"

	"larchusher/lab/golden"
)

// Values of replicated slots, and replies to tools, are read by other versions. Their encoding must stay as in the
// golden files, which commit 1a818d3 wrote.
func TestEncodingMatchesGoldenFiles(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/place.json", &ListingValue{})
	golden.JSON(t, "testdata/1a818d3/evidence.json", &HealthValue{})
	golden.JSON(t, "testdata/1a818d3/notice.json", &DrainValue{})
	golden.JSON(t, "testdata/1a818d3/row.json", &Row{})
	golden.JSON(t, "testdata/1a818d3/difference.json", &Divergence{})
}

// Every encoded field has a tag, so that renaming the field does not change the encoding.
func TestEncodedFieldsAreTagged(t *testing.T) {
	golden.Tagged(t, ListingValue{})
	golden.Tagged(t, HealthValue{})
	golden.Tagged(t, DrainValue{})
	golden.Tagged(t, Row{})
	golden.Tagged(t, Divergence{})
}
