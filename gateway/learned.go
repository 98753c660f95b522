package gateway

import (
	"strconv"
	"strings"
	"time"

	"larchusher/routing"
	"larchusher/warmstart"
)

// ExportLearned returns a copy of what each director has learned, with at most maxListings listings
// of each mapping table.
func (g *Gateway) ExportLearned(maxListings int) (all []routing.LearnedState) {
	for _, d := range g.directors {
		all = append(all, d.Export(g.now(), maxListings))
	}
	return all
}

// ImportSnapshot imports a warm-start snapshot into the directors of the localities that it covers.
// gateway is the name of this gateway, settings the fingerprint of its settings. The endpoint list
// must have been received before.
func (g *Gateway) ImportSnapshot(s *warmstart.Snapshot, gateway, settings string) warmstart.ImportReport {
	all := map[string]*routing.Director{}
	for i, d := range g.directors {
		all[g.names[i]] = d
	}
	return s.Import(g.now(), gateway, settings, all)
}

// ImportLearned imports what peers have learned into the director of the state's zone, with the
// confidence that the age of the state leaves. It does nothing if no director has that zone.
func (g *Gateway) ImportLearned(state routing.LearnedState) (counts routing.ImportCounts) {
	for i, d := range g.directors {
		if g.names[i] == state.Zone {
			counts = d.Import(g.now(), state, warmstart.ConfidenceAt)
		}
	}
	return counts
}

// ApplyPeerPurge applies a purge that a peer has received, given its age. key is the name of an
// object, or of a group in the form of [larchusher/purge.GroupName]. A malformed group name is ignored.
func (g *Gateway) ApplyPeerPurge(key string, age time.Duration) {
	p := routing.Purge{Object: key, Age: age}
	if group, ok := strings.CutPrefix(key, " "); ok {
		n, err := strconv.Atoi(group)
		if err != nil {
			return
		}
		p = routing.Purge{Group: n, Age: age}
	}
	g.handleInAll(p)
}
