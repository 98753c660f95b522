package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// recordingHandler reports the opening and the closing of its connection on channels.
type recordingHandler struct {
	opened chan *Conn
	closed chan error
}

func (p recordingHandler) OnOpened(c *Conn)                     { p.opened <- c }
func (recordingHandler) OnBytes(*Conn, []byte, time.Time) error { return nil }
func (p recordingHandler) OnClosed(_ *Conn, err error)          { p.closed <- err }

// Bytes written to a closed connection do not count as waiting. They once stayed counted for good, until any client
// with an unread answer was closed because the limit seemed reached.
func TestWriteAfterCloseIsNotCounted(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(log, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	p := recordingHandler{make(chan *Conn, 1), make(chan error, 1)}
	l, err := e.Listen("127.0.0.1:0", 4, nil, func() Handler { return p })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 3 {
		client, err := dial(t, l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := <-p.opened
		_ = client.Close()
		if err, open := <-p.closed; !open {
			t.Fatal(err)
		}
		if err := c.Write(make([]byte, 100<<10)); err == nil {
			t.Error("Write on a closed connection returned no error")
		}
		if n := e.unwritten.Load(); n != 0 || c.UnsentBytes() != 0 {
			t.Errorf("after a write to a closed connection %d bytes count as waiting on all connections, %d on the closed one; want 0", n, c.UnsentBytes())
		}
	}
}

// descriptors returns the open descriptors of the process with their link targets.
func descriptors(t *testing.T) map[string]string {
	t.Helper()
	all := map[string]string{}
	names, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if what, err := os.Readlink(name); err == nil { // the descriptor of the directory listing is closed by now
			all[filepath.Base(name)] = what
		}
	}
	return all
}

// An engine without connections opens no sockets. It once opened a pair of Unix sockets, which have no address on
// systems that provide only TCP and UDP: New failed and then waited forever for a poller that had not begun to run.
// The test also checks that stopping right after the start works, and that an engine closes all of its descriptors.
func TestEngineOpensNoSocketsAndFreesDescriptors(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := func() *Engine {
		e, err := New(log, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	start().Stop() // opens the descriptors that the runtime keeps
	before := descriptors(t)
	for range 100 {
		e := start()
		for fd, what := range descriptors(t) {
			if before[fd] == "" && strings.HasPrefix(what, "socket:") {
				t.Fatalf("the engine opened descriptor %s: %s", fd, what)
			}
		}
		called := make(chan struct{})
		e.Barrier(func() { close(called) })
		<-called
		e.Stop()
	}
	if after := descriptors(t); len(after) != len(before) {
		t.Errorf("descriptors before the engines: %v, after them: %v, want the same number", before, after)
	}
}

// countingHandler counts the bytes received on its connection.
type countingHandler struct {
	recordingHandler
	mu       sync.Mutex
	received int
}

func (k *countingHandler) OnBytes(_ *Conn, b []byte, _ time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.received += len(b)
	return nil
}

// newConnPair starts an engine with one accepted connection and returns the connection, its client and its handler.
// receiveBuffer is the client's SO_RCVBUF in bytes; 0: the default.
func newConnPair(t *testing.T, receiveBuffer int) (*Engine, *Conn, *net.TCPConn, *countingHandler) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(log, 8<<20)
	if err != nil {
		t.Fatal(err)
	}
	k := &countingHandler{recordingHandler: recordingHandler{make(chan *Conn, 1), make(chan error, 1)}}
	l, err := e.Listen("127.0.0.1:0", 4, nil, func() Handler { return k })
	if err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if receiveBuffer > 0 {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			}
		})
	}}
	peer, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = peer.Close() // fails if the test has closed it
		l.Close()
		e.Stop()
	})
	c := <-k.opened
	waitFor(t, "the connection is registered with the engine", func() bool { // OnOpened runs before that
		e.connMu.Lock()
		defer e.connMu.Unlock()
		return c.nc.Session() != nil
	})
	return e, c, peer.(*net.TCPConn), k
}

// blockPoller blocks the poller goroutine until the returned function is called.
func blockPoller(e *Engine) (unblock func()) {
	blocked, release := make(chan bool), make(chan bool)
	e.Barrier(func() { close(blocked); <-release })
	<-blocked
	return sync.OnceFunc(func() { close(release) })
}

// waitFor fails the test if ok does not return true within 20 s. what names the condition.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// Checks CloseGracefully with unread input and an answer that the peer has not read completely. A plain close would reset
// the connection and lose the rest of the answer; here the peer must read all of it, and then the end of the stream.
func TestCloseGracefullyDeliversWrittenBytes(t *testing.T) {
	e, c, peer, handler := newConnPair(t, 4<<10)
	e.Barrier(func() {}) // the connection has been registered
	free := blockPoller(e)
	defer free()
	answer := make([]byte, 90<<10)
	if err := c.Write(answer); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Write([]byte("a request that crosses the shutdown")); err != nil {
		t.Fatal(err)
	}
	c.CloseGracefully(io.ErrShortBuffer, LingerTime)
	if err := <-handler.closed; err != io.ErrShortBuffer { //nolint:errorlint // the handler gets the error unwrapped
		t.Errorf("OnClosed got %v, want io.ErrShortBuffer", err)
	}
	free()
	_ = peer.SetReadDeadline(time.Now().Add(20 * time.Second))
	got, err := io.ReadAll(peer)
	if err != nil || len(got) != len(answer) {
		t.Errorf("the peer read %d of %d bytes, error %v, want all and no error", len(got), len(answer), err)
	}
	if c.Write([]byte("x")) == nil {
		t.Error("Write after CloseGracefully returned no error")
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection is closed", func() bool { return e.Lingering() == 0 })
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if handler.received != 0 {
		t.Errorf("the handler got %d bytes after CloseGracefully, want 0", handler.received)
	}
}

// Checks that CloseGracefully frees the descriptor after the linger time even if the peer keeps the connection open.
func TestCloseGracefullyClosesAfterLinger(t *testing.T) {
	e, c, peer, handler := newConnPair(t, 0)
	c.CloseGracefully(io.EOF, shortLinger)
	if err, open := <-handler.closed; !open {
		t.Fatal(err)
	}
	waitFor(t, "the connection is closed", func() bool { return e.Lingering() == 0 && e.Closed.Load() == 1 })
	_ = peer.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := peer.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
		t.Errorf("the peer read %v, want io.EOF", err)
	}
	c.CloseGracefully(io.EOF, shortLinger) // a second call has no effect
	if e.Lingering() != 0 {
		t.Error("a second CloseGracefully counts the closed connection as lingering")
	}
}

// Input that arrived before the peer closed is read completely, whatever its size. Everything beyond three reads was
// once lost, such as the end of a 240 kB answer.
func TestAllInputIsReadAfterPeerCloses(t *testing.T) {
	e, c, peer, handler := newConnPair(t, 0)
	e.Barrier(func() {})
	free := blockPoller(e)
	defer free()
	if err := c.nc.SetReadBuffer(1 << 20); err != nil { // room in the kernel for all the input and the end of the stream
		t.Fatal(err)
	}
	const sent = maxReadsInRow*readBufferSize + 8<<10
	if _, err := peer.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	if c.PeerClosed() {
		t.Error("PeerClosed is true before the peer has closed")
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "PeerClosed is true", c.PeerClosed)
	free()
	if err, open := <-handler.closed; !open {
		t.Fatal(err)
	}
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if handler.received != sent {
		t.Errorf("the handler got %d of %d bytes, want all", handler.received, sent)
	}
}

// dial connects to an address.
func dial(t *testing.T, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(t.Context(), "tcp", addr)
}

// A connection with unread input is not idle, however long ago its last handled message arrived.
func TestConnWithUnreadInputIsNotIdle(t *testing.T) {
	e, c, peer, handler := newConnPair(t, 0)
	tracker := NewConnTracker(4)
	now := time.Now()
	tracked := tracker.Add(c, now, func() bool { return false })
	tracked.Received(now, 1, false)
	release := sync.OnceFunc(blockPoller(e))
	defer release()
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the kernel has unread input", func() bool { return c.unread() > 0 })
	later := now.Add(2 * idleTimeout)
	tracker.Sweep(later, nil)
	tracker.EvictIdle(later)
	if c.Closing() {
		t.Error("a connection with unread input was closed")
	}
	release()
	waitFor(t, "the input is handled", c.InputDrained)
	tracker.Sweep(later, nil)
	if !c.Closing() {
		t.Error("an idle connection was not closed")
	}
	if err := <-handler.closed; !errors.Is(err, errIdle) {
		t.Error(err)
	}
}
