package overload

import "time"

// How the weight follows the shed level. Weights are in percent.
const (
	maxWeightPercent   = 100
	minWeightPercent   = 10              // some load must arrive, or recovery could not be detected
	weightStepPercent  = 5               // advertised weights are multiples of this
	weightSlackPercent = 4               // smaller deviations from the advertised weight are not advertised
	weightFallTime     = time.Second     // time constant while the weight falls
	weightRiseTime     = 5 * time.Second // time constant while the weight rises
	maxUpdateGap       = 10 * time.Second
)

// BalancerWeight converts the shed level into the weight that is advertised to load balancers. The
// weight falls as more is shed, in steps so large that a short peak does not change it, and rises
// slowly, so that load does not swing back and forth. The zero value has full weight. It is not
// safe for concurrent use.
type BalancerWeight struct {
	weight     float64 // in percent, smoothed
	advertised int     // in percent
	updatedAt  time.Duration
	started    bool
}

// Update processes the shed level, 0 to 1, and returns the weight to advertise, in percent. A gap
// since the last update that is longer than maxUpdateGap counts as maxUpdateGap.
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
