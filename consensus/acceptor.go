package consensus

import "maps"

// initialized reports whether the acceptor has a state that names its current incarnation. Otherwise it may not vote.
func (v *Voter) initialized() bool {
	return v.acceptor.Initialized && v.acceptor.State.Incarnations[v.cfg.Self] == v.acceptor.Incarnation
}

// receivePrepare promises the ballot and returns the accepted state, or replies with Conflict or Uninitialized. A
// Prepare that bootstraps may initialize the acceptor first.
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

// receiveAccept accepts the proposed state, or replies with Conflict or Uninitialized.
func (v *Voter) receiveAccept(from string, m Message) {
	switch {
	case !v.initialized():
		v.reply(from, Message{Kind: Uninitialized, Ballot: m.Ballot})
	case m.Ballot.Less(v.acceptor.Promised):
		v.reply(from, Message{Kind: Conflict, Ballot: v.acceptor.Promised})
	default:
		v.acceptor.Promised, v.acceptor.Accepted, v.acceptor.State = m.Ballot, m.Ballot, m.State.clone()
		// A value that is proposed without a Prepare needs the promises of a majority first. Otherwise a value that
		// only a minority has accepted under the next ballot could later outrank one chosen under an older ballot.
		if m.Ballot.Less(m.NextBallot) {
			v.acceptor.Promised = m.NextBallot
		}
		v.persist()
		v.reply(from, Message{Kind: Accepted, Ballot: m.Ballot, NextBallot: m.NextBallot})
	}
}

// receiveConfirm confirms that the ballot is still the newest promised one, or replies with Conflict or Uninitialized.
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

// learnChosen records a value that was chosen under a ballot, unless the voter knows a newer one.
func (v *Voter) learnChosen(s State, ballot Ballot) {
	v.maxBallotNumber = max(v.maxBallotNumber, ballot.Number)
	if s.Revision == 0 || s.Revision < v.chosen.Revision || ballot.Less(v.chosenBallot) {
		return
	}
	if v.nextPromised && v.nextBallot.Less(ballot) {
		v.nextPromised = false
	}
	changed := s.Revision > v.chosen.Revision
	v.chosen, v.chosenBallot = s.clone(), ballot
	v.adoptIfAdmitted(s, ballot)
	if changed {
		v.emit(Learned{State: v.chosen.clone()})
	}
}

// persist requests that the acceptor's current state be made durable.
func (v *Voter) persist() {
	v.lastWrite++
	a := v.acceptor
	a.State = a.State.clone()
	v.emit(StoreState{Number: v.lastWrite, State: a})
}

// reply sends a reply to a proposer as soon as all writes of the acceptor's state so far are durable.
func (v *Voter) reply(to string, m Message) {
	m.Incarnation = v.acceptor.Incarnation
	send := Send{To: to, Message: m}
	if v.lastWrite > v.durableWrite {
		v.pendingReplies = append(v.pendingReplies, pendingReply{afterWrite: v.lastWrite, message: send})
		return
	}
	v.deliver(send)
}

// sendDurableReplies sends the pending replies whose write has become durable.
func (v *Voter) sendDurableReplies() {
	pending := v.pendingReplies
	v.pendingReplies = nil
	for _, h := range pending {
		if h.afterWrite > v.durableWrite {
			v.pendingReplies = append(v.pendingReplies, h)
		} else {
			v.deliver(h.message)
		}
	}
}

// deliver sends a reply, or passes it to this voter's own proposer immediately.
func (v *Voter) deliver(s Send) {
	if s.To == v.cfg.Self {
		v.receive(s.To, s.Message)
	} else {
		v.emit(s)
	}
}
