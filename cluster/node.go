// Package cluster lets the gateways of a cluster agree on which machines are taken out of service for maintenance, and when.
//
// A node has up to three roles. As a gateway it renews a lease on its view of the agreed state, and decides which machines
// may be sent to (lease.go, drain.go). Some nodes are voters as well: they store the state by package consensus and answer
// the other gateways and the operators' tools (voter.go, operator.go). One voter, the coordinator, moves maintenance requests
// from stage to stage (coordinator.go).
//
// The reply to a lease request contains the state that a majority of the voters confirmed after the request arrived, so the
// gateway knows everything that was agreed on when it sent the request. The lease holds from that time for Limits.Lease by
// the gateway's own clock. A gateway without a lease keeps serving. It then treats granted machines as drained. No other
// machine can go out of service unnoticed, since no machine is drained before every gateway has confirmed that it knows of
// the grant.
//
// The package does no I/O, reads no clock and starts no goroutine: its caller passes events to Node.Handle, one at a time,
// and carries out the actions that it returns, in their order. The same events give the same actions.
package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
)

// Node is the state machine of one gateway in the cluster. Create it with [New]. It is not safe for concurrent use.
type Node struct {
	Counters Counters

	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action // returned by the current call of Handle
	lastID  uint64   // used for lease requests, relayed requests and submissions to this node's voter

	// The view and its lease (lease.go).
	view                   *maintenance.State // a summary of the agreed state; nil: none is known
	viewDigest             uint64
	viewRevision           uint64
	storingRevision        uint64        // revision of the view that StoreView was emitted for last
	durableEpoch           uint64        // epoch of the latest view that is stored
	leaseUntil             time.Duration // on the clock of Handle
	nextLeaseRequest       time.Duration
	leaseRequests          map[uint64]time.Duration // time of sending, by ID, of the requests that have no reply yet
	targetVoter            int                      // index in Voters of the voter that lease requests go to
	repliesSinceFirstVoter int                      // replies since the first voter was last switched to
	unanswered             int                      // consecutive lease requests without a reply

	// The machines that must not be sent to (drain.go).
	draining          DrainMachines // as emitted last
	drainedUnderLease bool          // draining was derived while the lease held
	stoppedEpoch      uint64        // the gateway has stopped sending for all drains up to this epoch
	shuttingDown      bool          // ShutDown was emitted
	shutdownComplete  bool          // ShutdownCompleted was received

	// The voter (voter.go, operator.go).
	voter            *consensus.Voter   // nil: this node is not a voter
	chosen           *maintenance.State // the decoded state of revision chosenRevision
	chosenRevision   uint64
	pending          map[string]pendingRequest           // by the ID of the submission to this node's voter
	relayed          map[uint64]pendingRequest           // by the ID under which they were relayed to another voter
	auditedHistories map[uint64][]maintenance.Transition // by request ID: the history of which all transitions were emitted

	// The coordinator (coordinator.go).
	ownReport    Report
	reports      map[string]receivedReport
	lastReceived map[string]time.Duration   // time of the latest message, by member
	stageSince   map[stageKey]time.Duration // time at which this node first saw a request at a stage
	nextAdvance  time.Duration
}

// New returns a node. It fails for a setting that is not valid, which the error names, and for a stored view that can't be
// decoded.
func New(c Config) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:              c,
		rng:              rand.New(rand.NewPCG(c.Seed, 0xc2b2ae35)),
		leaseRequests:    map[uint64]time.Duration{},
		pending:          map[string]pendingRequest{},
		relayed:          map[uint64]pendingRequest{},
		auditedHistories: map[uint64][]maintenance.Transition{},
		reports:          map[string]receivedReport{},
		lastReceived:     map[string]time.Duration{},
		stageSince:       map[stageKey]time.Duration{},
	}
	if slices.Contains(c.Voters, c.Self) {
		var err error
		n.voter, err = consensus.New(consensus.Config{Self: c.Self, Voters: c.Voters, Acceptor: c.Acceptor, Apply: maintenance.Apply(c.Limits),
			RoundTimeout: c.RoundTimeout, ReadInterval: c.ReadInterval, Seed: c.Seed})
		if err != nil {
			return nil, err
		}
	}
	if c.View != nil {
		s, err := maintenance.Decode(c.View)
		if err != nil {
			return nil, fmt.Errorf("cluster: View: %w", err)
		}
		n.view, n.durableEpoch, n.viewDigest = s, s.Epoch, maintenance.Digest(c.View)
	}
	return n, nil
}

// ExtendDrainGrace raises Limits.DrainGrace to at least d; it never lowers it, because attempts that were sent under the longer
// one may still be running.
func (n *Node) ExtendDrainGrace(d time.Duration) {
	n.cfg.Limits.DrainGrace = max(n.cfg.Limits.DrainGrace, d)
}

// Handle processes one event at the given time, on a steady clock that never goes backwards, and appends the resulting actions
// to out.
func (n *Node) Handle(now time.Duration, e Event, out []Action) []Action {
	n.now, n.actions = now, out
	switch e := e.(type) {
	case MessageReceived:
		n.receive(e.From, e.Message)
	case ReportUpdated:
		n.ownReport = e.Report
		n.reports[n.cfg.Self] = receivedReport{e.Report, now}
	case DrainCompleted:
		n.drainCompleted(e.Generation)
	case AcceptorStateStored:
		if n.voter != nil {
			n.stepVoter(consensus.StateStored{Number: e.Number})
		}
	case ViewStored:
		n.viewStored(e.Revision)
	case ShutdownCompleted:
		n.shutdownCompleted()
	case Tick:
		n.tick()
	}
	out, n.actions = n.actions, nil
	return out
}

// Ready reports whether the gateway may send to machines: it has a view, received from a voter or stored by an earlier process.
func (n *Node) Ready() bool { return n.view != nil }

// View returns a summary of the agreed state as this gateway knows it; nil if none is known. The caller must not change it.
func (n *Node) View() *maintenance.State { return n.view }

// ConsensusCounters returns the counters of this node's voter; false if the node is not a voter.
func (n *Node) ConsensusCounters() (consensus.Counters, bool) {
	if n.voter == nil {
		return consensus.Counters{}, false
	}
	return n.voter.Counters, true
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// send sends a message. A message to this node itself is received immediately, without an action.
func (n *Node) send(to string, m Message) {
	if to == n.cfg.Self {
		n.receive(to, m)
		return
	}
	n.emit(Send{To: to, Message: m})
}

func (n *Node) tick() {
	if n.view != nil && n.drainedUnderLease && n.now >= n.leaseUntil {
		n.Counters.LeaseExpirations++
		n.updateDrain()
	}
	if n.now >= n.nextLeaseRequest {
		n.requestLease()
	}
	n.expireRequests()
	if n.voter == nil {
		return
	}
	n.stepVoter(consensus.Tick{})
	for id, r := range n.pending {
		if n.now-r.at > requestTimeout {
			delete(n.pending, id)
		}
	}
	if n.now >= n.nextAdvance {
		n.nextAdvance = n.now + advanceInterval
		n.advance()
	}
}

// expireRequests abandons relayed requests and lease requests that no voter has answered in time.
func (n *Node) expireRequests() {
	for id, r := range n.relayed {
		if n.now-r.at > requestTimeout {
			delete(n.relayed, id)
		}
	}
	for id, at := range n.leaseRequests {
		if n.now-at > n.cfg.Limits.Lease {
			delete(n.leaseRequests, id)
		}
	}
}

// receive handles a message. From senders that are not members only operators' requests are accepted.
func (n *Node) receive(from string, m Message) {
	member := slices.Contains(n.cfg.Members, from)
	if member {
		n.lastReceived[from] = n.now
	}
	switch m.Kind {
	case ConsensusMessage:
		if n.voter != nil && member {
			n.stepVoter(consensus.MessageReceived{From: from, Message: m.Consensus})
		}
	case RenewLease:
		if n.voter == nil || !member {
			n.Counters.NonMembers++
			return
		}
		if m.Report != nil {
			n.reports[from] = receivedReport{*m.Report, n.now}
		}
		n.serveLeaseRequest(from, m)
	case View:
		if member {
			n.receiveView(m)
		}
	case OperatorRequest:
		n.serveOperatorRequest(from, m)
	case OperatorReply:
		if member {
			n.relayReply(m)
		}
	default:
		n.Counters.Unknown++
	}
}
