package overload

import (
	"cmp"
	"slices"
	"time"
)

// Item is the place of one request in a [Queue]. Its zero value is in none. It is a part of what it stands for, so that
// queueing allocates nothing, and removal takes the same time wherever it stands.
type Item struct {
	Value any // the caller's

	next, prev   *Item
	list         *itemList // nil: not queued
	band, front  int
	arrived      time.Duration
	pausedBefore time.Duration // the queue's pausedTime at the arrival
}

// Queued reports whether the item is in a queue.
func (i *Item) Queued() bool { return i.list != nil }

// itemList is a doubly linked list of items, in the order of arrival.
type itemList struct{ first, last *Item }

func (l *itemList) push(i *Item) {
	i.list, i.prev, i.next = l, l.last, nil
	if l.last != nil {
		l.last.next = i
	} else {
		l.first = i
	}
	l.last = i
}

func (l *itemList) remove(i *Item) {
	if i.prev != nil {
		i.prev.next = i.next
	} else {
		l.first = i.next
	}
	if i.next != nil {
		i.next.prev = i.prev
	} else {
		l.last = i.prev
	}
	i.next, i.prev, i.list = nil, nil, nil
}

// Queue holds admitted requests until they are served. It serves bands in their order, within a band the fronts by turns, and
// within a front in the order of arrival. Its length is bounded by time: [Queue.PopExpired] returns what has waited for too
// long. Waits are in time that the program ran.
type Queue struct {
	lists     [][]itemList // by band, then by front
	nextFront []int        // by band: the front whose turn it is
	count     []int        // items by band
	size      int          // items in all

	maxWait    time.Duration
	pausedTime time.Duration // of all pauses so far
	grace      time.Duration // added to maxWait ...
	graceEnds  time.Duration // ... until this time
}

// NewQueue returns an empty queue, in which a request may wait for maxWait.
func NewQueue(bands, fronts int, maxWait time.Duration) *Queue {
	q := &Queue{nextFront: make([]int, bands), count: make([]int, bands), maxWait: maxWait}
	for range bands {
		q.lists = append(q.lists, make([]itemList, fronts))
	}
	return q
}

// Rebanded moves all items to a new queue with another number of bands, and returns that. band returns an item's new band by its
// Value. Within a band and front they stand in the order of their arrival; the time that they have waited counts on.
func (q *Queue) Rebanded(bands int, band func(value any) int) *Queue {
	next := NewQueue(bands, len(q.lists[0]), q.maxWait)
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

// Queued returns the number of items by band. The slice is the queue's own, and is valid until the queue changes.
func (q *Queue) Queued() []int { return q.count }

// Push adds an item that arrived at a time, which may be earlier than that of others in the queue. An item that is in a queue
// is ignored.
func (q *Queue) Push(i *Item, band, front int, arrived time.Duration) {
	if i.Queued() {
		return
	}
	i.band, i.front = band, front
	i.arrived, i.pausedBefore = arrived, q.pausedTime
	q.lists[band][front].push(i)
	q.count[band]++
	q.size++
}

// Remove removes an item. One that is in no queue, or in another, is ignored.
func (q *Queue) Remove(i *Item) {
	if !q.contains(i) {
		return
	}
	i.list.remove(i)
	q.count[i.band]--
	q.size--
}

func (q *Queue) contains(i *Item) bool {
	return i.Queued() && i.band < len(q.lists) && i.list == &q.lists[i.band][i.front]
}

// Pop removes and returns the item that is to be served next; nil if there is none.
func (q *Queue) Pop() *Item {
	for b, n := range q.count {
		if n == 0 {
			continue
		}
		fronts := q.lists[b]
		for range fronts {
			l := &fronts[q.nextFront[b]]
			q.nextFront[b] = (q.nextFront[b] + 1) % len(fronts)
			if i := l.first; i != nil {
				q.Remove(i)
				return i
			}
		}
	}
	return nil
}

// AddPausedTime records that the program did not run for a time, which doesn't count as waiting.
func (q *Queue) AddPausedTime(d time.Duration) { q.pausedTime += d }

// What has queued up in a pause may wait for longer: by the length of the pause, but by no more than maxGrace, and for
// graceMultiple times as long as that.
const (
	maxGrace      = time.Second
	graceMultiple = 6
)

// AddPauseWithGrace records an unusual pause that ended just now: as AddPausedTime, and what has queued up meanwhile may wait for
// longer.
func (q *Queue) AddPauseWithGrace(now, d time.Duration) {
	q.AddPausedTime(d)
	if g := min(d, maxGrace); g >= q.grace || now >= q.graceEnds {
		q.grace, q.graceEnds = g, now+graceMultiple*g
	}
}

// Waited returns how long an item has waited.
func (q *Queue) Waited(i *Item, now time.Duration) time.Duration {
	return max(0, now-i.arrived-(q.pausedTime-i.pausedBefore))
}

// Grace returns by how much longer than usual an item may wait now.
func (q *Queue) Grace(now time.Duration) time.Duration { return q.WaitLimit(now) - q.maxWait }

// WaitLimit returns how long an item may wait now.
func (q *Queue) WaitLimit(now time.Duration) time.Duration {
	if now < q.graceEnds {
		return q.maxWait + q.grace
	}
	return q.maxWait
}

// PopExpired removes and returns an item that has waited for too long, of the last bands first; nil if there is none.
func (q *Queue) PopExpired(now time.Duration) *Item {
	limit := q.WaitLimit(now)
	for b := len(q.lists) - 1; b >= 0; b-- {
		if q.count[b] == 0 {
			continue
		}
		for f := range q.lists[b] {
			if i := q.lists[b][f].first; i != nil && q.Waited(i, now) > limit {
				q.Remove(i)
				return i
			}
		}
	}
	return nil
}

// LongestWait returns the longest that any item at the head of its list has waited.
func (q *Queue) LongestWait(now time.Duration) (longest time.Duration) {
	for b, n := range q.count {
		if n == 0 {
			continue
		}
		for f := range q.lists[b] {
			if i := q.lists[b][f].first; i != nil {
				longest = max(longest, q.Waited(i, now))
			}
		}
	}
	return longest
}
