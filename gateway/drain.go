package gateway

import (
	"maps"
	"slices"
	"time"

	"larchusher/routing"
)

// Machines out for work are drained as if the list said so. What the list says and what is held are kept apart and merged: the
// more cautious holds.

// drainState joins the list with what is held.
type drainState struct {
	listed      map[string]routing.Endpoint // as the list has it
	draining    map[string]bool
	watchEvents int // lists and purges that were told
}

// applyList takes in a list and gives it as the director is to see it.
func (h *drainState) applyList(m routing.EndpointUpdate) routing.EndpointUpdate {
	h.watchEvents++
	if h.listed == nil {
		h.listed = map[string]routing.Endpoint{}
	}
	if m.Kind == routing.FullList || m.Kind == routing.StaleList {
		clear(h.listed)
	}
	for _, e := range m.Endpoints {
		if h.listed[e.ID] = e; e.Phase == routing.Removed {
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

func (h *drainState) merge(e routing.Endpoint) routing.Endpoint {
	if h.draining[e.ID] && e.Phase == routing.Up {
		e.Phase = routing.Draining
	}
	return e
}

// DrainEndpoints says which stores nothing new may be sent to from now on, nor be named as a source. Those that were held before and are
// not named any more are what the list says.
func (g *Gateway) DrainEndpoints(stores map[string]bool) {
	was := g.drain.draining
	g.drain.draining = maps.Clone(stores)
	var changed []routing.Endpoint
	for id, e := range g.drain.listed {
		if was[id] != stores[id] {
			changed = append(changed, g.drain.merge(e))
		}
	}
	if len(changed) == 0 {
		return
	}
	slices.SortFunc(changed, func(a, b routing.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	m := routing.EndpointUpdate{Kind: routing.DeltaList, Endpoints: changed}
	g.updateLocalityRoster(m)
	g.handleInAll(m)
}

// NoAttemptsAt says that no attempt is out at any of the stores, nor one that names one of them as its source.
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

// ObservedEndpoints is what the gateway knows of the stores on its list, and why now is no time to take one out; empty: nothing speaks
// against it.
func (g *Gateway) ObservedEndpoints() (stores []routing.Observed, strain string) {
	now := g.now()
	stores, strain = g.directors[0].Observe(now)
	if strain == "" && g.ShedShare() > maxShedShareForMaintenance {
		strain = "a gateway sheds load"
	}
	for i, s := range stores { // as the list has it: what is held is not down for that
		stores[i].Up = g.drain.listed[s.ID].Phase == routing.Up
	}
	return stores, strain
}

// maxShedShareForMaintenance is the share of the offer that may be shed without holding work back.
const maxShedShareForMaintenance = 0.05

// IncarnationTime is the Unix time of a store's start on the director's clock; zero: long ago.
func (g *Gateway) IncarnationTime(boot time.Duration) time.Time {
	if boot <= 0 {
		return time.Time{}
	}
	return g.base.Add(boot - g.baseDirectorTime)
}

// WatchEvents counts the lists and purges that the gateway was told by its journal.
func (g *Gateway) WatchEvents() int { return g.drain.watchEvents + int(g.Counters.Purges) }

// ListedEndpoints are the stores as the list has them. They are not to be changed.
func (g *Gateway) ListedEndpoints() map[string]routing.Endpoint { return g.drain.listed }
