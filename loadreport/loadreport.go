// Package loadreport judges, from the load that stores report, which of several that could serve a request are busier than
// they need be. It does no I/O and reads no clock.
//
// Objects are placed by hash or by table, and popularity is uneven: of three stores one may be full while the others idle.
// Its answers are late then, and look like those of a slow source.
package loadreport

import (
	"math"
	"time"
)

const (
	smoothingTime        = time.Second     // a mean follows reports within about this
	maxAge               = 3 * time.Second // a mean that nothing has confirmed for so long is not used
	minUtilizationToMove = 0.65            // a store is not relieved below this share
	minDifferenceToMove  = 0.2             // nor where another is less than this less busy
	moveRate             = 0.5             // share of the requests moved on for each unit of difference, where moving costs a fill
)

// Fields says where a load report tells how busy a store is: the places of the share of its capacity in use, and of the
// number of requests that it holds; -1: not told.
type Fields struct{ UtilizationIndex, InFlightIndex int }

// FindFields finds the fields by their names on the platform's wires.
func FindFields(names []string) Fields {
	f := Fields{-1, -1}
	for i, n := range names {
		switch n {
		case "cpu_share", "util":
			f.UtilizationIndex = i
		case "busy_reqs", "inflight":
			f.InFlightIndex = i
		}
	}
	return f
}

// Present says that reports tell how busy a store is, one way or the other.
func (f Fields) Present() bool { return f.UtilizationIndex >= 0 || f.InFlightIndex >= 0 }

// Utilization reads the share of a store's capacity in use from a report; false if that is not told. Slots is how many requests
// the store can work on, 0 if nobody tells.
func (f Fields) Utilization(report []float64, slots float64) (float64, bool) {
	x := math.NaN()
	if f.UtilizationIndex >= 0 && f.UtilizationIndex < len(report) {
		x = report[f.UtilizationIndex]
	} else if f.InFlightIndex >= 0 && f.InFlightIndex < len(report) && slots > 0 {
		x = report[f.InFlightIndex] / slots
	}
	return x, x >= 0 && !math.IsInf(x, 0)
}

// Load is how busy a store is, as far as its reports tell. The zero value knows nothing.
type Load struct {
	mean       float64
	lastReport time.Duration // of the latest report
	known      bool
}

// Observe takes in a reported share. Reports are noisy, and each comes with several answers: the time between them
// counts, not their number.
func (l *Load) Observe(now time.Duration, utilization float64) {
	if !l.known || now-l.lastReport > maxAge {
		*l = Load{mean: utilization, lastReport: now, known: true}
		return
	}
	l.mean += (1 - math.Exp(-float64(now-l.lastReport)/float64(smoothingTime))) * (utilization - l.mean)
	l.lastReport = now
}

// Utilization is the smoothed share; false if nothing is known.
func (l *Load) Utilization(now time.Duration) (float64, bool) {
	return l.mean, l.known && now-l.lastReport <= maxAge
}

// Imbalance is by how much one store is busier than another, beyond what is not worth moving for; 0 if it is not, or if
// that is not known.
func Imbalance(now time.Duration, from, to *Load) float64 {
	a, ok := from.Utilization(now)
	b, known := to.Utilization(now)
	if !ok || !known || a < minUtilizationToMove {
		return 0
	}
	return max(0, a-b-minDifferenceToMove)
}

// MoveProbability is the part of the requests that go from a store to one that is less busy by a gap. What the first is likely to
// hold costs a fill at the second, and stays there: so few are moved at a time that reports keep up with them.
func MoveProbability(imbalance float64, cached bool) float64 {
	if cached {
		return min(1, moveRate*imbalance)
	}
	return min(1, 4*moveRate*imbalance)
}
