package routing

import "time"

// Event is anything that reaches a director.
type Event interface{ event() }

// Phase is the state of an endpoint in a list.
type Phase int

// Phases of an endpoint.
const (
	Up       Phase = iota
	Draining       // to be sent nothing new
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Zone        string
	Kind        string
	Cell        int
	Incarnation time.Duration // clock of its latest start; 0: long ago
	Weight      float64       // capacity, relative to others of its kind; 0 or less: 1
	Phase       Phase
}

// UpdateKind says what an EndpointUpdate holds.
type UpdateKind int

// Kinds of update.
const (
	FullList  UpdateKind = iota
	DeltaList            // the endpoints that changed
	StaleList            // the full list as last held, possibly outdated
	WatchLost            // a call to discovery failed; the prior list stands
)

// EndpointUpdate is what discovery reports.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request asks the director for one final answer.
type Request struct {
	ID            string
	Class         string // its name
	Tenant        string
	Object        string
	Part          int
	Group         int
	SizeKB        float64       // of the answer; 0: not known
	Deadline      time.Duration // on the director's clock
	Write         bool
	Retry         bool   // the client's own, of a request that was rejected or failed
	AdmittedClass *Class // the class as it was when the request was admitted; nil: as it is now
}

// FirstByte says that the answer of a streamed class has begun.
type FirstByte struct {
	ID       string
	Attempt  int // from 0, in order of sending
	Endpoint string
}

// Status is how an attempt or a health check ended.
type Status int

// Statuses of a result.
const (
	OK Status = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	Reset // the connection ended under it
	Canceled
	NotSent
	Miss // no copy, and nobody to fill it
)

// broken reports whether a connection did not come up, or ended under the attempt.
func (s Status) broken() bool { return s == ConnectFailed || s == Reset }

// mayHaveRun reports whether a request whose attempt ended so may have taken effect.
func (s Status) mayHaveRun() bool {
	switch s {
	case Rejected, ConnectFailed, NotSent, Miss:
		return false
	default:
		return true
	}
}

// Reason says how an answer was served or why a fill failed, as far as Settings.AnswerDetail goes.
type Reason int

// Reasons of a result. From ReasonSourceRejected on they tell of a fill that failed.
const (
	ReasonNone           Reason = iota // unknown
	ReasonHit                          // from a fresh copy
	ReasonFilled                       // by the fill source, from a copy that it had
	ReasonFilledByOrigin               // by the origin, through the fill source or straight
	ReasonCoalesced                    // with a fill that was running
	ReasonStale                        // from a copy within the class's stale grace
	ReasonSourceRejected               // the fill source rejected the fill
	ReasonSourceLost                   // the connection to the fill source broke
	ReasonSourceMiss                   // the fill source lacks the object
	ReasonNoFillSlot                   // the cache has no slot left for fills
	ReasonOriginFailed                 // the origin failed the fill source
)

// fillFailed reports whether a fill failed.
func (r Reason) fillFailed() bool { return r >= ReasonSourceRejected }

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID              string // of the request
	Attempt         int    // from 0, in order of sending
	Endpoint        string
	Status          Status
	Reason          Reason
	Final           bool          // the request is finished
	Latency         time.Duration // since the sending
	FillWait        time.Duration
	SizeKB          float64   // of the answer; 0: not known
	LoadReport      []float64 // by Settings.LoadReportFields; nil: no report came with it
	CollateralReset bool      // Reset by what befell another attempt on its connection
}

// HealthCheckResult is the result of a StartHealthCheck.
type HealthCheckResult struct {
	Endpoint   string
	Status     Status
	Latency    time.Duration
	LoadReport []float64
}

// GossipReceived is a message from another director.
type GossipReceived struct {
	From int // its number
	Data string
}

// Purge says that an object, or with no Object every object of the group, was purged.
type Purge struct {
	Object string
	Group  int
	Age    time.Duration // time since it was purged
}

// ClientGone says that no answer is owed to a request any more: its client left, or the caller has answered it at its deadline.
type ClientGone struct{ ID string }

// TimerFired is a SetTimer that fell due.
type TimerFired struct{ Token uint64 }

// Reconfigured says that other classes, and another limit on attempts, hold for the requests that come from now on. Open requests
// keep the rules by which they were admitted.
type Reconfigured struct {
	Classes     []Class
	MaxAttempts int // 0: no limit
}

// PauseSlowStart says that nothing is to be sent to endpoints that are warming up until a time, on the director's clock: another
// process has the budget, or had it a moment ago.
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
