// Package admin answers operators at an address of their own: a connection carries one line with the name of a call and gets
// one reply. What it replies is handed in by Config. Servers live on the gateway's loop.
package admin

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"larchusher/gateway"
	"larchusher/internal/metrics"
	"larchusher/internal/net/transport"
)

const (
	maxCallBytes  = 256
	sweepInterval = 250 * time.Millisecond // between two looks for callers that complete no call
	metricPrefix  = "balancer"             // of the figures
)

// Names of the calls.
const (
	callReady = "READY"
	callStats = "STATS"
)

var (
	errAnswered = errors.New("answered")
	errNoLine   = errors.New("a call that does not end")
)

// Config says what a Server replies. Its functions run on the loop.
type Config struct {
	Loop     *gateway.Loop
	Ready    func() error           // nil: this process accepts clients; else why it does not
	Stats    func() []metrics.Value // the present figures
	MaxConns int                    // callers at once; for one more, the one that was silent longest is closed
}

// Server answers calls. Its methods, but for Listen, run on the loop.
type Server struct {
	cfg     Config
	callers *transport.ConnTracker
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, callers: transport.NewConnTracker(cfg.MaxConns)}
	cfg.Loop.After(sweepInterval, s.sweep)
	return s
}

// Listen takes calls at an address.
func (s *Server) Listen(engine *transport.Engine, addr string) (*transport.Listener, error) {
	evictIdle := func() { s.cfg.Loop.Post(func() { s.callers.EvictIdle(s.cfg.Loop.Now(), 1) }) }
	return engine.Listen(addr, s.cfg.MaxConns, evictIdle, func() transport.Handler { return &caller{server: s} })
}

// sweep closes callers that complete no call.
func (s *Server) sweep() {
	s.callers.Sweep(s.cfg.Loop.Now(), nil)
	s.cfg.Loop.After(sweepInterval, s.sweep)
}

// reply words the reply to a call.
func (s *Server) reply(call string) []byte {
	switch call {
	case callReady:
		if err := s.cfg.Ready(); err != nil {
			return []byte("fail " + err.Error() + "\n")
		}
		return []byte("ok\n")
	case callStats:
		return append(metrics.StatsD(metricPrefix, s.cfg.Stats()), "eof\n"...)
	}
	return fmt.Appendf(nil, "fail unknown call %.40q: %s or %s\n", call, callReady, callStats)
}

// caller is one connection.
type caller struct {
	server   *Server
	line     []byte // the poller's: what has come of the call
	answered bool   // the poller's: it is complete

	slot *transport.TrackedConn // loop
	gone bool                   // loop
}

// OnOpened takes a slot.
func (c *caller) OnOpened(tc *transport.Conn) {
	c.server.cfg.Loop.Post(func() {
		if !c.gone {
			c.slot = c.server.callers.Add(tc, c.server.cfg.Loop.Now(), func() bool { return false })
		}
	})
}

// OnBytes answers once the line is complete. What follows it is ignored.
func (c *caller) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
	if c.answered {
		return nil
	}
	line, _, complete := bytes.Cut(append(c.line, b...), []byte("\n"))
	c.line = line
	if len(line) > maxCallBytes {
		return errNoLine
	}
	c.answered = complete
	if !complete {
		return nil
	}
	call := string(bytes.TrimSpace(line))
	c.server.cfg.Loop.Post(func() {
		_ = tc.Write(c.server.reply(call)) // one that fails has closed the connection
		tc.CloseGracefully(errAnswered, transport.LingerTime)
	})
	return nil
}

// OnClosed gives the slot back.
func (c *caller) OnClosed(*transport.Conn, error) {
	c.server.cfg.Loop.Post(func() {
		c.gone = true
		c.server.callers.Remove(c.slot)
	})
}
