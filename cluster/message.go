package cluster

import (
	"larchusher/consensus"
	"larchusher/maintenance"
	"larchusher/replication"
)

// Version is the version of the message format; the transport puts it into every envelope. Messages of later versions are
// accepted: fields that this version does not know are ignored, and so are messages of an unknown kind.
const Version = 1

// MessageKind is the purpose of a [Message]. The numbers are encoded in messages and must not change.
type MessageKind int

// The kinds of messages.
const (
	ConsensusMessage   MessageKind = iota + 1 // between voters, for package consensus
	RenewLease                                // from a gateway to a voter: asks for the agreed state
	View                                      // reply to RenewLease
	OperatorRequest                           // from an operator's tool, or relayed by a gateway: a command or a query
	OperatorReply                             // reply to OperatorRequest
	UnknownKind                               // a kind of a later version; counted and ignored
	ReplicationMessage                        // for package replication; the runtime does not pass it to a Node
)

// Message is sent between gateways, and between an operator's tool and a gateway. The comment of a field lists the kinds of
// messages that use it.
type Message struct {
	Kind          MessageKind
	ID            uint64               // RenewLease, OperatorRequest; their replies repeat it
	Consensus     consensus.Message    // ConsensusMessage
	Incarnation   uint64               // RenewLease: the sender's
	NoView        bool                 // RenewLease: the sender has no view yet, and therefore sends to no machine
	ViewDigest    uint64               // RenewLease: digest of the sender's view; View: digest of the agreed view
	Revision      uint64               // View, OperatorReply: revision of the agreed state
	NotifiedEpoch uint64               // RenewLease: the sender knows all grants up to this epoch
	StoppedEpoch  uint64               // RenewLease: the sender has stopped sending for all drains up to this epoch
	Report        *Report              // RenewLease: the sender's observations
	Value         []byte               // View: the agreed view, nil if the sender has it already; OperatorRequest: the command; OperatorReply: the result
	Query         string               // OperatorRequest: queryState, queryPlan or a query that the runtime answers; empty: Value is a command
	Rejected      string               // OperatorReply: why the request was rejected; empty: it was not
	Replication   *replication.Message // ReplicationMessage
}

// Values of Message.Query that voters answer.
const (
	queryState = "state"
	queryPlan  = "plan"
)

// Report is what a gateway has observed of the machines, sent with each RenewLease.
type Report struct {
	Machines map[string]maintenance.Machine
	Pressure string // why no machine should be taken out of service now; empty: no objection
}
