package msgpackrpc

import (
	"time"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

// batch is what one read brings to the loop.
type batch struct {
	messages   []clientMessage
	shed       int    // requests that were rejected right away
	rejections []byte // that have not been written
	reserved   int    // bytes that the messages hold until the loop has handled them
	partial    bool   // a part of a further message has come
	err        error  // ends the connection
}

// OnBytes cuts what came into messages. A message that has come completely carries the time at which it did. A request that
// is to be shed is rejected right here, and costs the loop nothing.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	if c.front.holding.Load() {
		return c.holdInput(tc, b, at)
	}
	if len(c.buf) > 0 {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	read := &batch{}
	rest := c.readMessages(tc, b, at, read)
	read.partial = len(rest) > 0
	c.keep(rest)
	if len(read.rejections) > 0 && read.err == nil {
		read.err = tc.Write(read.rejections)
	}
	if read.onlyShed() && !c.partial {
		c.shedUncounted.Add(int64(read.shed)) // the loop learns of it when it next looks
		return nil
	}
	c.partial = read.partial
	c.post(tc, read)
	return read.err
}

// onlyShed reports whether the loop has nothing to do for a batch.
func (b *batch) onlyShed() bool {
	return b.shed > 0 && len(b.messages) == 0 && !b.partial && b.err == nil
}

// readMessages reads the messages in b into a batch, and returns what is left of b.
func (c *conn) readMessages(tc *transport.Conn, b []byte, at time.Time, to *batch) (rest []byte) {
	for len(b) > 0 && to.err == nil {
		m, after, incomplete, err := nextMessage(b)
		if incomplete {
			return b
		}
		if err != nil {
			to.err = err
			return b
		}
		b = after
		if retryAfter, ok := c.admit(&m); !ok {
			to.reject(tc, m.id, retryAfter)
			continue
		}
		parsed := c.parseMessage(&m, at)
		if parsed.kind == cancelMessage {
			c.pendingCancels.add(parsed.id)
		}
		to.messages = append(to.messages, parsed)
		to.reserved += messageCost + len(m.body)
		to.err = tc.ReserveInput(messageCost + len(m.body))
	}
	return b
}

// admit reports whether a message is admitted: a request may be shed, other messages never are.
func (c *conn) admit(m *message) (retryAfter time.Duration, ok bool) {
	if m.kind != typeRequest || m.isAlive() {
		return 0, true
	}
	return c.front.gateway.Admit(gateway.PlatformFront, m.method, m.fields.isRetry(), m.fields.id)
}

// reject adds a rejection, and writes them if there are many.
func (b *batch) reject(tc *transport.Conn, id uint64, retryAfter time.Duration) {
	b.shed++
	b.rejections = appendRejection(b.rejections, id, retryAfter)
	if len(b.rejections) > maxRejectionBatch {
		b.err = tc.Write(b.rejections)
		b.rejections = b.rejections[:0]
	}
}

// keep keeps the part of a message that has come.
func (c *conn) keep(rest []byte) {
	if len(rest) == 0 && cap(c.buf) > maxIdleBuffer { // many clients send a large body once in a while
		c.buf = nil
	}
	c.buf = append(c.buf[:0], rest...)
}

// post hands a batch to the loop.
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
