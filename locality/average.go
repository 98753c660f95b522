package locality

import (
	"math"
	"time"
)

// decayingSum is a sum of which what was added earlier counts less, exponentially.
type decayingSum struct {
	sum float64
	at  time.Duration // of the latest addition
}

// add adds a value; memory is the time constant.
func (d *decayingSum) add(now time.Duration, value float64, memory time.Duration) {
	d.sum = d.now(now, memory) + value
	d.at = now
}

// now returns the sum at a time.
func (d *decayingSum) now(now time.Duration, memory time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(memory))
}

// movingAverage is an exponential moving average of values that come at any times.
type movingAverage struct {
	value float64
	at    time.Duration // of the latest value
	known bool
}

// minSampleGap is the least time between two values that is counted, so that values of one moment count, too.
const minSampleGap = time.Millisecond

// add takes in a value; memory is the time constant.
func (m *movingAverage) add(now time.Duration, value float64, memory time.Duration) {
	if !m.known {
		m.value, m.at, m.known = value, now, true
		return
	}
	weight := 1 - math.Exp(-float64(max(now-m.at, minSampleGap))/float64(memory))
	m.value += weight * (value - m.value)
	m.at = now
}
