// Package concurrency learns how many attempts may be in flight to an endpoint, and decides which
// requests may still use it when little capacity is left.
//
// A limit is cut when answers are late and grows while they are in time, like a congestion window.
// It need not be an integer: each of many gateways may be allowed less than one attempt in flight,
// and the fraction is then a probability.
//
// The package does no I/O, reads no clock and draws no random numbers. Its types are not safe for
// concurrent use.
package concurrency

import (
	"math"
	"time"
)

// Constants of the adaptation of a Limit.
const (
	// lateShareWeight is the weight of the newest answer in the smoothed share of late answers.
	// Answers more than sparseAnswerGapSeconds apart weigh more, in proportion to the gap, up to
	// maxLateShareWeight.
	lateShareWeight        = 0.1
	sparseAnswerGapSeconds = 0.5
	maxLateShareWeight     = 0.3

	// maxLateShare is the share of late answers above which a late answer cuts the limit.
	maxLateShare = 0.2
	// maxGrowthPerSecond is the maximum share by which answers in time raise the limit per second.
	maxGrowthPerSecond = 0.8
	// maxAnswerGap is the longest time since the previous answer that counts for weight and growth.
	maxAnswerGap = 15 * time.Second
)

// Limit is an adaptive limit on the attempts in flight to an endpoint. The caller keeps InFlight up
// to date. Max and Min must be set, by [Unlimited] or by the caller.
type Limit struct {
	InFlight int
	Max      float64 // maximum number of attempts in flight; +Inf: unlimited
	Min      float64 // lower bound of Max

	LateShare  float64       // smoothed share of late answers, 0 to 1
	LastAnswer time.Duration // time of the latest answer
	LastCut    time.Duration // time of the latest cut of Max
}

// Unlimited returns a limit that no late answer has cut yet.
func Unlimited() Limit { return Limit{Max: math.Inf(1)} }

// Observe adapts the limit to an answer that arrived now to an attempt sent at sent. late states
// that it missed its objective; mayRaise that it was useful, so that it may raise the limit. A late
// answer to an attempt sent before the latest cut is ignored, because the cut could not affect it.
func (l *Limit) Observe(now, sent time.Duration, late, mayRaise bool) {
	gap := min(maxAnswerGap, now-l.LastAnswer)
	weight := max(lateShareWeight, min(maxLateShareWeight, lateShareWeight*gap.Seconds()/sparseAnswerGapSeconds))
	l.LastAnswer = now
	switch {
	case !late:
		l.LateShare -= weight * l.LateShare
		if mayRaise && l.mayGrow() {
			l.Max += min(1/l.Max, maxGrowthPerSecond*l.Max*gap.Seconds())
		}
	case sent >= l.LastCut:
		l.LateShare += weight * (1 - l.LateShare)
		if l.LateShare > maxLateShare {
			l.cut(now)
		}
	}
}

// mayGrow reports whether an answer in time may raise the limit: few answers were late, and at
// least half of the limit is in use.
func (l *Limit) mayGrow() bool {
	return l.LateShare < maxLateShare && float64(l.InFlight+1) >= l.Max/2
}

// cut lowers the limit by the share of late answers, starting from the number of attempts in
// flight.
func (l *Limit) cut(now time.Duration) {
	l.Max = max(l.Min, (1-l.LateShare)*min(float64(l.InFlight+1), l.Max))
	l.LastCut = now
}

// HasCapacity reports whether one more attempt may be in flight for a request that may use a quota
// (0 to 1) of the limit. draw is a random number in [0, 1), drawn once per request, which turns the
// fraction of a limit into a probability.
func (l *Limit) HasCapacity(quota, draw float64) bool { return float64(l.InFlight)+draw < quota*l.Max }

// IsUnlimited reports whether the limit has never been cut.
func (l *Limit) IsUnlimited() bool { return math.IsInf(l.Max, 1) }

const (
	// minMeanCostWeight is the weight of the newest request in the mean cost after the first 100
	// requests.
	minMeanCostWeight = 0.01
	// minPriorityWeight replaces lower priority weights, so that a cost is finite.
	minPriorityWeight = 0.01
)

// MeanCost is the mean cost of requests, in seconds of transfer per unit of priority weight. The
// zero value has observed no request.
type MeanCost struct {
	mean     float64
	observed float64 // number of observed requests
}

// CostPerWeight returns the cost of a request in seconds of transfer per unit of its priority
// weight.
func CostPerWeight(transfer time.Duration, weight float64) float64 {
	return transfer.Seconds() / max(weight, minPriorityWeight)
}

// Observe adds the cost of a request to the mean.
func (m *MeanCost) Observe(cost float64) {
	m.observed++
	m.mean += max(minMeanCostWeight, 1/m.observed) * (cost - m.mean)
}

// Quota returns the share of a limit, above 0 and up to 1, that a request of the given cost may
// use: all of it, unless it costs more than the mean. Costly requests are stopped first, so that
// the remaining capacity serves the most priority weight. The square root keeps them from being
// shut out: a request of four times the mean cost may still use half of the limit.
func (m *MeanCost) Quota(cost float64) float64 {
	if cost <= m.mean || m.mean <= 0 {
		return 1
	}
	return math.Sqrt(m.mean / cost)
}

// MaxWithinObjective returns how many transfers may share an endpoint's slots so that one that
// takes the time transfer by itself ends within its latency objective, fixed + stretch*transfer.
// With n transfers on s slots each takes n/s times as long. The result is at least 1, and +Inf if
// slots or transfer is unknown (0 or less).
func MaxWithinObjective(slots, stretch float64, fixed, transfer time.Duration) float64 {
	if slots <= 0 || transfer <= 0 {
		return math.Inf(1)
	}
	return max(1, slots*(stretch+fixed.Seconds()/transfer.Seconds()))
}
