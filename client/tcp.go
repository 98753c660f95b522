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

	mu               sync.Mutex    // guards what follows
	wake             *sync.Cond    // for the writer: there is something to write, or the connection is closed
	nc               *deliveryConn // nil before it is up
	outgoing         bytes.Buffer
	takenBytes       uint64       // that the writer has taken off outgoing
	enc              *rpc.Encoder // writes to outgoing
	lastMessageID    uint32
	attemptByMessage map[uint32]sentAttempt // those in flight
	messageByAttempt map[uint64]uint32
	healthChecks     map[uint32]bool // by message: those without an answer
	closed           bool
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	id     uint64
	offset uint64 // of its first byte, among all that is written to the connection
}

// Connect begins to connect.
func (t *RPC) Connect(gateway string, timeout time.Duration, ev Events) Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &rpcConn{events: ev, cancel: cancel, attemptByMessage: map[uint32]sentAttempt{}, messageByAttempt: map[uint64]uint32{}, healthChecks: map[uint32]bool{}}
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
	c.nc = newDeliveryConn(nc)
	c.mu.Unlock()
	c.events.Up()
	var writer sync.WaitGroup
	writer.Go(c.write)
	err = c.read()
	clean = errors.Is(err, io.EOF) && c.nothingArrived()
	c.Close()
	writer.Wait()
}

// nothingArrived reports whether no byte of the attempts in flight can have reached the gateway, which has closed the connection.
func (c *rpcConn) nothingArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.attemptByMessage {
		if c.nc.mayHaveArrived(t.offset) {
			return false
		}
	}
	return true
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
	var sent sentAttempt
	if sent, m.inFlight = c.attemptByMessage[id]; m.inFlight {
		m.attempt = sent.id
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
		c.takenBytes += uint64(len(b))
		c.outgoing.Reset()
		c.mu.Unlock()
		_, err := c.nc.Write(b)
		if errors.Is(err, errPeerClosed) { // the reader comes to the end by itself, behind what was answered before it
			return
		}
		if err != nil {
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
	c.attemptByMessage[c.lastMessageID] = sentAttempt{id: t.ID, offset: c.takenBytes + uint64(c.outgoing.Len())}
	c.messageByAttempt[t.ID] = c.lastMessageID
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
