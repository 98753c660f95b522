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

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"larchusher/internal/logfields"
)

// slotTimeout is how long a connection beyond the limit waits for a slot.
const slotTimeout = 100 * time.Millisecond

// Listener accepts connections on one address.
type Listener struct {
	engine     *Engine
	tcp        *net.TCPListener
	slots      *slots
	onFull     func()
	newHandler func() Handler

	accept           func() (net.Conn, error) // tests make it fail
	acceptDescriptor func(listening int) (int, error)

	once      sync.Once
	closeOnce sync.Once
	closing   chan struct{} // closed by Yield
}

// Listen accepts connections on addr, with a handler of newHandler for each. At most maxConns are open at once. For one
// beyond that onFull is called, which may close others, and it waits a moment for a slot; it is closed if none comes free.
// Both functions run on the listener's goroutine.
//
// Other processes of the same user may listen on the address by this function, too: the kernel gives each new connection to
// one of them.
func (e *Engine) Listen(addr string, maxConns int, onFull func(), newHandler func() Handler) (*Listener, error) {
	tcp, err := e.open(addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	l := e.newListener(tcp, maxConns, onFull, newHandler)
	go l.run() // one for the listener: nbio's own ends with the engine only
	return l, nil
}

// newListener returns a listener on an open socket that does not accept yet.
func (e *Engine) newListener(tcp *net.TCPListener, maxConns int, onFull func(), newHandler func() Handler) *Listener {
	return &Listener{
		engine:           e,
		tcp:              tcp,
		slots:            newSlots(maxConns),
		onFull:           onFull,
		newHandler:       newHandler,
		accept:           tcp.Accept,
		acceptDescriptor: acceptDescriptor,
		closing:          make(chan struct{}),
	}
}

// Inherit has Listen use the listening sockets of a former process, by their addresses. closeRest closes those that were not
// used.
func (e *Engine) Inherit(sockets map[string]*os.File) (closeRest func()) {
	e.inherited = sockets
	return func() {
		for addr, f := range e.inherited {
			_ = f.Close()
			delete(e.inherited, addr)
		}
	}
}

// open returns the socket for an address: that of a former process, or a new one.
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

// RawConn gives access to the listening socket.
func (l *Listener) RawConn() (syscall.RawConn, error) { return l.tcp.SyscallConn() }

// SharePort lets other processes of the same user bind the address of a socket, too. It is a net.ListenConfig's Control.
func SharePort(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}

// take has a connection served, if there is a slot for it.
func (l *Listener) take(conn net.Conn) {
	if !l.slots.take(0) {
		if l.onFull != nil {
			l.onFull()
		}
		if !l.slots.take(slotTimeout) {
			l.engine.RejectedConns.Add(1)
			_ = conn.Close()
			return
		}
	}
	l.serve(conn, nil)
}

// ReceivedChunk is what has come on a connection at a time.
type ReceivedChunk struct {
	Data []byte
	At   time.Time
}

// Adopt serves a connection of a former process, on which chunks have come before, as if it had been accepted here. It takes
// a slot even if there is none.
func (l *Listener) Adopt(conn net.Conn, pieces []ReceivedChunk) {
	if !l.slots.take(0) {
		l.slots.takeBeyondLimit()
	}
	l.serve(conn, pieces)
}

// serve has a connection, which has its slot, read and answered.
func (l *Listener) serve(conn net.Conn, pieces []ReceivedChunk) {
	limitKernelUnsent(conn)
	nc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		l.slots.free()
		l.engine.log.WithError(err).Warn(logfields.ConnTakeoverFailed)
		return
	}
	h := l.newHandler()
	c := l.engine.wrap(nc, h, l.slots.free)
	if o, ok := h.(OpenHandler); ok {
		o.OnOpened(c)
	}
	c.stopped.Store(len(pieces) > 0) // nothing is read before these
	l.engine.add(c)
	for _, p := range pieces {
		if err := h.OnBytes(c, p.Data, p.At); err != nil {
			c.CloseGracefully(err, shortLinger)
			break
		}
	}
	c.stopped.Store(false)
	if s, ok := h.(WriteReadyHandler); ok {
		s.OnReady(c)
	}
}

// Addr is the address that is listened on.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Close stops accepting; open connections stay. The kernel resets connections that wait to be accepted.
func (l *Listener) Close() { l.once.Do(func() { _ = l.tcp.Close() }) }

// CloseAfterQueued stops accepting in favour of another process that listens on the same address: all connections that wait to be
// accepted are taken first.
func (l *Listener) CloseAfterQueued() {
	l.closeOnce.Do(func() {
		close(l.closing)
		_ = l.tcp.SetDeadline(time.Unix(1, 0)) // wakes run
	})
}

func (l *Listener) isClosing() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}

// SetMaxConns sets how many connections are open at once. If more are open they stay, and none is accepted until enough have
// ended.
func (l *Listener) SetMaxConns(maxConns int) { l.slots.setLimit(maxConns) }

// slots bounds how many connections are open. It is safe for concurrent use.
type slots struct {
	mu    sync.Mutex
	limit int
	used  int
	freed chan struct{} // has an element if a slot may have come free
}

func newSlots(most int) *slots {
	return &slots{limit: max(1, most), freed: make(chan struct{}, 1)}
}

// take takes a slot, or reports false if none came free within a time.
func (s *slots) take(within time.Duration) bool {
	if s.tryTake() {
		return true
	}
	if within <= 0 {
		return false
	}
	late := time.NewTimer(within)
	defer late.Stop()
	for {
		select {
		case <-s.freed:
			if s.tryTake() {
				return true
			}
		case <-late.C:
			return s.tryTake()
		}
	}
}

func (s *slots) tryTake() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used >= s.limit {
		return false
	}
	s.used++
	return true
}

// takeBeyondLimit takes a slot beyond the most, if need be.
func (s *slots) takeBeyondLimit() {
	s.mu.Lock()
	s.used++
	s.mu.Unlock()
}

// free gives a slot back.
func (s *slots) free() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.wake()
}

func (s *slots) setLimit(most int) {
	s.mu.Lock()
	s.limit = max(1, most)
	s.mu.Unlock()
	s.wake()
}

func (s *slots) wake() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}
