package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// conn is one connection to a gateway.
type conn struct {
	id                uint64
	gateway           *gateway
	up                bool
	checkingHealth    bool // the gateway was ejected: nothing is sent before it answers a health check
	unresponsive      bool // nothing new is sent on it, but answers are still taken
	startedAt         time.Duration
	lastReceived      time.Duration // when anything came; silence counts from the later of this and lastUsed
	healthCheckSentAt time.Duration // 0: none is unanswered
	lastUsed          time.Duration // when an attempt was sent or ended
	attempts          map[uint64]*attempt
}

// sortedAttempts are the attempts in flight, in the order in which they were sent.
func (cn *conn) sortedAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(cn.attempts), func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
}

// hasCapacity reports whether an attempt may be sent on a connection that has at most limit in flight.
func (cn *conn) hasCapacity(limit int) bool {
	usable := cn.up && !cn.checkingHealth && !cn.unresponsive
	return usable && cn.healthCheckSentAt == 0 && len(cn.attempts) < limit
}

// connWithCapacity is the connection with the fewest attempts in flight that may be sent one more, or nil.
func (p *Planner) connWithCapacity(g *gateway) *conn {
	var best *conn
	for _, cn := range g.conns {
		if !cn.hasCapacity(p.cfg.Open) {
			continue
		}
		if best == nil || len(cn.attempts) < len(best.attempts) {
			best = cn
		}
	}
	return best
}

func (p *Planner) connect(g *gateway) {
	p.lastID++
	cn := &conn{id: p.lastID, gateway: g, startedAt: p.now, attempts: map[uint64]*attempt{}, checkingHealth: g.ejected}
	g.conns = append(g.conns, cn)
	p.conns[cn.id] = cn
	p.Counters.Connects++
	p.emit(Connect{Conn: cn.id, Gateway: g.name})
}

// closeConn closes a connection and forgets it.
func (p *Planner) closeConn(cn *conn) {
	p.removeConn(cn)
	p.emit(Disconnect{cn.id})
}

func (p *Planner) removeConn(cn *conn) {
	delete(p.conns, cn.id)
	g := cn.gateway
	g.conns = slices.DeleteFunc(g.conns, func(o *conn) bool { return o == cn })
}

// handleUp begins a health check if the gateway was ejected: that it accepts connections does not say that it serves.
func (p *Planner) handleUp(cn *conn) {
	cn.up, cn.lastReceived, cn.lastUsed = true, p.now, p.now
	if cn.gateway.ejected {
		cn.checkingHealth = true
		p.sendHealthCheck(cn)
	}
}

// handleDown settles the attempts of a connection that did not come up or has ended, and ejects its gateway unless
// the end says nothing against it.
func (p *Planner) handleDown(cn *conn, clean bool) {
	p.removeConn(cn)
	inFlight := len(cn.attempts)
	crossed := p.settleAttempts(cn, clean)
	idleClose := clean && (inFlight == 0 || crossed)
	switch {
	case cn.checkingHealth || !cn.up:
		p.recordConnectFailure(cn.gateway)
	case cn.unresponsive || idleClose: // it is ejected already, or closed a connection without work
	default:
		p.eject(cn.gateway)
	}
}

// crossedCloseWindow is how long before an orderly close an attempt may have been sent and still have crossed it on the way.
const crossedCloseWindow = 50 * time.Millisecond

// settleAttempts ends the attempts of a connection that is gone, in the order in which they were sent, and reports
// whether one crossed an orderly close.
func (p *Planner) settleAttempts(cn *conn, clean bool) (crossed bool) {
	attempts := cn.sortedAttempts()
	for _, t := range attempts {
		c := t.call
		p.releaseAttempt(t)
		c.removeAttempt(t)
		if clean && len(attempts) == 1 && p.crossedClose(t) {
			c.crossedClose, crossed = true, true
			p.Counters.Crossed++
			p.enqueue(c)
			continue
		}
		c.redirecting = true
		c.recordMayHaveRun(t)
		if !p.superseded(c) {
			p.retryOrFinish(c, Unknown, t)
		}
	}
	return crossed
}

// crossedClose reports whether the only attempt on a connection crossed its clean close on the way. Such a close says that
// nothing of the attempt has reached the gateway, so it has not run and may be sent again, once for each call.
func (p *Planner) crossedClose(t *attempt) bool {
	return p.now-t.sentAt <= crossedCloseWindow && !t.call.crossedClose
}

// reconnectSlackShare is the part of the time that a call has left that it may wait for a reconnect.
const reconnectSlackShare = 0.7

// connectTime is when a gateway may be connected to for a call: at once if it has a usable connection; after another
// gateway was ejected at the time that was drawn for it, or sooner, at one drawn within the call's slack, if the call
// could not wait so long.
func (p *Planner) connectTime(g *gateway, c *call) time.Duration {
	if slices.ContainsFunc(g.conns, func(cn *conn) bool { return !cn.unresponsive }) {
		return p.now
	}
	if c.connectNotBefore == 0 && g.connectNotBefore > p.now {
		slack := time.Duration(reconnectSlackShare * float64(c.Deadline-p.now))
		if wait := g.connectNotBefore - p.now; wait > slack && slack > 0 {
			c.connectNotBefore = p.now + p.drawUpTo(slack)
		}
	}
	if c.connectNotBefore > 0 {
		return min(g.connectNotBefore, c.connectNotBefore)
	}
	return g.connectNotBefore
}

// reconnectSpread is the span over which the clients of an ejected gateway reconnect: at least Config.Spread, and long
// enough that no gateway gets more than Config.SpreadRate connections a second.
func (p *Planner) reconnectSpread() time.Duration {
	return max(p.cfg.Spread, time.Duration(float64(p.cfg.Clients)/p.cfg.SpreadRate*float64(time.Second)))
}

// drawUpTo draws a time in [0, d).
func (p *Planner) drawUpTo(d time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(d))
}
