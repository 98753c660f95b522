package transport

import (
	"golang.org/x/sys/unix"

	"larchusher/membudget"
)

// pauseReason is a reason for leaving the input of a connection in the kernel. Reasons are combined as a bit set.
type pauseReason uint32

const (
	pausedForSetup     pauseReason = 1 << iota // input that another process has read is handled first
	pausedForMigration                         // see PauseReading
	pausedForInput                             // the input read so far is to be handled first; see ReserveInput
)

// Limits of the input that is read before the input read earlier is handled, in bytes of one connection.
const (
	maxUnhandledInput    = 32 << 10
	resumeUnhandledInput = 8 << 10 // reading goes on once no more than this is unhandled
)

// PauseReading makes the poller leave input in the kernel until ResumeReading. The poller goes on to write what waits to
// be written, and to notice when the peer closes the connection. It must be called on the poller goroutine, so that no
// input is being passed to the handler when it returns.
func (c *Conn) PauseReading() { c.pause(pausedForMigration) }

// ResumeReading ends a pause. It may be called from any goroutine.
func (c *Conn) ResumeReading() { c.resume(pausedForMigration) }

// pause adds a reason for not reading. The poller stops watching for input when it next sees some.
func (c *Conn) pause(reason pauseReason) { c.pauses.Or(uint32(reason)) }

// resume removes a reason for not reading.
func (c *Conn) resume(reason pauseReason) {
	if c.pauses.And(^uint32(reason)) == uint32(reason) {
		c.watchEvents()
	}
}

// watchEvents sets the events that the poller watches on the connection: input unless reading is paused, and the possibility to
// write while bytes wait for that. nbio (version 1.6.8) always watches for input, and sets that again after writes; then the
// poller reports input and calls this method once more.
func (c *Conn) watchEvents() {
	c.nc.Lock()
	defer c.nc.Unlock()
	c.watchesOutput = c.unwritten.Load() > 0
	c.setEvents()
}

// stopWatchingOutput ends the watch for the possibility to write that watchEvents has begun. The caller holds nbio's lock.
func (c *Conn) stopWatchingOutput() {
	if c.watchesOutput {
		c.watchesOutput = false
		c.setEvents()
	}
}

// setEvents passes the events to watch to the kernel. The caller holds nbio's lock, during which the descriptor cannot be
// closed and reused.
func (c *Conn) setEvents() {
	if closed, _ := c.nc.IsClosed(); closed {
		return
	}
	poller, err := c.engine.poller.descriptor(c.engine)
	if err != nil { // input is left in the kernel all the same, but the poller does not sleep meanwhile
		return
	}
	events := uint32(unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLRDHUP)
	if c.pauses.Load() == 0 {
		events |= unix.EPOLLIN | unix.EPOLLPRI
	}
	if c.watchesOutput {
		events |= unix.EPOLLOUT
	}
	descriptor := c.nc.Hash()
	_ = unix.EpollCtl(poller, unix.EPOLL_CTL_MOD, descriptor, &unix.EpollEvent{Fd: int32(descriptor), Events: events}) // fails only if it is not registered
}

// ReserveInput accounts for n bytes of memory that input takes until the loop has handled it. If the connection, or all
// connections together, have too much unhandled input, no more is read from the connection for now.
func (c *Conn) ReserveInput(n int) {
	c.engine.Budget.Add(membudget.UnhandledInput, int64(n))
	c.HoldInput(membudget.UnhandledInput, n)
}

// ReleaseInput releases n bytes that ReserveInput has reserved.
func (c *Conn) ReleaseInput(n int) {
	c.engine.Budget.Release(membudget.UnhandledInput, int64(n))
	c.ReleaseHeldInput(membudget.UnhandledInput, n)
}

// HoldInput is ReserveInput for input whose memory is accounted for elsewhere, as memory of a kind.
func (c *Conn) HoldInput(kind membudget.Kind, n int) {
	own := c.unhandledInput.Add(int64(n))
	if own > maxUnhandledInput || own > 0 && c.engine.isShort(kind) {
		c.pause(pausedForInput)
	}
}

// ReleaseHeldInput releases n bytes that HoldInput has recorded, and lets the poller read on if that was all, or nearly all.
func (c *Conn) ReleaseHeldInput(kind membudget.Kind, n int) {
	own := c.unhandledInput.Add(int64(-n))
	if own <= 0 || own <= resumeUnhandledInput && !c.engine.isShort(kind) {
		c.resume(pausedForInput)
	}
}

// isShort reports whether more than a third of a kind of memory is in use.
func (e *Engine) isShort(kind membudget.Kind) bool { return e.Budget.IsShort(kind) }
