// Package routing decides, for one director in front of a location's caches, where each request goes,
// where a miss is filled from, what is kept, and what is refused.
//
// The package does no I/O and reads no clock: the caller hands events to [Director.Handle] and carries out
// the actions it returns, in order. A Director is not safe for concurrent use. Given the same settings, seed
// and events it always returns the same actions.
package routing

import (
	"fmt"
	"slices"
	"time"
)

// Effect says what repeating a request of a class may do.
type Effect int

// The effects of a class.
const (
	Idempotent        Effect = iota // may be repeated freely
	IdempotentWithKey               // repeats are dropped by a group of caches for a while
	NonIdempotent                   // must not run twice
)

// DedupScope is the group of caches that drops repeats of a keyed request.
type DedupScope int

// The scopes of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// AnswerDetail says how much an outcome reveals of how an answer was served.
type AnswerDetail int

// What outcomes tell.
const (
	DetailNone AnswerDetail = iota
	DetailHit
	DetailAll
)

// SiblingMode says which caches may be named as the source of a fill.
type SiblingMode int

// Which neighbours can supply a fill.
const (
	NoSiblings SiblingMode = iota
	SiblingsInLocation
	SiblingsAnywhere
)

// Class describes one class of request.
type Class struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`        // an answer within this time has its full worth
	ObjectiveStretch float64       `json:"AimStretch"` // the aim grows by this multiple of the request's own sending time
	Deadline         time.Duration `json:"Deadline"`   // a client waits this long over all its tries
	PriorityWeight   float64       `json:"Worth"`
	LateWeight       float64       `json:"LateWorth"` // share of the worth between aim and deadline
	Effect           Effect        `json:"Effect"`
	DedupScope       DedupScope    `json:"Scope"`      // keyed classes: who drops repeats
	DedupWindow      time.Duration `json:"Window"`     // keyed classes: for how long
	Stream           bool          `json:"Stream"`     // the answer is streamed; see FirstByte
	FreshFor         time.Duration `json:"Fresh"`      // a copy is fresh for this long; 0: until it is purged
	StaleGrace       time.Duration `json:"Grace"`      // a copy may be this much older when asked for
	StaleWeight      float64       `json:"StaleWorth"` // share of the worth that such a copy earns
	Parts            bool          `json:"Parts"`      // objects come in parts
	Uncacheable      bool          `json:"NeverKept"`  // runs at the origin and is never kept
}

// Settings are what a director is told at its start.
type Settings struct {
	Index         int       `json:"Me"`         // number of this director,
	IndexUnknown  bool      `json:"Numberless"` // which is not told
	Directors     int       `json:"Directors"`  // directors in all; 0: not told
	Zone          string    `json:"Zone"`       // zone of this director, its location
	Zones         []string  `json:"Zones"`      // all zones
	ZoneHub       []int     `json:"ZoneHub"`    // by zone: the zone index of its hub
	ZoneDirectors []int     `json:"ZonePeers"`  // by zone: directors there
	ZoneLink      []float64 `json:"ZoneLink"`
	Kinds         []string  `json:"Kinds"`      // kinds of machine
	ParentKind    int       `json:"ParentKind"` // index into Kinds; -1: there are no parents
	OriginKind    int       `json:"OriginKind"` // index into Kinds
	Classes       []Class   `json:"Classes"`
	Tenants       []string  `json:"Tenants"`
	WeightsKnown  bool      `json:"WeightsTold"` // Member.Weight means something
	FlowKBps      float64   `json:"FlowKBps"`    // top pace of one answer; 0: not told

	PollDiscovery    bool          `json:"Ask"`    // discovery answers only when asked (Watch, Fetch)
	AllowBypass      bool          `json:"PassBy"` // requests may go straight to a parent or the origin
	AllowCoalescing  bool          `json:"Joins"`  // a request may join a running fill
	Siblings         SiblingMode   `json:"Neighbours"`
	AnswerDetail     AnswerDetail  `json:"Tells"`
	LoadReportFields []string      `json:"LoadFields"` // names of the values in a load report
	HealthChecks     bool          `json:"Probes"`
	Gossip           bool          `json:"PeerMessages"`
	CanCancel        bool          `json:"Cancels"`
	HedgedRequests   bool          `json:"SecondCopies"`
	SendRetryAfter   bool          `json:"RetryAdvice"`
	MaxRetryAfter    time.Duration `json:"MaxRetryAfter"`
	MaxAttempts      int           `json:"MaxAttempts"`
	ClockStep        time.Duration `json:"Step"` // least time between two events' clocks

	DrainGrace       time.Duration `json:"DrainGrace"`
	SlowStartFrom    float64       `json:"ColdFrom"`     // a cache starts with at least this share of its capacity
	SlowStartFor     time.Duration `json:"ColdFor"`      // and is warm after this at the latest
	OverloadMultiple float64       `json:"FallMultiple"` // sent this multiple of what it can do ...
	OverloadWindow   time.Duration `json:"FallFor"`      // ... for this long, a cold server falls over

	ParentSlowStartFrom    float64       `json:"ParentColdFrom"`
	ParentSlowStartFor     time.Duration `json:"ParentColdFor"`
	ParentOverloadMultiple float64       `json:"ParentFallMultiple"`
	OriginOverloadMultiple float64       `json:"OriginFallMultiple"` // 0: the origin never stops
	OriginOverloadWindow   time.Duration `json:"OriginFallFor"`

	PurgeGrace      time.Duration `json:"PurgeGrace"`   // time to heed a purge
	PurgeSettleTime time.Duration `json:"PurgeSettles"` // no older copy is left after this
	PollWithin      time.Duration `json:"AskWithin"`
}

// TransferTime is how long an answer of a size takes at the full pace of one transfer; 0 where the pace is not told.
func (s *Settings) TransferTime(sizeKB float64) time.Duration {
	if s.FlowKBps <= 0 || sizeKB <= 0 {
		return 0
	}
	return time.Duration(sizeKB / s.FlowKBps * float64(time.Second))
}

// validate names the first setting that cannot be worked with.
func (s Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case !slices.Contains(s.Zones, s.Zone):
		return fmt.Errorf("settings: Zone %q is not among Zones", s.Zone)
	case s.OriginKind < 0 || s.OriginKind >= len(s.Kinds):
		return fmt.Errorf("settings: OriginKind %d is not among Kinds", s.OriginKind)
	case s.ParentKind >= len(s.Kinds):
		return fmt.Errorf("settings: ParentKind %d is not among Kinds", s.ParentKind)
	}
	return nil
}

// Event is anything that reaches a director.
type Event interface{ event() }

// Phase is the state of a member in a list.
type Phase int

// Phases of a member.
const (
	Up Phase = iota
	Draining
	Removed
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	ID          string
	Zone        string
	Kind        string
	Cell        int
	Incarnation time.Duration // clock of its latest start; 0: long ago
	Weight      float64
	Phase       Phase
}

// UpdateKind says what a Members event holds.
type UpdateKind int

// Kinds of list.
const (
	FullList UpdateKind = iota
	DeltaList
	StaleList // the full list as last held, possibly outdated
	WatchLost // a call to discovery failed; the prior list stands
)

// EndpointUpdate is what discovery reports.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request asks the director for one final answer.
type Request struct {
	ID            string
	Class         string
	Tenant        string
	Object        string
	Part          int
	Group         int
	SizeKB        float64
	Deadline      time.Duration // on the director's clock
	Write         bool
	Retry         bool
	AdmittedClass *Class // by which it came in, where other ones hold for its class by now; nil: those that hold now
}

// FirstByte says that the answer of a streamed class has begun.
type FirstByte struct {
	ID       string
	Attempt  int
	Endpoint string
}

// Status is how an attempt or probe ended.
type Status int

// Statuses of an outcome. NotConnected, TurnedAway, NotSent and Miss prove that the request did not run.
const (
	OK Status = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Canceled
	NotSent
	Miss
)

// broken says that a connection did not come up, or ended under the attempt.
func (s Status) broken() bool { return s == ConnectFailed || s == Reset }

// Reason says how an answer was served or why a fill failed, as far as Settings.Tells goes.
type Reason int

// Notes of an outcome.
const (
	ReasonNone Reason = iota
	ReasonHit
	ReasonFilled
	ReasonFilledByOrigin
	ReasonCoalesced
	ReasonStale
	ReasonSourceRejected
	ReasonSourceLost
	ReasonSourceMiss
	ReasonNoFillSlot
	ReasonOriginFailed
)

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID              string
	Attempt         int
	Endpoint        string
	Status          Status
	Reason          Reason
	Final           bool // the request is finished
	Latency         time.Duration
	FillWait        time.Duration
	SizeKB          float64   // of the answer; 0: not told
	LoadReport      []float64 // nil: no report came with it
	CollateralReset bool      // Reset by what befell another attempt on its connection
}

// HealthCheckResult is the result of a Probe.
type HealthCheckResult struct {
	Endpoint   string
	Status     Status
	Latency    time.Duration
	LoadReport []float64
}

// GossipReceived is a message from another director.
type GossipReceived struct {
	From int
	Data string
}

// Purge says that an object, or with no Object every object of the group, was purged.
type Purge struct {
	Object string
	Group  int
	Age    time.Duration
}

// ClientGone says that a client left; nothing more is owed to its request.
type ClientGone struct{ ID string }

// TimerFired is a Wake that fell due.
type TimerFired struct{ Token uint64 }

func (EndpointUpdate) event()    {}
func (Request) event()           {}
func (FirstByte) event()         {}
func (AttemptResult) event()     {}
func (HealthCheckResult) event() {}
func (GossipReceived) event()    {}
func (Purge) event()             {}
func (ClientGone) event()        {}
func (TimerFired) event()        {}

// Action is anything that a director wants done.
type Action interface{ action() }

// ForwardAttempt sends an attempt to a server.
type ForwardAttempt struct {
	ID           string
	Endpoint     string
	FillSource   string        // who fills a miss; the server itself: nobody
	Timeout      time.Duration // 0: until the client gives up
	MaxAge       time.Duration // oldest copy that will do; 0: the class's fresh time
	CacheRank    int           // 0: pass through; 1 to 3: keep at that rank
	Coalesce     bool          // wait for a running fill
	OnlyIfCached bool          // the source gives only what it holds
	NoParentCopy bool          // leave no copy at the parent
	RefreshAhead bool          // serve an ageing copy and fetch it anew
}

// Reject is a final answer that promises that trying again is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // advice on when to come back
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// SetTimer asks for a Timer event.
type SetTimer struct {
	At        time.Duration
	Token     uint64
	RequestID string // of the request that it is for, and void with it; empty: of none
}

// SendGossip sends a message of at most 256 bytes to one director.
type SendGossip struct {
	To   int // Everyone: all of them
	Data string
}

// AllDirectors addresses a Tell to all other directors.
const AllDirectors = -1

// StartHealthCheck checks a server.
type StartHealthCheck struct{ Endpoint string }

// PollEndpoints asks discovery for changes from now on.
type PollEndpoints struct{}

// Log adds a line to the log.
type Log struct{ Text string }

func (ForwardAttempt) action()   {}
func (Reject) action()           {}
func (Fail) action()             {}
func (CancelAttempt) action()    {}
func (SetTimer) action()         {}
func (SendGossip) action()       {}
func (StartHealthCheck) action() {}
func (PollEndpoints) action()    {}
func (Log) action()              {}
