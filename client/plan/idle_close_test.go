package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"larchusher/lab/virtualclock"
)

// idleCloses plays one client whose gateways close idle connections, on a virtual clock.
type idleCloses struct {
	t           *testing.T
	clock       virtualclock.Clock
	rng         *rand.Rand
	planner     *Planner
	gatewayIdle time.Duration
	deathShare  float64 // of the requests that a gateway receives, it dies of so many
	conns       map[uint64]*idleConn
	received    map[uint64]int // by call
	ended       map[Ending]int
	wakeAt      time.Duration
}

// idleConn is a connection, as its gateway sees it.
type idleConn struct {
	closedAt  time.Duration // by the gateway; negative: it is open
	lastUsed  time.Duration
	arrivedIn map[uint64]bool // attempts that the gateway has received
}

func (s *idleCloses) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(10*time.Millisecond)))
}

func (s *idleCloses) handle(ev Event) {
	for _, a := range s.planner.Handle(s.clock.Now, ev, nil) {
		s.carryOut(a)
	}
	if at, ok := s.planner.NextTimer(); ok && (s.wakeAt <= s.clock.Now || at < s.wakeAt) {
		at = max(at, s.clock.Now+time.Microsecond)
		s.wakeAt = at
		s.clock.At(at, func() { s.handle(Timer{}) })
	}
}

func (s *idleCloses) carryOut(a Action) {
	switch a := a.(type) {
	case Connect:
		s.clock.At(s.clock.Now+s.delay(), func() {
			s.conns[a.Conn] = &idleConn{closedAt: -1, lastUsed: s.clock.Now, arrivedIn: map[uint64]bool{}}
			s.scheduleIdleClose(a.Conn)
			s.handle(Up{Conn: a.Conn})
		})
	case Send:
		s.clock.At(s.clock.Now+s.delay(), func() { s.receive(a) })
	case HealthCheck:
		s.clock.At(s.clock.Now+s.delay(), func() { s.handle(Received{Conn: a.Conn, Healthy: true}) })
	case Disconnect:
		delete(s.conns, a.Conn)
	case End:
		s.ended[a.Ending]++
	}
}

// scheduleIdleClose has the gateway close a connection once it has been idle for long enough.
func (s *idleCloses) scheduleIdleClose(id uint64) {
	cn := s.conns[id]
	s.clock.At(cn.lastUsed+s.gatewayIdle, func() {
		if cn.closedAt < 0 && s.clock.Now >= cn.lastUsed+s.gatewayIdle {
			s.close(id, cn)
		}
	})
}

// close has the gateway close a connection in order. The close is clean if nothing of what is in flight had arrived.
func (s *idleCloses) close(id uint64, cn *idleConn) {
	cn.closedAt = s.clock.Now
	s.clock.At(s.clock.Now+s.delay(), func() {
		known := s.planner.conns[id]
		if s.conns[id] != cn || known == nil {
			return
		}
		clean := true
		for attempt := range known.attempts {
			clean = clean && !cn.arrivedIn[attempt]
		}
		delete(s.conns, id)
		s.handle(Down{Conn: id, Clean: clean})
	})
}

// receive takes an attempt in, unless the connection has closed. The gateway answers, or dies.
func (s *idleCloses) receive(a Send) {
	cn := s.conns[a.Conn]
	if cn == nil || cn.closedAt >= 0 {
		return
	}
	cn.arrivedIn[a.Attempt] = true
	if s.received[a.Call]++; s.received[a.Call] > 1 {
		s.t.Errorf("call %d is received %d times", a.Call, s.received[a.Call])
	}
	cn.lastUsed = s.clock.Now
	s.scheduleIdleClose(a.Conn)
	if s.rng.Float64() < s.deathShare {
		s.close(a.Conn, cn)
		return
	}
	s.clock.At(s.clock.Now+s.delay(), func() {
		if s.conns[a.Conn] == cn {
			s.handle(Answered{Conn: a.Conn, Attempt: a.Attempt, OK: true})
		}
	})
}

// play makes calls that may not run twice for an hour, and returns the planner's counters.
func (s *idleCloses) play(t *testing.T, seed uint64) Counters {
	t.Helper()
	s.t, s.rng = t, rand.New(rand.NewPCG(seed, 3))
	s.conns, s.received, s.ended = map[uint64]*idleConn{}, map[uint64]int{}, map[Ending]int{}
	p, err := New(config(), rand.New(rand.NewPCG(seed, 4)))
	if err != nil {
		t.Fatal(err)
	}
	s.planner = p
	id := uint64(0)
	var next func()
	next = func() {
		id++
		s.handle(Call{ID: id, Class: "unsafe", Deadline: s.clock.Now + 2*time.Second})
		s.clock.At(s.clock.Now+time.Duration(s.rng.ExpFloat64()*float64(700*time.Millisecond)), next)
	}
	s.clock.At(0, next)
	s.clock.Run(time.Hour)
	return p.Counters
}

// An hour of idle closes leaves no call that may not run twice without an answer, whether clients close idle connections first, as
// by default, or gateways do and calls cross that.
func TestAnHourOfIdleCloses(t *testing.T) {
	crossed := uint64(0)
	for seed := range uint64(5) {
		for _, gatewayIdle := range []time.Duration{10 * time.Second, time.Second} {
			s := &idleCloses{gatewayIdle: gatewayIdle}
			counters := s.play(t, seed)
			crossed += counters.Crossed
			if counters.Ended[Unknown] > 0 || counters.Ended[Served]+5 < counters.Calls {
				t.Errorf("seed %d, closed after %v: %+v", seed, gatewayIdle, counters)
			}
			if gatewayIdle > DefaultIdle && counters.Crossed > 0 {
				t.Errorf("seed %d: %d cross closes that clients are to forestall", seed, counters.Crossed)
			}
		}
	}
	if crossed == 0 {
		t.Error("no call crossed a close")
	}
}

// Gateways that die of requests close as orderly as idle ones: what may not run twice is received once, and ends as unknown.
func TestGatewaysThatDieOfRequests(t *testing.T) {
	for seed := range uint64(5) {
		s := &idleCloses{gatewayIdle: time.Second, deathShare: 0.02}
		if counters := s.play(t, seed); counters.Ended[Unknown] == 0 {
			t.Errorf("seed %d: %+v", seed, counters)
		}
	}
}
