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
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped by a group of caches for a while
	Unsafe               // must not run twice
)

// Scope is the group of caches that drops repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Tells says how much an outcome reveals of how an answer was served.
type Tells int

// What outcomes tell.
const (
	TellsNothing Tells = iota
	TellsHit
	TellsAll
)

// Neighbours says which caches may be named as the source of a fill.
type Neighbours int

// Which neighbours can supply a fill.
const (
	NoNeighbours Neighbours = iota
	SameLocation
	AnyLocation
)

// Class describes one class of request.
type Class struct {
	Name       string        `json:"Name"`
	Aim        time.Duration `json:"Aim"`        // an answer within this time has its full worth
	AimStretch float64       `json:"AimStretch"` // the aim grows by this multiple of the request's own sending time
	Deadline   time.Duration `json:"Deadline"`   // a client waits this long over all its tries
	Worth      float64       `json:"Worth"`
	LateWorth  float64       `json:"LateWorth"` // share of the worth between aim and deadline
	Effect     Effect        `json:"Effect"`
	Scope      Scope         `json:"Scope"`      // keyed classes: who drops repeats
	Window     time.Duration `json:"Window"`     // keyed classes: for how long
	Stream     bool          `json:"Stream"`     // the answer is streamed; see FirstByte
	Fresh      time.Duration `json:"Fresh"`      // a copy is fresh for this long; 0: until it is purged
	Grace      time.Duration `json:"Grace"`      // a copy may be this much older when asked for
	StaleWorth float64       `json:"StaleWorth"` // share of the worth that such a copy earns
	Parts      bool          `json:"Parts"`      // objects come in parts
	NeverKept  bool          `json:"NeverKept"`  // runs at the origin and is never kept
}

// Settings are what a director is told at its start.
type Settings struct {
	Me          int       `json:"Me"`         // number of this director,
	Numberless  bool      `json:"Numberless"` // which is not told
	Directors   int       `json:"Directors"`  // directors in all; 0: not told
	Zone        string    `json:"Zone"`       // zone of this director, its location
	Zones       []string  `json:"Zones"`      // all zones
	ZoneHub     []int     `json:"ZoneHub"`    // by zone: the zone index of its hub
	ZonePeers   []int     `json:"ZonePeers"`  // by zone: directors there
	ZoneLink    []float64 `json:"ZoneLink"`
	Kinds       []string  `json:"Kinds"`      // kinds of machine
	ParentKind  int       `json:"ParentKind"` // index into Kinds; -1: there are no parents
	OriginKind  int       `json:"OriginKind"` // index into Kinds
	Classes     []Class   `json:"Classes"`
	Tenants     []string  `json:"Tenants"`
	WeightsTold bool      `json:"WeightsTold"` // Member.Weight means something
	FlowKBps    float64   `json:"FlowKBps"`    // top pace of one answer; 0: not told

	Ask           bool          `json:"Ask"`    // discovery answers only when asked (Watch, Fetch)
	PassBy        bool          `json:"PassBy"` // requests may go straight to a parent or the origin
	Joins         bool          `json:"Joins"`  // a request may join a running fill
	Neighbours    Neighbours    `json:"Neighbours"`
	Tells         Tells         `json:"Tells"`
	LoadFields    []string      `json:"LoadFields"` // names of the values in a load report
	Probes        bool          `json:"Probes"`
	PeerMessages  bool          `json:"PeerMessages"`
	Cancels       bool          `json:"Cancels"`
	SecondCopies  bool          `json:"SecondCopies"`
	RetryAdvice   bool          `json:"RetryAdvice"`
	MaxRetryAfter time.Duration `json:"MaxRetryAfter"`
	MaxAttempts   int           `json:"MaxAttempts"`
	Step          time.Duration `json:"Step"` // least time between two events' clocks

	DrainGrace   time.Duration `json:"DrainGrace"`
	ColdFrom     float64       `json:"ColdFrom"`     // a cache starts with at least this share of its capacity
	ColdFor      time.Duration `json:"ColdFor"`      // and is warm after this at the latest
	FallMultiple float64       `json:"FallMultiple"` // sent this multiple of what it can do ...
	FallFor      time.Duration `json:"FallFor"`      // ... for this long, a cold server falls over

	ParentColdFrom     float64       `json:"ParentColdFrom"`
	ParentColdFor      time.Duration `json:"ParentColdFor"`
	ParentFallMultiple float64       `json:"ParentFallMultiple"`
	OriginFallMultiple float64       `json:"OriginFallMultiple"` // 0: the origin never stops
	OriginFallFor      time.Duration `json:"OriginFallFor"`

	PurgeGrace   time.Duration `json:"PurgeGrace"`   // time to heed a purge
	PurgeSettles time.Duration `json:"PurgeSettles"` // no older copy is left after this
	AskWithin    time.Duration `json:"AskWithin"`
}

// Sending is how long an answer of a size takes at the full pace of one transfer; 0 where the pace is not told.
func (s *Settings) Sending(sizeKB float64) time.Duration {
	if s.FlowKBps <= 0 || sizeKB <= 0 {
		return 0
	}
	return time.Duration(sizeKB / s.FlowKBps * float64(time.Second))
}

// check names the first setting that cannot be worked with.
func (s Settings) check() error {
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

// Member is one entry of the list of servers.
type Member struct {
	ID     string
	Zone   string
	Kind   string
	Cell   int
	Boot   time.Duration // clock of its latest start; 0: long ago
	Weight float64
	Phase  Phase
}

// ListKind says what a Members event holds.
type ListKind int

// Kinds of list.
const (
	FullList ListKind = iota
	Changes
	StaleList // the full list as last held, possibly outdated
	ListLost  // a call to discovery failed; the prior list stands
)

// Members is what discovery reports.
type Members struct {
	Kind    ListKind
	Entries []Member
}

// Request asks the director for one final answer.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Object   string
	Part     int
	Group    int
	SizeKB   float64
	Deadline time.Duration // on the director's clock
	Write    bool
	Retry    bool
	Rules    *Class // by which it came in, where other ones hold for its class by now; nil: those that hold now
}

// FirstByte says that the answer of a streamed class has begun.
type FirstByte struct {
	ID      string
	Attempt int
	Server  string
}

// Status is how an attempt or probe ended.
type Status int

// Statuses of an outcome. NotConnected, TurnedAway, NotSent and Miss prove that the request did not run.
const (
	OK Status = iota
	ServerError
	TurnedAway
	TimedOut
	NotConnected
	Reset
	Cancelled
	NotSent
	Miss
)

// broken says that a connection did not come up, or ended under the attempt.
func (s Status) broken() bool { return s == NotConnected || s == Reset }

// Note says how an answer was served or why a fill failed, as far as Settings.Tells goes.
type Note int

// Notes of an outcome.
const (
	NoNote Note = iota
	NoteHit
	NoteFilled
	NoteFilledByOrigin
	NoteJoined
	NoteStale
	NoteSourceRefused
	NoteSourceLost
	NoteSourceLacks
	NoteNoPlace
	NoteOriginFailed
)

// Outcome is the end of one attempt.
type Outcome struct {
	ID       string
	Attempt  int
	Server   string
	Status   Status
	Note     Note
	Final    bool // the request is finished
	Latency  time.Duration
	FillWait time.Duration
	SizeKB   float64   // of the answer; 0: not told
	Load     []float64 // nil: no report came with it
	Along    bool      // Reset by what befell another attempt on its connection
}

// Probed is the result of a Probe.
type Probed struct {
	Server  string
	Status  Status
	Latency time.Duration
	Load    []float64
}

// Peer is a message from another director.
type Peer struct {
	From int
	Data string
}

// Purge says that an object, or with no Object every object of the group, was purged.
type Purge struct {
	Object string
	Group  int
	Ago    time.Duration
}

// Gone says that a client left; nothing more is owed to its request.
type Gone struct{ ID string }

// Timer is a Wake that fell due.
type Timer struct{ Token uint64 }

func (Members) event()   {}
func (Request) event()   {}
func (FirstByte) event() {}
func (Outcome) event()   {}
func (Probed) event()    {}
func (Peer) event()      {}
func (Purge) event()     {}
func (Gone) event()      {}
func (Timer) event()     {}

// Action is anything that a director wants done.
type Action interface{ action() }

// Ask sends an attempt to a server.
type Ask struct {
	ID       string
	Server   string
	Source   string        // who fills a miss; the server itself: nobody
	Timeout  time.Duration // 0: until the client gives up
	MaxAge   time.Duration // oldest copy that will do; 0: the class's fresh time
	Keep     int           // 0: pass through; 1 to 3: keep at that rank
	Join     bool          // wait for a running fill
	OnlyHeld bool          // the source gives only what it holds
	NoCopy   bool          // leave no copy at the parent
	Renew    bool          // serve an ageing copy and fetch it anew
}

// Refuse is a final answer that promises that trying again is harmless.
type Refuse struct {
	ID    string
	After time.Duration // advice on when to come back
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake asks for a Timer event.
type Wake struct {
	At    time.Duration
	Token uint64
	ID    string // of the request that it is for, and void with it; empty: of none
}

// Tell sends a message of at most 256 bytes to one director.
type Tell struct {
	To   int // Everyone: all of them
	Data string
}

// Everyone addresses a Tell to all other directors.
const Everyone = -1

// Probe checks a server.
type Probe struct{ Server string }

// Watch asks discovery for changes from now on.
type Watch struct{}

// Log adds a line to the log.
type Log struct{ Text string }

func (Ask) action()    {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Wake) action()   {}
func (Tell) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Log) action()    {}
