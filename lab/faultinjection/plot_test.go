package faultinjection

import (
	"strings"
	"testing"
)

// A plot that a failed run prints must run again unchanged: its text form is parsed back without loss, and a
// seed always yields the same plot.
func TestPlotTextRoundTrip(t *testing.T) {
	for seed := range uint64(300) {
		p := Generate(seed)
		again, err := Parse(p.String())
		if err != nil {
			t.Fatalf("seed %d: text form does not parse: %v\n%s", seed, err, p)
		}
		if again.String() != p.String() {
			t.Fatalf("seed %d: want plot\n%s\ngot, after writing and parsing\n%s", seed, p, again)
		}
		if p.String() != Generate(seed).String() {
			t.Fatalf("seed %d: two calls of Generate returned different plots", seed)
		}
	}
}

// Parse names the line of a mistake; the events of an invalid plot must not run.
func TestParseErrorNamesLine(t *testing.T) {
	const head = "plot seed 1 gateways 3 boxes 4 for 8s\n"
	for text, want := range map[string]string{"": "empty", "hello": "line 1", "plot seed 1 gateways 0 boxes 4 for 8s": "line 1", head + "at 1s jump g0": "line 2",
		head + "at soon ask b0-0 g0": "line 2", head + "# a remark\nat 1s ask b0-0": "line 3", head + "ask": "line 2"} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q): error %v, want one about the line at fault", text, err)
		}
	}
}
