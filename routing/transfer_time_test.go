package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Where sizes aren't told, an object that always takes long is large, not late.
func TestLargeObjectsOfUnknownSizeAreNotLate(t *testing.T) {
	r := newHarness(t, nil)
	r.sizeKB = 0
	for range 40 {
		id, a := r.send("film", "large")
		if a == nil {
			t.Fatal("refused")
		}
		r.advance(900 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 900 * ms})
	}
	for _, s := range r.d.endpoints { // the first answer alone could not be known to be large
		if s.concurrencyLimit.LastCut > time.Hour+900*ms {
			t.Errorf("%s counts as late: %+v", s.id, s.concurrencyLimit)
		}
	}
}

// Sizes come with answers only: a large one that took as long as its bytes have to take isn't late, whatever its class's
// mean. Gateways of a fleet that see a few requests a second cut their limits for each such answer, and refused.
func TestAnswerSizeDecidesLateness(t *testing.T) {
	for name, largeLatency := range map[string]time.Duration{"in time": 950 * ms, "late": 1900 * ms} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, nil)
			r.sizeKB = 0
			serveOne := func(object string, latency time.Duration, kb float64) {
				id, a := r.send("film", object)
				if a == nil {
					return
				}
				r.advance(latency).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: latency, SizeKB: kb})
			}
			for i := range 60 {
				serveOne(fmt.Sprint("small", i), 25*ms, 100)
			}
			for i := range 10 { // 0.75 s of sending: the aim is 0.6 s and 1.6 times that
				serveOne(fmt.Sprint("large", i), largeLatency, 3000)
			}
			cut := slices.ContainsFunc(r.d.upEndpoints[roleCache], func(s *endpoint) bool { return !math.IsInf(s.concurrencyLimit.Max, 1) })
			if cut != (name == "late") {
				t.Errorf("limits cut: %v", cut)
			}
			if got := r.d.classes["film"].meanTransferTime; got < 30*ms || got > 200*ms { // the mean of all is 129 ms
				t.Errorf("mean sending time of the class %v", got)
			}
		})
	}
}
