package plan

import "container/heap"

// expire ends a call that has no time left: as Refused if it was only rejected, as Unsent if no attempt was sent, also of
// another call with its key, otherwise as Expired. A call whose window has ended, but not its deadline, ends as Failed or Unknown.
func (p *Planner) expire(c *call) {
	switch {
	case c.endsWithWindow:
		p.finish(c, c.uncertainEnding(), 0)
	case c.onlyRejected():
		p.finish(c, Refused, 0)
	case c.attemptCount == 0 && c.repeatableAnyTime():
		p.finish(c, Unsent, 0)
	default:
		p.finish(c, Expired, 0)
	}
}

// onlyRejected reports whether a gateway rejected the call or its class, no attempt may have run, and none is in flight.
func (c *call) onlyRejected() bool {
	return c.rejectedUntil > 0 && c.firstMayHaveRun() < 0
}

// limitToWindow lowers the deadline of a call that is about to be repeated to the end of its class's window. The gateway gets no more
// time than that, since it may pass the repeat on until its limit, so there is no answer to wait for afterwards. If an earlier attempt
// is still in flight, that one may be answered later, and the deadline stays.
func (p *Planner) limitToWindow(c *call) {
	end := c.repeatableUntil()
	if end >= c.Deadline || len(c.inFlight) > 0 {
		return
	}
	c.Deadline, c.endsWithWindow = end, true
	heap.Fix(&p.byDeadline, c.heapIndex)
}

// tooLateToSend reports whether an attempt sent now could not be answered by the call's deadline.
func (p *Planner) tooLateToSend(c *call) bool { return p.now+p.cfg.Way >= c.Deadline }

// deadlineHeap is a heap of calls for package container/heap, ordered by deadline and, for equal deadlines, by arrival.
type deadlineHeap []*call

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].order < h[j].order
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a call. It is called by heap.Push only.
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop removes and returns the last call. It is called by heap.Pop and heap.Remove only.
func (h *deadlineHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	c.heapIndex = -1
	*h = old[:len(old)-1]
	return c
}
