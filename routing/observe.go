package routing

import (
	"cmp"
	"slices"
	"time"
)

// What a director has seen of its stores, for those who plan work on them. Nothing is decided here.

// Observed is what is known of a store.
type Observed struct {
	ID, Kind, Zone string
	Up, Warm       bool
	Usable         bool // neither its phase nor its failures keep it out of use
	Incarnation    time.Duration
	Weight         float64
	Utilization    float64 // share of its capacity in use, as reported lately; less than 0: not known
}

const (
	manyGroupPurges     = 3   // groups purged whole that have not settled: copies are being fetched anew
	slowOriginLateShare = 0.3 // share of late fetches at which the origin is said to be slow
)

// Observe gives all stores on the list in order, and why this is no time to have fewer of them; empty: nothing says so.
func (d *Director) Observe(now time.Duration) (all []Observed, strain string) {
	d.now = max(d.now, now)
	kinds := [...]string{"box", "parent", "origin"}
	for _, s := range d.endpoints {
		o := Observed{ID: s.id, Kind: kinds[s.role], Up: s.up, Warm: d.isWarm(s), Usable: s.up && (d.healthy(s) || d.keptByFloor(s)), Incarnation: s.incarnation, Weight: s.weight, Utilization: -1}
		if s.zone >= 0 {
			o.Zone = d.set.Zones[s.zone]
		}
		if busy, ok := s.load.Utilization(d.now); ok {
			o.Utilization = busy
		} else if s.role == roleCache && s.zone == d.zone && d.loadFields.Present() && s.concurrencyLimit.InFlight == 0 {
			o.Utilization = 0 // we have asked it nothing lately: no load of ours is there
		}
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Observed) int { return cmp.Compare(a.ID, b.ID) })
	groups := 0
	for name, at := range d.purged.All() {
		if name[0] == ' ' && d.now-at <= d.set.PurgeSettleTime {
			groups++
		}
	}
	switch {
	case groups >= manyGroupPurges:
		strain = "groups of objects were just purged"
	case d.originFetches.LateShare >= slowOriginLateShare && d.now-d.originFetches.LastAnswer < recentWindow:
		strain = "the origin is slow"
	}
	return all, strain
}
