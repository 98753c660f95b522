package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"larchusher/client/rpc"
)

// RPC is the platform's protocol: MessagePack-RPC over TCP. The zero value is ready for use.
type RPC struct {
	// Dial connects; nil: as net.Dialer does.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// rpcConn is one connection, with one goroutine that reads and one that writes.
//
// Messages are encoded into a buffer that the writer takes whole, so that no method blocks.
type rpcConn struct {
	events Events
	cancel context.CancelFunc

	mu               sync.Mutex // guards what follows
	wake             *sync.Cond // for the writer: there is something to write, or the connection is closed
	nc               net.Conn   // nil before it is up
	outgoing         bytes.Buffer
	enc              *rpc.Encoder // writes to outgoing
	lastMessageID    uint32
	attemptByMessage map[uint32]uint64 // those in flight
	messageByAttempt map[uint64]uint32
	healthChecks     map[uint32]bool // by message: those without an answer
	closed           bool
}

// Connect begins to connect.
func (t *RPC) Connect(gateway string, timeout time.Duration, ev Events) Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &rpcConn{events: ev, cancel: cancel, attemptByMessage: map[uint32]uint64{}, messageByAttempt: map[uint64]uint32{}, healthChecks: map[uint32]bool{}}
	c.wake, c.enc = sync.NewCond(&c.mu), rpc.NewEncoder(&c.outgoing)
	dial := t.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	go c.run(ctx, gateway, dial)
	return c
}

// run connects, reports what comes, and reports the end as the last of all.
func (c *rpcConn) run(ctx context.Context, addr string, dial func(context.Context, string, string) (net.Conn, error)) {
	defer c.cancel()
	clean := false
	defer func() { c.events.Down(clean) }()
	nc, err := dial(ctx, "tcp", addr)
	if err != nil {
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		_ = nc.Close() // nothing was sent on it
		return
	}
	c.nc = nc
	c.mu.Unlock()
	c.events.Up()
	var writer sync.WaitGroup
	writer.Go(c.write)
	err = c.read()
	c.Close()
	writer.Wait()
	clean = errors.Is(err, io.EOF)
}

// errUnknownMessage is why a connection ends whose gateway answers a message that was never sent.
var errUnknownMessage = errors.New("an answer to what was never asked")

// read hands answers on until the connection ends, and returns why it did.
func (c *rpcConn) read() error {
	r := rpc.NewReader(c.nc)
	for {
		a, err := r.Next()
		if err != nil {
			return err
		}
		m := c.takeMessage(a.ID)
		switch {
		case m.healthCheck:
			c.events.Heard(a.Healthy)
		case m.inFlight:
			c.events.Answer(m.attempt, Answer{OK: a.Error == "", Backoff: a.Error == rpc.Backoff, Later: a.RetryAfter, Body: a.Body,
				Unchanged: a.Still && len(a.Body) == 0})
		case m.sent: // it was abandoned, or answered before
			c.events.Heard(false)
		default:
			return errUnknownMessage
		}
	}
}

// message is what an answer's message id stands for.
type message struct {
	attempt     uint64
	inFlight    bool // the attempt wants an answer
	healthCheck bool
	sent        bool
}

// takeMessage looks a message id up, and forgets what it stands for: one answer is all that it gets.
func (c *rpcConn) takeMessage(id uint32) message {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := message{healthCheck: c.healthChecks[id], sent: id <= c.lastMessageID}
	delete(c.healthChecks, id)
	if m.attempt, m.inFlight = c.attemptByMessage[id]; m.inFlight {
		delete(c.attemptByMessage, id)
		delete(c.messageByAttempt, m.attempt)
	}
	return m
}

// write writes what is outgoing until the connection is closed.
func (c *rpcConn) write() {
	var b []byte
	for {
		c.mu.Lock()
		for c.outgoing.Len() == 0 && !c.closed {
			c.wake.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		b = append(b[:0], c.outgoing.Bytes()...)
		c.outgoing.Reset()
		c.mu.Unlock()
		if _, err := c.nc.Write(b); err != nil {
			_ = c.nc.Close() // the reader reports the end
			return
		}
	}
}

// Send sends an attempt under the next message id.
func (c *rpcConn) Send(t Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.lastMessageID++
	c.attemptByMessage[c.lastMessageID], c.messageByAttempt[t.ID] = t.ID, c.lastMessageID
	r := t.Request
	_ = c.enc.Request(&rpc.Request{ID: c.lastMessageID, Class: r.Class, Txn: t.Txn, Limit: t.Limit, Retry: t.Second, Key: t.Key,
		Object: r.Object, Part: r.Part, Group: r.Group, Have: r.Have, Body: r.Body}) // a buffer takes it all
	c.wake.Signal()
}

// Abandon says that no answer is wanted any more.
func (c *rpcConn) Abandon(try uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.messageByAttempt[try]
	if !ok || c.closed {
		return
	}
	delete(c.messageByAttempt, try)
	delete(c.attemptByMessage, id)
	_ = c.enc.Cancel(id) // a buffer takes it all
	c.wake.Signal()
}

// Probe asks whether the gateway serves.
func (c *rpcConn) Probe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.lastMessageID++
	c.healthChecks[c.lastMessageID] = true
	_ = c.enc.HealthCheck(c.lastMessageID) // a buffer takes it all
	c.wake.Signal()
}

// Close ends the connection.
func (c *rpcConn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.cancel()
	c.wake.Broadcast()
	if c.nc != nil {
		_ = c.nc.Close() // the reader reports the end
	}
}
