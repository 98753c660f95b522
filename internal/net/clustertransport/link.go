package clustertransport

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/cluster"
	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

const (
	dialTimeout     = 500 * time.Millisecond
	minBackoff      = 100 * time.Millisecond // after a connection that failed, doubled
	maxBackoff      = 2 * time.Second
	maxQueuedBytes  = 1 << 20          // bytes that may wait for one member; beyond, messages are dropped
	toolIdleTimeout = 30 * time.Second // a tool's connection without a frame
	greetingTimeout = 2 * time.Second  // and one that has not sent any
	maxTools        = 32
)

// Member is another gateway.
type Member struct{ Name, Addr string }

// Counters count what went over the link.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes uint64
	Dropped                                  uint64 // messages for want of a connection, or of room
	Rejected                                 uint64 // connections closed for a frame that is not ours
	Replayed                                 uint64 // frames that came again, or late
	Dials, Disconnects                       uint64
}

// Transport is a gateway's link to the others. It lives on the loop.
type Transport struct {
	Counters Counters

	self     string
	key      []byte
	loop     *gateway.Loop
	engine   *transport.Engine
	log      logrus.FieldLogger
	receive  func(from string, m cluster.Message)
	members  map[string]*outgoing
	tools    map[string]*incoming
	accepted map[*incoming]bool
	listener *transport.Listener
	closed   bool
}

// Open listens for the other members and for tools. Each message that comes is handed to heard, on the loop.
func Open(self, listen string, members []Member, key []byte, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger,
	heard func(from string, m cluster.Message)) (*Transport, error) {
	l := &Transport{self: self, key: key, loop: loop, engine: engine, log: log, receive: heard, members: map[string]*outgoing{}, tools: map[string]*incoming{},
		accepted: map[*incoming]bool{}}
	for _, m := range members {
		if m.Name != self {
			l.members[m.Name] = &outgoing{transport: l, name: m.Name, addr: m.Addr, backoff: minBackoff}
		}
	}
	var err error
	if l.listener, err = engine.Listen(listen, 2*len(members)+maxTools, nil, func() transport.Handler { return &incoming{transport: l} }); err != nil {
		return nil, fmt.Errorf("listening for the fleet: %w", err)
	}
	loop.After(greetingTimeout, l.sweep)
	return l, nil
}

// Addr is where it listens.
func (l *Transport) Addr() string { return l.listener.Addr().String() }

// Send sends a message to a member, or back to a tool. It may get lost.
func (l *Transport) Send(to string, m cluster.Message) {
	if o := l.members[to]; o != nil {
		o.send(m)
	} else if c := l.tools[to]; c != nil {
		c.reply(m)
	} else {
		l.Counters.Dropped++
	}
}

// Close ends the link.
func (l *Transport) Close() {
	l.closed = true
	l.listener.Close()
	for _, o := range l.members {
		o.reset(errors.New("closed"))
	}
	for c := range l.accepted {
		c.tc.Close(errors.New("closed"))
	}
}

// sweep closes connections that say nothing.
func (l *Transport) sweep() {
	now := l.loop.Now()
	for c := range l.accepted {
		if c.from == "" && now.Sub(c.lastFrame) > greetingTimeout || c.tool && now.Sub(c.lastFrame) > toolIdleTimeout {
			c.tc.Close(errors.New("it says nothing"))
		}
	}
	if !l.closed {
		l.loop.After(greetingTimeout, l.sweep)
	}
}

// outgoing is the way to one member: a connection, while there is one.
type outgoing struct {
	transport *Transport
	name      string
	addr      string

	conn      *outgoingConn
	dialAfter time.Time // not dialled before
	backoff   time.Duration
	queued    []cluster.Message // until the connection is up
}

func (o *outgoing) send(m cluster.Message) {
	l := o.transport
	if o.conn == nil && !l.closed && !l.loop.Now().Before(o.dialAfter) {
		l.Counters.Dials++
		d := &outgoingConn{member: o}
		o.conn = d
		l.engine.Dial(o.addr, dialTimeout, d, func(*transport.Conn) {}, func(err error) {
			l.loop.Post(func() { o.disconnected(d, err) })
		})
	}
	switch {
	case o.conn == nil:
		l.Counters.Dropped++
	case o.conn.w == nil: // it is coming up; what is old by then is asked for again
		if len(o.queued) < 16 {
			o.queued = append(o.queued, m)
		} else {
			l.Counters.Dropped++
		}
	default:
		o.write(m)
	}
}

func (o *outgoing) write(m cluster.Message) {
	l, d := o.transport, o.conn
	if d.tc.UnsentBytes() > maxQueuedBytes { // one that does not read costs this much and no more
		l.Counters.Dropped++
		return
	}
	f, err := d.w.frame(m)
	if err != nil {
		l.Counters.Dropped++
		l.log.WithError(err).Warn(logfields.ClusterMessageUnencodable)
		return
	}
	l.Counters.Sent++
	l.Counters.SentBytes += uint64(len(f))
	if err := d.tc.Write(f); err != nil {
		o.disconnected(d, err)
	}
}

// disconnected takes in that a connection did not come up, or ended.
func (o *outgoing) disconnected(d *outgoingConn, err error) {
	if o.conn != d {
		return
	}
	o.transport.Counters.Disconnects++
	o.transport.log.WithError(err).WithField(logfields.Member, o.name).Debug(logfields.ClusterConnLost)
	o.reset(err)
	o.dialAfter = o.transport.loop.Now().Add(o.backoff)
	o.backoff = min(maxBackoff, 2*o.backoff)
}

func (o *outgoing) reset(err error) {
	if o.conn != nil && o.conn.tc != nil {
		o.conn.tc.Close(err)
	}
	o.transport.Counters.Dropped += uint64(len(o.queued))
	o.conn, o.queued = nil, nil
}

// outgoingConn is a connection to a member. The member speaks first, with its challenge; nothing else is read.
type outgoingConn struct {
	member *outgoing
	buf    []byte // poller
	tc     *transport.Conn
	w      *frameWriter
}

// OnBytes reads the greeting.
func (d *outgoingConn) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
	if len(d.buf) >= greetingSize {
		return errors.New("a member that says more than its greeting")
	}
	d.buf = append(d.buf, b...)
	if len(d.buf) < greetingSize {
		return nil
	}
	if len(d.buf) > greetingSize || string(d.buf[:len(magic)]) != magic {
		return errors.New("not the greeting of a member")
	}
	challenge := d.buf[len(magic):greetingSize]
	o := d.member
	o.transport.loop.Post(func() {
		if o.conn != d {
			tc.Close(errors.New("given up"))
			return
		}
		d.tc, d.w, o.backoff = tc, &frameWriter{key: o.transport.key, challenge: challenge, from: o.transport.self, to: o.name}, minBackoff
		first := o.queued
		o.queued = nil
		for _, m := range first {
			if o.conn == d {
				o.write(m)
			}
		}
	})
	return nil
}

// OnClosed has the next message dial again.
func (d *outgoingConn) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errors.New("closed")
	}
	d.member.transport.loop.Post(func() { d.member.disconnected(d, err) })
}

// incoming is a connection that a member or a tool has made.
type incoming struct {
	transport *Transport
	frames    frameReader // poller

	tc        *transport.Conn // loop: the rest
	from      string
	tool      bool
	lastFrame time.Time    // latest frame, or its beginning
	w         *frameWriter // back to a tool
}

// OnOpened makes the challenge, before the first byte can come.
func (c *incoming) OnOpened(tc *transport.Conn) {
	c.frames = frameReader{key: c.transport.key, challenge: newChallenge(), self: c.transport.self}
	c.transport.loop.Post(func() {
		c.tc, c.lastFrame = tc, c.transport.loop.Now()
		c.transport.accepted[c] = true
		if c.transport.closed {
			tc.Close(errors.New("closed"))
		}
	})
}

// OnReady speaks first: frames have to answer the challenge.
func (c *incoming) OnReady(tc *transport.Conn) {
	_ = tc.Write([]byte(magic), c.frames.challenge)
}

// OnBytes takes frames.
func (c *incoming) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
	l := c.transport
	err := c.frames.feed(b, func(from string, m cluster.Message) {
		theirs := c.frames.peerChallenge
		n := len(m.Value)
		l.loop.Post(func() {
			c.lastFrame = l.loop.Now()
			if c.from == "" {
				c.from = from
				if l.members[from] == nil {
					if len(theirs) != challengeSize || len(l.tools) >= maxTools || l.tools[from] != nil || from == l.self {
						l.Counters.Rejected++
						tc.Close(fmt.Errorf("%.64q is neither a member nor a tool", from))
						return
					}
					c.tool, c.w = true, &frameWriter{key: l.key, challenge: theirs, from: l.self, to: from}
					l.tools[from] = c
				}
			}
			l.Counters.Received++
			l.Counters.ReceivedBytes += uint64(n)
			l.receive(from, m)
		})
	})
	if n := c.frames.replayed; n > 0 {
		c.frames.replayed = 0
		l.loop.Post(func() { l.Counters.Replayed += n })
	}
	if err != nil {
		l.loop.Post(func() {
			l.Counters.Rejected++
			l.log.WithError(err).Warn(logfields.ClusterConnRejected)
		})
	}
	return err
}

// OnClosed forgets the connection.
func (c *incoming) OnClosed(*transport.Conn, error) {
	l := c.transport
	l.loop.Post(func() {
		delete(l.accepted, c)
		if l.tools[c.from] == c {
			delete(l.tools, c.from)
		}
	})
}

// reply sends a message back on a tool's connection.
func (c *incoming) reply(m cluster.Message) {
	f, err := c.w.frame(m)
	if err == nil {
		err = c.tc.Write(f)
	}
	if err != nil {
		c.transport.Counters.Dropped++
		c.transport.log.WithError(err).Warn(logfields.ClusterReplyUnencodable)
		return
	}
	c.transport.Counters.Sent++
	c.transport.Counters.SentBytes += uint64(len(f))
}
