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

// startService accepts watches, counts those that ask for events, and sends a comment each second. It returns its address.
func startService(t *testing.T, asked *atomic.Int64) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the test's own
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveWatch(conn, asked)
		}
	}()
	return l.Addr().String()
}

func serveWatch(conn net.Conn, asked *atomic.Int64) {
	defer func() { _ = conn.Close() }() // the client may have closed it
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_ = q.Body.Close() // it has none
	asked.Add(1)
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

// startSlowWatch watches a service behind a link on which a connection takes so long to come up, and returns the client's loop.
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
			time.AfterFunc(timeout, func() { failed(errors.New("no connection in time")) })
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

func isConnected(c *Client, loop *gateway.Loop) bool {
	answer := make(chan bool)
	loop.Post(func() { answer <- c.Connected() })
	return <-answer
}

// A service behind a link on which a connection needs over half a second was never had: each was given up before it came up.
func TestASlowConnectionIsHad(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int64
			c, loop := startSlowWatch(t, startService(t, &asked), delay)
			for end := time.Now().Add(delay + 10*time.Second); !isConnected(c, loop); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("it is not connected")
				}
			}
			time.Sleep(delay + time.Second) // the others come up, and change nothing
			if !isConnected(c, loop) || asked.Load() != 1 {
				t.Errorf("connected %v, events are asked for on %d connections", isConnected(c, loop), asked.Load())
			}
		})
	}
}
