package locality

import (
	"fmt"
	"slices"

	"larchusher/routing"
)

// DirectorSettings are what the director of a locality goes by, of a gateway that has one for each: base is that of the own one.
//
// Every gateway of the installation may send to every locality, and has as many directors that use the same upper caches.
// A director spends on a cold server by what warm ones of its size do for it, which adds up to what they can do however
// many directors there are; but each has a floor, and floors are shared out by the number of directors.
func DirectorSettings(base routing.Settings, localities []Locality, where int) (routing.Settings, error) {
	s, l := base, localities[where]
	if !slices.Contains(s.Zones, l.Name) {
		return s, fmt.Errorf("tiers: Localities[%d].Name: %q is none of the zones, which are %q", where, l.Name, s.Zones)
	}
	s.Zone = l.Name
	all := max(1, base.Directors)
	s.ZoneDirectors = make([]int, len(s.Zones))
	for i := range s.ZoneDirectors {
		s.ZoneDirectors[i] = all
	}
	s.Directors = all * len(localities)
	// Hints are among the gateways of a location: those of another know nothing of our director for theirs.
	s.Gossip = base.Gossip && where == 0
	return s, nil
}

// ClassifyResult says what an attempt's end tells of its locality. cache: it went to a cache there, and not past them, which
// speaks against a locality that has caches. late: its answer came after its aim. along: another attempt's answer broke
// the connection that they shared.
func ClassifyResult(s routing.Status, cache, late, along bool) (r Result) {
	switch s {
	case routing.OK:
		if r = ResultSuccess; late {
			r = ResultLate
		}
	case routing.ServerError, routing.TimedOut, routing.ConnectFailed, routing.Reset:
		if r = ResultFailure; along {
			r = ResultNeutral
		}
	case routing.Rejected:
		r = ResultRejected
	default:
		r = ResultNeutral
	}
	if !cache && r != ResultNeutral {
		r = ResultFailure
	}
	return r
}

// EndpointIndex tells from lists of servers how many caches each locality has.
type EndpointIndex struct {
	localities  map[string]int // locality by zone
	isCacheKind func(kind string) bool
	endpoints   map[string]indexedEndpoint
	cachesUp    []int
}

type indexedEndpoint struct {
	where int // -1: no locality of ours
	cache bool
	up    bool
}

// NewEndpointIndex returns an empty one.
func NewEndpointIndex(s routing.Settings, localities []Locality) *EndpointIndex {
	r := &EndpointIndex{localities: map[string]int{}, endpoints: map[string]indexedEndpoint{}, cachesUp: make([]int, len(localities)), isCacheKind: func(kind string) bool {
		k := slices.Index(s.Kinds, kind)
		return k < 0 || k != s.OriginKind && k != s.ParentKind
	}}
	for i, l := range localities {
		r.localities[l.Name] = i
	}
	return r
}

// Update takes a list in, and returns how many caches are up, by locality. It is the roster's own.
func (r *EndpointIndex) Update(m routing.EndpointUpdate) []int {
	if m.Kind == routing.WatchLost {
		return r.cachesUp
	}
	if m.Kind != routing.DeltaList {
		clear(r.endpoints)
	}
	for _, e := range m.Endpoints {
		if e.Phase == routing.Removed {
			delete(r.endpoints, e.ID)
			continue
		}
		where, ok := r.localities[e.Zone]
		if !ok {
			where = -1
		}
		r.endpoints[e.ID] = indexedEndpoint{where: where, cache: r.isCacheKind(e.Kind), up: e.Phase == routing.Up}
	}
	clear(r.cachesUp)
	for _, e := range r.endpoints {
		if e.up && e.cache && e.where >= 0 {
			r.cachesUp[e.where]++
		}
	}
	return r.cachesUp
}

// IsCache says whether a server is a cache of a locality, and not one behind it.
func (r *EndpointIndex) IsCache(id string, where int) bool {
	e, ok := r.endpoints[id]
	return ok && e.cache && e.where == where
}
