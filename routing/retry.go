package routing

import (
	"math"
	"time"
)

// Budgets of retries and hedged requests, which keep them a small share of the traffic while a
// fault lasts.
const (
	retriesPerSuccess   = 0.1 // retries earned per success
	maxSavedRetries     = 10
	hedgesPerLostAnswer = 10 // hedged requests earned per lost answer
	maxSavedHedges      = 2 * hedgesPerLostAnswer
)

// maxErrorAttempts is the number of attempts from which on an error is not retried any more, because
// the request itself may be malformed.
const maxErrorAttempts = 3

// firstThatMayHaveRun returns the first attempt, other than except, that may have taken effect, or
// nil if there is none.
func (r *request) firstThatMayHaveRun(except *attempt) *attempt {
	for _, a := range r.attempts {
		if a != except && (a.inFlight || a.mayHaveRun) {
			return a
		}
	}
	return nil
}

// repeatAllowed reports whether the effect of the request's class allows an attempt at an endpoint
// now. An attempt that was recorded but not yet written is passed as except. A request with an
// idempotency key is repeated only at endpoints that drop repeats of the first attempt, and only
// within the class's DedupWindow.
func (d *Director) repeatAllowed(r *request, ep *endpoint, except *attempt) bool {
	first := r.firstThatMayHaveRun(except)
	if r.class.Effect == Idempotent || first == nil {
		return true
	}
	if r.class.Effect == NonIdempotent || d.now-first.sentAt >= r.class.DedupWindow-d.settings.ClockStep {
		return false
	}
	switch r.class.DedupScope {
	case ScopeZone:
		return ep.zone == first.target.zone
	case ScopeCell:
		return ep.cell == first.target.cell
	default:
		return true
	}
}

// RecheckAttempt reports whether an attempt that waited, for example for its connection, may still
// be written at the time now, and the maximum age of the copy served (0: see
// ForwardAttempt.MaxAge). Since the attempt was created, its endpoint or fill source may have
// started draining, the class's DedupWindow may have passed, or the object may have been purged.
// Calls must not be concurrent with Handle.
func (d *Director) RecheckAttempt(now time.Duration, id string, number int) (maxAge time.Duration, ok bool) {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.finished {
		return 0, false
	}
	a := r.attempts[number]
	d.now = max(d.now, now)
	ok = a.inFlight && a.target.up && a.fillSource.up && d.repeatAllowed(r, a.target, a)
	return d.maxAge(r), ok
}

// retryAllowed reports whether the deadline and the retry budget allow one more attempt after a
// result. An error at several endpoints is probably the request's own fault.
func (d *Director) retryAllowed(r *request, o AttemptResult) bool {
	if d.atDeadline(r) || d.retryBudget < 1 {
		return false
	}
	return o.Status != ServerError || len(r.attempts) < maxErrorAttempts
}

func (d *Director) earnRetry() {
	d.retryBudget = min(maxSavedRetries, d.retryBudget+retriesPerSuccess)
}

// earnHedges adds hedged requests to the budget for a lost answer, if the request had a single
// attempt and lost all of its time by it.
func (d *Director) earnHedges(r *request) {
	if d.now >= r.Deadline-2*d.settings.ClockStep && len(r.attempts) == 1 {
		d.hedgeBudget = min(maxSavedHedges, d.hedgeBudget+hedgesPerLostAnswer)
	}
}

// shouldHedge reports whether an overdue answer is probably lost, so that a hedged request may
// still bring one in time: later attempts were answered, and answers were lost recently. Nothing is
// hedged once a limit was cut in which the attempt counts, because answers that are merely slow
// would be requested twice.
func (d *Director) shouldHedge(r *request, a *attempt) bool {
	if !d.settings.HedgedRequests || d.hedgeBudget < 1 || len(r.attempts) != 1 {
		return false
	}
	return a.inFlight && a.laterAttemptAnswered() && d.limitsNeverCut(a)
}

// limitsNeverCut reports whether all limits that an attempt counts in are still unlimited. A limit
// that was cut once stays finite, however far it has grown since.
func (d *Director) limitsNeverCut(a *attempt) bool {
	return math.IsInf(min(a.target.concurrencyLimit.Max, a.fillSource.concurrencyLimit.Max, d.originFetches.Max), 1)
}
