package plan

import (
	"container/heap"
	"slices"
	"time"
)

// call is a call that has not ended.
type call struct {
	Call
	heapIndex        int // index in deadlineHeap; -1: not in it
	class            *Class
	keyRecord        *keyRecord    // nil: the caller has not chosen the idempotency key
	order            uint64        // position in the order of arrival
	attemptCount     int           // attempts sent so far
	mayHaveRunSince  time.Duration // when the earliest attempt that ended and may have run was sent; negative: there is none
	inFlight         []*attempt
	connectNotBefore time.Duration // earliest time to connect for this call, drawn by connectTime; 0: not drawn
	pendingGateway   *gateway      // the gateway that the call waits for, until a connection has capacity; nil: none
	redirecting      bool          // the call's gateway was ejected: the next attempt is taken from the redirect budget
	crossedClose     bool          // an attempt crossed an orderly close of its connection; allowed once per call
	rejectedUntil    time.Duration // when the latest Retry-After ends; 0: none
	failed           bool          // a gateway answered with a failure
	endsWithWindow   bool          // the deadline was lowered to the end of the class's window; see limitToWindow
}

// attempt is an attempt of a call that is in flight.
type attempt struct {
	id     uint64
	call   *call
	conn   *conn
	sentAt time.Duration
}

// startCall queues a new call, or ends it at once if the planner is closed or the class is unknown. It ignores a call with
// the id of an open call.
func (p *Planner) startCall(ev Call) {
	p.Counters.Calls++
	if p.calls[ev.ID] != nil {
		return
	}
	class := p.classes[ev.Class]
	c := &call{Call: ev, class: class, mayHaveRunSince: -1, heapIndex: -1}
	if p.closed {
		p.finish(c, Closed, 0)
		return
	}
	if class == nil { // not among Config.Classes
		p.finish(c, Unsent, 0)
		return
	}
	if class.Deadline > 0 {
		c.Deadline = min(c.Deadline, p.now+class.Deadline)
	}
	p.lastOrder++
	c.order = p.lastOrder
	p.calls[ev.ID] = c
	p.keys.open(c, p.now)
	heap.Push(&p.byDeadline, c)
	p.enqueue(c)
}

// hasCalls reports whether any call is open. A client without open calls sends no health checks to ejected gateways.
func (p *Planner) hasCalls() bool { return len(p.calls) > 0 }

// enqueue adds a call to the waiting calls, unless it is waiting already.
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

// superseded reports whether another attempt of a call is in flight or about to be sent. The failure of one attempt then
// neither ends nor retries the call.
func (p *Planner) superseded(c *call) bool { return len(c.inFlight) > 0 || p.isWaiting(c) }

// finish ends a call. attemptID is the attempt whose answer or lost connection ended it; 0: none. A call does not end as Refused if
// an earlier attempt of it may have run, unless it is idempotent.
func (p *Planner) finish(c *call, ending Ending, attemptID uint64) {
	if ending == Refused && !c.repeatableAnyTime() {
		ending = c.uncertainEnding()
	}
	p.Counters.Ended[ending]++
	p.release(c)
	p.emit(End{Call: c.ID, Ending: ending, Attempt: attemptID, RetryAfter: max(0, c.rejectedUntil-p.now), Attempts: c.attemptCount})
}

// release removes a call from the planner and abandons its attempts.
func (p *Planner) release(c *call) {
	delete(p.calls, c.ID)
	p.keys.close(c)
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

// releaseAttempt removes an attempt from its connection.
func (p *Planner) releaseAttempt(t *attempt) {
	delete(t.conn.attempts, t.id)
	t.conn.gateway.inFlight--
	t.conn.lastUsed = p.now
}

// removeAttempt removes an attempt from its call.
func (c *call) removeAttempt(t *attempt) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(o *attempt) bool { return o == t })
}

// repeatableAnyTime reports whether the call may be made again however late: it is idempotent, or no attempt may have run.
func (c *call) repeatableAnyTime() bool {
	return c.class == nil || c.class.Effect == Idempotent || c.firstMayHaveRun() < 0
}

// uncertainEnding returns the ending of a call that may have run and gets no further attempt.
func (c *call) uncertainEnding() Ending {
	if c.failed {
		return Failed
	}
	return Unknown
}

// recordMayHaveRun records that an attempt has ended that may have run: from then on mayRepeat limits further attempts.
func (c *call) recordMayHaveRun(t *attempt) {
	c.mayHaveRunSince = earliest(c.mayHaveRunSince, t.sentAt)
}

// firstMayHaveRun returns when the earliest attempt was sent that may have run or is in flight, of this call or another one with its
// key; negative: there is none. An attempt in flight may turn out not to have run, if it is rejected.
func (c *call) firstMayHaveRun() time.Duration {
	if c.keyRecord != nil {
		return c.keyRecord.firstMayHaveRun()
	}
	return c.ownFirstMayHaveRun()
}

// ownFirstMayHaveRun is firstMayHaveRun for the attempts of this call.
func (c *call) ownFirstMayHaveRun() time.Duration {
	first := c.mayHaveRunSince
	for _, t := range c.inFlight {
		first = earliest(first, t.sentAt)
	}
	return first
}
