package locality

import (
	"strings"
	"testing"

	"larchusher/routing"
)

func TestDirectorSettings(t *testing.T) {
	base := routing.Settings{Directors: 4, Zone: "own", Zones: []string{"hub", "own", "near", "far"}, ZoneDirectors: []int{0, 2, 1, 1}, Gossip: true}
	for locality, want := range []int{12, 12, 12} {
		s, err := DirectorSettings(base, testConfig().Localities, locality)
		if err != nil || s.Zone != testConfig().Localities[locality].Name || s.ZoneDirectors[1] != 4 || s.Directors != want || s.Gossip != (locality == 0) {
			t.Errorf("director settings of locality %d: %+v, error %v", locality, s, err)
		}
	}
	if _, err := DirectorSettings(base, []Locality{{Name: "own"}, {Name: "nowhere"}}, 1); err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Errorf("error %v, want one about the unknown zone", err)
	}
}

func TestEndpointIndexCountsCachesUp(t *testing.T) {
	index := NewEndpointIndex(routing.Settings{Kinds: []string{"box", "parent", "origin"}, ParentKind: 1, OriginKind: 2}, testConfig().Localities)
	list := []routing.Endpoint{{ID: "a", Zone: "own", Kind: "box"}, {ID: "b", Zone: "own", Kind: "box", Phase: routing.Draining},
		{ID: "c", Zone: "near", Kind: "box"}, {ID: "p", Zone: "own", Kind: "parent"}, {ID: "x", Zone: "elsewhere", Kind: "box"}}
	if up := index.Update(routing.EndpointUpdate{Kind: routing.FullList, Endpoints: list}); up[0] != 1 || up[1] != 1 || up[2] != 0 {
		t.Errorf("caches up by locality: %v, want 1, 1 and 0 of the full list", up)
	}
	if up := index.Update(routing.EndpointUpdate{Kind: routing.DeltaList, Endpoints: []routing.Endpoint{{ID: "a", Phase: routing.Removed},
		{ID: "d", Zone: "far", Kind: "box"}}}); up[0] != 0 || up[1] != 1 || up[2] != 1 {
		t.Errorf("caches up by locality: %v, want 0, 1 and 1 after the update", up)
	}
	if up := index.Update(routing.EndpointUpdate{Kind: routing.WatchLost}); up[2] != 1 || !index.IsCache("c", 1) || index.IsCache("c", 0) || index.IsCache("p", 0) {
		t.Errorf("caches up by locality: %v, want an unchanged index after the loss of the watch", up)
	}
}
