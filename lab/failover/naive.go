package failover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"larchusher/client"
	"larchusher/lab/clientsim"
)

// naive is a client without overload protection, such as a developer writes in an hour. It has one connection, connects to
// the next gateway when that is lost, and sends all open requests again on the new one. It also retries after a rejection
// or a failure. Its kind determines the delays. It sets the retry flag and keeps idempotency keys, since the gateway would
// otherwise treat retries as new requests, but it has no retry budget, ignores Retry-After and doesn't spread its
// connections over time. The mutex guards the fields below it.
type naive struct {
	kind  clientsim.Kind
	addrs []string
	rpc   client.RPC

	mu          sync.Mutex
	nextGateway int // index in addrs, modulo its length
	failures    int // consecutive failed or lost connections
	conn        client.Conn
	up          bool
	serial      uint64              // id of the latest attempt
	open        map[uint64]*request // by the id of the latest attempt
	queued      []*request          // waiting for a connection
	closed      bool
	conns       sync.WaitGroup // connections whose Down event is outstanding
}

// request is a request of a naive client.
type request struct {
	client.Request
	key      string
	tries    int
	deadline time.Time
	ended    bool
	done     chan struct{}
}

// newNaive returns naive client n. Clients start with different gateways, according to n.
func newNaive(kind clientsim.Kind, addrs []string, n int) *naive {
	return &naive{kind: kind, addrs: addrs, nextGateway: n, open: map[uint64]*request{}}
}

// retryDelay returns the delay before the next attempt after a number of failures.
func (n *naive) retryDelay(failures int) time.Duration {
	switch n.kind {
	case clientsim.FixedWait:
		return time.Second
	case clientsim.ExponentialWait:
		return 100 * time.Millisecond << min(failures, 6)
	default: // NoWait
		return 0
	}
}

// dispatch makes a request and waits until it is served or ctx, which must have a deadline, ends.
func (n *naive) dispatch(ctx context.Context, class, object string) error {
	r := &request{Request: client.Request{Class: class, Object: object}, key: object + object, done: make(chan struct{})}
	r.deadline, _ = ctx.Deadline()
	n.mu.Lock()
	n.send(r)
	n.mu.Unlock()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.ended {
		return nil
	}
	r.ended = true
	for id, o := range n.open {
		if o == r {
			delete(n.open, id)
			if n.up {
				n.conn.Abandon(id)
			}
		}
	}
	return errors.New("no answer before the deadline")
}

// send sends a request, or queues it until a connection is up. The caller holds n.mu.
func (n *naive) send(r *request) {
	if n.closed || r.ended {
		return
	}
	if !n.up {
		n.queued = append(n.queued, r)
		if n.conn == nil {
			n.connect()
		}
		return
	}
	n.serial++
	r.tries++
	n.open[n.serial] = r
	t := client.Try{ID: n.serial, Request: &r.Request, Txn: r.Object[:8] + fmt.Sprintf("%08x", n.serial), Limit: time.Until(r.deadline),
		Second: r.tries > 1}
	if r.Class == "orders" {
		t.Key = r.key
	}
	n.conn.Send(t)
}

// connect starts to connect to the next gateway unless a connection exists. The caller holds n.mu.
func (n *naive) connect() {
	if n.closed || n.conn != nil {
		return
	}
	n.conns.Add(1)
	n.conn = n.rpc.Connect(n.addrs[n.nextGateway%len(n.addrs)], time.Second, &naiveEvents{n: n})
}

// close closes the connection and waits for its Down event.
func (n *naive) close() {
	n.mu.Lock()
	n.closed = true
	if n.conn != nil {
		n.conn.Close()
	}
	n.mu.Unlock()
	n.conns.Wait()
}

// afterDelay calls f under n.mu after a delay, or at once if the delay is 0. The caller holds n.mu. f has to check itself
// whether the client has been closed.
func (n *naive) afterDelay(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		f()
	})
}

// naiveEvents receives the events of one connection of a naive client.
type naiveEvents struct{ n *naive }

func (e *naiveEvents) Up() {
	n := e.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conn == nil {
		return
	}
	n.up, n.failures = true, 0
	queued := n.queued
	n.queued = nil
	for _, r := range queued {
		n.send(r)
	}
}

func (e *naiveEvents) Down(bool) {
	n := e.n
	defer n.conns.Done()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conn, n.up = nil, false
	for _, r := range n.open {
		n.queued = append(n.queued, r)
	}
	clear(n.open)
	n.nextGateway++
	n.failures++
	d := n.retryDelay(n.failures - 1)
	if d == 0 && n.failures > 1 {
		d = time.Millisecond // without a delay, failing connects would use all processor time
	}
	n.afterDelay(d, n.connect) // reconnects even without open requests
}

func (e *naiveEvents) Heard(bool) {}

func (e *naiveEvents) Answer(try uint64, a client.Answer) {
	n := e.n
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.open[try]
	delete(n.open, try)
	switch {
	case r == nil || r.ended:
	case a.OK:
		r.ended = true
		close(r.done)
	default:
		n.afterDelay(max(time.Millisecond, n.retryDelay(r.tries-1)), func() { n.send(r) })
	}
}
