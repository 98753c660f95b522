package locality

import (
	"testing"
	"time"
)

// Only an idempotent request is rerouted, once, with attempts and half of its latency objective left.
func TestWhatMayBeRerouted(t *testing.T) {
	good := Rejection{Idempotent: true, Attempts: 1, MaxAttempts: 8, Elapsed: 100 * ms, Remaining: 2 * time.Second, LatencyObjective: time.Second}
	for name, c := range map[string]struct {
		change func(*Rejection)
		want   bool
	}{"as it is": {func(*Rejection) {}, true}, "a write": {func(r *Rejection) { r.Idempotent = false }, false}, "rerouted before": {func(r *Rejection) { r.Rerouted = true }, false},
		"no attempts left": {func(r *Rejection) { r.Attempts = 8 }, false}, "any number of attempts": {func(r *Rejection) { r.Attempts, r.MaxAttempts = 80, 0 }, true},
		"late": {func(r *Rejection) { r.Elapsed = 500 * ms }, false}, "its client leaves": {func(r *Rejection) { r.Remaining = 400 * ms }, false}} {
		d := newDrive(t, config(), healthy)
		d.run(time.Second, 500) // so that something may spill over
		r := good
		c.change(&r)
		if where, ok := d.HandleRejection(d.now, r); ok != c.want || ok && where == 0 {
			t.Errorf("%s: %d, %v", name, where, ok)
		}
	}
}

func BenchmarkPickAndFinish(b *testing.B) {
	x := build(b, config())
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		if i%100 == 0 {
			x.Tick(now)
		}
		if where, _, ok := x.Pick(now, i%3, hash(uint64(i)), uint64(i)); ok {
			x.AttemptStarted(now, where)
			x.AttemptFinished(now, where, ResultSuccess, true, true, 0.5)
		}
	}
}
