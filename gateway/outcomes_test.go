package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchusher/gateway"
	"larchusher/overload"
	"larchusher/routing"
)

// What was answered, by class, and what is open add up to what was taken at every moment: whatever crosses what, answers of
// stores, clients that leave, deadlines, new classes and the end of the program.
func TestOutcomesAddUpToWhatWasTaken(t *testing.T) {
	var left, served uint64
	for seed := range uint64(20) {
		h, rng := newHost(t, overload.Config{}), rand.New(rand.NewPCG(seed, 1))
		var open []*gateway.Request
		var out []*gateway.Attempt
		check := func(step int) {
			t.Helper()
			sum := uint64(h.g.OpenRequests())
			for _, o := range h.g.OutcomesByClass() {
				sum += o.Served + o.Rejected + o.Failed
			}
			if sum != h.g.Counters.Submitted {
				t.Errorf("seed %d, step %d: %d are told, %d were taken", seed, step, sum, h.g.Counters.Submitted)
			}
		}
		for step := range 400 {
			h.on(func() {
				switch k := rng.IntN(10); {
				case k < 4:
					r := &gateway.Request{ID: fmt.Sprint(seed, step), Class: []string{"page", "order"}[rng.IntN(2)], Object: fmt.Sprint(rng.IntN(20)),
						Deadline: time.Now().Add(time.Duration(rng.IntN(2000)) * time.Millisecond), Answer: func(gateway.Answer) {}}
					h.g.Submit(r)
					open = append(open, r)
				case k < 6 && len(open) > 0:
					h.g.Abandon(open[rng.IntN(len(open))]) // it may have been answered
				case k < 9 && len(out) > 0:
					h.g.AttemptEnded(out[rng.IntN(len(out))], gateway.Result{Status: routing.Status(rng.IntN(9))})
				case k == 9 && rng.IntN(10) == 0:
					classes := []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, Effect: routing.Effect(rng.IntN(3))},
						{Name: "order", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 3}}
					if err := h.g.ReconfigureClasses(classes[:1+rng.IntN(2)], 1+rng.IntN(5)); err != nil {
						t.Error(err)
					}
				}
				check(step)
			})
			for len(h.sent) > 0 {
				out = append(out, <-h.sent)
			}
		}
		h.on(func() {
			h.g.Close()
			check(-1)
			left += h.g.Counters.ClientsGone
			for _, o := range h.g.OutcomesByClass() {
				served += o.Served
			}
		})
	}
	if left == 0 || served == 0 {
		t.Errorf("%d left and %d were served: this shows nothing", left, served)
	}
}
