package warmstart

import (
	"math"
	"time"

	"larchusher/routing"
)

// Half-lives of learned state. What speaks for sending more ages faster than what speaks for sending less: an endpoint that is
// wrongly taken for faulty is soon tried again, while one wrongly taken for healthy is sent requests that it can't serve.
const (
	ListingHalfLife     = time.Minute      // an object is cached at an endpoint: for sending more there
	FillLatencyHalfLife = 30 * time.Second // a parent fills faster: for sending more there
	FailureHalfLife     = 2 * time.Minute  // an endpoint fails or answers late: for sending less
	LimitHalfLife       = 2 * time.Minute  // the concurrency limit of an endpoint: for sending less
)

const (
	// minConfidence is the confidence below which learned state counts for nothing.
	minConfidence = 0.001
	// maxClockSkew is by how much state may be of the future, as a clock may have been put back.
	maxClockSkew = 2 * time.Second
)

// ConfidenceAt returns what learned state of an age still counts for. State of the future counts for nothing.
func ConfidenceAt(age time.Duration) routing.Confidence {
	return routing.Confidence{
		Listing:     confidence(age, ListingHalfLife),
		Failure:     confidence(age, FailureHalfLife),
		Limit:       confidence(age, LimitHalfLife),
		FillLatency: confidence(age, FillLatencyHalfLife),
	}
}

func confidence(age, halfLife time.Duration) float64 {
	if age < -maxClockSkew {
		return 0
	}
	left := math.Exp2(-float64(max(0, age)) / float64(halfLife))
	if left < minConfidence {
		return 0
	}
	return left
}
