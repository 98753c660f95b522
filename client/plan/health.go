package plan

// eject takes a gateway out of use until a health check succeeds. Attempts in flight on its other connections may still be
// answered. For each remaining gateway without a connection, eject draws the earliest time to connect, so that the clients
// of the ejected gateway do not all connect to another one at once.
func (p *Planner) eject(g *gateway) {
	p.Counters.Ejections++
	if !g.ejected {
		g.ejected, g.backoff = true, p.cfg.ProbeFirst
		g.successRate = 1
		clear(g.rejectedUntil)
	}
	p.scheduleHealthCheck(g)
	spread := p.reconnectSpread()
	for _, o := range p.gateways {
		if o != g && !o.ejected && len(o.conns) == 0 {
			o.connectNotBefore = max(o.connectNotBefore, p.now+p.drawUpTo(spread))
		}
	}
}

// recordConnectFailure ejects a gateway that could not be connected to, or that failed its health check. If it is ejected
// already, its backoff doubles. While all gateways are ejected the backoff is at most the reconnect spread, so that the
// client soon notices the first gateway that recovers.
func (p *Planner) recordConnectFailure(g *gateway) {
	if !g.ejected {
		p.eject(g)
		return
	}
	g.backoff = min(p.cfg.ProbeLongest, 2*g.backoff)
	if p.AvailableGateways() == 0 {
		g.backoff = min(g.backoff, p.reconnectSpread())
	}
	p.scheduleHealthCheck(g)
}

// scheduleHealthCheck draws the time of the next health check of an ejected gateway: after 0.5 to 1.5 times its backoff.
func (p *Planner) scheduleHealthCheck(g *gateway) {
	g.healthCheckAt = p.now + g.backoff/2 + p.drawUpTo(g.backoff)
}

func (p *Planner) sendHealthCheck(cn *conn) {
	cn.healthCheckSentAt = max(1, p.now) // 0 means that no health check is unanswered
	p.Counters.HealthChecks++
	p.emit(HealthCheck{cn.id})
}

// handleReceived processes a message other than the answer to an attempt in flight. Any such message ends a pending health
// check; on a connection to an ejected gateway, healthy is the result of that check.
func (p *Planner) handleReceived(cn *conn, healthy bool) {
	cn.lastReceived, cn.healthCheckSentAt = p.now, 0
	if cn.checkingHealth {
		p.handleHealthCheckResult(cn, healthy)
	}
}

// handleHealthCheckResult returns an ejected gateway to use if it is healthy. Otherwise it closes the connection and backs
// off.
func (p *Planner) handleHealthCheckResult(cn *conn, healthy bool) {
	cn.checkingHealth = false
	if !healthy {
		p.closeConn(cn)
		p.recordConnectFailure(cn.gateway)
		return
	}
	g := cn.gateway
	g.ejected, g.recoveredAt, g.backoff = false, p.now, 0
	g.connectNotBefore = p.now + p.drawUpTo(p.reconnectSpread())
}

// markUnresponsive ejects the gateway of a connection on which a health check timed out. The attempts on the connection
// stay in flight, since their answers may still arrive; calls that may be retried are queued for another gateway as well.
func (p *Planner) markUnresponsive(cn *conn) {
	cn.unresponsive = true
	attempts := cn.sortedAttempts()
	p.eject(cn.gateway)
	for _, t := range attempts {
		c := t.call
		if len(c.inFlight) == 1 && !p.isWaiting(c) {
			c.redirecting = p.scheduleRetry(c)
		}
	}
}
