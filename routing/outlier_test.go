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
		for len(ids) < 3 { // hits that the listed cache owes, while it answers nothing
			if id, a := r.send("film", "f"); a.Endpoint == cacheID {
				ids = append(ids, id)
			}
		}
		for i, id := range ids {
			actions = r.advance(500 * ms).handle(TimerFired{Token: r.d.requests[id].token})
			if i < 2 && firstAction[CancelAttempt](actions) != nil {
				t.Fatalf("left after %d overdue hits", i+1)
			}
		}
		if !hedging {
			if firstAction[CancelAttempt](actions) == nil || firstAction[ForwardAttempt](actions) != nil {
				t.Fatalf("without second copies: %v", actions)
			}
			actions = r.handle(AttemptResult{ID: ids[2], Endpoint: cacheID, Status: Canceled, Latency: 500 * ms})
		}
		if b := firstAction[ForwardAttempt](actions); b == nil || b.Endpoint == cacheID {
			t.Errorf("second copies %v: after silence of %s: %v", hedging, cacheID, actions)
		}
	}
}

// A cache that waits for one slow fill, at a director with little traffic, is not silent.
func TestSlowFillDoesNotCountAsSilence(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 10 {
		id, _ := r.send("film", fmt.Sprint(i))
		out := r.advance(700 * ms).handle(TimerFired{Token: r.d.requests[id].token})
		if firstAction[CancelAttempt](out) != nil || firstAction[ForwardAttempt](out) != nil {
			t.Fatalf("left a cache that waits for a fill: %v", out)
		}
	}
}

// i125874: fills by way of a hung parent timed out with their clients and told nothing, so that it stayed
// in use.
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
		for _, s := range r.d.upEndpoints[roleCache] { // the caches answer others
			s.lastOK = r.now
		}
		for _, p := range open {
			if q := r.d.requests[p.id]; q != nil && r.now >= p.due {
				r.handle(TimerFired{Token: q.token})
			}
		}
	}
	if r.d.healthy(r.d.endpoints["p1"]) || !r.d.healthy(r.d.endpoints["p2"]) {
		t.Error("the silent parent is still in use, or its sibling isn't")
	}
}

// A server that fails most of its requests stays out although some succeed.
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
		t.Error("one success after eight failures cleared it")
	}
	for range 4 {
		r.d.recordSuccess(s)
	}
	if !r.d.healthy(s) {
		t.Error("still out after five successes")
	}
}

// When all look ill the fault is elsewhere: requests still go out.
func TestPanicModeIgnoresEjections(t *testing.T) {
	r := newHarness(t, nil)
	r.d.now = r.now
	for _, s := range r.d.upEndpoints[roleCache] {
		r.d.recordFailureAndEject(s)
	}
	if _, a := r.send("film", "f"); a == nil || r.d.endpoints[a.Endpoint].role != roleCache {
		t.Errorf("all caches ejected: %+v", a)
	}
}

// One spoilt answer breaks a connection for all that shares it, and is one failure of the store, not many.
func TestCollateralResetsAreNotFailures(t *testing.T) {
	for _, collateral := range []bool{true, false} {
		r := newHarness(t, nil)
		cacheID := r.serve("page", "x", ReasonFilled).Endpoint
		var ids []string
		for range 5 {
			id, a := r.send("page", "x")
			if a == nil || a.Endpoint != cacheID {
				t.Fatalf("%+v", a)
			}
			ids = append(ids, id)
		}
		for i, id := range ids {
			r.handle(AttemptResult{ID: id, Endpoint: cacheID, Status: Reset, CollateralReset: collateral && i > 0, Latency: ms})
		}
		if ejected := r.d.endpoints[cacheID].ejectedUntil > 0; ejected == collateral {
			t.Errorf("along %v: ejected %v", collateral, ejected)
		}
	}
}

// Where answers don't tell why a fill failed, a cache that still serves hits is well and its source is not. The
// cache was blamed: the dead parent stayed in use, and the next cache was asked with the same source.
func TestFailedFillCountsAgainstSourceOfHealthyCache(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	failingSource := ""
	for i := range 60 {
		for j := range 20 { // all caches are well
			r.serve("page", fmt.Sprint(j), ReasonHit)
		}
		id, a := r.advance(ms).send("page", fmt.Sprint("new", i))
		if a == nil {
			t.Fatalf("request %d was refused", i)
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
			t.Fatalf("request %d: asked again with %+v", i, retry)
		}
		r.handle(AttemptResult{ID: id, Attempt: 1, Endpoint: retry.Endpoint, Status: OK, Final: true, Latency: ms})
	}
	for _, s := range r.d.endpoints {
		if ejected := s.ejectedUntil > 0; ejected != (s.id == failingSource) {
			t.Errorf("%s: ejected %v", s.id, ejected)
		}
	}
}

// zone+vast: one of three parents failed all its fills. Its errors took the further attempts of all requests, so that no
// second one came to show who was at fault, and 80 gateways went on asking it for eleven seconds: 2,500 errors.
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
		r.d.retryBudget = 0 // what others left
		o := AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 60 * ms}
		if a.FillSource == "p1" {
			errorCount++
			o = AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError, Latency: 10 * ms}
		}
		r.advance(20 * ms).handle(o)
	}
	if errorCount > 20 { // until it is known, and one for each time that it is tried again
		t.Errorf("the failing parent was asked %d times in four seconds", errorCount)
	}
	for _, s := range r.d.endpoints {
		if s.role != roleParent && s.ejectionDuration > 0 {
			t.Errorf("%s was taken out of use for the parent's errors", s.id)
		}
	}
}

// A store that fails for everybody costs the fleet a stated number of first attempts: of each director three that find it out,
// and one at the end of each ejection, which double up to eight seconds.
func TestFailingEndpointCostsBoundedAttempts(t *testing.T) {
	const n, seconds = 80, 24
	f := newDirectorGroup(t, n, nil)
	firstAttempts := 0
	for range seconds * 100 {
		f.now += 10 * ms
		for i, r := range f.directors {
			r.now = f.now
			if (int(f.now/(10*ms))+i)%10 != 0 { // ten requests a second each
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
	// Ejected for 1, 2, 4 and 8 s, and again for 8: five trials in 24 s.
	if maxAttempts := n * (3 + 5 + 1); firstAttempts > maxAttempts || firstAttempts < n {
		t.Errorf("%d first attempts were spent on a store that fails all, %d allowed", firstAttempts, maxAttempts)
	}
}

// One of two parents, and then both, are silent, and nothing tells hits from fills. What caches hold goes on being served, they keep
// their limits, the dead are left, and with no parent the origin fills.
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
				t.Errorf("tells %v, dead %v: %.2f of what caches hold was served in aim", detail, silent, got)
			}
			if got := w.objectiveShare("film"); got < 0.8 {
				t.Errorf("tells %v, dead %v: %.2f of all films", detail, silent, got)
			}
			for _, s := range w.d.upEndpoints[roleCache] {
				if s.concurrencyLimit.Max < 3 {
					t.Errorf("tells %v, dead %v: %s is limited to %.1f", detail, silent, s.id, s.concurrencyLimit.Max)
				}
			}
		}
	}
}

// An endpoint that answered once within a long ejection, and then failed again, stayed in use until the end of that ejection.
func TestEndedEjectionDoesNotBlockTheNext(t *testing.T) {
	r := newHarness(t, nil)
	ep := r.d.endpoints["c1"]
	failThreeTimes := func() {
		for range 3 {
			r.d.recordFailure(ep)
		}
	}
	for ep.ejectionDuration < maxEjection { // it fails whenever it is tried
		r.advance(ep.ejectionDuration).handle(TimerFired{})
		failThreeTimes()
	}
	for !r.d.healthy(ep) {
		r.d.recordSuccess(ep)
	}
	r.advance(ms).handle(TimerFired{})
	failThreeTimes()
	if r.d.healthy(ep) || ep.ejectedUntil != r.d.now+firstEjection {
		t.Errorf("healthy %v after three failures in a row, ejected until %v of %v", r.d.healthy(ep), ep.ejectedUntil, r.d.now)
	}
}
