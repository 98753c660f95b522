// This file judges servers by what they answer: who is ill, and how much may be out where.

package routing

import (
	"math"
	"slices"
	"time"

	"larchusher/concurrency"
	"larchusher/inference"
)

func (d *Director) good(s *server) {
	s.lastOK, s.overdue = d.now, 0
	d.doubt[s.role] -= failWeight * d.doubt[s.role]
	s.doubt -= failWeight * s.doubt
	if s.failing -= failWeight * s.failing; s.failing < failMany {
		s.penalty = 0
	}
}

// failed notes a failure of a server, and takes it out of use when they mount up.
func (d *Director) failed(s *server, silent bool) {
	s.failing += failWeight * (1 - s.failing)
	if s.ejected > d.now || s.failing < failMany && !silent {
		return
	}
	s.penalty = min(ejectLongest, max(ejectFirst, 2*s.penalty))
	s.ejected = d.now + s.penalty
}

// land books a request's errors on their servers, once another has shown by its answer that the request was
// well formed.
func (d *Director) land(r *request) {
	for _, s := range r.blamed {
		d.failed(s, false)
	}
	r.blamed = nil
}

// suspect weighs an error that may be its request's fault. Requests at fault fail wherever they are sent: a
// server with far more such errors than all of its role have is ill. Guards against a store whose errors take
// all further attempts, so that none is left whose success would show who was at fault.
func (d *Director) suspect(s *server) {
	s.doubt += failWeight * (1 - s.doubt)
	d.doubt[s.role] += failWeight * (1 - d.doubt[s.role])
	if s.doubt >= failMany && s.doubt >= suspectMost*d.doubt[s.role] {
		d.failed(s, true)
	}
}

// lately is the wait for fills from s, which halves with each rateWindow in which none was seen.
func (s *server) lately(now time.Duration) float64 {
	return float64(s.quick) * math.Exp2(-float64(now-s.quickAt)/float64(rateWindow))
}

// likely says that a hit is to be expected: the entry is listed at s as it runs now.
func (e *entry) likely(s *server) bool { return e.at == s && e.boot == s.boot }

// limit learns how much may be out at a cache, at a source of fills, and at the origin behind the sources.
// Answers later than the aim, and refusals, say that what is out there shares too little. The limit is then
// cut to the share that was in time; only what was sent after a cut counts for the next one. Holds against
// slow parts, full links and overload alike; may hurt where answers are late for reasons that no limit mends.
func (d *Director) limit(r *request, a *attempt, o AttemptResult, hit bool) {
	late := a.sent+o.Latency > r.aim() && !o.Status.broken() || o.Status == Rejected
	if (o.Status == TimedOut || o.Status == Canceled) && a.overtaken() {
		if d.now >= r.Deadline-2*d.set.ClockStep && len(r.attempts) == 1 {
			d.copies = min(2*copyEarned, d.copies+copyEarned)
		}
		return // an answer that got lost on its way says nothing of load
	}
	a.own = o.Status == Rejected && a.refusedItself(o)
	earlier := late && (o.Status == OK || o.Status == ServerError) && o.Latency <= r.aim()-r.start
	if earlier || a.own && a.filling { // other attempts took the time, or the cache alone is closed
		return
	}
	a.shared = !hit && !a.own && (late || o.Status == ServerError) && (a.filling || o.Reason != ReasonNone) &&
		d.behind(a, o)
	for _, l := range d.slow(a, o, hit, late) {
		l.Observe(d.now, a.sent, late, o.Status == OK || o.Status == Miss)
	}
}

// refusedItself says that a refusal is the cache's own, and not its source's. Where that isn't told: it came
// sooner than a source can be asked. For a fill that may only mean that no place for fills is free, unless
// the cache has refused a hit since it answered well. Guards against a cache that drains before the list says
// so: its refusals closed the sources, and through them the whole branch.
func (a *attempt) refusedItself(o AttemptResult) bool {
	own := a.source == a.to || o.Reason == ReasonNone && o.Latency < a.source.least/atOnce
	if own && !a.filling {
		a.to.closed = a.sent
	}
	return own && a.to.closed > a.to.passed
}

// overtaken says that what was sent later, by the same way, has been answered.
func (a *attempt) overtaken() bool {
	return a.to.passed > a.sent && (!a.filling || a.source.passed > a.sent)
}

// doubtful says that an attempt's answer is likely to be lost: it is due, later ones have been answered,
// and answers did get lost of late. Another can then still come in time. Not where anything is at its limit:
// slow answers would be asked for twice.
func (d *Director) doubtful(r *request, a *attempt) bool {
	return a.out && len(r.attempts) == 1 && d.set.HedgedRequests && d.copies >= 1 && a.overtaken() &&
		math.IsInf(min(a.to.held.Max, a.source.held.Max, d.fetches.Max), 1)
}

// slow names what an outcome's time speaks of: the cache if it answered by itself, else a part of the fill.
func (d *Director) slow(a *attempt, o AttemptResult, hit, late bool) []*concurrency.Limit {
	seen := inference.Answer{Expected: !a.filling, Refused: o.Status == Rejected}
	seen.Late = late && d.untold(a, o)
	seen.Busy, seen.Reported = a.to.load.Utilization(d.now)
	fill := a.source != a.to && !hit && !a.own && (o.Reason != ReasonNone || seen.Filled())
	switch {
	case a.to.role == origin: // a write, say: it speaks for what fills fetch there
		if late {
			a.to.lateAt = d.now
		}
		return []*concurrency.Limit{&d.fetches}
	case !fill:
		return []*concurrency.Limit{&a.to.held}
	case a.onlyHeld || a.source.role == cache || late && !a.shared ||
		o.Reason == ReasonFilled && d.set.AnswerDetail == DetailAll:
		return []*concurrency.Limit{&a.source.held}
	case late || a.source.role == origin:
		return []*concurrency.Limit{&d.fetches}
	}
	return []*concurrency.Limit{&a.source.held, &d.fetches}
}

// untold says that an outcome doesn't tell whether a cache had the object, since none does here.
func (d *Director) untold(a *attempt, o AttemptResult) bool {
	return d.set.AnswerDetail == DetailNone && o.Reason == ReasonNone && a.to.role == cache
}

// behind says whether a late or failed fill is the origin's fault rather than its parent's: where that isn't
// told, if another source's were late at about that time, or writes there. One that is slow, silent or gone
// stays alone with it.
func (d *Director) behind(a *attempt, o AttemptResult) bool {
	if a.source.role != parent || a.onlyHeld || o.Reason == ReasonSourceLost && o.Status == Rejected {
		return a.source.role == origin
	}
	too := func(s *server) bool { return s != a.source && s.lateAt > 0 && d.now-s.lateAt < lateTogether }
	a.source.lateAt = d.now
	return len(d.inUse[parent]) < 2 || o.Reason == ReasonOriginFailed ||
		slices.ContainsFunc(d.inUse[parent], too) || slices.ContainsFunc(d.inUse[origin], too)
}

// room says whether one more attempt may be out. A client's repeat has lost part of its time, and what costs
// much for its worth takes the place of others: they stop first.
func (d *Director) room(l *concurrency.Limit, r *request) bool {
	part := d.prices.Quota(r.price)
	if r.Retry {
		part *= limitDown
	}
	return l.HasCapacity(part, r.luck)
}

// fits says whether a cache has room for one more, and can finish it in aim beside what of ours is there.
func (d *Director) fits(s *server, r *request) bool {
	most := concurrency.MaxWithinObjective(s.slots(d.set.WeightsKnown), r.class.ObjectiveStretch, r.class.LatencyObjective, r.work)
	return d.room(&s.held, r) && float64(s.held.InFlight)+r.luck < most
}

// usable says whether a server may be sent something now.
func (d *Director) usable(s *server, r *request) bool {
	return s.up && d.affordable(s, r) && (d.healthy(s) || d.floored(s))
}

func (d *Director) healthy(s *server) bool { return s.penalty == 0 || s.ejected <= d.now && !s.trial }

// floored says that so many of the servers of a role look ill that the fault is likely elsewhere.
func (d *Director) floored(s *server) bool {
	n := 0
	for _, p := range d.inUse[s.role] {
		if d.healthy(p) {
			n++
		}
	}
	return s.role == origin || float64(n) < inUseLeast*float64(len(d.inUse[s.role]))
}
