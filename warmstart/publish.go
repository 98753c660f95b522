package warmstart

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"larchusher/replication"
	"larchusher/routing"
)

// Publish publishes the changes of a director's learned state and of the endpoint list: first purges and drains, on
// which safety depends, then faults of endpoints, then listings, those with the most requests first, until the budget
// of the replication node is spent. now is on the replication node's clock, m.At on the director's.
func (s *Sharer) Publish(now time.Duration, m routing.LearnedState, list map[string]routing.Endpoint) {
	s.publishPurges(now, m)
	s.publishDrains(now, list)
	s.publishHealth(now, m)
	s.publishListings(now, m)
}

// publishSlot publishes one slot and reports whether the replication node has written it.
func (s *Sharer) publishSlot(now time.Duration, k replication.Kind, key string, value []byte, at time.Duration) bool {
	if !s.node.Publish(now, k, key, value, at) {
		return false
	}
	s.Published++
	return true
}

// ownPurgeMargin is the time by which a purge of a name must be newer than the one received from another gateway, to
// count as a purge that this gateway itself has learned of.
const ownPurgeMargin = 20 * time.Millisecond

// publishPurges publishes the purges that no other gateway has published yet. Purges received from other gateways are
// not published again, since they would appear a little younger each time.
func (s *Sharer) publishPurges(now time.Duration, m routing.LearnedState) {
	published := s.node.Purges(now)
	unsettled := map[string]bool{}
	for _, p := range m.Purges {
		unsettled[p.Name] = true
		if at, ok := s.peerPurges[p.Name]; ok && p.At <= at+ownPurgeMargin {
			continue
		}
		purgedAt := translateTime(p.At, m.At, now)
		if at, ok := published[p.Name]; !ok || purgedAt > at+purgeTimeTolerance {
			s.publishSlot(now, replication.Purge, p.Name, nil, purgedAt)
		}
	}
	maps.DeleteFunc(s.peerPurges, func(name string, _ time.Duration) bool { return !unsettled[name] })
}

// publishDrains publishes the endpoints that drain or have left the endpoint list, and those that are up again after
// this gateway has published their drain.
func (s *Sharer) publishDrains(now time.Duration, list map[string]routing.Endpoint) {
	for id, e := range list {
		if e.Phase != routing.Up {
			continue
		}
		s.listedUp[id] = e
		if s.node.HasWritten(replication.Drain, id) {
			up := replication.DrainValue{BootMs: incarnationMs(e.Incarnation), Up: true}
			s.publishSlot(now, replication.Drain, id, replication.Encode(up), now)
		}
	}
	for id, listed := range s.listedUp {
		if e, ok := list[id]; ok && e.Phase == routing.Up {
			continue
		}
		down := replication.DrainValue{BootMs: incarnationMs(listed.Incarnation)}
		s.publishSlot(now, replication.Drain, id, replication.Encode(down), now)
		delete(s.listedUp, id)
	}
}

// publishHealth publishes the health of faulty endpoints, and the recovery, once, of those that this gateway has
// reported as faulty.
func (s *Sharer) publishHealth(now time.Duration, m routing.LearnedState) {
	for _, h := range m.Endpoints {
		value := healthValue(h, m.At)
		recent := h.LastAnswer > 0 && m.At-h.LastAnswer < FailureHalfLife
		switch faulty := value.Faulty(); {
		case faulty && recent:
			s.reportedFaulty[h.Endpoint] = true
			s.publishSlot(now, replication.Health, h.Endpoint, replication.Encode(value), translateTime(h.LastAnswer, m.At, now))
		case !faulty && s.reportedFaulty[h.Endpoint]:
			delete(s.reportedFaulty, h.Endpoint)
			if s.node.HasWritten(replication.Health, h.Endpoint) {
				recovered := replication.HealthValue{BootMs: value.BootMs}
				s.publishSlot(now, replication.Health, h.Endpoint, replication.Encode(recovered), now)
			}
		}
	}
}

const (
	// ejectionStep is the granularity of published ejection times: the remaining time is rounded to it and increased by
	// one step, so that it is never too short. maxPublishedEjection is the longest time published.
	ejectionStep         = 5 * time.Second
	maxPublishedEjection = time.Minute
	// shareSteps is the number of steps between 0 and 1 to which shares are rounded.
	shareSteps = 10
)

// healthValue returns the health of an endpoint in the form that is published. Its numbers are rounded, so that small
// changes are not published again. at is the director's clock now.
func healthValue(h routing.EndpointHealth, at time.Duration) replication.HealthValue {
	v := replication.HealthValue{BootMs: incarnationMs(h.Incarnation), ErrorRate: roundShare(h.ErrorRate), LateShare: roundShare(h.LateShare)}
	if h.EjectedUntil > at {
		v.EjectedMs = min(maxPublishedEjection, (h.EjectedUntil-at).Round(ejectionStep)+ejectionStep).Milliseconds()
	}
	if h.ConcurrencyLimit > 0 { // rounded to a power of two
		v.ConcurrencyLimit = math.Exp2(math.Round(math.Log2(h.ConcurrencyLimit)))
	}
	return v
}

// roundShare rounds a share to shareSteps, within 0 and 1.
func roundShare(share float64) float64 {
	return math.Round(min(1, max(0, share))*shareSteps) / shareSteps
}

// listingRepeatAfter is the age from which on an unchanged listing of an object is published again.
const listingRepeatAfter = 20 * time.Second

// publishListings publishes listings that are new, changed or old, those with the most requests first, until the budget
// is spent.
func (s *Sharer) publishListings(now time.Duration, m routing.LearnedState) {
	byRequests := slices.Clone(m.Listings)
	slices.SortFunc(byRequests, func(a, b routing.Listing) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	for _, l := range byRequests[:min(s.maxListings, len(byRequests))] {
		key := s.listingKey(l.Key)
		if server, at, ok := s.node.Locate(key); ok && server == l.Endpoint && now-at < listingRepeatAfter {
			continue
		}
		value := replication.Encode(listingValue(l))
		if !s.publishSlot(now, replication.Listing, key, value, translateTime(l.LastRequest, m.At, now)) && s.node.BulkBudgetSpent() {
			return
		}
	}
}

// listingValue returns a listing in the form that is published.
func listingValue(l routing.Listing) replication.ListingValue {
	return replication.ListingValue{
		Server:       l.Endpoint,
		BootMs:       incarnationMs(l.Incarnation),
		Requests:     math.Round(l.Count),
		MeanGapMs:    l.MeanGap.Milliseconds(),
		MinLatencyMs: l.TransferTime.Milliseconds(),
	}
}
