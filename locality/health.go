package locality

import "time"

// State is the state of a locality, on which its load depends.
type State int

// The states of a locality.
const (
	StateHealthy    State = iota // gets its load
	StateEjected                 // gets nothing until its backoff has passed
	StateProbation               // gets a few requests, after the backoff
	StateRecovering              // gets a growing part of its load, after a successful probation
)

// String returns the name of a state in metrics and logs.
func (s State) String() string { return [...]string{"steady", "away", "trial", "returning"}[s] }

// Time constants with which observations of a locality decay.
const (
	resultTimeConstant      = 1500 * time.Millisecond // results
	utilizationTimeConstant = resultTimeConstant / 2  // load reports
	hitTimeConstant         = 2 * time.Second         // hits and misses
	usualTimeConstant       = 60 * time.Second        // usual hit ratio and utilization

	minResults = 5.0 // with fewer results, reads or attempts, nothing is concluded
)

// localityState is the state of a locality as observed by this gateway.
type localityState struct {
	Locality
	state      State
	stateSince time.Duration

	// Backoff.
	retryAt          time.Duration // when an ejected locality may go on probation
	backoff          time.Duration // latest backoff after a recovery; 0: none, or decayed
	failedProbations int           // consecutive ones
	healthySince     time.Duration // start of the good health that counts for decayBackoff

	// Observations.
	cachesUp         int // by the endpoint list; valid once listed is true
	listed           bool
	good, bad        decayingSum // decaying numbers of good and bad results
	hits, reads      decayingSum
	usualHitRatio    movingAverage // hit ratio in good health
	usualUtilization movingAverage // utilization in good health
	utilization      movingAverage // utilization of its links, from load reports
	inFlight         int           // attempts in flight
	sentSinceSuccess int           // attempts sent since the latest success
	lastSuccess      time.Duration // time of the latest success, or of the first attempt since then if that is later
	probationSent    int           // requests sent in the current probation,
	probationPassed  int           // of these, those that succeeded,
	probationFailed  int           // and those that failed

	// Load that it may get.
	rampShare       float64       // share of its load that it gets by its ramp, 0 to 1
	maxSpillover    float64       // largest share of the own load that may spill over to it; unused for the own locality
	laggedSpillover movingAverage // share of the own load that spills over to it, as late as load reports are
	budget          budget        // of requests that spill over to it; unused for the own locality
	picked          uint64        // requests that it got
}

// record records a result.
func (l *localityState) record(now time.Duration, r Result) {
	if l.state == StateEjected { // the result is of an attempt from before the ejection
		return
	}
	w := resultWeights[r]
	l.good.add(now, w.good, resultTimeConstant)
	l.bad.add(now, w.bad, resultTimeConstant)
	if l.state != StateProbation {
		return
	}
	switch r {
	case ResultSuccess, ResultLate:
		l.probationPassed++
	case ResultFailure, ResultRejected:
		l.probationFailed++
	case ResultNeutral: // no evidence about the locality
	}
}

// health returns the share of good results lately, 0 to 1. If there were too few results, known is
// false and the health is 1.
func (l *localityState) health(now time.Duration) (health float64, known bool) {
	good, bad := l.good.valueAt(now, resultTimeConstant), l.bad.valueAt(now, resultTimeConstant)
	if good+bad < minResults {
		return 1, false
	}
	return good / (good + bad), true
}

// isBelow reports whether the health is known and below a limit.
func (l *localityState) isBelow(now time.Duration, bound float64) bool {
	health, known := l.health(now)
	return known && health < bound
}

// isSilent reports whether attempts are in flight and none has succeeded for longer than
// Config.SilenceTimeout.
func (l *localityState) isSilent(now time.Duration, c *Config) bool {
	return l.inFlight > 0 && l.sentSinceSuccess >= int(minResults) && now-l.lastSuccess > c.SilenceTimeout
}

// hasNoCacheUp reports whether, by the endpoint list, no cache of the locality is up.
func (l *localityState) hasNoCacheUp() bool { return l.listed && l.cachesUp == 0 }

// inUse reports whether the locality gets load beyond that of a probation.
func (l *localityState) inUse() bool { return l.state == StateHealthy || l.state == StateRecovering }

// hitRatio returns the share of hits among recent reads, 0 to 1. known is false if there were too
// few reads.
func (l *localityState) hitRatio(now time.Duration) (share float64, known bool) {
	reads := l.reads.valueAt(now, hitTimeConstant)
	if reads < minResults {
		return 0, false
	}
	return l.hits.valueAt(now, hitTimeConstant) / reads, true
}

// minLearningHealth is the health from which observations of a locality count as usual.
const minLearningHealth = 0.9

// learnUsualValues updates the usual hit ratio and utilization while the locality is in good
// health.
func (l *localityState) learnUsualValues(now time.Duration) {
	if l.state != StateHealthy || l.backoff > 0 {
		return
	}
	if health, known := l.health(now); !known || health < minLearningHealth {
		return
	}
	if ratio, known := l.hitRatio(now); known {
		l.usualHitRatio.add(now, ratio, usualTimeConstant)
	}
	if l.utilization.known {
		l.usualUtilization.add(now, l.utilization.value, usualTimeConstant)
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
	case StateEjected: // eject sets retryAt
	}
}

// stateInputs are the inputs of a state change other than the locality's own state.
type stateInputs struct {
	span      time.Duration  // time since the last tick
	needed    bool           // there is load for the locality
	rejecting bool           // no locality has capacity for some of the requests
	draw      func() float64 // returns a random number in [0, 1)
}

// updateState changes the state if that is due, and reports whether it changed.
func (l *localityState) updateState(now time.Duration, c *Config, s stateInputs) (changed bool) {
	before := l.state
	switch l.state {
	case StateHealthy, StateRecovering:
		l.updateInUse(now, c, s)
	case StateEjected:
		if now >= l.retryAt && !l.hasNoCacheUp() && s.needed {
			l.enter(now, StateProbation)
		}
	case StateProbation:
		l.updateProbation(now, c, s)
	}
	return l.state != before
}

// updateInUse ejects a locality that is unhealthy, silent or without caches, and moves the ramp of
// a recovering one.
func (l *localityState) updateInUse(now time.Duration, c *Config, s stateInputs) {
	halfwayHealth := (1 + c.MinHealth) / 2 // halfway from MinHealth to full health
	minHealth := c.MinHealth
	if l.state == StateRecovering { // a recovering locality is ejected sooner
		minHealth = halfwayHealth
	}
	if l.isBelow(now, minHealth) || l.hasNoCacheUp() || l.isSilent(now, c) {
		l.eject(now, c, s.draw())
		return
	}
	if l.isBelow(now, halfwayHealth) {
		l.healthySince = now
	}
	l.decayBackoff(now, c)
	if l.state == StateRecovering {
		l.rampUp(now, c, s)
	}
}

// Numbers of requests in a probation: probationSuccesses of them must succeed, and more than
// probationFailures failures end it.
const (
	probationRequests  = 5
	probationSuccesses = 3
	probationFailures  = probationRequests - probationSuccesses
)

// updateProbation ends a probation that has succeeded or failed, that is still undecided 2 times
// Config.SilenceTimeout after its start although requests were sent, or that has lasted for longer
// than Config.MaxBackoff.
func (l *localityState) updateProbation(now time.Duration, c *Config, s stateInputs) {
	if l.probationPassed >= probationSuccesses {
		l.enter(now, StateRecovering)
		l.rampShare = c.RampStart
		return
	}
	failed := l.probationFailed > probationFailures
	unanswered := l.probationSent > 0 && now-l.stateSince > 2*c.SilenceTimeout
	unused := now-l.stateSince > c.MaxBackoff
	if failed || unanswered || unused || l.hasNoCacheUp() {
		l.eject(now, c, s.draw())
	}
}
