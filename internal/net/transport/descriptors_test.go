package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// blockingHandler writes its input back. The poller blocks on an input of blockInput.
type blockingHandler struct {
	opened  chan *Conn
	blocked chan bool
	release chan bool
}

var blockInput = []byte("block")

func (h blockingHandler) OnOpened(c *Conn) { h.opened <- c }
func (h blockingHandler) OnBytes(c *Conn, b []byte, _ time.Time) error {
	if bytes.Equal(b, blockInput) {
		close(h.blocked)
		<-h.release
		return nil
	}
	return c.Write(b)
}
func (blockingHandler) OnClosed(*Conn, error) {}

// connect opens a connection and returns both of its ends once the poller watches it.
func (h blockingHandler) connect(t *testing.T, l *Listener) (net.Conn, *Conn) {
	t.Helper()
	client, err := dial(t, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // fails if the test has closed it
	c := <-h.opened
	waitFor(t, "the connection is set up", func() bool { return !c.SettingUp() })
	return client, c
}

// closeWhileEventsWait makes the poller fetch the events of conns connections that their peers have closed, and has end close the connections
// from another goroutine before the poller handles the events. The poller waits for release.
func (h blockingHandler) closeWhileEventsWait(t *testing.T, l *Listener, conns int, end func(*Conn)) {
	t.Helper()
	blocker, blocking := h.connect(t, l)
	var peers []net.Conn
	var old []*Conn
	for range conns {
		peer, c := h.connect(t, l)
		peers, old = append(peers, peer), append(old, c)
	}
	unblock := blockPoller(l.engine)
	if _, err := blocker.Write(blockInput); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the blocking input has arrived", func() bool { return !blocking.InputDrained() })
	for i, peer := range peers {
		_ = peer.Close()
		waitFor(t, "the kernel has seen the close", old[i].PeerClosed)
	}
	unblock()
	<-h.blocked // all events are fetched, those of the old connections are not handled
	for _, c := range old {
		end(c)
	}
}

// exchange sends a byte and waits for its echo.
func exchange(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against closing new connections for events of old ones with the same descriptors: the poller has fetched that the peers of the old
// ones are gone, another goroutine closes them, and the new ones get their numbers before the poller handles what it has fetched.
func TestNewConnectionsOutliveEventsOfOldOnes(t *testing.T) {
	const conns = 12
	for name, end := range map[string]func(*Conn){
		"closed by another goroutine": func(c *Conn) { c.Close(errors.New("superseded")) },
		"closed by a failed write": func(c *Conn) {
			for c.Write([]byte("answer")) == nil { // the first one may be sent before the peer's reset arrives
				time.Sleep(time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := testEngine(t)
			handler := blockingHandler{make(chan *Conn, 1), make(chan bool), make(chan bool)}
			l, err := e.Listen("127.0.0.1:0", 3*conns, nil, func() Handler { return handler })
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			handler.closeWhileEventsWait(t, l, conns, end)
			var clients []net.Conn
			for range conns {
				client, _ := handler.connect(t, l)
				clients = append(clients, client)
			}
			close(handler.release)
			for i, client := range clients {
				if err := exchange(client); err != nil {
					t.Errorf("new connection %d: %v", i, err)
				}
			}
			waitFor(t, "no descriptor is held to be stale", func() bool { return e.stale.closes.Empty() })
		})
	}
}
