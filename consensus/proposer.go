package consensus

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// phase is the phase of the proposer's round.
type phase int

const (
	idle       phase = iota // no round is in progress
	preparing               // waits for promises
	accepting               // waits for acceptances
	confirming              // waits for confirmations of promises given earlier
)

// expectedReply returns the kind of reply that counts towards a majority in a phase.
func (p phase) expectedReply() MessageKind {
	return map[phase]MessageKind{preparing: Promise, accepting: Accepted, confirming: Confirmed}[p]
}

// ballotSkipOnStart is the number of ballot numbers that an initialized voter skips when it starts. A killed process
// may have sent a ballot before the acceptor's state for it was durable; if it used that ballot again, one ballot would
// stand for two values. The number is far above the rounds that can start while one write is outstanding.
const ballotSkipOnStart = 1 << 20

// firstBallotNumber returns the number above which this voter's ballots start.
func (v *Voter) firstBallotNumber() uint64 {
	n := v.acceptor.Promised.Number
	if v.acceptor.Initialized {
		n += ballotSkipOnStart
	}
	return n
}

// newBallot returns a ballot of this voter that is newer than all ballots seen so far.
func (v *Voter) newBallot() Ballot {
	v.maxBallotNumber++
	return Ballot{Number: v.maxBallotNumber, Voter: v.cfg.Self}
}

// beginRound starts a round if one is due. The round serves all queued commands and reads.
func (v *Voter) beginRound() {
	if !v.roundDue() {
		return
	}
	if len(v.queuedProposals)+len(v.unadmitted) == 0 { // only reads
		if v.lastReadRound > 0 && v.now < v.lastReadRound+v.cfg.ReadInterval {
			return
		}
		v.lastReadRound = v.now
	}
	v.roundDeadline = v.now + v.cfg.RoundTimeout
	v.replies = map[string]Message{}
	v.proposals, v.queuedProposals = v.queuedProposals, nil
	v.reads, v.queuedReads = v.queuedReads, nil
	switch {
	case v.nextPromised && len(v.proposals)+len(v.unadmitted) == 0:
		v.Counters.Confirms++
		v.sendConfirm()
	case v.nextPromised:
		v.Counters.Rounds++
		v.sendAccept(v.chosen)
	default:
		v.Counters.Rounds++
		v.ballot = v.newBallot()
		v.phase, v.bootstrapping = preparing, false
		v.sendPrepare(nil)
	}
}

// roundDue reports whether a command, a read or an admission waits, no round is in progress and the backoff is over.
func (v *Voter) roundDue() bool {
	waiting := len(v.queuedProposals) + len(v.queuedReads) + len(v.unadmitted)
	return v.phase == idle && waiting > 0 && v.now >= v.backoffUntil
}

// sendPrepare asks all voters, this one included, for promises. A bootstrap names the incarnations that may vote on the
// first value; other rounds pass nil.
func (v *Voter) sendPrepare(incarnations map[string]uint64) {
	m := Message{Kind: Prepare, Ballot: v.ballot, State: State{Incarnations: incarnations}}
	v.broadcast(m)
	v.receive(v.cfg.Self, m)
}

// sendConfirm asks all voters whether their promises to the next ballot still hold. If a majority confirms, the chosen
// value is the latest.
func (v *Voter) sendConfirm() {
	v.phase, v.eligible, v.ballot = confirming, v.chosen.Incarnations, v.nextBallot
	m := Message{Kind: Confirm, Ballot: v.ballot}
	v.broadcast(m)
	v.receive(v.cfg.Self, m)
}

// sendAccept applies the round's commands to base and asks all voters to accept the result and to promise the next ballot.
func (v *Voter) sendAccept(base State) {
	next := base.clone()
	v.commandReplies = map[string][]byte{}
	for _, p := range v.proposals {
		value, reply := v.cfg.Apply(next.Value, p.Command)
		next.Value = value
		v.commandReplies[p.ID] = reply
	}
	admitted := v.admitOne(&next)
	if admitted || next.Revision == 0 || !bytes.Equal(next.Value, base.Value) {
		next.Revision++
	}
	v.proposed = next
	v.eligible = base.Incarnations // an incarnation that this value admits may not vote on it
	if v.nextPromised {
		v.ballot = v.nextBallot
	}
	v.maxBallotNumber = max(v.maxBallotNumber, v.ballot.Number)
	v.nextBallot = v.newBallot()
	v.phase, v.nextPromised, v.replies = accepting, false, map[string]Message{}
	m := Message{Kind: Accept, Ballot: v.ballot, NextBallot: v.nextBallot, State: next.clone()}
	v.broadcast(m)
	v.receive(v.cfg.Self, m)
}

// receiveConflict abandons the round if an acceptor has promised a ballot newer than the round's.
func (v *Voter) receiveConflict(m Message) {
	if v.phase != idle && v.ballot.Less(m.Ballot) {
		v.Counters.Conflicts++
		v.abandonRound()
	}
}

// receiveReply records an acceptor's reply in the current round, and moves the round on when a majority has replied.
// Replies with another ballot, or of a kind that the phase does not expect, are ignored.
func (v *Voter) receiveReply(from string, m Message) {
	if v.phase == idle || m.Ballot != v.ballot {
		return
	}
	expected := v.phase.expectedReply()
	if m.Kind != expected && m.Kind != Uninitialized {
		return
	}
	v.replies[from] = m
	if m.Kind == Uninitialized {
		v.handleUninitialized(from, m.Incarnation)
	}
	switch {
	case v.phase == preparing:
		v.receivePromises()
	case v.hasMajority(expected) && v.phase == accepting:
		v.valueChosen()
	case v.hasMajority(expected):
		v.completeRound(v.chosen)
	}
}

// hasMajority reports whether a majority of all voters has replied with this kind under an eligible incarnation.
func (v *Voter) hasMajority(kind MessageKind) bool {
	n := 0
	for from, m := range v.replies {
		if m.Kind == kind && m.Incarnation != 0 && v.eligible[from] == m.Incarnation {
			n++
		}
	}
	return n > len(v.cfg.Voters)/2
}

// receivePromises sends the Accept once a majority has promised, or starts a bootstrap if no voter has a value.
func (v *Voter) receivePromises() {
	newest, promised := v.newestPromise()
	if v.mustBootstrap(newest) {
		v.bootstrap(newest, promised)
		return
	}
	if !promised {
		return
	}
	// The newest accepted value names the eligible incarnations. A majority of the incarnations of an older value
	// includes an acceptor of the newer one, so it can't be missed.
	v.eligible = newest.State.Incarnations
	if !v.hasMajority(Promise) {
		return
	}
	// While no acceptor has reported an accepted value, the round needs replies of all voters. Otherwise a voter that
	// lost its state during the bootstrap could complete a majority that lacks the acceptors with an accepted value.
	if newest.AcceptedBallot == (Ballot{}) && len(v.replies) < len(v.cfg.Voters) {
		return
	}
	for from, m := range v.replies {
		if newest.State.Revision > 0 && v.eligible[from] != m.Incarnation {
			v.unadmitted[from] = m.Incarnation
		}
	}
	v.sendAccept(newest.State)
}

// newestPromise returns the promise with the newest accepted value, or false if no acceptor has promised yet.
func (v *Voter) newestPromise() (newest Message, found bool) {
	for _, from := range slices.Sorted(maps.Keys(v.replies)) {
		m := v.replies[from]
		if m.Kind == Uninitialized {
			continue
		}
		if !found || newest.AcceptedBallot.Less(m.AcceptedBallot) {
			newest, found = m, true
		}
	}
	return newest, found
}

// valueChosen completes a round whose value a majority has accepted, and sends the value to all other voters.
func (v *Voter) valueChosen() {
	v.Counters.Chosen++
	s := v.proposed
	nextPromises := 0
	for from, m := range v.replies {
		if m.Kind == Accepted && m.NextBallot == v.nextBallot && v.eligible[from] == m.Incarnation {
			nextPromises++
		}
	}
	for name, incarnation := range v.unadmitted {
		if s.Incarnations[name] == incarnation {
			delete(v.unadmitted, name)
		}
	}
	v.learnChosen(s, v.ballot)
	// The promises to the next ballot only cover a value derived from this one. They are void if a newer value is known
	// already.
	v.nextPromised = nextPromises > len(v.cfg.Voters)/2 && v.chosenBallot == v.ballot
	v.broadcast(Message{Kind: Learn, Ballot: v.ballot, State: s.clone()})
	v.completeRound(s)
}

// completeRound answers the commands and reads of the round with the state s, and ends the round.
func (v *Voter) completeRound(s State) {
	for _, p := range v.proposals {
		v.emit(Completed{ID: p.ID, State: s.clone(), Reply: v.commandReplies[p.ID]})
	}
	for _, r := range v.reads {
		v.emit(Completed{ID: r.ID, State: s.clone()})
	}
	v.proposals, v.reads = nil, nil
	v.phase, v.abandonedInRow = idle, 0
}

// maxBackoffDoublings is how often the backoff limit doubles at most, starting from Config.BackoffBase.
const maxBackoffDoublings = 3

// abandonRound ends a round after a conflict or a timeout. Its commands and reads are queued for the next round, which
// starts after a random backoff, so that two proposers do not keep conflicting.
func (v *Voter) abandonRound() {
	v.phase, v.nextPromised = idle, false
	v.queuedProposals = append(v.proposals, v.queuedProposals...)
	v.queuedReads = append(v.reads, v.queuedReads...)
	v.proposals, v.reads = nil, nil
	v.abandonedInRow = min(maxBackoffDoublings, v.abandonedInRow+1)
	v.backoffUntil = v.now + time.Duration(v.rng.Int64N(int64(v.cfg.BackoffBase)<<v.abandonedInRow))
}
