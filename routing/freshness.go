package routing

import "time"

// maxAge returns the maximum age that excludes copies from before the latest purge of the object; 0
// if no purge applies. It never exceeds the class's FreshFor, if that is set.
func (d *Director) maxAge(r *request) time.Duration {
	purgedAt, purged := d.latestPurge(r)
	if !purged {
		return 0
	}
	// Ages on the wire are in whole milliseconds: one millisecond less is certainly younger than
	// the purge.
	age := max(time.Millisecond, d.now-purgedAt-time.Millisecond)
	if r.class.FreshFor > 0 {
		age = min(age, r.class.FreshFor)
	}
	return age
}

// latestPurge returns the time of the latest purge that may concern the object; false if there is none.
func (d *Director) latestPurge(r *request) (at time.Duration, ok bool) {
	if r.GroupUnknown {
		return d.purged.LatestOfAnyGroup(d.now, r.Object)
	}
	return d.purged.Latest(d.now, r.Object, r.Group)
}

// listedCopyOutdated reports whether the copy at the listed cache can no longer be current. An
// expected hit is not counted as a fill; without this check the fill sources would get uncounted
// fills when the copies of many objects are purged at once.
func (d *Director) listedCopyOutdated(r *request) bool {
	purgedAt, purged := d.latestPurge(r)
	return copyOutdated(d.now, r.entry.copySeenAt, purgedAt, purged, r.class.FreshFor)
}

// copyOutdated reports whether a copy seen at copySeenAt can no longer be current: its object was
// purged since, or the copy is older than freshFor (0: no limit). A copy may be gone earlier
// without the director's knowledge, by eviction or because it was older than assumed.
func copyOutdated(now, copySeenAt, purgedAt time.Duration, purged bool, freshFor time.Duration) bool {
	return purged && copySeenAt <= purgedAt || freshFor > 0 && now-copySeenAt > freshFor
}
