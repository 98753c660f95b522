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
		{"deadline passed", Request{ID: "a", Class: "page", Deadline: time.Hour}},
		{"unknown tenant", Request{ID: "a", Class: "page", Tenant: "?", Deadline: 2 * time.Hour}},
	} {
		r := newHarness(t, func(s *Settings) { s.Tenants = []string{"known"} })
		out := r.handle(c.q)
		if len(out) != 1 || firstAction[Reject](out) == nil || len(r.d.requests) != 0 {
			t.Errorf("%s: got actions %v, want a rejection alone", c.name, out)
		}
	}
}

// With no parent left and fetches from the origin at their limit, a listed cache is asked only for
// its copy. A miss then ends the request; guards against asking the cache again and again for a
// copy that it lacks.
func TestMissWithoutFillSourceIsRejected(t *testing.T) {
	r := newHarness(t, nil)
	r.serve("film", "o", ReasonHit)
	parents := testEndpoints()[5:7]
	parents[0].Phase, parents[1].Phase = Removed, Removed
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: parents})
	r.d.originFetches.Max = 0
	id, a := r.send("film", "o")
	if a == nil || a.FillSource != a.Endpoint {
		t.Fatalf("attempt %+v, want one without a fill source", a)
	}
	out := r.advance(5 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Miss, Latency: 5 * ms})
	if firstAction[Reject](out) == nil || firstAction[ForwardAttempt](out) != nil {
		t.Errorf("actions after the miss are %v, want a rejection at once", out)
	}
}

// A request to which every endpoint answers with an error is itself malformed: it ends after a few
// attempts, counts as a failure of no endpoint, and leaves retries for other requests.
func TestMalformedRequestsEjectNoEndpoint(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	for i := range 20 {
		id, a := r.send("film", fmt.Sprint("bad", i))
		n := 0
		for ; a != nil; n++ {
			a = firstAction[ForwardAttempt](r.handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: ServerError}))
		}
		if n < 2 || n > 3 || r.d.requests[id] != nil {
			t.Fatalf("request %d: %d attempts, want 2 or 3; still open: %v", i, n, r.d.requests[id] != nil)
		}
		for k := range 30 {
			r.serve("film", fmt.Sprint("good", i, k), ReasonHit)
		}
	}
	for _, s := range r.d.endpoints {
		if s.ejectionDuration > 0 || s.errorRate > 0 {
			t.Errorf("%s: error rate %.2f, ejected for %v, want neither", s.id, s.errorRate, s.ejectionDuration)
		}
	}
	for i := 0; r.d.endpoints["c1"].ejectionDuration == 0; i++ { // an endpoint that fails requests which others serve is ejected
		if i == 200 {
			t.Fatal("a cache that always fails is still in use after 200 requests")
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
