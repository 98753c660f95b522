package routing

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	listingsPerCache  = 256              // objects listed per cache
	tableListMultiple = 16               // entries remembered, in multiples of what all lists of the location hold
	unknownGap        = time.Hour        // gap of an object seen once
	requestCountDecay = 15 * time.Second // requests count for a rank for so long
)

// mappingEntry is a row of the mapping table: one part of one object.
type mappingEntry struct {
	key                  uint64
	cache                *endpoint     // cache that serves it; nil: not known
	cacheIncarnation     time.Duration // of that cache when it was listed
	movedAt              time.Duration // when the listing last moved
	lastHit              time.Duration // latest hit
	copySeenAt           time.Duration // sending of the latest request that it served, or the filling that was told
	lastRequest, meanGap time.Duration // latest request, and smoothed gap between requests
	recentRequests       float64       // recent requests
	transferTime         time.Duration // where sizes aren't told: its quickest answer yet
	listedAt             *endpoint     // whose list holds it
	listedIncarnation    time.Duration
	recency              *list.Element // its place in the order of use
}

// sortKey is the entry's smoothed gap at any moment, but for a part that is the same for all.
func (e *mappingEntry) sortKey() time.Duration { return 3*e.meanGap - e.lastRequest }

func (e *mappingEntry) currentGap(now time.Duration) time.Duration {
	return (3*e.meanGap + now - e.lastRequest) / 4
}

func (e *mappingEntry) isListed() bool {
	return e.listedAt != nil && e.listedAt.incarnation == e.listedIncarnation
}

// unlist takes an entry off its list; relist puts it where its gap belongs, the worst first.
func (e *mappingEntry) unlist() {
	if e.isListed() {
		i := slices.Index(e.listedAt.listings, e)
		e.listedAt.listings = slices.Delete(e.listedAt.listings, i, i+1)
	}
	e.listedAt = nil
}

func (e *mappingEntry) relist(s *endpoint) {
	worse := func(a, b *mappingEntry) int { return cmp.Compare(b.sortKey(), a.sortKey()) }
	i, _ := slices.BinarySearchFunc(s.listings, e, worse)
	s.listings = slices.Insert(s.listings, i, e)
	e.listedAt, e.listedIncarnation = s, s.incarnation
}

// hitExpectedAt says that a hit is to be expected: the entry is listed at s as it runs now.
func (e *mappingEntry) hitExpectedAt(s *endpoint) bool {
	return e.cache == s && e.cacheIncarnation == s.incarnation
}

// recordRequest finds or makes the row of a key, and counts a request for it.
func (d *Director) recordRequest(key uint64) *mappingEntry {
	e := d.table[key]
	if e == nil {
		e = &mappingEntry{key: key, meanGap: unknownGap, lastRequest: d.now, recentRequests: 1}
		e.recency = d.byRecency.PushFront(e)
		d.table[key] = e
		if len(d.table) > tableListMultiple*listingsPerCache*max(1, len(d.inUse[roleCache])) {
			old := d.byRecency.Remove(d.byRecency.Back()).(*mappingEntry)
			old.unlist()
			delete(d.table, old.key)
		}
		return e
	}
	in, was := e.listedAt, e.isListed()
	e.unlist()
	gap := d.now - e.lastRequest
	if e.meanGap == unknownGap {
		e.meanGap = gap
	}
	e.meanGap, e.lastRequest = (3*e.meanGap+gap)/4, d.now
	e.recentRequests = e.recentRequests*math.Exp(-float64(gap)/float64(requestCountDecay)) + 1
	d.byRecency.MoveToFront(e.recency)
	if was {
		e.relist(in)
	}
	return e
}
