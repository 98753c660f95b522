// Package faultproxy stands between clients and a gateway, records every request that passes, and injects faults as it is told.
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

// Seen is one request that passed.
type Request struct {
	At            time.Time
	Conn          int
	ID            uint64
	Class, Object string
	Part          string
	Txn, Key      string
	Retry         bool
}

// Proxy is a running one.
type Proxy struct {
	Addr string

	l              net.Listener
	mu             sync.Mutex
	target         string
	nextConn       int
	requests       []Request
	rejections     []Rejection
	connectTimes   []time.Time
	conns          map[net.Conn]bool
	rng            *rand.Rand
	cutProbability float64 // chance that a piece of an answer cuts its connection
	maxChunk       int     // answers are passed on in pieces of so many bytes at most; 0: as they come
	unresponsive   bool    // it accepts, and passes nothing on
}

// Rejection is one answer that turned a request away.
type Rejection struct {
	At         time.Time
	Conn       int
	ID         uint64
	RetryAfter time.Duration
}

// New starts a relay to a gateway.
func New(target string, seed uint64) (*Proxy, error) {
	l, err := loopback.Listen("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Proxy{Addr: l.Addr().String(), l: l, target: target, conns: map[net.Conn]bool{}, rng: rand.New(rand.NewPCG(seed, 3))}
	go r.accept(l)
	return r, nil
}

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

// Down has the relay act as a gateway that died: connections are reset, and new ones refused. Up has it listen again, at
// the same address.
func (r *Proxy) Down() {
	loopback.Close(r.l)
	r.ResetConnections()
}

// Up ends Down.
func (r *Proxy) Up() error {
	l, err := loopback.Listen(r.Addr)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	r.l = l
	go r.accept(l)
	return nil
}

// Rejections are all answers so far that turned a request away.
func (r *Proxy) Rejections() []Rejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rejections)
}

// InjectFaults has connections cut by chance, at pieces of answers, and answers passed on in pieces of so many bytes at most.
func (r *Proxy) InjectFaults(cutProbability float64, maxChunk int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutProbability, r.maxChunk = cutProbability, maxChunk
}

// SetUnresponsive has the relay accept and pass nothing on.
func (r *Proxy) SetUnresponsive(unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = unresponsive
}

// Close ends the relay as a dying gateway would.
func (r *Proxy) Close() {
	loopback.Close(r.l)
	r.ResetConnections()
}

// Cut resets all connections.
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

// Seen are all requests that passed so far, and Opened when connections came.
func (r *Proxy) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// Opened says when connections came.
func (r *Proxy) ConnectTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.connectTimes)
}

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
	var lastRead atomic.Int64 // when the latest bytes did, in Unix nanoseconds
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

// carryAnswers carries what a gateway answers to a client, in slices and up to a cut as the faults of the moment have it, and records it.
func (r *Proxy) relayAnswers(c, from net.Conn, record io.Writer) {
	b := make([]byte, 64<<10)
	for {
		m, err := from.Read(b)
		_, _ = record.Write(b[:max(0, m)]) // the recorder may have ended; what is carried goes on
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

// stamped notes when bytes come.
type timestampedReader struct {
	io.Reader
	lastRead *atomic.Int64
}

func (s timestampedReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// answers reads refusals off what comes back.
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

// record reads requests off what passes.
func (r *Proxy) recordRequests(n int, from *io.PipeReader, lastRead *atomic.Int64) {
	defer func() { _, _ = io.Copy(io.Discard, from) }() // what can't be read must not hold up what passes
	d := msgpack.NewDecoder(from)
	for {
		v, err := d.DecodeInterface()
		if err != nil {
			return
		}
		m, ok := v.([]any)
		if !ok || len(m) != 4 {
			continue // a notification
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

// Rules are what a client must keep, of what relays saw. Each call is to ask for an object of its own.
type Rules struct {
	MaxTries      int                      // of a call at most
	DedupWindows  map[string]time.Duration // window in which a repeat is dropped, by class
	UnsafeClasses map[string]bool
}

// Check names what was not kept, over several relays.
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
			report("txn %s was sent twice", s.Txn)
		}
		txns[s.Txn] = true
		id := s.Class + "/" + s.Object + "/" + s.Part
		tries := append(calls[id], s)
		calls[id] = tries
		switch first := tries[0]; {
		case !s.Retry && len(tries) > 1: // one that is marked may be the first that was seen: another was cut off unread
			report("try %d of %s is not marked", len(tries), id)
		case len(tries) > k.MaxTries:
			report("%s was sent %d times", id, len(tries))
		case s.Key != first.Key:
			report("the key of %s changed", id)
		case k.DedupWindows[s.Class] > 0 && s.Key == "":
			report("%s has no key", id)
		case k.DedupWindows[s.Class] > 0 && s.At.Sub(first.At) > k.DedupWindows[s.Class]:
			report("%s was sent again after %v", id, s.At.Sub(first.At))
		case k.UnsafeClasses[s.Class] && len(tries) > 1:
			report("%s is unsafe and was sent again", id)
		}
	}
	return broken
}
