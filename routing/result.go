package routing

import (
	"cmp"
	"slices"
	"time"
)

func (d *Director) handleResult(o AttemptResult) {
	r := d.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := r.attempts[o.Attempt]
	a.inFlight = false
	a.target.probationInFlight = a.target.probationInFlight && !a.probation
	d.countInFlight(a, -1)
	if share, ok := d.loadFields.Utilization(o.LoadReport, a.target.transferSlots(d.set.WeightsKnown)); ok {
		a.target.load.Observe(d.now, share)
	}
	d.learnFromResult(r, a, o)
	switch {
	case r.finished || o.Final:
		if !r.finished {
			d.cancelInFlight(r)
		}
		r.finished = true
		d.release(r)
	case r.retryPending:
		d.forward(r)
	case r.hasInFlight():
	case o.Status == Miss && (a.onlyIfCached || a.fillSource == a.target): // what could fill it is at its limit
		d.rejectOrFail(r)
	case d.now >= r.Deadline-d.set.ClockStep || d.retryBudget < 1,
		o.Status == ServerError && len(r.attempts) >= maxErrorAttempts:
		d.rejectOrFail(r)
	default:
		d.retryBudget--
		d.forward(r)
	}
}

// learnFromResult moves the table and the health of those involved by an outcome.
func (d *Director) learnFromResult(r *request, a *attempt, o AttemptResult) {
	seen := evidence{hitExpected: !a.fillExpected, served: o.Status == OK, late: a.sentAt+o.Latency > r.objectiveAt()}
	hit := o.Status == OK && (o.Reason == ReasonHit || o.Reason == ReasonStale) || d.hitUnknown(a, o) && seen.isHit()
	if hit && a.fillSource != a.target {
		a.fillSource.slowStartBudget.Refund(a.slowStartCost) // it was not asked
	}
	if o.SizeKB > 0 && o.Status == OK && d.set.FlowKBps > 0 { // now it is known how long it had to take
		d.learnSize(r, o.SizeKB)
	}
	a.mayHaveRun = !slices.Contains([]Status{Rejected, ConnectFailed, NotSent, Miss}, o.Status)
	d.updateLimits(r, a, o, hit)
	switch o.Status {
	case OK:
		d.retryBudget = min(maxSavedRetries, d.retryBudget+retriesPerSuccess)
		d.confirmSuspects(r)
		d.recordSuccess(a.target)
		a.target.lastSuccessSentAt = max(a.target.lastSuccessSentAt, a.sentAt)
		a.target.recordWork(d.now, d.completedWork(r))
		d.updateCarriedRate(a.target.role)
		if !hit && a.fillSource != a.target {
			if o.Reason != ReasonCoalesced {
				a.fillSource.recordWork(d.now, d.completedWork(r))
			}
			d.recordSuccess(a.fillSource)
			a.fillSource.lastSuccessSentAt = max(a.fillSource.lastSuccessSentAt, a.sentAt)
			a.fillSource.fillLatency += time.Duration(averageWeight * float64(max(0, o.Latency-r.transferTime)-a.fillSource.fillLatency))
			a.fillSource.fillLatencyAt = d.now
			a.fillSource.minFillLatency = min(cmp.Or(a.fillSource.minFillLatency, o.Latency), o.Latency)
		}
	case ServerError, Reset, ConnectFailed, Rejected:
		bad := a.target
		if a.fillSource != a.target && !a.rejectedByCache && (o.Reason >= ReasonSourceRejected || o.Status == Rejected ||
			o.Status == ServerError && o.Reason == ReasonNone && a.fillSource.lastOK < a.target.lastOK) { // untold
			bad = a.fillSource
		}
		r.failedEndpoints = append(r.failedEndpoints, bad)
		switch {
		case o.Reason == ReasonNoFillSlot || o.CollateralReset || bad.role == roleParent && a.sharedFault:
		case o.Status == ServerError && o.Reason == ReasonNone: // or the request is at fault: the next one tells
			r.suspects = append(r.suspects, bad)
			d.recordUnattributedError(bad)
		default:
			d.recordFailure(bad, false)
		}
	case Miss:
		d.confirmSuspects(r)
		if a.onlyIfCached {
			d.recordSuccess(a.fillSource)
		}
	}
	e := r.entry
	if e != nil && o.Status == OK && r.SizeKB <= 0 { // the quickest answer is closest to the sending alone
		if e.transferTime == 0 || o.Latency < e.transferTime {
			e.transferTime = o.Latency
		}
		if hit {
			r.class.meanTransferTime += time.Duration(averageWeight / 10 * float64(e.transferTime-r.class.meanTransferTime))
		}
	}
	if e == nil || o.Status != OK || a.target.role != roleCache || !hit && a.cacheRank == 0 {
		return
	}
	if hit {
		e.lastHit = d.now
	}
	e.copySeenAt = max(e.copySeenAt, a.sentAt)
	if !e.hitExpectedAt(a.target) {
		e.cache, e.cacheIncarnation, e.movedAt = a.target, a.target.incarnation, d.now
		d.queueMove(e)
	}
}
