// Package agentcheck answers the checks of common load balancers, HAProxy's agent-check and health over HTTP, and scrapes of
// metrics. A Checker lives on the gateway's loop.
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

// Parts of HTTP answers.
const (
	plainText         = "text/plain"
	prometheusText    = "text/plain; version=0.0.4; charset=utf-8"
	statusNotFound    = "404 Not Found"
	statusUnavailable = "503 Service Unavailable"
	statusInternal    = "500 Internal Server Error"
)

// Why connections end.
var (
	errTooLong  = errors.New("it takes too long")
	errAnswered = errors.New("answered")
	errHead     = errors.New("a head that does not end")
)

// flushPollInterval is between two looks whether an answer has been written.
const flushPollInterval = time.Millisecond

// State is what a load balancer is told.
type State struct {
	Ready    bool
	Draining bool
	Reason   string // why it is not ready; empty: not stated
	Weight   int    // in percent, of the gateway's usual share of requests
}

// Checker answers checks. Its methods run on the loop.
type Checker struct {
	Loop    *gateway.Loop
	State   func() State
	Metrics func() ([]byte, error) // nil: none
}

// agentReply words a state for HAProxy. The weight falls as the gateway sheds load.
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

// ListenAgent listens for agent checks. A client may send a line first, or nothing: the answer goes out at once, and the
// connection ends.
func (c *Checker) ListenAgent(engine *transport.Engine, addr string, most int) (*transport.Listener, error) {
	return engine.Listen(addr, most, nil, func() transport.Handler { return agent{c} })
}

// limitTime closes a connection that is still open after a while: silent ones would take the few places that there are.
func (c *Checker) limitTime(tc *transport.Conn) {
	c.Loop.Post(func() {
		c.Loop.After(transport.FirstByteTimeout, func() { tc.Close(errTooLong) })
	})
}

// closeWhenWritten ends a connection once its answer has left.
func (c *Checker) closeWhenWritten(tc *transport.Conn) {
	if tc.UnsentBytes() > 0 {
		c.Loop.After(flushPollInterval, func() { c.closeWhenWritten(tc) })
		return
	}
	tc.CloseGracefully(errAnswered, transport.LingerTime)
}

// agent is one agent-check connection.
type agent struct{ checker *Checker }

// OnOpened bounds the connection's time.
func (a agent) OnOpened(tc *transport.Conn) { a.checker.limitTime(tc) }

// OnReady answers at once.
func (a agent) OnReady(tc *transport.Conn) {
	a.checker.Loop.Post(func() {
		_ = tc.Write([]byte(a.checker.State().agentReply())) // one that fails has closed the connection
		a.checker.closeWhenWritten(tc)
	})
}

func (agent) OnBytes(*transport.Conn, []byte, time.Time) error { return nil }
func (agent) OnClosed(*transport.Conn, error)                  {}

// ListenHealth listens for GET /healthz: 200 while requests are accepted, else 503.
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
	h.buf = append(h.buf, b...)
	if len(h.buf) > maxHeadBytes {
		return errHead
	}
	if !bytes.Contains(h.buf, []byte("\r\n\r\n")) {
		return nil
	}
	h.done = true
	line, _, _ := bytes.Cut(h.buf, []byte("\r\n"))
	h.checker.Loop.Post(func() {
		status, kind, text := h.answer(line)
		body := text
		if bytes.HasPrefix(line, []byte("HEAD")) {
			body = ""
		}
		_ = tc.Write(fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
			"Cache-Control: no-store\r\nConnection: close\r\n\r\n%s", status, kind, len(text), body)) // one that fails has closed the connection
		h.checker.closeWhenWritten(tc)
	})
	return nil
}

// answer is the answer to a request line: the status, the content type and the body.
func (h *health) answer(line []byte) (status, kind, text string) {
	if h.metrics {
		return h.metricsAnswer(line)
	}
	status, kind, text = "200 OK", plainText, "up\n"
	s := h.checker.State()
	switch {
	case !asksFor(line, "/healthz"):
		status, text = statusNotFound, "GET /healthz\n"
	case s.Draining:
		status, text = statusUnavailable, "draining\n"
	case !s.Ready:
		status, text = statusUnavailable, cmp.Or(s.Reason, "down")+"\n"
	}
	return status, kind, text
}

// metricsAnswer is the answer of the listener for metrics.
func (h *health) metricsAnswer(line []byte) (status, kind, text string) {
	if !asksFor(line, "/metrics") {
		return statusNotFound, plainText, "GET /metrics\n"
	}
	b, err := h.checker.Metrics()
	if err != nil {
		return statusInternal, prometheusText, err.Error() + "\n"
	}
	return "200 OK", prometheusText, string(b)
}

// asksFor reports whether a request line reads a path.
func asksFor(line []byte, path string) bool {
	return bytes.HasPrefix(line, []byte("GET "+path+" ")) || bytes.HasPrefix(line, []byte("HEAD "+path+" "))
}

// OnClosed does nothing: nothing waits for a check's end.
func (h *health) OnClosed(*transport.Conn, error) {}
