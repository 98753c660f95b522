package plan

import (
	"maps"
	"slices"
	"time"
)

// runTimers expires calls at their deadline, forgets Retry-Afters that have passed, handles timeouts of connections, and
// connects to ejected gateways whose backoff has passed.
func (p *Planner) runTimers() {
	for len(p.byDeadline) > 0 && p.byDeadline[0].Deadline <= p.now {
		p.expire(p.byDeadline[0])
	}
	for _, g := range p.gateways {
		maps.DeleteFunc(g.rejectedUntil, func(_ string, until time.Duration) bool { return until <= p.now })
		for _, cn := range slices.Clone(g.conns) {
			p.runConnTimers(g, cn)
		}
		if p.needsHealthCheck(g) && p.now >= g.healthCheckAt {
			p.connect(g)
		}
	}
}

// needsHealthCheck reports whether the planner is to connect to an ejected gateway once its backoff has passed: calls are
// open, and no connection to it is being established.
func (p *Planner) needsHealthCheck(g *gateway) bool {
	return g.ejected && !g.isConnecting() && p.hasCalls()
}

// runConnTimers handles the timeouts of a connection. It closes a connection that was not established in time, that is idle
// for too long, or that is unresponsive without attempts in flight. If a connection with attempts in flight is silent, it
// sends a health check, and gives the connection up if that is not answered in time.
func (p *Planner) runConnTimers(g *gateway, cn *conn) {
	checking := cn.healthCheckSentAt > 0
	switch {
	case !cn.up:
		if p.now >= p.connectTimeoutAt(cn) {
			p.closeConn(cn)
			p.recordConnectFailure(g)
		}
	case cn.unresponsive:
		if len(cn.attempts) == 0 {
			p.closeConn(cn)
		}
	case checking && p.now >= p.healthCheckTimeoutAt(cn):
		p.healthCheckTimedOut(g, cn)
	case !checking && len(cn.attempts) > 0 && p.now >= p.silentAt(cn):
		p.sendHealthCheck(cn)
	case len(cn.attempts) == 0 && !cn.checkingHealth && p.now >= p.idleAt(cn):
		p.closeConn(cn)
	}
}

func (p *Planner) healthCheckTimedOut(g *gateway, cn *conn) {
	p.Counters.Unresponsive++
	if !cn.checkingHealth {
		p.markUnresponsive(cn)
		return
	}
	p.closeConn(cn)
	p.recordConnectFailure(g)
}

func (p *Planner) connectTimeoutAt(cn *conn) time.Duration { return cn.startedAt + p.cfg.Connect }

func (p *Planner) healthCheckTimeoutAt(cn *conn) time.Duration {
	return cn.healthCheckSentAt + p.cfg.Silence
}

// silentAt returns when a health check is due on a connection with attempts in flight: Config.Silence after the later of the
// last message and the last attempt that was sent or ended.
func (p *Planner) silentAt(cn *conn) time.Duration {
	return max(cn.lastReceived, cn.lastUsed) + p.cfg.Silence
}

func (p *Planner) idleAt(cn *conn) time.Duration { return cn.lastUsed + p.cfg.Idle }

// redirectPollInterval is the interval of timers while redirects wait for their budget: a quarter of the time in which the
// minimum rate adds one redirect to it.
const redirectPollInterval = time.Second / minRedirectsPerSecond / 4

// NextTimer returns the time on the planner's clock at which the driver should pass in a Timer event, or false if no timer
// is needed before the next other event. The time may change with each event.
func (p *Planner) NextTimer() (at time.Duration, ok bool) {
	at = min(p.nextCallTimer(), p.nextGatewayTimer())
	for _, g := range p.gateways {
		for _, cn := range g.conns {
			at = min(at, p.nextConnTimer(cn))
		}
	}
	return max(at, p.now), at != never
}

// nextCallTimer returns when the next call expires, or a waiting call may be sent or may not be sent any more.
func (p *Planner) nextCallTimer() time.Duration {
	at := never
	if len(p.byDeadline) > 0 {
		at = p.byDeadline[0].Deadline
	}
	for _, c := range p.waiting {
		at = min(at, min(c.Deadline, c.repeatableUntil())-p.cfg.Way)
		if c.redirecting {
			at = min(at, p.now+redirectPollInterval)
		}
		if c.connectNotBefore > p.now {
			at = min(at, c.connectNotBefore)
		}
	}
	return at
}

// nextGatewayTimer returns when the next gateway may be sent waiting calls or be connected to.
func (p *Planner) nextGatewayTimer() time.Duration {
	at := never
	for _, g := range p.gateways {
		if len(p.waiting) > 0 {
			for _, until := range g.rejectedUntil {
				at = min(at, until)
			}
			if g.connectNotBefore > p.now {
				at = min(at, g.connectNotBefore)
			}
		}
		if p.needsHealthCheck(g) {
			at = min(at, g.healthCheckAt)
		}
	}
	return at
}

// nextConnTimer returns when runConnTimers is next due for a connection.
func (p *Planner) nextConnTimer(cn *conn) time.Duration {
	switch {
	case !cn.up:
		return p.connectTimeoutAt(cn)
	case cn.unresponsive:
		return never
	case cn.healthCheckSentAt > 0:
		return p.healthCheckTimeoutAt(cn)
	case len(cn.attempts) > 0:
		return p.silentAt(cn)
	default:
		return p.idleAt(cn)
	}
}
