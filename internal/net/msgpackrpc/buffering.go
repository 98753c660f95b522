package msgpackrpc

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"larchusher/internal/net/transport"
	"larchusher/membudget"
)

// While a successor process takes over (see migration.go), the input of a connection is buffered, so that the connection
// falls idle and can migrate together with that input. Input that has been buffered for too long, or does not fit into
// the buffer, is handled by this process. Reading never stops while requests are open: the poller must write their
// answers, and see a cancel or the end of the connection.

// Limits of the input buffered on one connection. What is within them fits into one packet to the successor.
const (
	maxBufferedBytes  = 64 << 10 // including an incomplete message from before
	maxBufferedChunks = 256
)

// maxLimitShareWaited is the share of its time limit for which a request may be buffered.
const maxLimitShareWaited = 0.25

// bufferedChunk is buffered input that was read at one time.
type bufferedChunk struct {
	size int // bytes
	at   time.Time
}

// bufferTimes says how long the input of a connection has been buffered, and how long it may be. The poller sets it, and
// the loop reads it. Times are in nanoseconds since Front.startedAt; 0: none.
type bufferTimes struct {
	since    atomic.Int64 // when the first chunk was read
	handleBy atomic.Int64 // when a request has been buffered for its share of its time limit
}

// clear sets both times to none.
func (t *bufferTimes) clear() {
	t.since.Store(0)
	t.handleBy.Store(0)
}

// waitedFor reports whether input has been buffered for maxWait, or a buffered request for its share of its time limit.
// It is called on the loop.
func (c *conn) waitedFor(maxWait time.Duration) bool {
	since, handleBy := c.bufferTimes.since.Load(), c.bufferTimes.handleBy.Load()
	now := int64(c.front.loop.Now().Sub(c.front.startedAt))
	return since != 0 && now-since >= int64(maxWait) || handleBy != 0 && now >= handleBy
}

// BufferRequests stops the handling of new requests. Their input is buffered until the connection migrates, up to
// maxBytes on all connections together. It may be called from any goroutine.
func (f *Front) BufferRequests(maxBytes int64) {
	f.maxBufferedBytes.Store(maxBytes)
	f.buffering.Store(true)
}

// buffersInput reports whether new input is buffered for the successor.
func (c *conn) buffersInput() bool {
	return c.front.buffering.Load() && !c.migrationFailed.Load() && c.dropped == nil
}

// bufferInput buffers input for the successor and executes the cancel messages in it. If there is no room for it, this
// process handles all input of the connection that it has. It runs on the poller goroutine.
func (c *conn) bufferInput(tc *transport.Conn, b []byte, at time.Time) error {
	if !c.reserveBuffer(len(b)) {
		return c.handleBuffered(tc, transport.ReceivedChunk{Data: b, At: at})
	}
	if len(c.bufferedChunks) == 0 {
		c.bufferTimes.since.Store(int64(at.Sub(c.front.startedAt)))
	}
	c.bufferedChunks = append(c.bufferedChunks, bufferedChunk{size: len(b), at: at})
	c.buf = append(c.buf, b...)
	if cancels := c.scanBuffered(at); len(cancels) > 0 {
		c.post(tc, &batch{messages: cancels, partial: c.endsPartial})
	}
	return nil
}

// reserveBuffer reserves n bytes for input to be buffered, and reports whether they are within all limits. It runs on
// the poller goroutine.
func (c *conn) reserveBuffer(n int) bool {
	if len(c.buf)+n > maxBufferedBytes || len(c.bufferedChunks) >= maxBufferedChunks {
		return false
	}
	f := c.front
	if f.bufferedBytes.Add(int64(n)) > f.maxBufferedBytes.Load() {
		f.bufferedBytes.Add(int64(-n))
		return false
	}
	c.bufferedBytes.Add(int64(n))
	f.budget.Add(membudget.MigratingInput, int64(n))
	return true
}

// releaseBuffer releases all bytes that reserveBuffer has reserved for the connection.
func (c *conn) releaseBuffer() {
	n := c.bufferedBytes.Swap(0)
	c.front.bufferedBytes.Add(-n)
	c.front.budget.Release(membudget.MigratingInput, n)
}

// handleBuffered handles the buffered input in this process, followed by further input. It runs on the poller goroutine.
func (c *conn) handleBuffered(tc *transport.Conn, further ...transport.ReceivedChunk) error {
	before, _ := c.splitBuffer()
	chunks := append(c.bufferedInput(), further...)
	if len(chunks) == 0 {
		return nil
	}
	c.buf = slices.Clone(before)
	c.bufferedChunks, c.scannedBytes = nil, 0
	c.bufferTimes.clear()
	c.releaseBuffer()
	return c.handleInput(tc, chunks...)
}

// bufferedInput returns the buffered input. It stays valid until buf changes.
func (c *conn) bufferedInput() (all []transport.ReceivedChunk) {
	_, input := c.splitBuffer()
	for _, chunk := range c.bufferedChunks {
		all = append(all, transport.ReceivedChunk{Data: input[:chunk.size], At: chunk.at})
		input = input[chunk.size:]
	}
	return all
}

// splitBuffer splits buf into the incomplete message from before buffering began, and the buffered input.
func (c *conn) splitBuffer() (before, input []byte) {
	size := 0
	for _, chunk := range c.bufferedChunks {
		size += chunk.size
	}
	start := len(c.buf) - size
	return c.buf[:start], c.buf[start:]
}

// scanBuffered searches the buffered input that it has not searched yet, the last of which was read at the given time. It
// returns the cancel messages in it, and limits how long the requests in it are buffered. Incomplete and malformed messages
// are left to the process that handles the input.
func (c *conn) scanBuffered(at time.Time) (cancels []clientMessage) {
	for rest := c.buf[c.scannedBytes:]; len(rest) > 0; {
		m, after, incomplete, err := nextMessage(rest)
		if incomplete || err != nil {
			break
		}
		if m.isCancel() {
			c.pendingCancels.Add(m.number)
			cancels = append(cancels, clientMessage{kind: cancelMessage, id: m.number})
		}
		c.limitWait(&m, at)
		c.scannedBytes += len(rest) - len(after)
		rest = after
	}
	return cancels
}

// limitWait limits how long a message that arrived at the given time is buffered, if it has a time limit.
func (c *conn) limitWait(m *message, at time.Time) {
	limitMs, err := strconv.ParseUint(string(m.fields.timeLimit), 10, numberBits)
	if err != nil { // no request, or one that is unreadable
		return
	}
	wait := time.Duration(maxLimitShareWaited * float64(limitMs) * float64(time.Millisecond))
	handleBy := int64(at.Add(wait).Sub(c.front.startedAt))
	if earliest := c.bufferTimes.handleBy.Load(); earliest == 0 || handleBy < earliest {
		c.bufferTimes.handleBy.Store(handleBy)
	}
}
