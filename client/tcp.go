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

// RPC is the transport for the platform's protocol, MessagePack-RPC over TCP. The zero value is ready to use. Dial must not
// be changed after the first use.
type RPC struct {
	// Dial opens a TCP connection. It must be safe for concurrent use. nil: a net.Dialer is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// rpcConn is a connection with one goroutine that reads answers and one that writes messages. Its methods encode messages
// into a buffer, which the writing goroutine sends, so that no method blocks.
type rpcConn struct {
	events Events
	cancel context.CancelFunc // ends dialling

	mu               sync.Mutex    // guards the fields below
	wake             *sync.Cond    // signals the writer: outgoing has data, or the connection is closed
	nc               *deliveryConn // nil until the connection is established
	outgoing         bytes.Buffer  // encoded messages that the writer has not taken yet
	dequeuedBytes    uint64        // bytes that the writer has taken from outgoing
	enc              *rpc.Encoder  // writes to outgoing
	lastMessageID    uint32
	attemptByMessage map[uint32]sentAttempt // by message id: the attempts in flight
	messageByAttempt map[uint64]uint32      // by attempt id: the message ids of the attempts in flight
	healthChecks     map[uint32]bool        // by message id: the health checks that are not answered
	closed           bool
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	id     uint64
	offset uint64 // offset of its first byte in the data written to the connection
}

// Connect starts to connect to a gateway. It implements [Transport].
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

// run connects, reads answers until the connection ends, and reports Down as its last event.
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
		_ = nc.Close() // nothing was sent, so an error does not matter
		return
	}
	c.nc = newDeliveryConn(nc)
	c.mu.Unlock()
	c.events.Up()
	var writer sync.WaitGroup
	writer.Go(c.writeOutgoing)
	err = c.readAnswers()
	clean = errors.Is(err, io.EOF) && c.noAttemptArrived()
	c.Close()
	writer.Wait()
}

// noAttemptArrived reports, after the gateway has closed the connection, that no byte of the attempts in flight can have
// reached the gateway.
func (c *rpcConn) noAttemptArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.attemptByMessage {
		if c.nc.mayHaveArrived(t.offset) {
			return false
		}
	}
	return true
}

// errUnknownMessage ends a connection on which the gateway answered a message id that was never sent.
var errUnknownMessage = errors.New("the gateway answered a message id that was never sent")

// readAnswers reports the answers of the gateway until the connection ends, and returns the error that ended it.
func (c *rpcConn) readAnswers() error {
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
		case m.awaitsAnswer:
			c.events.Answer(m.attempt, Answer{OK: a.Error == "", Backoff: a.Error == rpc.Backoff, Later: a.RetryAfter, Body: a.Body,
				Unchanged: a.Still && len(a.Body) == 0})
		case m.sent: // the attempt was abandoned, or the message was answered before
			c.events.Heard(false)
		default:
			return errUnknownMessage
		}
	}
}

// message describes the message with the id of an answer.
type message struct {
	attempt      uint64 // if awaitsAnswer: the id of the attempt
	awaitsAnswer bool   // it is an attempt in flight
	healthCheck  bool   // it is a health check without an answer so far
	sent         bool   // a message with this id was sent
}

// takeMessage returns the message with an id and removes it from the messages that wait for an answer, since each message
// gets one answer only.
func (c *rpcConn) takeMessage(id uint32) message {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := message{healthCheck: c.healthChecks[id], sent: id <= c.lastMessageID}
	delete(c.healthChecks, id)
	var sent sentAttempt
	if sent, m.awaitsAnswer = c.attemptByMessage[id]; m.awaitsAnswer {
		m.attempt = sent.id
		delete(c.attemptByMessage, id)
		delete(c.messageByAttempt, m.attempt)
	}
	return m
}

// writeOutgoing writes the buffered messages to the connection until it is closed.
func (c *rpcConn) writeOutgoing() {
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
		c.dequeuedBytes += uint64(len(b))
		c.outgoing.Reset()
		c.mu.Unlock()
		_, err := c.nc.Write(b)
		if errors.Is(err, errPeerClosed) { // the reader finds the end by itself, after the answers sent before it
			return
		}
		if err != nil {
			_ = c.nc.Close() // the reader then fails, and run reports Down
			return
		}
	}
}

// Send queues an attempt for sending, with the next message id. It implements [Conn].
func (c *rpcConn) Send(t Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.lastMessageID++
	c.attemptByMessage[c.lastMessageID] = sentAttempt{id: t.ID, offset: c.dequeuedBytes + uint64(c.outgoing.Len())}
	c.messageByAttempt[t.ID] = c.lastMessageID
	r := t.Request
	_ = c.enc.Request(&rpc.Request{ID: c.lastMessageID, Class: r.Class, Txn: t.Txn, Limit: t.Limit, Retry: t.Second, Key: t.Key,
		Object: r.Object, Part: r.Part, Group: r.Group, Have: r.Have, Body: r.Body}) // writing to a buffer does not fail
	c.wake.Signal()
}

// Abandon queues a message that cancels an attempt in flight. It implements [Conn].
func (c *rpcConn) Abandon(try uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.messageByAttempt[try]
	if !ok || c.closed {
		return
	}
	delete(c.messageByAttempt, try)
	delete(c.attemptByMessage, id)
	_ = c.enc.Cancel(id) // writing to a buffer does not fail
	c.wake.Signal()
}

// Probe queues a health check. It implements [Conn].
func (c *rpcConn) Probe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.lastMessageID++
	c.healthChecks[c.lastMessageID] = true
	_ = c.enc.HealthCheck(c.lastMessageID) // writing to a buffer does not fail
	c.wake.Signal()
}

// Close closes the connection. Messages that have not been written yet are dropped. It implements [Conn].
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
		_ = c.nc.Close() // the reader then fails, and run reports Down
	}
}
