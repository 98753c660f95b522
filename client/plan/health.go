package plan

// eject takes a gateway out of use until a health check succeeds. Attempts on its other connections may still be
// answered. The other gateways will be connected to in its place: each at a time drawn over the reconnect spread.
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

// recordConnectFailure notes that a gateway could not be reached or does not serve yet. An ejected one backs off
// longer, but not beyond the reconnect spread while no gateway is left: someone has to find out which is back first.
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

// scheduleHealthCheck draws the next health check of an ejected gateway, from half its backoff to one and a half.
func (p *Planner) scheduleHealthCheck(g *gateway) {
	g.healthCheckAt = p.now + g.backoff/2 + p.drawUpTo(g.backoff)
}

func (p *Planner) sendHealthCheck(cn *conn) {
	cn.healthCheckSentAt = max(1, p.now) // 0 says that none was sent
	p.Counters.HealthChecks++
	p.emit(HealthCheck{cn.id})
}

// handleHeard takes a sign of life, which ends a health check.
func (p *Planner) handleHeard(cn *conn, healthy bool) {
	cn.lastReceived, cn.healthCheckSentAt = p.now, 0
	if cn.checkingHealth {
		p.handleHealthCheckResult(cn, healthy)
	}
}

// handleHealthCheckResult returns an ejected gateway to use, or backs off.
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

// markUnresponsive ejects the gateway of a connection that stayed silent. Its attempts stay in flight, since their answers
// may yet come; those that may be repeated are sent elsewhere as well.
func (p *Planner) markUnresponsive(cn *conn) {
	cn.unresponsive = true
	attempts := cn.sortedAttempts()
	p.eject(cn.gateway)
	for _, t := range attempts {
		c := t.call
		c.recordMayHaveRun(t)
		if len(c.inFlight) == 1 && !p.isWaiting(c) {
			c.redirecting = p.scheduleRetry(c)
		}
	}
}
