// Package cluster is a gateway's part in what the gateways agree on: which machines are taken out for maintenance, and when.
//
// A node has up to three roles. As a gateway it renews a lease on its view of the agreed state, and says which machines may be
// sent to (lease.go, drain.go). Some nodes are voters as well: they keep the state by package consensus and answer the other gateways and the
// operators' tools (voter.go, operator.go). One voter, the coordinator, takes the maintenance plan forward (coordinator.go).
//
// A lease request is answered with the state that a majority confirmed after the request came, so that the gateway knows what
// was agreed on when it asked. From then on its lease holds for Limits.Lease by its own clock. A gateway without a lease goes on serving:
// it takes granted machines for drained, and no other machine can be taken out, since none is drained before every
// gateway has confirmed that it knows of the grant.
//
// The package does no I/O, reads no clock and starts no goroutine: its caller hands events to Node.Handle, one at a time, and carries out
// the actions that it returns, in their order. The same events give the same actions.
package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
)

// Node is one gateway's part. Use New. It is not safe for concurrent use.
type Node struct {
	Counters Counters

	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action // of the event that is being handled
	lastID  uint64   // of lease requests, relayed requests, and requests to the voter here

	// The view and its lease (lease.go).
	view                   *maintenance.State // a summary; nil: none is known
	viewDigest             uint64
	viewRevision           uint64
	storingRevision        uint64        // of the view that was to be stored last
	durableEpoch           uint64        // epoch of the latest view that is stored
	leaseUntil             time.Duration // by the clock of Handle
	nextLeaseRequest       time.Duration
	leaseRequests          map[uint64]time.Duration // without an answer yet, by ID: when they were sent
	targetVoter            int                      // index of the voter that is asked
	repliesSinceFirstVoter int                      // since the first voter was tried
	unanswered             int                      // requests in a row

	// What may not be sent to (drain.go).
	draining          DrainMachines // the latest
	drainedUnderLease bool          // it was derived while the lease held
	stoppedEpoch      uint64        // the gateway has stopped sending for all drains up to this epoch
	shuttingDown      bool          // ShutDown was emitted
	shutDown          bool          // and is completed

	// The voter (voter.go, operator.go).
	voter            *consensus.Voter   // nil: this node does not vote
	chosen           *maintenance.State // decoded state of chosenRevision
	chosenRevision   uint64
	pending          map[string]pendingRequest           // by the ID under which the voter here was asked
	relayed          map[uint64]pendingRequest           // sent on to a voter elsewhere, by ID
	auditedHistories map[uint64][]maintenance.Transition // by request: its history as it was emitted

	// The coordinator (coordinator.go).
	ownReport    Report
	reports      map[string]receivedReport
	lastReceived map[string]time.Duration   // from each member
	stageSince   map[stageKey]time.Duration // since when this node has seen requests at their stages
	nextAdvance  time.Duration
}

// New returns a node. An error names the setting that is not valid, or that the stored view can't be read.
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

// ExtendDrainGrace has the time until a drained machine counts as left be at least d from now on. It is never shortened: what was
// sent under the longer one may still run.
func (n *Node) ExtendDrainGrace(d time.Duration) {
	n.cfg.Limits.DrainGrace = max(n.cfg.Limits.DrainGrace, d)
}

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
func (n *Node) Handle(now time.Duration, e Event, out []Action) []Action {
	n.now, n.actions = now, out
	switch e := e.(type) {
	case MessageReceived:
		n.receive(e.From, e.Message)
	case ReportUpdated:
		n.ownReport = e.Report
		n.reports[n.cfg.Self] = receivedReport{e.Report, now}
	case DrainCompleted:
		n.drained(e.Generation)
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

// Ready reports whether the gateway may send to any machine: it knows of a view, its own or one that was stored.
func (n *Node) Ready() bool { return n.view != nil }

// View is a summary of the agreed state as this gateway knows it; nil: none is known. It is not to be changed.
func (n *Node) View() *maintenance.State { return n.view }

// ConsensusCounters are those of the voter here; false: this node does not vote.
func (n *Node) ConsensusCounters() (consensus.Counters, bool) {
	if n.voter == nil {
		return consensus.Counters{}, false
	}
	return n.voter.Counters, true
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// send sends a message; one to the node itself is received at once.
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

// expireRequests gives up what other nodes have not answered in time.
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

// receive takes a message. Only operator requests are taken from others than members.
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
