package msgpackrpc

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

const (
	maxOpenPerConn    = 32                     // requests open on one connection; others are rejected,
	sweepInterval     = 250 * time.Millisecond // between two looks for connections that hold their places for nothing
	maxIdleBuffer     = 16 << 10               // bytes of a connection's buffer, between messages
	maxRejectionBatch = 32 << 10               // bytes of rejections that are written at once
	messageCost       = 512                    // bytes of a message beside its body
)

// errEnding ends connections with the program.
var errEnding = errors.New("the program ends")

// Front takes requests from the platform's clients.
type Front struct {
	loop    *gateway.Loop
	gateway *gateway.Gateway
	log     logrus.FieldLogger
	conns   map[*conn]bool
	tracker *transport.ConnTracker
	closed  bool        // by CloseAll
	holding atomic.Bool // since HoldRequests

	classes atomic.Pointer[map[string]string] // by their names, so that requests share one string each

	Malformed   uint64 // connections closed for what they sent
	TooManyOpen uint64 // requests beyond those that a connection may have open
}

// New returns a front for at most maxConns connections, whose handlers its NewHandler makes. classes are the names of the
// classes that are served.
func New(loop *gateway.Loop, g *gateway.Gateway, classes []string, maxConns int, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, gateway: g, log: log, conns: map[*conn]bool{}, tracker: transport.NewConnTracker(maxConns)}
	f.SetClasses(classes)
	loop.After(sweepInterval, f.sweep)
	return f
}

// SetClasses sets the names of the classes that are served. It may be called from any goroutine.
func (f *Front) SetClasses(names []string) {
	classes := make(map[string]string, len(names))
	for _, name := range names {
		classes[name] = name
	}
	f.classes.Store(&classes)
}

// NewHandler returns the callbacks of a new connection.
func (f *Front) NewHandler() transport.Handler {
	return &conn{front: f, open: map[uint64]*gateway.Request{}}
}

// Idle reports whether no request is open, and every answer has been written.
func (f *Front) Idle() bool {
	for c := range f.conns {
		if c.tc.UnsentBytes() > 0 || len(c.open) > 0 {
			return false
		}
	}
	return true
}

// CloseAll closes all connections, once nothing is open on them. What comes on them from now on is ignored.
func (f *Front) CloseAll() {
	f.closed = true
	for c := range f.conns {
		c.tc.CloseGracefully(errEnding, transport.LingerTime)
	}
}

// SetMaxConns sets how many connections are held at once.
func (f *Front) SetMaxConns(maxConns int) { f.tracker.SetMaxConns(maxConns) }

// CloseIdle closes all connections on which nothing is open and nothing has come that is not answered, and returns how many
// are left. A request that crosses the close on its way is its client's to send again.
func (f *Front) CloseIdle() (left int) {
	for c := range f.conns {
		switch {
		case c.tc.Closing():
		case c.idle():
			c.tc.CloseGracefully(errEnding, transport.LingerTime)
		default:
			left++
		}
	}
	return left
}

// EvictIdle has an idle connection closed, for one that waits to be accepted. It may be called from any goroutine.
func (f *Front) EvictIdle() { f.loop.Post(func() { f.tracker.EvictIdle(f.loop.Now(), 1) }) }

// sweep closes connections that hold their places for nothing.
func (f *Front) sweep() {
	f.tracker.Sweep(f.loop.Now(), nil)
	f.loop.After(sweepInterval, f.sweep)
}
