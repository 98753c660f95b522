package msgpackrpc

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// heldMost is how many bytes of requests are held for another process on one connection; what comes beyond stays in the kernel.
const heldMost = 64 << 10

// A connection goes over to another process once nothing is open on it. From HoldRequests on no request is taken any more, so that this
// moment comes: what comes is held, and goes over with the connection. Cancels are heeded all the same.

// HoldRequests has no further request taken in: what comes goes over with its connection.
func (f *Front) HoldRequests() { f.holding.Store(true) }

// MigrateIdle hands all connections to move on which nothing is open, and returns how many are left. One that move fails for
// is ended.
func (f *Front) MigrateIdle(move func(tc *transport.Conn, pieces []transport.ReceivedChunk) error) (left int) {
	for c := range f.conns {
		if c.tc.Closing() || c.moved {
			continue
		}
		if len(c.open) > 0 || c.handed.Load() > 0 || c.tc.UnsentBytes() > 0 {
			left++
			continue
		}
		stopped, err := c.tc.StopReading()
		if err == nil && (!stopped || c.handed.Load() > 0) {
			left++
			continue
		}
		if err == nil {
			err = move(c.tc, c.pieces())
		}
		if c.moved = err == nil; !c.moved {
			f.log.WithError(err).Warn(logfields.ConnMigrationFailed)
			c.tc.CloseGracefully(errEnding, transport.LingerTime)
		}
	}
	return left
}

// pieces are what has come and was not taken in. Nothing is read from the connection any more.
func (c *conn) pieces() (all []transport.ReceivedChunk) {
	before := c.buf[:len(c.buf)-c.heldBytes()]
	if len(before) > 0 {
		// The beginning of a message. Its time does not count: a request's runs from its last byte.
		all = append(all, transport.ReceivedChunk{Data: before, At: c.front.loop.Now()})
	}
	return append(all, c.held...)
}

// heldBytes is how many bytes are held.
func (c *conn) heldBytes() (n int) {
	for _, p := range c.held {
		n += len(p.Data)
	}
	return n
}

// hold keeps what came for another process, and heeds the cancels in it. It runs on the poller.
func (c *conn) hold(tc *transport.Conn, b []byte, at time.Time) error {
	c.held = append(c.held, transport.ReceivedChunk{Data: append([]byte(nil), b...), At: at})
	c.buf = append(c.buf, b...)
	var cancels []word
	for rest := c.buf[c.scanned:]; len(rest) > 0; {
		left := valueMost
		next, err := skip(rest, 0, &left)
		if err != nil { // it is not whole, or cannot be read: whoever takes it in next deals with it
			break
		}
		m, err := decode(rest[:len(rest)-len(next)])
		if err != nil {
			break
		}
		if m.kind == typeNotify && string(m.method) == "cancelRequest" {
			c.cancels.add(m.number)
			cancels = append(cancels, word{kind: wordCancel, id: m.number})
		}
		c.scanned += len(rest) - len(next)
		rest = next
	}
	if len(cancels) > 0 {
		c.handed.Add(1)
		c.front.loop.Post(func() {
			c.handed.Add(-1)
			c.take(tc, cancels, 0, false, at)
		})
	}
	if len(c.buf) > heldMost {
		_, err := tc.StopReading()
		return err
	}
	return nil
}
