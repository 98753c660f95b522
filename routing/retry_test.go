package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestRetryRespectsEffect(t *testing.T) {
	for _, c := range []struct {
		class           string
		status          Status
		latency         time.Duration
		retried, failed bool
	}{
		{"pay", Reset, 10 * ms, false, true},
		{"pay", ConnectFailed, 10 * ms, true, false},
		{"send", Reset, 10 * ms, true, false},
		{"send", Reset, 1100 * ms, false, true},
		{"zoned", Reset, 1100 * ms, false, true},
	} {
		r := newHarness(t, nil)
		id, a := r.send(c.class, "")
		out := r.advance(c.latency).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: c.status, Latency: c.latency})
		if (firstAction[ForwardAttempt](out) != nil) != c.retried || (firstAction[Fail](out) != nil) != c.failed {
			t.Errorf("class %s after status %v: got actions %v", c.class, c.status, out)
		}
	}
}

// Where answers get lost on their way, a hedged request is sent once the answer is due and later
// ones have arrived. If none was lost recently, or a limit was cut, the director waits for the
// answer.
func TestHedgingOfLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name          string
		lost, limited bool
		hedges        int
	}{{"lost", true, false, 1}, {"slow", false, false, 0}, {"limited", true, true, 0}} {
		r := newHarness(t, nil)
		cacheID := r.serve("page", "x", ReasonFilled).Endpoint
		if c.lost {
			id, a := r.sendOvertaken(cacheID)
			r.advance(3 * time.Second)
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: TimedOut, Final: true, Latency: 3050 * ms})
			r.serve("page", "x", ReasonHit)
		}
		if c.limited {
			r.d.endpoints[cacheID].concurrencyLimit.Max = 50
		}
		id, _ := r.sendOvertaken(cacheID)
		hedges := 0
		for range 5 {
			hedges += countAttempts(r.advance(100 * ms).handle(TimerFired{Token: r.d.requests[id].token}))
		}
		if hedges != c.hedges {
			t.Errorf("%s: %d hedged requests, want %d", c.name, hedges, c.hedges)
		}
		if out := r.handle(AttemptResult{ID: id, Attempt: hedges, Endpoint: cacheID, Status: OK, Final: true}); hedges == 1 &&
			firstAction[CancelAttempt](out) == nil {
			t.Errorf("%s: the first attempt is not canceled: %v", c.name, out)
		}
	}
}

// sendOvertaken requests a page until the attempt goes to the given endpoint, and lets a later
// attempt there be answered first.
func (r *harness) sendOvertaken(at string) (id string, a *ForwardAttempt) {
	for {
		if id, a = r.send("page", "x"); a.Endpoint == at {
			r.advance(ms).serve("page", "x", ReasonHit)
			return id, a
		}
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: ms}) // another cache was explored
	}
}

func countAttempts(out []Action) int {
	n := 0
	for _, a := range out {
		if _, ok := a.(ForwardAttempt); ok {
			n++
		}
	}
	return n
}

// A retry that was decided in time but waits for its connection is not written once the endpoints
// may have forgotten the idempotency key of the first attempt, which may have been executed. Guards
// against a retry that was written after a dial of 0.4 s.
func TestRecheckAttemptEnforcesDedupWindow(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration // from the decision to retry until RecheckAttempt
		want bool
	}{{300 * ms, true}, {690 * ms, true}, {698 * ms, false}, {time.Second, false}} {
		r := newHarness(t, nil)
		id, a := r.send("send", "x")
		if _, ok := r.d.RecheckAttempt(r.now+2*time.Second, id, 0); !ok {
			t.Error("RecheckAttempt forbids a first attempt, which no window limits")
		}
		r.d.now = r.now
		out := r.advance(300 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: 300 * ms})
		if firstAction[ForwardAttempt](out) == nil {
			t.Fatalf("not retried: got actions %v", out)
		}
		if _, ok := r.d.RecheckAttempt(r.now+c.gap, id, 1); ok != c.want {
			t.Errorf("RecheckAttempt %v after the first attempt: ok is %v, want the opposite", 300*ms+c.gap, ok)
		}
	}
}

// For every effect and deduplication scope, of cacheable and uncacheable classes: a request that
// may have been executed is not repeated where that is forbidden, and is not rejected where a
// repeat by the client would do harm.
func TestEffectsAndDedupScopes(t *testing.T) {
	for _, cacheable := range []bool{true, false} {
		for _, effect := range []Effect{Idempotent, IdempotentWithKey, NonIdempotent} {
			for _, scope := range []DedupScope{ScopeAll, ScopeZone, ScopeCell} {
				for _, afterWindow := range []bool{false, true} { // whether DedupWindow has passed
					checkEffect(t, cacheable, effect, scope, afterWindow)
				}
			}
		}
	}
}

func checkEffect(t *testing.T, cacheable bool, effect Effect, scope DedupScope, afterWindow bool) {
	t.Helper()
	r := newHarness(t, func(s *Settings) {
		s.Classes = []Class{{Name: "k", LatencyObjective: 300 * ms, Deadline: 3 * time.Second, Effect: effect, DedupScope: scope,
			DedupWindow: 400 * ms, Uncacheable: !cacheable}}
	})
	id, a := r.send("k", "x")
	if a == nil {
		t.Fatal("no attempt was forwarded")
	}
	firstTarget := r.d.endpoints[a.Endpoint]
	gap := 100 * ms
	if afterWindow {
		gap = 500 * ms
	}
	out := r.advance(gap).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: gap})
	retry, rejected, failed := firstAction[ForwardAttempt](out), firstAction[Reject](out), firstAction[Fail](out)
	description := fmt.Sprintf("cacheable %v, effect %v, scope %v, after window %v: got actions %v", cacheable, effect, scope, afterWindow, out)
	if retry != nil {
		retryTarget := r.d.endpoints[retry.Endpoint]
		if effect == NonIdempotent || effect == IdempotentWithKey && (afterWindow || scope == ScopeZone && retryTarget.zone != firstTarget.zone ||
			scope == ScopeCell && retryTarget.cell != firstTarget.cell) {
			t.Error(description)
		}
	}
	if rejected != nil && effect != Idempotent {
		t.Error(description)
	}
	if retry == nil && rejected == nil && failed == nil || effect == NonIdempotent && failed == nil {
		t.Error(description)
	}
}

// Guards against a rejection, which tells the client that a repeat is harmless at any time, of a request that may have been executed:
// for each reason why there is no further attempt, and within and after DedupWindow. Without an attempt that may have been executed,
// the request must be rejected.
func TestOnlyWhatHasNotRunIsRejected(t *testing.T) {
	type endReason struct {
		name string
		end  func(r *harness, id string, a *ForwardAttempt) []Action
	}
	result := func(s Status) func(r *harness, id string, a *ForwardAttempt) []Action {
		return func(r *harness, id string, a *ForwardAttempt) []Action {
			return r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: s})
		}
	}
	reasons := []endReason{
		{"no retry left in the budget", func(r *harness, id string, a *ForwardAttempt) []Action {
			r.d.retryBudget = 0
			return result(Reset)(r, id, a)
		}},
		{"no attempt left", func(r *harness, id string, a *ForwardAttempt) []Action {
			r.d.requests[id].maxAttempts = 1
			return result(Reset)(r, id, a)
		}},
		{"no endpoint left", func(r *harness, id string, a *ForwardAttempt) []Action {
			r.handle(EndpointUpdate{Kind: FullList})
			return result(Reset)(r, id, a)
		}},
		{"too little time left", func(r *harness, id string, a *ForwardAttempt) []Action {
			r.now = r.d.requests[id].Deadline - ms
			return result(Reset)(r, id, a)
		}},
		{"no answer by the deadline", func(r *harness, id string, _ *ForwardAttempt) []Action {
			r.now = r.d.requests[id].Deadline
			return r.handle(TimerFired{Token: r.d.requests[id].token})
		}},
	}
	for _, class := range []string{"pay", "send", "zoned", "celled"} {
		for _, c := range reasons {
			for _, after := range []time.Duration{10 * ms, 900 * ms, 1100 * ms} {
				r := newHarness(t, nil)
				id, a := r.send(class, "x")
				out := c.end(r.advance(after), id, a)
				if firstAction[Reject](out) != nil || firstAction[Fail](out) == nil {
					t.Errorf("class %s, %s, after %v: got actions %v, want Fail", class, c.name, after, out)
				}
			}
		}
		for _, status := range []Status{Rejected, ConnectFailed, NotSent, Miss} {
			r := newHarness(t, nil)
			id, a := r.send(class, "x")
			r.d.retryBudget = 0
			if out := result(status)(r.advance(1100*ms), id, a); firstAction[Reject](out) == nil {
				t.Errorf("class %s, not executed by status %v: got actions %v, want Reject", class, status, out)
			}
		}
	}
}

// A request of an unknown class or tenant is rejected without a Retry-After, because returning
// later cannot help.
func TestUnknownClassOrTenantGetsNoRetryAfter(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.Tenants = []string{"known"} })
	for _, q := range []Request{{ID: "class", Class: "unheard of"}, {ID: "tenant", Class: "page", Tenant: "unheard of"}} {
		q.Object, q.Deadline = "o", r.now+time.Second
		reject := firstAction[Reject](r.handle(q))
		if reject == nil || reject.RetryAfter != 0 {
			t.Errorf("unknown %s: got %+v, want a rejection without a Retry-After", q.ID, reject)
		}
	}
	late := firstAction[Reject](r.handle(Request{ID: "late", Class: "page", Tenant: "known", Object: "o", Deadline: r.now}))
	if late == nil || late.RetryAfter == 0 {
		t.Errorf("request past its deadline: got %+v, want a rejection with a Retry-After", late)
	}
}
