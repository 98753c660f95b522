package localitysim

import (
	"cmp"
	"slices"
	"strings"

	"larchusher/routing"
)

// restart has a zone's gateways die, or come back.
func (d *directed) restart(zone int, dies bool) {
	for _, g := range d.gateways {
		if g.home != zone {
			continue
		}
		if g.down = dies; dies {
			g.epoch++
			for _, r := range g.reqs {
				r.over = true
				if r.counted {
					d.second().Failed++
				}
			}
			clear(g.reqs)
			continue
		}
		if d.sc.Oracle {
			d.tell(g, routing.EndpointUpdate{Kind: routing.FullList, Endpoints: d.listing()})
			continue
		}
		_ = d.begin(g, d.listing()) // it has been made before with the same
	}
}

// tell gives a list to a gateway.
func (d *directed) tell(g *dgateway, m routing.EndpointUpdate) {
	if g.t != nil {
		for i, up := range g.roster.Update(m) {
			g.t.SetCachesUp(i, up)
		}
	}
	for i := range g.ds {
		d.handle(g, i, m)
	}
}

// tellAll has the list tell of servers, as late as it is.
func (d *directed) tellAll(of []*server, phase routing.Phase) {
	d.clock.At(d.clock.Now+d.sc.List, func() {
		m := routing.EndpointUpdate{Kind: routing.DeltaList}
		for _, s := range of {
			m.Endpoints = append(m.Endpoints, d.member(s, phase))
		}
		for _, g := range d.gateways {
			d.tell(g, m)
		}
	})
}

func (d *directed) fault(f Fault, begins bool) {
	z := d.faults[f.Zone]
	if !begins {
		z[f.Kind]--
	} else {
		z[f.Kind]++
	}
	first, last := begins && z[f.Kind] == 1, !begins && z[f.Kind] == 0
	switch {
	case f.Kind == Restart && (first || last):
		d.restart(f.Zone, first)
	case f.Kind == Dead && first:
		for _, s := range d.boxes[f.Zone] {
			s.gone = true
			d.reset(s)
		}
		d.tellAll(d.boxes[f.Zone], routing.Removed)
	case f.Kind == Dead && last:
		d.grow(f.Zone, true)
		d.tellAll(d.boxes[f.Zone], routing.Up)
	case f.Kind == FalseRemoval && first:
		d.tellAll(d.boxes[f.Zone], routing.Removed)
	case f.Kind == FalseRemoval && last:
		d.tellAll(d.boxes[f.Zone], routing.Up)
	case f.Kind == Parents && (first || last):
		for _, s := range d.parents[d.sc.Zones[f.Zone].Hub] {
			if s.gone = begins; begins {
				d.reset(s)
			}
		}
	}
}

// reset ends what is out at a server.
func (d *directed) reset(s *server) {
	var all []*attempt
	for a := range s.out {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.r.owner.me, b.r.owner.me), strings.Compare(a.r.id, b.r.id), cmp.Compare(a.number, b.number))
	})
	for _, a := range all {
		d.end(a, near, routing.AttemptResult{Status: routing.Reset})
	}
}
