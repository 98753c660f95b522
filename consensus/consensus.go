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
	ballotSkipOnStart = 1 << 20

	maxPending = 256 // that wait at one voter; further ones are refused
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

	cfg      Config
	pcg      *rand.PCG
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	acceptor AcceptorState

	lastWrite       uint64 // of the latest vote to be stored,
	durableWrite    uint64 // and of the latest that is
	heldReplies     []heldReply
	chosen          State  // the newest that is known to be agreed on
	chosenAt        Ballot // under which
	maxBallotNumber uint64 // number of the newest ballot seen

	phase           phase
	ballot          Ballot
	bootstrapping   bool   // this round begins it all
	nextPromised    bool   // a majority's promises to ahead may still hold, and known is what they had accepted then
	nextBallot      Ballot // for the next value, without a Prepare
	roundDeadline   time.Duration
	lastReadRound   time.Duration // the latest round for questions alone began
	backoffUntil    time.Duration // nothing is begun before
	conflictsInRow  int           // in a row
	replies         map[string]Message
	quorum          map[string]uint64 // lives whose answers count in this round
	proposed        State
	unadmitted      map[string]uint64 // lives that wait to be let in
	commandReplies  map[string][]byte
	proposals       []Propose // of the round under way
	reads           []Read
	queuedProposals []Propose
	queuedReads     []Read
}

type heldReply struct {
	afterWrite uint64
	message    Send
}

// New returns a voter.
func New(c Config) (*Voter, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	v := &Voter{cfg: c, pcg: rand.NewPCG(c.Seed, 0x5bd1e995), acceptor: c.Acceptor, unadmitted: map[string]uint64{}}
	v.rng = rand.New(v.pcg)
	v.acceptor.State = v.acceptor.State.clone()
	if v.maxBallotNumber = v.acceptor.Promised.Number; c.Acceptor.Initialized {
		v.maxBallotNumber += ballotSkipOnStart
	}
	return v, nil
}

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
func (v *Voter) Handle(now time.Duration, e Event, out []Action) []Action {
	v.now, v.actions = now, out
	switch e := e.(type) {
	case MessageReceived:
		if slices.Contains(v.cfg.Voters, e.From) && e.From != v.cfg.Self {
			v.receive(e.From, e.Message)
		}
	case StateStored:
		v.durableWrite = max(v.durableWrite, e.Number)
		v.releaseReplies()
	case Propose:
		if len(v.queuedProposals) >= maxPending {
			v.emit(Completed{ID: e.ID, Rejected: true})
		} else {
			v.queuedProposals = append(v.queuedProposals, e)
		}
	case Read:
		if len(v.queuedReads) >= maxPending {
			v.emit(Completed{ID: e.ID, Rejected: true})
		} else {
			v.queuedReads = append(v.queuedReads, e)
		}
	case Tick:
		if v.phase != idle && now >= v.roundDeadline {
			v.Counters.Timeouts++
			v.abandonRound()
		}
	}
	v.beginRound()
	out, v.actions = v.actions, nil
	return out
}

func (v *Voter) emit(a Action) { v.actions = append(v.actions, a) }

// Chosen is the newest value that is known to be agreed on. It may be old; false: none is known.
func (v *Voter) Chosen() (State, bool) { return v.chosen, v.chosen.Revision > 0 }

// CanVote says whether this voter's vote counts, as far as is known.
func (v *Voter) CanVote() bool {
	return v.initialized() && (v.chosen.Revision == 0 || v.chosen.Incarnations[v.cfg.Self] == v.acceptor.Incarnation)
}

// initialized says that there is a vote, and that it is this life's.
func (v *Voter) initialized() bool {
	return v.acceptor.Initialized && v.acceptor.State.Incarnations[v.cfg.Self] == v.acceptor.Incarnation
}

// HasPending says whether anything is under way or waits.
func (v *Voter) HasPending() bool {
	return v.phase != idle || len(v.queuedProposals)+len(v.queuedReads) > 0
}

// broadcast sends to all other voters.
func (v *Voter) broadcast(m Message) {
	m.Incarnation = v.acceptor.Incarnation
	for _, to := range v.cfg.Voters {
		if to != v.cfg.Self {
			v.emit(Send{To: to, Message: m})
		}
	}
}

// reply answers once the vote that it follows from is stored.
func (v *Voter) reply(to string, m Message) {
	m.Incarnation = v.acceptor.Incarnation
	switch {
	case v.lastWrite > v.durableWrite:
		v.heldReplies = append(v.heldReplies, heldReply{v.lastWrite, Send{To: to, Message: m}})
	case to == v.cfg.Self:
		v.receive(to, m)
	default:
		v.emit(Send{To: to, Message: m})
	}
}

func (v *Voter) releaseReplies() {
	all := v.heldReplies
	v.heldReplies = nil
	for _, h := range all {
		switch {
		case h.afterWrite > v.durableWrite:
			v.heldReplies = append(v.heldReplies, h)
		case h.message.To == v.cfg.Self:
			v.receive(v.cfg.Self, h.message.Message)
		default:
			v.emit(h.message)
		}
	}
}

// persist has the vote stored.
func (v *Voter) persist() {
	v.lastWrite++
	vote := v.acceptor
	vote.State = vote.State.clone()
	v.emit(StoreState{Number: v.lastWrite, State: vote})
}

// ---- as one who votes ----

func (v *Voter) receive(from string, m Message) {
	v.maxBallotNumber = max(v.maxBallotNumber, m.Ballot.Number, m.NextBallot.Number)
	switch m.Kind {
	case Prepare:
		if life, would := m.State.Incarnations[v.cfg.Self]; !v.initialized() && would && life == v.acceptor.Incarnation && v.chosen.Revision == 0 {
			v.acceptor.Initialized, v.acceptor.State = true, State{Incarnations: maps.Clone(m.State.Incarnations)} // it begins
		}
		switch {
		case !v.initialized():
			v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
		case m.Ballot.Less(v.acceptor.Promised):
			v.reply(from, Message{Kind: Conflict, Ballot: v.acceptor.Promised})
		default:
			v.acceptor.Promised = m.Ballot
			v.persist()
			v.reply(from, Message{Kind: Promise, Ballot: m.Ballot, AcceptedBallot: v.acceptor.Accepted, State: v.acceptor.State.clone()})
		}
	case Accept:
		switch {
		case !v.initialized():
			v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
		case m.Ballot.Less(v.acceptor.Promised):
			v.reply(from, Message{Kind: Conflict, Ballot: v.acceptor.Promised})
		default:
			v.acceptor.Promised, v.acceptor.Accepted, v.acceptor.State = m.Ballot, m.Ballot, m.State.clone()
			if m.Ballot.Less(m.NextBallot) { // what is proposed without a Prepare must have a majority's promise before it is accepted anywhere
				v.acceptor.Promised = m.NextBallot
			}
			v.persist()
			v.reply(from, Message{Kind: Accepted, Ballot: m.Ballot, NextBallot: m.NextBallot})
		}
	case Confirm:
		switch {
		case !v.initialized():
			v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
		case m.Ballot != v.acceptor.Promised:
			v.reply(from, Message{Kind: Conflict, Ballot: v.acceptor.Promised})
		default:
			v.reply(from, Message{Kind: Confirmed, Ballot: m.Ballot})
		}
	case Learn:
		v.learnChosen(m.State, m.Ballot)
	case Promise, Uninitialized, Accepted, Confirmed, Conflict:
		v.receiveReply(from, m)
	}
}

// learnChosen takes in a value that was agreed on. A voter that it names, and that has none, has its vote by it.
func (v *Voter) learnChosen(s State, at Ballot) {
	v.maxBallotNumber = max(v.maxBallotNumber, at.Number)
	if s.Revision == 0 || s.Revision < v.chosen.Revision || at.Less(v.chosenAt) {
		return
	}
	if v.nextPromised && v.nextBallot.Less(at) {
		v.nextPromised = false
	}
	changed := s.Revision > v.chosen.Revision
	v.chosen, v.chosenAt = s.clone(), at
	// Guards against one that lost its vote and speaks as it did before: its new life is named by a value that a majority
	// of the others has accepted, and it begins with that value.
	if (!v.initialized() || v.acceptor.Accepted == Ballot{}) && s.Incarnations[v.cfg.Self] == v.acceptor.Incarnation {
		v.acceptor.Initialized, v.acceptor.State, v.acceptor.Accepted = true, s.clone(), at
		if v.acceptor.Promised.Less(at) {
			v.acceptor.Promised = at
		}
		v.persist()
	}
	if changed {
		v.emit(Learned{State: v.chosen.clone()})
	}
}

// ---- as one who proposes ----

// beginRound begins a round, if there is something to do and nothing under way.
func (v *Voter) beginRound() {
	if v.phase != idle || len(v.queuedProposals)+len(v.queuedReads)+len(v.unadmitted) == 0 || v.now < v.backoffUntil {
		return
	}
	if len(v.queuedProposals)+len(v.unadmitted) == 0 {
		if v.lastReadRound > 0 && v.now < v.lastReadRound+v.cfg.ReadInterval {
			return
		}
		v.lastReadRound = v.now
	}
	v.roundDeadline = v.now + v.cfg.RoundTimeout
	v.replies = map[string]Message{}
	v.proposals, v.queuedProposals = v.queuedProposals, nil
	v.reads, v.queuedReads = v.queuedReads, nil
	if v.nextPromised && len(v.proposals)+len(v.unadmitted) == 0 {
		v.Counters.Confirms++
		v.phase, v.quorum, v.ballot = confirming, v.chosen.Incarnations, v.nextBallot
		v.broadcast(Message{Kind: Confirm, Ballot: v.ballot})
		v.receive(v.cfg.Self, Message{Kind: Confirm, Ballot: v.ballot})
		return
	}
	v.Counters.Rounds++
	if v.nextPromised {
		v.sendAccept(v.chosen)
		return
	}
	v.maxBallotNumber++
	v.ballot = Ballot{v.maxBallotNumber, v.cfg.Self}
	v.phase, v.bootstrapping = preparing, false
	v.sendPrepare(nil)
}

func (v *Voter) sendPrepare(begin map[string]uint64) {
	m := Message{Kind: Prepare, Ballot: v.ballot, State: State{Incarnations: begin}}
	v.broadcast(m)
	v.receive(v.cfg.Self, m)
}

// receiveReply takes in an answer to what is under way.
func (v *Voter) receiveReply(from string, m Message) {
	if m.Kind == Conflict {
		if v.phase != idle && v.ballot.Less(m.Ballot) {
			v.Counters.Conflicts++
			v.abandonRound()
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
	v.replies[from] = m
	if m.Kind == Uninitialized && v.chosen.Revision > 0 {
		if v.chosen.Incarnations[from] != m.Incarnation {
			v.unadmitted[from] = m.Incarnation
		} else if from != v.cfg.Self { // it is let in, and hasn't heard of it
			v.emit(Send{To: from, Message: Message{Kind: Learn, Incarnation: v.acceptor.Incarnation, Ballot: v.chosenAt, State: v.chosen.clone()}})
		}
	}
	switch {
	case v.phase == preparing:
		v.receivePromises()
	case v.hasMajority(want) && v.phase == accepting:
		v.commit()
	case v.hasMajority(want):
		v.completeRound(v.chosen)
	}
}

// hasMajority says whether so many of those whose answers count have given one.
func (v *Voter) hasMajority(kind MessageKind) bool {
	n := 0
	for from, m := range v.replies {
		if m.Kind == kind && m.Incarnation != 0 && v.quorum[from] == m.Incarnation {
			n++
		}
	}
	return n > len(v.cfg.Voters)/2
}

// receivePromises goes on once a majority has promised, or begins it all where nobody has a vote.
func (v *Voter) receivePromises() {
	newest, some, blank := Message{}, false, map[string]uint64{}
	for _, from := range slices.Sorted(maps.Keys(v.replies)) {
		m := v.replies[from]
		if m.Kind == Uninitialized {
			blank[from] = m.Incarnation
			continue
		}
		if !some || newest.AcceptedBallot.Less(m.AcceptedBallot) {
			newest, some = m, true
		}
	}
	if newest.AcceptedBallot == (Ballot{}) && v.chosen.Revision == 0 && len(v.replies) == len(v.cfg.Voters) && len(blank) > 0 && !v.bootstrapping {
		lives := newest.State.Incarnations // some have begun already: by those lives, and no others
		if !some {
			lives = blank
		}
		v.Counters.Bootstraps++
		v.bootstrapping = true
		v.replies = map[string]Message{}
		v.maxBallotNumber++
		v.ballot = Ballot{v.maxBallotNumber, v.cfg.Self}
		v.sendPrepare(lives)
		return
	}
	if !some {
		return
	}
	// The lives that count are those of the newest value: no majority of older ones can miss it. What nobody has
	// accepted a value of begins with all voters there. Guards against one that was lost and returns while it begins: a
	// majority could do without those that remember.
	v.quorum = newest.State.Incarnations
	if !v.hasMajority(Promise) || newest.AcceptedBallot == (Ballot{}) && len(v.replies) < len(v.cfg.Voters) {
		return
	}
	for from, m := range v.replies {
		if newest.State.Revision > 0 && v.quorum[from] != m.Incarnation {
			v.unadmitted[from] = m.Incarnation
		}
	}
	v.sendAccept(newest.State)
}

// sendAccept applies what is wanted to a value and proposes the outcome.
func (v *Voter) sendAccept(base State) {
	next := base.clone()
	v.commandReplies = map[string][]byte{}
	for _, w := range v.proposals {
		value, reply := v.cfg.Apply(next.Value, w.Command)
		next.Value, v.commandReplies[w.ID] = value, reply
	}
	admitted := false
	for _, name := range slices.Sorted(maps.Keys(v.unadmitted)) { // one at a time: a majority of the rest vouches for each
		if life := v.unadmitted[name]; next.Incarnations[name] == life {
			delete(v.unadmitted, name)
		} else if !admitted && next.Revision > 0 {
			next.Incarnations[name], admitted = life, true
			v.Counters.Admitted++
		}
	}
	if admitted || next.Revision == 0 || !bytes.Equal(next.Value, base.Value) {
		next.Revision++
	}
	v.proposed, v.quorum = next, base.Incarnations // what this lets in doesn't count for it
	if v.nextPromised {                            // under the promises that are kept
		v.ballot = v.nextBallot
	}
	v.maxBallotNumber = max(v.maxBallotNumber, v.ballot.Number) + 1
	v.nextBallot = Ballot{v.maxBallotNumber, v.cfg.Self}
	v.phase, v.nextPromised, v.replies = accepting, false, map[string]Message{}
	m := Message{Kind: Accept, Ballot: v.ballot, NextBallot: v.nextBallot, State: next.clone()}
	v.broadcast(m)
	v.receive(v.cfg.Self, m)
}

// commit has all know of a value that a majority has accepted.
func (v *Voter) commit() {
	v.Counters.Chosen++
	s := v.proposed
	promised := 0
	for from, m := range v.replies {
		if m.Kind == Accepted && m.NextBallot == v.nextBallot && v.quorum[from] == m.Incarnation {
			promised++
		}
	}
	for name, life := range v.unadmitted {
		if s.Incarnations[name] == life {
			delete(v.unadmitted, name)
		}
	}
	v.learnChosen(s, v.ballot)
	// Guards against a further value upon another one than that which the promises are about.
	v.nextPromised = promised > len(v.cfg.Voters)/2 && v.chosenAt == v.ballot
	v.broadcast(Message{Kind: Learn, Ballot: v.ballot, State: s.clone()})
	v.completeRound(s)
}

// completeRound answers what the round was for.
func (v *Voter) completeRound(s State) {
	for _, w := range v.proposals {
		v.emit(Completed{ID: w.ID, State: s.clone(), Reply: v.commandReplies[w.ID]})
	}
	for _, a := range v.reads {
		v.emit(Completed{ID: a.ID, State: s.clone()})
	}
	v.proposals, v.reads, v.phase, v.conflictsInRow = nil, nil, idle, 0
}

// abandonRound ends a round that failed. What it was for is tried again: commands may come twice.
func (v *Voter) abandonRound() {
	v.phase, v.nextPromised = idle, false
	v.queuedProposals = append(v.proposals, v.queuedProposals...)
	v.queuedReads = append(v.reads, v.queuedReads...)
	v.proposals, v.reads = nil, nil
	v.conflictsInRow = min(3, v.conflictsInRow+1)
	v.backoffUntil = v.now + time.Duration(v.rng.Int64N(int64(v.cfg.BackoffBase)<<v.conflictsInRow))
}

// RejectPending answers all that waits as refused, for one who asked and waits no longer.
func (v *Voter) RejectPending(out []Action) []Action {
	for _, w := range append(v.proposals, v.queuedProposals...) {
		out = append(out, Completed{ID: w.ID, Rejected: true})
	}
	for _, a := range append(v.reads, v.queuedReads...) {
		out = append(out, Completed{ID: a.ID, Rejected: true})
	}
	v.proposals, v.queuedProposals, v.reads, v.queuedReads = nil, nil, nil, nil
	return out
}
