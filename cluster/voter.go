package cluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
)

const (
	// maxPending bounds the requests that wait for this node's voter; further ones are dropped.
	maxPending = 256
	// requestTimeout is how long a request may wait for a voter, of this node or another, before it is abandoned.
	requestTimeout = 8 * time.Second
)

// pendingRequest is a lease request or an operator's request that waits for a voter's reply.
type pendingRequest struct {
	from    string
	message Message
	at      time.Duration
}

// submit proposes a command to this node's voter on behalf of a request, or starts a read if the command is nil. complete
// answers the request.
func (n *Node) submit(r pendingRequest, command []byte) {
	if len(n.pending) >= maxPending {
		n.Counters.Dropped++
		return
	}
	n.lastID++
	id := strconv.FormatUint(n.lastID, 10)
	n.pending[id] = r
	if command != nil {
		n.stepVoter(consensus.Propose{ID: id, Command: command})
	} else {
		n.stepVoter(consensus.Read{ID: id})
	}
}

// stepVoter passes an event to this node's voter and carries out the voter's actions.
func (n *Node) stepVoter(e consensus.Event) {
	for _, a := range n.voter.Handle(n.now, e, nil) {
		switch a := a.(type) {
		case consensus.Send:
			n.emit(Send{To: a.To, Message: Message{Kind: ConsensusMessage, Consensus: a.Message}})
		case consensus.StoreState:
			n.emit(StoreAcceptorState{a})
		case consensus.Completed:
			n.complete(a)
		case consensus.Learned:
			n.emitAudit(a.State)
		}
	}
}

// complete answers the request on whose behalf a proposal or a read was submitted.
func (n *Node) complete(d consensus.Completed) {
	r, ok := n.pending[d.ID]
	if !ok {
		return
	}
	delete(n.pending, d.ID)
	switch {
	case d.Rejected:
		n.Counters.Dropped++
	case r.message.Kind == RenewLease:
		n.replyView(r, d)
	case r.message.Kind == OperatorRequest:
		n.replyOperator(r, d)
	}
}

// chosenState returns the newest state that this node's voter knows to be chosen; other voters may know a newer one. The
// caller must not change it. It reports false if no state is known or it can't be decoded.
func (n *Node) chosenState() (*maintenance.State, bool) {
	s, ok := n.voter.Chosen()
	if !ok {
		return nil, false
	}
	if n.chosen == nil || n.chosenRevision != s.Revision {
		decoded, err := maintenance.Decode(s.Value)
		if err != nil {
			return nil, false
		}
		n.chosen, n.chosenRevision = decoded, s.Revision
	}
	return n.chosen, true
}

// serveLeaseRequest has the voters confirm the agreed state for a gateway. If the gateway reports something new about itself,
// that is proposed as a change of the state in the same step.
func (n *Node) serveLeaseRequest(from string, m Message) {
	n.submit(pendingRequest{from, m, n.now}, n.memberCommand(from, m))
}

// memberCommand returns the command that records in the agreed state what a gateway reports of itself: its incarnation and its
// epochs. It returns nil if they are recorded already.
func (n *Node) memberCommand(from string, m Message) []byte {
	s, ok := n.chosenState()
	if !ok { // no state is known yet, as before the first gateway joins
		return n.joinCommand(from, m)
	}
	g, joined := s.Gateways[from]
	switch {
	case !joined || g.Incarnation != m.Incarnation:
		return n.joinCommand(from, m)
	case m.NotifiedEpoch > g.NotifiedEpoch || m.StoppedEpoch > g.StoppedEpoch:
		return n.encodeCommand(maintenance.Command{Actor: from, Notified: &maintenance.GatewayUpdate{Name: from, Incarnation: m.Incarnation,
			NotifiedEpoch: m.NotifiedEpoch, StoppedEpoch: m.StoppedEpoch}})
	}
	return nil
}

func (n *Node) joinCommand(from string, m Message) []byte {
	return n.encodeCommand(maintenance.Command{Actor: from, Join: &maintenance.GatewayUpdate{Name: from, Incarnation: m.Incarnation, NoView: m.NoView,
		NotifiedEpoch: m.NotifiedEpoch}})
}

// encodeCommand encodes a command after setting its time, and its actor to this node if it has none.
func (n *Node) encodeCommand(c maintenance.Command) []byte {
	c.Actor, c.AtMs = cmp.Or(c.Actor, n.cfg.Self), n.cfg.WallClockMs()
	return mustMarshal(c)
}

// mustMarshal encodes a value as JSON and panics on an error, which the types that it is used for can't cause.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("cluster: encoding a command or a reply as JSON: %v", err))
	}
	return b
}

// replyView answers a lease request with the state that the voters have confirmed.
func (n *Node) replyView(r pendingRequest, d consensus.Completed) {
	s, ok := n.chosenState()
	if !ok || n.chosenRevision != d.State.Revision {
		return
	}
	// A gateway gets no lease before its incarnation has joined, since drains don't wait for a gateway that has not joined.
	if s.Gateways[r.from].Incarnation != r.message.Incarnation {
		return
	}
	view := s.Summary().Encode()
	m := Message{Kind: View, ID: r.message.ID, Revision: d.State.Revision, ViewDigest: maintenance.Digest(view)}
	if r.message.ViewDigest != m.ViewDigest {
		m.Value = view
	}
	n.send(r.from, m)
}

// emitAudit emits an AuditEntry for each transition that the histories of the requests have gained since the last call.
func (n *Node) emitAudit(s consensus.State) {
	decoded, err := maintenance.Decode(s.Value)
	if err != nil {
		return
	}
	present := map[uint64]bool{}
	for _, r := range decoded.Requests {
		present[r.ID] = true
		for _, t := range newTransitions(n.auditedHistories[r.ID], r.History) {
			n.emit(AuditEntry{r.AuditLine(t)})
		}
		n.auditedHistories[r.ID] = r.History
	}
	maps.DeleteFunc(n.auditedHistories, func(id uint64, _ []maintenance.Transition) bool { return !present[id] })
}

// newTransitions returns the transitions that a history has gained over an earlier version of it. A history keeps its first entry
// and the latest ones and drops those between, so the two can't be compared by their lengths.
func newTransitions(earlier, history []maintenance.Transition) []maintenance.Transition {
	if len(earlier) == 0 || len(history) == 0 {
		return history
	}
	kept, latest := earlier[1:], history[1:]
	for len(kept) > len(latest) || !slices.Equal(kept, latest[:len(kept)]) {
		kept = kept[1:]
	}
	return latest[len(kept):]
}
