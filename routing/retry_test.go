package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestEffectsAreNotRepeated(t *testing.T) {
	for _, c := range []struct {
		class      string
		status     Status
		wait       time.Duration
		sent, fail bool
	}{
		{"pay", Reset, 10 * ms, false, true},
		{"pay", ConnectFailed, 10 * ms, true, false},
		{"send", Reset, 10 * ms, true, false},
		{"send", Reset, 1100 * ms, false, false},
		{"zoned", Reset, 1100 * ms, false, true},
	} {
		r := newRig(t, nil)
		id, a := r.ask(c.class, "")
		out := r.after(c.wait).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: c.status, Latency: c.wait})
		if (first[ForwardAttempt](out) != nil) != c.sent || (first[Fail](out) != nil) != c.fail {
			t.Errorf("%s after %v: %v", c.class, c.status, out)
		}
	}
}

// Where answers get lost on their way, a second copy is sent once the answer is due and later ones have come. Where
// none did, or a limit binds, the answer is waited for.
func TestSecondCopiesOfLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name          string
		lost, limited bool
		copies        int
	}{{"lost", true, false, 1}, {"slow", false, false, 0}, {"limited", true, true, 0}} {
		r := newRig(t, nil)
		at := r.serve("page", "x", ReasonFilled).Endpoint
		if c.lost {
			id, a := r.overtaken(at)
			r.after(3 * time.Second)
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: TimedOut, Final: true, Latency: 3050 * ms})
			r.serve("page", "x", ReasonHit)
		}
		if c.limited {
			r.d.endpoints[at].concurrencyLimit.Max = 50
		}
		id, _ := r.overtaken(at)
		copies := 0
		for range 5 {
			copies += countAttempts(r.after(100 * ms).do(TimerFired{Token: r.d.requests[id].token}))
		}
		if copies != c.copies {
			t.Errorf("%s: %d second copies, not %d", c.name, copies, c.copies)
		}
		if out := r.do(AttemptResult{ID: id, Attempt: copies, Endpoint: at, Status: OK, Final: true}); copies == 1 &&
			first[CancelAttempt](out) == nil {
			t.Errorf("%s: the first attempt is still waited for: %v", c.name, out)
		}
	}
}

// overtaken asks for a page at an endpoint until an answer to a later request has overtaken it.
func (r *rig) overtaken(at string) (id string, a *ForwardAttempt) {
	for {
		if id, a = r.ask("page", "x"); a.Endpoint == at {
			r.after(ms).serve("page", "x", ReasonHit)
			return id, a
		}
		r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: ms}) // a detour
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
func TestARepeatIsNotWrittenBehindItsWindow(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration // from the repeat's decision until it is checked again
		want bool
	}{{300 * ms, true}, {690 * ms, true}, {698 * ms, false}, {time.Second, false}} {
		r := newRig(t, nil)
		id, a := r.ask("send", "x")
		if _, ok := r.d.RecheckAttempt(r.now+2*time.Second, id, 0); !ok {
			t.Error("a first attempt has no window")
		}
		r.d.now = r.now
		out := r.after(300 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: 300 * ms})
		if first[ForwardAttempt](out) == nil {
			t.Fatalf("it is not repeated: %v", out)
		}
		if _, ok := r.d.RecheckAttempt(r.now+c.gap, id, 1); ok != c.want {
			t.Errorf("%v after the first attempt: %v", 300*ms+c.gap, ok)
		}
	}
}

// Whatever effect the settings give a class, kept or not, read or written: what may have run goes nowhere again where it
// must not, and is not refused where a repeat would do harm.
func TestEachEffectInEachKindOfClass(t *testing.T) {
	for _, kept := range []bool{true, false} {
		for _, effect := range []Effect{Idempotent, IdempotentWithKey, NonIdempotent} {
			for _, scope := range []DedupScope{ScopeAll, ScopeZone, ScopeCell} {
				for _, late := range []bool{false, true} { // the window has passed
					checkEffect(t, kept, effect, scope, late)
				}
			}
		}
	}
}

func checkEffect(t *testing.T, kept bool, effect Effect, scope DedupScope, late bool) {
	t.Helper()
	r := newRig(t, func(s *Settings) {
		s.Classes = []Class{{Name: "k", LatencyObjective: 300 * ms, Deadline: 3 * time.Second, Effect: effect, DedupScope: scope,
			DedupWindow: 400 * ms, Uncacheable: !kept}}
	})
	id, a := r.ask("k", "x")
	if a == nil {
		t.Fatal("no attempt")
	}
	from := r.d.endpoints[a.Endpoint]
	gap := 100 * ms
	if late {
		gap = 500 * ms
	}
	out := r.after(gap).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: gap})
	again, refused, failed := first[ForwardAttempt](out), first[Reject](out), first[Fail](out)
	what := fmt.Sprintf("kept %v, effect %v, scope %v, late %v: %v", kept, effect, scope, late, out)
	if again != nil {
		to := r.d.endpoints[again.Endpoint]
		if effect == NonIdempotent || effect == IdempotentWithKey && (late || scope == ScopeZone && to.zone != from.zone ||
			scope == ScopeCell && to.cell != from.cell) {
			t.Error(what)
		}
	}
	if refused != nil && (effect == NonIdempotent || effect == IdempotentWithKey && scope != ScopeAll) {
		t.Error(what)
	}
	if again == nil && refused == nil && failed == nil || effect == NonIdempotent && failed == nil {
		t.Error(what)
	}
}

// Who asks for a class or as a tenant that the settings do not name was told to come back, which can't help.
func TestAnUnknownClassIsNotToldToComeBack(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Tenants = []string{"known"} })
	for _, q := range []Request{{ID: "class", Class: "unheard of"}, {ID: "tenant", Class: "page", Tenant: "unheard of"}} {
		q.Object, q.Deadline = "o", r.now+time.Second
		reject := first[Reject](r.do(q))
		if reject == nil || reject.RetryAfter != 0 {
			t.Errorf("%s: %+v", q.ID, reject)
		}
	}
	late := first[Reject](r.do(Request{ID: "late", Class: "page", Tenant: "known", Object: "o", Deadline: r.now}))
	if late == nil || late.RetryAfter == 0 {
		t.Errorf("one that comes too late: %+v", late)
	}
}
