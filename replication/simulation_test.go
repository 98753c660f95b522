package replication

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"larchusher/lab/virtualclock"
)

// simulation runs several nodes in simulated time, over links that lose, duplicate, delay and are severed; nodes are killed and come back as
// other incarnations, are suspended and go on; wall clocks are off. A checker of its own remembers what was purged.
type simulation struct {
	rng             *rand.Rand
	clock           virtualclock.Clock
	names           []string
	nodes           map[string]*host
	severed         map[[2]string]bool
	loss            float64
	duplication     float64
	maxDelay        time.Duration // a message takes up to so long
	lastIncarnation uint64
	purged          map[string]time.Duration // by name: the newest that was said, and lasted at somebody else
	bytes           int
	catchUpTimeout  time.Duration
}

type host struct {
	name       string
	node       *Node
	run        int
	clockRate  float64
	startedAt  time.Duration
	wallOffset time.Duration // of its wall clock
	suspended  bool
	inbox      []MessageReceived
	purges     map[string]time.Duration // learned, by the world's clock
	caughtUp   *CaughtUp
}

const purgeSettleTime = 6 * time.Second

func newSimulation(seed uint64, n int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 31)), nodes: map[string]*host{}, severed: map[[2]string]bool{}, purged: map[string]time.Duration{}, maxDelay: 4 * time.Millisecond}
	w.clock.Now = time.Second
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("g%d", i))
	}
	for _, name := range w.names {
		m := &host{name: name, clockRate: 0.97 + 0.06*w.rng.Float64()}
		w.nodes[name] = m
		w.startNode(m)
	}
	return w
}

func (w *simulation) startNode(m *host) {
	w.lastIncarnation++
	m.run++
	m.startedAt, m.suspended, m.inbox, m.purges, m.caughtUp = w.clock.Now, false, nil, map[string]time.Duration{}, nil
	var err error
	m.node, err = NewNode(Config{Self: Incarnation{m.name, w.lastIncarnation}, Members: w.names, PurgeSettleTime: purgeSettleTime, PullInterval: 200 * time.Millisecond, CatchUpTimeout: w.catchUpTimeout,
		WallClock: func() time.Duration { return time.Hour + w.clock.Now + m.wallOffset }, Seed: w.lastIncarnation})
	if err != nil {
		panic(err)
	}
	epoch := m.run
	var tick func()
	tick = func() {
		if m.run != epoch {
			return
		}
		if !m.suspended {
			w.handle(m, Tick{})
		}
		w.clock.At(w.clock.Now+50*time.Millisecond, tick)
	}
	w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(50))*time.Millisecond, tick)
}

func (w *simulation) localTime(m *host) time.Duration {
	return time.Minute + time.Duration(m.clockRate*float64(w.clock.Now-m.startedAt))
}

func (w *simulation) handle(m *host, e Event) {
	for _, a := range m.node.Handle(w.localTime(m), e, nil) {
		switch a := a.(type) {
		case Send:
			w.send(m.name, a.To, a.Message)
		case SafetySlotsLearned:
			for _, s := range a.Slots {
				if s.Kind == Purge {
					m.purges[s.Key] = w.clock.Now - (w.localTime(m) - s.SeenBefore)
				}
			}
		case CaughtUp:
			m.caughtUp = &a
		}
	}
}

func (w *simulation) send(from, to string, m Message) {
	for _, s := range m.Slots {
		w.bytes += 64 + len(s.Slot.Key) + len(s.Slot.Value)
	}
	if w.severed[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	times := 1
	if w.rng.Float64() < w.duplication {
		times = 2
	}
	for range times {
		w.clock.At(w.clock.Now+time.Duration(200_000+w.rng.Int64N(int64(w.maxDelay))), func() {
			if g := w.nodes[to]; g.node != nil && g.suspended {
				g.inbox = append(g.inbox, MessageReceived{from, m})
			} else if g.node != nil {
				w.handle(g, MessageReceived{from, m})
			}
		})
	}
}

// purge has a node receive a purge from its watch.
func (w *simulation) purge(name, key string) {
	m := w.nodes[name]
	if m.node == nil || m.suspended {
		return
	}
	m.purges[key] = w.clock.Now
	m.node.Publish(w.localTime(m), Purge, key, nil, w.localTime(m))
	w.purged[key] = w.clock.Now
}

// converged says whether all that live hold the same: what is young at one of them is at all others. What is about to run out may have
// run out elsewhere already, since clocks differ.
func (w *simulation) converged() bool { return w.divergence() == "" }

func (w *simulation) divergence() string {
	for _, a := range w.nodes {
		if a.node == nil || a.suspended {
			continue
		}
		now := w.localTime(a)
		for x, s := range a.node.slots {
			if now-s.SeenBefore > a.node.maxAge(s.Kind)*6/10 {
				continue
			}
			for _, b := range w.nodes {
				if b == a || b.node == nil || b.suspended {
					continue
				}
				if got := b.node.slots[x]; got == nil || got.Seq != s.Seq || string(got.Value) != string(s.Value) {
					return fmt.Sprintf("%s lacks %s %s of %v, number %d, which %s has", b.name, s.Kind, s.Key, s.Writer, s.Seq, a.name)
				}
			}
		}
	}
	return ""
}

// awaitConvergence waits until all are alike, and says how long that took.
func (w *simulation) awaitConvergence(most time.Duration) (time.Duration, bool) {
	from := w.clock.Now
	for w.clock.Now < from+most {
		if w.converged() {
			return w.clock.Now - from, true
		}
		w.clock.Advance(50 * time.Millisecond)
	}
	return most, false
}

// playSeed is one seeded run with faults. Two seconds after the last one all that run have converged, no purge is lost, and none has
// grown younger on its way.
func playSeed(seed uint64) (*simulation, string) {
	w := newSimulation(seed, 3+int(seed%5))
	for range w.rng.IntN(5) {
		w.injectFault(time.Duration(1500+w.rng.IntN(5000)) * time.Millisecond)
	}
	last := 9 * time.Second
	for i := range 40 {
		key := fmt.Sprintf("o%d", w.rng.IntN(12))
		name := w.names[w.rng.IntN(len(w.names))]
		w.clock.At(time.Duration(1200+w.rng.IntN(7000))*time.Millisecond, func() { w.publishAny(name, key, i) })
	}
	w.clock.At(last-2*time.Second, func() { w.purge(w.names[w.rng.IntN(len(w.names))], "late") })
	w.clock.At(last, func() { clear(w.severed); w.loss, w.duplication, w.maxDelay = 0, 0, 4*time.Millisecond })
	w.clock.Run(last + time.Millisecond)
	for _, m := range w.nodes {
		if m.node == nil { // those that are down come back within four seconds
			w.clock.Advance(4 * time.Second)
		}
	}
	w.clock.Advance(2 * time.Second)
	if !w.converged() {
		return w, "two seconds after the last fault: " + w.divergence()
	}
	return w, w.lostPurge()
}

// publishAny has a node write a slot of a drawn kind.
func (w *simulation) publishAny(name, key string, i int) {
	m := w.nodes[name]
	if m.node == nil || m.suspended {
		return
	}
	switch w.rng.IntN(4) {
	case 0:
		w.purge(name, key)
	case 1:
		m.node.Publish(w.localTime(m), Health, "b1", Encode(HealthValue{ErrorRate: float64(w.rng.IntN(10)) / 10}), w.localTime(m))
	case 2:
		m.node.Publish(w.localTime(m), Listing, key, Encode(ListingValue{Server: fmt.Sprintf("b%d", w.rng.IntN(4)), Requests: float64(i)}), w.localTime(m))
	case 3:
		m.node.Publish(w.localTime(m), 77, key, []byte{byte(i)}, w.localTime(m)) // of a later version
	}
}

// lostPurge names a young purge that a node that runs has learned and another one does not know, or knows as older than it is; empty:
// there is none.
func (w *simulation) lostPurge() string {
	for key, at := range w.purged {
		if w.clock.Now-at > purgeSettleTime-time.Second {
			continue
		}
		learned := false
		for _, m := range w.nodes {
			learned = learned || m.node != nil && !m.suspended && m.purges[key] >= at-time.Millisecond
		}
		for _, m := range w.nodes {
			got, ok := m.node.Purges(w.localTime(m))[key]
			outdated := w.clock.Now-(w.localTime(m)-got) < at-500*time.Millisecond
			if learned && (!ok || outdated) {
				return fmt.Sprintf("%s does not know of the purge of %s at %v", m.name, key, at)
			}
		}
	}
	return ""
}

// EXPLORE sets how many runs.
func TestSeededRuns(t *testing.T) {
	n := 300
	if x, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		n = x
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	next, taken := 0, uint64(0)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= n || t.Failed() {
					return
				}
				w, bad := playSeed(uint64(seed))
				if bad != "" {
					t.Errorf("seed %d: %s", seed, bad)
				}
				mu.Lock()
				for _, m := range w.nodes {
					if m.node != nil {
						taken += m.node.Counters.Merged
					}
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if taken < uint64(n)*20 {
		t.Errorf("%d slots were taken in %d runs", taken, n)
	}
}

// A node that restarts catches up with what all know; the peer that it pulls from dies half way, and another one continues.
func TestCatchingUpGoesOnWithAnother(t *testing.T) {
	w := newSimulation(5, 3)
	w.clock.Advance(2 * time.Second)
	g0 := w.nodes["g0"]
	for i := range 3000 {
		g0.node.bulkBudget = 1e9
		g0.node.Publish(w.localTime(g0), Listing, fmt.Sprintf("o%d", i), Encode(ListingValue{Server: "b1", Requests: 1}), w.localTime(g0))
	}
	if _, ok := w.awaitConvergence(20 * time.Second); !ok {
		t.Fatal("the listings do not spread")
	}
	back := w.nodes["g2"]
	w.startNode(back)
	for back.node.Len() < 1000 {
		w.clock.Advance(time.Millisecond)
		if back.caughtUp != nil {
			t.Fatalf("it says that it has caught up with %d", back.node.Len())
		}
	}
	from := back.node.pull.to
	w.nodes[from].run++
	w.nodes[from].node = nil
	half := back.node.Counters.Merged
	w.clock.Advance(6 * time.Second)
	if back.caughtUp == nil || back.caughtUp.From == from || back.node.Count(Listing) < 3000 {
		t.Fatalf("%+v after %d of 3000", back.caughtUp, back.node.Count(Listing))
	}
	if again := back.node.Counters.Duplicates; again > 400 || half < 900 {
		t.Errorf("%d of %d were sent again", again, half)
	}
}

// Nobody is there: it goes on without after the stated time; all start at once: none waits for the others.
func TestCatchingUpNeverWaitsForEver(t *testing.T) {
	w := newSimulation(6, 3)
	w.clock.Advance(4 * time.Second)
	for _, m := range w.nodes {
		if m.caughtUp == nil || m.caughtUp.Took > time.Second {
			t.Errorf("%s: all began together, and it waited: %+v", m.name, m.caughtUp)
		}
	}
	m := w.nodes["g1"]
	for _, n := range []string{"g0", "g2"} {
		w.severed[[2]string{n, "g1"}] = true
	}
	w.startNode(m)
	w.clock.Advance(DefaultCatchUpTimeout - 100*time.Millisecond)
	if m.caughtUp != nil {
		t.Fatalf("too soon: %+v", m.caughtUp)
	}
	w.clock.Advance(300 * time.Millisecond)
	if m.caughtUp == nil || m.caughtUp.From != "" {
		t.Errorf("it waits for ever: %+v", m.caughtUp)
	}
}

// A purge is with all others sooner than the bulk that was there before it.
func TestAPurgeIsNotQueuedBehindListings(t *testing.T) {
	w := newSimulation(8, 5)
	w.clock.Advance(2 * time.Second)
	g0 := w.nodes["g0"]
	for i := range 20000 {
		g0.node.bulkBudget = 1e9
		g0.node.Publish(w.localTime(g0), Listing, fmt.Sprintf("o%d", i), Encode(ListingValue{Server: "b1"}), w.localTime(g0))
	}
	w.clock.Advance(300 * time.Millisecond)
	w.purge("g0", "x")
	at := w.clock.Now
	for w.clock.Now < at+2*time.Second {
		all := true
		for _, m := range w.nodes {
			all = all && m.node.Purges(w.localTime(m))["x"] > 0
		}
		if all {
			break
		}
		w.clock.Advance(5 * time.Millisecond)
	}
	took := w.clock.Now - at
	if full := w.nodes["g4"].node.Count(Listing); took > 300*time.Millisecond || full >= 16000 {
		t.Errorf("it took %v, with %d listings there", took, full)
	}
}

// Two copies hold different things under one number, and one has lost some without knowing: stretches that are compared tell, it is
// noted, and all settle on the same.
func TestWhatDiffersIsFoundAndSettled(t *testing.T) {
	w := newSimulation(9, 3)
	w.clock.Advance(time.Second)
	g0, g1 := w.nodes["g0"], w.nodes["g1"]
	say := func() {
		for i := range 30 {
			g0.node.bulkBudget = 1e9
			g0.node.Publish(w.localTime(g0), Listing, fmt.Sprintf("o%d", i), Encode(ListingValue{Server: "b1", Requests: 1}), w.localTime(g0))
		}
	}
	say()
	if _, ok := w.awaitConvergence(10 * time.Second); !ok {
		t.Fatal("the listings do not spread")
	}
	for i := range 5 {
		x := g1.node.slots[slotID{Listing, fmt.Sprintf("o%d", i), g0.node.self}]
		if i == 0 {
			x.Value = Encode(ListingValue{Server: "b9"})
		} else {
			g1.node.remove(x)
		}
	}
	if w.converged() {
		t.Fatal("nothing differs")
	}
	took, ok := w.awaitConvergence(60 * time.Second)
	if !ok {
		t.Fatalf("it is not settled: %s", w.divergence())
	}
	noted := 0
	for _, m := range w.nodes {
		for _, d := range m.node.Divergences() {
			if noted++; d.Writer != g0.node.self {
				t.Errorf("%+v", d)
			}
		}
	}
	if noted == 0 {
		t.Errorf("settled after %v, and nobody noted it", took)
	}
}
