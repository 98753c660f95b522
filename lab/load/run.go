package load

import (
	"bytes"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// Outcome is how a request ended for its client.
type Outcome int8

// The outcomes of a request.
const (
	Served         Outcome = iota
	Rejected               // Backoff, on its last try
	Failed                 // another error
	TimedOut               // no answer before the client gave up
	ConnectionLost         // the connection ended
	Unsent                 // no connection had room: the client waited for longer than its limit
)

var outcomes = [...]string{"served", "refused", "failed", "silent", "cut", "unsent"}

func (o Outcome) String() string { return outcomes[o] }

// Row is what befell one request, all its tries together.
type Row struct {
	DueUs   int64  `parquet:"due_us"` // since the run began
	TookUs  int64  `parquet:"took_us"`
	Class   string `parquet:"class,dict"`
	Outcome string `parquet:"outcome,dict"`
	Tries   int32  `parquet:"tries"`
	Marked  bool   `parquet:"marked"` // its first try was marked as a repeat
	Bytes   int32  `parquet:"bytes"`
	LaterMs int32  `parquet:"later_ms"`
	LagUs   int64  `parquet:"lag_us"` // by which the load tool itself was late with the first try

	class   int8
	outcome Outcome
}

// FirstObject is the number of the first object of a load whose Spec.First is 0.
const FirstObject = 0xa11ce000

// job is one request on its way.
type request struct {
	class      int8
	tries      int8
	marked     bool
	due        time.Time // of its first try
	tryAt      time.Time // of this one
	lag        time.Duration
	object     string
	part       int
	key        string
	wantPrefix []byte
}

// Result is what a run brought.
type Result struct {
	Spec   Spec
	Rows   []Row
	Second uint64 // answers to what had been answered, or was never asked
	Spoilt uint64 // served with something else
	Errors []string
	Took   time.Duration
}

type runner struct {
	spec         Spec
	start        time.Time
	unexpected   atomic.Uint64
	wrongContent atomic.Uint64
	lastTxn      atomic.Uint64
}

const maxShards = 6

// Run drives the load and waits for its last answers.
func Run(ctx context.Context, spec Spec) (*Result, error) {
	if err := spec.defaults(); err != nil {
		return nil, err
	}
	r := &runner{spec: spec}
	n := min(maxShards, spec.Conns, max(1, runtime.NumCPU()-2))
	var all []*shard
	for i := range n {
		s := &shard{r: r, rng: rand.New(rand.NewPCG(spec.Seed, uint64(i)+1)), shardCount: float64(n)}
		for range spec.Conns/n + boolToInt(i < spec.Conns%n) {
			c, err := s.dial()
			if err != nil {
				return nil, err
			}
			s.conns = append(s.conns, c)
		}
		all = append(all, s)
	}
	r.start = time.Now()
	var done sync.WaitGroup
	for _, s := range all {
		done.Go(func() { s.run(ctx) })
	}
	done.Wait()
	res := &Result{Spec: spec, Took: time.Since(r.start)}
	for _, s := range all {
		for _, c := range s.conns {
			loopback.Close(c.nc)
			<-c.readDone
			<-c.writeDone
			res.Rows = append(res.Rows, c.rows...)
			if c.err != nil && len(res.Errors) < 10 {
				res.Errors = append(res.Errors, c.err.Error())
			}
		}
		res.Rows = append(res.Rows, s.rows...)
	}
	res.Second, res.Spoilt = r.unexpected.Load(), r.wrongContent.Load()
	return res, ctx.Err()
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// shard has a part of the connections and of the arrivals.
type shard struct {
	r          *runner
	rng        *rand.Rand
	shardCount float64
	conns      []*conn
	nextConn   int

	mu      sync.Mutex
	rows    []Row
	retries retryHeap // to be tried again
}

// book keeps a row that no connection's reader does.
func (s *shard) record(r Row) {
	s.mu.Lock()
	s.rows = append(s.rows, r)
	s.mu.Unlock()
}

// jobs is a heap by the time of the next try.
type retryHeap []*request

func (h retryHeap) Len() int           { return len(h) }
func (h retryHeap) Less(i, j int) bool { return h[i].tryAt.Before(h[j].tryAt) }
func (h retryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *retryHeap) Push(x any)        { *h = append(*h, x.(*request)) }
func (h *retryHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// run sends what is due until the time is over, then waits for answers.
func (s *shard) run(ctx context.Context) {
	end := s.r.start.Add(s.r.spec.For)
	next := s.r.start
	s.drawArrival(&next)
	var waiting []*request // due, and no connection had room
	swept := s.r.start
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return
		}
		waiting = s.sendWaiting(waiting, now)
		for !next.After(now) && next.Before(end) {
			j := s.newRequest(next)
			if len(waiting) > 0 || !s.send(j, now) {
				waiting = append(waiting, j)
			}
			s.drawArrival(&next)
		}
		again, left := s.dueRetries(now)
		waiting = append(waiting, again...)
		for _, c := range s.conns {
			c.wakeWriter()
		}
		if now.Sub(swept) > 20*time.Millisecond {
			swept = now
			open := 0
			for _, c := range s.conns {
				open += c.expire(now)
			}
			if !next.Before(end) && open == 0 && left == 0 && len(waiting) == 0 {
				return
			}
		}
		wait := time.Until(next)
		if !next.Before(end) {
			wait = 5 * time.Millisecond
		}
		time.Sleep(min(wait, time.Millisecond))
	}
}

// repeats takes the repeats that are due, and says how many are not yet.
func (s *shard) dueRetries(now time.Time) (due []*request, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.retries) > 0 && !s.retries[0].tryAt.After(now) {
		due = append(due, heap.Pop(&s.retries).(*request))
	}
	return due, len(s.retries)
}

// flush sends what waited for room, and drops what waited for too long.
func (s *shard) sendWaiting(waiting []*request, now time.Time) []*request {
	kept := waiting[:0]
	full := false
	for _, j := range waiting {
		switch {
		case now.Sub(j.due) > s.r.spec.Mix[j.class].Limit:
			s.record(s.r.row(j, Unsent, now, 0, 0))
		case full || !s.send(j, now):
			full = true
			kept = append(kept, j)
		}
	}
	return kept
}

// advance draws the next arrival: a Poisson process with the profile's rate.
func (s *shard) drawArrival(next *time.Time) {
	for {
		rate := s.r.spec.Rate(next.Sub(s.r.start)) / s.shardCount
		if rate <= 0 {
			*next = next.Add(time.Millisecond)
			if next.Sub(s.r.start) > s.r.spec.For {
				return
			}
			continue
		}
		*next = next.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		return
	}
}

func (s *shard) newRequest(due time.Time) *request {
	spec := &s.r.spec
	x := s.rng.Float64()
	class := 0
	for class < len(spec.Mix)-1 && x >= spec.Mix[class].Share {
		x -= spec.Mix[class].Share
		class++
	}
	j := &request{class: int8(class), due: due, tryAt: due, part: s.rng.IntN(4),
		object: fmt.Sprintf("%016x", FirstObject+spec.First+s.rng.IntN(spec.Objects)), marked: s.rng.Float64() < spec.Marked}
	if spec.Mix[class].Keyed {
		j.key = fmt.Sprintf("%016x%016x", s.rng.Uint64(), s.rng.Uint64())
	}
	j.wantPrefix = []byte(j.object + "/" + strconv.Itoa(j.part) + ";")
	return j
}

// send gives a request to the next connection with room.
func (s *shard) send(j *request, now time.Time) bool {
	for range s.conns {
		c := s.conns[s.nextConn%len(s.conns)]
		s.nextConn++
		if c.send(j, now) {
			return true
		}
	}
	return false
}

// retry puts a refused request back, if its client tries again and can be in time.
func (s *shard) retry(j *request, later time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.tries >= 3 || s.rng.Float64() >= s.r.spec.Repeat {
		return false
	}
	j.tryAt = now.Add(later + time.Duration(s.rng.Float64()*float64(later)/10))
	if j.tryAt.Sub(j.due) > s.r.spec.Mix[j.class].Limit {
		return false
	}
	heap.Push(&s.retries, j)
	return true
}

func (r *runner) row(j *request, o Outcome, now time.Time, size, later int) Row {
	return Row{DueUs: j.due.Sub(r.start).Microseconds(), TookUs: now.Sub(j.due).Microseconds(),
		Class: r.spec.Mix[j.class].Name, Outcome: o.String(), Tries: int32(j.tries), Marked: j.marked,
		Bytes: int32(size), LaterMs: int32(later), LagUs: j.lag.Microseconds(), class: j.class, outcome: o}
}

// conn is one client's connection.
type conn struct {
	shard *shard
	nc    net.Conn

	mu            sync.Mutex
	id            uint32
	open          map[uint32]*request
	abandoned     map[uint32]time.Time // given up: an answer that crosses the cancel is no fault
	outgoing      bytes.Buffer
	enc           *rpc.Encoder
	outgoingReady *sync.Cond
	ended         bool
	err           error
	rows          []Row

	readDone, writeDone chan struct{}
}

func (s *shard) dial() (*conn, error) {
	nc, err := loopback.Dial(s.r.spec.Addr)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	c := &conn{shard: s, nc: nc, open: map[uint32]*request{}, abandoned: map[uint32]time.Time{}, readDone: make(chan struct{}),
		writeDone: make(chan struct{})}
	c.enc = rpc.NewEncoder(&c.outgoing)
	c.outgoingReady = sync.NewCond(&c.mu)
	go c.write()
	go c.read()
	return c, nil
}

func (c *conn) send(j *request, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec := &c.shard.r.spec
	if c.ended || len(c.open) >= spec.Open {
		return false
	}
	class := &spec.Mix[j.class]
	c.id++
	if j.tries++; j.tries == 1 {
		j.lag = time.Since(j.due)
	}
	j.tryAt = now
	c.open[c.id] = j
	r := &rpc.Request{ID: c.id, Class: class.Name, Txn: fmt.Sprintf("%016x", c.shard.r.lastTxn.Add(1)*0x9e3779b97f4a7c15),
		Limit: class.Limit - now.Sub(j.due), Retry: j.marked || j.tries > 1, Key: j.key, Object: j.object, Part: j.part, Group: 17}
	if j.key != "" {
		r.Body = []byte("an order of turn, some hundred bytes of it, as a client would send: move 7,4 to 7,5; attack 8,5; end")
	}
	_ = c.enc.Request(r) // a buffer takes it all
	return true
}

// kick has what was sent written.
func (c *conn) wakeWriter() {
	c.mu.Lock()
	if c.outgoing.Len() > 0 {
		c.outgoingReady.Signal()
	}
	c.mu.Unlock()
}

func (c *conn) write() {
	defer close(c.writeDone)
	var b []byte
	for {
		c.mu.Lock()
		for c.outgoing.Len() == 0 && !c.ended {
			c.outgoingReady.Wait()
		}
		if c.ended {
			c.mu.Unlock()
			return
		}
		b = append(b[:0], c.outgoing.Bytes()...)
		c.outgoing.Reset()
		c.mu.Unlock()
		if _, err := c.nc.Write(b); err != nil {
			c.handleClose(err)
			return
		}
	}
}

func (c *conn) read() {
	defer close(c.readDone)
	r := rpc.NewReader(c.nc)
	r.Reuse = true
	for {
		a, err := r.Next()
		now := time.Now()
		if err != nil {
			c.handleClose(err)
			return
		}
		c.mu.Lock()
		j := c.open[a.ID]
		if j == nil {
			if _, crossed := c.abandoned[a.ID]; !crossed {
				c.shard.r.unexpected.Add(1)
			}
			delete(c.abandoned, a.ID)
			c.mu.Unlock()
			continue
		}
		delete(c.open, a.ID)
		c.mu.Unlock()
		o := Served
		switch {
		case a.Error == rpc.Backoff:
			if c.shard.retry(j, a.RetryAfter, now) {
				continue
			}
			o = Rejected
		case a.Error != "":
			o = Failed
		case !bytes.HasPrefix(a.Body, j.wantPrefix):
			c.shard.r.wrongContent.Add(1)
		}
		c.rows = append(c.rows, c.shard.r.row(j, o, now, len(a.Body), int(a.RetryAfter.Milliseconds())))
	}
}

// sweep gives up what has taken too long, and returns what is open.
func (c *conn) expire(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.open {
		if now.Sub(j.due) > c.shard.r.spec.Mix[j.class].Limit+50*time.Millisecond { // the slack that the rules give
			delete(c.open, id)
			c.abandoned[id] = now
			c.shard.record(c.shard.r.row(j, TimedOut, now, 0, 0))
			_ = c.enc.Cancel(id)
		}
	}
	for id, at := range c.abandoned {
		if now.Sub(at) > time.Second {
			delete(c.abandoned, id)
		}
	}
	return len(c.open)
}

// end books what was open on a connection that ended.
func (c *conn) handleClose(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.outgoingReady.Broadcast()
	now := time.Now()
	if len(c.open) > 0 {
		c.err = fmt.Errorf("a connection ended with %d requests open: %w", len(c.open), err)
	}
	for _, j := range c.open {
		c.shard.record(c.shard.r.row(j, ConnectionLost, now, 0, 0))
	}
	c.open = nil
}
