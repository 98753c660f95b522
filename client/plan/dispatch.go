package plan

import (
	"cmp"
	"slices"
	"time"
)

// dispatchWaiting sends the waiting calls or opens connections for them, in the order of priority weight, highest first.
func (p *Planner) dispatchWaiting() {
	if len(p.waiting) == 0 {
		return
	}
	p.sortWaiting()
	rejected := map[string]time.Duration{} // by class: until when no gateway may be sent a call of it
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

// mayDispatch reports whether a waiting call may be sent now. It ends a call that may no longer be sent at all.
func (p *Planner) mayDispatch(c *call) bool {
	if p.tooLateToSend(c) {
		p.expire(c)
		return false
	}
	if !p.mayRepeat(c) { // the class's window ended while the call waited
		p.stopRetrying(c)
		return false
	}
	return !c.redirecting || p.mayRedirect(c)
}

// dispatch sends a call to its pending gateway, if that can still be used, or else to a newly picked one. If no gateway may
// be sent the class, dispatch records that in rejected, so that it does not pick again for further calls of the class.
func (p *Planner) dispatch(c *call, rejected map[string]time.Duration) {
	if p.canUsePendingGateway(c) { // a new pick could open a connection to a second gateway for the same call
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

// canUsePendingGateway reports whether a call can be sent to its pending gateway, now or as soon as a connection is up.
func (p *Planner) canUsePendingGateway(c *call) bool {
	g := c.pendingGateway
	if g == nil || g.ejected || g.rejectedUntil[c.Class] > p.now {
		return false
	}
	return g.isConnecting() || p.connWithCapacity(g) != nil
}

// waitForRetryAfter leaves a call waiting until the earliest Retry-After for its class ends. It ends the call if that leaves no time
// for an answer, or is too late to repeat the call. If until is never, all gateways are ejected: the call waits for one to recover.
func (p *Planner) waitForRetryAfter(c *call, until time.Duration) {
	if until == never {
		return
	}
	c.rejectedUntil = max(c.rejectedUntil, until)
	switch back := until + p.cfg.Way; {
	case back >= min(c.repeatableUntil(), c.Deadline) && !c.repeatableAnyTime():
		p.stopRetrying(c)
	case back >= c.Deadline:
		p.finish(c, Refused, 0)
	}
}

// sendOrConnect sends a call to a gateway. If no connection has capacity, it makes the gateway the call's pending gateway
// and opens a connection, unless one is being established, the limit is reached, or connectTime is in the future.
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
	p.limitToWindow(c)
	limit := min(c.Deadline, c.repeatableUntil()) - p.now - p.cfg.Way
	p.lastID++
	t := &attempt{id: p.lastID, call: c, conn: cn, sentAt: p.now}
	cn.attempts[t.id] = t
	cn.gateway.inFlight++
	if len(cn.attempts) == 1 {
		cn.lastReceived = p.now // Config.Silence is measured from the first attempt in flight
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
		p.redirects.tokens--
		p.Counters.Redirected++
	}
	c.connectNotBefore, c.pendingGateway = 0, nil
	p.sendRate.add(p.now)
	p.dequeue(c)
	p.emit(Send{
		Conn: cn.id, Attempt: t.id, Call: c.ID, Limit: limit, Retry: retry,
		SendKey: c.class.Effect == IdempotentWithKey,
	})
}
