package gateway

import "time"

// retryIsHarmless reports whether a client may be told that retrying a request is harmless, whenever it retries: the request is
// idempotent, or neither it nor a former one with its id has run. A request whose attempts still wait for their connections has
// not run.
//
// A retry of a request with an idempotency key that may have run is harmless only within the window in which endpoints drop it.
// The window begins with the first attempt, and only the client knows of its attempts at other gateways, so it decides on that
// retry by itself.
func (g *Gateway) retryIsHarmless(r *Request) bool {
	return r.idempotent() || r.firstMayHaveRun().IsZero() && !g.formerMayHaveRun(r)
}

// formerMayHaveRun reports whether another request with the client's id of a request may have run.
func (g *Gateway) formerMayHaveRun(r *Request) bool {
	if open := g.requestsByClientID[r.ID]; open != nil && open != r && !open.firstMayHaveRun().IsZero() {
		return true
	}
	return g.executed.find(r.ID, g.cfg.Loop.Now()) != nil
}

// asFailure returns the answer for a request that may have run in place of one that calls a retry harmless.
func (a Answer) asFailure() Answer {
	a.Retryable, a.RetryAfter = false, 0
	if a.Outcome == OutcomeRejected {
		a.Outcome, a.cause = OutcomeFailed, causeNoFurtherAttempt
	}
	return a
}

// answerUnserved answers a request that gets no further attempt: with a rejection if retrying is harmless, else with a failure
// (see answerRequest). If the deadline is due, within Settings.ClockStep and a millisecond, the outcome is OutcomeExpired. It does
// nothing for a request that is not open (nil).
func (g *Gateway) answerUnserved(r *Request, retryAfter time.Duration) {
	if r == nil {
		return
	}
	a := Answer{Outcome: OutcomeRejected, RetryAfter: retryAfter, Retryable: true}
	if !g.cfg.Loop.Now().Before(r.Deadline.Add(-g.cfg.Settings.ClockStep - time.Millisecond)) {
		a.Outcome, a.cause = OutcomeExpired, causeDeadline
	}
	g.answerRequest(r, a)
}
