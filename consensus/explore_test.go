package consensus

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The explorer enumerates all interleavings of events at three voters, for a given number of commands, timeouts, lost
// messages, crashes and network partitions. The random runs play longer sequences of the same events. A value is the
// list of the commands applied to it, so of any two chosen values one must be a prefix of the other.

var voterNames = []string{"a", "b", "c"}

// appendOnce is a Config.Apply that appends a command to the list unless it is there already, and replies with the
// list's length.
func appendOnce(value, command []byte) (next, reply []byte) {
	all := strings.Fields(string(value))
	if !slices.Contains(all, string(command)) {
		all = append(all, string(command))
	}
	return []byte(strings.Join(all, " ")), []byte(strconv.Itoa(len(all)))
}

// envelope is a message in flight.
type envelope struct {
	from, to string
	message  Message
}

// budget is the number of events of each kind that may still happen.
type budget struct{ commands, reads, ticks, losses, crashes, stateLosses, isolations, duplicates int }

// cluster is the simulated state of three voters, their storage and the network, together with what the checks need to know.
type cluster struct {
	voters             map[string]*Voter        // by name; nil: down
	durable            map[string]AcceptorState // by voter: the state on disk
	unwritten          map[string][]StoreState  // by voter: writes that are not durable yet
	delayedWrites      bool                     // writes become durable in a step of their own; false: at once
	inFlight           []envelope
	isolated           string // messages from and to this voter are not delivered; empty: none is isolated
	budget             budget
	now                time.Duration
	lastIncarnation    uint64
	chosen             []string        // the longest list that a voter has reported as chosen
	acknowledged       map[string]bool // by ID: commands that a voter has reported as completed
	acknowledgedBefore map[string]int  // by ID of a read: number of commands acknowledged before it
	violation          string          // the latest violated invariant; empty: none
}

func newCluster(events budget, delayedWrites bool) *cluster {
	w := &cluster{voters: map[string]*Voter{}, durable: map[string]AcceptorState{}, unwritten: map[string][]StoreState{}, delayedWrites: delayedWrites, budget: events, acknowledged: map[string]bool{}, acknowledgedBefore: map[string]int{}}
	for _, n := range voterNames {
		w.lastIncarnation++
		w.durable[n] = AcceptorState{Incarnation: w.lastIncarnation}
		w.start(n)
	}
	return w
}

// start starts a voter from its durable state.
func (w *cluster) start(name string) {
	v, err := New(Config{Self: name, Voters: voterNames, Acceptor: w.durable[name], Apply: appendOnce, RoundTimeout: 1, BackoffBase: 1, Seed: 1})
	if err != nil {
		panic(err)
	}
	w.voters[name] = v
}

// clone returns a deep copy, so that each step can be applied to a copy of its own.
func (w *cluster) clone() *cluster {
	c := *w
	c.voters, c.durable, c.unwritten, c.acknowledged, c.acknowledgedBefore = map[string]*Voter{}, maps.Clone(w.durable), map[string][]StoreState{}, maps.Clone(w.acknowledged), maps.Clone(w.acknowledgedBefore)
	for n, v := range w.voters {
		if v != nil {
			k := *v
			pcg := *v.pcg
			k.pcg, k.rng = &pcg, rand.New(&pcg)
			k.replies, k.unadmitted, k.commandReplies, k.eligible = maps.Clone(v.replies), maps.Clone(v.unadmitted), maps.Clone(v.commandReplies), maps.Clone(v.eligible)
			k.pendingReplies, k.proposals, k.reads, k.queuedProposals, k.queuedReads = slices.Clone(v.pendingReplies), slices.Clone(v.proposals), slices.Clone(v.reads), slices.Clone(v.queuedProposals), slices.Clone(v.queuedReads)
			k.acceptor.State, k.chosen, k.proposed = v.acceptor.State.clone(), v.chosen.clone(), v.proposed.clone()
			c.voters[n] = &k
		}
	}
	for n, p := range w.unwritten {
		c.unwritten[n] = slices.Clone(p)
	}
	c.inFlight, c.chosen = slices.Clone(w.inFlight), slices.Clone(w.chosen)
	return &c
}

// handle passes an event to a voter, unless it is down, carries out the actions, and checks completed commands and reads.
func (w *cluster) handle(name string, e Event) {
	v := w.voters[name]
	if v == nil {
		return
	}
	w.now++
	events := []Event{e}
	for len(events) > 0 {
		out := v.Handle(w.now, events[0], nil)
		events = events[1:]
		for _, a := range out {
			switch a := a.(type) {
			case Send:
				w.inFlight = append(w.inFlight, envelope{name, a.To, a.Message})
			case StoreState:
				if w.delayedWrites {
					w.unwritten[name] = append(w.unwritten[name], a)
				} else {
					w.durable[name] = a.State
					events = append(events, StateStored{a.Number})
				}
			case Completed:
				if !a.Rejected {
					w.checkChosen(name, a.State)
					if a.Reply != nil {
						w.acknowledged[a.ID] = true
					} else if n := w.acknowledgedBefore[a.ID]; len(strings.Fields(string(a.State.Value))) < n {
						w.violation = fmt.Sprintf("%s answered read %q with %q, but %d commands were acknowledged before", name, a.ID, a.State.Value, n)
					}
				}
			case Learned:
				w.checkChosen(name, a.State)
			}
		}
	}
}

// checkChosen checks that a value that a voter reports as chosen is consistent with all reported before, and that the
// longest one contains all acknowledged commands.
func (w *cluster) checkChosen(name string, s State) {
	got := strings.Fields(string(s.Value))
	n := min(len(got), len(w.chosen))
	if !slices.Equal(got[:n], w.chosen[:n]) {
		w.violation = fmt.Sprintf("%s reports %v as chosen, but %v was chosen before", name, got, w.chosen)
	}
	if len(got) > len(w.chosen) {
		w.chosen = got
	}
	for id := range w.acknowledged {
		if !slices.Contains(w.chosen, id) {
			w.violation = fmt.Sprintf("command %s was acknowledged, but the chosen value is %v", id, w.chosen)
		}
	}
}

// steps returns all events that can happen next.
func (w *cluster) steps() (all []func(*cluster)) {
	all = w.networkSteps()
	for _, n := range voterNames {
		if w.voters[n] == nil {
			all = append(all, func(w *cluster) { w.start(n) })
			continue
		}
		all = append(all, w.voterSteps(n)...)
		all = append(all, w.faultSteps(n)...)
	}
	if w.isolated != "" {
		all = append(all, func(w *cluster) { w.isolated = "" })
	}
	return all
}

// networkSteps returns the steps that deliver, lose or duplicate a message in flight.
func (w *cluster) networkSteps() (all []func(*cluster)) {
	seen := map[string]bool{}
	for i, f := range w.inFlight {
		k := &fingerprint{}
		k.text(f.from, f.to)
		k.message(f.message)
		key := string(k.b)
		if seen[key] { // identical messages lead to identical states
			continue
		}
		seen[key] = true
		if w.isolated != "" && (f.from == w.isolated) != (f.to == w.isolated) {
			continue
		}
		all = append(all, func(w *cluster) {
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
			w.handle(f.to, MessageReceived{f.from, f.message})
		})
		if w.budget.losses > 0 {
			all = append(all, func(w *cluster) { w.budget.losses--; w.inFlight = slices.Delete(w.inFlight, i, i+1) })
		}
		if w.budget.duplicates > 0 {
			all = append(all, func(w *cluster) { w.budget.duplicates--; w.handle(f.to, MessageReceived{f.from, f.message}) })
		}
	}
	return all
}

// voterSteps returns the steps in which a voter's write becomes durable, it receives a command or a read, or its time
// passes.
func (w *cluster) voterSteps(n string) (all []func(*cluster)) {
	if len(w.unwritten[n]) > 0 {
		all = append(all, func(w *cluster) {
			p := w.unwritten[n][0]
			w.unwritten[n] = w.unwritten[n][1:]
			w.durable[n] = p.State
			w.handle(n, StateStored{p.Number})
		})
	}
	if w.budget.commands > 0 {
		all = append(all, func(w *cluster) {
			id := "x" + strconv.Itoa(w.budget.commands)
			w.budget.commands--
			w.handle(n, Propose{id, []byte(id)})
		})
	}
	if w.budget.reads > 0 {
		all = append(all, func(w *cluster) {
			id := "q" + strconv.Itoa(w.budget.reads)
			w.budget.reads--
			w.acknowledgedBefore[id] = len(w.acknowledged)
			w.handle(n, Read{id})
		})
	}
	if w.budget.ticks > 0 && w.voters[n].HasPending() {
		all = append(all, func(w *cluster) { w.budget.ticks--; w.now += 100; w.handle(n, Tick{}) })
	}
	return all
}

// faultSteps returns the steps in which a voter crashes, crashes and loses its stored state, or is isolated.
func (w *cluster) faultSteps(n string) (all []func(*cluster)) {
	if w.budget.crashes > 0 {
		all = append(all, func(w *cluster) { w.budget.crashes--; w.voters[n], w.unwritten[n] = nil, nil })
	}
	if w.budget.stateLosses > 0 {
		all = append(all, func(w *cluster) {
			w.budget.stateLosses--
			w.lastIncarnation++
			w.voters[n], w.unwritten[n], w.durable[n] = nil, nil, AcceptorState{Incarnation: w.lastIncarnation}
		})
	}
	if w.budget.isolations > 0 && w.isolated == "" {
		all = append(all, func(w *cluster) { w.budget.isolations--; w.isolated = n })
	}
	return all
}

// key returns a hash of the state, without the time and the counters. States with equal keys are explored once.
func (w *cluster) key() uint64 {
	k := &fingerprint{}
	k.num(uint64(w.budget.commands), uint64(w.budget.reads), uint64(w.acknowledgedBefore["q1"]), uint64(w.acknowledgedBefore["q2"]), uint64(w.budget.ticks), uint64(w.budget.losses), uint64(w.budget.crashes), uint64(w.budget.stateLosses), uint64(w.budget.isolations),
		uint64(w.budget.duplicates), uint64(len(w.acknowledged)))
	k.text(w.isolated)
	k.text(w.chosen...)
	for _, n := range voterNames {
		k.acceptor(w.durable[n])
		for _, p := range w.unwritten[n] {
			k.acceptor(p.State)
		}
		v := w.voters[n]
		if v == nil {
			k.num(99)
			continue
		}
		k.acceptor(v.acceptor)
		k.state(v.chosen)
		k.state(v.proposed)
		k.ballot(v.chosenBallot, v.ballot, v.nextBallot)
		k.incarnations(v.eligible)
		k.incarnations(v.unadmitted)
		flags := uint64(0)
		if v.nextPromised {
			flags = 1
		}
		if v.bootstrapping {
			flags += 2
		}
		k.num(v.maxBallotNumber, uint64(v.phase), flags, v.lastWrite-v.durableWrite, uint64(len(v.reads)), uint64(len(v.queuedReads)))
		for _, q := range [][]Propose{v.proposals, v.queuedProposals} {
			for _, x := range q {
				k.text(x.ID)
			}
			k.num(77)
		}
		for _, from := range voterNames {
			if m, ok := v.replies[from]; ok {
				k.message(m)
			}
			k.num(78)
		}
		for _, h := range v.pendingReplies {
			k.num(v.lastWrite - h.afterWrite)
			k.text(h.message.To)
			k.message(h.message.Message)
		}
	}
	var sum uint64
	for _, f := range w.inFlight { // summed, since the order of messages in flight does not matter
		m := &fingerprint{}
		m.text(f.from, f.to)
		m.message(f.message)
		sum += xxhash.Sum64(m.b)
	}
	k.num(sum)
	return xxhash.Sum64(k.b)
}

// fingerprint collects the bytes that identify a state or a message.
type fingerprint struct{ b []byte }

func (k *fingerprint) num(all ...uint64) {
	for _, n := range all {
		k.b = binary.LittleEndian.AppendUint64(k.b, n)
	}
}

func (k *fingerprint) text(all ...string) {
	for _, s := range all {
		k.num(uint64(len(s)))
		k.b = append(k.b, s...)
	}
}

func (k *fingerprint) ballot(all ...Ballot) {
	for _, b := range all {
		k.num(b.Number)
		k.text(b.Voter)
	}
}

func (k *fingerprint) incarnations(m map[string]uint64) {
	for _, n := range voterNames {
		k.num(m[n])
	}
}

func (k *fingerprint) state(s State) {
	k.num(s.Revision)
	k.incarnations(s.Incarnations)
	k.text(string(s.Value))
}

func (k *fingerprint) acceptor(v AcceptorState) {
	k.num(v.Incarnation)
	k.ballot(v.Promised, v.Accepted)
	k.state(v.State)
}

func (k *fingerprint) message(m Message) {
	k.num(uint64(m.Kind), m.Incarnation)
	k.ballot(m.Ballot, m.NextBallot, m.AcceptedBallot)
	k.state(m.State)
}

// explore visits all states that can be reached from initial, at most limit. It returns the number of states visited,
// whether these were all, and the first violation, if any, with the number of steps that led to it.
func explore(initial *cluster, limit int) (states int, complete bool, violation string, depth int) {
	seen := map[uint64]bool{initial.key(): true}
	type node struct {
		w     *cluster
		depth int
	}
	stack := []node{{initial, 0}}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, step := range n.w.steps() {
			next := n.w.clone()
			step(next)
			if next.violation != "" {
				return len(seen), false, next.violation, n.depth
			}
			k := next.key()
			if seen[k] {
				continue
			}
			if len(seen) >= limit {
				return len(seen), false, "", 0
			}
			seen[k] = true
			stack = append(stack, node{next, n.depth + 1})
		}
	}
	return len(seen), true, "", 0
}

// settle restarts all voters, ends all faults, and runs until no message, write or round is outstanding.
func (w *cluster) settle() {
	w.isolated, w.budget.losses, w.budget.crashes, w.budget.stateLosses, w.budget.duplicates = "", 0, 0, 0, 0
	for range 4000 {
		for _, n := range voterNames {
			if w.voters[n] == nil {
				w.start(n)
			}
		}
		if len(w.inFlight) > 0 {
			f := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.handle(f.to, MessageReceived{f.from, f.message})
			continue
		}
		progressed := false
		for _, n := range voterNames {
			for len(w.unwritten[n]) > 0 {
				p := w.unwritten[n][0]
				w.unwritten[n] = w.unwritten[n][1:]
				w.durable[n] = p.State
				w.handle(n, StateStored{p.Number})
				progressed = true
			}
		}
		if progressed || len(w.inFlight) > 0 {
			continue
		}
		w.now += 100
		for _, n := range voterNames { // only one voter at a time, so that its round can complete without a conflict
			if w.voters[n].HasPending() {
				w.handle(n, Tick{})
				progressed = true
				break
			}
		}
		if !progressed {
			return
		}
	}
	w.violation = "messages, writes or rounds are still outstanding after 4000 steps"
}

// bootstrapped returns a cluster in which the first value, x0, has been chosen.
func bootstrapped(events budget, delayedWrites bool) *cluster {
	w := newCluster(budget{}, delayedWrites)
	w.handle("a", Propose{"x0", []byte("x0")})
	w.settle()
	w.budget = events
	return w
}

// exploreLimit returns the value of the environment variable EXPLORE, or a default if it is no number.
func exploreLimit(defaultLimit int) int {
	if n, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		return n
	}
	return defaultLimit
}

// Explores all interleavings within the budgets: after the bootstrap with two commands and with each kind of failure,
// and during the bootstrap itself. The environment variable EXPLORE sets the maximum number of states per case.
func TestExplore(t *testing.T) {
	for _, c := range []struct {
		name string
		w    *cluster
	}{
		{"two commands, one timeout", bootstrapped(budget{commands: 2, ticks: 1}, false)},
		{"one command, one lost message, one timeout", bootstrapped(budget{commands: 1, ticks: 1, losses: 1}, false)},
		{"one command, one read, one timeout", bootstrapped(budget{commands: 1, reads: 1, ticks: 1}, false)},
		{"one command, one crash, one timeout", bootstrapped(budget{commands: 1, ticks: 1, crashes: 1}, false)},
		{"one command, one lost state, one timeout", bootstrapped(budget{commands: 1, ticks: 1, stateLosses: 1}, false)},
		{"one command, one isolated voter, one timeout", bootstrapped(budget{commands: 1, ticks: 1, isolations: 1}, false)},
		{"bootstrap, one command, one timeout", newCluster(budget{commands: 1, ticks: 1}, false)},
		{"bootstrap, one command, one lost state, one timeout", newCluster(budget{commands: 1, ticks: 1, stateLosses: 1}, false)},
	} {
		states, complete, violation, depth := explore(c.w, exploreLimit(3000))
		if violation != "" {
			t.Errorf("%s: after %d steps: %s", c.name, depth, violation)
		}
		t.Logf("%s: %d states visited; complete: %v", c.name, states, complete)
	}
}

// playRandom plays a long random run, given by its seed, and then lets the cluster settle. It returns the violation, if
// any, and the number of commands in the chosen value.
func playRandom(seed uint64, delayedWrites bool) (string, int) {
	rng := rand.New(rand.NewPCG(seed, 77))
	events := budget{commands: 3 + rng.IntN(5), reads: 3, ticks: 40, losses: rng.IntN(12), crashes: rng.IntN(4), stateLosses: rng.IntN(2), isolations: rng.IntN(3), duplicates: rng.IntN(6)}
	w := newCluster(events, delayedWrites)
	if rng.IntN(3) > 0 {
		w = bootstrapped(events, delayedWrites)
	}
	for range 60 + rng.IntN(200) {
		all := w.steps()
		if len(all) == 0 {
			break
		}
		all[rng.IntN(len(all))](w)
		if w.violation != "" {
			return w.violation, 0
		}
	}
	w.settle()
	return w.violation, len(w.chosen)
}

// Plays long random runs with all kinds of failure. After the last failure each run must settle. The environment
// variable EXPLORE sets the number of runs.
func TestRandomRuns(t *testing.T) {
	totalChosen := 0
	for seed := range uint64(exploreLimit(1000)) {
		violation, chosen := playRandom(seed, seed%2 == 1)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		totalChosen += chosen
	}
	if totalChosen == 0 {
		t.Error("no command was chosen in any run")
	}
}
