package routing

import (
	"cmp"
	"slices"

	"larchusher/loadreport"
)

// Constants of Adaptive Distributed Caching.
const (
	listedCacheProbability = 0.98 // probability of using the listed cache; otherwise another one is explored
	listingGapRatio        = 0.5  // an object whose gap is below this share of the longest listed gap displaces that listing
)

// Numbers of recent requests for which a copy gets a rank; see rankAfterHit.
const (
	topRankRequests    = 4
	middleRankRequests = 1.3
)

// pickCache chooses the cache for a request: the listed one; if that is at its limit, the first
// other cache in preference order that has capacity; if no usable cache is listed, the first in
// preference order. Requests may move to a less utilized cache (see rebalance). With a small
// probability another cache is explored, which exploring reports. picked is nil if no cache can
// serve the request.
func (d *Director) pickCache(r *request) (picked *endpoint, exploring bool) {
	listed := d.listedCache(r)
	if listed == nil {
		return d.pickPreferred(r), false
	}
	if !d.fitsObjective(listed, r) {
		return d.pickSubstitute(r, listed), false
	}
	others := d.otherCaches(r, listed)
	if len(r.failedEndpoints) > 0 || len(others) == 0 || d.rng.Float64() < listedCacheProbability {
		return d.rebalance(listed, others, true), false
	}
	return others[d.rng.IntN(len(others))], true
}

// canServe reports whether an endpoint may be sent the request and has not failed it.
func (d *Director) canServe(ep *endpoint, r *request) bool {
	return d.usable(ep, r) && !slices.Contains(r.failedEndpoints, ep)
}

// listedCache returns the cache at which a hit is expected, or nil if there is none or it cannot
// serve the request.
func (d *Director) listedCache(r *request) *endpoint {
	e := r.entry
	if e == nil || e.cache == nil || !e.hitExpectedAt(e.cache) || !d.canServe(e.cache, r) {
		return nil
	}
	return e.cache
}

// otherCaches returns the caches that can serve the request, except one, in order of id.
func (d *Director) otherCaches(r *request, except *endpoint) []*endpoint {
	return slices.DeleteFunc(slices.Clone(d.upEndpoints[roleCache]), func(ep *endpoint) bool {
		return ep == except || !d.canServe(ep, r)
	})
}

// preferredCaches returns the caches that can serve the request, in preference order.
func (d *Director) preferredCaches(r *request) []*endpoint {
	return slices.DeleteFunc(d.preferenceOrder(r.key, d.upEndpoints[roleCache]), func(ep *endpoint) bool {
		return !d.canServe(ep, r)
	})
}

// pickPreferred returns the first cache in preference order, after rebalancing, or nil if there is
// none.
func (d *Director) pickPreferred(r *request) *endpoint {
	caches := d.preferredCaches(r)
	if len(caches) == 0 {
		return nil
	}
	return d.rebalance(caches[0], caches, false)
}

// pickSubstitute replaces a listed cache that is at its limit by the next cache in preference order
// that has capacity, regardless of the source that filled the listed one, so that all directors'
// copies end up at the same caches. The limits on fill sources bound the cost of the extra fills.
// If no cache has capacity, the listed one is returned.
func (d *Director) pickSubstitute(r *request, listed *endpoint) *endpoint {
	caches := d.preferredCaches(r)
	for _, ep := range caches {
		if ep != listed && d.fitsObjective(ep, r) {
			return d.rebalance(ep, caches, false)
		}
	}
	return listed
}

// preferenceOrder sorts endpoints for a key by rendezvous hashing, in proportion to their weights.
// The order is the same at all directors.
func (d *Director) preferenceOrder(key uint64, from []*endpoint) []*endpoint {
	l := slices.Clone(from)
	slices.SortStableFunc(l, func(a, b *endpoint) int {
		return cmp.Compare(score(key, b.hash, b.weight), score(key, a.hash, a.weight))
	})
	return l
}

// rebalance returns the least utilized warm cache of others instead of ep if ep reports a much
// higher utilization, with a probability that grows with the difference. This spreads popular
// objects whose hashes chose the same cache. The listing follows the request, so only some requests
// are moved at a time. cached states that a copy is expected at ep, so that a move costs a fill and
// is less likely.
func (d *Director) rebalance(ep *endpoint, others []*endpoint, cached bool) *endpoint {
	best, imbalance := ep, 0.0
	for _, other := range others {
		if !d.isWarm(other) {
			continue
		}
		if excess := loadreport.Imbalance(d.now, &ep.load, &other.load); excess > imbalance {
			best, imbalance = other, excess
		}
	}
	if imbalance > 0 && d.rng.Float64() >= loadreport.MoveProbability(imbalance, cached) {
		return ep
	}
	return best
}

// listAndRank lists the object at a cache if it earns a place (see placeInList) and returns the
// rank at which the copy is cached. An object that was hit at this cache since it was listed there
// is ranked by its requests; any other object by its place in the cache's list.
func (d *Director) listAndRank(r *request, ep *endpoint, exploring bool) CacheRank {
	e := r.entry
	rank := d.placeInList(e, ep, exploring)
	if e.cache == ep && e.lastHit > 0 && e.movedAt <= e.lastHit {
		return d.rankAfterHit(r)
	}
	return rank
}

// placeInList lists an entry at a cache if it earns a place there, and returns the rank of a filled
// copy. An entry that is already listed there gets the middle rank, and so does any entry while the
// list is not full; then an entry gets the top rank if it displaces the listing with the longest
// gap, else the lowest rank. At an explored cache a copy is kept, at the top rank, only if the
// entry's gap is well below the longest gap listed there.
func (d *Director) placeInList(e *mappingEntry, ep *endpoint, exploring bool) CacheRank {
	if e.isListed() && e.listedAt == ep {
		return RankMiddle
	}
	full := len(ep.listings) >= listingsPerCache
	if (full || exploring) && d.beatsLongestGap(e, ep) {
		if full {
			ep.listings[0].unlist()
		}
		e.unlist()
		e.relist(ep)
		return RankTop
	}
	if exploring {
		return RankNone
	}
	if full {
		return RankLow
	}
	e.unlist()
	e.relist(ep)
	return RankMiddle
}

// beatsLongestGap reports whether an entry's gap is well below the longest gap in a cache's list.
func (d *Director) beatsLongestGap(e *mappingEntry, ep *endpoint) bool {
	if len(ep.listings) == 0 {
		return false
	}
	longest := ep.listings[0].currentGap(d.now)
	return float64(e.currentGap(d.now)) < listingGapRatio*float64(longest)
}

// rankAfterHit returns the rank for an object's recent requests. Each director sees only its part
// of the requests, so those after the first are multiplied by the number of directors. Objects
// larger than their class's mean never get the top rank, so that the top rank holds a small share
// of the bytes.
func (d *Director) rankAfterHit(r *request) CacheRank {
	estimatedRepeats := (r.entry.recentRequests - 1) * d.senders(roleCache)
	switch {
	case estimatedRepeats >= topRankRequests-1 && r.transferTime <= r.class.meanTransferTime:
		return RankTop
	case estimatedRepeats >= middleRankRequests-1:
		return RankMiddle
	}
	return RankLow
}
