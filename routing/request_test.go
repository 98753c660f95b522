package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestInvalidRequestsAreRejectedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		q    Request
	}{
		{"unknown class", Request{ID: "a", Class: "?", Deadline: 2 * time.Hour}},
		{"time is up", Request{ID: "a", Class: "page", Deadline: time.Hour}},
		{"unknown tenant", Request{ID: "a", Class: "page", Tenant: "?", Deadline: 2 * time.Hour}},
	} {
		r := newHarness(t, func(s *Settings) { s.Tenants = []string{"known"} })
		out := r.handle(c.q)
		if len(out) != 1 || firstAction[Reject](out) == nil || len(r.d.requests) != 0 {
			t.Errorf("%s: %v", c.name, out)
		}
	}
}

// theory-schools-later rough-1: with no parent left and fetches at their limit a listed cache is asked for what it
// holds; it was asked over and over for what it lacked.
func TestMissWithoutFillSourceIsRejected(t *testing.T) {
	r := newHarness(t, nil)
	r.serve("film", "o", ReasonHit)
	parents := testEndpoints()[5:7]
	parents[0].Phase, parents[1].Phase = Removed, Removed
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: parents})
	r.d.originFetches.Max = 0
	id, a := r.send("film", "o")
	if a == nil || a.FillSource != a.Endpoint {
		t.Fatalf("%+v, want an attempt that nobody fills", a)
	}
	out := r.advance(5 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Miss, Latency: 5 * ms})
	if firstAction[Reject](out) == nil || firstAction[ForwardAttempt](out) != nil {
		t.Errorf("the miss brought %v, want a refusal at once", out)
	}
}

// A request that every store answers with an error is at fault itself: it is given up after a few attempts, which
// cost no store its good name, and leaves further attempts to others.
func TestMalformedRequestsEjectNoEndpoint(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	for i := range 20 {
		id, a := r.send("film", fmt.Sprint("bad", i))
		n := 0
		for ; a != nil; n++ {
			a = firstAction[ForwardAttempt](r.handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: ServerError}))
		}
		if n < 2 || n > 3 || r.d.requests[id] != nil {
			t.Fatalf("request %d: %d attempts, open: %v", i, n, r.d.requests[id] != nil)
		}
		for k := range 30 {
			r.serve("film", fmt.Sprint("good", i, k), ReasonHit)
		}
	}
	for _, s := range r.d.endpoints {
		if s.ejectionDuration > 0 || s.errorRate > 0 {
			t.Errorf("%s: failing %.2f, ejected for %v", s.id, s.errorRate, s.ejectionDuration)
		}
	}
	for i := 0; r.d.endpoints["c1"].ejectionDuration == 0; i++ { // one that fails where others do well is left alone
		if i == 200 {
			t.Fatal("a cache that always fails is still asked")
		}
		id, a := r.send("film", fmt.Sprint("new", i))
		n := 0
		for ; a.Endpoint == "c1"; n++ {
			r.d.endpoints["c1"].lastOK = 0
			a = firstAction[ForwardAttempt](r.handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: ServerError}))
		}
		r.advance(20 * ms).handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 20 * ms})
	}
}
