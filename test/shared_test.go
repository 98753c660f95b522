package test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"larchusher/lab/faultinjection"
)

// Several processes of the program keep in common what they know, while some of them are killed, stopped and cut off, and journals
// tell purges and drains seconds late: what a gateway was told it heeds, and after the last fault all know the same. Where nothing is
// cut off, what one was told all heed. The stores' own records judge. The whole run is in docs/measurements/replication.md.
func TestReplicatedStateConvergesUnderFaults(t *testing.T) {
	named, err := faultinjection.Named()
	if err != nil {
		t.Fatal(err)
	}
	plots := []*faultinjection.Plot{named["purge-late"], faultinjection.DrawShared(2001), faultinjection.DrawShared(2006)}
	var all sync.WaitGroup
	for _, plot := range plots {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
			defer cancel()
			v, err := faultinjection.Run(ctx, program, plot)
			if err != nil {
				t.Errorf("seed %d: %v\n%s", plot.Seed, err, plot)
				return
			}
			if len(v.Faults) > 0 {
				t.Errorf("seed %d: %s\n%s", plot.Seed, strings.Join(v.Faults, "\n"), plot)
			}
			if v.Told < 4 || v.Client.Served < v.Client.Asked/2 {
				t.Errorf("seed %d: %d purges were told, %d of %d requests served", plot.Seed, v.Told, v.Client.Served, v.Client.Asked)
			}
		})
	}
	all.Wait()
}
