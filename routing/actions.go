package routing

import "time"

// Action is anything that a director wants done.
type Action interface{ action() }

// CacheRank is the rank at which a cache keeps a copy: those of the lowest rank are evicted first, of one rank the least recently
// used first.
type CacheRank int

// Ranks of a copy, with their values on the wire.
const (
	RankNone   CacheRank = 0 // no copy is kept, and one that is there keeps its rank
	RankLow    CacheRank = 1
	RankMiddle CacheRank = 2
	RankTop    CacheRank = 3
)

// ForwardAttempt sends an attempt to an endpoint.
type ForwardAttempt struct {
	ID           string // of the request
	Endpoint     string
	FillSource   string        // who fills a miss; the endpoint itself: nobody
	Timeout      time.Duration // 0: until the client gives up
	MaxAge       time.Duration // oldest copy that will do; 0: the class's fresh time
	CacheRank    CacheRank     // of the copy
	Coalesce     bool          // wait for a fill that is running
	OnlyIfCached bool          // the source gives only what it has cached
	NoParentCopy bool          // leave no copy at the parent
	RefreshAhead bool          // serve an aging copy and fetch it anew
}

// Reject is a final answer that promises that repeating the request does no harm.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0: none is sent
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int // from 0, in order of sending
}

// SetTimer asks for a TimerFired event.
type SetTimer struct {
	At        time.Duration
	Token     uint64
	RequestID string // the timer is void when this request is finished; empty: it belongs to none
}

// SendGossip sends a message of at most 256 bytes to one director.
type SendGossip struct {
	To   int // its number, or AllDirectors
	Data string
}

// AllDirectors addresses a SendGossip to all other directors.
const AllDirectors = -1

// StartHealthCheck checks an endpoint.
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
