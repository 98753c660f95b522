package signedfront

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/httpapi"
	"larchusher/internal/net/transport"
)

const (
	sweepInterval     = 250 * time.Millisecond
	maxPipelinedBytes = maxHeadBytes + httpapi.MaxBodyBytes + len(headEnd) // that may come ahead of an answer
	flushPollInterval = 5 * time.Millisecond                               // between two looks whether the last answer has been written
)

var (
	errEnding  = errors.New("the program ends")
	errRetired = errors.New("the front was taken out of service")

	errAnswered = errors.New("its last answer has been written")
)

// Front takes signed requests over HTTP/1.1. One request of a connection is open at a time, and others that have come wait,
// so that answers leave in order.
type Front struct {
	loop             *gateway.Loop
	gateway          *gateway.Gateway
	api              *httpapi.API
	log              logrus.FieldLogger
	conns            map[*conn]bool
	tracker          *transport.ConnTracker
	requestNumber    uint64
	seed             uint64
	closeAfterAnswer bool
	closed           bool // by CloseAll or Retire

	Admitted         uint64
	ProblemsByReason map[string]uint64 // by reason
	AnswersByStatus  map[int]uint64
}

// New returns a front for at most maxConns connections, whose handlers its NewHandler makes. seed makes the ids of its
// requests differ from those of other gateways.
func New(loop *gateway.Loop, g *gateway.Gateway, api *httpapi.API, maxConns int, seed uint64, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, gateway: g, api: api, log: log, conns: map[*conn]bool{}, seed: seed,
		tracker: transport.NewConnTracker(maxConns), ProblemsByReason: map[string]uint64{}, AnswersByStatus: map[int]uint64{}}
	loop.After(sweepInterval, f.sweep)
	return f
}

// SetAPI has requests checked by another API from now on, after a change of keys for instance.
func (f *Front) SetAPI(api *httpapi.API) { f.api = api }

// NewHandler returns the callbacks of a new connection.
func (f *Front) NewHandler() transport.Handler { return &conn{front: f} }

// Idle reports whether no request is open, and every answer has been written.
func (f *Front) Idle() bool {
	for c := range f.conns {
		if c.tc.UnsentBytes() > 0 || c.current != nil || c.checking {
			return false
		}
	}
	return true
}

// CloseAfterAnswers has each connection close behind its next answer.
func (f *Front) CloseAfterAnswers() { f.closeAfterAnswer = true }

// CloseAll closes all connections, once nothing is open on them.
func (f *Front) CloseAll() {
	f.closed = true
	for c := range f.conns {
		c.tc.CloseGracefully(errEnding, transport.LingerTime)
	}
}

// Retire ends the front while the program goes on: no request is admitted any more, admitted ones are answered, and each
// connection closes behind its last answer.
func (f *Front) Retire() {
	f.closed, f.closeAfterAnswer = true, true
	for c := range f.conns {
		c.closing = true
		if c.current == nil && !c.checking {
			c.tc.CloseGracefully(errRetired, transport.LingerTime)
		}
	}
}

// SetMaxConns sets how many connections are held at once.
func (f *Front) SetMaxConns(maxConns int) { f.tracker.SetMaxConns(maxConns) }

// EvictIdle has an idle connection closed, for one that waits to be accepted. It may be called from any goroutine.
func (f *Front) EvictIdle() { f.loop.Post(func() { f.tracker.EvictIdle(f.loop.Now(), 1) }) }

// sweep closes connections that hold their places for nothing. One whose request is not completed in time is told so.
func (f *Front) sweep() {
	f.tracker.Sweep(f.loop.Now(), func(n *transport.TrackedConn) {
		for c := range f.conns {
			if c.tracked == n && !c.closing {
				c.closing = true
				c.respondProblem(&httpapi.Problem{Status: http.StatusRequestTimeout, Reason: "the request did not come whole"})
			}
		}
	})
	f.loop.After(sweepInterval, f.sweep)
}

// newRequestID makes the id of a request, which is unique in this front. Its first bit is always set.
func (f *Front) newRequestID() string {
	const (
		spread   = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio: consecutive numbers differ in many bits
		firstBit = 1 << 63
	)
	f.requestNumber++
	return fmt.Sprintf("%016x", (f.seed^f.requestNumber*spread)|firstBit)
}
