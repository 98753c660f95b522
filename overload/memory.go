package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	guessSize   = 240_000 // bytes of an answer of which nothing is known: the longest there is
	sizeUp      = 0.5     // weight of an answer longer than expected,
	sizeDown    = 0.1     // and of a shorter one
	expectMost  = 4       // times the memory may be expected for what is out
	freeShare   = 0.25    // of the memory that is free, what one client may hold
	quickShare  = 4       // a part of the limit as small is added to it, for those who read all
	slowSpan    = 400 * time.Millisecond
	slowDrained = 0.2 // share of what waits that a client must take within that span, or it is slow
	slowLeast   = 32 << 10
	closeAt     = 0.7 // share of the memory taken from which slow clients are closed, the biggest first,
	closeTo     = 0.5 // down to this
)

// Memory shares the memory for answers among clients, by dynamic thresholds (Choudhury and Hahne, "Dynamic queue length
// thresholds for shared-memory packet switches", 1998): each may hold as much as a share of what is free. Those who
// hold much leave little free, and are stopped first; those who hold little always find room. What counts is what
// waits to be written to a client, and what is expected for requests that are out. As an answer may be longer than
// expected, it is looked at again before it is written ([Memory.Fits]). A quarter beyond the limit is for clients that
// have read all that they were sent, so that no number of others shuts them out.
type Memory struct {
	limit    int64
	used     int64   // by answers that wait to be written
	out      int64   // expected for requests that are out
	expected float64 // size of an answer to a client of which nothing is known
	clients  map[*Client]bool
	serial   uint64

	Rejected uint64 // requests
	Closed   uint64 // clients
}

// Client is one client's part of the memory. Make one with [Memory.Join].
type Client struct {
	Value any // the user's

	serial   uint64
	reserved int64 // for requests that are out
	waiting  int64 // to be written
	expected float64
	checked  time.Duration
	before   int64 // what waited then
	put      int64 // what has been added since
	slow     bool
}

// NewMemory returns the sharing of so many bytes; 0: without limit.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, expected: guessSize, clients: map[*Client]bool{}}
}

// AddClient counts a client in.
func (m *Memory) AddClient(value any) *Client {
	m.serial++
	c := &Client{Value: value, serial: m.serial}
	m.clients[c] = true
	return c
}

// RemoveClient counts a client out, with all that it held.
func (m *Memory) RemoveClient(c *Client) {
	if !m.clients[c] {
		return
	}
	m.out -= c.reserved
	m.used -= c.waiting
	c.reserved, c.waiting = 0, 0
	delete(m.clients, c)
}

// Reserve asks for room for one more answer, and returns how much was set aside: to be given back with [Memory.Done].
// What is out takes memory only when it is answered, and stores may be silent: so several times the memory may be
// expected. But a client that leaves answers unread has what is out for it counted as if it had come.
func (m *Memory) Reserve(c *Client) (n int64, ok bool) {
	n = int64(cmp.Or(c.expected, m.expected))
	if m.limit > 0 {
		free := m.limit - m.used
		if m.out+n > expectMost*m.limit || c.waiting > 0 && (c.slow || n > free ||
			float64(c.reserved+c.waiting+n) > freeShare*float64(free)) {
			m.Rejected++
			return 0, false
		}
	}
	c.reserved += n
	m.out += n
	return n, true
}

// room is what one client may add at most.
func (m *Memory) room(c *Client) int64 {
	if c.waiting == 0 && !c.slow {
		return m.limit - m.used + m.limit/quickShare
	}
	return m.limit - m.used
}

// Fits says whether an answer of a size may be written.
func (m *Memory) Fits(c *Client, size int) bool {
	if m.limit <= 0 || int64(size) <= m.room(c) && (!c.slow || c.waiting == 0) {
		return true
	}
	m.Rejected++
	return false
}

// Release gives back what was set aside for a request; size is that of its answer, negative if it had none.
func (m *Memory) Release(c *Client, n int64, size int) {
	if !m.clients[c] {
		return
	}
	c.reserved -= n
	m.out -= n
	if size < 0 {
		return
	}
	for _, e := range [...]*float64{&c.expected, &m.expected} {
		w := sizeDown
		if *e == 0 {
			w = 1
		} else if float64(size) > *e {
			w = sizeUp
		}
		*e += w * (float64(size) - *e)
	}
	c.expected = max(1, c.expected)
}

// SetBuffered notes how much waits to be written to a client now, and how much was just added to it.
func (m *Memory) SetBuffered(c *Client, waiting, added int64) {
	if !m.clients[c] {
		return
	}
	m.used += waiting - c.waiting
	c.waiting = waiting
	c.put += added
}

// Usage says how much a client holds.
func (c *Client) Usage() int64 { return c.reserved + c.waiting }

// Slow says whether a client takes its answers slower than it asks for them.
func (c *Client) Slow() bool { return c.slow }

// Used is how much is taken, in all.
func (m *Memory) Used() int64 { return m.used }

// Pressure is the share that is taken.
func (m *Memory) Pressure() float64 {
	if m.limit <= 0 {
		return 0
	}
	return float64(m.used) / float64(m.limit)
}

// Sweep judges who is slow, and names those to be closed: none while there is memory enough, else slow ones, those
// first that hold most. It is to be called some times a second; waiting reads what waits for a client now.
func (m *Memory) Sweep(now time.Duration, waiting func(*Client) int64) (over []*Client) {
	for c := range m.clients {
		if c.waiting > 0 {
			m.SetBuffered(c, waiting(c), 0)
		}
		if c.waiting < slowLeast {
			c.slow, c.before, c.checked, c.put = false, c.waiting, now, 0
		} else if now-c.checked >= slowSpan {
			drained := c.before + c.put - c.waiting
			c.slow = float64(drained) < slowDrained*float64(c.waiting)
			c.before, c.checked, c.put = c.waiting, now, 0
		}
	}
	if m.limit <= 0 || m.Pressure() < closeAt {
		return nil
	}
	var slow []*Client
	for c := range m.clients {
		if c.slow {
			slow = append(slow, c)
		}
	}
	slices.SortFunc(slow, func(a, b *Client) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.serial, b.serial))
	})
	left := m.used
	for _, c := range slow {
		if float64(left) < closeTo*float64(m.limit) {
			break
		}
		left -= c.waiting
		m.Closed++
		over = append(over, c)
	}
	return over
}
