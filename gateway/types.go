// Package gateway is the core of larchusher: requests, the attempts made for them, how those end, and the
// one final answer each request gets. It knows no wire, socket or encoding. A front submits requests and
// takes answers, a [Backend] carries attempts to stores, and a director of package routing makes every
// decision in between.
//
// All of it runs on one [Loop].
package gateway

import (
	"time"

	"larchusher/overload"
	"larchusher/routing"
)

// Request is what a front takes in. The fields above the gap are the front's to fill in.
type Request struct {
	ID              string // the client's own id, passed on to stores unchanged
	Class           string
	Tenant          string
	Object          string
	Part            int
	Group           int
	SizeKB          float64 // of the part, as its client tells it; 0: not told
	IdempotencyKey  string  // idempotency key, in keyed classes
	IfNoneMatch     string  // tag of a copy that the client holds
	Body            []byte
	Retry           bool
	Deadline        time.Time // when the client stops waiting
	Answer          func(Answer)
	ClientConnected func() bool // whether the client still waits, asked right before each attempt is written; nil: until it is abandoned

	ArrivedAt   time.Time // when its wait for a turn began; zero: as it is submitted
	Front       Front
	Admitted    bool    // the door has let it in
	Client      *Client // whose answers it adds to; nil: they take no memory for long
	RetainsBody bool    // the answer's body is used after Answer has returned

	class       *routing.Class // as it was when the request came; nil: the settings do not name it
	maxAttempts int            // likewise; 0: no limit

	queueItem      overload.Item
	band           int
	reservedBytes  int64 // memory set aside for the answer
	directorTimers []*Timer

	directorID       string
	answered         bool
	locality         int  // place of the locality that it is for
	firstInLocality  int  // of its attempts, the first for that locality
	rerouted         bool // from another
	attempts         []*Attempt
	attemptsInFlight int // attempts that have not ended
	deadlineTimer    *Timer
}

// Outcome is the kind of a final answer.
type Outcome int

// The outcomes of a request.
const (
	Served      Outcome = iota // Body holds the object's bytes
	NotModified                // the copy that the client holds is the one
	Rejected                   // trying again is harmless, after RetryAfter
	Failed                     // it may have run
	Expired                    // no answer in time; as Failed, or as Refused where Harmless is set
)

// String names an outcome, as the counters do.
func (o Outcome) String() string {
	return [...]string{"served", "unchanged", "refused", "failed", "expired"}[o]
}

// Answer is the one final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte
	ETag       string // of the copy served
	RetryAfter time.Duration
	Retryable  bool // trying again is harmless
}

// Attempt is one sending of a request to a store.
type Attempt struct {
	Request      *Request
	Endpoint     string // id of the store
	FillSource   string // who fills a miss; empty: nobody
	CacheRank    int
	MaxAge       time.Duration // oldest copy that will do; 0: the class's own limit
	Coalesce     bool
	OnlyIfCached bool // the source gives only what it holds
	NoParentCopy bool
	RefreshAhead bool
	Deadline     time.Time // when to stop waiting

	// Wire belongs to the backend.
	BackendState any

	locality      int // place of the locality whose director made it,
	number        int // and which of that director's it is
	startedAt     time.Time
	pausedAtStart time.Duration // to stalls, by then
	ended         bool
	timer         *Timer
}

// Result is how an attempt ended.
type Result struct {
	Status          routing.Status
	Reason          routing.Reason
	FillWait        time.Duration // until the source's first byte; 0: not told
	LoadReport      []float64
	Body            []byte
	ETag            string
	NotModified     bool // with routing.OK: the client's copy is the one
	BodyDropped     bool // with routing.OK: there was no memory for the body, which has been passed over
	CollateralReset bool // with routing.Reset: another attempt's answer broke the connection that they shared

	ReceivedAt  time.Time // when its last byte came; zero: now
	ReleaseBody func()    // takes Body's memory back, once nobody uses it any more; nil: nothing does
}

// Backend carries attempts to stores. It calls [Gateway.ConfirmAttempt] right before the first byte of an attempt
// leaves, and [Gateway.AttemptEnded] once for each attempt that was not canceled.
type Backend interface {
	Send(a *Attempt)
	Cancel(a *Attempt) // nothing more is wanted of a
}

// GossipSender carries messages to the other gateways. To is a peer's number or routing.AllDirectors.
type GossipSender interface {
	SendGossip(to int, data string)
}
