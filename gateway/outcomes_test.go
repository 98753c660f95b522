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

// randomTraffic does at random what clients, endpoints and operators do.
type randomTraffic struct {
	t    *testing.T
	rng  *rand.Rand
	open []*gateway.Request
	sent []*gateway.Attempt
}

// step does one thing; a request that it submits has the id.
func (r *randomTraffic) step(h *testGateway, id string) {
	switch choice := r.rng.IntN(10); {
	case choice < 4:
		request := &gateway.Request{ID: id, Class: []string{"page", "order"}[r.rng.IntN(2)], Object: fmt.Sprint(r.rng.IntN(20)),
			Deadline: time.Now().Add(time.Duration(r.rng.IntN(2000)) * time.Millisecond), Answer: func(gateway.Answer) {}}
		h.g.Submit(request)
		r.open = append(r.open, request)
	case choice < 6 && len(r.open) > 0:
		h.g.Abandon(r.open[r.rng.IntN(len(r.open))]) // it may have been answered
	case choice < 9 && len(r.sent) > 0:
		h.g.AttemptEnded(r.sent[r.rng.IntN(len(r.sent))], gateway.Result{Status: routing.Status(r.rng.IntN(9))})
	case choice == 9 && r.rng.IntN(10) == 0:
		classes := []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, Effect: routing.Effect(r.rng.IntN(3))},
			{Name: "order", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 3}}
		if err := h.g.ReconfigureClasses(classes[:1+r.rng.IntN(2)], 1+r.rng.IntN(5)); err != nil {
			r.t.Error(err)
		}
	}
}

// What was answered, by class, and what is open add up to what was taken at every moment: whatever crosses what, answers of
// stores, clients that leave, deadlines, new classes and the end of the program.
func TestOutcomesAddUpToSubmittedRequests(t *testing.T) {
	var clientsGone, served uint64
	for seed := range uint64(20) {
		h, rng := newTestGateway(t, overload.Config{}), rand.New(rand.NewPCG(seed, 1))
		traffic := &randomTraffic{t: t, rng: rng}
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
			h.onLoop(func() {
				traffic.step(h, fmt.Sprint(seed, step))
				check(step)
			})
			for len(h.sent) > 0 {
				traffic.sent = append(traffic.sent, <-h.sent)
			}
		}
		h.onLoop(func() {
			h.g.Close()
			check(-1)
			clientsGone += h.g.Counters.ClientsGone
			for _, o := range h.g.OutcomesByClass() {
				served += o.Served
			}
		})
	}
	if clientsGone == 0 || served == 0 {
		t.Errorf("%d left and %d were served: this shows nothing", clientsGone, served)
	}
}
