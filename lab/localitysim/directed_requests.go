package localitysim

import (
	"fmt"
	"strconv"
	"time"

	"larchusher/locality"
	"larchusher/routing"
)

func (d *directed) arrive(g *dgateway) {
	x, class := d.rng.Float64(), 0
	for class < len(d.mix)-1 && x >= d.mix[class].Share {
		x -= d.mix[class].Share
		class++
	}
	r := &request{owner: g, class: class, object: int32(d.zipf.Uint64()), counted: d.clock.Now >= d.sc.Warm}
	if r.counted {
		sec := d.second()
		sec.Asked++
		sec.WorthAsked += d.mix[class].Worth
		d.res.Asked[class]++
	}
	d.submit(g, r)
}

// submit has a client make a try.
func (d *directed) submit(g *dgateway, r *request) {
	g.serial++
	r.id, r.due = strconv.Itoa(g.serial), d.clock.Now
	class := r.class
	if r.counted {
		d.second().Own[g.home]++
		if g.down {
			d.second().Failed++
		}
	}
	if g.down {
		return
	}
	g.reqs[r.id] = r
	draw := d.rng.Uint64()
	if g.t != nil && !g.classes[class].Uncacheable {
		object := uint64(r.object+1) * 0x9e3779b97f4a7c15
		object = (object ^ object>>29) * 0xbf58476d1ce4e5b9
		where, later, ok := g.t.Pick(d.clock.Now, d.bands[min(1, r.tries)][class], object^object>>32, draw)
		if !ok {
			d.answer(g, r, routing.Reject{RetryAfter: later}, false)
			return
		}
		r.where = where
	}
	limit := d.mix[class].Limit
	d.clock.At(d.clock.Now+limit, func() {
		if !r.over && g.reqs[r.id] == r { // its director has let it pass
			d.answer(g, r, nil, false)
			d.handle(g, r.where, routing.ClientGone{ID: r.id})
		}
	})
	d.direct(g, r)
}

func (d *directed) direct(g *dgateway, r *request) {
	d.handle(g, r.where, routing.Request{ID: r.id, Class: d.mix[r.class].Name, Object: fmt.Sprintf("%016x", r.object), Group: 17,
		Deadline: r.due + d.mix[r.class].Limit, Write: d.mix[r.class].Keyed, Retry: r.tries > 0})
}

// answer gives a request its one final answer.
func (d *directed) answer(g *dgateway, r *request, a routing.Action, served bool) {
	if r.over {
		g.twice++
		return
	}
	r.over = true
	delete(g.reqs, r.id)
	refusal, refused := a.(routing.Reject)
	if refused && r.tries < 2 && d.sc.Repeat > 0 && d.rng.Float64() < d.sc.Repeat {
		again := &request{owner: g, class: r.class, object: r.object, counted: r.counted, tries: r.tries + 1}
		d.clock.At(d.clock.Now+max(refusal.RetryAfter, 50*time.Millisecond), func() { d.submit(g, again) })
		return // how it ends is its last try's to say
	}
	if !r.counted {
		return
	}
	sec, took := d.second(), d.clock.Now-r.due
	switch {
	case served && took <= d.mix[r.class].Aim:
		sec.InAim++
		sec.Worth += d.mix[r.class].Worth
		d.res.InAim[r.class]++
	case served:
		sec.Late++
	case refused:
		sec.Refused++
		d.res.Refused[r.class]++
	default:
		sec.Failed++
	}
}

func (d *directed) handle(g *dgateway, where int, ev routing.Event) {
	for _, a := range g.ds[where].Handle(d.clock.Now, ev, nil) {
		switch a := a.(type) {
		case routing.ForwardAttempt:
			d.ask(g, where, a)
		case routing.Reject:
			if r := g.reqs[a.ID]; r != nil && r.where == where && !d.move(g, r) {
				d.answer(g, r, a, false)
			}
		case routing.Fail:
			if r := g.reqs[a.ID]; r != nil && r.where == where {
				d.answer(g, r, a, false)
			}
		case routing.CancelAttempt:
			if r := g.reqs[a.ID]; r != nil {
				d.cancel(r, where, a.Attempt)
			}
		case routing.SetTimer:
			dir := g.ds[where]
			d.clock.At(a.At, func() {
				if g.ds[where] == dir {
					d.handle(g, where, routing.TimerFired{Token: a.Token})
				}
			})
		}
	}
}

// cancel ends an attempt that a director gives up.
func (d *directed) cancel(r *request, where, number int) {
	for _, at := range r.all {
		if at.where == where && at.number == number && !at.over {
			d.end(at, 0, routing.AttemptResult{Status: routing.Canceled})
		}
	}
}

// move is what the gateway does with a refusal.
func (d *directed) move(g *dgateway, r *request) bool {
	if g.t == nil || g.classes[r.class].Uncacheable {
		return false
	}
	k := d.mix[r.class]
	to, ok := g.t.HandleRejection(d.clock.Now, locality.Rejection{From: r.where, Idempotent: !k.Keyed, Rerouted: r.moved, Attempts: len(r.all), MaxAttempts: g.set.MaxAttempts,
		Elapsed: d.clock.Now - r.due, Remaining: r.due + k.Limit - d.clock.Now, LatencyObjective: k.Aim})
	if !ok {
		return false
	}
	r.where, r.moved, r.first = to, true, len(r.all)
	d.direct(g, r)
	return true
}

// end has an attempt end after a time, once, and tells its director.
func (d *directed) end(a *attempt, after time.Duration, o routing.AttemptResult) {
	if a.over {
		return
	}
	if after > 0 {
		d.clock.At(d.clock.Now+after, func() { d.end(a, 0, o) })
		return
	}
	a.over = true
	delete(a.to.out, a)
	r, g := a.r, a.r.owner
	if a.epoch != g.epoch {
		return // nobody is there any more to hear of it
	}
	if !a.ordered && g.t != nil {
		late := o.Status == routing.OK && d.clock.Now-a.sent > d.mix[r.class].Aim
		cache := g.roster.IsCache(a.to.id, a.where)
		report := -1.0
		if len(o.LoadReport) > 1 && cache {
			report = o.LoadReport[1]
		}
		told := cache && o.Status == routing.OK
		if !cache && a.where == 0 {
			g.t.BypassFinished(d.clock.Now, locality.ClassifyResult(o.Status, true, late, false))
		}
		g.t.AttemptFinished(d.clock.Now, a.where, locality.ClassifyResult(o.Status, cache, late, false), o.Reason == routing.ReasonHit, told, report)
	}
	if o.Status == routing.OK && !r.over {
		if r.counted && a.to.kind == "box" {
			sec := d.second()
			if sec.Reads++; o.Reason == routing.ReasonHit {
				sec.Hits++
			}
		}
		d.answer(g, r, nil, true)
	}
	o.ID, o.Attempt, o.Endpoint, o.Final, o.Latency = r.id, a.number, a.to.id, r.over, d.clock.Now-a.sent
	d.handle(g, a.where, o)
}
