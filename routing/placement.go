package routing

import (
	"cmp"
	"slices"

	"larchusher/loadreport"
)

const (
	listedCacheProbability = 0.98 // chance of using the listed cache (the paper's value)
	listingGapRatio        = 0.5  // a fill must beat this share of the worst listed gap (the paper's value)
	topRankRequests        = 4    // recent requests that earn the top rank
	middleRankRequests     = 1.3  // and the middle one
)

// pickCache chooses the cache for a request. detour says that it is not the listed one by design.
func (d *Director) pickCache(r *request) (s *endpoint, detour bool) {
	e := r.entry
	ok := func(s *endpoint) bool { return d.usable(s, r) && !slices.Contains(r.failedEndpoints, s) }
	listed := e != nil && e.cache != nil && e.hitExpectedAt(e.cache) && ok(e.cache)
	// A cache at its limit is relieved, whatever filled it: the next of the object's homes that has room
	// serves, where copies gather in the shared order. The limits on sources bound what the extra fills cost.
	relief := listed && !d.fitsObjective(e.cache, r)
	if listed && !relief {
		l := slices.Clone(d.inUse[roleCache])
		l = slices.DeleteFunc(l, func(s *endpoint) bool { return s == e.cache || !ok(s) })
		if len(r.failedEndpoints) > 0 || len(l) == 0 || d.rng.Float64() < listedCacheProbability {
			return d.rebalance(e.cache, l, true), false
		}
		return l[d.rng.IntN(len(l))], true
	}
	homes := slices.DeleteFunc(d.preferenceOrder(r.key, d.inUse[roleCache]), func(s *endpoint) bool { return !ok(s) })
	for _, s := range homes {
		if !relief || s != e.cache && d.fitsObjective(s, r) {
			return d.rebalance(s, homes, false), false
		}
	}
	if relief {
		return e.cache, false
	}
	return nil, false
}

// rebalance gives the least busy of others in place of a cache that is crowded beside it. What is listed moves
// along, so few are moved at a time. Guards against popular objects that met at one cache by their hashes.
func (d *Director) rebalance(s *endpoint, others []*endpoint, held bool) *endpoint {
	best, gap := s, 0.0
	for _, o := range others {
		if d.isWarm(o) && loadreport.Imbalance(d.now, &s.load, &o.load) > gap {
			best, gap = o, loadreport.Imbalance(d.now, &s.load, &o.load)
		}
	}
	if gap > 0 && d.rng.Float64() >= loadreport.MoveProbability(gap, held) {
		return s
	}
	return best
}

// preferenceOrder are the servers in the shared hash order of a key.
func (d *Director) preferenceOrder(key uint64, from []*endpoint) []*endpoint {
	l := slices.Clone(from)
	slices.SortStableFunc(l, func(a, b *endpoint) int {
		return cmp.Compare(score(key, b.hash, b.weight), score(key, a.hash, a.weight))
	})
	return l
}

// list puts an entry on a cache's list and returns the rank at which the fill is kept: the middle one
// until the list is full, then the top one if it passes the halving test against the worst, else the lowest.
func (d *Director) list(e *mappingEntry, s *endpoint, detour bool) int {
	full := len(s.listings) >= listingsPerCache
	passes := len(s.listings) > 0 && float64(e.currentGap(d.now)) < listingGapRatio*float64(s.listings[0].currentGap(d.now))
	switch {
	case e.isListed() && e.listedAt == s:
		return 2
	case passes && (full || detour):
		if full {
			s.listings[0].unlist()
		}
		e.unlist()
		e.relist(s)
		return 3
	case detour:
		return 0
	case full:
		return 1
	}
	e.unlist()
	e.relist(s)
	return 2
}

// rankAfterHit is the rank that a hit gives: by the requests lately. Each of many directors sees its part of them,
// so what counts beyond the first is their part of what one alone would see. Objects above the class's mean
// size don't get the top rank, so that it holds a small share of the bytes.
func (d *Director) rankAfterHit(r *request) int {
	more := (r.entry.recentRequests - 1) * d.senders(roleCache)
	switch {
	case more >= topRankRequests-1 && r.transferTime <= r.class.meanTransferTime:
		return 3
	case more >= middleRankRequests-1:
		return 2
	}
	return 1
}
