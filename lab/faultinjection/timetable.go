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

// Comparison, in simulated time, of two ways to schedule the maintenance of forty machines: by the gateways' agreement or by
// a fixed timetable, under the same load and the same crashes. The result is the share of requests served.

const (
	planZones          = 3
	planCachesPerZone  = 12
	planParents        = 4
	planLoad           = 0.6                    // mean load of a zone, as a share of the capacity of its caches when all are warm
	planMissShare      = 0.25                   // of the requests to a warm cache, which then fills from a parent
	planAnnouncedWork  = 30 * time.Second       // duration that each request for maintenance states
	planSlowStart      = 20 * time.Second       // until a restarted machine is warm
	planStartShare     = 0.15                   // share of its capacity that a restarted machine has at first
	planStep           = 250 * time.Millisecond // of the simulation
	planTimeout        = time.Hour              // after which a run ends, finished or not
	planParentHeadroom = 1.9                    // capacity of all parents over the fills that warm caches need at planLoad
)

// PlanResult is the outcome of one way of scheduling.
type PlanResult struct {
	Served            float64       // share of the requests that were served while the maintenance went on
	WorstWindow       float64       // the lowest such share in any window of 10 s
	EndedAfter        time.Duration // until the maintenance of all machines was done and they were warm again
	OverloadedSeconds int           // time during which at least one zone's caches lacked capacity for its load
}

// plannedMachine is one machine under maintenance. Times count from the start of the run.
type plannedMachine struct {
	name, kind, zone string
	workDuration     time.Duration // actual duration of the work, which may exceed planAnnouncedWork
	down             bool          // under maintenance or crashed
	startedAt        time.Duration // its latest start; negative: before the run
	bootMs           int64         // startedAt in milliseconds, as gateways see it; 0: not restarted during the run
	done             bool          // its maintenance is over
	workEndsAt       time.Duration // 0: no work is going on
}

// site is the simulated machines with their load and crashes.
type site struct {
	rng               *rand.Rand
	machines          []*plannedMachine // the caches zone by zone, then the parents
	byName            map[string]*plannedMachine
	burstAt           time.Duration                     // start of a minute in which the load is 1.3 times as high
	crashAt           map[*plannedMachine]time.Duration // start of a crash that lasts a minute; removed when it is over
	parentUtilization float64                           // share of the capacity of the parents, as far as they are up, that fills use; from the latest call of service
}

// newSite returns the machines of three zones and the parents, with random crashes, durations of work and a load peak drawn
// from the seed.
func newSite(seed uint64) *site {
	p := &site{rng: rand.New(rand.NewPCG(seed, 40)), byName: map[string]*plannedMachine{}, crashAt: map[*plannedMachine]time.Duration{}}
	add := func(name, kind, zone string) {
		m := &plannedMachine{name: name, kind: kind, zone: zone, startedAt: -time.Hour, workDuration: time.Duration((0.5 + p.rng.Float64()) * float64(planAnnouncedWork))}
		if p.rng.IntN(10) == 0 {
			m.workDuration *= 3 // some work takes much longer than announced
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
	for z := range planZones { // one cache of each zone crashes at a random time, for a minute
		p.crashAt[p.machines[z*planCachesPerZone+p.rng.IntN(planCachesPerZone)]] = time.Duration(30+p.rng.IntN(500)) * time.Second
	}
	return p
}

// load returns the load of each zone, as a share of the capacity of its caches when all are warm: a slow wave around planLoad,
// and the peak.
func (p *site) load(now time.Duration) float64 {
	x := planLoad * (1 + 0.1*math.Sin(float64(now)/float64(10*time.Minute)*2*math.Pi))
	if now >= p.burstAt && now < p.burstAt+time.Minute {
		x *= 1.3
	}
	return x
}

// warmShare returns the share of its capacity that a machine has now, from 0 (down) to 1 (warm).
func (m *plannedMachine) warmShare(now time.Duration) float64 {
	if m.down {
		return 0
	}
	return min(1, planStartShare+(1-planStartShare)*float64(now-m.startedAt)/float64(planSlowStart))
}

// service returns the load that is requested and served at a time, in units of one warm cache's capacity, and in how many
// zones the caches lacked capacity. Caches that are not warm miss more; misses beyond the parents' capacity are not served.
func (p *site) service(now time.Duration) (requested, served float64, overloadedZones int) {
	load := p.load(now) * planCachesPerZone
	parentCapacity, misses := 0.0, 0.0
	for _, m := range p.machines[planZones*planCachesPerZone:] {
		parentCapacity += m.warmShare(now)
	}
	var acceptedByZone [planZones]float64
	for z := range planZones {
		capacity, warm := 0.0, 0.0
		for _, m := range p.machines[z*planCachesPerZone : (z+1)*planCachesPerZone] {
			c := m.warmShare(now)
			capacity += c
			warm += c * c
		}
		accepted := min(load, capacity)
		if capacity > 0 {
			misses += accepted * (1 - (1-planMissShare)*warm/capacity)
		}
		if accepted < load {
			overloadedZones++
		}
		acceptedByZone[z] = accepted
		requested += load
	}
	parentRoom := parentCapacity / planParents * planParentHeadroom * planLoad * planCachesPerZone * planZones * planMissShare
	p.parentUtilization = min(1, misses/max(0.01, parentRoom))
	lost := max(0, misses-parentRoom)
	for z := range planZones {
		served += acceptedByZone[z]
	}
	return requested, served - lost, overloadedZones
}

// advance makes the crashes that are due by now happen, and restarts machines whose crash or maintenance is over.
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

// start restarts a machine, which is cold at first.
func (m *plannedMachine) start(now time.Duration) {
	m.down, m.startedAt, m.bootMs = false, now, int64(now/time.Millisecond)
}

// begin starts the maintenance of a machine, unless it is going on or done.
func (m *plannedMachine) begin(now time.Duration) {
	if !m.done && m.workEndsAt == 0 {
		m.down, m.workEndsAt = true, now+m.workDuration
	}
}

// serviceTotals sums up the load requested and served, in total and in windows of 10 s.
type serviceTotals struct {
	asked, served   float64
	overloadedSteps int           // steps in which some zone lacked capacity
	windows         [][2]float64  // requested, served
	windowElapsed   time.Duration // of the last window
}

// add adds one step of the simulation.
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

// result returns the totals of a run that ended at the given time.
func (t *serviceTotals) result(ended time.Duration) PlanResult {
	out := PlanResult{Served: t.served / t.asked, WorstWindow: 1, EndedAfter: ended, OverloadedSeconds: t.overloadedSteps * int(planStep/time.Millisecond) / 1000}
	for _, w := range t.windows {
		out.WorstWindow = min(out.WorstWindow, w[1]/w[0])
	}
	return out
}

// finished reports whether all maintenance is done and each machine is warm, or crashed.
func (p *site) finished(now time.Duration) bool {
	return !slices.ContainsFunc(p.machines, func(m *plannedMachine) bool {
		_, crashed := p.crashAt[m]
		return !m.done || m.warmShare(now) < 1 && !crashed
	})
}

// RunTimetable runs the maintenance by a fixed timetable: each slot of time takes one cache of each zone out of service and
// every third slot a parent, too, whatever else is down.
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

// report returns what a gateway observes of the machines at a time.
func (p *site) report(at time.Duration) cluster.Report {
	r := cluster.Report{Machines: map[string]maintenance.Machine{}}
	for _, m := range p.machines {
		utilization := 0.0
		if !m.down {
			utilization = p.parentUtilization // caches are set below
		}
		r.Machines[m.name] = maintenance.Machine{Kind: m.kind, Zone: m.zone, Up: !m.down, Warm: m.warmShare(at) >= 1, BootMs: m.bootMs, Weight: 1, Utilization: utilization}
	}
	// The caches of a zone that are up share its whole load.
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

// beginCalledOut starts the maintenance of the machines that are out of service in the agreed state.
func (p *site) beginCalledOut(s *maintenance.State, now time.Duration) {
	for _, r := range s.Requests {
		if m := p.byName[r.Machine]; m != nil && r.Stage == maintenance.OutOfService {
			m.begin(now)
		}
	}
}

// RunCoordinated runs the maintenance as five simulated gateways agree on it, within the given limits; SlowStart and DrainGrace
// are set to those of the simulation. It fails if the limits are not valid or the cluster does not become ready.
func RunCoordinated(seed uint64, limits maintenance.Limits) (PlanResult, error) {
	p, t := newSite(seed), serviceTotals{}
	limits.SlowStart, limits.DrainGrace = planSlowStart, 3*time.Second
	if err := limits.Check(); err != nil {
		return PlanResult{}, err
	}
	var f *simulatedCluster
	began := time.Duration(0) // on the cluster's clock; 0: the cluster is not ready yet
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
		return PlanResult{}, fmt.Errorf("procs: the simulated cluster is not ready after a minute")
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
