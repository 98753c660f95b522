// Package maintenance settles in which order machines are taken out for work: boxes, upper caches and the gateways' own. It is a
// state with commands that change it, to be kept by agreement among gateways; all decisions are functions of the state and of
// what one of them has observed. It does no I/O and reads no clock.
//
// A machine goes through asked, granted, draining, out, back and warming to done. Each step forward is safe by itself:
//
//   - granted: it counts as out for all bounds from here on, and every gateway is told;
//   - draining: every gateway that may send has heard of the grant. From now on one that hears of the state sends it nothing,
//     and one that can't hear of it stops by itself when its lease runs out, since it knows of the grant;
//   - out: every gateway has said that it has stopped, or its lease has run out, as measured from after the drain was
//     agreed on by a clock that need only run at about the right pace;
//   - back: it has started anew, or was said to be done. It counts as out until it is warm.
package maintenance

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Stage is where a request for work stands.
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

// Ended says that nothing more comes of a request at that stage.
func (s Stage) Ended() bool { return s == Completed || s == Withdrawn }

// countsAsOut says that a machine is, or may be, out at that stage.
func (s Stage) countsAsOut() bool { return s != Requested && !s.Ended() }

const (
	maxOpenRequests  = 128 // requests that are not ended
	maxEndedRequests = 64  // that are kept for those who look
	maxHistory       = 12  // of a request's history
	maxNameLength    = 64
	maxPredecessors  = 16
	maxGateways      = 1024
)

// Transition is a line of a request's history: who moved it where, when by that one's clock, and why.
type Transition struct {
	To     Stage  `json:"to"`
	Actor  string `json:"by"`
	AtMs   int64  `json:"at"` // Unix time
	Reason string `json:"why,omitempty"`
}

// Request is one for work on a machine.
type Request struct {
	ID             uint64       `json:"id"`
	Key            string       `json:"key"` // of who asked: the same for all tries
	Machine        string       `json:"machine"`
	Kind           string       `json:"kind"`
	Zone           string       `json:"zone"`
	DurationMs     int64        `json:"for"`             // how long it is likely to be out
	DeadlineMs     int64        `json:"due,omitempty"`   // Unix time by when it is wanted; 0: any
	Priority       int          `json:"pri,omitempty"`   // higher goes first
	After          []string     `json:"after,omitempty"` // machines whose open requests go first
	Stage          Stage        `json:"stage"`
	GrantEpoch     uint64       `json:"epoch,omitempty"`   // of its grant
	DrainEpoch     uint64       `json:"drain,omitempty"`   // epoch of its drain
	BootMs         int64        `json:"boot,omitempty"`    // its start, when it was granted
	Overdue        bool         `json:"overdue,omitempty"` // out for longer than was said
	TimesOvertaken int          `json:"passed,omitempty"`  // later ones of its group that were granted before it
	Incarnation    uint64       `json:"life,omitempty"`    // of a gateway's own turn: the life that leaves
	History        []Transition `json:"history,omitempty"`
}

func (r *Request) group() string { return r.Kind + " " + r.Zone }

// Gateway is one that may send to stores.
type Gateway struct {
	Incarnation   uint64 `json:"life"`              // new with each start
	NotifiedEpoch uint64 `json:"heard"`             // it knows of all grants up to this epoch, and will not forget them
	StoppedEpoch  uint64 `json:"stopped,omitempty"` // it has stopped sending for all drains up to this epoch
}

// State is what gateways agree on.
type State struct {
	LastRequestID uint64             `json:"serial"`
	Epoch         uint64             `json:"epoch"` // of the latest grant or drain
	Requests      []*Request         `json:"requests,omitempty"`
	Gateways      map[string]Gateway `json:"gateways,omitempty"`
}

// Decode reads a state; empty is one that just begins.
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

// Encode words a state, equal ones alike.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("work: %v", err)) // none of its types can fail
	}
	return b
}

// Command changes a state. One of its parts is set. By and AtMs go into the history alone.
type Command struct {
	Actor    string         `json:"by"`
	AtMs     int64          `json:"at"`
	Request  *RequestOrder  `json:"ask,omitempty"`
	Withdraw *Target        `json:"withdraw,omitempty"`
	Finish   *Target        `json:"finish,omitempty"`
	Join     *GatewayUpdate `json:"join,omitempty"`
	Notified *GatewayUpdate `json:"told,omitempty"`
	Forget   *Target        `json:"forget,omitempty"`
	Advance  *Observations  `json:"step,omitempty"`
}

// RequestOrder asks for work on a machine.
type RequestOrder struct {
	Key        string   `json:"key"`
	Machine    string   `json:"machine"`
	DurationMs int64    `json:"for"`
	DeadlineMs int64    `json:"due,omitempty"`
	Priority   int      `json:"pri,omitempty"`
	After      []string `json:"after,omitempty"`
	Kind       string   `json:"kind"` // as the list of the gateway says that was asked
	Zone       string   `json:"zone"`
}

// Target names a machine or gateway, and says why.
type Target struct {
	Name   string `json:"name"`
	Reason string `json:"why,omitempty"`
}

// GatewayUpdate is a gateway's word about itself. Blank: it knows of no state yet, and sends to nothing.
type GatewayUpdate struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"life"`
	NoView        bool   `json:"blank,omitempty"`
	NotifiedEpoch uint64 `json:"heard,omitempty"`
	StoppedEpoch  uint64 `json:"stopped,omitempty"`
}

// Reply is what a command came to. Refused says why nothing did.
type Reply struct {
	ID       uint64 `json:"id,omitempty"`
	Rejected string `json:"refused,omitempty"`
}

// Apply applies a command to an encoded state. It is the same everywhere; a command that comes twice changes nothing more.
func Apply(b Limits) func(value, command []byte) (next, reply []byte) {
	return func(value, command []byte) ([]byte, []byte) {
		answer := func(r Reply) []byte {
			out, err := json.Marshal(r)
			if err != nil {
				panic(fmt.Sprintf("work: %v", err))
			}
			return out
		}
		s, err := Decode(value)
		var c Command
		if err == nil {
			err = json.Unmarshal(command, &c)
		}
		if err != nil {
			return value, answer(Reply{Rejected: err.Error()})
		}
		r, err := s.apply(&c, b)
		if err != nil {
			return value, answer(Reply{ID: r.ID, Rejected: err.Error()})
		}
		return s.Encode(), answer(r)
	}
}

// Refusals that callers tell apart.
var (
	ErrUnknownMachine   = errors.New("no such machine")
	ErrAlreadyRequested = errors.New("it has an open request")
	ErrTooManyRequests  = errors.New("too many open requests")
)

func (s *State) apply(c *Command, b Limits) (Reply, error) {
	switch {
	case c.Request != nil:
		return s.addRequest(c)
	case c.Withdraw != nil:
		return s.withdraw(c)
	case c.Finish != nil:
		r := s.openRequest(c.Finish.Name)
		if r == nil || r.Stage != OutOfService {
			return Reply{}, fmt.Errorf("%q is not out", c.Finish.Name)
		}
		r.transition(c, Returned, cmp.Or(c.Finish.Reason, "said to be done"))
		return Reply{ID: r.ID}, nil
	case c.Join != nil:
		return Reply{}, s.join(c)
	case c.Notified != nil:
		return Reply{}, s.notify(c.Notified)
	case c.Forget != nil:
		if _, ok := s.Gateways[c.Forget.Name]; !ok {
			return Reply{}, fmt.Errorf("no gateway %q", c.Forget.Name)
		}
		delete(s.Gateways, c.Forget.Name)
		return Reply{}, nil
	case c.Advance != nil:
		s.advance(c, b)
		return Reply{}, nil
	}
	return Reply{}, errors.New("an empty command")
}

// openRequest is the open request for a machine; nil: there is none.
func (s *State) openRequest(machine string) *Request {
	for _, r := range s.Requests {
		if r.Machine == machine && !r.Stage.Ended() {
			return r
		}
	}
	return nil
}

// transition takes a request to a stage, with a line in its history.
func (r *Request) transition(c *Command, to Stage, why string) {
	r.Stage = to
	r.History = append(r.History, Transition{To: to, Actor: c.Actor, AtMs: c.AtMs, Reason: why})
	if n := len(r.History) - maxHistory; n > 0 {
		r.History = slices.Delete(r.History, 1, 1+n) // how it began stays
	}
}

func (s *State) addRequest(c *Command) (Reply, error) {
	a, open, ended := c.Request, 0, 0
	for _, r := range s.Requests {
		if r.Key == a.Key { // it was asked already
			return Reply{ID: r.ID}, nil
		}
		if r.Stage.Ended() {
			ended++
		} else {
			open++
		}
	}
	switch {
	case a.Key == "" || len(a.Key) > maxNameLength:
		return Reply{}, fmt.Errorf("key: %d characters, 1 to %d are allowed", len(a.Key), maxNameLength)
	case a.Kind == "":
		return Reply{}, fmt.Errorf("machine %q: %w", a.Machine, ErrUnknownMachine)
	case len(a.Machine) > maxNameLength || len(a.Zone) > maxNameLength || len(a.Kind) > maxNameLength:
		return Reply{}, fmt.Errorf("machine: a name over %d characters", maxNameLength)
	case a.DurationMs <= 0 || a.DurationMs > (30*24*time.Hour).Milliseconds():
		return Reply{}, fmt.Errorf("for: %v is not up to 30 days", time.Duration(a.DurationMs)*time.Millisecond)
	case a.Priority < -100 || a.Priority > 100:
		return Reply{}, fmt.Errorf("priority: %d is not from -100 to 100", a.Priority)
	case len(a.After) > maxPredecessors:
		return Reply{}, fmt.Errorf("after: %d machines, %d are allowed", len(a.After), maxPredecessors)
	case slices.Contains(a.After, a.Machine):
		return Reply{}, fmt.Errorf("after: %q can't go after itself", a.Machine)
	case s.openRequest(a.Machine) != nil:
		return Reply{ID: s.openRequest(a.Machine).ID}, fmt.Errorf("machine %q: %w", a.Machine, ErrAlreadyRequested)
	case open >= maxOpenRequests:
		return Reply{}, fmt.Errorf("%w: %d", ErrTooManyRequests, open)
	case s.wouldCycle(a.Machine, a.After):
		return Reply{}, fmt.Errorf("after: %q would go after itself, by way of others", a.Machine)
	}
	if ended >= maxEndedRequests { // the oldest goes
		s.Requests = slices.Delete(s.Requests, s.firstEnded(), s.firstEnded()+1)
	}
	s.LastRequestID++
	r := &Request{ID: s.LastRequestID, Key: a.Key, Machine: a.Machine, Kind: a.Kind, Zone: a.Zone, DurationMs: a.DurationMs, DeadlineMs: a.DeadlineMs, Priority: a.Priority,
		After: slices.Clone(a.After)}
	r.transition(c, Requested, "")
	s.Requests = append(s.Requests, r)
	return Reply{ID: r.ID}, nil
}

func (s *State) firstEnded() int {
	return slices.IndexFunc(s.Requests, func(r *Request) bool { return r.Stage.Ended() })
}

// wouldCycle says that a machine would have to go after itself. Guards against requests that wait for each other for ever.
func (s *State) wouldCycle(machine string, after []string) bool {
	seen := map[string]bool{}
	for next := slices.Clone(after); len(next) > 0; {
		m := next[0]
		next = next[1:]
		if m == machine {
			return true
		}
		if r := s.openRequest(m); r != nil && !seen[m] {
			seen[m] = true
			next = append(next, r.After...)
		}
	}
	return false
}

func (s *State) withdraw(c *Command) (Reply, error) {
	r := s.openRequest(c.Withdraw.Name)
	if r == nil {
		return Reply{}, fmt.Errorf("%q has no open request", c.Withdraw.Name)
	}
	if r.Stage.countsAsOut() && r.Stage != Granted && r.Stage != Draining {
		return Reply{}, fmt.Errorf("%q is %s: it can only be finished", r.Machine, r.Stage)
	}
	r.transition(c, Withdrawn, c.Withdraw.Reason)
	return Reply{ID: r.ID}, nil
}

// join takes in a gateway that has started. One that knows of nothing sends nothing before it knows of this state, or a later
// one: it has heard of all grants up to now. One that has stored a view goes by that until then.
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
	heard := s.Epoch
	if !m.NoView {
		heard = min(m.NotifiedEpoch, s.Epoch)
	}
	s.Gateways[m.Name] = Gateway{Incarnation: m.Incarnation, NotifiedEpoch: heard}
	if r := s.openRequest(m.Name); r != nil && r.Incarnation != m.Incarnation { // its own turn: another life is there
		switch r.Stage {
		case Granted, Draining: // it went before it was let
			r.transition(c, Requested, "it started anew before it was out")
		case OutOfService:
			r.transition(c, Returned, "it has joined")
		}
	}
	return nil
}

func (s *State) notify(m *GatewayUpdate) error {
	g, ok := s.Gateways[m.Name]
	if !ok || g.Incarnation != m.Incarnation {
		return fmt.Errorf("%s has joined with another life", m.Name)
	}
	if m.NotifiedEpoch > s.Epoch || m.StoppedEpoch > s.Epoch {
		return fmt.Errorf("%s has heard of %d, the epoch is %d", m.Name, max(m.NotifiedEpoch, m.StoppedEpoch), s.Epoch)
	}
	g.NotifiedEpoch, g.StoppedEpoch = max(g.NotifiedEpoch, m.NotifiedEpoch), max(g.StoppedEpoch, m.StoppedEpoch)
	s.Gateways[m.Name] = g
	return nil
}

// ExcludedMachines are the machines that a gateway must send nothing to, and whether it may send to all others. A gateway whose lease
// holds knows what is draining; one whose lease has run out must take what was granted for drained.
func (s *State) ExcludedMachines(lease bool) map[string]bool {
	held := map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage == Draining || r.Stage == OutOfService || r.Stage == Granted && !lease {
			held[r.Machine] = true
		}
	}
	return held
}

// Summary is what a gateway has to know: the machines that are on their way out or are out, and the epoch.
func (s *State) Summary() *State {
	b := &State{Epoch: s.Epoch, Gateways: map[string]Gateway{}}
	for _, r := range s.Requests {
		if r.Stage == Granted || r.Stage == Draining || r.Stage == OutOfService {
			b.Requests = append(b.Requests, &Request{ID: r.ID, Machine: r.Machine, Kind: r.Kind, Stage: r.Stage, GrantEpoch: r.GrantEpoch, DrainEpoch: r.DrainEpoch, Incarnation: r.Incarnation})
		}
	}
	return b
}

// Digest tells encoded states apart.
func Digest(encoded []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(encoded)
	return h.Sum64()
}

// LatestDrainEpoch is the epoch of the newest drain; a gateway that has stopped for all that Held names has stopped up to it.
func (s *State) LatestDrainEpoch() (epoch uint64) {
	for _, r := range s.Requests {
		if r.Stage == Draining || r.Stage == OutOfService {
			epoch = max(epoch, r.DrainEpoch)
		}
	}
	return epoch
}

// AuditLine words a step for an audit.
func (r *Request) AuditLine(st Transition) string {
	parts := []string{fmt.Sprintf("work %d on %s: %s", r.ID, r.Machine, st.To), "by " + st.Actor}
	if r.GrantEpoch > 0 {
		parts = append(parts, fmt.Sprintf("epoch %d", r.GrantEpoch))
	}
	if st.Reason != "" {
		parts = append(parts, st.Reason)
	}
	return strings.Join(parts, ", ")
}
