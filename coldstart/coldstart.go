// Package coldstart bounds what is sent to a store that has just started. Sent more than a multiple of what it can do at
// that moment, for long enough, it falls over. It does no I/O and reads no clock.
package coldstart

import "time"

const (
	margin = 0.9          // share of what it can take that is spent: those who send differ in size
	saved  = 1/margin - 1 // of Within, for which as much may be saved up: spent at once, it still fits the window
	untold = 100          // senders that are reckoned with where their number is not told
)

// Ramp says how a store warms up.
type Ramp struct {
	From     float64       // it starts with at least this share of its capacity
	For      time.Duration // and has all of it after this at the latest, rising in a line; 0: it is never cold
	Multiple float64       // sent this multiple of what it can do ...
	Within   time.Duration // ... for this long, it falls over
}

// Share is the least share of its capacity that a store which started at a time has now; 1 once it is warm. A start at
// or before 0 was long ago.
func (r Ramp) Share(now, start time.Duration) float64 {
	if start <= 0 || r.For <= 0 || now-start >= r.For {
		return 1
	}
	return r.From + (1-r.From)*max(0, float64(now-start)/float64(r.For))
}

// Budget is what one sender may spend on a cold store. The zero value is for a store that nothing was sent to.
type Budget struct {
	left float64 // in the unit of cost
	at   time.Duration
}

// Spend takes the cost of something sent off the budget, or gives it back where it is less than 0.
func (b *Budget) Spend(cost float64) { b.left -= cost }

// Allows says whether something of a cost may be sent to a store that started at a time and has a share of its capacity.
// Can is the cost a second that is known to be within what it has at full capacity, by what warm ones of its size do for
// this sender, and does what it was seen to do now. All senders together stay within the multiple if each keeps to that
// multiple of what is done for it; one that knows nothing has its part, one in among, of a floor of one sending in Within.
// Where among is not known (0), it is one of many: guards against each of a whole fleet taking the floor for its own.
// The budget may be overdrawn by one sending, so that no floor of a whole one adds up over senders. Luck, between 0 and 1,
// spreads the first sendings: many learn of a start at once.
func (r Ramp) Allows(b *Budget, now, start time.Duration, cost, can, does, among float64, luck func() float64) bool {
	rate := r.Multiple * margin * max(can*r.Share(now, start), does)
	if among <= 0 {
		among = untold
	}
	rate = max(rate, cost/max(1, r.Within.Seconds())/max(1, among))
	if b.at < start {
		b.left, b.at = -cost*luck(), now
	}
	b.left = min(rate*saved*r.Within.Seconds(), b.left+rate*(now-b.at).Seconds())
	b.at = now
	return b.left >= 0
}
