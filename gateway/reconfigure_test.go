package gateway_test

import (
	"testing"
	"time"

	"larchusher/gateway"
	"larchusher/locality"
	"larchusher/routing"
)

// A reload whose localities were at fault had its classes taken in all the same, and counted as a success.
func TestAReconfigurationIsTakenInWholeOrNotAtAll(t *testing.T) {
	longer := []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 1}}
	sound := locality.Config{Localities: []locality.Locality{{Name: "here"}, {Name: "there", Level: 1}}}
	swapped := locality.Config{Localities: []locality.Locality{{Name: "there"}, {Name: "here", Level: 1}}}
	negative := sound
	negative.MaxSpillover = -1
	for name, c := range map[string]struct {
		change gateway.Reconfiguration
		taken  bool
	}{
		"sound":                    {gateway.Reconfiguration{Classes: longer, Localities: &sound}, true},
		"localities of others":     {gateway.Reconfiguration{Classes: longer, Localities: &swapped}, false},
		"a limit that is negative": {gateway.Reconfiguration{Classes: longer, Localities: &negative}, false},
		"no classes":               {gateway.Reconfiguration{Localities: &sound}, false},
	} {
		h := newPlaces(t)
		h.on(func() {
			err := h.g.Reconfigure(c.change)
			if isTaken := h.g.Classes()[0].Deadline == 9*time.Second; (err == nil) != c.taken || isTaken != c.taken {
				t.Errorf("%s: taken %v, %v", name, isTaken, err)
			}
		})
	}
}
