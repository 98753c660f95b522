package routing

import "time"

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

// Reconfigured says that other classes, and another limit on attempts, hold for the requests that come from now on. Those
// that are open keep the rules by which they came.
type Reconfigured struct {
	Classes     []Class
	MaxAttempts int // 0: no limit
}

// PauseSlowStart says that nothing is to be sent to stores that are cold until a time, on the director's clock: another process
// has the budget, or had it a moment ago.
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
