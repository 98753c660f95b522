package maintenance

import (
	"testing"

	"larchusher/lab/golden"
)

// The replicated state, and the replies and plans sent to tools, are read by other versions. Their encoding must stay
// as in the golden files, which commit 1a818d3 wrote.
func TestEncodingMatchesGoldenFiles(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/state.json", &State{})
	golden.JSON(t, "testdata/1a818d3/command.json", &Command{})
	golden.JSON(t, "testdata/1a818d3/reply.json", &Reply{})
	golden.JSON(t, "testdata/1a818d3/verdict.json", &PlanEntry{})
}

// Every encoded field has a tag, so that renaming the field does not change the encoding.
func TestEncodedFieldsAreTagged(t *testing.T) {
	golden.Tagged(t, State{})
	golden.Tagged(t, Command{})
	golden.Tagged(t, Reply{})
	golden.Tagged(t, PlanEntry{})
}
