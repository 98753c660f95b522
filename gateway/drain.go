package gateway

import (
	"maps"
	"slices"
	"strings"

	"larchusher/routing"
)

// drainState merges the endpoint list with the endpoints that planned maintenance drains: directors see an endpoint as
// draining if either says so.
type drainState struct {
	listed      map[string]routing.Endpoint // as the list has it
	draining    map[string]bool             // by planned maintenance
	watchEvents int                         // endpoint list updates so far
}

// applyList takes in an update of the endpoint list, and returns it as directors are to see it.
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

// merge is an endpoint of the list as directors are to see it.
func (h *drainState) merge(e routing.Endpoint) routing.Endpoint {
	if h.draining[e.ID] && e.Phase == routing.Up {
		e.Phase = routing.Draining
	}
	return e
}

// DrainEndpoints says which endpoints get nothing new from now on, and are named as no fill source, for planned
// maintenance. Those that were named by the call before and are not any more go back to what the list says.
func (g *Gateway) DrainEndpoints(endpoints map[string]bool) {
	was := g.drain.draining
	g.drain.draining = maps.Clone(endpoints)
	var changed []routing.Endpoint
	for id, e := range g.drain.listed {
		if was[id] != endpoints[id] {
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

// NoAttemptsAt reports whether no attempt is in flight at any of the endpoints, nor one that names one of them as its fill
// source.
func (g *Gateway) NoAttemptsAt(stores map[string]bool) bool {
	if len(stores) == 0 {
		return true
	}
	for _, all := range []map[string]*Request{g.requests, g.answeredWithAttempts} {
		for _, r := range all {
			for _, a := range r.attempts {
				if !a.ended && (stores[a.Endpoint] || a.FillSource != "" && stores[a.FillSource]) {
					return false
				}
			}
		}
	}
	return true
}

// maxShedShareForMaintenance is the share of the offered requests that may be shed while maintenance still takes endpoints
// out.
const maxShedShareForMaintenance = 0.05

// ObservedEndpoints is what the own locality's director knows of the endpoints on its list, and why none should be taken
// out for maintenance now; empty: nothing speaks against it.
func (g *Gateway) ObservedEndpoints() (endpoints []routing.EndpointObservation, pressure string) {
	endpoints, pressure = g.directors[0].Observe(g.now())
	if pressure == "" && g.ShedShare() > maxShedShareForMaintenance {
		pressure = "a gateway sheds load"
	}
	for i, e := range endpoints { // as the list has it: one that is drained for maintenance is not down
		endpoints[i].Up = g.drain.listed[e.ID].Phase == routing.Up
	}
	return endpoints, pressure
}

// WatchEvents counts the updates of the endpoint list and the purges that the gateway has taken in.
func (g *Gateway) WatchEvents() int { return g.drain.watchEvents + int(g.Counters.Purges) }

// ListedEndpoints are the endpoints as the list has them. The map is the gateway's own and must not be changed.
func (g *Gateway) ListedEndpoints() map[string]routing.Endpoint { return g.drain.listed }
