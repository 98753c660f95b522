package overload

import (
	"math"
	"time"
)

const (
	// backlogTicks is the number of ticks in which a backlog beyond the target wait is to be worked
	// off.
	backlogTicks = 5
	// negligibleShedShare is the share of the offered cost up to which a tick counts as one in
	// which nothing was shed.
	negligibleShedShare = 0.001
	// quietTicksToStopShedding is the number of consecutive ticks without shedding after which
	// everything is admitted again.
	quietTicksToStopShedding = 25
)

// allocation is the division of the allowance among bands. Costs are per tick.
type allocation struct {
	remaining float64 // part of the allowance that is left for further bands
	offered   float64 // cost offered in the bands so far
	admitted  float64 // cost admitted in the bands so far
	backlog   float64 // cost queued in the bands so far
	admit     [][]uint32
}

// allocateAllowance returns the policy that divides the allowance among the offered requests; nil
// if everything is admitted.
//
// Bands are served in order. The fronts of a band get equal parts of what the bands before it
// leave, less the part that works off the backlog beyond the target wait. Only the backlog of the
// band itself and of those before it counts, as requests queued behind a band are no reason to shed
// it. A band whose offered cost fits into what is left is not shed for a backlog that is worked off
// before a request has waited for half of MaxWait: a short disturbance passes, and later bands make
// room. The band in which the allowance ends is admitted in part, by the draws of its requests.
func (c *Controller) allocateAllowance(s Sample) *AdmissionPolicy {
	if !c.shedding {
		return nil
	}
	rate := max(minServedRate, c.servedRate)
	targetBacklog := rate * float64(c.cfg.TargetWait+s.Grace) / float64(c.cfg.Tick)
	tolerableBacklog := max(targetBacklog, rate*float64(c.cfg.MaxWait/2+s.Grace)/float64(c.cfg.Tick))
	alloc := allocation{remaining: c.allowance, admit: make([][]uint32, len(c.offered))}
	for f := range alloc.admit {
		alloc.admit[f] = make([]uint32, c.order.Bands())
	}
	for b := range c.order.Bands() {
		offered := c.offeredInBand(b)
		if b < len(s.Queued) {
			alloc.backlog += float64(s.Queued[b]) * c.order.Cost(b)
		}
		allowedBacklog := targetBacklog
		if offered <= alloc.remaining {
			allowedBacklog = tolerableBacklog
		}
		c.allocateToBand(&alloc, b, offered, allowedBacklog)
	}
	shed := alloc.shedShare()
	if c.countQuietTick(shed) {
		c.stopShedding()
		return nil
	}
	c.policy = AdmissionPolicy{Admit: alloc.admit, RetryAfter: c.retryAfterFor(shed), ShedShare: shed}
	policy := c.policy
	return &policy
}

// offeredInBand returns the smoothed cost offered in a band per tick, by all fronts.
func (c *Controller) offeredInBand(band int) float64 {
	cost := 0.0
	for f := range c.offered {
		cost += c.offered[f][band]
	}
	return cost
}

// allocateToBand sets the admitted share of each front in a band.
func (c *Controller) allocateToBand(alloc *allocation, band int, bandOffered, allowedBacklog float64) {
	backlogReduction := max(0, alloc.backlog-allowedBacklog) / backlogTicks
	frontLimit := fairShare(c.offered, band, max(0, alloc.remaining-backlogReduction))
	for f := range c.offered {
		offered := c.offered[f][band]
		admitted := min(offered, frontLimit)
		alloc.offered += offered
		alloc.admitted += admitted
		switch {
		case offered <= 0 && alloc.remaining-bandOffered > 0: // none was offered lately, so the next one is admitted
			alloc.admit[f][band] = fullShare
		case offered > 0:
			alloc.admit[f][band] = uint32(math.Round(fullShare * admitted / offered))
		}
	}
	alloc.remaining = max(0, alloc.remaining-bandOffered)
}

// shedShare returns the share of the offered cost that is shed.
func (a *allocation) shedShare() float64 {
	if a.offered <= 0 {
		return 0
	}
	return max(0, 1-a.admitted/a.offered)
}

// countQuietTick counts the consecutive ticks in which next to nothing was shed, and reports
// whether there were enough of them to admit everything again.
func (c *Controller) countQuietTick(shed float64) bool {
	if shed > negligibleShedShare {
		c.quietTicks = 0
		return false
	}
	c.quietTicks++
	return c.quietTicks >= quietTicksToStopShedding
}

// fairShare returns the largest cost that one front may get of what is left for a band, by max-min
// fairness: fronts that offer less get all of it, and the others get equal parts. It returns +Inf
// if all fronts get what they offer.
func fairShare(offered [][]float64, band int, remaining float64) float64 {
	level := 0.0
	for {
		above, next := 0, math.Inf(1) // fronts that offer more than level, and the least of what they offer
		for f := range offered {
			if want := offered[f][band]; want > level {
				above++
				next = min(next, want)
			}
		}
		if above == 0 {
			return math.Inf(1)
		}
		need := (next - level) * float64(above)
		if need > remaining {
			return level + remaining/float64(above)
		}
		remaining -= need
		level = next
	}
}

// Shares of the longest Retry-After in rejections: the smallest one while few requests are
// rejected, the largest one while all are.
const (
	minRetryAfterShare = 0.25
	maxRetryAfterShare = 0.8
)

// RetryAfterShare returns the share of the longest Retry-After that rejections carry while a share
// of the requests, 0 to 1, is rejected. Packages overload and locality both use it.
func RetryAfterShare(rejectedShare float64) float64 {
	return minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*min(1, rejectedShare)
}

// retryAfterFor returns the Retry-After, before [Jitter], while a share of the offered cost is
// shed.
func (c *Controller) retryAfterFor(shed float64) time.Duration {
	return time.Duration(float64(c.cfg.MaxRetryAfter) * RetryAfterShare(shed))
}

// RetryAfter returns the Retry-After, before [Jitter], for a request that was admitted and is
// rejected later.
func (c *Controller) RetryAfter() time.Duration {
	if c.shedding && c.policy.RetryAfter > 0 {
		return c.policy.RetryAfter
	}
	return time.Duration(minRetryAfterShare * float64(c.cfg.MaxRetryAfter))
}
