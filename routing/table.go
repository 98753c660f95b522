package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"larchusher/slowstart"
)

// The upkeep of what is remembered: the lists of caches, and averages. Which object goes where is decided in control.go.

// sortKey is the entry's smoothed gap at any moment, but for a part that is the same for all.
func (e *mappingEntry) sortKey() time.Duration { return 3*e.meanGap - e.lastRequest }

func (e *mappingEntry) currentGap(now time.Duration) time.Duration {
	return (3*e.meanGap + now - e.lastRequest) / 4
}

func (e *mappingEntry) isListed() bool {
	return e.listedAt != nil && e.listedAt.incarnation == e.listedIncarnation
}

// unlist takes an entry off its list; relist puts it where its gap belongs, the worst first.
func (e *mappingEntry) unlist() {
	if e.isListed() {
		i := slices.Index(e.listedAt.listings, e)
		e.listedAt.listings = slices.Delete(e.listedAt.listings, i, i+1)
	}
	e.listedAt = nil
}

func (e *mappingEntry) relist(s *endpoint) {
	worse := func(a, b *mappingEntry) int { return cmp.Compare(b.sortKey(), a.sortKey()) }
	i, _ := slices.BinarySearchFunc(s.listings, e, worse)
	s.listings = slices.Insert(s.listings, i, e)
	e.listedAt, e.listedIncarnation = s, s.incarnation
}

// spendSlowStart notes that something of a cost goes to a server.
func (d *Director) spendSlowStart(s *endpoint, cost float64) {
	d.slowStartRamp(s.role).Spend(&s.slowStartBudget, d.now, s.incarnation, cost)
}

// senderPosition is this director's among those that send to a server; drawn by itself where it is not told.
func (d *Director) senderPosition(s *endpoint) float64 {
	if d.knownSenders(s.role) <= 0 || d.set.IndexUnknown {
		return slowstart.SenderPosition(0, d.positionSeed^s.hash)
	}
	return slowstart.SenderPosition(d.set.Index, s.hash)
}

// recentWorkRate is the work a second that a server has done for us lately. Only what it answered counts: what was
// sent may be more than it can do.
func (s *endpoint) recentWorkRate(now time.Duration) float64 {
	s.workRate *= math.Exp(-float64(now-s.workRateAt) / float64(recentWindow))
	s.workRateAt = now
	return s.workRate
}

func (s *endpoint) recordWork(now time.Duration, work float64) {
	s.workRate = s.recentWorkRate(now) + work/recentWindow.Seconds()
}

// estimateTransferTime finds a request's sending time: by its size, or where that isn't told by a guess, which answers correct.
func (d *Director) estimateTransferTime(r *request) {
	c := r.class
	if r.transferTime = d.set.TransferTime(r.SizeKB); r.SizeKB <= 0 {
		if r.transferTime = max(c.meanTransferTime, time.Duration(transferTimeGuess*float64(c.LatencyObjective))); r.entry != nil && r.entry.transferTime > 0 {
			r.transferTime = r.entry.transferTime
		}
	}
	if c.meanTransferTime == 0 {
		c.meanTransferTime = r.transferTime
	}
	if r.SizeKB > 0 {
		c.meanTransferTime += time.Duration(averageWeight / 10 * float64(r.transferTime-c.meanTransferTime))
	}
}

// learnSize takes in what a request's answer weighed. Until then its sending time was a guess, from what others of its class or
// object took: large answers looked late.
func (d *Director) learnSize(r *request, sizeKB float64) {
	r.SizeKB, r.transferTime = sizeKB, d.set.TransferTime(sizeKB)
	if r.entry != nil {
		r.entry.transferTime = r.transferTime
	}
	c := r.class
	c.sizedAnswers++
	c.meanTransferTime += time.Duration(max(averageWeight/10, 1/float64(c.sizedAnswers)) * float64(r.transferTime-c.meanTransferTime))
}
