package routing

import "time"

// Action is an instruction from a director to its caller.
type Action interface{ action() }

// CacheRank is the rank at which a cache keeps a copy. Copies of the lowest rank are evicted first;
// within a rank, the least recently used ones.
type CacheRank int

// Ranks of a copy, with their values on the wire.
const (
	RankNone   CacheRank = 0 // no copy is kept; an existing copy keeps its rank
	RankLow    CacheRank = 1
	RankMiddle CacheRank = 2
	RankTop    CacheRank = 3
)

// ForwardAttempt sends an attempt to an endpoint.
type ForwardAttempt struct {
	ID           string // of the request
	Endpoint     string
	FillSource   string        // endpoint that fills a miss; the same as Endpoint: none
	Timeout      time.Duration // 0: until the client gives up
	MaxAge       time.Duration // maximum age of the copy served; 0: the class's FreshFor
	CacheRank    CacheRank     // of the copy
	Coalesce     bool          // join a fill that is in flight
	OnlyIfCached bool          // the fill source serves only from its cache
	NoParentCopy bool          // the fill source keeps no copy; the director never sets it
	RefreshAhead bool          // serve a copy that is about to expire, and refresh it
}

// Reject is a final answer that guarantees that repeating the request does no harm, at whichever gateway and however late.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0: no Retry-After is sent
}

// Fail is a final answer without a guarantee: the request may have taken effect.
type Fail struct{ ID string }

// CancelAttempt stops waiting for an attempt's result.
type CancelAttempt struct {
	ID      string
	Attempt int // from 0, in order of sending
}

// SetTimer requests a [TimerFired] event.
type SetTimer struct {
	At        time.Duration
	Token     uint64
	RequestID string // the timer is void once this request is finished; empty: it belongs to no request
}

// SendGossip sends a message of at most 256 bytes to one director, or to all.
type SendGossip struct {
	To   int // number of the receiver, or AllDirectors
	Data string
}

// AllDirectors addresses a [SendGossip] to all other directors.
const AllDirectors = -1

// StartHealthCheck starts a health check of an endpoint; the result is a [HealthCheckResult].
type StartHealthCheck struct{ Endpoint string }

// PollEndpoints asks discovery for changes of the endpoint list.
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
