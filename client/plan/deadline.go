package plan

// expire ends a call whose time is over, by what is known of its attempts.
func (p *Planner) expire(c *call) {
	switch {
	case c.onlyRejected():
		p.finish(c, Refused, 0)
	case c.attemptCount == 0:
		p.finish(c, Unsent, 0)
	default:
		p.finish(c, Expired, 0)
	}
}

// onlyRejected reports whether every gateway that answered rejected the call, and nothing of it may have run.
func (c *call) onlyRejected() bool {
	return len(c.inFlight) == 0 && c.rejectedUntil > 0 && c.mayHaveRunSince < 0
}

// tooLateToSend reports whether an attempt sent now could not be answered by the call's deadline.
func (p *Planner) tooLateToSend(c *call) bool { return p.now+p.cfg.Way >= c.Deadline }

// deadlineHeap is a heap of calls, for package container/heap: the earliest deadline first, then the first to arrive.
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

// Push appends a call; heap.Push calls it.
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop takes the last call; heap.Pop and heap.Remove call it.
func (h *deadlineHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	c.heapIndex = -1
	*h = old[:len(old)-1]
	return c
}
