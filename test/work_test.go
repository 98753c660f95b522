package test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"larchusher/lab/faultinjection"
)

// Maintenance requests must be completed, and their rules kept, while several gateways suffer drawn faults: kills with and
// without loss of the state folder, pauses, partitions, one-way partitions, lost and duplicated messages, and crashes of
// caches. The checks use the records of the fake machines. Results of the full run are in docs/measurements/work.md.
func TestMaintenanceCompletesUnderFaults(t *testing.T) {
	var all sync.WaitGroup
	for _, seed := range []uint64{1, 5, 12, 18} {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
			defer cancel()
			plot := faultinjection.Generate(seed)
			v, err := faultinjection.Run(ctx, program, plot)
			if err != nil {
				t.Errorf("seed %d: the scenario failed to run: %v\n%s", seed, err, plot)
				return
			}
			if len(v.Violations) > 0 {
				t.Errorf("seed %d: violations:\n%s\nscenario:\n%s", seed, strings.Join(v.Violations, "\n"), plot)
			}
			if v.Completed < 2 {
				t.Errorf("seed %d: %d of %d maintenance requests were completed, want at least 2", seed, v.Completed, v.Requested)
			}
		})
	}
	all.Wait()
}
