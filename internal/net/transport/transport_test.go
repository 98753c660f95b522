package transport

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
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

// descriptors are the program's, each with what it stands for.
func descriptors(t *testing.T) map[string]string {
	t.Helper()
	all := map[string]string{}
	names, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if what, err := os.Readlink(name); err == nil { // the folder's own has gone
			all[filepath.Base(name)] = what
		}
	}
	return all
}

// An engine with no connection holds no socket. It held a pair of Unix sockets, which have no name where only TCP and
// UDP are served: New failed, and then waited for ever for a poller that had not begun to run. All it holds it gives
// back, and stopping right after the start ends.
func TestAnEngineStartsWithoutSocketsAndStopsAtOnce(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := func() *Engine {
		e, err := New(log, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	start().Stop() // what the runtime opens once
	before := descriptors(t)
	for range 100 {
		e := start()
		for fd, what := range descriptors(t) {
			if before[fd] == "" && strings.HasPrefix(what, "socket:") {
				t.Fatalf("descriptor %s is a %s", fd, what)
			}
		}
		heard := make(chan struct{})
		e.Echo(func() { close(heard) })
		<-heard
		e.Stop()
	}
	if after := descriptors(t); len(after) != len(before) {
		t.Errorf("descriptors before: %v, after: %v", before, after)
	}
}
