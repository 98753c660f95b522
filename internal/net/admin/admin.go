// Package admin serves operators on an address of its own: a connection carries one line with the name of a call and
// gets one reply. Config supplies the contents of the replies. A Server is used on the gateway's loop.
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
	sweepInterval = 250 * time.Millisecond // interval between sweeps of callers that do not complete a call
	metricPrefix  = "balancer"             // prefix of the StatsD metric names
)

// Names of the calls.
const (
	callReady = "READY"
	callStats = "STATS"
)

var (
	errAnswered    = errors.New("answered")
	errCallTooLong = errors.New("call exceeds its maximum length")
)

// Config holds the settings of a Server. Its functions run on the loop.
type Config struct {
	Loop     *gateway.Loop
	Ready    func() error           // returns nil if this process accepts clients, otherwise the reason why not
	Stats    func() []metrics.Value // returns the current metrics
	MaxConns int                    // maximum open connections; for a further one, the longest idle one is closed
}

// Server answers calls. Its methods must be called on the loop, except Listen.
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

// Listen accepts calls on addr. It need not be called on the loop.
func (s *Server) Listen(engine *transport.Engine, addr string) (*transport.Listener, error) {
	evictIdle := func() { s.cfg.Loop.Post(func() { s.callers.EvictIdle(s.cfg.Loop.Now()) }) }
	return engine.Listen(addr, s.cfg.MaxConns, evictIdle, func() transport.Handler { return &caller{server: s} })
}

// sweep closes callers that do not complete a call in time.
func (s *Server) sweep() {
	s.callers.Sweep(s.cfg.Loop.Now(), nil)
	s.cfg.Loop.After(sweepInterval, s.sweep)
}

// reply returns the reply to a call.
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

// caller is the handler of one connection.
type caller struct {
	server   *Server
	line     []byte // the incomplete call; used by the poller only
	answered bool   // the call is complete; used by the poller only

	tracked *transport.TrackedConn // used by the loop only
	closed  bool                   // the connection is closed; used by the loop only
}

// OnOpened starts the tracking of the connection, which bounds its time.
func (c *caller) OnOpened(tc *transport.Conn) {
	c.server.cfg.Loop.Post(func() {
		if !c.closed {
			c.tracked = c.server.callers.Add(tc, c.server.cfg.Loop.Now(), func() bool { return false })
		}
	})
}

// MaxReadBytes bounds the next read to what a call needs.
func (c *caller) MaxReadBytes(*transport.Conn) int { return maxCallBytes + 1 }

// OnBytes answers the call once its line is complete. It ignores whatever follows the line.
func (c *caller) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
	if c.answered {
		return nil
	}
	line, _, complete := bytes.Cut(append(c.line, b...), []byte("\n"))
	c.line = line
	if len(line) > maxCallBytes {
		return errCallTooLong
	}
	c.answered = complete
	if !complete {
		return nil
	}
	call := string(bytes.TrimSpace(line))
	c.server.cfg.Loop.Post(func() {
		_ = tc.Write(c.server.reply(call)) // a failed write has closed the connection
		tc.CloseGracefully(errAnswered, transport.LingerTime)
	})
	return nil
}

// OnClosed stops the tracking of the connection.
func (c *caller) OnClosed(*transport.Conn, error) {
	c.server.cfg.Loop.Post(func() {
		c.closed = true
		c.server.callers.Remove(c.tracked)
	})
}
