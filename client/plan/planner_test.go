package plan

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{Gateways: []string{"a", "b", "c"}, Classes: []Class{{Name: "safe", Worth: 2}, {Name: "keyed", Effect: IdempotentWithKey,
		Window: 3 * time.Second, Worth: 3}, {Name: "unsafe", Effect: NonIdempotent, Worth: 1}}}
}

// fakeNetwork simulates gateways and connections for a planner, on a virtual clock, and checks the planner's actions.
type fakeNetwork struct {
	t             interface{ Fatalf(string, ...any) }
	p             *Planner
	now           time.Duration
	conns         map[uint64]*fakeConn
	calls         map[uint64]*observedCall
	lastAttempt   map[uint64]uint64 // by connection
	actions       []Action
	rejectedUntil map[string]time.Duration // by gateway and class: when the Retry-After ends
	sends         []Send
	connects      []time.Duration // times of Connect actions
}

type fakeConn struct {
	gateway  string
	up       bool
	attempts map[uint64]Send
	sentAt   map[uint64]time.Duration // of attempts
}

type observedCall struct {
	Call
	ended           bool
	ending          Ending
	attempts        int
	mayHaveRunSince time.Duration // when the first attempt was sent that failed or lost its connection
	mayHaveRun      bool
	endedAt         time.Duration
}

func newFakeNetwork(t interface{ Fatalf(string, ...any) }, cfg Config, seed uint64) *fakeNetwork {
	p, err := New(cfg, rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &fakeNetwork{t: t, p: p, conns: map[uint64]*fakeConn{}, calls: map[uint64]*observedCall{}, lastAttempt: map[uint64]uint64{}, rejectedUntil: map[string]time.Duration{}}
}

func (net *fakeNetwork) classOf(callID uint64) *Class {
	for i := range net.p.cfg.Classes {
		if k := &net.p.cfg.Classes[i]; k.Name == net.calls[callID].Class {
			return k
		}
	}
	return &Class{}
}

// handle passes an event to the planner and checks and applies the resulting actions.
func (net *fakeNetwork) handle(ev Event) {
	if c, ok := ev.(Call); ok {
		net.calls[c.ID] = &observedCall{Call: c}
	}
	net.actions = net.p.Handle(net.now, ev, net.actions[:0])
	for _, a := range net.actions {
		switch a := a.(type) {
		case Connect:
			net.conns[a.Conn] = &fakeConn{gateway: a.Gateway, attempts: map[uint64]Send{}, sentAt: map[uint64]time.Duration{}}
			net.connects = append(net.connects, net.now)
		case Disconnect:
			if net.conns[a.Conn] == nil {
				net.t.Fatalf("Disconnect for a connection that is closed already")
			}
			delete(net.conns, a.Conn)
		case Send:
			net.checkSend(a)
		case Abandon:
			if c := net.conns[a.Conn]; c != nil {
				delete(c.attempts, a.Attempt)
			}
		case End:
			c := net.calls[a.Call]
			if c.ended {
				net.t.Fatalf("call %d ended twice", a.Call)
			}
			c.ended, c.ending, c.endedAt = true, a.Ending, net.now
			if net.now > c.Deadline {
				net.t.Fatalf("call %d ended %v after its deadline", a.Call, net.now-c.Deadline)
			}
			if a.Ending == Unsent && c.attempts > 0 || a.Ending == Refused && c.mayHaveRun && c.Class != "safe" {
				net.t.Fatalf("call %d ended as %v after %d attempts, may have run: %v", a.Call, a.Ending, c.attempts, c.mayHaveRun)
			}
		}
	}
}

func (net *fakeNetwork) checkSend(a Send) {
	c, class := net.calls[a.Call], net.classOf(a.Call)
	cn := net.conns[a.Conn]
	mayHaveRunSince, mayHaveRun := net.firstMayHaveRun(a.Call)
	switch {
	case c.ended:
		net.t.Fatalf("attempt sent for a call that has ended")
	case cn == nil || !cn.up:
		net.t.Fatalf("attempt sent on a connection that is not up")
	case len(cn.attempts) >= DefaultOpen:
		net.t.Fatalf("attempt sent on a connection with %d attempts in flight", len(cn.attempts))
	case a.Attempt <= net.lastAttempt[a.Conn]:
		net.t.Fatalf("attempt ids on a connection do not increase")
	case a.Retry != (c.attempts > 0):
		net.t.Fatalf("attempt %d of a call has Retry %v, want true for all but the first", c.attempts+1, a.Retry)
	case a.Limit <= 0 || net.now+a.Limit > c.Deadline:
		net.t.Fatalf("Limit is %v with %v left until the deadline", a.Limit, c.Deadline-net.now)
	case mayHaveRun && class.Effect == NonIdempotent:
		net.t.Fatalf("non-idempotent call sent again after an attempt that may have run")
	case mayHaveRun && class.Effect == IdempotentWithKey && net.now+a.Limit >= mayHaveRunSince+class.Window:
		net.t.Fatalf("call with an idempotency key sent again after %v with a limit of %v, outside the window", net.now-mayHaveRunSince, a.Limit)
	case net.now < net.rejectedUntil[cn.gateway+" "+c.Class]:
		net.t.Fatalf("attempt sent %v before the gateway's Retry-After ended", net.rejectedUntil[cn.gateway+" "+c.Class]-net.now)
	case a.SendKey != (class.Effect == IdempotentWithKey):
		net.t.Fatalf("SendKey is %v for a call with effect %v, want true with IdempotentWithKey only", a.SendKey, class.Effect)
	}
	net.lastAttempt[a.Conn] = a.Attempt
	cn.attempts[a.Attempt], cn.sentAt[a.Attempt] = a, net.now
	c.attempts++
	net.sends = append(net.sends, a)
}

// answer answers an attempt: as served if ok, else as rejected with retryAfter if rejected, else as failed.
func (net *fakeNetwork) answer(conn, attemptID uint64, ok, rejected bool, retryAfter time.Duration) {
	if cn := net.conns[conn]; cn != nil {
		if s, is := cn.attempts[attemptID]; is {
			delete(cn.attempts, attemptID)
			if !ok && !rejected {
				net.recordMayHaveRun(s, cn.sentAt[attemptID])
			}
			if rejected {
				net.rejectedUntil[cn.gateway+" "+net.calls[s.Call].Class] = net.now + retryAfter
			}
		}
	}
	net.handle(Answered{Conn: conn, Attempt: attemptID, OK: ok, Rejected: rejected, RetryAfter: retryAfter})
}

func (net *fakeNetwork) recordMayHaveRun(s Send, sentAt time.Duration) {
	c := net.calls[s.Call]
	if !c.mayHaveRun || sentAt < c.mayHaveRunSince {
		c.mayHaveRun, c.mayHaveRunSince = true, sentAt
	}
}

// firstMayHaveRun returns when the first attempt of a call was sent that may have run or is in flight, or false if there is none.
func (net *fakeNetwork) firstMayHaveRun(callID uint64) (since time.Duration, ok bool) {
	since, ok = net.calls[callID].mayHaveRunSince, net.calls[callID].mayHaveRun
	for _, cn := range net.conns {
		for id, s := range cn.attempts {
			if s.Call == callID && (!ok || cn.sentAt[id] < since) {
				since, ok = cn.sentAt[id], true
			}
		}
	}
	return since, ok
}

// closeConn ends a connection from the gateway's side. The attempts in flight may have run, unless the close was clean and
// only one attempt was in flight.
func (net *fakeNetwork) closeConn(id uint64, clean bool) {
	cn := net.conns[id]
	delete(net.conns, id)
	if !clean || len(cn.attempts) > 1 {
		for id, s := range cn.attempts {
			net.recordMayHaveRun(s, cn.sentAt[id])
		}
	}
	for k := range net.rejectedUntil { // the Retry-After of a gateway process ends with the process
		if strings.HasPrefix(k, cn.gateway+" ") {
			delete(net.rejectedUntil, k)
		}
	}
	net.handle(Down{Conn: id, Clean: clean})
}

func (net *fakeNetwork) connIDs() []uint64 {
	return slices.Sorted(maps.Keys(net.conns))
}

// For random events of gateways and connections, each call ends exactly once and by its deadline, and each attempt respects
// the effect of its class, the limits, the time left and Retry-After. The checks are in fakeNetwork.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newFakeNetwork(t, testConfig(), rapid.Uint64().Draw(t, "seed"))
		id := uint64(0)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			net.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			net.runDueTimers(t)
			ids := net.connIDs()
			step := rapid.IntRange(0, 9).Draw(t, "step")
			if step <= 3 || len(ids) == 0 {
				id++
				net.handle(Call{ID: id, Class: rapid.SampledFrom([]string{"safe", "keyed", "unsafe", "none"}).Draw(t, "class"),
					Key:      rapid.SampledFrom([]string{"", "one", "two"}).Draw(t, "key"),
					Deadline: net.now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "limit"))*ms})
				continue
			}
			net.randomConnEvent(t, step, rapid.SampledFrom(ids).Draw(t, "conn"), id)
		}
		net.handle(Close{})
		for id, c := range net.calls {
			if !c.ended {
				t.Fatalf("call %d did not end after Close", id)
			}
		}
		if net.p.byDeadline.Len()+len(net.p.conns)+len(net.p.calls)+len(net.p.waiting) > 0 {
			t.Fatalf("the closed planner still has calls or connections")
		}
	})
}

// runDueTimers passes in a Timer event for each timer that is due by now, each at its own time. It fails if the planner
// asks for a timer at a time that has been handled.
func (net *fakeNetwork) runDueTimers(t *rapid.T) {
	for at, ok := net.p.NextTimer(); ok && at <= net.now; at, ok = net.p.NextTimer() {
		now := net.now
		net.now = at
		net.handle(Timer{})
		net.now = now
		if next, again := net.p.NextTimer(); again && next <= at {
			t.Fatalf("NextTimer is %v, which was handled already; planner state: %+v", next, net.p.describeTimers(at))
		}
	}
	net.handle(Timer{})
}

// randomConnEvent draws an event on a connection: it is established or lost, receives the answer to a health check, or an
// attempt on it is answered. If the connection has no attempts in flight, an answer to an unknown attempt arrives and the
// latest call is cancelled.
func (net *fakeNetwork) randomConnEvent(t *rapid.T, step int, conn, latestCall uint64) {
	cn := net.conns[conn]
	if !cn.up {
		if rapid.IntRange(0, 3).Draw(t, "up") > 0 {
			cn.up = true
			net.handle(Up{Conn: conn})
		} else {
			net.closeConn(conn, false)
		}
		return
	}
	attemptIDs := slices.Sorted(maps.Keys(cn.attempts))
	switch {
	case step == 9:
		net.closeConn(conn, rapid.Bool().Draw(t, "clean"))
	case step == 8:
		net.handle(Received{Conn: conn, Healthy: rapid.Bool().Draw(t, "healthy")})
	case len(attemptIDs) > 0:
		attemptID := rapid.SampledFrom(attemptIDs).Draw(t, "attempt")
		answerKind := rapid.IntRange(0, 3).Draw(t, "answer")
		net.answer(conn, attemptID, answerKind <= 1, answerKind == 2, time.Duration(rapid.IntRange(0, 2000).Draw(t, "retryAfter"))*ms)
	default:
		net.handle(Answered{Conn: conn, Attempt: 999999, OK: true}) // an attempt that was never sent
		if latestCall > 0 {
			net.handle(Cancelled{ID: latestCall})
			net.calls[latestCall].ended = true
		}
	}
}

// advance moves the clock forward by d in steps of 1 ms. Each step passes in a Timer, establishes the pending connections
// and calls onTick unless it is nil.
func (net *fakeNetwork) advance(d time.Duration, onTick func()) {
	for end := net.now + d; net.now < end; net.now += ms {
		net.handle(Timer{})
		for _, id := range net.connIDs() {
			if cn := net.conns[id]; !cn.up {
				cn.up = true
				net.handle(Up{Conn: id})
			}
		}
		if onTick != nil {
			onTick()
		}
	}
}

func (net *fakeNetwork) inFlight() (all []Send) {
	for _, id := range net.connIDs() {
		for _, s := range slices.Sorted(maps.Keys(net.conns[id].attempts)) {
			all = append(all, net.conns[id].attempts[s])
		}
	}
	return all
}

// If every gateway rejects every attempt, the number of attempts exceeds the number of calls by at most 10 %.
func TestFewRetriesWhenAllGatewaysReject(t *testing.T) {
	net := newFakeNetwork(t, testConfig(), 1)
	n := uint64(0)
	net.advance(30*time.Second, func() {
		n++
		net.handle(Call{ID: n, Class: "safe", Deadline: net.now + 2*time.Second})
		for _, s := range net.inFlight() {
			net.answer(s.Conn, s.Attempt, false, true, 500*ms)
		}
	})
	if attempts := net.p.Counters.Attempts; float64(attempts) > 1.1*float64(n) {
		t.Errorf("%d attempts for %d calls, want at most 10 %% more than calls", attempts, n)
	}
	for id, c := range net.calls {
		if c.ended && c.ending != Refused {
			t.Fatalf("call %d ended as %v, want refused", id, c.ending)
		}
	}
}

// A rejection of an attempt arrives after the call was sent again. Its Retry-After is counted, and the newer attempt can
// still be served.
func TestLateRejectionDoesNotEndNewerAttempt(t *testing.T) {
	net := newFakeNetwork(t, testConfig(), 2)
	net.handle(Call{ID: 1, Class: "safe", Deadline: 10 * time.Second})
	net.advance(4*time.Second, nil) // the first gateway does not answer and is ejected
	inFlight := net.inFlight()
	if len(inFlight) != 2 || !inFlight[1].Retry {
		t.Fatalf("%d attempts in flight, want a first one and a retry: %+v", len(inFlight), inFlight)
	}
	net.answer(inFlight[0].Conn, inFlight[0].Attempt, false, true, time.Second)
	if net.calls[1].ended || len(net.inFlight()) != 1 || net.p.Counters.RejectionsHeeded != 1 {
		t.Fatalf("after the late rejection: ended %v, %d attempts in flight, %d rejections with a Retry-After; want false, 1, 1",
			net.calls[1].ended, len(net.inFlight()), net.p.Counters.RejectionsHeeded)
	}
	net.answer(inFlight[1].Conn, inFlight[1].Attempt, true, false, 0)
	if c := net.calls[1]; !c.ended || c.ending != Served {
		t.Errorf("call ended as %v, want served", c.ending)
	}
}

// After the loss of a connection only a call whose class allows it is sent again; a non-idempotent call ends as unknown. A
// non-idempotent call that crossed an orderly close is sent again, since it cannot have run.
func TestConnectionLossByEffect(t *testing.T) {
	for class, want := range map[string]Ending{"safe": Served, "keyed": Served, "unsafe": Unknown} {
		net := newFakeNetwork(t, testConfig(), 3)
		net.handle(Call{ID: 1, Class: class, Deadline: 10 * time.Second})
		net.advance(10*ms, nil)
		net.closeConn(net.inFlight()[0].Conn, false)
		net.advance(5*time.Second, func() {
			for _, s := range net.inFlight() {
				net.answer(s.Conn, s.Attempt, true, false, 0)
			}
		})
		if c := net.calls[1]; !c.ended || c.ending != want {
			t.Errorf("class %s: ended %v as %v", class, c.ended, c.ending)
		}
	}
	net := newFakeNetwork(t, testConfig(), 3) // a clean close at most 50 ms after the attempt was sent: nothing ran
	net.handle(Call{ID: 1, Class: "unsafe", Deadline: 10 * time.Second})
	net.advance(10*ms, nil)
	net.closeConn(net.inFlight()[0].Conn, true)
	net.advance(100*ms, nil)
	if len(net.inFlight()) != 1 || net.p.Counters.Crossed != 1 {
		t.Errorf("%d attempts in flight after one crossed an orderly close, want 1", len(net.inFlight()))
	}
}

// When a gateway with a thousand clients crashes, the clients spread their reconnects over 2 s: at most 12 % of them connect
// within any 100 ms, and almost all calls are served.
func TestReconnectsAreSpreadAfterEjection(t *testing.T) {
	buckets := map[time.Duration]int{}
	total, served := 0, 0
	for seed := range uint64(1000) {
		cfg := testConfig()
		cfg.Gateways = []string{"a", "b"}
		net := newFakeNetwork(t, cfg, seed)
		net.handle(Call{ID: 1, Class: "safe", Deadline: 5 * time.Second})
		net.advance(3*ms, nil)
		crashedAt := net.now
		connectsBefore := len(net.connects)
		net.closeConn(net.inFlight()[0].Conn, false)
		net.advance(5*time.Second, func() {
			for _, s := range net.inFlight() {
				net.answer(s.Conn, s.Attempt, true, false, 0)
			}
		})
		for _, c := range net.connects[connectsBefore:] {
			if c-crashedAt < 2*time.Second {
				buckets[(c-crashedAt)/(100*ms)]++
			}
			total++
		}
		if c := net.calls[1]; c.ended && c.ending == Served {
			served++
		}
	}
	for bucket, n := range buckets {
		if n > 120 {
			t.Errorf("%d clients connect within 100 ms, %v after the crash; want at most 120", n, bucket*100*ms)
		}
	}
	if len(buckets) < 19 || served < 990 {
		t.Errorf("%d connects within %d intervals of 100 ms, want at least 19 intervals; %d calls served, want at least 990",
			total, len(buckets), served)
	}
}

// A gateway crashes, and a second one 0.5 s later: the remaining gateway serves almost all calls, and no interval of 100 ms
// has more than 12 % of the reconnects.
func TestReconnectsAreSpreadAfterSecondCrash(t *testing.T) {
	buckets := map[time.Duration]int{}
	total, served := 0, 0
	for seed := range uint64(600) {
		net := newFakeNetwork(t, testConfig(), seed)
		for _, at := range net.crashTwoGateways() {
			buckets[at/(100*ms)]++
			total++
		}
		if c := net.calls[1]; c.ended && c.ending == Served {
			served++
		}
	}
	for bucket, n := range buckets {
		if float64(n) > 0.12*float64(total) {
			t.Errorf("%d of %d connects within 100 ms, at %v; want at most 12 %%", n, total, bucket*100*ms)
		}
	}
	if served < 594 {
		t.Errorf("%d of 600 calls served, want at least 594", served)
	}
}

// crashTwoGateways crashes gateway a while a call may be in flight on it, and gateway b 0.5 s later. It returns the times of
// all Connect actions after the first crash.
func (net *fakeNetwork) crashTwoGateways() []time.Duration {
	net.handle(Call{ID: 1, Class: "safe", Deadline: 5 * time.Second})
	net.advance(3*ms, nil)
	crash := func(name string) {
		for _, id := range net.connIDs() {
			if net.conns[id].gateway == name {
				net.closeConn(id, false)
			}
		}
	}
	down := map[string]bool{"a": true}
	crash("a")
	before := len(net.connects)
	for end := net.now + 5*time.Second; net.now < end; net.now += 5 * ms {
		if net.now >= 503*ms && !down["b"] {
			down["b"] = true
			crash("b")
		}
		net.handle(Timer{})
		net.updateConns(func(cn *fakeConn) bool { return down[cn.gateway] }, nil)
		if net.now > time.Second { // no gateway answers earlier
			for _, s := range net.inFlight() {
				net.answer(s.Conn, s.Attempt, true, false, 0)
			}
		}
	}
	return net.connects[before:]
}

// A gateway that answers health checks but no requests is not ejected: the call expires at its deadline.
func TestGatewayThatAnswersOnlyHealthChecks(t *testing.T) {
	net := newFakeNetwork(t, testConfig(), 5)
	net.handle(Call{ID: 1, Class: "unsafe", Deadline: 5 * time.Second})
	healthChecks := 0
	for net.now < 6*time.Second {
		net.now += ms
		checksBefore := net.p.Counters.HealthChecks
		net.handle(Timer{})
		for _, id := range net.connIDs() {
			if cn := net.conns[id]; !cn.up {
				cn.up = true
				net.handle(Up{Conn: id})
			} else if net.p.Counters.HealthChecks > checksBefore {
				healthChecks++
				net.handle(Received{Conn: id, Healthy: true})
			}
		}
	}
	if c := net.calls[1]; !c.ended || c.ending != Expired || healthChecks < 3 || net.p.Counters.Ejections != 0 {
		t.Errorf("ended %v as %v, want expired; %d health checks, want at least 3; %d ejections, want 0",
			c.ended, c.ending, healthChecks, net.p.Counters.Ejections)
	}
}

// A gateway that restarts at the same address accepts connections before it serves requests. It gets no attempt until a
// health check succeeds.
func TestRestartedGatewayGetsNoCallsUntilHealthy(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = []string{"a"}
	net := newFakeNetwork(t, cfg, 6)
	net.handle(Call{ID: 1, Class: "safe", Deadline: 9 * time.Second})
	net.advance(10*ms, nil)
	net.closeConn(net.inFlight()[0].Conn, false)
	ready := false
	for net.now < 8*time.Second {
		net.now += 10 * ms
		ready = ready || net.now > 3*time.Second
		net.handle(Timer{})
		for _, id := range net.connIDs() {
			if cn := net.conns[id]; !cn.up {
				cn.up = true
				net.handle(Up{Conn: id})
				net.handle(Received{Conn: id, Healthy: ready})
			}
		}
		if !ready && len(net.inFlight()) > 0 {
			t.Fatal("attempt sent to a gateway that is not healthy yet")
		}
		for _, s := range net.inFlight() {
			net.answer(s.Conn, s.Attempt, true, false, 0)
		}
	}
	if c := net.calls[1]; !c.ended || c.ending != Served {
		t.Errorf("ended %v as %v, want served", c.ended, c.ending)
	}
}

// All gateways are down for 10 s. Calls in that time end as unsent, and when the gateways return, the rate of attempts of 300
// clients stays below five times the usual rate.
func TestAllGatewaysDownForTenSeconds(t *testing.T) {
	attempts := map[time.Duration]int{}
	for seed := range uint64(300) {
		net := newFakeNetwork(t, testConfig(), seed)
		id := uint64(0)
		for net.now < 14*time.Second {
			if id++; true {
				net.handle(Call{ID: id, Class: "safe", Deadline: net.now + 2*time.Second})
			}
			for end := net.now + 100*ms; net.now < end; net.now += 10 * ms {
				net.handle(Timer{})
				net.updateConns(func(cn *fakeConn) bool { return !cn.up && net.now < 10*time.Second }, func(c uint64) {
					net.handle(Received{Conn: c, Healthy: true})
				})
				for _, s := range net.inFlight() {
					attempts[net.now/(100*ms)]++
					net.answer(s.Conn, s.Attempt, true, false, 0)
				}
			}
		}
		for id, c := range net.calls {
			if c.ended && c.ending != Served && c.ending != Unsent {
				t.Fatalf("call %d ended as %v, want served or unsent", id, c.ending)
			}
		}
	}
	highest, usual := 0, 300
	for _, n := range attempts {
		highest = max(highest, n)
	}
	if highest > 5*usual {
		t.Errorf("%d attempts within 100 ms, want at most 5 times the usual %d", highest, usual)
	}
}

func TestConfigErrorNamesField(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Gateways is empty":              func(c *Config) { c.Gateways = nil },
		`Gateways[1]: "a"`:               func(c *Config) { c.Gateways = []string{"a", "a"} },
		"Classes is empty":               func(c *Config) { c.Classes = nil },
		"Classes[0].Name":                func(c *Config) { c.Classes[0].Name = "" },
		"Classes[2].Effect":              func(c *Config) { c.Classes[2].Effect = 7 },
		"Classes[1]: Window or Deadline": func(c *Config) { c.Classes[1].Window = -1 },
		"Spread is negative":             func(c *Config) { c.Spread = -1 },
		"Budget is negative":             func(c *Config) { c.Budget = -0.1 },
	} {
		c := testConfig()
		change(&c)
		if _, err := New(c, rand.New(rand.NewPCG(1, 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
	for e := Served; e <= Closed; e++ {
		if e.String() == "" {
			t.Error(fmt.Sprint(int(e)))
		}
	}
}

// updateConns closes the connections for which fails returns true, and establishes the other pending ones. It calls onUp,
// unless that is nil, with the id of each connection that it establishes.
func (net *fakeNetwork) updateConns(fails func(*fakeConn) bool, onUp func(id uint64)) {
	for _, id := range net.connIDs() {
		switch cn := net.conns[id]; {
		case fails(cn):
			net.closeConn(id, false)
		case !cn.up:
			cn.up = true
			net.handle(Up{Conn: id})
			if onUp != nil {
				onUp(id)
			}
		}
	}
}

// describeTimers returns the state that NextTimer depends on, and the time at, for the message of a failed test.
func (p *Planner) describeTimers(at time.Duration) (all []string) {
	for _, c := range p.waiting {
		all = append(all, fmt.Sprintf("call %d: deadline %v, connect not before %v, redirecting %v, attempts %d, in flight %d",
			c.ID, c.Deadline, c.connectNotBefore, c.redirecting, c.attemptCount, len(c.inFlight)))
	}
	for _, g := range p.gateways {
		all = append(all, fmt.Sprintf("%s: ejected %v, health check at %v, connect not before %v, rejected until %v",
			g.name, g.ejected, g.healthCheckAt, g.connectNotBefore, g.rejectedUntil))
		for _, cn := range g.conns {
			all = append(all, fmt.Sprintf("conn %d: up %v, started %v, health check sent %v, last used %v, last received %v, attempts %d, checking health %v, unresponsive %v",
				cn.id, cn.up, cn.startedAt,
				cn.healthCheckSentAt, cn.lastUsed, cn.lastReceived, len(cn.attempts), cn.checkingHealth, cn.unresponsive))
		}
	}
	return append(all, fmt.Sprint(at))
}
