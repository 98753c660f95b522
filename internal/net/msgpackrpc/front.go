package msgpackrpc

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
)

const (
	maxOpenPerConn    = 32                     // open requests of one connection; further ones are rejected
	sweepInterval     = 250 * time.Millisecond // interval between checks for idle and stalled connections
	maxRejectionBatch = 32 << 10               // bytes of rejections that are collected before they are written
	messageCost       = 64                     // bytes of memory for a message on its way to the loop, apart from its request
)

// errEnding closes connections at shutdown.
var errEnding = errors.New("gateway is shutting down")

// Front serves the platform's clients. Its methods must be called on the gateway's loop unless they state otherwise.
type Front struct {
	loop    *gateway.Loop
	gateway *gateway.Gateway
	log     logrus.FieldLogger
	budget  *membudget.Budget
	conns   map[*conn]bool
	opening transport.OpeningLimit
	tracker *transport.ConnTracker
	inbox   inbox
	closed  bool // set by CloseAll

	startedAt        time.Time
	buffering        atomic.Bool  // set by BufferRequests
	maxBufferedBytes atomic.Int64 // limit of bufferedBytes
	bufferedBytes    atomic.Int64 // bytes of input buffered for the successor process on all connections
	migrateAfter     time.Time    // until when no connection is migrated, since the successor takes none; used by the loop

	partials partialInputs

	classes atomic.Pointer[map[string]string] // class names, interned so that requests share the strings

	Malformed   uint64 // connections closed because of invalid input
	TooManyOpen uint64 // requests rejected because their connection had too many open
}

// New returns a front for at most maxConns connections. NewHandler creates their handlers. classes are the names of
// the traffic classes that are served.
func New(loop *gateway.Loop, g *gateway.Gateway, classes []string, maxConns int, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, gateway: g, budget: g.Budget(), log: log, opening: transport.NewOpeningLimit(), conns: map[*conn]bool{}, startedAt: loop.Now(),
		tracker: transport.NewConnTracker(maxConns)}
	f.SetClasses(classes)
	loop.After(sweepInterval, f.sweep)
	return f
}

// SetClasses sets the names of the traffic classes that are served. It may be called from any goroutine.
func (f *Front) SetClasses(names []string) {
	classes := make(map[string]string, len(names))
	for _, name := range names {
		classes[name] = name
	}
	f.classes.Store(&classes)
}

// NewHandler returns the handler of a new connection. It may be called from any goroutine.
func (f *Front) NewHandler() transport.Handler {
	c := &conn{front: f, open: map[uint64]*gateway.Request{}, memory: f.budget.NewHolder(membudget.OpenRequests)}
	c.partial = partialInput{all: &f.partials, budget: f.budget}
	return c
}

// Idle reports whether no request is open or on its way to the loop, and all answers have been written.
func (f *Front) Idle() bool {
	for c := range f.conns {
		if c.tc.UnsentBytes() > 0 || len(c.open) > 0 || c.hasUnhandledInput() {
			return false
		}
	}
	return true
}

// CloseAll closes all connections gracefully. It is called once no requests are open; input that arrives later is
// discarded.
func (f *Front) CloseAll() {
	f.closed = true
	for c := range f.conns {
		c.tc.CloseGracefully(errEnding, transport.LingerTime)
	}
}

// ClosedConns returns the numbers of connections that were closed to free their slots.
func (f *Front) ClosedConns() transport.ClosedConns { return f.tracker.Closed }

// SetMaxConns sets the maximum number of open connections.
func (f *Front) SetMaxConns(maxConns int) { f.tracker.SetMaxConns(maxConns) }

// CloseIdle closes all connections without open requests or unhandled input, and returns how many connections are
// left.
func (f *Front) CloseIdle() (left int) {
	for c := range f.conns {
		if !c.tc.Closing() && !c.closeIfIdle() {
			left++
		}
	}
	return left
}

// EvictIdle closes one idle connection to free its slot for a new one. It may be called from any goroutine.
func (f *Front) EvictIdle() { f.loop.Post(func() { f.tracker.EvictIdle(f.loop.Now()) }) }

// sweep closes connections that are idle for too long or whose message is not complete in time.
func (f *Front) sweep() {
	f.tracker.Sweep(f.loop.Now(), nil)
	f.loop.After(sweepInterval, f.sweep)
}
