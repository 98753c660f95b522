package localitysim

import (
	"fmt"
	"math"
	"time"

	"larchusher/routing"
)

// dispatch sends an attempt to a server as a director asked. Attempts at silent zones end by time-out, and so
// do attempts at a server of another hub if the gateway's or the server's zone has a fault of kind Cut.
func (d *directorSim) dispatch(g *directorGateway, loc int, x routing.ForwardAttempt) {
	r, to := g.requests[x.ID], d.servers[x.Endpoint]
	if r == nil || to == nil {
		return
	}
	a := &attempt{request: r, incarnation: g.incarnation, locality: loc, number: len(r.attempts) - r.firstAttempt, to: to, sent: d.clock.Now, uncacheable: g.classes[r.class].Uncacheable}
	r.attempts = append(r.attempts, a)
	to.attempts[a] = true
	home := d.scene.Zones[g.home]
	if to.zone >= 0 && r.counted {
		sec := d.currentSecond()
		sec.At[to.zone]++
		if to.zone != g.home {
			sec.Spilled[g.home]++
		}
	}
	if !a.uncacheable && g.selector != nil {
		g.selector.AttemptStarted(d.clock.Now, loc)
	}
	delay := sameHubDelay
	if to.hub != home.Hub {
		delay = otherHubDelay
	}
	limit := r.due + d.mix[r.class].Limit - d.clock.Now
	if x.Timeout > 0 {
		limit = min(limit, x.Timeout)
	}
	d.clock.At(d.clock.Now+limit, func() { d.finish(a, 0, routing.AttemptResult{Status: routing.TimedOut}) })
	faults := map[FaultKind]int{}
	if to.zone >= 0 {
		faults = d.faults[to.zone]
	}
	switch {
	case to.down || to.crashed:
		d.finish(a, 2*delay, routing.AttemptResult{Status: routing.ConnectFailed})
	case faults[Silent] > 0, to.hub != home.Hub && (d.faults[g.home][Cut] > 0 || faults[Cut] > 0):
	case faults[Errors] > 0:
		d.finish(a, 2*delay, routing.AttemptResult{Status: routing.ServerError})
	default:
		d.serve(a, delay, d.servers[x.FillSource], faults[Slow] > 0)
	}
}

// enqueue adds one request to a server's queue and returns the time until it is done. It returns false if the server's
// queue is longer than maxQueueDelay, or if a cold server crashes because the request exceeds its overload limit.
func (d *directorSim) enqueue(s *server, slow bool) (took time.Duration, ok bool) {
	capacityShare := 1.0
	if age := d.clock.Now - s.startedAt; age < warmUpTime {
		capacityShare = s.coldCapacityShare + (1-s.coldCapacityShare)*float64(age)/float64(warmUpTime)
	}
	s.recentRequests = s.recentRequests*math.Exp(-float64(d.clock.Now-s.recentAt)/float64(overloadWindow)) + 1
	s.recentAt = d.clock.Now
	loadShare := s.recentRequests / (s.overloadFactor * capacityShare * overloadWindow.Seconds() * float64(time.Second) / float64(s.cost))
	if capacityShare < 1 {
		d.res.Most = max(d.res.Most, loadShare)
	}
	if capacityShare < 1 && loadShare > 1 {
		s.crashed = true
		d.res.Falls = append(d.res.Falls, fmt.Sprintf("%s at %v", s.id, d.clock.Now.Round(time.Millisecond)))
		return 0, false
	}
	if slow {
		capacityShare /= 5
	}
	s.busyUntil = max(s.busyUntil, d.clock.Now)
	if s.busyUntil-d.clock.Now > maxQueueDelay {
		return 0, false
	}
	cost := time.Duration(float64(s.cost) / capacityShare)
	s.busyUntil += cost
	s.workDone += cost
	if since := d.clock.Now - s.reportedAt; since >= loadReportInterval {
		s.utilization, s.workDone, s.reportedAt = min(1.5, float64(s.workDone)/float64(since)), 0, d.clock.Now
	}
	return s.busyUntil - d.clock.Now, true
}

// serve simulates a server's answer to an attempt. A cache answers with a hit, fetches the object from source first, or reports
// a miss if it has no other source. delay is one way.
func (d *directorSim) serve(a *attempt, delay time.Duration, source *server, slow bool) {
	to, sec := a.to, d.currentSecond()
	took, ok := d.enqueue(to, slow)
	report := func() []float64 { return []float64{float64(len(to.attempts)), to.utilization, 0.9} }
	if !ok {
		status := routing.Rejected
		if to.kind == "origin" && a.request.counted {
			sec.OriginRefused++
		}
		d.finish(a, 2*delay, routing.AttemptResult{Status: status, LoadReport: report()})
		return
	}
	took += 2*delay + 20*time.Millisecond
	if to.kind == "origin" && a.request.counted {
		sec.Origin++
	}
	if to.kind == "parent" && d.rng.Float64() >= parentHitRatio { // a miss at the parent: it fetches the part from the origin
		more, ok := d.enqueue(d.origin, false)
		if a.request.counted {
			if sec.Origin++; !ok {
				sec.OriginRefused++
			}
		}
		if took += more + originFetchTime; !ok {
			d.finish(a, took, routing.AttemptResult{Status: routing.ServerError, LoadReport: report()})
			return
		}
	}
	if to.kind != "box" {
		d.finish(a, took, routing.AttemptResult{Status: routing.OK, Reason: routing.ReasonFilled, LoadReport: report()})
		return
	}
	if to.cached[a.request.object] {
		d.finish(a, took, routing.AttemptResult{Status: routing.OK, Reason: routing.ReasonHit, LoadReport: report()})
		return
	}
	if source == nil || source == to {
		d.finish(a, 2*delay, routing.AttemptResult{Status: routing.Miss, LoadReport: report()})
		return
	}
	more, ok := d.fill(source, a)
	if !ok {
		d.finish(a, took+more, routing.AttemptResult{Status: routing.ServerError, LoadReport: report()})
		return
	}
	to.cached[a.request.object] = true
	d.finish(a, took+more, routing.AttemptResult{Status: routing.OK, Reason: routing.ReasonFilled, LoadReport: report()})
}

// fill fetches a missing object for a cache from a fill source. It returns the time taken and whether the object arrived.
func (d *directorSim) fill(source *server, a *attempt) (took time.Duration, ok bool) {
	sec := d.currentSecond()
	if a.request.counted {
		sec.Fills++
	}
	if source.down || source.crashed {
		return sameHubDelay, false
	}
	wait, ok := d.enqueue(source, false)
	if !ok {
		return sameHubDelay, false
	}
	took = wait + parentFetchTime
	if source.kind == "box" && !source.cached[a.request.object] {
		return took, false
	}
	if source.kind == "parent" && d.rng.Float64() >= parentHitRatio {
		if a.request.counted {
			sec.Origin++
		}
		more, ok := d.enqueue(d.origin, false)
		if !ok {
			sec.OriginRefused++
			return took, false
		}
		took += more + originFetchTime
	}
	return took, true
}

// computeExcessSpill sets Result.Over as [simulation.computeExcessSpill] does.
func (d *directorSim) computeExcessSpill() (most float64) {
	s := &simulation{scene: d.scene, res: d.res}
	for _, z := range d.scene.Zones {
		s.zones = append(s.zones, &zone{Zone: z})
	}
	s.computeExcessSpill()
	return s.res.Over
}
