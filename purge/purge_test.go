package purge

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const settleTime = 6 * time.Second

// receivedPurge is a purge that a registry receives.
type receivedPurge struct {
	object string
	group  int
	at     time.Duration
}

var drawPurge = rapid.Custom(func(t *rapid.T) receivedPurge {
	return receivedPurge{rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "object"), rapid.IntRange(0, 1).Draw(t, "group"),
		time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond}
})

// covers reports whether the purge is of an object or its group.
func (p receivedPurge) covers(object string, group int) bool {
	return p.object == object || p.object == "" && p.group == group
}

// newestPurge returns the time of the newest of some purges that covers an object and has not
// settled.
func newestPurge(now time.Duration, all []receivedPurge, object string, group int) (at time.Duration, known bool) {
	for _, p := range all {
		if p.covers(object, group) && now-p.at <= settleTime && (!known || p.at > at) {
			at, known = p.at, true
		}
	}
	return at, known
}

// For any order and repetition of purges, the newest purge of each name counts until it has
// settled.
func TestNewestPurgeWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOf(drawPurge).Draw(t, "purges")
		now := 9 * time.Second
		one, other := New(settleTime), New(settleTime)
		for _, p := range all {
			one.Record(now, p.object, p.group, p.at)
		}
		for _, p := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			other.Record(now, p.object, p.group, p.at)
		}
		if a, b := maps.Collect(one.All()), maps.Collect(other.All()); !maps.Equal(a, b) {
			t.Fatalf("registries differ: %v and %v", a, b)
		}
		for _, object := range []string{"a", "b"} {
			for group := range 2 {
				want, known := newestPurge(now, all, object, group)
				if at, ok := one.Latest(now, object, group); ok != known || ok && at != want {
					t.Fatalf("object %s of group %d: purged at %v (known: %v), want %v (known: %v)", object, group, at, ok, want, known)
				}
			}
		}
	})
}

func TestSettledPurgesAreDropped(t *testing.T) {
	registry := New(settleTime)
	if !registry.Record(time.Second, "a", 0, time.Second) || registry.Record(time.Second, "a", 0, 0) || registry.Merge(time.Second, "", time.Second) {
		t.Error("want the first purge to be new, and an older one and one without a name not to be")
	}
	if _, ok := registry.Latest(8*time.Second, "a", 0); ok {
		t.Error("a settled purge still counts")
	}
	registry.Record(8*time.Second, "c", 0, 8*time.Second)
	if n := len(maps.Collect(registry.All())); n != 1 {
		t.Errorf("%d purges kept, want the one that has not settled", n)
	}
}
