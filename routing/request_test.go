package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestUnworkableRequestsAreRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		q    Request
	}{
		{"unknown class", Request{ID: "a", Class: "?", Deadline: 2 * time.Hour}},
		{"time is up", Request{ID: "a", Class: "page", Deadline: time.Hour}},
		{"unknown tenant", Request{ID: "a", Class: "page", Tenant: "?", Deadline: 2 * time.Hour}},
	} {
		r := newRig(t, func(s *Settings) { s.Tenants = []string{"known"} })
		out := r.do(c.q)
		if len(out) != 1 || first[Reject](out) == nil || len(r.d.requests) != 0 {
			t.Errorf("%s: %v", c.name, out)
		}
	}
}

// theory-schools-later rough-1: with no parent left and fetches at their limit a listed cache is asked for what it
// holds; it was asked over and over for what it lacked.
func TestAMissWithNobodyToFillIsFinal(t *testing.T) {
	r := newRig(t, nil)
	r.serve("film", "o", ReasonHit)
	l := members()[5:7]
	l[0].Phase, l[1].Phase = Removed, Removed
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
	r.d.originFetches.Max = 0
	id, a := r.ask("film", "o")
	if a == nil || a.FillSource != a.Endpoint {
		t.Fatalf("%+v, want an attempt that nobody fills", a)
	}
	out := r.after(5 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Miss, Latency: 5 * ms})
	if first[Reject](out) == nil || first[ForwardAttempt](out) != nil {
		t.Errorf("the miss brought %v, want a refusal at once", out)
	}
}

// A request that every store answers with an error is at fault itself: it is given up after a few attempts, which
// cost no store its good name, and leaves further attempts to others.
func TestARequestThatNoStoreCanUse(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	for i := range 20 {
		id, a := r.ask("film", fmt.Sprint("bad", i))
		n := 0
		for ; a != nil; n++ {
			a = first[ForwardAttempt](r.do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: ServerError}))
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
		id, a := r.ask("film", fmt.Sprint("new", i))
		n := 0
		for ; a.Endpoint == "c1"; n++ {
			r.d.endpoints["c1"].lastOK = 0
			a = first[ForwardAttempt](r.do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: ServerError}))
		}
		r.after(20 * ms).do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 20 * ms})
	}
}
