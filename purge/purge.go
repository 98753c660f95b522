// Package purge keeps the purges that were heard of until no copy older than they can be left anywhere. It does no I/O and
// reads no clock. The newest purge of a name wins, so that the order in which they are heard, and hearing one twice, make
// no difference.
package purge

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Registry is what has been heard. Use New. It holds as many purges as were made within the time in which copies go by
// themselves.
type Registry struct {
	settleTime time.Duration
	latest     map[string]time.Duration
}

// New returns an empty book. Within settles of a purge all older copies have gone by themselves.
func New(settleTime time.Duration) *Registry {
	return &Registry{settleTime: settleTime, latest: map[string]time.Duration{}}
}

// Group is the name of all objects of a group. It cannot be an object's, as those have no spaces.
func Group(number int) string { return " " + strconv.Itoa(number) }

// Record takes a purge in, of an object or, with no object, of a group, that was made at a time. It says whether that is
// news: what is settled, or was heard, is not.
func (r *Registry) Record(now time.Duration, object string, group int, at time.Duration) bool {
	if object == "" {
		object = Group(group)
	}
	return r.Merge(now, object, at)
}

// Merge is Told for a name, as All gives them.
func (r *Registry) Merge(now time.Duration, name string, at time.Duration) bool {
	maps.DeleteFunc(r.latest, func(_ string, at time.Duration) bool { return now-at > r.settleTime })
	if old, ok := r.latest[name]; name == "" || ok && old >= at || now-at > r.settleTime {
		return false
	}
	r.latest[name] = at
	return true
}

// Latest is when an object was last purged, by itself or with its group; false if no older copy can be left.
func (r *Registry) Latest(now time.Duration, object string, group int) (time.Duration, bool) {
	at, ok := r.latest[object]
	if g, all := r.latest[Group(group)]; all && (!ok || g > at) {
		at, ok = g, true
	}
	return at, ok && now-at <= r.settleTime
}

// All gives the names and times, in order of name.
func (r *Registry) All() iter.Seq2[string, time.Duration] {
	return func(yield func(string, time.Duration) bool) {
		for _, name := range slices.Sorted(maps.Keys(r.latest)) {
			if !yield(name, r.latest[name]) {
				return
			}
		}
	}
}
