package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file exports and imports a director's learned state across restarts. The caller decides how
// far old state still counts (see package warmstart).

// LearnedState is the learned state of a director. Times are on the director's clock; the importing
// director must use the same clock.
type LearnedState struct {
	At        time.Duration    `json:"At"` // time of the export
	Zone      string           `json:"Zone"`
	Listings  []Listing        `json:"Listings"` // the most recently used first
	Endpoints []EndpointHealth `json:"Servers"`  // in order of id
	Purges    []PurgeRecord    `json:"Purges"`   // in order of name
}

// Listing is an entry of the mapping table.
type Listing struct {
	Key          uint64        `json:"Key"`
	Endpoint     string        `json:"Server"`
	Incarnation  time.Duration `json:"Boot"`  // of the endpoint
	HitAt        time.Duration `json:"HitAt"` // time of the latest hit; 0: none
	LastRequest  time.Duration `json:"Last"`  // time of the latest request
	MeanGap      time.Duration `json:"Gap"`   // smoothed gap between requests
	Count        float64       `json:"Count"` // number of recent requests, decayed
	TransferTime time.Duration `json:"Work"`  // shortest known transfer time; 0: unknown
}

// EndpointHealth is the learned state of an endpoint.
type EndpointHealth struct {
	Endpoint         string        `json:"Server"`
	Incarnation      time.Duration `json:"Boot"`
	LastAnswer       time.Duration `json:"Seen"`    // time of the latest answer; the fields below are as old
	ErrorRate        float64       `json:"Failing"` // smoothed share of recent attempts that failed, 0 to 1
	EjectedUntil     time.Duration `json:"Ejected"` // end of the latest ejection; 0: it was not ejected
	Backoff          time.Duration `json:"Penalty"` // length of the latest ejection
	FillLatency      time.Duration `json:"Quick"`   // smoothed time of attempts with a fill from it, without the transfer
	FillLatencyAt    time.Duration `json:"QuickAt"` // time of the latest update of FillLatency
	ConcurrencyLimit float64       `json:"Most"`    // limit on attempts in flight; 0: unlimited
	LateShare        float64       `json:"Late"`    // smoothed share of late answers, 0 to 1
}

// PurgeRecord is a purge of an object or of a group (see package purge for the names).
type PurgeRecord struct {
	Name string        `json:"Name"`
	At   time.Duration `json:"At"`
}

// Confidence states how far old state still counts, in values from 0 to 1. State that allows
// sending more should lose confidence sooner than state that allows sending less.
type Confidence struct {
	Listing     float64 // share of the listings that are imported
	Failure     float64 // factor on error rates, backoffs and shares of late answers
	Limit       float64 // divisor of limits: at 0.5 a limit is twice as high
	FillLatency float64 // factor on fill latencies
}

// ImportCounts counts the imported items of a LearnedState by kind, and the skipped ones by reason.
type ImportCounts struct {
	Listings, Endpoints, Purges int
	Gone                        int // listings and states of endpoints that are not on the endpoint list, or not up
	Restarted                   int // the same of endpoints that have restarted
	WarmingUp                   int // listings of endpoints that are warming up: they would attract more than the slow-start budget
	Expired                     int // listings outside the share Confidence.Listing; purges that have settled, are from the future or have no name
	Invalid                     int // items with impossible values, and listings of endpoints that are no caches of this location
}

// incarnationTolerance is the difference below which two start times are the same start: a
// gateway's clock reproduces a start time to within some microseconds.
const incarnationTolerance = time.Millisecond

// Export returns the learned state with at most maxListings listings, the most recently used first;
// 0: all.
func (d *Director) Export(now time.Duration, maxListings int) LearnedState {
	state := LearnedState{At: now, Zone: d.settings.Zone, Listings: d.exportListings(maxListings), Endpoints: d.exportEndpoints()}
	for name, at := range d.purged.All() {
		state.Purges = append(state.Purges, PurgeRecord{name, at})
	}
	return state
}

func (d *Director) exportListings(maxListings int) []Listing {
	if maxListings <= 0 {
		maxListings = len(d.table)
	}
	listings := make([]Listing, 0, min(maxListings, len(d.table)))
	for el := d.byRecency.Front(); el != nil && len(listings) < maxListings; el = el.Next() {
		e := el.Value.(*mappingEntry)
		if e.cache == nil || !e.hitExpectedAt(e.cache) {
			continue
		}
		listings = append(listings, Listing{
			Key:          e.key,
			Endpoint:     e.cache.id,
			Incarnation:  e.cacheIncarnation,
			HitAt:        e.lastHit,
			LastRequest:  e.lastRequest,
			MeanGap:      e.meanGap,
			Count:        e.recentRequests,
			TransferTime: e.transferTime,
		})
	}
	return listings
}

func (d *Director) exportEndpoints() []EndpointHealth {
	var all []EndpointHealth
	for _, ep := range d.endpoints {
		h := EndpointHealth{
			Endpoint:      ep.id,
			Incarnation:   ep.incarnation,
			LastAnswer:    max(ep.concurrencyLimit.LastAnswer, ep.lastOK),
			ErrorRate:     ep.errorRate,
			EjectedUntil:  ep.ejectedUntil,
			Backoff:       ep.ejectionDuration,
			FillLatency:   ep.fillLatency,
			FillLatencyAt: ep.fillLatencyAt,
			LateShare:     ep.concurrencyLimit.LateShare,
		}
		if !ep.concurrencyLimit.IsUnlimited() {
			h.ConcurrencyLimit = ep.concurrencyLimit.Max
		}
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b EndpointHealth) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// Import merges the learned state of another director, such as a predecessor. Each item counts with
// the confidence for its own age, not for the age of the whole state, so that state which survives
// several restarts without confirmation does not regain confidence. The endpoint list must be
// known: state of endpoints that are not on it, or that have another incarnation, is skipped. So
// are listings of endpoints that are warming up, and slow-start budgets are not part of the state:
// such endpoints are sent what they would be sent without the import. State learned since is kept.
// Calls must not be concurrent with Handle.
func (d *Director) Import(now time.Duration, state LearnedState, confidenceAt func(age time.Duration) Confidence) ImportCounts {
	d.now = now
	var counts ImportCounts
	for _, h := range state.Endpoints {
		d.importEndpoint(h, confidenceAt(now-h.LastAnswer), &counts)
	}
	// From the least to the most recently used one, which thus becomes the last to be evicted.
	for _, l := range slices.Backward(state.Listings) {
		d.importListing(l, confidenceAt(now-l.LastRequest), &counts)
	}
	for _, p := range state.Purges {
		d.importPurge(p, &counts)
	}
	return counts
}

// valid reports whether the values of an endpoint's state are possible at the time now.
func (h *EndpointHealth) valid(now time.Duration) bool {
	switch {
	case !isShare(h.ErrorRate), !isShare(h.LateShare):
		return false
	case !(h.ConcurrencyLimit >= 0), math.IsInf(h.ConcurrencyLimit, 0):
		return false
	case h.Backoff < 0, h.FillLatency < 0:
		return false
	}
	return h.FillLatencyAt <= now && h.LastAnswer <= now
}

// isShare reports whether a number is between 0 and 1; NaN is not.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

func (d *Director) importEndpoint(h EndpointHealth, c Confidence, counts *ImportCounts) {
	ep := d.findSameIncarnation(h.Endpoint, h.Incarnation, counts)
	if ep == nil {
		return
	}
	if !h.valid(d.now) {
		counts.Invalid++
		return
	}
	counts.Endpoints++
	ep.errorRate = max(ep.errorRate, h.ErrorRate*c.Failure)
	if until := min(h.EjectedUntil, d.now+maxEjection); until > d.now {
		ep.ejectedUntil = max(ep.ejectedUntil, until)
	}
	ep.ejectionDuration = max(ep.ejectionDuration, min(maxEjection, time.Duration(c.Failure*float64(h.Backoff))))
	if ep.fillLatency == 0 {
		ep.fillLatency, ep.fillLatencyAt = time.Duration(c.FillLatency*float64(h.FillLatency)), h.FillLatencyAt
	}
	limit := &ep.concurrencyLimit
	limit.LastAnswer = max(limit.LastAnswer, h.LastAnswer)
	limit.LateShare = max(limit.LateShare, h.LateShare*c.Failure)
	if h.ConcurrencyLimit > 0 && c.Limit > 0 {
		limit.Max = min(limit.Max, max(limit.Min, h.ConcurrencyLimit/c.Limit))
	}
}

// valid reports whether the values of a listing are possible at the time now.
func (l *Listing) valid(now time.Duration) bool {
	if !(l.Count >= 0) || math.IsInf(l.Count, 0) { // also true for NaN
		return false
	}
	return l.MeanGap >= 0 && l.TransferTime >= 0 && l.LastRequest <= now && l.HitAt <= now
}

// selected reports whether a listing is in the share of listings that is imported. The key decides,
// not a random draw, so that directors that share a state import the same listings.
func (l *Listing) selected(share float64) bool {
	return float64(mix(l.Key)>>11)/(1<<53) < share
}

func (d *Director) importListing(l Listing, c Confidence, counts *ImportCounts) {
	if !l.selected(c.Listing) {
		counts.Expired++
		return
	}
	if !l.valid(d.now) {
		counts.Invalid++
		return
	}
	ep := d.findSameIncarnation(l.Endpoint, l.Incarnation, counts)
	switch {
	case ep == nil:
	case ep.role != roleCache || ep.zone != d.zone: // it is not a cache of this location
		counts.Invalid++
	case !d.isWarm(ep):
		counts.WarmingUp++
	case d.storeListing(l, ep):
		counts.Listings++
	}
}

// storeListing puts a listing into the table if there is space, and reports whether it did. If the
// table has the object already, for example from another director's state, the listing with the
// later request is kept.
func (d *Director) storeListing(l Listing, ep *endpoint) bool {
	if e := d.table[l.Key]; e != nil {
		if e.lastRequest >= l.LastRequest {
			return false
		}
		e.restore(l, ep)
		d.byRecency.MoveToFront(e.recency)
		return true
	}
	if len(d.table) >= d.tableCapacity() {
		return false
	}
	e := &mappingEntry{key: l.Key}
	e.restore(l, ep)
	d.insertEntry(e)
	return true
}

// restore sets the entry's values to those of a listing.
func (e *mappingEntry) restore(l Listing, ep *endpoint) {
	e.cache, e.cacheIncarnation = ep, ep.incarnation
	e.lastHit = l.HitAt
	e.copySeenAt = l.LastRequest
	e.lastRequest = l.LastRequest
	e.meanGap = l.MeanGap
	e.recentRequests = l.Count
	e.transferTime = l.TransferTime
}

func (d *Director) importPurge(p PurgeRecord, counts *ImportCounts) {
	age := d.now - p.At
	if p.Name == "" || age < 0 || age > d.settings.PurgeSettleTime {
		counts.Expired++
		return
	}
	if d.purged.Merge(d.now, p.Name, p.At) {
		counts.Purges++
	}
}

// findSameIncarnation returns an endpoint that is up and has not restarted since the state was
// exported. If there is none, it counts the reason and returns nil.
func (d *Director) findSameIncarnation(id string, incarnation time.Duration, counts *ImportCounts) *endpoint {
	ep := d.endpoints[id]
	switch {
	case ep == nil || !ep.up:
		counts.Gone++
	case (ep.incarnation - incarnation).Abs() >= incarnationTolerance:
		counts.Restarted++
	default:
		return ep
	}
	return nil
}
