package routing

import "time"

const (
	ejectionErrorRate     = 0.4 // share of recent attempts that failed, or failed unattributed, from which on an endpoint is ejected
	errorRateWeight       = 0.2 // weight of the newest attempt in it: three failures in a row eject
	outlierErrorMultiple  = 1.6 // multiple of its role's rate of unattributed errors that ejects an endpoint
	overdueAnswersToEject = 3   // overdue answers, with none in between, that eject an endpoint
	panicThreshold        = 0.5 // when fewer than this share of a role are healthy, health is ignored (panic mode)

	firstEjection = time.Second
	maxEjection   = 8 * time.Second // each further ejection lasts twice as long, up to this
)

// recordSuccess takes in an answer of any use. One that brings the error rate below ejectionErrorRate ends the endpoint's ejection
// at once, and its next ejection is a first one.
func (d *Director) recordSuccess(ep *endpoint) {
	ep.lastOK, ep.overdueAnswers = d.now, 0
	d.unattributedErrorRate[ep.role] -= errorRateWeight * d.unattributedErrorRate[ep.role]
	ep.unattributedErrorRate -= errorRateWeight * ep.unattributedErrorRate
	ep.errorRate -= errorRateWeight * ep.errorRate
	if ep.errorRate < ejectionErrorRate {
		ep.ejectionDuration = 0
		ep.ejectedUntil = min(ep.ejectedUntil, d.now)
	}
}

// recordFailure takes in a failure of an endpoint, and ejects the endpoint when its error rate is too high.
func (d *Director) recordFailure(ep *endpoint) {
	ep.errorRate += errorRateWeight * (1 - ep.errorRate)
	if ep.errorRate >= ejectionErrorRate {
		d.eject(ep)
	}
}

// recordOutlier takes in a failure that ejects an endpoint whatever its error rate.
func (d *Director) recordFailureAndEject(ep *endpoint) {
	ep.errorRate += errorRateWeight * (1 - ep.errorRate)
	d.eject(ep)
}

// eject makes an endpoint unhealthy for firstEjection, doubled with each ejection up to maxEjection. After that it is tried with one
// attempt at a time (see healthy) until it answers well (see recordSuccess). An ejection that still lasts is not prolonged.
func (d *Director) eject(ep *endpoint) {
	if ep.ejectedUntil > d.now {
		return
	}
	ep.ejectionDuration = min(maxEjection, max(firstEjection, 2*ep.ejectionDuration))
	ep.ejectedUntil = d.now + ep.ejectionDuration
}

// attributePendingErrors counts a request's errors against their endpoints, once another endpoint's answer has shown that the
// request is well formed.
func (d *Director) attributePendingErrors(r *request) {
	for _, ep := range r.pendingErrors {
		d.recordFailure(ep)
	}
	r.pendingErrors = nil
}

// recordUnattributedError takes in an error that may be its request's fault. Malformed requests fail wherever they are sent, so
// an endpoint with far more such errors than its role has is an outlier. Without this, an endpoint whose errors spend the
// retry budget would never be found: no retry would be left whose success could confirm the suspicion.
func (d *Director) recordUnattributedError(ep *endpoint) {
	ep.unattributedErrorRate += errorRateWeight * (1 - ep.unattributedErrorRate)
	d.unattributedErrorRate[ep.role] += errorRateWeight * (1 - d.unattributedErrorRate[ep.role])
	if ep.unattributedErrorRate < ejectionErrorRate {
		return
	}
	if ep.unattributedErrorRate >= outlierErrorMultiple*d.unattributedErrorRate[ep.role] {
		d.recordFailureAndEject(ep)
	}
}

// recordOverdue takes in that an answer was due and nothing at all came from an endpoint since the sending, and reports whether
// the endpoint has so many overdue answers that it is ejected, now or already. An attempt counts once in the overdue answers;
// its error rate rises at each look. Merely slow endpoints answer something in between.
func (d *Director) recordOverdue(a *attempt, ep *endpoint) bool {
	if !a.overdue {
		a.overdue = true
		ep.overdueAnswers++
	}
	if ep.overdueAnswers < overdueAnswersToEject {
		return false
	}
	d.recordFailureAndEject(ep)
	return true
}

// healthy reports whether an endpoint is not ejected. One that is back from ejection is healthy while no attempt is in flight that
// tries it.
func (d *Director) healthy(ep *endpoint) bool {
	return ep.ejectionDuration == 0 || ep.ejectedUntil <= d.now && !ep.probationInFlight
}

// inPanicMode reports whether so few endpoints of a role are healthy that the fault is likely elsewhere: health is ignored then,
// and ejected ones are sent to as well. The origin is always sent to.
func (d *Director) inPanicMode(of role) bool {
	if of == roleOrigin {
		return true
	}
	healthy := 0
	for _, ep := range d.upEndpoints[of] {
		if d.healthy(ep) {
			healthy++
		}
	}
	return float64(healthy) < panicThreshold*float64(len(d.upEndpoints[of]))
}
