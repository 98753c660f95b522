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

// Publish publishes what is news in a director's learned state and in the endpoint list: first what safety depends on (purges and
// drains), then faults of endpoints, then listings, those of the most requests first, until the replication's budget is spent.
// now is on the replication's clock, m.At on the director's.
func (s *Sharer) Publish(now time.Duration, m routing.LearnedState, list map[string]routing.Endpoint) {
	s.publishPurges(now, m)
	s.publishDrains(now, list)
	s.publishHealth(now, m)
	s.publishListings(now, m)
}

// publish publishes one slot, and reports whether the replication took it.
func (s *Sharer) publish(now time.Duration, k replication.Kind, key string, value []byte, at time.Duration) bool {
	if !s.node.Publish(now, k, key, value, at) {
		return false
	}
	s.Published++
	return true
}

// ownPurgeMargin is the time by which a purge of a name must be newer than the one that another gateway told of, to be one of
// this gateway's own.
const ownPurgeMargin = 20 * time.Millisecond

// publishPurges publishes the purges that this gateway is the first to know of. What it has from others it doesn't publish: the
// purge would get a little younger each time.
func (s *Sharer) publishPurges(now time.Duration, m routing.LearnedState) {
	published := s.node.Purges(now)
	unsettled := map[string]bool{}
	for _, p := range m.Purges {
		unsettled[p.Name] = true
		if at, ok := s.peerPurges[p.Name]; ok && p.At <= at+ownPurgeMargin {
			continue
		}
		made := translate(p.At, m.At, now)
		if at, ok := published[p.Name]; !ok || made > at+samePurgeWithin {
			s.publish(now, replication.Purge, p.Name, nil, made)
		}
	}
	maps.DeleteFunc(s.peerPurges, func(name string, _ time.Duration) bool { return !unsettled[name] })
}

// publishDrains publishes which endpoints have left the endpoint list or drain, and which of these are up again.
func (s *Sharer) publishDrains(now time.Duration, list map[string]routing.Endpoint) {
	for id, e := range list {
		if e.Phase != routing.Up {
			continue
		}
		s.listedUp[id] = e
		if s.node.HasWritten(replication.Drain, id) {
			up := replication.DrainValue{BootMs: incarnationMs(e.Incarnation), Up: true}
			s.publish(now, replication.Drain, id, replication.Encode(up), now)
		}
	}
	for id, was := range s.listedUp {
		if e, ok := list[id]; ok && e.Phase == routing.Up {
			continue
		}
		down := replication.DrainValue{BootMs: incarnationMs(was.Incarnation)}
		s.publish(now, replication.Drain, id, replication.Encode(down), now)
		delete(s.listedUp, id)
	}
}

// publishHealth publishes which endpoints are faulty, and once that one of these has recovered.
func (s *Sharer) publishHealth(now time.Duration, m routing.LearnedState) {
	for _, h := range m.Endpoints {
		value := healthValue(h, m.At)
		recent := h.LastAnswer > 0 && m.At-h.LastAnswer < FailureHalfLife
		switch faulty := value.Faulty(); {
		case faulty && recent:
			s.complainedOf[h.Endpoint] = true
			s.publish(now, replication.Health, h.Endpoint, replication.Encode(value), translate(h.LastAnswer, m.At, now))
		case !faulty && s.complainedOf[h.Endpoint]:
			delete(s.complainedOf, h.Endpoint)
			if s.node.HasWritten(replication.Health, h.Endpoint) {
				recovered := replication.HealthValue{BootMs: value.BootMs}
				s.publish(now, replication.Health, h.Endpoint, replication.Encode(recovered), now)
			}
		}
	}
}

const (
	// ejectionStep is the step to which the rest of an ejection is rounded up, and maxPublishedEjection the longest published.
	ejectionStep         = 5 * time.Second
	maxPublishedEjection = time.Minute
	// shareSteps is the number of steps to which shares are rounded.
	shareSteps = 10
)

// healthValue is the health of an endpoint as it is published, coarsely: what hardly changes is not published again.
func healthValue(h routing.EndpointHealth, at time.Duration) replication.HealthValue {
	v := replication.HealthValue{BootMs: incarnationMs(h.Incarnation), ErrorRate: coarseShare(h.ErrorRate), LateShare: coarseShare(h.LateShare)}
	if h.EjectedUntil > at {
		v.EjectedMs = min(maxPublishedEjection, (h.EjectedUntil-at).Round(ejectionStep)+ejectionStep).Milliseconds()
	}
	if h.ConcurrencyLimit > 0 { // to a power of two
		v.ConcurrencyLimit = math.Exp2(math.Round(math.Log2(h.ConcurrencyLimit)))
	}
	return v
}

func coarseShare(share float64) float64 {
	return math.Round(min(1, max(0, share))*shareSteps) / shareSteps
}

// listingRepeatAfter is the age from which the same listing of an object is published again.
const listingRepeatAfter = 20 * time.Second

// publishListings publishes where objects are cached, those of the most requests first.
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
		if !s.publish(now, replication.Listing, key, value, translate(l.LastRequest, m.At, now)) && s.node.BulkBudgetSpent() {
			return
		}
	}
}

func listingValue(l routing.Listing) replication.ListingValue {
	return replication.ListingValue{
		Server:       l.Endpoint,
		BootMs:       incarnationMs(l.Incarnation),
		Requests:     math.Round(l.Count),
		MeanGapMs:    l.MeanGap.Milliseconds(),
		MinLatencyMs: l.TransferTime.Milliseconds(),
	}
}
