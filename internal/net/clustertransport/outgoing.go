package clustertransport

import (
	"errors"
	"time"

	"larchusher/cluster"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

const (
	dialTimeout = 500 * time.Millisecond
	// The backoff after a failed connection starts at minBackoff and doubles up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxQueuedMessages bounds the messages that wait until a connection is up; further ones are dropped.
	maxQueuedMessages = 16
	// maxUnsentBytes bounds the bytes that are buffered for a member that does not read; further messages are dropped.
	maxUnsentBytes = 1 << 20
)

// outgoing sends messages to one member. It dials a connection when there is a message to send and none is up. It belongs to the
// event loop.
type outgoing struct {
	transport *Transport
	name      string
	addr      string

	conn      *outgoingConn // nil: there is none
	dialAfter time.Time     // no dial before this time
	backoff   time.Duration
	queued    []cluster.Message // messages that wait until the connection is up
}

func (o *outgoing) send(m cluster.Message) {
	if o.conn == nil && !o.transport.closed && !o.transport.loop.Now().Before(o.dialAfter) {
		o.dial()
	}
	switch {
	case o.conn == nil:
		o.transport.Counters.Dropped++
	case o.conn.writer != nil:
		o.write(m)
	case len(o.queued) < maxQueuedMessages:
		o.queued = append(o.queued, m)
	default:
		o.transport.Counters.Dropped++
	}
}

func (o *outgoing) dial() {
	t := o.transport
	t.Counters.Dials++
	c := &outgoingConn{member: o}
	o.conn = c
	onDialled := func(*transport.Conn) {} // the connection is up only once the greeting has arrived
	t.engine.Dial(o.addr, dialTimeout, c, onDialled, func(err error) {
		t.loop.Post(func() { o.disconnected(c, err) })
	})
}

// connected is called once the member has sent its greeting. It sends the queued messages.
func (o *outgoing) connected(c *outgoingConn, conn *transport.Conn, challenge []byte) {
	if o.conn != c {
		conn.Close(errors.New("connection was abandoned before its greeting arrived"))
		return
	}
	c.conn = conn
	c.writer = &frameWriter{key: o.transport.key, challenge: challenge, from: o.transport.self, to: o.name}
	o.backoff = minBackoff
	queued := o.queued
	o.queued = nil
	for _, m := range queued {
		if o.conn == c { // a failed write ends the connection
			o.write(m)
		}
	}
}

func (o *outgoing) write(m cluster.Message) {
	t, c := o.transport, o.conn
	if c.conn.UnsentBytes() > maxUnsentBytes {
		t.Counters.Dropped++
		return
	}
	f, err := c.writer.frame(m)
	if err != nil {
		t.Counters.Dropped++
		t.log.WithError(err).Warn(logfields.ClusterMessageUnencodable)
		return
	}
	t.Counters.Sent++
	t.Counters.SentBytes += uint64(len(f))
	if err := c.conn.Write(f); err != nil {
		o.disconnected(c, err)
	}
}

// disconnected handles a connection that could not be opened or has ended: it drops the queue and delays the next dial.
func (o *outgoing) disconnected(c *outgoingConn, err error) {
	if o.conn != c {
		return
	}
	t := o.transport
	t.Counters.Disconnects++
	t.log.WithError(err).WithField(logfields.Member, o.name).Debug(logfields.ClusterConnLost)
	o.reset(err)
	o.dialAfter = t.loop.Now().Add(o.backoff)
	o.backoff = min(maxBackoff, 2*o.backoff)
}

// reset closes the connection and drops the queued messages.
func (o *outgoing) reset(err error) {
	if o.conn != nil && o.conn.conn != nil {
		o.conn.conn.Close(err)
	}
	o.transport.Counters.Dropped += uint64(len(o.queued))
	o.conn, o.queued = nil, nil
}

// outgoingConn is a connection to a member. The member sends its greeting over it and nothing else.
type outgoingConn struct {
	member   *outgoing
	greeting []byte // used on the poller

	conn   *transport.Conn // nil: no greeting has arrived yet
	writer *frameWriter    // nil: no greeting has arrived yet
}

// OnBytes reads the greeting. It is called on the poller.
func (c *outgoingConn) OnBytes(conn *transport.Conn, b []byte, _ time.Time) error {
	if len(c.greeting) >= greetingSize {
		return errors.New("member sent more than its greeting")
	}
	c.greeting = append(c.greeting, b...)
	if len(c.greeting) < greetingSize {
		return nil
	}
	challenge, ok := parseGreeting(c.greeting)
	if !ok {
		return errNoGreeting
	}
	o := c.member
	o.transport.loop.Post(func() { o.connected(c, conn, challenge) })
	return nil
}

// OnClosed reports the end of the connection to the event loop; the next message dials again.
func (c *outgoingConn) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errors.New("closed")
	}
	o := c.member
	o.transport.loop.Post(func() { o.disconnected(c, err) })
}
