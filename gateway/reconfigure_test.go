package gateway_test

import (
	"testing"
	"time"

	"larchusher/gateway"
	"larchusher/locality"
	"larchusher/routing"
)

// A reload is applied as a whole or not at all. Guards against a reload with a faulty configuration
// of localities that applied its classes all the same, and counted as a success.
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
		"valid":                       {gateway.Reconfiguration{Classes: newClasses, Localities: &valid}, true},
		"another order of localities": {gateway.Reconfiguration{Classes: newClasses, Localities: &swapped}, false},
		"a negative limit":            {gateway.Reconfiguration{Classes: newClasses, Localities: &negative}, false},
		"no classes":                  {gateway.Reconfiguration{Localities: &valid}, false},
	} {
		h := newTwoLocalityGateway(t)
		h.onLoop(func() {
			err := h.g.Reconfigure(c.change)
			if isApplied := h.g.Classes()[0].Deadline == 9*time.Second; (err == nil) != c.applied || isApplied != c.applied {
				t.Errorf("%s: classes applied: %v, error: %v, want both no error and applied classes, or an error and neither applied", name, isApplied, err)
			}
		})
	}
}
