package localitysim

import (
	"fmt"
	"math"
	"time"

	"larchusher/routing"
)

func (d *directed) ask(g *dgateway, where int, x routing.ForwardAttempt) {
	r, to := g.reqs[x.ID], d.servers[x.Endpoint]
	if r == nil || to == nil {
		return
	}
	a := &attempt{r: r, epoch: g.epoch, where: where, number: len(r.all) - r.first, to: to, sent: d.clock.Now, ordered: g.classes[r.class].Uncacheable}
	r.all = append(r.all, a)
	to.out[a] = true
	home := d.sc.Zones[g.home]
	if to.zone >= 0 && r.counted {
		sec := d.second()
		sec.At[to.zone]++
		if to.zone != g.home {
			sec.Spilled[g.home]++
		}
	}
	if !a.ordered && g.t != nil {
		g.t.AttemptStarted(d.clock.Now, where)
	}
	way := near
	if to.hub != home.Hub {
		way = farther
	}
	limit := r.due + d.mix[r.class].Limit - d.clock.Now
	if x.Timeout > 0 {
		limit = min(limit, x.Timeout)
	}
	d.clock.At(d.clock.Now+limit, func() { d.end(a, 0, routing.AttemptResult{Status: routing.TimedOut}) })
	faults := map[FaultKind]int{}
	if to.zone >= 0 {
		faults = d.faults[to.zone]
	}
	switch {
	case to.gone || to.fallen:
		d.end(a, 2*way, routing.AttemptResult{Status: routing.ConnectFailed})
	case faults[Silent] > 0, to.hub != home.Hub && (d.faults[g.home][Cut] > 0 || faults[Cut] > 0):
	case faults[Errors] > 0:
		d.end(a, 2*way, routing.AttemptResult{Status: routing.ServerError})
	default:
		d.serve(a, way, d.servers[x.FillSource], faults[Slow] > 0)
	}
}

// work puts one request on a server's queue: when it is done, or that it is full.
func (d *directed) work(s *server, slow bool) (took time.Duration, ok bool) {
	able := 1.0
	if age := d.clock.Now - s.began; age < coldFor {
		able = s.coldFrom + (1-s.coldFrom)*float64(age)/float64(coldFor)
	}
	s.pressure = s.pressure*math.Exp(-float64(d.clock.Now-s.pressAt)/float64(tipFor)) + 1
	s.pressAt = d.clock.Now
	part := s.pressure / (s.tip * able * tipFor.Seconds() * float64(time.Second) / float64(s.cost))
	if able < 1 {
		d.res.Most = max(d.res.Most, part)
	}
	if able < 1 && part > 1 {
		s.fallen = true
		d.res.Falls = append(d.res.Falls, fmt.Sprintf("%s at %v", s.id, d.clock.Now.Round(time.Millisecond)))
		return 0, false
	}
	if slow {
		able /= 5
	}
	s.free = max(s.free, d.clock.Now)
	if s.free-d.clock.Now > queueMost {
		return 0, false
	}
	cost := time.Duration(float64(s.cost) / able)
	s.free += cost
	s.done += cost
	if since := d.clock.Now - s.told; since >= reportAge {
		s.busy, s.done, s.told = min(1.5, float64(s.done)/float64(since)), 0, d.clock.Now
	}
	return s.free - d.clock.Now, true
}

func (d *directed) serve(a *attempt, way time.Duration, source *server, slow bool) {
	to, sec := a.to, d.second()
	took, ok := d.work(to, slow)
	report := func() []float64 { return []float64{float64(len(to.out)), to.busy, 0.9} }
	if !ok {
		status := routing.Rejected
		if to.kind == "origin" && a.r.counted {
			sec.OriginRefused++
		}
		d.end(a, 2*way, routing.AttemptResult{Status: status, LoadReport: report()})
		return
	}
	took += 2*way + 20*time.Millisecond
	if to.kind == "origin" && a.r.counted {
		sec.Origin++
	}
	if to.kind == "parent" && d.rng.Float64() >= parentGot { // it lacks it, and asks the origin
		more, ok := d.work(d.origin, false)
		if a.r.counted {
			if sec.Origin++; !ok {
				sec.OriginRefused++
			}
		}
		if took += more + toOrigin; !ok {
			d.end(a, took, routing.AttemptResult{Status: routing.ServerError, LoadReport: report()})
			return
		}
	}
	if to.kind != "box" {
		d.end(a, took, routing.AttemptResult{Status: routing.OK, Reason: routing.ReasonFilled, LoadReport: report()})
		return
	}
	if to.held[a.r.object] {
		d.end(a, took, routing.AttemptResult{Status: routing.OK, Reason: routing.ReasonHit, LoadReport: report()})
		return
	}
	if source == nil || source == to {
		d.end(a, 2*way, routing.AttemptResult{Status: routing.Miss, LoadReport: report()})
		return
	}
	more, ok := d.fill(source, a)
	if !ok {
		d.end(a, took+more, routing.AttemptResult{Status: routing.ServerError, LoadReport: report()})
		return
	}
	to.held[a.r.object] = true
	d.end(a, took+more, routing.AttemptResult{Status: routing.OK, Reason: routing.ReasonFilled, LoadReport: report()})
}

// fill fetches what a box lacks from a source.
func (d *directed) fill(source *server, a *attempt) (took time.Duration, ok bool) {
	sec := d.second()
	if a.r.counted {
		sec.Fills++
	}
	if source.gone || source.fallen {
		return near, false
	}
	wait, ok := d.work(source, false)
	if !ok {
		return near, false
	}
	took = wait + toParent
	if source.kind == "box" && !source.held[a.r.object] {
		return took, false
	}
	if source.kind == "parent" && d.rng.Float64() >= parentGot {
		if a.r.counted {
			sec.Origin++
		}
		more, ok := d.work(d.origin, false)
		if !ok {
			sec.OriginRefused++
			return took, false
		}
		took += more + toOrigin
	}
	return took, true
}

// over is the most by which a zone's gateways spilled beyond their bounds, in any second.
func (d *directed) over() (most float64) {
	s := &scene{sc: d.sc, res: d.res}
	for _, z := range d.sc.Zones {
		s.zones = append(s.zones, &zone{Zone: z})
	}
	s.over()
	return s.res.Over
}
