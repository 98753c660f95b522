// Package maintenance decides when machines may be taken out of service for maintenance: caches, parents and the
// machines of the gateways. It consists of a state and of the commands that change it, which package consensus
// replicates among the gateways.
//
// A maintenance request passes through these stages:
//
//   - requested: the request waits for a grant;
//   - granted: the machine counts as out for all limits, and every gateway is notified;
//   - draining: every gateway that may send to the machine has confirmed that it knows of the grant. A gateway that learns of the
//     drain stops sending to the machine. One that can't learn of it stops when its lease expires, since it knows of the grant;
//   - out of service: every gateway has reported that it has stopped, or all leases have expired. Their expiry is measured from
//     the agreement on the drain, and allows for clocks that run at slightly different rates;
//   - returned: the machine has restarted, or an operator has finished the maintenance. It counts as out until it is warm;
//   - warming up: the machine is up again, but not warm yet;
//   - completed or withdrawn: the request has ended.
//
// Apply is a pure function of state, command and limits. It does no I/O, reads no clock, and may be called from any
// goroutine.
package maintenance

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// Stage is the stage of a request; see the package comment. Its string value is part of the replicated state.
type Stage string

// The stages of a request.
const (
	Requested    Stage = "asked"
	Granted      Stage = "granted"
	Draining     Stage = "draining"
	OutOfService Stage = "out"
	Returned     Stage = "back"
	WarmingUp    Stage = "warming"
	Completed    Stage = "done"
	Withdrawn    Stage = "withdrawn"
)

// Ended reports whether the stage is final.
func (s Stage) Ended() bool { return s == Completed || s == Withdrawn }

// countsAsOut reports whether the machine counts as out for the limits at this stage: it is out, or may go out at any time.
func (s Stage) countsAsOut() bool { return s != Requested && !s.Ended() }

// maxHistory is the maximum number of transitions in a request's history. Beyond it, the oldest after the first is dropped.
const maxHistory = 12

// Transition is an entry in the history of a request.
type Transition struct {
	To     Stage  `json:"to"`
	Actor  string `json:"by"` // gateway or operator that gave the command
	AtMs   int64  `json:"at"` // Unix time in ms by the clock of the proposing gateway; informational, no rule depends on it
	Reason string `json:"why,omitempty"`
}

// Request is a request for maintenance of a machine.
type Request struct {
	ID             uint64       `json:"id"`
	Key            string       `json:"key"` // idempotency key
	Machine        string       `json:"machine"`
	Kind           string       `json:"kind"`
	Zone           string       `json:"zone"`
	DurationMs     int64        `json:"for"`             // expected time out of service, in ms
	DeadlineMs     int64        `json:"due,omitempty"`   // Unix time in ms by which the maintenance should happen; 0: no deadline
	Priority       int          `json:"pri,omitempty"`   // requests with a higher priority are granted first
	After          []string     `json:"after,omitempty"` // machines whose open requests have to end before this one is granted
	Stage          Stage        `json:"stage"`
	GrantEpoch     uint64       `json:"epoch,omitempty"`   // State.Epoch of the latest grant
	DrainEpoch     uint64       `json:"drain,omitempty"`   // State.Epoch of the latest drain
	BootMs         int64        `json:"boot,omitempty"`    // Unix time in ms of the machine's latest start, as of the grant
	Overdue        bool         `json:"overdue,omitempty"` // the machine has been out for longer than DurationMs
	TimesOvertaken int          `json:"passed,omitempty"`  // requests behind it in the queue of its group that were granted before it
	Incarnation    uint64       `json:"life,omitempty"`    // for the machine of a gateway: the gateway's incarnation as of the grant
	History        []Transition `json:"history,omitempty"`
}

// group returns the group of the machine: the machines of one kind and zone can take over each other's load.
func (r *Request) group() string { return r.Kind + " " + r.Zone }

// transition sets the stage of a request and records the transition in its history.
func (r *Request) transition(c *Command, to Stage, reason string) {
	r.Stage = to
	r.History = append(r.History, Transition{To: to, Actor: c.Actor, AtMs: c.AtMs, Reason: reason})
	if surplus := len(r.History) - maxHistory; surplus > 0 {
		r.History = slices.Delete(r.History, 1, 1+surplus)
	}
}

// AuditLine formats a transition of the request for the audit log.
func (r *Request) AuditLine(t Transition) string {
	parts := []string{fmt.Sprintf("work %d on %s: %s", r.ID, r.Machine, t.To), "by " + t.Actor}
	if r.GrantEpoch > 0 {
		parts = append(parts, fmt.Sprintf("epoch %d", r.GrantEpoch))
	}
	if t.Reason != "" {
		parts = append(parts, t.Reason)
	}
	return strings.Join(parts, ", ")
}

// Gateway is the registration of a gateway that may send requests to machines.
type Gateway struct {
	Incarnation   uint64 `json:"life"`              // unique number of the gateway's current start
	NotifiedEpoch uint64 `json:"heard"`             // the gateway knows all grants up to this epoch; with a durable view it has stored them
	StoppedEpoch  uint64 `json:"stopped,omitempty"` // the gateway has stopped sending to all machines drained up to this epoch
}

// State is the replicated state of all maintenance requests.
type State struct {
	LastRequestID uint64             `json:"serial"`
	Epoch         uint64             `json:"epoch"` // number of the latest grant or drain
	Requests      []*Request         `json:"requests,omitempty"`
	Gateways      map[string]Gateway `json:"gateways,omitempty"`
}

// Decode decodes a state. Empty input yields an empty state. It returns an error if the input is not the JSON form of a
// state.
func Decode(value []byte) (*State, error) {
	s := &State{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, s); err != nil {
			return nil, fmt.Errorf("work: state: %w", err)
		}
	}
	if s.Gateways == nil {
		s.Gateways = map[string]Gateway{}
	}
	return s, nil
}

// Encode encodes a state. Equal states have equal encodings.
func (s *State) Encode() []byte { return mustMarshal(s) }

// mustMarshal encodes a value as JSON. It panics if the type can't be encoded, which is a programming error.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("maintenance: encoding a state or a reply as JSON: %v", err))
	}
	return b
}

// Digest returns a hash of an encoded state, to compare states without sending them.
func Digest(encoded []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(encoded) // never fails
	return h.Sum64()
}

// openRequest returns the request for a machine that has not ended, or nil. A machine has at most one.
func (s *State) openRequest(machine string) *Request {
	for _, r := range s.Requests {
		if r.Machine == machine && !r.Stage.Ended() {
			return r
		}
	}
	return nil
}

// ExcludedMachines returns the machines that a gateway must not send to. A gateway with a valid lease knows which of
// the granted machines are draining; one without must assume that all of them are.
func (s *State) ExcludedMachines(hasLease bool) map[string]bool {
	excluded := map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage == Draining || r.Stage == OutOfService || r.Stage == Granted && !hasLease {
			excluded[r.Machine] = true
		}
	}
	return excluded
}

// Summary returns the part of the state that every gateway has to know: the epoch, and the requests that are granted,
// draining or out of service.
func (s *State) Summary() *State {
	summary := &State{Epoch: s.Epoch, Gateways: map[string]Gateway{}}
	for _, r := range s.Requests {
		if r.Stage == Granted || r.Stage == Draining || r.Stage == OutOfService {
			summary.Requests = append(summary.Requests, &Request{ID: r.ID, Machine: r.Machine, Kind: r.Kind, Stage: r.Stage,
				GrantEpoch: r.GrantEpoch, DrainEpoch: r.DrainEpoch, Incarnation: r.Incarnation})
		}
	}
	return summary
}

// LatestDrainEpoch returns the epoch of the latest drain, or 0. A gateway that has stopped sending to all
// ExcludedMachines may report this epoch as its StoppedEpoch.
func (s *State) LatestDrainEpoch() (epoch uint64) {
	for _, r := range s.Requests {
		if r.Stage == Draining || r.Stage == OutOfService {
			epoch = max(epoch, r.DrainEpoch)
		}
	}
	return epoch
}
