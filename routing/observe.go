package routing

import (
	"cmp"
	"slices"
	"time"
)

// EndpointObservation is the state of an endpoint for the planning of maintenance. The director
// bases no decision on it.
type EndpointObservation struct {
	ID, Kind, Zone string // Kind is box, parent or origin
	Up, Warm       bool
	Usable         bool // neither its phase nor its health excludes it from use
	Incarnation    time.Duration
	Weight         float64
	Utilization    float64 // recently reported share of its capacity in use; less than 0: unknown
}

// Thresholds from which on no endpoint should be taken out of use; see pressure.
const (
	manyGroupPurges     = 3   // purged groups that have not settled: their copies are being refetched
	slowOriginLateShare = 0.3 // share of late fetches, 0 to 1, at which the origin counts as slow
)

// observedKinds are the values of EndpointObservation.Kind.
var observedKinds = byRole[string]{roleCache: "box", roleParent: "parent", roleOrigin: "origin"}

// Observe returns all endpoints on the list, in order of id, and the reason why no endpoint should
// be taken out of use now; the reason is empty if there is none. Calls must not be concurrent with
// Handle.
func (d *Director) Observe(now time.Duration) (all []EndpointObservation, pressure string) {
	d.now = max(d.now, now)
	for _, ep := range d.endpoints {
		all = append(all, d.observeEndpoint(ep))
	}
	slices.SortFunc(all, func(a, b EndpointObservation) int { return cmp.Compare(a.ID, b.ID) })
	return all, d.pressure()
}

func (d *Director) observeEndpoint(ep *endpoint) EndpointObservation {
	o := EndpointObservation{
		ID:          ep.id,
		Kind:        observedKinds[ep.role],
		Up:          ep.up,
		Warm:        d.isWarm(ep),
		Usable:      ep.up && (d.healthy(ep) || d.inPanicMode(ep.role)),
		Incarnation: ep.incarnation,
		Weight:      ep.weight,
		Utilization: d.observedUtilization(ep),
	}
	if ep.zone >= 0 {
		o.Zone = d.settings.Zones[ep.zone]
	}
	return o
}

// observedUtilization returns the utilization that an endpoint recently reported; less than 0:
// unknown. A cache of this location without a recent report and without attempts in flight has a
// utilization of 0, if load reports exist in this deployment.
func (d *Director) observedUtilization(ep *endpoint) float64 {
	if utilization, ok := ep.load.Utilization(d.now); ok {
		return utilization
	}
	ours := ep.role == roleCache && ep.zone == d.zone
	if ours && d.loadFields.Present() && ep.concurrencyLimit.InFlight == 0 {
		return 0
	}
	return -1
}

// pressure returns the reason why the caches' copies are needed now, empty if there is none.
func (d *Director) pressure() string {
	if d.unsettledGroupPurges() >= manyGroupPurges {
		return "groups of objects were just purged"
	}
	if d.originFetches.LateShare >= slowOriginLateShare && d.now-d.originFetches.LastAnswer < recentWindow {
		return "the origin is slow"
	}
	return ""
}

// unsettledGroupPurges returns the number of groups that may still have copies older than their
// purge.
func (d *Director) unsettledGroupPurges() int {
	groups := 0
	for name, at := range d.purged.All() {
		isGroup := name[0] == ' ' // see purge.GroupName
		if isGroup && d.now-at <= d.settings.PurgeSettleTime {
			groups++
		}
	}
	return groups
}
