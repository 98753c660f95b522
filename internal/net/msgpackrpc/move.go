package msgpackrpc

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// A connection migrates to another process once nothing is open on it. From HoldRequests on no request is taken in any more,
// so that this moment comes: what arrives is held, and goes over with the connection. Cancel messages take effect all the same.

// maxHeldBytes is how many bytes of requests are held on one connection; what comes beyond stays in the kernel.
const maxHeldBytes = 64 << 10

// HoldRequests has no further request taken in. It may be called from any goroutine.
func (f *Front) HoldRequests() { f.holding.Store(true) }

// MigrateIdle hands all idle connections to migrate, with what has arrived on them and was not taken in, and returns how
// many are left. One that migrate fails for is closed.
func (f *Front) MigrateIdle(migrate func(tc *transport.Conn, received []transport.ReceivedChunk) error) (left int) {
	for c := range f.conns {
		if c.tc.Closing() || c.migrated {
			continue
		}
		ready, err := c.prepareMigration()
		if err == nil && !ready {
			left++
			continue
		}
		if err == nil {
			err = migrate(c.tc, c.unhandledInput())
		}
		if err != nil {
			f.log.WithError(err).Warn(logfields.ConnMigrationFailed)
			c.tc.CloseGracefully(errEnding, transport.LingerTime)
			continue
		}
		c.migrated = true
	}
	return left
}

// prepareMigration stops reading from an idle connection, and reports whether it can migrate now.
func (c *conn) prepareMigration() (ready bool, err error) {
	if len(c.open) > 0 || c.postedBatches.Load() > 0 || c.tc.UnsentBytes() > 0 {
		return false, nil
	}
	stopped, err := c.tc.StopReading()
	// Of what was being read meanwhile, a batch may have been posted.
	return stopped && c.postedBatches.Load() == 0, err
}

// unhandledInput is what has arrived and was not taken in. Nothing is read from the connection any more.
func (c *conn) unhandledInput() (all []transport.ReceivedChunk) {
	before := c.buf[:len(c.buf)-c.heldBytes()]
	if len(before) > 0 {
		// The beginning of a message. Its time does not count: a request's runs from its last byte.
		all = append(all, transport.ReceivedChunk{Data: before, At: c.front.loop.Now()})
	}
	return append(all, c.heldInput...)
}

// heldBytes is how many bytes are held.
func (c *conn) heldBytes() (n int) {
	for _, p := range c.heldInput {
		n += len(p.Data)
	}
	return n
}

// holdInput holds what came for another process, and has the cancel messages in it take effect. It runs on the poller.
func (c *conn) holdInput(tc *transport.Conn, b []byte, at time.Time) error {
	c.heldInput = append(c.heldInput, transport.ReceivedChunk{Data: append([]byte(nil), b...), At: at})
	c.buf = append(c.buf, b...)
	if cancels := c.scanCancels(); len(cancels) > 0 {
		c.post(tc, &batch{messages: cancels})
	}
	if len(c.buf) > maxHeldBytes {
		_, err := tc.StopReading()
		return err
	}
	return nil
}

// scanCancels finds the cancel messages in what is held. A message that is incomplete, or cannot be read, is left to the
// process that takes it in next.
func (c *conn) scanCancels() (cancels []clientMessage) {
	for rest := c.buf[c.scannedBytes:]; len(rest) > 0; {
		m, after, incomplete, err := nextMessage(rest)
		if incomplete || err != nil {
			break
		}
		if m.isCancel() {
			c.pendingCancels.add(m.number)
			cancels = append(cancels, clientMessage{kind: cancelMessage, id: m.number})
		}
		c.scannedBytes += len(rest) - len(after)
		rest = after
	}
	return cancels
}
