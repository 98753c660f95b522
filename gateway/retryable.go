package gateway

import "time"

// retryIsHarmless reports whether a client may be told that retrying a request is harmless: the request is idempotent, or it has
// not run. A request whose attempts still wait for their connections has not run.
func (g *Gateway) retryIsHarmless(r *Request) bool {
	return r.idempotent() || r.firstMayHaveRun().IsZero()
}

// unservedAnswer returns the answer to a request that gets no further attempt: a rejection if retrying is harmless, else a
// failure.
func (g *Gateway) unservedAnswer(r *Request, retryAfter time.Duration) Answer {
	if g.retryIsHarmless(r) {
		return Answer{Outcome: OutcomeRejected, RetryAfter: retryAfter, Retryable: true}
	}
	return Answer{Outcome: OutcomeFailed, cause: causeNoFurtherAttempt}
}
