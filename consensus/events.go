package consensus

// Event is anything that reaches a voter.
type Event interface{ event() }

// MessageReceived is a message from another voter.
type MessageReceived struct {
	From    string
	Message Message
}

// StateStored reports that the write of that number, and all before it, are durable.
type StateStored struct{ Number uint64 }

// Propose asks for a command to be applied to the value. Completed answers it.
type Propose struct {
	ID      string // repeated in Completed
	Command []byte
}

// Read asks for the value as it is now, or later. Completed answers it.
type Read struct{ ID string }

// Tick reports that time has passed.
type Tick struct{}

func (MessageReceived) event() {}
func (StateStored) event()     {}
func (Propose) event()         {}
func (Read) event()            {}
func (Tick) event()            {}

// Action is anything that a voter wants done.
type Action interface{ action() }

// Send sends a message to another voter. It may get lost.
type Send struct {
	To      string
	Message Message
}

// StoreState makes an acceptor's state durable; StateStored answers it. A later state may replace one that is not written yet.
type StoreState struct {
	Number uint64
	State  AcceptorState
}

// Completed answers a Propose or a Read with the value after it.
type Completed struct {
	ID       string
	State    State
	Reply    []byte // what the command returned
	Rejected bool   // the command was not taken, or its outcome is unknown
}

// Learned reports that a newer value was chosen.
type Learned struct{ State State }

func (Send) action()       {}
func (StoreState) action() {}
func (Completed) action()  {}
func (Learned) action()    {}
