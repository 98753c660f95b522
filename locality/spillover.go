package locality

import (
	"math"
	"time"
)

const (
	// initialSpillover is the share of the own load that may spill over to a locality without a
	// recent load report.
	initialSpillover = 0.05
	// reportMaxAge is the age up to which a load report counts as recent.
	reportMaxAge = 4 * resultTimeConstant
	// assumedUtilization is the utilization assumed for the own locality in good health until it is
	// known.
	assumedUtilization = 0.7
	// minDemandUtilization is the smallest utilization assumed as the own locality's demand.
	minDemandUtilization = 0.05
)

// usableShare returns the share of its full load that a locality can get now, by its health and its
// ramp.
func (s *Selector) usableShare(l *localityState) float64 {
	if !l.inUse() {
		return 0
	}
	health, _ := l.health(s.lastTick)
	return min(1, s.cfg.OverProvisioning*health) * l.rampShare
}

// demand returns the load of the own locality's clients, in the unit of Locality.Weight.
func (s *Selector) demand() float64 {
	own := s.localities[0]
	if own.usualUtilization.known {
		return max(minDemandUtilization, own.usualUtilization.value) * own.Weight
	}
	return assumedUtilization * own.Weight
}

// setSpillover moves the share of the own load that may spill over to each locality towards a part
// of the locality's spare capacity: slowly upwards, and at once downwards.
//
// The load that spills over from here is no reason to spill over less, so it is subtracted from the
// reported load. Load reports are late, so that load is averaged with the same delay; otherwise the
// share would oscillate. With Config.SpareCapacityShare below 1, the gateways of several localities
// that spill over to the same one settle without communication: each takes a part of what the
// others leave.
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
		l.laggedSpillover.add(now, s.spillShares[i], utilizationTimeConstant)
	}
}

// wantedSpillover returns the spare capacity of a locality as a share of the own demand, from its
// load reports less the load that spills over from here.
func (s *Selector) wantedSpillover(now time.Duration, l *localityState, demand float64) float64 {
	if !l.utilization.known || now-l.utilization.updatedAt >= reportMaxAge {
		return initialSpillover
	}
	fromHere := 0.0 // utilization caused by spillover from here
	if l.laggedSpillover.known {
		fromHere = l.laggedSpillover.value * demand / l.Weight
	}
	reported := l.utilization.value
	spare := max(0, s.cfg.FullUtilization-reported+min(fromHere, reported))
	return s.cfg.SpareCapacityShare * spare * l.Weight / demand
}

// setShares divides the own load among the localities: the own one first, then level by level. No
// locality has capacity for the rest.
func (s *Selector) setShares(now time.Duration) {
	clear(s.spillShares)
	s.ownShare = s.usableShare(s.localities[0])
	s.panicking = s.isPanic(now)
	if s.panicking { // the fault is likely in our own network or in the endpoint list, so moving load does not help
		s.Counters.PanicTicks++
		s.ownShare, s.servedShare = 1, 1
		return
	}
	remaining := 1 - s.ownShare
	for level := 1; level < len(s.levelBudgets); level++ {
		remaining -= s.spillToLevel(level, remaining)
	}
	s.servedShare = min(1, 1-remaining)
	if remaining < shareRoundingError {
		s.servedShare = 1
	}
	s.setAdmitShares()
}

// shareRoundingError is the largest share that can be left over by rounding.
const shareRoundingError = 1e-9

// isPanic reports whether too little of the total weight is healthy.
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

// spillToLevel distributes the remaining load over the localities of one level, in proportion to
// their maxSpillover, and returns the share that spills over to the level.
func (s *Selector) spillToLevel(level int, remaining float64) float64 {
	capacity := 0.0
	for _, l := range s.localities {
		if l.Level == level {
			capacity += l.maxSpillover
		}
	}
	spilled := min(remaining, capacity, s.cfg.MaxSpillover)
	for i, l := range s.localities {
		if l.Level == level && capacity > 0 {
			s.spillShares[i] = spilled * l.maxSpillover / capacity
		}
	}
	return spilled
}

// setAdmitShares divides the served load among the bands of requests, starting with the first band.
func (s *Selector) setAdmitShares() {
	offered := 0.0
	for _, n := range s.offeredSmoothed {
		offered += n
	}
	remaining := s.servedShare * offered // requests per tick
	for band, n := range s.offeredSmoothed {
		if n <= 0 { // none was offered lately, so the next one is admitted while there is capacity
			s.admitShares[band] = math.Min(1, remaining)
			continue
		}
		s.admitShares[band] = min(1, remaining/n)
		remaining = max(0, remaining-n)
	}
}
