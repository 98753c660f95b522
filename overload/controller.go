package overload

import (
	"fmt"
	"math"
	"time"
)

// Sample is what the gateway measured in one tick.
type Sample struct {
	Interval    time.Duration // length of the tick, in time that the program ran
	StartedCost float64       // cost of requests that left the queue to be served
	ExpiredCost float64       // cost of requests that waited for too long
	Queued      []int         // requests in the queue at its end, by band
	LongestWait time.Duration // longest wait of any request in it, or at its end
	Grace       time.Duration // by which waits may be longer now, after a pause
	LoopLag     time.Duration // time that received requests lay unread
	Paused      bool          // the program did not run for a part of it: the sample says nothing of load
}

// Controller computes the policy of an [AdmissionController], tick by tick.
//
// While requests wait for long, the gateway is busy all the time, and the cost of what it serves is its capacity. That and
// a little more (Config.ProbeShare) is the allowance: the cost admitted in a tick. As soon as nobody waits for long any more,
// the allowance grows each tick until everything is admitted. What the probe admits too much waits and expires; it costs
// little, since it is a few parts in a hundred.
type Controller struct {
	cfg   Config
	order *Order

	offered    [][]float64 // cost offered in a tick by front and band, smoothed
	lastCounts [][]uint64  // requests by front and band, at the last tick

	servedRate    float64 // cost served in a tick while others waited, smoothed
	allowance     float64 // cost admitted in a tick
	shedding      bool    // the allowance binds
	longWaitTicks int     // ticks in a row with long waits, while everything was admitted
	quietTicks    int     // ticks in a row in which next to nothing was shed, while the allowance bound
	policy        AdmissionPolicy
	shedLevel     float64 // share of the offered cost that is shed, smoothed
}

// NewController returns a controller that admits everything. The error names the first faulty field of the Config.
func NewController(cfg Config, order *Order) (*Controller, error) {
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c := &Controller{cfg: cfg, order: order, allowance: math.Inf(1)}
	for range cfg.Fronts {
		c.offered = append(c.offered, make([]float64, order.Bands()))
		c.lastCounts = append(c.lastCounts, make([]uint64, order.Bands()))
	}
	return c, nil
}

// shedLevelWeight is the weight of the newest tick in the shed level.
const shedLevelWeight = 0.15

// Tick takes in the sample of a tick and the counts of the admission controller, and returns the policy for the next tick; nil
// admits everything. It is to be called every Config.Tick.
func (c *Controller) Tick(sample Sample, ac *AdmissionController) *AdmissionPolicy {
	scale := 1.0 // to the regular length of a tick
	if sample.Interval > 0 {
		scale = float64(c.cfg.Tick) / float64(sample.Interval)
	}
	sample.StartedCost *= scale
	admitted := c.measureOffered(ac, scale)
	c.adaptAllowance(sample, admitted)
	policy := c.spendAllowance(sample)
	shed := 0.0
	if policy != nil {
		shed = policy.ShedShare
	}
	c.shedLevel += shedLevelWeight * (shed - c.shedLevel)
	return policy
}

// Weights of the newest tick in the offered cost. While the allowance binds, one tick decides less: requests are read in
// bursts.
const (
	admittingOfferWeight = 0.5
	sheddingOfferWeight  = 0.15
)

// measureOffered updates the offered cost from the admission controller's counts, and returns the cost that it admitted
// in this tick.
func (c *Controller) measureOffered(ac *AdmissionController, scale float64) (admitted float64) {
	weight := admittingOfferWeight
	if c.shedding {
		weight = sheddingOfferWeight
	}
	for f := range c.offered {
		for b := range c.offered[f] {
			n := ac.Offered(f, b)
			cost := float64(n-c.lastCounts[f][b]) * c.order.Cost(b) * scale
			c.lastCounts[f][b] = n
			if c.shedding && len(c.policy.Admit) > 0 {
				admitted += cost * float64(c.policy.Admit[f][b]) / fullShare
			} else {
				admitted += cost
			}
			c.offered[f][b] += weight * (cost - c.offered[f][b])
		}
	}
	return admitted
}

// How the allowance follows what was served.
const (
	// longWaitTicksToStart is the number of ticks with long waits after which the allowance binds. A clear overload, in which
	// clearOverloadRatio times what is served is admitted and someone has waited for a third of the bound, counts
	// clearOverloadTicks.
	longWaitTicksToStart = 8
	clearOverloadRatio   = 1.3
	clearOverloadTicks   = 3

	// servedRateWeight is the weight of the newest tick in the served rate: one slow tick must not look like less capacity.
	servedRateWeight = 0.05
	// allowanceGrowth is the factor by which the allowance grows in a tick without long waits.
	allowanceGrowth = 1.25
	// lagCut is the share of the admitted cost to which the allowance is cut when the event loop falls behind.
	lagCut = 0.9
	// minServedRate is the least cost in a tick that is taken for capacity.
	minServedRate = 1
)

// adaptAllowance adapts the allowance to a tick in which requests of a cost were admitted.
func (c *Controller) adaptAllowance(s Sample, admitted float64) {
	longWaits := s.LongestWait > c.cfg.TargetWait+s.Grace || s.ExpiredCost > 0
	switch {
	case s.Paused: // what has queued up meanwhile is no sign of load
	case s.LoopLag > c.cfg.MaxWait/2:
		c.startShedding(lagCut * min(admitted, c.allowance))
	case longWaits && !c.shedding:
		c.countLongWaits(s, admitted)
	case longWaits:
		c.servedRate += servedRateWeight * (s.StartedCost - c.servedRate)
		c.allowance = c.servedAndProbe()
	case c.shedding: // there is capacity left
		c.servedRate = max(c.servedRate, s.StartedCost)
		c.allowance = max(c.allowance, c.servedRate, minServedRate) * allowanceGrowth
	default:
		c.servedRate, c.longWaitTicks = 0, 0
	}
}

// countLongWaits lets the allowance bind once long waits last. A short disturbance passes by itself, and what waits for too
// long meanwhile is rejected anyway. The allowance begins with the best tick until then, since a tick in which the program
// was held up says too little.
func (c *Controller) countLongWaits(s Sample, admitted float64) {
	c.servedRate = max(c.servedRate, s.StartedCost, minServedRate)
	if s.LongestWait > c.cfg.MaxWait/3 && admitted > clearOverloadRatio*s.StartedCost {
		c.longWaitTicks += clearOverloadTicks
	} else {
		c.longWaitTicks++
	}
	if c.longWaitTicks >= longWaitTicksToStart {
		c.startShedding(c.servedAndProbe())
	}
}

// servedAndProbe is the served rate and the probe for more capacity.
func (c *Controller) servedAndProbe() float64 {
	return max(minServedRate, c.servedRate) * (1 + c.cfg.ProbeShare)
}

// startShedding has an allowance bind from now on.
func (c *Controller) startShedding(allowance float64) { c.shedding, c.allowance = true, allowance }

// stopShedding admits everything again.
func (c *Controller) stopShedding() {
	c.shedding, c.allowance = false, math.Inf(1)
	c.quietTicks, c.longWaitTicks, c.servedRate = 0, 0, 0
}

// ShedLevel returns the share of the offered cost that is shed, 0 to 1, smoothed over some tenths of a second.
func (c *Controller) ShedLevel() float64 { return c.shedLevel }
