package locality

import "time"

// State is how a locality is used.
type State int

// The states of a locality.
const (
	StateHealthy    State = iota // it takes its load
	StateEjected                 // it gets nothing until its backoff is over
	StateProbation               // then it gets a few requests
	StateRecovering              // and if they end well a growing part of its load
)

// String returns the name of a state in counters and logs.
func (s State) String() string { return [...]string{"steady", "away", "trial", "returning"}[s] }

// Over how long what was seen of a locality counts.
const (
	resultMemory      = 1500 * time.Millisecond // results
	utilizationMemory = resultMemory / 2        // load reports
	hitMemory         = 2 * time.Second         // hits and misses
	usualMemory       = 60 * time.Second        // what is usual in good health

	minResults = 5.0 // with fewer results, hits or attempts nothing is known
)

// localityState is a locality as this gateway sees it.
type localityState struct {
	Locality
	state      State
	stateSince time.Duration

	// Backoff.
	retryAt          time.Duration // ejected: on probation from then on
	backoff          time.Duration // latest backoff after it had recovered; 0: none, or forgiven
	failedProbations int           // in a row
	healthySince     time.Duration

	// What was seen of it.
	cachesUp         int // by the endpoint list
	listed           bool
	good, bad        decayingSum // results
	hits, reads      decayingSum
	usualHits        movingAverage // hit ratio in good health
	usualUtilization movingAverage // in good health
	utilization      movingAverage // of its links, by its reports
	inFlight         int           // attempts
	sentSinceSuccess int           // attempts
	lastSuccess      time.Duration
	probationSent    int // requests of the probation that were sent,
	probationPassed  int // that ended well,
	probationFailed  int // and that did not

	// What it may have.
	rampShare       float64 // of its load, 0 to 1
	maxSpillover    float64 // share of the own load that may spill over to it; not for the own locality
	laggedSpillover movingAverage
	budget          budget
	picked          uint64
}

// record takes in a result.
func (l *localityState) record(now time.Duration, r Result) {
	if l.state == StateEjected { // it is of the time before the ejection
		return
	}
	w := resultWeights[r]
	l.good.add(now, w.good, resultMemory)
	l.bad.add(now, w.bad, resultMemory)
	if l.state != StateProbation {
		return
	}
	switch r {
	case ResultSuccess, ResultLate:
		l.probationPassed++
	case ResultFailure, ResultRejected:
		l.probationFailed++
	case ResultNeutral: // no verdict
	}
}

// health returns the share of good results lately, 0 to 1. known is false, and the health 1, if there were too few.
func (l *localityState) health(now time.Duration) (health float64, known bool) {
	good, bad := l.good.now(now, resultMemory), l.bad.now(now, resultMemory)
	if good+bad < minResults {
		return 1, false
	}
	return good / (good + bad), true
}

// isBelow reports whether the health is known and below a bound.
func (l *localityState) isBelow(now time.Duration, bound float64) bool {
	health, known := l.health(now)
	return known && health < bound
}

// isSilent reports whether attempts are in flight and none has succeeded for too long.
func (l *localityState) isSilent(now time.Duration, c *Config) bool {
	return l.inFlight > 0 && l.sentSinceSuccess >= int(minResults) && now-l.lastSuccess > c.SilenceTimeout
}

// isGone reports whether the endpoint list has no cache up there.
func (l *localityState) isGone() bool { return l.listed && l.cachesUp == 0 }

// inUse reports whether the locality takes load, beyond a probation.
func (l *localityState) inUse() bool { return l.state == StateHealthy || l.state == StateRecovering }

// hitRatio returns the share of reads that were hits lately, 0 to 1. known is false if there were too few.
func (l *localityState) hitRatio(now time.Duration) (share float64, known bool) {
	reads := l.reads.now(now, hitMemory)
	if reads < minResults {
		return 0, false
	}
	return l.hits.now(now, hitMemory) / reads, true
}

// learnFromHealth is the health from which what is seen of a locality is usual.
const learnFromHealth = 0.9

// learnUsual takes the hit ratio and the utilization for usual while the locality is in good health.
func (l *localityState) learnUsual(now time.Duration) {
	if l.state != StateHealthy || l.backoff > 0 {
		return
	}
	if health, known := l.health(now); !known || health < learnFromHealth {
		return
	}
	if ratio, known := l.hitRatio(now); known {
		l.usualHits.add(now, ratio, usualMemory)
	}
	if l.utilization.known {
		l.usualUtilization.add(now, l.utilization.value, usualMemory)
	}
}

// enter changes the state.
func (l *localityState) enter(now time.Duration, s State) {
	l.state, l.stateSince = s, now
	switch s {
	case StateProbation:
		l.probationSent, l.probationPassed, l.probationFailed = 0, 0, 0
	case StateRecovering, StateHealthy:
		l.healthySince = now
	case StateEjected: // retryAt is set by eject
	}
}

// situation is what a change of state depends on beside the locality itself.
type situation struct {
	span      time.Duration  // since the last tick
	wanted    bool           // there is load for the locality
	rejecting bool           // no locality has capacity for some of the requests
	draw      func() float64 // draws from [0, 1)
}

// updateState changes the state where that is due, and reports whether it did.
func (l *localityState) updateState(now time.Duration, c *Config, s situation) (changed bool) {
	before := l.state
	switch l.state {
	case StateHealthy, StateRecovering:
		l.updateInUse(now, c, s)
	case StateEjected:
		if now >= l.retryAt && !l.isGone() && s.wanted {
			l.enter(now, StateProbation)
		}
	case StateProbation:
		l.updateProbation(now, c, s)
	}
	return l.state != before
}

// updateInUse ejects a locality that is unhealthy, silent or gone, and moves the ramp of one that recovers.
func (l *localityState) updateInUse(now time.Duration, c *Config, s situation) {
	doubtful := (1 + c.MinHealth) / 2 // halfway to full health
	minHealth := c.MinHealth
	if l.state == StateRecovering { // it is trusted less
		minHealth = doubtful
	}
	if l.isBelow(now, minHealth) || l.isGone() || l.isSilent(now, c) {
		l.eject(now, c, s.draw())
		return
	}
	if l.isBelow(now, doubtful) {
		l.healthySince = now
	}
	l.forgiveBackoff(now, c)
	if l.state == StateRecovering {
		l.rampUp(now, c, s)
	}
}

// Of the requests of a probation so many must end well; one more failure than can be spared ends it.
const (
	probationRequests  = 5
	probationSuccesses = 3
	probationFailures  = probationRequests - probationSuccesses
)

// updateProbation ends a probation that has passed, failed, or had no answers or no requests for too long.
func (l *localityState) updateProbation(now time.Duration, c *Config, s situation) {
	if l.probationPassed >= probationSuccesses {
		l.enter(now, StateRecovering)
		l.rampShare = c.RampStart
		return
	}
	failed := l.probationFailed > probationFailures
	unanswered := l.probationSent > 0 && now-l.stateSince > 2*c.SilenceTimeout
	unused := now-l.stateSince > c.MaxBackoff
	if failed || unanswered || unused || l.isGone() {
		l.eject(now, c, s.draw())
	}
}
