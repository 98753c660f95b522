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
	up                bool          // it is established
	checkingHealth    bool          // the gateway was ejected: no attempt is sent before a health check succeeds
	unresponsive      bool          // a health check timed out: no attempt is sent any more, but answers are still accepted
	startedAt         time.Duration // when Connect was emitted
	lastReceived      time.Duration // when the last message arrived; also set by Up and by the first attempt in flight
	healthCheckSentAt time.Duration // when the unanswered health check was sent; 0: there is none
	lastUsed          time.Duration // when an attempt was last sent or ended
	attempts          map[uint64]*attempt
}

// sortedAttempts returns the attempts in flight, in the order in which they were sent.
func (cn *conn) sortedAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(cn.attempts), func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
}

// hasCapacity reports whether another attempt may be sent on the connection, with at most limit attempts in flight.
func (cn *conn) hasCapacity(limit int) bool {
	usable := cn.up && !cn.checkingHealth && !cn.unresponsive
	return usable && cn.healthCheckSentAt == 0 && len(cn.attempts) < limit
}

// connWithCapacity returns the connection with the fewest attempts in flight on which another may be sent, or nil.
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

// closeConn removes a connection and emits a Disconnect for it.
func (p *Planner) closeConn(cn *conn) {
	p.removeConn(cn)
	p.emit(Disconnect{cn.id})
}

func (p *Planner) removeConn(cn *conn) {
	delete(p.conns, cn.id)
	g := cn.gateway
	g.conns = slices.DeleteFunc(g.conns, func(o *conn) bool { return o == cn })
}

// handleUp marks a connection as established. If the gateway is ejected it sends a health check first, since a gateway that
// accepts connections may not serve requests yet.
func (p *Planner) handleUp(cn *conn) {
	cn.up, cn.lastReceived, cn.lastUsed = true, p.now, p.now
	if cn.gateway.ejected {
		cn.checkingHealth = true
		p.sendHealthCheck(cn)
	}
}

// handleDown ends the attempts of a connection that could not be established or has ended. It ejects the gateway, unless
// the gateway closed an idle connection in order, or was ejected when this connection became unresponsive.
func (p *Planner) handleDown(cn *conn, clean bool) {
	p.removeConn(cn)
	inFlight := len(cn.attempts)
	crossed := p.settleAttempts(cn, clean)
	idleClose := clean && (inFlight == 0 || crossed)
	switch {
	case cn.checkingHealth || !cn.up:
		p.recordConnectFailure(cn.gateway)
	case cn.unresponsive || idleClose: // already ejected, or an idle connection was closed
	default:
		p.eject(cn.gateway)
	}
}

// crossedCloseWindow is how long before an orderly close of the connection an attempt may have been sent so that the two can
// have crossed on the network.
const crossedCloseWindow = 50 * time.Millisecond

// settleAttempts retries or ends the calls whose attempts were in flight on a lost connection, in the order in which they
// were sent. It reports whether an attempt crossed an orderly close.
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

// crossedClose reports whether the only attempt on a connection crossed a clean close of that connection. A clean close
// means that no byte of the attempt reached the gateway, so it has not run and may be sent again. This is allowed once per
// call.
func (p *Planner) crossedClose(t *attempt) bool {
	return p.now-t.sentAt <= crossedCloseWindow && !t.call.crossedClose
}

// reconnectSlackShare is the fraction of a call's remaining time that the call may wait for a reconnect.
const reconnectSlackShare = 0.7

// connectTime returns when a connection to a gateway may be opened for a call. If the gateway has a usable connection,
// that is now. Otherwise it is the time that was drawn for the gateway to spread reconnects after an ejection. If the call
// cannot wait that long, an earlier time is drawn within a share of the call's remaining time.
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

// reconnectSpread returns the time over which the clients of an ejected gateway spread their reconnects: at least
// Config.Spread, and long enough that the clients together open at most Config.SpreadRate connections per second.
func (p *Planner) reconnectSpread() time.Duration {
	return max(p.cfg.Spread, time.Duration(float64(p.cfg.Clients)/p.cfg.SpreadRate*float64(time.Second)))
}

// drawUpTo draws a random duration in [0, d).
func (p *Planner) drawUpTo(d time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(d))
}
