// Package slowstart bounds what is sent to an endpoint that has just started. An endpoint that is sent more than a multiple of its
// current capacity for a whole window falls over.
//
// Many senders share such an endpoint without talking to each other. Each keeps to its own part of the endpoint's budget, and the
// parts add up to what the endpoint bears. A part is often smaller than one sending, and a sender can only make whole ones:
// it makes one with the probability of its part (randomized rounding), so that all senders together make as many as their
// parts add up to, whatever each of them wants and when.
//
// The package does no I/O, reads no clock and draws no random numbers. Equal inputs give equal answers. Its types are not
// safe for concurrent use.
package slowstart

import (
	"math"
	"slices"
	"time"
)

const (
	// safetyMargin is the share of an endpoint's budget that is spent: what senders send differs in size.
	safetyMargin = 0.9
	// assumedSenders is the number of senders where the settings don't give it.
	defaultSenderCount = 100
	// goldenRatioFraction spreads consecutive sender numbers evenly over [0, 1).
	goldenRatioFraction = 0.6180339887498949
)

// Ramp is how a kind of endpoint warms up.
type Ramp struct {
	InitialShare     float64       // share of its capacity that an endpoint has at its start, 0 to 1
	Duration         time.Duration // time from the start to full capacity, which rises linearly; 0: it is never cold
	OverloadMultiple float64       // multiple of its current capacity at which an endpoint falls over ...
	OverloadWindow   time.Duration // ... when it is sent that for this long; 0: it never falls over
}

// CapacityShare returns the share of its full capacity, 0 to 1, that an endpoint has at least now. A start at or before 0 was
// long ago.
func (r Ramp) CapacityShare(now, start time.Duration) float64 {
	if start <= 0 || r.Duration <= 0 || now-start >= r.Duration {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*max(0, float64(now-start)/float64(r.Duration))
}

// Sender describes the sender that asks, and what it knows of endpoints like the one it would send to.
type Sender struct {
	SenderCount  float64       // number of senders to the endpoint; 0: unknown
	Position     float64       // in the order of senders, 0 to 1: see [SenderPosition]
	WarmRate     float64       // cost per second that warm endpoints of the same size carry for this sender; 0: unknown
	ObservedRate float64       // cost per second that this endpoint was lately seen to carry for it
	ObservedOver time.Duration // time over which ObservedRate was averaged
}

// SenderPosition spreads senders evenly over [0, 1) by their numbers, in another order at each endpoint. Where senders have no
// numbers, a random draw for each serves as well on average.
func SenderPosition(number int, endpoint uint64) float64 {
	_, fraction := math.Modf(float64(number)*goldenRatioFraction + float64(endpoint>>11)/(1<<53))
	return fraction
}

// Budget is what one sender has sent to a cold endpoint within the overload window. The zero value is for an endpoint that
// nothing was sent to.
type Budget struct {
	sent  []sendRecord // in order of time
	total float64      // sum of their costs
}

// sendRecord is one sending.
type sendRecord struct {
	at   time.Duration
	cost float64
}

// Spend records that something of a cost is sent now to an endpoint that started at start.
func (r Ramp) Spend(b *Budget, now, start time.Duration, cost float64) {
	if r.CapacityShare(now, start) >= 1 { // a warm endpoint is sent much, and its budget doesn't bind: keep no records
		*b = Budget{}
		return
	}
	b.dropUntil(now - r.OverloadWindow)
	b.sent = append(b.sent, sendRecord{now, cost})
	b.total += cost
}

// Refund removes the latest record of a cost, of something that did not reach the endpoint.
func (b *Budget) Refund(cost float64) {
	for i := len(b.sent) - 1; i >= 0; i-- {
		if b.sent[i].cost == cost {
			b.sent = slices.Delete(b.sent, i, i+1)
			b.total -= cost
			return
		}
	}
}

// dropUntil drops the records up to and including a time.
func (b *Budget) dropUntil(cutoff time.Duration) {
	for len(b.sent) > 0 && b.sent[0].at <= cutoff {
		b.total -= b.sent[0].cost
		b.sent = b.sent[1:]
	}
	if len(b.sent) == 0 { // resets what rounding has left in the total
		*b = Budget{}
	}
}

// Allows reports whether something of a cost may be sent now to an endpoint that started at start.
//
// Within one overload window the sender may spend its part of what the endpoint bears: the overload multiple of the rate that
// the endpoint carries for it now, less a safety margin. A sender that knows no rate has its part of a floor of one sending.
func (r Ramp) Allows(b *Budget, now, start time.Duration, cost float64, s Sender) bool {
	if r.OverloadWindow <= 0 {
		return true
	}
	senders := s.SenderCount
	if senders <= 0 { // else each of a whole fleet would take the floor for its own
		senders = defaultSenderCount
	}
	rate := r.estimateRate(now, start, cost, s)
	window := r.OverloadWindow.Seconds()
	floor := cost / max(1, window) / max(1, senders)
	budget := window * max(r.OverloadMultiple*safetyMargin*rate, floor)
	b.dropUntil(now - r.OverloadWindow)
	return b.total+(1-r.currentPosition(now, senders, s))*cost <= budget
}

// carriedRate estimates the cost per second that the endpoint carries for a sender now. An endpoint's full capacity is known by
// what warm endpoints carry for this sender, and its share of that by its age. What the endpoint itself was seen to carry counts
// where it is more.
func (r Ramp) estimateRate(now, start time.Duration, cost float64, s Sender) float64 {
	if s.WarmRate <= 0 {
		return s.ObservedRate
	}
	// Capacity rises linearly, so the window that ends now has the capacity of its middle on average.
	rate := s.WarmRate * r.CapacityShare(now-r.OverloadWindow/2, start)
	if s.ObservedRate > rate {
		// One standard deviation less: a few sendings that went well by chance are no proof of capacity.
		deviation := math.Sqrt(s.ObservedRate * cost / s.ObservedOver.Seconds())
		rate = max(rate, s.ObservedRate-deviation)
	}
	return rate
}

// currentPosition is the sender's position in the order now, 0 to 1. The order advances by one sender in each window, so that
// none is shut out for the whole ramp.
func (r Ramp) currentPosition(now time.Duration, senders float64, s Sender) float64 {
	_, position := math.Modf(s.Position + float64(now)/float64(r.OverloadWindow)/max(1, senders))
	return position
}
