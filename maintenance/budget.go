package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// The disruption budget decides whether one more machine may be out.

// blockedBy returns the reason why a machine may not be out together with those that count as out, or an empty string
// if it may. A request that is granted already is judged as if it were not.
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
	for _, check := range []func() string{
		c.checkZoneOutage,
		func() string { return group.checkCapacity(m, l) },
		func() string { return c.checkParentLoad(l) },
		func() string { return group.checkShareOut(m, l) },
	} {
		if reason := check(); reason != "" {
			return reason
		}
	}
	return ""
}

// othersOut returns the machines of the other requests that count as out, and the number of these requests.
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

// candidate is a machine that is checked against the limits, together with all observed machines.
type candidate struct {
	Machine
	name      string
	othersOut map[string]bool // machines that count as out
	o         *Observations
	names     []string // of all observed machines, sorted; floating-point sums go in this order, so that they are deterministic
}

// checkZoneOutage blocks all maintenance while more than half of a zone's caches are down without being out for
// maintenance. The candidate is not counted. Like the other checks it returns the reason, or an empty string if the
// candidate passes.
func (c *candidate) checkZoneOutage() string {
	type cacheCounts struct{ all, down int }
	zones := map[string]*cacheCounts{}
	for _, name := range c.names {
		m := c.o.Machines[name]
		if m.Kind != KindCache || name == c.name {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &cacheCounts{}
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

// checkParentLoad blocks a cache or parent if the load of all parents would exceed MaxUtilization of those that remain.
// Caches are checked as well, since a cache that returns empty is filled through the parents. The check passes while a
// parent that is up does not report its load.
func (c *candidate) checkParentLoad(l Limits) string {
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

// groupSums sums up the machines of a candidate's group as they would be without it.
type groupSums struct {
	machines    int     // all machines of the group, including the candidate
	remaining   int     // other machines that are up, warm and not out
	unavailable int     // other machines that are down, cold or out
	capacity    float64 // total weight of the remaining machines
	load        float64 // load in units of weight of all machines that are up and not out, including the candidate
	loadUnknown bool    // a remaining machine does not report its load
}

// sumGroup sums up the candidate's group.
func (c *candidate) sumGroup() (g groupSums) {
	for _, name := range c.names {
		m := c.o.Machines[name]
		if m.Kind != c.Kind || m.Zone != c.Zone {
			continue
		}
		g.machines++
		inService := m.Up && !c.othersOut[name]
		if inService && m.Utilization > 0 { // the load of the candidate and of cold machines has to be carried by the others
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

// checkCapacity checks that the remaining machines of the group suffice: for parents MinWarmParents of them, for
// gateways one, and for caches one and a utilization of at most MaxUtilization.
func (g groupSums) checkCapacity(m Machine, l Limits) string {
	switch {
	case m.Kind == KindParent && g.remaining < l.MinWarmParents:
		return fmt.Sprintf("%d warm upper caches would stay in %s, %d have to", g.remaining, m.Zone, l.MinWarmParents)
	case m.Kind == KindParent: // their load is checked by checkParentLoad
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

// checkShareOut checks that the share of the group that is out, down or cold stays within MaxZoneShareOut. The
// candidate passes if no other machine is.
func (g groupSums) checkShareOut(m Machine, l Limits) string {
	if g.unavailable > 0 && g.unavailable+1 > int(l.MaxZoneShareOut*float64(g.machines)) {
		return fmt.Sprintf("%d of %d machines of its kind in %s are out or cold", g.unavailable, g.machines, m.Zone)
	}
	return ""
}
