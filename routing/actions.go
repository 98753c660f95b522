package routing

import "time"

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
