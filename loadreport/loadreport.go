// Package loadreport smooths the utilization that endpoints report, and decides from it whether
// requests should move from one endpoint to another that can serve them as well.
//
// Objects are placed by hash or by table, and their popularity is uneven: one of three endpoints
// may be at capacity while the others idle. Its answers are then late and look like those of a slow
// fill source.
//
// The package does no I/O, reads no clock and draws no random numbers. Its types are not safe for
// concurrent use.
package loadreport

import (
	"math"
	"time"
)

// notReported is the index of a value that load reports don't contain.
const notReported = -1

// Fields are the indices of the values of a load report that state an endpoint's utilization; -1:
// not reported.
type Fields struct {
	UtilizationIndex int // of the share of its capacity in use
	InFlightIndex    int // of the number of requests in flight
}

// FindFields finds the indices by the names that the platform's protocols use for these values.
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

// Present reports whether load reports contain one of the values.
func (f Fields) Present() bool { return f.UtilizationIndex >= 0 || f.InFlightIndex >= 0 }

// Utilization returns the share of an endpoint's capacity in use by a report. slots is the number
// of requests that the endpoint can process at once; 0: unknown. ok is false if the report does not
// state it, or not as a finite number of at least 0.
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
	// maxAge is the time since the latest report for which the smoothed utilization is used.
	maxAge = 3 * time.Second
)

// Load is the smoothed utilization of an endpoint. The zero value has no report.
type Load struct {
	mean       float64
	lastReport time.Duration
	known      bool
}

// Observe adds a reported utilization. Reports are noisy, and several answers carry the same one;
// so reports are weighted by the time between them, not by their number.
func (l *Load) Observe(now time.Duration, utilization float64) {
	if !l.known || now-l.lastReport > maxAge {
		*l = Load{mean: utilization, lastReport: now, known: true}
		return
	}
	l.mean += (1 - math.Exp(-float64(now-l.lastReport)/float64(smoothingTime))) * (utilization - l.mean)
	l.lastReport = now
}

// Utilization returns the smoothed share of the endpoint's capacity in use. ok is false without a
// recent report.
func (l *Load) Utilization(now time.Duration) (share float64, ok bool) {
	return l.mean, l.known && now-l.lastReport <= maxAge
}

const (
	// minUtilizationToMove is the utilization below which no requests are moved away from an
	// endpoint.
	minUtilizationToMove = 0.65
	// minDifferenceToMove is the difference in utilization up to which no requests are moved.
	minDifferenceToMove = 0.2
	// moveRate is the share of requests moved per unit of imbalance where each move costs a fill.
	moveRate = 0.5
	// freeMoveRate is the same where staying would not save a fill.
	freeMoveRate = 4 * moveRate
)

// Imbalance returns by how much the utilization of from exceeds that of to, minus
// minDifferenceToMove; 0 if it does not, if from has capacity to spare, or if either utilization is
// unknown.
func Imbalance(now time.Duration, from, to *Load) float64 {
	a, fromKnown := from.Utilization(now)
	b, toKnown := to.Utilization(now)
	if !fromKnown || !toKnown || a < minUtilizationToMove {
		return 0
	}
	return max(0, a-b-minDifferenceToMove)
}

// MoveProbability returns the share of requests, 0 to 1, that should move from an endpoint to one
// that is less utilized by an imbalance. If the first endpoint probably has the object cached, a
// move costs a fill at the second, and later requests follow it: few requests move at a time, so
// that load reports can follow.
func MoveProbability(imbalance float64, cached bool) float64 {
	if cached {
		return min(1, moveRate*imbalance)
	}
	return min(1, freeMoveRate*imbalance)
}
