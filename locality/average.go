package locality

import (
	"math"
	"time"
)

// decayingSum is a sum in which earlier values count exponentially less.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration // time of the latest value
}

// add adds a value. timeConstant is that of the decay.
func (d *decayingSum) add(now time.Duration, value float64, timeConstant time.Duration) {
	d.sum = d.valueAt(now, timeConstant) + value
	d.updatedAt = now
}

// valueAt returns the sum at a time.
func (d *decayingSum) valueAt(now time.Duration, timeConstant time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.updatedAt)/float64(timeConstant))
}

// movingAverage is an exponential moving average of values at irregular times.
type movingAverage struct {
	value     float64
	updatedAt time.Duration // time of the latest value
	known     bool
}

// minSampleGap is the smallest time between two values that is assumed, so that values of the same
// moment count, too.
const minSampleGap = time.Millisecond

// add includes a value in the average. timeConstant is that of the decay.
func (m *movingAverage) add(now time.Duration, value float64, timeConstant time.Duration) {
	if !m.known {
		m.value, m.updatedAt, m.known = value, now, true
		return
	}
	weight := 1 - math.Exp(-float64(max(now-m.updatedAt, minSampleGap))/float64(timeConstant))
	m.value += weight * (value - m.value)
	m.updatedAt = now
}
