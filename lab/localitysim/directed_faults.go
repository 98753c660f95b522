package localitysim

import (
	"cmp"
	"slices"
	"strings"

	"larchusher/routing"
)

// restartGateways kills a zone's gateways, or starts them again. The requests of a killed gateway fail. With Scene.Oracle the
// directors keep all their state.
func (d *directorSim) restartGateways(zone int, kill bool) {
	for _, g := range d.gateways {
		if g.home != zone {
			continue
		}
		if g.down = kill; kill {
			g.incarnation++
			for _, r := range g.requests {
				r.ended = true
				if r.counted {
					d.currentSecond().Failed++
				}
			}
			clear(g.requests)
			continue
		}
		if d.scene.Oracle {
			d.updateEndpoints(g, routing.EndpointUpdate{Kind: routing.FullList, Endpoints: d.endpointList()})
			continue
		}
		_ = d.startDirectors(g, d.endpointList()) // can't fail: the same settings were accepted at the first start
	}
}

// updateEndpoints passes an update of the endpoint list to a gateway's selector and directors.
func (d *directorSim) updateEndpoints(g *directorGateway, m routing.EndpointUpdate) {
	if g.selector != nil {
		for i, up := range g.endpointIndex.Update(m) {
			g.selector.SetCachesUp(i, up)
		}
	}
	for i := range g.directors {
		d.handle(g, i, m)
	}
}

// publishUpdate sends an update about servers to all gateways, delayed by Scene.List.
func (d *directorSim) publishUpdate(servers []*server, phase routing.Phase) {
	d.clock.At(d.clock.Now+d.scene.List, func() {
		m := routing.EndpointUpdate{Kind: routing.DeltaList}
		for _, s := range servers {
			m.Endpoints = append(m.Endpoints, d.endpoint(s, phase))
		}
		for _, g := range d.gateways {
			d.updateEndpoints(g, m)
		}
	})
}

// applyFault begins or ends a fault. Overlapping faults of one kind in a zone act as one.
func (d *directorSim) applyFault(f Fault, begins bool) {
	z := d.faults[f.Zone]
	if !begins {
		z[f.Kind]--
	} else {
		z[f.Kind]++
	}
	first, last := begins && z[f.Kind] == 1, !begins && z[f.Kind] == 0
	switch {
	case f.Kind == Restart && (first || last):
		d.restartGateways(f.Zone, first)
	case f.Kind == Dead && first:
		for _, s := range d.caches[f.Zone] {
			s.down = true
			d.resetAttempts(s)
		}
		d.publishUpdate(d.caches[f.Zone], routing.Removed)
	case f.Kind == Dead && last:
		d.replaceCaches(f.Zone, true)
		d.publishUpdate(d.caches[f.Zone], routing.Up)
	case f.Kind == FalseRemoval && first:
		d.publishUpdate(d.caches[f.Zone], routing.Removed)
	case f.Kind == FalseRemoval && last:
		d.publishUpdate(d.caches[f.Zone], routing.Up)
	case f.Kind == Parents && (first || last):
		for _, s := range d.parents[d.scene.Zones[f.Zone].Hub] {
			if s.down = begins; begins {
				d.resetAttempts(s)
			}
		}
	}
}

// resetAttempts ends all attempts in flight at a server with a connection reset, in a fixed order.
func (d *directorSim) resetAttempts(s *server) {
	var all []*attempt
	for a := range s.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.request.owner.index, b.request.owner.index), strings.Compare(a.request.id, b.request.id), cmp.Compare(a.number, b.number))
	})
	for _, a := range all {
		d.finish(a, sameHubDelay, routing.AttemptResult{Status: routing.Reset})
	}
}
