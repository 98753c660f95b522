package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedGateway is a gateway of a fixed capacity, simulated in steps of one tick. Requests that
// it cannot serve wait, and expire.
type simulatedGateway struct {
	controller    *Controller
	order         *Order
	admission     *AdmissionController
	queue         *Queue
	capacity      float64 // requests per tick
	now           time.Duration
	draw          uint64
	served        map[int]float64 // requests by band
	offered       map[int]float64 // requests by band
	servedByFront map[int]float64 // requests by front
	serviceCredit float64         // requests that it may still serve
}

func newSimulatedGateway(t testing.TB, capacity float64) *simulatedGateway {
	cfg := Config{Classes: testClasses(), Fronts: 2}
	order := NewOrder(cfg.Classes, false)
	ctl, err := NewController(cfg, order)
	if err != nil {
		t.Fatal(err)
	}
	return &simulatedGateway{controller: ctl, order: order, admission: NewAdmissionController(order.Bands(), 2), capacity: capacity,
		queue: NewQueue(order.Bands(), 2, DefaultMaxWait), served: map[int]float64{}, offered: map[int]float64{}, servedByFront: map[int]float64{}}
}

// load is the load that one class offers by one front.
type load struct {
	class string
	retry bool
	front int
	n     float64 // requests per tick
}

// tick offers the loads of a tick, and serves as many requests as the capacity allows.
func (m *simulatedGateway) tick(loads ...load) {
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
	for m.serviceCredit += m.capacity; m.serviceCredit >= 1; m.serviceCredit-- {
		i := m.queue.Pop()
		if i == nil {
			m.serviceCredit = 0
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

func (m *simulatedGateway) reset() { clear(m.served); clear(m.offered); clear(m.servedByFront) }

// share returns the share of a class's first attempts that was served.
func (m *simulatedGateway) share(class string) float64 {
	b := m.order.Band(class, false)
	return m.served[b] / max(1, m.offered[b])
}

// Under 1.3 to 10 times its capacity, with any mix of classes, the gateway serves at its capacity,
// and no class is shed while more than a little of a class of less weight is admitted.
func TestOverloadIsShedByPriorityWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(20, 600).Draw(t, "capacity")
		overloadFactor := rapid.Float64Range(1.3, 10).Draw(t, "over")
		turns := rapid.Float64Range(0, 0.3).Draw(t, "turns")
		replays := rapid.Float64Range(0, 1).Draw(t, "replays") * (1 - turns)
		m := newSimulatedGateway(&testing.B{}, capacity)
		all := capacity * overloadFactor
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
			t.Fatalf("served %.0f requests, want about the capacity of %.0f", served, 200*capacity)
		}
		shares := []float64{m.share("turn"), m.share("replay"), m.share("assets")}
		for i, higher := range shares[:2] {
			for k, lower := range shares[i+1:] {
				if offered := []float64{all * turns, all * replays}[i]; offered >= 5 && higher < 0.97 && lower > 0.06 {
					t.Fatalf("served share of class %d: %.2f, of class %d, which has less weight: %.2f", i, higher, i+1+k, lower)
				}
			}
		}
	})
}

func TestNothingIsShedBelowCapacity(t *testing.T) {
	m := newSimulatedGateway(t, 300)
	for i := range 500 {
		n := 270.0
		if i%10 == 3 { // a burst beyond the capacity for one tick
			n = 500
		} else if i%10 < 6 {
			n = 240
		}
		m.tick(load{"assets", false, 0, n})
		if m.controller.ShedLevel() > 0.02 {
			t.Fatalf("tick %d: shed level %.2f below capacity, want at most 0.02", i, m.controller.ShedLevel())
		}
	}
	if m.share("assets") < 0.999 {
		t.Errorf("%.4f of the requests were served below capacity, want at least 0.999", m.share("assets"))
	}
}

// A jump from 0.3 to 3 times capacity is shed by priority within 300 ms, and half a second after
// its end everything is admitted again.
func TestSheddingStartsAndStopsWithLoad(t *testing.T) {
	m := newSimulatedGateway(t, 300)
	low, high := load{"assets", false, 0, 90}, []load{{"turn", false, 0, 30}, {"replay", false, 0, 450}, {"assets", false, 0, 420}}
	for range 50 {
		m.tick(low)
	}
	for i := range 100 {
		m.tick(high...)
		if i == 15 { // 300 ms after the jump
			m.reset()
		}
	}
	if m.share("turn") < 0.99 || m.share("replay") < 0.5 || m.share("assets") > 0.05 {
		t.Errorf("served share under three times capacity: turns %.2f, replays %.2f, assets %.2f; want at least 0.99, at least 0.5, at most 0.05", m.share("turn"), m.share("replay"), m.share("assets"))
	}
	for range 25 {
		m.tick(low)
	}
	m.reset()
	for range 50 {
		m.tick(low)
	}
	if m.share("assets") < 0.98 {
		t.Errorf("half a second after the load fell a share of %.2f is served, want at least 0.98", m.share("assets"))
	}
}

// Short pauses make replays queue up, and requests are read in bursts, but the replays fit into the
// capacity. They are not shed, and assets make room for them.
func TestBandWithinCapacityIsNotShedInShortPauses(t *testing.T) {
	m := newSimulatedGateway(t, 300)
	for i := range 600 {
		if i == 100 {
			m.reset()
		}
		if m.capacity = 300; i%25 >= 23 { // 40 ms of each half second are lost
			m.capacity = 0
		}
		burst := float64(1 + i%2) // of the requests of two ticks, two thirds arrive in the second one
		m.tick(load{"turn", false, 0, 10}, load{"replay", false, 0, 150 * burst}, load{"assets", false, 0, 140 * burst})
	}
	if m.share("replay") < 0.99 || m.share("turn") < 1 {
		t.Errorf("served share with short pauses: turns %.3f, replays %.3f, assets %.3f; want all turns and at least 0.99 of replays", m.share("turn"), m.share("replay"), m.share("assets"))
	}
}

func TestFrontsShareCapacityEvenly(t *testing.T) {
	m := newSimulatedGateway(t, 300)
	for i := range 300 {
		if i == 100 {
			m.reset()
		}
		m.tick(load{"replay", false, 0, 60}, load{"replay", false, 1, 3000})
	}
	if m.servedByFront[0] < 0.97*200*60 {
		t.Errorf("%.0f of %d requests of a front are served while another front offers 50 times as many, want a share of at least 0.97", m.servedByFront[0], 200*60)
	}
}

func TestRetriesAloneUseAllCapacity(t *testing.T) {
	m := newSimulatedGateway(t, 100)
	for i := range 300 {
		if i == 100 {
			m.reset()
		}
		m.tick(load{"replay", true, 0, 300})
	}
	if got := m.served[m.order.Band("replay", true)]; got < 0.93*200*100 {
		t.Errorf("served %.0f requests, want a share of at least 0.93 of the capacity of %d", got, 200*100)
	}
}

func TestLoadIsShedWhileLoopLags(t *testing.T) {
	m := newSimulatedGateway(t, 1000)
	for range 100 {
		for range 100 {
			m.admission.Admit(0, 4, 1)
		}
		m.admission.SetPolicy(m.controller.Tick(Sample{LoopLag: 100 * ms, StartedCost: 100}, m.admission))
	}
	if m.controller.ShedLevel() < 0.5 {
		t.Errorf("shed level %.2f with a loop lag of 100 ms, want at least 0.5", m.controller.ShedLevel())
	}
}

// Samples of ticks with a pause are no evidence of load.
func TestPausedSamplesAreIgnored(t *testing.T) {
	m := newSimulatedGateway(t, 100)
	for range 50 {
		if m.controller.Tick(Sample{Paused: true, LongestWait: time.Second, ExpiredCost: 10}, m.admission) != nil {
			t.Fatal("load is shed by samples of paused ticks")
		}
	}
}
