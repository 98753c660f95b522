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

// newPlaces is a host with a cache here and one there, and nobody's own fault.
func newPlaces(t *testing.T) *host {
	h := &host{t: t, loop: gateway.NewLoop(), sent: make(chan *gateway.Attempt, 1000), answers: make(chan gateway.Answer, 1000)}
	var err error
	h.g, err = gateway.New(gateway.Config{Loop: h.loop, Backend: backend{h.sent}, Log: logrus.New(),
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
	h.list(routing.Up)
	return h
}

// list tells of the stores, that there in a phase.
func (h *host) list(there routing.Phase) {
	h.on(func() {
		h.g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box"}, {ID: "d", Zone: "there", Kind: "box", Phase: there},
			{ID: "o", Zone: "hub", Kind: "origin"}}})
	})
}

// ends has attempts end as their server does, until the request has its answer, and returns it with the servers that were
// asked.
func (h *host) ends(how map[string]gateway.Result) (gateway.Answer, []string) {
	var asked []string
	for {
		select {
		case a := <-h.sent:
			asked = append(asked, a.Endpoint)
			h.on(func() { h.g.AttemptEnded(a, how[a.Endpoint]) })
		case a := <-h.answers:
			return a, asked
		case <-time.After(5 * time.Second):
			h.t.Fatalf("no answer; asked: %v", asked)
		}
	}
}

var good = gateway.Result{Status: routing.OK, Body: []byte("x"), Reason: routing.ReasonHit, LoadReport: []float64{1, 0.4}}

// While the own locality serves, nothing goes elsewhere.
func TestTheOwnLocalityServes(t *testing.T) {
	h := newPlaces(t)
	for i := range 50 {
		h.on(func() { h.g.Submit(h.request(fmt.Sprint(i), "page")) })
		if a, asked := h.ends(map[string]gateway.Result{"c": good}); a.Outcome != gateway.OutcomeServed || len(asked) != 1 || asked[0] != "c" {
			t.Fatalf("%v, asked: %v", a.Outcome, asked)
		}
	}
}

// What the own locality refuses goes to the next one, once, and has one answer.
func TestARefusedRequestIsMoved(t *testing.T) {
	h := newPlaces(t)
	refuses := map[string]gateway.Result{"c": {Status: routing.Rejected}, "o": {Status: routing.Rejected}, "d": good}
	moved := 0
	for i := 0; i < 2000 && moved < 3; i++ { // what may go there begins small
		time.Sleep(time.Millisecond)
		h.on(func() { h.g.Submit(h.request(fmt.Sprint(i), "page")) })
		a, asked := h.ends(refuses)
		switch last := asked[max(0, len(asked)-1):]; {
		case a.Outcome == gateway.OutcomeServed && len(last) == 1 && last[0] == "d":
			moved++
		case a.Outcome != gateway.OutcomeRejected:
			t.Errorf("%v, asked: %v", a.Outcome, asked)
		}
		if len(asked) > 8 {
			t.Errorf("%d attempts", len(asked))
		}
	}
	if moved < 3 {
		t.Errorf("%d were moved", moved)
	}
	// And nothing goes there once it drains.
	h.list(routing.Draining)
	for i := range 10 {
		h.on(func() { h.g.Submit(h.request(fmt.Sprint("later", i), "page")) })
		if _, asked := h.ends(refuses); strings.Contains(strings.Join(asked, " "), "d") {
			t.Errorf("asked while it drains: %v", asked)
		}
	}
	select {
	case a := <-h.answers:
		t.Errorf("a second answer: %v", a)
	default:
	}
}

// What may not run twice goes straight to the origin, and nowhere else when that is lost.
func TestWritesAreNotMoved(t *testing.T) {
	h := newPlaces(t)
	for i := range 10 {
		h.on(func() { h.g.Submit(h.request(fmt.Sprint(i), "order")) })
		a, asked := h.ends(map[string]gateway.Result{"c": good, "d": good, "o": {Status: routing.Reset}})
		if a.Outcome != gateway.OutcomeFailed && a.Outcome != gateway.OutcomeRejected {
			t.Errorf("%v", a.Outcome)
		}
		for _, s := range asked {
			if s != "o" {
				t.Errorf("asked: %v", asked)
			}
		}
		if len(asked) > 1 {
			t.Errorf("it ran %d times", len(asked))
		}
	}
}

// What cannot be worked with is named.
func TestTiersAreChecked(t *testing.T) {
	for want, l := range map[string][]locality.Locality{
		`the first locality is "there"`:  {{Name: "there"}},
		`"nowhere" is none of the zones`: {{Name: "here"}, {Name: "nowhere", Level: 1}},
		`Localities[1].Level: 0`:         {{Name: "here"}, {Name: "there"}},
	} {
		_, err := gateway.New(gateway.Config{Loop: gateway.NewLoop(), Log: logrus.New(), Localities: &locality.Config{Localities: l},
			Settings: routing.Settings{Zone: "here", Zones: []string{"here", "there"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1,
				Classes: []routing.Class{{Name: "page"}}}})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, not %q", err, want)
		}
	}
	h := newPlaces(t)
	h.on(func() {
		if err := h.g.ReconfigureLocalities(locality.Config{Localities: []locality.Locality{{Name: "here"}}}); err == nil {
			t.Error("other localities are taken in while it runs")
		}
		if err := h.g.ReconfigureLocalities(locality.Config{Localities: []locality.Locality{{Name: "here"}, {Name: "there", Level: 1}}, MaxSpillover: 0.1}); err != nil {
			t.Error(err)
		}
	})
}
