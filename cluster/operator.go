package cluster

import (
	"encoding/json"

	"larchusher/consensus"
	"larchusher/maintenance"
)

// maxRelayed bounds the operators' requests that wait for a voter elsewhere; further ones are rejected.
const maxRelayed = 64

// serveOperatorRequest takes a command or a query of an operator's tool, or relays it to a voter.
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
	if err := json.Unmarshal(m.Value, &c); err != nil || !operatorMayGive(&c) {
		n.send(from, Message{Kind: OperatorReply, ID: m.ID, Rejected: "not an order"})
		return
	}
	if c.Request != nil {
		n.describeMachine(c.Request)
	}
	n.submit(r, n.encodeCommand(c))
}

// operatorMayGive reports whether a command is one of an operator's, not one that gateways give.
func operatorMayGive(c *maintenance.Command) bool {
	return c.Advance == nil && c.Join == nil && c.Notified == nil
}

// describeMachine fills in kind and zone of a machine as the gateways observe it; an empty kind: no gateway knows the machine.
func (n *Node) describeMachine(o *maintenance.RequestSpec) {
	m, ok := n.observations().Machines[o.Machine]
	if !ok {
		o.Kind = ""
		return
	}
	o.Kind, o.Zone = m.Kind, m.Zone
}

// relay hands an operator's request on to a voter.
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

// relayReply hands a voter's reply back to whom the request came from.
func (n *Node) relayReply(m Message) {
	r, ok := n.relayed[m.ID]
	if !ok {
		return
	}
	delete(n.relayed, m.ID)
	m.ID = r.message.ID
	n.send(r.from, m)
}

// replyOperator answers a command with its result, and a query from the state that the voters have confirmed.
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
