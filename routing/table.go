package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"larchusher/slowstart"
)

// The upkeep of what is remembered: the lists of caches, and averages. Which object goes where is decided in control.go.

// order is the entry's smoothed gap at any moment, but for a part that is the same for all.
func (e *entry) order() time.Duration { return 3*e.avg - e.last }

func (e *entry) current(now time.Duration) time.Duration { return (3*e.avg + now - e.last) / 4 }

func (e *entry) listed() bool { return e.in != nil && e.in.boot == e.inBoot }

// unlist takes an entry off its list; relist puts it where its gap belongs, the worst first.
func (e *entry) unlist() {
	if e.listed() {
		i := slices.Index(e.in.list, e)
		e.in.list = slices.Delete(e.in.list, i, i+1)
	}
	e.in = nil
}

func (e *entry) relist(s *server) {
	worse := func(a, b *entry) int { return cmp.Compare(b.order(), a.order()) }
	i, _ := slices.BinarySearchFunc(s.list, e, worse)
	s.list = slices.Insert(s.list, i, e)
	e.in, e.inBoot = s, s.boot
}

// spend notes that something of a cost goes to a server.
func (d *Director) spend(s *server, cost float64) {
	d.ramp(s.role).Spend(&s.budget, d.now, s.boot, cost)
}

// place is this director's among those that send to a server; drawn by itself where it is not told.
func (d *Director) place(s *server) float64 {
	if d.among(s.role) <= 0 || d.set.IndexUnknown {
		return slowstart.SenderPosition(0, d.own^s.hash)
	}
	return slowstart.SenderPosition(d.set.Index, s.hash)
}

// recent is the work a second that a server has done for us lately. Only what it answered counts: what was
// sent may be more than it can do.
func (s *server) recent(now time.Duration) float64 {
	s.rate *= math.Exp(-float64(now-s.rateAt) / float64(rateWindow))
	s.rateAt = now
	return s.rate
}

func (s *server) carry(now time.Duration, work float64) {
	s.rate = s.recent(now) + work/rateWindow.Seconds()
}

// weigh finds a request's sending time: by its size, or where that isn't told by a guess, which answers correct.
func (d *Director) weigh(r *request) {
	c := r.class
	if r.work = d.set.TransferTime(r.SizeKB); r.SizeKB <= 0 {
		if r.work = max(c.work, time.Duration(workGuess*float64(c.LatencyObjective))); r.entry != nil && r.entry.work > 0 {
			r.work = r.entry.work
		}
	}
	if c.work == 0 {
		c.work = r.work
	}
	if r.SizeKB > 0 {
		c.work += time.Duration(smooth / 10 * float64(r.work-c.work))
	}
}

// sized takes in what a request's answer weighed. Until then its sending time was a guess, from what others of its class or
// object took: large answers looked late.
func (d *Director) sized(r *request, sizeKB float64) {
	r.SizeKB, r.work = sizeKB, d.set.TransferTime(sizeKB)
	if r.entry != nil {
		r.entry.work = r.work
	}
	c := r.class
	c.sized++
	c.work += time.Duration(max(smooth/10, 1/float64(c.sized)) * float64(r.work-c.work))
}
