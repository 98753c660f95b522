package replication

import "time"

// Event is anything that reaches a node.
type Event interface{ event() }

// MessageReceived is a message from another member.
type MessageReceived struct {
	From    string
	Message Message
}

// Tick reports that time has passed. It comes at least every 100 ms.
type Tick struct{}

func (MessageReceived) event() {}
func (Tick) event()            {}

// Action is anything that a node wants done.
type Action interface{ action() }

// Send sends a message. It may get lost.
type Send struct {
	To      string
	Message Message
}

// SafetySlotsLearned reports slots of safety kinds that are new here.
type SafetySlotsLearned struct{ Slots []Slot }

// CaughtUp reports that the node knows what its peers know, or goes on without. It comes once.
type CaughtUp struct {
	From string        // the peer that completed it; empty: none answered within Config.CatchUpTimeout
	Took time.Duration // since the first event
}

func (Send) action()               {}
func (SafetySlotsLearned) action() {}
func (CaughtUp) action()           {}
