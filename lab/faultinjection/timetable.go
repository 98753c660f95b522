package faultinjection

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"larchusher/cluster"
	"larchusher/maintenance"
)

// What a plan of work costs the clients, in simulated time: forty machines, settled by gateways or by a fixed timetable, before
// the same load and the same mishaps.

const (
	planZones   = 3
	planBoxes   = 12 // in each zone
	planParents = 4
	planLoad    = 0.6 // of what a zone's boxes can do
	planMisses  = 0.25
	planSaid    = 30 * time.Second // that a machine is said to be out
	planRamp    = 20 * time.Second // until one that came back is warm
	planCold    = 0.15             // of its capacity, at which it begins
	planStep    = 250 * time.Millisecond
	planMost    = time.Hour
	planRoom    = 1.9 // of the upper caches over what boxes ask of them at planLoad
)

// Planned is what a way of settling came to.
type Planned struct {
	Served float64       // share of the requests that were served in aim, while the plan ran
	Worst  float64       // in its worst ten seconds
	Ended  time.Duration // all machines were done, and warm
	Over   int           // seconds in which a zone had no room for its load
}

// planned is one machine.
type planned struct {
	name, kind, zone string
	takes            time.Duration // the work, as it really is
	down             bool          // for work, or crashed
	since            time.Duration // of its latest start; negative: long ago
	boot             int64
	done             bool
	ends             time.Duration // of its work
}

// plant is the machines with their load.
type plant struct {
	rng      *rand.Rand
	machines []*planned
	by       map[string]*planned
	burst    time.Duration // the load is half as much again for a minute from then on
	crash    map[*planned]time.Duration
	hub      float64 // share in use of what the upper caches that are there can do
}

func newPlant(seed uint64) *plant {
	p := &plant{rng: rand.New(rand.NewPCG(seed, 40)), by: map[string]*planned{}, crash: map[*planned]time.Duration{}}
	add := func(name, kind, zone string) {
		m := &planned{name: name, kind: kind, zone: zone, since: -time.Hour, takes: time.Duration((0.5 + p.rng.Float64()) * float64(planSaid))}
		if p.rng.IntN(10) == 0 {
			m.takes *= 3 // it does not come back in time
		}
		p.machines = append(p.machines, m)
		p.by[name] = m
	}
	for z := range planZones {
		for i := range planBoxes {
			add(fmt.Sprintf("box-%d-%02d", z, i), maintenance.KindCache, fmt.Sprintf("z%d", z))
		}
	}
	for i := range planParents {
		add(fmt.Sprintf("upper-%d", i), maintenance.KindParent, "hub")
	}
	p.burst = time.Duration(60+p.rng.IntN(600)) * time.Second
	for z := range planZones { // a box crashes in each zone, some time, for a minute
		p.crash[p.machines[z*planBoxes+p.rng.IntN(planBoxes)]] = time.Duration(30+p.rng.IntN(500)) * time.Second
	}
	return p
}

func (p *plant) load(now time.Duration) float64 {
	x := planLoad * (1 + 0.1*math.Sin(float64(now)/float64(10*time.Minute)*2*math.Pi))
	if now >= p.burst && now < p.burst+time.Minute {
		x *= 1.3
	}
	return x
}

// warm is the share of its capacity that a machine has.
func (m *planned) warm(now time.Duration) float64 {
	if m.down {
		return 0
	}
	return min(1, planCold+(1-planCold)*float64(now-m.since)/float64(planRamp))
}

// service is what is served in a step, of what is asked for, and in how many zones there was no room. Boxes that are not warm miss more.
func (p *plant) service(now time.Duration) (asked, served float64, over int) {
	load := p.load(now) * planBoxes
	hub, misses := 0.0, 0.0
	for _, m := range p.machines[planZones*planBoxes:] {
		hub += m.warm(now)
	}
	var had [planZones]float64
	for z := range planZones {
		capacity, warm := 0.0, 0.0
		for _, m := range p.machines[z*planBoxes : (z+1)*planBoxes] {
			c := m.warm(now)
			capacity += c
			warm += c * c
		}
		got := min(load, capacity)
		if capacity > 0 {
			misses += got * (1 - (1-planMisses)*warm/capacity)
		}
		if got < load {
			over++
		}
		had[z] = got
		asked += load
	}
	room := hub / planParents * planRoom * planLoad * planBoxes * planZones * planMisses
	p.hub = min(1, misses/max(0.01, room))
	lost := max(0, misses-room)
	for z := range planZones {
		served += had[z]
	}
	return asked, served - lost, over
}

// events has machines crash, and come back from crashes and from work.
func (p *plant) events(now time.Duration) {
	for m, at := range p.crash {
		switch {
		case now >= at+time.Minute:
			delete(p.crash, m)
			if m.ends == 0 {
				m.start(now)
			}
		case now >= at:
			m.down = true
		}
	}
	for _, m := range p.machines {
		if m.ends > 0 && now >= m.ends {
			m.ends, m.done = 0, true
			if _, crashed := p.crash[m]; !crashed {
				m.start(now)
			}
		}
	}
}

func (m *planned) start(now time.Duration) {
	m.down, m.since, m.boot = false, now, int64(now/time.Millisecond)
}

func (m *planned) begin(now time.Duration) {
	if !m.done && m.ends == 0 {
		m.down, m.ends = true, now+m.takes
	}
}

// tally sums service up.
type tally struct {
	asked, served float64
	over          int
	windows       [][2]float64
	into          time.Duration
}

func (t *tally) step(p *plant, now time.Duration) {
	a, s, over := p.service(now)
	t.asked, t.served = t.asked+a, t.served+s
	if over > 0 {
		t.over++
	}
	if len(t.windows) == 0 || t.into >= 10*time.Second {
		t.windows, t.into = append(t.windows, [2]float64{}), 0
	}
	w := &t.windows[len(t.windows)-1]
	w[0], w[1] = w[0]+a, w[1]+s
	t.into += planStep
}

func (t *tally) planned(ended time.Duration) Planned {
	out := Planned{Served: t.served / t.asked, Worst: 1, Ended: ended, Over: t.over * int(planStep/time.Millisecond) / 1000}
	for _, w := range t.windows {
		out.Worst = min(out.Worst, w[1]/w[0])
	}
	return out
}

func (p *plant) finished(now time.Duration) bool {
	return !slices.ContainsFunc(p.machines, func(m *planned) bool {
		_, crashed := p.crash[m]
		return !m.done || m.warm(now) < 1 && !crashed
	})
}

// Timetable takes a machine of each zone, and an upper cache, out in every slot, whatever happens.
func Timetable(seed uint64, slot time.Duration) Planned {
	p, t := newPlant(seed), tally{}
	for now := time.Duration(0); ; now += planStep {
		p.events(now)
		if n := int(now / slot); n < planBoxes {
			for z := range planZones {
				p.machines[z*planBoxes+n].begin(now)
			}
			if n%3 == 0 {
				p.machines[planZones*planBoxes+n/3].begin(now)
			}
		}
		t.step(p, now)
		if p.finished(now) || now > planMost {
			return t.planned(now)
		}
	}
}

// report is what gateways see of the machines at a time.
func (p *plant) report(at time.Duration) cluster.Report {
	r := cluster.Report{Machines: map[string]maintenance.Machine{}}
	for _, m := range p.machines {
		busy := 0.0
		if !m.down {
			busy = p.hub // of boxes see below
		}
		r.Machines[m.name] = maintenance.Machine{Kind: m.kind, Zone: m.zone, Up: !m.down, Warm: m.warm(at) >= 1, BootMs: m.boot, Weight: 1, Utilization: busy}
	}
	// What the boxes of a zone can't take stands at those that are there.
	for z := range planZones {
		capacity := 0.0
		all := p.machines[z*planBoxes : (z+1)*planBoxes]
		for _, m := range all {
			capacity += m.warm(at)
		}
		for _, m := range all {
			if x := r.Machines[m.name]; x.Up {
				x.Utilization = min(1, p.load(at)*planBoxes/max(0.01, capacity))
				r.Machines[m.name] = x
			}
		}
	}
	return r
}

// work begins work on the machines that are called out.
func (p *plant) work(s *maintenance.State, now time.Duration) {
	for _, r := range s.Requests {
		if m := p.by[r.Machine]; m != nil && r.Stage == maintenance.OutOfService {
			m.begin(now)
		}
	}
}

// Settled has five gateways settle it, within bounds as in the operators' file.
func Settled(seed uint64, bounds maintenance.Limits) (Planned, error) {
	p, t := newPlant(seed), tally{}
	bounds.SlowStart, bounds.DrainGrace = planRamp, 3*time.Second
	if err := bounds.Check(); err != nil {
		return Planned{}, err
	}
	var f *simulated
	began := time.Duration(0) // on the fleet's clock; 0: not yet
	f, err := simulate(5, seed, bounds, func(string) cluster.Report {
		at := time.Duration(0)
		if began > 0 {
			at = f.clock.Now - began
		}
		return p.report(at)
	})
	if err != nil {
		return Planned{}, err
	}
	if f.ready() == 0 {
		return Planned{}, fmt.Errorf("procs: the fleet is not ready after a minute")
	}
	began = f.clock.Now
	for i, m := range p.machines {
		if err := f.order(f.names[i%len(f.names)], maintenance.Command{Request: &maintenance.RequestSpec{Key: m.name, Machine: m.name, DurationMs: planSaid.Milliseconds()}}); err != nil {
			return Planned{}, err
		}
	}
	for at := began; ; at += planStep {
		f.clock.Run(at)
		p.events(at - began)
		if s := f.nodes[f.names[0]].View(); s != nil {
			p.work(s, at-began)
		}
		t.step(p, at-began)
		if p.finished(at-began) || at-began > planMost {
			return t.planned(at - began), nil
		}
	}
}
