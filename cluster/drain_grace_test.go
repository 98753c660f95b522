package cluster

import (
	"testing"
	"time"

	"larchusher/maintenance"
)

// Guards against a reload with a longer class deadline that does not extend the drain grace: machines went out of service while
// requests under the new deadline were in flight, and these were cut off.
func TestLongerDeadlineExtendsDrainGrace(t *testing.T) {
	n := nonVoter(t, false, nil)
	state := &maintenance.State{Requests: []*maintenance.Request{{ID: 1, Machine: "m1", Stage: maintenance.Draining, GrantEpoch: 1}}}
	expired := func(at time.Duration) bool {
		n.now = at
		return n.measureStages(state)[0].LeasesExpired
	}
	if expired(second) || !expired(10*second) {
		t.Fatal("a lease of 2 s expires within 1 s, or is not expired after 10 s")
	}
	n.ExtendDrainGrace(20 * second)
	n.ExtendDrainGrace(second) // a shorter one must not reduce it
	if expired(20*second) || !expired(30*second) {
		t.Errorf("with a drain grace of 20 s, leases expired after 19 s: %v, want false; after 29 s: %v, want true", expired(20*second), expired(30*second))
	}
}
