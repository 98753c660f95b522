package overload

import (
	"cmp"
	"slices"
	"time"
)

// Item is the place of one request in a [Queue]. Its zero value is in none. It is part of what it stands for, so that
// queueing allocates nothing and leaving takes the same time wherever it stands.
type Item struct {
	Value any // the queue's user's

	next, prev  *Item
	list        *list
	band, front int
	came        time.Duration // when it came,
	lost        time.Duration // and the time lost to stalls by then
}

// Queued says whether the item waits.
func (i *Item) Queued() bool { return i.list != nil }

// list is a doubly linked list of items, the earliest first.
type list struct{ first, last *Item }

func (l *list) push(i *Item) {
	i.list, i.prev, i.next = l, l.last, nil
	if l.last != nil {
		l.last.next = i
	} else {
		l.first = i
	}
	l.last = i
}

func (l *list) remove(i *Item) {
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

// Queue holds requests that wait for their turn. It serves by bands, within a band by turns of the fronts, and within
// a front in the order of arrival. Its length is bounded by time: what has waited for longer than it may is handed
// out by [Queue.Expired], whatever its band.
type Queue struct {
	bands [][]list // by band, then by front
	turn  []int    // by band: the front whose turn it is
	count []int    // by band
	size  int
	wait  time.Duration
	lost  time.Duration // to stalls, in all
	grace time.Duration // what is added to the wait after a stall,
	until time.Duration // up to then
}

// NewQueue returns an empty queue for so many bands and fronts.
func NewQueue(bands, fronts int, wait time.Duration) *Queue {
	q := &Queue{turn: make([]int, bands), count: make([]int, bands), wait: wait}
	for range bands {
		q.bands = append(q.bands, make([]list, fronts))
	}
	return q
}

// Rebanded moves all that wait to a queue of as many bands as there are now, each to the band that is given for its Value,
// and returns that queue. Within a band and front they stand in the order in which they came; what they have waited counts on.
func (q *Queue) Rebanded(bands int, band func(value any) int) *Queue {
	next := NewQueue(bands, len(q.bands[0]), q.wait)
	next.lost, next.grace, next.until = q.lost, q.grace, q.until
	var all []*Item
	for i := q.Pop(); i != nil; i = q.Pop() {
		all = append(all, i)
	}
	slices.SortStableFunc(all, func(a, b *Item) int { return cmp.Compare(a.came, b.came) })
	for _, i := range all {
		lost := i.lost
		next.Push(i, band(i.Value), i.front, i.came)
		i.lost = lost
	}
	return next
}

// Len is how many wait.
func (q *Queue) Len() int { return q.size }

// Queued is how many wait, by band. It is the queue's own, and holds until something changes.
func (q *Queue) Queued() []int { return q.count }

// Push has an item wait that came at a time, which may be earlier than that of others that wait.
func (q *Queue) Push(i *Item, band, front int, came time.Duration) {
	if i.list != nil {
		return
	}
	i.band, i.front, i.came, i.lost = band, front, came, q.lost
	q.bands[band][front].push(i)
	q.count[band]++
	q.size++
}

// Remove takes an item out that has been withdrawn. One that does not wait is left alone.
func (q *Queue) Remove(i *Item) {
	if i.list == nil || i.band >= len(q.bands) || i.list != &q.bands[i.band][i.front] { // it is in none, or in another queue
		return
	}
	i.list.remove(i)
	q.count[i.band]--
	q.size--
}

// Pop takes out who is next, or nil.
func (q *Queue) Pop() *Item {
	for b, n := range q.count {
		if n == 0 {
			continue
		}
		for range q.bands[b] {
			l := &q.bands[b][q.turn[b]]
			q.turn[b] = (q.turn[b] + 1) % len(q.bands[b])
			if i := l.first; i != nil {
				q.Remove(i)
				return i
			}
		}
	}
	return nil
}

// AddPausedTime says that the program did not run for so long: that time does not count as waiting.
func (q *Queue) AddPausedTime(d time.Duration) { q.lost += d }

// Paused is Lost for a stall that is not the usual: for a while what piled up meanwhile may take longer, too.
func (q *Queue) Paused(now, d time.Duration) {
	q.AddPausedTime(d)
	if g := min(d, stallMost); g >= q.grace || now >= q.until {
		q.grace, q.until = g, now+stallGrace*g
	}
}

// Stalls longer than a second give no more grace than one of a second; it lasts for six times the stall.
const (
	stallMost  = time.Second
	stallGrace = 6
)

// Waited is how long an item has waited, in time that the program ran.
func (q *Queue) Waited(i *Item, now time.Duration) time.Duration {
	return max(0, now-i.came-(q.lost-i.lost))
}

// Grace is by how much more anyone may wait now.
func (q *Queue) Grace(now time.Duration) time.Duration { return q.WaitLimit(now) - q.wait }

// WaitLimit is how long an item may wait now.
func (q *Queue) WaitLimit(now time.Duration) time.Duration {
	if now < q.until {
		return q.wait + q.grace
	}
	return q.wait
}

// PopExpired takes out one that has waited for too long, the least worth first, or nil.
func (q *Queue) PopExpired(now time.Duration) *Item {
	limit := q.WaitLimit(now)
	for b := len(q.bands) - 1; b >= 0; b-- {
		if q.count[b] == 0 {
			continue
		}
		for f := range q.bands[b] {
			if i := q.bands[b][f].first; i != nil && q.Waited(i, now) > limit {
				q.Remove(i)
				return i
			}
		}
	}
	return nil
}

// LongestWait is the longest that any has waited, of those at the heads.
func (q *Queue) LongestWait(now time.Duration) (most time.Duration) {
	for b, n := range q.count {
		if n == 0 {
			continue
		}
		for f := range q.bands[b] {
			if i := q.bands[b][f].first; i != nil {
				most = max(most, q.Waited(i, now))
			}
		}
	}
	return most
}
