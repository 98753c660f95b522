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
	planZones          = 3
	planCachesPerZone  = 12 // in each zone
	planParents        = 4
	planLoad           = 0.6 // of what a zone's boxes can do
	planMissShare      = 0.25
	planAnnouncedWork  = 30 * time.Second // that a machine is said to be out
	planSlowStart      = 20 * time.Second // until one that came back is warm
	planStartShare     = 0.15             // of its capacity, at which it begins
	planStep           = 250 * time.Millisecond
	planTimeout        = time.Hour
	planParentHeadroom = 1.9 // of the upper caches over what boxes ask of them at planLoad
)

// Planned is what a way of settling came to.
type PlanResult struct {
	Served            float64       // share of the requests that were served in aim, while the plan ran
	WorstWindow       float64       // in its worst ten seconds
	EndedAfter        time.Duration // all machines were done, and warm
	OverloadedSeconds int           // seconds in which a zone had no room for its load
}

// planned is one machine.
type plannedMachine struct {
	name, kind, zone string
	workDuration     time.Duration // the work, as it really is
	down             bool          // for work, or crashed
	startedAt        time.Duration // of its latest start; negative: long ago
	bootMs           int64
	done             bool
	workEndsAt       time.Duration // of its work
}

// plant is the machines with their load.
type site struct {
	rng               *rand.Rand
	machines          []*plannedMachine
	byName            map[string]*plannedMachine
	burstAt           time.Duration // the load is half as much again for a minute from then on
	crashAt           map[*plannedMachine]time.Duration
	parentUtilization float64 // share in use of what the upper caches that are there can do
}

func newSite(seed uint64) *site {
	p := &site{rng: rand.New(rand.NewPCG(seed, 40)), byName: map[string]*plannedMachine{}, crashAt: map[*plannedMachine]time.Duration{}}
	add := func(name, kind, zone string) {
		m := &plannedMachine{name: name, kind: kind, zone: zone, startedAt: -time.Hour, workDuration: time.Duration((0.5 + p.rng.Float64()) * float64(planAnnouncedWork))}
		if p.rng.IntN(10) == 0 {
			m.workDuration *= 3 // it does not come back in time
		}
		p.machines = append(p.machines, m)
		p.byName[name] = m
	}
	for z := range planZones {
		for i := range planCachesPerZone {
			add(fmt.Sprintf("box-%d-%02d", z, i), maintenance.KindCache, fmt.Sprintf("z%d", z))
		}
	}
	for i := range planParents {
		add(fmt.Sprintf("upper-%d", i), maintenance.KindParent, "hub")
	}
	p.burstAt = time.Duration(60+p.rng.IntN(600)) * time.Second
	for z := range planZones { // a box crashes in each zone, some time, for a minute
		p.crashAt[p.machines[z*planCachesPerZone+p.rng.IntN(planCachesPerZone)]] = time.Duration(30+p.rng.IntN(500)) * time.Second
	}
	return p
}

func (p *site) load(now time.Duration) float64 {
	x := planLoad * (1 + 0.1*math.Sin(float64(now)/float64(10*time.Minute)*2*math.Pi))
	if now >= p.burstAt && now < p.burstAt+time.Minute {
		x *= 1.3
	}
	return x
}

// warm is the share of its capacity that a machine has.
func (m *plannedMachine) warmShare(now time.Duration) float64 {
	if m.down {
		return 0
	}
	return min(1, planStartShare+(1-planStartShare)*float64(now-m.startedAt)/float64(planSlowStart))
}

// service is what is served in a step, of what is asked for, and in how many zones there was no room. Boxes that are not warm miss more.
func (p *site) service(now time.Duration) (asked, served float64, over int) {
	load := p.load(now) * planCachesPerZone
	parentCapacity, misses := 0.0, 0.0
	for _, m := range p.machines[planZones*planCachesPerZone:] {
		parentCapacity += m.warmShare(now)
	}
	var admitted [planZones]float64
	for z := range planZones {
		capacity, warm := 0.0, 0.0
		for _, m := range p.machines[z*planCachesPerZone : (z+1)*planCachesPerZone] {
			c := m.warmShare(now)
			capacity += c
			warm += c * c
		}
		got := min(load, capacity)
		if capacity > 0 {
			misses += got * (1 - (1-planMissShare)*warm/capacity)
		}
		if got < load {
			over++
		}
		admitted[z] = got
		asked += load
	}
	parentRoom := parentCapacity / planParents * planParentHeadroom * planLoad * planCachesPerZone * planZones * planMissShare
	p.parentUtilization = min(1, misses/max(0.01, parentRoom))
	lost := max(0, misses-parentRoom)
	for z := range planZones {
		served += admitted[z]
	}
	return asked, served - lost, over
}

// events has machines crash, and come back from crashes and from work.
func (p *site) advance(now time.Duration) {
	for m, at := range p.crashAt {
		switch {
		case now >= at+time.Minute:
			delete(p.crashAt, m)
			if m.workEndsAt == 0 {
				m.start(now)
			}
		case now >= at:
			m.down = true
		}
	}
	for _, m := range p.machines {
		if m.workEndsAt > 0 && now >= m.workEndsAt {
			m.workEndsAt, m.done = 0, true
			if _, crashed := p.crashAt[m]; !crashed {
				m.start(now)
			}
		}
	}
}

func (m *plannedMachine) start(now time.Duration) {
	m.down, m.startedAt, m.bootMs = false, now, int64(now/time.Millisecond)
}

func (m *plannedMachine) begin(now time.Duration) {
	if !m.done && m.workEndsAt == 0 {
		m.down, m.workEndsAt = true, now+m.workDuration
	}
}

// tally sums service up.
type serviceTotals struct {
	asked, served   float64
	overloadedSteps int
	windows         [][2]float64
	windowElapsed   time.Duration
}

func (t *serviceTotals) add(p *site, now time.Duration) {
	a, s, over := p.service(now)
	t.asked, t.served = t.asked+a, t.served+s
	if over > 0 {
		t.overloadedSteps++
	}
	if len(t.windows) == 0 || t.windowElapsed >= 10*time.Second {
		t.windows, t.windowElapsed = append(t.windows, [2]float64{}), 0
	}
	w := &t.windows[len(t.windows)-1]
	w[0], w[1] = w[0]+a, w[1]+s
	t.windowElapsed += planStep
}

func (t *serviceTotals) result(ended time.Duration) PlanResult {
	out := PlanResult{Served: t.served / t.asked, WorstWindow: 1, EndedAfter: ended, OverloadedSeconds: t.overloadedSteps * int(planStep/time.Millisecond) / 1000}
	for _, w := range t.windows {
		out.WorstWindow = min(out.WorstWindow, w[1]/w[0])
	}
	return out
}

func (p *site) finished(now time.Duration) bool {
	return !slices.ContainsFunc(p.machines, func(m *plannedMachine) bool {
		_, crashed := p.crashAt[m]
		return !m.done || m.warmShare(now) < 1 && !crashed
	})
}

// Timetable takes a machine of each zone, and an upper cache, out in every slot, whatever happens.
func RunTimetable(seed uint64, slot time.Duration) PlanResult {
	p, t := newSite(seed), serviceTotals{}
	for now := time.Duration(0); ; now += planStep {
		p.advance(now)
		if n := int(now / slot); n < planCachesPerZone {
			for z := range planZones {
				p.machines[z*planCachesPerZone+n].begin(now)
			}
			if n%3 == 0 {
				p.machines[planZones*planCachesPerZone+n/3].begin(now)
			}
		}
		t.add(p, now)
		if p.finished(now) || now > planTimeout {
			return t.result(now)
		}
	}
}

// report is what gateways see of the machines at a time.
func (p *site) report(at time.Duration) cluster.Report {
	r := cluster.Report{Machines: map[string]maintenance.Machine{}}
	for _, m := range p.machines {
		utilization := 0.0
		if !m.down {
			utilization = p.parentUtilization // of boxes see below
		}
		r.Machines[m.name] = maintenance.Machine{Kind: m.kind, Zone: m.zone, Up: !m.down, Warm: m.warmShare(at) >= 1, BootMs: m.bootMs, Weight: 1, Utilization: utilization}
	}
	// What the boxes of a zone can't take stands at those that are there.
	for z := range planZones {
		capacity := 0.0
		all := p.machines[z*planCachesPerZone : (z+1)*planCachesPerZone]
		for _, m := range all {
			capacity += m.warmShare(at)
		}
		for _, m := range all {
			if x := r.Machines[m.name]; x.Up {
				x.Utilization = min(1, p.load(at)*planCachesPerZone/max(0.01, capacity))
				r.Machines[m.name] = x
			}
		}
	}
	return r
}

// work begins work on the machines that are called out.
func (p *site) beginCalledOut(s *maintenance.State, now time.Duration) {
	for _, r := range s.Requests {
		if m := p.byName[r.Machine]; m != nil && r.Stage == maintenance.OutOfService {
			m.begin(now)
		}
	}
}

// Settled has five gateways settle it, within bounds as in the operators' file.
func RunCoordinated(seed uint64, limits maintenance.Limits) (PlanResult, error) {
	p, t := newSite(seed), serviceTotals{}
	limits.SlowStart, limits.DrainGrace = planSlowStart, 3*time.Second
	if err := limits.Check(); err != nil {
		return PlanResult{}, err
	}
	var f *simulatedCluster
	began := time.Duration(0) // on the fleet's clock; 0: not yet
	f, err := newSimulatedCluster(5, seed, limits, func(string) cluster.Report {
		at := time.Duration(0)
		if began > 0 {
			at = f.clock.Now - began
		}
		return p.report(at)
	})
	if err != nil {
		return PlanResult{}, err
	}
	if f.waitReady() == 0 {
		return PlanResult{}, fmt.Errorf("procs: the fleet is not ready after a minute")
	}
	began = f.clock.Now
	for i, m := range p.machines {
		if err := f.sendCommand(f.names[i%len(f.names)], maintenance.Command{Request: &maintenance.RequestSpec{Key: m.name, Machine: m.name, DurationMs: planAnnouncedWork.Milliseconds()}}); err != nil {
			return PlanResult{}, err
		}
	}
	for at := began; ; at += planStep {
		f.clock.Run(at)
		p.advance(at - began)
		if s := f.nodes[f.names[0]].View(); s != nil {
			p.beginCalledOut(s, at-began)
		}
		t.add(p, at-began)
		if p.finished(at-began) || at-began > planTimeout {
			return t.result(at - began), nil
		}
	}
}
