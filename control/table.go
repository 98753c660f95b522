package control

import (
	"cmp"
	"math"
	"slices"
	"time"
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

// sized takes in what a request's answer weighed. Until then its sending time was a guess, from what others of its class or
// object took: large answers looked late.
func (d *Director) sized(r *request, sizeKB float64) {
	r.SizeKB, r.work = sizeKB, time.Duration(sizeKB/d.set.FlowKBps*float64(time.Second))
	if r.entry != nil {
		r.entry.work = r.work
	}
	c := r.class
	c.sized++
	c.work += time.Duration(max(smooth/10, 1/float64(c.sized)) * float64(r.work-c.work))
}
