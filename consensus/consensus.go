// Package consensus keeps one value that gateways agree on while some of them fail. A few of them vote; any voter may change
// the value, and there is no leader whose death would have to be noticed.
//
// It is the register of CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): who wants to change
// the value first has a majority promise to heed no older ballot, takes the newest value that any of them has accepted, applies its
// commands to it, and has a majority accept the outcome under its ballot. With that they promise the next ballot of the one who made
// the change, which needs one round trip for a further one; that the promises still hold, which one round trip without a write
// tells, says that its value is the latest.
//
// A voter's memory is its vote. One that has lost it has another life, and a life counts only if the value says so: it is let
// in by a majority of the others. So a voter never votes twice as itself. The very first value is made when all voters are there and
// none has a vote.
//
// The package does no I/O and reads no clock; the same events give the same actions.
package consensus

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultRoundTimeout is how long a round may take before it is given up and begun anew.
	DefaultRoundTimeout = 400 * time.Millisecond
	// DefaultBackoffBase is the most that a proposer waits after another one's ballot crossed its own; it doubles up to eight times that.
	DefaultBackoffBase = 150 * time.Millisecond

	// Numbers that a start passes over. Guards against a ballot that was sent before the vote for it lasted, by the life that was
	// killed then: one ballot would stand for two values. No disk lags by so many rounds.
	startSkip = 1 << 20

	mostCommands = 256 // that wait at one voter; further ones are refused
)

// Ballot orders attempts to change the value.
type Ballot struct {
	Number uint64
	Voter  string
}

// Less says whether b is older.
func (b Ballot) Less(o Ballot) bool {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Voter, o.Voter)) < 0
}

// State is the value with what belongs to it.
type State struct {
	Revision     uint64            // counts its changes
	Incarnations map[string]uint64 // by voter: the life whose vote counts; 0: none does
	Value        []byte
}

func (s State) clone() State { s.Incarnations = maps.Clone(s.Incarnations); return s }

// AcceptorState is what a voter must not forget: it is written before what follows from it is sent.
type AcceptorState struct {
	Incarnation uint64
	Promised    Ballot // no older one is heeded
	Accepted    Ballot // under which State was accepted; zero: never
	State       State
	Initialized bool // false: a blank one, which counts for nothing
}

// MessageKind is what a message says.
type MessageKind int

// The kinds of message.
const (
	Prepare       MessageKind = iota + 1 // promise to heed no older ballot
	Promise                              // done; State was accepted under Accepted
	Uninitialized                        // there is no vote to promise with
	Conflict                             // Ballot is the newer one that was promised
	Accept                               // accept State
	Accepted                             // done
	Confirm                              // does your promise still hold?
	Confirmed                            // it does
	Learn                                // State was agreed on under Ballot
)

// String names a kind, as counters do.
func (k MessageKind) String() string {
	names := [...]string{"", "prepare", "promise", "blank", "reject", "accept", "accepted", "confirm", "confirmed", "learn"}
	if k < 0 || int(k) >= len(names) {
		return fmt.Sprint("kind ", int(k))
	}
	return names[k]
}

// Message goes between voters.
type Message struct {
	Kind           MessageKind
	Incarnation    uint64 // the sender's
	Ballot         Ballot
	NextBallot     Ballot // of an Accept: promise this one, too, by which a further value may follow without a Prepare; of its Accepted: done
	AcceptedBallot Ballot // of a Promise
	State          State  // of a Promise, an Accept and a Learn; of a Prepare the lives that would begin it all, if any
}

// Event is anything that reaches a voter.
type Event interface{ event() }

// MessageReceived is a message from another voter.
type MessageReceived struct {
	From    string
	Message Message
}

// StateStored says that the vote of that number, and all before it, can't be lost any more.
type StateStored struct{ Number uint64 }

// Propose asks for a command to be applied to the value, as soon as may be.
type Propose struct {
	ID      string // in the Done that follows
	Command []byte
}

// Read asks for the value as it is now, or later.
type Read struct{ ID string }

// Tick says that time has passed.
type Tick struct{}

func (MessageReceived) event() {}
func (StateStored) event()     {}
func (Propose) event()         {}
func (Read) event()            {}
func (Tick) event()            {}

// Action is anything that a voter wants done.
type Action interface{ action() }

// Send sends a message to another voter. It may get lost.
type Send struct {
	To      string
	Message Message
}

// StoreState writes a vote where it lasts, and reports Stored. Later votes may go in the place of one that is not written yet.
type StoreState struct {
	Number uint64
	State  AcceptorState
}

// Completed says that a Wanted or Asked is answered: with the value after it. Reply is what the command gave. Refused: it was
// not taken in, or is not known to have been.
type Completed struct {
	ID       string
	State    State
	Reply    []byte
	Rejected bool
}

// Learned says that there is a newer value.
type Learned struct{ State State }

func (Send) action()       {}
func (StoreState) action() {}
func (Completed) action()  {}
func (Learned) action()    {}

// Config is what a voter is made of.
type Config struct {
	Self     string
	Voters   []string      // all of them, in an order that all share
	Acceptor AcceptorState // as it was stored; where it has none, its Life is a new one, which none before had
	// Apply applies a command to a value. It must give the same for the same. A command may come twice.
	Apply        func(value, command []byte) (next, reply []byte)
	RoundTimeout time.Duration // 0: DefaultRound
	ReadInterval time.Duration // questions are gathered for so long after one was answered
	BackoffBase  time.Duration // 0: DefaultSpread
	Seed         uint64
}

func (c *Config) check() error {
	seen := map[string]bool{}
	for i, v := range c.Voters {
		if v == "" || seen[v] {
			return fmt.Errorf("agreement: Voters[%d]: %q is empty or stands twice", i, v)
		}
		seen[v] = true
	}
	switch {
	case !seen[c.Self]:
		return fmt.Errorf("agreement: Self: %q is none of the voters", c.Self)
	case c.Acceptor.Incarnation == 0:
		return fmt.Errorf("agreement: Vote.Life: 0")
	case c.Apply == nil:
		return fmt.Errorf("agreement: Apply: nil")
	case c.RoundTimeout < 0 || c.BackoffBase < 0:
		return fmt.Errorf("agreement: Round or Spread: negative")
	}
	c.RoundTimeout, c.BackoffBase = cmp.Or(c.RoundTimeout, DefaultRoundTimeout), cmp.Or(c.BackoffBase, DefaultBackoffBase)
	return nil
}

// phase is what a proposer is at.
type phase int

const (
	idle phase = iota
	preparing
	accepting
	confirming
)

// Counters count what befell a voter.
type Counters struct {
	Rounds, Confirms, Conflicts, Timeouts uint64 // begun; begun without a write; ended by another's ballot; by time
	Chosen, Admitted, Bootstraps          uint64 // changes made here; lives let in; beginnings
}

// Voter is one. Use New.
type Voter struct {
	Counters Counters

	cfg  Config
	pcg  *rand.PCG
	rng  *rand.Rand
	now  time.Duration
	out  []Action
	vote AcceptorState

	number  uint64 // of the latest vote to be stored,
	stored  uint64 // and of the latest that is
	held    []heldReply
	known   State  // the newest that is known to be agreed on
	knownAt Ballot // under which
	top     uint64 // number of the newest ballot seen

	phase   phase
	ballot  Ballot
	forming bool   // this round begins it all
	holds   bool   // a majority's promises to ahead may still hold, and known is what they had accepted then
	ahead   Ballot // for the next value, without a Prepare
	until   time.Duration
	read    time.Duration // the latest round for questions alone began
	wait    time.Duration // nothing is begun before
	crossed int           // in a row
	got     map[string]Message
	counted map[string]uint64 // lives whose answers count in this round
	next    State
	blanks  map[string]uint64 // lives that wait to be let in
	replies map[string][]byte
	work    []Propose // of the round under way
	reads   []Read
	queue   []Propose
	asks    []Read
}

type heldReply struct {
	number uint64
	send   Send
}

// New returns a voter.
func New(c Config) (*Voter, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	v := &Voter{cfg: c, pcg: rand.NewPCG(c.Seed, 0x5bd1e995), vote: c.Acceptor, blanks: map[string]uint64{}}
	v.rng = rand.New(v.pcg)
	v.vote.State = v.vote.State.clone()
	if v.top = v.vote.Promised.Number; c.Acceptor.Initialized {
		v.top += startSkip
	}
	return v, nil
}

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
func (v *Voter) Handle(now time.Duration, e Event, out []Action) []Action {
	v.now, v.out = now, out
	switch e := e.(type) {
	case MessageReceived:
		if slices.Contains(v.cfg.Voters, e.From) && e.From != v.cfg.Self {
			v.heard(e.From, e.Message)
		}
	case StateStored:
		v.stored = max(v.stored, e.Number)
		v.release()
	case Propose:
		if len(v.queue) >= mostCommands {
			v.do(Completed{ID: e.ID, Rejected: true})
		} else {
			v.queue = append(v.queue, e)
		}
	case Read:
		if len(v.asks) >= mostCommands {
			v.do(Completed{ID: e.ID, Rejected: true})
		} else {
			v.asks = append(v.asks, e)
		}
	case Tick:
		if v.phase != idle && now >= v.until {
			v.Counters.Timeouts++
			v.giveUp()
		}
	}
	v.begin()
	out, v.out = v.out, nil
	return out
}

func (v *Voter) do(a Action) { v.out = append(v.out, a) }

// Chosen is the newest value that is known to be agreed on. It may be old; false: none is known.
func (v *Voter) Chosen() (State, bool) { return v.known, v.known.Revision > 0 }

// CanVote says whether this voter's vote counts, as far as is known.
func (v *Voter) CanVote() bool {
	return v.has() && (v.known.Revision == 0 || v.known.Incarnations[v.cfg.Self] == v.vote.Incarnation)
}

// has says that there is a vote, and that it is this life's.
func (v *Voter) has() bool {
	return v.vote.Initialized && v.vote.State.Incarnations[v.cfg.Self] == v.vote.Incarnation
}

// HasPending says whether anything is under way or waits.
func (v *Voter) HasPending() bool { return v.phase != idle || len(v.queue)+len(v.asks) > 0 }

// others sends to all other voters.
func (v *Voter) others(m Message) {
	m.Incarnation = v.vote.Incarnation
	for _, to := range v.cfg.Voters {
		if to != v.cfg.Self {
			v.do(Send{To: to, Message: m})
		}
	}
}

// reply answers once the vote that it follows from is stored.
func (v *Voter) reply(to string, m Message) {
	m.Incarnation = v.vote.Incarnation
	switch {
	case v.number > v.stored:
		v.held = append(v.held, heldReply{v.number, Send{To: to, Message: m}})
	case to == v.cfg.Self:
		v.heard(to, m)
	default:
		v.do(Send{To: to, Message: m})
	}
}

func (v *Voter) release() {
	all := v.held
	v.held = nil
	for _, h := range all {
		switch {
		case h.number > v.stored:
			v.held = append(v.held, h)
		case h.send.To == v.cfg.Self:
			v.heard(v.cfg.Self, h.send.Message)
		default:
			v.do(h.send)
		}
	}
}

// keep has the vote stored.
func (v *Voter) keep() {
	v.number++
	vote := v.vote
	vote.State = vote.State.clone()
	v.do(StoreState{Number: v.number, State: vote})
}

// ---- as one who votes ----

func (v *Voter) heard(from string, m Message) {
	v.top = max(v.top, m.Ballot.Number, m.NextBallot.Number)
	switch m.Kind {
	case Prepare:
		if life, would := m.State.Incarnations[v.cfg.Self]; !v.has() && would && life == v.vote.Incarnation && v.known.Revision == 0 {
			v.vote.Initialized, v.vote.State = true, State{Incarnations: maps.Clone(m.State.Incarnations)} // it begins
		}
		switch {
		case !v.has():
			v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
		case m.Ballot.Less(v.vote.Promised):
			v.reply(from, Message{Kind: Conflict, Ballot: v.vote.Promised})
		default:
			v.vote.Promised = m.Ballot
			v.keep()
			v.reply(from, Message{Kind: Promise, Ballot: m.Ballot, AcceptedBallot: v.vote.Accepted, State: v.vote.State.clone()})
		}
	case Accept:
		switch {
		case !v.has():
			v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
		case m.Ballot.Less(v.vote.Promised):
			v.reply(from, Message{Kind: Conflict, Ballot: v.vote.Promised})
		default:
			v.vote.Promised, v.vote.Accepted, v.vote.State = m.Ballot, m.Ballot, m.State.clone()
			if m.Ballot.Less(m.NextBallot) { // what is proposed without a Prepare must have a majority's promise before it is accepted anywhere
				v.vote.Promised = m.NextBallot
			}
			v.keep()
			v.reply(from, Message{Kind: Accepted, Ballot: m.Ballot, NextBallot: m.NextBallot})
		}
	case Confirm:
		switch {
		case !v.has():
			v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
		case m.Ballot != v.vote.Promised:
			v.reply(from, Message{Kind: Conflict, Ballot: v.vote.Promised})
		default:
			v.reply(from, Message{Kind: Confirmed, Ballot: m.Ballot})
		}
	case Learn:
		v.learn(m.State, m.Ballot)
	case Promise, Uninitialized, Accepted, Confirmed, Conflict:
		v.answered(from, m)
	}
}

// learn takes in a value that was agreed on. A voter that it names, and that has none, has its vote by it.
func (v *Voter) learn(s State, at Ballot) {
	v.top = max(v.top, at.Number)
	if s.Revision == 0 || s.Revision < v.known.Revision || at.Less(v.knownAt) {
		return
	}
	if v.holds && v.ahead.Less(at) {
		v.holds = false
	}
	changed := s.Revision > v.known.Revision
	v.known, v.knownAt = s.clone(), at
	// Guards against one that lost its vote and speaks as it did before: its new life is named by a value that a majority
	// of the others has accepted, and it begins with that value.
	if (!v.has() || v.vote.Accepted == Ballot{}) && s.Incarnations[v.cfg.Self] == v.vote.Incarnation {
		v.vote.Initialized, v.vote.State, v.vote.Accepted = true, s.clone(), at
		if v.vote.Promised.Less(at) {
			v.vote.Promised = at
		}
		v.keep()
	}
	if changed {
		v.do(Learned{State: v.known.clone()})
	}
}

// ---- as one who proposes ----

// begin begins a round, if there is something to do and nothing under way.
func (v *Voter) begin() {
	if v.phase != idle || len(v.queue)+len(v.asks)+len(v.blanks) == 0 || v.now < v.wait {
		return
	}
	if len(v.queue)+len(v.blanks) == 0 {
		if v.read > 0 && v.now < v.read+v.cfg.ReadInterval {
			return
		}
		v.read = v.now
	}
	v.until = v.now + v.cfg.RoundTimeout
	v.got = map[string]Message{}
	v.work, v.queue = v.queue, nil
	v.reads, v.asks = v.asks, nil
	if v.holds && len(v.work)+len(v.blanks) == 0 {
		v.Counters.Confirms++
		v.phase, v.counted, v.ballot = confirming, v.known.Incarnations, v.ahead
		v.others(Message{Kind: Confirm, Ballot: v.ballot})
		v.heard(v.cfg.Self, Message{Kind: Confirm, Ballot: v.ballot})
		return
	}
	v.Counters.Rounds++
	if v.holds {
		v.accept(v.known)
		return
	}
	v.top++
	v.ballot = Ballot{v.top, v.cfg.Self}
	v.phase, v.forming = preparing, false
	v.prepare(nil)
}

func (v *Voter) prepare(begin map[string]uint64) {
	m := Message{Kind: Prepare, Ballot: v.ballot, State: State{Incarnations: begin}}
	v.others(m)
	v.heard(v.cfg.Self, m)
}

// answered takes in an answer to what is under way.
func (v *Voter) answered(from string, m Message) {
	if m.Kind == Conflict {
		if v.phase != idle && v.ballot.Less(m.Ballot) {
			v.Counters.Conflicts++
			v.giveUp()
		}
		return
	}
	if v.phase == idle || m.Ballot != v.ballot {
		return
	}
	want := map[phase]MessageKind{preparing: Promise, accepting: Accepted, confirming: Confirmed}[v.phase]
	if m.Kind != want && m.Kind != Uninitialized {
		return
	}
	v.got[from] = m
	if m.Kind == Uninitialized && v.known.Revision > 0 {
		if v.known.Incarnations[from] != m.Incarnation {
			v.blanks[from] = m.Incarnation
		} else if from != v.cfg.Self { // it is let in, and hasn't heard of it
			v.do(Send{To: from, Message: Message{Kind: Learn, Incarnation: v.vote.Incarnation, Ballot: v.knownAt, State: v.known.clone()}})
		}
	}
	switch {
	case v.phase == preparing:
		v.promised()
	case v.majority(want) && v.phase == accepting:
		v.agreed()
	case v.majority(want):
		v.finish(v.known)
	}
}

// majority says whether so many of those whose answers count have given one.
func (v *Voter) majority(kind MessageKind) bool {
	n := 0
	for from, m := range v.got {
		if m.Kind == kind && m.Incarnation != 0 && v.counted[from] == m.Incarnation {
			n++
		}
	}
	return n > len(v.cfg.Voters)/2
}

// promised goes on once a majority has promised, or begins it all where nobody has a vote.
func (v *Voter) promised() {
	newest, some, blank := Message{}, false, map[string]uint64{}
	for _, from := range slices.Sorted(maps.Keys(v.got)) {
		m := v.got[from]
		if m.Kind == Uninitialized {
			blank[from] = m.Incarnation
			continue
		}
		if !some || newest.AcceptedBallot.Less(m.AcceptedBallot) {
			newest, some = m, true
		}
	}
	if newest.AcceptedBallot == (Ballot{}) && v.known.Revision == 0 && len(v.got) == len(v.cfg.Voters) && len(blank) > 0 && !v.forming {
		lives := newest.State.Incarnations // some have begun already: by those lives, and no others
		if !some {
			lives = blank
		}
		v.Counters.Bootstraps++
		v.forming = true
		v.got = map[string]Message{}
		v.top++
		v.ballot = Ballot{v.top, v.cfg.Self}
		v.prepare(lives)
		return
	}
	if !some {
		return
	}
	// The lives that count are those of the newest value: no majority of older ones can miss it. What nobody has
	// accepted a value of begins with all voters there. Guards against one that was lost and returns while it begins: a
	// majority could do without those that remember.
	v.counted = newest.State.Incarnations
	if !v.majority(Promise) || newest.AcceptedBallot == (Ballot{}) && len(v.got) < len(v.cfg.Voters) {
		return
	}
	for from, m := range v.got {
		if newest.State.Revision > 0 && v.counted[from] != m.Incarnation {
			v.blanks[from] = m.Incarnation
		}
	}
	v.accept(newest.State)
}

// accept applies what is wanted to a value and proposes the outcome.
func (v *Voter) accept(base State) {
	next := base.clone()
	v.replies = map[string][]byte{}
	for _, w := range v.work {
		value, reply := v.cfg.Apply(next.Value, w.Command)
		next.Value, v.replies[w.ID] = value, reply
	}
	admitted := false
	for _, name := range slices.Sorted(maps.Keys(v.blanks)) { // one at a time: a majority of the rest vouches for each
		if life := v.blanks[name]; next.Incarnations[name] == life {
			delete(v.blanks, name)
		} else if !admitted && next.Revision > 0 {
			next.Incarnations[name], admitted = life, true
			v.Counters.Admitted++
		}
	}
	if admitted || next.Revision == 0 || !bytes.Equal(next.Value, base.Value) {
		next.Revision++
	}
	v.next, v.counted = next, base.Incarnations // what this lets in doesn't count for it
	if v.holds {                                // under the promises that are kept
		v.ballot = v.ahead
	}
	v.top = max(v.top, v.ballot.Number) + 1
	v.ahead = Ballot{v.top, v.cfg.Self}
	v.phase, v.holds, v.got = accepting, false, map[string]Message{}
	m := Message{Kind: Accept, Ballot: v.ballot, NextBallot: v.ahead, State: next.clone()}
	v.others(m)
	v.heard(v.cfg.Self, m)
}

// agreed has all know of a value that a majority has accepted.
func (v *Voter) agreed() {
	v.Counters.Chosen++
	s := v.next
	promised := 0
	for from, m := range v.got {
		if m.Kind == Accepted && m.NextBallot == v.ahead && v.counted[from] == m.Incarnation {
			promised++
		}
	}
	for name, life := range v.blanks {
		if s.Incarnations[name] == life {
			delete(v.blanks, name)
		}
	}
	v.learn(s, v.ballot)
	// Guards against a further value upon another one than that which the promises are about.
	v.holds = promised > len(v.cfg.Voters)/2 && v.knownAt == v.ballot
	v.others(Message{Kind: Learn, Ballot: v.ballot, State: s.clone()})
	v.finish(s)
}

// finish answers what the round was for.
func (v *Voter) finish(s State) {
	for _, w := range v.work {
		v.do(Completed{ID: w.ID, State: s.clone(), Reply: v.replies[w.ID]})
	}
	for _, a := range v.reads {
		v.do(Completed{ID: a.ID, State: s.clone()})
	}
	v.work, v.reads, v.phase, v.crossed = nil, nil, idle, 0
}

// giveUp ends a round that failed. What it was for is tried again: commands may come twice.
func (v *Voter) giveUp() {
	v.phase, v.holds = idle, false
	v.queue = append(v.work, v.queue...)
	v.asks = append(v.reads, v.asks...)
	v.work, v.reads = nil, nil
	v.crossed = min(3, v.crossed+1)
	v.wait = v.now + time.Duration(v.rng.Int64N(int64(v.cfg.BackoffBase)<<v.crossed))
}

// RejectPending answers all that waits as refused, for one who asked and waits no longer.
func (v *Voter) RejectPending(out []Action) []Action {
	for _, w := range append(v.work, v.queue...) {
		out = append(out, Completed{ID: w.ID, Rejected: true})
	}
	for _, a := range append(v.reads, v.asks...) {
		out = append(out, Completed{ID: a.ID, Rejected: true})
	}
	v.work, v.queue, v.reads, v.asks = nil, nil, nil, nil
	return out
}
