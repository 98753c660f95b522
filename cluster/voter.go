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
	// maxPending bounds the requests that wait for the voter here; further ones are dropped.
	maxPending = 256
	// requestTimeout is how long a request may wait for a voter, here or elsewhere, before it is given up.
	requestTimeout = 8 * time.Second
)

// pendingRequest is a lease request or an operator's request that waits for a voter.
type pendingRequest struct {
	from    string
	message Message
	at      time.Duration
}

// submit proposes a command to the voter here, or reads the state if there is none, for a request that waits for the outcome.
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

// stepVoter hands an event to the voter here and carries out its actions.
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

// complete answers the request that a proposal or a read was made for.
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

// chosenState is the newest state that the voter here knows to be chosen; it may be old. It is not to be changed.
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

// serveLeaseRequest has the voters confirm the state for a gateway. What it reports of itself is agreed on first, if that is new.
func (n *Node) serveLeaseRequest(from string, m Message) {
	n.submit(pendingRequest{from, m, n.now}, n.memberCommand(from, m))
}

// memberCommand takes what a gateway reports of itself into the agreed state; nil: it stands there already.
func (n *Node) memberCommand(from string, m Message) []byte {
	s, ok := n.chosenState()
	if !ok { // the first gateway of all
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

// encodeCommand adds who gives a command, if it names nobody, and when.
func (n *Node) encodeCommand(c maintenance.Command) []byte {
	c.Actor, c.AtMs = cmp.Or(c.Actor, n.cfg.Self), n.cfg.WallClockMs()
	return mustMarshal(c)
}

// mustMarshal encodes a type that can't fail to be encoded.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("cluster: %v", err))
	}
	return b
}

// replyView answers a lease request with the state that the voters have confirmed.
func (n *Node) replyView(r pendingRequest, d consensus.Completed) {
	s, ok := n.chosenState()
	if !ok || n.chosenRevision != d.State.Revision {
		return
	}
	// A gateway whose incarnation has not joined gets no lease: drains would not wait for it.
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

// emitAudit emits what is new in the histories of the requests.
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

// newTransitions returns what a history has and an earlier one of the same request had not. A history keeps its first entry and the
// latest ones, so that its length does not tell.
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
