package routing

import "time"

// Event is an input of [Director.Handle].
type Event interface{ event() }

// Phase is the state of an endpoint in the endpoint list.
type Phase int

// Phases of an endpoint.
const (
	Up       Phase = iota
	Draining       // is to receive no new attempts
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Zone        string
	Kind        string
	Cell        int           // group of endpoints within which repeats may be dropped; see ScopeCell
	Incarnation time.Duration // time of its latest start; 0: long ago
	Weight      float64       // capacity, relative to others of its kind; 0 or less: 1
	Phase       Phase
}

// UpdateKind is the kind of an [EndpointUpdate].
type UpdateKind int

// Kinds of update.
const (
	FullList  UpdateKind = iota
	DeltaList            // the endpoints that changed
	StaleList            // the full list as last known, possibly outdated
	WatchLost            // a call to discovery failed; the previous list stays valid
)

// EndpointUpdate is an update of the endpoint list from discovery.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request for one final answer.
type Request struct {
	ID            string
	Class         string // name of the class
	Tenant        string
	Object        string
	Part          int           // part of the object
	Group         int           // group by which the object may be purged
	GroupUnknown  bool          // Group is not known to be that of the object, which any group's purge may then concern
	SizeKB        float64       // of the answer; 0: unknown
	Deadline      time.Duration // time on the director's clock
	Write         bool
	LightClient   bool   // its client sends much less than others: it does not cause a shortage
	Retry         bool   // a retry by the client of a request that was rejected or failed
	AdmittedClass *Class // the class's settings when the request was admitted; nil: the current ones
}

// FirstByte is the start of the answer to a request of a streamed class.
type FirstByte struct {
	ID       string
	Attempt  int // from 0, in order of sending
	Endpoint string
}

// Status is the outcome of an attempt or a health check.
type Status int

// Statuses of a result.
const (
	OK Status = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	Reset // the connection ended during the attempt
	Canceled
	NotSent
	Miss // the endpoint has no copy, and no endpoint could fill it
)

// broken reports whether the connection could not be established or ended during the attempt.
func (s Status) broken() bool { return s == ConnectFailed || s == Reset }

// MayHaveRun reports whether the request may have taken effect at the endpoint.
func (s Status) MayHaveRun() bool {
	switch s {
	case Rejected, ConnectFailed, NotSent, Miss:
		return false
	default:
		return true
	}
}

// Reason states how an answer was served or why a fill failed, in as much detail as
// Settings.AnswerDetail allows.
type Reason int

// Reasons of a result. ReasonSourceRejected and those after it are causes of failed fills.
const (
	ReasonNone           Reason = iota // unknown
	ReasonHit                          // served from a fresh copy
	ReasonFilled                       // filled by the fill source from a copy that it had
	ReasonFilledByOrigin               // filled by the origin, directly or through the fill source
	ReasonCoalesced                    // joined a fill that was in flight
	ReasonStale                        // served from a stale copy, within the class's StaleGrace
	ReasonSourceRejected               // the fill source rejected the fill
	ReasonSourceLost                   // the connection to the fill source broke
	ReasonSourceMiss                   // the fill source lacks the object
	ReasonNoFillSlot                   // the cache has no slot left for fills
	ReasonOriginFailed                 // the origin failed the fill source
)

// fillFailed reports whether the reason is the failure of a fill.
func (r Reason) fillFailed() bool { return r >= ReasonSourceRejected }

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	ID              string // of the request
	Attempt         int    // from 0, in order of sending
	Endpoint        string
	Status          Status
	Reason          Reason
	Final           bool          // the request has its final answer
	Latency         time.Duration // time since the attempt was sent
	FillWait        time.Duration // until the fill source's first byte; 0: not stated; not used by the director
	SizeKB          float64       // of the answer; 0: unknown
	LoadReport      []float64     // values in the order of Settings.LoadReportFields; nil: no report came with the result
	CollateralReset bool          // Status is Reset because another attempt's answer broke the shared connection
}

// HealthCheckResult is the result of a [StartHealthCheck].
type HealthCheckResult struct {
	Endpoint   string
	Status     Status
	Latency    time.Duration
	LoadReport []float64
}

// GossipReceived is a message received from another director.
type GossipReceived struct {
	From int // number of the sender
	Data string
}

// Purge is the purge of an object or, if Object is empty, of every object of the group.
type Purge struct {
	Object string
	Group  int
	Age    time.Duration // time since it was purged
}

// ClientGone reports that a request needs no answer any more: its client left, or the caller has
// answered it at its deadline.
type ClientGone struct{ ID string }

// TimerFired reports that a timer requested by [SetTimer] is due.
type TimerFired struct{ Token uint64 }

// Reconfigured replaces the classes and the limit on attempts for requests that arrive from now on.
// Open requests keep the settings under which they were admitted.
type Reconfigured struct {
	Classes     []Class
	MaxAttempts int // 0: no limit
}

// PauseSlowStart stops sending to endpoints that are warming up until a time on the director's
// clock, because another process uses the slow-start budget or used it a moment ago.
type PauseSlowStart struct{ Until time.Duration }

func (EndpointUpdate) event()    {}
func (Request) event()           {}
func (FirstByte) event()         {}
func (AttemptResult) event()     {}
func (HealthCheckResult) event() {}
func (GossipReceived) event()    {}
func (Purge) event()             {}
func (ClientGone) event()        {}
func (TimerFired) event()        {}
func (Reconfigured) event()      {}
func (PauseSlowStart) event()    {}
