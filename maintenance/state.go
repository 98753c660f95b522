// Package maintenance decides when machines may be taken out for maintenance: boxes, upper caches and the gateways' own. It is a
// state and the commands that change it, replicated among the gateways by package consensus.
//
// A request goes through the stages requested, granted, draining, out of service, returned and warming up to completed:
//
//   - granted: from here on the machine counts as out for all limits, and every gateway is notified;
//   - draining: every gateway that may send has confirmed that it knows of the grant. One that learns of the drain sends the machine nothing
//     more; one that can't learn of it stops when its lease expires, since it knows of the grant;
//   - out of service: every gateway has reported that it has stopped, or its lease has expired, measured from the agreement on the
//     drain by a clock that runs at about the right rate;
//   - returned: the machine has started anew, or an operator has said so. It counts as out until it is warm.
//
// Apply is a pure function of state, command and limits: it does no I/O and reads no clock, and may be called from any goroutine.
package maintenance

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// Stage is where a request stands. Its value is stored.
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

// Ended reports whether a request at that stage is over.
func (s Stage) Ended() bool { return s == Completed || s == Withdrawn }

// countsAsOut reports whether the machine is, or may be, out at that stage.
func (s Stage) countsAsOut() bool { return s != Requested && !s.Ended() }

// maxHistory bounds the transitions that a request keeps: the first, and the latest.
const maxHistory = 12

// Transition is an entry of a request's history.
type Transition struct {
	To     Stage  `json:"to"`
	Actor  string `json:"by"` // gateway or operator
	AtMs   int64  `json:"at"` // Unix time by the clock of the gateway that proposed it; for readers only
	Reason string `json:"why,omitempty"`
}

// Request is one for maintenance of a machine.
type Request struct {
	ID             uint64       `json:"id"`
	Key            string       `json:"key"` // idempotency key
	Machine        string       `json:"machine"`
	Kind           string       `json:"kind"`
	Zone           string       `json:"zone"`
	DurationMs     int64        `json:"for"`             // how long the machine is likely to be out
	DeadlineMs     int64        `json:"due,omitempty"`   // Unix time by when it is wanted; 0: any
	Priority       int          `json:"pri,omitempty"`   // higher goes first
	After          []string     `json:"after,omitempty"` // machines whose open requests go first
	Stage          Stage        `json:"stage"`
	GrantEpoch     uint64       `json:"epoch,omitempty"`
	DrainEpoch     uint64       `json:"drain,omitempty"`
	BootMs         int64        `json:"boot,omitempty"`    // latest start of the machine, when it was granted
	Overdue        bool         `json:"overdue,omitempty"` // out for longer than DurationMs
	TimesOvertaken int          `json:"passed,omitempty"`  // later requests of its group that were granted before it
	Incarnation    uint64       `json:"life,omitempty"`    // of a gateway's own machine: the incarnation that shuts down
	History        []Transition `json:"history,omitempty"`
}

// group names the machines that can stand in for each other.
func (r *Request) group() string { return r.Kind + " " + r.Zone }

// transition takes a request to a stage and adds that to its history.
func (r *Request) transition(c *Command, to Stage, reason string) {
	r.Stage = to
	r.History = append(r.History, Transition{To: to, Actor: c.Actor, AtMs: c.AtMs, Reason: reason})
	if surplus := len(r.History) - maxHistory; surplus > 0 {
		r.History = slices.Delete(r.History, 1, 1+surplus)
	}
}

// AuditLine formats a transition for the audit log.
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

// Gateway is a gateway that may send to machines.
type Gateway struct {
	Incarnation   uint64 `json:"life"`              // new with each start
	NotifiedEpoch uint64 `json:"heard"`             // it knows of all grants up to this epoch, and will not forget them
	StoppedEpoch  uint64 `json:"stopped,omitempty"` // it has stopped sending for all drains up to this epoch
}

// State is what the gateways agree on.
type State struct {
	LastRequestID uint64             `json:"serial"`
	Epoch         uint64             `json:"epoch"` // of the latest grant or drain
	Requests      []*Request         `json:"requests,omitempty"`
	Gateways      map[string]Gateway `json:"gateways,omitempty"`
}

// Decode reads a state; no bytes are the first state.
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

// Encode writes a state; equal states give equal bytes.
func (s *State) Encode() []byte { return mustMarshal(s) }

// mustMarshal encodes a type that can't fail to be encoded.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("maintenance: %v", err))
	}
	return b
}

// Digest tells encoded states apart.
func Digest(encoded []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(encoded) // never fails
	return h.Sum64()
}

// openRequest is the request for a machine that is not over; nil: there is none.
func (s *State) openRequest(machine string) *Request {
	for _, r := range s.Requests {
		if r.Machine == machine && !r.Stage.Ended() {
			return r
		}
	}
	return nil
}

// ExcludedMachines are the machines that a gateway must not send to. One whose lease holds knows which of the granted
// machines drain; one without a lease must assume that all of them do.
func (s *State) ExcludedMachines(hasLease bool) map[string]bool {
	excluded := map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage == Draining || r.Stage == OutOfService || r.Stage == Granted && !hasLease {
			excluded[r.Machine] = true
		}
	}
	return excluded
}

// Summary is the part of a state that every gateway has to know: the epoch, and the machines that are granted, draining or out.
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

// LatestDrainEpoch is the epoch of the newest drain. A gateway that has stopped sending to all ExcludedMachines has stopped for all drains
// up to it.
func (s *State) LatestDrainEpoch() (epoch uint64) {
	for _, r := range s.Requests {
		if r.Stage == Draining || r.Stage == OutOfService {
			epoch = max(epoch, r.DrainEpoch)
		}
	}
	return epoch
}
