package overload

import "time"

// How the weight follows the shed level. Weights are in percent.
const (
	maxWeightPercent   = 100
	minWeightPercent   = 10              // some load must come, or recovery would not be seen
	weightStepPercent  = 5               // advertised weights are multiples of this
	weightSlackPercent = 4               // difference from the advertised weight that isn't advertised
	weightFallTime     = time.Second     // time constant of falling
	weightRiseTime     = 5 * time.Second // time constant of rising
	maxUpdateGap       = 10 * time.Second
)

// BalancerWeight turns the shed level into the weight that load balancers are told. The weight falls as more is shed, in steps that a
// passing peak doesn't reach, and recovers slowly, so that load is not swung to and fro. The zero value is in full health.
type BalancerWeight struct {
	weight     float64 // smoothed, in percent
	advertised int     // in percent
	updatedAt  time.Duration
	started    bool
}

// Update takes in the shed level, 0 to 1, and returns the weight to advertise, in percent. Gaps between updates that are longer
// than maxUpdateGap count as that.
func (h *BalancerWeight) Update(now time.Duration, level float64) int {
	if !h.started {
		h.started, h.updatedAt = true, now
		h.weight, h.advertised = maxWeightPercent, maxWeightPercent
	}
	want := max(minWeightPercent, maxWeightPercent*(1-level))
	elapsed := min(now-h.updatedAt, maxUpdateGap)
	h.updatedAt = now
	timeConstant := weightRiseTime
	if want < h.weight {
		timeConstant = weightFallTime
	}
	h.weight += (want - h.weight) * float64(elapsed) / float64(elapsed+timeConstant)
	if d := h.weight - float64(h.advertised); d > weightSlackPercent || d < -weightSlackPercent {
		h.advertised = int(h.weight/weightStepPercent+0.5) * weightStepPercent
	}
	return h.advertised
}

// Weight returns the weight advertised last, in percent.
func (h *BalancerWeight) Weight() int {
	if !h.started {
		return maxWeightPercent
	}
	return h.advertised
}
