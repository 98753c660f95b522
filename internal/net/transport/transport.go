// Package transport runs TCP connections with callbacks on top of lesismal/nbio. It knows no application protocol.
// Input is passed to callbacks on the single poller goroutine of an Engine, so callbacks must not block. Connections
// may be written and closed from any goroutine.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/membudget"
)

const (
	readBufferSize  = 64 << 10  // bytes of the read buffer that all connections of an engine share
	maxReadsInRow   = 3         // full reads from one connection before the poller goes on to the next
	largeInput      = 1 << 10   // bytes of a read for which it is worth a system call to see whether the peer is there
	connectionBytes = 3 << 10   // memory for the state of a connection, in this package and in its handler
	maxKernelUnsent = 128 << 10 // bytes that the kernel buffers for a client beyond those already sent
)

var (
	errConnEnded       = errors.New("write on a connection that has been closed")
	errTooMuchAfterEnd = errors.New("peer kept sending after the connection was shut down")
)

// Handler has the callbacks of one connection. OnBytes must not block. It runs on the engine's poller goroutine, and
// in Listener.Adopt for input that another process has read. Its bytes belong to the caller and are valid only until
// it returns. OnClosed is called exactly once, and no callback follows it. It may run on the goroutine that closes
// the connection.
type Handler interface {
	OnBytes(c *Conn, b []byte, at time.Time) error // an error closes the connection
	OnClosed(c *Conn, err error)
}

// OpenHandler is implemented by handlers that need a call before the first byte arrives. OnOpened must not write to
// the connection.
type OpenHandler interface{ OnOpened(c *Conn) }

// WriteReadyHandler is implemented by handlers that send before the client does. OnReady is called once the
// connection can be written.
type WriteReadyHandler interface{ OnReady(c *Conn) }

// MigrationHandler is implemented by handlers that take the input that another process has read all at once. OnMigrated is
// called in place of OnBytes for it. An error closes the connection.
type MigrationHandler interface {
	OnMigrated(c *Conn, chunks []ReceivedChunk) error
}

// ReadLimiter is implemented by handlers that bound a read from the connection. MaxReadBytes is called on the poller goroutine
// before each read.
type ReadLimiter interface{ MaxReadBytes(c *Conn) int }

// PeerBoundHandler is implemented by handlers to which input means nothing once the peer has closed the connection, since nobody
// waits for what it leads to. Large input of a closed connection is not passed to them.
type PeerBoundHandler interface{ InputNeedsPeer() }

// Engine owns the poller and all connections of a process. Its methods may be called from any goroutine, except that
// calls of Inherit and Listen must not run concurrently.
type Engine struct {
	Budget *membudget.Budget // accounts for connections, unhandled input and unwritten bytes; nil: no account; set before Listen and Dial

	log            logrus.FieldLogger
	engine         *nbio.Engine
	maxUnwritten   atomic.Int64 // limit of the bytes waiting to be written on all connections
	unwritten      atomic.Int64 // bytes waiting to be written on all connections
	lingering      atomic.Int64 // connections that were shut down and are not closed yet
	barrier        barrier
	inherited      map[string]*os.File // listening sockets of the predecessor process, by address
	acceptFailures acceptFailures
	poller         pollerDescriptor
	stale          staleDescriptors
	buffer         []byte     // read buffer, used by the poller goroutine only
	connMu         sync.Mutex // orders the setup of a Conn before its first use by the poller: nbio passes connections through the kernel only

	Opened, Closed atomic.Uint64 // connections since the start
	RejectedConns  atomic.Uint64 // connections closed because the connection limit was reached
	In, Out        atomic.Uint64 // bytes read and written
}

// New starts an engine with one poller. At most maxUnwritten bytes may wait to be written on all of its connections
// together. It returns an error if the poller does not start or does not run a first callback in time.
func New(log logrus.FieldLogger, maxUnwritten int) (*Engine, error) {
	useLog(log)
	e := &Engine{log: log, buffer: make([]byte, readBufferSize)}
	e.SetMaxUnwritten(int64(maxUnwritten))
	e.engine = nbio.NewEngine(nbio.Config{Name: "larchusher", NPoller: 1, ReadBufferSize: 1,
		MaxWriteBufferSize: min(maxUnwrittenPerConn, maxUnwritten)})
	e.engine.OnRead(e.read)
	e.engine.OnWrittenSize(e.written)
	e.engine.OnClose(e.closed)
	if err := e.engine.Start(); err != nil {
		return nil, fmt.Errorf("starting the poller: %w", err)
	}
	// The engine is not stopped on this error: nbio's Stop blocks forever if the poller goroutine has not begun to
	// run.
	if err := e.barrier.open(e.engine); err != nil {
		return nil, fmt.Errorf("opening the barrier: %w", err)
	}
	running := make(chan struct{})
	e.Barrier(func() { close(running) })
	timer := time.NewTimer(firstBarrierTimeout)
	defer timer.Stop()
	select {
	case <-running:
	case <-timer.C:
		return nil, fmt.Errorf("the poller did not run the first barrier callback within %v", firstBarrierTimeout)
	}
	return e, nil
}

// SetMaxUnwritten sets the limit of the bytes that may wait to be written on all connections together.
func (e *Engine) SetMaxUnwritten(limit int64) { e.maxUnwritten.Store(limit) }

// written accounts for n bytes that nbio has written, and shuts down the sending side of a closing connection after
// its last byte.
func (e *Engine) written(nc *nbio.Conn, _ []byte, n int) {
	e.Out.Add(uint64(n))
	c := e.connOf(nc)
	if c == nil {
		return
	}
	if left := c.addUnwritten(int64(-n)); left > 0 {
		return
	}
	c.stopWatchingOutput()
	if c.ended.Load() {
		c.shutdownWrite()
	}
}

// closed handles nbio's report that a connection has been closed: it updates the counters, notifies the handler and
// releases the connection's slot.
func (e *Engine) closed(nc *nbio.Conn, err error) {
	c := e.connOf(nc)
	if c == nil {
		return
	}
	e.Closed.Add(1)
	c.closed.Store(true)
	if c.ended.Load() {
		e.lingering.Add(-1)
	}
	c.releaseUnwritten()
	e.Budget.Release(membudget.Connections, connectionBytes)
	c.notifyClosed(err)
	if c.onDescriptorFree != nil {
		c.onDescriptorFree()
	}
}

// Lingering returns the number of connections that this side has shut down and that are not closed yet.
func (e *Engine) Lingering() int64 { return e.lingering.Load() }

// Stop stops the poller and closes all connections.
func (e *Engine) Stop() {
	e.engine.Stop()
	e.barrier.close()
}

// read reads the available bytes of a connection and passes them to its handler. If the peer has closed the
// connection, it reads everything that is left: nbio closes the connection right afterwards, and the end of a long
// answer would be lost.
func (e *Engine) read(nc *nbio.Conn) {
	c := e.connOf(nc)
	if c == nil {
		e.barrier.runCallbacks()
		return
	}
	c.reading.Store(true)
	defer c.reading.Store(false)
	if c.pauses.Load() != 0 {
		c.watchEvents()
	}
	total, maxInRow := 0, c.maxBytesInRow()
	for i := 0; (i < maxReadsInRow && total < maxInRow || c.PeerClosed()) && c.pauses.Load() == 0; i++ {
		buffer := c.readBuffer()
		n, err := nc.Read(buffer)
		total += max(0, n)
		if n > 0 {
			e.In.Add(uint64(n))
			if c.ended.Load() {
				if !c.discard(n) {
					return
				}
				continue
			}
			if c.needsPeer && n >= largeInput && c.PeerClosed() {
				return // nbio closes the connection at the end of the stream
			}
			if err := c.handler.OnBytes(c, buffer[:n], time.Now()); err != nil {
				c.CloseGracefully(err, shortLinger)
				return
			}
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			c.closeOnPoller(err)
			return
		case n < len(buffer): // nothing is left to read; nbio closes the connection at the end of the stream
			return
		}
	}
}

// maxBytesInRow returns how many bytes are read from the connection before the poller goes on to the next.
func (c *Conn) maxBytesInRow() int {
	if c.readLimiter == nil {
		return maxReadsInRow * readBufferSize
	}
	return c.readLimiter.MaxReadBytes(c)
}

// readBuffer returns the buffer for the next read: the shared one, cut to the size that the handler allows.
func (c *Conn) readBuffer() []byte {
	if c.readLimiter == nil || c.ended.Load() {
		return c.engine.buffer
	}
	return c.engine.buffer[:min(len(c.engine.buffer), max(1, c.readLimiter.MaxReadBytes(c)))]
}

// discard counts n bytes that arrived after the connection was shut down and drops them. It returns false after
// closing a connection that has sent more than maxDiscardedBytes.
func (c *Conn) discard(n int) bool {
	c.discardedBytes += n
	if c.discardedBytes > maxDiscardedBytes {
		c.closeOnPoller(errTooMuchAfterEnd)
		return false
	}
	return true
}

// connOf returns the Conn of an nbio connection, or nil if it has none (the barrier's descriptor).
func (e *Engine) connOf(nc *nbio.Conn) *Conn {
	e.connMu.Lock()
	defer e.connMu.Unlock()
	c, _ := nc.Session().(*Conn)
	return c
}

// wrap creates the Conn of an nbio connection. onDescriptorFree, which may be nil, is called once the connection's
// descriptor is closed.
func (e *Engine) wrap(nc *nbio.Conn, h Handler, onDescriptorFree func()) *Conn {
	e.connMu.Lock()
	defer e.connMu.Unlock()
	c := &Conn{Remote: nc.RemoteAddr().String(), engine: e, nc: nc, handler: h, onDescriptorFree: onDescriptorFree}
	c.readLimiter, _ = h.(ReadLimiter)
	_, c.needsPeer = h.(PeerBoundHandler)
	e.Budget.Add(membudget.Connections, connectionBytes)
	nc.SetSession(c)
	_ = nc.SetNoDelay(true) // on failure the connection only has a higher latency
	e.Opened.Add(1)
	return c
}

// add registers a connection with the poller.
func (e *Engine) add(c *Conn) {
	if _, err := e.engine.AddConn(c.nc); err != nil { // nbio has closed the connection and OnClosed has been called
		e.log.WithError(err).Warn(logfields.ConnRegisterFailed)
	}
}

// Dial connects to addr without blocking. On success it calls opened, and the handler's callbacks follow. Otherwise
// it calls failed, and the handler is never called. Both functions run on a goroutine of this dial. timeout limits
// the time until the TCP connection is established.
//
// It does not use nbio's DialAsync (version 1.6.8): that connects to 0.0.0.0 for every IPv4 address, since it takes
// the first four of the sixteen bytes that net.ResolveTCPAddr returns, and it reports a rejected connection as open.
func (e *Engine) Dial(addr string, timeout time.Duration, h Handler, opened func(*Conn), failed func(error)) {
	go func() {
		dialer := net.Dialer{Timeout: timeout}
		conn, err := dialer.DialContext(context.Background(), "tcp", addr)
		if err != nil {
			failed(err)
			return
		}
		nc, err := e.takeOver(conn)
		if err != nil {
			_ = conn.Close() // nothing has been written to it
			failed(fmt.Errorf("registering the connection to %s with the poller library: %w", addr, err))
			return
		}
		c := e.wrap(nc, h, nil)
		e.add(c) // the connection can be written only after this
		opened(c)
	}()
}
