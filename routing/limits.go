package routing

import (
	"slices"
	"time"

	"larchusher/concurrency"
)

// How far the limits of requests in flight go down. A limit below one is a chance: it lets that share of requests through.
const (
	clientRetryQuota = 0.8 // share of a limit that a client's own retry may use
	minSharedLimit   = 2.0 // a limit is not cut below this for all directors together,
	minDirectorLimit = 0.1 // nor below this for each
)

// Whose fault a late or rejected attempt is, where results don't say.
const (
	promptRejectionRatio = 4               // a rejection that came this many times sooner than any fill did not ask a source
	originFaultWindow    = 2 * time.Second // late fills by two sources within this are the fault of the origin behind both
)

// usable reports whether an endpoint may be sent a request now, by its phase, its slow start and its health.
func (d *Director) usable(ep *endpoint, r *request) bool {
	return ep.up && d.slowStartAllows(ep, r) && (d.healthy(ep) || d.inPanicMode(ep.role))
}

// hasCapacity reports whether one more attempt may be in flight under a limit. A client's retry has spent part of its time,
// and a request that costs much for its priority weight displaces others: both are stopped at a part of the limit.
func (d *Director) hasCapacity(l *concurrency.Limit, r *request) bool {
	quota := d.meanCost.Quota(r.costPerWeight)
	if r.Retry {
		quota *= clientRetryQuota
	}
	return l.HasCapacity(quota, r.draw)
}

// fitsObjective reports whether a cache has capacity for one more attempt, and can finish it within the latency objective
// beside our attempts that are in flight there.
func (d *Director) fitsObjective(ep *endpoint, r *request) bool {
	slots := ep.transferSlots(d.settings.WeightsKnown)
	maxTransfers := concurrency.MaxWithinObjective(slots, r.class.ObjectiveStretch, r.class.LatencyObjective, r.transferTime)
	return d.hasCapacity(&ep.concurrencyLimit, r) && float64(ep.concurrencyLimit.InFlight)+r.draw < maxTransfers
}

// updateMinLimits sets what limits are not cut below. Fetches from the origin get the sum of what the parents get.
func (d *Director) updateMinLimits() {
	for _, ep := range d.endpoints {
		ep.concurrencyLimit.Min = max(minDirectorLimit, minSharedLimit/d.senders(ep.role))
	}
	parents := float64(len(d.upEndpoints[roleParent]))
	d.originFetches.Min = max(minDirectorLimit, minSharedLimit*parents/d.senders(roleOrigin))
}

// updateLimits adapts the limits of requests in flight by the result of an attempt: at a cache, at a fill source, and at the
// origin behind the sources. Answers after the latency objective, and rejections, say that too much is in flight there. The
// limit is then cut to the share that was in time; only what was sent after a cut counts for the next one (package concurrency).
// This holds for slow endpoints, full links and overload alike.
func (d *Director) updateLimits(r *request, a *attempt, o AttemptResult, hit bool) {
	if answerLost(a, o) {
		d.earnHedges(r)
		return // it says nothing of load
	}
	if o.Status == Rejected {
		a.recordHitRejection(o)
		a.rejectedByCache = a.rejectedByTarget(o)
	}
	late := o.Status == Rejected || a.isLate(r, o) && !o.Status.broken()
	if late && r.lateByEarlierAttempts(o) {
		return
	}
	if a.rejectedByCache && a.fillExpected { // the cache alone has no capacity for fills
		return
	}
	if !hit && d.fillAtFault(a, o, late) {
		d.recordLateFill(a, o)
		a.originAtFault = d.isOriginFault(a, o)
	}
	if late && a.target.role == roleOrigin {
		a.target.lastLateFill = d.now
	}
	for _, l := range d.limitsToUpdate(a, o, hit, late) {
		l.Observe(d.now, a.sentAt, late, o.Status == OK || o.Status == Miss)
	}
}

// isLate reports whether an attempt's result came after the latency objective.
func (a *attempt) isLate(r *request, o AttemptResult) bool {
	return a.sentAt+o.Latency > r.objectiveAt()
}

// answerLost reports whether an attempt got no answer because that was lost on its way, and not for load: what was sent later,
// by the same way, was answered.
func answerLost(a *attempt, o AttemptResult) bool {
	return (o.Status == TimedOut || o.Status == Canceled) && a.laterAttemptAnswered()
}

// overtaken reports whether what was sent later, by the same way, has been answered.
func (a *attempt) laterAttemptAnswered() bool {
	return a.target.lastSuccessSentAt > a.sentAt && (!a.fillExpected || a.fillSource.lastSuccessSentAt > a.sentAt)
}

// lateByEarlierAttempts reports whether an answer would have met the latency objective but for the time that earlier attempts
// took.
func (r *request) lateByEarlierAttempts(o AttemptResult) bool {
	return (o.Status == OK || o.Status == ServerError) && o.Latency <= r.objectiveAt()-r.startedAt
}

// rejectedByTarget reports whether a rejection is the cache's own, and not its source's. Where the result doesn't say: it came sooner
// than a source can be asked. For a fill that may only mean that no slot for fills is free, so it counts only if the cache
// has rejected a hit since it last answered well. Otherwise the rejections of a cache that drains before the list says so would
// cut the sources' limits, and so have the requests of all other caches behind them rejected.
func (a *attempt) rejectedByTarget(o AttemptResult) bool {
	return a.rejectedWithoutSource(o) && a.target.lastHitRejectedAt > a.target.lastSuccessSentAt
}

// recordHitRejection notes that a cache rejected what should have been a hit.
func (a *attempt) recordHitRejection(o AttemptResult) {
	if a.rejectedWithoutSource(o) && !a.fillExpected {
		a.target.lastHitRejectedAt = a.sentAt
	}
}

// rejectedWithoutSource reports whether a rejection came from the target alone: it has no source, or the rejection came sooner
// than a source can be asked.
func (a *attempt) rejectedWithoutSource(o AttemptResult) bool {
	prompt := o.Reason == ReasonNone && o.Latency < a.fillSource.minFillLatency/promptRejectionRatio
	return a.fillSource == a.target || prompt
}

// failedOverFill reports whether an attempt that was no hit was late or failed by its fill, as far as is known.
func (d *Director) fillAtFault(a *attempt, o AttemptResult, late bool) bool {
	if a.rejectedByCache || !late && o.Status != ServerError {
		return false
	}
	return a.fillExpected || o.Reason != ReasonNone
}

// isSharedFault reports whether a late or failed fill is the origin's fault rather than its parent's: where the result doesn't say, if
// another parent's fill was late at about that time, or a write at the origin. A parent that alone is slow, silent or gone is
// judged alone.
func (d *Director) isOriginFault(a *attempt, o AttemptResult) bool {
	if !a.fetchedThroughParent(o) {
		return a.fillSource.role == roleOrigin
	}
	if o.Reason == ReasonOriginFailed || len(d.upEndpoints[roleParent]) < 2 {
		return true
	}
	alsoLate := func(ep *endpoint) bool {
		return ep != a.fillSource && ep.lastLateFill > 0 && d.now-ep.lastLateFill < originFaultWindow
	}
	return slices.ContainsFunc(d.upEndpoints[roleParent], alsoLate) || slices.ContainsFunc(d.upEndpoints[roleOrigin], alsoLate)
}

// recordLateFill notes at a parent that its fill was late or failed.
func (d *Director) recordLateFill(a *attempt, o AttemptResult) {
	if a.fetchedThroughParent(o) {
		a.fillSource.lastLateFill = d.now
	}
}

// parentFilled reports whether a parent, which the target could reach, was to fetch from the origin for an attempt.
func (a *attempt) fetchedThroughParent(o AttemptResult) bool {
	unreachable := o.Reason == ReasonSourceLost && o.Status == Rejected
	return a.fillSource.role == roleParent && !a.onlyIfCached && !unreachable
}

// limitsToUpdate are the limits that a result speaks of: the cache's if it answered by itself, else those of the fill.
func (d *Director) limitsToUpdate(a *attempt, o AttemptResult, hit, late bool) []*concurrency.Limit {
	target, source := &a.target.concurrencyLimit, &a.fillSource.concurrencyLimit
	switch {
	case a.target.role == roleOrigin: // such as a write: fills are fetched there, too
		return []*concurrency.Limit{&d.originFetches}
	case hit || !d.concernsSource(a, o, late):
		return []*concurrency.Limit{target}
	case d.answeredWithoutOrigin(a, o) || late && !a.originAtFault:
		return []*concurrency.Limit{source}
	case late || a.fillSource.role == roleOrigin:
		return []*concurrency.Limit{&d.originFetches}
	}
	return []*concurrency.Limit{source, &d.originFetches}
}

// judgesSource reports whether a result that was no hit speaks of the fill source and not of the cache.
func (d *Director) concernsSource(a *attempt, o AttemptResult, late bool) bool {
	if a.fillSource == a.target || a.rejectedByCache {
		return false
	}
	if o.Reason != ReasonNone {
		return true
	}
	seen := evidence{
		hitExpected: !a.fillExpected,
		rejected:    o.Status == Rejected,
		late:        late && d.hitUnknown(a, o),
	}
	seen.utilization, seen.utilizationKnown = a.target.load.Utilization(d.now)
	return seen.concernsSource()
}

// sourceAnsweredAlone reports whether the fill source had no part of an answer from the origin.
func (d *Director) answeredWithoutOrigin(a *attempt, o AttemptResult) bool {
	if a.onlyIfCached || a.fillSource.role == roleCache {
		return true
	}
	return o.Reason == ReasonFilled && d.settings.AnswerDetail == DetailAll
}

// hitUnknown reports whether it is unknown if a result was a hit: results carry no detail in this deployment, whichever cache
// they come from.
func (d *Director) hitUnknown(a *attempt, o AttemptResult) bool {
	return d.settings.AnswerDetail == DetailNone && o.Reason == ReasonNone && a.target.role == roleCache
}
