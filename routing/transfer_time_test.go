package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Without known sizes, an object whose answers always take long counts as large, not as late.
func TestLargeObjectsOfUnknownSizeAreNotLate(t *testing.T) {
	r := newHarness(t, nil)
	r.sizeKB = 0
	for range 40 {
		id, a := r.send("film", "large")
		if a == nil {
			t.Fatal("request rejected")
		}
		r.advance(900 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 900 * ms})
	}
	for _, s := range r.d.endpoints { // only the first answer may count as late, because the object is not yet known to be large
		if s.concurrencyLimit.LastCut > time.Hour+900*ms {
			t.Errorf("%s: limit %+v was cut by an answer after the first", s.id, s.concurrencyLimit)
		}
	}
}

// Where only answers state sizes, a large answer is not late if it took the transfer time of its
// size, whatever the mean of its class. Guards against gateways with a few requests per second that
// cut their limits for each large answer and rejected requests.
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
			for i := range 10 { // transfer time 0.75 s; the objective is 0.6 s plus 1.6 times that
				serveOne(fmt.Sprint("large", i), largeLatency, 3000)
			}
			cut := slices.ContainsFunc(r.d.upEndpoints[roleCache], func(s *endpoint) bool { return !math.IsInf(s.concurrencyLimit.Max, 1) })
			if cut != (name == "late") {
				t.Errorf("limits cut: %v, want the opposite", cut)
			}
			if got := r.d.classes["film"].meanTransferTime; got < 30*ms || got > 200*ms { // the mean over all answers is 129 ms
				t.Errorf("mean transfer time of the class is %v, want 30 to 200 ms", got)
			}
		})
	}
}
