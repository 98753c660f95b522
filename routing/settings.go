package routing

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Effect says what repeating a request of a class may do.
type Effect int

// The effects of a class.
const (
	Idempotent        Effect = iota // may be repeated freely
	IdempotentWithKey               // a group of caches drops repeats for a while; see DedupScope and DedupWindow
	NonIdempotent                   // must not run twice
)

// DedupScope is the group of caches that drops repeats of a request with an idempotency key.
type DedupScope int

// The scopes of a class with idempotency keys.
const (
	ScopeAll  DedupScope = iota // all caches, together
	ScopeZone                   // those of the zone of the first attempt
	ScopeCell                   // those of its cell
)

// AnswerDetail says how much a result tells of how an answer was served.
type AnswerDetail int

// What results tell.
const (
	DetailNone AnswerDetail = iota // nothing: AttemptResult.Reason is always ReasonNone
	DetailHit                      // whether it was a hit
	DetailAll                      // also who filled it, and the cause of a failure
)

// SiblingMode says which caches may be named as the source of a fill at another cache.
type SiblingMode int

// Which siblings can supply a fill.
const (
	NoSiblings SiblingMode = iota
	SiblingsInLocation
	SiblingsAnywhere
)

// Class describes one class of requests. Its tags are the names in stored files.
type Class struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`        // an answer within this time earns all of the priority weight
	ObjectiveStretch float64       `json:"AimStretch"` // the objective grows by this multiple of the request's transfer time
	Deadline         time.Duration `json:"Deadline"`   // a client waits this long, over all attempts
	PriorityWeight   float64       `json:"Worth"`
	LateWeight       float64       `json:"LateWorth"` // share of the weight between objective and deadline
	Effect           Effect        `json:"Effect"`
	DedupScope       DedupScope    `json:"Scope"`      // IdempotentWithKey: who drops repeats,
	DedupWindow      time.Duration `json:"Window"`     // and for how long after the first attempt
	Stream           bool          `json:"Stream"`     // the answer is streamed; see FirstByte
	FreshFor         time.Duration `json:"Fresh"`      // a copy is fresh for this long; 0: until it is purged
	StaleGrace       time.Duration `json:"Grace"`      // a copy may be this much older when asked for
	StaleWeight      float64       `json:"StaleWorth"` // share of the weight that such a copy earns
	Parts            bool          `json:"Parts"`      // objects come in parts
	Uncacheable      bool          `json:"NeverKept"`  // runs at the origin and is never cached
}

// Settings are a director's settings at its start. Where a field says "not known", the deployment doesn't tell. Its tags are the
// names in stored files.
type Settings struct {
	Index         int       `json:"Me"`         // number of this director, from 0
	IndexUnknown  bool      `json:"Numberless"` // Index means nothing
	Directors     int       `json:"Directors"`  // directors in all; 0: not known
	Zone          string    `json:"Zone"`       // zone of this director, its location
	Zones         []string  `json:"Zones"`      // all zones
	ZoneHub       []int     `json:"ZoneHub"`    // by zone: the zone index of its hub
	ZoneDirectors []int     `json:"ZonePeers"`  // by zone: directors there
	ZoneLink      []float64 `json:"ZoneLink"`   // by zone: kB/s of its link
	Kinds         []string  `json:"Kinds"`      // kinds of machine
	ParentKind    int       `json:"ParentKind"` // index into Kinds; -1: there are no parents
	OriginKind    int       `json:"OriginKind"` // index into Kinds
	Classes       []Class   `json:"Classes"`
	Tenants       []string  `json:"Tenants"`     // whose requests are taken; empty: everyone's
	WeightsKnown  bool      `json:"WeightsTold"` // Endpoint.Weight is how many transfers at full pace its link bears
	FlowKBps      float64   `json:"FlowKBps"`    // top pace of one transfer; 0: not known

	PollDiscovery    bool          `json:"Ask"`           // discovery answers only when it is polled; see PollEndpoints
	AllowBypass      bool          `json:"PassBy"`        // requests may go straight to a parent or the origin
	AllowCoalescing  bool          `json:"Joins"`         // a request may wait for a fill that is running
	Siblings         SiblingMode   `json:"Neighbours"`    // caches that can fill others
	AnswerDetail     AnswerDetail  `json:"Tells"`         // what results tell
	LoadReportFields []string      `json:"LoadFields"`    // names of the values in a load report
	HealthChecks     bool          `json:"Probes"`        // StartHealthCheck is possible
	Gossip           bool          `json:"PeerMessages"`  // SendGossip is possible
	CanCancel        bool          `json:"Cancels"`       // CancelAttempt is possible
	HedgedRequests   bool          `json:"SecondCopies"`  // a request may have several attempts in flight
	SendRetryAfter   bool          `json:"RetryAdvice"`   // rejections carry a Retry-After,
	MaxRetryAfter    time.Duration `json:"MaxRetryAfter"` // of at most this
	MaxAttempts      int           `json:"MaxAttempts"`   // for a request; 0: no limit
	ClockStep        time.Duration `json:"Step"`          // least time between two events' clocks

	DrainGrace            time.Duration `json:"DrainGrace"`   // nothing is sent to an endpoint that has been draining for this long
	SlowStartInitialShare float64       `json:"ColdFrom"`     // a cache starts with at least this share of its capacity
	SlowStartDuration     time.Duration `json:"ColdFor"`      // and is warm after this at the latest
	OverloadMultiple      float64       `json:"FallMultiple"` // sent this multiple of what it can do ...
	OverloadWindow        time.Duration `json:"FallFor"`      // ... for this long, an endpoint that is warming up fails

	ParentSlowStartInitialShare float64       `json:"ParentColdFrom"` // as SlowStartInitialShare and so on, for parents
	ParentSlowStartDuration     time.Duration `json:"ParentColdFor"`
	ParentOverloadMultiple      float64       `json:"ParentFallMultiple"`
	OriginOverloadMultiple      float64       `json:"OriginFallMultiple"` // 0: the origin never fails by overload
	OriginOverloadWindow        time.Duration `json:"OriginFallFor"`

	PurgeGrace      time.Duration `json:"PurgeGrace"`   // time to heed a purge
	PurgeSettleTime time.Duration `json:"PurgeSettles"` // no copy older than a purge is left after this
	MaxPollInterval time.Duration `json:"AskWithin"`    // without a watch, discovery is to be polled at least this often
}

// TransferTime is how long an answer of a size, in kB, takes at the full pace of one transfer; 0 where the pace is not known.
func (s *Settings) TransferTime(sizeKB float64) time.Duration {
	if s.FlowKBps <= 0 || sizeKB <= 0 {
		return 0
	}
	return time.Duration(sizeKB / s.FlowKBps * float64(time.Second))
}

var errNoClasses = errors.New("settings: Classes is empty")

// validate names the first setting that can't be worked with.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return errNoClasses
	case !slices.Contains(s.Zones, s.Zone):
		return fmt.Errorf("settings: Zone %q is not among Zones", s.Zone)
	case s.OriginKind < 0 || s.OriginKind >= len(s.Kinds):
		return fmt.Errorf("settings: OriginKind %d is not among Kinds", s.OriginKind)
	case s.ParentKind >= len(s.Kinds):
		return fmt.Errorf("settings: ParentKind %d is not among Kinds", s.ParentKind)
	}
	return nil
}

// CheckClasses names the first class that can't be worked with.
func CheckClasses(classes []Class) error {
	if len(classes) == 0 {
		return errNoClasses
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
