package msgpackrpc

import (
	"sync"
	"time"

	"larchusher/internal/net/transport"
	"larchusher/membudget"
)

// Incomplete messages are kept in buffers whose capacity is accounted for. If there is no memory for one, the message is dropped
// that takes most and has made no progress for longest: its bytes are no longer kept, and its request is rejected once it is
// complete. The connection stays open, and requests that are open on it get their answers.

const (
	minReadBytes     = 1 << 10  // bytes of a read while too much input is unhandled
	usualReadBytes   = 4 << 10  // bytes of a read between messages
	maxReadBytes     = 24 << 10 // bytes of a read within a message
	minDroppedBytes  = 1 << 10  // a smaller incomplete message is not dropped for another one
	bufferGrowFactor = 2        // by which a buffer grows, up to the size of the message as far as that is known
)

// partialInputs are the connections with an incomplete message. It is safe for concurrent use.
type partialInputs struct {
	mu    sync.Mutex
	conns map[*partialInput]*conn
}

// partialInput is the account of a connection's incomplete message. Its fields are guarded by the mutex of partialInputs.
type partialInput struct {
	all    *partialInputs
	budget *membudget.Budget

	bytes      int64 // accounted for
	progressAt time.Time
	closed     bool // the connection is closed, and nothing is accounted for any more
}

// set accounts for a buffer of a capacity, which has last grown at a time.
func (p *partialInput) set(c *conn, capacity int64, at time.Time) {
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	if p.closed {
		return
	}
	p.budget.Add(membudget.PartialInput, capacity-p.bytes)
	p.bytes, p.progressAt = capacity, at
	if p.all.conns == nil {
		p.all.conns = map[*partialInput]*conn{}
	}
	p.all.conns[p] = c
}

// release ends the account of the present message.
func (p *partialInput) release() {
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	p.budget.Release(membudget.PartialInput, p.bytes)
	p.bytes = 0
	delete(p.all.conns, p)
}

// close ends the account for good.
func (p *partialInput) close() {
	p.release()
	p.all.mu.Lock()
	p.closed = true
	p.all.mu.Unlock()
}

// worst returns the connection, other than c, whose incomplete message takes most and has made no progress for longest; nil if
// none can be dropped.
func (all *partialInputs) worst(c *conn, now time.Time) (worst *conn) {
	all.mu.Lock()
	defer all.mu.Unlock()
	most := 0.0
	for p, other := range all.conns {
		if other == c || p.bytes < minDroppedBytes || other.bufferedBytes.Load() > 0 {
			continue
		}
		if score := float64(p.bytes) * now.Sub(p.progressAt).Seconds(); score > most {
			worst, most = other, score
		}
	}
	return worst
}

// droppedMessage is an incomplete message that is no longer kept.
type droppedMessage struct {
	id        uint64
	class     string
	isRequest bool
}

// message returns what becomes of the message once it is complete.
func (d *droppedMessage) message() clientMessage {
	if !d.isRequest {
		return clientMessage{kind: ignoredMessage}
	}
	return clientMessage{kind: droppedRequest, id: d.id, class: d.class}
}

// MaxReadBytes bounds the next read: what is missing of an incomplete message is read in large pieces, other input in small ones, so
// that a connection on which many small messages arrive does not fill the memory for unhandled ones.
func (c *conn) MaxReadBytes(*transport.Conn) int {
	switch {
	case c.scanner.skip > 0:
		return max(usualReadBytes, min(maxReadBytes, c.scanner.skip))
	case c.front.budget.Free(membudget.UnhandledInput) <= 0:
		return minReadBytes
	}
	return usualReadBytes
}

// InputNeedsPeer makes the poller drop input of a client that has closed its connection: no request of it may be sent on.
func (c *conn) InputNeedsPeer() {}

// keepPartial keeps further bytes of an incomplete message, or drops a message if there is no memory for them. It runs on the
// poller goroutine, or in Listener.Adopt, where no other connection's message may be dropped.
func (c *conn) keepPartial(tc *transport.Conn, b []byte, at time.Time) {
	if c.dropped != nil {
		return
	}
	needed := len(c.buf) + len(b)
	capacity := cap(c.buf)
	if needed > capacity {
		capacity = c.grownCapacity(needed)
	}
	if !tc.SettingUp() && !c.makeRoom(int64(capacity-cap(c.buf)), at) {
		c.drop(b)
		return
	}
	if needed > cap(c.buf) {
		c.buf = append(make([]byte, 0, capacity), c.buf...)
	}
	c.buf = append(c.buf, b...)
	c.partial.set(c, int64(cap(c.buf)), at)
}

// grownCapacity returns the capacity of a larger buffer, which holds the needed bytes. The rest of a long value is known to come;
// of many short ones it is not.
func (c *conn) grownCapacity(needed int) int {
	limit := maxFrameBytes
	if c.scanner.skip > usualReadBytes {
		limit = needed + c.scanner.skip
	}
	return max(needed, min(limit, bufferGrowFactor*needed))
}

// makeRoom drops messages of other connections until the buffer may grow by n bytes, and reports whether it may.
func (c *conn) makeRoom(n int64, now time.Time) bool {
	f := c.front
	for n > f.budget.Free(membudget.PartialInput) {
		worst := f.partials.worst(c, now)
		if worst == nil {
			return false
		}
		worst.drop(nil)
	}
	return true
}

// drop stops keeping the incomplete message, whose latest bytes may not be in the buffer yet. It runs on the poller goroutine.
func (c *conn) drop(latest []byte) {
	start := c.buf
	if len(start) == 0 {
		start = latest
	}
	id, method, ok := decodeStart(start)
	c.dropped = &droppedMessage{id: id, class: string(method), isRequest: ok}
	c.dropping.Store(true)
	c.buf = nil
	c.partial.release()
	c.front.budget.Refuse(membudget.PartialInput)
}
