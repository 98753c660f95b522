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

// simulation runs several nodes in virtual time. Messages are delayed, lost, duplicated and reordered; links fail in one or both
// directions; nodes are killed and suspended, and restart with or without what they had stored; their clocks run at different
// rates. The machines are simulated too, and the checks compare what nodes send, and what voters agree on, with the limits.
type simulation struct {
	rng             *rand.Rand
	clock           virtualclock.Clock
	names           []string
	voters          []string
	nodes           map[string]*simulatedNode
	severed         map[[2]string]bool // failed links, by sender and receiver
	loss            float64
	duplication     float64
	machines        map[string]*machine
	limits          maintenance.Limits
	lastIncarnation uint64
	latest          consensus.State // the newest state that any voter has learned
	violation       string
	sent            int
	replies         map[uint64]Message
	acknowledged    map[string]bool // machines whose maintenance requests were accepted by a voter
	lastRequestID   uint64

	intercept     func(from, to string) bool // called for each message: false drops it; nil: all are delivered
	messages      int                        // messages between two nodes so far
	duplicateNext bool                       // deliver the next message twice
	delayNext     time.Duration
}

type machine struct {
	maintenance.Machine
	outOfService bool // out of service by the newest state, and not restarted yet
}

type simulatedNode struct {
	name         string
	node         *Node   // nil: the process is not running
	clockRate    float64 // rate of the node's clock, relative to the virtual clock
	startedAt    time.Duration
	suspended    bool
	inbox        []MessageReceived        // arrived while the process was suspended
	acceptor     consensus.AcceptorState  // as stored
	view         []byte                   // as stored; nil: none
	durable      bool                     // storage survives a restart
	inFlight     map[string]time.Duration // end of the latest attempt at each machine
	generation   int                      // raised by each start and kill, so that callbacks for an earlier process do nothing
	draining     map[string]bool
	shuttingDown bool
}

func newSimulation(seed uint64, n int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*simulatedNode{}, severed: map[[2]string]bool{}, machines: map[string]*machine{}, replies: map[uint64]Message{}, acknowledged: map[string]bool{},
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
		m := &simulatedNode{name: name, clockRate: 0.96 + 0.08*w.rng.Float64(), durable: w.rng.IntN(2) == 0 || slices.Contains(w.voters, name)}
		w.nodes[name] = m
		w.startNode(m, false)
	}
	return w
}

// startNode starts a process of a node. With eraseStorage, or if its storage is not durable, it starts without what it had stored.
func (w *simulation) startNode(m *simulatedNode, eraseStorage bool) {
	w.lastIncarnation++
	if eraseStorage || !m.durable || m.acceptor.Incarnation == 0 {
		m.acceptor, m.view = consensus.AcceptorState{Incarnation: w.lastIncarnation}, nil
	}
	m.generation++
	m.suspended, m.inbox, m.inFlight, m.draining, m.shuttingDown = false, nil, map[string]time.Duration{}, nil, false
	m.startedAt = w.clock.Now
	var err error
	m.node, err = New(Config{Self: m.name, Incarnation: w.lastIncarnation, Members: w.names, Voters: w.voters, Acceptor: m.acceptor, View: m.view, Durable: m.durable, Limits: w.limits,
		WallClockMs: func() int64 { return int64(w.clock.Now / time.Millisecond) }, ReadInterval: 20 * time.Millisecond, Seed: w.lastIncarnation})
	if err != nil {
		panic(err)
	}
	generation := m.generation
	var tick func()
	tick = func() {
		if m.generation != generation {
			return
		}
		if !m.suspended {
			w.handle(m, ReportUpdated{w.report(m)})
			w.handle(m, Tick{})
			if m.generation == generation {
				w.trySending(m)
			}
		}
		w.clock.At(w.clock.Now+50*time.Millisecond, tick)
	}
	w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(50))*time.Millisecond, tick)
}

func (w *simulation) localTime(m *simulatedNode) time.Duration {
	return time.Second + time.Duration(m.clockRate*float64(w.clock.Now-m.startedAt))
}

// report returns what a node observes: all machines, and itself.
func (w *simulation) report(m *simulatedNode) Report {
	r := Report{Machines: map[string]maintenance.Machine{m.name: {Kind: maintenance.KindGateway, Zone: "z" + strconv.Itoa(slices.Index(w.names, m.name)%2), Up: true,
		Warm: m.node.Ready(), Weight: 1}}}
	for name, b := range w.machines {
		r.Machines[name] = b.Machine
	}
	return r
}

// trySending sends a request to a random machine, if the node permits it, and checks that the machine is in service.
func (w *simulation) trySending(m *simulatedNode) {
	name := slices.Sorted(maps.Keys(w.machines))[w.rng.IntN(len(w.machines))]
	if m.node.EndpointPermitted(w.localTime(m), name) && !m.shuttingDown {
		w.checkInService(m, name)
		m.inFlight[name] = w.clock.Now + time.Duration(w.rng.IntN(300))*time.Millisecond
	}
	w.reportDrained(m)
}

func (w *simulation) checkInService(m *simulatedNode, name string) {
	if w.machines[name].outOfService {
		w.violation = fmt.Sprintf("%v: %s sends to %s, which is out of service", w.clock.Now, m.name, name)
	}
}

func (w *simulation) reportDrained(m *simulatedNode) {
	for name := range m.draining {
		if m.inFlight[name] > w.clock.Now {
			return
		}
	}
	if m.draining != nil {
		w.handle(m, DrainCompleted{m.node.draining.Generation})
	}
}

// handle passes an event to a node and carries out its actions.
func (w *simulation) handle(m *simulatedNode, e Event) {
	if m.node == nil {
		return
	}
	generation := m.generation
	for _, a := range m.node.Handle(w.localTime(m), e, nil) {
		if m.generation != generation { // the node was killed while it carried out an action
			return
		}
		w.carryOut(m, a)
	}
	if m.generation == generation && m.node.voter != nil {
		w.checkChosen(m)
	}
}

func (w *simulation) carryOut(m *simulatedNode, a Action) {
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
		generation := m.generation
		w.clock.At(w.clock.Now, func() {
			if m.generation == generation && !m.suspended {
				w.reportDrained(m)
			}
		})
	case ShutDown:
		m.shuttingDown = true
		w.shutDown(m)
	case AuditEntry:
	}
}

// store completes a write after up to 3 ms, unless the node is killed before that.
func (w *simulation) store(m *simulatedNode, completed func()) {
	generation := m.generation
	w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(3000))*time.Microsecond, func() {
		if m.generation == generation {
			completed()
		}
	})
}

// shutDown lets a node answer its requests for 300 ms, reports that, stops the node 3 s later and starts it again.
func (w *simulation) shutDown(m *simulatedNode) {
	generation := m.generation
	w.clock.At(w.clock.Now+300*time.Millisecond, func() {
		if m.generation != generation || m.node == nil || m.suspended {
			return
		}
		w.handle(m, ShutdownCompleted{})
		w.clock.At(w.clock.Now+3*time.Second, func() {
			if m.generation == generation {
				m.generation++
				m.node = nil
				w.clock.At(w.clock.Now+500*time.Millisecond, func() { w.startNode(m, false) })
			}
		})
	})
}

// checkChosen compares the state that a voter has learned with the newest one known, and restarts the machines that it takes out of
// service. A violation is a machine that goes out of service while a running node has an attempt in flight there.
func (w *simulation) checkChosen(m *simulatedNode) {
	s, ok := m.node.voter.Chosen()
	if !ok || s.Revision < w.latest.Revision {
		return
	}
	if s.Revision == w.latest.Revision {
		if string(s.Value) != string(w.latest.Value) {
			w.violation = fmt.Sprintf("%v: two different states have revision %d", w.clock.Now, s.Revision)
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
		wasOut := b.outOfService
		b.outOfService = r.Stage == maintenance.OutOfService
		if b.outOfService && !wasOut { // the maintenance begins: the machine stops immediately
			for _, g := range w.nodes {
				if g.inFlight[r.Machine] > w.clock.Now && !g.suspended {
					w.violation = fmt.Sprintf("%v: %s goes out of service while %s has attempts in flight there", w.clock.Now, r.Machine, g.name)
				}
			}
			b.Up, b.Warm = false, false
			w.clock.At(w.clock.Now+time.Duration(300+w.rng.IntN(900))*time.Millisecond, func() {
				b.Up, b.BootMs = true, int64(w.clock.Now/time.Millisecond)
				b.outOfService = false
				w.clock.At(w.clock.Now+2*time.Second, func() { b.Warm = b.Up })
			})
		}
	}
}

// checkLimits checks the limits on a state independently of the code that enforces them.
func (w *simulation) checkLimits(s *maintenance.State) {
	outCount, outByGroup := 0, map[string]int{}
	seen := map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage == maintenance.Requested || r.Stage.Ended() {
			continue
		}
		if seen[r.Machine] {
			w.violation = r.Machine + " is taken out of service by two requests at once"
		}
		seen[r.Machine] = true
		outCount++
		outByGroup[r.Kind+r.Zone]++
	}
	if outCount > w.limits.MaxOut {
		w.violation = fmt.Sprintf("%d machines are out of service at once, more than MaxOut", outCount)
	}
	if outByGroup[maintenance.KindParent+"hub"] > 1 {
		w.violation = "both parents are out of service at once"
	}
	for z, n := range outByGroup {
		if n > 2 { // MaxZoneShareOut is 0.34, and each zone has six caches
			w.violation = fmt.Sprintf("%d of 6 machines are out of service in group %s", n, z)
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
	copies, delay := 1, w.delayNext
	w.delayNext = 0
	if w.duplicateNext {
		copies, w.duplicateNext = 2, false
	}
	if w.rng.Float64() < w.duplication {
		copies = 2
	}
	for range copies {
		w.clock.At(w.clock.Now+delay+time.Duration(200+w.rng.IntN(4000))*time.Microsecond, func() {
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

// sendCommand sends a command to a random gateway, as an operator's tool does, and repeats it up to that many times until it is
// accepted.
func (w *simulation) sendCommand(c maintenance.Command, retries int) {
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
		if !ok && retries > 0 { // a gateway that has just started knows no machines yet
			w.sendCommand(c, retries-1)
		}
	})
}

func (w *simulation) request(machine string, after ...string) {
	w.sendCommand(maintenance.Command{Request: &maintenance.RequestSpec{Key: "k-" + machine, Machine: machine, DurationMs: 5000, After: after}}, 30)
}

// lostRequest describes an accepted request that is missing from a state; it returns "" if there is none.
func (w *simulation) lostRequest(s *maintenance.State) string {
	for m := range w.acknowledged {
		if !slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return r.Machine == m }) {
			return "the request for " + m + " was accepted, and is missing from the state"
		}
	}
	return ""
}

// runSeed plays one random run: 8 to 13 maintenance requests are sent and faults injected. From 24 s on there are no network
// faults, and all requests must end.
func runSeed(seed uint64) (*simulation, string) {
	w := newSimulation(seed, 3+int(seed%5))
	for i := range 8 + w.rng.IntN(6) {
		all := slices.Sorted(maps.Keys(w.machines))
		m := all[w.rng.IntN(len(all))]
		if i == 0 && len(w.names) >= 4 { // the first request is for the machine of a gateway
			m = w.names[w.rng.IntN(len(w.names))]
		}
		w.clock.At(time.Duration(1500+w.rng.IntN(6000))*time.Millisecond, func() { w.request(m) })
	}
	for range w.rng.IntN(6) {
		w.injectFault(time.Duration(1000+w.rng.IntN(15000)) * time.Millisecond)
	}
	end := 24 * time.Second
	w.clock.At(end, func() { // all network faults end
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
		w.violation = "not all maintenance requests have ended by the time limit: " + string(w.latest.Value)
	}
	return w, w.violation
}

// EXPLORE=n plays n seeds instead of 40.
func TestRandomFaults(t *testing.T) {
	n := 40
	if x, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		n = x
	}
	done := 0
	for seed := range uint64(n) {
		w, failure := runSeed(seed)
		if failure != "" {
			t.Fatalf("seed %d, %d nodes: %s", seed, len(w.names), failure)
		}
		d, _ := maintenance.Decode(w.latest.Value)
		for _, r := range d.Requests {
			if r.Stage == maintenance.Completed {
				done++
			}
		}
	}
	if done < 4*n {
		t.Errorf("%d maintenance requests were completed in %d runs, want 4 a run or more", done, n)
	}
}
