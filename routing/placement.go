package routing

import (
	"cmp"
	"slices"

	"larchusher/loadreport"
)

// The values of the paper.
const (
	listedCacheProbability = 0.98 // with which the listed cache is used; else another one is explored
	listingGapRatio        = 0.5  // an object with less than this share of the longest listed gap displaces that object
)

// Recent requests that earn a rank; see rankAfterHit.
const (
	topRankRequests    = 4
	middleRankRequests = 1.3
)

// pickCache chooses the cache for a request: the listed one, unless it is at its limit, or else the first in the preference
// order that has capacity. Crowded caches are rebalanced, and now and then another cache is explored, which exploring reports.
// It is nil if there is none.
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

// listedCache is the cache at which a hit is expected, if it can serve; else nil.
func (d *Director) listedCache(r *request) *endpoint {
	e := r.entry
	if e == nil || e.cache == nil || !e.hitExpectedAt(e.cache) || !d.canServe(e.cache, r) {
		return nil
	}
	return e.cache
}

// otherCaches are the caches that can serve, but for one, in order of id.
func (d *Director) otherCaches(r *request, except *endpoint) []*endpoint {
	return slices.DeleteFunc(slices.Clone(d.upEndpoints[roleCache]), func(ep *endpoint) bool {
		return ep == except || !d.canServe(ep, r)
	})
}

// preferredCaches are the caches that can serve, in the preference order.
func (d *Director) preferredCaches(r *request) []*endpoint {
	return slices.DeleteFunc(d.preferenceOrder(r.key, d.upEndpoints[roleCache]), func(ep *endpoint) bool {
		return !d.canServe(ep, r)
	})
}

// pickPreferred is the first of the preferred caches, rebalanced; nil if there is none.
func (d *Director) pickPreferred(r *request) *endpoint {
	caches := d.preferredCaches(r)
	if len(caches) == 0 {
		return nil
	}
	return d.rebalance(caches[0], caches, false)
}

// pickSubstitute chooses in place of a listed cache that is at its limit: the next preferred one that has capacity, whatever
// filled the listed one, so that copies gather in the shared order. The limits on fill sources bound what the extra fills cost.
// It is the listed cache if none has capacity.
func (d *Director) pickSubstitute(r *request, listed *endpoint) *endpoint {
	caches := d.preferredCaches(r)
	for _, ep := range caches {
		if ep != listed && d.fitsObjective(ep, r) {
			return d.rebalance(ep, caches, false)
		}
	}
	return listed
}

// preferenceOrder sorts endpoints for a key: by rendezvous hashing in proportion to their weights. All directors share it.
func (d *Director) preferenceOrder(key uint64, from []*endpoint) []*endpoint {
	l := slices.Clone(from)
	slices.SortStableFunc(l, func(a, b *endpoint) int {
		return cmp.Compare(score(key, b.hash, b.weight), score(key, a.hash, a.weight))
	})
	return l
}

// rebalance gives the least utilized of others in place of a cache that reports a higher utilization, with a probability that
// grows with the difference. Popular objects that share a cache by their hashes are spread by it. A listing moves along, so that
// only some requests are moved at a time; cached says that a copy is expected at the cache, which makes a move dearer.
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

// listAndRank takes the object into the cache's list (see placeInList) and is the rank at which the attempt has its copy cached. An object that was hit where it is listed is ranked by its
// requests; what is not known to be cached, by the list of the cache.
func (d *Director) listAndRank(r *request, ep *endpoint, exploring bool) CacheRank {
	e := r.entry
	rank := d.placeInList(e, ep, exploring)
	if e.cache == ep && e.lastHit > 0 && e.movedAt <= e.lastHit {
		return d.rankAfterHit(r)
	}
	return rank
}

// placeInList puts an entry on a cache's list, if it earns a place there, and returns the rank at which a fill is cached: the middle
// one until the list is full; then the top one if the entry displaces the one with the longest gap, else the lowest. A fill at
// a cache that is explored is cached only if it displaces one.
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

// beatsLongestGap reports whether an entry's gap is well below the longest of a cache's list.
func (d *Director) beatsLongestGap(e *mappingEntry, ep *endpoint) bool {
	if len(ep.listings) == 0 {
		return false
	}
	longest := ep.listings[0].currentGap(d.now)
	return float64(e.currentGap(d.now)) < listingGapRatio*float64(longest)
}

// rankAfterHit is the rank that recent requests earn. A director sees its part of an object's requests, so those beyond the
// first are multiplied by the number of directors. Objects above their class's mean size don't get the top rank, so that it
// holds a small share of the bytes.
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
