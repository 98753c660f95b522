package resp

import (
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
	"larchusher/routing"
)

// Intervals and timeouts of connections. An unreachable endpoint leaves its connections open without sending
// anything.
const (
	sweepInterval      = 100 * time.Millisecond // interval between checks of all connections
	pingAfterSilence   = 700 * time.Millisecond // silence with attempts in flight after which a connection is pinged
	pingTimeout        = time.Second            // silence after a ping until the connection is closed
	stallTimeout       = 600 * time.Millisecond // silence within an answer until the connection is closed
	idleKeepAliveShare = 0.8                    // fraction of Config.KeepAlive after which an idle connection is closed
)

const (
	// preferredStreams is how many attempts share a connection while more connections may be opened: one faulty answer
	// ends all attempts on its connection.
	preferredStreams = 4
	// canceledIDLifetime is how long the ID of a canceled request is not used again on the same connection.
	canceledIDLifetime = 10 * time.Second
	// maxFillWaitMs limits the reported wait for a fill, in ms; a longer one is treated as a fault of the endpoint and
	// ignored.
	maxFillWaitMs = 60_000
)

// Config holds the settings of a Pool.
type Config struct {
	StreamsPerConn   int // maximum attempts in flight on one connection
	ConnectTimeout   time.Duration
	KeepAlive        time.Duration // time after which endpoints close idle connections
	MaxConns         int           // maximum open connections to all endpoints
	LoadReportFields []string      // names of the values in gateway.Result.LoadReport, in order
	AnswerTimeout    time.Duration // limit from the first to the last byte of an answer, else its connection is closed; 0: none

	Budget *membudget.Budget // accounts for answers until they are written to clients; nil: no limit
}

// Counters are a Pool's event counts since the start of the process.
type Counters struct {
	ConnectsStarted uint64
	ConnectsFailed  uint64
	ConnsLost       uint64 // connections that ended with attempts in flight
	Written         uint64 // attempts written to connections
	Canceled        uint64 // attempts canceled after they were written
	LateAnswers     uint64 // answers to attempts that had ended before
	Pings           uint64 // pings sent on silent connections
	AnswersDropped  uint64 // answers whose body was dropped for lack of memory
}

// Reasons for closing a connection.
var (
	errConnectTimeout   = errors.New("connect timeout")
	errClosedByEndpoint = errors.New("connection closed by the endpoint")
	errClosed           = errors.New("closed")
	errEndpointChanged  = errors.New("endpoint was removed or replaced")
	errAbandoned        = errors.New("connection no longer needed")
	errAnswerStalled    = errors.New("answer stalled before its end")
	errAnswerTimeout    = errors.New("answer not complete in time")
	errSilent           = errors.New("silent")
	errIdle             = errors.New("idle")
)

// Gateway is the part of the gateway that the pool calls, on the loop. PrepareWrite reports whether an attempt may
// still be written; AttemptEnded receives each attempt's result.
type Gateway interface {
	PrepareWrite(*gateway.Attempt) bool
	AttemptEnded(*gateway.Attempt, gateway.Result)
}

// Pool manages the connections to all endpoints and implements [gateway.Backend]. Its methods must be called on the
// loop.
type Pool struct {
	Gateway  Gateway // must be set before the first Send
	Counters Counters

	cfg       Config
	loop      *gateway.Loop
	engine    *transport.Engine
	log       logrus.FieldLogger
	endpoints map[string]*endpoint
	idByAddr  map[string]string // id of the endpoint that has an address
	connCount int
	pings     uint64
}

// New returns an empty pool.
func New(cfg Config, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger) *Pool {
	p := &Pool{cfg: cfg, loop: loop, engine: engine, log: log, endpoints: map[string]*endpoint{}, idByAddr: map[string]string{}}
	loop.After(sweepInterval, p.sweep)
	return p
}

// SetMaxConns sets the maximum number of open connections. Connections above it stay open until they are idle.
func (p *Pool) SetMaxConns(maxConns int) { p.cfg.MaxConns = maxConns }

// SetAnswerTimeout sets Config.AnswerTimeout.
func (p *Pool) SetAnswerTimeout(d time.Duration) { p.cfg.AnswerTimeout = d }

// endpoint is an endpoint of the endpoint list. Connections are kept per endpoint, not per address, because addresses
// are reused.
type endpoint struct {
	id, addr    string
	startedAtMs int64
	superseded  bool // another endpoint has taken the address: the process that was this endpoint is gone
	conns       []*conn
}

// SetAddress sets an endpoint's address and start time (Unix ms) from the endpoint list. If either changes, no
// further attempts are sent on its existing connections. Of two endpoints with one address, the one that started last
// has it, or the one that was listed last if they do not differ in that; nothing is sent to the other.
func (p *Pool) SetAddress(id, addr string, startedAtMs int64) {
	s := p.endpoints[id]
	if s == nil {
		s = &endpoint{id: id}
		p.endpoints[id] = s
	}
	if s.addr == addr && s.startedAtMs == startedAtMs {
		return
	}
	p.releaseAddress(s)
	// Connections to the previous instance may still look open if it vanished without closing them.
	s.retire()
	s.addr, s.startedAtMs = addr, startedAtMs
	holder := p.endpoints[p.idByAddr[addr]]
	s.superseded = holder != nil && holder.startedAtMs > startedAtMs
	if s.superseded {
		return
	}
	if holder != nil {
		holder.superseded = true
		holder.retire()
	}
	p.idByAddr[addr] = id
}

// releaseAddress gives up the address of an endpoint.
func (p *Pool) releaseAddress(s *endpoint) {
	if p.idByAddr[s.addr] == s.id {
		delete(p.idByAddr, s.addr)
	}
	s.addr, s.superseded = "", false
}

// RemoveEndpoint handles the removal of an endpoint from the endpoint list. Attempts in flight there continue.
func (p *Pool) RemoveEndpoint(id string) {
	if s := p.endpoints[id]; s != nil {
		p.releaseAddress(s)
		s.retire()
		if len(s.conns) == 0 {
			delete(p.endpoints, id)
		}
	}
}

// retire stops sending further attempts on the endpoint's connections.
func (s *endpoint) retire() {
	for _, c := range s.conns {
		c.retired = true
	}
}

// Send writes an attempt on a connection to its endpoint, or queues it until a new connection is established. If the
// endpoint is unknown or the connection limit is reached, the attempt ends with routing.ConnectFailed.
func (p *Pool) Send(a *gateway.Attempt) {
	s := p.endpoints[a.Endpoint]
	if s == nil || s.addr == "" || s.superseded { // only endpoints on the endpoint list are connected to
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
		return
	}
	c := p.chooseOpenConn(s, a.Request.ID)
	if c == nil || c.ended {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
		return
	}
	a.BackendState = c
	if c.tc == nil {
		c.pending = append(c.pending, a)
		return
	}
	c.writeAttempt(a)
}

// chooseOpenConn is chooseConn without connections that the endpoint has closed and whose end has not been read yet:
// an attempt written there would look as if it might have been executed.
func (p *Pool) chooseOpenConn(s *endpoint, id string) *conn {
	c := p.chooseConn(s, id)
	for c != nil && c.tc != nil && c.tc.PeerClosed() {
		c.retired = true
		if len(c.inFlight) == 0 { // otherwise unread answers may have arrived
			c.end(errClosedByEndpoint)
		}
		c = p.chooseConn(s, id)
	}
	return c
}

// chooseConn returns a connection for the next attempt of the request with this ID, dialing a new one if needed. It
// returns nil if all connections are full and no more may be opened.
func (p *Pool) chooseConn(s *endpoint, id string) *conn {
	c := s.leastBusyConn(id, min(preferredStreams, p.cfg.StreamsPerConn))
	if c == nil && p.connCount < p.cfg.MaxConns/2 {
		c = p.dial(s)
	}
	if c == nil {
		c = s.leastBusyConn(id, p.cfg.StreamsPerConn)
	}
	if c == nil && p.connCount < p.cfg.MaxConns {
		c = p.dial(s)
	}
	return c
}

// leastBusyConn returns the connection with the fewest attempts that has room for one more of the request with this
// ID, preferring open connections over connecting ones; nil if there is none.
func (s *endpoint) leastBusyConn(id string, maxStreams int) *conn {
	var best *conn
	for _, c := range s.conns {
		if c.hasRoomFor(id, maxStreams) && (best == nil || c.preferredOver(best)) {
			best = c
		}
	}
	return best
}

// dial starts connecting to an endpoint.
func (p *Pool) dial(s *endpoint) *conn {
	c := &conn{pool: p, endpoint: s, inFlight: map[string]*gateway.Attempt{}, canceled: map[string]time.Time{}, lastUsed: p.loop.Now()}
	c.parser.reserve = c.reserve
	s.conns = append(s.conns, c)
	p.connCount++
	p.Counters.ConnectsStarted++
	// An unreachable endpoint does not answer at all, so the pool has its own timeout.
	c.timer = p.loop.After(p.cfg.ConnectTimeout, func() { c.end(errConnectTimeout) })
	p.engine.Dial(s.addr, p.cfg.ConnectTimeout+sweepInterval, c,
		func(tc *transport.Conn) { p.loop.Post(func() { c.opened(tc) }) },
		func(err error) { p.loop.Post(func() { c.end(err) }) })
	return c
}

// Cancel cancels an attempt. If the attempt has been written, the endpoint is sent a cancel command.
func (p *Pool) Cancel(a *gateway.Attempt) {
	c, _ := a.BackendState.(*conn)
	if c == nil || c.ended {
		return
	}
	if i := slices.Index(c.pending, a); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
		return
	}
	id := a.Request.ID
	if c.inFlight[id] != a {
		return
	}
	p.Counters.Canceled++
	delete(c.inFlight, id)
	c.favored.Remove(id)
	c.canceled[id] = p.loop.Now()
	c.writeCommand("QUIT", id)
}

// sweep checks all open connections, every sweepInterval.
func (p *Pool) sweep() {
	now := p.loop.Now()
	for _, s := range p.endpoints {
		for _, c := range slices.Clone(s.conns) { // closing a connection removes it from the list
			if c.tc != nil && !c.ended {
				c.sweep(now)
			}
		}
	}
	p.loop.After(sweepInterval, p.sweep)
}
