package routing

import (
	"testing"
	"time"
)

// directorGroup drives several directors on one clock.
type directorGroup struct {
	t         *testing.T
	now       time.Duration
	directors []*harness
}

// newDirectorGroup returns n directors of the same location with different seeds.
func newDirectorGroup(t *testing.T, n int, change func(*Settings)) *directorGroup {
	t.Helper()
	f := &directorGroup{t: t, now: time.Hour}
	for i := range n {
		f.directors = append(f.directors, f.startDirector(i, n, change))
	}
	return f
}

// startDirector returns director i of n, newly started.
func (f *directorGroup) startDirector(i, n int, change func(*Settings)) *harness {
	s := defaultSettings()
	s.Index, s.Directors, s.ZoneDirectors = i, n, []int{0, n, 0}
	s.Gossip = false
	if change != nil {
		change(&s)
	}
	d, err := New(s, uint64(i)+1)
	if err != nil {
		f.t.Fatal(err)
	}
	r := &harness{t: f.t, d: d, now: f.now}
	r.handle(EndpointUpdate{Kind: FullList, Endpoints: testEndpoints()})
	return r
}
