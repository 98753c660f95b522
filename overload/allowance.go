package overload

import (
	"math"
	"time"
)

const (
	// backlogTicks is the number of ticks in which a backlog beyond the target wait is to be worked off.
	backlogTicks = 5
	// quietShedShare is the share of the offered cost up to which a tick counts as one in which nothing was shed.
	quietShedShare = 0.001
	// quietTicksToStop is the number of such ticks in a row after which everything is admitted again.
	quietTicksToStop = 25
)

// shares is how an allowance is spent, band by band.
type shares struct {
	left    float64 // of the allowance
	offered float64 // cost, of all bands so far
	spent   float64 // cost, of all bands so far
	backlog float64 // cost queued, of all bands so far
	admit   [][]uint32
}

// spendAllowance returns the policy that spends the allowance on what is offered; nil if everything is admitted.
//
// Bands are served in order. A band's fronts get equal parts of what the bands before it leave, less what works off the
// backlog beyond the target wait. Only the backlog of the band itself and those before it counts: what waits behind it is no
// reason to shed it. A band whose offered cost fits into what is left is not shed for a backlog that is gone before anyone
// has waited for half of the bound: a short disturbance passes, and the bands behind it make room. The band in which the
// allowance ends is admitted by lot.
func (c *Controller) spendAllowance(s Sample) *AdmissionPolicy {
	if !c.shedding {
		return nil
	}
	rate := max(minServedRate, c.servedRate)
	targetBacklog := rate * float64(c.cfg.TargetWait+s.Grace) / float64(c.cfg.Tick)
	tolerableBacklog := max(targetBacklog, rate*float64(c.cfg.MaxWait/2+s.Grace)/float64(c.cfg.Tick))
	sh := shares{left: c.allowance, admit: make([][]uint32, len(c.offered))}
	for f := range sh.admit {
		sh.admit[f] = make([]uint32, c.order.Bands())
	}
	for b := range c.order.Bands() {
		wanted := c.offeredInBand(b)
		if b < len(s.Queued) {
			sh.backlog += float64(s.Queued[b]) * c.order.Cost(b)
		}
		allowedBacklog := targetBacklog
		if wanted <= sh.left {
			allowedBacklog = tolerableBacklog
		}
		c.spendOnBand(&sh, b, wanted, allowedBacklog)
	}
	shed := sh.shedShare()
	if c.countQuiet(shed) {
		c.stopShedding()
		return nil
	}
	c.policy = AdmissionPolicy{Admit: sh.admit, RetryAfter: c.retryAfterFor(shed), ShedShare: shed}
	policy := c.policy
	return &policy
}

// offeredInBand is the cost offered in a tick in a band, by all fronts.
func (c *Controller) offeredInBand(band int) float64 {
	cost := 0.0
	for f := range c.offered {
		cost += c.offered[f][band]
	}
	return cost
}

// spendOnBand sets what each front is admitted in a band.
func (c *Controller) spendOnBand(sh *shares, band int, wanted, allowedBacklog float64) {
	workOff := max(0, sh.backlog-allowedBacklog) / backlogTicks
	perFront := fairShare(c.offered, band, max(0, sh.left-workOff))
	for f := range c.offered {
		want := c.offered[f][band]
		got := min(want, perFront)
		sh.offered += want
		sh.spent += got
		switch {
		case want <= 0 && sh.left-wanted > 0: // none came lately: the first may come in
			sh.admit[f][band] = fullShare
		case want > 0:
			sh.admit[f][band] = uint32(math.Round(fullShare * got / want))
		}
	}
	sh.left = max(0, sh.left-wanted)
}

// shedShare is the share of the offered cost that is shed.
func (sh *shares) shedShare() float64 {
	if sh.offered <= 0 {
		return 0
	}
	return max(0, 1-sh.spent/sh.offered)
}

// countQuiet counts a tick that sheds a share, and reports whether next to nothing was shed for long enough to admit
// everything again.
func (c *Controller) countQuiet(shed float64) bool {
	if shed > quietShedShare {
		c.quietTicks = 0
		return false
	}
	c.quietTicks++
	return c.quietTicks >= quietTicksToStop
}

// fairShare returns the most that one front may have of what is left in a band, so that fronts which want less get all that
// they want and the others get equal parts (max-min fairness); +Inf if all get what they want.
func fairShare(offered [][]float64, band int, left float64) float64 {
	level := 0.0
	for {
		above, next := 0, math.Inf(1) // fronts that want more than the level, and the least of what they want
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
		if need > left {
			return level + left/float64(above)
		}
		left -= need
		level = next
	}
}

// Shares of the longest Retry-After that rejected requests are told: the least, while few are rejected, and the most, while all
// are.
const (
	minRetryAfterShare = 0.25
	maxRetryAfterShare = 0.8
)

// RetryAfterShare returns the share of the longest Retry-After that requests are told while a share of them, 0 to 1, is
// rejected. Both shedding by overload and rejections by locality go by it.
func RetryAfterShare(rejectedShare float64) float64 {
	return minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*min(1, rejectedShare)
}

// retryAfterFor is the Retry-After while a share of the offered cost is shed, before [Jitter].
func (c *Controller) retryAfterFor(shed float64) time.Duration {
	return time.Duration(float64(c.cfg.MaxRetryAfter) * RetryAfterShare(shed))
}

// RetryAfter returns the Retry-After, before [Jitter], for a request that was admitted and is rejected later.
func (c *Controller) RetryAfter() time.Duration {
	if c.shedding && c.policy.RetryAfter > 0 {
		return c.policy.RetryAfter
	}
	return time.Duration(minRetryAfterShare * float64(c.cfg.MaxRetryAfter))
}
