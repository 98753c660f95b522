package consensus

import (
	"maps"
	"slices"
)

// Membership decides which incarnations may vote. The first value (bootstrap) names the present incarnations of all
// voters; later incarnations are admitted one by one.

// mayBootstrap reports whether this acceptor may initialize itself from a Prepare: the Prepare names its incarnation for the
// first value, and the acceptor neither has a state nor knows of a chosen value.
func (v *Voter) mayBootstrap(m Message) bool {
	incarnation, named := m.State.Incarnations[v.cfg.Self]
	return !v.initialized() && named && incarnation == v.acceptor.Incarnation && v.chosen.Revision == 0
}

// mustBootstrap reports whether the round has to be repeated as a bootstrap: all voters have replied to the Prepare,
// none of them has accepted a value, at least one has no state, and this round is not a bootstrap already.
func (v *Voter) mustBootstrap(newest Message) bool {
	return newest.AcceptedBallot == (Ballot{}) &&
		v.chosen.Revision == 0 &&
		len(v.replies) == len(v.cfg.Voters) &&
		len(v.uninitializedReplies()) > 0 &&
		!v.bootstrapping
}

// uninitializedReplies returns, by voter, the incarnations that have replied that they have no state.
func (v *Voter) uninitializedReplies() map[string]uint64 {
	uninitialized := map[string]uint64{}
	for from, m := range v.replies {
		if m.Kind == Uninitialized {
			uninitialized[from] = m.Incarnation
		}
	}
	return uninitialized
}

// bootstrap sends a new Prepare that names the incarnations for the first value. If some acceptors have already promised, an
// earlier bootstrap was started, and this one names exactly the incarnations of that one.
func (v *Voter) bootstrap(newest Message, promised bool) {
	incarnations := newest.State.Incarnations
	if !promised {
		incarnations = v.uninitializedReplies()
	}
	v.Counters.Bootstraps++
	v.bootstrapping = true
	v.replies = map[string]Message{}
	v.ballot = v.newBallot()
	v.sendPrepare(incarnations)
}

// handleUninitialized handles a reply of a voter that has no state. If a value has been chosen, an incarnation that it
// does not name is queued for admission, and one that it names is sent the value.
func (v *Voter) handleUninitialized(from string, incarnation uint64) {
	if v.chosen.Revision == 0 {
		return
	}
	if v.chosen.Incarnations[from] != incarnation {
		v.unadmitted[from] = incarnation
		return
	}
	if from != v.cfg.Self {
		learn := Message{Kind: Learn, Incarnation: v.acceptor.Incarnation, Ballot: v.chosenBallot, State: v.chosen.clone()}
		v.emit(Send{To: from, Message: learn})
	}
}

// admitOne adds to next the first incarnation that waits for admission, if a value exists already. It reports whether
// it did. The incarnation may vote from the following value on. Incarnations are admitted one at a time, so that a
// majority of the voters named before accepts each of them.
func (v *Voter) admitOne(next *State) bool {
	admitted := false
	for _, name := range slices.Sorted(maps.Keys(v.unadmitted)) {
		incarnation := v.unadmitted[name]
		switch {
		case next.Incarnations[name] == incarnation:
			delete(v.unadmitted, name)
		case !admitted && next.Revision > 0:
			next.Incarnations[name], admitted = incarnation, true
			v.Counters.Admitted++
		}
	}
	return admitted
}

// adoptIfAdmitted initializes an acceptor that has no accepted value from a chosen value that names its incarnation.
// This is safe: a majority has accepted the new incarnation, so votes of the former one no longer count.
func (v *Voter) adoptIfAdmitted(s State, ballot Ballot) {
	hasValue := v.initialized() && v.acceptor.Accepted != Ballot{}
	if hasValue || s.Incarnations[v.cfg.Self] != v.acceptor.Incarnation {
		return
	}
	v.acceptor.Initialized, v.acceptor.State, v.acceptor.Accepted = true, s.clone(), ballot
	if v.acceptor.Promised.Less(ballot) {
		v.acceptor.Promised = ballot
	}
	v.persist()
}
