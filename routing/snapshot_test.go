package routing

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

func fullConfidence(time.Duration) Confidence { return Confidence{1, 1, 1, 1} }

// trainedDirector returns a director that has learned listings of some objects, an error rate of
// one endpoint and one purge.
func trainedDirector(t *testing.T, now time.Duration, members []Endpoint) *Director {
	t.Helper()
	d, err := New(snapshotSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(now, EndpointUpdate{Kind: FullList, Endpoints: members}, nil)
	for i := range 200 {
		now += 10 * time.Millisecond
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for _, a := range d.Handle(now, Request{ID: id, Class: snapshotSettings().Classes[0].Name, Object: "f-" + string(rune('a'+i%20)), Deadline: now + 2*time.Second}, nil) {
			if forward, ok := a.(ForwardAttempt); ok {
				d.Handle(now+5*time.Millisecond, AttemptResult{ID: id, Endpoint: forward.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 5 * time.Millisecond}, nil)
			}
		}
	}
	d.Handle(now, Purge{Object: "f-z", Age: time.Second}, nil)
	d.endpoints[members[1].ID].errorRate = 0.3
	return d
}

func snapshotSettings() Settings {
	s := defaultSettings()
	s.PurgeSettleTime = 6 * time.Second
	return s
}

func snapshotEndpoints(now time.Duration) []Endpoint {
	return []Endpoint{{ID: "c1", Zone: "here", Kind: "box", Weight: 1}, {ID: "c2", Zone: "here", Kind: "box", Weight: 1},
		{ID: "c3", Zone: "here", Kind: "box", Weight: 1, Incarnation: now - 2*time.Second}, {ID: "x1", Zone: "there", Kind: "box", Weight: 1},
		{ID: "p1", Zone: "hub", Kind: "parent", Weight: 1}, {ID: "o1", Zone: "hub", Kind: "origin", Weight: 1}}
}

// Learned state is imported, except listings of endpoints that are gone, have restarted or are
// warming up.
func TestImportRestoresExportedState(t *testing.T) {
	const now = 1000 * time.Hour
	d := trainedDirector(t, now, snapshotEndpoints(now))
	exported := d.Export(now+5*time.Second, 0)
	if len(exported.Listings) == 0 || len(exported.Endpoints) != 6 || len(exported.Purges) != 1 {
		t.Fatalf("exported %d listings, %d endpoints and %d purges, want at least 1, 6 and 1", len(exported.Listings), len(exported.Endpoints), len(exported.Purges))
	}
	listingsAt := map[string]int{}
	for _, l := range exported.Listings {
		listingsAt[l.Endpoint]++
	}
	newDirector := func(members []Endpoint) *Director {
		d, err := New(snapshotSettings(), 2)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(now+5*time.Second, EndpointUpdate{Kind: StaleList, Endpoints: members}, nil)
		return d
	}
	next := newDirector(snapshotEndpoints(now))
	counts := next.Import(now+5*time.Second, exported, fullConfidence)
	if counts.Listings != listingsAt["c1"]+listingsAt["c2"] || counts.WarmingUp != listingsAt["c3"] || counts.Purges != 1 || counts.Endpoints != 6 || next.endpoints["c2"].errorRate != 0.3 {
		t.Errorf("counts %+v of listings %v; error rate %v, want 0.3", counts, listingsAt, next.endpoints["c2"].errorRate)
	}
	if reexported := next.Export(now+5*time.Second, 0); len(reexported.Listings) != counts.Listings || !reflect.DeepEqual(reexported.Purges, exported.Purges) {
		t.Errorf("%d listings imported, %d exported again, want equal numbers and the same purges", counts.Listings, len(reexported.Listings))
	}
	// c1 has restarted since the export, c2 is gone.
	members := snapshotEndpoints(now)
	members[0].Incarnation = now + 4*time.Second
	counts = newDirector(append(members[:1:1], members[2:]...)).Import(now+5*time.Second, exported, fullConfidence)
	if counts.Listings != 0 || counts.Restarted != listingsAt["c1"]+1 || counts.Gone != listingsAt["c2"]+1 {
		t.Errorf("counts %+v of listings %v, want the listings and the state of c1 as restarted and those of c2 as gone", counts, listingsAt)
	}
	if counts = newDirector(snapshotEndpoints(now)).Import(now+5*time.Second, exported, func(time.Duration) Confidence { return Confidence{} }); counts.Listings > 0 || counts.Expired == 0 {
		t.Errorf("state without any confidence was imported: %+v", counts)
	}
}

// An import changes no slow-start budget, and items with impossible values are skipped.
func TestImportLeavesSlowStartBudgets(t *testing.T) {
	const now = 1000 * time.Hour
	d := trainedDirector(t, now, snapshotEndpoints(now))
	m := d.Export(now+5*time.Second, 0)
	invalid := LearnedState{Listings: []Listing{{Key: 1, Endpoint: "c1", Count: math.NaN()}, {Key: 2, Endpoint: "c1", LastRequest: now * 2}, {Key: 3, Endpoint: "x1"}, {Key: 4, Endpoint: "p1"}},
		Endpoints: []EndpointHealth{{Endpoint: "c1", ErrorRate: 7}, {Endpoint: "c1", ConcurrencyLimit: math.Inf(1)}, {Endpoint: "c2", LateShare: math.NaN()}}}
	untouched, _ := New(snapshotSettings(), 3)
	imported, _ := New(snapshotSettings(), 3)
	for _, d := range []*Director{untouched, imported} {
		d.Handle(now+5*time.Second, EndpointUpdate{Kind: StaleList, Endpoints: snapshotEndpoints(now)}, nil)
	}
	imported.Import(now+5*time.Second, m, fullConfidence)
	if u := imported.Import(now+5*time.Second, invalid, fullConfidence); u.Invalid != 7 {
		t.Errorf("counts %+v, want 7 invalid items", u)
	}
	for id, s := range untouched.endpoints {
		if o := imported.endpoints[id]; !reflect.DeepEqual(o.slowStartBudget, s.slowStartBudget) || o.workRate != s.workRate {
			t.Errorf("%s: budget %v without the import and %v with it, rate %v and %v, want equal ones", id, s.slowStartBudget, o.slowStartBudget, s.workRate, o.workRate)
		}
	}
	if untouched.warmRate != imported.warmRate {
		t.Errorf("warm rates %v and %v, want equal ones", untouched.warmRate, imported.warmRate)
	}
}

// State that is not confirmed does not regain confidence by repeated export and import.
func TestConfidenceDecaysOverRestarts(t *testing.T) {
	const start = 1000 * time.Hour
	d := trainedDirector(t, start, snapshotEndpoints(start)[:2:2])
	now := start + 5*time.Second
	halfLife := func(age time.Duration) Confidence {
		w := math.Exp2(-float64(age) / float64(10*time.Second))
		return Confidence{w, w, w, w}
	}
	errorRate, listings := 0.3, len(d.Export(now, 0).Listings)
	for range 30 {
		m := d.Export(now, 0)
		now += 2 * time.Second
		next, err := New(snapshotSettings(), 4)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(now, EndpointUpdate{Kind: StaleList, Endpoints: snapshotEndpoints(start)[:2:2]}, nil)
		next.Import(now, m, halfLife)
		if f := next.endpoints["c2"].errorRate; f > errorRate {
			t.Fatalf("error rate %v after an import, %v before, want no rise", f, errorRate)
		} else {
			errorRate = f
		}
		d = next
	}
	if n := len(d.Export(now, 0).Listings); n > listings/10 || errorRate > 0.01 {
		t.Errorf("after a minute of restarts %d of %d listings and an error rate of %v are left, want a tenth and 0.01 at most", n, listings, errorRate)
	}
}

func BenchmarkExport(b *testing.B) {
	for _, n := range []int{256 * 12, 49152} {
		d, _ := New(snapshotSettings(), 1)
		d.Handle(time.Hour, EndpointUpdate{Endpoints: snapshotEndpoints(time.Hour)[:2:2]}, nil)
		for i := range n {
			e := &mappingEntry{key: uint64(i), cache: d.endpoints["c1"]}
			e.recency = d.byRecency.PushFront(e)
			d.table[e.key] = e
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				d.Export(time.Hour, 0)
			}
		})
	}
}
