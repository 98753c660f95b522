package msgpackrpc

import (
	"time"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

// batch holds the messages of one read on their way from the poller to the loop.
type batch struct {
	messages   []clientMessage
	shed       int    // requests rejected on the poller
	rejections []byte // encoded rejections that are not written yet
	reserved   int    // bytes reserved for the messages until the loop has handled them
	partial    bool   // the input ends with an incomplete message
	err        error  // closes the connection
}

// OnBytes handles the input of one read. Input for the successor process is buffered. A request's time limit counts from
// at, the time at which its last byte arrived.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	if c.buffersInput() {
		return c.bufferInput(tc, b, at)
	}
	return c.handleInput(tc, transport.ReceivedChunk{Data: b, At: at})
}

// OnMigrated handles input that the predecessor process has read and not handled. All of it becomes one batch, so that no
// request starts before the loop knows of a cancel behind it.
func (c *conn) OnMigrated(tc *transport.Conn, chunks []transport.ReceivedChunk) error {
	if !c.buffersInput() {
		return c.handleInput(tc, chunks...)
	}
	for _, chunk := range chunks { // this process is about to end as well
		if err := c.bufferInput(tc, chunk.Data, chunk.At); err != nil {
			return err
		}
	}
	return nil
}

// handleInput splits input into messages and posts them to the loop as one batch. Requests that are shed are rejected here,
// on the poller goroutine, and cost the loop nothing.
func (c *conn) handleInput(tc *transport.Conn, chunks ...transport.ReceivedChunk) error {
	received := &batch{}
	for _, chunk := range chunks {
		if received.err == nil {
			c.readChunk(tc, chunk, received)
		}
	}
	if len(received.rejections) > 0 && received.err == nil {
		received.err = tc.Write(received.rejections)
	}
	if received.onlyShed() && !c.partial {
		c.shedUncounted.Add(int64(received.shed)) // the loop picks the count up in busy
		return nil
	}
	c.partial = received.partial
	c.post(tc, received)
	return received.err
}

// readChunk parses the messages in the input of one read into dst, and keeps an incomplete one at its end.
func (c *conn) readChunk(tc *transport.Conn, chunk transport.ReceivedChunk, dst *batch) {
	b := chunk.Data
	if len(c.buf) > 0 {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	rest := c.readMessages(tc, b, chunk.At, dst)
	dst.partial = len(rest) > 0
	c.saveRemainder(rest)
}

// onlyShed reports whether the batch has shed requests and nothing for the loop to do.
func (b *batch) onlyShed() bool {
	return b.shed > 0 && len(b.messages) == 0 && !b.partial && b.err == nil
}

// readMessages parses the messages in b into dst, and returns the rest of b: an incomplete message, or everything
// from a faulty one on.
func (c *conn) readMessages(tc *transport.Conn, b []byte, at time.Time, dst *batch) (rest []byte) {
	for len(b) > 0 && dst.err == nil {
		m, after, incomplete, err := nextMessage(b)
		if incomplete {
			return b
		}
		if err != nil {
			dst.err = err
			return b
		}
		b = after
		if retryAfter, ok := c.admit(&m); !ok {
			dst.reject(tc, m.id, retryAfter)
			continue
		}
		parsed := c.parseMessage(&m, at)
		if parsed.kind == cancelMessage {
			c.pendingCancels.add(parsed.id)
		}
		dst.messages = append(dst.messages, parsed)
		dst.reserved += messageCost + len(m.body)
		dst.err = tc.ReserveInput(messageCost + len(m.body))
	}
	return b
}

// admit reports whether a message may go to the loop. Only requests can be shed; the retryAfter of a shed one may be
// 0 for no advice.
func (c *conn) admit(m *message) (retryAfter time.Duration, ok bool) {
	if m.kind != typeRequest || m.isAlive() {
		return 0, true
	}
	return c.front.gateway.Admit(gateway.PlatformFront, m.method, m.fields.isRetry(), m.fields.id)
}

// reject adds the rejection of a request to the batch, and writes the collected rejections if they exceed
// maxRejectionBatch.
func (b *batch) reject(tc *transport.Conn, id uint64, retryAfter time.Duration) {
	b.shed++
	b.rejections = appendRejection(b.rejections, id, retryAfter)
	if len(b.rejections) > maxRejectionBatch {
		b.err = tc.Write(b.rejections)
		b.rejections = b.rejections[:0]
	}
}

// saveRemainder keeps the incomplete message at the end of a read. It frees a large buffer once it is empty.
func (c *conn) saveRemainder(rest []byte) {
	if len(rest) == 0 && cap(c.buf) > maxIdleBuffer { // many clients send a large body only now and then
		c.buf = nil
	}
	c.buf = append(c.buf[:0], rest...)
}

// post passes a batch to the loop.
func (c *conn) post(tc *transport.Conn, b *batch) {
	c.postedBatches.Add(1)
	c.front.loop.Post(func() {
		c.postedBatches.Add(-1)
		if b.err != nil {
			c.front.Malformed++
		}
		c.handleBatch(tc, b)
		tc.ReleaseInput(b.reserved)
	})
}
