package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"larchusher/overload"
)

// rejectionWaitDivisor gives the longest wait in the rejection queue: Config.MaxWait divided by
// this.
const rejectionWaitDivisor = 3

// QueuedWork is the queue entry of work that a front has to do before it can submit a request, such
// as checking a token. The zero value is not queued.
type QueuedWork struct {
	item   overload.Item
	class  string
	band   int
	run    func(late bool) // runs from the queue; late: it has waited for too long
	reject func()          // runs from the rejection queue
}

// Enqueue queues f in the place of a request of a class that arrived at a time, so that the work
// that a front does for its requests takes no more than their share of the loop's time. f is called
// on the loop, with late set if it has waited for too long and the request is to be rejected. A
// request that f submits must have Admitted set, and starts without another wait.
func (g *Gateway) Enqueue(w *QueuedWork, front Front, class string, arrived time.Time, f func(late bool)) {
	w.class, w.band, w.run = class, g.classOrder().Band(class, false), f
	w.item.Value = w
	g.queue.Push(&w.item, w.band, int(front), g.DirectorTime(arrived))
}

// EnqueueRejection queues f, which rejects a request that is shed. f is called on the loop once
// nothing else is queued, and at the latest after a third of the longest wait. Otherwise rejections
// that take work, such as checking a token, could use up the loop's time when clients retry at
// once.
func (g *Gateway) EnqueueRejection(w *QueuedWork, front Front, f func()) {
	w.reject = f
	w.item.Value = w
	g.rejectionQueue.Push(&w.item, 0, int(front), g.now())
}

// CancelQueued removes work from the queues. It does nothing for work that is not queued.
func (g *Gateway) CancelQueued(w *QueuedWork) {
	g.queue.Remove(&w.item)
	g.rejectionQueue.Remove(&w.item)
}

// enqueueRequest queues a request, or sheds it.
func (g *Gateway) enqueueRequest(r *Request) {
	r.band = g.classOrder().Band(r.Class, r.Retry)
	if !r.Admitted {
		if retryAfter, ok := g.admissionController().Admit(int(r.Front), r.band, xxhash.Sum64String(r.ID)); !ok {
			g.rejectShed(r, retryAfter)
			return
		}
	}
	if g.runningQueuedWork { // its work has waited in the queue already
		g.startIfMemory(r)
		return
	}
	arrived := r.ArrivedAt
	if arrived.IsZero() {
		arrived = g.cfg.Loop.Now()
	}
	r.queueItem.Value = r
	if r.Client != nil {
		r.queueItem.Flow = &r.Client.flow
	}
	g.queue.Push(&r.queueItem, r.queueBand(), int(r.Front), g.DirectorTime(arrived))
}

// queueBand returns the band in which a request waits: its own, or the first one for a client that does not cause the load.
func (r *Request) queueBand() int {
	if r.LightClient {
		return 0
	}
	return r.band
}

// runNextQueued runs the next queued request or work, and reports whether more is queued. The loop
// calls it in each round after the posted functions and the timers.
func (g *Gateway) runNextQueued() (more bool) {
	now := g.now()
	for i := g.rejectionQueue.PopExpired(now); i != nil; i = g.rejectionQueue.PopExpired(now) {
		i.Value.(*QueuedWork).reject()
	}
	if g.queue.Len() == 0 {
		if i := g.rejectionQueue.Pop(); i != nil {
			i.Value.(*QueuedWork).reject()
		}
		return g.rejectionQueue.Len() > 0
	}
	g.rejectExpired(now)
	i := g.queue.Pop()
	if i == nil {
		return false
	}
	g.runQueuedItem(i, now)
	return g.queue.Len() > 0
}

// rejectExpired rejects the requests that have waited in the queue for too long.
func (g *Gateway) rejectExpired(now time.Duration) {
	for i := g.queue.PopExpired(now); i != nil; i = g.queue.PopExpired(now) {
		g.Load.QueueTimeouts++
		g.sample.LongestWait = max(g.sample.LongestWait, g.queue.WaitLimit(now))
		switch v := i.Value.(type) {
		case *Request:
			g.sample.ExpiredCost += g.classOrder().Cost(v.band)
			g.shedRequest(v, g.RetryAfter(v.ID))
		case *QueuedWork:
			g.sample.ExpiredCost += g.classOrder().Cost(v.band)
			v.run(true)
		}
	}
}

// runQueuedItem runs a request or work that was removed from the queue.
func (g *Gateway) runQueuedItem(i *overload.Item, now time.Duration) {
	waited := g.queue.Waited(i, now)
	recordDuration(g.Load.QueueWait, waited)
	g.sample.LongestWait = max(g.sample.LongestWait, waited)
	switch v := i.Value.(type) {
	case *Request:
		g.sample.StartedCost += g.classOrder().Cost(v.band)
		g.startIfMemory(v)
	case *QueuedWork:
		g.sample.StartedCost += g.classOrder().Cost(v.band)
		g.runningQueuedWork = true
		v.run(false)
		g.runningQueuedWork = false
	}
}

// startIfMemory starts a request whose turn it is, or sheds it if there is no memory for its
// answer.
func (g *Gateway) startIfMemory(r *Request) {
	if !g.reserveAnswer(r) {
		g.Load.NoMemory++
		g.shedRequest(r, g.RetryAfter(r.ID))
		return
	}
	g.startRequest(r)
}
