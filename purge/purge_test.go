package purge

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const settleTime = 6 * time.Second

// heard is a purge that a registry is told of.
type heard struct {
	object string
	group  int
	at     time.Duration
}

var drawHeard = rapid.Custom(func(t *rapid.T) heard {
	return heard{rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "object"), rapid.IntRange(0, 1).Draw(t, "group"),
		time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond}
})

// covers reports whether a purge is of an object or its group.
func (p heard) covers(object string, group int) bool {
	return p.object == object || p.object == "" && p.group == group
}

// newest is the newest of some purges that covers an object and has not settled.
func newest(now time.Duration, all []heard, object string, group int) (at time.Duration, known bool) {
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
		all := rapid.SliceOf(drawHeard).Draw(t, "told")
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
				want, known := newest(now, all, object, group)
				if at, ok := one.Latest(now, object, group); ok != known || ok && at != want {
					t.Fatalf("%s of %d: %v %v, want %v %v", object, group, at, ok, want, known)
				}
			}
		}
	})
}

func TestSettledPurgesAreForgotten(t *testing.T) {
	b := New(settleTime)
	if !b.Record(time.Second, "a", 0, time.Second) || b.Record(time.Second, "a", 0, 0) || b.Merge(time.Second, "", time.Second) {
		t.Error("the first is news, an older one and one of nothing are not")
	}
	if _, ok := b.Latest(8*time.Second, "a", 0); ok {
		t.Error("a settled purge still counts")
	}
	b.Record(8*time.Second, "c", 0, 8*time.Second)
	if n := len(maps.Collect(b.All())); n != 1 {
		t.Errorf("%d purges kept, want the one that has not settled", n)
	}
}
