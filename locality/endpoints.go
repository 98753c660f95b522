package locality

import (
	"fmt"
	"slices"

	"larchusher/routing"
)

// DirectorSettings returns the settings of the director for one locality, given its index, in a
// gateway that has a director for each locality. base are the settings of the director for the own
// locality. It returns an error if the locality is not one of the zones.
//
// Every gateway of the installation may send to every locality, and so has one director for each.
// All directors share the parents. In slow start, a director sends an endpoint a load that depends
// on what warm endpoints serve for that director; over all directors this adds up to what the
// endpoints can serve, whatever the number of directors. But each director also sends a minimum,
// which has to be divided by the number of directors.
func DirectorSettings(base routing.Settings, localities []Locality, index int) (routing.Settings, error) {
	s, l := base, localities[index]
	if !slices.Contains(s.Zones, l.Name) {
		return s, fmt.Errorf("tiers: Localities[%d].Name: %q is not one of the zones, which are %q", index, l.Name, s.Zones)
	}
	s.Zone = l.Name
	gateways := max(1, base.Directors)
	s.ZoneDirectors = make([]int, len(s.Zones))
	for i := range s.ZoneDirectors {
		s.ZoneDirectors[i] = gateways
	}
	s.Directors = gateways * len(localities)
	// Gossip is exchanged among the gateways of one location. The gateways of another location do
	// not know of this gateway's director for their location.
	s.Gossip = base.Gossip && index == 0
	return s, nil
}

// EndpointIndex maintains the number of caches that are up in each locality, from the endpoint
// list.
type EndpointIndex struct {
	localities  map[string]int // index of a locality by its zone
	isCacheKind func(kind string) bool
	endpoints   map[string]indexedEndpoint // by endpoint id
	cachesUp    []int                      // number of caches up, by locality
}

// noLocality is the locality index of endpoints outside the localities.
const noLocality = -1

type indexedEndpoint struct {
	locality int // index, or noLocality
	cache    bool
	up       bool
}

// NewEndpointIndex returns an empty index for the localities.
func NewEndpointIndex(s routing.Settings, localities []Locality) *EndpointIndex {
	x := &EndpointIndex{
		localities: map[string]int{},
		endpoints:  map[string]indexedEndpoint{},
		cachesUp:   make([]int, len(localities)),
		isCacheKind: func(kind string) bool {
			k := slices.Index(s.Kinds, kind)
			return k < 0 || k != s.OriginKind && k != s.ParentKind
		},
	}
	for i, l := range localities {
		x.localities[l.Name] = i
	}
	return x
}

// Update applies an update of the endpoint list, and returns the number of caches that are up, by
// locality. The slice is the index's own, and is valid until the next call.
func (x *EndpointIndex) Update(u routing.EndpointUpdate) []int {
	if u.Kind == routing.WatchLost { // the endpoints known so far are kept
		return x.cachesUp
	}
	if u.Kind != routing.DeltaList {
		clear(x.endpoints)
	}
	for _, e := range u.Endpoints {
		x.set(e)
	}
	clear(x.cachesUp)
	for _, e := range x.endpoints {
		if e.up && e.cache && e.locality != noLocality {
			x.cachesUp[e.locality]++
		}
	}
	return x.cachesUp
}

// set applies the list entry of one endpoint.
func (x *EndpointIndex) set(e routing.Endpoint) {
	if e.Phase == routing.Removed {
		delete(x.endpoints, e.ID)
		return
	}
	locality, ok := x.localities[e.Zone]
	if !ok {
		locality = noLocality
	}
	x.endpoints[e.ID] = indexedEndpoint{locality: locality, cache: x.isCacheKind(e.Kind), up: e.Phase == routing.Up}
}

// IsCache reports whether an endpoint is a cache of a locality, and not a parent or the origin.
func (x *EndpointIndex) IsCache(id string, locality int) bool {
	e, ok := x.endpoints[id]
	return ok && e.cache && e.locality == locality
}
