package gateway

import (
	"strconv"
	"strings"
	"time"

	"larchusher/routing"
	"larchusher/warmstart"
)

// ExportLearned copies out what the directors have learned, at most maxListings of the mapping table of each.
func (g *Gateway) ExportLearned(maxListings int) (all []routing.LearnedState) {
	for _, d := range g.directors {
		all = append(all, d.Export(g.now(), maxListings))
	}
	return all
}

// ImportSnapshot has the directors take in what a snapshot holds of their localities. gateway is this gateway's name,
// settings the fingerprint of its settings. The endpoint list must be known.
func (g *Gateway) ImportSnapshot(s *warmstart.Snapshot, gateway, settings string) warmstart.ImportReport {
	all := map[string]*routing.Director{}
	for i, d := range g.directors {
		all[g.names[i]] = d
	}
	return s.Import(g.now(), gateway, settings, all)
}

// ImportLearned has the director of a zone take in what other gateways know, with the confidence that its age leaves.
func (g *Gateway) ImportLearned(m routing.LearnedState) (u routing.ImportCounts) {
	for i, d := range g.directors {
		if g.names[i] == m.Zone {
			u = d.Import(g.now(), m, warmstart.ConfidenceAt)
		}
	}
	return u
}

// ApplyPeerPurge takes in a purge that another gateway knows of, of that age. The key names an object, or a group as
// [larchusher/purge.GroupName] words it; a key that does neither is ignored.
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
