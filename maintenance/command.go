package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Command is a change of the state. Exactly one of the pointers is set. Actor and AtMs are only recorded in the history.
type Command struct {
	Actor    string         `json:"by"`
	AtMs     int64          `json:"at"`                 // Unix time in ms
	Request  *RequestSpec   `json:"ask,omitempty"`      // operator: request maintenance
	Withdraw *Target        `json:"withdraw,omitempty"` // operator: withdraw a request whose machine is not out of service yet
	Finish   *Target        `json:"finish,omitempty"`   // operator: the maintenance of a machine is done
	Join     *GatewayUpdate `json:"join,omitempty"`     // gateway: it has started
	Notified *GatewayUpdate `json:"told,omitempty"`     // gateway: the grants that it knows, and the drains for which it has stopped sending
	Forget   *Target        `json:"forget,omitempty"`   // operator: remove a gateway that will not come back
	Advance  *Observations  `json:"step,omitempty"`     // coordinator: advance all requests as far as the observations allow
}

// RequestSpec specifies a maintenance request.
type RequestSpec struct {
	Key        string   `json:"key"` // idempotency key
	Machine    string   `json:"machine"`
	DurationMs int64    `json:"for"`             // expected time out of service, in ms; up to 30 days
	DeadlineMs int64    `json:"due,omitempty"`   // Unix time in ms by which the maintenance should happen; 0: no deadline
	Priority   int      `json:"pri,omitempty"`   // -100 to 100; higher priorities are granted first
	After      []string `json:"after,omitempty"` // machines whose open requests have to end before this one is granted
	Kind       string   `json:"kind"`            // set by the gateway that receives the request, as observed; empty: unknown machine
	Zone       string   `json:"zone"`            // set like Kind
}

// Target is the machine or gateway that a command is about.
type Target struct {
	Name   string `json:"name"`
	Reason string `json:"why,omitempty"` // given by the operator, for the history
}

// GatewayUpdate is the report of a gateway about itself.
type GatewayUpdate struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"life"`
	NoView        bool   `json:"blank,omitempty"`   // in Join: the gateway has no stored state yet, and sends to no machine
	NotifiedEpoch uint64 `json:"heard,omitempty"`   // the gateway knows of all grants up to this epoch
	StoppedEpoch  uint64 `json:"stopped,omitempty"` // in Notified: the gateway has stopped sending for all drains up to this epoch
}

// Reply is the result of a command.
type Reply struct {
	ID       uint64 `json:"id,omitempty"`      // ID of the request that the command was about; 0: none
	Rejected string `json:"refused,omitempty"` // reason why the command was rejected; empty: the command was applied
}

// Errors for which a command is rejected; match them with errors.Is. Their texts are part of [Reply.Rejected].
var (
	ErrUnknownMachine   = errors.New("no such machine")
	ErrAlreadyRequested = errors.New("it has an open request")
	ErrTooManyRequests  = errors.New("too many open requests")
)

// Apply returns a function that applies an encoded Command to an encoded State under the given limits, and returns the
// encoded next state and the encoded Reply. The function is deterministic. A command that is applied twice changes no
// more than if it is applied once, except for an Advance, which may move a request on by a further stage. A rejected
// command leaves the state unchanged; the reply gives the reason.
func Apply(l Limits) func(value, command []byte) (next, reply []byte) {
	return func(value, command []byte) ([]byte, []byte) {
		s, err := Decode(value)
		var c Command
		if err == nil {
			err = json.Unmarshal(command, &c)
		}
		if err != nil {
			return value, mustMarshal(Reply{Rejected: err.Error()})
		}
		id, err := s.apply(&c, l)
		if err != nil {
			return value, mustMarshal(Reply{ID: id, Rejected: err.Error()})
		}
		return s.Encode(), mustMarshal(Reply{ID: id})
	}
}

// apply applies a command and returns the ID of the request that it is about, or 0. An error means that the command is
// rejected.
func (s *State) apply(c *Command, l Limits) (requestID uint64, err error) {
	switch {
	case c.Request != nil:
		return s.addRequest(c)
	case c.Withdraw != nil:
		return s.withdraw(c)
	case c.Finish != nil:
		return s.finish(c)
	case c.Join != nil:
		return 0, s.join(c)
	case c.Notified != nil:
		return 0, s.recordNotified(c.Notified)
	case c.Forget != nil:
		return 0, s.forget(c.Forget.Name)
	case c.Advance != nil:
		s.advance(c, l)
		return 0, nil
	}
	return 0, errors.New("an empty command")
}

// join registers a new incarnation of a gateway. A gateway without a stored state sends to no machine before it has
// received this state or a later one, so it counts as notified of all grants so far. A gateway with a stored state
// sends by that state until then, so it counts as notified only up to the epoch of that state.
func (s *State) join(c *Command) error {
	m := c.Join
	if m.Name == "" || len(m.Name) > maxNameLength || m.Incarnation == 0 {
		return fmt.Errorf("join: name %q, life %d", m.Name, m.Incarnation)
	}
	old, known := s.Gateways[m.Name]
	if known && old.Incarnation == m.Incarnation {
		return nil
	}
	if !known && len(s.Gateways) >= maxGateways {
		return fmt.Errorf("join: there are %d gateways", len(s.Gateways))
	}
	notified := s.Epoch
	if !m.NoView {
		notified = min(m.NotifiedEpoch, s.Epoch)
	}
	s.Gateways[m.Name] = Gateway{Incarnation: m.Incarnation, NotifiedEpoch: notified}
	s.handleRestart(c, m)
	return nil
}

// handleRestart advances the request for a gateway's own machine when the gateway joins under another incarnation:
// before the machine is out of service the grant is revoked, and afterwards the machine has returned.
func (s *State) handleRestart(c *Command, m *GatewayUpdate) {
	r := s.openRequest(m.Name)
	if r == nil || r.Incarnation == m.Incarnation {
		return
	}
	switch r.Stage {
	case Granted, Draining:
		r.transition(c, Requested, "it started anew before it was out")
	case OutOfService:
		r.transition(c, Returned, "it has joined")
	case Requested, Returned, WarmingUp, Completed, Withdrawn: // a restart does not affect these stages
	}
}

// recordNotified records the epochs up to which a gateway knows of all grants, and has stopped sending for all drains.
// It rejects a report of another incarnation or of an epoch that does not exist yet.
func (s *State) recordNotified(m *GatewayUpdate) error {
	g, ok := s.Gateways[m.Name]
	if !ok || g.Incarnation != m.Incarnation {
		return fmt.Errorf("%s has joined with another life", m.Name)
	}
	if m.NotifiedEpoch > s.Epoch || m.StoppedEpoch > s.Epoch {
		return fmt.Errorf("%s has heard of %d, the epoch is %d", m.Name, max(m.NotifiedEpoch, m.StoppedEpoch), s.Epoch)
	}
	g.NotifiedEpoch = max(g.NotifiedEpoch, m.NotifiedEpoch)
	g.StoppedEpoch = max(g.StoppedEpoch, m.StoppedEpoch)
	s.Gateways[m.Name] = g
	return nil
}

// forget removes a gateway, so that no request waits for it any more. The gateway must not be running.
func (s *State) forget(name string) error {
	if _, ok := s.Gateways[name]; !ok {
		return fmt.Errorf("no gateway %q", name)
	}
	delete(s.Gateways, name)
	return nil
}
