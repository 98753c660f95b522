package locality

import (
	"testing"
	"time"
)

// Only an idempotent request is rerouted, once, and only with attempts and half of its latency
// objective left.
func TestWhichRejectedRequestsAreRerouted(t *testing.T) {
	reroutable := Rejection{Idempotent: true, Attempts: 1, MaxAttempts: 8, Elapsed: 100 * ms, Remaining: 2 * time.Second, LatencyObjective: time.Second}
	for name, c := range map[string]struct {
		change func(*Rejection)
		want   bool
	}{"a reroutable request": {func(*Rejection) {}, true}, "not idempotent": {func(r *Rejection) { r.Idempotent = false }, false}, "rerouted before": {func(r *Rejection) { r.Rerouted = true }, false},
		"no attempts left": {func(r *Rejection) { r.Attempts = 8 }, false}, "any number of attempts": {func(r *Rejection) { r.Attempts, r.MaxAttempts = 80, 0 }, true},
		"half of the objective used up": {func(r *Rejection) { r.Elapsed = 500 * ms }, false}, "deadline too close": {func(r *Rejection) { r.Remaining = 400 * ms }, false}} {
		sim := newSimulation(t, testConfig(), healthy)
		sim.run(time.Second, 500) // so that budgets for spillover build up
		r := reroutable
		c.change(&r)
		if locality, ok := sim.HandleRejection(sim.now, r); ok != c.want || ok && locality == 0 {
			t.Errorf("%s: rerouted to locality %d, ok %v, want the other value of ok, or a locality other than the own one", name, locality, ok)
		}
	}
}

func BenchmarkPickAndFinish(b *testing.B) {
	selector := newSelector(b, testConfig())
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		if i%100 == 0 {
			selector.Tick(now)
		}
		if locality, _, ok := selector.Pick(now, i%3, hash(uint64(i)), uint64(i)); ok {
			selector.AttemptStarted(now, locality)
			selector.AttemptFinished(now, locality, ResultSuccess, true, true, 0.5)
		}
	}
}
