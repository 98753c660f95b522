package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What a director has learned, as values that outlive it. This file copies out and in; what old knowledge is still worth is
// told to Import by its caller (package warmstart).

// LearnedState is what a director has learned. Times are on the director's clock, which must be the same one when it is taken in
// again.
type LearnedState struct {
	At        time.Duration    `json:"At"` // when it was copied out
	Zone      string           `json:"Zone"`
	Listings  []Listing        `json:"Listings"`
	Endpoints []EndpointHealth `json:"Servers"`
	Purges    []PurgeRecord    `json:"Purges"`
}

// Listing is a row of the mapping table.
type Listing struct {
	Key          uint64        `json:"Key"`
	Endpoint     string        `json:"Server"`
	Incarnation  time.Duration `json:"Boot"`  // of the server
	HitAt        time.Duration `json:"HitAt"` // latest hit, 0: none
	LastRequest  time.Duration `json:"Last"`  // latest request,
	MeanGap      time.Duration `json:"Gap"`   // and the smoothed gap between them
	Count        float64       `json:"Count"` // recent requests
	TransferTime time.Duration `json:"Work"`  // its quickest answer; 0: not known
}

// EndpointHealth is what is known of a server.
type EndpointHealth struct {
	Endpoint         string        `json:"Server"`
	Incarnation      time.Duration `json:"Boot"`
	LastAnswer       time.Duration `json:"Seen"`    // its latest answer: what is below is as old
	ErrorRate        float64       `json:"Failing"` // share of recent attempts that failed
	EjectedUntil     time.Duration `json:"Ejected"` // out of use until then; 0: it was not
	Backoff          time.Duration `json:"Penalty"` // length of the latest ejection
	FillLatency      time.Duration `json:"Quick"`   // wait for fills,
	FillLatencyAt    time.Duration `json:"QuickAt"` // seen then
	ConcurrencyLimit float64       `json:"Most"`    // limit of what may be out; 0: none
	LateShare        float64       `json:"Late"`    // share of late answers
}

// PurgeRecord is a purge, of an object or of a group (see Purge).
type PurgeRecord struct {
	Name string        `json:"Name"`
	At   time.Duration `json:"At"`
}

// Confidence says what old knowledge still counts for, each from 0 to 1. What speaks for sending more should age faster than
// what speaks for sending less.
type Confidence struct {
	Listing     float64 // share of the listings that are believed
	Failure     float64 // of failures, ejections and late answers
	Limit       float64 // of limits: one that counts for half is twice as high
	FillLatency float64 // of the waits for fills
}

// ImportCounts counts what became of a Memory, by reason.
type ImportCounts struct {
	Listings, Endpoints, Purges int
	Gone                        int // of servers that the list does not name
	Restarted                   int // or that have started anew
	WarmingUp                   int // or that are cold: what was known speaks for sending more than they may be sent
	Expired                     int // no longer believed
	Invalid                     int // values that can't be
}

// Export copies out what has been learned: at most so many listings, the latest used first; 0: all.
func (d *Director) Export(now time.Duration, most int) LearnedState {
	m := LearnedState{At: now, Zone: d.set.Zone}
	if most <= 0 {
		most = len(d.table)
	}
	m.Listings = make([]Listing, 0, min(most, len(d.table)))
	for el := d.byRecency.Front(); el != nil && len(m.Listings) < most; el = el.Next() {
		e := el.Value.(*mappingEntry)
		if e.cache == nil || !e.hitExpectedAt(e.cache) {
			continue
		}
		m.Listings = append(m.Listings, Listing{Key: e.key, Endpoint: e.cache.id, Incarnation: e.cacheIncarnation, HitAt: e.lastHit, LastRequest: e.lastRequest, MeanGap: e.meanGap,
			Count: e.recentRequests, TransferTime: e.transferTime})
	}
	for _, s := range d.endpoints {
		h := EndpointHealth{Endpoint: s.id, Incarnation: s.incarnation, LastAnswer: max(s.concurrencyLimit.LastAnswer, s.lastOK), ErrorRate: s.errorRate, EjectedUntil: s.ejectedUntil, Backoff: s.backoff, FillLatency: s.fillLatency, FillLatencyAt: s.fillLatencyAt,
			LateShare: s.concurrencyLimit.LateShare}
		if !math.IsInf(s.concurrencyLimit.Max, 1) {
			h.ConcurrencyLimit = s.concurrencyLimit.Max
		}
		m.Endpoints = append(m.Endpoints, h)
	}
	slices.SortFunc(m.Endpoints, func(a, b EndpointHealth) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	for name, at := range d.purged.All() {
		m.Purges = append(m.Purges, PurgeRecord{name, at})
	}
	return m
}

// Import takes in what another director had learned, for what it is still worth by its age: that of each item and not of the
// whole, so that knowledge which outlives several starts without being confirmed does not grow young by it. The list must be known: what it does not
// name, or names with another start, is passed over. Nothing of a budget for cold servers is taken in, and nothing that
// speaks of servers that are cold now: they are sent what they would be sent without it. What has been learned since stays.
func (d *Director) Import(now time.Duration, m LearnedState, worth func(age time.Duration) Confidence) (u ImportCounts) {
	d.now = now
	for _, h := range m.Endpoints {
		s := d.findUnchanged(h.Endpoint, h.Incarnation, &u)
		if s == nil {
			continue
		}
		if !(h.ErrorRate >= 0 && h.ErrorRate <= 1 && h.LateShare >= 0 && h.LateShare <= 1 && h.ConcurrencyLimit >= 0) || math.IsInf(h.ConcurrencyLimit, 0) || h.Backoff < 0 ||
			h.FillLatency < 0 || h.FillLatencyAt > now || h.LastAnswer > now {
			u.Invalid++
			continue
		}
		u.Endpoints++
		w := worth(now - h.LastAnswer)
		s.concurrencyLimit.LastAnswer = max(s.concurrencyLimit.LastAnswer, h.LastAnswer)
		s.errorRate = max(s.errorRate, h.ErrorRate*w.Failure)
		if until := min(h.EjectedUntil, now+maxEjection); until > now {
			s.ejectedUntil = max(s.ejectedUntil, until)
		}
		s.backoff = max(s.backoff, min(maxEjection, time.Duration(w.Failure*float64(h.Backoff))))
		if s.fillLatency == 0 {
			s.fillLatency, s.fillLatencyAt = time.Duration(w.FillLatency*float64(h.FillLatency)), h.FillLatencyAt
		}
		if s.concurrencyLimit.LateShare = max(s.concurrencyLimit.LateShare, h.LateShare*w.Failure); h.ConcurrencyLimit > 0 && w.Limit > 0 {
			s.concurrencyLimit.Max = min(s.concurrencyLimit.Max, max(s.concurrencyLimit.Min, h.ConcurrencyLimit/w.Limit))
		}
	}
	// The latest used is the first in a Memory, and in the table the last to be forgotten.
	for _, l := range slices.Backward(m.Listings) {
		if float64(mix(l.Key)>>11)/(1<<53) >= worth(now-l.LastRequest).Listing {
			u.Expired++
			continue
		}
		if !(l.Count >= 0) || math.IsInf(l.Count, 0) || l.MeanGap < 0 || l.LastRequest > now || l.HitAt > now || l.TransferTime < 0 {
			u.Invalid++
			continue
		}
		s := d.findUnchanged(l.Endpoint, l.Incarnation, &u)
		if s == nil {
			continue
		}
		if s.role != roleCache || s.zone != d.zone { // no copy is to be had there
			u.Invalid++
			continue
		}
		if !d.isWarm(s) {
			u.WarmingUp++
			continue
		}
		if old := d.table[l.Key]; old != nil { // a file and neighbours may both tell of it: the later use holds
			if old.lastRequest < l.LastRequest {
				old.cache, old.cacheIncarnation, old.lastHit, old.copySeenAt, old.lastRequest, old.meanGap, old.recentRequests, old.transferTime = s, s.incarnation, l.HitAt, l.LastRequest, l.LastRequest, l.MeanGap, l.Count, l.TransferTime
				d.byRecency.MoveToFront(old.recency)
				u.Listings++
			}
			continue
		}
		if len(d.table) >= tableListMultiple*listingsPerCache*max(1, len(d.inUse[roleCache])) {
			continue
		}
		e := &mappingEntry{key: l.Key, cache: s, cacheIncarnation: s.incarnation, lastHit: l.HitAt, copySeenAt: l.LastRequest, lastRequest: l.LastRequest, meanGap: l.MeanGap, recentRequests: l.Count, transferTime: l.TransferTime}
		e.recency = d.byRecency.PushFront(e)
		d.table[l.Key] = e
		u.Listings++
	}
	for _, p := range m.Purges {
		if age := now - p.At; p.Name == "" || age < 0 || age > d.set.PurgeSettleTime {
			u.Expired++
		} else if d.purged.Merge(now, p.Name, p.At) {
			u.Purges++
		}
	}
	return u
}

// findUnchanged finds a server of the list that still runs as it did.
func (d *Director) findUnchanged(id string, boot time.Duration, u *ImportCounts) *endpoint {
	s := d.endpoints[id]
	switch {
	case s == nil || !s.up:
		u.Gone++
	case (s.incarnation - boot).Abs() >= time.Millisecond: // a gateway's clock gives one start to some microseconds
		u.Restarted++
	default:
		return s
	}
	return nil
}
