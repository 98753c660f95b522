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
type Fields struct{ Share, Held int }

// Find finds the fields by their names on the platform's wires.
func Find(names []string) Fields {
	f := Fields{-1, -1}
	for i, n := range names {
		switch n {
		case "cpu_share", "util":
			f.Share = i
		case "busy_reqs", "inflight":
			f.Held = i
		}
	}
	return f
}

// Told says that reports tell how busy a store is, one way or the other.
func (f Fields) Told() bool { return f.Share >= 0 || f.Held >= 0 }

// Busy reads the share of a store's capacity in use from a report; false if that is not told. Slots is how many requests
// the store can work on, 0 if nobody tells.
func (f Fields) Busy(report []float64, slots float64) (float64, bool) {
	x := math.NaN()
	if f.Share >= 0 && f.Share < len(report) {
		x = report[f.Share]
	} else if f.Held >= 0 && f.Held < len(report) && slots > 0 {
		x = report[f.Held] / slots
	}
	return x, x >= 0 && !math.IsInf(x, 0)
}

// Load is how busy a store is, as far as its reports tell. The zero value knows nothing.
type Load struct {
	mean float64
	at   time.Duration // of the latest report
	any  bool
}

// Report takes in a reported share. Reports are noisy, and each comes with several answers: the time between them
// counts, not their number.
func (l *Load) Report(now time.Duration, share float64) {
	if !l.any || now-l.at > forget {
		*l = Load{mean: share, at: now, any: true}
		return
	}
	l.mean += (1 - math.Exp(-float64(now-l.at)/float64(settle))) * (share - l.mean)
	l.at = now
}

// Share is the smoothed share; false if nothing is known.
func (l *Load) Share(now time.Duration) (float64, bool) { return l.mean, l.any && now-l.at <= forget }

// Gap is by how much one store is busier than another, beyond what is not worth moving for; 0 if it is not, or if
// that is not known.
func Gap(now time.Duration, from, to *Load) float64 {
	a, ok := from.Share(now)
	b, known := to.Share(now)
	if !ok || !known || a < crowded {
		return 0
	}
	return max(0, a-b-apart)
}

// Chance is the part of the requests that go from a store to one that is less busy by a gap. What the first is likely to
// hold costs a fill at the second, and stays there: so few are moved at a time that reports keep up with them.
func Chance(gap float64, held bool) float64 {
	if held {
		return min(1, haste*gap)
	}
	return min(1, 4*haste*gap)
}
