package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// echoHandler writes its input back.
type echoHandler struct{}

func (echoHandler) OnBytes(c *Conn, b []byte, _ time.Time) error { return c.Write(b) }
func (echoHandler) OnClosed(*Conn, error)                        {}

// testEngine starts an engine that is stopped at the end of the test.
func testEngine(t *testing.T) *Engine {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(log, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// CloseAfterQueued serves the connections in the accept queue; closing the socket would reset them. The first
// connection's handler blocks the accept loop, so the others stay in the queue.
func TestCloseAfterQueuedServesQueuedConnections(t *testing.T) {
	e := testEngine(t)
	blocked, release := make(chan struct{}), make(chan struct{})
	first := true
	l, err := e.Listen("127.0.0.1:0", 100, nil, func() Handler {
		if first {
			first = false
			close(blocked)
			<-release
		}
		return echoHandler{}
	})
	if err != nil {
		t.Fatal(err)
	}
	var clients []net.Conn
	for i := range 30 {
		c, err := dial(t, l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }() // no further data is expected
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
		if i == 0 {
			<-blocked
		}
	}
	l.CloseAfterQueued()
	close(release)
	for i, c := range clients {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n != 1 {
			t.Errorf("connection %d got no echo: %v, want one byte", i, err)
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := dial(t, l.Addr().String())
		if err != nil {
			break
		}
		_ = c.Close() // nothing has been sent on it
		if time.Now().After(end) {
			t.Fatal("the listener still accepts 10 s after CloseAfterQueued")
		}
	}
}

// The connection limit can change while the listener runs; open connections stay open.
func TestSlotLimitCanChange(t *testing.T) {
	s := newSlots(3)
	for range 3 {
		if !s.acquire(0) {
			t.Fatal("no slot below the limit")
		}
	}
	s.setLimit(1)
	s.release()
	s.release()
	if s.acquire(0) {
		t.Error("got a slot above the lowered limit")
	}
	acquired := make(chan bool)
	go func() { acquired <- s.acquire(10 * time.Second) }()
	s.release()
	if !<-acquired {
		t.Error("a waiting acquire did not get the released slot")
	}
	s.setLimit(2)
	if !s.acquire(0) || s.acquire(0) {
		t.Error("raising the limit by one did not give exactly one more slot")
	}
}
