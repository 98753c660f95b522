// Package consensus keeps one replicated value that survives the failure of a minority of its voters. Any voter may change the
// value; there is no leader.
//
// It is the register of CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). Each voter
// is a proposer and an acceptor. A proposer has a majority of acceptors promise to accept no older ballot (Prepare, Promise), takes
// the newest value that any of them has accepted, applies its commands to it, and has a majority accept the outcome (Accept,
// Accepted). It is chosen then, and all others learn it (Learn).
//
// Two round trips become one by the paper's one-round-trip optimization: with the Accept, acceptors promise the proposer's next ballot as well,
// so that its next value needs no Prepare. A read needs no write while those promises hold: a majority confirms them (Confirm,
// Confirmed), and so the proposer's value is the latest.
//
// An acceptor that has lost its state comes back under a new incarnation. Only incarnations that the value itself names
// may vote, and a new one is admitted by a majority of the others, so that no acceptor votes twice under one name. The first
// value is formed with all voters present.
//
// The package does no I/O, reads no clock and starts no goroutine: its caller hands events to Voter.Handle, one at a time, and carries out
// the actions that it returns, in their order. The same events give the same actions.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxPending bounds the commands, and the reads, that wait at one voter; further ones are rejected.
const maxPending = 256

// Voter is one proposer and acceptor. Use New. It is not safe for concurrent use.
type Voter struct {
	Counters Counters

	cfg     Config
	pcg     *rand.PCG
	rng     *rand.Rand
	now     time.Duration
	actions []Action // of the event that is being handled

	// The acceptor.
	acceptor     AcceptorState
	lastWrite    uint64 // number of the latest write of acceptor
	durableWrite uint64 // number of the latest write that is durable
	heldReplies  []heldReply

	// What is learned.
	chosen          State  // the newest value that is known to be chosen
	chosenAt        Ballot // under which it was
	maxBallotNumber uint64 // highest number seen in any ballot

	// The proposer's round.
	phase          phase
	ballot         Ballot
	bootstrapping  bool // this round forms the first value
	roundDeadline  time.Duration
	lastReadRound  time.Duration      // when the latest round for reads alone began
	replies        map[string]Message // to this phase, by voter
	eligible       map[string]uint64  // by voter: the incarnation that may vote in this round
	proposed       State              // in the phase accepting
	proposals      []Propose          // that this round serves
	reads          []Read             // that this round serves
	commandReplies map[string][]byte  // by ID of the Propose

	// Between rounds.
	nextPromised    bool              // a majority may still hold its promises to nextBallot, given with chosen
	nextBallot      Ballot            // for the next value, without a Prepare
	backoffUntil    time.Duration     // no round begins earlier
	conflictsInRow  int               // abandoned rounds since the latest that completed, up to 3
	unadmitted      map[string]uint64 // by voter: its incarnation that waits to be admitted
	queuedProposals []Propose
	queuedReads     []Read
}

// heldReply waits for a write of the acceptor's state.
type heldReply struct {
	afterWrite uint64
	message    Send
}

// New returns a voter. An error names the setting that is not valid.
func New(c Config) (*Voter, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	v := &Voter{cfg: c, pcg: rand.NewPCG(c.Seed, 0x5bd1e995), acceptor: c.Acceptor, unadmitted: map[string]uint64{}}
	v.rng = rand.New(v.pcg)
	v.acceptor.State = v.acceptor.State.clone()
	v.maxBallotNumber = v.firstBallotNumber()
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

// Chosen is the newest value that this voter knows to be chosen; it may be old. False: it knows of none.
func (v *Voter) Chosen() (State, bool) { return v.chosen, v.chosen.Revision > 0 }

// CanVote reports whether this voter's vote counts, as far as it knows.
func (v *Voter) CanVote() bool {
	return v.initialized() && (v.chosen.Revision == 0 || v.chosen.Incarnations[v.cfg.Self] == v.acceptor.Incarnation)
}

// HasPending reports whether a round is under way or a command or read waits for one.
func (v *Voter) HasPending() bool {
	return v.phase != idle || len(v.queuedProposals)+len(v.queuedReads) > 0
}

// RejectPending answers all commands and reads as rejected, for a caller that no longer waits for them.
func (v *Voter) RejectPending(out []Action) []Action {
	for _, p := range append(v.proposals, v.queuedProposals...) {
		out = append(out, Completed{ID: p.ID, Rejected: true})
	}
	for _, r := range append(v.reads, v.queuedReads...) {
		out = append(out, Completed{ID: r.ID, Rejected: true})
	}
	v.proposals, v.queuedProposals, v.reads, v.queuedReads = nil, nil, nil, nil
	return out
}

func (v *Voter) emit(a Action) { v.actions = append(v.actions, a) }

// broadcast sends a message to all other voters.
func (v *Voter) broadcast(m Message) {
	m.Incarnation = v.acceptor.Incarnation
	for _, to := range v.cfg.Voters {
		if to != v.cfg.Self {
			v.emit(Send{To: to, Message: m})
		}
	}
}

// receive hands a message to the role that it is for.
func (v *Voter) receive(from string, m Message) {
	v.maxBallotNumber = max(v.maxBallotNumber, m.Ballot.Number, m.NextBallot.Number)
	switch m.Kind {
	case Prepare:
		v.receivePrepare(from, m)
	case Accept:
		v.receiveAccept(from, m)
	case Confirm:
		v.receiveConfirm(from, m)
	case Learn:
		v.learnChosen(m.State, m.Ballot)
	case Conflict:
		v.receiveConflict(m)
	case Promise, Uninitialized, Accepted, Confirmed:
		v.receiveReply(from, m)
	}
}
