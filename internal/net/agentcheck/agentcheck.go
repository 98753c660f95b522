// Package agentcheck answers the checks of common load balancers (HAProxy's agent-check and health checks over HTTP)
// and scrapes of metrics. A Checker is used on the gateway's loop.
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

// maxHeadBytes is the longest head of an HTTP request, in bytes.
const maxHeadBytes = 8 << 10

// maxReadBytes is the length of a read, in bytes: most heads are shorter.
const maxReadBytes = 1 << 10

// Content types and status lines of HTTP answers.
const (
	plainText         = "text/plain"
	prometheusText    = "text/plain; version=0.0.4; charset=utf-8"
	statusNotFound    = "404 Not Found"
	statusUnavailable = "503 Service Unavailable"
	statusInternal    = "500 Internal Server Error"
)

// Reasons for closing a connection.
var (
	errTimeout     = errors.New("check not finished in time")
	errAnswered    = errors.New("answered")
	errHeadTooLong = errors.New("request head is too long")
)

// flushPollInterval is the interval between checks whether an answer has been written.
const flushPollInterval = time.Millisecond

// State is the state of the gateway that load balancers are informed of.
type State struct {
	Ready    bool
	Draining bool
	Reason   string // why the gateway is not ready; empty: not stated
	Weight   int    // percentage of the gateway's usual share of requests
}

// Checker answers checks. Its functions and unexported methods run on the loop; the Listen methods need not.
type Checker struct {
	Loop    *gateway.Loop
	State   func() State
	Metrics func() ([]byte, error) // returns the metrics in Prometheus's text format; nil if ListenMetrics is not used
}

// agentReply returns HAProxy's agent-check reply for a state. The weight falls as the gateway sheds load.
func (s State) agentReply() string {
	switch {
	case s.Draining:
		return "drain\n"
	case !s.Ready && s.Reason != "": // HAProxy shows the text after the number sign to operators
		return "down #" + s.Reason + "\n"
	case !s.Ready:
		return "down\n"
	}
	return fmt.Sprintf("ready up %d%%\n", s.Weight)
}

// ListenAgent listens for agent checks on addr, with at most maxConns connections. It answers without waiting for
// input, which clients may send, and closes the connection.
func (c *Checker) ListenAgent(engine *transport.Engine, addr string, maxConns int) (*transport.Listener, error) {
	return engine.Listen(addr, maxConns, nil, func() transport.Handler { return agent{c} })
}

// closeAfterTimeout closes a connection that is still open after transport.FirstByteTimeout: idle ones would use up
// the few slots.
func (c *Checker) closeAfterTimeout(tc *transport.Conn) {
	c.Loop.Post(func() {
		c.Loop.After(transport.FirstByteTimeout, func() { tc.Close(errTimeout) })
	})
}

// closeWhenWritten closes a connection once its answer has been written.
func (c *Checker) closeWhenWritten(tc *transport.Conn) {
	if tc.UnsentBytes() > 0 {
		c.Loop.After(flushPollInterval, func() { c.closeWhenWritten(tc) })
		return
	}
	tc.CloseGracefully(errAnswered, transport.LingerTime)
}

// agent is the handler of one agent-check connection.
type agent struct{ checker *Checker }

// OnOpened limits the lifetime of the connection.
func (a agent) OnOpened(tc *transport.Conn) { a.checker.closeAfterTimeout(tc) }

// OnReady sends the reply at once.
func (a agent) OnReady(tc *transport.Conn) {
	a.checker.Loop.Post(func() {
		_ = tc.Write([]byte(a.checker.State().agentReply())) // a failed write has closed the connection
		a.checker.closeWhenWritten(tc)
	})
}

func (agent) OnBytes(*transport.Conn, []byte, time.Time) error { return nil }
func (agent) OnClosed(*transport.Conn, error)                  {}

// ListenHealth listens for GET /healthz on addr, with at most maxConns connections. The status is 200 while requests
// are accepted, else 503.
func (c *Checker) ListenHealth(engine *transport.Engine, addr string, maxConns int) (*transport.Listener, error) {
	return engine.Listen(addr, maxConns, nil, func() transport.Handler { return &health{checker: c} })
}

// ListenMetrics listens for GET /metrics on addr, with at most maxConns connections. The answer has all metrics in
// Prometheus's text format.
func (c *Checker) ListenMetrics(engine *transport.Engine, addr string, maxConns int) (*transport.Listener, error) {
	return engine.Listen(addr, maxConns, nil, func() transport.Handler { return &health{checker: c, metrics: true} })
}

// health is the handler of one HTTP connection, which serves one request.
type health struct {
	checker *Checker
	metrics bool
	buf     []byte
	done    bool
}

// OnOpened limits the lifetime of the connection.
func (h *health) OnOpened(tc *transport.Conn) { h.checker.closeAfterTimeout(tc) }

// MaxReadBytes bounds the next read to what a head needs.
func (h *health) MaxReadBytes(*transport.Conn) int { return maxReadBytes }

// OnBytes answers the request once its head is complete. It ignores whatever follows.
func (h *health) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
	if h.done {
		return nil
	}
	h.buf = append(h.buf, b...)
	if len(h.buf) > maxHeadBytes {
		return errHeadTooLong
	}
	if !bytes.Contains(h.buf, []byte("\r\n\r\n")) {
		return nil
	}
	h.done = true
	line, _, _ := bytes.Cut(h.buf, []byte("\r\n"))
	h.checker.Loop.Post(func() {
		status, contentType, text := h.answer(line)
		body := text
		if bytes.HasPrefix(line, []byte("HEAD ")) {
			body = ""
		}
		_ = tc.Write(fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
			"Cache-Control: no-store\r\nConnection: close\r\n\r\n%s", status, contentType, len(text), body)) // a failed write has closed the connection
		h.checker.closeWhenWritten(tc)
	})
	return nil
}

// answer returns the status, the content type and the body for a request line.
func (h *health) answer(line []byte) (status, contentType, text string) {
	if h.metrics {
		return h.metricsAnswer(line)
	}
	status, contentType, text = "200 OK", plainText, "up\n"
	s := h.checker.State()
	switch {
	case !requestsPath(line, "/healthz"):
		status, text = statusNotFound, "GET /healthz\n"
	case s.Draining:
		status, text = statusUnavailable, "draining\n"
	case !s.Ready:
		status, text = statusUnavailable, cmp.Or(s.Reason, "down")+"\n"
	}
	return status, contentType, text
}

// metricsAnswer is answer for the metrics listener.
func (h *health) metricsAnswer(line []byte) (status, contentType, text string) {
	if !requestsPath(line, "/metrics") {
		return statusNotFound, plainText, "GET /metrics\n"
	}
	b, err := h.checker.Metrics()
	if err != nil {
		return statusInternal, prometheusText, err.Error() + "\n"
	}
	return "200 OK", prometheusText, string(b)
}

// requestsPath reports whether a request line is a GET or HEAD of the path.
func requestsPath(line []byte, path string) bool {
	return bytes.HasPrefix(line, []byte("GET "+path+" ")) || bytes.HasPrefix(line, []byte("HEAD "+path+" "))
}

// OnClosed does nothing: no state outlives a check.
func (h *health) OnClosed(*transport.Conn, error) {}
