package overload

import (
	"cmp"
	"slices"
	"time"
)

// Memory shares the memory for responses among clients, by dynamic thresholds (Choudhury and Hahne, "Dynamic queue length
// thresholds for shared-memory packet switches", 1998): each client may use as much as a share of what is free. Clients
// that use much leave little free, and are stopped first; those that use little always find room.
//
// A client uses what is buffered for it, written but not sent, and what is reserved for its requests in flight. As a response
// may be longer than expected, [Memory.Fits] checks it again before it is written. A reserve beyond the limit is for
// clients that have read all that they were sent, so that no number of others shuts them out.
type Memory struct {
	limit        int64 // bytes; 0: unlimited
	buffered     int64 // bytes written and not sent, of all clients
	reserved     int64 // bytes expected for requests in flight, of all clients
	expectedSize float64
	clients      map[*Client]bool
	serial       uint64 // of the latest client

	Rejected uint64 // requests and responses without room
	Closed   uint64 // clients that [Memory.Sweep] has named
}

// Client is one client's part of the memory. Make one with [Memory.AddClient].
type Client struct {
	Value any // the caller's

	serial       uint64
	reserved     int64   // bytes expected for requests in flight
	buffered     int64   // bytes written and not sent
	expectedSize float64 // bytes of a response, smoothed; 0: none was seen

	checkedAt    time.Duration // time of the latest check for slowness
	bufferedThen int64         // bytes buffered at that time
	added        int64         // bytes written since
	slow         bool
}

// initialExpectedSize is the size of a response, in bytes, that is expected before any was seen: the longest there is.
const initialExpectedSize = 240_000

// NewMemory returns the sharing of a number of bytes; 0: unlimited.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, expectedSize: initialExpectedSize, clients: map[*Client]bool{}}
}

// AddClient adds a client; value is kept for the caller.
func (m *Memory) AddClient(value any) *Client {
	m.serial++
	c := &Client{Value: value, serial: m.serial}
	m.clients[c] = true
	return c
}

// RemoveClient removes a client and all that it uses. One that was removed before is ignored.
func (m *Memory) RemoveClient(c *Client) {
	if !m.clients[c] {
		return
	}
	m.reserved -= c.reserved
	m.buffered -= c.buffered
	c.reserved, c.buffered = 0, 0
	delete(m.clients, c)
}

const (
	// maxReservedRatio is the multiple of the limit that may be reserved in all: a request takes memory only when it is
	// answered, and stores may be silent.
	maxReservedRatio = 4
	// maxClientShare is the share of the free memory that one client may use.
	maxClientShare = 0.25
)

// Reserve reserves memory for the response to one more request of a client. It returns the number of bytes reserved, to be
// given back with [Memory.Release]; ok is false if there is no room.
func (m *Memory) Reserve(c *Client) (n int64, ok bool) {
	n = int64(cmp.Or(c.expectedSize, m.expectedSize))
	if m.limit > 0 && !m.mayReserve(c, n) {
		m.Rejected++
		return 0, false
	}
	c.reserved += n
	m.reserved += n
	return n, true
}

// mayReserve reports whether a number of bytes may be reserved for a client. For a client that leaves responses unread, what is
// reserved counts as if it were buffered.
func (m *Memory) mayReserve(c *Client, n int64) bool {
	if m.reserved+n > maxReservedRatio*m.limit {
		return false
	}
	if c.buffered <= 0 {
		return true
	}
	free := m.limit - m.buffered
	if c.slow || n > free {
		return false
	}
	return float64(c.reserved+c.buffered+n) <= maxClientShare*float64(free)
}

// readerReserveDivisor gives the reserve beyond the limit for clients that have read all: the limit divided by this.
const readerReserveDivisor = 4

// available is the number of bytes that may be buffered for a client in addition.
func (m *Memory) available(c *Client) int64 {
	if c.buffered == 0 && !c.slow {
		return m.limit - m.buffered + m.limit/readerReserveDivisor
	}
	return m.limit - m.buffered
}

// Fits reports whether a response of a size, in bytes, may be written to a client.
func (m *Memory) Fits(c *Client, size int) bool {
	if m.limit <= 0 {
		return true
	}
	readsResponses := !c.slow || c.buffered == 0
	if readsResponses && int64(size) <= m.available(c) {
		return true
	}
	m.Rejected++
	return false
}

// Release gives back the n bytes that were reserved for a request. size is that of its response, in bytes; negative: it had
// none.
func (m *Memory) Release(c *Client, n int64, size int) {
	if !m.clients[c] {
		return
	}
	c.reserved -= n
	m.reserved -= n
	if size < 0 {
		return
	}
	learnSize(&c.expectedSize, float64(size))
	learnSize(&m.expectedSize, float64(size))
	c.expectedSize = max(1, c.expectedSize)
}

// Weights of the newest response in the expected size: one that is longer than expected counts more than a shorter one.
const (
	sizeGrowWeight   = 0.5
	sizeShrinkWeight = 0.1
)

// learnSize moves an expected size towards that of a response.
func learnSize(expected *float64, size float64) {
	weight := sizeShrinkWeight
	if *expected == 0 {
		weight = 1
	} else if size > *expected {
		weight = sizeGrowWeight
	}
	*expected += weight * (size - *expected)
}

// SetBuffered records how many bytes are buffered for a client now, and how many were just added to it.
func (m *Memory) SetBuffered(c *Client, buffered, added int64) {
	if !m.clients[c] {
		return
	}
	m.buffered += buffered - c.buffered
	c.buffered = buffered
	c.added += added
}

// Used returns the number of bytes buffered, of all clients.
func (m *Memory) Used() int64 { return m.buffered }

// Pressure returns the share of the limit that is buffered; 0 if there is no limit.
func (m *Memory) Pressure() float64 {
	if m.limit <= 0 {
		return 0
	}
	return float64(m.buffered) / float64(m.limit)
}

// When a client is slow, and when slow clients are closed.
const (
	slowCheckInterval = 400 * time.Millisecond
	minDrainedShare   = 0.2      // share of what is buffered that a client must read within that interval, or it is slow
	minSlowBytes      = 32 << 10 // with less buffered a client is not slow
	closeFrom         = 0.7      // pressure from which slow clients are closed ...
	closeTo           = 0.5      // ... until it is below this
)

// Sweep finds out which clients are slow, and returns those to be closed: none while there is memory enough, else slow ones,
// those first for which most is buffered. It is to be called some times a second. buffered returns the number of bytes
// buffered for a client now.
func (m *Memory) Sweep(now time.Duration, buffered func(*Client) int64) (toClose []*Client) {
	for c := range m.clients {
		if c.buffered > 0 {
			m.SetBuffered(c, buffered(c), 0)
		}
		c.checkSlow(now)
	}
	if m.limit <= 0 || m.Pressure() < closeFrom {
		return nil
	}
	left := m.buffered
	for _, c := range m.slowClients() {
		if float64(left) < closeTo*float64(m.limit) {
			break
		}
		left -= c.buffered
		m.Closed++
		toClose = append(toClose, c)
	}
	return toClose
}

// checkSlow judges, once an interval, whether a client is slow.
func (c *Client) checkSlow(now time.Duration) {
	switch {
	case c.buffered < minSlowBytes:
		c.slow = false
	case now-c.checkedAt >= slowCheckInterval:
		drained := c.bufferedThen + c.added - c.buffered
		c.slow = float64(drained) < minDrainedShare*float64(c.buffered)
	default:
		return
	}
	c.bufferedThen, c.checkedAt, c.added = c.buffered, now, 0
}

// slowClients returns the slow clients, those first for which most is buffered; equal ones in the order in which they came.
func (m *Memory) slowClients() (slow []*Client) {
	for c := range m.clients {
		if c.slow {
			slow = append(slow, c)
		}
	}
	slices.SortFunc(slow, func(a, b *Client) int {
		return cmp.Or(cmp.Compare(b.buffered, a.buffered), cmp.Compare(a.serial, b.serial))
	})
	return slow
}
