// Package faultproxy is a proxy between clients and a gateway. It records every request that passes and injects faults:
// resets, split answers, closed connections and silence.
package faultproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// Request is a request that a client sent through the proxy.
type Request struct {
	At            time.Time // when its bytes were read from the client
	Conn          int       // number of the client connection, from 0
	ID            uint64    // message id
	Class, Object string
	Part          string
	Txn, Key      string // id of this try, and the idempotency key
	Retry         bool   // marked by the client as not the first try of its call
}

// Proxy is a running proxy. Its methods may be called from any goroutine, except that Down, Up and Close must not run at
// the same time.
type Proxy struct {
	Addr string // where clients connect

	l              net.Listener
	mu             sync.Mutex // guards the fields below
	target         string     // address of the gateway
	nextConn       int        // number of the next client connection
	requests       []Request
	rejections     []Rejection
	connectTimes   []time.Time
	conns          map[net.Conn]bool // open client connections
	rng            *rand.Rand        // decides which connections are closed by InjectFaults
	cutProbability float64           // probability, for each read from the gateway, of closing the connection
	maxChunk       int               // largest write to a client, in bytes; 0: no limit
	unresponsive   bool              // new connections are accepted, but nothing is forwarded
}

// Rejection is an answer by which the gateway rejected a request.
type Rejection struct {
	At         time.Time     // when it was read from the gateway
	Conn       int           // number of the client connection, from 0
	ID         uint64        // message id of the request
	RetryAfter time.Duration // as sent by the gateway
}

// New starts a proxy to the gateway at target, on a loopback address. The seed determines where connections are cut.
func New(target string, seed uint64) (*Proxy, error) {
	l, err := loopback.Listen("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: starting to listen: %w", err)
	}
	r := &Proxy{Addr: l.Addr().String(), l: l, target: target, conns: map[net.Conn]bool{}, rng: rand.New(rand.NewPCG(seed, 3))}
	go r.accept(l)
	return r, nil
}

// accept accepts client connections, numbers them from 0 and forwards each in a goroutine, until l is closed.
func (r *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		n := r.nextConn
		r.nextConn++
		r.connectTimes = append(r.connectTimes, time.Now())
		r.conns[c] = true
		r.mu.Unlock()
		go r.relay(n, c)
	}
}

// Down makes the proxy act like a dead gateway: its connections are reset and new ones refused. Up ends this.
func (r *Proxy) Down() {
	loopback.Close(r.l)
	r.ResetConnections()
}

// Up listens again on the same address after Down. It fails if the address is in use.
func (r *Proxy) Up() error {
	l, err := loopback.Listen(r.Addr)
	if err != nil {
		return fmt.Errorf("fault proxy: listening again: %w", err)
	}
	r.l = l
	go r.accept(l)
	return nil
}

// Rejections returns all rejections so far.
func (r *Proxy) Rejections() []Rejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rejections)
}

// InjectFaults closes connections at random, with probability cutProbability for each read from the gateway, after a
// random part of the bytes read. It also forwards answers in writes of at most maxChunk bytes (0: no limit).
func (r *Proxy) InjectFaults(cutProbability float64, maxChunk int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutProbability, r.maxChunk = cutProbability, maxChunk
}

// SetUnresponsive makes the proxy accept new connections and record their requests without forwarding anything.
// Connections that are already open are not affected.
func (r *Proxy) SetUnresponsive(unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = unresponsive
}

// Close stops the proxy like a gateway that dies: it stops listening and resets all connections.
func (r *Proxy) Close() {
	loopback.Close(r.l)
	r.ResetConnections()
}

// ResetConnections resets all client connections.
func (r *Proxy) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		loopback.Close(c)
	}
}

// Requests returns all requests recorded so far, in the order in which they were decoded.
func (r *Proxy) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// ConnectTimes returns when each client connection was accepted, in that order.
func (r *Proxy) ConnectTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.connectTimes)
}

// relay forwards client connection number n to the gateway until one side closes, and records requests and rejections. If
// the proxy is unresponsive, it only reads and records what the client sends.
func (r *Proxy) relay(n int, c net.Conn) {
	defer func() {
		loopback.Close(c)
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	r.mu.Lock()
	target, unresponsive := r.target, r.unresponsive
	r.mu.Unlock()
	if unresponsive {
		pr, pw := io.Pipe()
		var lastRead atomic.Int64
		go r.recordRequests(n, pr, &lastRead)
		_, _ = io.Copy(pw, timestampedReader{c, &lastRead})
		loopback.Close(pw)
		return
	}
	g, err := loopback.Dial(target)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	defer loopback.Close(g)
	pr, pw := io.Pipe()
	var lastRead atomic.Int64 // time of the latest read from the client, in Unix nanoseconds
	go r.recordRequests(n, pr, &lastRead)
	go func() {
		_, _ = io.Copy(g, io.TeeReader(timestampedReader{c, &lastRead}, pw))
		loopback.Close(pw)
		if t, ok := g.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	ar, aw := io.Pipe()
	defer loopback.Close(aw)
	go r.recordRejections(n, ar)
	r.relayAnswers(c, g, aw)
}

// relayAnswers forwards answers from the gateway to a client, split and cut according to InjectFaults, and copies them
// to record.
func (r *Proxy) relayAnswers(c, from net.Conn, record io.Writer) {
	b := make([]byte, 64<<10)
	for {
		m, err := from.Read(b)
		_, _ = record.Write(b[:max(0, m)]) // the recorder may have stopped; forwarding goes on
		r.mu.Lock()
		maxChunk, cut := r.maxChunk, m > 0 && r.cutProbability > 0 && r.rng.Float64() < r.cutProbability
		if cut {
			m = r.rng.IntN(m)
		}
		r.mu.Unlock()
		for p := b[:m]; len(p) > 0; {
			k := len(p)
			if maxChunk > 0 {
				k = min(k, maxChunk)
			}
			if _, e := c.Write(p[:k]); e != nil {
				return
			}
			p = p[k:]
		}
		if cut || err != nil {
			return
		}
	}
}

// timestampedReader stores the time of each read in lastRead, in Unix nanoseconds.
type timestampedReader struct {
	io.Reader
	lastRead *atomic.Int64
}

// Read reads from the underlying reader and stores the current time.
func (s timestampedReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// recordRejections decodes the answers of connection n and records the rejections. It reads to the end even after a
// decoding error, so that forwarding does not block.
func (r *Proxy) recordRejections(n int, from *io.PipeReader) {
	defer func() { _, _ = io.Copy(io.Discard, from) }()
	d := rpc.NewReader(from)
	d.Reuse = true
	for {
		a, err := d.Next()
		if err != nil {
			return
		}
		if a.Error == rpc.Backoff {
			r.mu.Lock()
			r.rejections = append(r.rejections, Rejection{At: time.Now(), Conn: n, ID: uint64(a.ID), RetryAfter: a.RetryAfter})
			r.mu.Unlock()
		}
	}
}

// recordRequests decodes the messages that a client sent on connection n and records the requests, other than health
// checks (alive).
func (r *Proxy) recordRequests(n int, from *io.PipeReader, lastRead *atomic.Int64) {
	defer func() { _, _ = io.Copy(io.Discard, from) }() // undecodable bytes must not block forwarding
	d := msgpack.NewDecoder(from)
	for {
		v, err := d.DecodeInterface()
		if err != nil {
			return
		}
		m, ok := v.([]any)
		if !ok || len(m) != 4 {
			continue // a notification, not a request
		}
		params, _ := m[3].([]any)
		class, _ := m[2].(string)
		if class == "alive" || len(params) == 0 {
			continue
		}
		fields, _ := params[0].(map[string]any)
		text := func(k string) string { s, _ := fields[k].(string); return s }
		var id uint64
		switch x := m[1].(type) {
		case int8:
			id = uint64(x)
		case uint8:
			id = uint64(x)
		case uint16:
			id = uint64(x)
		case uint32:
			id = uint64(x)
		}
		r.mu.Lock()
		r.requests = append(r.requests, Request{At: time.Unix(0, lastRead.Load()), Conn: n, ID: id, Class: class, Object: text("item"), Part: text("n"),
			Txn: text("txn"), Key: text("unique"), Retry: text("second") == "1"})
		r.mu.Unlock()
	}
}

// Rules are the retry rules of a client, to be checked on the requests that proxies recorded. Each call must request an
// object or part of its own, because tries with the same class, object and part count as one call.
type Rules struct {
	MaxTries      int                      // largest number of tries of a call
	DedupWindows  map[string]time.Duration // by class: how long after the first try the gateway drops duplicates; retries must not come later
	UnsafeClasses map[string]bool          // classes whose requests must not be retried
}

// Check returns the violations of the rules, at most 20, over the requests that all the proxies recorded.
func (k Rules) Check(relays ...*Proxy) (broken []string) {
	var all []Request
	for _, r := range relays {
		all = append(all, r.Requests()...)
	}
	slices.SortStableFunc(all, func(a, b Request) int { return a.At.Compare(b.At) })
	calls := map[string][]Request{}
	txns := map[string]bool{}
	report := func(format string, args ...any) {
		if len(broken) < 20 {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	for _, s := range all {
		if txns[s.Txn] {
			report("txn %s was sent more than once", s.Txn)
		}
		txns[s.Txn] = true
		id := s.Class + "/" + s.Object + "/" + s.Part
		tries := append(calls[id], s)
		calls[id] = tries
		switch first := tries[0]; {
		case !s.Retry && len(tries) > 1: // a first try may be marked as a retry: an earlier one was cut off before it was recorded
			report("try %d of %s is not marked as a retry", len(tries), id)
		case len(tries) > k.MaxTries:
			report("%s was sent %d times, more than the rules allow", id, len(tries))
		case s.Key != first.Key:
			report("tries of %s have different idempotency keys", id)
		case k.DedupWindows[s.Class] > 0 && s.Key == "":
			report("%s has no idempotency key", id)
		case k.DedupWindows[s.Class] > 0 && s.At.Sub(first.At) > k.DedupWindows[s.Class]:
			report("%s was retried %v after its first try, beyond its deduplication window", id, s.At.Sub(first.At))
		case k.UnsafeClasses[s.Class] && len(tries) > 1:
			report("%s is not repeatable and was retried", id)
		}
	}
	return broken
}
