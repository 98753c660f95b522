package routing

import (
	"math"
	"time"

	"larchusher/slowstart"
)

// recentWindow is the time over which work is averaged. Fill latencies and hits are recent within it.
const recentWindow = 3 * time.Second

// slowStartRamp is how endpoints of a role warm up. The origin is always warm.
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

// slowStartAllows reports whether the budget of an endpoint that is warming up holds one more attempt; a warm one has no budget.
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

// spendSlowStart takes a cost, in seconds of transfer, off an endpoint's budget.
func (d *Director) spendSlowStart(ep *endpoint, cost float64) {
	d.slowStartRamp(ep.role).Spend(&ep.slowStartBudget, d.now, ep.incarnation, cost)
}

// slowStartCost is what an attempt costs of a budget, in seconds of transfer: the mean of its class.
func (d *Director) slowStartCost(r *request) float64 { return r.class.meanTransferTime.Seconds() }

// completedWork is what serving a request shows that an endpoint can do, in seconds of transfer: at most what it cost. A small
// object counts as what it is and not as its class's mean: small ones are served first where capacity is short, and endpoints
// would seem to do several times what they can.
func (d *Director) completedWork(r *request) float64 {
	return min(d.slowStartCost(r), r.transferTime.Seconds())
}

// senderPosition is this director's place, in [0, 1), among those that send to an endpoint (see slowstart.Sender). It is drawn
// where the director's number is not known.
func (d *Director) senderPosition(ep *endpoint) float64 {
	if d.knownSenders(ep.role) <= 0 || d.settings.IndexUnknown {
		return slowstart.SenderPosition(0, d.positionSeed^ep.hash)
	}
	return slowstart.SenderPosition(d.settings.Index, ep.hash)
}

// senders is the number of directors that send to endpoints of a role, at least this one.
func (d *Director) senders(to role) float64 { return max(1, d.knownSenders(to)) }

// knownSenders is the number of directors that send to endpoints of a role, or 0 where it is not known: to caches those of
// this location, where they are counted by zone, else all.
func (d *Director) knownSenders(to role) float64 {
	if to == roleCache && d.zone < len(d.settings.ZoneDirectors) && d.settings.ZoneDirectors[d.zone] > 0 {
		return float64(d.settings.ZoneDirectors[d.zone])
	}
	return float64(d.settings.Directors)
}

// updateCarriedRate takes the mean of what the warm endpoints of a role do for us, for each unit of weight, ejected ones
// included. Where none is warm, the latest value holds.
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

// decayedWorkRate is the work a second that the endpoint did for us, averaged over recentWindow. Only what it answered counts:
// what was sent may be more than it can do.
func (ep *endpoint) decayedWorkRate(now time.Duration) float64 {
	ep.workRate *= math.Exp(-float64(now-ep.workRateAt) / float64(recentWindow))
	ep.workRateAt = now
	return ep.workRate
}

// recordWork counts work, in seconds of transfer, that the endpoint did.
func (ep *endpoint) recordWork(now time.Duration, work float64) {
	ep.workRate = ep.decayedWorkRate(now) + work/recentWindow.Seconds()
}
