package signedfront

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"larchusher/gateway"
	"larchusher/internal/httpapi"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
	"larchusher/overload"
)

// conn is one client connection. Its fields are used on the loop only, except for postedInputs.
type conn struct {
	front        *Front
	buffer       *membudget.Piece  // account of buf
	memory       *membudget.Holder // of the request that is open or being checked
	postedInputs atomic.Int64      // reads whose input the loop has not handled yet
	tc           *transport.Conn
	client       *gateway.Client
	load         overload.ClientLoad
	buf          []byte
	lastByte     time.Time
	answeredAt   time.Time // when the latest request was answered
	tracked      *transport.TrackedConn
	current      *httpapi.AdmittedRequest // the open request; nil: none
	queuedCheck  gateway.QueuedWork       // queued check of the next request
	checking     bool                     // a check is queued or running
	checkedHead  bool                     // the request that is being checked is a HEAD
	refusals     []bool                   // complete requests whose input was dropped, still to be refused, in order; true: a HEAD
	turnedAway   bool                     // no more input is taken; see turnAway
	paused       bool                     // reading is paused; see limitInput
	sentContinue bool                     // 100 Continue was sent for the incomplete request
	closing      bool                     // the connection closes after the current answer
	closed       bool
}

// OnOpened registers the connection with the front, so that it is closed if it never sends a byte.
func (c *conn) OnOpened(tc *transport.Conn) {
	c.front.opening.Register(c.front.loop.Post, func() {
		switch {
		case c.front.closed: // accepted just before CloseAll or Retire
			tc.CloseGracefully(errEnding, transport.LingerTime)
		case !c.closed:
			c.tc = tc
			c.tracked = c.front.tracker.Add(tc, c.front.loop.Now(), c.busy)
			c.front.conns[c] = true
			c.client = c.front.gateway.AddClient(tc.UnsentBytes, tc.Close)
		}
	})
}

// busy reports whether a request is open or waits behind another one, or input is not handled yet.
func (c *conn) busy() bool {
	isOpen := c.current != nil || c.checking
	return isOpen || c.postedInputs.Load() > 0 || len(c.buf) > 0 && c.tracked.PartialSince.IsZero()
}

// OnBytes copies the input and posts it to the loop. It runs on the poller goroutine. It returns an error if the
// loop has ended.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	tc.ReserveInput(len(b))
	b = append([]byte(nil), b...)
	c.postedInputs.Add(1)
	posted := c.front.loop.Post(func() {
		c.postedInputs.Add(-1)
		c.receive(tc, b, at)
		tc.ReleaseInput(len(b))
	})
	if !posted {
		return errEnding
	}
	return nil
}

// MaxReadBytes bounds the next read, so that a client that sends much does not fill the memory for unhandled input.
func (c *conn) MaxReadBytes(*transport.Conn) int {
	if c.front.budget.Free(membudget.UnhandledInput) <= 0 {
		return shortReadBytes
	}
	return usualReadBytes
}

// InputNeedsPeer makes the poller drop input of a client that has closed its connection: no request of it may be sent on.
func (c *conn) InputNeedsPeer() {}

// OnClosed abandons the open request and cancels the queued check.
func (c *conn) OnClosed(_ *transport.Conn, _ error) {
	c.buffer.Release()
	c.front.loop.Post(func() {
		c.closed = true
		c.buf = nil
		delete(c.front.conns, c)
		c.front.tracker.Remove(c.tracked)
		if c.checking {
			c.front.gateway.CancelQueued(&c.queuedCheck)
			c.memory.Release(c.memory.Held())
		}
		if c.current != nil {
			abandoned := c.current
			c.current = nil
			c.front.gateway.Abandon(abandoned.Request)
		}
		c.front.gateway.RemoveClient(c.client)
	})
}

// receive handles the input of one read, on the loop.
func (c *conn) receive(tc *transport.Conn, b []byte, at time.Time) {
	if c.closed || c.closing || c.turnedAway || tc.Closing() {
		return
	}
	c.lastByte = at
	if !c.keep(b) {
		return
	}
	c.startNext()
	c.limitInput()
}

// limitInput pauses reading while much input waits behind an open request.
func (c *conn) limitInput() {
	switch waits := c.answersOpen() && len(c.buf) >= maxWaitingBytes; {
	case waits && !c.paused:
		c.paused = true
		c.tc.PauseReading()
	case !waits && c.paused:
		c.paused = false
		c.tc.ResumeReading()
	}
}

// answersOpen reports whether the answer to an earlier request is still to be written.
func (c *conn) answersOpen() bool { return c.current != nil || c.checking }

// keep adds input to the buffer, or turns a client away if there is no memory for it. It reports whether the input was kept.
func (c *conn) keep(b []byte) bool {
	needed := len(c.buf) + len(b)
	if needed > cap(c.buf) {
		capacity := max(needed, min(bufferGrowFactor*needed, maxRequestBytes))
		if !c.front.makeRoom(c, int64(capacity)) {
			c.buf = append(c.buf, b...) // to find the complete requests, and dropped at once
			c.turnAway()
			return false
		}
		c.buf = append(make([]byte, 0, capacity), c.buf...)
	}
	c.buf = append(c.buf, b...)
	return true
}

// releaseBuffer frees the buffer.
func (c *conn) releaseBuffer() {
	c.buf = nil
	c.buffer.Resize(0)
}

// startNext starts the next request once it has arrived completely.
func (c *conn) startNext() {
	if c.turnedAway && c.canStartNext() {
		c.refuseRest()
		return
	}
	for c.canStartNext() && len(c.buf) > 0 {
		h, size, p := parseHead(c.buf)
		if p != nil { // the start of the next request is unknown, so the connection must close
			c.closing = true
			c.respondProblem(p, startsWithHead(c.buf))
			return
		}
		if h == nil || len(c.buf) < size+h.bodyLength {
			c.awaitRest(h)
			return
		}
		body := append([]byte(nil), c.buf[size:size+h.bodyLength]...)
		c.consume(size + h.bodyLength)
		c.sentContinue, c.closing = false, !h.keepAlive
		c.tracked.Received(c.front.loop.Now(), 1, false)
		if memory := int64(gateway.RequestBytes + size + h.bodyLength); c.memory.Reserve(memory, c.load.Light()) {
			c.enqueueCheck(h, body, c.lastByte, memory)
		} else {
			c.respondProblem(httpapi.Overloaded(c.front.gateway.RetryAfter(h.target)), h.isHead())
		}
	}
}

// continueInput starts the next request after an answer, and reads on if little input waits.
func (c *conn) continueInput() {
	if c.closed || c.tc.Closing() {
		return
	}
	c.startNext()
	c.limitInput()
}

// consume removes a request from the start of the buffer, which is freed once it is empty.
func (c *conn) consume(n int) {
	rest := c.buf[n:]
	if len(rest) == 0 {
		c.releaseBuffer()
		return
	}
	c.buf = append(c.buf[:0], rest...)
}

// canStartNext reports whether the next request may start.
func (c *conn) canStartNext() bool {
	return c.current == nil && !c.checking && !c.closing && !c.closed
}

// awaitRest records that a request is incomplete and sends 100 Continue if the client waits for it. h is nil while
// the head is incomplete.
func (c *conn) awaitRest(h *head) {
	c.tracked.Received(c.front.loop.Now(), 0, true)
	if h != nil && h.expectContinue && !c.sentContinue {
		c.sentContinue = true
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// write writes to the client and reports whether that succeeded. A failed write has closed the connection.
func (c *conn) write(pieces ...[]byte) bool { return c.tc.Write(pieces...) == nil }

// enqueueCheck queues a request for the check of its token. Checking a token takes longer than everything else that
// the loop does for a request before its turn, and would delay the platform's clients. Requests that admission
// control sheds are queued separately, as rejections.
func (c *conn) enqueueCheck(h *head, body []byte, at time.Time, memory int64) {
	f := c.front
	class := f.api.Class(h.target)
	_, admitted := f.gateway.Admit(gateway.Arrival{Front: gateway.SignedFront, Client: &c.load, Class: []byte(class),
		Retry: httpapi.IsRetry(h.get), ID: []byte(h.target), BodyBytes: len(body)})
	run := func(shed bool) {
		c.checking = false
		if !c.checkAndSubmit(h, body, at, shed, memory) {
			c.memory.Release(memory)
		}
		if c.current == nil && !c.closing {
			f.loop.Post(c.continueInput)
		}
	}
	c.checking, c.checkedHead = true, h.isHead()
	if !admitted {
		f.gateway.EnqueueRejection(&c.queuedCheck, gateway.SignedFront, func() { run(true) })
		return
	}
	f.gateway.Enqueue(&c.queuedCheck, gateway.SignedFront, class, c.readySince(at), run)
}

// readySince returns since when a request that arrived at a time could have been started. The time for which it waited behind an earlier
// one of its connection says nothing of the load, and is no reason to shed it.
func (c *conn) readySince(arrived time.Time) time.Time {
	if c.answeredAt.After(arrived) {
		return c.answeredAt
	}
	return arrived
}

// checkAndSubmit checks a request's token and submits the request to the gateway, or rejects it if it is shed: only a
// client with a valid token learns that the gateway is overloaded. It reports whether the gateway has taken over the request with
// its memory.
func (c *conn) checkAndSubmit(h *head, body []byte, at time.Time, shed bool, memory int64) bool {
	f := c.front
	if f.closed { // after CloseAll or Retire the keys may no longer be valid
		c.respondProblem(httpapi.Overloaded(f.gateway.RetryAfter(h.target)), h.isHead())
		return false
	}
	authorized, p := f.api.Authorize(httpapi.Request{Method: h.method, Target: h.target, Header: h.get, Body: body, ReceivedAt: at})
	if p == nil && shed {
		p = httpapi.Overloaded(f.gateway.RetryAfter(h.target))
	}
	if p != nil {
		c.respondProblem(p, h.isHead())
		return false
	}
	f.Admitted++
	authorized.Request.ID = f.newRequestID()
	c.current = authorized
	r := authorized.Request
	r.ArrivedAt, r.Front, r.Client, r.Admitted = c.readySince(at), gateway.SignedFront, c.client, true
	r.ClientConnected = func() bool { return !c.tc.Closing() && !c.tc.PeerClosed() }
	r.Answer = func(a gateway.Answer) {
		if c.current != authorized { // the client has closed the connection
			return
		}
		c.current = nil
		c.respond(f.api.Respond(authorized, a, time.Now()), authorized.HeadOnly)
		if !c.closing {
			f.loop.Post(c.continueInput)
		}
	}
	r.Memory, r.MemoryBytes, r.LightClient = c.memory, memory, c.load.Light()
	f.gateway.Submit(r)
	return true
}

// respondProblem writes an answer that the front gives without the gateway. See respond.
func (c *conn) respondProblem(p *httpapi.Problem, withoutContent bool) {
	c.front.ProblemsByReason[p.Reason]++
	c.respond(p.Response(), withoutContent)
}

// respond writes one answer, and closes the connection afterwards if it is closing. The answer to a HEAD is written without content: its
// client takes what follows the head for the next answer (RFC 9110, 9.3.2).
func (c *conn) respond(r httpapi.Response, withoutContent bool) {
	c.closing = c.closing || c.front.closeAfterAnswer && !c.requestWaits()
	c.front.AnswersByStatus[r.Status]++
	c.answeredAt = c.front.loop.Now()
	c.tracked.LastActive = c.answeredAt
	b := append(make([]byte, 0, 512), "HTTP/1.1 "...)
	b = append(strconv.AppendInt(b, int64(r.Status), 10), ' ')
	b = append(append(b, http.StatusText(r.Status)...), "\r\n"...)
	for _, f := range r.Header {
		b = append(append(append(append(b, f[0]...), ": "...), f[1]...), "\r\n"...)
	}
	if r.Status != http.StatusNotModified {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	if c.closing {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if withoutContent {
		r.Body = nil
	}
	if c.write(b, r.Body) && c.closing {
		c.closeWhenFlushed()
	}
}
