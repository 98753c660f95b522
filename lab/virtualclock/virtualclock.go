// Package virtualclock is a virtual clock with what is due on it. What is due at the same time runs in the order in which it was
// put there, so that equal inputs give equal runs.
package virtualclock

import (
	"container/heap"
	"time"
)

// Clock is one. Its zero value stands at 0.
type Clock struct {
	Now      time.Duration
	Executed int // functions that ran
	queue    timerHeap
	lastSeq  uint64
}

type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

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

// At has f run at a time, or now if that has passed.
func (c *Clock) At(t time.Duration, f func()) {
	c.lastSeq++
	heap.Push(&c.queue, timer{max(t, c.Now), c.lastSeq, f})
}

// Run runs all that is due before a time, and what that puts there.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at < until { // what is due later stays for the next call
		d := heap.Pop(&c.queue).(timer)
		c.Now = d.at
		c.Executed++
		d.run()
	}
}

// Pass lets so much time pass, with all that is due within it; Run alone stands at the last of that.
func (c *Clock) Advance(d time.Duration) {
	until := c.Now + d
	c.Run(until)
	c.Now = max(c.Now, until)
}
