package client

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"larchusher/client/plan"
)

// now returns the time on the planner's clock.
func (c *Client) now() time.Duration { return time.Since(c.epoch) }

func (c *Client) handleEvent(ev plan.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(ev)
}

// apply passes an event to the planner, performs the resulting actions and sets the timer. The caller holds the mutex.
func (c *Client) apply(ev plan.Event) {
	c.actions = c.planner.Handle(c.now(), ev, c.actions[:0])
	for _, a := range c.actions {
		c.perform(a)
	}
	if _, ok := ev.(plan.Timer); ok {
		c.timerAt = timerFired
	}
	c.setTimer()
}

// perform executes an action of the planner. The caller holds the mutex.
func (c *Client) perform(a plan.Action) {
	switch a := a.(type) {
	case plan.Connect:
		c.openConns.Add(1)
		c.conns[a.Conn] = c.cfg.Transport.Connect(a.Gateway, c.cfg.connectTimeout(), &connEvents{client: c, id: a.Conn})
	case plan.Send:
		if k, cn := c.calls[a.Call], c.conns[a.Conn]; k != nil && cn != nil {
			c.sendAttempt(k, cn, a)
		}
	case plan.Abandon:
		if cn := c.conns[a.Conn]; cn != nil {
			cn.Abandon(a.Attempt)
		}
	case plan.HealthCheck:
		if cn := c.conns[a.Conn]; cn != nil {
			cn.Probe()
		}
	case plan.Disconnect:
		c.closeConn(a.Conn)
	case plan.End:
		if k := c.calls[a.Call]; k != nil {
			c.endCall(k, a)
		}
	}
}

// sendAttempt sends an attempt of a call on a connection, with a new transaction id.
func (c *Client) sendAttempt(k *call, cn Conn, a plan.Send) {
	t := Try{ID: a.Attempt, Request: k.request, Txn: c.drawHex(txnBytes), Limit: a.Limit, Second: a.Retry}
	if a.SendKey {
		t.Key = k.idempotencyKey
	}
	cn.Send(t)
	k.span.AddEvent("try", trace.WithAttributes(attribute.String("larchusher.txn", t.Txn),
		attribute.Bool("larchusher.second", t.Second), attribute.Int64("larchusher.limit_ms", t.Limit.Milliseconds())))
}

// endCall passes the ending of a call to Do, the span, the instruments and the hook.
func (c *Client) endCall(k *call, a plan.End) {
	delete(c.calls, a.Call)
	k.span.SetAttributes(attribute.String("larchusher.ending", a.Ending.String()), attribute.Int("larchusher.tries", a.Attempts))
	if a.Ending != plan.Served {
		k.span.SetStatus(codes.Error, a.Ending.String())
	}
	k.done <- a
	c.instruments.recordCall(k.request.Class, a.Ending.String(), a.Attempts, time.Since(k.startedAt))
	if c.cfg.Hook != nil {
		c.cfg.Hook(Ended{Request: k.request, Ending: a.Ending, Tries: a.Attempts, Took: time.Since(k.startedAt)})
	}
}

func (c *Client) closeConn(id uint64) {
	if cn := c.conns[id]; cn != nil {
		delete(c.conns, id)
		cn.Close()
	}
}

// timerFired is the value of timerAt after the timer has fired. It differs from all times, so that setTimer always sets the
// timer again.
const timerFired = time.Duration(-1)

// setTimer sets the timer to the planner's next timer, or stops it if there is none. The caller holds the mutex.
func (c *Client) setTimer() {
	at, ok := c.planner.NextTimer()
	switch {
	case ok && !c.closed:
		if at != c.timerAt {
			c.timerAt = at
			c.timer.Reset(max(0, at-c.now()))
		}
	case c.timerAt != 0:
		c.timerAt = 0
		c.timer.Stop()
	}
}

// Lengths of random ids in bytes. Each byte is sent as two hex digits.
const (
	txnBytes            = 8
	idempotencyKeyBytes = 16
)

// drawHex draws n random bytes and returns them as hex digits; n is 8 or 16. The caller holds the mutex.
func (c *Client) drawHex(n int) string {
	var b [16]byte
	for i := 0; i < n; i += 8 {
		binary.LittleEndian.PutUint64(b[i:], c.rng.Uint64())
	}
	return hex.EncodeToString(b[:n])
}

// connEvents passes the events of a connection to the planner. It implements [Events].
type connEvents struct {
	client *Client
	id     uint64
}

func (e *connEvents) Up() { e.client.handleEvent(plan.Up{Conn: e.id}) }

func (e *connEvents) Down(clean bool) {
	c := e.client
	defer c.openConns.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[e.id] != nil {
		delete(c.conns, e.id)
		c.apply(plan.Down{Conn: e.id, Clean: clean})
	}
}

func (e *connEvents) Heard(alive bool) {
	e.client.handleEvent(plan.Received{Conn: e.id, Healthy: alive})
}

func (e *connEvents) Answer(try uint64, a Answer) {
	c := e.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.planner.CallOf(e.id, try); ok {
		if k := c.calls[id]; k != nil {
			k.answer = a
		}
	}
	c.apply(plan.Answered{Conn: e.id, Attempt: try, OK: a.OK, Rejected: a.Backoff, RetryAfter: a.Later})
}
