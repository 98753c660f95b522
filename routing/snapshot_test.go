package routing

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

func believed(time.Duration) Confidence { return Confidence{1, 1, 1, 1} }

// taught is a director that has learned where some objects are, with one server that fails and one purge.
func taught(t *testing.T, now time.Duration, members []Endpoint) *Director {
	t.Helper()
	d, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(now, EndpointUpdate{Kind: FullList, Endpoints: members}, nil)
	for i := range 200 {
		now += 10 * time.Millisecond
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for _, a := range d.Handle(now, Request{ID: id, Class: testSettings().Classes[0].Name, Object: "f-" + string(rune('a'+i%20)), Deadline: now + 2*time.Second}, nil) {
			if ask, ok := a.(ForwardAttempt); ok {
				d.Handle(now+5*time.Millisecond, AttemptResult{ID: id, Endpoint: ask.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 5 * time.Millisecond}, nil)
			}
		}
	}
	d.Handle(now, Purge{Object: "f-z", Age: time.Second}, nil)
	d.endpoints[members[1].ID].errorRate = 0.3
	return d
}

func testSettings() Settings {
	s := settings()
	s.PurgeSettleTime = 6 * time.Second
	return s
}

func testMembers(now time.Duration) []Endpoint {
	return []Endpoint{{ID: "c1", Zone: "here", Kind: "box", Weight: 1}, {ID: "c2", Zone: "here", Kind: "box", Weight: 1},
		{ID: "c3", Zone: "here", Kind: "box", Weight: 1, Incarnation: now - 2*time.Second}, {ID: "x1", Zone: "there", Kind: "box", Weight: 1},
		{ID: "p1", Zone: "hub", Kind: "parent", Weight: 1}, {ID: "o1", Zone: "hub", Kind: "origin", Weight: 1}}
}

// What was learned is taken in, but for what speaks of servers that are gone, have restarted or are cold.
func TestMemoryOutlivesADirector(t *testing.T) {
	const now = 1000 * time.Hour
	d := taught(t, now, testMembers(now))
	m := d.Export(now+5*time.Second, 0)
	if len(m.Listings) == 0 || len(m.Endpoints) != 6 || len(m.Purges) != 1 {
		t.Fatalf("%d listings, %d servers, %d purges", len(m.Listings), len(m.Endpoints), len(m.Purges))
	}
	at := map[string]int{}
	for _, l := range m.Listings {
		at[l.Endpoint]++
	}
	fresh := func(members []Endpoint) *Director {
		d, err := New(testSettings(), 2)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(now+5*time.Second, EndpointUpdate{Kind: StaleList, Endpoints: members}, nil)
		return d
	}
	next := fresh(testMembers(now))
	u := next.Import(now+5*time.Second, m, believed)
	if u.Listings != at["c1"]+at["c2"] || u.WarmingUp != at["c3"] || u.Purges != 1 || u.Endpoints != 6 || next.endpoints["c2"].errorRate != 0.3 {
		t.Errorf("%+v of %v, failing %v", u, at, next.endpoints["c2"].errorRate)
	}
	if again := next.Export(now+5*time.Second, 0); len(again.Listings) != u.Listings || !reflect.DeepEqual(again.Purges, m.Purges) {
		t.Errorf("%d listings, and copied out again %d", u.Listings, len(again.Listings))
	}
	// One has restarted since, one is gone.
	members := testMembers(now)
	members[0].Incarnation = now + 4*time.Second
	u = fresh(append(members[:1:1], members[2:]...)).Import(now+5*time.Second, m, believed)
	if u.Listings != 0 || u.Restarted != at["c1"]+1 || u.Gone != at["c2"]+1 {
		t.Errorf("%+v of %v", u, at)
	}
	if u = fresh(testMembers(now)).Import(now+5*time.Second, m, func(time.Duration) Confidence { return Confidence{} }); u.Listings > 0 || u.Expired == 0 {
		t.Errorf("what counts for nothing is used: %+v", u)
	}
}

// Nothing of it moves a cold server's budget, and odd values are passed over.
func TestMemoryKnowsNoBudgets(t *testing.T) {
	const now = 1000 * time.Hour
	d := taught(t, now, testMembers(now))
	m := d.Export(now+5*time.Second, 0)
	odd := LearnedState{Listings: []Listing{{Key: 1, Endpoint: "c1", Count: math.NaN()}, {Key: 2, Endpoint: "c1", LastRequest: now * 2}, {Key: 3, Endpoint: "x1"}, {Key: 4, Endpoint: "p1"}},
		Endpoints: []EndpointHealth{{Endpoint: "c1", ErrorRate: 7}, {Endpoint: "c1", ConcurrencyLimit: math.Inf(1)}, {Endpoint: "c2", LateShare: math.NaN()}}}
	a, _ := New(testSettings(), 3)
	b, _ := New(testSettings(), 3)
	for _, d := range []*Director{a, b} {
		d.Handle(now+5*time.Second, EndpointUpdate{Kind: StaleList, Endpoints: testMembers(now)}, nil)
	}
	b.Import(now+5*time.Second, m, believed)
	if u := b.Import(now+5*time.Second, odd, believed); u.Invalid != 7 {
		t.Errorf("%+v", u)
	}
	for id, s := range a.endpoints {
		if o := b.endpoints[id]; !reflect.DeepEqual(o.slowStartBudget, s.slowStartBudget) || o.workRate != s.workRate {
			t.Errorf("%s: budget %v and %v, rate %v and %v", id, s.slowStartBudget, o.slowStartBudget, s.workRate, o.workRate)
		}
	}
	if a.carriedRate != b.carriedRate {
		t.Errorf("carried %v and %v", a.carriedRate, b.carriedRate)
	}
}

// Knowledge that nobody confirms does not grow young by restarts.
func TestMemoryDoesNotVouchForItself(t *testing.T) {
	const start = 1000 * time.Hour
	d := taught(t, start, testMembers(start)[:2:2])
	now := start + 5*time.Second
	half := func(age time.Duration) Confidence {
		w := math.Exp2(-float64(age) / float64(10*time.Second))
		return Confidence{w, w, w, w}
	}
	failing, listings := 0.3, len(d.Export(now, 0).Listings)
	for range 30 {
		m := d.Export(now, 0)
		now += 2 * time.Second
		next, err := New(testSettings(), 4)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(now, EndpointUpdate{Kind: StaleList, Endpoints: testMembers(start)[:2:2]}, nil)
		next.Import(now, m, half)
		if f := next.endpoints["c2"].errorRate; f > failing {
			t.Fatalf("failing %v, and was %v", f, failing)
		} else {
			failing = f
		}
		d = next
	}
	if n := len(d.Export(now, 0).Listings); n > listings/10 || failing > 0.01 {
		t.Errorf("after a minute of restarts %d of %d listings and a failing share of %v are left", n, listings, failing)
	}
}

func BenchmarkExport(b *testing.B) {
	for _, n := range []int{256 * 12, 49152} {
		d, _ := New(testSettings(), 1)
		d.Handle(time.Hour, EndpointUpdate{Endpoints: testMembers(time.Hour)[:2:2]}, nil)
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
