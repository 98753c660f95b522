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
		{"send", Reset, 1100 * ms, false, false},
		{"zoned", Reset, 1100 * ms, false, true},
	} {
		r := newHarness(t, nil)
		id, a := r.send(c.class, "")
		out := r.advance(c.latency).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: c.status, Latency: c.latency})
		if (firstAction[ForwardAttempt](out) != nil) != c.retried || (firstAction[Fail](out) != nil) != c.failed {
			t.Errorf("%s after %v: %v", c.class, c.status, out)
		}
	}
}

// Where answers get lost on their way, a second copy is sent once the answer is due and later ones have come. Where
// none did, or a limit binds, the answer is waited for.
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
			t.Errorf("%s: %d second copies, not %d", c.name, hedges, c.hedges)
		}
		if out := r.handle(AttemptResult{ID: id, Attempt: hedges, Endpoint: cacheID, Status: OK, Final: true}); hedges == 1 &&
			firstAction[CancelAttempt](out) == nil {
			t.Errorf("%s: the first attempt is still waited for: %v", c.name, out)
		}
	}
}

// overtaken asks for a page at an endpoint until an answer to a later request has overtaken it.
func (r *harness) sendOvertaken(at string) (id string, a *ForwardAttempt) {
	for {
		if id, a = r.send("page", "x"); a.Endpoint == at {
			r.advance(ms).serve("page", "x", ReasonHit)
			return id, a
		}
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: ms}) // a detour
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

// A repeat that is decided in time and waits for its connection is not written once stores may have forgotten the first
// attempt, which may have run. It was: behind a dial of 0.4 s.
func TestRecheckAttemptEnforcesDedupWindow(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration // from the repeat's decision until it is checked again
		want bool
	}{{300 * ms, true}, {690 * ms, true}, {698 * ms, false}, {time.Second, false}} {
		r := newHarness(t, nil)
		id, a := r.send("send", "x")
		if _, ok := r.d.RecheckAttempt(r.now+2*time.Second, id, 0); !ok {
			t.Error("a first attempt has no window")
		}
		r.d.now = r.now
		out := r.advance(300 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: 300 * ms})
		if firstAction[ForwardAttempt](out) == nil {
			t.Fatalf("it is not repeated: %v", out)
		}
		if _, ok := r.d.RecheckAttempt(r.now+c.gap, id, 1); ok != c.want {
			t.Errorf("%v after the first attempt: %v", 300*ms+c.gap, ok)
		}
	}
}

// Whatever effect the settings give a class, kept or not, read or written: what may have run goes nowhere again where it
// must not, and is not refused where a repeat would do harm.
func TestEffectsAndDedupScopes(t *testing.T) {
	for _, cacheable := range []bool{true, false} {
		for _, effect := range []Effect{Idempotent, IdempotentWithKey, NonIdempotent} {
			for _, scope := range []DedupScope{ScopeAll, ScopeZone, ScopeCell} {
				for _, afterWindow := range []bool{false, true} { // the window has passed
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
		t.Fatal("no attempt")
	}
	firstTarget := r.d.endpoints[a.Endpoint]
	gap := 100 * ms
	if afterWindow {
		gap = 500 * ms
	}
	out := r.advance(gap).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: gap})
	retry, rejected, failed := firstAction[ForwardAttempt](out), firstAction[Reject](out), firstAction[Fail](out)
	description := fmt.Sprintf("kept %v, effect %v, scope %v, late %v: %v", cacheable, effect, scope, afterWindow, out)
	if retry != nil {
		retryTarget := r.d.endpoints[retry.Endpoint]
		if effect == NonIdempotent || effect == IdempotentWithKey && (afterWindow || scope == ScopeZone && retryTarget.zone != firstTarget.zone ||
			scope == ScopeCell && retryTarget.cell != firstTarget.cell) {
			t.Error(description)
		}
	}
	if rejected != nil && (effect == NonIdempotent || effect == IdempotentWithKey && scope != ScopeAll) {
		t.Error(description)
	}
	if retry == nil && rejected == nil && failed == nil || effect == NonIdempotent && failed == nil {
		t.Error(description)
	}
}

// Who asks for a class or as a tenant that the settings do not name was told to come back, which can't help.
func TestUnknownClassOrTenantGetsNoRetryAfter(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.Tenants = []string{"known"} })
	for _, q := range []Request{{ID: "class", Class: "unheard of"}, {ID: "tenant", Class: "page", Tenant: "unheard of"}} {
		q.Object, q.Deadline = "o", r.now+time.Second
		reject := firstAction[Reject](r.handle(q))
		if reject == nil || reject.RetryAfter != 0 {
			t.Errorf("%s: %+v", q.ID, reject)
		}
	}
	late := firstAction[Reject](r.handle(Request{ID: "late", Class: "page", Tenant: "known", Object: "o", Deadline: r.now}))
	if late == nil || late.RetryAfter == 0 {
		t.Errorf("one that comes too late: %+v", late)
	}
}
