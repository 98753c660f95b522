package transport

import (
	"errors"
	"time"
)

// Time limits of connections that occupy a slot.
const (
	// FirstByteTimeout applies to a connection on which nothing has arrived.
	FirstByteTimeout = 2 * time.Second
	// MessageTimeout is the time from the first byte of a message until the message must be complete.
	MessageTimeout = 2500 * time.Millisecond
	// idleTimeout applies to a connection without open requests. Typical clients close idle connections after 4 s.
	idleTimeout = 10 * time.Second
	// evictionGrace protects a connection that has just been accepted, or on which a message has just begun, from eviction.
	// One that has just been used is evicted after all others.
	evictionGrace = 200 * time.Millisecond
)

// Weights of the time for which a connection has been quiet, in the choice of the one to evict.
const (
	stalledWeight  = 8    // in the middle of a message
	singleWeight   = 2    // after at most one message
	progressWeight = 0.25 // of the time since a message began, while it makes progress

	// Within evictionGrace, for a new connection that finds no slot: messages that have just begun go before connections that
	// were just used for the first time, and both after all others. A connection that is used again and again does not go.
	begunWeight = 1e-2
	usedWeight  = 1e-6
)

// reservedShare sets the share of slots that is kept free for new connections: 1/reservedShare.
const reservedShare = 8

// Reasons for closing a connection.
var (
	errIncomplete = errors.New("message not complete in time")
	errNoMessage  = errors.New("no message received in time")
	errIdle       = errors.New("idle")
	errSlotNeeded = errors.New("idle connection evicted: its slot is needed")
	errPeerGone   = errors.New("closed by the peer, and its slot is needed")
)

// ConnTracker tracks the connections of one front and closes those that waste a slot: clients that never send a
// message, stop in the middle of one, or stay connected after a single request. Its methods must be called on the
// front's loop.
type ConnTracker struct {
	Closed ClosedConns

	all      map[*TrackedConn]bool
	maxConns int
}

// ClosedConns counts the connections that a tracker has closed, by reason.
type ClosedConns struct {
	Incomplete uint64 // a message was not complete in time
	NoMessage  uint64 // no message was received in time
	Idle       uint64
	Evicted    uint64 // the slot was needed for another connection
}

// TrackedConn is one connection in a ConnTracker.
type TrackedConn struct {
	Conn         *Conn
	Busy         func() bool // reports whether a request is open or input is not handled yet
	Messages     int         // messages received
	LastActive   time.Time   // when input last arrived or an answer was last written
	PartialSince time.Time   // when the first part of an incomplete message arrived; zero: none is incomplete
}

// NewConnTracker returns a tracker for at most maxConns connections.
func NewConnTracker(maxConns int) *ConnTracker {
	return &ConnTracker{all: map[*TrackedConn]bool{}, maxConns: maxConns}
}

// Add starts tracking a connection and closes idle ones if fewer than 1/reservedShare of the slots would stay free.
// busy reports whether a request is open on the connection or input of it is not handled yet.
func (t *ConnTracker) Add(c *Conn, now time.Time, busy func() bool) *TrackedConn {
	n := &TrackedConn{Conn: c, Busy: busy, LastActive: now}
	t.all[n] = true
	t.keepReserve(now)
	return n
}

// SetMaxConns sets the number of slots.
func (t *ConnTracker) SetMaxConns(maxConns int) { t.maxConns = maxConns }

// Remove stops tracking a connection. It ignores nil and connections that are not tracked.
func (t *ConnTracker) Remove(n *TrackedConn) { delete(t.all, n) }

// Received records the arrival of complete messages, and whether a part of a further message has arrived.
func (n *TrackedConn) Received(now time.Time, messages int, partial bool) {
	n.LastActive = now
	n.Messages += messages
	if !partial {
		n.PartialSince = time.Time{}
	} else if messages > 0 || n.PartialSince.IsZero() {
		n.PartialSince = now
	}
}

// idle reports whether no request is open, no message is incomplete and no bytes are waiting to be written.
func (n *TrackedConn) idle() bool {
	return !n.Busy() && n.PartialSince.IsZero() && n.Conn.UnsentBytes() == 0
}

// canEvict reports whether the connection is idle and has no unhandled input. A request in the kernel's buffer has
// been acknowledged to its client, and would get no answer if the connection were closed.
func (n *TrackedConn) canEvict() bool { return n.idle() && n.Conn.InputDrained() }

// Sweep closes connections that have occupied their slots for too long. A connection whose message is not complete in
// time is passed to onIncomplete instead, if that is not nil.
func (t *ConnTracker) Sweep(now time.Time, onIncomplete func(*TrackedConn)) {
	for n := range t.all {
		busy := n.Busy() // may update LastActive
		inactive := now.Sub(n.LastActive)
		switch {
		case !n.PartialSince.IsZero() && now.Sub(n.PartialSince) > MessageTimeout && !busy:
			t.Closed.Incomplete++
			if onIncomplete != nil {
				onIncomplete(n)
			} else {
				n.Conn.CloseGracefully(errIncomplete, LingerTime)
			}
		case !n.idle():
		case n.Messages == 0 && inactive > FirstByteTimeout && n.canEvict():
			t.Closed.NoMessage++
			n.Conn.CloseGracefully(errNoMessage, LingerTime)
		case inactive > idleTimeout && n.canEvict():
			t.Closed.Idle++
			n.Conn.CloseGracefully(errIdle, LingerTime)
		}
	}
}

// keepReserve closes connections as long as fewer than 1/reservedShare of the slots are free, but none within evictionGrace.
func (t *ConnTracker) keepReserve(now time.Time) {
	for excess := len(t.all) - (t.maxConns - t.maxConns/reservedShare); excess > 0; excess-- {
		if !t.evictOne(now, false) {
			return
		}
	}
}

// EvictIdle frees a slot for a new connection. It closes a connection that its peer has closed, which the poller has not noticed yet, or
// else one that is idle, or has an incomplete message and no open request.
func (t *ConnTracker) EvictIdle(now time.Time) {
	if !t.closeGone() {
		t.evictOne(now, true)
	}
}

// closeGone closes a connection that its peer has closed, and reports whether there was one.
func (t *ConnTracker) closeGone() bool {
	for n := range t.all {
		if n.Conn.PeerClosed() {
			t.Remove(n)
			n.Conn.Close(errPeerGone)
			return true
		}
	}
	return false
}

// evictOne closes the connection with the highest evictionScore, and reports whether there was one. The search goes over all
// connections: more than one is rarely closed at once, and sorting all connections for each new one took a fifth of the
// process's CPU time.
func (t *ConnTracker) evictOne(now time.Time, urgent bool) bool {
	var first *TrackedConn
	most := time.Duration(0)
	for n := range t.all {
		busy := n.Busy() // may update LastActive
		if score := n.evictionScore(now, urgent); score > most && !busy && n.Conn.UnsentBytes() == 0 && n.Conn.InputDrained() {
			first, most = n, score
		}
	}
	if first == nil {
		return false
	}
	t.Remove(first) // so that the next search skips it
	t.Closed.Evicted++
	first.Conn.CloseGracefully(errSlotNeeded, shortLinger)
	return true
}

// evictionScore returns how soon a connection without open requests is to be evicted when slots run short; 0: not at all. A message
// that stands still counts most, then connections on which at most one message has arrived: clients that go on to use
// their connections are evicted last. urgent means that a new connection waits for the slot.
func (n *TrackedConn) evictionScore(now time.Time, urgent bool) time.Duration {
	quiet, begun := now.Sub(n.LastActive), now.Sub(n.PartialSince)
	partial := !n.PartialSince.IsZero()
	switch {
	case partial && begun >= evictionGrace:
		return max(stalledWeight*quiet, scaleDuration(begun, progressWeight))
	case !partial && quiet >= evictionGrace && n.Messages <= 1:
		return singleWeight * quiet
	case !partial && quiet >= evictionGrace:
		return quiet
	case urgent && partial:
		return 1 + scaleDuration(begun, begunWeight)
	case urgent && n.Messages == 1:
		return 1 + scaleDuration(quiet, usedWeight)
	}
	return 0
}

// scaleDuration returns a duration times a factor.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
