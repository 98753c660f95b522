package routing

import (
	"math"
	"slices"
	"time"
)

// fillLatencyAdvantage is the factor by which the first parent's fill latency must exceed the
// second parent's for the second to be chosen. Below it the shared preference order decides: if two
// directors chose differently, both parents would fetch and cache the object.
const fillLatencyAdvantage = 2

// pickSourceFor chooses the fill source for a miss at a cache. An explored cache is filled by the
// listed one, if that one was hit recently. The result is the cache itself, which may still have a
// copy, if no source is available.
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

// siblingCanFill reports whether the listed cache may fill a miss at another cache.
func (d *Director) siblingCanFill(r *request) bool {
	e := r.entry
	return d.settings.Siblings != NoSiblings && e.lastHit > 0 && d.now-e.lastHit < recentWindow && d.usable(e.cache, r)
}

// pickFillSource chooses the fill source for a miss: the one with the lower fill latency of the
// object's first two usable parents, else the origin. An ejected parent that is usable through
// panic mode is chosen only if fetches from the origin are at their limit or there is no origin.
// The result is nil if there is no source.
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

// firstUsableParents returns the first two parents in the object's preference order that can serve
// the request.
func (d *Director) firstUsableParents(r *request) []*endpoint {
	var parents []*endpoint
	for _, ep := range d.preferenceOrder(r.key, d.upEndpoints[roleParent]) {
		if d.canServe(ep, r) && len(parents) < 2 {
			parents = append(parents, ep)
		}
	}
	return parents
}

// preferParents reports whether one of these parents is to fill instead of the origin.
func (d *Director) preferParents(r *request, parents []*endpoint) bool {
	if slices.ContainsFunc(parents, d.healthy) {
		return true
	}
	return len(parents) > 0 && !d.hasCapacity(&d.originFetches, r)
}

// recentFillLatency returns the fill latency of the endpoint in nanoseconds. It halves per
// recentWindow without a fill, so that a slow source is tried again.
func (ep *endpoint) recentFillLatency(now time.Duration) float64 {
	return float64(ep.fillLatency) * math.Exp2(-float64(now-ep.fillLatencyAt)/float64(recentWindow))
}

// recordFillLatency updates the fill latency by an attempt with a fill from the endpoint, whose
// transfer took transferTime of latency.
func (ep *endpoint) recordFillLatency(now, latency, transferTime time.Duration) {
	overhead := max(0, latency-transferTime)
	ep.fillLatency += time.Duration(newestSampleWeight * float64(overhead-ep.fillLatency))
	ep.fillLatencyAt = now
	if ep.minFillLatency == 0 || latency < ep.minFillLatency {
		ep.minFillLatency = latency
	}
}

// restrictFill reports whether an attempt may request a fill now, and restricts the fill to what
// the limits allow. While fetches from the origin are at their limit, a parent serves only from its
// cache: this spares the origin, and costs little if the parent has no copy. Attempts with an
// expected hit are restricted too, because the copy may have been purged, evicted or become too
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
		a.fillSource = a.target // without a fill if the copy is gone
		return true
	default:
		return true
	}
}
