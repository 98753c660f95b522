package consensus

import (
	"fmt"
	"maps"
)

// State is the replicated value together with the metadata that changes in the same round.
type State struct {
	Revision     uint64            // number of changes so far; 0: no value has been chosen yet
	Incarnations map[string]uint64 // by voter name: the incarnation whose votes count; 0 or absent: no vote of that voter counts
	Value        []byte            // opaque to this package; see Config.Apply
}

func (s State) clone() State {
	s.Incarnations = maps.Clone(s.Incarnations)
	return s
}

// AcceptorState is the persistent state of an acceptor. It must be durable before any reply that depends on it is sent.
type AcceptorState struct {
	Incarnation uint64 // changes whenever the acceptor has lost its state
	Promised    Ballot // older ballots are rejected
	Accepted    Ballot // ballot under which State was accepted; zero: State was never accepted
	State       State
	Initialized bool // false: the acceptor has no state and may not vote
}

// MessageKind identifies the protocol step of a Message.
type MessageKind int

// Requests of a proposer, replies of an acceptor, and Learn.
const (
	Prepare       MessageKind = iota + 1 // requests a promise to reject ballots older than Ballot
	Promise                              // gives that promise, and returns the State accepted under AcceptedBallot
	Uninitialized                        // the acceptor has no state under its incarnation, and so does not vote
	Conflict                             // the request is rejected: the acceptor has promised Ballot, which is newer
	Accept                               // requests acceptance of State under Ballot
	Accepted                             // State was accepted under Ballot
	Confirm                              // asks whether Ballot is still the newest ballot that the acceptor has promised
	Confirmed                            // Ballot is still the newest promised ballot
	Learn                                // reports that State was chosen under Ballot
)

// String returns the name of the kind that metrics use.
func (k MessageKind) String() string {
	names := [...]string{"", "prepare", "promise", "blank", "reject", "accept", "accepted", "confirm", "confirmed", "learn"}
	if k < 0 || int(k) >= len(names) {
		return fmt.Sprint("kind ", int(k))
	}
	return names[k]
}

// Message is sent from one voter to another.
type Message struct {
	Kind           MessageKind
	Incarnation    uint64 // of the sender
	Ballot         Ballot
	NextBallot     Ballot // in Accept: also promise this ballot, so that the next value needs no Prepare; in Accepted: it is promised
	AcceptedBallot Ballot // in Promise: ballot under which State was accepted; zero: never
	State          State  // in Promise, Accept and Learn; in a Prepare that bootstraps, only Incarnations, for the first value
}
