package plan

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// never is a time that the planner's clock does not reach.
const never = time.Duration(math.MaxInt64)

// Planner holds the state of a client's calls, connections and gateways, and decides on actions. It is not safe for
// concurrent use.
type Planner struct {
	Counters Counters // updated by Handle; to be read only while Handle does not run

	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action // emitted while an event is handled
	closed  bool

	classes  map[string]*Class
	gateways []*gateway
	conns    map[uint64]*conn
	lastID   uint64 // the last id given to a connection or an attempt

	calls         map[uint64]*call
	keys          keyRecords
	lastOrder     uint64 // the order of the newest call
	byDeadline    deadlineHeap
	waiting       []*call // calls to be sent; sorted by priority weight if waitingSorted
	waitingSorted bool

	retryBudget retryBudget
	sendRate    sendRate
	redirects   redirectBudget
}

// New returns a planner, or the error of [Config.Check]. The planner draws all random numbers from rng, which nothing else
// may use concurrently with [Planner.Handle].
func New(cfg Config, rng *rand.Rand) (*Planner, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	p := &Planner{
		cfg: cfg, rng: rng, classes: map[string]*Class{}, calls: map[uint64]*call{}, conns: map[uint64]*conn{},
		keys: keyRecords{byName: map[keyName]*keyRecord{}}, retryBudget: newRetryBudget(cfg),
	}
	for i := range cfg.Classes {
		p.classes[cfg.Classes[i].Name] = &cfg.Classes[i]
	}
	for _, name := range cfg.Gateways {
		p.gateways = append(p.gateways, newGateway(name, cfg))
	}
	return p, nil
}

// Handle processes an event and returns out with the resulting actions appended. now is the time on the planner's clock; a
// time before that of the previous event counts as equal to it. Handle doesn't block.
func (p *Planner) Handle(now time.Duration, ev Event, out []Action) []Action {
	p.now, p.actions = max(now, p.now), out
	p.dispatchEvent(ev)
	if !p.closed {
		p.runTimers()
		p.dispatchWaiting()
	}
	out, p.actions = p.actions, nil
	return out
}

func (p *Planner) dispatchEvent(ev Event) {
	switch ev := ev.(type) {
	case Call:
		p.startCall(ev)
	case Cancelled:
		if c := p.calls[ev.ID]; c != nil {
			p.release(c)
		}
	case Up:
		if cn := p.conns[ev.Conn]; cn != nil {
			p.handleUp(cn)
		}
	case Down:
		if cn := p.conns[ev.Conn]; cn != nil {
			p.handleDown(cn, ev.Clean)
		}
	case Received:
		if cn := p.conns[ev.Conn]; cn != nil {
			p.handleReceived(cn, ev.Healthy)
		}
	case Answered:
		if cn := p.conns[ev.Conn]; cn != nil {
			p.handleAnswer(cn, ev)
		}
	case Close:
		p.shutDown()
	}
}

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

// shutDown ends all calls in the order of their arrival, and closes all connections.
func (p *Planner) shutDown() {
	p.closed = true
	open := make([]*call, 0, len(p.calls))
	for _, c := range p.calls {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *call) int { return cmp.Compare(a.order, b.order) })
	for _, c := range open {
		p.finish(c, Closed, 0)
	}
	for _, g := range p.gateways {
		for _, cn := range g.conns {
			delete(p.conns, cn.id)
			p.emit(Disconnect{cn.id})
		}
		g.conns = nil
	}
	p.waiting = nil
}

// CallOf returns the id of the call that an attempt on a connection belongs to, or false if the attempt is not in flight.
func (p *Planner) CallOf(conn, id uint64) (uint64, bool) {
	cn := p.conns[conn]
	if cn == nil {
		return 0, false
	}
	t := cn.attempts[id]
	if t == nil {
		return 0, false
	}
	return t.call.ID, true
}
