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

// randomTraffic performs random actions of clients, endpoints and operators on a gateway.
type randomTraffic struct {
	t    *testing.T
	rng  *rand.Rand
	open []*gateway.Request
	sent []*gateway.Attempt
}

// step performs one random action. id is that of the request that it may submit.
func (r *randomTraffic) step(h *testGateway, id string) {
	switch choice := r.rng.IntN(10); {
	case choice < 4:
		request := &gateway.Request{ID: id, Class: []string{"page", "order"}[r.rng.IntN(2)], Object: fmt.Sprint(r.rng.IntN(20)),
			Deadline: time.Now().Add(time.Duration(r.rng.IntN(2000)) * time.Millisecond), Answer: func(gateway.Answer) {}}
		h.g.Submit(request)
		r.open = append(r.open, request)
	case choice < 6 && len(r.open) > 0:
		h.g.Abandon(r.open[r.rng.IntN(len(r.open))]) // may have been answered already
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

// At every moment the outcomes by class and the open requests add up to the submitted requests,
// however results of endpoints, clients that leave, deadlines, changes of classes and the end of
// the program interleave.
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
				t.Errorf("seed %d, step %d: outcomes and open requests add up to %d, and %d requests were submitted", seed, step, sum, h.g.Counters.Submitted)
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
		t.Errorf("%d clients left and %d requests were served; want some of both, or the test covers too little", clientsGone, served)
	}
}
