package consensus

import "maps"

// initialized reports whether the acceptor has a state, and has it under its own incarnation.
func (v *Voter) initialized() bool {
	return v.acceptor.Initialized && v.acceptor.State.Incarnations[v.cfg.Self] == v.acceptor.Incarnation
}

func (v *Voter) receivePrepare(from string, m Message) {
	if v.mayBootstrap(m) {
		v.acceptor.Initialized = true
		v.acceptor.State = State{Incarnations: maps.Clone(m.State.Incarnations)}
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
}

func (v *Voter) receiveAccept(from string, m Message) {
	switch {
	case !v.initialized():
		v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
	case m.Ballot.Less(v.acceptor.Promised):
		v.reply(from, Message{Kind: Conflict, Ballot: v.acceptor.Promised})
	default:
		v.acceptor.Promised, v.acceptor.Accepted, v.acceptor.State = m.Ballot, m.Ballot, m.State.clone()
		// A value that is proposed without a Prepare needs a majority's promise before any acceptor may accept it.
		if m.Ballot.Less(m.NextBallot) {
			v.acceptor.Promised = m.NextBallot
		}
		v.persist()
		v.reply(from, Message{Kind: Accepted, Ballot: m.Ballot, NextBallot: m.NextBallot})
	}
}

func (v *Voter) receiveConfirm(from string, m Message) {
	switch {
	case !v.initialized():
		v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
	case m.Ballot != v.acceptor.Promised:
		v.reply(from, Message{Kind: Conflict, Ballot: v.acceptor.Promised})
	default:
		v.reply(from, Message{Kind: Confirmed, Ballot: m.Ballot})
	}
}

// learnChosen takes in a value that was chosen under a ballot.
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
	v.adoptIfAdmitted(s, at)
	if changed {
		v.emit(Learned{State: v.chosen.clone()})
	}
}

// persist has the acceptor's state made durable.
func (v *Voter) persist() {
	v.lastWrite++
	a := v.acceptor
	a.State = a.State.clone()
	v.emit(StoreState{Number: v.lastWrite, State: a})
}

// reply answers a proposer once the acceptor's state that the answer follows from is durable.
func (v *Voter) reply(to string, m Message) {
	m.Incarnation = v.acceptor.Incarnation
	send := Send{To: to, Message: m}
	if v.lastWrite > v.durableWrite {
		v.heldReplies = append(v.heldReplies, heldReply{afterWrite: v.lastWrite, message: send})
		return
	}
	v.deliver(send)
}

// releaseReplies sends the replies whose write is durable by now.
func (v *Voter) releaseReplies() {
	held := v.heldReplies
	v.heldReplies = nil
	for _, h := range held {
		if h.afterWrite > v.durableWrite {
			v.heldReplies = append(v.heldReplies, h)
		} else {
			v.deliver(h.message)
		}
	}
}

// deliver sends a reply; the voter's own proposer takes it at once.
func (v *Voter) deliver(s Send) {
	if s.To == v.cfg.Self {
		v.receive(s.To, s.Message)
	} else {
		v.emit(s)
	}
}
