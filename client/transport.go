package client

import "time"

// Try is an attempt of a request, passed to [Conn.Send].
type Try struct {
	ID      uint64        // id of the attempt, for Conn.Abandon and Events.Answer; increases on each connection
	Request *Request      // not to be changed
	Txn     string        // transaction id: 16 hex digits, new for each attempt
	Key     string        // idempotency key, the same for all attempts of a request; empty: the class has none
	Limit   time.Duration // time within which the gateway must answer
	Second  bool          // the attempt is not the first of its request
}

// Answer is the answer to an attempt: served if OK, else rejected if Backoff, else failed.
type Answer struct {
	OK        bool
	Backoff   bool
	Later     time.Duration // for a rejection: how long to wait before the next attempt; 0: not given
	Unchanged bool          // the copy named by Request.Have is current
	Body      []byte        // belongs to the caller of Do
	Tag       string        // tag of the object; empty: not given
	Err       error         // for a failure: the cause; nil: not known
}

// Events receives the events of a connection. A connection may call its methods from any goroutine, but not from within
// a call of a method of [Transport] or [Conn]: the client calls those with its mutex locked.
type Events interface {
	// Up reports that the connection was established.
	Up()
	// Down reports that the connection could not be established or has ended. It is called exactly once for a connection,
	// also after Conn.Close, as the last event and after all goroutines of the connection have ended. clean means that the
	// gateway closed the connection in order, and that no byte of the attempts in flight can have reached the gateway.
	Down(clean bool)
	// Heard reports a message other than the answer to an attempt in flight. alive means that it is the answer to a health
	// check, and that the gateway is healthy.
	Heard(alive bool)
	// Answer reports the answer to the attempt with the id try.
	Answer(try uint64, a Answer)
}

// Transport opens connections to gateways. Its methods and those of its connections must not block, and must not call a
// method of [Events] themselves; see there.
type Transport interface {
	// Connect starts to connect to a gateway. The connection reports Up within the timeout, or Down.
	Connect(gateway string, timeout time.Duration, ev Events) Conn
}

// Conn is a connection to a gateway. The client calls one method at a time.
type Conn interface {
	// Send sends an attempt.
	Send(Try)
	// Abandon cancels an attempt: its answer is no longer needed.
	Abandon(try uint64)
	// Probe sends a health check. If the gateway answers, the connection reports Heard.
	Probe()
	// Close ends the connection, which then reports Down.
	Close()
}
