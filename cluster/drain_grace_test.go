package cluster

import (
	"testing"
	"time"

	"larchusher/maintenance"
)

// A reload that lengthened a deadline did not reach the time for which a drained machine is left: requests under it were cut off.
func TestALongerDeadlineExtendsTheDrainGrace(t *testing.T) {
	n := nonVoter(t, false, nil)
	state := &maintenance.State{Requests: []*maintenance.Request{{ID: 1, Machine: "m1", Stage: maintenance.Draining, GrantEpoch: 1}}}
	expired := func(at time.Duration) bool {
		n.now = at
		return n.measureStages(state)[0].LeasesExpired
	}
	if expired(second) || !expired(10*second) {
		t.Fatal("a lease of 2 s does not expire as it should")
	}
	n.ExtendDrainGrace(20 * second)
	n.ExtendDrainGrace(second) // a shorter one may not take that back
	if expired(20*second) || !expired(30*second) {
		t.Errorf("with a grace of 20 s leases have expired after 19 s: %v, after 29 s: %v", expired(20*second), expired(30*second))
	}
}
