package signedfront

import (
	"larchusher/internal/httpapi"
	"larchusher/internal/net/transport"
)

// A request that was read completely is answered, also if its connection is to end: in a shutdown or an upgrade, when the front is
// retired by a reload, and when memory runs short. The connection ends with the last of these answers.

// turnAway drops the input that waits, answers each complete request in it with status 503, and an incomplete one likewise, and closes the
// connection. It does so after the answer to an open request.
func (c *conn) turnAway() {
	requests, rest := completeRequests(c.buf)
	if len(rest) > 0 {
		requests = append(requests, startsWithHead(rest))
	}
	c.refusals = requests
	c.releaseBuffer()
	c.turnedAway = true
	if !c.answersOpen() {
		c.refuseRest()
	}
}

// refuseRest refuses what turnAway has dropped, and closes the connection with the last answer.
func (c *conn) refuseRest() {
	for i, isHead := range c.refusals {
		c.closing = i == len(c.refusals)-1
		c.respondProblem(httpapi.Overloaded(c.front.gateway.RetryAfter(c.tc.Remote)), isHead)
	}
	c.refusals = nil
	if !c.closing { // nothing was to be refused
		c.closing = true
		c.closeWhenFlushed()
	}
}

// requestWaits reports whether a complete request may wait behind the one that is being answered.
func (c *conn) requestWaits() bool {
	if len(c.refusals) > 0 || c.postedInputs.Load() > 0 || !c.tc.InputDrained() {
		return true
	}
	requests, _ := completeRequests(c.buf)
	return len(requests) > 0
}

// endNow refuses the requests that wait, the one that is being checked among them, and closes the connection.
func (c *conn) endNow() {
	if c.checking {
		c.checking = false
		c.front.gateway.CancelQueued(&c.queuedCheck)
		c.memory.Release(c.memory.Held())
		c.refusals = append(c.refusals, c.checkedHead)
	}
	requests, _ := completeRequests(c.buf)
	c.refusals = append(c.refusals, requests...)
	c.releaseBuffer()
	c.turnedAway = true
	if c.current == nil && !c.closing {
		c.refuseRest()
	}
	c.tc.CloseGracefully(errEnding, transport.LingerTime)
}

// closeWhenFlushed closes the connection once its last answer has been written.
func (c *conn) closeWhenFlushed() {
	if c.closed {
		return
	}
	if c.tc.UnsentBytes() == 0 {
		c.tc.CloseGracefully(errAnswered, transport.LingerTime)
		return
	}
	c.front.loop.After(flushPollInterval, c.closeWhenFlushed)
}
