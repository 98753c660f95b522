package routing

import (
	"cmp"
	"slices"
	"time"

	"larchusher/concurrency"
	"larchusher/loadreport"
	"larchusher/slowstart"
)

// discoveryRetryDivisor divides Settings.MaxPollInterval into the wait before discovery is polled again, when a poll was lost.
const discoveryRetryDivisor = 10

// role is what an endpoint does for a location. Roles are walked in this order.
type role int

const (
	roleCache role = iota
	roleParent
	roleOrigin
)

const roleCount = int(roleOrigin) + 1

// byRole holds a value for each role; it is indexed by role.
type byRole[T any] [roleCount]T

// endpoint is an endpoint that discovery has named, as it runs since its latest start.
type endpoint struct {
	id          string
	hash        uint64
	role        role
	zone, cell  int // zone is an index into Settings.Zones; -1: not among them
	weight      float64
	incarnation time.Duration // clock of its latest start
	up          bool

	// Outlier detection.
	lastOK                time.Duration // latest answer of any use
	overdueAnswers        int           // answers that were due since then
	errorRate             float64       // share of recent attempts that failed
	unattributedErrorRate float64       // share of them that ended in an error whose cause is unknown
	ejectedUntil          time.Duration
	ejectionDuration      time.Duration // length of the latest ejection; 0: it was not ejected since it was well
	probationInFlight     bool          // back from ejection, with one attempt in flight to try it

	// Limits.
	concurrencyLimit  concurrency.Limit // of our attempts in flight here, and of those that wait for a fill from here
	lastSuccessSentAt time.Duration     // latest sending that it answered well, by itself or as a fill source
	lastHitRejectedAt time.Duration     // latest sending of what should have been a hit and was rejected at once
	lastLateFill      time.Duration     // latest late fill by it
	load              loadreport.Load

	// Fills from it.
	fillLatency    time.Duration // recent time beyond the transfer itself,
	fillLatencyAt  time.Duration // when it was last seen
	minFillLatency time.Duration // least time of an attempt with a fill; 0: there was none

	// Slow start.
	workRate        float64 // work a second that it did for us recently,
	workRateAt      time.Duration
	slowStartBudget slowstart.Budget

	listings []*mappingEntry // the objects listed here, the one with the longest gap first
}

// update takes in what an endpoint list says of the endpoint.
func (ep *endpoint) update(settings *Settings, listed Endpoint) {
	ep.id, ep.hash = listed.ID, hash(listed.ID)
	ep.role = settings.roleOf(listed.Kind)
	ep.zone, ep.cell = slices.Index(settings.Zones, listed.Zone), listed.Cell
	ep.up = listed.Phase == Up
	ep.weight = cmp.Or(max(0, listed.Weight), 1)
}

// roleOf is the role of a kind of machine: a cache unless it is the parents' or the origin's kind.
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

// transferSlots is how many transfers at full pace the endpoint's link bears; 0: not known.
func (ep *endpoint) transferSlots(weightsKnown bool) float64 {
	if !weightsKnown {
		return 0
	}
	return ep.weight
}

// updateEndpoints takes in a watch event. A lost watch leaves the list as it was.
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
	if u.Kind != DeltaList { // what a full list doesn't name is not up
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

// updateEndpoint takes in one endpoint of a list. A restart makes a new, empty endpoint, but for the attempts that are still in
// flight. Attempts in flight hold on to an endpoint that is removed.
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

// collectInUse finds the endpoints that may be chosen: those that are up, of caches only this location's.
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
