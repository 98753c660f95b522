// Package loadreport smooths the utilization that endpoints report, and decides from it whether requests are to move from one
// endpoint to another that could serve them as well.
//
// Objects are placed by hash or by table, and popularity is uneven: of three endpoints one may be full while the others idle.
// Its answers are late then, and look like those of a slow source.
//
// The package does no I/O, reads no clock and draws no random numbers. Its types are not safe for concurrent use.
package loadreport

import (
	"math"
	"time"
)

// notReported is the index of a field that reports don't have.
const notReported = -1

// Fields are the indices of a load report's fields that tell how busy an endpoint is; -1: not reported.
type Fields struct {
	UtilizationIndex int // share of its capacity in use
	InFlightIndex    int // number of requests in flight
}

// FindFields finds the fields by the names that the platform's wires give them.
func FindFields(names []string) Fields {
	f := Fields{UtilizationIndex: notReported, InFlightIndex: notReported}
	for i, name := range names {
		switch name {
		case "cpu_share", "util":
			f.UtilizationIndex = i
		case "busy_reqs", "inflight":
			f.InFlightIndex = i
		}
	}
	return f
}

// Present reports whether reports tell how busy an endpoint is, one way or the other.
func (f Fields) Present() bool { return f.UtilizationIndex >= 0 || f.InFlightIndex >= 0 }

// Utilization reads the share of an endpoint's capacity in use from a report. slots is how many requests the endpoint can work on
// at once; 0: unknown. ok is false if the report doesn't tell, or its value is not a finite number of 0 or more.
func (f Fields) Utilization(report []float64, slots float64) (share float64, ok bool) {
	share = math.NaN()
	if f.UtilizationIndex >= 0 && f.UtilizationIndex < len(report) {
		share = report[f.UtilizationIndex]
	} else if f.InFlightIndex >= 0 && f.InFlightIndex < len(report) && slots > 0 {
		share = report[f.InFlightIndex] / slots
	}
	return share, share >= 0 && !math.IsInf(share, 0)
}

const (
	// smoothingTime is the time constant of the smoothed utilization.
	smoothingTime = time.Second
	// maxAge is the time after its latest report for which a smoothed utilization is used.
	maxAge = 3 * time.Second
)

// Load is the smoothed utilization of an endpoint. The zero value knows nothing.
type Load struct {
	mean       float64
	lastReport time.Duration
	known      bool
}

// Observe takes in a reported utilization. Reports are noisy, and the same one comes with several answers: they weigh by
// the time between them, not by their number.
func (l *Load) Observe(now time.Duration, utilization float64) {
	if !l.known || now-l.lastReport > maxAge {
		*l = Load{mean: utilization, lastReport: now, known: true}
		return
	}
	l.mean += (1 - math.Exp(-float64(now-l.lastReport)/float64(smoothingTime))) * (utilization - l.mean)
	l.lastReport = now
}

// Utilization returns the smoothed share of the endpoint's capacity in use. ok is false if no recent report is known.
func (l *Load) Utilization(now time.Duration) (share float64, ok bool) {
	return l.mean, l.known && now-l.lastReport <= maxAge
}

const (
	// minUtilizationToMove is the utilization below which no requests are moved away from an endpoint.
	minUtilizationToMove = 0.65
	// minDifferenceToMove is the difference in utilization that is not worth moving requests for.
	minDifferenceToMove = 0.2
	// moveRate is the share of requests that are moved for each unit of imbalance, where each move costs a fill.
	moveRate = 0.5
	// freeMoveRate is the same where no fill is saved by staying.
	freeMoveRate = 4 * moveRate
)

// Imbalance returns by how much the utilization of one endpoint exceeds that of another, beyond what is not worth moving
// requests for; 0 if it does not, or if either is unknown.
func Imbalance(now time.Duration, from, to *Load) float64 {
	a, fromKnown := from.Utilization(now)
	b, toKnown := to.Utilization(now)
	if !fromKnown || !toKnown || a < minUtilizationToMove {
		return 0
	}
	return max(0, a-b-minDifferenceToMove)
}

// MoveProbability returns the share of requests, 0 to 1, that move from an endpoint to one that is less busy by an imbalance.
// What the first endpoint is likely to have cached costs a fill at the second, and stays there: so few move at a time that
// load reports keep up.
func MoveProbability(imbalance float64, cached bool) float64 {
	if cached {
		return min(1, moveRate*imbalance)
	}
	return min(1, freeMoveRate*imbalance)
}
