package msgpackrpc

import (
	"fmt"
	"strconv"
	"sync/atomic"

	"larchusher/gateway"
	"larchusher/internal/multiset"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
	"larchusher/overload"
)

// conn is one client connection.
type conn struct {
	front *Front

	// Used by the poller only.
	buf            []byte          // an incomplete message, unless it was dropped, followed by the buffered input
	scanner        scanner         // of the incomplete message
	dropped        *droppedMessage // the incomplete message, if there was no memory for it; nil: it is kept
	load           overload.ClientLoad
	endsPartial    bool            // the latest batch ended with an incomplete message
	bufferedChunks []bufferedChunk // sizes and arrival times of the input that is buffered for the successor process
	scannedBytes   int             // bytes of buf already searched for cancel messages

	// Used by the poller and the loop.
	inbox           connInbox
	memory          *membudget.Holder // of open requests
	partial         partialInput
	dropping        atomic.Bool  // the incomplete message was dropped, so the connection cannot migrate
	handlingSoon    atomic.Int64 // calls of handleBufferedSoon that the poller has not run yet
	shedUncounted   atomic.Int64 // shed requests that the loop has not counted yet
	bufferedBytes   atomic.Int64 // bytes buffered for the successor process
	bufferTimes     bufferTimes
	migrationFailed atomic.Bool          // the connection cannot migrate, so its input is handled here
	pendingCancels  multiset.Set[uint64] // IDs whose cancel messages the poller has read and the loop has not handled

	// Used by the loop only.
	tc        *transport.Conn
	client    *gateway.Client
	open      map[uint64]*gateway.Request // open requests by message ID
	tracked   *transport.TrackedConn
	closed    bool // the connection is closed
	migrating bool // the poller was asked to pause reading, so that the connection can migrate
	migrated  bool // it was migrated to another process
	rejecting bool // requests are rejected, so that the connection can migrate
}

// idle reports whether no request is open and all input has been handled.
func (c *conn) idle() bool {
	return len(c.open) == 0 && c.tc.InputDrained() && !c.hasUnhandledInput() && c.tracked.PartialSince.IsZero()
}

// hasUnhandledInput reports whether input is on its way to the loop.
func (c *conn) hasUnhandledInput() bool { return c.inbox.count.Load() > 0 || c.handlingSoon.Load() > 0 }

// opened reports whether OnOpened has registered the connection, or the connection has closed.
func (c *conn) opened() bool { return c.tc != nil || c.closed }

// closeIfIdle closes the connection if it has no open requests or unhandled input, and reports whether it has. A request
// that crosses the close must be resent by its client.
func (c *conn) closeIfIdle() bool {
	if !c.idle() {
		return false
	}
	c.tc.CloseGracefully(errEnding, transport.LingerTime)
	return true
}

// busy reports whether requests are open, or may be in batches that the loop has not handled or in buffered input. It
// also counts the requests shed since the last call as activity.
func (c *conn) busy() bool {
	if n := c.shedUncounted.Swap(0); n > 0 && c.tracked != nil {
		c.tracked.Received(c.front.loop.Now(), int(n), false)
	}
	return len(c.open) > 0 || c.hasUnhandledInput() || c.bufferedBytes.Load() > 0
}

// OnOpened registers the connection with the front, so that it is closed if it never sends a byte.
func (c *conn) OnOpened(tc *transport.Conn) {
	c.front.opening.Register(c.front.loop.Post, func() {
		switch {
		case c.front.closed: // accepted just before CloseAll
			tc.CloseGracefully(errEnding, transport.LingerTime)
		case !c.closed:
			c.tc = tc
			c.tracked = c.front.tracker.Add(tc, c.front.loop.Now(), c.busy)
			c.front.conns[c] = true
			c.client = c.front.gateway.AddClient(tc.UnsentBytes, tc.Close)
		}
	})
}

// OnClosed abandons the requests that are open on the connection.
func (c *conn) OnClosed(_ *transport.Conn, _ error) {
	c.partial.close()
	c.front.loop.Post(func() {
		c.closed = true
		delete(c.front.conns, c)
		c.front.tracker.Remove(c.tracked)
		c.releaseBuffer()
		for id, r := range c.open {
			delete(c.open, id)
			c.front.gateway.Abandon(r)
		}
		c.front.gateway.RemoveClient(c.client)
	})
}

// handleMessage handles one message, on the loop.
func (c *conn) handleMessage(m clientMessage) {
	switch m.kind {
	case cancelMessage:
		c.pendingCancels.Remove(m.id)
		if r := c.open[m.id]; r != nil {
			delete(c.open, m.id)
			c.front.gateway.Abandon(r)
		}
	case aliveMessage:
		c.write(appendAlive(nil, m.id))
	case droppedRequest:
		if !c.rejectReusedID(m.id) {
			c.front.gateway.CountAnswer(m.class, gateway.Answer{Outcome: gateway.OutcomeRejected})
			c.write(appendRejection(nil, m.id, c.front.gateway.RetryAfter(strconv.FormatUint(m.id, 10))))
		}
	case unreadableMessage:
		if !c.rejectReusedID(m.id) {
			c.front.gateway.CountAnswer(m.class, gateway.Answer{Outcome: gateway.OutcomeFailed})
			c.write(appendError(nil, m.id, errorFailed, "", ""))
		}
	case requestMessage:
		if c.rejectReusedID(m.id) {
			m.request.ReleaseMemory()
			return
		}
		c.submit(m)
	case ignoredMessage:
	}
}

// rejectReusedID reports whether a request with this message ID is open already, and closes the connection if so.
func (c *conn) rejectReusedID(id uint64) bool {
	if c.open[id] == nil {
		return false
	}
	c.front.Malformed++
	c.tc.CloseGracefully(fmt.Errorf("message id %d is in use by an open request", id), transport.LingerTime)
	return true
}

// submit submits a request to the gateway, or rejects it if maxOpenPerConn requests are open on the connection or the
// connection is to migrate first.
func (c *conn) submit(m clientMessage) {
	r := m.request
	switch {
	case len(c.open) >= maxOpenPerConn:
		c.front.TooManyOpen++
		c.reject(m)
		return
	case c.rejecting:
		c.reject(m)
		return
	}
	r.Client = c.client
	r.Answer = func(a gateway.Answer) { c.writeAnswer(m.id, a) }
	r.ClientConnected = func() bool { return !c.tc.Closing() && !c.pendingCancels.Contains(m.id) && !c.tc.PeerClosed() }
	c.open[m.id] = r
	c.front.gateway.Submit(r)
}

// reject rejects a request that was not submitted to the gateway.
func (c *conn) reject(m clientMessage) {
	m.request.ReleaseMemory()
	c.front.gateway.CountAnswer(m.request.Class, gateway.Answer{Outcome: gateway.OutcomeRejected})
	c.write(appendRejection(nil, m.id, c.front.gateway.RetryAfter(m.request.ID)))
}

// writeAnswer writes the final answer to a request, unless the connection is closed.
func (c *conn) writeAnswer(id uint64, a gateway.Answer) {
	delete(c.open, id)
	switch {
	case c.closed:
	case a.Outcome == gateway.OutcomeServed:
		c.write(appendServedHead(make([]byte, 0, 16), id, len(a.Body)), a.Body, noFields)
	case a.Outcome == gateway.OutcomeUnchanged:
		c.write(appendNotModified(nil, id))
	case a.Retryable:
		c.write(appendRejection(nil, id, a.RetryAfter))
	default:
		c.write(appendError(nil, id, errorFailed, "", ""))
	}
}

// write writes to the client. A failed write has closed the connection, and OnClosed follows.
func (c *conn) write(pieces ...[]byte) { _ = c.tc.Write(pieces...) }
