package routing

import "time"

// objectiveAt is when the request loses most of its worth.
func (r *request) objectiveAt() time.Duration {
	return min(r.startedAt+r.class.LatencyObjective+time.Duration(r.class.ObjectiveStretch*float64(r.transferTime)), r.Deadline)
}

// checkProgress looks at a request that takes long: a silent server is left for another one.
func (d *Director) checkProgress(r *request) {
	if d.now >= r.Deadline-d.set.ClockStep && !r.streaming {
		d.rejectOrFail(r)
	}
	if r.finished || r.streaming || !r.hasInFlight() {
		return
	}
	a := r.attempts[len(r.attempts)-1]
	s := a.target
	if a.fillExpected && a.fillSource.role == roleParent {
		if s = a.fillSource; a.target.lastOK < a.sentAt { // whether the cache or the parent is silent can't be told
			s = nil
		}
	} else if a.fillExpected {
		s = nil // the origin is judged by its answers
	}
	if s != nil && a.inFlight && s.lastOK < a.sentAt {
		// An answer was due and nothing at all came: the server is silent, whatever the cause. Merely slow
		// ones answer something in between.
		if !a.overdue {
			a.overdue = true
			s.overdueAnswers++
		}
		if s.overdueAnswers >= ejectionOverdueAnswers {
			d.recordFailure(s, true)
			if d.retryBudget >= 1 && r.class.Effect == Idempotent {
				d.retryBudget--
				r.failedEndpoints = append(r.failedEndpoints, s)
				if d.set.CanCancel {
					d.emit(CancelAttempt{ID: r.ID, Attempt: len(r.attempts) - 1})
				}
				d.forward(r)
				return
			}
		}
	}
	if d.shouldHedge(r, a) {
		d.hedgeBudget--
		d.forward(r)
		return
	}
	d.emit(SetTimer{At: d.now + max(d.set.ClockStep, r.class.LatencyObjective/2), Token: r.token, RequestID: r.ID})
}

// rejectOrFail gives the final answer at once: a refusal where trying again is harmless, else a failure.
func (d *Director) rejectOrFail(r *request) {
	d.cancelInFlight(r)
	harmless := r.class.Effect == Idempotent || r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll
	if harmless || r.mayHaveRun(nil) == nil {
		d.emit(Reject{ID: r.ID, RetryAfter: d.retryAfter()})
	} else {
		d.emit(Fail{ID: r.ID})
	}
	r.finished = true
	d.release(r)
}

// retryAfter is when a refused client may come back, spread so that not all do at once.
func (d *Director) retryAfter() time.Duration {
	if !d.set.SendRetryAfter {
		return 0
	}
	return d.set.MaxRetryAfter/2 + time.Duration(d.rng.Int64N(int64(d.set.MaxRetryAfter/2+1)))
}
