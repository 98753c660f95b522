package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestSilentCacheIsAbandonedBeforeTimeout(t *testing.T) {
	for _, hedging := range []bool{true, false} {
		r := newHarness(t, func(s *Settings) { s.HedgedRequests = hedging })
		cacheID := r.serve("film", "f", ReasonHit).Endpoint
		r.advance(ms)
		var ids []string
		var actions []Action
		for len(ids) < 3 { // expected hits, which the listed cache does not answer
			if id, a := r.send("film", "f"); a.Endpoint == cacheID {
				ids = append(ids, id)
			}
		}
		for i, id := range ids {
			actions = r.advance(500 * ms).handle(TimerFired{Token: r.d.requests[id].token})
			if i < 2 && firstAction[CancelAttempt](actions) != nil {
				t.Fatalf("attempt canceled after %d overdue hits, want 3", i+1)
			}
		}
		if !hedging {
			if firstAction[CancelAttempt](actions) == nil || firstAction[ForwardAttempt](actions) != nil {
				t.Fatalf("without hedging: got actions %v, want a cancellation before the retry", actions)
			}
			actions = r.handle(AttemptResult{ID: ids[2], Endpoint: cacheID, Status: Canceled, Latency: 500 * ms})
		}
		if b := firstAction[ForwardAttempt](actions); b == nil || b.Endpoint == cacheID {
			t.Errorf("hedging %v: after silence of %s got actions %v, want a retry elsewhere", hedging, cacheID, actions)
		}
	}
}

// A cache that waits for one slow fill is not silent, even if the director has no other attempts
// there.
func TestSlowFillDoesNotCountAsSilence(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 10 {
		id, _ := r.send("film", fmt.Sprint(i))
		out := r.advance(700 * ms).handle(TimerFired{Token: r.d.requests[id].token})
		if firstAction[CancelAttempt](out) != nil || firstAction[ForwardAttempt](out) != nil {
			t.Fatalf("got actions %v, want none while the cache waits for a fill", out)
		}
	}
}

// Guards against a hung parent staying in use: fills through it timed out at the deadlines of their
// requests, and those timeouts counted against no endpoint.
func TestSilentParentIsEjected(t *testing.T) {
	r := newHarness(t, nil)
	type pending struct {
		id  string
		a   *ForwardAttempt
		due time.Duration
	}
	var open []pending
	for i := range 40 {
		id, a := r.send("page", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		if a.FillSource == "p1" {
			open = append(open, pending{id, a, r.now + 500*ms})
		} else {
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 50 * ms})
		}
		r.advance(60 * ms)
		for _, s := range r.d.upEndpoints[roleCache] { // other requests are answered by the caches
			s.lastOK = r.now
		}
		for _, p := range open {
			if q := r.d.requests[p.id]; q != nil && r.now >= p.due {
				r.handle(TimerFired{Token: q.token})
			}
		}
	}
	if r.d.healthy(r.d.endpoints["p1"]) || !r.d.healthy(r.d.endpoints["p2"]) {
		t.Error("the silent parent is not ejected, or its sibling is")
	}
}

// An endpoint that fails most of its requests stays ejected even if some succeed.
func TestOneSuccessDoesNotEndEjection(t *testing.T) {
	r := newHarness(t, nil)
	s := r.d.endpoints["c1"]
	for range 8 {
		r.d.now = r.now
		r.d.recordFailure(s)
		r.advance(10 * ms)
	}
	r.d.recordSuccess(s)
	if r.d.healthy(s) {
		t.Error("one success after eight failures ended the ejection")
	}
	for range 4 {
		r.d.recordSuccess(s)
	}
	if !r.d.healthy(s) {
		t.Error("still ejected after five successes")
	}
}

// If most endpoints seem unhealthy, the fault is elsewhere, and requests are still forwarded.
func TestPanicModeIgnoresEjections(t *testing.T) {
	r := newHarness(t, nil)
	r.d.now = r.now
	for _, s := range r.d.upEndpoints[roleCache] {
		r.d.recordFailureAndEject(s)
	}
	if _, a := r.send("film", "f"); a == nil || r.d.endpoints[a.Endpoint].role != roleCache {
		t.Errorf("all caches ejected: attempt %+v, want one at a cache", a)
	}
}

// A malformed answer breaks a connection for all attempts that share it, and counts as one failure
// of the endpoint.
func TestCollateralResetsAreNotFailures(t *testing.T) {
	for _, collateral := range []bool{true, false} {
		r := newHarness(t, nil)
		cacheID := r.serve("page", "x", ReasonFilled).Endpoint
		var ids []string
		for range 5 {
			id, a := r.send("page", "x")
			if a == nil || a.Endpoint != cacheID {
				t.Fatalf("attempt %+v, want one at the listed cache", a)
			}
			ids = append(ids, id)
		}
		for i, id := range ids {
			r.handle(AttemptResult{ID: id, Endpoint: cacheID, Status: Reset, CollateralReset: collateral && i > 0, Latency: ms})
		}
		if ejected := r.d.endpoints[cacheID].ejectedUntil > 0; ejected == collateral {
			t.Errorf("collateral %v: ejected %v, want the opposite", collateral, ejected)
		}
	}
}

// Where results don't state why a fill failed, a cache that still serves hits is healthy and its
// source is at fault. Guards against blaming the cache: the dead parent stayed in use, and the next
// cache was sent the request with the same source.
func TestFailedFillCountsAgainstSourceOfHealthyCache(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	failingSource := ""
	for i := range 60 {
		for j := range 20 { // all caches serve hits
			r.serve("page", fmt.Sprint(j), ReasonHit)
		}
		id, a := r.advance(ms).send("page", fmt.Sprint("new", i))
		if a == nil {
			t.Fatalf("request %d was rejected", i)
		}
		if failingSource == "" {
			failingSource = a.FillSource
		}
		if a.FillSource != failingSource {
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: ms})
			continue
		}
		retry := firstAction[ForwardAttempt](r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError, Latency: ms}))
		if retry == nil || retry.FillSource == failingSource {
			t.Fatalf("request %d: retry %+v, want one with another fill source", i, retry)
		}
		r.handle(AttemptResult{ID: id, Attempt: 1, Endpoint: retry.Endpoint, Status: OK, Final: true, Latency: ms})
	}
	for _, s := range r.d.endpoints {
		if ejected := s.ejectedUntil > 0; ejected != (s.id == failingSource) {
			t.Errorf("%s: ejected is %v, want it for the failing parent alone", s.id, ejected)
		}
	}
}

// Guards against a parent, one of three, staying in use while it failed all its fills: its errors
// used up the retry budgets, so that no retry could succeed elsewhere and show which endpoint was at
// fault, and 80 gateways kept using the parent for eleven seconds, with 2,500 errors.
func TestFailingParentIsEjectedWithoutRetryBudget(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	thirdParent := Endpoint{ID: "p3", Zone: "hub", Kind: "parent", Cell: 4}
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{thirdParent}})
	r.d.retryBudget = 0
	errorCount := 0
	for i := range 200 {
		id, a := r.send("film", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		r.d.retryBudget = 0 // other requests have used the budget
		o := AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 60 * ms}
		if a.FillSource == "p1" {
			errorCount++
			o = AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError, Latency: 10 * ms}
		}
		r.advance(20 * ms).handle(o)
	}
	if errorCount > 20 { // until it is ejected, plus one trial after each ejection
		t.Errorf("%d attempts used the failing parent in four seconds, want at most 20", errorCount)
	}
	for _, s := range r.d.endpoints {
		if s.role != roleParent && s.ejectionDuration > 0 {
			t.Errorf("%s was ejected for the parent's errors", s.id)
		}
	}
}

// An endpoint that always fails costs a bounded number of first attempts: per director three until
// it is ejected, and one at the end of each ejection, whose length doubles up to eight seconds.
func TestFailingEndpointCostsBoundedAttempts(t *testing.T) {
	const n, seconds = 80, 24
	f := newDirectorGroup(t, n, nil)
	firstAttempts := 0
	for range seconds * 100 {
		f.now += 10 * ms
		for i, r := range f.directors {
			r.now = f.now
			if (int(f.now/(10*ms))+i)%10 != 0 { // ten requests per second each
				continue
			}
			id, a := r.send("film", fmt.Sprint("o", i, f.now))
			for k := 0; a != nil && k < 4; k++ {
				o := AttemptResult{ID: id, Attempt: k, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 20 * ms}
				if a.Endpoint == "c1" {
					if k == 0 {
						firstAttempts++
					}
					o.Status, o.Reason, o.Final = ServerError, ReasonNone, false
				}
				a = firstAction[ForwardAttempt](r.handle(o))
			}
		}
	}
	// Ejected for 1, 2, 4, 8 and 8 s: five trials in 24 s.
	if maxAttempts := n * (3 + 5 + 1); firstAttempts > maxAttempts || firstAttempts < n {
		t.Errorf("%d first attempts used an endpoint that always fails, want at most %d and at least one per director", firstAttempts, maxAttempts)
	}
}

// One of two parents or both are silent, and results state at most whether they were hits. Hits are
// still served, caches keep their limits, the silent parents are avoided, and without a parent the
// origin fills.
func TestSilentParentsAreAvoidedWithoutAnswerDetail(t *testing.T) {
	for _, detail := range []AnswerDetail{DetailNone, DetailHit} {
		for _, silent := range [][]string{{"p1"}, {"p1", "p2"}} {
			w := newSimulatedLocation(t, detail, nil)
			w.at(10*time.Second, func() {
				for _, p := range silent {
					w.silent[p] = true
				}
			})
			w.run(30*time.Second, 16*time.Second, 29*time.Second, 40)
			if got := float64(w.hitsInObjective) / float64(w.expectedHits); got < 0.9 {
				t.Errorf("detail %v, silent %v: a share of %.2f of the expected hits met the objective, want at least 0.9", detail, silent, got)
			}
			if got := w.objectiveShare("film"); got < 0.8 {
				t.Errorf("detail %v, silent %v: a share of %.2f of all films met the objective, want at least 0.8", detail, silent, got)
			}
			for _, s := range w.d.upEndpoints[roleCache] {
				if s.concurrencyLimit.Max < 3 {
					t.Errorf("detail %v, silent %v: %s is limited to %.1f, want at least 3", detail, silent, s.id, s.concurrencyLimit.Max)
				}
			}
		}
	}
}

// Guards against an endpoint staying in use until the end of a long ejection after it succeeded
// once during the ejection and failed again.
func TestEndedEjectionDoesNotBlockTheNext(t *testing.T) {
	r := newHarness(t, nil)
	ep := r.d.endpoints["c1"]
	failThreeTimes := func() {
		for range 3 {
			r.d.recordFailure(ep)
		}
	}
	for ep.ejectionDuration < maxEjection { // it fails at every trial
		r.advance(ep.ejectionDuration).handle(TimerFired{})
		failThreeTimes()
	}
	for !r.d.healthy(ep) {
		r.d.recordSuccess(ep)
	}
	r.advance(ms).handle(TimerFired{})
	failThreeTimes()
	if r.d.healthy(ep) || ep.ejectedUntil != r.d.now+firstEjection {
		t.Errorf("healthy is %v after three failures in a row, ejected until %v at %v, want an ejection for 1s", r.d.healthy(ep), ep.ejectedUntil, r.d.now)
	}
}
