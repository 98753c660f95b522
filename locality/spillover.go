package locality

import (
	"math"
	"time"
)

const (
	// initialSpillover is the share of the own load that spills over to a locality without a recent load report.
	initialSpillover = 0.05
	// reportMaxAge is the age up to which a load report counts for that.
	reportMaxAge = 4 * resultMemory
	// assumedUtilization is the utilization that the own locality is taken to have in good health before it is known.
	assumedUtilization = 0.7
	// minDemandUtilization is the least utilization that is taken for the own locality's demand.
	minDemandUtilization = 0.05
)

// usableShare is the share of its full load that a locality can take now, by its health and its ramp.
func (s *Selector) usableShare(l *localityState) float64 {
	if !l.inUse() {
		return 0
	}
	health, _ := l.health(s.lastTick)
	return min(1, s.cfg.OverProvisioning*health) * l.rampShare
}

// demand is what the own locality's clients ask for, in the unit of Locality.Weight.
func (s *Selector) demand() float64 {
	own := s.localities[0]
	if own.usualUtilization.known {
		return max(minDemandUtilization, own.usualUtilization.value) * own.Weight
	}
	return assumedUtilization * own.Weight
}

// setSpillover moves the share of the own load that may spill over to each locality towards a part of what the locality has to
// spare: slowly up, and down at once.
//
// Load reports are late, so what spills over from here, which is no reason to spill less, is taken as late as they are; else
// the share would swing. With Config.SpareCapacityShare under one, the gateways of several localities that spill over to the
// same one settle without talking to each other: each takes a part of what the others leave.
func (s *Selector) setSpillover(now, span time.Duration) {
	demand := s.demand()
	for i, l := range s.localities {
		if i == 0 {
			continue
		}
		want := min(s.wantedSpillover(now, l, demand), s.cfg.MaxSpillover) * s.usableShare(l)
		if want < l.maxSpillover {
			l.maxSpillover = want
		} else {
			l.maxSpillover = min(want, l.maxSpillover+s.cfg.SpilloverRise*span.Seconds())
		}
		l.laggedSpillover.add(now, s.spillShares[i], utilizationMemory)
	}
}

// wantedSpillover is the share of the own demand that a locality has to spare, by its load reports less what spills over
// to it from here.
func (s *Selector) wantedSpillover(now time.Duration, l *localityState, demand float64) float64 {
	if !l.utilization.known || now-l.utilization.at >= reportMaxAge {
		return initialSpillover
	}
	fromHere := 0.0 // utilization
	if l.laggedSpillover.known {
		fromHere = l.laggedSpillover.value * demand / l.Weight
	}
	reported := l.utilization.value
	spare := max(0, s.cfg.FullUtilization-reported+min(fromHere, reported))
	return s.cfg.SpareCapacityShare * spare * l.Weight / demand
}

// setShares spends the own load on the localities: on the own one first, then level by level. For
// what is left over no locality has capacity.
func (s *Selector) setShares(now time.Duration) {
	clear(s.spillShares)
	s.ownShare = s.usableShare(s.localities[0])
	s.panicking = s.isPanic(now)
	if s.panicking { // the fault is our own network's or the endpoint list's, and moving load helps nobody
		s.Counters.PanicTicks++
		s.ownShare, s.servedShare = 1, 1
		return
	}
	left := 1 - s.ownShare
	for level := 1; level < len(s.levelBudgets); level++ {
		left -= s.spendOnLevel(level, left)
	}
	s.servedShare = min(1, 1-left)
	if left < shareRounding {
		s.servedShare = 1
	}
	s.setAdmitShares()
}

// shareRounding is a share that is no more than what rounding has left.
const shareRounding = 1e-9

// isPanic reports whether too little of all weight is healthy.
func (s *Selector) isPanic(now time.Duration) bool {
	healthy, weight := 0.0, 0.0
	for _, l := range s.localities {
		weight += l.Weight
		if l.inUse() {
			health, _ := l.health(now)
			healthy += health * l.Weight
		}
	}
	return healthy <= s.cfg.PanicThreshold*weight
}

// spendOnLevel has what is left of the load spill over to the localities of one level, in proportion to what each may have, and
// returns the share that does.
func (s *Selector) spendOnLevel(level int, left float64) float64 {
	capacity := 0.0
	for _, l := range s.localities {
		if l.Level == level {
			capacity += l.maxSpillover
		}
	}
	spent := min(left, capacity, s.cfg.MaxSpillover)
	for i, l := range s.localities {
		if l.Level == level && capacity > 0 {
			s.spillShares[i] = spent * l.maxSpillover / capacity
		}
	}
	return spent
}

// setAdmitShares spends what is served on the bands of requests, the first bands first.
func (s *Selector) setAdmitShares() {
	offered := 0.0
	for _, n := range s.offeredSmoothed {
		offered += n
	}
	left := s.servedShare * offered // requests a tick
	for band, n := range s.offeredSmoothed {
		if n <= 0 { // none came lately: the first may come in while there is capacity
			s.admitShares[band] = math.Min(1, left)
			continue
		}
		s.admitShares[band] = min(1, left/n)
		left = max(0, left-n)
	}
}
