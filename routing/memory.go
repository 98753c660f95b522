package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What a director has learned, as values that outlive it. This file copies out and in; what old knowledge is still worth is
// told to Import by its caller (package knowledge), and what may be decided by it is control.go's.

// Memory is what a director has learned. Times are on the director's clock, which must be the same one when it is taken in
// again.
type Memory struct {
	At       time.Duration `json:"At"` // when it was copied out
	Zone     string        `json:"Zone"`
	Listings []Listing     `json:"Listings"`
	Servers  []Health      `json:"Servers"`
	Purges   []Purged      `json:"Purges"`
}

// Listing is a row of the mapping table.
type Listing struct {
	Key    uint64        `json:"Key"`
	Server string        `json:"Server"`
	Boot   time.Duration `json:"Boot"`  // of the server
	HitAt  time.Duration `json:"HitAt"` // latest hit, 0: none
	Last   time.Duration `json:"Last"`  // latest request,
	Gap    time.Duration `json:"Gap"`   // and the smoothed gap between them
	Count  float64       `json:"Count"` // recent requests
	Work   time.Duration `json:"Work"`  // its quickest answer; 0: not known
}

// Health is what is known of a server.
type Health struct {
	Server  string        `json:"Server"`
	Boot    time.Duration `json:"Boot"`
	Seen    time.Duration `json:"Seen"`    // its latest answer: what is below is as old
	Failing float64       `json:"Failing"` // share of recent attempts that failed
	Ejected time.Duration `json:"Ejected"` // out of use until then; 0: it was not
	Penalty time.Duration `json:"Penalty"` // length of the latest ejection
	Quick   time.Duration `json:"Quick"`   // wait for fills,
	QuickAt time.Duration `json:"QuickAt"` // seen then
	Most    float64       `json:"Most"`    // limit of what may be out; 0: none
	Late    float64       `json:"Late"`    // share of late answers
}

// Purged is a purge, of an object or of a group (see Purge).
type Purged struct {
	Name string        `json:"Name"`
	At   time.Duration `json:"At"`
}

// Worth says what old knowledge still counts for, each from 0 to 1. What speaks for sending more should age faster than
// what speaks for sending less.
type Worth struct {
	Listing float64 // share of the listings that are believed
	Failing float64 // of failures, ejections and late answers
	Limit   float64 // of limits: one that counts for half is twice as high
	Quick   float64 // of the waits for fills
}

// Used counts what became of a Memory, by reason.
type Used struct {
	Listings, Servers, Purges int
	Gone                      int // of servers that the list does not name
	Restarted                 int // or that have started anew
	Cold                      int // or that are cold: what was known speaks for sending more than they may be sent
	Aged                      int // no longer believed
	Odd                       int // values that can't be
}

// Export copies out what has been learned: at most so many listings, the latest used first; 0: all.
func (d *Director) Export(now time.Duration, most int) Memory {
	m := Memory{At: now, Zone: d.set.Zone}
	if most <= 0 {
		most = len(d.table)
	}
	m.Listings = make([]Listing, 0, min(most, len(d.table)))
	for el := d.used.Front(); el != nil && len(m.Listings) < most; el = el.Next() {
		e := el.Value.(*entry)
		if e.at == nil || !e.likely(e.at) {
			continue
		}
		m.Listings = append(m.Listings, Listing{Key: e.key, Server: e.at.id, Boot: e.boot, HitAt: e.hitAt, Last: e.last, Gap: e.avg,
			Count: e.count, Work: e.work})
	}
	for _, s := range d.servers {
		h := Health{Server: s.id, Boot: s.boot, Seen: max(s.held.Seen, s.lastOK), Failing: s.failing, Ejected: s.ejected, Penalty: s.penalty, Quick: s.quick, QuickAt: s.quickAt,
			Late: s.held.Late}
		if !math.IsInf(s.held.Most, 1) {
			h.Most = s.held.Most
		}
		m.Servers = append(m.Servers, h)
	}
	slices.SortFunc(m.Servers, func(a, b Health) int { return cmp.Compare(a.Server, b.Server) })
	for name, at := range d.purged.All() {
		m.Purges = append(m.Purges, Purged{name, at})
	}
	return m
}

// Import takes in what another director had learned, for what it is still worth by its age: that of each item and not of the
// whole, so that knowledge which outlives several starts without being confirmed does not grow young by it. The list must be known: what it does not
// name, or names with another start, is passed over. Nothing of a budget for cold servers is taken in, and nothing that
// speaks of servers that are cold now: they are sent what they would be sent without it. What has been learned since stays.
func (d *Director) Import(now time.Duration, m Memory, worth func(age time.Duration) Worth) (u Used) {
	d.now = now
	for _, h := range m.Servers {
		s := d.known(h.Server, h.Boot, &u)
		if s == nil {
			continue
		}
		if !(h.Failing >= 0 && h.Failing <= 1 && h.Late >= 0 && h.Late <= 1 && h.Most >= 0) || math.IsInf(h.Most, 0) || h.Penalty < 0 ||
			h.Quick < 0 || h.QuickAt > now || h.Seen > now {
			u.Odd++
			continue
		}
		u.Servers++
		w := worth(now - h.Seen)
		s.held.Seen = max(s.held.Seen, h.Seen)
		s.failing = max(s.failing, h.Failing*w.Failing)
		if until := min(h.Ejected, now+ejectLongest); until > now {
			s.ejected = max(s.ejected, until)
		}
		s.penalty = max(s.penalty, min(ejectLongest, time.Duration(w.Failing*float64(h.Penalty))))
		if s.quick == 0 {
			s.quick, s.quickAt = time.Duration(w.Quick*float64(h.Quick)), h.QuickAt
		}
		if s.held.Late = max(s.held.Late, h.Late*w.Failing); h.Most > 0 && w.Limit > 0 {
			s.held.Most = min(s.held.Most, max(s.held.Least, h.Most/w.Limit))
		}
	}
	// The latest used is the first in a Memory, and in the table the last to be forgotten.
	for _, l := range slices.Backward(m.Listings) {
		if float64(mix(l.Key)>>11)/(1<<53) >= worth(now-l.Last).Listing {
			u.Aged++
			continue
		}
		if !(l.Count >= 0) || math.IsInf(l.Count, 0) || l.Gap < 0 || l.Last > now || l.HitAt > now || l.Work < 0 {
			u.Odd++
			continue
		}
		s := d.known(l.Server, l.Boot, &u)
		if s == nil {
			continue
		}
		if s.role != cache || s.zone != d.zone { // no copy is to be had there
			u.Odd++
			continue
		}
		if !d.warm(s) {
			u.Cold++
			continue
		}
		if old := d.table[l.Key]; old != nil { // a file and neighbours may both tell of it: the later use holds
			if old.last < l.Last {
				old.at, old.boot, old.hitAt, old.had, old.last, old.avg, old.count, old.work = s, s.boot, l.HitAt, l.Last, l.Last, l.Gap, l.Count, l.Work
				d.used.MoveToFront(old.used)
				u.Listings++
			}
			continue
		}
		if len(d.table) >= tableSize*listSize*max(1, len(d.inUse[cache])) {
			continue
		}
		e := &entry{key: l.Key, at: s, boot: s.boot, hitAt: l.HitAt, had: l.Last, last: l.Last, avg: l.Gap, count: l.Count, work: l.Work}
		e.used = d.used.PushFront(e)
		d.table[l.Key] = e
		u.Listings++
	}
	for _, p := range m.Purges {
		if age := now - p.At; p.Name == "" || age < 0 || age > d.set.PurgeSettles {
			u.Aged++
		} else if d.purged.Merge(now, p.Name, p.At) {
			u.Purges++
		}
	}
	return u
}

// known finds a server of the list that still runs as it did.
func (d *Director) known(id string, boot time.Duration, u *Used) *server {
	s := d.servers[id]
	switch {
	case s == nil || !s.up:
		u.Gone++
	case (s.boot - boot).Abs() >= time.Millisecond: // a gateway's clock gives one start to some microseconds
		u.Restarted++
	default:
		return s
	}
	return nil
}
