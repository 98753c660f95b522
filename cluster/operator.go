package cluster

import (
	"encoding/json"

	"larchusher/consensus"
	"larchusher/maintenance"
)

// maxRelayed bounds the operators' requests that wait for a voter on another gateway; further ones are rejected.
const maxRelayed = 64

// serveOperatorRequest submits a command or a query of an operator's tool to this node's voter, or relays it to a voter on
// another gateway.
func (n *Node) serveOperatorRequest(from string, m Message) {
	if n.voter == nil {
		n.relay(from, m)
		return
	}
	r := pendingRequest{from, m, n.now}
	if m.Query != "" {
		n.submit(r, nil)
		return
	}
	var c maintenance.Command
	if err := json.Unmarshal(m.Value, &c); err != nil || !isOperatorCommand(&c) {
		n.send(from, Message{Kind: OperatorReply, ID: m.ID, Rejected: "not an order"})
		return
	}
	if c.Request != nil {
		n.describeMachine(c.Request)
	}
	n.submit(r, n.encodeCommand(c))
}

// isOperatorCommand reports whether operators may give a command; the others are given by gateways only.
func isOperatorCommand(c *maintenance.Command) bool {
	return c.Advance == nil && c.Join == nil && c.Notified == nil
}

// describeMachine fills in the kind and zone of a machine from the gateways' observations. An empty kind: no gateway knows it.
func (n *Node) describeMachine(o *maintenance.RequestSpec) {
	m, ok := n.observations().Machines[o.Machine]
	if !ok {
		o.Kind = ""
		return
	}
	o.Kind, o.Zone = m.Kind, m.Zone
}

// relay forwards an operator's request to the voter that this node renews its lease with.
func (n *Node) relay(from string, m Message) {
	if len(n.relayed) >= maxRelayed {
		n.send(from, Message{Kind: OperatorReply, ID: m.ID, Rejected: "too many orders are under way"})
		return
	}
	n.lastID++
	n.relayed[n.lastID] = pendingRequest{from, m, n.now}
	m.ID = n.lastID
	n.send(n.cfg.Voters[n.targetVoter], m)
}

// relayReply returns a voter's reply to the sender of the relayed request.
func (n *Node) relayReply(m Message) {
	r, ok := n.relayed[m.ID]
	if !ok {
		return
	}
	delete(n.relayed, m.ID)
	m.ID = r.message.ID
	n.send(r.from, m)
}

// replyOperator answers a command with its result, and a query with the state that the voters have confirmed.
func (n *Node) replyOperator(r pendingRequest, d consensus.Completed) {
	m := Message{Kind: OperatorReply, ID: r.message.ID, Value: d.Reply, Revision: d.State.Revision}
	switch r.message.Query {
	case queryState:
		m.Value = d.State.Value
	case queryPlan:
		if s, err := maintenance.Decode(d.State.Value); err == nil {
			m.Value = mustMarshal(s.Plan(n.observations(), n.cfg.Limits))
		}
	}
	n.send(r.from, m)
}
