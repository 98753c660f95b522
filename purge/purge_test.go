package purge

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const settleTime = 6 * time.Second

// heard is a purge that a registry is told of.
type receivedPurge struct {
	object string
	group  int
	at     time.Duration
}

var drawPurge = rapid.Custom(func(t *rapid.T) receivedPurge {
	return receivedPurge{rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "object"), rapid.IntRange(0, 1).Draw(t, "group"),
		time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond}
})

// covers reports whether a purge is of an object or its group.
func (p receivedPurge) covers(object string, group int) bool {
	return p.object == object || p.object == "" && p.group == group
}

// newest is the newest of some purges that covers an object and has not settled.
func newestPurge(now time.Duration, all []receivedPurge, object string, group int) (at time.Duration, known bool) {
	for _, p := range all {
		if p.covers(object, group) && now-p.at <= settleTime && (!known || p.at > at) {
			at, known = p.at, true
		}
	}
	return at, known
}

// In whatever order, and however often, purges are heard: the newest of each name counts, until it has settled.
func TestNewestPurgeWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOf(drawPurge).Draw(t, "told")
		now := 9 * time.Second
		one, other := New(settleTime), New(settleTime)
		for _, p := range all {
			one.Record(now, p.object, p.group, p.at)
		}
		for _, p := range rapid.Permutation(append(all, all...)).Draw(t, "again") {
			other.Record(now, p.object, p.group, p.at)
		}
		if a, b := maps.Collect(one.All()), maps.Collect(other.All()); !maps.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
		for _, object := range []string{"a", "b"} {
			for group := range 2 {
				want, known := newestPurge(now, all, object, group)
				if at, ok := one.Latest(now, object, group); ok != known || ok && at != want {
					t.Fatalf("%s of %d: %v %v, want %v %v", object, group, at, ok, want, known)
				}
			}
		}
	})
}

func TestSettledPurgesAreDropped(t *testing.T) {
	registry := New(settleTime)
	if !registry.Record(time.Second, "a", 0, time.Second) || registry.Record(time.Second, "a", 0, 0) || registry.Merge(time.Second, "", time.Second) {
		t.Error("the first is news, an older one and one of nothing are not")
	}
	if _, ok := registry.Latest(8*time.Second, "a", 0); ok {
		t.Error("a settled purge still counts")
	}
	registry.Record(8*time.Second, "c", 0, 8*time.Second)
	if n := len(maps.Collect(registry.All())); n != 1 {
		t.Errorf("%d purges kept, want the one that has not settled", n)
	}
}
