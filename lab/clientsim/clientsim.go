// Package clientsim simulates tens of thousands of clients and modelled gateways on a virtual clock. The clients either run
// the unchanged package client/plan or are naive, for comparison.
package clientsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchusher/client/plan"
	"larchusher/lab/virtualclock"
)

// Kind selects the behaviour of clients. Its text appears in results.
type Kind string

// Kinds of clients.
const (
	Planned         Kind = "planned"     // decides by package client/plan
	NoWait          Kind = "at once"     // naive: reconnects and resends without delay
	FixedWait       Kind = "fixed wait"  // naive: reconnects and resends after 1 s
	ExponentialWait Kind = "exponential" // naive: after 100 ms, 200 ms, 400 ms ..., without jitter
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Planned, NoWait, FixedWait, ExponentialWait} }

// Config configures a run.
type Config struct {
	Clients, Gateways int
	Known             int           // number of gateways that each client knows, 3 if 0
	Every             time.Duration // mean time between a client's requests
	Limit             time.Duration // a request's deadline
	Capacity          float64       // capacity of a gateway, as a multiple of its usual load
	Kill              float64       // share of the gateways that are killed, 0 to 1
	KillAt            time.Duration // when they are all killed
	Back              time.Duration // they are restarted this long after the kill
	For               time.Duration // simulated time of the run
	Seed              uint64
}

// Result holds the figures of a run.
type Result struct {
	Kind       Kind
	Window     time.Duration
	Tries      []float64 // attempts that reached running gateways, by window, relative to the mean before the kill
	Connects   []float64 // connection attempts, by window
	Served     float64   // share of the requests due after the kill that were served in time
	PeakTries  float64   // largest value of Tries after the kill
	PeakShare  float64   // largest share, in one window, of the connection attempts in the five seconds after the kill
	ReConnects int       // connection attempts in the five seconds after the kill
}

const (
	window        = 100 * time.Millisecond // interval by which attempts and connections are counted
	oneWayDelay   = 5 * time.Millisecond   // network delay between a client and a gateway
	serviceDelay  = 5 * time.Millisecond   // time for a request besides the gateway's queue
	maxQueueDelay = 100 * time.Millisecond // queued work beyond which a gateway rejects requests
)

// simulation is the state of a run.
type simulation struct {
	cfg      Config
	rng      *rand.Rand
	clock    virtualclock.Clock
	gateways []*gateway
	tries    []float64 // attempts by window
	connects []float64 // connection attempts by window
	requests int       // requests due after the kill
	served   int       // of those, served
}

// gateway is a modelled gateway with one queue of work.
type gateway struct {
	up             bool
	incarnation    int           // number of kills
	busyUntil      time.Duration // when its queue of work will be empty
	workPerRequest time.Duration // time that a served request occupies the gateway
	conns          map[*link]bool
}

// link is a connection between a client and one incarnation of a gateway.
type link struct {
	gateway     *gateway
	incarnation int
	down        func() // called when the gateway is killed
}

// dial opens a connection to g. It later calls up, if g is running, or else down; down also follows up when g is killed.
func (s *simulation) dial(g *gateway, up func(*link), down func()) {
	s.clock.At(s.clock.Now+oneWayDelay, func() {
		if i := int(s.clock.Now / window); i < len(s.connects) {
			s.connects[i]++
		}
		if !g.up {
			s.clock.At(s.clock.Now+oneWayDelay, down)
			return
		}
		l := &link{gateway: g, incarnation: g.incarnation, down: down}
		g.conns[l] = true
		s.clock.At(s.clock.Now+oneWayDelay, func() {
			if g.incarnation == l.incarnation && g.up {
				up(l)
			}
		})
	})
}

// dispatch sends an attempt on a connection. It later calls answer with ok, or with false and the Retry-After delay if the
// gateway rejected the attempt because its queue is longer than maxQueueDelay. It doesn't call answer if the gateway is
// killed before.
func (s *simulation) dispatch(l *link, answer func(ok bool, later time.Duration)) {
	s.clock.At(s.clock.Now+oneWayDelay, func() {
		g := l.gateway
		if !g.up || g.incarnation != l.incarnation {
			return // the client is notified by link.down
		}
		if i := int(s.clock.Now / window); i < len(s.tries) {
			s.tries[i]++
		}
		if g.busyUntil < s.clock.Now {
			g.busyUntil = s.clock.Now
		}
		ok, later := true, time.Duration(0)
		if g.busyUntil-s.clock.Now > maxQueueDelay {
			g.busyUntil += g.workPerRequest / 8 // a rejection costs an eighth of a served request
			ok, later = false, 500*time.Millisecond+time.Duration(s.rng.Float64()*float64(1500*time.Millisecond))
		} else {
			g.busyUntil += g.workPerRequest
		}
		s.clock.At(g.busyUntil+serviceDelay+oneWayDelay, func() {
			if g.up && g.incarnation == l.incarnation {
				answer(ok, later)
			}
		})
	})
}

// kill stops a gateway and notifies its clients within one to two times oneWayDelay.
func (s *simulation) kill(g *gateway) {
	g.up = false
	g.incarnation++
	for l := range g.conns {
		s.clock.At(s.clock.Now+oneWayDelay+time.Duration(s.rng.Float64()*float64(oneWayDelay)), l.down)
	}
	clear(g.conns)
}

// simClient is a simulated client. It calls done once, with false if there was no successful answer by the deadline.
type simClient interface {
	dispatch(id uint64, deadline time.Duration, done func(ok bool))
}

// Run simulates a population of clients of one kind. The error names invalid values of cfg or is that of plan.New.
func Run(kind Kind, cfg Config) (Result, error) {
	if cfg.Known <= 0 {
		cfg.Known = 3
	}
	if cfg.Clients <= 0 || cfg.Gateways < cfg.Known || cfg.For <= cfg.KillAt || cfg.Every <= 0 {
		return Result{}, fmt.Errorf("population: %d clients (want over 0), %d gateways (want at least Known), for %v (want over KillAt); Every must be over 0", cfg.Clients, cfg.Gateways, cfg.For)
	}
	s := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), tries: make([]float64, cfg.For/window), connects: make([]float64, cfg.For/window)}
	usualRate := float64(cfg.Clients) / cfg.Every.Seconds() / float64(cfg.Gateways)
	for range cfg.Gateways {
		s.gateways = append(s.gateways, &gateway{up: true, conns: map[*link]bool{},
			workPerRequest: time.Duration(float64(time.Second) / (usualRate * cfg.Capacity))})
	}
	id := uint64(0)
	for n := range cfg.Clients {
		known := s.rng.Perm(cfg.Gateways)[:cfg.Known]
		var a simClient
		var err error
		if kind == Planned {
			a, err = newPlanned(s, known, uint64(n))
		} else {
			a = &naiveClient{sim: s, kind: kind, known: known}
		}
		if err != nil {
			return Result{}, err
		}
		var next func()
		next = func() {
			id++
			counted := s.clock.Now >= cfg.KillAt
			if counted {
				s.requests++
			}
			a.dispatch(id, s.clock.Now+cfg.Limit, func(ok bool) {
				if ok && counted {
					s.served++
				}
			})
			s.clock.At(s.clock.Now+time.Duration(s.rng.ExpFloat64()*float64(cfg.Every)), next)
		}
		s.clock.At(time.Duration(s.rng.Float64()*float64(cfg.Every)), next)
	}
	killed := s.gateways[:int(cfg.Kill*float64(cfg.Gateways)+0.5)]
	s.clock.At(cfg.KillAt, func() {
		for _, g := range killed {
			s.kill(g)
		}
	})
	s.clock.At(cfg.KillAt+cfg.Back, func() {
		for _, g := range killed {
			g.up, g.busyUntil = true, s.clock.Now
		}
	})
	s.clock.Run(cfg.For)
	return s.result(kind), nil
}

// result computes the figures of the run.
func (s *simulation) result(kind Kind) Result {
	r := Result{Kind: kind, Window: window, Connects: s.connects, Served: float64(s.served) / float64(max(1, s.requests))}
	k := int(s.cfg.KillAt / window)
	mean := 0.0
	for _, n := range s.tries[k/2 : k] {
		mean += n / float64(k-k/2)
	}
	for _, n := range s.tries {
		r.Tries = append(r.Tries, n/mean)
	}
	r.PeakTries = slices.Max(r.Tries[k:])
	sum, most := 0.0, 0.0
	for _, n := range s.connects[k:min(len(s.connects), k+int(5*time.Second/window))] {
		sum, most = sum+n, max(most, n)
	}
	r.ReConnects = int(sum)
	if sum > 0 {
		r.PeakShare = most / sum
	}
	return r
}

// plannedClient is a client that carries out the decisions of package plan.
type plannedClient struct {
	sim     *simulation
	planner *plan.Planner
	known   []int
	links   map[uint64]*link
	done    map[uint64]func(bool) // callbacks of open requests, by id
	wake    time.Duration         // when the planner's timer event is scheduled, -1 if it is not
}

// newPlanned returns a client that knows the gateways with the given indices.
func newPlanned(s *simulation, known []int, seed uint64) (*plannedClient, error) {
	cfg := plan.Config{Classes: []plan.Class{{Name: "safe", Worth: 1}}, Conns: 1,
		Clients: s.cfg.Clients * s.cfg.Known / s.cfg.Gateways, SpreadRate: 5000}
	for _, g := range known {
		cfg.Gateways = append(cfg.Gateways, fmt.Sprint(g))
	}
	p, err := plan.New(cfg, rand.New(rand.NewPCG(s.cfg.Seed, seed+100)))
	return &plannedClient{sim: s, planner: p, known: known, links: map[uint64]*link{}, done: map[uint64]func(bool){}, wake: -1}, err
}

func (c *plannedClient) dispatch(id uint64, deadline time.Duration, done func(bool)) {
	c.done[id] = done
	c.handle(plan.Call{ID: id, Class: "safe", Deadline: deadline})
}

// handle passes an event to the planner, performs its actions and schedules its next timer.
func (c *plannedClient) handle(ev plan.Event) {
	for _, a := range c.planner.Handle(c.sim.clock.Now, ev, nil) {
		c.perform(a)
	}
	if at, ok := c.planner.NextTimer(); ok && (c.wake < c.sim.clock.Now || at < c.wake) {
		c.wake = max(at, c.sim.clock.Now+time.Millisecond)
		w := c.wake
		c.sim.clock.At(w, func() {
			if c.wake == w {
				c.wake = -1
				c.handle(plan.Timer{})
			}
		})
	}
}

// perform carries out an action of the planner.
func (c *plannedClient) perform(a plan.Action) {
	switch a := a.(type) {
	case plan.Connect:
		n := 0
		_, _ = fmt.Sscan(a.Gateway, &n) // newPlanned names gateways by their indices
		c.sim.dial(c.sim.gateways[n], func(l *link) {
			c.links[a.Conn] = l
			c.handle(plan.Up{Conn: a.Conn})
		}, func() { c.handle(plan.Down{Conn: a.Conn}) })
	case plan.Send:
		if l := c.links[a.Conn]; l != nil {
			c.sim.dispatch(l, func(ok bool, later time.Duration) {
				c.handle(plan.Answered{Conn: a.Conn, Attempt: a.Attempt, OK: ok, Rejected: !ok, RetryAfter: later})
			})
		}
	case plan.HealthCheck:
		if l := c.links[a.Conn]; l != nil {
			c.sim.clock.At(c.sim.clock.Now+2*oneWayDelay, func() {
				if l.gateway.up && l.incarnation == l.gateway.incarnation {
					c.handle(plan.Received{Conn: a.Conn, Healthy: true})
				}
			})
		}
	case plan.Disconnect:
		if l := c.links[a.Conn]; l != nil {
			delete(l.gateway.conns, l)
			delete(c.links, a.Conn)
		}
	case plan.End:
		if f := c.done[a.Call]; f != nil {
			delete(c.done, a.Call)
			f(a.Ending == plan.Served)
		}
	}
}

// naiveClient is a client without retry budget, jitter or use of Retry-After, such as a developer writes in an hour. Its
// kind determines its delays.
type naiveClient struct {
	sim         *simulation
	kind        Kind
	known       []int
	nextGateway int
	link        *link
	connecting  bool // a connection attempt is pending
	failures    int
	open        map[uint64]*request
}

// request is a request of a naive client.
type request struct {
	id       uint64
	deadline time.Duration
	tries    int
	done     func(bool)
}

// retryDelay returns the delay before the next attempt after a number of failures.
func (n *naiveClient) retryDelay(failures int) time.Duration {
	switch n.kind {
	case FixedWait:
		return time.Second
	case ExponentialWait:
		return 100 * time.Millisecond << min(failures, 10)
	default: // NoWait
		return 0
	}
}

func (n *naiveClient) dispatch(id uint64, deadline time.Duration, done func(bool)) {
	if n.open == nil {
		n.open = map[uint64]*request{}
	}
	r := &request{id: id, deadline: deadline, done: done}
	n.open[id] = r
	n.sim.clock.At(deadline, func() { n.end(r, false) })
	if n.link != nil {
		n.send(r)
	} else {
		n.connect()
	}
}

// end reports the outcome of a request that is still open.
func (n *naiveClient) end(r *request, ok bool) {
	if n.open[r.id] == r {
		delete(n.open, r.id)
		r.done(ok)
	}
}

// connect starts to connect to the next known gateway unless a connection exists or is pending. Once it is up, all open
// requests are sent again.
func (n *naiveClient) connect() {
	if n.connecting || n.link != nil {
		return
	}
	n.connecting = true
	n.sim.dial(n.sim.gateways[n.known[n.nextGateway%len(n.known)]], func(l *link) {
		n.connecting, n.link, n.failures = false, l, 0
		var all []*request
		for _, r := range n.open {
			all = append(all, r)
		}
		slices.SortFunc(all, func(a, b *request) int { return int(a.id) - int(b.id) })
		for _, r := range all {
			n.send(r)
		}
	}, func() { // the connection attempt failed, or the gateway was killed
		n.connecting, n.link = false, nil
		n.nextGateway++
		n.failures++
		n.sim.clock.At(n.sim.clock.Now+n.retryDelay(n.failures-1), n.connect)
	})
}

// send sends an attempt of an open request if a connection is up, and repeats it after a rejection.
func (n *naiveClient) send(r *request) {
	if n.open[r.id] != r || n.link == nil {
		return
	}
	r.tries++
	n.sim.dispatch(n.link, func(ok bool, _ time.Duration) {
		if ok {
			n.end(r, true)
			return
		}
		n.sim.clock.At(n.sim.clock.Now+n.retryDelay(r.tries-1), func() { n.send(r) })
	})
}
