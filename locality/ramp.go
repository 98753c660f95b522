package locality

import "time"

const (
	fastRampHealth      = 0.95 // health from which a locality ramps up at fastRampPace while requests are rejected
	minRampHealth       = 0.85 // health below which the ramp shrinks,
	rampShrinkPerSecond = 0.5  // by this share per second

	// Paces of the ramp, relative to the one that takes Config.RampDuration.
	fastRampPace = 2
	fullRampPace = 1
	coldRampPace = 0.2
)

// rampUp updates the share of its load that a recovering locality gets.
func (l *localityState) rampUp(now time.Duration, c *Config, s stateInputs) {
	if l.isBelow(now, minRampHealth) {
		l.rampShare = max(c.RampStart, l.rampShare*(1-rampShrinkPerSecond*s.span.Seconds()))
		return
	}
	step := l.rampPace(now, c, s.rejecting) * (1 - c.RampStart) * float64(s.span) / float64(c.RampDuration)
	l.rampShare = min(1, l.rampShare+step)
	if l.rampShare >= 1 {
		l.enter(now, StateHealthy)
	}
}

// rampPace returns the pace of the ramp. A locality with a low hit ratio ramps up slowly: objects
// that have to be filled again in two localities lose their hits in both. While requests are
// rejected, a miss is better than a rejection, and a locality in full health ramps up faster.
func (l *localityState) rampPace(now time.Duration, c *Config, rejecting bool) float64 {
	health, known := l.health(now)
	if rejecting && known && health > fastRampHealth {
		return fastRampPace
	}
	if rejecting || !l.usualHitRatio.known || l.isWarm(now, c) {
		return fullRampPace
	}
	return coldRampPace
}

// isWarm reports whether the hit ratio is known to have recovered.
func (l *localityState) isWarm(now time.Duration, c *Config) bool {
	ratio, known := l.hitRatio(now)
	return known && ratio >= c.WarmHitRatio*l.usualHitRatio.value
}
