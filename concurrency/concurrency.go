// Package concurrency learns how much may be out somewhere, and says whose request may still go when little more may. It does
// no I/O and reads no clock.
//
// A limit is cut when answers are late and grows while they are in time, as congestion windows do. It need not be whole:
// of many gateways each has less than one attempt out, and the fraction is a chance.
package concurrency

import (
	"math"
	"time"
)

const (
	lateShareWeight        = 0.1              // weight of the newest answer in the late share
	sparseAnswerGapSeconds = 0.5              // answers further apart than this, in seconds, weigh more
	maxLateShareWeight     = 0.3              // but no more than this
	maxLateShare           = 0.2              // where this share of answers is late, a late one cuts the limit to the rest
	maxGrowthPerSecond     = 0.8              // in a second of answers in time it grows by this share at most: a cut is made good in about two
	maxLull                = 15 * time.Second // a lull counts for so long at most
	minMeanCostWeight      = 0.01             // weight of the newest request in the mean cost
)

// Limit counts what is out somewhere, and learns how much may be. Most and Least must be set.
type Limit struct {
	InFlight int
	Max      float64 // +Inf: no limit yet
	Min      float64 // it is never cut below this

	LateShare  float64       // share of recent answers that were late
	LastAnswer time.Duration // latest answer
	LastCut    time.Duration // when it was last cut
}

// Unlimited returns a limit that has learned nothing.
func Unlimited() Limit { return Limit{Max: math.Inf(1)} }

// Observe takes in an answer to what was sent at a time. Answers that grow it are those that did what was asked. Only
// what was sent after a cut counts for the next one: what was out already can't be helped by it.
func (l *Limit) Observe(now, sent time.Duration, late, grows bool) {
	since := min(maxLull, now-l.LastAnswer)
	weight := max(lateShareWeight, min(maxLateShareWeight, lateShareWeight*since.Seconds()/sparseAnswerGapSeconds))
	l.LastAnswer = now
	switch {
	case !late:
		l.LateShare -= weight * l.LateShare
		if l.LateShare < maxLateShare && grows && float64(l.InFlight+1) >= l.Max/2 {
			l.Max += min(1/l.Max, maxGrowthPerSecond*l.Max*since.Seconds())
		}
	case sent >= l.LastCut:
		if l.LateShare += weight * (1 - l.LateShare); l.LateShare > maxLateShare {
			l.Max = max(l.Min, (1-l.LateShare)*min(float64(l.InFlight+1), l.Max))
			l.LastCut = now
		}
	}
}

// HasCapacity says whether one more may be out, of a request that may use a part of the limit. Luck, between 0 and 1, is drawn
// once for each request.
func (l *Limit) HasCapacity(quota, draw float64) bool { return float64(l.InFlight)+draw < quota*l.Max }

// IsUnlimited says that nothing was ever late here.
func (l *Limit) IsUnlimited() bool { return math.IsInf(l.Max, 1) }

// MeanCost is the mean of what requests cost for their worth. The zero value knows nothing.
type MeanCost struct {
	mean     float64
	observed float64
}

// CostPerWeight is what a request costs for its worth: seconds of sending for each unit.
func CostPerWeight(transfer time.Duration, weight float64) float64 {
	return transfer.Seconds() / max(weight, 0.01)
}

// Observe takes in a request's price.
func (m *MeanCost) Observe(cost float64) {
	m.observed++
	m.mean += max(minMeanCostWeight, 1/m.observed) * (cost - m.mean)
}

// Quota is the part of a limit that a request may use: all of it, unless it costs more than most for its worth. Then it
// stops first, so that what is left serves the most worth. The root keeps large ones from being shut out: one of four times
// the mean price still has half of the limit.
func (m *MeanCost) Quota(cost float64) float64 {
	if cost <= m.mean || m.mean <= 0 {
		return 1
	}
	return math.Sqrt(m.mean / cost)
}

// MaxWithinObjective is how many transfers may share a store's slots so that one which takes work alone still ends within its aim,
// stretch times work and fixed besides: with n on s slots each takes n/s times as long. +Inf where slots or work are not known.
func MaxWithinObjective(slots, stretch float64, fixed, transfer time.Duration) float64 {
	if slots <= 0 || transfer <= 0 {
		return math.Inf(1)
	}
	return max(1, slots*(stretch+fixed.Seconds()/transfer.Seconds()))
}
