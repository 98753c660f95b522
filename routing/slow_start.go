package routing

import (
	"math"
	"time"

	"larchusher/slowstart"
)

// recentWindow is the averaging time of completed work, and the time for which fill latencies and
// hits count as recent.
const recentWindow = 3 * time.Second

// slowStartRamp returns how endpoints of a role warm up. The origin is always warm.
func (d *Director) slowStartRamp(of role) slowstart.Ramp {
	switch of {
	case roleCache:
		return slowstart.Ramp{
			InitialShare:     d.settings.SlowStartInitialShare,
			Duration:         d.settings.SlowStartDuration,
			OverloadMultiple: d.settings.OverloadMultiple,
			OverloadWindow:   d.settings.OverloadWindow,
		}
	case roleParent:
		return slowstart.Ramp{
			InitialShare:     d.settings.ParentSlowStartInitialShare,
			Duration:         d.settings.ParentSlowStartDuration,
			OverloadMultiple: d.settings.ParentOverloadMultiple,
			OverloadWindow:   d.settings.OverloadWindow,
		}
	default:
		return slowstart.Ramp{}
	}
}

func (d *Director) isWarm(ep *endpoint) bool {
	return d.slowStartRamp(ep.role).CapacityShare(d.now, ep.incarnation) >= 1
}

// slowStartAllows reports whether the slow-start budget of an endpoint has room for one more
// attempt. A warm endpoint has no such budget.
func (d *Director) slowStartAllows(ep *endpoint, r *request) bool {
	if d.isWarm(ep) {
		return true
	}
	if d.now < d.slowStartPausedUntil {
		return false
	}
	d.updateWarmRate(ep.role)
	sender := slowstart.Sender{
		SenderCount:  d.knownSenders(ep.role),
		Position:     d.senderPosition(ep),
		WarmRate:     d.warmRate[ep.role] * ep.weight,
		ObservedRate: ep.decayedWorkRate(d.now),
		ObservedOver: recentWindow,
	}
	return d.slowStartRamp(ep.role).Allows(&ep.slowStartBudget, d.now, ep.incarnation, d.slowStartCost(r), sender)
}

// spendSlowStart deducts a cost, in seconds of transfer, from an endpoint's slow-start budget.
func (d *Director) spendSlowStart(ep *endpoint, cost float64) {
	d.slowStartRamp(ep.role).Spend(&ep.slowStartBudget, d.now, ep.incarnation, cost)
}

// slowStartCost returns the cost of an attempt in slow-start budgets, in seconds of transfer: the
// mean of its class.
func (d *Director) slowStartCost(r *request) float64 { return r.class.meanTransferTime.Seconds() }

// completedWork returns the work, in seconds of transfer, that a served request adds to an
// endpoint's measured rate: its own transfer time, at most its cost. A small object does not count
// as its class's mean: small objects are served first where capacity is short, and endpoints would
// seem to do several times what they can.
func (d *Director) completedWork(r *request) float64 {
	return min(d.slowStartCost(r), r.transferTime.Seconds())
}

// senderPosition returns this director's position, in [0, 1), among the senders to an endpoint (see
// slowstart.Sender). It is derived from the director's seed where its index or the number of senders
// is unknown.
func (d *Director) senderPosition(ep *endpoint) float64 {
	if d.knownSenders(ep.role) <= 0 || d.settings.IndexUnknown {
		return slowstart.SenderPosition(0, d.positionSeed^ep.hash)
	}
	return slowstart.SenderPosition(d.settings.Index, ep.hash)
}

// senders returns the number of directors that send to endpoints of a role, at least 1.
func (d *Director) senders(to role) float64 { return max(1, d.knownSenders(to)) }

// knownSenders returns the number of directors that send to endpoints of a role, or 0 if unknown.
// Those are this location's directors for caches, if Settings.ZoneDirectors states their number, and
// otherwise all directors.
func (d *Director) knownSenders(to role) float64 {
	if to == roleCache && d.zone < len(d.settings.ZoneDirectors) && d.settings.ZoneDirectors[d.zone] > 0 {
		return float64(d.settings.ZoneDirectors[d.zone])
	}
	return float64(d.settings.Directors)
}

// updateWarmRate updates the mean work per second and unit of weight that the warm endpoints of a
// role, ejected ones included, do for this director. While none is warm, the last value is kept.
func (d *Director) updateWarmRate(of role) {
	rate, weight := 0.0, 0.0
	for _, ep := range d.upEndpoints[of] {
		if d.isWarm(ep) {
			rate += ep.decayedWorkRate(d.now)
			weight += ep.weight
		}
	}
	if weight > 0 {
		d.warmRate[of] = rate / weight
	}
}

// decayedWorkRate returns the work per second that the endpoint did for this director, averaged
// over recentWindow. Only answered attempts count, because more may have been sent than the
// endpoint can do.
func (ep *endpoint) decayedWorkRate(now time.Duration) float64 {
	ep.workRate *= math.Exp(-float64(now-ep.workRateAt) / float64(recentWindow))
	ep.workRateAt = now
	return ep.workRate
}

// recordWork adds work, in seconds of transfer, that the endpoint did.
func (ep *endpoint) recordWork(now time.Duration, work float64) {
	ep.workRate = ep.decayedWorkRate(now) + work/recentWindow.Seconds()
}
