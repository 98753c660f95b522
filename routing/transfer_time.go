package routing

import "time"

const (
	newestSampleWeight   = 0.1                     // weight of the newest sample in moving averages
	transferTimeWeight   = newestSampleWeight / 10 // and in the mean transfer time of a class, whose answers differ more
	defaultTransferShare = 0.1                     // transfer time where nothing is known of sizes yet, as a share of the latency objective
)

// estimateTransferTime finds how long a request's answer takes to transfer at full pace: by its size, or where that isn't known
// by what the object's or the class's answers took.
func (d *Director) estimateTransferTime(r *request) {
	c := r.class
	if r.SizeKB > 0 {
		r.transferTime = d.settings.TransferTime(r.SizeKB)
	} else {
		r.transferTime = r.guessTransferTime()
	}
	if c.meanTransferTime == 0 {
		c.meanTransferTime = r.transferTime
	}
	if r.SizeKB > 0 {
		c.meanTransferTime += time.Duration(transferTimeWeight * float64(r.transferTime-c.meanTransferTime))
	}
}

func (r *request) guessTransferTime() time.Duration {
	if r.entry != nil && r.entry.transferTime > 0 {
		return r.entry.transferTime
	}
	return max(r.class.meanTransferTime, time.Duration(defaultTransferShare*float64(r.class.LatencyObjective)))
}

// learnSize takes in the size of a request's answer, in kB. Until then its transfer time was a guess, by which large answers
// would look late.
func (d *Director) learnSize(r *request, sizeKB float64) {
	r.SizeKB = sizeKB
	r.transferTime = d.settings.TransferTime(sizeKB)
	if r.entry != nil {
		r.entry.transferTime = r.transferTime
	}
	c := r.class
	c.sizedAnswers++
	weight := max(transferTimeWeight, 1/float64(c.sizedAnswers))
	c.meanTransferTime += time.Duration(weight * float64(r.transferTime-c.meanTransferTime))
}

// learnTransferTime takes in how long an answer of unknown size took: the quickest of an object's answers is closest to its
// transfer alone.
func (r *request) learnTransferTime(latency time.Duration, hit bool) {
	e, c := r.entry, r.class
	if e.transferTime == 0 || latency < e.transferTime {
		e.transferTime = latency
	}
	if hit {
		c.meanTransferTime += time.Duration(transferTimeWeight * float64(e.transferTime-c.meanTransferTime))
	}
}
