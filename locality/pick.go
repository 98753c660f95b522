package locality

import (
	"time"

	"larchusher/overload"
)

// noPick is the index of no locality.
const noPick = -1

// Odd multipliers that make further evenly distributed hashes from one.
const (
	orphanHashMultiplier = 0x9e3779b97f4a7c15
	bypassHashMultiplier = 0xbf58476d1ce4e5b9
)

// fraction turns an evenly distributed hash into a number in [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// Pick returns the index of the locality for a request of a band. If ok is false the request is to be rejected with
// retryAfter. object and id are evenly distributed hashes of the requested object and of the request: an object keeps to its
// locality as long as the shares allow, so that its copies gather there.
func (s *Selector) Pick(now time.Duration, band int, object, id uint64) (locality int, retryAfter time.Duration, ok bool) {
	if band < len(s.offered) {
		s.offered[band]++
	}
	s.earnBudgets(now)
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

// pickProbation returns a locality on probation that may have a request of a band, or noPick. Only requests of the last bands
// are given to one.
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
			if !level.allows() {
				continue
			}
			level.spend()
		}
		l.probationSent++
		return i
	}
	return noPick
}

// admits reports whether a request of a band is among those that the localities have capacity for.
func (s *Selector) admits(band int, id uint64) bool {
	return s.servedShare >= 1 || band >= len(s.admitShares) || fraction(id) < s.admitShares[band]
}

// preferred returns the locality of an object by the shares, or noPick. The own locality has the objects from 0 up, and
// the others have theirs from 1 down, so that few objects move while shares do. Those in between have no locality, and each
// request for one draws from all by the shares.
func (s *Selector) preferred(object, id uint64) int {
	u := fraction(object)
	switch {
	case u < s.ownShare:
		return 0
	case s.servedShare > 0 && u < s.ownShare+1-s.servedShare:
		return s.drawByShare(fraction(id * orphanHashMultiplier))
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

// drawByShare returns a locality by a draw from [0, 1), each with the probability of its share; noPick if rounding leaves none.
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

// withinBudget returns the preferred locality, or else another that load spills over to, whose budget allows a request; noPick if
// there is none.
func (s *Selector) withinBudget(preferred int) int {
	if preferred != noPick && s.spendBudgets(preferred) {
		return preferred
	}
	for i := 1; i < len(s.localities); i++ {
		if i != preferred && s.spillShares[i] > 0 && s.spendBudgets(i) {
			return i
		}
	}
	return noPick
}

// recordPick counts a request that is given a locality.
func (s *Selector) recordPick(locality int) int {
	s.Counters.Picked++
	s.localities[locality].picked++
	if locality > 0 {
		s.Counters.Spilled++
	}
	return locality
}

// rejectOrBypass has the own director send a request that no locality has capacity for past its caches, or rejects it.
func (s *Selector) rejectOrBypass(id uint64) (locality int, retryAfter time.Duration, ok bool) {
	if s.bypass.share > 0 && fraction(id*bypassHashMultiplier) < s.bypass.share {
		s.Counters.Bypassed++
		return s.recordPick(0), 0, true
	}
	s.Counters.Rejected++
	return noPick, s.retryAfter(id), false
}

// A rejected request is told from minRetryAfterJitter of the Retry-After to half more, in retryAfterSteps steps, so that clients
// don't all come back at once.
const (
	minRetryAfterJitter = 0.75
	retryAfterSteps     = 1024
)

// retryAfter returns the Retry-After of a rejected request.
func (s *Selector) retryAfter(id uint64) time.Duration {
	base := float64(s.cfg.MaxRetryAfter) * overload.RetryAfterShare(s.RejectedShare())
	return time.Duration(base * (minRetryAfterJitter + float64(id%retryAfterSteps)/(2*retryAfterSteps)))
}

// Rejection is a request that the director of its locality has rejected, after no attempts or failed ones.
type Rejection struct {
	From             int           // locality
	Idempotent       bool          // it may be repeated freely
	Rerouted         bool          // it has been given another locality before
	Attempts         int           // made for it so far
	MaxAttempts      int           // that may be made for it; 0: any number
	Elapsed          time.Duration // since it came
	Remaining        time.Duration // until its client gives up
	LatencyObjective time.Duration // of its class
}

// HandleRejection records a rejection, and returns the locality that the request is to be given instead; ok is false if there is
// none. Only an idempotent request is rerouted, once, while half of its latency objective is left, and within the budgets.
func (s *Selector) HandleRejection(now time.Duration, r Rejection) (locality int, ok bool) {
	s.localities[r.From].record(now, ResultRejected)
	if r.From == 0 && s.localities[0].state != StateHealthy {
		s.bypass.bad.add(now, 1, resultMemory)
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

// reroute returns another locality that takes load, whose budget allows a request.
func (s *Selector) reroute(from int) (locality int, ok bool) {
	for i := 1; i < len(s.localities); i++ {
		l := s.localities[i]
		if i != from && l.inUse() && s.usableShare(l) > 0 && s.spendBudgets(i) {
			s.Counters.Rerouted++
			return s.recordPick(i), true
		}
	}
	return 0, false
}
