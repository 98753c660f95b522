package overload

import (
	"cmp"
	"slices"
	"time"
)

// Item is the entry of a request in a [Queue]. The zero value is in no queue. An Item is a field of
// the request that it queues, so that queueing allocates nothing, and removal takes constant time
// at any position.
type Item struct {
	Value any   // for the caller's use
	Flow  *Flow // the requests that share turns with this one, such as those of a connection; nil: it has turns of its own

	links        [orders]itemLinks
	lane         *lane // nil: not queued
	turn         *turn
	ownFlow      Flow
	band, front  int
	arrived      time.Duration
	pausedBefore time.Duration // the queue's pausedTime on arrival
}

// Queued reports whether the item is in a queue.
func (i *Item) Queued() bool { return i.lane != nil }

// Queue holds admitted requests until they are served. It serves the bands in order, within a band
// the fronts in turn, within a front the flows in turn, and within a flow the requests in the order
// in which they were added. Its length is bounded by waiting time: [Queue.PopExpired] returns
// requests that have waited for too long. Waits do not include pauses of the program.
type Queue struct {
	lanes     [][]lane // by band, then by front
	nextFront []int    // by band: the front whose turn it is
	count     []int    // items by band
	size      int      // total number of items

	maxWait    time.Duration
	pausedTime time.Duration // total of all pauses so far
	grace      time.Duration // added to maxWait ...
	graceEnds  time.Duration // ... until this time
}

// NewQueue returns an empty queue, in which a request may wait for maxWait.
func NewQueue(bands, fronts int, maxWait time.Duration) *Queue {
	q := &Queue{nextFront: make([]int, bands), count: make([]int, bands), maxWait: maxWait}
	for range bands {
		q.lanes = append(q.lanes, make([]lane, fronts))
	}
	return q
}

// Rebanded moves all items to a new queue with another number of bands, and returns that queue.
// band returns the new band of an item by its Value. Within a band and front, items are in the
// order of their arrival times, and they keep the time that they have waited.
func (q *Queue) Rebanded(bands int, band func(value any) int) *Queue {
	next := NewQueue(bands, len(q.lanes[0]), q.maxWait)
	next.pausedTime, next.grace, next.graceEnds = q.pausedTime, q.grace, q.graceEnds
	var all []*Item
	for i := q.Pop(); i != nil; i = q.Pop() {
		all = append(all, i)
	}
	slices.SortStableFunc(all, func(a, b *Item) int { return cmp.Compare(a.arrived, b.arrived) })
	for _, i := range all {
		pausedBefore := i.pausedBefore
		next.Push(i, band(i.Value), i.front, i.arrived)
		i.pausedBefore = pausedBefore
	}
	return next
}

// Len returns the number of items.
func (q *Queue) Len() int { return q.size }

// Queued returns the number of items by band. The slice is the queue's own, and is valid until the
// queue changes.
func (q *Queue) Queued() []int { return q.count }

// Push adds an item with its arrival time, which may be earlier than that of items added before. It
// does nothing if the item is in a queue.
func (q *Queue) Push(i *Item, band, front int, arrived time.Duration) {
	if i.Queued() {
		return
	}
	i.band, i.front = band, front
	i.arrived, i.pausedBefore = arrived, q.pausedTime
	q.lanes[band][front].push(i)
	q.count[band]++
	q.size++
}

// Remove removes an item. It does nothing for an item that is not in this queue.
func (q *Queue) Remove(i *Item) {
	if !q.contains(i) {
		return
	}
	i.lane.remove(i)
	q.count[i.band]--
	q.size--
}

func (q *Queue) contains(i *Item) bool {
	return i.Queued() && i.band < len(q.lanes) && i.lane == &q.lanes[i.band][i.front]
}

// Pop removes and returns the item to serve next; nil if there is none.
func (q *Queue) Pop() *Item {
	for b, n := range q.count {
		if n == 0 {
			continue
		}
		fronts := q.lanes[b]
		for range fronts {
			l := &fronts[q.nextFront[b]]
			q.nextFront[b] = (q.nextFront[b] + 1) % len(fronts)
			if i := l.next(); i != nil {
				q.Remove(i)
				return i
			}
		}
	}
	return nil
}

// AddPausedTime records a pause of the program. Pauses do not count as waiting.
func (q *Queue) AddPausedTime(d time.Duration) { q.pausedTime += d }

// Items that queued up during a pause may wait for longer than maxWait: by the length of the pause,
// but by at most maxGrace, and for graceMultiple times as long as that.
const (
	maxGrace      = time.Second
	graceMultiple = 6
)

// AddPauseWithGrace records an unusual pause that has just ended: like AddPausedTime, and items
// that queued up meanwhile may wait for longer.
func (q *Queue) AddPauseWithGrace(now, d time.Duration) {
	q.AddPausedTime(d)
	if g := min(d, maxGrace); g >= q.grace || now >= q.graceEnds {
		q.grace, q.graceEnds = g, now+graceMultiple*g
	}
}

// Waited returns how long an item has waited, without pauses.
func (q *Queue) Waited(i *Item, now time.Duration) time.Duration {
	return max(0, now-i.arrived-(q.pausedTime-i.pausedBefore))
}

// Grace returns by how much longer than maxWait an item may wait now.
func (q *Queue) Grace(now time.Duration) time.Duration { return q.WaitLimit(now) - q.maxWait }

// WaitLimit returns how long an item may wait now.
func (q *Queue) WaitLimit(now time.Duration) time.Duration {
	if now < q.graceEnds {
		return q.maxWait + q.grace
	}
	return q.maxWait
}

// PopExpired removes and returns an item that has waited for too long, from the last bands first;
// nil if there is none.
func (q *Queue) PopExpired(now time.Duration) *Item {
	limit := q.WaitLimit(now)
	for b := len(q.lanes) - 1; b >= 0; b-- {
		if q.count[b] == 0 {
			continue
		}
		for f := range q.lanes[b] {
			if i := q.lanes[b][f].oldest(); i != nil && q.Waited(i, now) > limit {
				q.Remove(i)
				return i
			}
		}
	}
	return nil
}

// LongestWait returns the longest wait among the items at the heads of the lists.
func (q *Queue) LongestWait(now time.Duration) (longest time.Duration) {
	for b, n := range q.count {
		if n == 0 {
			continue
		}
		for f := range q.lanes[b] {
			if i := q.lanes[b][f].oldest(); i != nil {
				longest = max(longest, q.Waited(i, now))
			}
		}
	}
	return longest
}
