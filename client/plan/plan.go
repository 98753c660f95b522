// Package plan makes the decisions of a client of several gateways: which gateway each call is sent to, when to connect,
// whether to retry and when to give up. It does no I/O, reads no clock, starts no goroutine, and draws random numbers only
// from the source passed to [New], so that the same events always produce the same actions. Package client executes these
// actions on real connections and calls the planner under a mutex.
//
// A driver passes each [Event] to [Planner.Handle], executes the returned actions in order, and passes in a [Timer] event
// at the time returned by [Planner.NextTimer]. Times are durations since an arbitrary start of one monotonic clock.
//
// A call is sent in one or more attempts and ends with exactly one [Ending]. The rules are in these files:
//
//   - deadline.go: when a call expires;
//   - dispatch.go, gateway.go: in which order waiting calls are sent, and to which gateway;
//   - retry.go: which calls may be sent again, and the retry budget;
//   - key.go: what calls with the same idempotency key know of each other;
//   - health.go: when a gateway is ejected, and when it is used again;
//   - conn.go: when to connect, and how reconnects are spread over time;
//   - result.go: what the planner does with an answer;
//   - timer.go: which timers are due, and when the next one is.
package plan

import "time"

// Effect classifies requests by what happens if one is executed more than once.
type Effect int

// Effects of a class.
const (
	Idempotent        Effect = iota // may be executed any number of times
	IdempotentWithKey               // endpoints drop a repeat with the same idempotency key for Class.Window
	NonIdempotent                   // must not be executed twice
)

// Class describes a class of requests to the planner.
type Class struct {
	Name     string
	Effect   Effect
	Window   time.Duration // for IdempotentWithKey: how long after the first attempt was sent endpoints drop its repeats
	Worth    float64       // priority weight: of the waiting calls, those with the highest weight are sent first
	Deadline time.Duration // longest time that a call may take; 0: limited by the deadline of the call only
}

// Ending is the result of a call.
type Ending int

// Endings of a call.
const (
	// Served: a gateway answered the call.
	Served Ending = iota
	// Refused: the call was rejected, or every usable gateway rejects its class until too late. It may be made again at any
	// time: nothing ran, except that an attempt of an Idempotent call may have run.
	Refused
	// Failed: a gateway answered an attempt with a failure. The call may have run.
	Failed
	// Unknown: a connection was lost before the answer to an attempt. The call may have run.
	Unknown
	// Expired: the deadline passed before an answer. The call may have run.
	Expired
	// Unsent: no attempt was sent by the deadline, or the class is not configured. Nothing ran, of other calls with the same key
	// neither.
	Unsent
	// Closed: the planner was closed before the call ended. The call may have run if an attempt had been sent.
	Closed
)

// String returns the name of an ending in counters, metrics and traces.
func (e Ending) String() string {
	return [...]string{"served", "refused", "failed", "unknown", "expired", "unsent", "closed"}[e]
}

// Event is an input of the planner; see [Planner.Handle].
type Event interface{ event() }

// Call starts a call, which ends with one [End] unless it is cancelled. ID must differ from those of all open calls.
// Deadline is a time on the planner's clock.
type Call struct {
	ID       uint64
	Class    string
	Key      string // idempotency key that the caller has chosen, and may use for other calls; empty: none
	Deadline time.Duration
}

// Cancelled reports that the caller no longer waits for a call. The planner abandons its attempts and emits no [End].
type Cancelled struct{ ID uint64 }

// Up reports that a connection was established.
type Up struct{ Conn uint64 }

// Down reports that a connection could not be established or has ended.
type Down struct {
	Conn  uint64
	Clean bool // the gateway closed it in order, and no byte of the attempts in flight can have reached the gateway
}

// Received reports a message other than the answer to an attempt in flight, such as the answer to a health check.
type Received struct {
	Conn    uint64
	Healthy bool // it is the answer to a health check, and the gateway is healthy
}

// Answered reports the answer to an attempt: served if OK, else rejected if Rejected, else failed.
type Answered struct {
	Conn, Attempt uint64
	OK, Rejected  bool
	RetryAfter    time.Duration // for a rejection: when the class may be sent to this gateway again; 0: not given
}

// Timer reports that the time returned by [Planner.NextTimer] has come. A Timer at any other time is harmless.
type Timer struct{}

// Close ends all calls as [Closed] and closes all connections.
type Close struct{}

func (Call) event()      {}
func (Cancelled) event() {}
func (Up) event()        {}
func (Down) event()      {}
func (Received) event()  {}
func (Answered) event()  {}
func (Timer) event()     {}
func (Close) event()     {}

// Action is an output of the planner, to be executed by the driver; see [Planner.Handle].
type Action interface{ action() }

// Connect opens a connection to a gateway. The driver answers with [Up] or [Down].
type Connect struct {
	Conn    uint64
	Gateway string
}

// Send sends an attempt of a call. Attempt ids are unique and increase on each connection.
type Send struct {
	Conn, Attempt, Call uint64
	Limit               time.Duration // time within which the gateway must answer
	Retry               bool          // the attempt is not the first of its call
	SendKey             bool          // the idempotency key of the call is sent with the attempt
}

// Abandon cancels an attempt: its answer is no longer needed.
type Abandon struct{ Conn, Attempt uint64 }

// HealthCheck sends a health check on a connection. The driver reports the answer as [Received].
type HealthCheck struct{ Conn uint64 }

// Disconnect closes a connection. No [Down] has to follow; the planner ignores one that does.
type Disconnect struct{ Conn uint64 }

// End ends a call.
type End struct {
	Call       uint64
	Ending     Ending
	Attempt    uint64        // the attempt whose answer or lost connection ended the call; 0: none
	RetryAfter time.Duration // for Refused: how long the caller should wait before a new call; 0: not given
	Attempts   int           // number of attempts that were sent
}

func (Connect) action()     {}
func (Send) action()        {}
func (Abandon) action()     {}
func (HealthCheck) action() {}
func (Disconnect) action()  {}
func (End) action()         {}
