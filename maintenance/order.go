package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits are what the order keeps to. Use Check.
type Limits struct {
	MaxUtilization    float64       // the caches of a zone that stay must bear its load at this share of what they can do; 0.85
	MaxZoneShareOut   float64       // at most this share of a zone's machines of a kind is out at once, but one may always be; 0.34
	MinWarmParents    int           // as many warm upper caches stay at each place; 1
	MaxOut            int           // as many machines are out at once, of all; 4
	MaxTimesOvertaken int           // as many later requests of its group are granted before an earlier one, then none; 8
	Lease             time.Duration // a gateway that has heard nothing for so long takes what was granted for drained; 5s
	MaxClockDrift     float64       // by this share clocks may run apart; 0.1
	DrainGrace        time.Duration // until nothing new goes to a drained machine, and what went there has ended; settings
	SlowStart         time.Duration // a machine that came back is warm after this at the latest; settings
}

// Check fills in defaults and names what can't be.
func (b *Limits) Check() error {
	b.MaxUtilization, b.MaxZoneShareOut, b.MaxClockDrift = cmp.Or(b.MaxUtilization, 0.85), cmp.Or(b.MaxZoneShareOut, 0.34), cmp.Or(b.MaxClockDrift, 0.1)
	b.MinWarmParents, b.MaxOut, b.MaxTimesOvertaken = cmp.Or(b.MinWarmParents, 1), cmp.Or(b.MaxOut, 4), cmp.Or(b.MaxTimesOvertaken, 8)
	b.Lease = cmp.Or(b.Lease, 5*time.Second)
	switch {
	case !(b.MaxUtilization > 0 && b.MaxUtilization <= 1):
		return fmt.Errorf("Full: %v is not over 0 and up to 1", b.MaxUtilization)
	case !(b.MaxZoneShareOut > 0 && b.MaxZoneShareOut < 1):
		return fmt.Errorf("ZoneShare: %v is not between 0 and 1", b.MaxZoneShareOut)
	case b.MinWarmParents < 1:
		return fmt.Errorf("Parents: %d is under 1", b.MinWarmParents)
	case b.MaxOut < 1:
		return fmt.Errorf("AtOnce: %d is under 1", b.MaxOut)
	case b.MaxTimesOvertaken < 1:
		return fmt.Errorf("Patience: %d is under 1", b.MaxTimesOvertaken)
	case b.Lease < 500*time.Millisecond || b.Lease > time.Minute:
		return fmt.Errorf("Lease: %v is not from 500ms to 1m", b.Lease)
	case !(b.MaxClockDrift > 0 && b.MaxClockDrift <= 1):
		return fmt.Errorf("Drift: %v is not over 0 and up to 1", b.MaxClockDrift)
	case b.DrainGrace < 0 || b.SlowStart < 0:
		return fmt.Errorf("Grace or Ramp: negative")
	}
	return nil
}

// LeaseExpiry is how long after a drain was agreed on every lease that was given before it has run out, whoever measures, and
// what was sent until then has ended.
func (b *Limits) LeaseExpiry() time.Duration {
	return time.Duration(float64(b.Lease)*(1+b.MaxClockDrift)) + b.DrainGrace
}

// The kinds of machine.
const (
	KindBox     = "box"
	KindParent  = "parent"
	KindGateway = "gateway"
)

// Machine is one as it is observed.
type Machine struct {
	Kind        string  `json:"kind"`
	Zone        string  `json:"zone"`
	Up          bool    `json:"up"`
	Warm        bool    `json:"warm"`   // of a gateway: it is ready
	BootMs      int64   `json:"boot"`   // its latest start
	Weight      float64 `json:"weight"` // what it can do, beside others
	Utilization float64 `json:"busy"`   // share of that in use; negative: not known
}

// ElapsedLimits says that so much time has passed for a request at a stage, by the clock of who says so.
type ElapsedLimits struct {
	ID            uint64 `json:"id"`
	Stage         Stage  `json:"stage"`
	Epoch         uint64 `json:"epoch"`
	LeasesExpired bool   `json:"lapsed,omitempty"` // draining: all leases from before have run out
	Overdue       bool   `json:"late,omitempty"`   // out: for longer than was said
	SlowStartOver bool   `json:"ramped,omitempty"` // back or warming: it must be warm by now
}

// Observations is what one gateway has seen and gathered: the most cautious of all that was told it.
type Observations struct {
	Machines map[string]Machine `json:"machines"`
	Pressure string             `json:"strain,omitempty"` // why nothing new should be granted: overload, a slow origin, purges
	Elapsed  []ElapsedLimits    `json:"spans,omitempty"`
}

// advance takes every request forward, or back, as far as the state and what was observed allow.
func (s *State) advance(c *Command, b Limits) {
	o := c.Advance
	for _, r := range s.Requests {
		if !r.Stage.Ended() {
			s.advanceRequest(r, c, o)
		}
	}
	for _, r := range s.Requests { // what has not begun is taken back, if the rest could not bear it
		if r.Stage != Granted && r.Stage != Draining {
			continue
		}
		if why := s.blockedBy(r, o, b); why != "" {
			r.transition(c, Requested, "taken back: "+why)
			r.TimesOvertaken = 0
		}
	}
	for range b.MaxOut {
		r := s.nextToGrant(o, b)
		if r == nil {
			return
		}
		for _, older := range s.Requests {
			if older.Stage == Requested && older != r && older.group() == r.group() && s.precedes(older, r) {
				older.TimesOvertaken++
			}
		}
		s.Epoch++
		r.GrantEpoch, r.BootMs, r.TimesOvertaken, r.Overdue = s.Epoch, o.Machines[r.Machine].BootMs, 0, false
		r.Incarnation = s.Gateways[r.Machine].Incarnation
		r.transition(c, Granted, "")
	}
}

// advanceRequest takes a request that was granted one stage on, if it may go.
func (s *State) advanceRequest(r *Request, c *Command, o *Observations) {
	span := ElapsedLimits{}
	for _, x := range o.Elapsed {
		if x.ID == r.ID && x.Stage == r.Stage && x.Epoch == r.GrantEpoch {
			span = x
		}
	}
	m, seen := o.Machines[r.Machine]
	switch r.Stage {
	case Granted:
		for _, g := range s.Gateways {
			if g.NotifiedEpoch < r.GrantEpoch {
				return
			}
		}
		s.Epoch++
		r.DrainEpoch = s.Epoch
		r.transition(c, Draining, "")
	case Draining:
		if r.Kind == KindGateway {
			if g := s.Gateways[r.Machine]; g.Incarnation == r.Incarnation && g.StoppedEpoch < r.DrainEpoch {
				return
			}
			delete(s.Gateways, r.Machine) // it has said that it stopped, and sends nothing more in this life
		} else if !span.LeasesExpired {
			for _, g := range s.Gateways {
				if g.StoppedEpoch < r.DrainEpoch {
					return
				}
			}
		}
		r.transition(c, OutOfService, "")
	case OutOfService:
		if seen && m.Up && m.BootMs > r.BootMs && r.Kind != KindGateway {
			r.transition(c, Returned, "it started anew")
		} else if span.Overdue && !r.Overdue {
			r.Overdue = true
			r.transition(c, OutOfService, "overdue")
		}
	case Returned:
		if seen && m.Up {
			r.transition(c, WarmingUp, "")
		}
	case WarmingUp:
		if seen && m.Up && (m.Warm || span.SlowStartOver && r.Kind != KindGateway) {
			r.Overdue = false
			r.transition(c, Completed, "")
		} else if !seen || !m.Up {
			r.transition(c, Returned, "it went again")
		}
	}
}

// precedes says whether a goes before b, where both may go.
func (s *State) precedes(a, b *Request) bool {
	due := func(r *Request) int64 { return cmp.Or(r.DeadlineMs, 1<<62) }
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(due(a), due(b)), cmp.Compare(a.ID, b.ID)) < 0
}

// waiting are the requests that wait, in the order in which they go.
func (s *State) waiting(patience int) (l []*Request) {
	for _, r := range s.Requests {
		if r.Stage == Requested {
			l = append(l, r)
		}
	}
	slices.SortStableFunc(l, func(a, b *Request) int {
		if x, y := a.TimesOvertaken >= patience, b.TimesOvertaken >= patience; x != y {
			if x {
				return -1
			}
			return 1
		}
		if s.precedes(a, b) {
			return -1
		}
		return 1
	})
	return l
}

// nextToGrant is the request to be granted now; nil: none may be.
func (s *State) nextToGrant(o *Observations, b Limits) *Request {
	closed := map[string]bool{} // groups in which one has waited for long enough: nothing goes before it any more
	for _, r := range s.waiting(b.MaxTimesOvertaken) {
		if closed[r.group()] {
			continue
		}
		if s.waitsFor(r) == "" && s.blockedBy(r, o, b) == "" {
			return r
		}
		if r.TimesOvertaken >= b.MaxTimesOvertaken {
			closed[r.group()] = true
		}
	}
	return nil
}

// waitsFor says for whom a request waits by its own wish; empty: for nobody.
func (s *State) waitsFor(r *Request) string {
	for _, m := range r.After {
		if o := s.openRequest(m); o != nil {
			return fmt.Sprintf("it goes after %s, which is %s", m, o.Stage)
		}
	}
	return ""
}

// blockedBy says which bound keeps a machine from being out beside those that are; empty: none does. A machine that is granted
// is judged as if it were not yet.
func (s *State) blockedBy(r *Request, o *Observations, b Limits) string {
	own, known := o.Machines[r.Machine]
	if !known {
		return "it is not in the list"
	}
	if o.Pressure != "" {
		return o.Pressure
	}
	out, stages := 0, map[string]Stage{}
	for _, x := range s.Requests {
		if x != r && x.Stage.countsAsOut() {
			stages[x.Machine] = x.Stage
			out++
		}
	}
	if out >= b.MaxOut {
		return fmt.Sprintf("%d machines are out, %d may be", out, b.MaxOut)
	}
	type zone struct{ all, down int }
	zones := map[string]*zone{}
	all, gone, left, weight, load, blind := 0, 0, 0, 0.0, 0.0, false
	upper, carried, told := 0.0, 0.0, true // what warm upper caches can do, how much of that is in use, and whether all say so
	for _, name := range slices.Sorted(maps.Keys(o.Machines)) {
		m := o.Machines[name]
		_, away := stages[name]
		if m.Kind == KindBox && name != r.Machine {
			z := zones[m.Zone]
			if z == nil {
				z = &zone{}
				zones[m.Zone] = z
			}
			z.all++
			if !m.Up && !away {
				z.down++
			}
		}
		if m.Kind == KindParent && m.Up {
			if carried += max(0, m.Utilization) * m.Weight; m.Warm && !away && name != r.Machine {
				upper += m.Weight
			}
			told = told && m.Utilization >= 0
		}
		if m.Kind != own.Kind || m.Zone != own.Zone {
			continue
		}
		all++
		serves := m.Up && m.Warm && !away
		if m.Up && !away && m.Utilization > 0 { // also the load of the one that goes, and of those that warm up, stays
			load += m.Utilization * m.Weight
		}
		switch {
		case name == r.Machine:
		case !serves:
			gone++
		default:
			left++
			weight += m.Weight
			blind = blind || m.Utilization < 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if z := zones[name]; z.down*2 > z.all {
			return fmt.Sprintf("zone %s is away: %d of %d boxes are down", name, z.down, z.all)
		}
	}
	switch own.Kind {
	case KindParent:
		if left < b.MinWarmParents {
			return fmt.Sprintf("%d warm upper caches would stay in %s, %d have to", left, own.Zone, b.MinWarmParents)
		}
	case KindGateway:
		if left < 1 {
			return fmt.Sprintf("no other gateway is ready in %s", own.Zone)
		}
	default:
		switch {
		case left < 1:
			return fmt.Sprintf("no other box serves in %s", own.Zone)
		case blind:
			return fmt.Sprintf("the load of %s is not known", own.Zone)
		case load > b.MaxUtilization*weight:
			return fmt.Sprintf("the load of %s, %.1f, is over %.2f of what would stay, %.1f", own.Zone, load, b.MaxUtilization, weight)
		}
	}
	if own.Kind != KindGateway && told && carried > b.MaxUtilization*upper {
		// Guards against a machine that comes back empty: what it has lost is fetched by way of those.
		return fmt.Sprintf("the load of the upper caches, %.1f, is over %.2f of what would stay, %.1f", carried, b.MaxUtilization, upper)
	}
	if gone > 0 && gone+1 > int(b.MaxZoneShareOut*float64(all)) {
		return fmt.Sprintf("%d of %d machines of its kind in %s are out or cold", gone, all, own.Zone)
	}
	return ""
}

// PlanEntry is what holds a request back.
type PlanEntry struct {
	Request   *Request `json:"Request"`
	Wave      int      `json:"Wave"` // in which it would go, from 1, if all stays as it is; 0: in none
	BlockedBy string   `json:"Why"`  // it does not go now
}

// Plan says in what order requests would be granted if all that is out came back and nothing else changed, and what holds
// each back now.
func (s *State) Plan(o *Observations, b Limits) []PlanEntry {
	var all []PlanEntry
	for _, r := range s.waiting(b.MaxTimesOvertaken) {
		all = append(all, PlanEntry{Request: r, BlockedBy: cmp.Or(s.waitsFor(r), s.blockedBy(r, o, b))})
	}
	sim, err := Decode(s.Encode())
	if err != nil {
		return all
	}
	c := &Command{Advance: o}
	for wave := 1; wave <= len(all)+1; wave++ {
		granted := map[uint64]bool{}
		for range b.MaxOut {
			if r := sim.nextToGrant(o, b); r != nil {
				r.transition(c, Granted, "")
				granted[r.ID] = true
			}
		}
		for i := range all {
			if granted[all[i].Request.ID] {
				all[i].Wave = wave
			}
		}
		for _, r := range sim.Requests {
			if r.Stage.countsAsOut() {
				r.transition(c, Completed, "")
			}
		}
	}
	return all
}
