// Package plan decides for a client of several gateways: which gateway a call is sent to, when to connect, whether to
// retry, and when to give up. It does no I/O, reads no clock, starts no goroutine and draws only from the source that it
// is given, so that the same events give the same actions. Package client drives it on real connections, under a lock.
//
// A driver hands each [Event] to [Planner.Handle], carries out the actions in their order, and hands in a [Timer]
// event at the time that [Planner.NextTimer] returns. Times are spans on one clock that runs forward from any beginning.
//
// A call has one or more attempts and one [Ending]. The rules stand in these files:
//
//   - deadline.go: when a call is given up;
//   - dispatch.go, gateway.go: which waiting call is sent first, and to which gateway;
//   - retry.go: what may be sent again, and the retry budget;
//   - health.go: when a gateway is ejected, and when it returns;
//   - conn.go: when to connect, and how reconnects are spread;
//   - result.go: what an answer changes;
//   - timer.go: what is due, and when.
package plan

import "time"

// Effect says what repeating a request of a class may do.
type Effect int

// The effects of a class.
const (
	Idempotent        Effect = iota // may be repeated freely
	IdempotentWithKey               // a repeat with the same key is dropped during the class's window
	NonIdempotent                   // must not run twice
)

// Class is what the planner needs to know of a class of requests.
type Class struct {
	Name     string
	Effect   Effect
	Window   time.Duration // of IdempotentWithKey: for how long after an attempt has been sent a repeat is dropped
	Worth    float64       // priority weight: of the calls that wait, the highest is sent first
	Deadline time.Duration // no call takes longer; 0: as long as its own deadline says
}

// Ending is how a call ended.
type Ending int

// The endings of a call.
const (
	Served  Ending = iota // with an answer
	Refused               // rejected: nothing ran; come back later
	Failed                // the gateway said so, and it may have run
	Unknown               // it may have run, and nobody can say
	Expired               // there was no time left
	Unsent                // no gateway could be reached; nothing ran
	Closed                // the client was closed
)

// String is an ending's name in counters, metrics and traces.
func (e Ending) String() string {
	return [...]string{"served", "refused", "failed", "unknown", "expired", "unsent", "closed"}[e]
}

// Event is anything that reaches a planner.
type Event interface{ event() }

// Call asks for one ending, by a deadline on the planner's clock. ID must be new among the open calls.
type Call struct {
	ID       uint64
	Class    string
	Deadline time.Duration
}

// Cancelled says that nobody waits for a call any more. No End follows.
type Cancelled struct{ ID uint64 }

// Up says that a connection came up.
type Up struct{ Conn uint64 }

// Down says that a connection did not come up or has ended.
type Down struct {
	Conn  uint64
	Clean bool // the gateway closed it in order, and nothing of the attempts in flight can have reached it
}

// Received says that something came on a connection that is no answer to an attempt, such as the answer to a health check.
type Received struct {
	Conn    uint64
	Healthy bool // it answers a health check with yes
}

// Answered is the answer to an attempt: served if OK, else rejected if Rejected, else failed.
type Answered struct {
	Conn, Attempt uint64
	OK, Rejected  bool
	RetryAfter    time.Duration // of a rejection; 0: none was given
}

// Timer says that the time given by [Planner.NextTimer] has come. It does no harm at other times.
type Timer struct{}

// Close ends all calls and connections.
type Close struct{}

func (Call) event()      {}
func (Cancelled) event() {}
func (Up) event()        {}
func (Down) event()      {}
func (Received) event()  {}
func (Answered) event()  {}
func (Timer) event()     {}
func (Close) event()     {}

// Action is anything that a planner wants done.
type Action interface{ action() }

// Connect opens a connection; Up or Down follows.
type Connect struct {
	Conn    uint64
	Gateway string
}

// Send sends an attempt of a call. Attempt ids are new with each and rise on a connection.
type Send struct {
	Conn, Attempt, Call uint64
	Limit               time.Duration // the time that the gateway has for it
	Retry               bool          // it is not the call's first attempt
	SendKey             bool          // the call's idempotency key is sent with it
}

// Abandon says that no answer to an attempt is wanted any more.
type Abandon struct{ Conn, Attempt uint64 }

// HealthCheck asks a connection whether its gateway serves; Received follows if it answers.
type HealthCheck struct{ Conn uint64 }

// Disconnect closes a connection; no Down follows.
type Disconnect struct{ Conn uint64 }

// End ends a call.
type End struct {
	Call       uint64
	Ending     Ending
	Attempt    uint64        // the attempt that was answered; 0: none was
	RetryAfter time.Duration // of Refused: when to come back
	Attempts   int           // how many were sent
}

func (Connect) action()     {}
func (Send) action()        {}
func (Abandon) action()     {}
func (HealthCheck) action() {}
func (Disconnect) action()  {}
func (End) action()         {}
