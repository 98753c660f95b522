package gateway

import (
	"maps"
	"slices"
	"strings"

	"larchusher/routing"
)

// drainState combines the endpoint list with the endpoints that planned maintenance drains.
// Directors see an endpoint as draining if either of them has it draining.
type drainState struct {
	listed      map[string]routing.Endpoint // endpoints by id, as on the endpoint list
	draining    map[string]bool             // endpoints that planned maintenance drains, by id
	watchEvents int                         // updates of the endpoint list so far
}

// applyList applies an update of the endpoint list, and returns the update for the directors.
func (h *drainState) applyList(m routing.EndpointUpdate) routing.EndpointUpdate {
	h.watchEvents++
	if h.listed == nil {
		h.listed = map[string]routing.Endpoint{}
	}
	if m.Kind == routing.FullList || m.Kind == routing.StaleList {
		clear(h.listed)
	}
	for _, e := range m.Endpoints {
		h.listed[e.ID] = e
		if e.Phase == routing.Removed {
			delete(h.listed, e.ID)
		}
	}
	if len(h.draining) == 0 {
		return m
	}
	m.Endpoints = slices.Clone(m.Endpoints)
	for i, e := range m.Endpoints {
		m.Endpoints[i] = h.merge(e)
	}
	return m
}

// merge returns an endpoint of the list as directors are to see it.
func (h *drainState) merge(e routing.Endpoint) routing.Endpoint {
	if h.draining[e.ID] && e.Phase == routing.Up {
		e.Phase = routing.Draining
	}
	return e
}

// DrainEndpoints sets the endpoints that planned maintenance drains: they get no new attempts and
// are not named as fill sources. Endpoints of the previous call that are missing from this one
// return to their phase on the endpoint list.
func (g *Gateway) DrainEndpoints(endpoints map[string]bool) {
	previous := g.drain.draining
	g.drain.draining = maps.Clone(endpoints)
	var changed []routing.Endpoint
	for id, e := range g.drain.listed {
		if previous[id] != endpoints[id] {
			changed = append(changed, g.drain.merge(e))
		}
	}
	if len(changed) == 0 {
		return
	}
	slices.SortFunc(changed, func(a, b routing.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	u := routing.EndpointUpdate{Kind: routing.DeltaList, Endpoints: changed}
	g.updateLocalityEndpoints(u)
	g.handleInAll(u)
}

// NoAttemptsAt reports whether no attempt is in flight at any of the endpoints, and none that names
// one of them as its fill source.
func (g *Gateway) NoAttemptsAt(endpoints map[string]bool) bool {
	if len(endpoints) == 0 {
		return true
	}
	for _, all := range []map[string]*Request{g.requests, g.answeredWithAttempts} {
		for _, r := range all {
			for _, a := range r.attempts {
				if !a.ended && (endpoints[a.Endpoint] || a.FillSource != "" && endpoints[a.FillSource]) {
					return false
				}
			}
		}
	}
	return true
}

// maxShedShareForMaintenance is the largest share of the offered requests that may be shed while
// maintenance may still take endpoints out of service.
const maxShedShareForMaintenance = 0.05

// ObservedEndpoints returns what the own locality's director knows of the endpoints on its list.
// pressure is the reason why no endpoint should be taken out for maintenance now; empty: there is
// none.
func (g *Gateway) ObservedEndpoints() (endpoints []routing.EndpointObservation, pressure string) {
	endpoints, pressure = g.directors[0].Observe(g.now())
	if pressure == "" && g.ShedShare() > maxShedShareForMaintenance {
		pressure = "a gateway sheds load"
	}
	for i, e := range endpoints { // as on the endpoint list: an endpoint that maintenance drains is not down
		endpoints[i].Up = g.drain.listed[e.ID].Phase == routing.Up
	}
	return endpoints, pressure
}

// WatchEvents returns the number of updates of the endpoint list and of purge events so far.
func (g *Gateway) WatchEvents() int { return g.drain.watchEvents + int(g.Counters.Purges) }

// ListedEndpoints returns the endpoints as on the endpoint list, by id. The map is the gateway's
// own and must not be changed.
func (g *Gateway) ListedEndpoints() map[string]routing.Endpoint { return g.drain.listed }
