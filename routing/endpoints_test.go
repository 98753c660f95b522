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
			t.Fatalf("%+v names a draining server", a)
		}
	}
}

// Ids come and go all day: what is gone is forgotten, and its outcomes still due do no harm.
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
		t.Errorf("%d servers are kept", n)
	}
}

// Where all caches of a location died, their successors start cold, and what they may be sent rests on what the old
// ones carried while they did. That was first looked at when a cold one came, with none left to tell: the location
// stayed shut.
func TestReplacementsOfAllCachesReceiveRequests(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AllowBypass = false })
	for i := range 400 {
		r.serve("page", fmt.Sprint(i%40), ReasonHit)
	}
	removed, replacements := testEndpoints()[:4], []Endpoint{}
	for range 20 { // they die
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
	for i := range 40 { // two seconds at the old pace
		id, a := r.advance(50*ms).send("page", fmt.Sprint(i))
		if a != nil {
			forwarded++
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 40 * ms})
		}
	}
	if forwarded < 15 {
		t.Errorf("%d of 40 requests were sent on", forwarded)
	}
}
