package warmstart

import (
	"math"
	"time"

	"larchusher/routing"
)

// Half-lives of the confidence in learned state. State that attracts requests to an endpoint decays faster than state
// that keeps requests away: an endpoint that is wrongly considered faulty is soon tried again, but one that is wrongly
// considered healthy is sent requests that it can't serve.
const (
	ListingHalfLife     = time.Minute      // that an object is cached at an endpoint: attracts requests
	FillLatencyHalfLife = 30 * time.Second // fill latency of a parent: attracts fills to the faster parent
	FailureHalfLife     = 2 * time.Minute  // that an endpoint fails or answers late: keeps requests away
	LimitHalfLife       = 2 * time.Minute  // concurrency limit of an endpoint: keeps requests away
)

const (
	// minConfidence is the confidence below which learned state is ignored.
	minConfidence = 0.001
	// maxClockSkew is the time by which state may be dated in the future, since the clock may have been set back.
	maxClockSkew = 2 * time.Second
)

// ConfidenceAt returns the confidence, from 0 to 1, in each type of learned state of the given age. It is 0 for state
// dated more than maxClockSkew in the future.
func ConfidenceAt(age time.Duration) routing.Confidence {
	return routing.Confidence{
		Listing:     confidence(age, ListingHalfLife),
		Failure:     confidence(age, FailureHalfLife),
		Limit:       confidence(age, LimitHalfLife),
		FillLatency: confidence(age, FillLatencyHalfLife),
	}
}

// confidence halves with each halfLife of the age.
func confidence(age, halfLife time.Duration) float64 {
	if age < -maxClockSkew {
		return 0
	}
	remaining := math.Exp2(-float64(max(0, age)) / float64(halfLife))
	if remaining < minConfidence {
		return 0
	}
	return remaining
}
