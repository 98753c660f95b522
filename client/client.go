// Package client speaks to larchusher's gateways: it keeps deadlines over all tries of a request, marks retries, honours
// refusals and when they say to come back, keeps retries within a budget, leaves gateways that died and spreads its
// reconnects. What it decides stands in package plan.
//
//	c, err := client.New(client.Config{
//		Gateways: []string{"10.0.0.4:9090", "10.0.0.5:9090"},
//		Classes:  []client.Class{{Name: "images", Worth: 1}},
//	})
//	defer c.Close()
//	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
//	defer cancel()
//	r, err := c.Do(ctx, client.Request{Class: "images", Object: "7f3a9c21e0b4d655", Part: 3, Group: 17})
//	var refused *client.RefusedError
//	switch {
//	case errors.As(err, &refused): // nothing ran; come back after refused.Later
//	case errors.Is(err, client.ErrUnknown): // it may have run
//	}
package client

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"larchusher/client/plan"
)

// Class describes a class of requests.
type Class = plan.Class

// Effects of a class; see [plan.Effect].
const (
	Safe   = plan.Idempotent
	Keyed  = plan.IdempotentWithKey
	Unsafe = plan.NonIdempotent
)

// Config is what a client is made of. Gateways and Classes are needed; all else has a default (see [plan.Config]).
type Config struct {
	Gateways []string // addresses
	Classes  []Class
	Plan     plan.Config // further settings; its Gateways and Classes are not looked at
	// Deadline is for calls whose context has none. 0: 5 s.
	Deadline time.Duration
	// Seed of all that is drawn; 0: a new one.
	Seed uint64
	// Transport carries requests; nil: the platform's MessagePack-RPC over TCP.
	Transport Transport
	// Hook is told of each call that ended; nil: nobody is. It must not block.
	Hook func(Ended)
	// Tracer makes a span for each call, with an event for each try and the reason why it ended; nil: none.
	Tracer trace.Tracer
	// Meter measures calls and decisions (see MetricDuration and the others); nil: none.
	Meter metric.Meter
}

// Ended is what a hook is told.
type Ended struct {
	Request *Request
	Ending  plan.Ending
	Tries   int
	Took    time.Duration
}

const defaultDeadline = 5 * time.Second

// Errors of a call, to be told apart by errors.Is. A refusal is a [RefusedError], too.
var (
	ErrRefused = errors.New("client: refused: nothing ran")
	ErrFailed  = errors.New("client: failed: the gateway gave it up, and it may have run")
	ErrUnknown = errors.New("client: its end is unknown: it may have run")
	ErrExpired = errors.New("client: no answer in time")
	ErrUnsent  = errors.New("client: no gateway could be reached: nothing ran")
	ErrClosed  = errors.New("client: closed")
	ErrRequest = errors.New("client: a request that can't be sent")
)

// RefusedError says that nothing ran, and when to come back.
type RefusedError struct{ Later time.Duration }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v, come back after %v", ErrRefused, e.Later.Round(time.Millisecond))
}

// Is makes it an ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// noSpan takes all and keeps nothing.
var noSpan = trace.SpanFromContext(context.Background())

// Request is what a caller asks for. It must not be changed until Do has returned.
type Request struct {
	Class  string
	Object string // 16 hex digits
	Part   int
	Group  int    // 0 to 255
	Have   string // tag of a copy that the caller holds
	Key    string // of keyed classes; empty: one is drawn
	Body   []byte // up to 48,000 bytes
}

// Response is what a caller gets.
type Response struct {
	Body      []byte // the caller's to keep
	Unchanged bool   // the copy that the caller holds is the one
	Tag       string // of the copy, where the transport tells
	Tries     int
}

// Try is one sending of a request.
type Try struct {
	ID      uint64
	Request *Request
	Txn     string // 16 hex digits, new with every try
	Key     string // the same with all tries of a request; empty: the class has none
	Limit   time.Duration
	Second  bool // it is not the first
}

// Answer is what comes back for a try.
type Answer struct {
	OK        bool
	Backoff   bool // refused
	Later     time.Duration
	Unchanged bool
	Body      []byte
	Tag       string
	Err       error // why it failed, where that is known
}

// Events is what a connection reports, from any goroutine but not from within a call of its methods.
type Events interface {
	Up()
	Down(clean bool) // once, as the last of all: also after Close, and when nothing of the connection runs any more
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
	Probe()             // Heard follows, if the gateway is there
	Close()             // Down follows
}

// Client is a client of several gateways. It is safe for concurrent use.
type Client struct {
	cfg  Config
	base time.Time

	mu     sync.Mutex
	plan   *plan.Planner
	rng    *mrand.ChaCha8
	conns  map[uint64]Conn
	calls  map[uint64]*call
	serial uint64
	timer  *time.Timer
	wakeAt time.Duration
	acts   []plan.Action
	meters *meters
	closed bool
	all    sync.WaitGroup // hooks and connections
}

type call struct {
	request *Request
	key     string
	began   time.Time
	answer  Answer
	span    trace.Span
	done    chan plan.End
}

// New returns a client. It connects when it is first used.
func New(cfg Config) (*Client, error) {
	p := cfg.Plan
	p.Gateways, p.Classes = cfg.Gateways, cfg.Classes
	if cfg.Deadline < 0 {
		return nil, errors.New("client: Deadline is negative")
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	var seed [32]byte
	if cfg.Seed != 0 {
		binary.LittleEndian.PutUint64(seed[:], cfg.Seed)
	} else if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("client: a seed: %w", err)
	}
	if cfg.Transport == nil {
		cfg.Transport = &RPC{}
	}
	rng := mrand.NewChaCha8(seed)
	planner, err := plan.New(p, mrand.New(rng))
	if err != nil {
		return nil, err
	}
	c := &Client{cfg: cfg, base: time.Now(), plan: planner, rng: rng, conns: map[uint64]Conn{}, calls: map[uint64]*call{}}
	c.timer = time.AfterFunc(time.Hour, func() { c.handle(plan.Timer{}) })
	c.timer.Stop()
	if c.meters, err = newMeters(cfg.Meter, c); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Client) now() time.Duration { return time.Since(c.base) }

// Do asks for a part, and waits for its one end: at the context's deadline at the latest.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if err := r.check(); err != nil {
		return Response{}, err
	}
	began := time.Now()
	deadline, ok := ctx.Deadline()
	if own := began.Add(c.cfg.Deadline); !ok {
		deadline = own
	}
	k := &call{request: &r, key: r.Key, began: began, done: make(chan plan.End, 1), span: noSpan}
	if c.cfg.Tracer != nil {
		ctx, k.span = c.cfg.Tracer.Start(ctx, "larchusher.Do", trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("larchusher.class", r.Class), attribute.String("larchusher.object", r.Object),
				attribute.Int("larchusher.part", r.Part)))
		defer k.span.End()
	}
	c.mu.Lock()
	c.serial++
	id := c.serial
	if k.key == "" {
		k.key = c.hex(16)
	}
	c.calls[id] = k
	c.step(plan.Call{ID: id, Class: r.Class, Deadline: deadline.Sub(c.base)})
	c.mu.Unlock()
	select {
	case e := <-k.done:
		return k.result(e)
	case <-ctx.Done():
	}
	c.mu.Lock()
	if _, open := c.calls[id]; open {
		delete(c.calls, id)
		c.step(plan.Cancelled{ID: id})
		as := plan.Expired.String()
		if errors.Is(ctx.Err(), context.Canceled) {
			as = "cancelled"
		}
		c.meters.ended(r.Class, as, 0, time.Since(began))
	}
	c.mu.Unlock()
	select {
	case e := <-k.done: // it ended just before
		return k.result(e)
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Response{}, fmt.Errorf("%w: %w", ErrExpired, ctx.Err())
	}
	return Response{}, ctx.Err()
}

// check names what can't be sent.
func (r *Request) check() error {
	switch {
	case r.Class == "":
		return fmt.Errorf("%w: Class is empty", ErrRequest)
	case len(r.Object) != 16 || !isHex(r.Object):
		return fmt.Errorf("%w: Object %q has not 16 hex digits", ErrRequest, r.Object)
	case r.Part < 0 || r.Part > 1<<20:
		return fmt.Errorf("%w: Part %d", ErrRequest, r.Part)
	case r.Group < 0 || r.Group > 255:
		return fmt.Errorf("%w: Group %d", ErrRequest, r.Group)
	case len(r.Body) > 48000:
		return fmt.Errorf("%w: Body has %d bytes", ErrRequest, len(r.Body))
	case len(r.Key) > 128 || len(r.Have) > 128:
		return fmt.Errorf("%w: Key or Have is too long", ErrRequest)
	}
	return nil
}

func isHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// result words how a call ended.
func (k *call) result(e plan.End) (Response, error) {
	switch e.Ending {
	case plan.Served:
		return Response{Body: k.answer.Body, Unchanged: k.answer.Unchanged, Tag: k.answer.Tag, Tries: e.Attempts}, nil
	case plan.Refused:
		return Response{}, &RefusedError{Later: e.RetryAfter}
	case plan.Failed:
		if k.answer.Err != nil {
			return Response{}, fmt.Errorf("%w: %w", ErrFailed, k.answer.Err)
		}
		return Response{}, ErrFailed
	case plan.Unknown:
		return Response{}, ErrUnknown
	case plan.Expired:
		return Response{}, fmt.Errorf("%w: %w", ErrExpired, context.DeadlineExceeded)
	case plan.Unsent:
		return Response{}, ErrUnsent
	default:
		return Response{}, ErrClosed
	}
}

// Close ends all calls with ErrClosed, and waits until every goroutine of the client has ended.
func (c *Client) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return ErrClosed
	}
	c.closed = true
	c.step(plan.Close{})
	c.timer.Stop()
	c.mu.Unlock()
	c.all.Wait()
	c.meters.close()
	return nil
}

// Counters tells what was decided so far, by name.
func (c *Client) Counters() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.Counters.All()
}

// hex draws so many bytes. It is called under the lock.
func (c *Client) hex(n int) string {
	var b [16]byte
	for i := 0; i < n; i += 8 {
		binary.LittleEndian.PutUint64(b[i:], c.rng.Uint64())
	}
	return hex.EncodeToString(b[:n])
}

func (c *Client) handle(ev plan.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(ev)
}

// step gives an event to the planner and carries out what it wants. It is called under the lock.
func (c *Client) step(ev plan.Event) {
	c.acts = c.plan.Handle(c.now(), ev, c.acts[:0])
	for _, a := range c.acts {
		c.carryOut(a)
	}
	if _, ok := ev.(plan.Timer); ok {
		c.wakeAt = timerRanOut
	}
	c.setTimer()
}

// timerRanOut is what wakeAt says of a timer that has run out: no time is equal to it, so that it is set again.
const timerRanOut = time.Duration(-1)

// carryOut does what the planner wants. It is called under the lock.
func (c *Client) carryOut(a plan.Action) {
	switch a := a.(type) {
	case plan.Connect:
		c.all.Add(1)
		c.conns[a.Conn] = c.cfg.Transport.Connect(a.Gateway, c.timeout(), &events{client: c, id: a.Conn})
	case plan.Send:
		if k, cn := c.calls[a.Call], c.conns[a.Conn]; k != nil && cn != nil {
			c.send(k, cn, a)
		}
	case plan.Abandon:
		if cn := c.conns[a.Conn]; cn != nil {
			cn.Abandon(a.Attempt)
		}
	case plan.HealthCheck:
		if cn := c.conns[a.Conn]; cn != nil {
			cn.Probe()
		}
	case plan.Hangup:
		c.hangup(a.Conn)
	case plan.End:
		if k := c.calls[a.Call]; k != nil {
			c.end(k, a)
		}
	}
}

// send sends an attempt of a call on a connection.
func (c *Client) send(k *call, cn Conn, a plan.Send) {
	t := Try{ID: a.Attempt, Request: k.request, Txn: c.hex(8), Limit: a.Limit, Second: a.Retry}
	if a.SendKey {
		t.Key = k.key
	}
	cn.Send(t)
	k.span.AddEvent("try", trace.WithAttributes(attribute.String("larchusher.txn", t.Txn),
		attribute.Bool("larchusher.second", t.Second), attribute.Int64("larchusher.limit_ms", t.Limit.Milliseconds())))
}

// end gives a call its result, and reports it.
func (c *Client) end(k *call, a plan.End) {
	delete(c.calls, a.Call)
	k.span.SetAttributes(attribute.String("larchusher.ending", a.Ending.String()), attribute.Int("larchusher.tries", a.Attempts))
	if a.Ending != plan.Served {
		k.span.SetStatus(codes.Error, a.Ending.String())
	}
	k.done <- a
	c.meters.ended(k.request.Class, a.Ending.String(), a.Attempts, time.Since(k.began))
	if c.cfg.Hook != nil {
		c.cfg.Hook(Ended{Request: k.request, Ending: a.Ending, Tries: a.Attempts, Took: time.Since(k.began)})
	}
}

// setTimer has the timer run out when the planner wants to be woken, or stops it.
func (c *Client) setTimer() {
	at, ok := c.plan.Wake()
	switch {
	case ok && !c.closed:
		if at != c.wakeAt {
			c.wakeAt = at
			c.timer.Reset(max(0, at-c.now()))
		}
	case c.wakeAt != 0:
		c.wakeAt = 0
		c.timer.Stop()
	}
}

func (c *Client) timeout() time.Duration {
	if c.cfg.Plan.Connect > 0 {
		return c.cfg.Plan.Connect
	}
	return plan.DefaultConnect
}

func (c *Client) hangup(id uint64) {
	if cn := c.conns[id]; cn != nil {
		delete(c.conns, id)
		cn.Close()
	}
}

// events hands a connection's reports to the planner.
type events struct {
	client *Client
	id     uint64
}

func (e *events) Up() { e.client.handle(plan.Up{Conn: e.id}) }

func (e *events) Down(clean bool) {
	c := e.client
	defer c.all.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[e.id] != nil {
		delete(c.conns, e.id)
		c.step(plan.Down{Conn: e.id, Clean: clean})
	}
}

func (e *events) Heard(alive bool) { e.client.handle(plan.Heard{Conn: e.id, Healthy: alive}) }

func (e *events) Answer(try uint64, a Answer) {
	c := e.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.plan.CallOf(e.id, try); ok {
		if k := c.calls[id]; k != nil {
			k.answer = a
		}
	}
	c.step(plan.Answered{Conn: e.id, Attempt: try, OK: a.OK, Rejected: a.Backoff, RetryAfter: a.Later})
}
