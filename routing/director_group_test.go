package routing

import (
	"testing"
	"time"
)

// fleet drives many directors over one clock, by hand.
type fleet struct {
	t    *testing.T
	now  time.Duration
	rigs []*rig
}

// newFleet returns n directors that share the location of settings, each with a seed of its own.
func newFleet(t *testing.T, n int, change func(*Settings)) *fleet {
	t.Helper()
	f := &fleet{t: t, now: time.Hour}
	for i := range n {
		f.rigs = append(f.rigs, f.start(i, n, change))
	}
	return f
}

// start returns director i of n, just started.
func (f *fleet) start(i, n int, change func(*Settings)) *rig {
	s := settings()
	s.Index, s.Directors, s.ZoneDirectors = i, n, []int{0, n, 0}
	s.Gossip = false
	if change != nil {
		change(&s)
	}
	d, err := New(s, uint64(i)+1)
	if err != nil {
		f.t.Fatal(err)
	}
	r := &rig{t: f.t, d: d, now: f.now}
	r.do(EndpointUpdate{Kind: FullList, Endpoints: members()})
	return r
}
