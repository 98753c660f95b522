package test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"larchusher/lab/faultinjection"
)

// Several gateways replicate purges and drains while some of them are killed, paused or partitioned and journals deliver
// events seconds late. A gateway must obey each event that it has received, and after the last fault all must have the
// same state; without partitions, all must obey an event that one has received. The checks use the requests recorded by
// the stores. Results of the full run are in docs/measurements/replication.md.
func TestReplicatedStateConvergesUnderFaults(t *testing.T) {
	named, err := faultinjection.NamedPlots()
	if err != nil {
		t.Fatal(err)
	}
	plots := []*faultinjection.Plot{named["purge-late"], faultinjection.GenerateReplication(2001), faultinjection.GenerateReplication(2006)}
	var all sync.WaitGroup
	for _, plot := range plots {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
			defer cancel()
			v, err := faultinjection.Run(ctx, program, plot)
			if err != nil {
				t.Errorf("seed %d: the scenario failed to run: %v\n%s", plot.Seed, err, plot)
				return
			}
			if len(v.Violations) > 0 {
				t.Errorf("seed %d: violations:\n%s\nscenario:\n%s", plot.Seed, strings.Join(v.Violations, "\n"), plot)
			}
			if v.Purges < 4 || v.Clients.Served < v.Clients.Sent/2 {
				t.Errorf("seed %d: %d purges were delivered, %d of %d requests served; want at least 4, and half served", plot.Seed, v.Purges, v.Clients.Served, v.Clients.Sent)
			}
		})
	}
	all.Wait()
}
