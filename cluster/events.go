package cluster

import "larchusher/consensus"

// Event is anything that reaches a node.
type Event interface{ event() }

// MessageReceived is a message from a member or from an operator's tool.
type MessageReceived struct {
	From    string
	Message Message
}

// Tick reports that time has passed. It comes at least every 100 ms.
type Tick struct{}

// ReportUpdated is the gateway's own latest report.
type ReportUpdated struct{ Report Report }

// DrainCompleted answers DrainMachines: nothing that this gateway sent is under way at, or through, the machines of that generation.
type DrainCompleted struct{ Generation uint64 }

// AcceptorStateStored answers StoreAcceptorState: the write of that number is durable.
type AcceptorStateStored struct{ Number uint64 }

// ViewStored answers StoreView: the view of that revision is durable.
type ViewStored struct{ Revision uint64 }

// ShutdownCompleted answers ShutDown: the gateway sends nothing more.
type ShutdownCompleted struct{}

func (MessageReceived) event()     {}
func (Tick) event()                {}
func (ReportUpdated) event()       {}
func (DrainCompleted) event()      {}
func (AcceptorStateStored) event() {}
func (ViewStored) event()          {}
func (ShutdownCompleted) event()   {}

// Action is anything that a node wants done.
type Action interface{ action() }

// Send sends a message. It may get lost.
type Send struct {
	To      string
	Message Message
}

// StoreAcceptorState makes the state of the acceptor here durable.
type StoreAcceptorState struct{ Store consensus.StoreState }

// StoreView makes a view durable.
type StoreView struct {
	Revision uint64
	Value    []byte
}

// DrainMachines names all machines that nothing may be sent to from now on, and that may not be named as a source. Machines
// that an earlier generation named and this one does not may be sent to again.
type DrainMachines struct {
	Generation uint64
	Machines   map[string]bool
}

// ShutDown asks for a graceful shutdown of this gateway: its own machine is to be taken out.
type ShutDown struct{}

// AuditEntry is one line for the audit log.
type AuditEntry struct{ Text string }

func (Send) action()               {}
func (StoreAcceptorState) action() {}
func (StoreView) action()          {}
func (DrainMachines) action()      {}
func (ShutDown) action()           {}
func (AuditEntry) action()         {}
