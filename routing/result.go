package routing

// handleResult takes in the end of an attempt, and forwards the request again or ends it where that is called for.
func (d *Director) handleResult(o AttemptResult) {
	r := d.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := r.attempts[o.Attempt]
	a.inFlight = false
	a.target.probationInFlight = a.target.probationInFlight && !a.probation
	d.countInFlight(a, -1)
	slots := a.target.transferSlots(d.settings.WeightsKnown)
	if utilization, ok := d.loadFields.Utilization(o.LoadReport, slots); ok {
		a.target.load.Observe(d.now, utilization)
	}
	d.learnFromResult(r, a, o)
	d.continueRequest(r, a, o)
}

// continueRequest decides what follows a result: the end of the request, a retry, or waiting for the attempts in flight.
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
	case o.Status == Miss && (a.onlyIfCached || a.fillSource == a.target): // what could fill it is at its limit
		d.rejectOrFail(r)
	case !d.retryAllowed(r, o):
		d.rejectOrFail(r)
	default:
		d.retryBudget--
		d.forward(r)
	}
}

// learnFromResult takes a result into what is known of the endpoints, the limits, the transfer times and the mapping table.
func (d *Director) learnFromResult(r *request, a *attempt, o AttemptResult) {
	hit := d.wasHit(r, a, o)
	if hit && a.fillSource != a.target {
		a.fillSource.slowStartBudget.Refund(a.slowStartCost) // it was not asked
	}
	if o.SizeKB > 0 && o.Status == OK && d.settings.FlowKBps > 0 {
		d.learnSize(r, o.SizeKB) // before the limits: by the size it is known whether the answer was late
	}
	a.mayHaveRun = o.Status.mayHaveRun()
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

// wasHit reports whether a result was served from a copy at the target, as it says itself or as it implies.
func (d *Director) wasHit(r *request, a *attempt, o AttemptResult) bool {
	if o.Status == OK && (o.Reason == ReasonHit || o.Reason == ReasonStale) {
		return true
	}
	seen := evidence{hitExpected: !a.fillExpected, served: o.Status == OK, late: a.isLate(r, o)}
	return d.hitUnknown(a, o) && seen.isHit()
}

// judgeEndpoints takes a result into the health of the target and of the fill source.
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
		// Silence is judged while the attempt is in flight; see checkProgress.
	}
}

// recordServed takes in that an endpoint served an attempt, by work of its own or not.
func (d *Director) recordServed(r *request, a *attempt, ep *endpoint, didWork bool) {
	if didWork {
		ep.recordWork(d.now, d.completedWork(r))
	}
	d.recordSuccess(ep)
	ep.lastSuccessSentAt = max(ep.lastSuccessSentAt, a.sentAt)
}

// recordFault takes a failed attempt into the health of the endpoint at fault. That endpoint is not tried again by this request.
func (d *Director) recordFault(r *request, a *attempt, o AttemptResult) {
	ep := a.target
	if a.fillSource != a.target && !a.rejectedByCache && a.sourceAtFault(o) {
		ep = a.fillSource
	}
	r.failedEndpoints = append(r.failedEndpoints, ep)
	switch {
	case o.Reason == ReasonNoFillSlot || o.CollateralReset:
		// No fault of the endpoint's.
	case ep.role == roleParent && a.originAtFault:
		// The origin's fault.
	case o.Status == ServerError && o.Reason == ReasonNone:
		r.pendingErrors = append(r.pendingErrors, ep) // unless the request is malformed: the next endpoint's answer tells
		d.recordUnattributedError(ep)
	default:
		d.recordFailure(ep)
	}
}

// sourceAtFault reports whether a failed attempt, which was not rejected by its target itself, is the fault of the fill source.
// Of an error that names nobody, the one that has been without success for longer is held at fault.
func (a *attempt) sourceAtFault(o AttemptResult) bool {
	if o.Reason.fillFailed() || o.Status == Rejected {
		return true
	}
	return o.Status == ServerError && o.Reason == ReasonNone && a.fillSource.lastOK < a.target.lastOK
}
