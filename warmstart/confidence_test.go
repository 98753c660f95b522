package warmstart

import (
	"testing"
	"time"

	"larchusher/routing"
)

// Confidence never increases with age and is 0 after a day. State that attracts requests decays faster than state that
// keeps requests away.
func TestConfidenceDecaysWithAge(t *testing.T) {
	last := ConfidenceAt(0)
	if last != (routing.Confidence{Listing: 1, Failure: 1, Limit: 1, FillLatency: 1}) {
		t.Errorf("at age 0: %+v, want 1 in every field", last)
	}
	for age := time.Second; age < 26*time.Hour; age += age / 7 {
		w := ConfidenceAt(age)
		if w.Listing > last.Listing || w.Failure > last.Failure || w.Limit > last.Limit || w.FillLatency > last.FillLatency {
			t.Errorf("at age %v: %+v, higher than %+v before", age, w, last)
		}
		if w.Listing > w.Failure || w.FillLatency > w.Limit {
			t.Errorf("at age %v: %+v: confidence in listings or fill latencies exceeds that in failures or limits", age, w)
		}
		last = w
	}
	if last != (routing.Confidence{}) || ConfidenceAt(-time.Minute) != (routing.Confidence{}) {
		t.Errorf("after a day: %+v, dated a minute in the future: %+v, want 0 for both", last, ConfidenceAt(-time.Minute))
	}
}
