package resp

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

// When a connection is given up. An endpoint that is cut off leaves its connections open without a word.
const (
	sweepInterval      = 100 * time.Millisecond // between two looks at all connections
	pingAfterSilence   = 700 * time.Millisecond // without a byte while attempts are in flight, a connection is pinged;
	pingTimeout        = time.Second            // without a byte for that long after it, it is closed
	stallTimeout       = 600 * time.Millisecond // without a byte in the middle of an answer, it is closed
	idleKeepAliveShare = 0.8                    // share of the keep-alive time after which an idle connection is closed
)

const (
	// preferredStreams is how many attempts share a connection while there are descriptors for others: one spoilt answer
	// takes all of them down.
	preferredStreams = 4
	// canceledIDLifetime is how long an id that was canceled on a connection is not used there again.
	canceledIDLifetime = 10 * time.Second
	// maxFillWaitMs is how long a fill can have waited, in ms; a longer wait is taken for a fault of the endpoint's.
	maxFillWaitMs = 60_000
)

// Config says how endpoints are spoken to.
type Config struct {
	StreamsPerConn   int // attempts on one connection at once
	ConnectTimeout   time.Duration
	KeepAlive        time.Duration // after which endpoints close idle connections
	MaxConns         int           // connections held at once
	LoadReportFields []string      // order of the values of gateway.Result.LoadReport
	MaxAnswerBytes   int64         // bytes of answers that may be held until they are written to clients; 0: no limit
	AnswerTimeout    time.Duration // from the first to the last byte of an answer, else its connection is closed; 0: no limit
}

// Counters count what happened with endpoints.
type Counters struct {
	ConnectsStarted uint64
	ConnectsFailed  uint64
	ConnsLost       uint64 // connections that ended with attempts in flight
	Written         uint64 // attempts
	Canceled        uint64 // attempts, after they were written
	LateAnswers     uint64 // answers to attempts that were over
	Pings           uint64 // of silent connections
	AnswersDropped  uint64 // for want of memory
}

// Why connections end.
var (
	errConnectTimeout   = errors.New("no connection in time")
	errClosedByEndpoint = errors.New("closed by the endpoint")
	errClosed           = errors.New("closed")
	errGivenUp          = errors.New("given up")
	errAnswerStalled    = errors.New("an answer stops short")
	errAnswerTimeout    = errors.New("an answer does not end")
	errSilent           = errors.New("silent")
	errIdle             = errors.New("idle")
)

// Gateway is what the pool needs of its gateway.
type Gateway interface {
	PrepareWrite(*gateway.Attempt) bool
	AttemptEnded(*gateway.Attempt, gateway.Result)
}

// Pool holds the connections to all endpoints. It lives on the loop. It is a [gateway.Backend].
type Pool struct {
	Gateway  Gateway // to be set before anything is sent
	Counters Counters

	cfg         Config
	loop        *gateway.Loop
	engine      *transport.Engine
	log         logrus.FieldLogger
	endpoints   map[string]*endpoint
	connCount   int
	pings       uint64
	answerBytes atomic.Int64 // bytes of answers
}

// New returns an empty pool.
func New(cfg Config, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger) *Pool {
	p := &Pool{cfg: cfg, loop: loop, engine: engine, log: log, endpoints: map[string]*endpoint{}}
	loop.After(sweepInterval, p.sweep)
	return p
}

// SetMaxConns sets how many connections are held at once. More that are open stay until they are idle.
func (p *Pool) SetMaxConns(maxConns int) { p.cfg.MaxConns = maxConns }

// SetAnswerTimeout sets Config.AnswerTimeout.
func (p *Pool) SetAnswerTimeout(d time.Duration) { p.cfg.AnswerTimeout = d }

// endpoint is one of the endpoint list. Connections belong to it, not to its address: addresses are reused.
type endpoint struct {
	id, addr    string
	startedAtMs int64
	conns       []*conn
}

// SetAddress says where an endpoint listens and since when it runs, as the endpoint list has it.
func (p *Pool) SetAddress(id, addr string, since int64) {
	s := p.endpoints[id]
	if s == nil {
		s = &endpoint{id: id}
		p.endpoints[id] = s
	}
	// Connections to what ran there before may be open without a word, if it vanished.
	if s.addr != addr || s.startedAtMs != since {
		s.retire()
		s.addr, s.startedAtMs = addr, since
	}
}

// RemoveEndpoint says that an endpoint is not on the list any more. Attempts that are in flight there go on.
func (p *Pool) RemoveEndpoint(id string) {
	if s := p.endpoints[id]; s != nil {
		s.addr = ""
		s.retire()
		if len(s.conns) == 0 {
			delete(p.endpoints, id)
		}
	}
}

// retire has the endpoint's connections take no further attempt.
func (s *endpoint) retire() {
	for _, c := range s.conns {
		c.retired = true
	}
}

// Send writes an attempt on a connection to its endpoint, or has it wait for one that is coming up.
func (p *Pool) Send(a *gateway.Attempt) {
	s := p.endpoints[a.Endpoint]
	if s == nil || s.addr == "" { // only what the endpoint list names is connected to
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

// chooseOpenConn is chooseConn without connections that the endpoint has closed, which nobody has read yet: an attempt that
// is written there would look as if it might have run.
func (p *Pool) chooseOpenConn(s *endpoint, id string) *conn {
	c := p.chooseConn(s, id)
	for c != nil && c.tc != nil && c.tc.PeerClosed() {
		c.retired = true
		if len(c.inFlight) == 0 { // else answers may have come, and wait to be read
			c.end(errClosedByEndpoint)
		}
		c = p.chooseConn(s, id)
	}
	return c
}

// chooseConn returns a connection for the next attempt of the request with an id, a new one if need be; nil: there is none
// to be had.
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

// leastBusyConn returns the connection with the fewest attempts that can take one more of the request with an id, one that
// is open before one that is coming up; nil: none can.
func (s *endpoint) leastBusyConn(id string, maxStreams int) *conn {
	var best *conn
	for _, c := range s.conns {
		if c.canTake(id, maxStreams) && (best == nil || c.betterThan(best)) {
			best = c
		}
	}
	return best
}

// dial begins a connection.
func (p *Pool) dial(s *endpoint) *conn {
	c := &conn{pool: p, endpoint: s, inFlight: map[string]*gateway.Attempt{}, canceled: map[string]time.Time{}, lastUsed: p.loop.Now()}
	c.parser.reserve = c.reserve
	s.conns = append(s.conns, c)
	p.connCount++
	p.Counters.ConnectsStarted++
	// An endpoint that is cut off does not answer at all, so the time-out is ours.
	c.timer = p.loop.After(p.cfg.ConnectTimeout, func() { c.end(errConnectTimeout) })
	p.engine.Dial(s.addr, p.cfg.ConnectTimeout+sweepInterval, c,
		func(tc *transport.Conn) { p.loop.Post(func() { c.opened(tc) }) },
		func(err error) { p.loop.Post(func() { c.end(err) }) })
	return c
}

// Cancel cancels an attempt. The endpoint is told so if it was written.
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
	c.canceled[id] = p.loop.Now()
	c.writeCommand("QUIT", id)
}

// sweep looks at all connections.
func (p *Pool) sweep() {
	now := p.loop.Now()
	for _, s := range p.endpoints {
		for _, c := range slices.Clone(s.conns) { // some are closed, and leave the list
			if c.tc != nil && !c.ended {
				c.sweep(now)
			}
		}
	}
	p.loop.After(sweepInterval, p.sweep)
}
