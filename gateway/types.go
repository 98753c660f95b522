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
	Ref      string // the client's own id, passed on to stores unchanged
	Class    string
	Tenant   string
	Object   string
	Part     int
	Group    int
	SizeKB   float64 // of the part, as its client tells it; 0: not told
	Key      string  // idempotency key, in keyed classes
	Have     string  // tag of a copy that the client holds
	Body     []byte
	Retry    bool
	Deadline time.Time // when the client stops waiting
	Answer   func(Answer)
	There    func() bool // whether the client still waits, asked right before each attempt is written; nil: until it is abandoned

	Arrived  time.Time // when its wait for a turn began; zero: as it is submitted
	Front    Front
	Admitted bool    // the door has let it in
	Client   *Client // whose answers it adds to; nil: they take no memory for long
	Keeps    bool    // the answer's body is used after Answer has returned

	class       *routing.Class // as it was when the request came; nil: the settings do not name it
	maxAttempts int            // likewise; 0: no limit

	place    overload.Item
	band     int
	reserved int64 // memory set aside for the answer
	wakes    []*Timer

	id       string
	answered bool
	where    int  // place of the locality that it is for
	first    int  // of its attempts, the first for that locality
	moved    bool // from another
	attempts []*Attempt
	out      int // attempts that have not ended
	expiry   *Timer
}

// Outcome is the kind of a final answer.
type Outcome int

// The outcomes of a request.
const (
	Served    Outcome = iota // Body holds the object's bytes
	Unchanged                // the copy that the client holds is the one
	Refused                  // trying again is harmless, after RetryAfter
	Failed                   // it may have run
	Expired                  // no answer in time; as Failed, or as Refused where Harmless is set
)

// String names an outcome, as the counters do.
func (o Outcome) String() string {
	return [...]string{"served", "unchanged", "refused", "failed", "expired"}[o]
}

// Answer is the one final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte
	Tag        string // of the copy served
	RetryAfter time.Duration
	Harmless   bool // trying again is harmless
}

// Attempt is one sending of a request to a store.
type Attempt struct {
	Request *Request
	Server  string // id of the store
	Source  string // who fills a miss; empty: nobody
	Keep    int
	MaxAge  time.Duration // oldest copy that will do; 0: the class's own limit
	Join    bool
	Held    bool // the source gives only what it holds
	NoCopy  bool
	Renew   bool
	Expiry  time.Time // when to stop waiting

	// Wire belongs to the backend.
	Wire any

	where  int // place of the locality whose director made it,
	number int // and which of that director's it is
	sent   time.Time
	lost   time.Duration // to stalls, by then
	ended  bool
	timer  *Timer
}

// Result is how an attempt ended.
type Result struct {
	Status    routing.Status
	Note      routing.Reason
	FillWait  time.Duration // until the source's first byte; 0: not told
	Load      []float64
	Body      []byte
	Tag       string
	Unchanged bool // with routing.OK: the client's copy is the one
	Dropped   bool // with routing.OK: there was no memory for the body, which has been passed over
	Along     bool // with routing.Reset: another attempt's answer broke the connection that they shared

	At   time.Time // when its last byte came; zero: now
	Free func()    // takes Body's memory back, once nobody uses it any more; nil: nothing does
}

// Backend carries attempts to stores. It calls [Gateway.Clear] right before the first byte of an attempt
// leaves, and [Gateway.Ended] once for each attempt that was not cancelled.
type Backend interface {
	Send(a *Attempt)
	Cancel(a *Attempt) // nothing more is wanted of a
}

// Peers carries messages to the other gateways. To is a peer's number or routing.AllDirectors.
type Peers interface {
	Tell(to int, data string)
}
