package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine is a gateway of a certain capacity, in time steps of a tick: what it can't serve waits, and expires.
type machine struct {
	controller    *Controller
	order         *Order
	admission     *AdmissionController
	queue         *Queue
	capacity      float64 // requests a tick
	now           time.Duration
	draw          uint64
	served        map[int]float64 // requests by band
	offered       map[int]float64 // requests by band
	servedByFront map[int]float64 // requests by front
	credit        float64         // requests that it may serve now
}

func newMachine(t testing.TB, capacity float64) *machine {
	cfg := Config{Classes: site(), Fronts: 2}
	order := NewOrder(cfg.Classes, false)
	ctl, err := NewController(cfg, order)
	if err != nil {
		t.Fatal(err)
	}
	return &machine{controller: ctl, order: order, admission: NewAdmissionController(order.Bands(), 2), capacity: capacity,
		queue: NewQueue(order.Bands(), 2, DefaultMaxWait), served: map[int]float64{}, offered: map[int]float64{}, servedByFront: map[int]float64{}}
}

// load is what one class offers by one front.
type load struct {
	class string
	retry bool
	front int
	n     float64 // a tick
}

// tick offers the loads of a tick, and serves what the capacity allows.
func (m *machine) tick(loads ...load) {
	s := Sample{}
	for _, l := range loads {
		band := m.order.Band(l.class, l.retry)
		for range int(l.n) {
			m.draw = m.draw*6364136223846793005 + 1442695040888963407
			m.offered[band]++
			if _, ok := m.admission.Admit(l.front, band, m.draw>>33); ok {
				m.queue.Push(&Item{Value: l.front}, band, l.front, m.now)
			}
		}
	}
	m.now += DefaultTick
	for i := m.queue.PopExpired(m.now); i != nil; i = m.queue.PopExpired(m.now) {
		s.ExpiredCost++
	}
	for m.credit += m.capacity; m.credit >= 1; m.credit-- {
		i := m.queue.Pop()
		if i == nil {
			m.credit = 0
			break
		}
		s.StartedCost++
		s.LongestWait = max(s.LongestWait, m.queue.Waited(i, m.now)-DefaultTick)
		m.served[i.band]++
		m.servedByFront[i.Value.(int)]++
	}
	s.LongestWait, s.Queued = max(s.LongestWait, m.queue.LongestWait(m.now)), m.queue.Queued()
	m.admission.SetPolicy(m.controller.Tick(s, m.admission))
}

func (m *machine) reset() { clear(m.served); clear(m.offered); clear(m.servedByFront) }

// share is the share of a class's first attempts that was served.
func (m *machine) share(class string) float64 {
	b := m.order.Band(class, false)
	return m.served[b] / max(1, m.offered[b])
}

// Three times what it can do, with any mix: what is served stays at capacity, and no class is shed while one of less
// weight is admitted beyond a little.
func TestOverloadIsShedByPriorityWeight(t *testing.T) {
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
		for _, n := range m.served {
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
		if m.controller.ShedLevel() > 0.02 {
			t.Fatalf("tick %d: level %.2f", i, m.controller.ShedLevel())
		}
	}
	if m.share("assets") < 0.999 {
		t.Errorf("%.4f served", m.share("assets"))
	}
}

// A jump from 0.3 to 3 times capacity is met within some ticks, and a second after its end all is admitted.
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

// In short pauses replays queue up, and requests are read in bursts; replays fit. They ride it out, and assets make room.
func TestABandThatFitsRidesOutShortPauses(t *testing.T) {
	m := newMachine(t, 300)
	for i := range 600 {
		if i == 100 {
			m.reset()
		}
		if m.capacity = 300; i%25 >= 23 { // 40 ms in half a second are lost,
			m.capacity = 0
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
	if m.servedByFront[0] < 0.97*200*60 {
		t.Errorf("beside a flood by another front, %.0f of %d are served", m.servedByFront[0], 200*60)
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
	if got := m.served[m.order.Band("replay", true)]; got < 0.93*200*100 {
		t.Errorf("served %.0f of %d", got, 200*100)
	}
}

func TestALaggingLoopShedsLoad(t *testing.T) {
	m := newMachine(t, 1000)
	for range 100 {
		for range 100 {
			m.admission.Admit(0, 4, 1)
		}
		m.admission.SetPolicy(m.controller.Tick(Sample{LoopLag: 100 * ms, StartedCost: 100}, m.admission))
	}
	if m.controller.ShedLevel() < 0.5 {
		t.Errorf("level %.2f", m.controller.ShedLevel())
	}
}

// After a pause the samples say nothing of load.
func TestPausedTicksChangeNothing(t *testing.T) {
	m := newMachine(t, 100)
	for range 50 {
		if m.controller.Tick(Sample{Paused: true, LongestWait: time.Second, ExpiredCost: 10}, m.admission) != nil {
			t.Fatal("load is shed")
		}
	}
}
