package routing

import (
	"slices"
	"time"

	"larchusher/concurrency"
)

// Quota of client retries, and lower bounds of limits on attempts in flight. A limit below one is a
// probability: it lets that share of requests through.
const (
	clientRetryQuota = 0.8 // share of a limit that a client's own retry may use
	minSharedLimit   = 2.0 // lower bound of a limit over all directors together
	lightClientQuota = 1.5 // multiple of a limit up to which a light client's request may be in flight
	minDirectorLimit = 0.1 // lower bound of a limit at one director
)

// Attribution of late or rejected attempts where results don't state the cause.
const (
	promptRejectionRatio = 4               // a rejection this many times faster than any fill came without asking the source
	originFaultWindow    = 2 * time.Second // late fills from two sources within this time are the fault of the origin behind both
)

// usable reports whether an endpoint may be sent a request now, by its phase, slow start and
// health.
func (d *Director) usable(ep *endpoint, r *request) bool {
	return ep.up && d.slowStartAllows(ep, r) && (d.healthy(ep) || d.inPanicMode(ep.role))
}

// hasCapacity reports whether a limit allows one more attempt in flight. A client's retry has
// already used part of its time, and a request that is costly for its priority weight displaces
// others: both may use only a part of the limit. A request of a light client may exceed it a little,
// so that it finds capacity where clients that send much use all of it.
func (d *Director) hasCapacity(l *concurrency.Limit, r *request) bool {
	quota := d.meanCost.Quota(r.costPerWeight)
	if r.Retry {
		quota *= clientRetryQuota
	}
	if r.LightClient && l.HasCapacity(lightClientQuota, 0) {
		return true
	}
	return l.HasCapacity(quota, r.draw)
}

// fitsObjective reports whether a cache has capacity for one more attempt and can finish it within
// the latency objective together with this director's other attempts in flight there.
func (d *Director) fitsObjective(ep *endpoint, r *request) bool {
	slots := ep.transferSlots(d.settings.WeightsKnown)
	maxTransfers := concurrency.MaxWithinObjective(slots, r.class.ObjectiveStretch, r.class.LatencyObjective, r.transferTime)
	return d.hasCapacity(&ep.concurrencyLimit, r) && float64(ep.concurrencyLimit.InFlight)+r.draw < maxTransfers
}

// updateMinLimits sets the lower bounds of all limits. That of fetches from the origin is the sum
// over the parents.
func (d *Director) updateMinLimits() {
	for _, ep := range d.endpoints {
		ep.concurrencyLimit.Min = max(minDirectorLimit, minSharedLimit/d.senders(ep.role))
	}
	parents := float64(len(d.upEndpoints[roleParent]))
	d.originFetches.Min = max(minDirectorLimit, minSharedLimit*parents/d.senders(roleOrigin))
}

// updateLimits adapts the limits on attempts in flight by the result of an attempt: at a cache, at
// a fill source, and at the origin behind the sources. Answers after the latency objective, and
// rejections, show that too much is in flight there. The limit is then lowered by the share of late
// answers; only attempts sent after a cut count for the next one (see package concurrency). Slow
// endpoints, full links and overload are handled alike.
func (d *Director) updateLimits(r *request, a *attempt, o AttemptResult, hit bool) {
	if answerLost(a, o) {
		d.earnHedges(r)
		return // a lost answer is no sign of load
	}
	if o.Status == Rejected {
		a.recordHitRejection(o)
		a.rejectedByCache = a.rejectedByTarget(o)
	}
	late := o.Status == Rejected || a.isLate(r, o) && !o.Status.broken()
	if late && r.lateByEarlierAttempts(o) {
		return
	}
	if a.rejectedByCache && a.fillExpected { // only the cache lacks capacity for fills
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

// answerLost reports whether an attempt got no answer because the answer was lost on its way, and
// not because of load: an attempt sent later by the same way was answered.
func answerLost(a *attempt, o AttemptResult) bool {
	return (o.Status == TimedOut || o.Status == Canceled) && a.laterAttemptAnswered()
}

// laterAttemptAnswered reports whether an attempt sent later, to the same target and fill source,
// was answered.
func (a *attempt) laterAttemptAnswered() bool {
	return a.target.lastSuccessSentAt > a.sentAt && (!a.fillExpected || a.fillSource.lastSuccessSentAt > a.sentAt)
}

// lateByEarlierAttempts reports whether an answer would have met the latency objective without the
// time that the request's earlier attempts took.
func (r *request) lateByEarlierAttempts(o AttemptResult) bool {
	return (o.Status == OK || o.Status == ServerError) && o.Latency <= r.objectiveAt()-r.startedAt
}

// rejectedByTarget reports whether a rejection is the cache's own and not its source's. Where the
// result does not state it, the cache's own rejection is one that came sooner than a source can be
// asked. For a fill that may only mean that the cache has no free slot for fills, so it counts only
// if the cache has rejected a hit since its last success. Without this rule, the rejections of a
// cache that starts draining before the endpoint list shows it would cut the sources' limits, and
// requests of all other caches of these sources would be rejected.
func (a *attempt) rejectedByTarget(o AttemptResult) bool {
	return a.rejectedWithoutSource(o) && a.target.lastHitRejectedAt > a.target.lastSuccessSentAt
}

// recordHitRejection records that a cache rejected an attempt that should have been a hit.
func (a *attempt) recordHitRejection(o AttemptResult) {
	if a.rejectedWithoutSource(o) && !a.fillExpected {
		a.target.lastHitRejectedAt = a.sentAt
	}
}

// rejectedWithoutSource reports whether a rejection came from the target alone: it has no source,
// or the rejection came sooner than a source can be asked.
func (a *attempt) rejectedWithoutSource(o AttemptResult) bool {
	prompt := o.Reason == ReasonNone && o.Latency < a.fillSource.minFillLatency/promptRejectionRatio
	return a.fillSource == a.target || prompt
}

// fillAtFault reports whether an attempt that was no hit was late or failed because of its fill, as
// far as is known.
func (d *Director) fillAtFault(a *attempt, o AttemptResult, late bool) bool {
	if a.rejectedByCache || !late && o.Status != ServerError {
		return false
	}
	return a.fillExpected || o.Reason != ReasonNone
}

// isOriginFault reports whether a late or failed fill is the fault of the origin and not of the
// parent. A fill that no parent was to fetch is the origin's fault if the origin itself was the fill
// source. A fill through a parent is the origin's fault if the result states it or there is no other
// parent to compare with. With several parents it is the origin's fault if another parent's fill, or
// a write at the origin, was late within originFaultWindow; otherwise the parent itself is slow,
// silent or unreachable.
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

// recordLateFill records that a parent's fill was late or failed.
func (d *Director) recordLateFill(a *attempt, o AttemptResult) {
	if a.fetchedThroughParent(o) {
		a.fillSource.lastLateFill = d.now
	}
}

// fetchedThroughParent reports whether the attempt's fill was to be fetched from the origin by a
// parent that the target could reach.
func (a *attempt) fetchedThroughParent(o AttemptResult) bool {
	unreachable := o.Reason == ReasonSourceLost && o.Status == Rejected
	return a.fillSource.role == roleParent && !a.onlyIfCached && !unreachable
}

// limitsToUpdate returns the limits that a result concerns: the cache's if it answered without a
// fill, else those of the fill.
func (d *Director) limitsToUpdate(a *attempt, o AttemptResult, hit, late bool) []*concurrency.Limit {
	target, source := &a.target.concurrencyLimit, &a.fillSource.concurrencyLimit
	switch {
	case a.target.role == roleOrigin: // for example a write; fills are fetched from the origin as well
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

// concernsSource reports whether the result of an attempt that was no hit concerns the fill source
// and not the cache.
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

// answeredWithoutOrigin reports whether the fill source answered without fetching from the origin.
func (d *Director) answeredWithoutOrigin(a *attempt, o AttemptResult) bool {
	if a.onlyIfCached || a.fillSource.role == roleCache {
		return true
	}
	return o.Reason == ReasonFilled && d.settings.AnswerDetail == DetailAll
}

// hitUnknown reports whether it is unknown if an answer from a cache was a hit, because results
// carry no detail in this deployment.
func (d *Director) hitUnknown(a *attempt, o AttemptResult) bool {
	return d.settings.AnswerDetail == DetailNone && o.Reason == ReasonNone && a.target.role == roleCache
}
