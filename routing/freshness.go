package routing

import "time"

// maxAge is the age limit that keeps an answer younger than the latest purge of the object that may still matter; 0 if there is
// none. It is never longer than the class's fresh time.
func (d *Director) maxAge(r *request) time.Duration {
	purgedAt, purged := d.purged.Latest(d.now, r.Object, r.Group)
	if !purged {
		return 0
	}
	// Ages on the wire are in whole milliseconds: one less is surely younger than the purge.
	age := max(time.Millisecond, d.now-purgedAt-time.Millisecond)
	if r.class.FreshFor > 0 {
		age = min(age, r.class.FreshFor)
	}
	return age
}

// copyGone reports whether no current copy can be left where an object is listed. A hit that is expected there isn't counted as
// a fill; without this, sources would get fills that nobody counted when the copies of many objects go at once.
func (d *Director) listedCopyOutdated(r *request) bool {
	purgedAt, purged := d.purged.Latest(d.now, r.Object, r.Group)
	return copyOutdated(d.now, r.entry.copySeenAt, purgedAt, purged, r.class.FreshFor)
}

// copyOutdated reports whether a copy seen at a time can't be current any more: its object was purged since, or it is
// older than freshFor (0: no limit). A copy may go sooner, unseen: it was evicted, or was older than thought.
func copyOutdated(now, copySeenAt, purgedAt time.Duration, purged bool, freshFor time.Duration) bool {
	return purged && copySeenAt <= purgedAt || freshFor > 0 && now-copySeenAt > freshFor
}
