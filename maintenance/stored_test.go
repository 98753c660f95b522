package maintenance

import (
	"testing"

	"larchusher/lab/golden"
)

// What gateways have agreed on, and what tools are told, is read by other versions. The files were written by 1a818d3.
func TestEncodedFormsAreThoseOf1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/state.json", &State{})
	golden.JSON(t, "testdata/1a818d3/command.json", &Command{})
	golden.JSON(t, "testdata/1a818d3/reply.json", &Reply{})
	golden.JSON(t, "testdata/1a818d3/verdict.json", &PlanEntry{})
}

func TestEncodedTypesNameTheirFields(t *testing.T) {
	golden.Tagged(t, State{})
	golden.Tagged(t, Command{})
	golden.Tagged(t, Reply{})
	golden.Tagged(t, PlanEntry{})
}
