package localitysim

import (
	"fmt"
	"time"

	"larchusher/locality"
	"larchusher/overload"
)

// check returns an error that names an invalid value, and sets defaults for Objects, Skew, Origin and Parent.
func (s *Scene) check() error {
	if len(s.Zones) == 0 || s.BoxRate <= 0 || s.For <= s.Warm {
		return fmt.Errorf("scene: %d zones, %v requests/s per cache, want both over 0; or For %v is not longer than Warm %v", len(s.Zones), s.BoxRate, s.For, s.Warm)
	}
	for i, z := range s.Zones {
		if z.Boxes <= 0 || z.Gateways <= 0 || z.Load < 0 || z.Hub < 0 {
			return fmt.Errorf("scene: Zones[%d]: %+v, want Boxes and Gateways over 0, Load and Hub at least 0", i, z)
		}
	}
	for i, f := range s.Faults {
		switch f.Kind {
		case Dead, Silent, Slow, Errors, Parents, Cut, FalseRemoval, Restart:
		default:
			return fmt.Errorf("scene: Faults[%d].Kind: %q is unknown", i, f.Kind)
		}
		if f.Zone < 0 || f.Zone >= len(s.Zones) || f.Till <= f.At {
			return fmt.Errorf("scene: Faults[%d]: %+v, want an existing zone and Till after At", i, f)
		}
	}
	if !(s.Repeat >= 0 && s.Repeat <= 1) {
		return fmt.Errorf("scene: Repeat: %v, want 0 to 1", s.Repeat)
	}
	switch s.Policy {
	case Tiered, NoSpill, Unbounded:
	default:
		return fmt.Errorf("scene: Policy: %q is unknown", s.Policy)
	}
	if s.Objects <= 0 {
		s.Objects = 20000
	}
	if s.Skew <= 1 {
		s.Skew = 1.1
	}
	if s.Origin <= 0 {
		s.Origin = 3
	}
	if s.Parent <= 0 {
		s.Parent = 3
	}
	return nil
}

// build creates the zones, parents, origin and gateways and schedules arrivals and faults.
func (s *simulation) build() error {
	sc := &s.scene
	var classes []overload.Class
	for _, c := range s.mix {
		classes = append(classes, overload.Class{Name: c.Name, PriorityWeight: c.Worth})
	}
	order := overload.NewOrder(classes, false)
	for _, c := range s.mix {
		s.bands = append(s.bands, order.Band(c.Name, false))
	}
	hubs, totalRate := 0, 0.0
	for _, z := range sc.Zones {
		hubs = max(hubs, z.Hub+1)
		rate := float64(z.Boxes) * sc.BoxRate
		totalRate += rate * z.Load
		state := &zone{Zone: z, workPerRequest: time.Duration(float64(time.Second) / rate), startedAt: -time.Hour, cached: make([]bool, sc.Objects), faults: map[FaultKind]int{}}
		for i := range state.cached { // the popular half of the objects is cached
			state.cached[i] = i < sc.Objects/2
		}
		s.zones = append(s.zones, state)
		s.gaps = append(s.gaps, time.Duration(float64(time.Second)/(rate*z.Load+1e-9)*float64(z.Gateways)))
	}
	missShare := 0.1 // approximate share of requests that miss without faults
	s.hubs = make([]tokenBucket, hubs)
	for i := range s.hubs {
		for _, z := range sc.Zones {
			if z.Hub == i {
				s.hubs[i].rate += sc.Parent * missShare * float64(z.Boxes) * sc.BoxRate
			}
		}
	}
	s.origin.rate = sc.Origin * missShare * (1 - parentHitRatio) * totalRate
	for home, z := range sc.Zones {
		for range z.Gateways {
			if err := s.addGateway(home, order.Bands()); err != nil {
				return err
			}
		}
	}
	for i := range sc.Faults {
		f := sc.Faults[i]
		s.schedule(f.At, event{kind: faultChanged, zone: int32(i), hit: true, rerouted: true})
		s.schedule(f.Till, event{kind: faultChanged, zone: int32(i), rerouted: true})
	}
	return nil
}

// addGateway adds a gateway of zone home. The zones of its hub have priority level 1, all others level 2.
func (s *simulation) addGateway(home int, bands int) error {
	sc := &s.scene
	z := sc.Zones[home]
	g := &gateway{home: home, zones: []int{home}, localityOf: make([]int, len(sc.Zones))}
	cfg := sc.Tiers
	cfg.Localities = []locality.Locality{{Name: z.Name, Weight: float64(z.Boxes)}}
	for distance := range 2 {
		for k, o := range sc.Zones {
			if k != home && (o.Hub != z.Hub) == (distance == 1) {
				cfg.Localities = append(cfg.Localities, locality.Locality{Name: o.Name, Level: 1 + distance, Weight: float64(o.Boxes)})
				g.localityOf[k] = len(g.zones)
				g.zones = append(g.zones, k)
			}
		}
	}
	cfg.Bands, cfg.Seed = bands, sc.Seed*1_000_003+uint64(len(s.gateways))
	var err error
	if g.selector, err = locality.New(cfg); err != nil {
		return fmt.Errorf("scene: can't create a locality selector: %w", err)
	}
	s.res.Gateways = append(s.res.Gateways, g.selector)
	s.gateways = append(s.gateways, g)
	id := int32(len(s.gateways) - 1)
	s.schedule(time.Duration(s.rng.Float64()*float64(locality.DefaultTick)), event{kind: tickDue, gateway: id})
	s.schedule(time.Duration(s.rng.ExpFloat64()*float64(s.gaps[home])), event{kind: requestArrived, gateway: id})
	return nil
}
