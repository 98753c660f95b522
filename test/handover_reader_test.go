package test

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/fakeserver"
)

// pacedConn is a connection that reads at a limited rate.
type pacedConn struct {
	net.Conn
	bytesPerS int
}

// Read reads up to 10 ms worth of bytes, and returns after the time that they take.
func (p pacedConn) Read(b []byte) (int, error) {
	const readsPerS = 100
	b = b[:min(len(b), p.bytesPerS/readsPerS)]
	n, err := p.Conn.Read(b)
	time.Sleep(time.Duration(n) * time.Second / time.Duration(p.bytesPerS))
	return n, err
}

// Guards against answers that are cut for a client that reads slowly: its connection always has unread answers and open
// requests, as it sends the next request at each answer, and must outlive the predecessor all the same.
func TestUpgradeLosesNothingForSlowReader(t *testing.T) {
	const (
		bytesPerS  = 1_000_000
		videoBytes = 240_000
		open       = 3
		rounds     = 24 // takes some 6 s, and the predecessor ends 3.5 s after SIGTERM
		limit      = 2500 * time.Millisecond
	)
	r := newRig(t).withSharedTempDir().start()
	r.setHandler(func(a *storeRequest) {
		a.Serve("warm", fakeserver.ContentOfSize(a.Fields["name"], a.Fields["piece"], videoBytes))
	})
	c := r.client()
	if err := c.conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	c.r = bufio.NewReader(pacedConn{c.conn, bytesPerS})
	sent := 0
	send := func() {
		sent++
		c.send("images", fmt.Sprintf("%016x", sent), limit, "")
	}
	for range open {
		send()
	}
	r.startSuccessor()
	r.signal(syscall.SIGTERM)
	served, rejected := 0, 0
	for range rounds {
		switch a := c.readAnswer(); {
		case a.err == "" && len(a.body) == videoBytes:
			served++
		case a.err == "Backoff":
			rejected++
		default:
			t.Errorf("answer %d has error %q and %d bytes, want all %d bytes, or a rejection", a.id, a.err, len(a.body), videoBytes)
		}
		send()
	}
	for range open {
		c.readAnswer()
	}
	t.Logf("%d answers served, %d rejected", served, rejected)
	if served < rounds/2 {
		t.Errorf("%d of %d requests were served, want at least half of them", served, rounds)
	}
	if err := r.waitExit(); err != nil {
		t.Errorf("the predecessor exited with %v, want status 0", err)
	}
}
