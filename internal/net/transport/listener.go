package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"larchusher/internal/logfields"
)

// slotTimeout is how long a new connection above the limit waits for a slot before it is closed.
const slotTimeout = 100 * time.Millisecond

// Listener accepts connections on one address.
type Listener struct {
	engine     *Engine
	tcp        *net.TCPListener
	slots      *slots
	onFull     func()
	newHandler func() Handler

	accept           func() (net.Conn, error) // replaced in tests to make accepts fail
	acceptDescriptor func(listening int) (int, error)

	once      sync.Once
	drainOnce sync.Once
	draining  chan struct{} // closed by CloseAfterQueued
}

// Listen accepts connections on addr and creates a handler with newHandler for each. At most maxConns are open at
// once. For a connection above the limit, onFull (which may be nil) is called, more than once, so that it can close others; the
// connection is closed if no slot becomes free within slotTimeout. Both functions run on the listener's goroutine.
//
// Other processes of the same user may listen on the same address through this function: the kernel gives each new
// connection to one of them (SO_REUSEPORT).
func (e *Engine) Listen(addr string, maxConns int, onFull func(), newHandler func() Handler) (*Listener, error) {
	tcp, err := e.open(addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	l := e.newListener(tcp, maxConns, onFull, newHandler)
	go l.run() // its own accept loop: nbio's can be stopped only together with the engine
	return l, nil
}

// newListener returns a listener on an open socket. The caller starts its accept loop.
func (e *Engine) newListener(tcp *net.TCPListener, maxConns int, onFull func(), newHandler func() Handler) *Listener {
	return &Listener{
		engine:           e,
		tcp:              tcp,
		slots:            newSlots(maxConns),
		onFull:           onFull,
		newHandler:       newHandler,
		accept:           tcp.Accept,
		acceptDescriptor: acceptDescriptor,
		draining:         make(chan struct{}),
	}
}

// Inherit makes Listen use the listening sockets of a predecessor process, keyed by address. closeRest closes those
// that Listen has not used. Inherit must be called before Listen.
func (e *Engine) Inherit(sockets map[string]*os.File) (closeRest func()) {
	e.inherited = sockets
	return func() {
		for addr, f := range e.inherited {
			_ = f.Close()
			delete(e.inherited, addr)
		}
	}
}

// open returns the listening socket for an address: the inherited one, or a new one.
func (e *Engine) open(addr string) (*net.TCPListener, error) {
	if file := e.inherited[addr]; file != nil {
		delete(e.inherited, addr)
		open, err := net.FileListener(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		if tcp, ok := open.(*net.TCPListener); ok {
			return tcp, nil
		}
		_ = open.Close()
	}
	cfg := net.ListenConfig{Control: SharePort}
	open, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return open.(*net.TCPListener), nil
}

// RawConn returns access to the listening socket.
func (l *Listener) RawConn() (syscall.RawConn, error) { return l.tcp.SyscallConn() }

// SharePort lets other processes of the same user bind the same address (SO_REUSEPORT). It is meant as the Control
// function of a net.ListenConfig.
func SharePort(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, setErr)
}

// serveOrReject serves a connection if a slot is free or becomes free within slotTimeout, and closes it otherwise.
func (l *Listener) serveOrReject(conn net.Conn) {
	if !l.slots.acquire(0) && !l.freeSlot() {
		l.engine.RejectedConns.Add(1)
		_ = conn.Close()
		return
	}
	l.serve(conn, nil)
}

// freeSlot calls onFull, more than once since a connection that cannot be closed now may be soon, until there is a slot or
// slotTimeout has passed. It reports whether it got a slot.
func (l *Listener) freeSlot() bool {
	const calls = 4
	for range calls {
		if l.onFull != nil {
			l.onFull()
		}
		if l.slots.acquire(slotTimeout / calls) {
			return true
		}
	}
	return false
}

// ReceivedChunk is input that was read from a connection at one time.
type ReceivedChunk struct {
	Data []byte
	At   time.Time
}

// Adopt serves a connection that was migrated from another process. chunks are input that process has read without
// handling it; they are passed to the handler first. The connection takes a slot even if the limit is reached.
func (l *Listener) Adopt(conn net.Conn, chunks []ReceivedChunk) {
	if !l.slots.acquire(0) {
		l.slots.acquireBeyondLimit()
	}
	l.serve(conn, chunks)
}

// serve registers a connection, which already has a slot, with a new handler and passes it the chunks.
func (l *Listener) serve(conn net.Conn, chunks []ReceivedChunk) {
	limitKernelUnsent(conn)
	nc, err := l.engine.takeOver(conn)
	if err != nil {
		_ = conn.Close()
		l.slots.release()
		l.engine.log.WithError(err).Warn(logfields.ConnTakeoverFailed)
		return
	}
	h := l.newHandler()
	c := l.engine.wrap(nc, h, l.slots.release)
	c.settingUp.Store(true)
	if o, ok := h.(OpenHandler); ok {
		o.OnOpened(c)
	}
	if len(chunks) > 0 { // nothing is read from the socket before the chunks are handled
		c.pause(pausedForSetup)
	}
	l.engine.add(c)
	if err := passChunks(h, c, chunks); err != nil {
		c.CloseGracefully(err, shortLinger)
	}
	c.resume(pausedForSetup)
	c.settingUp.Store(false)
	if s, ok := h.(WriteReadyHandler); ok {
		s.OnReady(c)
	}
}

// passChunks passes input that another process has read to a handler.
func passChunks(h Handler, c *Conn, chunks []ReceivedChunk) error {
	if m, ok := h.(MigrationHandler); ok && len(chunks) > 0 {
		return m.OnMigrated(c, chunks)
	}
	for _, p := range chunks {
		if err := h.OnBytes(c, p.Data, p.At); err != nil {
			return err
		}
	}
	return nil
}

// Addr returns the address of the listening socket.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Close stops accepting. Open connections stay open; the kernel resets connections in the accept queue.
func (l *Listener) Close() { l.once.Do(func() { _ = l.tcp.Close() }) }

// CloseAfterQueued stops accepting in favor of another process that listens on the same address. Connections in the
// accept queue are accepted and served first. It returns without waiting for that.
func (l *Listener) CloseAfterQueued() {
	l.drainOnce.Do(func() {
		close(l.draining)
		_ = l.tcp.SetDeadline(time.Unix(1, 0)) // makes the pending accept fail
	})
}

func (l *Listener) isDraining() bool {
	select {
	case <-l.draining:
		return true
	default:
		return false
	}
}

// SetMaxConns sets how many connections may be open at once. If more are open they stay open, and new ones are
// rejected until enough have closed.
func (l *Listener) SetMaxConns(maxConns int) { l.slots.setLimit(maxConns) }

// slots limits how many connections are open. It is safe for concurrent use.
type slots struct {
	mu       sync.Mutex
	limit    int
	used     int
	released chan struct{} // has an element if a slot may have become free
}

func newSlots(limit int) *slots {
	return &slots{limit: max(1, limit), released: make(chan struct{}, 1)}
}

// acquire takes a slot, waiting up to timeout for one. It reports whether it got one.
func (s *slots) acquire(timeout time.Duration) bool {
	if s.tryAcquire() {
		return true
	}
	if timeout <= 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-s.released:
			if s.tryAcquire() {
				return true
			}
		case <-timer.C:
			return s.tryAcquire()
		}
	}
}

func (s *slots) tryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used >= s.limit {
		return false
	}
	s.used++
	return true
}

// acquireBeyondLimit takes a slot even if the limit is reached.
func (s *slots) acquireBeyondLimit() {
	s.mu.Lock()
	s.used++
	s.mu.Unlock()
}

// release returns a slot.
func (s *slots) release() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.wake()
}

func (s *slots) setLimit(limit int) {
	s.mu.Lock()
	s.limit = max(1, limit)
	s.mu.Unlock()
	s.wake()
}

func (s *slots) wake() {
	select {
	case s.released <- struct{}{}:
	default:
	}
}
