package consensus

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// phase is what the proposer's round waits for.
type phase int

const (
	idle       phase = iota // no round is under way
	preparing               // promises
	accepting               // acceptances
	confirming              // confirmations of promises given earlier
)

// awaited is the kind of reply that takes a phase forward.
func (p phase) awaited() MessageKind {
	return map[phase]MessageKind{preparing: Promise, accepting: Accepted, confirming: Confirmed}[p]
}

// ballotSkipOnStart is how many ballot numbers a start passes over. An incarnation that was killed may have sent a ballot
// before the acceptor's state for it was durable; used again, that ballot would stand for two values. No disk lags by so many rounds.
const ballotSkipOnStart = 1 << 20

func (v *Voter) firstBallotNumber() uint64 {
	n := v.acceptor.Promised.Number
	if v.acceptor.Initialized {
		n += ballotSkipOnStart
	}
	return n
}

// newBallot is newer than any that was seen.
func (v *Voter) newBallot() Ballot {
	v.maxBallotNumber++
	return Ballot{Number: v.maxBallotNumber, Voter: v.cfg.Self}
}

// beginRound begins a round if none is under way and something waits for one. The round serves all that waits.
func (v *Voter) beginRound() {
	if !v.roundDue() {
		return
	}
	if len(v.queuedProposals)+len(v.unadmitted) == 0 { // for reads alone
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

func (v *Voter) roundDue() bool {
	waiting := len(v.queuedProposals) + len(v.queuedReads) + len(v.unadmitted)
	return v.phase == idle && waiting > 0 && v.now >= v.backoffUntil
}

// sendPrepare asks all for promises. Incarnations, if any, are those that form the first value.
func (v *Voter) sendPrepare(incarnations map[string]uint64) {
	m := Message{Kind: Prepare, Ballot: v.ballot, State: State{Incarnations: incarnations}}
	v.broadcast(m)
	v.receive(v.cfg.Self, m)
}

// sendConfirm asks all whether their promises to the next ballot hold: then the chosen value is still the latest.
func (v *Voter) sendConfirm() {
	v.phase, v.eligible, v.ballot = confirming, v.chosen.Incarnations, v.nextBallot
	m := Message{Kind: Confirm, Ballot: v.ballot}
	v.broadcast(m)
	v.receive(v.cfg.Self, m)
}

// sendAccept applies the round's commands to a value and asks all to accept the outcome, and to promise the next ballot.
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
	v.eligible = base.Incarnations // an incarnation that this value admits has no vote on it
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

// receiveConflict ends the round if an acceptor has promised a newer ballot.
func (v *Voter) receiveConflict(m Message) {
	if v.phase != idle && v.ballot.Less(m.Ballot) {
		v.Counters.Conflicts++
		v.abandonRound()
	}
}

// receiveReply takes in an acceptor's reply to the round under way.
func (v *Voter) receiveReply(from string, m Message) {
	if v.phase == idle || m.Ballot != v.ballot {
		return
	}
	awaited := v.phase.awaited()
	if m.Kind != awaited && m.Kind != Uninitialized {
		return
	}
	v.replies[from] = m
	if m.Kind == Uninitialized {
		v.noteUninitialized(from, m.Incarnation)
	}
	switch {
	case v.phase == preparing:
		v.receivePromises()
	case v.hasMajority(awaited) && v.phase == accepting:
		v.valueChosen()
	case v.hasMajority(awaited):
		v.completeRound(v.chosen)
	}
}

// hasMajority reports whether a majority of the voters has given a reply of that kind under an incarnation that may vote.
func (v *Voter) hasMajority(kind MessageKind) bool {
	n := 0
	for from, m := range v.replies {
		if m.Kind == kind && m.Incarnation != 0 && v.eligible[from] == m.Incarnation {
			n++
		}
	}
	return n > len(v.cfg.Voters)/2
}

// receivePromises goes on to the Accept once a majority has promised, or forms the first value where nobody has a state.
func (v *Voter) receivePromises() {
	newest, promised := v.newestPromise()
	if v.mustBootstrap(newest) {
		v.bootstrap(newest, promised)
		return
	}
	if !promised {
		return
	}
	// The incarnations that may vote are those of the newest value: no majority of older ones can miss it.
	v.eligible = newest.State.Incarnations
	if !v.hasMajority(Promise) {
		return
	}
	// A first value that no acceptor has accepted yet needs all voters. A voter that lost its state during the bootstrap could
	// otherwise complete a majority without those that remember a value.
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

// newestPromise is the promise with the newest accepted value; false: there is none yet.
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

// valueChosen has all learn the value that a majority has accepted.
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
	// The promises are about this value: after another one they allow nothing.
	v.nextPromised = nextPromises > len(v.cfg.Voters)/2 && v.chosenAt == v.ballot
	v.broadcast(Message{Kind: Learn, Ballot: v.ballot, State: s.clone()})
	v.completeRound(s)
}

// completeRound answers the commands and reads that the round served.
func (v *Voter) completeRound(s State) {
	for _, p := range v.proposals {
		v.emit(Completed{ID: p.ID, State: s.clone(), Reply: v.commandReplies[p.ID]})
	}
	for _, r := range v.reads {
		v.emit(Completed{ID: r.ID, State: s.clone()})
	}
	v.proposals, v.reads = nil, nil
	v.phase, v.conflictsInRow = idle, 0
}

// maxBackoffDoublings bounds the wait after conflicts in a row, as a power of two of Config.BackoffBase.
const maxBackoffDoublings = 3

// abandonRound ends a round that failed. Its commands and reads wait for the next one, after a random backoff that keeps two
// proposers from conflicting again.
func (v *Voter) abandonRound() {
	v.phase, v.nextPromised = idle, false
	v.queuedProposals = append(v.proposals, v.queuedProposals...)
	v.queuedReads = append(v.reads, v.queuedReads...)
	v.proposals, v.reads = nil, nil
	v.conflictsInRow = min(maxBackoffDoublings, v.conflictsInRow+1)
	v.backoffUntil = v.now + time.Duration(v.rng.Int64N(int64(v.cfg.BackoffBase)<<v.conflictsInRow))
}
