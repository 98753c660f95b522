package routing

import "time"

const (
	ejectionErrorRate      = 0.4 // share of recent attempts failing that ejects an endpoint
	errorRateWeight        = 0.2 // weight of the newest attempt in it: three failures in a row eject
	outlierErrorMultiple   = 1.6 // multiple of its role's rate of unattributed errors that ejects an endpoint
	ejectionOverdueAnswers = 3   // overdue answers, with none in between, that eject an endpoint
	minInUseShare          = 0.5 // share of the caches here, or of the parents, that stays in use whatever their health

	firstEjection = time.Second
	maxEjection   = 8 * time.Second // each further ejection lasts twice as long, up to this
)

// recordSuccess takes in an answer of any use. An endpoint whose error rate has fallen is well again: its next ejection is a
// first one.
func (d *Director) recordSuccess(ep *endpoint) {
	ep.lastOK, ep.overdueAnswers = d.now, 0
	d.unattributedErrorRate[ep.role] -= errorRateWeight * d.unattributedErrorRate[ep.role]
	ep.unattributedErrorRate -= errorRateWeight * ep.unattributedErrorRate
	ep.errorRate -= errorRateWeight * ep.errorRate
	if ep.errorRate < ejectionErrorRate {
		ep.backoff = 0
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
func (d *Director) recordOutlier(ep *endpoint) {
	ep.errorRate += errorRateWeight * (1 - ep.errorRate)
	d.eject(ep)
}

// eject takes an endpoint out of use for a while. It returns by one attempt at a time (see healthy), until it answers well.
func (d *Director) eject(ep *endpoint) {
	if ep.ejectedUntil > d.now {
		return
	}
	ep.backoff = min(maxEjection, max(firstEjection, 2*ep.backoff))
	ep.ejectedUntil = d.now + ep.backoff
}

// confirmSuspects counts a request's errors against their endpoints, once another endpoint's answer has shown that the
// request is well formed.
func (d *Director) confirmSuspects(r *request) {
	for _, ep := range r.suspects {
		d.recordFailure(ep)
	}
	r.suspects = nil
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
		d.recordOutlier(ep)
	}
}

// recordOverdue counts, once an attempt, that an answer was due and nothing at all came from an endpoint since the sending, and
// reports whether that ejected the endpoint. Merely slow ones answer something in between.
func (d *Director) recordOverdue(a *attempt, ep *endpoint) bool {
	if !a.overdue {
		a.overdue = true
		ep.overdueAnswers++
	}
	if ep.overdueAnswers < ejectionOverdueAnswers {
		return false
	}
	d.recordOutlier(ep)
	return true
}

// healthy reports whether an endpoint is not ejected. One that is back from ejection is healthy while no attempt is in flight that
// tries it.
func (d *Director) healthy(ep *endpoint) bool {
	return ep.backoff == 0 || ep.ejectedUntil <= d.now && !ep.probationInFlight
}

// keptByFloor reports whether an ejected endpoint stays in use, as so many of its role are ejected that the fault is likely
// elsewhere. The origin always stays.
func (d *Director) keptByFloor(ep *endpoint) bool {
	healthy := 0
	for _, other := range d.inUse[ep.role] {
		if d.healthy(other) {
			healthy++
		}
	}
	return ep.role == roleOrigin || float64(healthy) < minInUseShare*float64(len(d.inUse[ep.role]))
}
