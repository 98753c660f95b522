package routing

import (
	"cmp"
	"slices"
	"time"
)

// EndpointObservation is what is known of an endpoint, for those who plan maintenance. Nothing is decided by it here.
type EndpointObservation struct {
	ID, Kind, Zone string // Kind is box, parent or origin
	Up, Warm       bool
	Usable         bool // neither its phase nor its failures keep it out of use
	Incarnation    time.Duration
	Weight         float64
	Utilization    float64 // share of its capacity in use, as recently reported; less than 0: not known
}

// When there is no time to have fewer endpoints; see pressure.
const (
	manyGroupPurges     = 3   // groups purged that have not settled: their copies are being fetched anew
	slowOriginLateShare = 0.3 // share of late fetches at which the origin is slow
)

// observedKinds are the names that EndpointObservation gives to roles.
var observedKinds = byRole[string]{roleCache: "box", roleParent: "parent", roleOrigin: "origin"}

// Observe gives all endpoints on the list in order of id, and why this is no time to have fewer of them; empty: nothing speaks
// against it.
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

// observedUtilization is the utilization that an endpoint recently reported; less than 0: not known. A cache of this location
// that we have asked nothing of late carries no load of ours, where loads are reported at all.
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

// pressure names what makes the caches' copies dear now; empty: nothing.
func (d *Director) pressure() string {
	if d.unsettledGroupPurges() >= manyGroupPurges {
		return "groups of objects were just purged"
	}
	if d.originFetches.LateShare >= slowOriginLateShare && d.now-d.originFetches.LastAnswer < recentWindow {
		return "the origin is slow"
	}
	return ""
}

// unsettledGroupPurges counts the groups of which older copies may be left.
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
