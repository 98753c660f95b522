package gateway

import "time"

// Outcome is the kind of a final answer.
type Outcome int

// The outcomes of a request.
const (
	OutcomeServed    Outcome = iota // Body holds the object's bytes
	OutcomeUnchanged                // the copy that the client holds is current
	OutcomeRejected                 // not served; retrying is harmless, after RetryAfter
	OutcomeFailed                   // the request may have run
	OutcomeExpired                  // no answer by the deadline; if Retryable is set, retrying is harmless
)

// String returns the name of an outcome in counters.
func (o Outcome) String() string {
	return [...]string{"served", "unchanged", "refused", "failed", "expired"}[o]
}

// Answer is the one final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte
	ETag       string        // entity tag of the copy served
	RetryAfter time.Duration // Retry-After for the client; 0: none is sent
	Retryable  bool          // retrying is harmless

	cause         failureCause // reason for OutcomeFailed and OutcomeExpired, for the log
	countedAsShed bool         // the admission controller has counted the request as shed
}

// answerRequest gives a request its final answer. It does nothing for a request that was answered
// or abandoned: the answer of a hedged attempt, or one that arrives just after the deadline, is
// dropped. An answer that calls a retry harmless becomes a failure where it is not, for whatever
// reason it was given.
func (g *Gateway) answerRequest(r *Request, a Answer) {
	if r.answered {
		return
	}
	if a.Retryable && !g.retryIsHarmless(r) {
		a = a.asFailure()
	}
	g.closeRequest(r)
	g.Counters.Answered[a.Outcome]++
	if !a.countedAsShed {
		g.CountAnswer(r.Class, a)
	}
	if a.Outcome == OutcomeFailed || a.Outcome == OutcomeExpired {
		g.logFailure(r, a)
	}
	r.Answer(a)
	g.accountAnswer(r, a)
}

// closeRequest removes a request from the open ones, and stops its timers.
func (g *Gateway) closeRequest(r *Request) {
	r.answered = true
	r.deadlineTimer.Stop()
	g.queue.Remove(&r.queueItem)
	for _, timer := range r.directorTimers { // a pending timer would keep the request in memory until it fires
		timer.Stop()
	}
	r.directorTimers = nil
	g.bodyBytes -= len(r.Body)
	r.ReleaseMemory()
	delete(g.requests, r.directorID)
	if g.requestsByClientID[r.ID] == r {
		delete(g.requestsByClientID, r.ID)
	}
	g.executed.remember(r, g.cfg.Loop.Now())
	if r.attemptsInFlight > 0 {
		g.answeredWithAttempts[r.directorID] = r
	}
}
