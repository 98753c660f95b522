package locality

import (
	"time"

	"larchusher/overload"
)

// noPick stands for no locality.
const noPick = -1

// Odd multipliers that derive further evenly distributed hashes from one.
const (
	unassignedHashMultiplier = 0x9e3779b97f4a7c15
	bypassHashMultiplier     = 0xbf58476d1ce4e5b9
)

// fraction converts an evenly distributed hash into a number in [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// Pick returns the index of the locality for a request of a priority band. If ok is false, the
// request is to be rejected with retryAfter. object and id are evenly distributed hashes of the
// requested object and of the request. Requests for an object go to the same locality as long as
// the shares allow, so that its copies are found there.
func (s *Selector) Pick(now time.Duration, band int, object, id uint64) (locality int, retryAfter time.Duration, ok bool) {
	if band < len(s.offered) {
		s.offered[band]++
	}
	s.refillBudgets(now)
	if i := s.pickProbation(band); i != noPick {
		return s.recordPick(i), 0, true
	}
	if !s.admits(band, id) {
		return s.rejectOrBypass(id)
	}
	preferred := s.preferred(object, id)
	if preferred == 0 {
		return s.recordPick(0), 0, true
	}
	if i := s.withinBudget(preferred); i != noPick {
		return s.recordPick(i), 0, true
	}
	if s.ownShare > 0 && s.localities[0].state == StateHealthy {
		return s.recordPick(0), 0, true
	}
	s.Counters.BoundReached++
	return s.rejectOrBypass(id)
}

// pickProbation returns a locality on probation that may get a request of a band, or noPick. Only
// requests of the last half of the bands are used for probations.
func (s *Selector) pickProbation(band int) int {
	if band < s.cfg.Bands/2 {
		return noPick
	}
	for i, l := range s.localities {
		if l.state != StateProbation || l.probationSent >= probationRequests {
			continue
		}
		if i > 0 {
			level := &s.levelBudgets[l.Level]
			if !level.hasToken() {
				continue
			}
			level.take()
		}
		l.probationSent++
		return i
	}
	return noPick
}

// admits reports whether the localities have capacity for a request of a band; where they have it
// for a part of the band, id decides.
func (s *Selector) admits(band int, id uint64) bool {
	return s.servedShare >= 1 || band >= len(s.admitShares) || fraction(id) < s.admitShares[band]
}

// preferred returns the locality of an object by the shares, or noPick. On the interval of object
// hashes, the own locality has the objects from 0 up and the others have theirs from 1 down, so
// that few objects change their locality when shares change. Objects in between have no fixed
// locality: each request for one draws a locality with the probabilities of the shares.
func (s *Selector) preferred(object, id uint64) int {
	u := fraction(object)
	switch {
	case u < s.ownShare:
		return 0
	case s.servedShare > 0 && u < s.ownShare+1-s.servedShare:
		return s.drawByShare(fraction(id * unassignedHashMultiplier))
	}
	edge := 1.0
	for i := 1; i < len(s.localities); i++ {
		edge -= s.spillShares[i]
		if s.spillShares[i] > 0 && u >= edge {
			return i
		}
	}
	return noPick
}

// drawByShare returns a locality for a draw from [0, 1), each with a probability in proportion to
// its share; noPick if rounding leaves none.
func (s *Selector) drawByShare(draw float64) int {
	rest := draw * s.servedShare
	for i := range s.localities {
		rest -= s.share(i)
		if rest < 0 {
			return i
		}
	}
	return noPick
}

// withinBudget returns the preferred locality if its budget allows a request, or else another
// locality with spillover whose budget does; noPick if there is none.
func (s *Selector) withinBudget(preferred int) int {
	if preferred != noPick && s.takeFromBudgets(preferred) {
		return preferred
	}
	for i := 1; i < len(s.localities); i++ {
		if i != preferred && s.spillShares[i] > 0 && s.takeFromBudgets(i) {
			return i
		}
	}
	return noPick
}

// recordPick counts a request that gets a locality.
func (s *Selector) recordPick(locality int) int {
	s.Counters.Picked++
	s.localities[locality].picked++
	if locality > 0 {
		s.Counters.Spilled++
	}
	return locality
}

// rejectOrBypass handles a request for which no locality has capacity: it is given to the own
// director to bypass the caches, or rejected.
func (s *Selector) rejectOrBypass(id uint64) (locality int, retryAfter time.Duration, ok bool) {
	if s.bypass.share > 0 && fraction(id*bypassHashMultiplier) < s.bypass.share {
		s.Counters.Bypassed++
		return s.recordPick(0), 0, true
	}
	s.Counters.Rejected++
	return noPick, s.retryAfter(id), false
}

// The Retry-After of a rejected request varies by half of its length, from minRetryAfterJitter
// times its length, in retryAfterSteps steps, so that clients do not all retry at once.
const (
	minRetryAfterJitter = 0.75
	retryAfterSteps     = 1024
)

// retryAfter returns the Retry-After of a rejected request.
func (s *Selector) retryAfter(id uint64) time.Duration {
	base := float64(s.cfg.MaxRetryAfter) * overload.RetryAfterShare(s.RejectedShare())
	return time.Duration(base * (minRetryAfterJitter + float64(id%retryAfterSteps)/(2*retryAfterSteps)))
}

// Rejection describes a request that the director of its locality has rejected, without attempts or
// after failed ones.
type Rejection struct {
	From             int           // index of the locality
	Idempotent       bool          // the request may be repeated freely
	Rerouted         bool          // the request was rerouted before
	Attempts         int           // attempts made so far
	MaxAttempts      int           // limit on attempts; 0: none
	Elapsed          time.Duration // time since the request arrived
	Remaining        time.Duration // time until its deadline
	LatencyObjective time.Duration // latency objective of its class
}

// HandleRejection records a rejection, and returns another locality for the request; ok is false if
// there is none. A request is rerouted only if it is idempotent, only once, only while half of its
// latency objective is left, and only within the budgets.
func (s *Selector) HandleRejection(now time.Duration, r Rejection) (locality int, ok bool) {
	s.localities[r.From].record(now, ResultRejected)
	if r.From == 0 && s.localities[0].state != StateHealthy {
		s.bypass.bad.add(now, 1, resultTimeConstant)
	}
	if !r.mayReroute() {
		return 0, false
	}
	return s.reroute(r.From)
}

func (r Rejection) mayReroute() bool {
	attemptsLeft := r.MaxAttempts <= 0 || r.Attempts < r.MaxAttempts
	timeLeft := r.Elapsed < r.LatencyObjective/2 && r.Remaining > r.LatencyObjective/2
	return r.Idempotent && !r.Rerouted && attemptsLeft && timeLeft
}

// reroute returns another locality that gets load and whose budget allows a request.
func (s *Selector) reroute(from int) (locality int, ok bool) {
	for i := 1; i < len(s.localities); i++ {
		l := s.localities[i]
		if i != from && l.inUse() && s.usableShare(l) > 0 && s.takeFromBudgets(i) {
			s.Counters.Rerouted++
			return s.recordPick(i), true
		}
	}
	return 0, false
}
