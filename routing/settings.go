package routing

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Effect states whether requests of a class may be repeated.
type Effect int

// Effects of a class.
const (
	Idempotent        Effect = iota // may be repeated without limit
	IdempotentWithKey               // a group of caches drops repeats for a while; see DedupScope and DedupWindow
	NonIdempotent                   // must not be executed twice
)

// DedupScope is the group of caches that drops repeats of a request with an idempotency key.
type DedupScope int

// Scopes of deduplication.
const (
	ScopeAll  DedupScope = iota // all caches together
	ScopeZone                   // the caches in the zone of the first attempt's target
	ScopeCell                   // the caches in the cell of the first attempt's target
)

// AnswerDetail states how much a result reveals about how an answer was served.
type AnswerDetail int

// Levels of detail.
const (
	DetailNone AnswerDetail = iota // nothing: AttemptResult.Reason is always ReasonNone
	DetailHit                      // whether it was a hit
	DetailAll                      // also who filled it, and the cause of a failure
)

// SiblingMode states which caches may be named as the source of a fill at another cache.
type SiblingMode int

// Caches that may fill others.
const (
	NoSiblings SiblingMode = iota
	SiblingsInLocation
	SiblingsAnywhere
)

// Class holds the settings of one class of requests. Its tags are the names in stored files.
type Class struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`        // an answer within this time earns the full priority weight
	ObjectiveStretch float64       `json:"AimStretch"` // the objective is extended by this multiple of the request's transfer time
	Deadline         time.Duration `json:"Deadline"`   // time that a client waits for the final answer, over all attempts
	PriorityWeight   float64       `json:"Worth"`
	LateWeight       float64       `json:"LateWorth"` // share of PriorityWeight, 0 to 1, that an answer between objective and deadline earns
	Effect           Effect        `json:"Effect"`
	DedupScope       DedupScope    `json:"Scope"`      // of IdempotentWithKey: which caches drop repeats,
	DedupWindow      time.Duration `json:"Window"`     // and for how long after the first attempt
	Stream           bool          `json:"Stream"`     // the answer is streamed; see FirstByte
	FreshFor         time.Duration `json:"Fresh"`      // time for which a copy is fresh; 0: until it is purged
	StaleGrace       time.Duration `json:"Grace"`      // time for which a copy that is no longer fresh may be served as stale
	StaleWeight      float64       `json:"StaleWorth"` // share of PriorityWeight, 0 to 1, that a stale answer earns
	Parts            bool          `json:"Parts"`      // objects are divided into parts
	Uncacheable      bool          `json:"NeverKept"`  // requests are executed by the origin, and their answers are never cached
}

// Settings are a director's settings at its start. A field whose comment gives a value for
// "unknown" has that value where the deployment does not state it. The tags are the names in stored
// files.
type Settings struct {
	Index         int       `json:"Me"`         // index of this director, from 0
	IndexUnknown  bool      `json:"Numberless"` // Index has no meaning
	Directors     int       `json:"Directors"`  // number of directors in all locations; 0: unknown
	Zone          string    `json:"Zone"`       // zone of this director, which is its location
	Zones         []string  `json:"Zones"`      // all zones
	ZoneHub       []int     `json:"ZoneHub"`    // by zone: index of its hub's zone
	ZoneDirectors []int     `json:"ZonePeers"`  // by zone: number of directors there
	ZoneLink      []float64 `json:"ZoneLink"`   // by zone: bandwidth of its link in kB/s
	Kinds         []string  `json:"Kinds"`      // kinds of machines
	ParentKind    int       `json:"ParentKind"` // index into Kinds; -1: there are no parents
	OriginKind    int       `json:"OriginKind"` // index into Kinds
	Classes       []Class   `json:"Classes"`
	Tenants       []string  `json:"Tenants"`     // tenants whose requests are accepted; empty: all
	WeightsKnown  bool      `json:"WeightsTold"` // Endpoint.Weight is the number of transfers at full pace that its link carries
	FlowKBps      float64   `json:"FlowKBps"`    // full pace of one transfer; 0: unknown

	PollDiscovery    bool          `json:"Ask"`           // discovery reports changes only when polled; see PollEndpoints
	AllowBypass      bool          `json:"PassBy"`        // requests may be sent directly to a parent or the origin
	AllowCoalescing  bool          `json:"Joins"`         // a request may join a fill that is in flight
	Siblings         SiblingMode   `json:"Neighbours"`    // caches that may fill others
	AnswerDetail     AnswerDetail  `json:"Tells"`         // how much results reveal
	LoadReportFields []string      `json:"LoadFields"`    // names of the values in a load report
	HealthChecks     bool          `json:"Probes"`        // StartHealthCheck is supported
	Gossip           bool          `json:"PeerMessages"`  // SendGossip is supported
	CanCancel        bool          `json:"Cancels"`       // CancelAttempt is supported
	HedgedRequests   bool          `json:"SecondCopies"`  // a request may have several attempts in flight
	SendRetryAfter   bool          `json:"RetryAdvice"`   // rejections carry a Retry-After,
	MaxRetryAfter    time.Duration `json:"MaxRetryAfter"` // of at most this time
	MaxAttempts      int           `json:"MaxAttempts"`   // maximum attempts per request; 0: unlimited
	ClockStep        time.Duration `json:"Step"`          // granularity of the clock: minimum time between two events at different times

	DrainGrace            time.Duration `json:"DrainGrace"`   // time after which nothing is sent any more to an endpoint that started draining
	SlowStartInitialShare float64       `json:"ColdFrom"`     // minimum share of its capacity, 0 to 1, that a cache has at its start
	SlowStartDuration     time.Duration `json:"ColdFor"`      // time from its start after which a cache is warm at the latest
	OverloadMultiple      float64       `json:"FallMultiple"` // an endpoint that is warming up fails if it is sent this multiple of its current capacity ...
	OverloadWindow        time.Duration `json:"FallFor"`      // ... for this long

	ParentSlowStartInitialShare float64       `json:"ParentColdFrom"` // for parents, as the settings for caches above
	ParentSlowStartDuration     time.Duration `json:"ParentColdFor"`
	ParentOverloadMultiple      float64       `json:"ParentFallMultiple"`
	OriginOverloadMultiple      float64       `json:"OriginFallMultiple"` // the same for the origin; 0: the origin never fails by overload
	OriginOverloadWindow        time.Duration `json:"OriginFallFor"`

	PurgeGrace      time.Duration `json:"PurgeGrace"`   // time within which a purge must be applied
	PurgeSettleTime time.Duration `json:"PurgeSettles"` // time after a purge when no copy older than it is left anywhere
	MaxPollInterval time.Duration `json:"AskWithin"`    // without a watch, discovery is to be polled at least this often
}

// TransferTime returns the time that an answer of a size, in kB, takes at the full pace of one
// transfer; 0 if the pace or the size is unknown.
func (s *Settings) TransferTime(sizeKB float64) time.Duration {
	if s.FlowKBps <= 0 || sizeKB <= 0 {
		return 0
	}
	return time.Duration(sizeKB / s.FlowKBps * float64(time.Second))
}

var errNoClasses = errors.New("settings: Classes is empty, want at least one class")

// validate returns an error that names the first invalid setting, or nil.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return errNoClasses
	case !slices.Contains(s.Zones, s.Zone):
		return fmt.Errorf("settings: Zone is %q, want an element of Zones", s.Zone)
	case s.OriginKind < 0 || s.OriginKind >= len(s.Kinds):
		return fmt.Errorf("settings: OriginKind is %d, want an index into Kinds", s.OriginKind)
	case s.ParentKind >= len(s.Kinds):
		return fmt.Errorf("settings: ParentKind is %d, want an index into Kinds or -1", s.ParentKind)
	}
	return nil
}

// CheckClasses returns an error that names the first invalid class, or nil. There must be at least
// one class; names must be set and distinct.
func CheckClasses(classes []Class) error {
	if len(classes) == 0 {
		return errNoClasses
	}
	seen := map[string]bool{}
	for i, c := range classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("settings: Classes[%d]: Name is empty", i)
		case seen[c.Name]:
			return fmt.Errorf("settings: Classes[%d]: duplicate Name %q", i, c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}
