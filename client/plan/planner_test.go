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

func config() Config {
	return Config{Gateways: []string{"a", "b", "c"}, Classes: []Class{{Name: "safe", Worth: 2}, {Name: "keyed", Effect: IdempotentWithKey,
		Window: 3 * time.Second, Worth: 3}, {Name: "unsafe", Effect: NonIdempotent, Worth: 1}}}
}

// network plays gateways and network against a planner, and checks what it does.
type network struct {
	t             interface{ Fatalf(string, ...any) }
	p             *Planner
	now           time.Duration
	conns         map[uint64]*networkConn
	calls         map[uint64]*networkCall
	lastAttempt   map[uint64]uint64 // by connection
	actions       []Action
	rejectedUntil map[string]time.Duration // by gateway and class: not before then
	sends         []Send
	connects      []time.Duration
}

type networkConn struct {
	gateway  string
	up       bool
	attempts map[uint64]Send
}

type networkCall struct {
	Call
	ended           bool
	ending          Ending
	attempts        int
	mayHaveRunSince time.Duration // when the earliest attempt that may have run was sent
	mayHaveRun      bool
	endedAt         time.Duration
}

func newNetwork(t interface{ Fatalf(string, ...any) }, cfg Config, seed uint64) *network {
	p, err := New(cfg, rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &network{t: t, p: p, conns: map[uint64]*networkConn{}, calls: map[uint64]*networkCall{}, lastAttempt: map[uint64]uint64{}, rejectedUntil: map[string]time.Duration{}}
}

func (w *network) class(c uint64) *Class {
	for i := range w.p.cfg.Classes {
		if k := &w.p.cfg.Classes[i]; k.Name == w.calls[c].Class {
			return k
		}
	}
	return &Class{}
}

// handle hands an event in and checks what comes out.
func (w *network) handle(ev Event) {
	if c, ok := ev.(Call); ok {
		w.calls[c.ID] = &networkCall{Call: c}
	}
	w.actions = w.p.Handle(w.now, ev, w.actions[:0])
	for _, a := range w.actions {
		switch a := a.(type) {
		case Connect:
			w.conns[a.Conn] = &networkConn{gateway: a.Gateway, attempts: map[uint64]Send{}}
			w.connects = append(w.connects, w.now)
		case Disconnect:
			if w.conns[a.Conn] == nil {
				w.t.Fatalf("a connection is hung up twice")
			}
			delete(w.conns, a.Conn)
		case Send:
			w.sent(a)
		case Abandon:
			if c := w.conns[a.Conn]; c != nil {
				delete(c.attempts, a.Attempt)
			}
		case End:
			c := w.calls[a.Call]
			if c.ended {
				w.t.Fatalf("call %d ends twice", a.Call)
			}
			c.ended, c.ending, c.endedAt = true, a.Ending, w.now
			if w.now > c.Deadline {
				w.t.Fatalf("call %d ends %v late", a.Call, w.now-c.Deadline)
			}
			if a.Ending == Unsent && c.attempts > 0 || a.Ending == Refused && c.mayHaveRun && c.Class == "unsafe" {
				w.t.Fatalf("call %d ends as %v after %d tries, ran %v", a.Call, a.Ending, c.attempts, c.mayHaveRun)
			}
		}
	}
}

func (w *network) sent(a Send) {
	c, k := w.calls[a.Call], w.class(a.Call)
	cn := w.conns[a.Conn]
	switch {
	case c.ended:
		w.t.Fatalf("sent for a call that has ended")
	case cn == nil || !cn.up:
		w.t.Fatalf("sent on a connection that is not up")
	case len(cn.attempts) >= DefaultOpen:
		w.t.Fatalf("%d requests are open", len(cn.attempts))
	case a.Attempt <= w.lastAttempt[a.Conn]:
		w.t.Fatalf("ids do not rise")
	case a.Retry != (c.attempts > 0):
		w.t.Fatalf("try %d is marked %v", c.attempts+1, a.Retry)
	case a.Limit <= 0 || w.now+a.Limit > c.Deadline:
		w.t.Fatalf("limit %v with %v left", a.Limit, c.Deadline-w.now)
	case c.mayHaveRun && k.Effect == NonIdempotent:
		w.t.Fatalf("an unsafe call is sent again")
	case c.mayHaveRun && k.Effect == IdempotentWithKey && w.now >= c.mayHaveRunSince+k.Window:
		w.t.Fatalf("a keyed call is sent again after %v", w.now-c.mayHaveRunSince)
	case w.now < w.rejectedUntil[cn.gateway+" "+c.Class]:
		w.t.Fatalf("sent %v before the gateway is to be asked again", w.rejectedUntil[cn.gateway+" "+c.Class]-w.now)
	case a.SendKey != (k.Effect == IdempotentWithKey):
		w.t.Fatalf("key %v for a call of effect %v", a.SendKey, k.Effect)
	}
	w.lastAttempt[a.Conn] = a.Attempt
	cn.attempts[a.Attempt] = a
	c.attempts++
	w.sends = append(w.sends, a)
}

// answer answers an attempt; later is the Retry-After of a rejection.
func (w *network) answer(conn, try uint64, ok, backoff bool, later time.Duration) {
	if cn := w.conns[conn]; cn != nil {
		if s, is := cn.attempts[try]; is {
			delete(cn.attempts, try)
			if !ok && !backoff {
				w.recordMayHaveRun(s)
			}
			if backoff {
				w.rejectedUntil[cn.gateway+" "+w.calls[s.Call].Class] = w.now + later
			}
		}
	}
	w.handle(Answered{Conn: conn, Attempt: try, OK: ok, Rejected: backoff, RetryAfter: later})
}

func (w *network) recordMayHaveRun(s Send) {
	c := w.calls[s.Call]
	if !c.mayHaveRun {
		c.mayHaveRun, c.mayHaveRunSince = true, w.now // no earlier than it was sent: a weaker check than the planner's own
	}
}

// end ends a connection.
func (w *network) end(id uint64, clean bool) {
	cn := w.conns[id]
	delete(w.conns, id)
	if !clean || len(cn.attempts) > 1 {
		for _, s := range cn.attempts {
			w.recordMayHaveRun(s)
		}
	}
	for k := range w.rejectedUntil { // the Retry-After of a process that is gone holds no longer
		if strings.HasPrefix(k, cn.gateway+" ") {
			delete(w.rejectedUntil, k)
		}
	}
	w.handle(Down{Conn: id, Clean: clean})
}

func (w *network) connIDs() []uint64 {
	return slices.Sorted(maps.Keys(w.conns))
}

// Whatever gateways and connections do, each call ends once and by its deadline, and nothing is sent that its class, the
// marks, the limits or a refusal do not allow (the checks of network).
func TestAnythingMayHappen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(t, config(), rapid.Uint64().Draw(t, "seed"))
		id := uint64(0)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			w.runDueTimers(t)
			ids := w.connIDs()
			step := rapid.IntRange(0, 9).Draw(t, "step")
			if step <= 3 || len(ids) == 0 {
				id++
				w.handle(Call{ID: id, Class: rapid.SampledFrom([]string{"safe", "keyed", "unsafe", "none"}).Draw(t, "class"),
					Deadline: w.now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "limit"))*ms})
				continue
			}
			w.randomConnEvent(t, step, rapid.SampledFrom(ids).Draw(t, "conn"), id)
		}
		w.handle(Close{})
		for id, c := range w.calls {
			if !c.ended {
				t.Fatalf("call %d never ends", id)
			}
		}
		if w.p.byDeadline.Len()+len(w.p.conns)+len(w.p.calls)+len(w.p.waiting) > 0 {
			t.Fatalf("something is left")
		}
	})
}

// runDueTimers has the timers that ran out by now run in their time.
func (w *network) runDueTimers(t *rapid.T) {
	for at, ok := w.p.NextTimer(); ok && at <= w.now; at, ok = w.p.NextTimer() {
		now := w.now
		w.now = at
		w.handle(Timer{})
		w.now = now
		if next, again := w.p.NextTimer(); again && next <= at {
			t.Fatalf("it wants to be woken at %v, where it was: %+v", next, w.p.pendingTimers(at))
		}
	}
	w.handle(Timer{})
}

// randomConnEvent has something happen on a connection: it comes up or is lost, it says whether its gateway is alive, or an attempt is answered. By
// another step the latest call is canceled.
func (w *network) randomConnEvent(t *rapid.T, step int, conn, latest uint64) {
	cn := w.conns[conn]
	if !cn.up {
		if rapid.IntRange(0, 3).Draw(t, "up") > 0 {
			cn.up = true
			w.handle(Up{Conn: conn})
		} else {
			w.end(conn, false)
		}
		return
	}
	tries := slices.Sorted(maps.Keys(cn.attempts))
	switch {
	case step == 9:
		w.end(conn, rapid.Bool().Draw(t, "clean"))
	case step == 8:
		w.handle(Received{Conn: conn, Healthy: rapid.Bool().Draw(t, "alive")})
	case len(tries) > 0:
		try := rapid.SampledFrom(tries).Draw(t, "try")
		kind := rapid.IntRange(0, 3).Draw(t, "answer")
		w.answer(conn, try, kind <= 1, kind == 2, time.Duration(rapid.IntRange(0, 2000).Draw(t, "later"))*ms)
	default:
		w.handle(Answered{Conn: conn, Attempt: 999999, OK: true}) // never asked
		if latest > 0 {
			w.handle(Cancelled{ID: latest})
			w.calls[latest].ended = true
		}
	}
}

// run plays on for a while: every millisecond, timers and what react does.
func (w *network) run(d time.Duration, react func()) {
	for end := w.now + d; w.now < end; w.now += ms {
		w.handle(Timer{})
		for _, id := range w.connIDs() {
			if cn := w.conns[id]; !cn.up {
				cn.up = true
				w.handle(Up{Conn: id})
			}
		}
		if react != nil {
			react()
		}
	}
}

func (w *network) inFlight() (all []Send) {
	for _, id := range w.connIDs() {
		for _, s := range slices.Sorted(maps.Keys(w.conns[id].attempts)) {
			all = append(all, w.conns[id].attempts[s])
		}
	}
	return all
}

// With every gateway rejecting, hardly more is sent than was asked for.
func TestRefusalsAreNotAnsweredByRetries(t *testing.T) {
	w := newNetwork(t, config(), 1)
	n := uint64(0)
	w.run(30*time.Second, func() {
		n++
		w.handle(Call{ID: n, Class: "safe", Deadline: w.now + 2*time.Second})
		for _, s := range w.inFlight() {
			w.answer(s.Conn, s.Attempt, false, true, 500*ms)
		}
	})
	if tries := w.p.Counters.Attempts; float64(tries) > 1.1*float64(n) {
		t.Errorf("%d tries for %d calls", tries, n)
	}
	for id, c := range w.calls {
		if c.ended && c.ending != Refused {
			t.Fatalf("call %d: %v", id, c.ending)
		}
	}
}

// A rejection that comes after the call has been sent again counts, and leaves the newer attempt alone.
func TestALateRefusalLeavesTheNewerTry(t *testing.T) {
	w := newNetwork(t, config(), 2)
	w.handle(Call{ID: 1, Class: "safe", Deadline: 10 * time.Second})
	w.run(4*time.Second, nil) // the first gateway is silent, and is left
	open := w.inFlight()
	if len(open) != 2 || !open[1].Retry {
		t.Fatalf("%d tries are out: %+v", len(open), open)
	}
	w.answer(open[0].Conn, open[0].Attempt, false, true, time.Second)
	if w.calls[1].ended || len(w.inFlight()) != 1 || w.p.Counters.RejectionsHeeded != 1 {
		t.Fatalf("ended %v, %d out, %d held", w.calls[1].ended, len(w.inFlight()), w.p.Counters.RejectionsHeeded)
	}
	w.answer(open[1].Conn, open[1].Attempt, true, false, 0)
	if c := w.calls[1]; !c.ended || c.ending != Served {
		t.Errorf("%v", c.ending)
	}
}

// What a class does not allow is not sent again, and the call says what is known.
func TestEffects(t *testing.T) {
	for class, want := range map[string]Ending{"safe": Served, "keyed": Served, "unsafe": Unknown} {
		w := newNetwork(t, config(), 3)
		w.handle(Call{ID: 1, Class: class, Deadline: 10 * time.Second})
		w.run(10*ms, nil)
		w.end(w.inFlight()[0].Conn, false)
		w.run(5*time.Second, func() {
			for _, s := range w.inFlight() {
				w.answer(s.Conn, s.Attempt, true, false, 0)
			}
		})
		if c := w.calls[1]; !c.ended || c.ending != want {
			t.Errorf("%s: ended %v as %v", class, c.ended, c.ending)
		}
	}
	w := newNetwork(t, config(), 3) // an orderly close within 50 ms proves that nothing ran
	w.handle(Call{ID: 1, Class: "unsafe", Deadline: 10 * time.Second})
	w.run(10*ms, nil)
	w.end(w.inFlight()[0].Conn, true)
	w.run(100*ms, nil)
	if len(w.inFlight()) != 1 || w.p.Counters.Crossed != 1 {
		t.Errorf("%d tries are out after a close that it crossed", len(w.inFlight()))
	}
}

// A thousand clients of a gateway that dies connect to others over two seconds, in no tenth of one more than 12 %.
func TestReconnectsAreSpread(t *testing.T) {
	buckets := map[time.Duration]int{}
	all, kept := 0, 0
	for n := range uint64(1000) {
		cfg := config()
		cfg.Gateways = []string{"a", "b"}
		w := newNetwork(t, cfg, n)
		w.handle(Call{ID: 1, Class: "safe", Deadline: 5 * time.Second})
		w.run(3*ms, nil)
		at := w.now
		before := len(w.connects)
		w.end(w.inFlight()[0].Conn, false)
		w.run(5*time.Second, func() {
			for _, s := range w.inFlight() {
				w.answer(s.Conn, s.Attempt, true, false, 0)
			}
		})
		for _, c := range w.connects[before:] {
			if c-at < 2*time.Second {
				buckets[(c-at)/(100*ms)]++
			}
			all++
		}
		if c := w.calls[1]; c.ended && c.ending == Served {
			kept++
		}
	}
	for b, n := range buckets {
		if n > 120 {
			t.Errorf("%d connect within 100 ms, %v after the death", n, b*100*ms)
		}
	}
	if len(buckets) < 19 || kept < 990 {
		t.Errorf("%d connects in %d tenths of a second, %d calls served", all, len(buckets), kept)
	}
}

// A gateway dies, and the next half a second later: what is left serves all, and the reconnects are spread.
func TestASecondDeath(t *testing.T) {
	tenths := map[time.Duration]int{}
	all, kept := 0, 0
	for n := range uint64(600) {
		w := newNetwork(t, config(), n)
		for _, at := range w.ejectTwo() {
			tenths[at/(100*ms)]++
			all++
		}
		if c := w.calls[1]; c.ended && c.ending == Served {
			kept++
		}
	}
	for k, n := range tenths {
		if float64(n) > 0.12*float64(all) {
			t.Errorf("%d of %d connects in one tenth of a second, %v after the first death", n, all, k*100*ms)
		}
	}
	if kept < 594 {
		t.Errorf("%d of 600 were served", kept)
	}
}

// ejectTwo has gateway a die under a call, and b half a second later, and returns when connections were begun from then on.
func (w *network) ejectTwo() []time.Duration {
	w.handle(Call{ID: 1, Class: "safe", Deadline: 5 * time.Second})
	w.run(3*ms, nil)
	kill := func(name string) {
		for _, id := range w.connIDs() {
			if w.conns[id].gateway == name {
				w.end(id, false)
			}
		}
	}
	down := map[string]bool{"a": true}
	kill("a")
	before := len(w.connects)
	for end := w.now + 5*time.Second; w.now < end; w.now += 5 * ms {
		if w.now >= 503*ms && !down["b"] {
			down["b"] = true
			kill("b")
		}
		w.handle(Timer{})
		w.connect(func(cn *networkConn) bool { return down[cn.gateway] }, nil)
		if w.now > time.Second { // nobody answers before
			for _, s := range w.inFlight() {
				w.answer(s.Conn, s.Attempt, true, false, 0)
			}
		}
	}
	return w.connects[before:]
}

// A gateway that answers whether it is there, and nothing else: calls end by their deadlines, and it is not left for it.
func TestAGatewayThatOnlySaysItIsAlive(t *testing.T) {
	w := newNetwork(t, config(), 5)
	w.handle(Call{ID: 1, Class: "unsafe", Deadline: 5 * time.Second})
	probes := 0
	for w.now < 6*time.Second {
		w.now += ms
		before := w.p.Counters.HealthChecks
		w.handle(Timer{})
		for _, id := range w.connIDs() {
			if cn := w.conns[id]; !cn.up {
				cn.up = true
				w.handle(Up{Conn: id})
			} else if w.p.Counters.HealthChecks > before {
				probes++
				w.handle(Received{Conn: id, Healthy: true})
			}
		}
	}
	if c := w.calls[1]; !c.ended || c.ending != Expired || probes < 3 || w.p.Counters.Ejections != 0 {
		t.Errorf("ended %v as %v, %d probes, %d deaths", c.ended, c.ending, probes, w.p.Counters.Ejections)
	}
}

// A gateway that is back at once at the same address, and does not serve yet, gets nothing before it says that it does.
func TestAGatewayThatIsBackAndNotReady(t *testing.T) {
	cfg := config()
	cfg.Gateways = []string{"a"}
	w := newNetwork(t, cfg, 6)
	w.handle(Call{ID: 1, Class: "safe", Deadline: 9 * time.Second})
	w.run(10*ms, nil)
	w.end(w.inFlight()[0].Conn, false)
	ready := false
	for w.now < 8*time.Second {
		w.now += 10 * ms
		ready = ready || w.now > 3*time.Second
		w.handle(Timer{})
		for _, id := range w.connIDs() {
			if cn := w.conns[id]; !cn.up {
				cn.up = true
				w.handle(Up{Conn: id})
				w.handle(Received{Conn: id, Healthy: ready})
			}
		}
		if !ready && len(w.inFlight()) > 0 {
			t.Fatal("sent to one that does not serve yet")
		}
		for _, s := range w.inFlight() {
			w.answer(s.Conn, s.Attempt, true, false, 0)
		}
	}
	if c := w.calls[1]; !c.ended || c.ending != Served {
		t.Errorf("ended %v as %v", c.ended, c.ending)
	}
}

// All gateways are away for ten seconds: calls end by their deadlines, and the return is no spike.
func TestAllGatewaysAway(t *testing.T) {
	tries := map[time.Duration]int{}
	for n := range uint64(300) {
		w := newNetwork(t, config(), n)
		id := uint64(0)
		for w.now < 14*time.Second {
			if id++; true {
				w.handle(Call{ID: id, Class: "safe", Deadline: w.now + 2*time.Second})
			}
			for end := w.now + 100*ms; w.now < end; w.now += 10 * ms {
				w.handle(Timer{})
				w.connect(func(cn *networkConn) bool { return !cn.up && w.now < 10*time.Second }, func(c uint64) {
					w.handle(Received{Conn: c, Healthy: true})
				})
				for _, s := range w.inFlight() {
					tries[w.now/(100*ms)]++
					w.answer(s.Conn, s.Attempt, true, false, 0)
				}
			}
		}
		for id, c := range w.calls {
			if c.ended && c.ending != Served && c.ending != Unsent {
				t.Fatalf("call %d: %v", id, c.ending)
			}
		}
	}
	most, usual := 0, 300
	for _, n := range tries {
		most = max(most, n)
	}
	if most > 5*usual {
		t.Errorf("%d tries in 100 ms, %d are usual", most, usual)
	}
}

func TestConfigNamesWhatIsWrong(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Gateways is empty":  func(c *Config) { c.Gateways = nil },
		`Gateways[1]: "a"`:   func(c *Config) { c.Gateways = []string{"a", "a"} },
		"Classes is empty":   func(c *Config) { c.Classes = nil },
		"Classes[0].Name":    func(c *Config) { c.Classes[0].Name = "" },
		"Classes[2].Effect":  func(c *Config) { c.Classes[2].Effect = 7 },
		"Classes[1]: a span": func(c *Config) { c.Classes[1].Window = -1 },
		"Spread is negative": func(c *Config) { c.Spread = -1 },
		"Budget is negative": func(c *Config) { c.Budget = -0.1 },
	} {
		c := config()
		change(&c)
		if _, err := New(c, rand.New(rand.NewPCG(1, 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
	for e := Served; e <= Closed; e++ {
		if e.String() == "" {
			t.Error(fmt.Sprint(int(e)))
		}
	}
}

// connect ends the connections that are lost, and has the others come up; came is called with each one that does.
func (w *network) connect(lost func(*networkConn) bool, came func(id uint64)) {
	for _, id := range w.connIDs() {
		switch cn := w.conns[id]; {
		case lost(cn):
			w.end(id, false)
		case !cn.up:
			cn.up = true
			w.handle(Up{Conn: id})
			if came != nil {
				came(id)
			}
		}
	}
}

// pendingTimers tells what asks to be woken at a time that has passed.
func (p *Planner) pendingTimers(at time.Duration) (all []string) {
	for _, c := range p.waiting {
		all = append(all, fmt.Sprintf("call %d: deadline %v from %v moved %v tries %d out %d", c.ID, c.Deadline, c.connectNotBefore, c.redirecting, c.attemptCount, len(c.inFlight)))
	}
	for _, g := range p.gateways {
		all = append(all, fmt.Sprintf("%s: dead %v probe %v next %v hold %v", g.name, g.ejected, g.healthCheckAt, g.connectNotBefore, g.rejectedUntil))
		for _, cn := range g.conns {
			all = append(all, fmt.Sprintf("conn %d: up %v since %v asked %v used %v heard %v tries %d probing %v limbo %v", cn.id, cn.up, cn.startedAt,
				cn.healthCheckSentAt, cn.lastUsed, cn.lastReceived, len(cn.attempts), cn.checkingHealth, cn.unresponsive))
		}
	}
	return append(all, fmt.Sprint(at))
}
