package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// The disruption budget: which machine may be out beside those that are.

// blockedBy says which limit keeps a machine from being out beside the others that count as out; empty: none does. A request
// that is granted is judged as if it were not.
func (s *State) blockedBy(r *Request, o *Observations, l Limits) string {
	m, known := o.Machines[r.Machine]
	if !known {
		return "it is not in the list"
	}
	if o.Pressure != "" {
		return o.Pressure
	}
	others, out := s.othersOut(r)
	if out >= l.MaxOut {
		return fmt.Sprintf("%d machines are out, %d may be", out, l.MaxOut)
	}
	c := candidate{name: r.Machine, Machine: m, othersOut: others, o: o, names: slices.Sorted(maps.Keys(o.Machines))}
	group := c.sumGroup()
	for _, limit := range []func() string{
		c.zoneOutage,
		func() string { return group.capacityLimit(m, l) },
		func() string { return c.parentLimit(l) },
		func() string { return group.shareLimit(m, l) },
	} {
		if reason := limit(); reason != "" {
			return reason
		}
	}
	return ""
}

// othersOut are the machines of the other requests that count as out, and how many requests there are.
func (s *State) othersOut(r *Request) (machines map[string]bool, requests int) {
	machines = map[string]bool{}
	for _, other := range s.Requests {
		if other != r && other.Stage.countsAsOut() {
			machines[other.Machine] = true
			requests++
		}
	}
	return machines, requests
}

// candidate is a machine that may go out, among all that are observed. Sums go over names, in their order.
type candidate struct {
	Machine
	name      string
	othersOut map[string]bool
	o         *Observations
	names     []string
}

// zoneOutage blocks all maintenance while more than half of a zone's boxes are down without having been taken out.
func (c *candidate) zoneOutage() string {
	type boxes struct{ all, down int }
	zones := map[string]*boxes{}
	for _, name := range c.names {
		m := c.o.Machines[name]
		if m.Kind != KindCache || name == c.name {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &boxes{}
			zones[m.Zone] = z
		}
		z.all++
		if !m.Up && !c.othersOut[name] {
			z.down++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if z := zones[name]; z.down*2 > z.all {
			return fmt.Sprintf("zone %s is away: %d of %d boxes are down", name, z.down, z.all)
		}
	}
	return ""
}

// parentLimit keeps the load of the upper caches within what would remain of them. It holds for boxes as well: a box that
// returns empty is filled through them. It does not hold while one of them does not report its load.
func (c *candidate) parentLimit(l Limits) string {
	if c.Kind == KindGateway {
		return ""
	}
	capacity, load := 0.0, 0.0
	for _, name := range c.names {
		m := c.o.Machines[name]
		if m.Kind != KindParent || !m.Up {
			continue
		}
		if m.Utilization < 0 {
			return ""
		}
		load += m.Utilization * m.Weight
		if m.Warm && !c.othersOut[name] && name != c.name {
			capacity += m.Weight
		}
	}
	if load > l.MaxUtilization*capacity {
		return fmt.Sprintf("the load of the upper caches, %.1f, is over %.2f of what would stay, %.1f", load, l.MaxUtilization, capacity)
	}
	return ""
}

// groupSums are the machines of a candidate's kind in its zone, as they would be without it.
type groupSums struct {
	machines    int     // the candidate among them
	remaining   int     // up, warm and in service
	unavailable int     // the others
	capacity    float64 // weight of those that remain
	load        float64 // in units of weight, of all that are up and in service, the candidate among them
	loadUnknown bool    // one that remains does not report its load
}

func (c *candidate) sumGroup() (g groupSums) {
	for _, name := range c.names {
		m := c.o.Machines[name]
		if m.Kind != c.Kind || m.Zone != c.Zone {
			continue
		}
		g.machines++
		inService := m.Up && !c.othersOut[name]
		if inService && m.Utilization > 0 { // the load of the candidate, and of those that warm up, remains
			g.load += m.Utilization * m.Weight
		}
		switch {
		case name == c.name:
		case !inService || !m.Warm:
			g.unavailable++
		default:
			g.remaining++
			g.capacity += m.Weight
			g.loadUnknown = g.loadUnknown || m.Utilization < 0
		}
	}
	return g
}

// capacityLimit keeps enough machines of the group in service for the load, or for what depends on them.
func (g groupSums) capacityLimit(m Machine, l Limits) string {
	switch {
	case m.Kind == KindParent && g.remaining < l.MinWarmParents:
		return fmt.Sprintf("%d warm upper caches would stay in %s, %d have to", g.remaining, m.Zone, l.MinWarmParents)
	case m.Kind == KindParent: // for their load, see parentLimit
		return ""
	case m.Kind == KindGateway && g.remaining < 1:
		return fmt.Sprintf("no other gateway is ready in %s", m.Zone)
	case m.Kind == KindGateway:
		return ""
	case g.remaining < 1:
		return fmt.Sprintf("no other box serves in %s", m.Zone)
	case g.loadUnknown:
		return fmt.Sprintf("the load of %s is not known", m.Zone)
	case g.load > l.MaxUtilization*g.capacity:
		return fmt.Sprintf("the load of %s, %.1f, is over %.2f of what would stay, %.1f", m.Zone, g.load, l.MaxUtilization, g.capacity)
	}
	return ""
}

// shareLimit bounds the share of the group that is out, down or cold; one machine may always be.
func (g groupSums) shareLimit(m Machine, l Limits) string {
	if g.unavailable > 0 && g.unavailable+1 > int(l.MaxZoneShareOut*float64(g.machines)) {
		return fmt.Sprintf("%d of %d machines of its kind in %s are out or cold", g.unavailable, g.machines, m.Zone)
	}
	return ""
}
