package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/locality"
	"larchusher/routing"
)

// newTwoLocalityGateway returns a gateway with one cache in its own locality and one in another,
// and no limit on spillover.
func newTwoLocalityGateway(t *testing.T) *testGateway {
	h := &testGateway{t: t, loop: gateway.NewLoop(), sent: make(chan *gateway.Attempt, 1000), answers: make(chan gateway.Answer, 1000)}
	var err error
	h.g, err = gateway.New(gateway.Config{Loop: h.loop, Backend: fakeBackend{h.sent}, Log: logrus.New(),
		Localities: &locality.Config{Localities: []locality.Locality{{Name: "here"}, {Name: "there", Level: 1}}, MaxSpillover: 1},
		Settings: routing.Settings{Zone: "here", Zones: []string{"hub", "here", "there"}, ZoneDirectors: []int{0, 1, 1}, Directors: 2,
			Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond, AllowCoalescing: true, AllowBypass: true,
			SendRetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 8, CanCancel: true, LoadReportFields: []string{"busy_reqs", "x1"},
			DrainGrace: 2 * time.Second,
			Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1},
				{Name: "order", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 3, Effect: routing.NonIdempotent, Uncacheable: true}}}})
	if err != nil {
		t.Fatal(err)
	}
	go h.loop.Run()
	t.Cleanup(h.loop.Close)
	h.updateEndpoints(routing.Up)
	return h
}

// updateEndpoints sends a full endpoint list, in which the cache of the other locality has a phase.
func (h *testGateway) updateEndpoints(remotePhase routing.Phase) {
	h.onLoop(func() {
		h.g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box"}, {ID: "d", Zone: "there", Kind: "box", Phase: remotePhase},
			{ID: "o", Zone: "hub", Kind: "origin"}}})
	})
}

// endAttempts ends each attempt with the result of its endpoint until a request is answered. It
// returns the answer, and the endpoints of the attempts.
func (h *testGateway) endAttempts(results map[string]gateway.Result) (gateway.Answer, []string) {
	var attempted []string
	for {
		select {
		case a := <-h.sent:
			attempted = append(attempted, a.Endpoint)
			h.onLoop(func() { h.g.AttemptEnded(a, results[a.Endpoint]) })
		case a := <-h.answers:
			return a, attempted
		case <-time.After(5 * time.Second):
			h.t.Fatalf("no answer within 5 s, attempts at %v", attempted)
		}
	}
}

var okResult = gateway.Result{Status: routing.OK, Body: []byte("x"), Reason: routing.ReasonHit, LoadReport: []float64{1, 0.4}}

// While the own locality serves its requests, no request goes to another locality.
func TestOwnLocalityServesWhileHealthy(t *testing.T) {
	h := newTwoLocalityGateway(t)
	for i := range 50 {
		h.onLoop(func() { h.g.Submit(h.newRequest(fmt.Sprint(i), "page")) })
		if a, attempted := h.endAttempts(map[string]gateway.Result{"c": okResult}); a.Outcome != gateway.OutcomeServed || len(attempted) != 1 || attempted[0] != "c" {
			t.Fatalf("outcome %v, attempts at %v; want one attempt, at c, that is served", a.Outcome, attempted)
		}
	}
}

// A request that the own locality rejects is rerouted to the other locality once, and answered
// once.
func TestRejectedRequestIsReroutedOnce(t *testing.T) {
	h := newTwoLocalityGateway(t)
	results := map[string]gateway.Result{"c": {Status: routing.Rejected}, "o": {Status: routing.Rejected}, "d": okResult}
	rerouted := 0
	for i := 0; i < 2000 && rerouted < 3; i++ { // the share that may spill over starts small and grows
		time.Sleep(time.Millisecond)
		h.onLoop(func() { h.g.Submit(h.newRequest(fmt.Sprint(i), "page")) })
		a, attempted := h.endAttempts(results)
		switch last := attempted[max(0, len(attempted)-1):]; {
		case a.Outcome == gateway.OutcomeServed && len(last) == 1 && last[0] == "d":
			rerouted++
		case a.Outcome != gateway.OutcomeRejected:
			t.Errorf("outcome %v, attempts at %v; want it served by d, or rejected", a.Outcome, attempted)
		}
		if len(attempted) > 8 {
			t.Errorf("%d attempts, want at most 8", len(attempted))
		}
	}
	if rerouted < 3 {
		t.Errorf("%d requests were rerouted, want 3", rerouted)
	}
	// No request goes to the other locality while its cache drains.
	h.updateEndpoints(routing.Draining)
	for i := range 10 {
		h.onLoop(func() { h.g.Submit(h.newRequest(fmt.Sprint("later", i), "page")) })
		if _, attempted := h.endAttempts(results); strings.Contains(strings.Join(attempted, " "), "d") {
			t.Errorf("attempts at %v while d drains, want none at d", attempted)
		}
	}
	select {
	case a := <-h.answers:
		t.Errorf("a second answer to a request: %v", a)
	default:
	}
}

// A non-idempotent request goes straight to the origin, and is not sent again when the connection
// there is lost.
func TestNonIdempotentRequestsAreNotRerouted(t *testing.T) {
	h := newTwoLocalityGateway(t)
	for i := range 10 {
		h.onLoop(func() { h.g.Submit(h.newRequest(fmt.Sprint(i), "order")) })
		a, attempted := h.endAttempts(map[string]gateway.Result{"c": okResult, "d": okResult, "o": {Status: routing.Reset}})
		if a.Outcome != gateway.OutcomeFailed && a.Outcome != gateway.OutcomeRejected {
			t.Errorf("outcome %v after a lost connection, want failed or rejected", a.Outcome)
		}
		for _, s := range attempted {
			if s != "o" {
				t.Errorf("attempts at %v, want only the origin", attempted)
			}
		}
		if len(attempted) > 1 {
			t.Errorf("the request was sent %d times, want at most once", len(attempted))
		}
	}
}

// Errors in the configuration of localities name the faulty value. While a gateway runs, its
// localities cannot change, but their limits can.
func TestLocalityConfigurationIsValidated(t *testing.T) {
	for want, l := range map[string][]locality.Locality{
		`the first locality is "there"`:     {{Name: "there"}},
		`"nowhere" is not one of the zones`: {{Name: "here"}, {Name: "nowhere", Level: 1}},
		`Localities[1].Level: 0`:            {{Name: "here"}, {Name: "there"}},
	} {
		_, err := gateway.New(gateway.Config{Loop: gateway.NewLoop(), Log: logrus.New(), Localities: &locality.Config{Localities: l},
			Settings: routing.Settings{Zone: "here", Zones: []string{"here", "there"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1,
				Classes: []routing.Class{{Name: "page"}}}})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q in it", err, want)
		}
	}
	h := newTwoLocalityGateway(t)
	h.onLoop(func() {
		if err := h.g.ReconfigureLocalities(locality.Config{Localities: []locality.Locality{{Name: "here"}}}); err == nil {
			t.Error("the set of localities could be changed while the gateway runs")
		}
		if err := h.g.ReconfigureLocalities(locality.Config{Localities: []locality.Locality{{Name: "here"}, {Name: "there", Level: 1}}, MaxSpillover: 0.1}); err != nil {
			t.Error(err)
		}
	})
}
