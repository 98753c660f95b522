package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// Probe describes a well-behaved client: it sends small requests at a fixed rate on one connection, and each fifth
// of them is an order.
type Probe struct {
	Addr     string
	Interval time.Duration // between two requests
	For      time.Duration // time in which requests are sent
	Seed     uint64        // distinguishes the ids of its requests
}

// ProbeResult is what a well-behaved client saw.
type ProbeResult struct {
	Due                            int // requests that the client was to send
	Sent, Served, Rejected, Failed int
	Late                           int // answers after the time limit
	Unanswered                     int // requests without an answer
	Twice                          int // second answers
	Cut                            int // connections that the gateway closed, each while the client used it
	Slowest                        time.Duration
	Median                         time.Duration
}

// ordersEvery gives the share of orders among a probe's requests: one of so many.
const ordersEvery = 5

// probeRequest is a request of a probe.
type probeRequest struct {
	sentAt  time.Time
	limit   time.Duration
	answers int
}

// probeRun is the state that the writer and the readers of a probe share.
type probeRun struct {
	spec     Probe
	mu       sync.Mutex
	requests map[uint32]*probeRequest
	result   ProbeResult
	took     []time.Duration
}

// Run plays the client, and waits until each request is answered or its time limit has passed. The error says that it could
// not connect at first.
func (p Probe) Run(ctx context.Context) (ProbeResult, error) {
	run := &probeRun{spec: p, requests: map[uint32]*probeRequest{}}
	run.result.Due = int(p.For / p.Interval)
	conn, err := run.connect()
	if err != nil {
		return run.result, err
	}
	defer func() { conn.close() }()
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	id := uint32(0)
	for end := time.Now().Add(p.For); time.Now().Before(end) && ctx.Err() == nil; {
		<-ticker.C
		id++
		if conn.ended() {
			run.countCut()
			if conn, err = run.connect(); err != nil {
				return run.summary(), fmt.Errorf("probe: connecting again: %w", err)
			}
		}
		run.send(conn, id)
	}
	for end := time.Now().Add(orderLimit + time.Second); run.open() > 0 && !conn.ended() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return run.summary(), nil
}

// probeConn is a connection of a probe.
type probeConn struct {
	close func()
	write func([]byte) error
	done  chan struct{} // closed once the connection has ended
}

func (c *probeConn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// connect opens a connection and reads its answers.
func (r *probeRun) connect() (*probeConn, error) {
	conn, err := loopback.DialTimeout(r.spec.Addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &probeConn{done: make(chan struct{}), close: func() { loopback.Close(conn) }}
	c.write = func(b []byte) error {
		_, err := conn.Write(b)
		return err
	}
	go func() {
		defer close(c.done)
		answers := rpc.NewReader(conn)
		for {
			a, err := answers.Next()
			if err != nil {
				return
			}
			r.answered(a)
		}
	}()
	return c, nil
}

// send sends the request with a message id.
func (r *probeRun) send(c *probeConn, id uint32) {
	q := &probeRequest{limit: imageLimit, sentAt: time.Now()}
	txn := fmt.Sprintf("%08x%08x", uint32(0x90000000|r.spec.Seed), id)
	message := &rpc.Request{ID: id, Class: "images", Txn: txn, Limit: imageLimit, Object: fmt.Sprintf("%016x", id%floodObjects)}
	if id%ordersEvery == 0 {
		q.limit = orderLimit
		message = &rpc.Request{ID: id, Class: "orders", Txn: txn, Limit: orderLimit, Key: "k-" + txn, Object: txn, Body: bytes.Repeat([]byte("x"), 100)}
	}
	r.mu.Lock()
	r.requests[id] = q
	r.result.Sent++
	r.mu.Unlock()
	_ = c.write(encode(message)) // a request that could not be written counts as unanswered
}

// answered records an answer.
func (r *probeRun) answered(a rpc.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[a.ID]
	if q == nil {
		return
	}
	q.answers++
	if q.answers > 1 {
		r.result.Twice++
		return
	}
	took := time.Since(q.sentAt)
	r.took = append(r.took, took)
	if took > q.limit+answerSlack {
		r.result.Late++
	}
	switch a.Error {
	case "":
		r.result.Served++
	case rpc.Backoff:
		r.result.Rejected++
	default:
		r.result.Failed++
	}
}

func (r *probeRun) countCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Cut++
}

// open returns the number of requests without an answer.
func (r *probeRun) open() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.requests {
		if q.answers == 0 {
			n++
		}
	}
	return n
}

func (r *probeRun) summary() ProbeResult {
	open := r.open()
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.result
	res.Unanswered = open
	slices.Sort(r.took)
	if n := len(r.took); n > 0 {
		res.Slowest, res.Median = r.took[n-1], r.took[n/2]
	}
	return res
}

// servedShare is the share of the requests that must be served beside a crowd.
const servedShare = 0.95

// Check returns an error that says what a well-behaved client may not see beside a crowd: requests without an answer in
// time, a closed connection, or more than a twentieth of the requests not served.
func (res ProbeResult) Check() error {
	var all []error
	if res.Unanswered > 0 || res.Late > 0 || res.Twice > 0 {
		all = append(all, fmt.Errorf("%d requests were not answered, %d were answered late, %d twice", res.Unanswered, res.Late, res.Twice))
	}
	if float64(res.Sent) < servedShare*float64(res.Due) {
		all = append(all, fmt.Errorf("%d of %d requests could be written in time", res.Sent, res.Due))
	}
	if res.Cut > 0 {
		all = append(all, fmt.Errorf("its connection was closed %d times", res.Cut))
	}
	if float64(res.Served) < servedShare*float64(res.Sent) {
		all = append(all, fmt.Errorf("%d of %d requests were served, %d rejected, %d failed", res.Served, res.Sent, res.Rejected, res.Failed))
	}
	return errors.Join(all...)
}
