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

// naive is a client as one writes it in an hour: one connection, the next gateway when it is lost, all that was open sent
// again once there is another, and again after a refusal or a failure. Its kind says how long it waits. It marks its
// repeats and keeps keys, since the gateway would else take them for new ones, but knows no budget, no advice and no
// spread.
type naive struct {
	kind  clientsim.Kind
	addrs []string
	rpc   client.RPC

	mu          sync.Mutex
	nextGateway int
	failures    int
	conn        client.Conn
	up          bool
	serial      uint64
	open        map[uint64]*request // by its latest try
	queued      []*request          // that wait for a connection
	closed      bool
	conns       sync.WaitGroup
}

type request struct {
	client.Request
	key      string
	tries    int
	deadline time.Time
	ended    bool
	done     chan struct{}
}

func newNaive(kind clientsim.Kind, addrs []string, n int) *naive {
	return &naive{kind: kind, addrs: addrs, nextGateway: n, open: map[uint64]*request{}}
}

// wait is how long it waits after so many failures.
func (n *naive) retryDelay(fails int) time.Duration {
	switch n.kind {
	case clientsim.FixedWait:
		return time.Second
	case clientsim.ExponentialWait:
		return 100 * time.Millisecond << min(fails, 6)
	default: // at once
		return 0
	}
}

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
	return errors.New("no answer in time")
}

// put sends a request, or has it wait for a connection. It is called under the lock, as all below are.
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

func (n *naive) connect() {
	if n.closed || n.conn != nil {
		return
	}
	n.conns.Add(1)
	n.conn = n.rpc.Connect(n.addrs[n.nextGateway%len(n.addrs)], time.Second, &naiveEvents{n: n})
}

func (n *naive) close() {
	n.mu.Lock()
	n.closed = true
	if n.conn != nil {
		n.conn.Close()
	}
	n.mu.Unlock()
	n.conns.Wait()
}

// later does something after a wait, if there still is a client by then.
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

// naiveEvents are one connection's.
type naiveEvents struct{ n *naive }

func (e *naiveEvents) Up() {
	n := e.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conn == nil {
		return
	}
	n.up, n.failures = true, 0
	idle := n.queued
	n.queued = nil
	for _, r := range idle {
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
		d = time.Millisecond // or it would do nothing else
	}
	n.afterDelay(d, n.connect) // it keeps a connection open
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
