// Package client sends requests to larchusher's gateways. A [Client] enforces the deadline of a call over all its attempts,
// marks retries, waits for the Retry-After of rejections, limits retries by a budget, sends nothing to ejected gateways and
// spreads its reconnects over time. The decisions are made in package plan; this package executes them on connections.
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
//	case errors.As(err, &refused): // rejected: try again after refused.Later
//	case errors.Is(err, client.ErrUnknown): // the connection was lost, and the request may have run
//	}
package client

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"larchusher/client/plan"
)

// Client sends requests to several gateways. It is safe for concurrent use. Create one with [New].
type Client struct {
	cfg   Config
	epoch time.Time // start of the planner's clock

	mu          sync.Mutex // guards the fields below, except openConns
	planner     *plan.Planner
	rng         *mrand.ChaCha8
	conns       map[uint64]Conn  // by the planner's connection id
	calls       map[uint64]*call // by the planner's call id
	lastCallID  uint64
	timer       *time.Timer
	timerAt     time.Duration // when the timer fires, on the planner's clock; 0: stopped; see timerFired
	actions     []plan.Action // buffer, reused by apply
	instruments *instruments
	closed      bool
	openConns   sync.WaitGroup // connections that have not reported Down
}

// call is a call that has not ended.
type call struct {
	request        *Request
	idempotencyKey string
	startedAt      time.Time
	answer         Answer // the last answer to an attempt in flight
	span           trace.Span
	done           chan plan.End // receives the ending; has a buffer of one
}

// noSpan is the span of calls without tracing. It ignores everything that is recorded on it.
var noSpan = trace.SpanFromContext(context.Background())

// New returns a client, or an error that names the invalid field of the configuration. The client connects to a gateway
// when the first request needs it. Call [Client.Close] to release its connections and goroutines.
func New(cfg Config) (*Client, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	seed, err := cfg.seed()
	if err != nil {
		return nil, err
	}
	rng := mrand.NewChaCha8(seed)
	planner, err := plan.New(cfg.planConfig(), mrand.New(rng))
	if err != nil {
		return nil, err
	}
	c := &Client{cfg: cfg, epoch: time.Now(), planner: planner, rng: rng, conns: map[uint64]Conn{}, calls: map[uint64]*call{}}
	c.timer = time.AfterFunc(time.Hour, func() { c.handleEvent(plan.Timer{}) })
	c.timer.Stop()
	if c.instruments, err = newInstruments(cfg.Meter, c); err != nil {
		return nil, err
	}
	return c, nil
}

// seed returns the configured seed, or a random one if that is 0.
func (cfg *Config) seed() (seed [32]byte, err error) {
	if cfg.Seed != 0 {
		binary.LittleEndian.PutUint64(seed[:], cfg.Seed)
		return seed, nil
	}
	if _, err := rand.Read(seed[:]); err != nil {
		return seed, fmt.Errorf("client: reading a random seed: %w", err)
	}
	return seed, nil
}

// Do requests a part of an object and waits for the result, until the deadline of the context at the latest. If the context
// has no deadline, Config.Deadline applies; a shorter deadline of the class applies in both cases. Do may be called from any
// number of goroutines.
//
// The error is one of this package's errors (see [ErrRefused] and the others), to be tested with errors.Is, or
// context.Canceled if the context was canceled.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if err := r.check(); err != nil {
		return Response{}, err
	}
	startedAt := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = startedAt.Add(c.cfg.Deadline)
	}
	k := &call{request: &r, idempotencyKey: r.Key, startedAt: startedAt, done: make(chan plan.End, 1), span: noSpan}
	if c.cfg.Tracer != nil {
		ctx, k.span = c.startSpan(ctx, &r)
		defer k.span.End()
	}
	id := c.startCall(k, deadline)
	select {
	case e := <-k.done:
		return k.result(e)
	case <-ctx.Done():
	}
	c.cancelCall(id, k, ctx.Err())
	select {
	case e := <-k.done: // the call ended before cancelCall locked the mutex
		return k.result(e)
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Response{}, fmt.Errorf("%w: %w", ErrExpired, ctx.Err())
	}
	return Response{}, ctx.Err()
}

func (c *Client) startSpan(ctx context.Context, r *Request) (context.Context, trace.Span) {
	return c.cfg.Tracer.Start(ctx, "larchusher.Do", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("larchusher.class", r.Class), attribute.String("larchusher.object", r.Object),
			attribute.Int("larchusher.part", r.Part)))
}

// startCall passes a call to the planner and returns its id.
func (c *Client) startCall(k *call, deadline time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCallID++
	id := c.lastCallID
	if k.idempotencyKey == "" {
		k.idempotencyKey = c.drawHex(idempotencyKeyBytes)
	}
	c.calls[id] = k
	c.apply(plan.Call{ID: id, Class: k.request.Class, Key: k.request.Key, Deadline: deadline.Sub(c.epoch)})
	return id
}

// cancelCall ends a call whose context is done, unless the call has ended already. cause is the error of the context.
func (c *Client) cancelCall(id uint64, k *call, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.calls[id]; !open {
		return
	}
	delete(c.calls, id)
	c.apply(plan.Cancelled{ID: id})
	ending := plan.Expired.String()
	if errors.Is(cause, context.Canceled) {
		ending = endingCancelled
	}
	c.instruments.recordCall(k.request.Class, ending, 0, time.Since(k.startedAt))
}

// result converts the ending of a call to the results of Do.
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

// Close ends all calls with [ErrClosed], closes the connections, and waits until all goroutines of the client have ended. A
// second call returns ErrClosed. Close must not be called from Config.Hook.
func (c *Client) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return ErrClosed
	}
	c.closed = true
	c.apply(plan.Close{})
	c.timer.Stop()
	c.mu.Unlock()
	c.openConns.Wait()
	c.instruments.close()
	return nil
}

// Counters returns the numbers of the client's decisions so far, by name; see [plan.Counters].
func (c *Client) Counters() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Counters.All()
}
