package routing

import (
	"slices"
	"time"

	"larchusher/concurrency"
)

const (
	clientRetryQuota     = 0.8             // a client's repeat stops at this share of the limit
	minSharedLimit       = 2               // a limit is not cut below this, shared by all directors,
	minDirectorLimit     = 0.1             // nor below this for each
	promptRejectionRatio = 4               // a refusal that came this many times sooner than any fill asked no source
	sharedFaultWindow    = 2 * time.Second // late fills by two sources within this speak of what is behind both
)

// usable says whether a server may be sent something now.
func (d *Director) usable(s *endpoint, r *request) bool {
	return s.up && d.slowStartAllows(s, r) && (d.healthy(s) || d.keptByFloor(s))
}

// hasCapacity says whether one more attempt may be out. A client's repeat has lost part of its time, and what costs
// much for its worth takes the place of others: they stop first.
func (d *Director) hasCapacity(l *concurrency.Limit, r *request) bool {
	part := d.meanCost.Quota(r.costPerWeight)
	if r.Retry {
		part *= clientRetryQuota
	}
	return l.HasCapacity(part, r.draw)
}

// fitsObjective says whether a cache has room for one more, and can finish it in aim beside what of ours is there.
func (d *Director) fitsObjective(s *endpoint, r *request) bool {
	most := concurrency.MaxWithinObjective(s.transferSlots(d.set.WeightsKnown), r.class.ObjectiveStretch, r.class.LatencyObjective, r.transferTime)
	return d.hasCapacity(&s.concurrencyLimit, r) && float64(s.concurrencyLimit.InFlight)+r.draw < most
}

// updateLimits learns how much may be out at a cache, at a source of fills, and at the origin behind the sources.
// Answers later than the aim, and refusals, say that what is out there shares too little. The limit is then
// cut to the share that was in time; only what was sent after a cut counts for the next one. Holds against
// slow parts, full links and overload alike; may hurt where answers are late for reasons that no limit mends.
func (d *Director) updateLimits(r *request, a *attempt, o AttemptResult, hit bool) {
	late := a.sentAt+o.Latency > r.objectiveAt() && !o.Status.broken() || o.Status == Rejected
	if (o.Status == TimedOut || o.Status == Canceled) && a.overtaken() {
		if d.now >= r.Deadline-2*d.set.ClockStep && len(r.attempts) == 1 {
			d.hedgeBudget = min(2*hedgesPerLostAnswer, d.hedgeBudget+hedgesPerLostAnswer)
		}
		return // an answer that got lost on its way says nothing of load
	}
	a.rejectedByCache = o.Status == Rejected && a.rejectedByTarget(o)
	earlier := late && (o.Status == OK || o.Status == ServerError) && o.Latency <= r.objectiveAt()-r.startedAt
	if earlier || a.rejectedByCache && a.fillExpected { // other attempts took the time, or the cache alone is closed
		return
	}
	a.sharedFault = !hit && !a.rejectedByCache && (late || o.Status == ServerError) && (a.fillExpected || o.Reason != ReasonNone) &&
		d.isSharedFault(a, o)
	for _, l := range d.limitsToUpdate(a, o, hit, late) {
		l.Observe(d.now, a.sentAt, late, o.Status == OK || o.Status == Miss)
	}
}

// limitsToUpdate names what an outcome's time speaks of: the cache if it answered by itself, else a part of the fill.
func (d *Director) limitsToUpdate(a *attempt, o AttemptResult, hit, late bool) []*concurrency.Limit {
	seen := evidence{hitExpected: !a.fillExpected, rejected: o.Status == Rejected}
	seen.late = late && d.hitUnknown(a, o)
	seen.utilization, seen.utilizationKnown = a.target.load.Utilization(d.now)
	fill := a.fillSource != a.target && !hit && !a.rejectedByCache && (o.Reason != ReasonNone || seen.judgesSource())
	switch {
	case a.target.role == roleOrigin: // a write, say: it speaks for what fills fetch there
		if late {
			a.target.lastLateFill = d.now
		}
		return []*concurrency.Limit{&d.originFetches}
	case !fill:
		return []*concurrency.Limit{&a.target.concurrencyLimit}
	case a.onlyIfCached || a.fillSource.role == roleCache || late && !a.sharedFault ||
		o.Reason == ReasonFilled && d.set.AnswerDetail == DetailAll:
		return []*concurrency.Limit{&a.fillSource.concurrencyLimit}
	case late || a.fillSource.role == roleOrigin:
		return []*concurrency.Limit{&d.originFetches}
	}
	return []*concurrency.Limit{&a.fillSource.concurrencyLimit, &d.originFetches}
}

// hitUnknown says that an outcome doesn't tell whether a cache had the object, since none does here.
func (d *Director) hitUnknown(a *attempt, o AttemptResult) bool {
	return d.set.AnswerDetail == DetailNone && o.Reason == ReasonNone && a.target.role == roleCache
}

// isSharedFault says whether a late or failed fill is the origin's fault rather than its parent's: where that isn't
// told, if another source's were late at about that time, or writes there. One that is slow, silent or gone
// stays alone with it.
func (d *Director) isSharedFault(a *attempt, o AttemptResult) bool {
	if a.fillSource.role != roleParent || a.onlyIfCached || o.Reason == ReasonSourceLost && o.Status == Rejected {
		return a.fillSource.role == roleOrigin
	}
	too := func(s *endpoint) bool {
		return s != a.fillSource && s.lastLateFill > 0 && d.now-s.lastLateFill < sharedFaultWindow
	}
	a.fillSource.lastLateFill = d.now
	return len(d.inUse[roleParent]) < 2 || o.Reason == ReasonOriginFailed ||
		slices.ContainsFunc(d.inUse[roleParent], too) || slices.ContainsFunc(d.inUse[roleOrigin], too)
}

// rejectedByTarget says that a refusal is the cache's own, and not its source's. Where that isn't told: it came
// sooner than a source can be asked. For a fill that may only mean that no place for fills is free, unless
// the cache has refused a hit since it answered well. Guards against a cache that drains before the list says
// so: its refusals closed the sources, and through them the whole branch.
func (a *attempt) rejectedByTarget(o AttemptResult) bool {
	own := a.fillSource == a.target || o.Reason == ReasonNone && o.Latency < a.fillSource.minFillLatency/promptRejectionRatio
	if own && !a.fillExpected {
		a.target.lastHitRejectedAt = a.sentAt
	}
	return own && a.target.lastHitRejectedAt > a.target.lastSuccessSentAt
}

// overtaken says that what was sent later, by the same way, has been answered.
func (a *attempt) overtaken() bool {
	return a.target.lastSuccessSentAt > a.sentAt && (!a.fillExpected || a.fillSource.lastSuccessSentAt > a.sentAt)
}
