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

// weights of results, as good and as bad ones.
var weights = [...][2]float64{ResultSuccess: {1, 0}, ResultLate: {0.5, 0.5}, ResultFailure: {0, 1}, ResultRejected: {0.5, 0.5}, ResultNeutral: {}}

const (
	memory     = 1500 * time.Millisecond // results and reports count for so long,
	hitMemory  = 2 * time.Second         // and hits
	usually    = 60 * time.Second        // what is usual is learned over this
	resultsFew = 5.0                     // fewer say nothing
	trials     = 5                       // requests of a trial,
	trialsGood = 3                       // and how many of them must end well
	vainMost   = 4                       // times Back that a locality waits for its next trial, after some in vain
	wellAt     = 0.95                    // health from which a returning locality that is pressed grows at twice the pace,
	holdAt     = 0.85                    // and below which it shrinks,
	shrink     = 0.5                     // by this share in a second
	coldPace   = 0.2                     // pace of the ramp of a locality that is cold
	demandless = 0.7                     // how full the own locality's link is taken to be that has told nothing yet
)

// decayed is a sum that forgets.
type decayed struct {
	sum float64
	at  time.Duration
}

func (d *decayed) add(now time.Duration, v float64, over time.Duration) {
	d.sum = d.now(now, over) + v
	d.at = now
}

func (d *decayed) now(now time.Duration, over time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(over))
}

// smoothed is an average over a time, of values that come when they come.
type smoothed struct {
	v     float64
	at    time.Duration
	known bool
}

func (s *smoothed) add(now time.Duration, v float64, over time.Duration) {
	if !s.known {
		s.v, s.at, s.known = v, now, true
		return
	}
	w := 1 - math.Exp(-float64(max(now-s.at, time.Millisecond))/float64(over))
	s.v += w * (v - s.v)
	s.at = now
}

// locality is one of them, as it is seen from here.
type locality struct {
	Locality
	state State
	since time.Duration // when it came into its state
	until time.Duration // Away: it is tried then
	wait  time.Duration // the latest such wait for one that failed after it had been back; 0: it was never away
	vain  int           // trials in a row that failed
	calm  time.Duration // since when it is in good health

	up        int // its caches that the list says are up
	told      bool
	good, bad decayed
	hits      decayed
	reads     decayed
	usualHits smoothed // share of hits in good health
	usualLoad smoothed // how full its link is then
	load      smoothed // how full it is
	out       int      // attempts
	sent      int      // since the latest good end
	lastGood  time.Duration
	tried     int // requests of the trial that were sent,
	triedOK   int // and ended well,
	triedBad  int // or not

	ramp   float64 // share that it may have, of what it would else
	spill  float64 // share of the own load that may go there; not for the own one
	lagged smoothed
	purse  purse
	picked uint64
}

// judge is the share of good ends lately; unknown if too few came.
func (l *locality) judge(now time.Duration) (health float64, known bool) {
	g, b := l.good.now(now, memory), l.bad.now(now, memory)
	if g+b < resultsFew {
		return 1, false
	}
	return g / (g + b), true
}

// silent says that work is out and none ends well.
func (l *locality) silent(now time.Duration, c *Config) bool {
	return l.out > 0 && l.sent >= int(resultsFew) && now-l.lastGood > c.SilenceTimeout
}

// hitShare is the share of reads that were hits lately; unknown if too few came.
func (l *locality) hitShare(now time.Duration) (share float64, known bool) {
	n := l.reads.now(now, hitMemory)
	if n < resultsFew {
		return 0, false
	}
	return l.hits.now(now, hitMemory) / n, true
}

// enter changes the state.
func (l *locality) enter(now time.Duration, s State) {
	l.state, l.since = s, now
	switch s {
	case StateProbation:
		l.tried, l.triedOK, l.triedBad = 0, 0, 0
	case StateRecovering, StateHealthy:
		l.calm = now
	}
}

// leave takes a locality out of use. One that fails again after it was back waits for longer, up to BackMost; one that has
// not come back is tried a few times a minute at least, since trials cost little and a late one costs all that it could
// have served. draw, from 0 to 1, spreads the waits of gateways that see the same at the same moment.
func (l *locality) leave(now time.Duration, c *Config, draw float64) {
	if l.state == StateProbation {
		l.vain++
	} else {
		l.wait, l.vain = min(c.MaxBackoff, max(c.BaseBackoff, 2*l.wait)), 0
	}
	wait := max(l.wait, min(c.MaxBackoff, vainMost*c.BaseBackoff, c.BaseBackoff<<min(l.vain, 8)))
	if l.vain > 0 && l.wait > vainMost*c.BaseBackoff {
		wait = vainMost * c.BaseBackoff // its flaps have been waited for
	}
	l.until = now + time.Duration((0.75+0.5*draw)*float64(wait))
	l.enter(now, StateEjected)
	l.ramp, l.spill = 0, 0
	l.lagged = smoothed{}
	// What is known of it is of the time before; it is judged anew.
	l.good, l.bad, l.load, l.sent = decayed{}, decayed{}, smoothed{}, 0
}

// look moves the state on. One that is away is tried only while it is wanted. refusing says that requests fit nowhere.
func (l *locality) look(now time.Duration, c *Config, span time.Duration, wanted, refusing bool, draw func() float64) (changed bool) {
	was := l.state
	health, known := l.judge(now)
	listed := !l.told || l.up > 0
	switch l.state {
	case StateHealthy, StateRecovering:
		ill := known && health < c.MinHealth
		if l.state == StateRecovering { // it is trusted less
			ill = known && health < (1+c.MinHealth)/2
		}
		if ill || !listed || l.silent(now, c) {
			l.leave(now, c, draw())
			break
		}
		if known && health < (1+c.MinHealth)/2 {
			l.calm = now
		}
		if l.wait > 0 && now-l.calm > max(l.wait, c.RampDuration) { // it has been well for long enough to be forgiven
			l.wait, l.calm = l.wait/2, now
			if l.wait < c.BaseBackoff {
				l.wait = 0
			}
		}
		if l.state == StateRecovering {
			l.grow(now, c, span, refusing)
		}
	case StateEjected:
		if now >= l.until && listed && wanted {
			l.enter(now, StateProbation)
		}
	case StateProbation:
		switch {
		case l.triedOK >= trialsGood:
			l.enter(now, StateRecovering)
			l.ramp = c.RampStart
		case l.triedBad > trials-trialsGood || !listed || now-l.since > 2*c.SilenceTimeout && l.tried > 0 ||
			now-l.since > c.MaxBackoff: // nobody asked for anything
			l.leave(now, c, draw())
		}
	}
	return l.state != was
}

// grow ramps a returning locality up: in a line, and at a fifth of that pace while what it is asked for is mostly missing;
// at twice the pace while requests are refused and all that it was sent went well; and down again when that went ill. Guards against giving load back by the clock alone: what is filled twice loses its hits twice.
// Where requests would be refused otherwise, a miss is better than that.
func (l *locality) grow(now time.Duration, c *Config, span time.Duration, refusing bool) {
	pace := coldPace
	health, told := l.judge(now)
	share, known := l.hitShare(now)
	if told && health < holdAt {
		l.ramp = max(c.RampStart, l.ramp*(1-shrink*span.Seconds()))
		return
	}
	if refusing && told && health > wellAt {
		pace = 2
	} else if refusing || !l.usualHits.known || known && share >= c.WarmHitRatio*l.usualHits.v {
		pace = 1
	}
	l.ramp = min(1, l.ramp+pace*(1-c.RampStart)*float64(span)/float64(c.RampDuration))
	if l.ramp >= 1 {
		l.enter(now, StateHealthy)
	}
}

// learn takes in what a report or a hit says of what is usual. It is learned in good health only.
func (l *locality) learn(now time.Duration) {
	if l.state != StateHealthy || l.wait > 0 {
		return
	}
	if h, known := l.judge(now); !known || h < 0.9 {
		return
	}
	if share, known := l.hitShare(now); known {
		l.usualHits.add(now, share, usually)
	}
	if l.load.known {
		l.usualLoad.add(now, l.load.v, usually)
	}
}
