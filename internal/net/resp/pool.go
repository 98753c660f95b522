package resp

import (
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

const (
	sweepInterval      = 100 * time.Millisecond
	pingAfterSilence   = 700 * time.Millisecond // with work out and no byte for so long, a connection is tested;
	pingTimeout        = time.Second            // without an answer to that, it is given up
	stallTimeout       = 600 * time.Millisecond // an answer that has begun and stops for so long has broken off
	preferredStreams   = 4                      // attempts that share a connection while there are descriptors for others
	canceledIDLifetime = 10 * time.Second       // an id given up on a connection is not used there again for so long
	maxFillWaitMs      = 60_000                 // ms that a fill can have waited; more can't be read
	idleKeepAliveShare = 0.8                    // of the keep-alive time after which an idle connection is closed
)

// Config says how stores are spoken to.
type Config struct {
	StreamsPerConn   int // attempts on one connection at once
	ConnectTimeout   time.Duration
	KeepAlive        time.Duration
	MaxConns         int // connections held at once
	LoadReportFields []string
	MaxAnswerBytes   int64         // bytes of answers that may be held until their clients have been written to; 0: any
	AnswerTimeout    time.Duration // an answer that has begun comes whole within this, or its connection is given up; 0: it may take any time
}

// Counters count what went on with stores.
type Counters struct {
	ConnectsStarted, ConnectsFailed, ConnsLost uint64 // connections: begun, not come up, lost with work out
	Written, Canceled, LateAnswers, Pings      uint64 // attempts written, given up, answers that came too late; tests
	AnswersDropped                             uint64 // answers passed over for want of memory
}

// Gateway is what the pool needs of its gateway.
type Gateway interface {
	ConfirmAttempt(*gateway.Attempt) bool
	AttemptEnded(*gateway.Attempt, gateway.Result)
}

// Pool holds the connections to all stores. It lives on the loop.
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

// SetMaxConns sets how many connections are held at once. More that are up stay until they are idle.
func (p *Pool) SetMaxConns(most int) { p.cfg.MaxConns = most }

// SetAnswerTimeout sets how long an answer that has begun may take to come whole.
func (p *Pool) SetAnswerTimeout(d time.Duration) { p.cfg.AnswerTimeout = d }

// endpoint is one member of the list. Connections belong to it, not to its address: addresses are reused.
type endpoint struct {
	id, addr    string
	startedAtMs int64
	conns       []*conn
}

// SetAddress says where a store listens and since when it runs, as the list named it.
func (p *Pool) SetAddress(id, addr string, since int64) {
	s := p.endpoints[id]
	if s == nil {
		s = &endpoint{id: id}
		p.endpoints[id] = s
	}
	// Guards against connections to what ran before: a machine that vanished left them open without a word.
	if s.addr != addr || s.startedAtMs != since {
		s.retire()
		s.addr, s.startedAtMs = addr, since
	}
}

// RemoveEndpoint says that a store is gone from the list. What is out there may still end.
func (p *Pool) RemoveEndpoint(id string) {
	if s := p.endpoints[id]; s != nil {
		s.addr = ""
		s.retire()
		if len(s.conns) == 0 {
			delete(p.endpoints, id)
		}
	}
}

// retire has the store's connections take nothing new.
func (s *endpoint) retire() {
	for _, c := range s.conns {
		c.retired = true
	}
}

// Send queues an attempt at its store, on a connection that is up if there is one.
func (p *Pool) Send(a *gateway.Attempt) {
	s := p.endpoints[a.Endpoint]
	if s == nil || s.addr == "" { // only what our own list has named
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
		return
	}
	c := p.chooseConn(s, a.Request.ID)
	// Guards against a request on a connection that its store has closed, which nobody has read yet: it would look as if it
	// might have run.
	for c != nil && c.tc != nil && c.tc.PeerClosed() {
		if c.retired = true; len(c.inFlight) == 0 { // else its answers may have come, and wait to be read
			c.end(errors.New("closed by the store"))
		}
		c = p.chooseConn(s, a.Request.ID)
	}
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

// chooseConn returns a connection for a request's next attempt, a new one if need be; nil: there is none to be had.
func (p *Pool) chooseConn(s *endpoint, ref string) *conn {
	// Guards against one spoilt answer that takes many others down: what shares its connection is lost with it.
	c := s.leastBusyConn(ref, min(preferredStreams, p.cfg.StreamsPerConn))
	if c == nil && p.connCount < p.cfg.MaxConns/2 {
		c = p.dial(s)
	}
	if c == nil {
		c = s.leastBusyConn(ref, p.cfg.StreamsPerConn)
	}
	if c == nil && p.connCount < p.cfg.MaxConns {
		c = p.dial(s)
	}
	return c
}

// leastBusyConn returns the connection with the least out that can take the id, one that is up before one that is not.
func (s *endpoint) leastBusyConn(ref string, streams int) *conn {
	var best *conn
	for _, c := range s.conns {
		n := len(c.inFlight) + len(c.pending)
		_, quit := c.canceled[ref]
		if c.retired || c.ended || n >= streams || quit || c.inFlight[ref] != nil || c.pingID != "" ||
			slices.ContainsFunc(c.pending, func(a *gateway.Attempt) bool { return a.Request.ID == ref }) {
			continue
		}
		if best == nil || (c.tc != nil) != (best.tc != nil) && c.tc != nil ||
			(c.tc != nil) == (best.tc != nil) && n < len(best.inFlight)+len(best.pending) {
			best = c
		}
	}
	return best
}

func (p *Pool) dial(s *endpoint) *conn {
	c := &conn{pool: p, endpoint: s, inFlight: map[string]*gateway.Attempt{}, canceled: map[string]time.Time{}, lastUsed: p.loop.Now()}
	c.parser.reserve = c.reserve
	s.conns = append(s.conns, c)
	p.connCount++
	p.Counters.ConnectsStarted++
	// A store that is cut off answers no connect at all, so the time-out is ours.
	c.timer = p.loop.After(p.cfg.ConnectTimeout, func() { c.end(errors.New("no connection in time")) })
	p.engine.Dial(s.addr, p.cfg.ConnectTimeout+sweepInterval, c,
		func(tc *transport.Conn) { p.loop.Post(func() { c.opened(tc) }) },
		func(err error) { p.loop.Post(func() { c.end(err) }) })
	return c
}

// Cancel gives an attempt up: the store is told, if it was written.
func (p *Pool) Cancel(a *gateway.Attempt) {
	c, _ := a.BackendState.(*conn)
	if c == nil || c.ended {
		return
	}
	if i := slices.Index(c.pending, a); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
		return
	}
	if c.inFlight[a.Request.ID] != a {
		return
	}
	p.Counters.Canceled++
	delete(c.inFlight, a.Request.ID)
	c.canceled[a.Request.ID] = p.loop.Now()
	if err := c.tc.Write(appendCommand(nil, "QUIT", a.Request.ID)); err != nil {
		c.end(err)
	}
}

// sweep closes idle connections and tests silent ones: a machine that was cut off leaves its connections
// open without a word.
func (p *Pool) sweep() {
	now := p.loop.Now()
	for _, s := range p.endpoints {
		for _, c := range slices.Clone(s.conns) {
			if c.tc == nil || c.ended {
				continue
			}
			for id, at := range c.canceled {
				if now.Sub(at) > canceledIDLifetime {
					delete(c.canceled, id)
				}
			}
			switch {
			case c.partial && now.Sub(c.lastByte) > stallTimeout:
				c.end(errors.New("an answer stops short"))
			// Guards the requests that share the connection: they wait behind an answer that comes a byte at a time, for ever.
			case c.partial && p.cfg.AnswerTimeout > 0 && now.Sub(c.partialSince) > p.cfg.AnswerTimeout:
				c.end(errors.New("an answer does not end"))
			case c.pingID != "" && c.lastByte.After(c.pingedAt): // any byte will do
				c.pingID = ""
			case c.pingID != "" && now.Sub(c.pingedAt) > pingTimeout:
				c.end(errors.New("silent"))
			case c.pingID == "" && len(c.inFlight) > 0 && now.Sub(c.lastByte) > pingAfterSilence:
				p.pings++
				p.Counters.Pings++
				c.pingID, c.pingedAt = "t"+strconv.FormatUint(p.pings, 10), now
				if err := c.tc.Write(appendCommand(nil, "NOOP", c.pingID)); err != nil {
					c.end(err)
				}
			case len(c.inFlight) == 0 && (c.retired ||
				now.Sub(c.lastUsed) > time.Duration(idleKeepAliveShare*float64(p.cfg.KeepAlive))):
				c.end(errors.New("idle"))
			}
		}
	}
	p.loop.After(sweepInterval, p.sweep)
}
