package msgpackrpc

import (
	"errors"
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// A connection migrates to the successor process once no request is open on it and all answers have been written. The
// loop decides that, pauses reading through the poller, and looks again: what the poller had read before the pause has
// then reached the loop. The descriptor leaves the poller only once the successor has it. Where a connection has to wait for
// long, its input does not: this process handles it.

// ErrMigrateLater reports that the successor does not take connections at the moment.
var ErrMigrateLater = errors.New("successor takes no connection at the moment")

// migrationBackoff is the time without migrations after ErrMigrateLater.
const migrationBackoff = 20 * time.Millisecond

// MigrateFunc sends a connection and its unhandled input to the successor. After an error that wraps [ErrMigrateLater] it is
// called again later.
type MigrateFunc func(tc *transport.Conn, received []transport.ReceivedChunk) error

// BufferPolicy says what becomes of input on connections that cannot migrate yet. Whatever it says, a request is buffered
// for no more than a share of its time limit.
type BufferPolicy struct {
	MaxWait       time.Duration // after which input is handled here
	MaxWaitUnread time.Duration // the same while answers wait to be written, because the client has not read earlier ones
	RejectUnread  bool          // reject requests in that case, so that the answers which wait can be written to their end
}

// MigrateIdle starts to migrate each connection without open requests and unwritten answers, and returns how many
// connections have not migrated yet. It is to be called every few milliseconds. A connection for which migrate has failed is
// served here, and closed once it is idle.
func (f *Front) MigrateIdle(migrate MigrateFunc, policy BufferPolicy) (left int) {
	for c := range f.conns {
		if c.tc.Closing() || c.migrated {
			continue
		}
		if c.migrationFailed.Load() && c.closeIfIdle() {
			continue
		}
		left++
		if !c.migrating && !c.migrationFailed.Load() && !c.tc.SettingUp() {
			c.migrateOrHandle(migrate, policy)
		}
	}
	return left
}

// migrateOrHandle starts to migrate the connection if that is possible, and else has input handled here that has been
// buffered for too long.
func (c *conn) migrateOrHandle(migrate MigrateFunc, policy BufferPolicy) {
	maxWait := policy.MaxWait
	c.rejecting = c.rejecting || policy.RejectUnread
	if c.tc.UnsentBytes() > 0 {
		maxWait = policy.MaxWaitUnread
	} else {
		c.rejecting = false
	}
	switch {
	case c.canMigrate() && c.front.mayMigrate():
		c.pauseAndMigrate(migrate)
	case c.waitedFor(maxWait):
		c.handleBufferedSoon()
	}
}

// canMigrate reports whether no request is open and nothing waits to be handled or written.
func (c *conn) canMigrate() bool {
	return len(c.open) == 0 && !c.hasUnhandledInput() && !c.dropping.Load() && c.tc.UnsentBytes() == 0
}

// mayMigrate reports whether connections may be migrated at the moment.
func (f *Front) mayMigrate() bool { return !f.loop.Now().Before(f.migrateAfter) }

// pauseAndMigrate pauses reading and then migrates the connection if that is still possible.
func (c *conn) pauseAndMigrate(migrate MigrateFunc) {
	c.migrating = true
	c.tc.RunOnPoller(func() {
		c.tc.PauseReading()
		c.front.loop.Post(func() {
			c.migrating = false
			c.migratePaused(migrate)
		})
	})
}

// migratePaused migrates the connection, of which nothing is read at present, or resumes reading.
func (c *conn) migratePaused(migrate MigrateFunc) {
	if c.closed || c.tc.Closing() || !c.canMigrate() || !c.front.mayMigrate() {
		c.tc.ResumeReading()
		return
	}
	switch err := migrate(c.tc, c.unhandledInput()); {
	case err == nil:
		c.migrated = true
		c.releaseBuffer()
	case errors.Is(err, ErrMigrateLater):
		c.front.migrateAfter = c.front.loop.Now().Add(migrationBackoff)
		c.tc.ResumeReading()
	default:
		c.front.log.WithError(err).Warn(logfields.ConnMigrationFailed)
		c.migrationFailed.Store(true)
		c.handleBufferedSoon()
	}
}

// handleBufferedSoon has the poller handle the buffered input in this process, and resumes reading. The connection does
// not migrate before the loop has handled that input.
func (c *conn) handleBufferedSoon() {
	c.handlingSoon.Add(1)
	c.tc.RunOnPoller(func() {
		err := c.handleBuffered(c.tc)
		c.handlingSoon.Add(-1)
		c.tc.ResumeReading()
		if err != nil {
			c.tc.CloseGracefully(err, transport.LingerTime)
		}
	})
}

// unhandledInput returns the input that has been read and not handled. Reading must be paused.
func (c *conn) unhandledInput() (all []transport.ReceivedChunk) {
	if before, _ := c.splitBuffer(); len(before) > 0 {
		// The beginning of a message. Its arrival time does not matter: a request's time limit counts from its last
		// byte.
		all = append(all, transport.ReceivedChunk{Data: before, At: c.front.loop.Now()})
	}
	return append(all, c.bufferedInput()...)
}
