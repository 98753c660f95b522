package routing

import "time"

const (
	newestSampleWeight   = 0.1                     // weight of the newest sample in moving averages
	transferTimeWeight   = newestSampleWeight / 10 // the same in the mean transfer time of a class, whose answers vary more
	defaultTransferShare = 0.1                     // assumed transfer time while no size is known, as a share of the latency objective
)

// estimateTransferTime estimates the transfer time of a request's answer at full pace: by its size
// or, if that is unknown, by earlier answers of the object or the class.
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

// learnSize records the size, in kB, of a request's answer. Before it, the transfer time was an
// estimate by which large answers would look late.
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

// learnTransferTime updates the transfer times by an answer of unknown size. The shortest latency
// of an object's answers is closest to its transfer time alone.
func (r *request) learnTransferTime(latency time.Duration, hit bool) {
	e, c := r.entry, r.class
	if e.transferTime == 0 || latency < e.transferTime {
		e.transferTime = latency
	}
	if hit {
		c.meanTransferTime += time.Duration(transferTimeWeight * float64(e.transferTime-c.meanTransferTime))
	}
}
