package msgpackrpc

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// A connection migrates to another process once no request is open on it. After BufferRequests the front handles no new
// requests, so that this becomes possible: further input is buffered and migrates with the connection. Cancel
// messages in it still take effect.

// maxBufferedBytes limits the input buffered for the other process on one connection; more input stays in the kernel.
const maxBufferedBytes = 64 << 10

// BufferRequests stops the handling of new requests. Their input is buffered until the connection migrates. It may be
// called from any goroutine.
func (f *Front) BufferRequests() { f.buffering.Store(true) }

// MigrateIdle passes each connection without open requests to migrate, together with its unhandled input, and returns
// how many connections are left. A connection that migrate fails for is closed.
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

// prepareMigration stops reading from a connection without open requests and reports whether it can migrate now. If
// not, it must be called again.
func (c *conn) prepareMigration() (ready bool, err error) {
	if len(c.open) > 0 || c.postedBatches.Load() > 0 || c.tc.UnsentBytes() > 0 {
		return false, nil
	}
	stopped, err := c.tc.StopReading()
	// The poller may have posted a batch from a read that was in progress.
	return stopped && c.postedBatches.Load() == 0, err
}

// unhandledInput returns the input that has been read and not handled. Reading must have stopped.
func (c *conn) unhandledInput() (all []transport.ReceivedChunk) {
	before := c.buf[:len(c.buf)-c.bufferedBytes()]
	if len(before) > 0 {
		// The beginning of a message. Its arrival time does not matter: a request's time limit counts from its last
		// byte.
		all = append(all, transport.ReceivedChunk{Data: before, At: c.front.loop.Now()})
	}
	return append(all, c.bufferedInput...)
}

// bufferedBytes returns the size of bufferedInput in bytes.
func (c *conn) bufferedBytes() (n int) {
	for _, p := range c.bufferedInput {
		n += len(p.Data)
	}
	return n
}

// bufferInput buffers input for the other process and executes the cancel messages in it. It runs on the poller
// goroutine.
func (c *conn) bufferInput(tc *transport.Conn, b []byte, at time.Time) error {
	c.bufferedInput = append(c.bufferedInput, transport.ReceivedChunk{Data: append([]byte(nil), b...), At: at})
	c.buf = append(c.buf, b...)
	if cancels := c.scanCancels(); len(cancels) > 0 {
		c.post(tc, &batch{messages: cancels})
	}
	if len(c.buf) > maxBufferedBytes {
		_, err := tc.StopReading()
		return err
	}
	return nil
}

// scanCancels returns the cancel messages in the buffered input that it has not searched yet. Incomplete and
// malformed messages are left to the process that the connection migrates to.
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
