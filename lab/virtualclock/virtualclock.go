// Package virtualclock provides a virtual clock with timers for simulations. Timers that are due at the same time run in the
// order in which they were added, so that equal inputs give equal runs. A clock is used from one goroutine.
package virtualclock

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock. Its zero value is ready for use and shows the time 0.
type Clock struct {
	Now      time.Duration // current virtual time
	Executed int           // number of timer functions that have run
	queue    timerHeap
	lastSeq  uint64
}

// timer is a function that runs at a time. seq orders timers of the same time.
type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// timerHeap is a min-heap of timers by time, then by seq.
type timerHeap []timer

func (q timerHeap) Len() int { return len(q) }
func (q timerHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerHeap) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerHeap) Pop() any {
	old := *q
	d := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return d
}

// At schedules f to run at time t, or at the current time if t has passed. f runs within Run or Advance.
func (c *Clock) At(t time.Duration, f func()) {
	c.lastSeq++
	heap.Push(&c.queue, timer{max(t, c.Now), c.lastSeq, f})
}

// Run runs all timers that are due before a time, including those that they add. Now ends at the time of the last timer
// that ran.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at < until { // later timers stay for the next call
		d := heap.Pop(&c.queue).(timer)
		c.Now = d.at
		c.Executed++
		d.run()
	}
}

// Advance runs all timers that are due within the next d and then, unlike Run, sets Now to the end of that span.
func (c *Clock) Advance(d time.Duration) {
	until := c.Now + d
	c.Run(until)
	c.Now = max(c.Now, until)
}
