package transport

import (
	"errors"
	"time"
)

// How long a connection may hold its place.
const (
	SpeakWithin = 2 * time.Second  // without a word since it was opened
	WholeWithin = 2 * time.Second  // with a message that has begun to come and has not come whole
	idleMost    = 10 * time.Second // with nothing in work; usual clients close after 4 s
	newcomer    = 200 * time.Millisecond
)

// Tenants are the connections of one front, on its loop. Guards against clients that hold places which others
// need: those that never speak, that stop in the middle of a message, or that ask once and stay for good.
type Tenants struct {
	all  map[*Tenant]bool
	most int
}

// Tenant is the place of one connection.
type Tenant struct {
	Conn   *Conn
	Busy   func() bool // it awaits an answer
	Asked  int         // messages that came
	Active time.Time   // when the latest did
	Half   time.Time   // since when a message is coming; zero: none is
}

// NewTenants returns places for so many connections.
func NewTenants(most int) *Tenants { return &Tenants{all: map[*Tenant]bool{}, most: most} }

// Add gives a connection a place. The last eighth is kept free for those to come, where someone can go.
func (t *Tenants) Add(c *Conn, now time.Time, busy func() bool) *Tenant {
	n := &Tenant{Conn: c, Busy: busy, Active: now}
	t.all[n] = true
	t.MakeRoom(now, len(t.all)-(t.most-t.most/8))
	return n
}

// SetMost sets how many places there are.
func (t *Tenants) SetMost(most int) { t.most = most }

// Drop takes a connection's place back. A nil tenant has none.
func (t *Tenants) Drop(n *Tenant) { delete(t.all, n) }

// Heard notes that so many messages came on the connection, and whether a part of a further one did.
func (n *Tenant) Heard(now time.Time, messages int, half bool) {
	n.Active = now
	n.Asked += messages
	if !half {
		n.Half = time.Time{}
	} else if messages > 0 || n.Half.IsZero() {
		n.Half = now
	}
}

// idle says whether nothing is owed on the connection and nothing is coming.
func (n *Tenant) idle() bool { return !n.Busy() && n.Half.IsZero() && n.Conn.Waiting() == 0 }

// Sweep closes connections that have held their places for too long. One whose message stops half-way is
// handed to `half`, if that is set.
func (t *Tenants) Sweep(now time.Time, half func(*Tenant)) {
	for n := range t.all {
		busy := n.Busy() // may hear of what came
		quiet := now.Sub(n.Active)
		switch {
		case !n.Half.IsZero() && now.Sub(n.Half) > WholeWithin && !busy:
			if half != nil {
				half(n)
			} else {
				n.Conn.End(errors.New("a message that does not end"), Linger)
			}
		case !n.idle():
		case n.Asked == 0 && quiet > SpeakWithin:
			n.Conn.End(errors.New("it never spoke"), Linger)
		case quiet > idleMost:
			n.Conn.End(errors.New("idle"), Linger)
		}
	}
}

// MakeRoom closes so many idle connections, those first that have been idle longest. The time of one that has
// asked at most once counts twice; one that has only just come is let speak first. Each is looked for by itself:
// it is hardly ever more than one, and sorting them all for each newcomer took a fifth of the program's time.
func (t *Tenants) MakeRoom(now time.Time, places int) {
	for ; places > 0; places-- {
		var longest *Tenant
		most := time.Duration(-1)
		for n := range t.all {
			n.Busy()
			quiet := now.Sub(n.Active)
			if n.Asked == 0 && quiet < newcomer {
				continue
			}
			if n.Asked <= 1 {
				quiet *= 2
			}
			if quiet > most && n.idle() {
				longest, most = n, quiet
			}
		}
		if longest == nil {
			return
		}
		t.Drop(longest) // it is on its way out
		longest.Conn.End(errors.New("its place is needed"), lingerLeast)
	}
}
