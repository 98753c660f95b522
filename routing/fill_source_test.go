package routing

import (
	"fmt"
	"testing"
	"time"
)

// Directors near different hubs must not choose different parents for a small difference in
// latency.
func TestSecondParentChosenOnlyIfMuchFaster(t *testing.T) {
	r := newHarness(t, nil)
	key := mix(hash("f"))
	parents := r.d.preferenceOrder(key, r.d.upEndpoints[roleParent])
	for _, c := range []struct {
		first, second time.Duration
		want          *endpoint
	}{{100 * ms, 60 * ms, parents[0]}, {100 * ms, 40 * ms, parents[1]}, {40 * ms, 100 * ms, parents[0]}} {
		parents[0].fillLatency, parents[1].fillLatency = c.first, c.second
		parents[0].fillLatencyAt, parents[1].fillLatencyAt = r.now, r.now
		if _, a := r.send("film", "f"); a.FillSource != c.want.id {
			t.Errorf("fill latencies %v and %v: fill source %s, want %s", c.first, c.second, a.FillSource, c.want.id)
		}
	}
}

// Without answer detail, a hit is no success of the fill source that was named for a miss. Guards
// against a dead source, which fails every fill, staying in use: it is ejected, and for longer each
// time.
func TestHitsDoNotCountAsFillSourceSuccesses(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	listed := r.serve("film", "a", ReasonNone)
	failingSource := listed.FillSource
	for n := range 200 {
		for range 3 {
			if id, a := r.advance(10*ms).send("film", "a"); a != nil {
				r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 10 * ms})
			}
		}
		if id, a := r.send("film", fmt.Sprint("new", n)); a != nil && a.FillSource == failingSource {
			r.advance(830 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Rejected, Latency: 830 * ms})
		}
	}
	if s := r.d.endpoints[failingSource]; s.ejectionDuration < 4*time.Second {
		t.Errorf("a source that failed all fills was last ejected for %v, want at least 4s", s.ejectionDuration)
	}
}
