package transport

import (
	"errors"
	"time"
)

// How long a connection may hold its slot.
const (
	FirstByteTimeout = 2 * time.Second         // without a word since it was opened
	MessageTimeout   = 2500 * time.Millisecond // with a message that has begun to come and has not come whole
	idleTimeout      = 10 * time.Second        // with nothing in work; usual clients close after 4 s
	newcomerGrace    = 200 * time.Millisecond
)

// ConnTracker knows the connections of one front and ends those that hold their slots for nothing: that never speak, stop in
// the middle of a message, or asked once and stay for good. It lives on the front's loop.
type ConnTracker struct {
	all      map[*TrackedConn]bool
	maxConns int
}

// TrackedConn is one connection in a ConnTracker.
type TrackedConn struct {
	Conn         *Conn
	Busy         func() bool // it awaits an answer
	Messages     int         // that came
	LastActive   time.Time   // when the latest did
	PartialSince time.Time   // since when a message is coming; zero: none is
}

// NewConnTracker returns a tracker with slots for so many connections.
func NewConnTracker(most int) *ConnTracker {
	return &ConnTracker{all: map[*TrackedConn]bool{}, maxConns: most}
}

// Add tracks a connection. The last eighth of the slots is kept free for those to come: idle connections are ended for it.
func (t *ConnTracker) Add(c *Conn, now time.Time, busy func() bool) *TrackedConn {
	n := &TrackedConn{Conn: c, Busy: busy, LastActive: now}
	t.all[n] = true
	t.EvictIdle(now, len(t.all)-(t.maxConns-t.maxConns/8))
	return n
}

// SetMaxConns sets how many slots there are.
func (t *ConnTracker) SetMaxConns(most int) { t.maxConns = most }

// Remove ends the tracking of a connection. One that is not tracked, or nil, is left alone.
func (t *ConnTracker) Remove(n *TrackedConn) { delete(t.all, n) }

// Received notes that so many messages came on the connection, and whether a part of a further one did.
func (n *TrackedConn) Received(now time.Time, messages int, partial bool) {
	n.LastActive = now
	n.Messages += messages
	if !partial {
		n.PartialSince = time.Time{}
	} else if messages > 0 || n.PartialSince.IsZero() {
		n.PartialSince = now
	}
}

// idle says whether nothing is owed on the connection and nothing is coming.
func (n *TrackedConn) idle() bool {
	return !n.Busy() && n.PartialSince.IsZero() && n.Conn.UnsentBytes() == 0
}

// Sweep ends connections that have held their slots for too long. One whose message does not come whole is handed to
// `partial`, if that is set.
func (t *ConnTracker) Sweep(now time.Time, partial func(*TrackedConn)) {
	for n := range t.all {
		busy := n.Busy() // may hear of what came
		quiet := now.Sub(n.LastActive)
		switch {
		case !n.PartialSince.IsZero() && now.Sub(n.PartialSince) > MessageTimeout && !busy:
			if partial != nil {
				partial(n)
			} else {
				n.Conn.CloseGracefully(errors.New("a message that does not end"), LingerTime)
			}
		case !n.idle():
		case n.Messages == 0 && quiet > FirstByteTimeout:
			n.Conn.CloseGracefully(errors.New("it never spoke"), LingerTime)
		case quiet > idleTimeout:
			n.Conn.CloseGracefully(errors.New("idle"), LingerTime)
		}
	}
}

// EvictIdle ends so many idle connections, those first that have been idle longest. The time of one that has
// asked at most once counts twice; one that has only just come is let speak first. Each is looked for by itself:
// it is hardly ever more than one, and sorting them all for each newcomer took a fifth of the program's time.
func (t *ConnTracker) EvictIdle(now time.Time, slots int) {
	for ; slots > 0; slots-- {
		longest := t.longestIdle(now)
		if longest == nil {
			return
		}
		t.Remove(longest) // it is on its way out
		longest.Conn.CloseGracefully(errors.New("its slot is needed"), shortLinger)
	}
}

// longestIdle finds the connection to end first; nil: none is idle.
func (t *ConnTracker) longestIdle(now time.Time) (longest *TrackedConn) {
	most := time.Duration(-1)
	for n := range t.all {
		n.Busy()
		quiet := now.Sub(n.LastActive)
		if n.Messages == 0 && quiet < newcomerGrace {
			continue
		}
		if n.Messages <= 1 {
			quiet *= 2
		}
		if quiet > most && n.idle() {
			longest, most = n, quiet
		}
	}
	return longest
}
