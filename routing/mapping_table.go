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
	tableSizeMultiple = 16               // entries remembered, in multiples of what all lists of the location hold
	unknownGap        = time.Hour        // gap of an object seen once
	requestCountDecay = 15 * time.Second // in which the count of recent requests falls to 1/e
)

// mappingEntry is a row of the mapping table: what is remembered of one part of one object.
type mappingEntry struct {
	key              uint64
	cache            *endpoint     // that serves it; nil: not known
	cacheIncarnation time.Duration // of that cache when it was listed
	movedAt          time.Duration // when the listing last moved
	lastHit          time.Duration // 0: none
	copySeenAt       time.Duration // sending of the latest request that the cache served, or the fill that gossip reported
	lastRequest      time.Duration
	meanGap          time.Duration // smoothed gap between requests
	recentRequests   float64       // with requestCountDecay
	transferTime     time.Duration // where sizes aren't known: the quickest answer yet; 0: none

	listedAt          *endpoint // whose list holds it; nil: none
	listedIncarnation time.Duration
	recency           *list.Element // its place in Director.byRecency
}

// hitExpectedAt reports whether the entry's object is likely to be cached at an endpoint as it runs now.
func (e *mappingEntry) hitExpectedAt(ep *endpoint) bool {
	return e.cache == ep && e.cacheIncarnation == ep.incarnation
}

// currentGap is the mean gap with the time since the latest request counted as one more gap, at the weight that
// recordRequest gives it.
func (e *mappingEntry) currentGap(now time.Duration) time.Duration {
	return (3*e.meanGap + now - e.lastRequest) / 4
}

// gapOrder sorts entries as currentGap does at any moment: what is left out of it is the same for all.
func (e *mappingEntry) gapSortKey() time.Duration { return 3*e.meanGap - e.lastRequest }

// isListed reports whether a list holds the entry. A cache that restarted has an empty list.
func (e *mappingEntry) isListed() bool {
	return e.listedAt != nil && e.listedAt.incarnation == e.listedIncarnation
}

// unlist takes the entry off its list.
func (e *mappingEntry) unlist() {
	if e.isListed() {
		i := slices.Index(e.listedAt.listings, e)
		e.listedAt.listings = slices.Delete(e.listedAt.listings, i, i+1)
	}
	e.listedAt = nil
}

// relist puts the entry on a cache's list where its gap belongs, the longest first.
func (e *mappingEntry) relist(ep *endpoint) {
	longerGap := func(a, b *mappingEntry) int { return cmp.Compare(b.gapSortKey(), a.gapSortKey()) }
	i, _ := slices.BinarySearchFunc(ep.listings, e, longerGap)
	ep.listings = slices.Insert(ep.listings, i, e)
	e.listedAt, e.listedIncarnation = ep, ep.incarnation
}

// recordRequest finds or makes the entry of a key, and counts a request for it.
func (d *Director) recordRequest(key uint64) *mappingEntry {
	e := d.table[key]
	if e == nil {
		return d.addEntry(key)
	}
	listedAt, wasListed := e.listedAt, e.isListed()
	e.unlist() // its place in the list is by the gap, which changes
	e.countRequest(d.now)
	d.byRecency.MoveToFront(e.recency)
	if wasListed {
		e.relist(listedAt)
	}
	return e
}

// countRequest takes a request into the entry's averages.
func (e *mappingEntry) countRequest(now time.Duration) {
	gap := now - e.lastRequest
	if e.meanGap == unknownGap {
		e.meanGap = gap
	}
	e.meanGap = (3*e.meanGap + gap) / 4
	e.lastRequest = now
	e.recentRequests = e.recentRequests*math.Exp(-float64(gap)/float64(requestCountDecay)) + 1
}

// addEntry makes the entry of a key that is requested for the first time. When the table is full, the entry that was used least
// recently is evicted.
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

// tableCapacity is how many entries are remembered.
func (d *Director) tableCapacity() int {
	return tableSizeMultiple * listingsPerCache * max(1, len(d.upEndpoints[roleCache]))
}

// recordCopy notes that a cache has served an entry's object from a copy, or has a copy now, and lists the object there.
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
