package localitysim

import (
	"fmt"
	"strconv"
	"time"

	"larchusher/locality"
	"larchusher/routing"
)

// handleArrival draws the class and the object of a new request and submits it.
func (d *directorSim) handleArrival(g *directorGateway) {
	x, class := d.rng.Float64(), 0
	for class < len(d.mix)-1 && x >= d.mix[class].Share {
		x -= d.mix[class].Share
		class++
	}
	r := &request{owner: g, class: class, object: int32(d.zipf.Uint64()), counted: d.clock.Now >= d.scene.Warm}
	if r.counted {
		sec := d.currentSecond()
		sec.Asked++
		sec.WorthAsked += d.mix[class].Worth
		d.res.Asked[class]++
	}
	d.submit(g, r)
}

// submit sends an attempt of a client to a gateway. If the gateway is down, the request fails without a retry.
func (d *directorSim) submit(g *directorGateway, r *request) {
	g.lastRequest++
	r.id, r.due = strconv.Itoa(g.lastRequest), d.clock.Now
	class := r.class
	if r.counted {
		d.currentSecond().Own[g.home]++
		if g.down {
			d.currentSecond().Failed++
		}
	}
	if g.down {
		return
	}
	g.requests[r.id] = r
	draw := d.rng.Uint64()
	if g.selector != nil && !g.classes[class].Uncacheable {
		object := uint64(r.object+1) * 0x9e3779b97f4a7c15
		object = (object ^ object>>29) * 0xbf58476d1ce4e5b9
		picked, retryAfter, ok := g.selector.Pick(d.clock.Now, d.bands[min(1, r.tries)][class], object^object>>32, draw)
		if !ok {
			d.answer(g, r, routing.Reject{RetryAfter: retryAfter}, false)
			return
		}
		r.locality = picked
	}
	limit := d.mix[class].Limit
	d.clock.At(d.clock.Now+limit, func() {
		if !r.ended && g.requests[r.id] == r { // no answer from its director until the deadline
			d.answer(g, r, nil, false)
			d.handle(g, r.locality, routing.ClientGone{ID: r.id})
		}
	})
	d.sendToDirector(g, r)
}

// sendToDirector passes a request to the director of its locality.
func (d *directorSim) sendToDirector(g *directorGateway, r *request) {
	d.handle(g, r.locality, routing.Request{ID: r.id, Class: d.mix[r.class].Name, Object: fmt.Sprintf("%016x", r.object), Group: 17,
		Deadline: r.due + d.mix[r.class].Limit, Write: d.mix[r.class].Keyed, Retry: r.tries > 0})
}

// answer records a request's final answer, or counts an extra one if it had an answer before. A client may retry after a
// rejection; then the outcome of its last attempt counts. a is nil if served is set or the deadline has passed.
func (d *directorSim) answer(g *directorGateway, r *request, a routing.Action, served bool) {
	if r.ended {
		g.extraAnswers++
		return
	}
	r.ended = true
	delete(g.requests, r.id)
	rejection, rejected := a.(routing.Reject)
	if rejected && r.tries < 2 && d.scene.Repeat > 0 && d.rng.Float64() < d.scene.Repeat {
		retry := &request{owner: g, class: r.class, object: r.object, counted: r.counted, tries: r.tries + 1}
		d.clock.At(d.clock.Now+max(rejection.RetryAfter, 50*time.Millisecond), func() { d.submit(g, retry) })
		return // the outcome of the retry counts
	}
	if !r.counted {
		return
	}
	sec, took := d.currentSecond(), d.clock.Now-r.due
	switch {
	case served && took <= d.mix[r.class].Aim:
		sec.InAim++
		sec.Worth += d.mix[r.class].Worth
		d.res.InAim[r.class]++
	case served:
		sec.Late++
	case rejected:
		sec.Refused++
		d.res.Refused[r.class]++
	default:
		sec.Failed++
	}
}

// handle passes an event to the director of a locality and carries out its actions.
func (d *directorSim) handle(g *directorGateway, loc int, ev routing.Event) {
	for _, a := range g.directors[loc].Handle(d.clock.Now, ev, nil) {
		switch a := a.(type) {
		case routing.ForwardAttempt:
			d.dispatch(g, loc, a)
		case routing.Reject:
			if r := g.requests[a.ID]; r != nil && r.locality == loc && !d.reroute(g, r) {
				d.answer(g, r, a, false)
			}
		case routing.Fail:
			if r := g.requests[a.ID]; r != nil && r.locality == loc {
				d.answer(g, r, a, false)
			}
		case routing.CancelAttempt:
			if r := g.requests[a.ID]; r != nil {
				d.cancel(r, loc, a.Attempt)
			}
		case routing.SetTimer:
			dir := g.directors[loc]
			d.clock.At(a.At, func() {
				if g.directors[loc] == dir {
					d.handle(g, loc, routing.TimerFired{Token: a.Token})
				}
			})
		}
	}
}

// cancel ends an attempt that a director cancels.
func (d *directorSim) cancel(r *request, loc, number int) {
	for _, at := range r.attempts {
		if at.locality == loc && at.number == number && !at.ended {
			d.finish(at, 0, routing.AttemptResult{Status: routing.Canceled})
		}
	}
}

// reroute sends a request that a director rejected to another locality, if the selector finds one. It returns false if not.
func (d *directorSim) reroute(g *directorGateway, r *request) bool {
	if g.selector == nil || g.classes[r.class].Uncacheable {
		return false
	}
	k := d.mix[r.class]
	to, ok := g.selector.HandleRejection(d.clock.Now, locality.Rejection{From: r.locality, Idempotent: !k.Keyed, Rerouted: r.rerouted, Attempts: len(r.attempts), MaxAttempts: g.settings.MaxAttempts,
		Elapsed: d.clock.Now - r.due, Remaining: r.due + k.Limit - d.clock.Now, LatencyObjective: k.Aim})
	if !ok {
		return false
	}
	r.locality, r.rerouted, r.firstAttempt = to, true, len(r.attempts)
	d.sendToDirector(g, r)
	return true
}

// finish ends an attempt after a delay with a result, and passes that to the selector and the director of its gateway. Only
// the first call for an attempt that is due has an effect.
func (d *directorSim) finish(a *attempt, after time.Duration, o routing.AttemptResult) {
	if a.ended {
		return
	}
	if after > 0 {
		d.clock.At(d.clock.Now+after, func() { d.finish(a, 0, o) })
		return
	}
	a.ended = true
	delete(a.to.attempts, a)
	r, g := a.request, a.request.owner
	if a.incarnation != g.incarnation {
		return // the gateway was killed since it sent the attempt
	}
	if !a.uncacheable && g.selector != nil {
		late := o.Status == routing.OK && d.clock.Now-a.sent > d.mix[r.class].Aim
		cache := g.endpointIndex.IsCache(a.to.id, a.locality)
		report := -1.0
		if len(o.LoadReport) > 1 && cache {
			report = o.LoadReport[1]
		}
		hitKnown := cache && o.Status == routing.OK
		if !cache && a.locality == 0 {
			g.selector.BypassFinished(d.clock.Now, locality.ClassifyResult(o.Status, true, late, false))
		}
		g.selector.AttemptFinished(d.clock.Now, a.locality, locality.ClassifyResult(o.Status, cache, late, false), o.Reason == routing.ReasonHit, hitKnown, report)
	}
	if o.Status == routing.OK && !r.ended {
		if r.counted && a.to.kind == "box" {
			sec := d.currentSecond()
			if sec.Reads++; o.Reason == routing.ReasonHit {
				sec.Hits++
			}
		}
		d.answer(g, r, nil, true)
	}
	o.ID, o.Attempt, o.Endpoint, o.Final, o.Latency = r.id, a.number, a.to.id, r.ended, d.clock.Now-a.sent
	d.handle(g, a.locality, o)
}
