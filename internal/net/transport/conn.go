package transport

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Memory that what has come may take until the loop has handled it, in bytes.
const (
	maxReservedPerConn  = 2 << 20
	fairReservedPerConn = 64 << 10 // that each connection may take however much all do
)

// An ended connection may still hold its descriptor for this long. Clients send again what crosses an end within 50 ms, so
// that it is read and discarded for longer than that.
const (
	// LingerTime is for a connection that ends in order.
	LingerTime = 500 * time.Millisecond
	// shortLinger is for one whose place is needed, or that sent what is at fault.
	shortLinger = 60 * time.Millisecond
	// maxDiscardedBytes closes one that goes on sending.
	maxDiscardedBytes = 1 << 20
)

// Conn is one connection. Its methods may be called from any goroutine.
type Conn struct {
	Remote string // address of the other end

	engine           *Engine
	nc               *nbio.Conn
	handler          Handler
	onDescriptorFree func()       // called once the connection holds no descriptor any more; nil: nobody waits for that
	unwritten        atomic.Int64 // bytes that wait to be written
	reservedInput    atomic.Int64 // bytes (see ReserveInput)

	ended      atomic.Bool // by this side: nothing more is taken in or written
	closed     atomic.Bool // the descriptor is closed
	reading    atomic.Bool // what has come is being handed to the handler
	stopped    atomic.Bool // nothing more is read (see StopReading)
	notifyOnce sync.Once   // of OnClosed

	discardedBytes int // the poller's: bytes that came after the end
}

// notifyClosed calls the handler's OnClosed, once.
func (c *Conn) notifyClosed(err error) { c.notifyOnce.Do(func() { c.handler.OnClosed(c, err) }) }

// PeerClosed reports whether the other end has closed the connection, as the kernel has it at this moment: what came
// before that may not have been read yet.
func (c *Conn) PeerClosed() bool {
	if c.closed.Load() {
		return true
	}
	c.nc.Lock() // while it is held, the descriptor is the connection's own
	defer c.nc.Unlock()
	if closed, _ := c.nc.IsClosed(); closed {
		return true
	}
	fds := [1]unix.PollFd{{Fd: int32(c.nc.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds[:], 0)
	const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return err == nil && n > 0 && fds[0].Revents&hungUp != 0
}

// CloseGracefully ends the connection for its handler at once, and lets its other end take everything that was written: the
// sending side is shut down behind that, what still comes is discarded, and the descriptor is closed once the other end has
// closed, too, or after linger. A close over unread bytes would send a reset, which takes away what the other end has not
// read.
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

// InputDrained reports whether nothing that the other end has sent lies unread in the kernel, nor is being handed to the
// handler at this moment.
func (c *Conn) InputDrained() bool {
	if c.closed.Load() {
		return true
	}
	return c.unread() == 0 && !c.reading.Load() // in this order: what is read meanwhile is being handed over, or has been
}

// unread is how many bytes lie unread in the kernel; 0 if that cannot be known.
func (c *Conn) unread() int {
	c.nc.Lock() // while it is held, the descriptor is the connection's own
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

// Closing reports whether CloseGracefully was called.
func (c *Conn) Closing() bool { return c.ended.Load() }

// shutdownWrite shuts the sending side down. nbio's lock is held.
func (c *Conn) shutdownWrite() { _ = unix.Shutdown(c.nc.Hash(), unix.SHUT_WR) } // it fails if the other end has reset

// ReserveInput counts bytes of memory that what has come on the connection takes until the loop has handled it. An error
// says that this is too much: a client sends more than is answered, and it piles up between the poller and the loop.
func (c *Conn) ReserveInput(n int) error {
	e, own := c.engine, c.reservedInput.Add(int64(n))
	all := e.reservedInput.Add(int64(n))
	if own > min(maxReservedPerConn, e.maxUnwritten/4) || all > e.maxUnwritten/2 && own > fairReservedPerConn {
		return fmt.Errorf("%d bytes have come and wait, and %d on all connections", own, all)
	}
	return nil
}

// ReleaseInput gives back what was reserved, also with an error.
func (c *Conn) ReleaseInput(n int) {
	c.reservedInput.Add(int64(-n))
	c.engine.reservedInput.Add(int64(-n))
}

// UnsentBytes is the number of bytes that wait to be written.
func (c *Conn) UnsentBytes() int64 { return c.unwritten.Load() }

// Close closes the connection at once; OnClosed follows, with err.
func (c *Conn) Close(err error) { _ = c.nc.CloseWithError(err) } // it fails if the connection is closed
