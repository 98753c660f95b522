package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// echoes sends back what comes.
type echoes struct{}

func (echoes) OnBytes(c *Conn, b []byte, _ time.Time) error { return c.Write(b) }
func (echoes) OnClosed(*Conn, error)                        {}

// testEngine is an engine that ends with its test.
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

// A listener that yields takes what the kernel has accepted for it: a close would reset that. The connections are forced to
// wait in the queue, since the one before them is held up.
func TestAListenerThatYieldsTakesItsQueue(t *testing.T) {
	e := testEngine(t)
	held, release := make(chan struct{}), make(chan struct{})
	first := true
	l, err := e.Listen("127.0.0.1:0", 100, nil, func() Handler {
		if first {
			first = false
			close(held)
			<-release
		}
		return echoes{}
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
		defer func() { _ = c.Close() }() // nothing more is wanted of it
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
		if i == 0 {
			<-held
		}
	}
	l.CloseAfterQueued()
	close(release)
	for i, c := range clients {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n != 1 {
			t.Errorf("connection %d: %v", i, err)
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := dial(t, l.Addr().String())
		if err != nil {
			break
		}
		_ = c.Close() // nothing was sent on it
		if time.Now().After(end) {
			t.Fatal("it still accepts")
		}
	}
}

// The most that are open at once can be changed while the listener runs; what is open stays.
func TestSlotsOfAListener(t *testing.T) {
	s := newSlots(3)
	for range 3 {
		if !s.take(0) {
			t.Fatal("no slot")
		}
	}
	s.setLimit(1)
	s.free()
	s.free()
	if s.take(0) {
		t.Error("a slot beyond the most")
	}
	taken := make(chan bool)
	go func() { taken <- s.take(10 * time.Second) }()
	s.free()
	if !<-taken {
		t.Error("a slot that came free is not taken")
	}
	s.setLimit(2)
	if !s.take(0) || s.take(0) {
		t.Error("one more, and no more than one")
	}
}
