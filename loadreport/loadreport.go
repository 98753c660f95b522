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
	settle  = time.Second     // a mean follows reports within about this
	forget  = 3 * time.Second // a mean that nothing has confirmed for so long is not used
	crowded = 0.65            // a store is not relieved below this share
	apart   = 0.2             // nor where another is less than this less busy
	haste   = 0.5             // share of the requests moved on for each unit of difference, where moving costs a fill
)

// Fields says where a load report tells how busy a store is: the places of the share of its capacity in use, and of the
// number of requests that it holds; -1: not told.
type Fields struct{ Share, InFlight int }

// FindFields finds the fields by their names on the platform's wires.
func FindFields(names []string) Fields {
	f := Fields{-1, -1}
	for i, n := range names {
		switch n {
		case "cpu_share", "util":
			f.Share = i
		case "busy_reqs", "inflight":
			f.InFlight = i
		}
	}
	return f
}

// Present says that reports tell how busy a store is, one way or the other.
func (f Fields) Present() bool { return f.Share >= 0 || f.InFlight >= 0 }

// Utilization reads the share of a store's capacity in use from a report; false if that is not told. Slots is how many requests
// the store can work on, 0 if nobody tells.
func (f Fields) Utilization(report []float64, slots float64) (float64, bool) {
	x := math.NaN()
	if f.Share >= 0 && f.Share < len(report) {
		x = report[f.Share]
	} else if f.InFlight >= 0 && f.InFlight < len(report) && slots > 0 {
		x = report[f.InFlight] / slots
	}
	return x, x >= 0 && !math.IsInf(x, 0)
}

// Load is how busy a store is, as far as its reports tell. The zero value knows nothing.
type Load struct {
	mean float64
	at   time.Duration // of the latest report
	any  bool
}

// Observe takes in a reported share. Reports are noisy, and each comes with several answers: the time between them
// counts, not their number.
func (l *Load) Observe(now time.Duration, share float64) {
	if !l.any || now-l.at > forget {
		*l = Load{mean: share, at: now, any: true}
		return
	}
	l.mean += (1 - math.Exp(-float64(now-l.at)/float64(settle))) * (share - l.mean)
	l.at = now
}

// Utilization is the smoothed share; false if nothing is known.
func (l *Load) Utilization(now time.Duration) (float64, bool) {
	return l.mean, l.any && now-l.at <= forget
}

// Imbalance is by how much one store is busier than another, beyond what is not worth moving for; 0 if it is not, or if
// that is not known.
func Imbalance(now time.Duration, from, to *Load) float64 {
	a, ok := from.Utilization(now)
	b, known := to.Utilization(now)
	if !ok || !known || a < crowded {
		return 0
	}
	return max(0, a-b-apart)
}

// MoveProbability is the part of the requests that go from a store to one that is less busy by a gap. What the first is likely to
// hold costs a fill at the second, and stays there: so few are moved at a time that reports keep up with them.
func MoveProbability(gap float64, held bool) float64 {
	if held {
		return min(1, haste*gap)
	}
	return min(1, 4*haste*gap)
}
