package routing

import (
	"fmt"
	"testing"
	"time"
)

// Directors near different hubs must not take different parents for a small difference in distance.
func TestFirstParentUnlessTheSecondIsMuchQuicker(t *testing.T) {
	r := newRig(t, nil)
	key := mix(hash("f"))
	pair := r.d.preferenceOrder(key, r.d.upEndpoints[roleParent])
	for _, c := range []struct {
		first, second time.Duration
		want          *endpoint
	}{{100 * ms, 60 * ms, pair[0]}, {100 * ms, 40 * ms, pair[1]}, {40 * ms, 100 * ms, pair[0]}} {
		pair[0].fillLatency, pair[1].fillLatency = c.first, c.second
		pair[0].fillLatencyAt, pair[1].fillLatencyAt = r.now, r.now
		if _, a := r.ask("film", "f"); a.FillSource != c.want.id {
			t.Errorf("%v and %v: source %s, want %s", c.first, c.second, a.FillSource, c.want.id)
		}
	}
}

// Where nothing is told, what a cache serves of what it has is no credit to the source that was named for a miss: a dead one
// that fails every fill is left, and for longer each time.
func TestHitsAreNoCreditToTheSource(t *testing.T) {
	r := newRig(t, untold)
	listed := r.serve("film", "a", ReasonNone)
	dead := listed.FillSource
	for n := range 200 {
		for range 3 {
			if id, a := r.after(10*ms).ask("film", "a"); a != nil {
				r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 10 * ms})
			}
		}
		if id, a := r.ask("film", fmt.Sprint("new", n)); a != nil && a.FillSource == dead {
			r.after(830 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Rejected, Latency: 830 * ms})
		}
	}
	if s := r.d.endpoints[dead]; s.ejectionDuration < 4*time.Second {
		t.Errorf("a source that failed all fills was last ejected for %v", s.ejectionDuration)
	}
}
