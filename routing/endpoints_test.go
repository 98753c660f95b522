package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainingEndpointsGetNoNewAttempts(t *testing.T) {
	r := newHarness(t, nil)
	endpoints := testEndpoints()
	for i := range endpoints {
		if endpoints[i].ID == "c1" || endpoints[i].ID == "p1" {
			endpoints[i].Phase = Draining
		}
	}
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: endpoints})
	for i := range 50 {
		if a := r.serve("film", fmt.Sprint(i), ReasonFilled); a.Endpoint == "c1" || a.FillSource == "p1" {
			t.Fatalf("attempt %+v uses a draining endpoint", a)
		}
	}
}

// Endpoint ids change all the time: removed endpoints are dropped, and results of attempts at them
// do no harm.
func TestRemovedEndpointsAreDropped(t *testing.T) {
	r := newHarness(t, nil)
	r.serve("page", "x", ReasonFilled)
	id, a := r.send("page", "x")
	for i := range 500 {
		m := Endpoint{ID: fmt.Sprint("s", i), Zone: "here", Kind: "box"}
		r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{m}})
		m.Phase = Removed
		r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{m}})
	}
	removed := testEndpoints()
	for i := range removed {
		removed[i].Phase = Removed
	}
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: removed})
	r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: ms})
	if n := len(r.d.endpoints); n != 0 {
		t.Errorf("%d removed endpoints are kept, want none", n)
	}
}

// When all caches of a location have failed, their replacements start cold, and their slow-start
// budget depends on the rate that the old caches served. Guards against measuring that rate only
// when a cold cache appears, with no warm cache left: the location then got no requests.
func TestReplacementsOfAllCachesReceiveRequests(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AllowBypass = false })
	for i := range 400 {
		r.serve("page", fmt.Sprint(i%40), ReasonHit)
	}
	removed, replacements := testEndpoints()[:4], []Endpoint{}
	for range 20 { // all caches fail
		id, a := r.advance(10*ms).send("page", "x")
		if a != nil {
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ConnectFailed, Final: true, Latency: ms})
		}
	}
	r.advance(8 * time.Second)
	for i := range removed {
		removed[i].Phase = Removed
		replacements = append(replacements, Endpoint{ID: fmt.Sprint("n", i), Zone: "here", Kind: "box", Incarnation: r.now})
	}
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: append(removed, replacements...)})
	forwarded := 0
	for i := range 40 { // two seconds at the previous request rate
		id, a := r.advance(50*ms).send("page", fmt.Sprint(i))
		if a != nil {
			forwarded++
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 40 * ms})
		}
	}
	if forwarded < 15 {
		t.Errorf("%d of 40 requests were forwarded, want at least 15", forwarded)
	}
}
