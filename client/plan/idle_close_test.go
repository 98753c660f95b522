package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"larchusher/lab/virtualclock"
)

// idleCloseSim simulates, on a virtual clock, one client of gateways that close idle connections.
type idleCloseSim struct {
	t                  *testing.T
	clock              virtualclock.Clock
	rng                *rand.Rand
	planner            *Planner
	gatewayIdleTimeout time.Duration
	crashProbability   float64 // probability that a gateway crashes when it receives a request
	conns              map[uint64]*gatewayConn
	received           map[uint64]int // by call: attempts that gateways have received
	ended              map[Ending]int
	timerAt            time.Duration
}

// gatewayConn is the gateway's side of a connection.
type gatewayConn struct {
	closedAt time.Duration // when the gateway closed it; negative: it is open
	lastUsed time.Duration
	received map[uint64]bool // attempts that the gateway has received
}

func (s *idleCloseSim) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(10*time.Millisecond)))
}

func (s *idleCloseSim) handle(ev Event) {
	for _, a := range s.planner.Handle(s.clock.Now, ev, nil) {
		s.execute(a)
	}
	if at, ok := s.planner.NextTimer(); ok && (s.timerAt <= s.clock.Now || at < s.timerAt) {
		at = max(at, s.clock.Now+time.Microsecond)
		s.timerAt = at
		s.clock.At(at, func() { s.handle(Timer{}) })
	}
}

func (s *idleCloseSim) execute(a Action) {
	switch a := a.(type) {
	case Connect:
		s.clock.At(s.clock.Now+s.delay(), func() {
			s.conns[a.Conn] = &gatewayConn{closedAt: -1, lastUsed: s.clock.Now, received: map[uint64]bool{}}
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

// scheduleIdleClose makes the gateway close a connection after the idle timeout, unless it is used until then.
func (s *idleCloseSim) scheduleIdleClose(id uint64) {
	cn := s.conns[id]
	s.clock.At(cn.lastUsed+s.gatewayIdleTimeout, func() {
		if cn.closedAt < 0 && s.clock.Now >= cn.lastUsed+s.gatewayIdleTimeout {
			s.close(id, cn)
		}
	})
}

// close makes the gateway close a connection in order. The close is clean if the gateway has received none of the attempts
// in flight.
func (s *idleCloseSim) close(id uint64, cn *gatewayConn) {
	cn.closedAt = s.clock.Now
	s.clock.At(s.clock.Now+s.delay(), func() {
		plannerConn := s.planner.conns[id]
		if s.conns[id] != cn || plannerConn == nil {
			return
		}
		clean := true
		for attempt := range plannerConn.attempts {
			clean = clean && !cn.received[attempt]
		}
		delete(s.conns, id)
		s.handle(Down{Conn: id, Clean: clean})
	})
}

// receive delivers an attempt to the gateway, which answers it or crashes. An attempt on a closed connection is lost.
func (s *idleCloseSim) receive(a Send) {
	cn := s.conns[a.Conn]
	if cn == nil || cn.closedAt >= 0 {
		return
	}
	cn.received[a.Attempt] = true
	if s.received[a.Call]++; s.received[a.Call] > 1 {
		s.t.Errorf("call %d was received %d times, want once", a.Call, s.received[a.Call])
	}
	cn.lastUsed = s.clock.Now
	s.scheduleIdleClose(a.Conn)
	if s.rng.Float64() < s.crashProbability {
		s.close(a.Conn, cn)
		return
	}
	s.clock.At(s.clock.Now+s.delay(), func() {
		if s.conns[a.Conn] == cn {
			s.handle(Answered{Conn: a.Conn, Attempt: a.Attempt, OK: true})
		}
	})
}

// run makes non-idempotent calls for an hour of virtual time, and returns the planner's counters.
func (s *idleCloseSim) run(t *testing.T, seed uint64) Counters {
	t.Helper()
	s.t, s.rng = t, rand.New(rand.NewPCG(seed, 3))
	s.conns, s.received, s.ended = map[uint64]*gatewayConn{}, map[uint64]int{}, map[Ending]int{}
	p, err := New(testConfig(), rand.New(rand.NewPCG(seed, 4)))
	if err != nil {
		t.Fatal(err)
	}
	s.planner = p
	id := uint64(0)
	var makeCall func()
	makeCall = func() {
		id++
		s.handle(Call{ID: id, Class: "unsafe", Deadline: s.clock.Now + 2*time.Second})
		s.clock.At(s.clock.Now+time.Duration(s.rng.ExpFloat64()*float64(700*time.Millisecond)), makeCall)
	}
	s.clock.At(0, makeCall)
	s.clock.Run(time.Hour)
	return p.Counters
}

// Non-idempotent calls during an hour of idle closes are answered, both when clients close idle connections first, as by
// default, and when gateways do so and calls cross the close.
func TestCallsDuringIdleClosesAreServed(t *testing.T) {
	crossed := uint64(0)
	for seed := range uint64(5) {
		for _, idleTimeout := range []time.Duration{10 * time.Second, time.Second} {
			s := &idleCloseSim{gatewayIdleTimeout: idleTimeout}
			counters := s.run(t, seed)
			crossed += counters.Crossed
			if counters.Ended[Unknown] > 0 || counters.Ended[Served]+5 < counters.Calls {
				t.Errorf("seed %d, gateway idle timeout %v: calls ended as unknown, or more than 5 were not served: %+v", seed, idleTimeout, counters)
			}
			if idleTimeout > DefaultIdle && counters.Crossed > 0 {
				t.Errorf("seed %d: %d attempts crossed a gateway's idle close, although clients close first", seed, counters.Crossed)
			}
		}
	}
	if crossed == 0 {
		t.Error("no attempt crossed an idle close, so the test did not cover that case")
	}
}

// A gateway that crashes on a request closes the connection in order, like one that closes an idle connection. A
// non-idempotent call must still be received only once, and ends as unknown.
func TestCrashDuringRequestEndsUnknown(t *testing.T) {
	for seed := range uint64(5) {
		s := &idleCloseSim{gatewayIdleTimeout: time.Second, crashProbability: 0.02}
		if counters := s.run(t, seed); counters.Ended[Unknown] == 0 {
			t.Errorf("seed %d: no call ended as unknown: %+v", seed, counters)
		}
	}
}
