package gateway

import "time"

// retryIsHarmless reports whether a client may be told that retrying a request is harmless, whenever it retries: the request is
// idempotent, or it has not run. A request whose attempts still wait for their connections has not run.
//
// A retry of a request with an idempotency key that may have run is harmless only within the window in which endpoints drop it.
// The window begins with the first attempt, and only the client knows of its attempts at other gateways, so it decides on that
// retry by itself.
func (g *Gateway) retryIsHarmless(r *Request) bool {
	return r.idempotent() || r.firstMayHaveRun().IsZero()
}

// answerUnserved answers a request that gets no further attempt: with a rejection if retrying is harmless, else with a failure.
// If the deadline is due, within Settings.ClockStep and a millisecond, the outcome is OutcomeExpired. It does nothing for a request
// that is not open (nil).
func (g *Gateway) answerUnserved(r *Request, retryAfter time.Duration) {
	if r == nil {
		return
	}
	a := Answer{Outcome: OutcomeFailed, cause: causeNoFurtherAttempt}
	if g.retryIsHarmless(r) {
		a = Answer{Outcome: OutcomeRejected, RetryAfter: retryAfter, Retryable: true}
	}
	if !g.cfg.Loop.Now().Before(r.Deadline.Add(-g.cfg.Settings.ClockStep - time.Millisecond)) {
		a.Outcome, a.cause = OutcomeExpired, causeDeadline
	}
	g.answerRequest(r, a)
}
