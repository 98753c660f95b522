// Package slowstart limits what is sent to an endpoint that has just started. An endpoint that is
// sent more than a multiple of its current capacity for a whole window fails.
//
// Many senders share such an endpoint without communicating. Each has a share of the endpoint's
// budget, and the shares add up to what the endpoint can take. A share is often smaller than the
// cost of one sending, and a sending cannot be divided: a sender makes it with the probability of
// its share (randomized rounding), so that all senders together make as many sendings as their
// shares add up to, whatever each of them has to send and when.
//
// The package does no I/O, reads no clock and draws no random numbers. Equal inputs give equal
// results. Its types are not safe for concurrent use.
package slowstart

import (
	"math"
	"slices"
	"time"
)

const (
	// safetyMargin is the share of an endpoint's budget that is spent, because sendings differ in
	// size.
	safetyMargin = 0.9
	// defaultSenderCount is the number of senders assumed if it is unknown.
	defaultSenderCount = 100
	// goldenRatioFraction spreads consecutive sender numbers evenly over [0, 1).
	goldenRatioFraction = 0.6180339887498949
)

// Ramp describes how endpoints of one kind warm up.
type Ramp struct {
	InitialShare     float64       // share of its full capacity that an endpoint has at its start, 0 to 1
	Duration         time.Duration // time from the start to full capacity, with a linear rise; 0: always warm
	OverloadMultiple float64       // an endpoint fails if it is sent this multiple of its current capacity ...
	OverloadWindow   time.Duration // ... for this long; 0: it never fails by overload
}

// CapacityShare returns the share of its full capacity, 0 to 1, that an endpoint with the given
// start has at least. A start at or before 0 was long ago.
func (r Ramp) CapacityShare(now, start time.Duration) float64 {
	if start <= 0 || r.Duration <= 0 || now-start >= r.Duration {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*max(0, float64(now-start)/float64(r.Duration))
}

// Sender describes the calling sender, and what it has measured of the endpoint and of comparable
// ones.
type Sender struct {
	SenderCount  float64       // number of senders to the endpoint; 0: unknown
	Position     float64       // position among all senders, in [0, 1); see [SenderPosition]
	WarmRate     float64       // cost per second that warm endpoints of the same size serve for this sender; 0: unknown
	ObservedRate float64       // cost per second that this endpoint recently served for this sender
	ObservedOver time.Duration // averaging time of ObservedRate
}

// SenderPosition returns the position of a sender, in [0, 1), by its number. The positions are
// evenly spread, in a different order at each endpoint. Senders without numbers may use random
// positions, which are as even on average.
func SenderPosition(number int, endpoint uint64) float64 {
	_, fraction := math.Modf(float64(number)*goldenRatioFraction + float64(endpoint>>11)/(1<<53))
	return fraction
}

// Budget records what one sender has sent to a cold endpoint within the overload window. The zero
// value has no sendings.
type Budget struct {
	sent  []sendRecord // in order of time
	total float64      // sum of their costs
}

// sendRecord is the record of one sending.
type sendRecord struct {
	at   time.Duration
	cost float64
}

// Spend records a sending of the given cost, made now to an endpoint with the given start.
func (r Ramp) Spend(b *Budget, now, start time.Duration, cost float64) {
	if r.CapacityShare(now, start) >= 1 { // a warm endpoint has no budget, and recording its many sendings would be wasted
		*b = Budget{}
		return
	}
	b.dropUntil(now - r.OverloadWindow)
	b.sent = append(b.sent, sendRecord{now, cost})
	b.total += cost
}

// Refund removes the latest sending of the given cost, which did not reach the endpoint.
func (b *Budget) Refund(cost float64) {
	for i := len(b.sent) - 1; i >= 0; i-- {
		if b.sent[i].cost == cost {
			b.sent = slices.Delete(b.sent, i, i+1)
			b.total -= cost
			return
		}
	}
}

// dropUntil drops the records up to and including the time cutoff.
func (b *Budget) dropUntil(cutoff time.Duration) {
	for len(b.sent) > 0 && b.sent[0].at <= cutoff {
		b.total -= b.sent[0].cost
		b.sent = b.sent[1:]
	}
	if len(b.sent) == 0 { // clears the rounding error of total
		*b = Budget{}
	}
}

// Allows reports whether a sending of the given cost may be made now to an endpoint with the given
// start.
//
// Within one overload window a sender may spend its share of what the endpoint can take: the
// overload multiple of the rate that the endpoint can serve for it now, times the safety margin. A
// sender that knows no rate gets its share of a floor of one sending per window.
func (r Ramp) Allows(b *Budget, now, start time.Duration, cost float64, s Sender) bool {
	if r.OverloadWindow <= 0 {
		return true
	}
	senders := s.SenderCount
	if senders <= 0 { // without this, each sender of a large fleet would spend the whole floor
		senders = defaultSenderCount
	}
	rate := r.estimateRate(now, start, cost, s)
	window := r.OverloadWindow.Seconds()
	floor := cost / max(1, window) / max(1, senders)
	budget := window * max(r.OverloadMultiple*safetyMargin*rate, floor)
	b.dropUntil(now - r.OverloadWindow)
	return b.total+(1-r.currentPosition(now, senders, s))*cost <= budget
}

// estimateRate estimates the cost per second that the endpoint can serve for a sender now. The full
// capacity follows from what warm endpoints serve for this sender, and the current share of it from
// the endpoint's age. The rate observed at the endpoint itself is used if it is higher.
func (r Ramp) estimateRate(now, start time.Duration, cost float64, s Sender) float64 {
	if s.WarmRate <= 0 {
		return s.ObservedRate
	}
	// Capacity rises linearly, so its mean over the window that ends now is the capacity at the
	// window's middle.
	rate := s.WarmRate * r.CapacityShare(now-r.OverloadWindow/2, start)
	if s.ObservedRate > rate {
		// One standard deviation less: a few sendings that succeeded by chance are no proof of
		// capacity.
		deviation := math.Sqrt(s.ObservedRate * cost / s.ObservedOver.Seconds())
		rate = max(rate, s.ObservedRate-deviation)
	}
	return rate
}

// currentPosition returns the sender's position at the time now, in [0, 1). The order advances by
// one sender per window, so that no sender is shut out for the whole ramp.
func (r Ramp) currentPosition(now time.Duration, senders float64, s Sender) float64 {
	_, position := math.Modf(s.Position + float64(now)/float64(r.OverloadWindow)/max(1, senders))
	return position
}
