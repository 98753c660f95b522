package client

import "time"

// Try is one attempt of a request.
type Try struct {
	ID      uint64
	Request *Request
	Txn     string        // 16 hex digits, new with every attempt
	Key     string        // idempotency key, the same with all attempts of a request; empty: the class has none
	Limit   time.Duration // the time that the gateway has for it
	Second  bool          // it is not the first
}

// Answer is what comes back for an attempt: served if OK, else rejected if Backoff, else failed.
type Answer struct {
	OK        bool
	Backoff   bool
	Later     time.Duration // of a rejection: when to come back; 0: it was not told
	Unchanged bool          // the copy that the caller holds is current
	Body      []byte
	Tag       string
	Err       error // why it failed, where that is known
}

// Events is what a connection reports, from any goroutine but not from within a call of its methods.
type Events interface {
	Up()
	// Down comes once, as the last of all: also after Close, and when nothing of the connection runs any more. clean: the
	// gateway closed it in order, and nothing of the attempts in flight can have reached it.
	Down(clean bool)
	Heard(alive bool)
	Answer(try uint64, a Answer)
}

// Transport carries requests to gateways. Its methods and those of its connections must not block.
type Transport interface {
	// Connect begins to connect. Up follows, or Down.
	Connect(gateway string, timeout time.Duration, ev Events) Conn
}

// Conn is one connection.
type Conn interface {
	Send(Try)
	Abandon(try uint64) // no answer is wanted any more
	Probe()             // a health check: Heard follows, if the gateway is there
	Close()             // Down follows
}
