// Package purge records purges until no older copy can be left anywhere.
//
// The newest purge of a name wins, so that neither the order in which purges arrive nor repeated
// arrival makes a difference. The package does no I/O and reads no clock; times are on any one
// clock. Its types are not safe for concurrent use.
package purge

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Registry holds the purges that have not settled, so that the number of purges within the settle
// time bounds its size. Use [New].
type Registry struct {
	settleTime time.Duration
	latest     map[string]time.Duration // time of the newest purge, by name
}

// New returns an empty registry. All copies older than a purge are gone settleTime after it.
func New(settleTime time.Duration) *Registry {
	return &Registry{settleTime: settleTime, latest: map[string]time.Duration{}}
}

// groupNamePrefix begins the names of groups. No object's name contains it.
const groupNamePrefix = ' '

// GroupName returns the name under which the purge of a group is recorded.
func GroupName(number int) string { return string(groupNamePrefix) + strconv.Itoa(number) }

// Record records a purge, made at the time at, of an object or, if object is empty, of a group. It
// reports whether the purge is new: neither settled nor older than, or as old as, the known one.
func (r *Registry) Record(now time.Duration, object string, group int, at time.Duration) bool {
	if object == "" {
		object = GroupName(group)
	}
	return r.Merge(now, object, at)
}

// Merge is like [Registry.Record] for a name from [Registry.All], of an object or a group.
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

// Latest returns the time of the latest purge of an object, by itself or with its group. ok is
// false if no copy older than that can be left.
func (r *Registry) Latest(now time.Duration, object string, group int) (at time.Duration, ok bool) {
	at, ok = r.latest[object]
	if ofGroup, known := r.latest[GroupName(group)]; known && (!ok || ofGroup > at) {
		at, ok = ofGroup, true
	}
	return at, ok && !r.settled(now, at)
}

// LatestOfAnyGroup is Latest for an object whose group is not known: it takes the latest purge of any group for that of the object's.
func (r *Registry) LatestOfAnyGroup(now time.Duration, object string) (at time.Duration, ok bool) {
	at, ok = r.latest[object]
	for name, purgedAt := range r.latest {
		isGroup := name[0] == groupNamePrefix
		if isGroup && (!ok || purgedAt > at) {
			at, ok = purgedAt, true
		}
	}
	return at, ok && !r.settled(now, at)
}

// All iterates over the names and purge times, sorted by name.
func (r *Registry) All() iter.Seq2[string, time.Duration] {
	return func(yield func(string, time.Duration) bool) {
		for _, name := range slices.Sorted(maps.Keys(r.latest)) {
			if !yield(name, r.latest[name]) {
				return
			}
		}
	}
}
