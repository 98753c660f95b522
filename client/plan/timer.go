package plan

import (
	"maps"
	"slices"
	"time"
)

// runTimers does what is due: deadlines, connections that are idle or silent, health checks of ejected gateways.
func (p *Planner) runTimers() {
	for len(p.byDeadline) > 0 && p.byDeadline[0].Deadline <= p.now {
		p.expire(p.byDeadline[0])
	}
	for _, g := range p.gateways {
		maps.DeleteFunc(g.rejectedUntil, func(_ string, until time.Duration) bool { return until <= p.now })
		for _, cn := range slices.Clone(g.conns) {
			p.runConnTimers(g, cn)
		}
		if p.wantsHealthCheck(g) && p.now >= g.healthCheckAt {
			p.connect(g)
		}
	}
}

// wantsHealthCheck reports whether an ejected gateway is to be connected to once its backoff has passed.
func (p *Planner) wantsHealthCheck(g *gateway) bool {
	return g.ejected && !g.isConnecting() && p.hasCalls()
}

// runConnTimers does what is due on a connection: one that does not come up is given up, one that is silent with
// attempts in flight is asked for a health check and left if that stays unanswered, one that is idle is closed.
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

// silentAt is when a connection with attempts in flight has been silent for so long that it is asked for a health check.
func (p *Planner) silentAt(cn *conn) time.Duration {
	return max(cn.lastReceived, cn.lastUsed) + p.cfg.Silence
}

func (p *Planner) idleAt(cn *conn) time.Duration { return cn.lastUsed + p.cfg.Idle }

// redirectPollInterval is how often waiting redirects are looked at: four times while the least rate allows one.
const redirectPollInterval = time.Second / minRedirectsPerSecond / 4

// NextTimer is when a Timer event is wanted; false: not before something else happens.
func (p *Planner) NextTimer() (at time.Duration, ok bool) {
	at = min(p.nextCallTimer(), p.nextGatewayTimer())
	for _, g := range p.gateways {
		for _, cn := range g.conns {
			at = min(at, p.nextConnTimer(cn))
		}
	}
	return max(at, p.now), at != never
}

// nextCallTimer is when a call expires, or a waiting one may be sent.
func (p *Planner) nextCallTimer() time.Duration {
	at := never
	if len(p.byDeadline) > 0 {
		at = p.byDeadline[0].Deadline
	}
	for _, c := range p.waiting {
		at = min(at, c.Deadline-p.cfg.Way)
		if c.redirecting {
			at = min(at, p.now+redirectPollInterval)
		}
		if c.connectNotBefore > p.now {
			at = min(at, c.connectNotBefore)
		}
	}
	return at
}

// nextGatewayTimer is when a gateway may be sent waiting calls, may be connected to, or gets a health check.
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
		if p.wantsHealthCheck(g) {
			at = min(at, g.healthCheckAt)
		}
	}
	return at
}

// nextConnTimer is when a connection has something due in runConnTimers.
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
