package locality

import (
	"math"
	"time"
)

// State is what a locality is held for.
type State int

// The states of a locality.
const (
	StateHealthy    State = iota // it takes its share
	StateEjected                 // it gets nothing until its wait is over,
	StateProbation               // then a few requests,
	StateRecovering              // and if they end well a share that grows
)

// String names a state, as counters and logs do.
func (s State) String() string { return [...]string{"steady", "away", "trial", "returning"}[s] }

// Result is how an attempt ended at a locality.
type Result int

// Results of an attempt.
const (
	ResultSuccess  Result = iota // in time
	ResultLate                   // with an answer after its aim
	ResultFailure                // with an error, a broken connection, or by running out of time
	ResultRejected               // it was turned away, or the director refused it: no room
	ResultNeutral                // it says nothing: it was cancelled, never sent, or missed what it did not have to fill
)

// resultWeights of results, as good and as bad ones.
var resultWeights = [...][2]float64{ResultSuccess: {1, 0}, ResultLate: {0.5, 0.5}, ResultFailure: {0, 1}, ResultRejected: {0.5, 0.5}, ResultNeutral: {}}

const (
	resultMemory             = 1500 * time.Millisecond // results and reports count for so long,
	hitMemory                = 2 * time.Second         // and hits
	usualMemory              = 60 * time.Second        // what is usual is learned over this
	minResults               = 5.0                     // fewer say nothing
	probationRequests        = 5                       // requests of a trial,
	probationSuccesses       = 3                       // and how many of them must end well
	maxProbationBackoffRatio = 4                       // times Back that a locality waits for its next trial, after some in vain
	fastRampHealth           = 0.95                    // health from which a returning locality that is pressed grows at twice the pace,
	minRampHealth            = 0.85                    // and below which it shrinks,
	rampShrinkPerSecond      = 0.5                     // by this share in a second
	coldRampPace             = 0.2                     // pace of the ramp of a locality that is cold
	assumedUtilization       = 0.7                     // how full the own locality's link is taken to be that has told nothing yet
)

// decayingSum is a sum that forgets.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (d *decayingSum) add(now time.Duration, v float64, over time.Duration) {
	d.sum = d.now(now, over) + v
	d.at = now
}

func (d *decayingSum) now(now time.Duration, over time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(over))
}

// movingAverage is an average over a time, of values that come when they come.
type movingAverage struct {
	value float64
	at    time.Duration
	known bool
}

func (s *movingAverage) add(now time.Duration, v float64, over time.Duration) {
	if !s.known {
		s.value, s.at, s.known = v, now, true
		return
	}
	w := 1 - math.Exp(-float64(max(now-s.at, time.Millisecond))/float64(over))
	s.value += w * (v - s.value)
	s.at = now
}

// localityState is one of them, as it is seen from here.
type localityState struct {
	Locality
	state            State
	stateSince       time.Duration // when it came into its state
	retryAt          time.Duration // Away: it is tried then
	backoff          time.Duration // the latest such wait for one that failed after it had been back; 0: it was never away
	failedProbations int           // trials in a row that failed
	healthySince     time.Duration // since when it is in good health

	cachesUp         int // its caches that the list says are up
	listed           bool
	good, bad        decayingSum
	hits             decayingSum
	reads            decayingSum
	usualHits        movingAverage // share of hits in good health
	usualUtilization movingAverage // how full its link is then
	utilization      movingAverage // how full it is
	inFlight         int           // attempts
	sentSinceSuccess int           // since the latest good end
	lastSuccess      time.Duration
	probationSent    int // requests of the trial that were sent,
	probationPassed  int // and ended well,
	probationFailed  int // or not

	rampShare       float64 // share that it may have, of what it would else
	maxSpillover    float64 // share of the own load that may go there; not for the own one
	laggedSpillover movingAverage
	budget          budget
	picked          uint64
}

// health is the share of good ends lately; unknown if too few came.
func (l *localityState) health(now time.Duration) (health float64, known bool) {
	g, b := l.good.now(now, resultMemory), l.bad.now(now, resultMemory)
	if g+b < minResults {
		return 1, false
	}
	return g / (g + b), true
}

// isSilent says that work is out and none ends well.
func (l *localityState) isSilent(now time.Duration, c *Config) bool {
	return l.inFlight > 0 && l.sentSinceSuccess >= int(minResults) && now-l.lastSuccess > c.SilenceTimeout
}

// hitRatio is the share of reads that were hits lately; unknown if too few came.
func (l *localityState) hitRatio(now time.Duration) (share float64, known bool) {
	n := l.reads.now(now, hitMemory)
	if n < minResults {
		return 0, false
	}
	return l.hits.now(now, hitMemory) / n, true
}

// enter changes the state.
func (l *localityState) enter(now time.Duration, s State) {
	l.state, l.stateSince = s, now
	switch s {
	case StateProbation:
		l.probationSent, l.probationPassed, l.probationFailed = 0, 0, 0
	case StateRecovering, StateHealthy:
		l.healthySince = now
	}
}

// eject takes a locality out of use. One that fails again after it was back waits for longer, up to BackMost; one that has
// not come back is tried a few times a minute at least, since trials cost little and a late one costs all that it could
// have served. draw, from 0 to 1, spreads the waits of gateways that see the same at the same moment.
func (l *localityState) eject(now time.Duration, c *Config, draw float64) {
	if l.state == StateProbation {
		l.failedProbations++
	} else {
		l.backoff, l.failedProbations = min(c.MaxBackoff, max(c.BaseBackoff, 2*l.backoff)), 0
	}
	wait := max(l.backoff, min(c.MaxBackoff, maxProbationBackoffRatio*c.BaseBackoff, c.BaseBackoff<<min(l.failedProbations, 8)))
	if l.failedProbations > 0 && l.backoff > maxProbationBackoffRatio*c.BaseBackoff {
		wait = maxProbationBackoffRatio * c.BaseBackoff // its flaps have been waited for
	}
	l.retryAt = now + time.Duration((0.75+0.5*draw)*float64(wait))
	l.enter(now, StateEjected)
	l.rampShare, l.maxSpillover = 0, 0
	l.laggedSpillover = movingAverage{}
	// What is known of it is of the time before; it is judged anew.
	l.good, l.bad, l.utilization, l.sentSinceSuccess = decayingSum{}, decayingSum{}, movingAverage{}, 0
}

// updateState moves the state on. One that is away is tried only while it is wanted. refusing says that requests fit nowhere.
func (l *localityState) updateState(now time.Duration, c *Config, span time.Duration, wanted, refusing bool, draw func() float64) (changed bool) {
	was := l.state
	health, known := l.health(now)
	listed := !l.listed || l.cachesUp > 0
	switch l.state {
	case StateHealthy, StateRecovering:
		ill := known && health < c.MinHealth
		if l.state == StateRecovering { // it is trusted less
			ill = known && health < (1+c.MinHealth)/2
		}
		if ill || !listed || l.isSilent(now, c) {
			l.eject(now, c, draw())
			break
		}
		if known && health < (1+c.MinHealth)/2 {
			l.healthySince = now
		}
		if l.backoff > 0 && now-l.healthySince > max(l.backoff, c.RampDuration) { // it has been well for long enough to be forgiven
			l.backoff, l.healthySince = l.backoff/2, now
			if l.backoff < c.BaseBackoff {
				l.backoff = 0
			}
		}
		if l.state == StateRecovering {
			l.rampUp(now, c, span, refusing)
		}
	case StateEjected:
		if now >= l.retryAt && listed && wanted {
			l.enter(now, StateProbation)
		}
	case StateProbation:
		switch {
		case l.probationPassed >= probationSuccesses:
			l.enter(now, StateRecovering)
			l.rampShare = c.RampStart
		case l.probationFailed > probationRequests-probationSuccesses || !listed || now-l.stateSince > 2*c.SilenceTimeout && l.probationSent > 0 ||
			now-l.stateSince > c.MaxBackoff: // nobody asked for anything
			l.eject(now, c, draw())
		}
	}
	return l.state != was
}

// rampUp ramps a returning locality up: in a line, and at a fifth of that pace while what it is asked for is mostly missing;
// at twice the pace while requests are refused and all that it was sent went well; and down again when that went ill. Guards against giving load back by the clock alone: what is filled twice loses its hits twice.
// Where requests would be refused otherwise, a miss is better than that.
func (l *localityState) rampUp(now time.Duration, c *Config, span time.Duration, refusing bool) {
	pace := coldRampPace
	health, told := l.health(now)
	share, known := l.hitRatio(now)
	if told && health < minRampHealth {
		l.rampShare = max(c.RampStart, l.rampShare*(1-rampShrinkPerSecond*span.Seconds()))
		return
	}
	if refusing && told && health > fastRampHealth {
		pace = 2
	} else if refusing || !l.usualHits.known || known && share >= c.WarmHitRatio*l.usualHits.value {
		pace = 1
	}
	l.rampShare = min(1, l.rampShare+pace*(1-c.RampStart)*float64(span)/float64(c.RampDuration))
	if l.rampShare >= 1 {
		l.enter(now, StateHealthy)
	}
}

// learnUsual takes in what a report or a hit says of what is usual. It is learned in good health only.
func (l *localityState) learnUsual(now time.Duration) {
	if l.state != StateHealthy || l.backoff > 0 {
		return
	}
	if h, known := l.health(now); !known || h < 0.9 {
		return
	}
	if share, known := l.hitRatio(now); known {
		l.usualHits.add(now, share, usualMemory)
	}
	if l.utilization.known {
		l.usualUtilization.add(now, l.utilization.value, usualMemory)
	}
}
