package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file copies out what a director has learned, as values that outlive the process, and takes it in again. How much old
// knowledge still counts is the caller's decision (package warmstart).

// LearnedState is what a director has learned. Times are on the director's clock, which must be the same one when it is taken in
// again.
type LearnedState struct {
	At        time.Duration    `json:"At"` // when it was copied out
	Zone      string           `json:"Zone"`
	Listings  []Listing        `json:"Listings"` // the latest used first
	Endpoints []EndpointHealth `json:"Servers"`  // in order of id
	Purges    []PurgeRecord    `json:"Purges"`   // in order of name
}

// Listing is a row of the mapping table.
type Listing struct {
	Key          uint64        `json:"Key"`
	Endpoint     string        `json:"Server"`
	Incarnation  time.Duration `json:"Boot"`  // of the endpoint
	HitAt        time.Duration `json:"HitAt"` // latest hit; 0: none
	LastRequest  time.Duration `json:"Last"`
	MeanGap      time.Duration `json:"Gap"`   // smoothed gap between requests
	Count        float64       `json:"Count"` // recent requests
	TransferTime time.Duration `json:"Work"`  // quickest answer; 0: not known
}

// EndpointHealth is what is known of an endpoint.
type EndpointHealth struct {
	Endpoint         string        `json:"Server"`
	Incarnation      time.Duration `json:"Boot"`
	LastAnswer       time.Duration `json:"Seen"`    // what is below is as old
	ErrorRate        float64       `json:"Failing"` // share of recent attempts that failed
	EjectedUntil     time.Duration `json:"Ejected"` // 0: it was not ejected
	Backoff          time.Duration `json:"Penalty"` // length of the latest ejection
	FillLatency      time.Duration `json:"Quick"`   // recent latency of fills from it, beyond the transfer itself,
	FillLatencyAt    time.Duration `json:"QuickAt"` // last seen then
	ConcurrencyLimit float64       `json:"Most"`    // of attempts in flight; 0: none
	LateShare        float64       `json:"Late"`    // share of late answers
}

// PurgeRecord is a purge, of an object or of a group (see package purge on names).
type PurgeRecord struct {
	Name string        `json:"Name"`
	At   time.Duration `json:"At"`
}

// Confidence says what old knowledge still counts for, each from 0 to 1. What speaks for sending more should lose confidence
// sooner than what speaks for sending less.
type Confidence struct {
	Listing     float64 // share of the listings that are believed
	Failure     float64 // factor on error rates, backoffs and shares of late answers
	Limit       float64 // divisor of limits: at one half a limit is twice as high
	FillLatency float64 // factor on fill latencies
}

// ImportCounts counts what became of a LearnedState: what was taken in by its kind, and what was passed over by the reason.
type ImportCounts struct {
	Listings, Endpoints, Purges int
	Gone                        int // of endpoints that the list does not name, or not as up
	Restarted                   int // of endpoints that have restarted
	WarmingUp                   int // of endpoints that are warming up: it would have more sent than their budget
	Expired                     int // too old
	Invalid                     int // with impossible values
}

// incarnationTolerance is the difference up to which two clocks of a start are the same start: a gateway's clock gives one start
// to some microseconds.
const incarnationTolerance = time.Millisecond

// Export copies out what has been learned: at most so many listings, the latest used first; 0: all.
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

// Import takes in what another director had learned, with the confidence that confidenceAt gives to its age: that of each item
// and not of the whole, so that knowledge which outlives several starts without being confirmed does not grow young by it. The
// endpoint list must be known: what it does not name, or names with another incarnation, is passed over. Nothing is taken in of
// a slow-start budget, nor what speaks of endpoints that are warming up: they are sent what they would be sent without it. What has
// been learned since stays.
func (d *Director) Import(now time.Duration, state LearnedState, confidenceAt func(age time.Duration) Confidence) ImportCounts {
	d.now = now
	var counts ImportCounts
	for _, h := range state.Endpoints {
		d.importEndpoint(h, confidenceAt(now-h.LastAnswer), &counts)
	}
	// From the least to the latest used, which then is the last to be evicted.
	for _, l := range slices.Backward(state.Listings) {
		d.importListing(l, confidenceAt(now-l.LastRequest), &counts)
	}
	for _, p := range state.Purges {
		d.importPurge(p, &counts)
	}
	return counts
}

// valid reports whether the values of an endpoint's health are possible at a time.
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

// isShare reports whether a number is between 0 and 1, which NaN is not.
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

// valid reports whether the values of a listing are possible at a time.
func (l *Listing) valid(now time.Duration) bool {
	if !(l.Count >= 0) || math.IsInf(l.Count, 0) { // NaN is neither
		return false
	}
	return l.MeanGap >= 0 && l.TransferTime >= 0 && l.LastRequest <= now && l.HitAt <= now
}

// believed reports whether a listing is among the share that is believed. The key decides, and not a draw, so that directors
// which share a state believe the same listings.
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
	case ep.role != roleCache || ep.zone != d.zone: // no copy is to be had there
		counts.Invalid++
	case !d.isWarm(ep):
		counts.WarmingUp++
	case d.storeListing(l, ep):
		counts.Listings++
	}
}

// takeListing puts a listing into the table, if there is a place for it. A file and other directors may both tell of an object: the
// later use holds.
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

// restore sets the entry to what a listing says.
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

// findUnchanged finds an endpoint that runs as it did when it was written of; nil, and counted, if there is none.
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
