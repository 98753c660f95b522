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

// The explorer goes through all that can happen to three voters, up to stated numbers of commands, timeouts, losses, crashes
// and cuts, and the random runs through longer stretches of the same. Values are lists of the commands applied, so that
// two values that were both chosen must be one the beginning of the other.

var voterNames = []string{"a", "b", "c"}

// appendOnce applies a command to a list, once.
func appendOnce(value, command []byte) (next, reply []byte) {
	all := strings.Fields(string(value))
	if !slices.Contains(all, string(command)) {
		all = append(all, string(command))
	}
	return []byte(strings.Join(all, " ")), []byte(strconv.Itoa(len(all)))
}

type inFlight struct {
	from, to string
	message  Message
}

// budget are what may still happen.
type budget struct{ commands, reads, ticks, losses, crashes, stateLosses, cuts, duplicates int }

type cluster struct {
	voters             map[string]*Voter        // nil: down
	durable            map[string]AcceptorState // as stored
	unwritten          map[string][]StoreState
	delayedWrites      bool // writes take time
	inFlight           []inFlight
	isolated           string // no message reaches or leaves this voter; empty: none
	budget             budget
	now                time.Duration
	lastIncarnation    uint64
	chosen             []string // the longest list that is known to be chosen
	acknowledged       map[string]bool
	acknowledgedBefore map[string]int // by question: commands acknowledged before it
	violation          string
}

func newCluster(left budget, late bool) *cluster {
	w := &cluster{voters: map[string]*Voter{}, durable: map[string]AcceptorState{}, unwritten: map[string][]StoreState{}, delayedWrites: late, budget: left, acknowledged: map[string]bool{}, acknowledgedBefore: map[string]int{}}
	for _, n := range voterNames {
		w.lastIncarnation++
		w.durable[n] = AcceptorState{Incarnation: w.lastIncarnation}
		w.start(n)
	}
	return w
}

func (w *cluster) start(name string) {
	v, err := New(Config{Self: name, Voters: voterNames, Acceptor: w.durable[name], Apply: appendOnce, RoundTimeout: 1, BackoffBase: 1, Seed: 1})
	if err != nil {
		panic(err)
	}
	w.voters[name] = v
}

func (w *cluster) clone() *cluster {
	c := *w
	c.voters, c.durable, c.unwritten, c.acknowledged, c.acknowledgedBefore = map[string]*Voter{}, maps.Clone(w.durable), map[string][]StoreState{}, maps.Clone(w.acknowledged), maps.Clone(w.acknowledgedBefore)
	for n, v := range w.voters {
		if v != nil {
			k := *v
			pcg := *v.pcg
			k.pcg, k.rng = &pcg, rand.New(&pcg)
			k.replies, k.unadmitted, k.commandReplies, k.eligible = maps.Clone(v.replies), maps.Clone(v.unadmitted), maps.Clone(v.commandReplies), maps.Clone(v.eligible)
			k.heldReplies, k.proposals, k.reads, k.queuedProposals, k.queuedReads = slices.Clone(v.heldReplies), slices.Clone(v.proposals), slices.Clone(v.reads), slices.Clone(v.queuedProposals), slices.Clone(v.queuedReads)
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
				w.inFlight = append(w.inFlight, inFlight{name, a.To, a.Message})
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
						w.violation = fmt.Sprintf("%s answers %q with %q, and %d were acknowledged before", name, a.ID, a.State.Value, n)
					}
				}
			case Learned:
				w.checkChosen(name, a.State)
			}
		}
	}
}

// checkChosen checks a value that a voter takes for chosen against all before.
func (w *cluster) checkChosen(name string, s State) {
	got := strings.Fields(string(s.Value))
	n := min(len(got), len(w.chosen))
	if !slices.Equal(got[:n], w.chosen[:n]) {
		w.violation = fmt.Sprintf("%s says that %v was agreed on, and %v was", name, got, w.chosen)
	}
	if len(got) > len(w.chosen) {
		w.chosen = got
	}
	for id := range w.acknowledged {
		if !slices.Contains(w.chosen, id) {
			w.violation = fmt.Sprintf("%s was acknowledged, and the value is %v", id, w.chosen)
		}
	}
}

// steps are all that can happen next.
func (w *cluster) steps() (all []func(*cluster)) {
	all = w.networkSteps()
	for _, n := range voterNames {
		if w.voters[n] == nil {
			all = append(all, func(w *cluster) { w.start(n) })
			continue
		}
		all = append(all, w.workSteps(n)...)
		all = append(all, w.faultSteps(n)...)
	}
	if w.isolated != "" {
		all = append(all, func(w *cluster) { w.isolated = "" })
	}
	return all
}

// networkSteps deliver, lose or duplicate a message.
func (w *cluster) networkSteps() (all []func(*cluster)) {
	seen := map[string]bool{}
	for i, f := range w.inFlight {
		k := &fingerprint{}
		k.text(f.from, f.to)
		k.message(f.message)
		key := string(k.b)
		if seen[key] { // the same message twice is one case
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

// workSteps are a write that becomes durable, a command, a read, and time that passes.
func (w *cluster) workSteps(n string) (all []func(*cluster)) {
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

// faultSteps are a crash, one that loses the stored state as well, and an isolated voter.
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
	if w.budget.cuts > 0 && w.isolated == "" {
		all = append(all, func(w *cluster) { w.budget.cuts--; w.isolated = n })
	}
	return all
}

// key tells states apart: all but the time and what only counts.
func (w *cluster) key() uint64 {
	k := &fingerprint{}
	k.num(uint64(w.budget.commands), uint64(w.budget.reads), uint64(w.acknowledgedBefore["q1"]), uint64(w.acknowledgedBefore["q2"]), uint64(w.budget.ticks), uint64(w.budget.losses), uint64(w.budget.crashes), uint64(w.budget.stateLosses), uint64(w.budget.cuts),
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
		k.ballot(v.chosenAt, v.ballot, v.nextBallot)
		k.incarnations(v.eligible)
		k.incarnations(v.unadmitted)
		holds := uint64(0)
		if v.nextPromised {
			holds = 1
		}
		if v.bootstrapping {
			holds += 2
		}
		k.num(v.maxBallotNumber, uint64(v.phase), holds, v.lastWrite-v.durableWrite, uint64(len(v.reads)), uint64(len(v.queuedReads)))
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
		for _, h := range v.heldReplies {
			k.num(v.lastWrite - h.afterWrite)
			k.text(h.message.To)
			k.message(h.message.Message)
		}
	}
	var sum uint64
	for _, f := range w.inFlight { // in any order
		m := &fingerprint{}
		m.text(f.from, f.to)
		m.message(f.message)
		sum += xxhash.Sum64(m.b)
	}
	k.num(sum)
	return xxhash.Sum64(k.b)
}

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

// explore goes through all states, at most so many, and says how many there were and whether that was all.
func explore(first *cluster, most int) (states int, all bool, bad string, path int) {
	seen := map[uint64]bool{first.key(): true}
	type node struct {
		w     *cluster
		depth int
	}
	stack := []node{{first, 0}}
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
			if len(seen) >= most {
				return len(seen), false, "", 0
			}
			seen[k] = true
			stack = append(stack, node{next, n.depth + 1})
		}
	}
	return len(seen), true, "", 0
}

// settle lets all that is under way end, with time passing, nothing lost and nobody down.
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
		moved := false
		for _, n := range voterNames {
			for len(w.unwritten[n]) > 0 {
				p := w.unwritten[n][0]
				w.unwritten[n] = w.unwritten[n][1:]
				w.durable[n] = p.State
				w.handle(n, StateStored{p.Number})
				moved = true
			}
		}
		if moved || len(w.inFlight) > 0 {
			continue
		}
		w.now += 100
		for _, n := range voterNames { // one after the other: who is first has time
			if w.voters[n].HasPending() {
				w.handle(n, Tick{})
				moved = true
				break
			}
		}
		if !moved {
			return
		}
	}
	w.violation = "it does not come to rest"
}

// bootstrapped is a world in which a first value stands.
func bootstrapped(left budget, late bool) *cluster {
	w := newCluster(budget{}, late)
	w.handle("a", Propose{"x0", []byte("x0")})
	w.settle()
	w.budget = left
	return w
}

func maxStates(def int) int {
	if n, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		return n
	}
	return def
}

// All interleavings, as far as the stated bounds go: from an agreed value on two proposers, and with each kind of failure; and at the
// very beginning. EXPLORE sets how many states are gone through at most in each.
func TestExplore(t *testing.T) {
	for _, c := range []struct {
		name string
		w    *cluster
	}{
		{"two commands, a time-out", bootstrapped(budget{commands: 2, ticks: 1}, false)},
		{"a command, a loss, a time-out", bootstrapped(budget{commands: 1, ticks: 1, losses: 1}, false)},
		{"a command, a question, a time-out", bootstrapped(budget{commands: 1, reads: 1, ticks: 1}, false)},
		{"a command, a crash", bootstrapped(budget{commands: 1, ticks: 1, crashes: 1}, false)},
		{"a command, a memory lost", bootstrapped(budget{commands: 1, ticks: 1, stateLosses: 1}, false)},
		{"a command, one cut off", bootstrapped(budget{commands: 1, ticks: 1, cuts: 1}, false)},
		{"the beginning", newCluster(budget{commands: 1, ticks: 1}, false)},
		{"the beginning, a memory lost", newCluster(budget{commands: 1, ticks: 1, stateLosses: 1}, false)},
	} {
		states, all, bad, depth := explore(c.w, maxStates(3000))
		if bad != "" {
			t.Errorf("%s: after %d steps: %s", c.name, depth, bad)
		}
		t.Logf("%s: %d states, all of them: %v", c.name, states, all)
	}
}

// random plays a long run.
func random(seed uint64, late bool) (string, int) {
	rng := rand.New(rand.NewPCG(seed, 77))
	left := budget{commands: 3 + rng.IntN(5), reads: 3, ticks: 40, losses: rng.IntN(12), crashes: rng.IntN(4), stateLosses: rng.IntN(2), cuts: rng.IntN(3), duplicates: rng.IntN(6)}
	w := newCluster(left, late)
	if rng.IntN(3) > 0 {
		w = bootstrapped(left, late)
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

// Long random runs with all kinds of failure. In the end, with nobody down, all comes to rest. EXPLORE sets how many.
func TestRandomRuns(t *testing.T) {
	agreed := 0
	for seed := range uint64(maxStates(1000)) {
		bad, n := random(seed, seed%2 == 1)
		if bad != "" {
			t.Fatalf("seed %d: %s", seed, bad)
		}
		agreed += n
	}
	if agreed == 0 {
		t.Error("nothing was ever agreed on")
	}
}
