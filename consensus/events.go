package consensus

// Event is an input to [Voter.Handle].
type Event interface{ event() }

// MessageReceived delivers a message from another voter. Messages from unknown senders are ignored.
type MessageReceived struct {
	From    string
	Message Message
}

// StateStored reports that the StoreState with this number is durable, and that all earlier ones are durable or
// replaced by it.
type StateStored struct{ Number uint64 }

// Propose requests that a command be applied to the value. A Completed action with the same ID answers it.
type Propose struct {
	ID      string // repeated in Completed
	Command []byte // passed to Config.Apply
}

// Read requests a linearizable read: the value includes every change that was acknowledged before the request. A
// Completed action with the same ID answers it.
type Read struct{ ID string }

// Tick makes the voter check its timeouts.
type Tick struct{}

func (MessageReceived) event() {}
func (StateStored) event()     {}
func (Propose) event()         {}
func (Read) event()            {}
func (Tick) event()            {}

// Action is an output of [Voter.Handle] that the caller has to carry out.
type Action interface{ action() }

// Send requests that a message be sent to another voter. The message may be lost.
type Send struct {
	To      string
	Message Message
}

// StoreState requests that the acceptor's state be made durable; the caller reports it with StateStored. A later state may
// replace an earlier one that is not written yet.
type StoreState struct {
	Number uint64
	State  AcceptorState
}

// Completed is the result of a Propose or a Read.
type Completed struct {
	ID       string
	State    State  // the value after the command, or as read
	Reply    []byte // reply of Config.Apply to the command; nil for a Read
	Rejected bool   // the command or read was not executed, or its outcome is unknown; State and Reply are not set
}

// Learned reports that a value with a higher revision was chosen.
type Learned struct{ State State }

func (Send) action()       {}
func (StoreState) action() {}
func (Completed) action()  {}
func (Learned) action()    {}
