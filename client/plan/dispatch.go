package plan

import (
	"cmp"
	"slices"
	"time"
)

// dispatchWaiting sends waiting calls to gateways, or has them connected to: the highest priority weight first.
func (p *Planner) dispatchWaiting() {
	if len(p.waiting) == 0 {
		return
	}
	p.sortWaiting()
	rejected := map[string]time.Duration{} // by class: no gateway may be sent a call before this time
	for _, c := range slices.Clone(p.waiting) {
		if p.calls[c.ID] == c && p.mayDispatch(c) {
			p.dispatch(c, rejected)
		}
	}
}

func (p *Planner) sortWaiting() {
	if p.waitingSorted {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *call) int {
		return cmp.Or(cmp.Compare(b.class.Worth, a.class.Worth), cmp.Compare(a.order, b.order))
	})
	p.waitingSorted = true
}

// mayDispatch reports whether a waiting call may be sent now. One that may not be sent any more it ends.
func (p *Planner) mayDispatch(c *call) bool {
	if p.tooLateToSend(c) {
		p.expire(c)
		return false
	}
	if c.attemptCount > 0 && !p.mayRepeat(c) { // its idempotency window closed while it waited
		p.stopRetrying(c)
		return false
	}
	return !c.redirecting || p.mayRedirect(c)
}

// dispatch sends a call to the gateway that it waits for, or to one that is picked. Classes that no gateway takes are
// noted in rejected, so that one pick serves all their calls.
func (p *Planner) dispatch(c *call, rejected map[string]time.Duration) {
	if p.canUsePendingGateway(c) { // another pick would have another gateway connected to as well
		p.sendOrConnect(c, c.pendingGateway)
		return
	}
	until, known := rejected[c.Class]
	if !known {
		var g *gateway
		if g, until = p.pickGateway(c); g != nil {
			p.sendOrConnect(c, g)
			return
		}
		rejected[c.Class] = until
	}
	p.waitForRetryAfter(c, until)
}

// canUsePendingGateway reports whether the gateway that a call waits for may still be sent it, now or once a connection is up.
func (p *Planner) canUsePendingGateway(c *call) bool {
	g := c.pendingGateway
	if g == nil || g.ejected || g.rejectedUntil[c.Class] > p.now {
		return false
	}
	return g.isConnecting() || p.connWithCapacity(g) != nil
}

// waitForRetryAfter has a call wait until a gateway that rejected its class may be asked again, or ends it if that is too
// late. Never says that all gateways are ejected: the call waits for a health check.
func (p *Planner) waitForRetryAfter(c *call, until time.Duration) {
	if until == never {
		return
	}
	c.rejectedUntil = max(c.rejectedUntil, until)
	if until >= c.Deadline-p.cfg.Way {
		p.finish(c, Refused, 0)
	}
}

// sendOrConnect sends a call to a gateway, or connects to it if no connection has capacity.
func (p *Planner) sendOrConnect(c *call, g *gateway) {
	if cn := p.connWithCapacity(g); cn != nil {
		p.send(c, cn)
		return
	}
	c.pendingGateway = g
	if len(g.conns) < p.cfg.Conns && p.now >= p.connectTime(g, c) && !g.isConnecting() {
		p.connect(g)
	}
}

func (p *Planner) send(c *call, cn *conn) {
	p.lastID++
	t := &attempt{id: p.lastID, call: c, conn: cn, sentAt: p.now}
	cn.attempts[t.id] = t
	cn.gateway.inFlight++
	if len(cn.attempts) == 1 {
		cn.lastReceived = p.now // silence counts from when work is in flight
	}
	cn.lastUsed = p.now
	c.inFlight = append(c.inFlight, t)
	c.attemptCount++
	p.Counters.Attempts++
	retry := c.attemptCount > 1
	if retry {
		p.Counters.Retries++
	}
	if c.redirecting {
		c.redirecting = false
		p.redirects.saved--
		p.Counters.Redirected++
	}
	c.connectNotBefore, c.pendingGateway = 0, nil
	p.sendRate.add(p.now)
	p.dequeue(c)
	p.emit(Send{
		Conn: cn.id, Attempt: t.id, Call: c.ID, Limit: c.Deadline - p.now - p.cfg.Way, Retry: retry,
		SendKey: c.class.Effect == IdempotentWithKey,
	})
}
