package test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"larchusher/lab/faultinjection"
)

// Plots of faults over several processes of the program: kills with and without the folder, stops, partitions, one-way cuts, lost
// and doubled messages, crashes of boxes. The machines' own records judge. The whole run is in docs/measurements/work.md.
func TestMaintenanceCompletesUnderFaults(t *testing.T) {
	var all sync.WaitGroup
	for _, seed := range []uint64{1, 5, 12, 18} {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
			defer cancel()
			plot := faultinjection.Draw(seed)
			v, err := faultinjection.Run(ctx, program, plot)
			if err != nil {
				t.Errorf("seed %d: %v\n%s", seed, err, plot)
				return
			}
			if len(v.Faults) > 0 {
				t.Errorf("seed %d: %s\n%s", seed, strings.Join(v.Faults, "\n"), plot)
			}
			if v.Done < 2 {
				t.Errorf("seed %d: %d of %d works were done", seed, v.Done, v.Asked)
			}
		})
	}
	all.Wait()
}
