package routing

import "time"

const (
	ejectionErrorRate     = 0.4 // share of recent attempts that failed, or ended in an unattributed error, at which an endpoint is ejected
	errorRateWeight       = 0.2 // weight of the newest attempt in the error rate: three failures in a row eject
	outlierErrorMultiple  = 1.6 // multiple of its role's rate of unattributed errors at which an endpoint is ejected
	overdueAnswersToEject = 3   // overdue answers without a usable one in between that eject an endpoint
	panicThreshold        = 0.5 // health is ignored (panic mode) while less than this share of a role's endpoints is healthy

	firstEjection = time.Second
	maxEjection   = 8 * time.Second // each further ejection lasts twice as long, up to this
)

// recordSuccess records a usable answer. When the error rate falls below ejectionErrorRate, the
// ejection ends at once, and the next one starts again at firstEjection.
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

// recordFailure records a failed attempt, and ejects the endpoint if its error rate is too high.
func (d *Director) recordFailure(ep *endpoint) {
	ep.errorRate += errorRateWeight * (1 - ep.errorRate)
	if ep.errorRate >= ejectionErrorRate {
		d.eject(ep)
	}
}

// recordFailureAndEject records a failure that ejects the endpoint whatever its error rate.
func (d *Director) recordFailureAndEject(ep *endpoint) {
	ep.errorRate += errorRateWeight * (1 - ep.errorRate)
	d.eject(ep)
}

// eject makes an endpoint unhealthy for firstEjection, doubled with each further ejection up to
// maxEjection. Afterwards it is tried as a target with one attempt at a time (see healthy) until its
// error rate is low enough (see recordSuccess). An ejection that is under way is not extended.
func (d *Director) eject(ep *endpoint) {
	if ep.ejectedUntil > d.now {
		return
	}
	ep.ejectionDuration = min(maxEjection, max(firstEjection, 2*ep.ejectionDuration))
	ep.ejectedUntil = d.now + ep.ejectionDuration
}

// attributePendingErrors counts a request's errors against their endpoints, after an answer from
// another endpoint has shown that the request is well formed.
func (d *Director) attributePendingErrors(r *request) {
	for _, ep := range r.pendingErrors {
		d.recordFailure(ep)
	}
	r.pendingErrors = nil
}

// recordUnattributedError records an error that may be the request's fault. Malformed requests fail
// at all endpoints alike, so an endpoint with a much higher rate of such errors than its role is
// ejected. Without this rule an endpoint whose errors use up the retry budget would stay in use: no
// retry would be left that could succeed elsewhere and show that the endpoint is at fault.
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

// recordOverdue records that an answer is due and that the endpoint has answered nothing since the
// attempt was sent. It reports whether the endpoint has so many overdue answers that it is ejected,
// now or already. An attempt counts once as an overdue answer, but each check of it raises the
// error rate once there are enough overdue answers for ejection. Endpoints that are merely slow
// answer something in between.
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

// healthy reports whether an endpoint is not ejected. After an ejection the endpoint is healthy
// only while no trial attempt is in flight.
func (d *Director) healthy(ep *endpoint) bool {
	return ep.ejectionDuration == 0 || ep.ejectedUntil <= d.now && !ep.probationInFlight
}

// inPanicMode reports whether so few endpoints of a role are healthy that the fault is probably
// elsewhere. Health is then ignored, and ejected endpoints are sent to as well. The origin is
// always in panic mode.
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
