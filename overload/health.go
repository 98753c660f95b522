package overload

import "time"

// Health words the level for balancers: a weight that falls as more is shed, in steps that a passing peak does not
// reach, and that come back by and by. Guards against a balancer that is made to swing load to and fro.
type Health struct {
	weight     float64 // smoothed
	advertised int     // in percent, a multiple of healthStep
	updatedAt  time.Duration
	started    bool
}

const (
	weightStepPercent  = 5                // percent
	weightSlackPercent = 4                // percent beyond a step before it is told
	weightFallTime     = time.Second      // time constant of falling
	weightRiseTime     = 5 * time.Second  // and of rising
	minWeightPercent   = 10               // percent: some load must come, or recovery would not be seen
	maxWeightPercent   = 100              // percent
	maxUpdateGap       = 10 * time.Second // longer gaps between updates count as this
)

// Update takes the level in and returns the weight to be told, in percent.
func (h *Health) Update(now time.Duration, level float64) int {
	want := max(minWeightPercent, maxWeightPercent*(1-level))
	if !h.started {
		h.started, h.weight, h.advertised, h.updatedAt = true, maxWeightPercent, maxWeightPercent, now
	}
	dt := min(now-h.updatedAt, maxUpdateGap)
	h.updatedAt = now
	tau := weightRiseTime
	if want < h.weight {
		tau = weightFallTime
	}
	h.weight += (want - h.weight) * float64(dt) / float64(dt+tau)
	if d := h.weight - float64(h.advertised); d > weightSlackPercent || d < -weightSlackPercent {
		h.advertised = int(h.weight/weightStepPercent+0.5) * weightStepPercent
	}
	return h.advertised
}

// Weight is what was told last.
func (h *Health) Weight() int {
	if !h.started {
		return maxWeightPercent
	}
	return h.advertised
}
