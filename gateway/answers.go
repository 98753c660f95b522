package gateway

import "time"

// Outcome is the kind of a final answer.
type Outcome int

// The outcomes of a request.
const (
	OutcomeServed    Outcome = iota // Body holds the object's bytes
	OutcomeUnchanged                // the copy that the client holds is current
	OutcomeRejected                 // not served; repeating it does no harm, after RetryAfter
	OutcomeFailed                   // it may have run
	OutcomeExpired                  // no answer in time; as Rejected where Retryable is set, else as Failed
)

// String names an outcome, as the counters do.
func (o Outcome) String() string {
	return [...]string{"served", "unchanged", "refused", "failed", "expired"}[o]
}

// Answer is the one final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte
	ETag       string        // of the copy served
	RetryAfter time.Duration // advice to the client; 0: none
	Retryable  bool          // retrying is harmless

	cause         failureCause // of Failed and Expired, for the log
	countedAsShed bool         // the admission controller has counted it
}

// answerRequest gives a request its final answer, unless it has had one or its client has left: an answer of a second
// attempt, or one that crosses the deadline, is dropped.
func (g *Gateway) answerRequest(r *Request, a Answer) {
	if r.answered {
		return
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

// answerByID gives a request that its director has given up its answer at once. One given up at its very deadline has
// expired.
func (g *Gateway) answerByID(id string, a Answer) {
	r := g.requests[id]
	if r == nil {
		return
	}
	if !g.cfg.Loop.Now().Before(r.Deadline.Add(-g.cfg.Settings.ClockStep - time.Millisecond)) {
		a.Outcome, a.cause = OutcomeExpired, causeDeadline
	}
	g.answerRequest(r, a)
}

// closeRequest takes a request off the open ones.
func (g *Gateway) closeRequest(r *Request) {
	r.answered = true
	r.deadlineTimer.Stop()
	g.queue.Remove(&r.queueItem)
	for _, t := range r.directorTimers { // a timer that is left would keep the request in memory until it fires
		t.Stop()
	}
	r.directorTimers = nil
	g.bodyBytes -= len(r.Body)
	delete(g.requests, r.directorID)
	if g.requestsByClientID[r.ID] == r {
		delete(g.requestsByClientID, r.ID)
	}
	if r.attemptsInFlight > 0 {
		g.answeredWithAttempts[r.directorID] = r
	}
}
