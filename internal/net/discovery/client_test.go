package discovery

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

// startService starts a service that sends a comment every second, and counts the requests for events. It returns its
// address.
func startService(t *testing.T, requests *atomic.Int64) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // no other user
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveWatch(conn, requests)
		}
	}()
	return l.Addr().String()
}

// serveWatch answers one connection until the client closes it.
func serveWatch(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }() // fails if the client has closed it
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_ = q.Body.Close() // the request has no body
	requests.Add(1)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(conn, ": here\n\n"); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// startSlowWatch watches a service through a dialer that needs the given delay to connect, and returns the client and
// its loop.
func startSlowWatch(t *testing.T, addr string, delay time.Duration) (*Client, *gateway.Loop) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine, err := transport.New(log, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	loop := gateway.NewLoop()
	slow := func(addr string, timeout time.Duration, h transport.Handler, opened func(*transport.Conn), failed func(error)) {
		if timeout < delay {
			time.AfterFunc(timeout, func() { failed(errors.New("connect timeout")) })
			return
		}
		time.AfterFunc(delay, func() { engine.Dial(addr, timeout-delay, h, opened, failed) })
	}
	c := &Client{loop: loop, dial: slow, log: log, addr: addr, backoff: minBackoff}
	loop.Post(c.start)
	go loop.Run()
	t.Cleanup(func() { loop.Close(); engine.Stop() })
	return c, loop
}

// isConnected calls Connected on the loop.
func isConnected(c *Client, loop *gateway.Loop) bool {
	answer := make(chan bool)
	loop.Post(func() { answer <- c.isConnected() })
	return <-answer
}

// Guards against a client that never connected to a service behind a slow link: each connection was dropped after
// half a second, before it was established.
func TestSlowConnectionIsUsed(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			c, loop := startSlowWatch(t, startService(t, &requests), delay)
			for end := time.Now().Add(delay + 10*time.Second); !isConnected(c, loop); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the client is not connected in time")
				}
			}
			time.Sleep(delay + time.Second) // the other connections are established and must be closed
			if !isConnected(c, loop) || requests.Load() != 1 {
				t.Errorf("connected %v, events requested on %d connections, want true and 1", isConnected(c, loop), requests.Load())
			}
		})
	}
}
