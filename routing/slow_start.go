package routing

import (
	"math"
	"time"

	"larchusher/slowstart"
)

const recentWindow = 3 * time.Second // work is averaged over this; waits and hits are recent within it

// slowStartRamp is how servers of a role warm up.
func (d *Director) slowStartRamp(of role) slowstart.Ramp {
	switch of {
	case roleCache:
		return slowstart.Ramp{InitialShare: d.set.SlowStartFrom, Duration: d.set.SlowStartFor, OverloadMultiple: d.set.OverloadMultiple,
			OverloadWindow: d.set.OverloadWindow}
	case roleParent:
		return slowstart.Ramp{InitialShare: d.set.ParentSlowStartFrom, Duration: d.set.ParentSlowStartFor,
			OverloadMultiple: d.set.ParentOverloadMultiple, OverloadWindow: d.set.OverloadWindow}
	}
	return slowstart.Ramp{}
}

func (d *Director) isWarm(s *endpoint) bool {
	return d.slowStartRamp(s.role).CapacityShare(d.now, s.incarnation) >= 1
}

// slowStartAllows says whether a cold server's budget holds one more attempt.
func (d *Director) slowStartAllows(s *endpoint, r *request) bool {
	if d.isWarm(s) {
		return true
	}
	if d.now < d.slowStartPausedUntil {
		return false
	}
	d.updateCarriedRate(s.role)
	from := slowstart.Sender{Senders: d.knownSenders(s.role), Position: d.senderPosition(s), WarmRate: d.carriedRate[s.role] * s.weight,
		ObservedRate: s.recentWorkRate(d.now), ObservedOver: recentWindow}
	return d.slowStartRamp(s.role).Allows(&s.slowStartBudget, d.now, s.incarnation, d.slowStartCost(r), from)
}

// spendSlowStart notes that something of a cost goes to a server.
func (d *Director) spendSlowStart(s *endpoint, cost float64) {
	d.slowStartRamp(s.role).Spend(&s.slowStartBudget, d.now, s.incarnation, cost)
}

func (d *Director) slowStartCost(r *request) float64 { return r.class.meanTransferTime.Seconds() }

// senderPosition is this director's among those that send to a server; drawn by itself where it is not told.
func (d *Director) senderPosition(s *endpoint) float64 {
	if d.knownSenders(s.role) <= 0 || d.set.IndexUnknown {
		return slowstart.SenderPosition(0, d.positionSeed^s.hash)
	}
	return slowstart.SenderPosition(d.set.Index, s.hash)
}

// senders is the number of directors that send to servers of a role.
func (d *Director) senders(r role) float64 { return max(1, d.knownSenders(r)) }

// knownSenders is that number, or 0 where it is not told.
func (d *Director) knownSenders(r role) float64 {
	if r == roleCache && d.zone < len(d.set.ZoneDirectors) && d.set.ZoneDirectors[d.zone] > 0 {
		return float64(d.set.ZoneDirectors[d.zone])
	}
	return float64(d.set.Directors)
}

// updateCarriedRate notes what warm servers of a role carry, ill ones too. It holds where none is left.
func (d *Director) updateCarriedRate(of role) {
	rate, weight := 0.0, 0.0
	for _, p := range d.inUse[of] {
		if d.isWarm(p) {
			rate += p.recentWorkRate(d.now)
			weight += p.weight
		}
	}
	if weight > 0 {
		d.carriedRate[of] = rate / weight
	}
}

// recentWorkRate is the work a second that a server has done for us lately. Only what it answered counts: what was
// sent may be more than it can do.
func (s *endpoint) recentWorkRate(now time.Duration) float64 {
	s.workRate *= math.Exp(-float64(now-s.workRateAt) / float64(recentWindow))
	s.workRateAt = now
	return s.workRate
}

func (s *endpoint) recordWork(now time.Duration, work float64) {
	s.workRate = s.recentWorkRate(now) + work/recentWindow.Seconds()
}

// completedWork is the work that serving a request shows a server can do. Guards against small objects, served first
// where room is short, that count as their class's mean: servers seemed to do four times what they can.
func (d *Director) completedWork(r *request) float64 {
	return min(d.slowStartCost(r), r.transferTime.Seconds())
}
