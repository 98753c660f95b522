package routing

import "time"

// objectiveAt is when the request loses most of its priority weight: its latency objective on the director's clock.
func (r *request) objectiveAt() time.Duration {
	stretch := time.Duration(r.class.ObjectiveStretch * float64(r.transferTime))
	return min(r.startedAt+r.class.LatencyObjective+stretch, r.Deadline)
}

// atDeadline reports whether no answer can reach the request's client in time any more.
func (d *Director) atDeadline(r *request) bool { return d.now >= r.Deadline-d.settings.ClockStep }

// checkProgress looks at a request whose answer is due: at its deadline it ends, a silent endpoint is left for another one, and
// an answer that seems lost is hedged.
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

// silentEndpoint is the endpoint from which nothing came since the attempt was sent; nil if there is none, or if it isn't known
// which. The origin is judged by its answers alone.
func (a *attempt) unresponsiveEndpoint() *endpoint {
	suspect := a.target
	if a.fillExpected {
		if a.fillSource.role != roleParent || a.target.lastOK < a.sentAt { // cache and parent may both be the silent one
			return nil
		}
		suspect = a.fillSource
	}
	if !a.inFlight || suspect.lastOK >= a.sentAt {
		return nil
	}
	return suspect
}

// canLeaveSilent reports whether a request may be retried while its attempt at a silent endpoint may still run.
func (d *Director) mayRetryElsewhere(r *request) bool {
	return d.retryBudget >= 1 && r.class.Effect == Idempotent
}

// leaveSilent cancels the latest attempt, at a silent endpoint, and retries elsewhere.
func (d *Director) retryElsewhere(r *request, unresponsive *endpoint) {
	d.retryBudget--
	r.failedEndpoints = append(r.failedEndpoints, unresponsive)
	if d.settings.CanCancel {
		d.emit(CancelAttempt{ID: r.ID, Attempt: len(r.attempts) - 1})
	}
	d.forward(r)
}

// rejectOrFail gives the final answer at once: a rejection where the client may safely repeat the request, else a failure.
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

// clientMayRepeat reports whether a repeat by the client, wherever it arrives, does no harm.
func (r *request) clientMayRepeat() bool {
	switch {
	case r.class.Effect == Idempotent:
		return true
	case r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll:
		return true
	}
	return r.firstThatMayHaveRun(nil) == nil
}

// retryAfter is when a rejected client may come back: between half of Settings.MaxRetryAfter and all of it, so that clients
// don't come back all at once; 0 where no Retry-After is sent.
func (d *Director) retryAfter() time.Duration {
	if !d.settings.SendRetryAfter {
		return 0
	}
	half := d.settings.MaxRetryAfter / 2
	return half + time.Duration(d.rng.Int64N(int64(half+1)))
}
