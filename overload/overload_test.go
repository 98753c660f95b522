package overload

import (
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func site() []Class {
	return []Class{{Name: "replay", PriorityWeight: 2}, {Name: "assets", PriorityWeight: 1}, {Name: "turn", PriorityWeight: 3}}
}

func TestBandsGoByWorth(t *testing.T) {
	for _, first := range []bool{false, true} {
		o := NewOrder(site(), first)
		want := []string{"turn", "turn+repeat", "replay", "replay+repeat", "assets", "assets+repeat", "unknown"}
		if first {
			want = []string{"turn+repeat", "turn", "replay+repeat", "replay", "assets+repeat", "assets", "unknown"}
		}
		for b, name := range want {
			class, repeat := strings.CutSuffix(name, "+repeat")
			if got := o.Band(class, repeat); got != b && b < 6 || o.Name(b) != name {
				t.Errorf("repeats first %v: %s is in band %d, and band %d is %s", first, name, got, b, o.Name(b))
			}
		}
		if o.BandOf([]byte("nonsense"), true) != 6 || o.Bands() != 7 {
			t.Error("what nobody knows is not last")
		}
	}
	costly := NewOrder([]Class{{Name: "big", PriorityWeight: 2, Cost: 4}, {Name: "small", PriorityWeight: 1}}, false)
	if costly.Band("small", false) != 0 || costly.Cost(costly.Band("big", false)) != 4 {
		t.Error("worth counts for each unit of cost")
	}
}

func TestConfigNamesWhatIsWrong(t *testing.T) {
	for want, c := range map[string]Config{
		"Classes is empty":             {},
		`Classes[1]: "a" stands twice`: {Classes: []Class{{Name: "a"}, {Name: "a"}}},
		"Classes[0].Worth: NaN":        {Classes: []Class{{Name: "a", PriorityWeight: math.NaN()}}},
		"Wait is negative":             {Classes: site(), MaxWait: -1},
		"Probe: 2":                     {Classes: site(), ProbeShare: 2},
		"Memory is negative":           {Classes: site(), MemoryLimit: -1},
		"Target 1s is over Wait 150ms": {Classes: site(), TargetWait: time.Second},
		"StallLeast is negative":       {Classes: site(), MinPause: -1},
		"Classes[0].Cost: -1":          {Classes: []Class{{Name: "a", Cost: -1}}},
	} {
		if _, err := NewController(c, NewOrder(c.Classes, false)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// Whatever is pushed, taken back and let expire: the queue hands out by bands, in each front's order, nothing twice,
// and counts right.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bands, fronts = 4, 2
		q := NewQueue(bands, fronts, 20*ms)
		type entry struct {
			item        *Item
			band, front int
			at          time.Duration
		}
		var in []*entry
		now := time.Duration(0)
		drop := func(i *Item) *entry {
			for k, e := range in {
				if e.item == i {
					in = append(in[:k:k], in[k+1:]...)
					return e
				}
			}
			t.Fatal("an item that was not in")
			return nil
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				e := &entry{item: &Item{}, band: rapid.IntRange(0, bands-1).Draw(t, "band"),
					front: rapid.IntRange(0, fronts-1).Draw(t, "front"), at: now}
				q.Push(e.item, e.band, e.front, now)
				q.Push(e.item, 0, 0, now) // a second time changes nothing
				in = append(in, e)
			case 2:
				if i := q.Pop(); i != nil {
					got := drop(i)
					for _, e := range in {
						if e.band < got.band || e.band == got.band && e.front == got.front && e.at < got.at {
							t.Fatalf("band %d front %d came before band %d front %d", got.band, got.front, e.band, e.front)
						}
					}
				} else if len(in) > 0 {
					t.Fatal("nothing is handed out")
				}
			case 3:
				if len(in) > 0 {
					e := in[rapid.IntRange(0, len(in)-1).Draw(t, "which")]
					q.Remove(e.item)
					q.Remove(e.item)
					drop(e.item)
				}
			case 4:
				for i := q.PopExpired(now); i != nil; i = q.PopExpired(now) {
					if e := drop(i); now-e.at <= 20*ms {
						t.Fatalf("expired after %v", now-e.at)
					}
				}
				for _, e := range in {
					if now-e.at > 20*ms {
						t.Fatalf("kept for %v", now-e.at)
					}
				}
			}
			if q.Len() != len(in) {
				t.Fatalf("%d are in, and it says %d", len(in), q.Len())
			}
		}
	})
}

// What waits keeps its order and the time that it has waited when there are other bands.
func TestWhatWaitsMovesToOtherBands(t *testing.T) {
	q := NewQueue(3, 2, 100*ms)
	q.AddPausedTime(30 * ms)
	var items [6]Item
	for i := range items {
		items[i].Value = i
		q.Push(&items[i], i%3, i%2, time.Duration(i)*ms)
		q.AddPausedTime(10 * ms)
	}
	waited := [6]time.Duration{}
	for i := range items {
		waited[i] = q.Waited(&items[i], time.Second)
	}
	next := q.Rebanded(5, func(v any) int { return 4 - v.(int)%2 })
	if q.Len() != 0 || next.Len() != 6 || next.Queued()[4] != 3 || next.Queued()[3] != 3 {
		t.Fatalf("%d were left behind, %d moved: %v", q.Len(), next.Len(), next.Queued())
	}
	for i := range items {
		if got := next.Waited(&items[i], time.Second); got != waited[i] {
			t.Errorf("item %d waited %v, and %v after the move", i, waited[i], got)
		}
	}
	next.Remove(&items[3])
	for _, want := range []int{1, 5, 0, 2, 4} {
		if got := next.Pop(); got.Value != want {
			t.Errorf("%v came before %d", got.Value, want)
		}
	}
}

func TestQueueTakesTheFrontsByTurns(t *testing.T) {
	q := NewQueue(1, 3, time.Second)
	for n := range 10 {
		q.Push(&Item{Value: 0}, 0, 0, time.Duration(n))
	}
	q.Push(&Item{Value: 1}, 0, 1, 100)
	q.Push(&Item{Value: 2}, 0, 2, 100)
	seen := map[any]bool{}
	for range 3 {
		seen[q.Pop().Value] = true
	}
	if len(seen) != 3 {
		t.Errorf("of three fronts, %v were served in three turns", seen)
	}
}

// A stall of the host is no waiting, and what piled up in it gets more time, for a while.
func TestQueueForgivesStalls(t *testing.T) {
	q := NewQueue(1, 1, 20*ms)
	i, j := &Item{}, &Item{}
	q.Push(i, 0, 0, 0)
	q.Paused(300*ms, 300*ms)
	q.Push(j, 0, 0, 300*ms)
	if w := q.Waited(i, 310*ms); w != 10*ms {
		t.Errorf("waited %v", w)
	}
	if q.PopExpired(610*ms) != nil || q.PopExpired(625*ms) != i {
		t.Error("the time after a stall is not 20 ms and the stall's length")
	}
	if q.WaitLimit(2200*ms) != 20*ms {
		t.Error("the grace does not end")
	}
}

// machine is a gateway of a certain capacity, in time steps of a tick: what it can't serve waits, and expires.
type machine struct {
	ctl   *Controller
	order *Order
	door  *AdmissionController
	queue *Queue
	cap   float64 // requests a tick
	now   time.Duration
	draw  uint64
	got   map[int]float64 // served, by band
	asked map[int]float64
	by    map[int]float64 // served, by front
	owed  float64
}

func newMachine(t testing.TB, capacity float64) *machine {
	cfg := Config{Classes: site(), Fronts: 2}
	order := NewOrder(cfg.Classes, false)
	ctl, err := NewController(cfg, order)
	if err != nil {
		t.Fatal(err)
	}
	return &machine{ctl: ctl, order: order, door: NewAdmissionController(order.Bands(), 2), cap: capacity,
		queue: NewQueue(order.Bands(), 2, DefaultMaxWait), got: map[int]float64{}, asked: map[int]float64{}, by: map[int]float64{}}
}

type load struct {
	class  string
	repeat bool
	front  int
	n      float64 // a tick
}

func (m *machine) tick(loads ...load) {
	s := Sample{}
	for _, l := range loads {
		band := m.order.Band(l.class, l.repeat)
		for range int(l.n) {
			m.draw = m.draw*6364136223846793005 + 1442695040888963407
			m.asked[band]++
			if _, ok := m.door.Admit(l.front, band, m.draw>>33); ok {
				m.queue.Push(&Item{Value: l.front}, band, l.front, m.now)
			}
		}
	}
	m.now += DefaultTick
	for i := m.queue.PopExpired(m.now); i != nil; i = m.queue.PopExpired(m.now) {
		s.ExpiredCost++
	}
	for m.owed += m.cap; m.owed >= 1; m.owed-- {
		i := m.queue.Pop()
		if i == nil {
			m.owed = 0
			break
		}
		s.StartedCost++
		s.LongestWait = max(s.LongestWait, m.queue.Waited(i, m.now)-DefaultTick)
		m.got[i.band]++
		m.by[i.Value.(int)]++
	}
	s.LongestWait, s.Queued = max(s.LongestWait, m.queue.LongestWait(m.now)), m.queue.Queued()
	m.door.SetPolicy(m.ctl.Tick(s, m.door))
}

func (m *machine) reset() { clear(m.got); clear(m.asked); clear(m.by) }

func (m *machine) share(class string) float64 {
	b := m.order.Band(class, false)
	return m.got[b] / max(1, m.asked[b])
}

// Three times what it can do, with any mix: what is served stays at capacity, and no class is shed while one of less
// worth is let in beyond a little.
func TestOverloadIsShedByWorth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(20, 600).Draw(t, "capacity")
		over := rapid.Float64Range(1.3, 10).Draw(t, "over")
		turns := rapid.Float64Range(0, 0.3).Draw(t, "turns")
		replays := rapid.Float64Range(0, 1).Draw(t, "replays") * (1 - turns)
		m := newMachine(&testing.B{}, capacity)
		all := capacity * over
		loads := []load{{"turn", false, 0, all * turns}, {"replay", false, 0, all * replays},
			{"assets", false, 0, all * (1 - turns - replays)}}
		for range 100 {
			m.tick(loads...)
		}
		m.reset()
		for range 200 {
			m.tick(loads...)
		}
		served := 0.0
		for _, n := range m.got {
			served += n
		}
		if served < 0.93*200*capacity-200 {
			t.Fatalf("served %.0f of %.0f", served, 200*capacity)
		}
		shares := []float64{m.share("turn"), m.share("replay"), m.share("assets")}
		for i, better := range shares[:2] {
			for k, worse := range shares[i+1:] {
				if asked := []float64{all * turns, all * replays}[i]; asked >= 5 && better < 0.97 && worse > 0.06 {
					t.Fatalf("of class %d %.2f are served, and of class %d %.2f", i, better, i+1+k, worse)
				}
			}
		}
	})
}

func TestBelowCapacityNothingIsShed(t *testing.T) {
	m := newMachine(t, 300)
	for i := range 500 {
		n := 270.0
		if i%10 == 3 { // a burst of one tick's work
			n = 500
		} else if i%10 < 6 {
			n = 240
		}
		m.tick(load{"assets", false, 0, n})
		if m.ctl.ShedLevel() > 0.02 {
			t.Fatalf("tick %d: level %.2f", i, m.ctl.ShedLevel())
		}
	}
	if m.share("assets") < 0.999 {
		t.Errorf("%.4f served", m.share("assets"))
	}
}

// A jump from 0.3 to 3 times capacity is met within some ticks, and a second after its end all is let in.
func TestJumpAndReturn(t *testing.T) {
	m := newMachine(t, 300)
	calm, high := load{"assets", false, 0, 90}, []load{{"turn", false, 0, 30}, {"replay", false, 0, 450}, {"assets", false, 0, 420}}
	for range 50 {
		m.tick(calm)
	}
	for i := range 100 {
		m.tick(high...)
		if i == 15 { // 300 ms into it
			m.reset()
		}
	}
	if m.share("turn") < 0.99 || m.share("replay") < 0.5 || m.share("assets") > 0.05 {
		t.Errorf("turns %.2f, replays %.2f, assets %.2f", m.share("turn"), m.share("replay"), m.share("assets"))
	}
	for range 25 {
		m.tick(calm)
	}
	m.reset()
	for range 50 {
		m.tick(calm)
	}
	if m.share("assets") < 0.98 {
		t.Errorf("half a second after the load fell %.2f are served", m.share("assets"))
	}
}

// Hiccups pile replays up, and reading comes in bursts; replays fit. They ride it out, and assets make room: with the door
// of before 2 % of the replays were shed, beside 22 % of the assets served.
func TestABandThatFitsRidesOutHiccups(t *testing.T) {
	m := newMachine(t, 300)
	for i := range 600 {
		if i == 100 {
			m.reset()
		}
		if m.cap = 300; i%25 >= 23 { // 40 ms in half a second are lost,
			m.cap = 0
		}
		burst := float64(1 + i%2) // and of two ticks' requests two thirds come in the second
		m.tick(load{"turn", false, 0, 10}, load{"replay", false, 0, 150 * burst}, load{"assets", false, 0, 140 * burst})
	}
	if m.share("replay") < 0.99 || m.share("turn") < 1 {
		t.Errorf("turns %.3f, replays %.3f, assets %.3f", m.share("turn"), m.share("replay"), m.share("assets"))
	}
}

func TestFrontsShareEvenly(t *testing.T) {
	m := newMachine(t, 300)
	for i := range 300 {
		if i == 100 {
			m.reset()
		}
		m.tick(load{"replay", false, 0, 60}, load{"replay", false, 1, 3000})
	}
	if m.by[0] < 0.97*200*60 {
		t.Errorf("beside a flood by another front, %.0f of %d are served", m.by[0], 200*60)
	}
}

func TestAllRepeats(t *testing.T) {
	m := newMachine(t, 100)
	for i := range 300 {
		if i == 100 {
			m.reset()
		}
		m.tick(load{"replay", true, 0, 300})
	}
	if got := m.got[m.order.Band("replay", true)]; got < 0.93*200*100 {
		t.Errorf("served %.0f of %d", got, 200*100)
	}
}

func TestAPollerThatIsBehindClosesTheDoor(t *testing.T) {
	m := newMachine(t, 1000)
	for range 100 {
		for range 100 {
			m.door.Admit(0, 4, 1)
		}
		m.door.SetPolicy(m.ctl.Tick(Sample{LoopLag: 100 * ms, StartedCost: 100}, m.door))
	}
	if m.ctl.ShedLevel() < 0.5 {
		t.Errorf("level %.2f", m.ctl.ShedLevel())
	}
}

// After a stall the samples say nothing of load.
func TestStalledTicksChangeNothing(t *testing.T) {
	m := newMachine(t, 100)
	for range 50 {
		if m.ctl.Tick(Sample{Paused: true, LongestWait: time.Second, ExpiredCost: 10}, m.door) != nil {
			t.Fatal("the door is closed")
		}
	}
}

func TestDoorLetsTheRightShareIn(t *testing.T) {
	d := NewAdmissionController(1, 1)
	d.SetPolicy(&AdmissionPolicy{Admit: [][]uint32{{whole / 4}}, RetryAfter: time.Second})
	var mu sync.Mutex
	var all sync.WaitGroup
	in, least, most := 0, time.Hour, time.Duration(0)
	for w := range 4 {
		all.Go(func() {
			for i := range 10000 {
				draw := (uint64(w)*10000 + uint64(i)) * 0x9e3779b97f4a7c15 >> 13
				later, ok := d.Admit(0, 0, draw)
				mu.Lock()
				if ok {
					in++
				} else {
					least, most = min(least, later), max(most, later)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if in < 9500 || in > 10500 || d.Offered(0, 0) != 40000 || d.Shed(0, 0) != uint64(40000-in) {
		t.Errorf("%d of 40000 are in, %d shed", in, d.Shed(0, 0))
	}
	if least < 750*ms || most > 1250*ms || most-least < 450*ms {
		t.Errorf("advice from %v to %v", least, most)
	}
}

func TestPulseTellsStallsFromWork(t *testing.T) {
	p := NewSchedulingMonitor(20*ms, 40*ms)
	p.Tick(0, 0)
	for _, b := range []struct {
		name     string
		now, cpu time.Duration
		stalled  bool
	}{{"a beat", 20 * ms, 10 * ms, false}, {"300 ms of own work", 320 * ms, 300 * ms, false},
		{"a short gap", 370 * ms, 301 * ms, false}, {"300 ms without running", 690 * ms, 302 * ms, true},
		{"the next beat", 710 * ms, 303 * ms, false}, {"a throttled quarter", 805 * ms, 320 * ms, true}} {
		if got := p.Tick(b.now, b.cpu); (got > 0) != b.stalled {
			t.Errorf("%s: stalled %v", b.name, got)
		}
	}
	if p.FrequentPauses(805 * ms) {
		t.Error("two stalls are not often")
	}
	for i := range time.Duration(4) {
		p.Tick(1000*ms+i*100*ms, 320*ms)
	}
	if !p.FrequentPauses(1300*ms) || p.FrequentPauses(2500*ms) {
		t.Error("four stalls in half a second are often, and not for good")
	}
	p.Pauses, p.PausedTime = p.Pauses-4, p.PausedTime-4*80*ms
	if p.Pauses != 2 || p.PausedTime < 300*ms || p.PausedTime > 600*ms {
		t.Errorf("%d stalls, %v lost", p.Pauses, p.PausedTime)
	}
}

// Whatever clients do, no more is set aside than there is, and all of it comes back.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(4 << 20)
		type out struct {
			c *Client
			n int64
		}
		var open []out
		var clients []*Client
		for range 5 {
			clients = append(clients, m.AddClient(nil))
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c := clients[rapid.IntRange(0, 4).Draw(t, "client")]
			if rapid.Bool().Draw(t, "asks") {
				if n, ok := m.Reserve(c); ok {
					open = append(open, out{c, n})
					if m.out > 16<<20 {
						t.Fatalf("%d are expected", m.out)
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
		if m.Used() != 0 || m.out != 0 {
			t.Fatalf("%d and %d are left", m.Used(), m.out)
		}
	})
}

// 200 clients that do not read and ask for much: they are held back, then closed, and one that reads always finds room.
func TestSlowClientsMakeRoomForQuickOnes(t *testing.T) {
	m := NewMemory(16 << 20)
	quick := m.AddClient("quick")
	for range 3 { // it is known what it asks for
		if n, ok := m.Reserve(quick); ok {
			m.Release(quick, n, 7600)
		}
	}
	waits := map[*Client]int64{}
	var slow []*Client
	for range 200 {
		slow = append(slow, m.AddClient("slow"))
	}
	closed, refused := 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += 100 * ms {
		for _, c := range slow {
			for range 20 {
				n, ok := m.Reserve(c)
				if !ok {
					refused++
					continue
				}
				if fits := m.Fits(c, 200_000); fits {
					waits[c] += 200_000
				}
				m.Release(c, n, 200_000)
				m.SetBuffered(c, waits[c], 200_000)
			}
		}
		for range 100 {
			if n, ok := m.Reserve(quick); !ok {
				t.Fatalf("at %v a quick client finds no room, %d of %d are taken", now, m.Used(), 16<<20)
			} else {
				m.Release(quick, n, 7600)
			}
		}
		if m.Used() > 20<<20 {
			t.Fatalf("%d are taken", m.Used())
		}
		for _, c := range m.Sweep(now, func(c *Client) int64 { return waits[c] }) {
			if c.Value != "slow" || !c.Slow() {
				t.Fatal("a client that reads is closed")
			}
			closed++
			m.RemoveClient(c)
		}
	}
	if closed == 0 || refused == 0 {
		t.Errorf("%d were closed, %d requests refused", closed, refused)
	}
}

// Load that comes and goes every second, and single peaks, do not swing the weight.
func TestHealthDoesNotFlap(t *testing.T) {
	var h Health
	swings, last, dir := 0, 100, 0
	for i := range 600 { // a minute
		level := 0.0
		if i/10%2 == 1 {
			level = 0.6
		}
		w := h.Update(time.Duration(i)*100*ms, level)
		if d := w - last; d != 0 {
			if dir != 0 && (d > 0) != (dir > 0) && (d > 10 || d < -10) {
				swings++
			}
			dir, last = d, w
		}
	}
	if swings > 3 || last > 80 || last < 40 {
		t.Errorf("%d swings of over 10 %%, %d at the end", swings, last)
	}
	for i := range 400 {
		last = h.Update(time.Minute+time.Duration(i)*100*ms, 0)
	}
	if last != 100 {
		t.Errorf("%d %% long after the load", last)
	}
}
