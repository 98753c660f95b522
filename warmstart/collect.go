package warmstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"larchusher/routing"
)

// Collect returns what other gateways have published, as learned state for the director. now is on the replication's clock,
// directorTime is the director's clock now; ages are kept. The endpoint list says by which incarnation the director knows a
// endpoint.
func (s *Sharer) Collect(now, directorTime time.Duration, list map[string]routing.Endpoint) routing.LearnedState {
	m := routing.LearnedState{At: directorTime, Zone: s.zone}
	for _, l := range s.node.Listings(now, 0) {
		object, ok := s.objectOf(l.Key)
		if !ok || l.Value.MeanGapMs < 0 || l.Value.MinLatencyMs < 0 {
			continue
		}
		lastUse := translate(l.LastUse, now, directorTime)
		m.Listings = append(m.Listings, routing.Listing{
			Key:          object,
			Endpoint:     l.Value.Server,
			Incarnation:  listedIncarnation(list, l.Value.Server, l.Value.BootMs),
			HitAt:        lastUse,
			LastRequest:  lastUse,
			MeanGap:      time.Duration(l.Value.MeanGapMs) * time.Millisecond,
			Count:        l.Value.Requests,
			TransferTime: time.Duration(l.Value.MinLatencyMs) * time.Millisecond,
		})
	}
	for _, r := range s.node.FaultReports(now, s.node.LivePeers(now)) {
		h := routing.EndpointHealth{
			Endpoint:         r.Server,
			Incarnation:      listedIncarnation(list, r.Server, r.Value.BootMs),
			LastAnswer:       translate(r.OldestEvidence, now, directorTime),
			ErrorRate:        r.Value.ErrorRate,
			LateShare:        r.Value.LateShare,
			ConcurrencyLimit: r.Value.ConcurrencyLimit,
		}
		if r.Value.EjectedMs > 0 {
			h.EjectedUntil = h.LastAnswer + time.Duration(r.Value.EjectedMs)*time.Millisecond
		}
		m.Endpoints = append(m.Endpoints, h)
	}
	for name, made := range s.node.Purges(now) {
		age := s.PurgeAge(now, directorTime, name, made)
		m.Purges = append(m.Purges, routing.PurgeRecord{Name: name, At: directorTime - age})
	}
	slices.SortFunc(m.Purges, func(a, b routing.PurgeRecord) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// listedIncarnation is an endpoint's incarnation as the endpoint list has it, if that is the published one; else as published.
func listedIncarnation(list map[string]routing.Endpoint, id string, ms int64) time.Duration {
	if e, ok := list[id]; ok && incarnationMs(e.Incarnation) == ms {
		return e.Incarnation
	}
	return time.Duration(ms) * time.Millisecond
}

const (
	// peerDrainMaxAge is the age up to which a drain counts that other gateways know of and the own endpoint list does not.
	peerDrainMaxAge = 10 * time.Second
	// maxHeldDivisor bounds how many endpoints of a kind and zone are held on others' word: the number of them divided by this,
	// and at least one. A gateway with a wrong endpoint list can hold few endpoints only.
	maxHeldDivisor = 4
)

// PeerDrainedEndpoints returns the endpoints that are to be taken for draining, by id: those that the own endpoint list still has up in
// the incarnation that another gateway's endpoint list has draining or gone.
func (s *Sharer) PeerDrainedEndpoints(now time.Duration, list map[string]routing.Endpoint) map[string]bool {
	listed := map[string]int{} // by group
	for _, e := range list {
		listed[holdGroup(e)]++
	}
	drains := s.node.Drains(now, peerDrainMaxAge)
	held, heldInGroup := map[string]bool{}, map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(drains)) {
		e, ok := list[id]
		if !ok || e.Phase != routing.Up || incarnationMs(e.Incarnation) != drains[id] {
			continue
		}
		group := holdGroup(e)
		if heldInGroup[group] >= max(1, listed[group]/maxHeldDivisor) {
			continue
		}
		heldInGroup[group]++
		held[id] = true
	}
	s.PeerDrained = len(held)
	return held
}

// holdGroup names the endpoints among which the number of held ones is bounded.
func holdGroup(e routing.Endpoint) string { return e.Kind + " " + e.Zone }
