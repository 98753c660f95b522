package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Command changes a state. Exactly one of the pointers is set. Actor and AtMs go into the history alone.
type Command struct {
	Actor    string         `json:"by"`
	AtMs     int64          `json:"at"`                 // Unix time
	Request  *RequestSpec   `json:"ask,omitempty"`      // an operator asks for maintenance
	Withdraw *Target        `json:"withdraw,omitempty"` // an operator withdraws a request that is not out of service
	Finish   *Target        `json:"finish,omitempty"`   // an operator says that the work on a machine is done
	Join     *GatewayUpdate `json:"join,omitempty"`     // a gateway has started
	Notified *GatewayUpdate `json:"told,omitempty"`     // a gateway reports what it knows and has stopped for
	Forget   *Target        `json:"forget,omitempty"`   // an operator says that a gateway is gone for good
	Advance  *Observations  `json:"step,omitempty"`     // the coordinator takes all requests forward
}

// RequestSpec asks for maintenance of a machine.
type RequestSpec struct {
	Key        string   `json:"key"` // idempotency key
	Machine    string   `json:"machine"`
	DurationMs int64    `json:"for"`           // how long the machine is likely to be out
	DeadlineMs int64    `json:"due,omitempty"` // Unix time; 0: any
	Priority   int      `json:"pri,omitempty"` // -100 to 100, higher goes first
	After      []string `json:"after,omitempty"`
	Kind       string   `json:"kind"` // Kind and Zone as the gateway observes them that took the order; an empty Kind: unknown machine
	Zone       string   `json:"zone"`
}

// Target names a machine or a gateway.
type Target struct {
	Name   string `json:"name"`
	Reason string `json:"why,omitempty"`
}

// GatewayUpdate is what a gateway reports about itself.
type GatewayUpdate struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"life"`
	NoView        bool   `json:"blank,omitempty"`   // Join: it knows of no state yet, and sends to no machine
	NotifiedEpoch uint64 `json:"heard,omitempty"`   // it knows of all grants up to this epoch
	StoppedEpoch  uint64 `json:"stopped,omitempty"` // Notified: it has stopped sending for all drains up to this epoch
}

// Reply is the result of a command.
type Reply struct {
	ID       uint64 `json:"id,omitempty"`      // of the request that it was about
	Rejected string `json:"refused,omitempty"` // why the state is unchanged; empty: the command was applied
}

// Why a command is rejected, for callers to tell apart by errors.Is.
var (
	ErrUnknownMachine   = errors.New("no such machine")
	ErrAlreadyRequested = errors.New("it has an open request")
	ErrTooManyRequests  = errors.New("too many open requests")
)

// Apply returns the function that applies an encoded command to an encoded state. It is deterministic, and a command that is
// applied twice changes nothing more. A command that is rejected leaves the state as it was, with the reason in the reply.
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

// apply applies a command and returns the ID of the request that it was about; 0: it was about none.
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
		return 0, s.notify(c.Notified)
	case c.Forget != nil:
		return 0, s.forget(c.Forget.Name)
	case c.Advance != nil:
		s.advance(c, l)
		return 0, nil
	}
	return 0, errors.New("an empty command")
}

// join takes in a gateway that has started. One without a view sends nothing before it knows of this state or a later one: it is notified of
// all grants so far. One with a stored view sends by that until then.
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
	s.restarted(c, m)
	return nil
}

// restarted takes in that a gateway whose own machine is to be out runs under another incarnation.
func (s *State) restarted(c *Command, m *GatewayUpdate) {
	r := s.openRequest(m.Name)
	if r == nil || r.Incarnation == m.Incarnation {
		return
	}
	switch r.Stage {
	case Granted, Draining:
		r.transition(c, Requested, "it started anew before it was out")
	case OutOfService:
		r.transition(c, Returned, "it has joined")
	case Requested, Returned, WarmingUp, Completed, Withdrawn: // no incarnation of it shuts down
	}
}

// notify takes in what a gateway knows and has stopped for.
func (s *State) notify(m *GatewayUpdate) error {
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

// forget removes a gateway, so that no request waits for it. It must not be running.
func (s *State) forget(name string) error {
	if _, ok := s.Gateways[name]; !ok {
		return fmt.Errorf("no gateway %q", name)
	}
	delete(s.Gateways, name)
	return nil
}
