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
	"larchusher/membudget"
)

const (
	sweepInterval     = 250 * time.Millisecond                             // interval between checks for idle and stalled connections
	maxRequestBytes   = maxHeadBytes + httpapi.MaxBodyBytes + len(headEnd) // longest request
	maxWaitingBytes   = 16 << 10                                           // input behind an open request from which on no more is read
	bufferGrowFactor  = 2                                                  // by which the buffer of an incomplete request grows
	usualReadBytes    = 16 << 10                                           // bytes of a read
	shortReadBytes    = 1 << 10                                            // bytes of a read while too much input is unhandled
	flushPollInterval = 5 * time.Millisecond                               // interval between checks whether the last answer has been written
)

var (
	errEnding  = errors.New("gateway is shutting down")
	errRetired = errors.New("signed front was closed")

	errAnswered = errors.New("last answer has been written")
)

// Front serves signed requests over HTTP/1.1. At most one request of a connection is open at a time; pipelined ones
// wait, so that answers leave in order. Its methods must be called on the gateway's loop unless they state otherwise.
type Front struct {
	loop             *gateway.Loop
	gateway          *gateway.Gateway
	budget           *membudget.Budget
	api              *httpapi.API
	log              logrus.FieldLogger
	conns            map[*conn]bool
	opening          transport.OpeningLimit
	tracker          *transport.ConnTracker
	requestNumber    uint64
	seed             uint64
	closeAfterAnswer bool
	closed           bool // set by CloseAll or Retire

	Admitted         uint64            // requests submitted to the gateway
	ProblemsByReason map[string]uint64 // answers without the gateway, by reason
	AnswersByStatus  map[int]uint64    // all answers, by HTTP status
}

// New returns a front for at most maxConns connections. NewHandler creates their handlers. seed makes the IDs of its
// requests differ from those of other gateways.
func New(loop *gateway.Loop, g *gateway.Gateway, api *httpapi.API, maxConns int, seed uint64, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, gateway: g, budget: g.Budget(), api: api, log: log, conns: map[*conn]bool{}, opening: transport.NewOpeningLimit(), seed: seed,
		tracker: transport.NewConnTracker(maxConns), ProblemsByReason: map[string]uint64{}, AnswersByStatus: map[int]uint64{}}
	loop.After(sweepInterval, f.sweep)
	return f
}

// SetAPI sets the API that checks requests from now on, for instance after a change of keys.
func (f *Front) SetAPI(api *httpapi.API) { f.api = api }

// NewHandler returns the handler of a new connection. It may be called from any goroutine.
func (f *Front) NewHandler() transport.Handler {
	return &conn{front: f, buffer: f.budget.NewPiece(membudget.PartialInput), memory: f.budget.NewHolder(membudget.OpenRequests)}
}

// makeRoom lets the buffer of a connection have a capacity. If there is not enough memory, it turns away other clients with
// incomplete requests, first those that hold most and have sent nothing for longest. It reports whether there is enough then.
func (f *Front) makeRoom(c *conn, capacity int64) bool {
	for !c.buffer.Resize(capacity) {
		worst := f.worstIncomplete(c)
		if worst == nil {
			return false
		}
		worst.turnAway()
	}
	return true
}

// worstIncomplete returns the connection, other than c, whose incomplete request takes most and has made no progress for longest;
// nil if there is none.
func (f *Front) worstIncomplete(c *conn) (worst *conn) {
	most := 0.0
	for other := range f.conns {
		if other == c || other.closing || other.turnedAway || other.tc.Closing() {
			continue
		}
		if score := float64(other.buffer.Bytes()) * f.loop.Now().Sub(other.lastByte).Seconds(); score > most {
			worst, most = other, score
		}
	}
	return worst
}

// Idle reports whether no request is open, is being checked or waits, and all answers have been written.
func (f *Front) Idle() bool {
	for c := range f.conns {
		if c.tc.UnsentBytes() > 0 || c.answersOpen() || c.requestWaits() {
			return false
		}
	}
	return true
}

// CloseAfterAnswers makes each connection close after the next answer behind which no complete request waits.
func (f *Front) CloseAfterAnswers() { f.closeAfterAnswer = true }

// CloseAll closes all connections gracefully. Requests that were not admitted are refused.
func (f *Front) CloseAll() {
	f.closed = true
	for c := range f.conns {
		c.endNow()
	}
}

// Retire closes the front while the process continues: no more requests are admitted, admitted ones are answered, those that
// wait are refused, and each connection closes after its last answer.
func (f *Front) Retire() {
	f.closed, f.closeAfterAnswer = true, true
	for c := range f.conns {
		if !c.answersOpen() && !c.requestWaits() {
			c.closing = true
			c.tc.CloseGracefully(errRetired, transport.LingerTime)
		}
	}
}

// ClosedConns returns the numbers of connections that were closed to free their slots.
func (f *Front) ClosedConns() transport.ClosedConns { return f.tracker.Closed }

// SetMaxConns sets the maximum number of open connections.
func (f *Front) SetMaxConns(maxConns int) { f.tracker.SetMaxConns(maxConns) }

// EvictIdle closes one idle connection to free its slot for a new one. It may be called from any goroutine.
func (f *Front) EvictIdle() { f.loop.Post(func() { f.tracker.EvictIdle(f.loop.Now()) }) }

// sweep closes connections that are idle for too long. A client whose request is not complete in time gets status
// 408.
func (f *Front) sweep() {
	f.tracker.Sweep(f.loop.Now(), func(n *transport.TrackedConn) {
		for c := range f.conns {
			if c.tracked == n && !c.closing {
				c.closing = true
				c.respondProblem(&httpapi.Problem{Status: http.StatusRequestTimeout, Reason: "the request did not come whole"}, startsWithHead(c.buf))
			}
		}
	})
	f.loop.After(sweepInterval, f.sweep)
}

// newRequestID returns an ID that is unique in this front: 16 hex digits, the first bit always set.
func (f *Front) newRequestID() string {
	const (
		spread   = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio: consecutive numbers differ in many bits
		firstBit = 1 << 63
	)
	f.requestNumber++
	return fmt.Sprintf("%016x", (f.seed^f.requestNumber*spread)|firstBit)
}
