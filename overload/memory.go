package overload

import (
	"cmp"
	"slices"
	"time"
)

// Memory shares the memory for responses among clients by dynamic thresholds (Choudhury and Hahne,
// "Dynamic queue length thresholds for shared-memory packet switches", 1998): each client may use
// up to a share of the free memory. Clients that use much leave little free, and are limited first;
// clients that use little always find memory.
//
// A client uses the bytes that are buffered for it, which are written but not sent, and the bytes
// that are reserved for its requests in flight. As a response may be larger than expected,
// [Memory.Fits] checks it again before it is written. A reserve beyond the limit is for clients
// that have read all of their responses, so that other clients cannot starve them, whatever their
// number.
type Memory struct {
	limit        int64   // bytes; 0: unlimited
	buffered     int64   // bytes written and not sent, for all clients
	reserved     int64   // bytes expected for requests in flight, for all clients
	expectedSize float64 // bytes of a response, smoothed over all clients
	clients      map[*Client]bool
	lastSerial   uint64 // serial number of the client added last

	Rejected uint64 // requests and responses rejected for want of memory
	Closed   uint64 // clients that [Memory.Sweep] returned to be closed
}

// Client is the account of a client in a [Memory]. [Memory.AddClient] makes it.
type Client struct {
	Value any // for the caller's use

	serial       uint64
	reserved     int64   // bytes expected for requests in flight
	buffered     int64   // bytes written and not sent
	expectedSize float64 // bytes of a response, smoothed; 0: there was none so far

	checkedAt       time.Duration // time of the latest check for slowness
	bufferedAtCheck int64         // bytes buffered at checkedAt
	addedSinceCheck int64         // bytes written since checkedAt
	slow            bool
}

// initialExpectedSize is the expected size of a response, in bytes, before any was seen: the
// largest size that occurs.
const initialExpectedSize = 240_000

// NewMemory returns a Memory with a limit in bytes; 0: unlimited.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, expectedSize: initialExpectedSize, clients: map[*Client]bool{}}
}

// SetLimit replaces the limit in bytes; 0: unlimited. What is in use beyond a lower limit stays in use, and nothing more is
// reserved until it is released.
func (m *Memory) SetLimit(limit int64) { m.limit = limit }

// AddClient adds a client. value is for the caller's use.
func (m *Memory) AddClient(value any) *Client {
	m.lastSerial++
	c := &Client{Value: value, serial: m.lastSerial}
	m.clients[c] = true
	return c
}

// RemoveClient removes a client and releases all that it uses. It does nothing for a client that
// was removed before.
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
	// maxReservedRatio is the multiple of the limit that may be reserved in total. It is above 1
	// because a request takes memory only when it is answered, and endpoints may not answer.
	maxReservedRatio = 4
	// lightReservationDivisor gives what a light client may reserve whatever others have reserved: the limit divided by this.
	lightReservationDivisor = 8
	// maxClientShare is the share of the free memory that one client may use.
	maxClientShare = 0.25
)

// Reserve reserves memory for the response to another request of a client. It returns the number of
// bytes reserved, to be released by [Memory.Release]; ok is false if there is not enough memory.
func (m *Memory) Reserve(c *Client) (n int64, ok bool) { return m.ReserveFor(c, false) }

// ReserveFor is Reserve. A light client, which does not cause the load, may reserve a little whatever others have reserved.
func (m *Memory) ReserveFor(c *Client, light bool) (n int64, ok bool) {
	n = int64(cmp.Or(c.expectedSize, m.expectedSize))
	if m.limit > 0 && !m.mayReserve(c, n, light) {
		m.Rejected++
		return 0, false
	}
	c.reserved += n
	m.reserved += n
	return n, true
}

// mayReserve reports whether n bytes may be reserved for a client. For a client with unread
// responses, reserved bytes count as buffered ones.
func (m *Memory) mayReserve(c *Client, n int64, light bool) bool {
	favored := light && c.reserved+n <= m.limit/lightReservationDivisor
	if m.reserved+n > maxReservedRatio*m.limit && !favored {
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

// readerReserveDivisor gives the reserve for clients that have read all of their responses: the
// limit divided by this.
const readerReserveDivisor = 4

// available returns the number of further bytes that may be buffered for a client.
func (m *Memory) available(c *Client) int64 {
	if c.buffered == 0 && !c.slow {
		return m.limit - m.buffered + m.limit/readerReserveDivisor
	}
	return m.limit - m.buffered
}

// Fits reports whether a response of a size in bytes may be written to a client.
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

// Release releases the n bytes that were reserved for a request. size is the size of its response
// in bytes, from which the expected size is updated; negative: there was no response.
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

// Weights of the newest response in the expected size. A response that is larger than expected
// counts more than a smaller one.
const (
	sizeGrowWeight   = 0.5
	sizeShrinkWeight = 0.1
)

// learnSize moves an expected size towards the size of a response.
func learnSize(expected *float64, size float64) {
	weight := sizeShrinkWeight
	if *expected == 0 {
		weight = 1
	} else if size > *expected {
		weight = sizeGrowWeight
	}
	*expected += weight * (size - *expected)
}

// SetBuffered records how many bytes are buffered for a client now, and how many of them were added
// since the last call.
func (m *Memory) SetBuffered(c *Client, buffered, added int64) {
	if !m.clients[c] {
		return
	}
	m.buffered += buffered - c.buffered
	c.buffered = buffered
	c.addedSinceCheck += added
}

// Used returns the number of bytes buffered for all clients.
func (m *Memory) Used() int64 { return m.buffered }

// Pressure returns the share of the limit that is buffered; 0 if there is no limit.
func (m *Memory) Pressure() float64 {
	if m.limit <= 0 {
		return 0
	}
	return float64(m.buffered) / float64(m.limit)
}

// When a client counts as slow, and when slow clients are closed.
const (
	slowCheckInterval = 400 * time.Millisecond
	minDrainedShare   = 0.2      // share of its buffered bytes that a client must read within the interval, or it is slow
	minSlowBytes      = 32 << 10 // a client with fewer bytes buffered is not slow
	closeFrom         = 0.7      // pressure from which slow clients are closed ...
	closeTo           = 0.5      // ... until the pressure is below this
)

// Sweep updates which clients are slow, and returns those to be closed: none while there is enough
// memory, otherwise slow ones, starting with those for which most is buffered. It is to be called a
// few times a second. buffered returns the number of bytes buffered for a client now.
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

// checkSlow decides, once per interval, whether a client is slow.
func (c *Client) checkSlow(now time.Duration) {
	switch {
	case c.buffered < minSlowBytes:
		c.slow = false
	case now-c.checkedAt >= slowCheckInterval:
		drained := c.bufferedAtCheck + c.addedSinceCheck - c.buffered
		c.slow = float64(drained) < minDrainedShare*float64(c.buffered)
	default:
		return
	}
	c.bufferedAtCheck, c.checkedAt, c.addedSinceCheck = c.buffered, now, 0
}

// slowClients returns the slow clients, by descending buffered bytes, and equal ones in the order
// in which they were added.
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
