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
	rampLeast   = 0.1  // share with which a returned gateway begins
	goodWeight  = 0.05 // of the newest result in a gateway's good share
	goodLeast   = 0.05 // a gateway is never weighed less for its results
	rateWindow  = 2 * time.Second
	redirected  = 10   // redirects a second that there are always
	slackShare  = 0.7  // of the time that a call has left, what it may wait for a reconnect
	laterJitter = 0.25 // of a refusal's advice is added to it at most
	never       = time.Duration(math.MaxInt64)
)

// Planner decides. It is not safe for concurrent use.
type Planner struct {
	Counters Counters

	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	classes  map[string]*Class
	gateways []*gateway
	calls    map[uint64]*call
	conns    map[uint64]*conn
	waiting  []*call // for a gateway, a connection or their time, the most worth first
	sorted   bool
	due      deadlines
	serial   uint64
	order    uint64
	budget   float64
	rate     float64 // sends a second, lately
	rateAt   time.Duration
	redirect float64 // redirects that may be made now
	redirAt  time.Duration
	closed   bool
}

type gateway struct {
	name  string
	conns []*conn
	open  int
	good  float64                  // share of good results lately
	hold  map[string]time.Duration // by class: refused until then
	dead  bool
	probe time.Duration // when it is tried again
	wait  time.Duration // before that
	since time.Duration // when it came, or came back
	next  time.Duration // no new connection before that: reconnects are spread
}

type conn struct {
	id      uint64
	gateway *gateway
	up      bool
	probing bool // it finds out whether a dead gateway is back
	limbo   bool // it has been silent: nothing new goes there, but what comes is still heard
	since   time.Duration
	heard   time.Duration
	asked   time.Duration // when it was asked for a sign of life; 0: it was not
	used    time.Duration
	tries   map[uint64]*try
}

type try struct {
	id   uint64
	call *call
	conn *conn
	sent time.Duration
}

type call struct {
	Call
	index   int // place among the deadlines; -1: none
	class   *Class
	order   uint64
	tries   int
	first   time.Duration // when a try was sent that may have run; negative: none was
	out     []*try
	from    time.Duration // it waits until then at least
	want    *gateway      // whose connection it waits for
	moved   bool          // its gateway died under it
	crossed bool
	refused time.Duration // what a refusal said last
	failed  bool
}

// Handle takes one event and appends the actions to out. Time must not run backwards.
func (p *Planner) Handle(now time.Duration, ev Event, out []Action) []Action {
	p.now, p.out = max(now, p.now), out
	switch ev := ev.(type) {
	case Call:
		p.call(ev)
	case Cancelled:
		if c := p.calls[ev.ID]; c != nil {
			p.drop(c)
		}
	case Up:
		if c := p.conns[ev.Conn]; c != nil {
			c.up, c.heard, c.used = true, p.now, p.now
			if c.gateway.dead { // it listens, which is not yet to say that it serves
				c.probing, c.asked = true, max(1, p.now)
				p.Counters.Probes++
				p.do(Probe{c.id})
			}
		}
	case Down:
		p.down(ev)
	case Heard:
		if c := p.conns[ev.Conn]; c != nil {
			c.heard, c.asked = p.now, 0
			if c.probing {
				p.probed(c, ev.Alive)
			}
		}
	case Answered:
		p.answered(ev)
	case Close:
		p.close()
	}
	if !p.closed {
		p.times()
		p.place()
	}
	out, p.out = p.out, nil
	return out
}

func (p *Planner) do(a Action) { p.out = append(p.out, a) }

func (p *Planner) call(q Call) {
	p.Counters.Calls++
	class := p.classes[q.Class]
	if p.calls[q.ID] != nil {
		return
	}
	c := &call{Call: q, class: class, first: -1, index: -1}
	switch {
	case p.closed:
		p.end(c, Closed, 0)
		return
	case class == nil: // no gateway would know it
		p.end(c, Unsent, 0)
		return
	case class.Deadline > 0:
		c.Deadline = min(c.Deadline, p.now+class.Deadline)
	}
	p.order++
	c.order = p.order
	p.calls[q.ID] = c
	heap.Push(&p.due, c)
	p.wait(c)
}

// wait has a call wait to be sent, if it does not yet.
func (p *Planner) wait(c *call) {
	if !slices.Contains(p.waiting, c) {
		p.waiting, p.sorted = append(p.waiting, c), false
	}
}

// end gives a call its one ending.
func (p *Planner) end(c *call, as Ending, by uint64) {
	p.Counters.Ended[as]++
	p.drop(c)
	p.do(End{Call: c.ID, Ending: as, Try: by, Later: max(0, c.refused-p.now), Tries: c.tries})
}

// drop forgets a call; nothing more is wanted of its tries.
func (p *Planner) drop(c *call) {
	delete(p.calls, c.ID)
	if c.index >= 0 {
		heap.Remove(&p.due, c.index)
	}
	if i := slices.Index(p.waiting, c); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	for _, t := range c.out {
		p.forget(t)
		p.do(Abandon{Conn: t.conn.id, Try: t.id})
	}
	c.out = nil
}

// forget takes a try off its connection.
func (p *Planner) forget(t *try) {
	delete(t.conn.tries, t.id)
	t.conn.gateway.open--
	t.conn.used = p.now
}

func (p *Planner) answered(a Answered) {
	cn := p.conns[a.Conn]
	if cn == nil {
		return
	}
	if cn.heard = p.now; !cn.probing { // one that was asked whether it serves is to say so
		cn.asked = 0
	}
	t := cn.tries[a.Try]
	g := cn.gateway
	if t == nil { // given up, answered before, or never asked
		p.Counters.Late++
		if a.Backoff && a.Later > 0 { // it counts all the same, for all classes: whose it was is forgotten
			p.Counters.Held++
		}
		return
	}
	c := t.call
	p.forget(t)
	c.out = slices.DeleteFunc(c.out, func(o *try) bool { return o == t })
	switch {
	case a.OK:
		p.budget = min(p.cfg.BudgetMost, p.budget+p.cfg.Budget)
		g.good += goodWeight * (1 - g.good)
		p.end(c, Served, t.id)
	case a.Backoff:
		g.good += goodWeight * (0.5 - g.good)
		if a.Later > 0 { // all requests of the class heed it; a little later than told, and not all clients at once
			p.Counters.Held++
			until := p.now + a.Later + time.Duration(p.rng.Float64()*laterJitter*float64(a.Later))
			g.hold[c.Class] = max(g.hold[c.Class], until)
			c.refused = max(c.refused, until)
		}
		if !p.superseded(c) {
			p.again(c, Refused, t)
		}
	default:
		g.good += goodWeight * (0 - g.good)
		c.failed = true
		c.ran(t)
		if !p.superseded(c) {
			p.again(c, Failed, t)
		}
	}
	if cn.limbo && len(cn.tries) == 0 {
		p.hangUp(cn)
	}
}

// superseded says that a newer try of a call is out, or about to be: the end of an older one changes nothing.
func (p *Planner) superseded(c *call) bool { return len(c.out) > 0 || slices.Contains(p.waiting, c) }

// ran notes that a try may have run.
func (c *call) ran(t *try) {
	if c.first < 0 || t.sent < c.first {
		c.first = t.sent
	}
}

// again puts a call back to wait for another try, or ends it.
func (p *Planner) again(c *call, as Ending, t *try) {
	if as == Unknown {
		c.ran(t)
	}
	if !p.retry(c) {
		p.end(c, as, t.id)
	}
}

// retry has a call wait for another try, if it may have one.
func (p *Planner) retry(c *call) bool {
	switch {
	case c.tries > max(0, p.cfg.Retries):
		p.Counters.NoTries++
	case !p.repeatable(c):
		p.Counters.NoRepeat++
	case p.now+p.cfg.Way >= c.Deadline:
		p.Counters.NoTime++
	case p.budget < 1:
		p.Counters.NoBudget++
	default:
		p.budget--
		p.wait(c)
		return true
	}
	return false
}

// repeatable says whether another try may go out now: one that may have run binds keyed and unsafe classes.
func (p *Planner) repeatable(c *call) bool {
	if c.class.Effect == Safe || c.first < 0 {
		return true
	}
	// The repeat has to arrive within the window, too.
	return c.class.Effect == Keyed && p.now+p.cfg.Way < c.first+c.class.Window
}

// down settles what was out on a connection that did not come up or has ended.
func (p *Planner) down(ev Down) {
	cn := p.conns[ev.Conn]
	if cn == nil {
		return
	}
	p.lose(cn)
	out, crossing := p.settle(cn, ev.Clean)
	switch {
	case cn.probing || !cn.up:
		p.fail(cn.gateway)
	case cn.limbo, ev.Clean && (out == 0 || crossing): // it is dead already, or closed one that was idle
	default:
		p.died(cn.gateway)
	}
}

func (p *Planner) lose(cn *conn) {
	delete(p.conns, cn.id)
	g := cn.gateway
	g.conns = slices.DeleteFunc(g.conns, func(o *conn) bool { return o == cn })
}

// settle ends the tries of a connection that is gone, in the order in which they were sent: so many, or one that
// crossed an orderly close.
func (p *Planner) settle(cn *conn, clean bool) (n int, crossing bool) {
	var all []*try
	for _, t := range cn.tries {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	for _, t := range all {
		n++
		c := t.call
		p.forget(t)
		c.out = slices.DeleteFunc(c.out, func(o *try) bool { return o == t })
		// A gateway closes only what has no request open: one that crossed that has not run, and goes out once more.
		if clean && len(all) == 1 && p.now-t.sent <= crossed && !c.crossed {
			c.crossed, crossing = true, true
			p.Counters.Crossed++
			p.wait(c)
			continue
		}
		c.moved = true
		if c.ran(t); !p.superseded(c) {
			p.again(c, Unknown, t)
		}
	}
	return n, crossing
}

// died takes a gateway out of use. What is out on its other connections may still be answered.
func (p *Planner) died(g *gateway) {
	p.Counters.Deaths++
	if !g.dead {
		g.dead, g.wait = true, p.cfg.ProbeFirst
		g.good = 1
		clear(g.hold)
	}
	g.probe = p.now + p.jitter(g.wait)
	// Others are connected to as well, in place of this one: by draw, over the whole span.
	spread := p.spread()
	for _, o := range p.gateways {
		if o != g && !o.dead && len(o.conns) == 0 {
			o.next = max(o.next, p.now+time.Duration(p.rng.Float64()*float64(spread)))
		}
	}
}

// spread is the span over which clients of a dead gateway connect anew.
func (p *Planner) spread() time.Duration {
	return max(p.cfg.Spread, time.Duration(float64(p.cfg.Clients)/p.cfg.SpreadRate*float64(time.Second)))
}

// fail notes that a gateway could not be reached, or does not serve yet.
func (p *Planner) fail(g *gateway) {
	if !g.dead {
		p.died(g)
		return
	}
	g.wait = min(p.cfg.ProbeLongest, 2*g.wait)
	if p.Alive() == 0 { // someone has to find out which is back first
		g.wait = min(g.wait, p.spread())
	}
	g.probe = p.now + p.jitter(g.wait)
}

// probed is the answer of a dead gateway.
func (p *Planner) probed(cn *conn, alive bool) {
	cn.probing = false
	if !alive {
		p.hangUp(cn)
		p.fail(cn.gateway)
		return
	}
	cn.gateway.dead, cn.gateway.since, cn.gateway.wait = false, p.now, 0
	cn.gateway.next = p.now + time.Duration(p.rng.Float64()*float64(p.spread()))
}

func (p *Planner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Float64()*float64(d))
}

// close ends everything.
func (p *Planner) close() {
	p.closed = true
	var all []*call
	for _, c := range p.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.order, b.order) })
	for _, c := range all {
		p.end(c, Closed, 0)
	}
	for _, g := range p.gateways {
		for _, cn := range g.conns {
			delete(p.conns, cn.id)
			p.do(Hangup{cn.id})
		}
		g.conns = nil
	}
	p.waiting = nil
}

// times does what is due: deadlines, idle and silent connections, gateways to be tried again.
func (p *Planner) times() {
	for len(p.due) > 0 && p.due[0].Deadline <= p.now {
		p.expire(p.due[0])
	}
	for _, g := range p.gateways {
		maps.DeleteFunc(g.hold, func(_ string, until time.Duration) bool { return until <= p.now })
		for _, cn := range slices.Clone(g.conns) {
			p.connTimes(g, cn)
		}
		if g.dead && !p.coming(g) && p.now >= g.probe && p.wanted() {
			p.connect(g)
		}
	}
}

// connTimes does what is due on a connection: it is given up if it does not come up, is asked whether the gateway serves if it is
// silent with attempts out, and is closed when it is idle.
func (p *Planner) connTimes(g *gateway, cn *conn) {
	switch {
	case !cn.up:
		if p.now >= cn.since+p.cfg.Connect {
			p.hangUp(cn)
			p.fail(g)
		}
	case cn.limbo:
		if len(cn.tries) == 0 {
			p.hangUp(cn)
		}
	case cn.asked > 0 && p.now >= cn.asked+p.cfg.Silence:
		p.Counters.Hung++
		if cn.probing {
			p.hangUp(cn)
			p.fail(g)
		} else {
			p.hang(cn)
		}
	case cn.asked == 0 && len(cn.tries) > 0 && p.now >= max(cn.heard, cn.used)+p.cfg.Silence:
		cn.asked = max(1, p.now)
		p.Counters.Probes++
		p.do(Probe{cn.id})
	case len(cn.tries) == 0 && !cn.probing && p.now >= cn.used+p.cfg.Idle:
		p.hangUp(cn)
	}
}

// hangUp closes a connection and forgets it.
func (p *Planner) hangUp(cn *conn) {
	p.lose(cn)
	p.do(Hangup{cn.id})
}

// hang leaves a connection that is silent. Its tries stay out, since their answers may yet come; what may be sent again
// is, elsewhere.
func (p *Planner) hang(cn *conn) {
	cn.limbo = true
	var all []*try
	for _, t := range cn.tries {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	p.died(cn.gateway)
	for _, t := range all {
		c := t.call
		if c.ran(t); len(c.out) == 1 && !slices.Contains(p.waiting, c) {
			c.moved = p.retry(c)
		}
	}
}

// wanted says whether anyone asks for anything: a client without work leaves dead gateways alone.
func (p *Planner) wanted() bool { return len(p.calls) > 0 }

// expire ends a call whose time is over.
func (p *Planner) expire(c *call) {
	switch {
	case len(c.out) == 0 && c.refused > 0 && c.first < 0:
		p.end(c, Refused, 0)
	case c.tries == 0:
		p.end(c, Unsent, 0)
	default:
		p.end(c, Expired, 0)
	}
}

// place gives waiting calls to gateways, the most worth first.
func (p *Planner) place() {
	if len(p.waiting) == 0 {
		return
	}
	if !p.sorted {
		slices.SortStableFunc(p.waiting, func(a, b *call) int {
			return cmp.Or(cmp.Compare(b.class.Worth, a.class.Worth), cmp.Compare(a.order, b.order))
		})
		p.sorted = true
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
		if c.tries > 0 && !p.repeatable(c) { // while it waited, its window closed
			p.stopRetrying(c)
			continue
		}
		if c.moved && !p.mayRedirect(c) {
			continue
		}
		var g *gateway
		until, known := held[c.Class]
		if p.mayKeepWanted(c) {
			g = c.want // or it would have others connected to as well
		} else if !known {
			g, until = p.pick(c)
		}
		if g == nil {
			held[c.Class] = until
			p.holdBack(c, until)
			continue
		}
		p.placeAt(c, g)
	}
}

// stopRetrying ends a call that may not be sent again, unless one of its attempts may still be answered.
func (p *Planner) stopRetrying(c *call) {
	p.Counters.NoRepeat++
	switch {
	case len(c.out) > 0:
		p.waiting = slices.DeleteFunc(p.waiting, func(o *call) bool { return o == c })
	case c.failed:
		p.end(c, Failed, 0)
	default:
		p.end(c, Unknown, 0)
	}
}

// mayKeepWanted says whether the gateway that a call waits for may still be sent it, now or once a connection is up.
func (p *Planner) mayKeepWanted(c *call) bool {
	g := c.want
	if g == nil || g.dead || g.hold[c.Class] > p.now {
		return false
	}
	return p.coming(g) || p.slot(g) != nil
}

// holdBack has a call wait until a gateway that refuses its class may be asked again, or ends it if that is too late.
func (p *Planner) holdBack(c *call, until time.Duration) {
	if until == never { // none is alive
		return
	}
	c.refused = max(c.refused, until)
	if until >= c.Deadline-p.cfg.Way {
		p.end(c, Refused, 0)
	}
}

// placeAt sends a call to a gateway, or connects to it if no connection has a place.
func (p *Planner) placeAt(c *call, g *gateway) {
	if cn := p.slot(g); cn != nil {
		p.send(c, cn)
		return
	}
	c.want = g
	if len(g.conns) < p.cfg.Conns && p.now >= p.mayConnect(g, c) && !p.coming(g) {
		p.connect(g)
	}
}

// mayRedirect says whether a call whose gateway died may go to another one now: at a part of the usual rate.
func (p *Planner) mayRedirect(c *call) bool {
	rate := max(redirected, p.cfg.Redirect*p.lately())
	p.redirect = min(max(1, rate/10), p.redirect+rate*(p.now-p.redirAt).Seconds())
	p.redirAt = p.now
	return p.redirect >= 1 || c.Deadline-p.now < 4*p.cfg.Way
}

// lately is how many tries a second were sent.
func (p *Planner) lately() float64 {
	p.rate *= math.Exp(-float64(p.now-p.rateAt) / float64(rateWindow))
	p.rateAt = p.now
	return p.rate
}

// pick chooses the better of two gateways drawn among those that may be sent a call: the one with less open for its
// weight. If there is none, until says when one that refuses the class may be asked again.
func (p *Planner) pick(c *call) (best *gateway, until time.Duration) {
	var can []*gateway
	until = never
	for _, g := range p.gateways {
		if g.dead {
			continue
		}
		if hold, held := g.hold[c.Class]; held && hold > p.now {
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
		if p.load(other) < p.load(best) {
			best = other
		}
	}
	return best, until
}

// load is what is open at a gateway, for its weight: its good share, and its ramp.
func (p *Planner) load(g *gateway) float64 {
	ramp := min(1, rampLeast+(1-rampLeast)*float64(p.now-g.since)/float64(max(1, p.cfg.Ramp)))
	return (float64(g.open) + 1) / (max(goodLeast, g.good) * max(rampLeast, ramp))
}

// slot is the connection with the least open that has room.
func (p *Planner) slot(g *gateway) (best *conn) {
	for _, cn := range g.conns {
		if cn.up && !cn.probing && !cn.limbo && cn.asked == 0 && len(cn.tries) < p.cfg.Open && (best == nil || len(cn.tries) < len(best.tries)) {
			best = cn
		}
	}
	return best
}

// coming says whether a connection is coming up.
func (p *Planner) coming(g *gateway) bool {
	return slices.ContainsFunc(g.conns, func(c *conn) bool { return !c.up || c.probing })
}

// mayConnect is when a gateway may be connected to for a call: after a death at a time that was drawn, or sooner if the
// call could not wait so long.
func (p *Planner) mayConnect(g *gateway, c *call) time.Duration {
	if slices.ContainsFunc(g.conns, func(c *conn) bool { return !c.limbo }) {
		return p.now
	}
	if c.from == 0 && g.next > p.now {
		slack := time.Duration(slackShare * float64(c.Deadline-p.now))
		if left := g.next - p.now; left > slack && slack > 0 {
			c.from = p.now + time.Duration(p.rng.Float64()*float64(slack))
		}
	}
	if c.from > 0 {
		return min(g.next, c.from)
	}
	return g.next
}

func (p *Planner) connect(g *gateway) {
	p.serial++
	cn := &conn{id: p.serial, gateway: g, since: p.now, tries: map[uint64]*try{}, probing: g.dead}
	g.conns = append(g.conns, cn)
	p.conns[cn.id] = cn
	p.Counters.Connects++
	p.do(Connect{Conn: cn.id, Gateway: g.name})
}

func (p *Planner) send(c *call, cn *conn) {
	p.serial++
	t := &try{id: p.serial, call: c, conn: cn, sent: p.now}
	cn.tries[t.id] = t
	cn.gateway.open++
	if len(cn.tries) == 1 {
		cn.heard = p.now // silence counts from when work is out
	}
	cn.used = p.now
	c.out = append(c.out, t)
	c.tries++
	p.Counters.Tries++
	if c.tries > 1 {
		p.Counters.Retries++
	}
	if c.moved {
		c.moved = false
		p.redirect--
		p.Counters.Redirected++
	}
	c.from, c.want = 0, nil
	p.rate = p.lately() + 1/rateWindow.Seconds()
	p.waiting = slices.DeleteFunc(p.waiting, func(o *call) bool { return o == c })
	p.do(Send{Conn: cn.id, Try: t.id, Call: c.ID, Limit: c.Deadline - p.now - p.cfg.Way, Second: c.tries > 1,
		Key: c.class.Effect == Keyed})
}

// Wake is when a Timer event is wanted; false: not before something else happens.
func (p *Planner) Wake() (at time.Duration, ok bool) {
	at = never
	soon := func(t time.Duration) { at = min(at, t) }
	if len(p.due) > 0 {
		soon(p.due[0].Deadline)
	}
	for _, c := range p.waiting {
		soon(c.Deadline - p.cfg.Way)
		if c.moved {
			soon(p.now + time.Second/redirected/4)
		}
		if c.from > p.now {
			soon(c.from)
		}
	}
	for _, g := range p.gateways {
		if len(p.waiting) > 0 {
			for _, until := range g.hold {
				soon(until)
			}
			if g.next > p.now {
				soon(g.next)
			}
		}
		if g.dead && !p.coming(g) && p.wanted() {
			soon(g.probe)
		}
		for _, cn := range g.conns {
			switch {
			case !cn.up:
				soon(cn.since + p.cfg.Connect)
			case cn.limbo:
			case cn.asked > 0:
				soon(cn.asked + p.cfg.Silence)
			case len(cn.tries) > 0:
				soon(max(cn.heard, cn.used) + p.cfg.Silence)
			default:
				soon(cn.used + p.cfg.Idle)
			}
		}
	}
	return max(at, p.now), at != never
}

// deadlines is a heap of calls.
type deadlines []*call

func (h deadlines) Len() int { return len(h) }
func (h deadlines) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].order < h[j].order
}
func (h deadlines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *deadlines) Push(x any) {
	c := x.(*call)
	c.index = len(*h)
	*h = append(*h, c)
}
func (h *deadlines) Pop() any {
	old := *h
	c := old[len(old)-1]
	c.index = -1
	*h = old[:len(old)-1]
	return c
}

// CallOf is the call that a try belongs to, if it is out.
func (p *Planner) CallOf(conn, id uint64) (uint64, bool) {
	if cn := p.conns[conn]; cn != nil {
		if t := cn.tries[id]; t != nil {
			return t.call.ID, true
		}
	}
	return 0, false
}

// Alive says how many gateways are in use.
func (p *Planner) Alive() (n int) {
	for _, g := range p.gateways {
		n += btoi(!g.dead)
	}
	return n
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
