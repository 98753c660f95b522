package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"larchusher/consensus"
	"larchusher/lab/virtualclock"
	"larchusher/maintenance"
)

// simulation runs several nodes in simulated time: messages are late, lost, duplicated and out of order; links are cut one way or
// both; nodes are killed, suspended, and come back with and without what they had stored; their clocks run at different paces.
// Machines are a model of their own, and a checker compares what nodes send to with what was agreed on.
type simulation struct {
	rng             *rand.Rand
	clock           virtualclock.Clock
	names           []string
	voters          []string
	nodes           map[string]*host
	severed         map[[2]string]bool // from, to
	loss            float64
	duplication     float64
	machines        map[string]*machine
	limits          maintenance.Limits
	lastIncarnation uint64
	latest          consensus.State // the newest that anybody learned
	violation       string
	sent            int
	replies         map[uint64]Message
	acknowledged    map[string]bool // machines whose requests somebody has taken
	lastRequestID   uint64

	intercept     func(from, to string) bool // nil: nothing befalls a message
	messages      int                        // messages between nodes
	duplicateNext bool                       // the next one
	delayNext     time.Duration
}

type machine struct {
	maintenance.Machine
	out bool // by the newest state
}

type host struct {
	name         string
	node         *Node
	clockRate    float64
	startedAt    time.Duration
	suspended    bool
	inbox        []MessageReceived
	acceptor     consensus.AcceptorState
	view         []byte
	durable      bool
	inFlight     map[string]time.Duration // attempts out at machines, until
	run          int
	draining     map[string]bool
	shuttingDown bool
}

func newSimulation(seed uint64, n int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*host{}, severed: map[[2]string]bool{}, machines: map[string]*machine{}, replies: map[uint64]Message{}, acknowledged: map[string]bool{},
		limits: maintenance.Limits{Lease: 2 * time.Second, DrainGrace: 500 * time.Millisecond, SlowStart: 4 * time.Second, MaxOut: 3, MinWarmParents: 1}}
	if err := w.limits.Check(); err != nil {
		panic(err)
	}
	w.clock.Now = time.Second
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("g%d", i))
	}
	w.voters = w.names[:min(n, 3)]
	if n >= 5 {
		w.voters = w.names[:5]
	}
	for z := range 2 {
		for i := range 6 {
			w.machines[fmt.Sprintf("b%d%d", z, i)] = &machine{Machine: maintenance.Machine{Kind: maintenance.KindCache, Zone: fmt.Sprintf("z%d", z), Up: true, Warm: true, Weight: 7, Utilization: 0.5}}
		}
	}
	for i := range 2 {
		w.machines[fmt.Sprintf("p%d", i)] = &machine{Machine: maintenance.Machine{Kind: maintenance.KindParent, Zone: "hub", Up: true, Warm: true, Weight: 20, Utilization: 0.4}}
	}
	for _, name := range w.names {
		m := &host{name: name, clockRate: 0.96 + 0.08*w.rng.Float64(), durable: w.rng.IntN(2) == 0 || slices.Contains(w.voters, name)}
		w.nodes[name] = m
		w.startNode(m, false)
	}
	return w
}

// startNode starts a node; forget loses what it had stored.
func (w *simulation) startNode(m *host, forget bool) {
	w.lastIncarnation++
	if forget || !m.durable || m.acceptor.Incarnation == 0 {
		m.acceptor, m.view = consensus.AcceptorState{Incarnation: w.lastIncarnation}, nil
	}
	m.run++
	m.suspended, m.inbox, m.inFlight, m.draining, m.shuttingDown = false, nil, map[string]time.Duration{}, nil, false
	m.startedAt = w.clock.Now
	var err error
	m.node, err = New(Config{Self: m.name, Incarnation: w.lastIncarnation, Members: w.names, Voters: w.voters, Acceptor: m.acceptor, View: m.view, Durable: m.durable, Limits: w.limits,
		WallClockMs: func() int64 { return int64(w.clock.Now / time.Millisecond) }, ReadInterval: 20 * time.Millisecond, Seed: w.lastIncarnation})
	if err != nil {
		panic(err)
	}
	epoch := m.run
	var tick func()
	tick = func() {
		if m.run != epoch {
			return
		}
		if !m.suspended {
			w.handle(m, ReportUpdated{w.report(m)})
			w.handle(m, Tick{})
			if m.run == epoch {
				w.trySending(m)
			}
		}
		w.clock.At(w.clock.Now+50*time.Millisecond, tick)
	}
	w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(50))*time.Millisecond, tick)
}

func (w *simulation) localTime(m *host) time.Duration {
	return time.Second + time.Duration(m.clockRate*float64(w.clock.Now-m.startedAt))
}

// report is what a node observes: all machines, and itself.
func (w *simulation) report(m *host) Report {
	r := Report{Machines: map[string]maintenance.Machine{m.name: {Kind: maintenance.KindGateway, Zone: "z" + strconv.Itoa(slices.Index(w.names, m.name)%2), Up: true,
		Warm: m.node.Ready(), Weight: 1}}}
	for name, b := range w.machines {
		r.Machines[name] = b.Machine
	}
	return r
}

// trySending has the node send to some machine, if it may, and checks that against what was agreed on.
func (w *simulation) trySending(m *host) {
	name := slices.Sorted(maps.Keys(w.machines))[w.rng.IntN(len(w.machines))]
	if m.node.EndpointPermitted(w.localTime(m), name) && !m.shuttingDown {
		w.checkSent(m, name)
		m.inFlight[name] = w.clock.Now + time.Duration(w.rng.IntN(300))*time.Millisecond
	}
	w.reportDrained(m)
}

func (w *simulation) checkSent(m *host, name string) {
	if w.machines[name].out {
		w.violation = fmt.Sprintf("%v: %s sends to %s, which is out", w.clock.Now, m.name, name)
	}
}

func (w *simulation) reportDrained(m *host) {
	for name := range m.draining {
		if m.inFlight[name] > w.clock.Now {
			return
		}
	}
	if m.draining != nil {
		w.handle(m, DrainCompleted{m.node.draining.Generation})
	}
}

// handle hands an event to a node and carries out its actions.
func (w *simulation) handle(m *host, e Event) {
	if m.node == nil {
		return
	}
	run := m.run
	for _, a := range m.node.Handle(w.localTime(m), e, nil) {
		if m.run != run { // it crashed over one of them
			return
		}
		w.carryOut(m, a)
	}
	if m.run == run && m.node.voter != nil {
		w.checkChosen(m)
	}
}

func (w *simulation) carryOut(m *host, a Action) {
	switch a := a.(type) {
	case Send:
		w.send(m.name, a.To, a.Message)
	case StoreAcceptorState:
		w.store(m, func() {
			m.acceptor = a.Store.State
			w.handle(m, AcceptorStateStored{a.Store.Number})
		})
	case StoreView:
		w.store(m, func() {
			m.view = a.Value
			w.handle(m, ViewStored{a.Revision})
		})
	case DrainMachines:
		m.draining = a.Machines
		run := m.run
		w.clock.At(w.clock.Now, func() {
			if m.run == run && !m.suspended {
				w.reportDrained(m)
			}
		})
	case ShutDown:
		m.shuttingDown = true
		w.shutDown(m)
	case AuditEntry:
	}
}

// store has a write done after up to 3 ms, unless the node crashes before.
func (w *simulation) store(m *host, written func()) {
	run := m.run
	w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(3000))*time.Microsecond, func() {
		if m.run == run {
			written()
		}
	})
}

// shutDown has a node drain, report it, and end; then it is started again.
func (w *simulation) shutDown(m *host) {
	run := m.run
	w.clock.At(w.clock.Now+300*time.Millisecond, func() {
		if m.run != run || m.node == nil || m.suspended {
			return
		}
		w.handle(m, ShutdownCompleted{})
		w.clock.At(w.clock.Now+3*time.Second, func() {
			if m.run == run {
				m.run++
				m.node = nil
				w.clock.At(w.clock.Now+500*time.Millisecond, func() { w.startNode(m, false) })
			}
		})
	})
}

// checkChosen checks what a voter knows against what others know, and works on the machines that are out.
func (w *simulation) checkChosen(m *host) {
	s, ok := m.node.voter.Chosen()
	if !ok || s.Revision < w.latest.Revision {
		return
	}
	if s.Revision == w.latest.Revision {
		if string(s.Value) != string(w.latest.Value) {
			w.violation = fmt.Sprintf("%v: revision %d is two things", w.clock.Now, s.Revision)
		}
		return
	}
	w.latest = s
	d, err := maintenance.Decode(s.Value)
	if err != nil {
		w.violation = err.Error()
		return
	}
	w.checkLimits(d)
	for _, r := range d.Requests {
		b := w.machines[r.Machine]
		if b == nil {
			continue
		}
		was := b.out
		b.out = r.Stage == maintenance.OutOfService
		if b.out && !was { // the work begins: it stops at once
			for _, g := range w.nodes {
				if g.inFlight[r.Machine] > w.clock.Now && !g.suspended {
					w.violation = fmt.Sprintf("%v: %s is called out while %s has work there", w.clock.Now, r.Machine, g.name)
				}
			}
			b.Up, b.Warm = false, false
			w.clock.At(w.clock.Now+time.Duration(300+w.rng.IntN(900))*time.Millisecond, func() {
				b.Up, b.BootMs = true, int64(w.clock.Now/time.Millisecond)
				b.out = false
				w.clock.At(w.clock.Now+2*time.Second, func() { b.Warm = b.Up })
			})
		}
	}
}

// checkLimits is the independent checker of the limits: by the state alone, without the code that enforces them.
func (w *simulation) checkLimits(s *maintenance.State) {
	away, zone := 0, map[string]int{}
	seen := map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage == maintenance.Requested || r.Stage.Ended() {
			continue
		}
		if seen[r.Machine] {
			w.violation = r.Machine + " is taken out twice"
		}
		seen[r.Machine] = true
		away++
		zone[r.Kind+r.Zone]++
	}
	if away > w.limits.MaxOut {
		w.violation = fmt.Sprintf("%d machines are out at once", away)
	}
	if zone[maintenance.KindParent+"hub"] > 1 {
		w.violation = "both upper caches are out"
	}
	for z, n := range zone {
		if n > 2 { // a third of six
			w.violation = fmt.Sprintf("%d of six are out in %s", n, z)
		}
	}
}

func (w *simulation) send(from, to string, m Message) {
	w.sent++
	if w.intercept != nil && !w.intercept(from, to) {
		return
	}
	if w.severed[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	times, late := 1, w.delayNext
	w.delayNext = 0
	if w.duplicateNext {
		times, w.duplicateNext = 2, false
	}
	if w.rng.Float64() < w.duplication {
		times = 2
	}
	for range times {
		w.clock.At(w.clock.Now+late+time.Duration(200+w.rng.IntN(4000))*time.Microsecond, func() {
			if g := w.nodes[to]; g != nil && g.node != nil {
				if g.suspended {
					g.inbox = append(g.inbox, MessageReceived{from, m})
				} else {
					w.handle(g, MessageReceived{from, m})
				}
			} else if g == nil && m.Kind == OperatorReply {
				w.replies[m.ID] = m
			}
		})
	}
}

// sendCommand sends a command as an operator's tool would, and tries again elsewhere until it is answered.
func (w *simulation) sendCommand(c maintenance.Command, tries int) {
	b, _ := json.Marshal(c)
	w.lastRequestID++
	id := w.lastRequestID
	w.send("tool", w.names[w.rng.IntN(len(w.names))], Message{Kind: OperatorRequest, ID: id, Value: b})
	w.clock.At(w.clock.Now+700*time.Millisecond, func() {
		m, ok := w.replies[id]
		var r maintenance.Reply
		if c.Request != nil {
			if ok = ok && m.Rejected == "" && json.Unmarshal(m.Value, &r) == nil && r.Rejected == ""; ok {
				w.acknowledged[c.Request.Machine] = true
			}
		}
		if !ok && tries > 0 { // a gateway that has just begun knows no machines
			w.sendCommand(c, tries-1)
		}
	})
}

func (w *simulation) request(machine string, after ...string) {
	w.sendCommand(maintenance.Command{Request: &maintenance.RequestSpec{Key: "k-" + machine, Machine: machine, DurationMs: 5000, After: after}}, 30)
}

// lostRequest names a request that was taken and is missing from a state; empty: none is.
func (w *simulation) lostRequest(s *maintenance.State) string {
	for m := range w.acknowledged {
		if !slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return r.Machine == m }) {
			return "the request for " + m + " was taken, and is not in the state"
		}
	}
	return ""
}

// playSeed is one seeded run: ten machines and more are asked for, faults are injected, and in the end all is done.
func playSeed(seed uint64) (*simulation, string) {
	w := newSimulation(seed, 3+int(seed%5))
	for i := range 8 + w.rng.IntN(6) {
		all := slices.Sorted(maps.Keys(w.machines))
		m := all[w.rng.IntN(len(all))]
		if i == 0 && len(w.names) >= 4 { // and one of the gateways' own
			m = w.names[w.rng.IntN(len(w.names))]
		}
		w.clock.At(time.Duration(1500+w.rng.IntN(6000))*time.Millisecond, func() { w.request(m) })
	}
	for range w.rng.IntN(6) {
		w.injectFault(time.Duration(1000+w.rng.IntN(15000)) * time.Millisecond)
	}
	end := 24 * time.Second
	w.clock.At(end, func() { // what is still wrong is put right
		clear(w.severed)
		w.loss, w.duplication = 0, 0
	})
	for limit := end; limit < 200*time.Second && w.violation == ""; limit += 5 * time.Second {
		w.clock.Run(limit)
		if d, err := maintenance.Decode(w.latest.Value); err == nil && limit > end && !slices.ContainsFunc(d.Requests, func(r *maintenance.Request) bool { return !r.Stage.Ended() }) {
			return w, w.lostRequest(d)
		}
	}
	if w.violation == "" {
		w.violation = "the plan does not end: " + string(w.latest.Value)
	}
	return w, w.violation
}

func TestSeededRuns(t *testing.T) {
	n := 40
	if x, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		n = x
	}
	done := 0
	for seed := range uint64(n) {
		w, bad := playSeed(seed)
		if bad != "" {
			t.Fatalf("seed %d, %d nodes: %s", seed, len(w.names), bad)
		}
		d, _ := maintenance.Decode(w.latest.Value)
		for _, r := range d.Requests {
			if r.Stage == maintenance.Completed {
				done++
			}
		}
	}
	if done < 4*n {
		t.Errorf("%d works were done in %d runs", done, n)
	}
}
