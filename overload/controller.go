package overload

import (
	"fmt"
	"math"
	"time"
)

// Sample holds the measurements of the gateway in one tick.
type Sample struct {
	Interval    time.Duration // length of the tick, without pauses of the program
	StartedCost float64       // cost of the requests that left the queue to be served
	ExpiredCost float64       // cost of the requests that waited in the queue for too long
	Queued      []int         // requests in the queue at the end of the tick, by band
	LongestWait time.Duration // longest wait of any request during the tick or at its end
	Grace       time.Duration // by how much longer than usual requests may wait now, after a pause
	LoopLag     time.Duration // how long received requests lay unread
	Paused      bool          // the program was paused for a part of the tick, so the sample is no evidence of load
}

// Controller computes the policy of an [AdmissionController], tick by tick.
//
// While requests wait for long, the gateway is busy all the time, and the cost that it serves in a
// tick is its capacity. The allowance, which is the cost admitted in a tick, is then set to the
// served cost and a little more (Config.ProbeShare). As soon as no request waits for long any more,
// the allowance grows each tick until everything is admitted. Requests that the probe admits in
// excess of capacity wait and expire; that costs little, as they are a few percent.
type Controller struct {
	cfg   Config
	order *Order

	offered    [][]float64 // cost offered in a tick by front and band, smoothed
	lastCounts [][]uint64  // requests offered by front and band until the last tick

	servedRate    float64 // cost served in a tick while requests waited for long, smoothed
	allowance     float64 // cost admitted in a tick
	shedding      bool    // the allowance limits what is admitted
	longWaitTicks int     // consecutive ticks with long waits while everything is admitted; clear overload counts more
	quietTicks    int     // consecutive ticks of shedding in which next to nothing was shed
	policy        AdmissionPolicy
	shedLevel     float64 // share of the offered cost that is shed, smoothed
}

// NewController returns a controller that admits everything. Its error names the first faulty field
// of the Config.
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

// Tick processes the sample of a tick and the counts of the admission controller. It returns the
// policy for the next tick; nil admits everything. It is to be called every Config.Tick.
func (c *Controller) Tick(sample Sample, ac *AdmissionController) *AdmissionPolicy {
	ac.periods.nextTick()
	scale := 1.0 // factor from this tick to one of regular length
	if sample.Interval > 0 {
		scale = float64(c.cfg.Tick) / float64(sample.Interval)
	}
	sample.StartedCost *= scale
	admitted := c.measureOffered(ac, scale)
	c.adaptAllowance(sample, admitted)
	policy := c.allocateAllowance(sample)
	shed := 0.0
	if policy != nil {
		shed = policy.ShedShare
	}
	c.shedLevel += shedLevelWeight * (shed - c.shedLevel)
	return policy
}

// Weights of the newest tick in the offered cost. While load is shed, a single tick counts less, as
// requests are read in bursts.
const (
	admittingOfferWeight = 0.5
	sheddingOfferWeight  = 0.15
)

// measureOffered updates the offered cost from the admission controller's counts, and returns the
// cost admitted in this tick.
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

// How the allowance follows the served cost.
const (
	// longWaitTicksToStartShedding is the number of consecutive ticks with long waits that starts
	// shedding. A tick of clear overload counts as clearOverloadTicks: one in which
	// clearOverloadRatio times the served cost is admitted and a request has waited for a third of
	// MaxWait.
	longWaitTicksToStartShedding = 8
	clearOverloadRatio           = 1.3
	clearOverloadTicks           = 3

	// servedRateWeight is the weight of the newest tick in the served rate. It is small so that one
	// slow tick is not taken for a loss of capacity.
	servedRateWeight = 0.05
	// allowanceGrowth is the factor by which the allowance grows in a tick without long waits.
	allowanceGrowth = 1.25
	// lagAllowanceFactor is the share of the admitted cost, or of the allowance if that is less, to
	// which the allowance is reduced when the event loop lags.
	lagAllowanceFactor = 0.9
	// minServedRate is the smallest cost per tick that is taken for the capacity.
	minServedRate = 1
)

// adaptAllowance adapts the allowance to a tick in which requests of a total cost were admitted.
func (c *Controller) adaptAllowance(s Sample, admitted float64) {
	longWaits := s.LongestWait > c.cfg.TargetWait+s.Grace || s.ExpiredCost > 0
	switch {
	case s.Paused: // requests that queued up during the pause are no sign of load
	case s.LoopLag > c.cfg.MaxWait/2:
		c.startShedding(lagAllowanceFactor * min(admitted, c.allowance))
	case longWaits && !c.shedding:
		c.countLongWaits(s, admitted)
	case longWaits:
		c.servedRate += servedRateWeight * (s.StartedCost - c.servedRate)
		c.allowance = c.servedRateWithProbe()
	case c.shedding: // no long waits, so there is capacity left
		c.servedRate = max(c.servedRate, s.StartedCost)
		c.allowance = max(c.allowance, c.servedRate, minServedRate) * allowanceGrowth
	default:
		c.servedRate, c.longWaitTicks = 0, 0
	}
}

// countLongWaits starts shedding once long waits last. A short disturbance passes by itself, and
// requests that wait for too long meanwhile are rejected anyway. The allowance starts from the
// largest cost served in a tick until then, since a tick in which the program was held up
// understates the capacity.
func (c *Controller) countLongWaits(s Sample, admitted float64) {
	c.servedRate = max(c.servedRate, s.StartedCost, minServedRate)
	if s.LongestWait > c.cfg.MaxWait/3 && admitted > clearOverloadRatio*s.StartedCost {
		c.longWaitTicks += clearOverloadTicks
	} else {
		c.longWaitTicks++
	}
	if c.longWaitTicks >= longWaitTicksToStartShedding {
		c.startShedding(c.servedRateWithProbe())
	}
}

// servedRateWithProbe returns the served rate plus the probe for more capacity.
func (c *Controller) servedRateWithProbe() float64 {
	return max(minServedRate, c.servedRate) * (1 + c.cfg.ProbeShare)
}

// startShedding starts shedding, with an allowance for the next tick.
func (c *Controller) startShedding(allowance float64) { c.shedding, c.allowance = true, allowance }

// stopShedding admits everything again.
func (c *Controller) stopShedding() {
	c.shedding, c.allowance = false, math.Inf(1)
	c.quietTicks, c.longWaitTicks, c.servedRate = 0, 0, 0
}

// ShedLevel returns the share of the offered cost that is shed, 0 to 1, smoothed over some tenths
// of a second.
func (c *Controller) ShedLevel() float64 { return c.shedLevel }
