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

// world runs several nodes in simulated time: messages are late, lost, doubled and out of order; links are cut one way or
// both; nodes are killed, stopped, and come back with and without what they had stored; their clocks run at different paces.
// Machines are a model of their own, and a checker holds what nodes permit against what was agreed on.
type world struct {
	rng     *rand.Rand
	clock   virtualclock.Clock
	names   []string
	voters  []string
	nodes   map[string]*member
	cut     map[[2]string]bool // from, to
	loss    float64
	double  float64
	boxes   map[string]*box
	bounds  maintenance.Limits
	lives   uint64
	latest  consensus.State // the newest that anybody learned
	bad     string
	sent    int
	bytes   int
	replies map[uint64]Message
	acked   map[string]bool // machines whose requests somebody has taken
	serial  uint64

	befall  func(from, to string) bool // nil: nothing befalls a message
	counted int                        // messages between nodes
	twice   bool                       // the next one
	late    time.Duration
}

type box struct {
	maintenance.Machine
	out  bool // by the newest state
	back time.Duration
}

type member struct {
	name    string
	node    *Node
	pace    float64
	base    time.Duration
	stopped bool
	inbox   []MessageReceived
	vote    consensus.AcceptorState
	view    []byte
	folder  bool
	busy    map[string]time.Duration // attempts out at machines, until
	epoch   int
	held    map[string]bool
	leaving bool
}

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*member{}, cut: map[[2]string]bool{}, boxes: map[string]*box{}, replies: map[uint64]Message{}, acked: map[string]bool{},
		bounds: maintenance.Limits{Lease: 2 * time.Second, DrainGrace: 500 * time.Millisecond, SlowStart: 4 * time.Second, MaxOut: 3, MinWarmParents: 1}}
	if err := w.bounds.Check(); err != nil {
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
			w.boxes[fmt.Sprintf("b%d%d", z, i)] = &box{Machine: maintenance.Machine{Kind: maintenance.KindBox, Zone: fmt.Sprintf("z%d", z), Up: true, Warm: true, Weight: 7, Utilization: 0.5}}
		}
	}
	for i := range 2 {
		w.boxes[fmt.Sprintf("p%d", i)] = &box{Machine: maintenance.Machine{Kind: maintenance.KindParent, Zone: "hub", Up: true, Warm: true, Weight: 20, Utilization: 0.4}}
	}
	for _, name := range w.names {
		m := &member{name: name, pace: 0.96 + 0.08*w.rng.Float64(), folder: w.rng.IntN(2) == 0 || slices.Contains(w.voters, name)}
		w.nodes[name] = m
		w.begin(m, false)
	}
	return w
}

// begin starts a node; forget loses what it had stored.
func (w *world) begin(m *member, forget bool) {
	w.lives++
	if forget || !m.folder || m.vote.Incarnation == 0 {
		m.vote, m.view = consensus.AcceptorState{Incarnation: w.lives}, nil
	}
	m.epoch++
	m.stopped, m.inbox, m.busy, m.held, m.leaving = false, nil, map[string]time.Duration{}, nil, false
	m.base = w.clock.Now
	var err error
	m.node, err = New(Config{Self: m.name, Incarnation: w.lives, Members: w.names, Voters: w.voters, Acceptor: m.vote, View: m.view, Durable: m.folder, Limits: w.bounds,
		WallClockMs: func() int64 { return int64(w.clock.Now / time.Millisecond) }, ReadInterval: 20 * time.Millisecond, Seed: w.lives})
	if err != nil {
		panic(err)
	}
	epoch := m.epoch
	var tick func()
	tick = func() {
		if m.epoch != epoch {
			return
		}
		if !m.stopped {
			w.do(m, Observed{w.report(m)})
			w.do(m, Tick{})
			if m.epoch == epoch {
				w.serve(m)
			}
		}
		w.clock.At(w.clock.Now+50*time.Millisecond, tick)
	}
	w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(50))*time.Millisecond, tick)
}

func (w *world) local(m *member) time.Duration {
	return time.Second + time.Duration(m.pace*float64(w.clock.Now-m.base))
}

// report is what a node sees: all boxes, and itself.
func (w *world) report(m *member) Report {
	r := Report{Machines: map[string]maintenance.Machine{m.name: {Kind: maintenance.KindGateway, Zone: "z" + strconv.Itoa(slices.Index(w.names, m.name)%2), Up: true,
		Warm: m.node.Ready(), Weight: 1}}}
	for name, b := range w.boxes {
		r.Machines[name] = b.Machine
	}
	return r
}

// serve has the node send to some box, if it permits that, and holds that against what was agreed on.
func (w *world) serve(m *member) {
	name := slices.Sorted(maps.Keys(w.boxes))[w.rng.IntN(len(w.boxes))]
	if m.node.MaySend(w.local(m), name) && !m.leaving {
		w.check(m, name)
		m.busy[name] = w.clock.Now + time.Duration(w.rng.IntN(300))*time.Millisecond
	}
	w.idle(m)
}

func (w *world) check(m *member, name string) {
	if w.boxes[name].out {
		w.bad = fmt.Sprintf("%v: %s sends to %s, which is out", w.clock.Now, m.name, name)
	}
}

func (w *world) idle(m *member) {
	for name := range m.held {
		if m.busy[name] > w.clock.Now {
			return
		}
	}
	if m.held != nil {
		w.do(m, Drained{m.node.draining.Generation})
	}
}

func (w *world) do(m *member, e Event) {
	if m.node == nil {
		return
	}
	epoch := m.epoch
	for _, a := range m.node.Handle(w.local(m), e, nil) {
		if m.epoch != epoch { // it crashed over one of them
			return
		}
		switch a := a.(type) {
		case Send:
			w.send(m.name, a.To, a.Message)
		case StoreAcceptorState:
			w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(3000))*time.Microsecond, func() {
				if m.epoch == epoch {
					m.vote = a.Store.State
					w.do(m, AcceptorStateStored{a.Store.Number})
				}
			})
		case StoreView:
			w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(3000))*time.Microsecond, func() {
				if m.epoch == epoch {
					m.view = a.Value
					w.do(m, ViewStored{a.Revision})
				}
			})
		case DrainMachines:
			m.held = a.Machines
			w.clock.At(w.clock.Now, func() {
				if m.epoch == epoch && !m.stopped {
					w.idle(m)
				}
			})
		case ShutDown:
			m.leaving = true
			w.clock.At(w.clock.Now+300*time.Millisecond, func() { // it has drained, says so, and ends; then it is back
				if m.epoch != epoch || m.node == nil || m.stopped {
					return
				}
				w.do(m, ShutdownCompleted{})
				w.clock.At(w.clock.Now+3*time.Second, func() {
					if m.epoch == epoch {
						m.epoch++
						m.node = nil
						w.clock.At(w.clock.Now+500*time.Millisecond, func() { w.begin(m, false) })
					}
				})
			})
		case AuditEntry:
		}
	}
	if m.epoch == epoch && m.node.voter != nil {
		w.learned(m)
	}
}

// learned checks what a voter knows against what others know, and works on the machines that are out.
func (w *world) learned(m *member) {
	s, ok := m.node.voter.Chosen()
	if !ok || s.Revision < w.latest.Revision {
		return
	}
	if s.Revision == w.latest.Revision {
		if string(s.Value) != string(w.latest.Value) {
			w.bad = fmt.Sprintf("%v: revision %d is two things", w.clock.Now, s.Revision)
		}
		return
	}
	w.latest = s
	d, err := maintenance.Decode(s.Value)
	if err != nil {
		w.bad = err.Error()
		return
	}
	w.judge(d)
	for _, r := range d.Requests {
		b := w.boxes[r.Machine]
		if b == nil {
			continue
		}
		was := b.out
		b.out = r.Stage == maintenance.OutOfService
		if b.out && !was { // the work begins: it stops at once
			for _, g := range w.nodes {
				if g.busy[r.Machine] > w.clock.Now && !g.stopped {
					w.bad = fmt.Sprintf("%v: %s is called out while %s has work there", w.clock.Now, r.Machine, g.name)
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

// judge is the independent checker of the bounds: by the state alone, without the code that keeps them.
func (w *world) judge(s *maintenance.State) {
	away, zone := 0, map[string]int{}
	seen := map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage == maintenance.Requested || r.Stage.Ended() {
			continue
		}
		if seen[r.Machine] {
			w.bad = r.Machine + " is taken out twice"
		}
		seen[r.Machine] = true
		away++
		zone[r.Kind+r.Zone]++
	}
	if away > w.bounds.MaxOut {
		w.bad = fmt.Sprintf("%d machines are out at once", away)
	}
	if zone[maintenance.KindParent+"hub"] > 1 {
		w.bad = "both upper caches are out"
	}
	for z, n := range zone {
		if n > 2 { // a third of six
			w.bad = fmt.Sprintf("%d of six are out in %s", n, z)
		}
	}
}

func (w *world) send(from, to string, m Message) {
	w.sent++
	if w.befall != nil && !w.befall(from, to) {
		return
	}
	if w.cut[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	times, late := 1, w.late
	w.late = 0
	if w.twice {
		times, w.twice = 2, false
	}
	if w.rng.Float64() < w.double {
		times = 2
	}
	for range times {
		w.clock.At(w.clock.Now+late+time.Duration(200+w.rng.IntN(4000))*time.Microsecond, func() {
			if g := w.nodes[to]; g != nil && g.node != nil {
				if g.stopped {
					g.inbox = append(g.inbox, MessageReceived{from, m})
				} else {
					w.do(g, MessageReceived{from, m})
				}
			} else if g == nil && m.Kind == OperatorReply {
				w.replies[m.ID] = m
			}
		})
	}
}

// order sends a command as an operator's tool would, and tries again elsewhere until it is answered.
func (w *world) order(c maintenance.Command, tries int) {
	b, _ := json.Marshal(c)
	w.serial++
	id := w.serial
	w.send("tool", w.names[w.rng.IntN(len(w.names))], Message{Kind: OperatorRequest, ID: id, Value: b})
	w.clock.At(w.clock.Now+700*time.Millisecond, func() {
		m, ok := w.replies[id]
		var r maintenance.Reply
		if c.Request != nil {
			if ok = ok && m.Rejected == "" && json.Unmarshal(m.Value, &r) == nil && r.Rejected == ""; ok {
				w.acked[c.Request.Machine] = true
			}
		}
		if !ok && tries > 0 { // a gateway that has just begun knows no machines
			w.order(c, tries-1)
		}
	})
}

func (w *world) ask(machine string, after ...string) {
	w.order(maintenance.Command{Request: &maintenance.RequestOrder{Key: "k-" + machine, Machine: machine, DurationMs: 5000, After: after}}, 30)
}

// kept says that no request which was taken is missing from a state.
func (w *world) kept(s *maintenance.State) string {
	for m := range w.acked {
		if !slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return r.Machine == m }) {
			return "the request for " + m + " was taken, and is not in the state"
		}
	}
	return ""
}

// trouble makes one of the faults.
func (w *world) trouble(at time.Duration) {
	w.clock.At(at, func() {
		g := w.nodes[w.names[w.rng.IntN(len(w.names))]]
		long := time.Duration(200+w.rng.IntN(6000)) * time.Millisecond
		heal := w.clock.Now + long
		switch w.rng.IntN(6) {
		case 0, 1: // killed, and back
			if g.node == nil {
				return
			}
			g.epoch++
			g.node = nil
			forget := w.rng.IntN(4) == 0 && (!slices.Contains(w.voters, g.name) || w.othersVote(g.name))
			w.clock.At(heal, func() {
				if g.node == nil {
					w.begin(g, forget)
				}
			})
		case 2: // stopped
			if g.node == nil || g.stopped {
				return
			}
			g.stopped = true
			epoch := g.epoch
			w.clock.At(heal, func() {
				if g.epoch != epoch {
					return
				}
				g.stopped = false
				for name := range w.boxes { // it goes on where it stood, before it has heard anything
					if g.node.MaySend(w.local(g), name) {
						w.check(g, name)
					}
				}
				for _, h := range g.inbox {
					w.do(g, h)
				}
				g.inbox = nil
			})
		case 3, 4: // a partition, or a cut one way
			side, oneWay := map[string]bool{}, w.rng.IntN(2) == 0
			for _, n := range w.names {
				side[n] = w.rng.IntN(2) == 0
			}
			for _, a := range w.names {
				for _, b := range w.names {
					if side[a] && !side[b] || !oneWay && side[a] != side[b] {
						w.cut[[2]string{a, b}] = true
					}
				}
			}
			w.clock.At(heal, func() { clear(w.cut) })
		case 5: // bad links
			w.loss, w.double = 0.2*w.rng.Float64(), 0.2*w.rng.Float64()
			w.clock.At(heal, func() { w.loss, w.double = 0, 0 })
		}
	})
}

// othersVote says that all other voters are there with their votes. Where a majority of votes is lost nothing can be settled any
// more until an operator says so, and no run asks for that.
func (w *world) othersVote(but string) bool {
	for _, n := range w.voters {
		if m := w.nodes[n]; n != but && (m.node == nil || !m.node.voter.CanVote()) {
			return false
		}
	}
	return true
}

// play is one seeded run: ten machines and more are asked for, troubles come, and in the end all is done.
func play(seed uint64) (*world, string) {
	w := newWorld(seed, 3+int(seed%5))
	for i := range 8 + w.rng.IntN(6) {
		all := slices.Sorted(maps.Keys(w.boxes))
		m := all[w.rng.IntN(len(all))]
		if i == 0 && len(w.names) >= 4 { // and one of the gateways' own
			m = w.names[w.rng.IntN(len(w.names))]
		}
		w.clock.At(time.Duration(1500+w.rng.IntN(6000))*time.Millisecond, func() { w.ask(m) })
	}
	for range w.rng.IntN(6) {
		w.trouble(time.Duration(1000+w.rng.IntN(15000)) * time.Millisecond)
	}
	end := 24 * time.Second
	w.clock.At(end, func() { // what is still wrong is put right
		clear(w.cut)
		w.loss, w.double = 0, 0
	})
	for limit := end; limit < 200*time.Second && w.bad == ""; limit += 5 * time.Second {
		w.clock.Run(limit)
		if d, err := maintenance.Decode(w.latest.Value); err == nil && limit > end && !slices.ContainsFunc(d.Requests, func(r *maintenance.Request) bool { return !r.Stage.Ended() }) {
			return w, w.kept(d)
		}
	}
	if w.bad == "" {
		w.bad = "the plan does not end: " + string(w.latest.Value)
	}
	return w, w.bad
}

func TestSeededRuns(t *testing.T) {
	n := 40
	if x, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		n = x
	}
	done := 0
	for seed := range uint64(n) {
		w, bad := play(seed)
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
