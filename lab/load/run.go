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

// Outcome is the result of a request as its client sees it, after all attempts.
type Outcome int8

// Outcomes of a request.
const (
	Served         Outcome = iota
	Rejected               // the last attempt was answered with rpc.Backoff
	Failed                 // the last attempt was answered with another error
	TimedOut               // no answer within the class's Limit plus 50 ms; the client cancelled
	ConnectionLost         // the connection ended while the request was open on it
	Unsent                 // no connection had a free slot within the class's Limit
)

var outcomes = [...]string{"served", "refused", "failed", "silent", "cut", "unsent"}

func (o Outcome) String() string { return outcomes[o] }

// Row records one request with all its attempts. Times are in microseconds unless the name ends in Ms.
type Row struct {
	DueUs   int64  `parquet:"due_us"`  // scheduled time of the first attempt, since the start of the run
	TookUs  int64  `parquet:"took_us"` // from DueUs until the final outcome
	Class   string `parquet:"class,dict"`
	Outcome string `parquet:"outcome,dict"`
	Tries   int32  `parquet:"tries"`
	Marked  bool   `parquet:"marked"`   // its first attempt carried the retry flag
	Bytes   int32  `parquet:"bytes"`    // body size of the final answer
	LaterMs int32  `parquet:"later_ms"` // Retry-After of the final answer, milliseconds
	LagUs   int64  `parquet:"lag_us"`   // delay of the first attempt caused by the load generator itself

	class   int8
	outcome Outcome
}

// FirstObject is the number of the first requested object when Spec.First is 0.
const FirstObject = 0xa11ce000

// request is a request that has no final outcome yet.
type request struct {
	class      int8
	tries      int8 // attempts sent
	marked     bool
	due        time.Time     // when the first attempt was scheduled
	tryAt      time.Time     // when the latest attempt was sent, or when the next one is due
	lag        time.Duration // delay of the first attempt caused by the load generator
	object     string
	part       int
	key        string
	wantPrefix []byte // start of the right body
}

// Result holds the records of a run.
type Result struct {
	Spec   Spec
	Rows   []Row         // one for each request, in no particular order
	Second uint64        // answers to requests that were already answered or never sent; answers that cross a cancellation don't count
	Spoilt uint64        // successful answers whose body is not that of the requested part
	Errors []string      // of connections that ended with open requests, at most 10
	Took   time.Duration // from the first request to the last outcome
}

// runner is the state that the shards of a run share.
type runner struct {
	spec         Spec
	start        time.Time
	unexpected   atomic.Uint64
	wrongContent atomic.Uint64
	lastTxn      atomic.Uint64
}

// maxShards is the largest number of goroutines that send requests.
const maxShards = 6

// Run opens spec.Conns connections, sends the load and waits until every request has an outcome. It returns an error if
// spec is invalid or a connection can't be opened. When ctx ends, it returns the rows recorded so far and ctx's error.
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

// shard is the part of the connections and of the arrivals that one goroutine drives. At most maxShards shards share a
// load.
type shard struct {
	r          *runner
	rng        *rand.Rand
	shardCount float64
	conns      []*conn
	nextConn   int

	mu      sync.Mutex
	rows    []Row
	retries retryHeap // rejected requests waiting for their next attempt
}

// record appends a row. It is called from any goroutine; the read loops of connections keep rows of their own.
func (s *shard) record(r Row) {
	s.mu.Lock()
	s.rows = append(s.rows, r)
	s.mu.Unlock()
}

// retryHeap is a min-heap of requests by the time of their next attempt.
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

// run sends requests when they are due for the time Spec.For, then waits until none is open. It ends early when ctx ends.
func (s *shard) run(ctx context.Context) {
	end := s.r.start.Add(s.r.spec.For)
	next := s.r.start
	s.drawArrival(&next)
	var waiting []*request // due requests for which no connection had a free slot
	lastExpire := s.r.start
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
		retries, pending := s.dueRetries(now)
		waiting = append(waiting, retries...)
		for _, c := range s.conns {
			c.wakeWriter()
		}
		if now.Sub(lastExpire) > 20*time.Millisecond {
			lastExpire = now
			open := 0
			for _, c := range s.conns {
				open += c.expire(now)
			}
			if !next.Before(end) && open == 0 && pending == 0 && len(waiting) == 0 {
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

// dueRetries removes and returns the retries that are due; left is the number of those that are not yet due.
func (s *shard) dueRetries(now time.Time) (due []*request, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.retries) > 0 && !s.retries[0].tryAt.After(now) {
		due = append(due, heap.Pop(&s.retries).(*request))
	}
	return due, len(s.retries)
}

// sendWaiting sends requests that waited for a free slot, in order, and records those as Unsent that waited for longer
// than their class's Limit. It returns the requests that still wait, in the array of its argument.
func (s *shard) sendWaiting(waiting []*request, now time.Time) []*request {
	remaining := waiting[:0]
	noSlot := false
	for _, j := range waiting {
		switch {
		case now.Sub(j.due) > s.r.spec.Mix[j.class].Limit:
			s.record(s.r.row(j, Unsent, now, 0, 0))
		case noSlot || !s.send(j, now):
			noSlot = true
			remaining = append(remaining, j)
		}
	}
	return remaining
}

// drawArrival advances next to the following arrival of a Poisson process with this shard's share of the profile's rate.
// While the rate is 0 it advances by steps of 1 ms, at most to just after Spec.For.
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

// newRequest draws the class, the object and the part of a request that is due at a time.
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

// send sends a request on the next connection, in turn, that has a free slot. It returns false if none has.
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

// retry schedules another attempt of a rejected request after its Retry-After delay, plus up to 10 % of jitter. It returns
// false if the request has had three attempts, if its client doesn't retry (Spec.Repeat), or if the attempt would come
// later than the class's Limit.
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

// row returns the record of a request that ended now. size is in bytes, later the Retry-After in milliseconds.
func (r *runner) row(j *request, o Outcome, now time.Time, size, later int) Row {
	return Row{DueUs: j.due.Sub(r.start).Microseconds(), TookUs: now.Sub(j.due).Microseconds(),
		Class: r.spec.Mix[j.class].Name, Outcome: o.String(), Tries: int32(j.tries), Marked: j.marked,
		Bytes: int32(size), LaterMs: int32(later), LagUs: j.lag.Microseconds(), class: j.class, outcome: o}
}

// conn is a connection to the gateway. Its mutex guards the fields from id to err; rows belongs to the read goroutine until
// readDone is closed.
type conn struct {
	shard *shard
	nc    net.Conn

	mu            sync.Mutex
	id            uint32
	open          map[uint32]*request
	abandoned     map[uint32]time.Time // cancelled requests of the last second: an answer may cross the cancellation
	outgoing      bytes.Buffer
	enc           *rpc.Encoder
	outgoingReady *sync.Cond
	ended         bool
	err           error
	rows          []Row

	readDone, writeDone chan struct{}
}

// dial opens a connection and starts its read and write goroutines.
func (s *shard) dial() (*conn, error) {
	nc, err := loopback.Dial(s.r.spec.Addr)
	if err != nil {
		return nil, fmt.Errorf("load: can't connect: %w", err)
	}
	c := &conn{shard: s, nc: nc, open: map[uint32]*request{}, abandoned: map[uint32]time.Time{}, readDone: make(chan struct{}),
		writeDone: make(chan struct{})}
	c.enc = rpc.NewEncoder(&c.outgoing)
	c.outgoingReady = sync.NewCond(&c.mu)
	go c.write()
	go c.read()
	return c, nil
}

// send encodes an attempt into the outgoing buffer. It returns false if the connection has ended or has no free slot.
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
	_ = c.enc.Request(r) // writing to a bytes.Buffer can't fail
	return true
}

// wakeWriter wakes the write goroutine if encoded requests wait in the buffer.
func (c *conn) wakeWriter() {
	c.mu.Lock()
	if c.outgoing.Len() > 0 {
		c.outgoingReady.Signal()
	}
	c.mu.Unlock()
}

// write sends the outgoing buffer whenever wakeWriter signals, until the connection ends.
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

// read matches answers to open requests and records their outcomes, until the connection ends.
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

// expire cancels the requests that have had no answer within their Limit plus 50 ms and returns the number still open.
func (c *conn) expire(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.open {
		if now.Sub(j.due) > c.shard.r.spec.Mix[j.class].Limit+50*time.Millisecond { // tolerance for an answer that is sent at its deadline
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

// handleClose records the requests open on a connection that ended as ConnectionLost. Only the first call has an effect.
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
		c.err = fmt.Errorf("connection ended with %d requests open: %w", len(c.open), err)
	}
	for _, j := range c.open {
		c.shard.record(c.shard.r.row(j, ConnectionLost, now, 0, 0))
	}
	c.open = nil
}
