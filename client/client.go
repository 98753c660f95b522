// Package client speaks to larchusher's gateways: it keeps the deadline over all attempts of a request, marks
// retries, heeds rejections and their Retry-After, keeps retries within a budget, leaves gateways that are ejected and spreads
// its reconnects. Package plan decides; this package carries it out on real connections.
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
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"larchusher/client/plan"
)

// Client is a client of several gateways. It is safe for concurrent use.
type Client struct {
	cfg   Config
	epoch time.Time

	mu          sync.Mutex // guards what follows, but for running
	planner     *plan.Planner
	rng         *mrand.ChaCha8
	conns       map[uint64]Conn
	calls       map[uint64]*call
	lastCallID  uint64
	timer       *time.Timer
	wakeAt      time.Duration // when the timer runs out; 0: it is stopped
	actions     []plan.Action
	instruments *instruments
	closed      bool
	running     sync.WaitGroup // connections that have not reported Down
}

// call is a call that has not ended.
type call struct {
	request        *Request
	idempotencyKey string
	startedAt      time.Time
	answer         Answer
	span           trace.Span
	done           chan plan.End
}

// noSpan takes all and keeps nothing.
var noSpan = trace.SpanFromContext(context.Background())

// New returns a client, or an error that names what can't be worked with. It connects when it is first used.
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

// seed is the configured seed, or a new one.
func (cfg *Config) seed() (seed [32]byte, err error) {
	if cfg.Seed != 0 {
		binary.LittleEndian.PutUint64(seed[:], cfg.Seed)
		return seed, nil
	}
	if _, err := rand.Read(seed[:]); err != nil {
		return seed, fmt.Errorf("client: a seed: %w", err)
	}
	return seed, nil
}

// Do asks for a part, and waits for the call's one ending: at the context's deadline at the latest. Its errors are those of
// this package, or the context's if that was canceled.
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
	id := c.start(k, deadline)
	select {
	case e := <-k.done:
		return k.result(e)
	case <-ctx.Done():
	}
	c.cancel(id, k, ctx.Err())
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

func (c *Client) startSpan(ctx context.Context, r *Request) (context.Context, trace.Span) {
	return c.cfg.Tracer.Start(ctx, "larchusher.Do", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("larchusher.class", r.Class), attribute.String("larchusher.object", r.Object),
			attribute.Int("larchusher.part", r.Part)))
}

// start gives a call to the planner and returns its id.
func (c *Client) start(k *call, deadline time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCallID++
	id := c.lastCallID
	if k.idempotencyKey == "" {
		k.idempotencyKey = c.drawHex(idempotencyKeyBytes)
	}
	c.calls[id] = k
	c.apply(plan.Call{ID: id, Class: k.request.Class, Deadline: deadline.Sub(c.epoch)})
	return id
}

// cancel ends a call that its caller gave up, unless it has ended.
func (c *Client) cancel(id uint64, k *call, cause error) {
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

// result is what the caller gets for an ending.
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

// Close ends all calls with ErrClosed, and waits until every goroutine of the client has ended. A second Close returns
// ErrClosed.
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
	c.running.Wait()
	c.instruments.close()
	return nil
}

// Counters counts the decisions so far, by name; see [plan.Counters].
func (c *Client) Counters() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Counters.All()
}
