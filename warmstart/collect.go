package warmstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"larchusher/routing"
)

// Collect returns the state that other gateways have published, as learned state for the director. now is on the
// replication node's clock, directorTime is the director's clock now; times are converted by their age. Incarnations of
// endpoints are returned as in the endpoint list, where they match it.
func (s *Sharer) Collect(now, directorTime time.Duration, list map[string]routing.Endpoint) routing.LearnedState {
	m := routing.LearnedState{At: directorTime, Zone: s.zone}
	for _, l := range s.node.Listings(now, 0) {
		object, ok := s.objectOf(l.Key)
		if !ok || l.Value.MeanGapMs < 0 || l.Value.MinLatencyMs < 0 {
			continue
		}
		lastUse := translateTime(l.LastUse, now, directorTime)
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
			LastAnswer:       translateTime(r.OldestEvidence, now, directorTime),
			ErrorRate:        r.Value.ErrorRate,
			LateShare:        r.Value.LateShare,
			ConcurrencyLimit: r.Value.ConcurrencyLimit,
		}
		if r.Value.EjectedMs > 0 {
			h.EjectedUntil = h.LastAnswer + time.Duration(r.Value.EjectedMs)*time.Millisecond
		}
		m.Endpoints = append(m.Endpoints, h)
	}
	for name, purgedAt := range s.node.Purges(now) {
		age := s.PurgeAge(now, directorTime, name, purgedAt)
		m.Purges = append(m.Purges, routing.PurgeRecord{Name: name, At: directorTime - age})
	}
	slices.SortFunc(m.Purges, func(a, b routing.PurgeRecord) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// listedIncarnation returns the incarnation of an endpoint in the endpoint list, if it equals the published one in ms,
// or otherwise the published one.
func listedIncarnation(list map[string]routing.Endpoint, id string, ms int64) time.Duration {
	if e, ok := list[id]; ok && incarnationMs(e.Incarnation) == ms {
		return e.Incarnation
	}
	return time.Duration(ms) * time.Millisecond
}

const (
	// peerDrainMaxAge is the maximum age of a drain that other gateways have published and the own endpoint list does
	// not show.
	peerDrainMaxAge = 10 * time.Second
	// maxPeerDrainedDivisor limits the endpoints of a kind and zone that are treated as draining because of other
	// gateways: their number divided by this, but at least one. A gateway with a wrong endpoint list can therefore
	// affect only few endpoints.
	maxPeerDrainedDivisor = 4
)

// PeerDrainedEndpoints returns the ids of the endpoints that should be treated as draining because of other gateways:
// those that are still up in the own endpoint list, but that drain or are missing, in the same incarnation, in the
// endpoint list of another gateway.
func (s *Sharer) PeerDrainedEndpoints(now time.Duration, list map[string]routing.Endpoint) map[string]bool {
	groupSizes := map[string]int{} // by group
	for _, e := range list {
		groupSizes[drainGroup(e)]++
	}
	drains := s.node.Drains(now, peerDrainMaxAge)
	drained, drainedInGroup := map[string]bool{}, map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(drains)) {
		e, ok := list[id]
		if !ok || e.Phase != routing.Up || incarnationMs(e.Incarnation) != drains[id] {
			continue
		}
		group := drainGroup(e)
		if drainedInGroup[group] >= max(1, groupSizes[group]/maxPeerDrainedDivisor) {
			continue
		}
		drainedInGroup[group]++
		drained[id] = true
	}
	s.PeerDrained = len(drained)
	return drained
}

// drainGroup returns the group of an endpoint, in which maxPeerDrainedDivisor limits the number of drained endpoints:
// its kind and zone.
func drainGroup(e routing.Endpoint) string { return e.Kind + " " + e.Zone }
