package routing

import (
	"math"
	"time"
)

const (
	retriesPerSuccess   = 0.1 // further attempts earned by one success
	maxSavedRetries     = 10  // further attempts that can be saved up
	maxErrorAttempts    = 3   // from this attempt on an error ends the request, which may be at fault itself
	hedgesPerLostAnswer = 10  // second copies earned by one answer that never came; twice that can be saved up
)

// mayHaveRun returns the first attempt that is not known not to have run, but for one.
func (r *request) mayHaveRun(but *attempt) *attempt {
	for _, a := range r.attempts {
		if a != but && (a.inFlight || a.mayHaveRun) {
			return a
		}
	}
	return nil
}

// repeatAllowed says whether the effect rule lets an attempt go to s now, one that is not written left aside.
func (d *Director) repeatAllowed(r *request, s *endpoint, but *attempt) bool {
	first := r.mayHaveRun(but)
	if r.class.Effect == Idempotent || first == nil {
		return true
	}
	if r.class.Effect == NonIdempotent || d.now-first.sentAt >= r.class.DedupWindow-d.set.ClockStep {
		return false
	}
	return (r.class.DedupScope != ScopeZone || s.zone == first.target.zone) &&
		(r.class.DedupScope != ScopeCell || s.cell == first.target.cell)
}

// RecheckAttempt says whether an attempt that waited, for its connection say, may still be written at the given
// time, and with which age limit: its store or source may drain by now, the time in which repeats are
// dropped may have passed, or its object may have been purged.
func (d *Director) RecheckAttempt(now time.Duration, id string, number int) (maxAge time.Duration, ok bool) {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.finished {
		return 0, false
	}
	a := r.attempts[number]
	d.now = max(d.now, now)
	return d.maxAge(r), a.inFlight && a.target.up && a.fillSource.up && d.repeatAllowed(r, a.target, a)
}

// shouldHedge says that an attempt's answer is likely to be lost: it is due, later ones have been answered,
// and answers did get lost of late. Another can then still come in time. Not where anything is at its limit:
// slow answers would be asked for twice.
func (d *Director) shouldHedge(r *request, a *attempt) bool {
	return a.inFlight && len(r.attempts) == 1 && d.set.HedgedRequests && d.hedgeBudget >= 1 && a.overtaken() &&
		math.IsInf(min(a.target.concurrencyLimit.Max, a.fillSource.concurrencyLimit.Max, d.originFetches.Max), 1)
}
