package localitysim

import (
	"fmt"
	"math"
	"time"

	"larchusher/locality"
)

type zone struct {
	Zone
	cost     time.Duration // of one request, by all its boxes while warm
	free     time.Duration // its queue is empty then
	began    time.Duration // cold since; negative: long warm
	held     []bool        // by object
	faults   map[FaultKind]int
	fallen   bool
	busy     float64 // share of the last report's time that it worked
	reported time.Duration
	done     time.Duration // work since
	pressure float64       // requests in the last tipFor
	pressAt  time.Duration
	epoch    int
}

// bucket is something that does so much a second, and refuses beyond.
type bucket struct {
	rate float64
	have float64
	at   time.Duration
	all  int
}

func (b *bucket) take(now time.Duration) bool {
	b.have = min(b.rate/4, b.have+b.rate*(now-b.at).Seconds())
	b.at = now
	b.all++
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

// take asks the origin for a place, by the link of a hub that is not cut off.
func (s *scene) take(home int) bool {
	ok := s.zones[home].faults[Cut] == 0 && s.origin.take(s.now)
	if s.now >= s.sc.Warm {
		sec := s.second()
		sec.Origin++
		if !ok {
			sec.OriginRefused++
		}
	}
	return ok
}

// send carries an attempt to a zone.
func (s *scene) send(e event, where int) {
	g := s.gateways[e.gw]
	z := s.zones[where]
	s.countAttempt(g.home, where)
	g.t.AttemptStarted(s.now, g.place[where])
	e.zone = int32(where)
	way := near
	if z.Hub != s.zones[g.home].Hub {
		way = farther
	}
	back := func(after time.Duration, r locality.Result, hit bool) {
		e.kind, e.result, e.hit, e.load = ended, r, hit, float32(z.busy)
		s.at(s.now+after, e)
	}
	deadline := s.mix[e.class].Limit
	if silent, failed := s.faultsBetween(g.home, where); silent {
		back(deadline, locality.ResultFailure, false)
		return
	} else if failed {
		back(2*way, locality.ResultFailure, false)
		return
	}
	able := z.able(s.now)
	s.press(z, able)
	if z.fallen {
		back(2*way, locality.ResultFailure, false)
		return
	}
	if z.faults[Slow] > 0 {
		able /= 5
	}
	z.free = max(z.free, s.now)
	if z.free-s.now > queueMost {
		e.kind = refused
		s.at(s.now+2*way, e)
		return
	}
	z.work(s.now, able)
	took := z.free - s.now + 2*way + 20*time.Millisecond
	hit := z.held[e.object]
	if !hit {
		ok, more := s.fill(z)
		took += more
		if !ok {
			back(took, locality.ResultFailure, false)
			return
		}
		z.held[e.object] = true
	}
	r := locality.ResultSuccess
	if took > s.mix[e.class].Aim {
		r = locality.ResultLate
	}
	if took > deadline {
		back(deadline, locality.ResultFailure, false)
		return
	}
	back(took, r, hit)
}

// countAttempt counts an attempt from a zone at another.
func (s *scene) countAttempt(home, where int) {
	if s.now < s.sc.Warm {
		return
	}
	sec := s.second()
	sec.At[where]++
	if where != home {
		sec.Spilled[home]++
	}
}

// faultsBetween says whether an attempt from a zone at another gets no answer, or fails at once.
func (s *scene) faultsBetween(home, where int) (silent, failed bool) {
	z, h := s.zones[where], s.zones[home]
	far := where != home && z.Hub != h.Hub
	switch {
	case z.faults[Dead] > 0 || z.fallen:
		return false, true
	case z.faults[Silent] > 0 || far && (z.faults[Cut] > 0 || h.faults[Cut] > 0):
		return true, false
	default:
		return false, z.faults[Errors] > 0
	}
}

// able is the share of its capacity that a zone has: one that has just begun is warming up.
func (z *zone) able(now time.Duration) float64 {
	if age := now - z.began; age < coldFor {
		return coldFrom + (1-coldFrom)*float64(age)/float64(coldFor)
	}
	return 1
}

// work adds a request's work to a zone's queue, and has it report its load when that is due.
func (z *zone) work(now time.Duration, able float64) {
	work := time.Duration(float64(z.cost) / able)
	z.free += work
	z.done += work
	if since := now - z.reported; since >= reportAge {
		z.busy, z.done, z.reported = min(1.5, float64(z.done)/float64(since)), 0, now
	}
}

// fill fetches what a zone lacks.
func (s *scene) fill(z *zone) (ok bool, took time.Duration) {
	if s.now >= s.sc.Warm {
		s.second().Fills++
	}
	took = toParent
	if z.faults[Parents] == 0 {
		if !s.hubs[z.Hub].take(s.now) {
			return false, took
		}
		if s.rng.Float64() < parentGot {
			return true, took
		}
	}
	home := 0
	for i, o := range s.zones {
		if o == z {
			home = i
		}
	}
	return s.take(home), took + toOrigin
}

// press counts what is sent to a zone, which falls over if it is cold and that is too much.
func (s *scene) press(z *zone, able float64) {
	z.pressure = z.pressure*math.Exp(-float64(s.now-z.pressAt)/float64(tipFor)) + 1
	z.pressAt = s.now
	if able < 1 && z.pressure > tip*able*tipFor.Seconds()*float64(time.Second)/float64(z.cost) {
		z.fallen = true
		s.res.Falls = append(s.res.Falls, fmt.Sprintf("%s at %v", z.Name, s.now.Round(time.Millisecond)))
	}
}
