package routing

import (
	"cmp"
	"slices"
	"time"

	"larchusher/concurrency"
	"larchusher/loadreport"
	"larchusher/slowstart"
)

// discoveryRetryDivisor divides Settings.MaxPollInterval into the wait before discovery is polled
// again after a failed poll.
const discoveryRetryDivisor = 10

// role is the function of an endpoint for a location. Iteration over roles is in this order.
type role int

const (
	roleCache role = iota
	roleParent
	roleOrigin
)

const roleCount = int(roleOrigin) + 1

// byRole holds one value per role, indexed by role.
type byRole[T any] [roleCount]T

// endpoint is the state of one endpoint since its latest start.
type endpoint struct {
	id          string
	hash        uint64
	role        role
	zone, cell  int // zone is an index into Settings.Zones; -1: not among them
	weight      float64
	incarnation time.Duration // time of its latest start
	up          bool

	// Outlier detection.
	lastOK                time.Duration // time of the latest usable answer
	overdueAnswers        int           // attempts without a timely answer since lastOK
	errorRate             float64       // smoothed share of attempts that failed, 0 to 1
	unattributedErrorRate float64       // smoothed share of attempts that ended in an error of unknown cause, 0 to 1
	ejectedUntil          time.Duration
	ejectionDuration      time.Duration // length of the latest ejection; 0: none since the error rate was last below ejectionErrorRate
	probationInFlight     bool          // the ejection is over, and one trial attempt is in flight

	// Limits.
	concurrencyLimit  concurrency.Limit // on this director's attempts in flight here, and on those that wait for a fill from here
	lastSuccessSentAt time.Duration     // sending time of the latest attempt that it answered successfully, by itself or as fill source
	lastHitRejectedAt time.Duration     // sending time of the latest attempt that should have been a hit and was rejected at once
	lastLateFill      time.Duration     // time of the latest late fill from here
	load              loadreport.Load

	// Fills from it.
	fillLatency    time.Duration // smoothed time of attempts with a fill from here, without the transfer
	fillLatencyAt  time.Duration // time of the latest update of fillLatency
	minFillLatency time.Duration // shortest time of an attempt with a fill from here; 0: none yet

	// Slow start.
	workRate        float64 // smoothed work per second that it did for this director
	workRateAt      time.Duration
	slowStartBudget slowstart.Budget

	listings []*mappingEntry // entries listed at this cache, the longest gap first
}

// update applies an entry of the endpoint list.
func (ep *endpoint) update(settings *Settings, listed Endpoint) {
	ep.id, ep.hash = listed.ID, hash(listed.ID)
	ep.role = settings.roleOf(listed.Kind)
	ep.zone, ep.cell = slices.Index(settings.Zones, listed.Zone), listed.Cell
	ep.up = listed.Phase == Up
	ep.weight = cmp.Or(max(0, listed.Weight), 1)
}

// roleOf returns the role of a kind of machine: cache, unless it is the kind of the parents or of
// the origin.
func (s *Settings) roleOf(kind string) role {
	k := slices.Index(s.Kinds, kind)
	switch {
	case k >= 0 && k == s.ParentKind:
		return roleParent
	case k == s.OriginKind:
		return roleOrigin
	}
	return roleCache
}

// transferSlots returns how many transfers the endpoint's link carries at full pace; 0: unknown.
func (ep *endpoint) transferSlots(weightsKnown bool) float64 {
	if !weightsKnown {
		return 0
	}
	return ep.weight
}

// updateEndpoints applies a watch event. After a lost watch the list stays as it was.
func (d *Director) updateEndpoints(u EndpointUpdate) {
	if u.Kind == WatchLost {
		if d.settings.PollDiscovery {
			d.emit(SetTimer{At: d.now + d.settings.MaxPollInterval/discoveryRetryDivisor, Token: pollToken})
		}
		return
	}
	if u.Kind == StaleList && d.settings.Gossip {
		d.emit(SendGossip{To: AllDirectors, Data: encodeGreeting(d.zone)})
	}
	if u.Kind == StaleList && d.settings.PollDiscovery {
		d.emit(PollEndpoints{})
	}
	if u.Kind != DeltaList { // endpoints missing from a full list are not up
		for _, ep := range d.endpoints {
			ep.up = false
		}
	}
	for _, listed := range u.Endpoints {
		d.updateEndpoint(listed)
	}
	d.collectUpEndpoints()
	d.updateMinLimits()
}

// updateEndpoint applies one entry of an endpoint list. A changed incarnation resets the endpoint's
// state, except for its attempts in flight. An endpoint that is removed stays reachable from
// attempts in flight.
func (d *Director) updateEndpoint(listed Endpoint) {
	ep := d.endpoints[listed.ID]
	if ep == nil {
		ep = &endpoint{}
		d.endpoints[listed.ID] = ep
	}
	if ep.id == "" || ep.incarnation != listed.Incarnation {
		inFlight := ep.concurrencyLimit.InFlight
		*ep = endpoint{incarnation: listed.Incarnation, concurrencyLimit: concurrency.Unlimited()}
		ep.concurrencyLimit.InFlight = inFlight
	}
	ep.update(&d.settings, listed)
	if listed.Phase == Removed {
		delete(d.endpoints, listed.ID)
	}
}

// collectUpEndpoints collects the endpoints that may be chosen: those that are up, of the caches
// only those of this location.
func (d *Director) collectUpEndpoints() {
	d.upEndpoints = byRole[[]*endpoint]{}
	for _, ep := range d.endpoints {
		if ep.up && (ep.role != roleCache || ep.zone == d.zone) {
			d.upEndpoints[ep.role] = append(d.upEndpoints[ep.role], ep)
		}
	}
	for _, endpoints := range d.upEndpoints {
		slices.SortFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	}
}
