package routing

import "time"

// maxAge is the age limit that keeps an answer younger than the latest live purge; 0 if there is none.
func (d *Director) maxAge(r *request) time.Duration {
	at, ok := d.purged.Latest(d.now, r.Object, r.Group)
	if !ok {
		return 0
	}
	age := max(time.Millisecond, d.now-at-time.Millisecond)
	if r.class.FreshFor > 0 {
		age = min(age, r.class.FreshFor)
	}
	return age
}

// copyGone says that no copy can be left where an object is listed. Guards the sources against fills that nobody
// counts, when the copies of many objects go at once.
func (d *Director) copyGone(r *request) bool {
	at, purged := d.purged.Latest(d.now, r.Object, r.Group)
	return copyOutdated(d.now, r.entry.copySeenAt, at, purged, r.class.FreshFor)
}

// copyOutdated reports whether a copy seen at a time can't be current any more: its object was purged since, or it is
// older than freshFor (0: no limit). A copy may go sooner, unseen: it was dropped, or was older than thought.
func copyOutdated(now, seen, purgedAt time.Duration, purged bool, freshFor time.Duration) bool {
	return purged && seen <= purgedAt || freshFor > 0 && now-seen > freshFor
}
