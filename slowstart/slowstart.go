// Package slowstart bounds what is sent to a store that has just started. Sent more than a multiple of what it can do at
// that moment, for long enough, it falls over. It does no I/O and reads no clock.
//
// Many senders share such a store and do not speak with each other, so each keeps to its own part, and the parts add up to
// what the store bears. A part is seldom a whole sending: of a tenth of one, each sender for itself can only make none or one.
// It makes one with the chance of a tenth (randomized rounding), so that all together make as many as their parts say, whatever
// each of them wants and when.
package slowstart

import (
	"math"
	"slices"
	"time"
)

const (
	safetyMargin        = 0.9 // share of what it can take that is spent: those who send differ in size
	assumedSenders      = 100 // senders that are reckoned with where their number is not told
	goldenRatioFraction = 0.6180339887498949
)

// Ramp says how a store warms up.
type Ramp struct {
	InitialShare     float64       // it starts with at least this share of its capacity
	Duration         time.Duration // and has all of it after this at the latest, rising in a line; 0: it is never cold
	OverloadMultiple float64       // sent this multiple of what it can do ...
	OverloadWindow   time.Duration // ... for this long, it falls over
}

// CapacityShare is the least share of its capacity that a store which started at a time has now; 1 once it is warm. A start at
// or before 0 was long ago.
func (r Ramp) CapacityShare(now, start time.Duration) float64 {
	if start <= 0 || r.Duration <= 0 || now-start >= r.Duration {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*max(0, float64(now-start)/float64(r.Duration))
}

// Sender says who sends, among whom.
type Sender struct {
	Senders      float64       // senders to the store; 0: not told
	Position     float64       // in the order of senders, between 0 and 1: see [Place]
	WarmRate     float64       // cost a second that warm stores of this one's size carry for it; 0: nothing is known
	ObservedRate float64       // and that this one was seen to do for it lately,
	ObservedOver time.Duration // within about this time
}

// SenderPosition spreads senders evenly between 0 and 1 by their numbers, in another order at each store. Where numbers are not told,
// a place that each draws for itself serves as well on average.
func SenderPosition(number int, store uint64) float64 {
	_, f := math.Modf(float64(number)*goldenRatioFraction + float64(store>>11)/(1<<53))
	return f
}

// Budget is what one sender has sent to a cold store within the time in which it falls over. The zero value is for a store that
// nothing was sent to.
type Budget struct {
	sent  []sendRecord // in order of time
	total float64      // of their costs
}

type sendRecord struct {
	at   time.Duration
	cost float64
}

// Spend notes that something of a cost is sent to a store that started at a time.
func (r Ramp) Spend(b *Budget, now, start time.Duration, cost float64) {
	if r.CapacityShare(now, start) >= 1 { // guards the memory: to a warm one much is sent
		*b = Budget{}
		return
	}
	b.dropUntil(now - r.OverloadWindow)
	b.sent = append(b.sent, sendRecord{now, cost})
	b.total += cost
}

// Refund takes back the latest spending of a cost, which did not come to the store.
func (b *Budget) Refund(cost float64) {
	for i := len(b.sent) - 1; i >= 0; i-- {
		if b.sent[i].cost == cost {
			b.sent = slices.Delete(b.sent, i, i+1)
			b.total -= cost
			return
		}
	}
}

// dropUntil drops what was sent until a time.
func (b *Budget) dropUntil(until time.Duration) {
	for len(b.sent) > 0 && b.sent[0].at <= until {
		b.total -= b.sent[0].cost
		b.sent = b.sent[1:]
	}
	if len(b.sent) == 0 { // what rounding left in the sum goes, too
		*b = Budget{}
	}
}

// Allows says whether something of a cost may be sent to a store that started at a time.
//
// The store bears the multiple of what it has, for the time in which it falls. What it has of its full capacity is known by its
// age, and its full capacity by what warm ones carry for this sender, which is the sender's part: the parts of all add up. A
// sender that knows nothing has its part of a floor of one sending. The store's own doing counts where it is more.
func (r Ramp) Allows(b *Budget, now, start time.Duration, cost float64, s Sender) bool {
	if r.OverloadWindow <= 0 { // it bears anything
		return true
	}
	senders := s.Senders
	if senders <= 0 { // guards against each of a whole fleet taking the floor for its own
		senders = assumedSenders
	}
	// The window that ends now has brought what the store had in its middle, as it warms up in a line.
	rate := s.WarmRate * r.CapacityShare(now-r.OverloadWindow/2, start)
	if s.WarmRate <= 0 {
		rate = s.ObservedRate
	} else if s.ObservedRate > rate {
		// Guards against luck with a few: what some did beyond their part others did not, who go by warm ones.
		rate = max(rate, s.ObservedRate-math.Sqrt(s.ObservedRate*cost/s.ObservedOver.Seconds()))
	}
	window := r.OverloadWindow.Seconds()
	budget := window * max(r.OverloadMultiple*safetyMargin*rate, cost/max(1, window)/max(1, senders))
	// The order moves on by one sender in each window, so that none is shut out for the whole ramp.
	_, position := math.Modf(s.Position + float64(now)/float64(r.OverloadWindow)/max(1, senders))
	b.dropUntil(now - r.OverloadWindow)
	return b.total+(1-position)*cost <= budget
}
