package clustertransport

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/cluster"
	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

const (
	dialFor     = 500 * time.Millisecond
	againFirst  = 100 * time.Millisecond // after a connection that failed, doubled
	againMost   = 2 * time.Second
	waitingMost = 1 << 20          // bytes that may wait for one member; beyond, messages are dropped
	idleFor     = 30 * time.Second // a tool's connection without a frame
	greetFor    = 2 * time.Second  // and one that has not sent any
	toolsMost   = 32
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

	self   string
	key    []byte
	loop   *gateway.Loop
	engine *transport.Engine
	log    logrus.FieldLogger
	heard  func(from string, m cluster.Message)
	to     map[string]*outgoing
	tools  map[string]*incoming
	open   map[*incoming]bool
	listen *transport.Listener
	closed bool
}

// Open listens for the other members and for tools. Each message that comes is handed to heard, on the loop.
func Open(self, listen string, members []Member, key []byte, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger,
	heard func(from string, m cluster.Message)) (*Transport, error) {
	l := &Transport{self: self, key: key, loop: loop, engine: engine, log: log, heard: heard, to: map[string]*outgoing{}, tools: map[string]*incoming{},
		open: map[*incoming]bool{}}
	for _, m := range members {
		if m.Name != self {
			l.to[m.Name] = &outgoing{link: l, name: m.Name, addr: m.Addr, again: againFirst}
		}
	}
	var err error
	if l.listen, err = engine.Listen(listen, 2*len(members)+toolsMost, nil, func() transport.Handler { return &incoming{link: l} }); err != nil {
		return nil, fmt.Errorf("listening for the fleet: %w", err)
	}
	loop.After(greetFor, l.sweep)
	return l, nil
}

// Addr is where it listens.
func (l *Transport) Addr() string { return l.listen.Addr().String() }

// Send sends a message to a member, or back to a tool. It may get lost.
func (l *Transport) Send(to string, m cluster.Message) {
	if o := l.to[to]; o != nil {
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
	l.listen.Close()
	for _, o := range l.to {
		o.drop(errors.New("closed"))
	}
	for c := range l.open {
		c.tc.Close(errors.New("closed"))
	}
}

// sweep closes connections that say nothing.
func (l *Transport) sweep() {
	now := l.loop.Now()
	for c := range l.open {
		if c.from == "" && now.Sub(c.since) > greetFor || c.tool && now.Sub(c.since) > idleFor {
			c.tc.Close(errors.New("it says nothing"))
		}
	}
	if !l.closed {
		l.loop.After(greetFor, l.sweep)
	}
}

// outgoing is the way to one member: a connection, while there is one.
type outgoing struct {
	link *Transport
	name string
	addr string

	conn  *dialled
	next  time.Time // not dialled before
	again time.Duration
	first []cluster.Message // until the connection is up
}

func (o *outgoing) send(m cluster.Message) {
	l := o.link
	if o.conn == nil && !l.closed && !l.loop.Now().Before(o.next) {
		l.Counters.Dials++
		d := &dialled{way: o}
		o.conn = d
		l.engine.Dial(o.addr, dialFor, d, func(*transport.Conn) {}, func(err error) {
			l.loop.Post(func() { o.lost(d, err) })
		})
	}
	switch {
	case o.conn == nil:
		l.Counters.Dropped++
	case o.conn.w == nil: // it is coming up; what is old by then is asked for again
		if len(o.first) < 16 {
			o.first = append(o.first, m)
		} else {
			l.Counters.Dropped++
		}
	default:
		o.write(m)
	}
}

func (o *outgoing) write(m cluster.Message) {
	l, d := o.link, o.conn
	if d.tc.UnsentBytes() > waitingMost { // one that does not read costs this much and no more
		l.Counters.Dropped++
		return
	}
	f, err := d.w.frame(m)
	if err != nil {
		l.Counters.Dropped++
		l.log.WithError(err).Warn("a message to the fleet")
		return
	}
	l.Counters.Sent++
	l.Counters.SentBytes += uint64(len(f))
	if err := d.tc.Write(f); err != nil {
		o.lost(d, err)
	}
}

// lost takes in that a connection did not come up, or ended.
func (o *outgoing) lost(d *dialled, err error) {
	if o.conn != d {
		return
	}
	o.link.Counters.Disconnects++
	o.link.log.WithError(err).WithField("member", o.name).Debug("fleet: connection lost")
	o.drop(err)
	o.next = o.link.loop.Now().Add(o.again)
	o.again = min(againMost, 2*o.again)
}

func (o *outgoing) drop(err error) {
	if o.conn != nil && o.conn.tc != nil {
		o.conn.tc.Close(err)
	}
	o.link.Counters.Dropped += uint64(len(o.first))
	o.conn, o.first = nil, nil
}

// dialled is a connection to a member. The member speaks first, with its challenge; nothing else is read.
type dialled struct {
	way *outgoing
	buf []byte // poller
	tc  *transport.Conn
	w   *writer
}

// OnBytes reads the greeting.
func (d *dialled) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
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
	o := d.way
	o.link.loop.Post(func() {
		if o.conn != d {
			tc.Close(errors.New("given up"))
			return
		}
		d.tc, d.w, o.again = tc, &writer{key: o.link.key, challenge: challenge, from: o.link.self, to: o.name}, againFirst
		first := o.first
		o.first = nil
		for _, m := range first {
			if o.conn == d {
				o.write(m)
			}
		}
	})
	return nil
}

// OnClosed has the next message dial again.
func (d *dialled) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errors.New("closed")
	}
	d.way.link.loop.Post(func() { d.way.lost(d, err) })
}

// incoming is a connection that a member or a tool has made.
type incoming struct {
	link *Transport
	r    reader // poller

	tc    *transport.Conn // loop: the rest
	from  string
	tool  bool
	since time.Time // latest frame, or its beginning
	w     *writer   // back to a tool
}

// OnOpened makes the challenge, before the first byte can come.
func (c *incoming) OnOpened(tc *transport.Conn) {
	c.r = reader{key: c.link.key, challenge: newChallenge(), self: c.link.self}
	c.link.loop.Post(func() {
		c.tc, c.since = tc, c.link.loop.Now()
		c.link.open[c] = true
		if c.link.closed {
			tc.Close(errors.New("closed"))
		}
	})
}

// OnReady speaks first: frames have to answer the challenge.
func (c *incoming) OnReady(tc *transport.Conn) {
	_ = tc.Write([]byte(magic), c.r.challenge)
}

// OnBytes takes frames.
func (c *incoming) OnBytes(tc *transport.Conn, b []byte, _ time.Time) error {
	l := c.link
	err := c.r.feed(b, func(from string, m cluster.Message) {
		theirs := c.r.theirs
		n := len(m.Value)
		l.loop.Post(func() {
			c.since = l.loop.Now()
			if c.from == "" {
				c.from = from
				if l.to[from] == nil {
					if len(theirs) != challengeSize || len(l.tools) >= toolsMost || l.tools[from] != nil || from == l.self {
						l.Counters.Rejected++
						tc.Close(fmt.Errorf("%.64q is neither a member nor a tool", from))
						return
					}
					c.tool, c.w = true, &writer{key: l.key, challenge: theirs, from: l.self, to: from}
					l.tools[from] = c
				}
			}
			l.Counters.Received++
			l.Counters.ReceivedBytes += uint64(n)
			l.heard(from, m)
		})
	})
	if n := c.r.replayed; n > 0 {
		c.r.replayed = 0
		l.loop.Post(func() { l.Counters.Replayed += n })
	}
	if err != nil {
		l.loop.Post(func() {
			l.Counters.Rejected++
			l.log.WithError(err).Warn("fleet: a connection is refused")
		})
	}
	return err
}

// OnClosed forgets the connection.
func (c *incoming) OnClosed(*transport.Conn, error) {
	l := c.link
	l.loop.Post(func() {
		delete(l.open, c)
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
		c.link.Counters.Dropped++
		c.link.log.WithError(err).Warn("a reply to a tool")
		return
	}
	c.link.Counters.Sent++
	c.link.Counters.SentBytes += uint64(len(f))
}
