package transport

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// How long a connection that was shut down may keep its descriptor. Clients resend a request that crosses the
// shutdown within 50 ms, so input is read and discarded for longer than that.
const (
	// LingerTime applies to connections that end in order.
	LingerTime = 500 * time.Millisecond
	// shortLinger applies to connections whose slot is needed, or which sent invalid input.
	shortLinger = 60 * time.Millisecond
	// maxDiscardedBytes is the number of discarded bytes after which the connection is closed at once.
	maxDiscardedBytes = 1 << 20
)

// Conn is one TCP connection. Its methods may be called from any goroutine.
type Conn struct {
	Remote string // address of the other end

	engine           *Engine
	nc               *nbio.Conn
	handler          Handler
	onDescriptorFree func()       // called once the descriptor is closed; may be nil
	unwritten        atomic.Int64 // bytes waiting to be written
	unhandledInput   atomic.Int64 // bytes of input that the loop has not handled, see HoldInput

	ended      atomic.Bool   // shut down by this side: input is discarded, writes fail
	closed     atomic.Bool   // the descriptor is closed
	reading    atomic.Bool   // the poller is passing input to the handler
	pauses     atomic.Uint32 // why no input is read, as a set of pauseReason; 0: it is read
	settingUp  atomic.Bool   // the listener has not finished handing the connection to its handler
	notifyOnce sync.Once     // makes OnClosed run once

	needsPeer      bool        // the handler is a PeerBoundHandler
	readLimiter    ReadLimiter // the handler, if it bounds reads; else nil
	watchesOutput  bool        // watchEvents has the poller report when the connection can be written; guarded by nbio's lock
	discardedBytes int         // bytes received after the shutdown; used by the poller only
}

// notifyClosed calls the handler's OnClosed, if it has not been called before.
func (c *Conn) notifyClosed(err error) { c.notifyOnce.Do(func() { c.handler.OnClosed(c, err) }) }

// PeerClosed reports whether the kernel has seen the peer close the connection. Input from before that may still be
// unread.
func (c *Conn) PeerClosed() bool {
	if c.closed.Load() {
		return true
	}
	c.nc.Lock() // while it is locked, the descriptor cannot be closed and reused
	defer c.nc.Unlock()
	if closed, _ := c.nc.IsClosed(); closed {
		return true
	}
	fds := [1]unix.PollFd{{Fd: int32(c.nc.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds[:], 0)
	const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return err == nil && n > 0 && fds[0].Revents&hungUp != 0
}

// CloseGracefully closes the connection without losing written bytes. The handler's OnClosed is called at once. The
// sending side is shut down after the last written byte, further input is discarded, and the descriptor is closed
// once the peer has closed, too, or after linger. A plain close with unread input would send a reset, which drops
// whatever the peer has not read yet. It does nothing on a connection that is already closed or closing.
func (c *Conn) CloseGracefully(err error, linger time.Duration) {
	c.nc.Lock()
	closed, _ := c.nc.IsClosed()
	if closed || c.ended.Swap(true) {
		c.nc.Unlock()
		return
	}
	c.engine.lingering.Add(1)
	if c.unwritten.Load() <= 0 {
		c.shutdownWrite()
	}
	c.nc.Unlock()
	c.notifyClosed(err)
	time.AfterFunc(linger, func() { c.Close(err) })
}

// InputDrained reports whether the kernel has no unread input of the connection and the poller is not passing any to
// the handler at this moment.
func (c *Conn) InputDrained() bool {
	if c.closed.Load() {
		return true
	}
	return c.unread() == 0 && !c.reading.Load() // in this order: input that leaves the kernel in between sets reading, or was handled already
}

// unread returns the number of bytes that the kernel holds unread; 0 if it cannot be determined.
func (c *Conn) unread() int {
	c.nc.Lock() // while it is locked, the descriptor cannot be closed and reused
	defer c.nc.Unlock()
	if closed, _ := c.nc.IsClosed(); closed {
		return 0
	}
	n, err := unix.IoctlGetInt(c.nc.Hash(), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// Closing reports whether CloseGracefully has shut down the connection.
func (c *Conn) Closing() bool { return c.ended.Load() }

// shutdownWrite shuts down the sending side. The caller holds nbio's lock of the connection.
func (c *Conn) shutdownWrite() { _ = unix.Shutdown(c.nc.Hash(), unix.SHUT_WR) } // fails if the peer has reset the connection

// UnsentBytes returns the number of bytes waiting to be written.
func (c *Conn) UnsentBytes() int64 { return c.unwritten.Load() }

// Close closes the connection at once. OnClosed is called with err unless it has been called before.
func (c *Conn) Close(err error) { c.engine.closeStale(c.nc, err) }

// closeOnPoller is Close for the poller goroutine while it handles an event of the connection.
func (c *Conn) closeOnPoller(err error) { _ = c.nc.CloseWithError(err) } // fails if the connection is closed already
