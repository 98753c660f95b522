package cluster

import "larchusher/consensus"

// Event is an input of [Node.Handle].
type Event interface{ event() }

// MessageReceived reports a message from a member of the cluster or from an operator's tool.
type MessageReceived struct {
	From    string
	Message Message
}

// Tick reports that time has passed. The caller must deliver it at least every 100 ms.
type Tick struct{}

// ReportUpdated replaces the report that this gateway sends with its lease requests.
type ReportUpdated struct{ Report Report }

// DrainCompleted answers DrainMachines: no attempt of this gateway is in flight at the machines of that generation, or names
// one of them as its fill source.
type DrainCompleted struct{ Generation uint64 }

// AcceptorStateStored answers StoreAcceptorState: the write with that number is durable.
type AcceptorStateStored struct{ Number uint64 }

// ViewStored answers StoreView: the view of that revision is durable.
type ViewStored struct{ Revision uint64 }

// ShutdownCompleted answers ShutDown: the gateway has answered its requests and sends nothing more.
type ShutdownCompleted struct{}

func (MessageReceived) event()     {}
func (Tick) event()                {}
func (ReportUpdated) event()       {}
func (DrainCompleted) event()      {}
func (AcceptorStateStored) event() {}
func (ViewStored) event()          {}
func (ShutdownCompleted) event()   {}

// Action is an output of [Node.Handle], which the caller has to carry out.
type Action interface{ action() }

// Send sends a message to a member or an operator's tool. Messages may be lost.
type Send struct {
	To      string
	Message Message
}

// StoreAcceptorState makes the state of this node's acceptor durable. AcceptorStateStored answers it.
type StoreAcceptorState struct{ Store consensus.StoreState }

// StoreView makes a view durable. ViewStored answers it.
type StoreView struct {
	Revision uint64
	Value    []byte
}

// DrainMachines lists all machines that this gateway must not send to, nor name as a fill source, from now on. It replaces the
// list of the generation before: machines that are no longer listed may be sent to again.
type DrainMachines struct {
	Generation uint64
	Machines   map[string]bool
}

// ShutDown asks for a graceful shutdown of this gateway, because its own machine is to be taken out of service.
type ShutDown struct{}

// AuditEntry is a line for the audit log.
type AuditEntry struct{ Text string }

func (Send) action()               {}
func (StoreAcceptorState) action() {}
func (StoreView) action()          {}
func (DrainMachines) action()      {}
func (ShutDown) action()           {}
func (AuditEntry) action()         {}
