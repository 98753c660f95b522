// Package consensus implements one replicated value that survives the failure of a minority of its voters. Any voter
// may change the value; there is no leader.
//
// It implements the CASPaxos register (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). Each voter
// is both a proposer and an acceptor. A proposer asks all acceptors to reject older ballots (Prepare). Once a majority
// has promised (Promise), it applies its commands to the newest value that any of them has accepted, and asks all to
// accept the result (Accept). The result is chosen when a majority has accepted it (Accepted), and the proposer sends
// it to all others (Learn).
//
// The one-round-trip optimization of the paper saves the Prepare: together with an Accept, acceptors promise the
// proposer's next ballot, so that its next value needs no Prepare. While these promises hold, a read needs no write
// either: once a majority has confirmed them (Confirm, Confirmed), the proposer's value is known to be the latest.
//
// An acceptor that has lost its state restarts under a new incarnation. Only the incarnations that the value names may
// vote, and a majority of these admits each new one, so that no acceptor votes twice under one name. Choosing the first
// value (the bootstrap) requires all voters.
//
// The package does no I/O, reads no clock and starts no goroutine. Its caller passes events to [Voter.Handle], one at a
// time, and carries out the returned actions in order. The same sequence of events yields the same actions.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxPending is the maximum number of queued commands, and of queued reads, at one voter. Further ones are rejected.
const maxPending = 256

// Voter is a proposer and an acceptor. Create it with New. It is not safe for concurrent use.
type Voter struct {
	Counters Counters

	cfg     Config
	pcg     *rand.PCG
	rng     *rand.Rand
	now     time.Duration // argument of the current Handle call
	actions []Action      // collected during the current Handle call

	// Acceptor.
	acceptor       AcceptorState
	lastWrite      uint64         // number of the latest StoreState
	durableWrite   uint64         // number of the latest StoreState that is durable
	pendingReplies []pendingReply // replies that wait for a write

	// Learner.
	chosen          State  // newest value that is known to be chosen
	chosenBallot    Ballot // ballot under which chosen was chosen
	maxBallotNumber uint64 // highest number seen in any ballot

	// Proposer, current round.
	phase          phase
	ballot         Ballot             // of the current round; acceptors repeat it in their replies
	bootstrapping  bool               // this round chooses the first value
	roundDeadline  time.Duration      // the round is abandoned then
	lastReadRound  time.Duration      // start of the latest round that served only reads
	replies        map[string]Message // replies in the current phase, by voter
	eligible       map[string]uint64  // by voter: the incarnation that may vote in this round
	proposed       State              // value sent in Accept; set in the phase accepting
	proposals      []Propose          // commands that this round serves
	reads          []Read             // reads that this round serves
	commandReplies map[string][]byte  // replies of Config.Apply, by Propose.ID

	// Proposer, between rounds.
	nextPromised    bool              // a majority has promised nextBallot, together with accepting chosen, and may still hold to it
	nextBallot      Ballot            // ballot of the next value if no Prepare is needed
	backoffUntil    time.Duration     // no round starts earlier
	abandonedInRow  int               // rounds abandoned since the latest completed one, capped at maxBackoffDoublings
	unadmitted      map[string]uint64 // by voter: the incarnation that waits to be admitted
	queuedProposals []Propose
	queuedReads     []Read
}

// pendingReply is an acceptor's reply that waits until the state behind it is durable.
type pendingReply struct {
	afterWrite uint64 // number of the StoreState that it waits for
	message    Send
}

// New returns a voter. It returns an error that names the setting if c is invalid.
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

// Handle processes one event and returns out with the resulting actions appended. now is the time on a monotonic clock
// of the caller's choice; it must not decrease from call to call.
func (v *Voter) Handle(now time.Duration, e Event, out []Action) []Action {
	v.now, v.actions = now, out
	switch e := e.(type) {
	case MessageReceived:
		if slices.Contains(v.cfg.Voters, e.From) && e.From != v.cfg.Self {
			v.receive(e.From, e.Message)
		}
	case StateStored:
		v.durableWrite = max(v.durableWrite, e.Number)
		v.sendDurableReplies()
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

// Chosen returns the newest value that this voter knows to be chosen. A newer one may exist; use Read for the latest.
// It returns false if the voter knows of none.
func (v *Voter) Chosen() (State, bool) { return v.chosen, v.chosen.Revision > 0 }

// CanVote reports whether this voter's votes count, judged by the newest value that it knows.
func (v *Voter) CanVote() bool {
	return v.initialized() && (v.chosen.Revision == 0 || v.chosen.Incarnations[v.cfg.Self] == v.acceptor.Incarnation)
}

// HasPending reports whether a round is in progress or a command or read is queued.
func (v *Voter) HasPending() bool {
	return v.phase != idle || len(v.queuedProposals)+len(v.queuedReads) > 0
}

// RejectPending drops all commands and reads, queued or in the current round, and returns out with a rejected Completed
// appended for each. A command of the current round may still be chosen.
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

// emit adds an action to those that the current Handle call returns.
func (v *Voter) emit(a Action) { v.actions = append(v.actions, a) }

// broadcast sends a message to all other voters, with this voter's incarnation.
func (v *Voter) broadcast(m Message) {
	m.Incarnation = v.acceptor.Incarnation
	for _, to := range v.cfg.Voters {
		if to != v.cfg.Self {
			v.emit(Send{To: to, Message: m})
		}
	}
}

// receive dispatches a message to the acceptor, the learner or the proposer.
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
