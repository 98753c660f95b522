package plan

import (
	"container/heap"
	"slices"
	"time"
)

// call is a call that has not ended.
type call struct {
	Call
	heapIndex        int // place in deadlineHeap; -1: none
	class            *Class
	order            uint64 // of arrival
	attemptCount     int
	mayHaveRunSince  time.Duration // when the earliest attempt was sent that may have run; negative: none may have
	inFlight         []*attempt
	connectNotBefore time.Duration // drawn by connectTime; 0: not drawn
	pendingGateway   *gateway      // the one whose connection it waits for
	redirecting      bool          // its gateway was ejected: the next attempt counts against the redirect budget
	crossedClose     bool          // it was sent again once for an orderly close that an attempt crossed
	rejectedUntil    time.Duration // the latest Retry-After; 0: none
	failed           bool          // a gateway answered that it failed
}

// attempt is one sending of a call.
type attempt struct {
	id     uint64
	call   *call
	conn   *conn
	sentAt time.Duration
}

// startCall takes a new call, or ends it at once if it can't be sent.
func (p *Planner) startCall(q Call) {
	p.Counters.Calls++
	if p.calls[q.ID] != nil {
		return
	}
	class := p.classes[q.Class]
	c := &call{Call: q, class: class, mayHaveRunSince: -1, heapIndex: -1}
	if p.closed {
		p.finish(c, Closed, 0)
		return
	}
	if class == nil { // no gateway would know it
		p.finish(c, Unsent, 0)
		return
	}
	if class.Deadline > 0 {
		c.Deadline = min(c.Deadline, p.now+class.Deadline)
	}
	p.lastOrder++
	c.order = p.lastOrder
	p.calls[q.ID] = c
	heap.Push(&p.byDeadline, c)
	p.enqueue(c)
}

// hasCalls reports whether any call is open: a client without work leaves ejected gateways alone.
func (p *Planner) hasCalls() bool { return len(p.calls) > 0 }

// enqueue has a call wait to be sent, if it does not yet.
func (p *Planner) enqueue(c *call) {
	if !p.isWaiting(c) {
		p.waiting, p.waitingSorted = append(p.waiting, c), false
	}
}

func (p *Planner) dequeue(c *call) {
	if i := slices.Index(p.waiting, c); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

func (p *Planner) isWaiting(c *call) bool { return slices.Contains(p.waiting, c) }

// superseded reports whether a newer attempt of a call is in flight or about to be sent: the end of an older one
// changes nothing then.
func (p *Planner) superseded(c *call) bool { return len(c.inFlight) > 0 || p.isWaiting(c) }

// finish gives a call its one ending. by is the attempt that was answered, 0 if none was.
func (p *Planner) finish(c *call, as Ending, by uint64) {
	p.Counters.Ended[as]++
	p.release(c)
	p.emit(End{Call: c.ID, Ending: as, Attempt: by, RetryAfter: max(0, c.rejectedUntil-p.now), Attempts: c.attemptCount})
}

// release forgets a call and abandons its attempts.
func (p *Planner) release(c *call) {
	delete(p.calls, c.ID)
	if c.heapIndex >= 0 {
		heap.Remove(&p.byDeadline, c.heapIndex)
	}
	p.dequeue(c)
	for _, t := range c.inFlight {
		p.releaseAttempt(t)
		p.emit(Abandon{Conn: t.conn.id, Attempt: t.id})
	}
	c.inFlight = nil
}

// releaseAttempt takes an attempt off its connection.
func (p *Planner) releaseAttempt(t *attempt) {
	delete(t.conn.attempts, t.id)
	t.conn.gateway.inFlight--
	t.conn.lastUsed = p.now
}

// removeAttempt takes an attempt off its call.
func (c *call) removeAttempt(t *attempt) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(o *attempt) bool { return o == t })
}

// recordMayHaveRun notes that an attempt may have run.
func (c *call) recordMayHaveRun(t *attempt) {
	if c.mayHaveRunSince < 0 || t.sentAt < c.mayHaveRunSince {
		c.mayHaveRunSince = t.sentAt
	}
}
