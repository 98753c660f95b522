// Package transport runs TCP connections as objects with callbacks, on lesismal/nbio. It reads no protocol.
package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	pool "github.com/libp2p/go-buffer-pool"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"larchusher/internal/logfields"
)

const (
	readSize   = 64 << 10  // of the one buffer that all connections read into
	readsMost  = 3         // times that one is read in a row, before the others have their turn
	writeMost  = 10 << 20  // bytes that may wait to be written on one connection
	joinedMost = 64 << 10  // pieces up to this size are joined into one write
	unsentMost = 128 << 10 // bytes that the kernel takes ahead of what it sends, for a client

	heldMost = 2 << 20  // memory that one connection may hold (see Conn.Hold)
	heldFair = 64 << 10 // and that each may hold however much all do

	// What an ended connection may still hold its descriptor for. A message that crosses an end within 50 ms is sent
	// anew by its client, so it is read and thrown away for longer than that.
	LingerTime  = 500 * time.Millisecond
	lingerLeast = 60 * time.Millisecond // where its place is needed, or what it sent was at fault
	thrownMost  = 1 << 20               // bytes that are thrown away meanwhile: one that floods is closed
)

var (
	errEnded = errors.New("the connection has ended") // of a write
	errFlood = errors.New("it goes on sending behind the end")
)

// Handler has the callbacks of one connection. All run on the engine's poller, one at a time, and must not
// block. Bytes belong to the engine: they hold until OnBytes returns.
type Handler interface {
	OnBytes(c *Conn, b []byte, at time.Time) error // an error closes the connection
	OnClosed(c *Conn, err error)
}

// OpenHandler is a handler that is told of its connection before the first byte comes. It may not write yet.
type OpenHandler interface{ OnOpened(c *Conn) }

// WriteReadyHandler is a handler that speaks first: it is told once the connection can be written.
type WriteReadyHandler interface{ OnReady(c *Conn) }

// Engine owns the connections of a program.
type Engine struct {
	log       logrus.FieldLogger
	engine    *nbio.Engine
	most      int64        // bytes that may wait to be written on all connections
	waiting   atomic.Int64 // bytes that do
	held      atomic.Int64 // memory that all connections hold, half of most at the most
	lingering atomic.Int64 // connections that have ended and are not closed
	echo      echo
	inherited map[string]*os.File // listening sockets of a former process, by address
	poller    pollerDescriptor
	buffer    []byte     // the poller's, for reading
	handing   sync.Mutex // held while a connection is made, and taken before its parts are read

	Opened, Closed atomic.Uint64
	RejectedConns  atomic.Uint64 // connections closed because there was no place
	In, Out        atomic.Uint64 // bytes
}

// New starts an engine with one poller. It lets so many bytes wait to be written.
func New(log logrus.FieldLogger, most int) (*Engine, error) {
	logging.DefaultLogger = nbioLog{log}
	e := &Engine{log: log, most: int64(most), buffer: make([]byte, readSize)}
	e.engine = nbio.NewEngine(nbio.Config{Name: "larchusher", NPoller: 1, ReadBufferSize: 1,
		MaxWriteBufferSize: min(writeMost, most)})
	e.engine.OnRead(e.read)
	e.engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		e.Out.Add(uint64(n))
		if c := e.of(nc); c != nil {
			left := c.waiting.Add(int64(-n))
			e.waiting.Add(int64(-n))
			if left <= 0 && c.ended.Load() {
				c.shut()
			}
		}
	})
	e.engine.OnClose(func(nc *nbio.Conn, err error) {
		c := e.of(nc)
		if c == nil {
			return
		}
		e.Closed.Add(1)
		c.gone.Store(true)
		if c.ended.Load() {
			e.lingering.Add(-1)
		}
		c.settle()
		c.told(err)
		if c.left != nil {
			c.left()
		}
	})
	if err := e.engine.Start(); err != nil {
		return nil, fmt.Errorf("starting the poller: %w", err)
	}
	// Not stopped where this fails: nbio's Stop waits for ever for a poller that has not begun to run.
	if err := e.echo.open(e.engine); err != nil {
		return nil, fmt.Errorf("opening the echo: %w", err)
	}
	runs := make(chan struct{})
	e.Barrier(func() { close(runs) })
	late := time.NewTimer(echoWithin)
	defer late.Stop()
	select {
	case <-runs:
	case <-late.C:
		return nil, fmt.Errorf("the poller has not answered in %v", echoWithin)
	}
	return e, nil
}

// Stop closes every connection.
func (e *Engine) Stop() {
	e.engine.Stop()
	e.echo.close()
}

// read takes in what has come on a connection, and hands it to its handler. Of one whose other end has closed it takes
// all: nbio closes it right after. Guards against a store that closes behind a long answer, whose end was thrown away.
func (e *Engine) read(nc *nbio.Conn) {
	c := e.of(nc)
	if c == nil {
		e.echo.heard()
		return
	}
	c.reading.Store(true)
	defer c.reading.Store(false)
	for i := 0; (i < readsMost || c.PeerClosed()) && !c.stopped.Load(); i++ {
		n, err := nc.Read(e.buffer)
		if n > 0 {
			e.In.Add(uint64(n))
			if c.ended.Load() { // what crosses the end is thrown away
				if c.thrown += n; c.thrown > thrownMost {
					c.Close(errFlood)
					return
				}
				continue
			}
			if err := c.handler.OnBytes(c, e.buffer[:n], time.Now()); err != nil {
				c.CloseGracefully(err, lingerLeast)
				return
			}
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			_ = nc.CloseWithError(err)
			return
		case n < len(e.buffer): // that was all; at the end of the stream nbio closes
			return
		}
	}
}

// Conn is one connection. Write and Close may be called from any goroutine.
type Conn struct {
	Remote  string
	engine  *Engine
	nc      *nbio.Conn
	handler Handler
	waiting atomic.Int64
	held    atomic.Int64

	ended   atomic.Bool // by this side: nothing more is taken in or written
	gone    atomic.Bool // it is closed
	reading atomic.Bool // what has come is being taken in
	stopped atomic.Bool // nothing more is (see StopReading)
	closed  sync.Once   // OnClosed has been called
	thrown  int         // poller: bytes that came after that
	left    func()      // to be called once it holds no descriptor any more; nil: nobody waits for that
}

// told tells the handler, once, that the connection is over.
func (c *Conn) told(err error) { c.closed.Do(func() { c.handler.OnClosed(c, err) }) }

// PeerClosed says whether the other end has closed the connection, by the kernel's word at this moment: what has come before
// that may not have been read yet.
func (c *Conn) PeerClosed() bool {
	if c.gone.Load() {
		return true
	}
	left := false
	c.nc.Lock() // its descriptor stays its own meanwhile
	if closed, _ := c.nc.IsClosed(); closed {
		left = true
	} else {
		fds := [1]unix.PollFd{{Fd: int32(c.nc.Hash()), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		left = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
	c.nc.Unlock()
	return left
}

// CloseGracefully ends the connection for its handler, which is told so at once, and lets its other end take all that was written:
// the sending side is shut behind that, what still comes is thrown away, and the descriptor is given back once the
// other end has closed, too, or after linger. Guards against the reset that a close over unread bytes sends, which
// takes answers away that had not been read.
func (c *Conn) CloseGracefully(err error, linger time.Duration) {
	c.nc.Lock()
	closed, _ := c.nc.IsClosed()
	if closed || c.ended.Swap(true) {
		c.nc.Unlock()
		return
	}
	c.engine.lingering.Add(1)
	if c.waiting.Load() <= 0 {
		c.shut()
	}
	c.nc.Unlock()
	c.told(err)
	time.AfterFunc(linger, func() { c.Close(err) })
}

// Lingering is the number of connections that have ended, and whose other ends have not closed yet.
func (e *Engine) Lingering() int64 { return e.lingering.Load() }

// InputDrained says whether nothing that the other end has sent lies unread in the kernel, nor is just being handed to the handler.
// What the handler was handed before that is its own to know.
func (c *Conn) InputDrained() bool {
	if c.gone.Load() {
		return true
	}
	return c.unread() == 0 && !c.reading.Load() // in this order: what was read meanwhile is being handed over, or has been
}

// unread is how many bytes lie unread in the kernel.
func (c *Conn) unread() int {
	c.nc.Lock() // its descriptor stays its own meanwhile
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

// Closing says whether End was called.
func (c *Conn) Closing() bool { return c.ended.Load() }

// shut closes the sending side. nbio's lock is held: the descriptor is the connection's own.
func (c *Conn) shut() { _ = unix.Shutdown(c.nc.Hash(), unix.SHUT_WR) }

// ReserveInput notes memory that what has come on the connection takes until the loop has dealt with it, and Release that it
// has. An error says that this is too much. Guards against clients that send at full speed what is quicker to read
// than to answer: it would pile up between the poller and the loop.
func (c *Conn) ReserveInput(n int) error {
	e, own := c.engine, c.held.Add(int64(n))
	all := e.held.Add(int64(n))
	if own > min(heldMost, e.most/4) || all > e.most/2 && own > heldFair {
		return fmt.Errorf("%d bytes have come and wait, and %d on all connections", own, all)
	}
	return nil
}

// ReleaseInput gives back what was held, on an error of ReserveInput, too.
func (c *Conn) ReleaseInput(n int) {
	c.held.Add(int64(-n))
	c.engine.held.Add(int64(-n))
}

// UnsentBytes is the number of bytes that wait to be written.
func (c *Conn) UnsentBytes() int64 { return c.waiting.Load() }

// Write sends the pieces in order, and never blocks. It keeps nothing of them. If more waits than the
// engine holds, the connection is closed: its other end does not read.
func (c *Conn) Write(pieces ...[]byte) error {
	if c.ended.Load() {
		return errEnded
	}
	total := 0
	for _, p := range pieces {
		total += len(p)
	}
	if c.engine.waiting.Load()+int64(total) > c.engine.most && c.waiting.Load() > 0 {
		err := fmt.Errorf("%d bytes wait to be written, and %d on this connection",
			c.engine.waiting.Load(), c.waiting.Load())
		_ = c.nc.CloseWithError(err)
		return err
	}
	c.waiting.Add(int64(total))
	c.engine.waiting.Add(int64(total))
	// One write, one packet: a copy costs less than another system call. nbio copies what the kernel does not take.
	if len(pieces) > 1 && total <= joinedMost {
		buf := pool.Get(total)
		defer pool.Put(buf)
		joined := buf[:0]
		for _, p := range pieces {
			joined = append(joined, p...)
		}
		_, err := c.nc.Write(joined)
		return c.written(err)
	}
	// Guards against nbio's Writev, which loses what follows the piece at which the socket's buffer is full.
	for _, p := range pieces {
		if len(p) == 0 {
			continue
		}
		if _, err := c.nc.Write(p); err != nil {
			return c.written(err)
		}
	}
	return nil
}

// written settles after a write.
func (c *Conn) written(err error) error {
	if err == nil {
		return nil
	}
	c.settle() // it may have been closed before the pieces were counted
	return fmt.Errorf("writing to %s: %w", c.Remote, err)
}

// settle takes what waits off the engine's sum, once the connection is closed.
func (c *Conn) settle() { c.engine.waiting.Add(-c.waiting.Swap(0)) }

// Close ends the connection; OnClosed follows.
func (c *Conn) Close(err error) { _ = c.nc.CloseWithError(err) }

// of returns the Conn of one of nbio's. Guards against reading it half made: nbio hands connections to its poller
// through the kernel alone, which the memory model of Go knows nothing of.
func (e *Engine) of(nc *nbio.Conn) *Conn {
	e.handing.Lock()
	defer e.handing.Unlock()
	c, _ := nc.Session().(*Conn)
	return c
}

// wrap makes a Conn, and add has the poller read it. left is called once it has given its descriptor back.
func (e *Engine) wrap(nc *nbio.Conn, h Handler, left func()) *Conn {
	e.handing.Lock()
	defer e.handing.Unlock()
	c := &Conn{Remote: nc.RemoteAddr().String(), engine: e, nc: nc, handler: h, left: left}
	nc.SetSession(c)
	_ = nc.SetNoDelay(true)
	e.Opened.Add(1)
	return c
}

func (e *Engine) add(c *Conn) {
	if _, err := e.engine.AddConn(c.nc); err != nil { // OnClosed has been called
		e.log.WithError(err).Warn(logfields.ConnRegisterFailed)
	}
}

// Dial connects to addr without blocking. Either opened is called and the handler's callbacks follow, or
// failed is, and nothing ever ran.
//
// Guards against nbio's own DialAsync (1.6.8), which connects every IPv4 address as 0.0.0.0, since it takes
// the first four of the sixteen bytes that net.ResolveTCPAddr returns, and which reports a refused connection
// as an open one. The standard library's dialer takes its place: a goroutine for each connection that is
// coming up, none for a request.
func (e *Engine) Dial(addr string, timeout time.Duration, h Handler, opened func(*Conn), failed func(error)) {
	go func() {
		conn, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			failed(err)
			return
		}
		nc, err := nbio.NBConn(conn)
		if err != nil {
			_ = conn.Close()
			failed(fmt.Errorf("taking over the connection to %s: %w", addr, err))
			return
		}
		c := e.wrap(nc, h, nil)
		e.add(c) // it cannot be written before
		opened(c)
	}()
}

// nbioLog hands on what nbio logs itself. What it reports of single connections reaches their handlers anyway.
type nbioLog struct{ log logrus.FieldLogger }

// detail words one of nbio's messages as a field.
func (l nbioLog) detail(format string, v []any) logrus.FieldLogger {
	return l.log.WithField(logfields.Detail, fmt.Sprintf(format, v...))
}

func (nbioLog) SetLevel(int) {}
func (l nbioLog) Debug(format string, v ...any) {
	l.detail(format, v).Debug(logfields.PollerLibraryReported)
}
func (l nbioLog) Info(format string, v ...any) {
	l.detail(format, v).Debug(logfields.PollerLibraryReported)
}
func (l nbioLog) Warn(format string, v ...any) {
	l.detail(format, v).Warn(logfields.PollerLibraryReported)
}
func (l nbioLog) Error(format string, v ...any) {
	l.detail(format, v).Error(logfields.PollerLibraryReported)
}
