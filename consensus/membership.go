package consensus

import (
	"maps"
	"slices"
)

// Which incarnations may vote: all present ones form the first value, and later ones are admitted one by one.

// mayBootstrap reports whether a Prepare names this acceptor's incarnation for the first value, and the acceptor knows of no value.
func (v *Voter) mayBootstrap(m Message) bool {
	incarnation, named := m.State.Incarnations[v.cfg.Self]
	return !v.initialized() && named && incarnation == v.acceptor.Incarnation && v.chosen.Revision == 0
}

// mustBootstrap reports whether all voters have replied to the Prepare, none of them has a value, and some have no state at all.
func (v *Voter) mustBootstrap(newest Message) bool {
	return newest.AcceptedBallot == (Ballot{}) &&
		v.chosen.Revision == 0 &&
		len(v.replies) == len(v.cfg.Voters) &&
		len(v.uninitializedReplies()) > 0 &&
		!v.bootstrapping
}

// uninitializedReplies are the incarnations, by voter, that have no state.
func (v *Voter) uninitializedReplies() map[string]uint64 {
	without := map[string]uint64{}
	for from, m := range v.replies {
		if m.Kind == Uninitialized {
			without[from] = m.Incarnation
		}
	}
	return without
}

// bootstrap prepares the first value. Where some have promised, another bootstrap was begun: it goes on with the incarnations that
// that one named, and no others.
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

// noteUninitialized takes in that a voter has no state: a new incarnation has to be admitted, and one that is admitted and does not
// know it has to learn the value.
func (v *Voter) noteUninitialized(from string, incarnation uint64) {
	if v.chosen.Revision == 0 {
		return
	}
	if v.chosen.Incarnations[from] != incarnation {
		v.unadmitted[from] = incarnation
		return
	}
	if from != v.cfg.Self {
		learn := Message{Kind: Learn, Incarnation: v.acceptor.Incarnation, Ballot: v.chosenAt, State: v.chosen.clone()}
		v.emit(Send{To: from, Message: learn})
	}
}

// admitOne lets the first incarnation that waits vote on later values, if there is a value already. One at a time: a majority of the
// others vouches for each.
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

// adoptIfAdmitted initializes an acceptor without a state from a chosen value that names its incarnation. Its former incarnation can't
// vote any more: a majority of the others has accepted the new one.
func (v *Voter) adoptIfAdmitted(s State, at Ballot) {
	hasValue := v.initialized() && v.acceptor.Accepted != Ballot{}
	if hasValue || s.Incarnations[v.cfg.Self] != v.acceptor.Incarnation {
		return
	}
	v.acceptor.Initialized, v.acceptor.State, v.acceptor.Accepted = true, s.clone(), at
	if v.acceptor.Promised.Less(at) {
		v.acceptor.Promised = at
	}
	v.persist()
}
