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

// world runs several nodes in simulated time, before links that lose, double, delay and cut; nodes are killed and come back as other
// lives, stop and go on; wall clocks are off. A checker of its own remembers what was said.
type world struct {
	rng    *rand.Rand
	clock  virtualclock.Clock
	names  []string
	nodes  map[string]*member
	cut    map[[2]string]bool
	loss   float64
	double float64
	slow   time.Duration // a message takes up to so long
	lives  uint64
	purged map[string]time.Duration // by name: the newest that was said, and lasted at somebody else
	bad    string
	bytes  int
	wait   time.Duration
}

type member struct {
	name    string
	node    *Node
	epoch   int
	pace    float64
	base    time.Duration
	off     time.Duration // of its wall clock
	stopped bool
	inbox   []MessageReceived
	purges  map[string]time.Duration // learned, by the world's clock
	caught  *CaughtUp
}

const settles = 6 * time.Second

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 31)), nodes: map[string]*member{}, cut: map[[2]string]bool{}, purged: map[string]time.Duration{}, slow: 4 * time.Millisecond}
	w.clock.Now = time.Second
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("g%d", i))
	}
	for _, name := range w.names {
		m := &member{name: name, pace: 0.97 + 0.06*w.rng.Float64()}
		w.nodes[name] = m
		w.begin(m)
	}
	return w
}

func (w *world) begin(m *member) {
	w.lives++
	m.epoch++
	m.base, m.stopped, m.inbox, m.purges, m.caught = w.clock.Now, false, nil, map[string]time.Duration{}, nil
	var err error
	m.node, err = NewNode(Config{Self: Incarnation{m.name, w.lives}, Members: w.names, PurgeSettleTime: settles, PullInterval: 200 * time.Millisecond, CatchUpTimeout: w.wait,
		WallClock: func() time.Duration { return time.Hour + w.clock.Now + m.off }, Seed: w.lives})
	if err != nil {
		panic(err)
	}
	epoch := m.epoch
	var tick func()
	tick = func() {
		if m.epoch != epoch {
			return
		}
		if !m.stopped {
			w.do(m, Tick{})
		}
		w.clock.At(w.clock.Now+50*time.Millisecond, tick)
	}
	w.clock.At(w.clock.Now+time.Duration(w.rng.IntN(50))*time.Millisecond, tick)
}

func (w *world) local(m *member) time.Duration {
	return time.Minute + time.Duration(m.pace*float64(w.clock.Now-m.base))
}

func (w *world) do(m *member, e Event) {
	for _, a := range m.node.Handle(w.local(m), e, nil) {
		switch a := a.(type) {
		case Send:
			w.send(m.name, a.To, a.Message)
		case SafetySlotsLearned:
			for _, s := range a.Slots {
				if s.Kind == Purge {
					m.purges[s.Key] = w.clock.Now - (w.local(m) - s.SeenBefore)
				}
			}
		case CaughtUp:
			m.caught = &a
		}
	}
}

func (w *world) send(from, to string, m Message) {
	for _, s := range m.Slots {
		w.bytes += 64 + len(s.Slot.Key) + len(s.Slot.Value)
	}
	if w.cut[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	times := 1
	if w.rng.Float64() < w.double {
		times = 2
	}
	for range times {
		w.clock.At(w.clock.Now+time.Duration(200_000+w.rng.Int64N(int64(w.slow))), func() {
			if g := w.nodes[to]; g.node != nil && g.stopped {
				g.inbox = append(g.inbox, MessageReceived{from, m})
			} else if g.node != nil {
				w.do(g, MessageReceived{from, m})
			}
		})
	}
}

// purge has a node hear of a purge from its journal.
func (w *world) purge(name, key string) {
	m := w.nodes[name]
	if m.node == nil || m.stopped {
		return
	}
	m.purges[key] = w.clock.Now
	m.node.Publish(w.local(m), Purge, key, nil, w.local(m))
	w.purged[key] = w.clock.Now
}

// alike says whether all that live hold the same: what is young at one of them is at all others. What is about to run out may have
// run out elsewhere already, since clocks differ.
func (w *world) alike() bool { return w.lacking() == "" }

func (w *world) lacking() string {
	for _, a := range w.nodes {
		if a.node == nil || a.stopped {
			continue
		}
		now := w.local(a)
		for x, s := range a.node.slots {
			if now-s.SeenBefore > a.node.maxAge(s.Kind)*6/10 {
				continue
			}
			for _, b := range w.nodes {
				if b == a || b.node == nil || b.stopped {
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

// settle waits until all are alike, and says how long that took.
func (w *world) settle(most time.Duration) (time.Duration, bool) {
	from := w.clock.Now
	for w.clock.Now < from+most {
		if w.alike() {
			return w.clock.Now - from, true
		}
		w.clock.Pass(50 * time.Millisecond)
	}
	return most, false
}

func (w *world) trouble(at time.Duration) {
	w.clock.At(at, func() {
		m := w.nodes[w.names[w.rng.IntN(len(w.names))]]
		long := time.Duration(200+w.rng.IntN(4000)) * time.Millisecond
		switch w.rng.IntN(6) {
		case 0, 1:
			if m.node == nil {
				return
			}
			m.epoch++
			m.node = nil
			w.clock.At(w.clock.Now+long, func() { w.begin(m) })
		case 2:
			if m.node == nil || m.stopped {
				return
			}
			m.stopped = true
			epoch := m.epoch
			w.clock.At(w.clock.Now+long, func() {
				if m.epoch != epoch {
					return
				}
				m.stopped = false
				for _, h := range m.inbox {
					w.do(m, h)
				}
				m.inbox = nil
			})
		case 3, 4:
			side, oneWay := map[string]bool{}, w.rng.IntN(2) == 0
			for _, n := range w.names {
				side[n] = w.rng.IntN(2) == 0
			}
			for _, a := range w.names {
				for _, b := range w.names {
					if side[a] && !side[b] || !oneWay && side[a] != side[b] {
						w.cut[[2]string{a, b}] = true
					}
				}
			}
			w.clock.At(w.clock.Now+long, func() { clear(w.cut) })
		case 5:
			w.loss, w.double, w.slow = 0.3*w.rng.Float64(), 0.3*w.rng.Float64(), 300*time.Millisecond
			m.off = time.Duration(w.rng.IntN(60000)-30000) * time.Millisecond
			w.clock.At(w.clock.Now+long, func() { w.loss, w.double, w.slow = 0, 0, 4*time.Millisecond })
		}
	})
}

// play is one seeded run with troubles. After the last one all that live are alike within two seconds, no purge is lost, and none has
// grown young on its way.
func play(seed uint64) (*world, string) {
	w := newWorld(seed, 3+int(seed%5))
	for range w.rng.IntN(5) {
		w.trouble(time.Duration(1500+w.rng.IntN(5000)) * time.Millisecond)
	}
	last := 9 * time.Second
	for i := range 40 {
		key := fmt.Sprintf("o%d", w.rng.IntN(12))
		name := w.names[w.rng.IntN(len(w.names))]
		w.clock.At(time.Duration(1200+w.rng.IntN(7000))*time.Millisecond, func() {
			m := w.nodes[name]
			if m.node == nil || m.stopped {
				return
			}
			switch w.rng.IntN(4) {
			case 0:
				w.purge(name, key)
			case 1:
				m.node.Publish(w.local(m), Health, "b1", Encode(HealthValue{ErrorRate: float64(w.rng.IntN(10)) / 10}), w.local(m))
			case 2:
				m.node.Publish(w.local(m), Listing, key, Encode(ListingValue{Server: fmt.Sprintf("b%d", w.rng.IntN(4)), Requests: float64(i)}), w.local(m))
			case 3:
				m.node.Publish(w.local(m), 77, key, []byte{byte(i)}, w.local(m)) // of a later version
			}
		})
	}
	w.clock.At(last-2*time.Second, func() { w.purge(w.names[w.rng.IntN(len(w.names))], "late") })
	w.clock.At(last, func() { clear(w.cut); w.loss, w.double, w.slow = 0, 0, 4*time.Millisecond })
	w.clock.Run(last + time.Millisecond)
	for _, m := range w.nodes {
		if m.node == nil { // those that are down come back within four seconds
			w.clock.Pass(4 * time.Second)
		}
	}
	w.clock.Pass(2 * time.Second)
	if !w.alike() {
		return w, "two seconds after the last trouble: " + w.lacking()
	}
	for key, at := range w.purged {
		if w.clock.Now-at > settles-time.Second {
			continue
		}
		kept := false
		for _, m := range w.nodes { // somebody who lives has heard of it, and so has everybody
			kept = kept || m.node != nil && !m.stopped && m.purges[key] >= at-time.Millisecond
		}
		for _, m := range w.nodes {
			if got, ok := m.node.Purges(w.local(m))[key]; kept && (!ok || w.clock.Now-(w.local(m)-got) < at-500*time.Millisecond) {
				return w, fmt.Sprintf("%s does not know of the purge of %s at %v", m.name, key, at)
			}
		}
	}
	return w, w.bad
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
				w, bad := play(uint64(seed))
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

// One that returns catches up with what all know; its neighbour dies after half of it, and another one goes on.
func TestCatchingUpGoesOnWithAnother(t *testing.T) {
	w := newWorld(5, 3)
	w.clock.Pass(2 * time.Second)
	g0 := w.nodes["g0"]
	for i := range 3000 {
		g0.node.bulkBudget = 1e9
		g0.node.Publish(w.local(g0), Listing, fmt.Sprintf("o%d", i), Encode(ListingValue{Server: "b1", Requests: 1}), w.local(g0))
	}
	if _, ok := w.settle(20 * time.Second); !ok {
		t.Fatal("the listings do not spread")
	}
	back := w.nodes["g2"]
	w.begin(back)
	for back.node.Len() < 1000 {
		w.clock.Pass(time.Millisecond)
		if back.caught != nil {
			t.Fatalf("it says that it has caught up with %d", back.node.Len())
		}
	}
	from := back.node.pull.to
	w.nodes[from].epoch++
	w.nodes[from].node = nil
	half := back.node.Counters.Merged
	w.clock.Pass(6 * time.Second)
	if back.caught == nil || back.caught.From == from || back.node.Count(Listing) < 3000 {
		t.Fatalf("%+v after %d of 3000", back.caught, back.node.Count(Listing))
	}
	if again := back.node.Counters.Duplicates; again > 400 || half < 900 {
		t.Errorf("%d of %d were sent again", again, half)
	}
}

// Nobody is there: it goes on without after the stated time; all start at once: none waits for the others.
func TestCatchingUpNeverWaitsForEver(t *testing.T) {
	w := newWorld(6, 3)
	w.clock.Pass(4 * time.Second)
	for _, m := range w.nodes {
		if m.caught == nil || m.caught.Took > time.Second {
			t.Errorf("%s: all began together, and it waited: %+v", m.name, m.caught)
		}
	}
	m := w.nodes["g1"]
	for _, n := range []string{"g0", "g2"} {
		w.cut[[2]string{n, "g1"}] = true
	}
	w.begin(m)
	w.clock.Pass(DefaultCatchUpTimeout - 100*time.Millisecond)
	if m.caught != nil {
		t.Fatalf("too soon: %+v", m.caught)
	}
	w.clock.Pass(300 * time.Millisecond)
	if m.caught == nil || m.caught.From != "" {
		t.Errorf("it waits for ever: %+v", m.caught)
	}
}

// A purge is with all others sooner than the bulk that was there before it.
func TestAPurgeIsNotQueuedBehindListings(t *testing.T) {
	w := newWorld(8, 5)
	w.clock.Pass(2 * time.Second)
	g0 := w.nodes["g0"]
	for i := range 20000 {
		g0.node.bulkBudget = 1e9
		g0.node.Publish(w.local(g0), Listing, fmt.Sprintf("o%d", i), Encode(ListingValue{Server: "b1"}), w.local(g0))
	}
	w.clock.Pass(300 * time.Millisecond)
	w.purge("g0", "x")
	at := w.clock.Now
	for w.clock.Now < at+2*time.Second {
		all := true
		for _, m := range w.nodes {
			all = all && m.node.Purges(w.local(m))["x"] > 0
		}
		if all {
			break
		}
		w.clock.Pass(5 * time.Millisecond)
	}
	took := w.clock.Now - at
	if full := w.nodes["g4"].node.Count(Listing); took > 300*time.Millisecond || full >= 16000 {
		t.Errorf("it took %v, with %d listings there", took, full)
	}
}

// Two copies hold different things under one number, and one has lost some without knowing: stretches that are compared tell, it is
// noted, and all settle on the same.
func TestWhatDiffersIsFoundAndSettled(t *testing.T) {
	w := newWorld(9, 3)
	w.clock.Pass(time.Second)
	g0, g1 := w.nodes["g0"], w.nodes["g1"]
	say := func() {
		for i := range 30 {
			g0.node.bulkBudget = 1e9
			g0.node.Publish(w.local(g0), Listing, fmt.Sprintf("o%d", i), Encode(ListingValue{Server: "b1", Requests: 1}), w.local(g0))
		}
	}
	say()
	if _, ok := w.settle(10 * time.Second); !ok {
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
	if w.alike() {
		t.Fatal("nothing differs")
	}
	took, ok := w.settle(60 * time.Second)
	if !ok {
		t.Fatalf("it is not settled: %s", w.lacking())
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
