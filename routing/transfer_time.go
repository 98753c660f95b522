package routing

import "time"

const (
	averageWeight     = 0.1 // weight of the newest sample in moving averages
	transferTimeGuess = 0.1 // sending time, as a share of the aim, where nothing tells of sizes yet
)

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
