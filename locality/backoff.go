package locality

import "time"

const (
	// maxProbationBackoffRatio bounds the backoff between failed probations, as a multiple of Config.BaseBackoff: a
	// probation costs little, and a late one costs all that the locality could have served.
	maxProbationBackoffRatio = 4
	// maxBackoffDoublings keeps the shift from overflowing; more doublings exceed every bound.
	maxBackoffDoublings = 8
	// Backoffs are spread from minBackoffJitter times to minBackoffJitter+backoffJitter times their length.
	minBackoffJitter = 0.75
	backoffJitter    = 0.5
)

// eject takes the locality out of use for a backoff. draw, in [0, 1), spreads the backoffs of gateways that see the same at the
// same moment. What was seen of the locality is forgotten: it is judged anew when it is back.
func (l *localityState) eject(now time.Duration, c *Config, draw float64) {
	backoff := l.nextBackoff(c)
	l.retryAt = now + time.Duration((minBackoffJitter+backoffJitter*draw)*float64(backoff))
	l.enter(now, StateEjected)
	l.rampShare, l.maxSpillover = 0, 0
	l.laggedSpillover, l.utilization = movingAverage{}, movingAverage{}
	l.good, l.bad = decayingSum{}, decayingSum{}
	l.sentSinceSuccess = 0
}

// nextBackoff returns the backoff of a locality that is being ejected. One that fails again after it had recovered waits
// twice as long as the last time, up to Config.MaxBackoff. One that fails its probations waits ever longer too, but no longer
// than maxProbationBackoffRatio allows.
func (l *localityState) nextBackoff(c *Config) time.Duration {
	if l.state != StateProbation {
		l.backoff = min(c.MaxBackoff, max(c.BaseBackoff, 2*l.backoff))
		l.failedProbations = 0
	} else {
		l.failedProbations++
	}
	longest := maxProbationBackoffRatio * c.BaseBackoff
	if l.failedProbations > 0 && l.backoff > longest { // the long backoff is over
		return longest
	}
	betweenProbations := min(c.MaxBackoff, longest, c.BaseBackoff<<min(l.failedProbations, maxBackoffDoublings))
	return max(l.backoff, betweenProbations)
}

// forgiveBackoff halves the remembered backoff each time that the locality was in good health for as long as that, and for as
// long as a ramp takes.
func (l *localityState) forgiveBackoff(now time.Duration, c *Config) {
	if l.backoff <= 0 || now-l.healthySince <= max(l.backoff, c.RampDuration) {
		return
	}
	l.backoff, l.healthySince = l.backoff/2, now
	if l.backoff < c.BaseBackoff {
		l.backoff = 0
	}
}
