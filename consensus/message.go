package consensus

import (
	"fmt"
	"maps"
)

// State is the replicated value and what has to change together with it.
type State struct {
	Revision     uint64            // number of changes so far; 0: there is no value yet
	Incarnations map[string]uint64 // by voter: the incarnation that may vote; 0: none may
	Value        []byte
}

func (s State) clone() State {
	s.Incarnations = maps.Clone(s.Incarnations)
	return s
}

// AcceptorState is what an acceptor must not lose. It is durable before anything that follows from it is sent.
type AcceptorState struct {
	Incarnation uint64
	Promised    Ballot // no older ballot is accepted
	Accepted    Ballot // under which State was accepted; zero: never
	State       State
	Initialized bool // false: the acceptor has no state, and may not vote
}

// MessageKind says which step of the protocol a message is.
type MessageKind int

// The kinds of message.
const (
	Prepare       MessageKind = iota + 1 // asks for a promise to accept no older ballot
	Promise                              // grants it, with the State that was accepted under AcceptedBallot
	Uninitialized                        // the acceptor has no state to promise with
	Conflict                             // Ballot is the newer one that was promised before
	Accept                               // asks to accept State
	Accepted                             // State was accepted
	Confirm                              // asks whether the promise to Ballot still holds
	Confirmed                            // it does
	Learn                                // State was chosen under Ballot
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
	Incarnation    uint64 // of the sender
	Ballot         Ballot
	NextBallot     Ballot // Accept: promise this one, too, so that the next value needs no Prepare; Accepted: it is promised
	AcceptedBallot Ballot // Promise
	State          State  // Promise, Accept, Learn; in a Prepare that bootstraps, the incarnations that form the first value
}
