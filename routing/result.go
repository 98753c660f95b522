package routing

// handleResult processes the result of an attempt: it updates what is learned, and forwards or ends
// the request. Results of unknown or already ended attempts are ignored.
func (d *Director) handleResult(o AttemptResult) {
	r := d.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := r.attempts[o.Attempt]
	a.inFlight = false
	a.mayHaveRun = o.Status.MayHaveRun()
	d.countInFlight(a, -1)
	if a.endpointsUnchanged() {
		a.target.probationInFlight = a.target.probationInFlight && !a.probation
		slots := a.target.transferSlots(d.settings.WeightsKnown)
		if utilization, ok := d.loadFields.Utilization(o.LoadReport, slots); ok {
			a.target.load.Observe(d.now, utilization)
		}
		d.learnFromResult(r, a, o)
	}
	d.continueRequest(r, a, o)
}

// endpointsUnchanged reports whether the target and the fill source have not started anew since the attempt was sent. What a
// former process did says nothing about the one that has its name now.
func (a *attempt) endpointsUnchanged() bool {
	return a.targetStart == a.target.incarnation && a.fillSourceStart == a.fillSource.incarnation
}

// continueRequest decides what follows a result: the end of the request, a retry, or waiting for
// other attempts in flight.
func (d *Director) continueRequest(r *request, a *attempt, o AttemptResult) {
	switch {
	case r.finished:
		d.release(r)
	case o.Final:
		d.cancelInFlight(r)
		r.finished = true
		d.release(r)
	case r.retryPending:
		d.forward(r)
	case r.hasInFlight():
	case o.Status == Miss && (a.onlyIfCached || a.fillSource == a.target): // the endpoint that could fill the miss is at its limit, or there is none
		d.rejectOrFail(r)
	case !d.retryAllowed(r, o):
		d.rejectOrFail(r)
	default:
		d.retryBudget--
		d.forward(r)
	}
}

// learnFromResult updates endpoint health, limits, transfer times and the mapping table by a
// result.
func (d *Director) learnFromResult(r *request, a *attempt, o AttemptResult) {
	hit := d.wasHit(r, a, o)
	if hit && a.fillSource != a.target {
		a.fillSource.slowStartBudget.Refund(a.slowStartCost) // the fill source was not asked
	}
	if o.SizeKB > 0 && o.Status == OK && d.settings.FlowKBps > 0 {
		d.learnSize(r, o.SizeKB) // before the limits: whether the answer was late depends on its size
	}
	d.updateLimits(r, a, o, hit)
	d.updateEndpointHealth(r, a, o, hit)
	if r.entry == nil || o.Status != OK {
		return
	}
	if r.SizeKB <= 0 {
		r.learnTransferTime(o.Latency, hit)
	}
	if a.target.role == roleCache && (hit || a.cacheRank != RankNone) {
		d.recordCopy(r.entry, a, hit)
	}
}

// wasHit reports whether an answer was served from a copy at the target, as the result states or
// implies.
func (d *Director) wasHit(r *request, a *attempt, o AttemptResult) bool {
	if o.Status == OK && (o.Reason == ReasonHit || o.Reason == ReasonStale) {
		return true
	}
	seen := evidence{hitExpected: !a.fillExpected, served: o.Status == OK, late: a.isLate(r, o)}
	return d.hitUnknown(a, o) && seen.isHit()
}

// updateEndpointHealth updates the health of the target and of the fill source by a result.
func (d *Director) updateEndpointHealth(r *request, a *attempt, o AttemptResult, hit bool) {
	switch o.Status {
	case OK:
		d.earnRetry()
		d.attributePendingErrors(r)
		d.recordServed(r, a, a.target, true)
		d.updateWarmRate(a.target.role)
		if !hit && a.fillSource != a.target {
			d.recordServed(r, a, a.fillSource, o.Reason != ReasonCoalesced)
			a.fillSource.recordFillLatency(d.now, o.Latency, r.transferTime)
		}
	case ServerError, Reset, ConnectFailed, Rejected:
		d.recordFault(r, a, o)
	case Miss:
		d.attributePendingErrors(r)
		if a.onlyIfCached {
			d.recordSuccess(a.fillSource)
		}
	case TimedOut, Canceled, NotSent:
		// Time without any answer is judged while the attempt is in flight; see checkProgress.
	}
}

// recordServed records that an endpoint served an attempt. didWork is false if the transfer was
// another fill's, which the request joined.
func (d *Director) recordServed(r *request, a *attempt, ep *endpoint, didWork bool) {
	if didWork {
		ep.recordWork(d.now, d.completedWork(r))
	}
	d.recordSuccess(ep)
	ep.lastSuccessSentAt = max(ep.lastSuccessSentAt, a.sentAt)
}

// recordFault counts a failed attempt against the endpoint at fault. This request does not try that
// endpoint again.
func (d *Director) recordFault(r *request, a *attempt, o AttemptResult) {
	ep := a.target
	if a.fillSource != a.target && !a.rejectedByCache && a.sourceAtFault(o) {
		ep = a.fillSource
	}
	r.failedEndpoints = append(r.failedEndpoints, ep)
	switch {
	case o.Reason == ReasonNoFillSlot || o.CollateralReset:
		// The endpoint is not at fault.
	case ep.role == roleParent && a.originAtFault:
		// The origin is at fault, not the parent.
	case o.Status == ServerError && o.Reason == ReasonNone:
		r.pendingErrors = append(r.pendingErrors, ep) // the request may be malformed: another endpoint's answer decides
		d.recordUnattributedError(ep)
	default:
		d.recordFailure(ep)
	}
}

// sourceAtFault reports whether a failed attempt is the fault of the fill source. The caller has
// excluded rejections by the target itself. An error of unknown cause counts against the endpoint
// whose latest usable answer is older.
func (a *attempt) sourceAtFault(o AttemptResult) bool {
	if o.Reason.fillFailed() || o.Status == Rejected {
		return true
	}
	return o.Status == ServerError && o.Reason == ReasonNone && a.fillSource.lastOK < a.target.lastOK
}
