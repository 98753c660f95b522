// Package transport runs TCP connections as objects with callbacks, on lesismal/nbio. It reads no protocol. Callbacks run on
// the one poller goroutine of an Engine and must not block; connections may be written and closed from any goroutine.
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
	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
)

const (
	readBufferSize  = 64 << 10  // bytes of the one buffer that all connections are read into
	maxReadsInRow   = 3         // times that one is read before the others have their turn
	maxKernelUnsent = 128 << 10 // bytes that the kernel takes ahead of what it has sent to a client
)

var (
	errConnEnded       = errors.New("the connection has ended") // of a write
	errTooMuchAfterEnd = errors.New("it goes on sending behind the end")
)

// Handler has the callbacks of one connection. OnBytes runs on the engine's poller and must not block; its bytes belong to
// the engine, and hold until it returns. OnClosed is called once, and nothing after it; it may run on the goroutine that
// ends the connection.
type Handler interface {
	OnBytes(c *Conn, b []byte, at time.Time) error // an error closes the connection
	OnClosed(c *Conn, err error)
}

// OpenHandler is a handler whose OnOpened is called before the first byte comes. It must not write yet.
type OpenHandler interface{ OnOpened(c *Conn) }

// WriteReadyHandler is a handler that writes first: OnReady is called once the connection can be written.
type WriteReadyHandler interface{ OnReady(c *Conn) }

// Engine owns the connections of a program.
type Engine struct {
	log            logrus.FieldLogger
	engine         *nbio.Engine
	maxUnwritten   int64        // bytes that may wait to be written on all connections
	unwritten      atomic.Int64 // bytes that do
	reservedInput  atomic.Int64 // bytes (see Conn.ReserveInput), at most half of maxUnwritten
	lingering      atomic.Int64 // connections that have ended and are not closed
	barrier        barrier
	inherited      map[string]*os.File // listening sockets of a former process, by address
	acceptFailures acceptFailures
	poller         pollerDescriptor
	buffer         []byte     // the poller's, for reading
	connMu         sync.Mutex // makes a Conn visible to the poller completely: nbio hands connections over through the kernel alone

	Opened, Closed atomic.Uint64 // connections
	RejectedConns  atomic.Uint64 // connections closed since there was no place
	In, Out        atomic.Uint64 // bytes
}

// New starts an engine with one poller, on which at most maxUnwritten bytes may wait to be written.
func New(log logrus.FieldLogger, maxUnwritten int) (*Engine, error) {
	logging.DefaultLogger = nbioLog{log}
	e := &Engine{log: log, maxUnwritten: int64(maxUnwritten), buffer: make([]byte, readBufferSize)}
	e.engine = nbio.NewEngine(nbio.Config{Name: "larchusher", NPoller: 1, ReadBufferSize: 1,
		MaxWriteBufferSize: min(maxUnwrittenPerConn, maxUnwritten)})
	e.engine.OnRead(e.read)
	e.engine.OnWrittenSize(e.written)
	e.engine.OnClose(e.closed)
	if err := e.engine.Start(); err != nil {
		return nil, fmt.Errorf("starting the poller: %w", err)
	}
	// The poller is not stopped where this fails: nbio's Stop waits for ever for one that has not begun to run.
	if err := e.barrier.open(e.engine); err != nil {
		return nil, fmt.Errorf("opening the barrier: %w", err)
	}
	runs := make(chan struct{})
	e.Barrier(func() { close(runs) })
	late := time.NewTimer(firstBarrierTimeout)
	defer late.Stop()
	select {
	case <-runs:
	case <-late.C:
		return nil, fmt.Errorf("the poller has not answered in %v", firstBarrierTimeout)
	}
	return e, nil
}

// written counts bytes that nbio has written.
func (e *Engine) written(nc *nbio.Conn, _ []byte, n int) {
	e.Out.Add(uint64(n))
	c := e.connOf(nc)
	if c == nil {
		return
	}
	left := c.unwritten.Add(int64(-n))
	e.unwritten.Add(int64(-n))
	if left <= 0 && c.ended.Load() {
		c.shutdownWrite()
	}
}

// closed settles a connection that nbio has closed.
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
	c.notifyClosed(err)
	if c.onDescriptorFree != nil {
		c.onDescriptorFree()
	}
}

// Lingering is the number of connections that have ended, and whose other ends have not closed yet.
func (e *Engine) Lingering() int64 { return e.lingering.Load() }

// Stop closes every connection.
func (e *Engine) Stop() {
	e.engine.Stop()
	e.barrier.close()
}

// read reads what has come on a connection, and hands it to its handler. If the other end has closed it reads everything:
// nbio closes the connection right after, and the end of a long answer would be lost.
func (e *Engine) read(nc *nbio.Conn) {
	c := e.connOf(nc)
	if c == nil {
		e.barrier.passed()
		return
	}
	c.reading.Store(true)
	defer c.reading.Store(false)
	for i := 0; (i < maxReadsInRow || c.PeerClosed()) && !c.stopped.Load(); i++ {
		n, err := nc.Read(e.buffer)
		if n > 0 {
			e.In.Add(uint64(n))
			if c.ended.Load() {
				if !c.discard(n) {
					return
				}
				continue
			}
			if err := c.handler.OnBytes(c, e.buffer[:n], time.Now()); err != nil {
				c.CloseGracefully(err, shortLinger)
				return
			}
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			c.Close(err)
			return
		case n < len(e.buffer): // that was all; at the end of the stream nbio closes
			return
		}
	}
}

// discard discards bytes that came behind the end, and reports false once it has closed the connection for them.
func (c *Conn) discard(n int) bool {
	c.discardedBytes += n
	if c.discardedBytes > maxDiscardedBytes {
		c.Close(errTooMuchAfterEnd)
		return false
	}
	return true
}

// connOf returns the Conn of one of nbio's connections; nil: it has none.
func (e *Engine) connOf(nc *nbio.Conn) *Conn {
	e.connMu.Lock()
	defer e.connMu.Unlock()
	c, _ := nc.Session().(*Conn)
	return c
}

// wrap makes a Conn. onDescriptorFree is called once it holds no descriptor any more; nil: nobody waits for that.
func (e *Engine) wrap(nc *nbio.Conn, h Handler, onDescriptorFree func()) *Conn {
	e.connMu.Lock()
	defer e.connMu.Unlock()
	c := &Conn{Remote: nc.RemoteAddr().String(), engine: e, nc: nc, handler: h, onDescriptorFree: onDescriptorFree}
	nc.SetSession(c)
	_ = nc.SetNoDelay(true) // without it the connection is slower, no more
	e.Opened.Add(1)
	return c
}

// add has the poller read a connection.
func (e *Engine) add(c *Conn) {
	if _, err := e.engine.AddConn(c.nc); err != nil { // OnClosed has been called
		e.log.WithError(err).Warn(logfields.ConnRegisterFailed)
	}
}

// Dial connects to addr without blocking. Either opened is called, and the handler's callbacks follow, or failed is, and the
// handler is never called. Both run on a goroutine of the dial's own.
//
// It does not use nbio's DialAsync (1.6.8), which connects every IPv4 address as 0.0.0.0, since it takes the first four of
// the sixteen bytes that net.ResolveTCPAddr returns, and which reports a connection that was rejected as open.
func (e *Engine) Dial(addr string, timeout time.Duration, h Handler, opened func(*Conn), failed func(error)) {
	go func() {
		dialer := net.Dialer{Timeout: timeout}
		conn, err := dialer.DialContext(context.Background(), "tcp", addr)
		if err != nil {
			failed(err)
			return
		}
		nc, err := nbio.NBConn(conn)
		if err != nil {
			_ = conn.Close() // nothing was written to it
			failed(fmt.Errorf("taking over the connection to %s: %w", addr, err))
			return
		}
		c := e.wrap(nc, h, nil)
		e.add(c) // it cannot be written before
		opened(c)
	}()
}

// nbioLog hands on what nbio warns of. Its other messages are about single connections, whose handlers hear of them anyway.
type nbioLog struct{ log logrus.FieldLogger }

func (nbioLog) SetLevel(int)         {}
func (nbioLog) Debug(string, ...any) {}
func (nbioLog) Info(string, ...any)  {}
func (l nbioLog) Warn(format string, v ...any) {
	l.log.WithField(logfields.Detail, fmt.Sprintf(format, v...)).Warn(logfields.PollerLibraryReported)
}
func (l nbioLog) Error(format string, v ...any) {
	l.log.WithField(logfields.Detail, fmt.Sprintf(format, v...)).Error(logfields.PollerLibraryReported)
}
