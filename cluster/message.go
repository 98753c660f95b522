package cluster

import (
	"larchusher/consensus"
	"larchusher/maintenance"
	"larchusher/replication"
)

// Version is that of the messages. A message of a higher version is read as far as it is understood.
const Version = 1

// MessageKind says what a message is for.
type MessageKind int

// The kinds of message.
const (
	ConsensusMessage   MessageKind = iota + 1 // between voters
	RenewLease                                // a gateway asks a voter for the agreed state
	View                                      // answers RenewLease
	OperatorRequest                           // a command or a query, from an operator's tool or relayed by a gateway
	OperatorReply                             // answers OperatorRequest
	UnknownKind                               // of a later version; ignored and counted
	ReplicationMessage                        // for package replication, not for a Node
)

// Message goes between gateways, and between an operator's tool and a gateway.
type Message struct {
	Kind          MessageKind
	ID            uint64            // RenewLease, OperatorRequest; repeated in the answer
	Consensus     consensus.Message // ConsensusMessage
	Incarnation   uint64            // RenewLease
	NoView        bool              // RenewLease: the sender has no view, and sends to no machine
	ViewDigest    uint64            // RenewLease: of the sender's view; View: of the agreed one
	Revision      uint64            // View, OperatorReply: of the agreed state
	NotifiedEpoch uint64            // RenewLease: the sender knows of all grants up to this epoch
	StoppedEpoch  uint64            // RenewLease: it has stopped sending for all drains up to this epoch
	Report        *Report           // RenewLease
	Value         []byte            // View: the agreed view, unless the sender has it; OperatorRequest: the command; OperatorReply: its result
	Query         string            // OperatorRequest: queryState, queryPlan, or one that the runtime answers; empty: Value is a command
	Rejected      string            // OperatorReply: why nothing was done
	Replication   *replication.Message
}

// The queries that voters answer.
const (
	queryState = "state"
	queryPlan  = "plan"
)

// Report is what a gateway has observed of the machines. It comes with each RenewLease.
type Report struct {
	Machines map[string]maintenance.Machine
	Pressure string // why no machine should be taken out now; empty: nothing is known against it
}
