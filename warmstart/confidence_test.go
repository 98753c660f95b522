package warmstart

import (
	"testing"
	"time"

	"larchusher/routing"
)

// What is a day old counts for nothing, what speaks for sending more ages faster than what speaks for sending less, and
// nothing grows with age.
func TestConfidenceFallsWithAge(t *testing.T) {
	last := ConfidenceAt(0)
	if last != (routing.Confidence{Listing: 1, Failure: 1, Limit: 1, FillLatency: 1}) {
		t.Errorf("fresh: %+v", last)
	}
	for age := time.Second; age < 26*time.Hour; age += age / 7 {
		w := ConfidenceAt(age)
		if w.Listing > last.Listing || w.Failure > last.Failure || w.Limit > last.Limit || w.FillLatency > last.FillLatency {
			t.Errorf("%v: %+v, and before %+v", age, w, last)
		}
		if w.Listing > w.Failure || w.FillLatency > w.Limit {
			t.Errorf("%v: %+v: what speaks for more counts for more", age, w)
		}
		last = w
	}
	if last != (routing.Confidence{}) || ConfidenceAt(-time.Minute) != (routing.Confidence{}) {
		t.Errorf("a day old: %+v, of the future: %+v", last, ConfidenceAt(-time.Minute))
	}
}
