package locality

import "time"

const (
	// maxProbationBackoffRatio limits the backoff between failed probations, as a multiple of
	// Config.BaseBackoff: a probation costs little, while a late one costs all that the locality
	// could have served.
	maxProbationBackoffRatio = 4
	// maxBackoffDoublings keeps the shift from overflowing. More doublings would exceed every
	// limit.
	maxBackoffDoublings = 8
	// Backoffs vary from minBackoffJitter times to minBackoffJitter+backoffJitter times their
	// length.
	minBackoffJitter = 0.75
	backoffJitter    = 0.5
)

// eject stops sending to the locality for a backoff. draw, in [0, 1), varies the backoff among
// gateways that make the same observations at the same time. Earlier results and load reports of
// the locality are dropped, so that it is judged anew when it returns.
func (l *localityState) eject(now time.Duration, c *Config, draw float64) {
	backoff := l.nextBackoff(c)
	l.retryAt = now + time.Duration((minBackoffJitter+backoffJitter*draw)*float64(backoff))
	l.enter(now, StateEjected)
	l.rampShare, l.maxSpillover = 0, 0
	l.laggedSpillover, l.utilization = movingAverage{}, movingAverage{}
	l.good, l.bad = decayingSum{}, decayingSum{}
	l.sentSinceSuccess = 0
}

// nextBackoff returns the backoff of a locality that is being ejected. A locality that fails again
// after it had recovered waits twice as long as the last time, up to Config.MaxBackoff. A locality
// that fails its probations waits longer each time, too, but no longer than
// maxProbationBackoffRatio allows.
func (l *localityState) nextBackoff(c *Config) time.Duration {
	if l.state != StateProbation {
		l.backoff = min(c.MaxBackoff, max(c.BaseBackoff, 2*l.backoff))
		l.failedProbations = 0
	} else {
		l.failedProbations++
	}
	longest := maxProbationBackoffRatio * c.BaseBackoff
	if l.failedProbations > 0 && l.backoff > longest { // the long backoff has passed before the first probation
		return longest
	}
	betweenProbations := min(c.MaxBackoff, longest, c.BaseBackoff<<min(l.failedProbations, maxBackoffDoublings))
	return max(l.backoff, betweenProbations)
}

// decayBackoff halves the remembered backoff whenever the locality was in good health for longer
// than that backoff and than a ramp takes.
func (l *localityState) decayBackoff(now time.Duration, c *Config) {
	if l.backoff <= 0 || now-l.healthySince <= max(l.backoff, c.RampDuration) {
		return
	}
	l.backoff, l.healthySince = l.backoff/2, now
	if l.backoff < c.BaseBackoff {
		l.backoff = 0
	}
}
