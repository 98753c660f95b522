package routing

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	listingsPerCache  = 256              // maximum listings per cache
	tableSizeMultiple = 16               // maximum entries of the table, in multiples of what the lists of all caches of the location hold
	unknownGap        = time.Hour        // gap of an object requested once
	requestCountDecay = 15 * time.Second // time in which the count of recent requests decays to 1/e
)

// mappingEntry is a row of the mapping table: what is stored about one part of one object.
type mappingEntry struct {
	key              uint64
	cache            *endpoint     // cache that serves it; nil: unknown
	cacheIncarnation time.Duration // incarnation of cache when it was listed
	movedAt          time.Duration // time when the listing last moved
	lastHit          time.Duration // time of the latest hit; 0: none
	copySeenAt       time.Duration // sending time of the latest attempt that the cache served, or time of the move that gossip reported
	lastRequest      time.Duration
	meanGap          time.Duration // smoothed gap between requests
	recentRequests   float64       // number of requests, decayed with requestCountDecay
	transferTime     time.Duration // where sizes are unknown: the shortest latency of an answer; 0: none

	listedAt          *endpoint // cache whose list contains the entry; nil: none
	listedIncarnation time.Duration
	recency           *list.Element // its element of Director.byRecency
}

// hitExpectedAt reports whether the entry's object is expected to be cached at the current
// incarnation of an endpoint.
func (e *mappingEntry) hitExpectedAt(ep *endpoint) bool {
	return e.cache == ep && e.cacheIncarnation == ep.incarnation
}

// currentGap returns the mean gap with the time since the latest request counted as one more gap,
// at the weight that countRequest gives a new gap.
func (e *mappingEntry) currentGap(now time.Duration) time.Duration {
	return (3*e.meanGap + now - e.lastRequest) / 4
}

// gapSortKey orders entries as currentGap does at any time; the part of currentGap that is the same
// for all entries is left out.
func (e *mappingEntry) gapSortKey() time.Duration { return 3*e.meanGap - e.lastRequest }

// isListed reports whether the entry is in a cache's list. The list of a restarted cache is empty.
func (e *mappingEntry) isListed() bool {
	return e.listedAt != nil && e.listedAt.incarnation == e.listedIncarnation
}

// unlist removes the entry from its cache's list.
func (e *mappingEntry) unlist() {
	if e.isListed() {
		i := slices.Index(e.listedAt.listings, e)
		e.listedAt.listings = slices.Delete(e.listedAt.listings, i, i+1)
	}
	e.listedAt = nil
}

// relist inserts the entry into a cache's list, which is sorted by gap, the longest first.
func (e *mappingEntry) relist(ep *endpoint) {
	longerGap := func(a, b *mappingEntry) int { return cmp.Compare(b.gapSortKey(), a.gapSortKey()) }
	i, _ := slices.BinarySearchFunc(ep.listings, e, longerGap)
	ep.listings = slices.Insert(ep.listings, i, e)
	e.listedAt, e.listedIncarnation = ep, ep.incarnation
}

// recordRequest returns the entry of a key, which is created if necessary, and counts a request for
// it.
func (d *Director) recordRequest(key uint64) *mappingEntry {
	e := d.table[key]
	if e == nil {
		return d.addEntry(key)
	}
	listedAt, wasListed := e.listedAt, e.isListed()
	e.unlist() // its position in the list depends on the gap, which changes now
	e.countRequest(d.now)
	d.byRecency.MoveToFront(e.recency)
	if wasListed {
		e.relist(listedAt)
	}
	return e
}

// countRequest updates the entry's averages by one request.
func (e *mappingEntry) countRequest(now time.Duration) {
	gap := now - e.lastRequest
	if e.meanGap == unknownGap {
		e.meanGap = gap
	}
	e.meanGap = (3*e.meanGap + gap) / 4
	e.lastRequest = now
	e.recentRequests = e.recentRequests*math.Exp(-float64(gap)/float64(requestCountDecay)) + 1
}

// addEntry creates the entry of a key that is requested for the first time. If the table is full,
// the least recently used entry is evicted.
func (d *Director) addEntry(key uint64) *mappingEntry {
	e := &mappingEntry{key: key, meanGap: unknownGap, lastRequest: d.now, recentRequests: 1}
	d.insertEntry(e)
	if len(d.table) > d.tableCapacity() {
		oldest := d.byRecency.Remove(d.byRecency.Back()).(*mappingEntry)
		oldest.unlist()
		delete(d.table, oldest.key)
	}
	return e
}

func (d *Director) insertEntry(e *mappingEntry) {
	e.recency = d.byRecency.PushFront(e)
	d.table[e.key] = e
}

// tableCapacity returns the maximum number of entries of the table.
func (d *Director) tableCapacity() int {
	return tableSizeMultiple * listingsPerCache * max(1, len(d.upEndpoints[roleCache]))
}

// recordCopy records that a cache served an entry's object from a copy, or has a copy now, and
// lists the object at that cache.
func (d *Director) recordCopy(e *mappingEntry, a *attempt, hit bool) {
	if hit {
		e.lastHit = d.now
	}
	e.copySeenAt = max(e.copySeenAt, a.sentAt)
	if e.hitExpectedAt(a.target) {
		return
	}
	e.cache, e.cacheIncarnation, e.movedAt = a.target, a.target.incarnation, d.now
	d.queueMove(e)
}
