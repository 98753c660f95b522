// Package agentcheck answers the checks of common balancers: HAProxy's agent-check, and health over HTTP.
package agentcheck

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"time"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

// maxHeadBytes is the longest head of a health request.
const maxHeadBytes = 8 << 10

// State is what a balancer is told.
type State struct {
	Ready    bool
	Draining bool
	Reason   string // it is not ready; empty: it says nothing of that
	Weight   int    // in percent: what part of its usual share the gateway can take
}

// Checker answers checks. Its methods run on the loop.
type Checker struct {
	Loop    *gateway.Loop
	State   func() State
	Metrics func() ([]byte, error) // nil: none
}

// agentReply words a state for HAProxy: its weight falls as the gateway sheds load.
func (s State) agentReply() string {
	switch {
	case s.Draining:
		return "drain\n"
	case !s.Ready && s.Reason != "": // what follows a number sign is for people
		return "down #" + s.Reason + "\n"
	case !s.Ready:
		return "down\n"
	}
	return fmt.Sprintf("ready up %d%%\n", s.Weight)
}

// ListenAgent returns the callbacks of an agent-check connection. A client may send a line first, or nothing: the
// answer goes out at once and the connection ends, as the protocol has it.
func (c *Checker) ListenAgent(engine *transport.Engine, addr string, most int) (*transport.Listener, error) {
	return engine.Listen(addr, most, nil, func() transport.Handler { return agent{c} })
}

// limitTime ends a connection that is still there after a while. Guards against checks that hold their few places and
// say nothing: the balancer's own would find none.
func (c *Checker) limitTime(tc *transport.Conn) {
	c.Loop.Post(func() {
		c.Loop.After(transport.FirstByteTimeout, func() { tc.Close(errors.New("it takes too long")) })
	})
}

// closeWhenWritten ends a connection once its answer has left.
func (c *Checker) closeWhenWritten(tc *transport.Conn) {
	if tc.UnsentBytes() > 0 {
		c.Loop.After(time.Millisecond, func() { c.closeWhenWritten(tc) })
		return
	}
	tc.CloseGracefully(errors.New("done"), transport.LingerTime)
}

// agent is one agent-check connection.
type agent struct{ checker *Checker }

// OnOpened bounds the connection's time.
func (a agent) OnOpened(tc *transport.Conn) { a.checker.limitTime(tc) }

// OnReady answers at once.
func (a agent) OnReady(tc *transport.Conn) {
	a.checker.Loop.Post(func() {
		_ = tc.Write([]byte(a.checker.State().agentReply()))
		a.checker.closeWhenWritten(tc)
	})
}

func (agent) OnBytes(*transport.Conn, []byte, time.Time) error { return nil }
func (agent) OnClosed(*transport.Conn, error)                  {}

// ListenHealth listens for GET /healthz: 200 while requests are welcome, else 503.
func (c *Checker) ListenHealth(engine *transport.Engine, addr string, most int) (*transport.Listener, error) {
	return engine.Listen(addr, most, nil, func() transport.Handler { return &health{checker: c} })
}

// ListenMetrics listens for GET /metrics: all counters in Prometheus's text format.
func (c *Checker) ListenMetrics(engine *transport.Engine, addr string, most int) (*transport.Listener, error) {
	return engine.Listen(addr, most, nil, func() transport.Handler { return &health{checker: c, metrics: true} })
}

// health is one connection, for one request.
type health struct {
	checker *Checker
	metrics bool
	buf     []byte
	done    bool
}

// OnOpened bounds the connection's time.
func (h *health) OnOpened(tc *transport.Conn) { h.checker.limitTime(tc) }

func (h *health) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
	if h.done {
		return nil
	}
	if h.buf = append(h.buf, b...); len(h.buf) > maxHeadBytes {
		return errors.New("a head that does not end")
	}
	if !bytes.Contains(h.buf, []byte("\r\n\r\n")) {
		return nil
	}
	h.done = true
	line, _, _ := bytes.Cut(h.buf, []byte("\r\n"))
	h.checker.Loop.Post(func() {
		s, status, text := h.checker.State(), "200 OK", "up\n"
		kind := "text/plain"
		switch {
		case h.metrics && (bytes.HasPrefix(line, []byte("GET /metrics ")) || bytes.HasPrefix(line, []byte("HEAD /metrics "))):
			kind = "text/plain; version=0.0.4; charset=utf-8"
			if b, err := h.checker.Metrics(); err != nil {
				status, text = "500 Internal Server Error", err.Error()+"\n"
			} else {
				text = string(b)
			}
		case h.metrics:
			status, text = "404 Not Found", "GET /metrics\n"
		case !bytes.HasPrefix(line, []byte("GET /healthz ")) && !bytes.HasPrefix(line, []byte("HEAD /healthz ")):
			status, text = "404 Not Found", "GET /healthz\n"
		case s.Draining:
			status, text = "503 Service Unavailable", "draining\n"
		case !s.Ready:
			status, text = "503 Service Unavailable", cmp.Or(s.Reason, "down")+"\n"
		}
		body := text
		if bytes.HasPrefix(line, []byte("HEAD")) {
			body = ""
		}
		_ = tc.Write([]byte(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
			"Cache-Control: no-store\r\nConnection: close\r\n\r\n%s", status, kind, len(text), body)))
		h.checker.closeWhenWritten(tc)
	})
	return nil
}

func (h *health) OnClosed(*transport.Conn, error) {}
