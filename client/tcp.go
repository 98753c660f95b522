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
type rpcConn struct {
	events Events
	cancel context.CancelFunc

	mu               sync.Mutex
	wake             *sync.Cond
	nc               net.Conn
	outgoing         bytes.Buffer
	enc              *rpc.Encoder
	lastMessageID    uint32
	attemptByMessage map[uint32]uint64 // by message id
	messageByAttempt map[uint64]uint32 // by try
	healthChecks     map[uint32]bool
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

// read hands answers on until the connection ends.
func (c *rpcConn) read() error {
	r := rpc.NewReader(c.nc)
	for {
		a, err := r.Next()
		if err != nil {
			return err
		}
		c.mu.Lock()
		try, ok := c.attemptByMessage[a.ID]
		probe := c.healthChecks[a.ID]
		delete(c.healthChecks, a.ID)
		if ok {
			delete(c.attemptByMessage, a.ID)
			delete(c.messageByAttempt, try)
		}
		known := a.ID <= c.lastMessageID
		c.mu.Unlock()
		switch {
		case probe:
			c.events.Heard(a.Healthy)
		case ok:
			c.events.Answer(try, Answer{OK: a.Error == "", Backoff: a.Error == rpc.Backoff, Later: a.RetryAfter, Body: a.Body,
				Unchanged: a.Still && len(a.Body) == 0})
		case known: // it was given up, or answered before
			c.events.Heard(false)
		default:
			return errors.New("an answer to what was never asked")
		}
	}
}

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

// Send sends a try under the next message id.
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
	_ = c.enc.Cancel(id)
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
	_ = c.enc.HealthCheck(c.lastMessageID)
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
