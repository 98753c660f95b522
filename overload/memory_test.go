package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever clients do, no more than the limit allows is reserved, and all of it is released.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(4 << 20)
		type reservation struct {
			c *Client
			n int64
		}
		var open []reservation
		var clients []*Client
		for range 5 {
			clients = append(clients, m.AddClient(nil))
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c := clients[rapid.IntRange(0, 4).Draw(t, "client")]
			if rapid.Bool().Draw(t, "reserve") {
				if n, ok := m.Reserve(c); ok {
					open = append(open, reservation{c, n})
					if m.reserved > 16<<20 {
						t.Fatalf("%d bytes are reserved, limit 16 MB", m.reserved)
					}
				}
			} else if len(open) > 0 {
				m.Release(open[0].c, open[0].n, rapid.IntRange(-1, 240_000).Draw(t, "size"))
				open = open[1:]
			}
		}
		for _, o := range open {
			m.Release(o.c, o.n, -1)
		}
		for _, c := range clients {
			m.RemoveClient(c)
			m.RemoveClient(c)
		}
		if m.Used() != 0 || m.reserved != 0 {
			t.Fatalf("%d bytes buffered and %d reserved at the end, want 0", m.Used(), m.reserved)
		}
	})
}

// slowReaders are clients that request much and read nothing.
type slowReaders struct {
	m        *Memory
	clients  []*Client
	buffered map[*Client]int64
	rejected int
}

// request makes each client request twenty responses of 200,000 bytes.
func (s *slowReaders) request() {
	for _, c := range s.clients {
		for range 20 {
			n, ok := s.m.Reserve(c)
			if !ok {
				s.rejected++
				continue
			}
			if fits := s.m.Fits(c, 200_000); fits {
				s.buffered[c] += 200_000
			}
			s.m.Release(c, n, 200_000)
			s.m.SetBuffered(c, s.buffered[c], 200_000)
		}
	}
}

// 200 clients that request much and read nothing are limited, then closed, while a client that
// reads always finds room.
func TestSlowClientsDoNotStarveFastOnes(t *testing.T) {
	m := NewMemory(16 << 20)
	fast := m.AddClient("quick")
	for range 3 { // so that its expected size is learned
		if n, ok := m.Reserve(fast); ok {
			m.Release(fast, n, 7600)
		}
	}
	slow := &slowReaders{m: m, buffered: map[*Client]int64{}}
	for range 200 {
		slow.clients = append(slow.clients, m.AddClient("slow"))
	}
	closed := 0
	for now := time.Duration(0); now < 3*time.Second; now += 100 * ms {
		slow.request()
		for range 100 {
			n, ok := m.Reserve(fast)
			if !ok {
				t.Fatalf("at %v a reading client finds no room; %d of %d bytes are buffered", now, m.Used(), 16<<20)
			}
			m.Release(fast, n, 7600)
		}
		if m.Used() > 20<<20 {
			t.Fatalf("%d bytes are buffered, limit 16 MB and a quarter", m.Used())
		}
		for _, c := range m.Sweep(now, func(c *Client) int64 { return slow.buffered[c] }) {
			if c.Value != "slow" || !c.Slow() {
				t.Fatal("a client that reads its responses was closed")
			}
			closed++
			m.RemoveClient(c)
		}
	}
	if closed == 0 || slow.rejected == 0 {
		t.Errorf("%d clients closed and %d requests rejected, want some of both", closed, slow.rejected)
	}
}

// A lower limit must stop further reservations until enough has been released, and must not touch what is reserved.
func TestLowerLimitStopsReservations(t *testing.T) {
	m := NewMemory(1_000_000)
	reader, other := m.AddClient(nil), m.AddClient(nil)
	n, ok := m.Reserve(reader)
	if !ok {
		t.Fatal("nothing can be reserved within the first limit")
	}
	m.SetLimit(n / maxReservedRatio)
	if _, ok := m.Reserve(other); ok {
		t.Error("a second response was reserved beyond the lower limit")
	}
	m.Release(reader, n, -1)
	if _, ok := m.Reserve(other); !ok {
		t.Error("nothing can be reserved within the lower limit after the first response was released")
	}
}
