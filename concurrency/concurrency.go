// Package concurrency learns how many attempts may be in flight to an endpoint, and decides whose request may still go when
// little capacity is left.
//
// A limit is cut when answers are late and grows while they are in time, as congestion windows do. It need not be an
// integer: of many gateways each may have less than one attempt in flight, and the fraction is a probability.
//
// The package does no I/O, reads no clock and draws no random numbers. Its types are not safe for concurrent use.
package concurrency

import (
	"math"
	"time"
)

// How a Limit follows answers.
const (
	// lateShareWeight is the weight of the newest answer in the smoothed share of late ones. Answers that are further apart
	// than sparseAnswerGapSeconds weigh more, in proportion, up to maxLateShareWeight.
	lateShareWeight        = 0.1
	sparseAnswerGapSeconds = 0.5
	maxLateShareWeight     = 0.3

	// maxLateShare is the share of late answers above which a late one cuts the limit.
	maxLateShare = 0.2
	// maxGrowthPerSecond is the share by which a limit grows at most in a second of answers in time.
	maxGrowthPerSecond = 0.8
	// maxLull is the longest time without answers that counts towards weight and growth.
	maxAnswerGap = 15 * time.Second
)

// Limit counts the attempts in flight to an endpoint, and learns how many there may be. Max and Min must be set, by
// [Unlimited] or by the caller.
type Limit struct {
	InFlight int
	Max      float64 // attempts in flight; +Inf: unlimited
	Min      float64 // Max is never cut below this

	LateShare  float64       // smoothed share of answers that were late, 0 to 1
	LastAnswer time.Duration // time of the latest answer
	LastCut    time.Duration // time of the latest cut of Max
}

// Unlimited returns a limit that has learned nothing.
func Unlimited() Limit { return Limit{Max: math.Inf(1)} }

// Observe takes in an answer to an attempt that was sent at sent. late says that it came too late; grows that it did what
// was asked, so that it may raise the limit. A late answer to what was sent before the latest cut is ignored: the cut
// could not help it any more.
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

// mayGrow reports whether an answer in time may raise the limit: few were late, and at least half of the limit is in use.
func (l *Limit) mayGrow() bool {
	return l.LateShare < maxLateShare && float64(l.InFlight+1) >= l.Max/2
}

// cut lowers the limit by the share of late answers, from what is in flight.
func (l *Limit) cut(now time.Duration) {
	l.Max = max(l.Min, (1-l.LateShare)*min(float64(l.InFlight+1), l.Max))
	l.LastCut = now
}

// HasCapacity reports whether one more attempt may be in flight, of a request that may use a quota (0 to 1) of the limit.
// draw, in [0, 1), is drawn once for each request; it turns the fraction of a limit into a probability.
func (l *Limit) HasCapacity(quota, draw float64) bool { return float64(l.InFlight)+draw < quota*l.Max }

// IsUnlimited reports that nothing was late so far.
func (l *Limit) IsUnlimited() bool { return math.IsInf(l.Max, 1) }

const (
	// minMeanCostWeight is the weight of the newest request in the mean cost, once many were observed.
	minMeanCostWeight = 0.01
	// minPriorityWeight stands in for lower weights, so that a cost is finite.
	minPriorityWeight = 0.01
)

// MeanCost is the mean cost per priority weight of requests, in seconds. The zero value knows nothing.
type MeanCost struct {
	mean     float64
	observed float64 // number of requests
}

// CostPerWeight returns the cost of a request: seconds of transfer for each unit of its priority weight.
func CostPerWeight(transfer time.Duration, weight float64) float64 {
	return transfer.Seconds() / max(weight, minPriorityWeight)
}

// Observe takes in the cost of a request.
func (m *MeanCost) Observe(cost float64) {
	m.observed++
	m.mean += max(minMeanCostWeight, 1/m.observed) * (cost - m.mean)
}

// Quota returns the share of a limit, above 0 to 1, that a request of a cost may use: all of it, unless it costs more than the
// mean. Costly requests stop first, so that the capacity left serves the most priority weight. The root keeps them from being
// shut out: a request of four times the mean cost may still use half of the limit.
func (m *MeanCost) Quota(cost float64) float64 {
	if cost <= m.mean || m.mean <= 0 {
		return 1
	}
	return math.Sqrt(m.mean / cost)
}

// MaxWithinObjective returns how many transfers may share the slots of an endpoint so that one which takes transfer alone still
// ends within its latency objective, which is stretch times transfer, and fixed besides. With n transfers on s slots each
// takes n/s times as long. +Inf where slots or transfer are unknown (0 or less).
func MaxWithinObjective(slots, stretch float64, fixed, transfer time.Duration) float64 {
	if slots <= 0 || transfer <= 0 {
		return math.Inf(1)
	}
	return max(1, slots*(stretch+fixed.Seconds()/transfer.Seconds()))
}
