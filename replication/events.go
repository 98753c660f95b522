package replication

import "time"

// Event is an input to [Node.Handle].
type Event interface{ event() }

// MessageReceived delivers a message from another member. Messages from unknown senders are ignored.
type MessageReceived struct {
	From    string
	Message Message
}

// Tick makes the node check its timeouts and schedules. The caller must send one at least every 100 ms.
type Tick struct{}

func (MessageReceived) event() {}
func (Tick) event()            {}

// Action is an output of [Node.Handle] that the caller has to carry out.
type Action interface{ action() }

// Send requests that a message be sent to another member. The message may be lost.
type Send struct {
	To      string
	Message Message
}

// SafetySlotsLearned reports safety slots of other incarnations that this replica did not have yet, or not in this version.
type SafetySlotsLearned struct{ Slots []Slot }

// CaughtUp reports that the node has caught up with its peers, or has stopped waiting for them. It is emitted once,
// unless the node is the only member.
type CaughtUp struct {
	From string        // peer whose reply completed the catch-up; empty: it did not complete within Config.CatchUpTimeout
	Took time.Duration // time since the first event
}

func (Send) action()               {}
func (SafetySlotsLearned) action() {}
func (CaughtUp) action()           {}
