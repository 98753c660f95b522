package routing

import (
	"math"
	"slices"
	"time"
)

// fillLatencyAdvantage is how many times the fill latency of the first parent must exceed the second's for the second to be
// chosen. Less is a tie, which the shared preference order decides: two directors that differ would have both parents fetch and
// cache the object.
const fillLatencyAdvantage = 2

// pickSourceFor chooses who fills a miss at a cache. A cache that is explored is filled by the listed one, where that was hit
// recently; where there is no source at all, the cache itself may still have a copy.
func (d *Director) pickSourceFor(r *request, target *endpoint, exploring bool) *endpoint {
	source := d.pickFillSource(r)
	if exploring && d.siblingCanFill(r) {
		return r.entry.cache
	}
	if source == nil {
		return target
	}
	return source
}

// siblingCanFill reports whether the listed cache may fill a miss at another one.
func (d *Director) siblingCanFill(r *request) bool {
	e := r.entry
	return d.settings.Siblings != NoSiblings && e.lastHit > 0 && d.now-e.lastHit < recentWindow && d.usable(e.cache, r)
}

// pickFillSource chooses who fills a miss: of the object's first two usable parents the one with the lower fill latency, else
// the origin. An unhealthy parent, sent to in panic mode, fills if fetches from the origin are at their limit, or if
// there is no origin. It is nil if there is no source.
func (d *Director) pickFillSource(r *request) *endpoint {
	parents := d.firstUsableParents(r)
	if len(parents) == 2 && parents[1].recentFillLatency(d.now)*fillLatencyAdvantage < parents[0].recentFillLatency(d.now) {
		return parents[1]
	}
	if origins := d.upEndpoints[roleOrigin]; len(origins) > 0 && !d.preferParents(r, parents) {
		return origins[0]
	}
	if len(parents) == 0 {
		return nil
	}
	return parents[0]
}

// firstUsableParents are the first two parents in the object's preference order that can serve.
func (d *Director) firstUsableParents(r *request) []*endpoint {
	var parents []*endpoint
	for _, ep := range d.preferenceOrder(r.key, d.upEndpoints[roleParent]) {
		if d.canServe(ep, r) && len(parents) < 2 {
			parents = append(parents, ep)
		}
	}
	return parents
}

// parentsGoFirst reports whether one of these parents is to fill rather than the origin.
func (d *Director) preferParents(r *request, parents []*endpoint) bool {
	if slices.ContainsFunc(parents, d.healthy) {
		return true
	}
	return len(parents) > 0 && !d.hasCapacity(&d.originFetches, r)
}

// recentFillLatency is the latency of fills from the endpoint, in nanoseconds. It halves with each recentWindow in which none
// was seen, so that a slow source is tried again.
func (ep *endpoint) recentFillLatency(now time.Duration) float64 {
	return float64(ep.fillLatency) * math.Exp2(-float64(now-ep.fillLatencyAt)/float64(recentWindow))
}

// recordFillLatency takes in how long an attempt with a fill from the endpoint took, and which part of it was the transfer.
func (ep *endpoint) recordFillLatency(now, latency, transferTime time.Duration) {
	overhead := max(0, latency-transferTime)
	ep.fillLatency += time.Duration(newestSampleWeight * float64(overhead-ep.fillLatency))
	ep.fillLatencyAt = now
	if ep.minFillLatency == 0 || latency < ep.minFillLatency {
		ep.minFillLatency = latency
	}
}

// restrictFill reports whether an attempt may ask for a fill now, and restricts it to what the limits allow. Where fetches from
// the origin are at their limit, a parent is asked only for what it has cached: that spares the origin, and costs little if the
// parent lacks the object. Attempts that should hit are restricted too, since a copy may have been purged, evicted or grown too
// old.
func (d *Director) restrictFill(r *request, a *attempt) bool {
	mayFetch := d.hasCapacity(&d.originFetches, r)
	switch a.fillSource.role {
	case roleParent:
		a.onlyIfCached = !mayFetch
		return !a.fillExpected || d.hasCapacity(&a.fillSource.concurrencyLimit, r)
	case roleOrigin:
		if mayFetch {
			return true
		}
		if a.fillExpected {
			return false
		}
		a.fillSource = a.target // no fill, if the copy is gone after all
		return true
	default:
		return true
	}
}
