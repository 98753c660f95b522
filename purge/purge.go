// Package purge remembers purges until no older copy can be left anywhere.
//
// The newest purge of a name wins, so that neither the order in which purges are heard nor hearing one twice makes a
// difference. The package does no I/O and reads no clock; times are on any one clock. Its types are not safe for concurrent
// use.
package purge

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Registry holds the purges that have not settled, so its size is bounded by how many are made within the settle time. Use
// [New].
type Registry struct {
	settleTime time.Duration
	latest     map[string]time.Duration // by name: the newest purge
}

// New returns an empty registry. Within settleTime of a purge all copies older than it are gone.
func New(settleTime time.Duration) *Registry {
	return &Registry{settleTime: settleTime, latest: map[string]time.Duration{}}
}

// GroupName returns the name by which all objects of a group are purged. It can't be an object's, as those have no spaces.
func GroupName(number int) string { return " " + strconv.Itoa(number) }

// Record takes in a purge that was made at a time, of an object or, if object is empty, of a group. It reports whether
// the purge is news: a settled one, and one that is no newer than one known, are not.
func (r *Registry) Record(now time.Duration, object string, group int, at time.Duration) bool {
	if object == "" {
		object = GroupName(group)
	}
	return r.Merge(now, object, at)
}

// Merge is [Registry.Record] for a name as [Registry.All] gives it, of an object or a group.
func (r *Registry) Merge(now time.Duration, name string, at time.Duration) bool {
	maps.DeleteFunc(r.latest, func(_ string, at time.Duration) bool { return r.settled(now, at) })
	if name == "" || r.settled(now, at) {
		return false
	}
	if known, ok := r.latest[name]; ok && known >= at {
		return false
	}
	r.latest[name] = at
	return true
}

// settled reports whether all copies older than a purge are gone.
func (r *Registry) settled(now, at time.Duration) bool { return now-at > r.settleTime }

// Latest returns when an object was last purged, by itself or with its group. ok is false if no older copy can be left.
func (r *Registry) Latest(now time.Duration, object string, group int) (at time.Duration, ok bool) {
	at, ok = r.latest[object]
	if ofGroup, known := r.latest[GroupName(group)]; known && (!ok || ofGroup > at) {
		at, ok = ofGroup, true
	}
	return at, ok && !r.settled(now, at)
}

// All iterates over the names and times, sorted by name.
func (r *Registry) All() iter.Seq2[string, time.Duration] {
	return func(yield func(string, time.Duration) bool) {
		for _, name := range slices.Sorted(maps.Keys(r.latest)) {
			if !yield(name, r.latest[name]) {
				return
			}
		}
	}
}
