package routing

import (
	"math"
	"time"
)

// Retries and hedged requests are paid from budgets, so that they stay a small share of the traffic while a fault lasts.
const (
	retriesPerSuccess   = 0.1 // retries earned by one success
	maxSavedRetries     = 10
	hedgesPerLostAnswer = 10 // hedged requests earned by one answer that never came
	maxSavedHedges      = 2 * hedgesPerLostAnswer
)

// maxErrorAttempts is the number of attempts from which on an error ends the request, which may be malformed itself.
const maxErrorAttempts = 3

// firstThatMayHaveRun is the first attempt, but for one, that may have taken effect; nil if there is none.
func (r *request) firstThatMayHaveRun(except *attempt) *attempt {
	for _, a := range r.attempts {
		if a != except && (a.inFlight || a.mayHaveRun) {
			return a
		}
	}
	return nil
}

// repeatAllowed reports whether an attempt may go to an endpoint now by the effect of the request's class. An attempt that is not
// written yet is passed as except. A request with an idempotency key is repeated only to endpoints that drop repeats of the
// first attempt, and only while they do.
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

// RecheckAttempt reports whether an attempt that waited, for its connection say, may still be written at the given time, and the
// oldest copy that will do (0: see ForwardAttempt.MaxAge). Since the attempt was made its endpoint or source may have begun to
// drain, the time in which repeats are dropped may have passed, or its object may have been purged.
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

// retryAllowed reports whether a request may be sent once more after a result, by its deadline and the retry budget. An error at
// several endpoints is likely the request's own fault.
func (d *Director) retryAllowed(r *request, o AttemptResult) bool {
	if d.atDeadline(r) || d.retryBudget < 1 {
		return false
	}
	return o.Status != ServerError || len(r.attempts) < maxErrorAttempts
}

func (d *Director) earnRetry() {
	d.retryBudget = min(maxSavedRetries, d.retryBudget+retriesPerSuccess)
}

// earnHedges takes in a lost answer. Only one that cost its request all of its time, with no attempt beside it, earns hedges.
func (d *Director) earnHedges(r *request) {
	if d.now >= r.Deadline-2*d.settings.ClockStep && len(r.attempts) == 1 {
		d.hedgeBudget = min(maxSavedHedges, d.hedgeBudget+hedgesPerLostAnswer)
	}
}

// shouldHedge reports whether an attempt's answer, which is due, is likely to be lost, so that a hedged request may still bring one
// in time: later ones have been answered, and answers were lost recently. Nothing is hedged where anything is at its limit, since
// answers that are merely slow would be asked for twice.
func (d *Director) shouldHedge(r *request, a *attempt) bool {
	if !d.settings.HedgedRequests || d.hedgeBudget < 1 || len(r.attempts) != 1 {
		return false
	}
	return a.inFlight && a.laterAttemptAnswered() && d.limitsNeverCut(a)
}

// limitsNeverCut reports whether all limits that an attempt counts in are still unlimited. One that was cut once stays finite,
// however far it has grown again.
func (d *Director) limitsNeverCut(a *attempt) bool {
	return math.IsInf(min(a.target.concurrencyLimit.Max, a.fillSource.concurrencyLimit.Max, d.originFetches.Max), 1)
}
