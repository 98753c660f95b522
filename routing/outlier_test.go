package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestSilentCacheIsLeftBeforeItsTimeout(t *testing.T) {
	for _, second := range []bool{true, false} {
		r := newRig(t, func(s *Settings) { s.HedgedRequests = second })
		home := r.serve("film", "f", ReasonHit).Endpoint
		r.after(ms)
		var ids []string
		var left []Action
		for len(ids) < 3 { // hits that the listed cache owes, while it answers nothing
			if id, a := r.ask("film", "f"); a.Endpoint == home {
				ids = append(ids, id)
			}
		}
		for i, id := range ids {
			left = r.after(500 * ms).do(TimerFired{Token: r.d.requests[id].token})
			if i < 2 && first[CancelAttempt](left) != nil {
				t.Fatalf("left after %d overdue hits", i+1)
			}
		}
		if !second {
			if first[CancelAttempt](left) == nil || first[ForwardAttempt](left) != nil {
				t.Fatalf("without second copies: %v", left)
			}
			left = r.do(AttemptResult{ID: ids[2], Endpoint: home, Status: Canceled, Latency: 500 * ms})
		}
		if b := first[ForwardAttempt](left); b == nil || b.Endpoint == home {
			t.Errorf("second copies %v: after silence of %s: %v", second, home, left)
		}
	}
}

// A cache that waits for one slow fill, at a director with little traffic, is not silent.
func TestSlowFillIsNotSilence(t *testing.T) {
	r := newRig(t, nil)
	for i := range 10 {
		id, _ := r.ask("film", fmt.Sprint(i))
		out := r.after(700 * ms).do(TimerFired{Token: r.d.requests[id].token})
		if first[CancelAttempt](out) != nil || first[ForwardAttempt](out) != nil {
			t.Fatalf("left a cache that waits for a fill: %v", out)
		}
	}
}

// i125874: fills by way of a hung parent timed out with their clients and told nothing, so that it stayed
// in use.
func TestSilentParentIsLeft(t *testing.T) {
	r := newRig(t, nil)
	type pending struct {
		id  string
		a   *ForwardAttempt
		due time.Duration
	}
	var open []pending
	for i := range 40 {
		id, a := r.ask("page", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		if a.FillSource == "p1" {
			open = append(open, pending{id, a, r.now + 500*ms})
		} else {
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 50 * ms})
		}
		r.after(60 * ms)
		for _, s := range r.d.upEndpoints[roleCache] { // the caches answer others
			s.lastOK = r.now
		}
		for _, p := range open {
			if q := r.d.requests[p.id]; q != nil && r.now >= p.due {
				r.do(TimerFired{Token: q.token})
			}
		}
	}
	if r.d.healthy(r.d.endpoints["p1"]) || !r.d.healthy(r.d.endpoints["p2"]) {
		t.Error("the silent parent is still in use, or its sibling isn't")
	}
}

// A server that fails most of its requests stays out although some succeed.
func TestOneSuccessDoesNotClearAFailingCache(t *testing.T) {
	r := newRig(t, nil)
	s := r.d.endpoints["c1"]
	for range 8 {
		r.d.now = r.now
		r.d.recordFailure(s)
		r.after(10 * ms)
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
func TestEjectionsKeepAFloor(t *testing.T) {
	r := newRig(t, nil)
	r.d.now = r.now
	for _, s := range r.d.upEndpoints[roleCache] {
		r.d.recordOutlier(s)
	}
	if _, a := r.ask("film", "f"); a == nil || r.d.endpoints[a.Endpoint].role != roleCache {
		t.Errorf("all caches ejected: %+v", a)
	}
}

// One spoilt answer breaks a connection for all that shares it, and is one failure of the store, not many.
func TestASharedResetIsOneFailure(t *testing.T) {
	for _, along := range []bool{true, false} {
		r := newRig(t, nil)
		at := r.serve("page", "x", ReasonFilled).Endpoint
		var ids []string
		for range 5 {
			id, a := r.ask("page", "x")
			if a == nil || a.Endpoint != at {
				t.Fatalf("%+v", a)
			}
			ids = append(ids, id)
		}
		for i, id := range ids {
			r.do(AttemptResult{ID: id, Endpoint: at, Status: Reset, CollateralReset: along && i > 0, Latency: ms})
		}
		if out := r.d.endpoints[at].ejectedUntil > 0; out == along {
			t.Errorf("along %v: ejected %v", along, out)
		}
	}
}

// Where answers don't tell why a fill failed, a cache that still serves hits is well and its source is not. The
// cache was blamed: the dead parent stayed in use, and the next cache was asked with the same source.
func TestAFailedFillIsTheSourcesWhereTheCacheIsWell(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	dead := ""
	for i := range 60 {
		for j := range 20 { // all caches are well
			r.serve("page", fmt.Sprint(j), ReasonHit)
		}
		id, a := r.after(ms).ask("page", fmt.Sprint("new", i))
		if a == nil {
			t.Fatalf("request %d was refused", i)
		}
		if dead == "" {
			dead = a.FillSource
		}
		if a.FillSource != dead {
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: ms})
			continue
		}
		again := first[ForwardAttempt](r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError, Latency: ms}))
		if again == nil || again.FillSource == dead {
			t.Fatalf("request %d: asked again with %+v", i, again)
		}
		r.do(AttemptResult{ID: id, Attempt: 1, Endpoint: again.Endpoint, Status: OK, Final: true, Latency: ms})
	}
	for _, s := range r.d.endpoints {
		if out := s.ejectedUntil > 0; out != (s.id == dead) {
			t.Errorf("%s: ejected %v", s.id, out)
		}
	}
}

// zone+vast: one of three parents failed all its fills. Its errors took the further attempts of all requests, so that no
// second one came to show who was at fault, and 80 gateways went on asking it for eleven seconds: 2,500 errors.
func TestAFailingParentIsLeftThoughNoFurtherAttemptIsToHand(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	more := Endpoint{ID: "p3", Zone: "hub", Kind: "parent", Cell: 4}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{more}})
	r.d.retryBudget = 0
	errors := 0
	for i := range 200 {
		id, a := r.ask("film", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		r.d.retryBudget = 0 // what others left
		o := AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 60 * ms}
		if a.FillSource == "p1" {
			errors++
			o = AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError, Latency: 10 * ms}
		}
		r.after(20 * ms).do(o)
	}
	if errors > 20 { // until it is known, and one for each time that it is tried again
		t.Errorf("the failing parent was asked %d times in four seconds", errors)
	}
	for _, s := range r.d.endpoints {
		if s.role != roleParent && s.ejectionDuration > 0 {
			t.Errorf("%s was taken out of use for the parent's errors", s.id)
		}
	}
}

// A store that fails for everybody costs the fleet a stated number of first attempts: of each director three that find it out,
// and one at the end of each ejection, which double up to eight seconds.
func TestAStoreThatIsBadForEverybodyCostsABoundedNumber(t *testing.T) {
	const n, seconds = 80, 24
	f := newFleet(t, n, nil)
	firsts := 0
	for range seconds * 100 {
		f.now += 10 * ms
		for i, r := range f.rigs {
			r.now = f.now
			if (int(f.now/(10*ms))+i)%10 != 0 { // ten requests a second each
				continue
			}
			id, a := r.ask("film", fmt.Sprint("o", i, f.now))
			for k := 0; a != nil && k < 4; k++ {
				o := AttemptResult{ID: id, Attempt: k, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 20 * ms}
				if a.Endpoint == "c1" {
					if k == 0 {
						firsts++
					}
					o.Status, o.Reason, o.Final = ServerError, ReasonNone, false
				}
				a = first[ForwardAttempt](r.do(o))
			}
		}
	}
	// Ejected for 1, 2, 4 and 8 s, and again for 8: five trials in 24 s.
	if most := n * (3 + 5 + 1); firsts > most || firsts < n {
		t.Errorf("%d first attempts were spent on a store that fails all, %d allowed", firsts, most)
	}
}

// One of two parents, and then both, are silent, and nothing tells hits from fills. What caches hold goes on being served, they keep
// their limits, the dead are left, and with no parent the origin fills.
func TestDeadParentsAreLeftWhereNothingIsTold(t *testing.T) {
	for _, tells := range []AnswerDetail{DetailNone, DetailHit} {
		for _, dead := range [][]string{{"p1"}, {"p1", "p2"}} {
			w := newSmall(t, tells, nil)
			w.at(10*time.Second, func() {
				for _, p := range dead {
					w.dead[p] = true
				}
			})
			w.play(30*time.Second, 16*time.Second, 29*time.Second, 40)
			if got := float64(w.hitsIn) / float64(w.hits); got < 0.9 {
				t.Errorf("tells %v, dead %v: %.2f of what caches hold was served in aim", tells, dead, got)
			}
			if got := w.share("film"); got < 0.8 {
				t.Errorf("tells %v, dead %v: %.2f of all films", tells, dead, got)
			}
			for _, s := range w.d.upEndpoints[roleCache] {
				if s.concurrencyLimit.Max < 3 {
					t.Errorf("tells %v, dead %v: %s is limited to %.1f", tells, dead, s.id, s.concurrencyLimit.Max)
				}
			}
		}
	}
}

// An endpoint that answered once within a long ejection, and then failed again, stayed in use until the end of that ejection.
func TestAnEjectionThatEndedEarlyDoesNotBlockTheNext(t *testing.T) {
	r := newRig(t, nil)
	ep := r.d.endpoints["c1"]
	fail := func() {
		for range 3 {
			r.d.recordFailure(ep)
		}
	}
	for ep.ejectionDuration < maxEjection { // it fails whenever it is tried
		r.after(ep.ejectionDuration).do(TimerFired{})
		fail()
	}
	for !r.d.healthy(ep) {
		r.d.recordSuccess(ep)
	}
	r.after(ms).do(TimerFired{})
	fail()
	if r.d.healthy(ep) || ep.ejectedUntil != r.d.now+firstEjection {
		t.Errorf("healthy %v after three failures in a row, ejected until %v of %v", r.d.healthy(ep), ep.ejectedUntil, r.d.now)
	}
}
