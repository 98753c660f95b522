package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds are what the order keeps to. Use Check.
type Bounds struct {
	Full      float64       // the caches of a zone that stay must bear its load at this share of what they can do; 0.85
	ZoneShare float64       // at most this share of a zone's machines of a kind is out at once, but one may always be; 0.34
	Parents   int           // as many warm upper caches stay at each place; 1
	AtOnce    int           // as many machines are out at once, of all; 4
	Patience  int           // as many later requests of its group are granted before an earlier one, then none; 8
	Lease     time.Duration // a gateway that has heard nothing for so long takes what was granted for drained; 5s
	Drift     float64       // by this share clocks may run apart; 0.1
	Grace     time.Duration // until nothing new goes to a drained machine, and what went there has ended; settings
	Ramp      time.Duration // a machine that came back is warm after this at the latest; settings
}

// Check fills in defaults and names what can't be.
func (b *Bounds) Check() error {
	b.Full, b.ZoneShare, b.Drift = cmp.Or(b.Full, 0.85), cmp.Or(b.ZoneShare, 0.34), cmp.Or(b.Drift, 0.1)
	b.Parents, b.AtOnce, b.Patience = cmp.Or(b.Parents, 1), cmp.Or(b.AtOnce, 4), cmp.Or(b.Patience, 8)
	b.Lease = cmp.Or(b.Lease, 5*time.Second)
	switch {
	case !(b.Full > 0 && b.Full <= 1):
		return fmt.Errorf("Full: %v is not over 0 and up to 1", b.Full)
	case !(b.ZoneShare > 0 && b.ZoneShare < 1):
		return fmt.Errorf("ZoneShare: %v is not between 0 and 1", b.ZoneShare)
	case b.Parents < 1:
		return fmt.Errorf("Parents: %d is under 1", b.Parents)
	case b.AtOnce < 1:
		return fmt.Errorf("AtOnce: %d is under 1", b.AtOnce)
	case b.Patience < 1:
		return fmt.Errorf("Patience: %d is under 1", b.Patience)
	case b.Lease < 500*time.Millisecond || b.Lease > time.Minute:
		return fmt.Errorf("Lease: %v is not from 500ms to 1m", b.Lease)
	case !(b.Drift > 0 && b.Drift <= 1):
		return fmt.Errorf("Drift: %v is not over 0 and up to 1", b.Drift)
	case b.Grace < 0 || b.Ramp < 0:
		return fmt.Errorf("Grace or Ramp: negative")
	}
	return nil
}

// Lapse is how long after a drain was agreed on every lease that was given before it has run out, whoever measures, and
// what was sent until then has ended.
func (b *Bounds) Lapse() time.Duration {
	return time.Duration(float64(b.Lease)*(1+b.Drift)) + b.Grace
}

// The kinds of machine.
const (
	KindBox     = "box"
	KindParent  = "parent"
	KindGateway = "gateway"
)

// Machine is one as it is observed.
type Machine struct {
	Kind   string  `json:"kind"`
	Zone   string  `json:"zone"`
	Up     bool    `json:"up"`
	Warm   bool    `json:"warm"`   // of a gateway: it is ready
	BootMs int64   `json:"boot"`   // its latest start
	Weight float64 `json:"weight"` // what it can do, beside others
	Busy   float64 `json:"busy"`   // share of that in use; negative: not known
}

// Span says that so much time has passed for a request at a stage, by the clock of who says so.
type Span struct {
	ID     uint64 `json:"id"`
	Stage  Stage  `json:"stage"`
	Epoch  uint64 `json:"epoch"`
	Lapsed bool   `json:"lapsed,omitempty"` // draining: all leases from before have run out
	Late   bool   `json:"late,omitempty"`   // out: for longer than was said
	Ramped bool   `json:"ramped,omitempty"` // back or warming: it must be warm by now
}

// Observed is what one gateway has seen and gathered: the most cautious of all that was told it.
type Observed struct {
	Machines map[string]Machine `json:"machines"`
	Strain   string             `json:"strain,omitempty"` // why nothing new should be granted: overload, a slow origin, purges
	Spans    []Span             `json:"spans,omitempty"`
}

// step takes every request forward, or back, as far as the state and what was observed allow.
func (s *State) step(c *Command, b Bounds) {
	o := c.Step
	for _, r := range s.Requests {
		if !r.Stage.Ended() {
			s.forward(r, c, o)
		}
	}
	for _, r := range s.Requests { // what has not begun is taken back, if the rest could not bear it
		if r.Stage != Granted && r.Stage != Draining {
			continue
		}
		if why := s.bound(r, o, b); why != "" {
			r.move(c, Asked, "taken back: "+why)
			r.Passed = 0
		}
	}
	for range b.AtOnce {
		r := s.next(o, b)
		if r == nil {
			return
		}
		for _, older := range s.Requests {
			if older.Stage == Asked && older != r && older.group() == r.group() && s.before(older, r) {
				older.Passed++
			}
		}
		s.Epoch++
		r.Epoch, r.Boot, r.Passed, r.Overdue = s.Epoch, o.Machines[r.Machine].BootMs, 0, false
		r.Life = s.Gateways[r.Machine].Life
		r.move(c, Granted, "")
	}
}

// forward takes a request that was granted one stage on, if it may go.
func (s *State) forward(r *Request, c *Command, o *Observed) {
	span := Span{}
	for _, x := range o.Spans {
		if x.ID == r.ID && x.Stage == r.Stage && x.Epoch == r.Epoch {
			span = x
		}
	}
	m, seen := o.Machines[r.Machine]
	switch r.Stage {
	case Granted:
		for _, g := range s.Gateways {
			if g.Heard < r.Epoch {
				return
			}
		}
		s.Epoch++
		r.Drain = s.Epoch
		r.move(c, Draining, "")
	case Draining:
		if r.Kind == KindGateway {
			if g := s.Gateways[r.Machine]; g.Life == r.Life && g.Stopped < r.Drain {
				return
			}
			delete(s.Gateways, r.Machine) // it has said that it stopped, and sends nothing more in this life
		} else if !span.Lapsed {
			for _, g := range s.Gateways {
				if g.Stopped < r.Drain {
					return
				}
			}
		}
		r.move(c, Out, "")
	case Out:
		if seen && m.Up && m.BootMs > r.Boot && r.Kind != KindGateway {
			r.move(c, Back, "it started anew")
		} else if span.Late && !r.Overdue {
			r.Overdue = true
			r.move(c, Out, "overdue")
		}
	case Back:
		if seen && m.Up {
			r.move(c, Warming, "")
		}
	case Warming:
		if seen && m.Up && (m.Warm || span.Ramped && r.Kind != KindGateway) {
			r.Overdue = false
			r.move(c, Done, "")
		} else if !seen || !m.Up {
			r.move(c, Back, "it went again")
		}
	}
}

// before says whether a goes before b, where both may go.
func (s *State) before(a, b *Request) bool {
	due := func(r *Request) int64 { return cmp.Or(r.ByMs, 1<<62) }
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(due(a), due(b)), cmp.Compare(a.ID, b.ID)) < 0
}

// queue are the requests that wait, in the order in which they go.
func (s *State) queue(patience int) (l []*Request) {
	for _, r := range s.Requests {
		if r.Stage == Asked {
			l = append(l, r)
		}
	}
	slices.SortStableFunc(l, func(a, b *Request) int {
		if x, y := a.Passed >= patience, b.Passed >= patience; x != y {
			if x {
				return -1
			}
			return 1
		}
		if s.before(a, b) {
			return -1
		}
		return 1
	})
	return l
}

// next is the request to be granted now; nil: none may be.
func (s *State) next(o *Observed, b Bounds) *Request {
	closed := map[string]bool{} // groups in which one has waited for long enough: nothing goes before it any more
	for _, r := range s.queue(b.Patience) {
		if closed[r.group()] {
			continue
		}
		if s.waits(r) == "" && s.bound(r, o, b) == "" {
			return r
		}
		if r.Passed >= b.Patience {
			closed[r.group()] = true
		}
	}
	return nil
}

// waits says for whom a request waits by its own wish; empty: for nobody.
func (s *State) waits(r *Request) string {
	for _, m := range r.After {
		if o := s.open(m); o != nil {
			return fmt.Sprintf("it goes after %s, which is %s", m, o.Stage)
		}
	}
	return ""
}

// bound says which bound keeps a machine from being out beside those that are; empty: none does. A machine that is granted
// is judged as if it were not yet.
func (s *State) bound(r *Request, o *Observed, b Bounds) string {
	own, known := o.Machines[r.Machine]
	if !known {
		return "it is not in the list"
	}
	if o.Strain != "" {
		return o.Strain
	}
	out, stages := 0, map[string]Stage{}
	for _, x := range s.Requests {
		if x != r && x.Stage.away() {
			stages[x.Machine] = x.Stage
			out++
		}
	}
	if out >= b.AtOnce {
		return fmt.Sprintf("%d machines are out, %d may be", out, b.AtOnce)
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
			if carried += max(0, m.Busy) * m.Weight; m.Warm && !away && name != r.Machine {
				upper += m.Weight
			}
			told = told && m.Busy >= 0
		}
		if m.Kind != own.Kind || m.Zone != own.Zone {
			continue
		}
		all++
		serves := m.Up && m.Warm && !away
		if m.Up && !away && m.Busy > 0 { // also the load of the one that goes, and of those that warm up, stays
			load += m.Busy * m.Weight
		}
		switch {
		case name == r.Machine:
		case !serves:
			gone++
		default:
			left++
			weight += m.Weight
			blind = blind || m.Busy < 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if z := zones[name]; z.down*2 > z.all {
			return fmt.Sprintf("zone %s is away: %d of %d boxes are down", name, z.down, z.all)
		}
	}
	switch own.Kind {
	case KindParent:
		if left < b.Parents {
			return fmt.Sprintf("%d warm upper caches would stay in %s, %d have to", left, own.Zone, b.Parents)
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
		case load > b.Full*weight:
			return fmt.Sprintf("the load of %s, %.1f, is over %.2f of what would stay, %.1f", own.Zone, load, b.Full, weight)
		}
	}
	if own.Kind != KindGateway && told && carried > b.Full*upper {
		// Guards against a machine that comes back empty: what it has lost is fetched by way of those.
		return fmt.Sprintf("the load of the upper caches, %.1f, is over %.2f of what would stay, %.1f", carried, b.Full, upper)
	}
	if gone > 0 && gone+1 > int(b.ZoneShare*float64(all)) {
		return fmt.Sprintf("%d of %d machines of its kind in %s are out or cold", gone, all, own.Zone)
	}
	return ""
}

// Verdict is what holds a request back.
type Verdict struct {
	Request *Request `json:"Request"`
	Wave    int      `json:"Wave"` // in which it would go, from 1, if all stays as it is; 0: in none
	Why     string   `json:"Why"`  // it does not go now
}

// Plan says in what order requests would be granted if all that is out came back and nothing else changed, and what holds
// each back now.
func (s *State) Plan(o *Observed, b Bounds) []Verdict {
	var all []Verdict
	for _, r := range s.queue(b.Patience) {
		all = append(all, Verdict{Request: r, Why: cmp.Or(s.waits(r), s.bound(r, o, b))})
	}
	sim, err := Decode(s.Encode())
	if err != nil {
		return all
	}
	c := &Command{Step: o}
	for wave := 1; wave <= len(all)+1; wave++ {
		granted := map[uint64]bool{}
		for range b.AtOnce {
			if r := sim.next(o, b); r != nil {
				r.move(c, Granted, "")
				granted[r.ID] = true
			}
		}
		for i := range all {
			if granted[all[i].Request.ID] {
				all[i].Wave = wave
			}
		}
		for _, r := range sim.Requests {
			if r.Stage.away() {
				r.move(c, Done, "")
			}
		}
	}
	return all
}
