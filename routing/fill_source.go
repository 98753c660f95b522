package routing

import (
	"math"
	"slices"
	"time"
)

const fillLatencyAdvantage = 2 // a parent is quicker than another if it waits this many times less

// pickFillSource chooses who fills a miss: of the object's first two usable parents the quicker one, else the
// origin. Quicker by less than a multiple is a tie, which the shared order decides: two directors that differ
// in it would have both parents fetch and keep the object. A wait that was not seen for long is forgotten.
func (d *Director) pickFillSource(r *request) *endpoint {
	var pair []*endpoint
	for _, p := range d.preferenceOrder(r.key, d.inUse[roleParent]) {
		if d.usable(p, r) && !slices.Contains(r.failedEndpoints, p) && len(pair) < 2 {
			pair = append(pair, p)
		}
	}
	if len(pair) == 2 && pair[1].recentFillLatency(d.now)*fillLatencyAdvantage < pair[0].recentFillLatency(d.now) {
		return pair[1]
	}
	// With none in health the origin fills, within the limit on fetches: the floor is for want of any other.
	if o := d.inUse[roleOrigin]; len(o) > 0 && !(slices.ContainsFunc(pair, d.healthy) ||
		len(pair) > 0 && !d.hasCapacity(&d.originFetches, r)) {
		return o[0]
	}
	if len(pair) == 0 {
		return nil
	}
	return pair[0]
}

// recentFillLatency is the wait for fills from s, which halves with each rateWindow in which none was seen.
func (s *endpoint) recentFillLatency(now time.Duration) float64 {
	return float64(s.fillLatency) * math.Exp2(-float64(now-s.fillLatencyAt)/float64(recentWindow))
}

// fillAllowed says whether a fill may be asked for now. Where fetches from the origin are at their limit a
// parent is asked for what it holds: that spares the origin, and costs little where it lacks the object. This
// goes for attempts that should hit, too: a copy may have been purged, dropped or grown too old. May hurt
// where the origin is well and the parents' links are full.
func (d *Director) fillAllowed(r *request, a *attempt) bool {
	fetch := d.hasCapacity(&d.originFetches, r)
	switch a.onlyIfCached = a.fillSource.role == roleParent && !fetch; {
	case a.fillExpected && a.fillSource.role == roleParent:
		return d.hasCapacity(&a.fillSource.concurrencyLimit, r)
	case a.fillSource.role == roleOrigin && !fetch && a.fillExpected:
		return false
	case a.fillSource.role == roleOrigin && !fetch:
		a.fillSource = a.target
	}
	return true
}
