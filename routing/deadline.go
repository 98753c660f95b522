package routing

import "time"

// objectiveAt returns the time on the director's clock until which an answer earns the full
// priority weight: the latency objective with its stretch, at most the deadline.
func (r *request) objectiveAt() time.Duration {
	stretch := time.Duration(r.class.ObjectiveStretch * float64(r.transferTime))
	return min(r.startedAt+r.class.LatencyObjective+stretch, r.Deadline)
}

// atDeadline reports whether it is too late for an answer to reach the client in time.
func (d *Director) atDeadline(r *request) bool { return d.now >= r.Deadline-d.settings.ClockStep }

// checkProgress checks a request whose answer is due but has not begun: the request ends at its
// deadline, a silent endpoint is abandoned for another one, and an answer that seems lost is
// hedged.
func (d *Director) checkProgress(r *request) {
	if d.atDeadline(r) && !r.streaming {
		d.rejectOrFail(r)
	}
	if r.finished || r.streaming || !r.hasInFlight() {
		return
	}
	latest := r.attempts[len(r.attempts)-1]
	if unresponsive := latest.unresponsiveEndpoint(); unresponsive != nil {
		ejected := d.recordOverdue(latest, unresponsive)
		if ejected && d.mayRetryElsewhere(r) {
			d.retryElsewhere(r, unresponsive)
			return
		}
	}
	if d.shouldHedge(r, latest) {
		d.hedgeBudget--
		d.forward(r)
		return
	}
	d.setRequestTimer(r, d.now+max(d.settings.ClockStep, r.class.LatencyObjective/2))
}

// unresponsiveEndpoint returns the endpoint that has answered nothing since the attempt was sent;
// nil if there is none or it is unknown which one. While a fill is expected only a parent is
// returned: an origin that fills is judged by its answers alone.
func (a *attempt) unresponsiveEndpoint() *endpoint {
	suspect := a.target
	if a.fillExpected {
		if a.fillSource.role != roleParent || a.target.lastOK < a.sentAt { // the cache and the parent may both be silent
			return nil
		}
		suspect = a.fillSource
	}
	if !a.inFlight || suspect.lastOK >= a.sentAt {
		return nil
	}
	return suspect
}

// mayRetryElsewhere reports whether a request may be retried while its attempt at a silent endpoint
// may still be executed.
func (d *Director) mayRetryElsewhere(r *request) bool {
	return d.retryBudget >= 1 && r.class.Effect == Idempotent
}

// retryElsewhere cancels the latest attempt, at a silent endpoint, and forwards the request to
// another one.
func (d *Director) retryElsewhere(r *request, unresponsive *endpoint) {
	d.retryBudget--
	r.failedEndpoints = append(r.failedEndpoints, unresponsive)
	if d.settings.CanCancel {
		d.emit(CancelAttempt{ID: r.ID, Attempt: len(r.attempts) - 1})
	}
	d.forward(r)
}

// rejectOrFail gives the final answer at once: a rejection if the client may safely repeat the
// request, else a failure.
func (d *Director) rejectOrFail(r *request) {
	d.cancelInFlight(r)
	if r.clientMayRepeat() {
		d.emit(Reject{ID: r.ID, RetryAfter: d.retryAfter()})
	} else {
		d.emit(Fail{ID: r.ID})
	}
	r.finished = true
	d.release(r)
}

// clientMayRepeat reports whether a repeat by the client does no harm, at whichever gateway it
// arrives and however late. A request with an idempotency key that may have run is repeated safely
// only within the class's DedupWindow, and a client may come back after that.
func (r *request) clientMayRepeat() bool {
	return r.class.Effect == Idempotent || r.firstThatMayHaveRun(nil) == nil
}

// retryAfter returns the Retry-After of a rejection: a random time between half of
// Settings.MaxRetryAfter and all of it, so that clients do not return all at once; 0 where
// Settings.SendRetryAfter is not set.
func (d *Director) retryAfter() time.Duration {
	if !d.settings.SendRetryAfter {
		return 0
	}
	half := d.settings.MaxRetryAfter / 2
	return half + time.Duration(d.rng.Int64N(int64(half+1)))
}
