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

// CheckClasses names the first class that cannot be worked with.
func CheckClasses(classes []Class) error {
	if len(classes) == 0 {
		return fmt.Errorf("settings: Classes is empty")
	}
	seen := map[string]bool{}
	for i, c := range classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("settings: Classes[%d] has no name", i)
		case seen[c.Name]:
			return fmt.Errorf("settings: Classes[%d]: %q stands twice", i, c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}
