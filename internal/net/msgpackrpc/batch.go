package msgpackrpc

import (
	"fmt"
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

	tc        *transport.Conn
	begun     bool // the loop has handled a part of the messages
	abandoned bool // the client has closed the connection
	handled   int  // messages that the loop has handled
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
	if received.onlyShed() && !c.endsPartial {
		c.shedUncounted.Add(int64(received.shed)) // the loop picks the count up in busy
		return nil
	}
	c.endsPartial = received.partial
	c.post(tc, received)
	return received.err
}

// readChunk parses the messages in the input of one read into dst, and keeps an incomplete one at its end.
func (c *conn) readChunk(tc *transport.Conn, chunk transport.ReceivedChunk, dst *batch) {
	for b := chunk.Data; len(b) > 0 && dst.err == nil; {
		rest, done, err := c.scanner.feed(b)
		switch {
		case err != nil:
			dst.err = fmt.Errorf("malformed message: %w", err)
		case done:
			c.readFrame(tc, b[:len(b)-len(rest)], chunk.At, dst)
		default:
			c.keepPartial(tc, b, chunk.At)
		}
		b = rest
	}
	dst.partial = c.scanner.begun
}

// readFrame handles a message whose last bytes are end; the bytes before them are in the buffer, unless the message was dropped.
func (c *conn) readFrame(tc *transport.Conn, end []byte, at time.Time, dst *batch) {
	c.scanner = scanner{}
	if c.dropped != nil {
		dst.add(tc, c.dropped.message(), messageCost)
		c.dropped = nil
		c.dropping.Store(false)
		return
	}
	frame := end
	if len(c.buf) > 0 {
		frame = append(c.buf, end...)
		c.buf = nil
		defer c.partial.release()
	}
	m, err := decode(frame)
	if err != nil {
		dst.err = fmt.Errorf("malformed message: %w", err)
		return
	}
	c.readMessage(tc, &m, at, dst)
}

// readMessage adds a message to the batch, or rejects it.
func (c *conn) readMessage(tc *transport.Conn, m *message, at time.Time, dst *batch) {
	if m.kind != typeRequest || m.isAlive() {
		parsed := c.parseMessage(m, at)
		if parsed.kind == cancelMessage {
			c.pendingCancels.Add(parsed.id)
		}
		dst.add(tc, parsed, messageCost)
		return
	}
	arrival := gateway.Arrival{Front: gateway.PlatformFront, Client: &c.load, Class: m.method, Retry: m.fields.isRetry(), ID: m.fields.id,
		BodyBytes: len(m.body)}
	if retryAfter, ok := c.front.gateway.Admit(arrival); !ok {
		dst.reject(tc, m.id, retryAfter)
		return
	}
	memory := int64(gateway.RequestBytes + len(m.body))
	if !c.memory.Reserve(memory, c.load.Light()) {
		dst.reject(tc, m.id, c.front.gateway.ShedForMemory(arrival))
		return
	}
	parsed := c.parseMessage(m, at)
	if parsed.kind == requestMessage {
		parsed.request.Memory, parsed.request.MemoryBytes = c.memory, memory
		parsed.request.LightClient = c.load.Light()
	} else {
		c.memory.Release(memory)
	}
	dst.add(tc, parsed, messageCost)
}

// add adds a message to the batch, and accounts for it until the loop has handled it.
func (b *batch) add(tc *transport.Conn, m clientMessage, bytes int) {
	b.messages = append(b.messages, m)
	b.reserved += bytes
	tc.ReserveInput(bytes)
}

// onlyShed reports whether the batch has shed requests and nothing for the loop to do.
func (b *batch) onlyShed() bool {
	return b.shed > 0 && len(b.messages) == 0 && !b.partial && b.err == nil
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
