package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// probe hands on what happens on a connection.
type probe struct {
	opened chan *Conn
	closed chan error
}

func (p probe) OnOpened(c *Conn)                     { p.opened <- c }
func (probe) OnBytes(*Conn, []byte, time.Time) error { return nil }
func (p probe) OnClosed(_ *Conn, err error)          { p.closed <- err }

// What is written on a connection that has closed meanwhile does not count as waiting. It did, for good: in the end
// any client with an unread answer would have been closed for want of room.
func TestWritesAfterACloseHoldNoRoom(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(log, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	p := probe{make(chan *Conn, 1), make(chan error, 1)}
	l, err := e.Listen("127.0.0.1:0", 4, nil, func() Handler { return p })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 3 {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := <-p.opened
		_ = client.Close()
		<-p.closed
		if err := c.Write(make([]byte, 100<<10)); err == nil {
			t.Error("a closed connection can be written")
		}
		if n := e.waiting.Load(); n != 0 || c.Waiting() != 0 {
			t.Errorf("%d bytes wait on all connections, %d on a closed one", n, c.Waiting())
		}
	}
}
