package localitysim

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"larchusher/locality"
	"larchusher/overload"
	"larchusher/routing"
	"larchusher/warmstart"
)

// settings returns the routing settings of the gateways of zone home.
func (d *directorSim) settings(home, hubs int) routing.Settings {
	s := routing.Settings{Directors: 0, Zone: d.scene.Zones[home].Name, Kinds: []string{"box", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		AllowCoalescing: true, AllowBypass: true, Siblings: routing.SiblingsInLocation, AnswerDetail: routing.DetailHit, LoadReportFields: []string{"busy_reqs", "x1", "x0"},
		CanCancel: true, HedgedRequests: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 8, ClockStep: time.Millisecond,
		DrainGrace: 2 * time.Second, SlowStartInitialShare: coldStartShare, SlowStartDuration: warmUpTime, OverloadMultiple: crashFactor, OverloadWindow: overloadWindow,
		ParentSlowStartInitialShare: 0.083, ParentSlowStartDuration: 22 * time.Second, ParentOverloadMultiple: 2, PurgeGrace: time.Second, PurgeSettleTime: 6 * time.Second}
	for h := range hubs {
		s.Zones, s.ZoneHub, s.ZoneDirectors = append(s.Zones, "hub"+strconv.Itoa(h)), append(s.ZoneHub, h), append(s.ZoneDirectors, 0)
	}
	for _, z := range d.scene.Zones {
		s.Zones, s.ZoneHub, s.ZoneDirectors = append(s.Zones, z.Name), append(s.ZoneHub, z.Hub), append(s.ZoneDirectors, z.Gateways)
		s.Directors += z.Gateways
	}
	for _, c := range d.mix {
		k := routing.Class{Name: c.Name, LatencyObjective: c.Aim, Deadline: c.Limit, PriorityWeight: c.Worth, LateWeight: 0.1}
		if c.Keyed {
			k.Effect, k.DedupScope, k.DedupWindow, k.Uncacheable = routing.IdempotentWithKey, routing.ScopeAll, 3*time.Second, true
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// addServer adds a server with a capacity of rate requests per second. zone is -1 for parents and the origin. A cold server
// starts at the current time.
func (d *directorSim) addServer(kind string, zone, hub int, rate float64, cold bool) *server {
	d.lastServer++
	s := &server{id: fmt.Sprintf("%s%03d", kind, d.lastServer), kind: kind, zone: zone, hub: hub, cost: time.Duration(float64(time.Second) / rate),
		startedAt: -time.Hour, coldCapacityShare: coldStartShare, overloadFactor: crashFactor, attempts: map[*attempt]bool{}}
	if kind == "box" {
		s.cached = make([]bool, d.scene.Objects)
	}
	if cold {
		s.startedAt = d.clock.Now
	}
	d.servers[s.id] = s
	return s
}

// build creates the servers and gateways and schedules arrivals and faults.
func (d *directorSim) build() error {
	sc := &d.scene
	hubs, totalRate := 0, 0.0
	for _, z := range sc.Zones {
		hubs = max(hubs, z.Hub+1)
		totalRate += float64(z.Boxes) * sc.BoxRate
		d.faults = append(d.faults, map[FaultKind]int{})
	}
	var classes []overload.Class
	for _, c := range d.mix {
		classes = append(classes, overload.Class{Name: c.Name, PriorityWeight: c.Worth})
	}
	order := overload.NewOrder(classes, false)
	for _, c := range d.mix {
		d.bands[0] = append(d.bands[0], order.Band(c.Name, false))
		d.bands[1] = append(d.bands[1], order.Band(c.Name, true))
	}
	d.origin = d.addServer("origin", -1, 0, sc.Origin*0.1*totalRate, false)
	d.parents = make([][]*server, hubs)
	for h := range hubs {
		rate := 0.0
		for _, z := range sc.Zones {
			if z.Hub == h {
				rate += sc.Parent * 0.1 * float64(z.Boxes) * sc.BoxRate
			}
		}
		d.parents[h] = []*server{d.addServer("parent", -1, h, rate/2, false), d.addServer("parent", -1, h, rate/2, false)}
	}
	for i, z := range sc.Zones {
		d.caches = append(d.caches, nil)
		d.replaceCaches(i, false)
		for _, b := range d.caches[i] {
			for o := range b.cached {
				b.cached[o] = o < sc.Objects/2
			}
		}
		d.gaps = append(d.gaps, time.Duration(float64(time.Second)/(float64(z.Boxes)*sc.BoxRate*z.Load+1e-9)*float64(z.Gateways)))
	}
	all := d.endpointList()
	for home, z := range sc.Zones {
		for range z.Gateways {
			if err := d.addGateway(home, hubs, order.Bands(), all); err != nil {
				return err
			}
		}
	}
	for _, f := range sc.Faults {
		d.clock.At(f.At, func() { d.applyFault(f, true) })
		d.clock.At(f.Till, func() { d.applyFault(f, false) })
	}
	return nil
}

// replaceCaches replaces the caches of a zone by new, empty ones.
func (d *directorSim) replaceCaches(zone int, cold bool) {
	d.caches[zone] = nil
	for range d.scene.Zones[zone].Boxes {
		d.caches[zone] = append(d.caches[zone], d.addServer("box", zone, d.scene.Zones[zone].Hub, d.scene.BoxRate, cold))
	}
}

// endpoint returns a server's entry in the endpoint list.
func (d *directorSim) endpoint(s *server, phase routing.Phase) routing.Endpoint {
	m := routing.Endpoint{ID: s.id, Kind: s.kind, Phase: phase, Weight: 1, Zone: "hub" + strconv.Itoa(s.hub)}
	if s.zone >= 0 {
		m.Zone = d.scene.Zones[s.zone].Name
	}
	if s.startedAt > 0 {
		m.Incarnation = s.startedAt
	}
	return m
}

// endpointList returns all servers, without caches whose processes are down, in the order of their ids.
func (d *directorSim) endpointList() (all []routing.Endpoint) {
	for _, s := range d.servers {
		if !s.down || s.kind != "box" {
			all = append(all, d.endpoint(s, routing.Up))
		}
	}
	slices.SortFunc(all, func(a, b routing.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// addGateway adds a gateway of zone home with its timers and its stream of client requests. bands is the number of bands of
// the priority order.
func (d *directorSim) addGateway(home, hubs, bands int, list []routing.Endpoint) error {
	set := d.settings(home, hubs)
	set.Index = len(d.gateways)
	g := &directorGateway{settings: set, index: len(d.gateways), home: home, zones: []int{home}, requests: map[string]*request{}, classes: set.Classes}
	places := []locality.Locality{{Name: d.scene.Zones[home].Name, Weight: float64(d.scene.Zones[home].Boxes)}}
	if d.scene.Policy == Tiered {
		for level := 1; level <= 2; level++ {
			for k, o := range d.scene.Zones {
				if k != home && (o.Hub != d.scene.Zones[home].Hub) == (level == 2) {
					places, g.zones = append(places, locality.Locality{Name: o.Name, Level: level, Weight: float64(o.Boxes)}), append(g.zones, k)
				}
			}
		}
		cfg := d.scene.Tiers
		cfg.Localities, cfg.Bands, cfg.Seed = places, bands, d.scene.Seed*1_000_003+uint64(len(d.gateways))
		var err error
		if g.selector, err = locality.New(cfg); err != nil {
			return fmt.Errorf("scene: can't create a locality selector: %w", err)
		}
		g.endpointIndex = locality.NewEndpointIndex(set, places)
		d.res.Gateways = append(d.res.Gateways, g.selector)
		var tick func()
		tick = func() {
			g.selector.Tick(d.clock.Now)
			d.clock.At(d.clock.Now+locality.DefaultTick, tick)
		}
		d.clock.At(time.Duration(d.rng.Float64()*float64(locality.DefaultTick)), tick)
	}
	g.localities = places
	if err := d.startDirectors(g, list); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	if d.scene.Neighbours {
		d.startSharing(g)
	}
	if d.scene.Memory {
		var save func()
		save = func() {
			if !g.down {
				g.learned, g.learnedAt = nil, d.clock.Now
				for _, dir := range g.directors {
					g.learned = append(g.learned, dir.Export(d.clock.Now, 4096))
				}
			}
			d.clock.At(d.clock.Now+warmstart.DefaultSaveInterval, save)
		}
		d.clock.At(time.Duration(d.rng.Float64()*float64(warmstart.DefaultSaveInterval)), save)
	}
	var next func()
	next = func() {
		d.handleArrival(g)
		d.clock.At(d.clock.Now+time.Duration(d.rng.ExpFloat64()*float64(d.gaps[home])), next)
	}
	d.clock.At(time.Duration(d.rng.ExpFloat64()*float64(d.gaps[home])), next)
	return nil
}

// startDirectors creates a gateway's directors, passes them the endpoint list, marked as stale, and imports the state saved
// before a restart. With Scene.Neighbours it also starts an empty replica.
func (d *directorSim) startDirectors(g *directorGateway, list []routing.Endpoint) error {
	g.directors = nil
	for i := range g.localities {
		s := g.settings
		if g.selector != nil {
			var err error
			if s, err = locality.DirectorSettings(g.settings, g.localities, i); err != nil {
				return fmt.Errorf("scene: can't derive a director's settings: %w", err)
			}
		}
		dir, err := routing.New(s, d.scene.Seed*7919+uint64(1_000_000*g.incarnation+100*g.index+i))
		if err != nil {
			return fmt.Errorf("scene: can't create a director: %w", err)
		}
		g.directors = append(g.directors, dir)
	}
	d.updateEndpoints(g, routing.EndpointUpdate{Kind: routing.StaleList, Endpoints: list})
	for i, m := range g.learned {
		g.directors[i].Import(d.clock.Now, m, warmstart.ConfidenceAt)
	}
	if d.scene.Neighbours {
		return d.newReplica(g)
	}
	return nil
}
