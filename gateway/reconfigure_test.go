package gateway_test

import (
	"testing"
	"time"

	"larchusher/gateway"
	"larchusher/locality"
	"larchusher/routing"
)

// A reload whose localities were at fault had its classes taken in all the same, and counted as a success.
func TestReconfigurationIsAtomic(t *testing.T) {
	newClasses := []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 1}}
	valid := locality.Config{Localities: []locality.Locality{{Name: "here"}, {Name: "there", Level: 1}}}
	swapped := locality.Config{Localities: []locality.Locality{{Name: "there"}, {Name: "here", Level: 1}}}
	negative := valid
	negative.MaxSpillover = -1
	for name, c := range map[string]struct {
		change  gateway.Reconfiguration
		applied bool
	}{
		"sound":                    {gateway.Reconfiguration{Classes: newClasses, Localities: &valid}, true},
		"localities of others":     {gateway.Reconfiguration{Classes: newClasses, Localities: &swapped}, false},
		"a limit that is negative": {gateway.Reconfiguration{Classes: newClasses, Localities: &negative}, false},
		"no classes":               {gateway.Reconfiguration{Localities: &valid}, false},
	} {
		h := newTwoLocalityGateway(t)
		h.onLoop(func() {
			err := h.g.Reconfigure(c.change)
			if isApplied := h.g.Classes()[0].Deadline == 9*time.Second; (err == nil) != c.applied || isApplied != c.applied {
				t.Errorf("%s: taken %v, %v", name, isApplied, err)
			}
		})
	}
}
