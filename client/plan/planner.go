package plan

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	rampStartShare        = 0.1  // share with which a returned gateway begins
	successRateGain       = 0.05 // of the newest result in a gateway's good share
	minSuccessRate        = 0.05 // a gateway is never weighed less for its results
	sendRateWindow        = 2 * time.Second
	minRedirectsPerSecond = 10   // redirects a second that there are always
	reconnectSlackShare   = 0.7  // of the time that a call has left, what it may wait for a reconnect
	retryAfterJitter      = 0.25 // of a refusal's advice is added to it at most
	never                 = time.Duration(math.MaxInt64)
)

// Planner decides. It is not safe for concurrent use.
type Planner struct {
	Counters Counters

	cfg              Config
	rng              *rand.Rand
	now              time.Duration
	actions          []Action
	classes          map[string]*Class
	gateways         []*gateway
	calls            map[uint64]*call
	conns            map[uint64]*conn
	waiting          []*call // for a gateway, a connection or their time, the most worth first
	waitingSorted    bool
	byDeadline       deadlineHeap
	lastID           uint64
	lastOrder        uint64
	retryBudget      float64
	sendRate         float64 // sends a second, lately
	sendRateAt       time.Duration
	redirectTokens   float64 // redirects that may be made now
	redirectTokensAt time.Duration
	closed           bool
}

type gateway struct {
	name             string
	conns            []*conn
	inFlight         int
	successRate      float64                  // share of good results lately
	rejectedUntil    map[string]time.Duration // by class: refused until then
	ejected          bool
	healthCheckAt    time.Duration // when it is tried again
	backoff          time.Duration // before that
	recoveredAt      time.Duration // when it came, or came back
	connectNotBefore time.Duration // no new connection before that: reconnects are spread
}

type conn struct {
	id                uint64
	gateway           *gateway
	up                bool
	checkingHealth    bool // it finds out whether a dead gateway is back
	unresponsive      bool // it has been silent: nothing new goes there, but what comes is still heard
	startedAt         time.Duration
	lastReceived      time.Duration
	healthCheckSentAt time.Duration // when it was asked for a sign of life; 0: it was not
	lastUsed          time.Duration
	attempts          map[uint64]*attempt
}

type attempt struct {
	id     uint64
	call   *call
	conn   *conn
	sentAt time.Duration
}

type call struct {
	Call
	heapIndex        int // place among the deadlines; -1: none
	class            *Class
	order            uint64
	attemptCount     int
	mayHaveRunSince  time.Duration // when a try was sent that may have run; negative: none was
	inFlight         []*attempt
	connectNotBefore time.Duration // it waits until then at least
	pendingGateway   *gateway      // whose connection it waits for
	redirecting      bool          // its gateway died under it
	crossedClose     bool
	rejectedUntil    time.Duration // what a refusal said last
	failed           bool
}

// Handle takes one event and appends the actions to out. Time must not run backwards.
func (p *Planner) Handle(now time.Duration, ev Event, out []Action) []Action {
	p.now, p.actions = max(now, p.now), out
	switch ev := ev.(type) {
	case Call:
		p.startCall(ev)
	case Cancelled:
		if c := p.calls[ev.ID]; c != nil {
			p.release(c)
		}
	case Up:
		if c := p.conns[ev.Conn]; c != nil {
			c.up, c.lastReceived, c.lastUsed = true, p.now, p.now
			if c.gateway.ejected { // it listens, which is not yet to say that it serves
				c.checkingHealth, c.healthCheckSentAt = true, max(1, p.now)
				p.Counters.HealthChecks++
				p.emit(HealthCheck{c.id})
			}
		}
	case Down:
		p.handleDown(ev)
	case Heard:
		if c := p.conns[ev.Conn]; c != nil {
			c.lastReceived, c.healthCheckSentAt = p.now, 0
			if c.checkingHealth {
				p.handleHealthCheckResult(c, ev.Healthy)
			}
		}
	case Answered:
		p.handleAnswer(ev)
	case Close:
		p.shutDown()
	}
	if !p.closed {
		p.runTimers()
		p.dispatchWaiting()
	}
	out, p.actions = p.actions, nil
	return out
}

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Planner) startCall(q Call) {
	p.Counters.Calls++
	class := p.classes[q.Class]
	if p.calls[q.ID] != nil {
		return
	}
	c := &call{Call: q, class: class, mayHaveRunSince: -1, heapIndex: -1}
	switch {
	case p.closed:
		p.finish(c, Closed, 0)
		return
	case class == nil: // no gateway would know it
		p.finish(c, Unsent, 0)
		return
	case class.Deadline > 0:
		c.Deadline = min(c.Deadline, p.now+class.Deadline)
	}
	p.lastOrder++
	c.order = p.lastOrder
	p.calls[q.ID] = c
	heap.Push(&p.byDeadline, c)
	p.enqueue(c)
}

// enqueue has a call wait to be sent, if it does not yet.
func (p *Planner) enqueue(c *call) {
	if !slices.Contains(p.waiting, c) {
		p.waiting, p.waitingSorted = append(p.waiting, c), false
	}
}

// finish gives a call its one ending.
func (p *Planner) finish(c *call, as Ending, by uint64) {
	p.Counters.Ended[as]++
	p.release(c)
	p.emit(End{Call: c.ID, Ending: as, Attempt: by, RetryAfter: max(0, c.rejectedUntil-p.now), Attempts: c.attemptCount})
}

// release forgets a call; nothing more is wanted of its tries.
func (p *Planner) release(c *call) {
	delete(p.calls, c.ID)
	if c.heapIndex >= 0 {
		heap.Remove(&p.byDeadline, c.heapIndex)
	}
	if i := slices.Index(p.waiting, c); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	for _, t := range c.inFlight {
		p.releaseAttempt(t)
		p.emit(Abandon{Conn: t.conn.id, Attempt: t.id})
	}
	c.inFlight = nil
}

// releaseAttempt takes a try off its connection.
func (p *Planner) releaseAttempt(t *attempt) {
	delete(t.conn.attempts, t.id)
	t.conn.gateway.inFlight--
	t.conn.lastUsed = p.now
}

func (p *Planner) handleAnswer(a Answered) {
	cn := p.conns[a.Conn]
	if cn == nil {
		return
	}
	if cn.lastReceived = p.now; !cn.checkingHealth { // one that was asked whether it serves is to say so
		cn.healthCheckSentAt = 0
	}
	t := cn.attempts[a.Attempt]
	g := cn.gateway
	if t == nil { // given up, answered before, or never asked
		p.Counters.Late++
		if a.Rejected && a.RetryAfter > 0 { // it counts all the same, for all classes: whose it was is forgotten
			p.Counters.RejectionsHeeded++
		}
		return
	}
	c := t.call
	p.releaseAttempt(t)
	c.inFlight = slices.DeleteFunc(c.inFlight, func(o *attempt) bool { return o == t })
	switch {
	case a.OK:
		p.retryBudget = min(p.cfg.BudgetMost, p.retryBudget+p.cfg.Budget)
		g.successRate += successRateGain * (1 - g.successRate)
		p.finish(c, Served, t.id)
	case a.Rejected:
		g.successRate += successRateGain * (0.5 - g.successRate)
		if a.RetryAfter > 0 { // all requests of the class heed it; a little later than told, and not all clients at once
			p.Counters.RejectionsHeeded++
			until := p.now + a.RetryAfter + time.Duration(p.rng.Float64()*retryAfterJitter*float64(a.RetryAfter))
			g.rejectedUntil[c.Class] = max(g.rejectedUntil[c.Class], until)
			c.rejectedUntil = max(c.rejectedUntil, until)
		}
		if !p.superseded(c) {
			p.retryOrFinish(c, Refused, t)
		}
	default:
		g.successRate += successRateGain * (0 - g.successRate)
		c.failed = true
		c.recordMayHaveRun(t)
		if !p.superseded(c) {
			p.retryOrFinish(c, Failed, t)
		}
	}
	if cn.unresponsive && len(cn.attempts) == 0 {
		p.closeConn(cn)
	}
}

// superseded says that a newer try of a call is out, or about to be: the end of an older one changes nothing.
func (p *Planner) superseded(c *call) bool {
	return len(c.inFlight) > 0 || slices.Contains(p.waiting, c)
}

// recordMayHaveRun notes that a try may have run.
func (c *call) recordMayHaveRun(t *attempt) {
	if c.mayHaveRunSince < 0 || t.sentAt < c.mayHaveRunSince {
		c.mayHaveRunSince = t.sentAt
	}
}

// retryOrFinish puts a call back to wait for another try, or ends it.
func (p *Planner) retryOrFinish(c *call, as Ending, t *attempt) {
	if as == Unknown {
		c.recordMayHaveRun(t)
	}
	if !p.scheduleRetry(c) {
		p.finish(c, as, t.id)
	}
}

// scheduleRetry has a call wait for another try, if it may have one.
func (p *Planner) scheduleRetry(c *call) bool {
	switch {
	case c.attemptCount > max(0, p.cfg.Retries):
		p.Counters.AttemptsUsedUp++
	case !p.mayRepeat(c):
		p.Counters.NotRepeatable++
	case p.now+p.cfg.Way >= c.Deadline:
		p.Counters.NoTime++
	case p.retryBudget < 1:
		p.Counters.BudgetSpent++
	default:
		p.retryBudget--
		p.enqueue(c)
		return true
	}
	return false
}

// mayRepeat says whether another try may go out now: one that may have run binds keyed and unsafe classes.
func (p *Planner) mayRepeat(c *call) bool {
	if c.class.Effect == Idempotent || c.mayHaveRunSince < 0 {
		return true
	}
	// The repeat has to arrive within the window, too.
	return c.class.Effect == IdempotentWithKey && p.now+p.cfg.Way < c.mayHaveRunSince+c.class.Window
}

// handleDown settles what was out on a connection that did not come up or has ended.
func (p *Planner) handleDown(ev Down) {
	cn := p.conns[ev.Conn]
	if cn == nil {
		return
	}
	p.removeConn(cn)
	out, crossing := p.settleAttempts(cn, ev.Clean)
	switch {
	case cn.checkingHealth || !cn.up:
		p.recordConnectFailure(cn.gateway)
	case cn.unresponsive, ev.Clean && (out == 0 || crossing): // it is dead already, or closed one that was idle
	default:
		p.eject(cn.gateway)
	}
}

func (p *Planner) removeConn(cn *conn) {
	delete(p.conns, cn.id)
	g := cn.gateway
	g.conns = slices.DeleteFunc(g.conns, func(o *conn) bool { return o == cn })
}

// settleAttempts ends the tries of a connection that is gone, in the order in which they were sent: so many, or one that
// crossed an orderly close.
func (p *Planner) settleAttempts(cn *conn, clean bool) (n int, crossing bool) {
	var all []*attempt
	for _, t := range cn.attempts {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	for _, t := range all {
		n++
		c := t.call
		p.releaseAttempt(t)
		c.inFlight = slices.DeleteFunc(c.inFlight, func(o *attempt) bool { return o == t })
		// A gateway closes only what has no request open: one that crossed that has not run, and goes out once more.
		if clean && len(all) == 1 && p.now-t.sentAt <= crossedCloseWindow && !c.crossedClose {
			c.crossedClose, crossing = true, true
			p.Counters.Crossed++
			p.enqueue(c)
			continue
		}
		c.redirecting = true
		if c.recordMayHaveRun(t); !p.superseded(c) {
			p.retryOrFinish(c, Unknown, t)
		}
	}
	return n, crossing
}

// eject takes a gateway out of use. What is out on its other connections may still be answered.
func (p *Planner) eject(g *gateway) {
	p.Counters.Ejections++
	if !g.ejected {
		g.ejected, g.backoff = true, p.cfg.ProbeFirst
		g.successRate = 1
		clear(g.rejectedUntil)
	}
	g.healthCheckAt = p.now + p.jitter(g.backoff)
	// Others are connected to as well, in place of this one: by draw, over the whole span.
	spread := p.reconnectSpread()
	for _, o := range p.gateways {
		if o != g && !o.ejected && len(o.conns) == 0 {
			o.connectNotBefore = max(o.connectNotBefore, p.now+time.Duration(p.rng.Float64()*float64(spread)))
		}
	}
}

// reconnectSpread is the span over which clients of a dead gateway connect anew.
func (p *Planner) reconnectSpread() time.Duration {
	return max(p.cfg.Spread, time.Duration(float64(p.cfg.Clients)/p.cfg.SpreadRate*float64(time.Second)))
}

// recordConnectFailure notes that a gateway could not be reached, or does not serve yet.
func (p *Planner) recordConnectFailure(g *gateway) {
	if !g.ejected {
		p.eject(g)
		return
	}
	g.backoff = min(p.cfg.ProbeLongest, 2*g.backoff)
	if p.Alive() == 0 { // someone has to find out which is back first
		g.backoff = min(g.backoff, p.reconnectSpread())
	}
	g.healthCheckAt = p.now + p.jitter(g.backoff)
}

// handleHealthCheckResult is the answer of a dead gateway.
func (p *Planner) handleHealthCheckResult(cn *conn, alive bool) {
	cn.checkingHealth = false
	if !alive {
		p.closeConn(cn)
		p.recordConnectFailure(cn.gateway)
		return
	}
	cn.gateway.ejected, cn.gateway.recoveredAt, cn.gateway.backoff = false, p.now, 0
	cn.gateway.connectNotBefore = p.now + time.Duration(p.rng.Float64()*float64(p.reconnectSpread()))
}

func (p *Planner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Float64()*float64(d))
}

// shutDown ends everything.
func (p *Planner) shutDown() {
	p.closed = true
	var all []*call
	for _, c := range p.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.order, b.order) })
	for _, c := range all {
		p.finish(c, Closed, 0)
	}
	for _, g := range p.gateways {
		for _, cn := range g.conns {
			delete(p.conns, cn.id)
			p.emit(Hangup{cn.id})
		}
		g.conns = nil
	}
	p.waiting = nil
}

// runTimers does what is due: deadlines, idle and silent connections, gateways to be tried again.
func (p *Planner) runTimers() {
	for len(p.byDeadline) > 0 && p.byDeadline[0].Deadline <= p.now {
		p.expire(p.byDeadline[0])
	}
	for _, g := range p.gateways {
		maps.DeleteFunc(g.rejectedUntil, func(_ string, until time.Duration) bool { return until <= p.now })
		for _, cn := range slices.Clone(g.conns) {
			p.runConnTimers(g, cn)
		}
		if g.ejected && !p.isConnecting(g) && p.now >= g.healthCheckAt && p.hasCalls() {
			p.connect(g)
		}
	}
}

// runConnTimers does what is due on a connection: it is given up if it does not come up, is asked whether the gateway serves if it is
// silent with attempts out, and is closed when it is idle.
func (p *Planner) runConnTimers(g *gateway, cn *conn) {
	switch {
	case !cn.up:
		if p.now >= cn.startedAt+p.cfg.Connect {
			p.closeConn(cn)
			p.recordConnectFailure(g)
		}
	case cn.unresponsive:
		if len(cn.attempts) == 0 {
			p.closeConn(cn)
		}
	case cn.healthCheckSentAt > 0 && p.now >= cn.healthCheckSentAt+p.cfg.Silence:
		p.Counters.Unresponsive++
		if cn.checkingHealth {
			p.closeConn(cn)
			p.recordConnectFailure(g)
		} else {
			p.markUnresponsive(cn)
		}
	case cn.healthCheckSentAt == 0 && len(cn.attempts) > 0 && p.now >= max(cn.lastReceived, cn.lastUsed)+p.cfg.Silence:
		cn.healthCheckSentAt = max(1, p.now)
		p.Counters.HealthChecks++
		p.emit(HealthCheck{cn.id})
	case len(cn.attempts) == 0 && !cn.checkingHealth && p.now >= cn.lastUsed+p.cfg.Idle:
		p.closeConn(cn)
	}
}

// closeConn closes a connection and forgets it.
func (p *Planner) closeConn(cn *conn) {
	p.removeConn(cn)
	p.emit(Hangup{cn.id})
}

// markUnresponsive leaves a connection that is silent. Its tries stay out, since their answers may yet come; what may be sent again
// is, elsewhere.
func (p *Planner) markUnresponsive(cn *conn) {
	cn.unresponsive = true
	var all []*attempt
	for _, t := range cn.attempts {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	p.eject(cn.gateway)
	for _, t := range all {
		c := t.call
		if c.recordMayHaveRun(t); len(c.inFlight) == 1 && !slices.Contains(p.waiting, c) {
			c.redirecting = p.scheduleRetry(c)
		}
	}
}

// hasCalls says whether anyone asks for anything: a client without work leaves dead gateways alone.
func (p *Planner) hasCalls() bool { return len(p.calls) > 0 }

// expire ends a call whose time is over.
func (p *Planner) expire(c *call) {
	switch {
	case len(c.inFlight) == 0 && c.rejectedUntil > 0 && c.mayHaveRunSince < 0:
		p.finish(c, Refused, 0)
	case c.attemptCount == 0:
		p.finish(c, Unsent, 0)
	default:
		p.finish(c, Expired, 0)
	}
}

// dispatchWaiting gives waiting calls to gateways, the most worth first.
func (p *Planner) dispatchWaiting() {
	if len(p.waiting) == 0 {
		return
	}
	if !p.waitingSorted {
		slices.SortStableFunc(p.waiting, func(a, b *call) int {
			return cmp.Or(cmp.Compare(b.class.Worth, a.class.Worth), cmp.Compare(a.order, b.order))
		})
		p.waitingSorted = true
	}
	held := map[string]time.Duration{} // classes that nobody can be sent a call of now, and until when
	for _, c := range slices.Clone(p.waiting) {
		if p.calls[c.ID] != c {
			continue
		}
		if p.now+p.cfg.Way >= c.Deadline { // it can't be in time any more
			p.expire(c)
			continue
		}
		if c.attemptCount > 0 && !p.mayRepeat(c) { // while it waited, its window closed
			p.stopRetrying(c)
			continue
		}
		if c.redirecting && !p.mayRedirect(c) {
			continue
		}
		var g *gateway
		until, known := held[c.Class]
		if p.canUsePendingGateway(c) {
			g = c.pendingGateway // or it would have others connected to as well
		} else if !known {
			g, until = p.pickGateway(c)
		}
		if g == nil {
			held[c.Class] = until
			p.waitForRetryAfter(c, until)
			continue
		}
		p.sendOrConnect(c, g)
	}
}

// stopRetrying ends a call that may not be sent again, unless one of its attempts may still be answered.
func (p *Planner) stopRetrying(c *call) {
	p.Counters.NotRepeatable++
	switch {
	case len(c.inFlight) > 0:
		p.waiting = slices.DeleteFunc(p.waiting, func(o *call) bool { return o == c })
	case c.failed:
		p.finish(c, Failed, 0)
	default:
		p.finish(c, Unknown, 0)
	}
}

// canUsePendingGateway says whether the gateway that a call waits for may still be sent it, now or once a connection is up.
func (p *Planner) canUsePendingGateway(c *call) bool {
	g := c.pendingGateway
	if g == nil || g.ejected || g.rejectedUntil[c.Class] > p.now {
		return false
	}
	return p.isConnecting(g) || p.connWithCapacity(g) != nil
}

// waitForRetryAfter has a call wait until a gateway that refuses its class may be asked again, or ends it if that is too late.
func (p *Planner) waitForRetryAfter(c *call, until time.Duration) {
	if until == never { // none is alive
		return
	}
	c.rejectedUntil = max(c.rejectedUntil, until)
	if until >= c.Deadline-p.cfg.Way {
		p.finish(c, Refused, 0)
	}
}

// sendOrConnect sends a call to a gateway, or connects to it if no connection has a place.
func (p *Planner) sendOrConnect(c *call, g *gateway) {
	if cn := p.connWithCapacity(g); cn != nil {
		p.send(c, cn)
		return
	}
	c.pendingGateway = g
	if len(g.conns) < p.cfg.Conns && p.now >= p.connectTime(g, c) && !p.isConnecting(g) {
		p.connect(g)
	}
}

// mayRedirect says whether a call whose gateway died may go to another one now: at a part of the usual rate.
func (p *Planner) mayRedirect(c *call) bool {
	rate := max(minRedirectsPerSecond, p.cfg.Redirect*p.recentSendRate())
	p.redirectTokens = min(max(1, rate/10), p.redirectTokens+rate*(p.now-p.redirectTokensAt).Seconds())
	p.redirectTokensAt = p.now
	return p.redirectTokens >= 1 || c.Deadline-p.now < 4*p.cfg.Way
}

// recentSendRate is how many tries a second were sent.
func (p *Planner) recentSendRate() float64 {
	p.sendRate *= math.Exp(-float64(p.now-p.sendRateAt) / float64(sendRateWindow))
	p.sendRateAt = p.now
	return p.sendRate
}

// pickGateway chooses the better of two gateways drawn among those that may be sent a call: the one with less open for its
// weight. If there is none, until says when one that refuses the class may be asked again.
func (p *Planner) pickGateway(c *call) (best *gateway, until time.Duration) {
	var can []*gateway
	until = never
	for _, g := range p.gateways {
		if g.ejected {
			continue
		}
		if hold, held := g.rejectedUntil[c.Class]; held && hold > p.now {
			until = min(until, hold)
			continue
		}
		can = append(can, g)
	}
	if len(can) == 0 {
		return nil, until
	}
	best = can[p.rng.IntN(len(can))]
	if len(can) > 1 {
		other := can[p.rng.IntN(len(can))]
		if p.weightedLoad(other) < p.weightedLoad(best) {
			best = other
		}
	}
	return best, until
}

// weightedLoad is what is open at a gateway, for its weight: its good share, and its ramp.
func (p *Planner) weightedLoad(g *gateway) float64 {
	ramp := min(1, rampStartShare+(1-rampStartShare)*float64(p.now-g.recoveredAt)/float64(max(1, p.cfg.Ramp)))
	return (float64(g.inFlight) + 1) / (max(minSuccessRate, g.successRate) * max(rampStartShare, ramp))
}

// connWithCapacity is the connection with the least open that has room.
func (p *Planner) connWithCapacity(g *gateway) (best *conn) {
	for _, cn := range g.conns {
		if cn.up && !cn.checkingHealth && !cn.unresponsive && cn.healthCheckSentAt == 0 && len(cn.attempts) < p.cfg.Open && (best == nil || len(cn.attempts) < len(best.attempts)) {
			best = cn
		}
	}
	return best
}

// isConnecting says whether a connection is coming up.
func (p *Planner) isConnecting(g *gateway) bool {
	return slices.ContainsFunc(g.conns, func(c *conn) bool { return !c.up || c.checkingHealth })
}

// connectTime is when a gateway may be connected to for a call: after a death at a time that was drawn, or sooner if the
// call could not wait so long.
func (p *Planner) connectTime(g *gateway, c *call) time.Duration {
	if slices.ContainsFunc(g.conns, func(c *conn) bool { return !c.unresponsive }) {
		return p.now
	}
	if c.connectNotBefore == 0 && g.connectNotBefore > p.now {
		slack := time.Duration(reconnectSlackShare * float64(c.Deadline-p.now))
		if left := g.connectNotBefore - p.now; left > slack && slack > 0 {
			c.connectNotBefore = p.now + time.Duration(p.rng.Float64()*float64(slack))
		}
	}
	if c.connectNotBefore > 0 {
		return min(g.connectNotBefore, c.connectNotBefore)
	}
	return g.connectNotBefore
}

func (p *Planner) connect(g *gateway) {
	p.lastID++
	cn := &conn{id: p.lastID, gateway: g, startedAt: p.now, attempts: map[uint64]*attempt{}, checkingHealth: g.ejected}
	g.conns = append(g.conns, cn)
	p.conns[cn.id] = cn
	p.Counters.Connects++
	p.emit(Connect{Conn: cn.id, Gateway: g.name})
}

func (p *Planner) send(c *call, cn *conn) {
	p.lastID++
	t := &attempt{id: p.lastID, call: c, conn: cn, sentAt: p.now}
	cn.attempts[t.id] = t
	cn.gateway.inFlight++
	if len(cn.attempts) == 1 {
		cn.lastReceived = p.now // silence counts from when work is out
	}
	cn.lastUsed = p.now
	c.inFlight = append(c.inFlight, t)
	c.attemptCount++
	p.Counters.Attempts++
	if c.attemptCount > 1 {
		p.Counters.Retries++
	}
	if c.redirecting {
		c.redirecting = false
		p.redirectTokens--
		p.Counters.Redirected++
	}
	c.connectNotBefore, c.pendingGateway = 0, nil
	p.sendRate = p.recentSendRate() + 1/sendRateWindow.Seconds()
	p.waiting = slices.DeleteFunc(p.waiting, func(o *call) bool { return o == c })
	p.emit(Send{Conn: cn.id, Attempt: t.id, Call: c.ID, Limit: c.Deadline - p.now - p.cfg.Way, Retry: c.attemptCount > 1,
		SendKey: c.class.Effect == IdempotentWithKey})
}

// Wake is when a Timer event is wanted; false: not before something else happens.
func (p *Planner) Wake() (at time.Duration, ok bool) {
	at = never
	soon := func(t time.Duration) { at = min(at, t) }
	if len(p.byDeadline) > 0 {
		soon(p.byDeadline[0].Deadline)
	}
	for _, c := range p.waiting {
		soon(c.Deadline - p.cfg.Way)
		if c.redirecting {
			soon(p.now + time.Second/minRedirectsPerSecond/4)
		}
		if c.connectNotBefore > p.now {
			soon(c.connectNotBefore)
		}
	}
	for _, g := range p.gateways {
		if len(p.waiting) > 0 {
			for _, until := range g.rejectedUntil {
				soon(until)
			}
			if g.connectNotBefore > p.now {
				soon(g.connectNotBefore)
			}
		}
		if g.ejected && !p.isConnecting(g) && p.hasCalls() {
			soon(g.healthCheckAt)
		}
		for _, cn := range g.conns {
			switch {
			case !cn.up:
				soon(cn.startedAt + p.cfg.Connect)
			case cn.unresponsive:
			case cn.healthCheckSentAt > 0:
				soon(cn.healthCheckSentAt + p.cfg.Silence)
			case len(cn.attempts) > 0:
				soon(max(cn.lastReceived, cn.lastUsed) + p.cfg.Silence)
			default:
				soon(cn.lastUsed + p.cfg.Idle)
			}
		}
	}
	return max(at, p.now), at != never
}

// deadlineHeap is a heap of calls.
type deadlineHeap []*call

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].order < h[j].order
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	c.heapIndex = -1
	*h = old[:len(old)-1]
	return c
}

// CallOf is the call that a try belongs to, if it is out.
func (p *Planner) CallOf(conn, id uint64) (uint64, bool) {
	if cn := p.conns[conn]; cn != nil {
		if t := cn.attempts[id]; t != nil {
			return t.call.ID, true
		}
	}
	return 0, false
}

// Alive says how many gateways are in use.
func (p *Planner) Alive() (n int) {
	for _, g := range p.gateways {
		n += btoi(!g.ejected)
	}
	return n
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
