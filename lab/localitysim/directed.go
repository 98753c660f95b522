package localitysim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchusher/lab/load"
	"larchusher/lab/virtualclock"
	"larchusher/locality"
	"larchusher/overload"
	"larchusher/replication"
	"larchusher/routing"
	"larchusher/warmstart"
)

// Directed plays a scene with a director in each gateway, or one for each locality, without a changed line: boxes, upper
// caches and the origin stand by themselves, with copies, cold starts and queues of their own. It is some fifty times as
// slow as [Run], and for scenes of some tens of gateways.
//
// What it simplifies beyond that: objects have one part of one size, ranks are not looked at, and gateways do not talk.
func Directed(sc Scene) (*Result, error) {
	if err := sc.check(); err != nil {
		return nil, err
	}
	if sc.Policy == Unbounded {
		return nil, fmt.Errorf("scene: Policy: %q has no director", sc.Policy)
	}
	d := &directed{sc: sc, rng: rand.New(rand.NewPCG(sc.Seed, 13)), mix: load.Site(), servers: map[string]*server{}}
	d.zipf = rand.NewZipf(d.rng, sc.Skew, 8, uint64(sc.Objects-1))
	d.res = &Result{Classes: d.mix, Asked: make([]int, len(d.mix)), InAim: make([]int, len(d.mix)), Refused: make([]int, len(d.mix))}
	for range int(sc.For/time.Second) + 1 {
		n := len(sc.Zones)
		d.res.Seconds = append(d.res.Seconds, Second{Spilled: make([]int, n), Own: make([]int, n), At: make([]int, n)})
	}
	if err := d.build(); err != nil {
		return nil, err
	}
	d.clock.Run(sc.For)
	d.res.Events = d.clock.Done
	d.res.Over = d.over()
	for _, g := range d.gateways {
		d.res.Twice += g.twice
	}
	return d.res, nil
}

// server is a box, an upper cache or the origin.
type server struct {
	id       string
	kind     string
	zone     int // of a box; else -1
	hub      int
	cost     time.Duration
	free     time.Duration
	began    time.Duration // cold since; negative: long warm
	coldFrom float64
	tip      float64
	held     []bool
	gone     bool // its process is not there
	fallen   bool
	busy     float64
	done     time.Duration
	told     time.Duration
	pressure float64
	pressAt  time.Duration
	out      map[*attempt]bool
}

type attempt struct {
	r       *request
	epoch   int // of its gateway
	where   int
	number  int
	to      *server
	sent    time.Duration
	over    bool
	ordered bool // it is not the origin's straight
}

type request struct {
	id      string
	owner   *dgateway
	class   int
	object  int32
	due     time.Duration
	where   int
	moved   bool
	over    bool
	first   int
	all     []*attempt
	counted bool
	tries   int // of the client, before this one
}

type dgateway struct {
	me      int
	home    int
	t       *locality.Selector // nil: no spill
	roster  *locality.EndpointIndex
	ds      []*routing.Director
	zones   []int // by locality
	reqs    map[string]*request
	serial  int
	twice   int
	down    bool
	epoch   int // its start
	node    *replication.Node
	sharer  *warmstart.Sharer
	snap    []routing.LearnedState
	made    time.Duration
	places  []locality.Locality
	set     routing.Settings
	classes []routing.Class
}

type directed struct {
	sc       Scene
	rng      *rand.Rand
	zipf     *rand.Zipf
	clock    virtualclock.Clock
	servers  map[string]*server
	boxes    [][]*server // by zone, those of now
	parents  [][]*server // by hub
	origin   *server
	gateways []*dgateway
	faults   []map[FaultKind]int // by zone
	mix      []load.Class
	bands    [2][]int // of first tries and of repeats, by class
	gaps     []time.Duration
	res      *Result
	serial   int
	lives    uint64 // of copies of what gateways know in common
}

func (d *directed) second() *Second { return &d.res.Seconds[int(d.clock.Now/time.Second)] }

// settings are those of the gateways of a zone.
func (d *directed) settings(home, hubs int) routing.Settings {
	s := routing.Settings{Directors: 0, Zone: d.sc.Zones[home].Name, Kinds: []string{"box", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		AllowCoalescing: true, AllowBypass: true, Siblings: routing.SiblingsInLocation, AnswerDetail: routing.DetailHit, LoadReportFields: []string{"busy_reqs", "x1", "x0"},
		CanCancel: true, HedgedRequests: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 8, ClockStep: time.Millisecond,
		DrainGrace: 2 * time.Second, SlowStartFrom: coldFrom, SlowStartFor: coldFor, OverloadMultiple: tip, OverloadWindow: tipFor,
		ParentSlowStartFrom: 0.083, ParentSlowStartFor: 22 * time.Second, ParentOverloadMultiple: 2, PurgeGrace: time.Second, PurgeSettleTime: 6 * time.Second}
	for h := range hubs {
		s.Zones, s.ZoneHub, s.ZoneDirectors = append(s.Zones, "hub"+strconv.Itoa(h)), append(s.ZoneHub, h), append(s.ZoneDirectors, 0)
	}
	for _, z := range d.sc.Zones {
		s.Zones, s.ZoneHub, s.ZoneDirectors = append(s.Zones, z.Name), append(s.ZoneHub, z.Hub), append(s.ZoneDirectors, z.Gateways)
		s.Directors += z.Gateways
	}
	for _, c := range d.mix {
		k := routing.Class{Name: c.Name, LatencyObjective: c.Aim, Deadline: c.Limit, PriorityWeight: c.Worth, LateWeight: 0.1}
		if c.Keyed {
			k.Effect, k.DedupScope, k.DedupWindow, k.Uncacheable = routing.IdempotentWithKey, routing.ScopeAll, 3*time.Second, true
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

func (d *directed) add(kind string, zone, hub int, rate float64, cold bool) *server {
	d.serial++
	s := &server{id: fmt.Sprintf("%s%03d", kind, d.serial), kind: kind, zone: zone, hub: hub, cost: time.Duration(float64(time.Second) / rate),
		began: -time.Hour, coldFrom: coldFrom, tip: tip, out: map[*attempt]bool{}}
	if kind == "box" {
		s.held = make([]bool, d.sc.Objects)
	}
	if cold {
		s.began = d.clock.Now
	}
	d.servers[s.id] = s
	return s
}

func (d *directed) build() error {
	sc := &d.sc
	hubs, whole := 0, 0.0
	for _, z := range sc.Zones {
		hubs = max(hubs, z.Hub+1)
		whole += float64(z.Boxes) * sc.BoxRate
		d.faults = append(d.faults, map[FaultKind]int{})
	}
	var classes []overload.Class
	for _, c := range d.mix {
		classes = append(classes, overload.Class{Name: c.Name, PriorityWeight: c.Worth})
	}
	order := overload.NewOrder(classes, false)
	for _, c := range d.mix {
		d.bands[0] = append(d.bands[0], order.Band(c.Name, false))
		d.bands[1] = append(d.bands[1], order.Band(c.Name, true))
	}
	d.origin = d.add("origin", -1, 0, sc.Origin*0.1*whole, false)
	d.parents = make([][]*server, hubs)
	for h := range hubs {
		rate := 0.0
		for _, z := range sc.Zones {
			if z.Hub == h {
				rate += sc.Parent * 0.1 * float64(z.Boxes) * sc.BoxRate
			}
		}
		d.parents[h] = []*server{d.add("parent", -1, h, rate/2, false), d.add("parent", -1, h, rate/2, false)}
	}
	for i, z := range sc.Zones {
		d.boxes = append(d.boxes, nil)
		d.grow(i, false)
		for _, b := range d.boxes[i] {
			for o := range b.held {
				b.held[o] = o < sc.Objects/2
			}
		}
		d.gaps = append(d.gaps, time.Duration(float64(time.Second)/(float64(z.Boxes)*sc.BoxRate*z.Load+1e-9)*float64(z.Gateways)))
	}
	all := d.listing()
	for home, z := range sc.Zones {
		for range z.Gateways {
			if err := d.gateway(home, hubs, order.Bands(), all); err != nil {
				return err
			}
		}
	}
	for _, f := range sc.Faults {
		d.clock.At(f.At, func() { d.fault(f, true) })
		d.clock.At(f.Till, func() { d.fault(f, false) })
	}
	return nil
}

// grow makes the boxes of a zone anew.
func (d *directed) grow(zone int, cold bool) {
	d.boxes[zone] = nil
	for range d.sc.Zones[zone].Boxes {
		d.boxes[zone] = append(d.boxes[zone], d.add("box", zone, d.sc.Zones[zone].Hub, d.sc.BoxRate, cold))
	}
}

func (d *directed) member(s *server, phase routing.Phase) routing.Endpoint {
	m := routing.Endpoint{ID: s.id, Kind: s.kind, Phase: phase, Weight: 1, Zone: "hub" + strconv.Itoa(s.hub)}
	if s.zone >= 0 {
		m.Zone = d.sc.Zones[s.zone].Name
	}
	if s.began > 0 {
		m.Incarnation = s.began
	}
	return m
}

// listing is the whole list.
func (d *directed) listing() (all []routing.Endpoint) {
	for _, s := range d.servers {
		if !s.gone || s.kind != "box" {
			all = append(all, d.member(s, routing.Up))
		}
	}
	slices.SortFunc(all, func(a, b routing.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (d *directed) gateway(home, hubs, bands int, list []routing.Endpoint) error {
	set := d.settings(home, hubs)
	set.Index = len(d.gateways)
	g := &dgateway{set: set, me: len(d.gateways), home: home, zones: []int{home}, reqs: map[string]*request{}, classes: set.Classes}
	places := []locality.Locality{{Name: d.sc.Zones[home].Name, Weight: float64(d.sc.Zones[home].Boxes)}}
	if d.sc.Policy == Ours {
		for level := 1; level <= 2; level++ {
			for k, o := range d.sc.Zones {
				if k != home && (o.Hub != d.sc.Zones[home].Hub) == (level == 2) {
					places, g.zones = append(places, locality.Locality{Name: o.Name, Level: level, Weight: float64(o.Boxes)}), append(g.zones, k)
				}
			}
		}
		cfg := d.sc.Tiers
		cfg.Localities, cfg.Bands, cfg.Seed = places, bands, d.sc.Seed*1_000_003+uint64(len(d.gateways))
		var err error
		if g.t, err = locality.New(cfg); err != nil {
			return fmt.Errorf("scene: %w", err)
		}
		g.roster = locality.NewEndpointIndex(set, places)
		d.res.Gateways = append(d.res.Gateways, g.t)
		var tick func()
		tick = func() {
			g.t.Tick(d.clock.Now)
			d.clock.At(d.clock.Now+locality.DefaultTick, tick)
		}
		d.clock.At(time.Duration(d.rng.Float64()*float64(locality.DefaultTick)), tick)
	}
	g.places = places
	if err := d.begin(g, list); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	if d.sc.Neighbours {
		d.share(g)
	}
	if d.sc.Memory {
		var keep func()
		keep = func() {
			if !g.down {
				g.snap, g.made = nil, d.clock.Now
				for _, dir := range g.ds {
					g.snap = append(g.snap, dir.Export(d.clock.Now, 4096))
				}
			}
			d.clock.At(d.clock.Now+warmstart.DefaultSaveInterval, keep)
		}
		d.clock.At(time.Duration(d.rng.Float64()*float64(warmstart.DefaultSaveInterval)), keep)
	}
	var next func()
	next = func() {
		d.arrive(g)
		d.clock.At(d.clock.Now+time.Duration(d.rng.ExpFloat64()*float64(d.gaps[home])), next)
	}
	d.clock.At(time.Duration(d.rng.ExpFloat64()*float64(d.gaps[home])), next)
	return nil
}

// begin makes a gateway's directors, and tells them of the list and of what was kept.
func (d *directed) begin(g *dgateway, list []routing.Endpoint) error {
	g.ds = nil
	for i := range g.places {
		s := g.set
		if g.t != nil {
			var err error
			if s, err = locality.DirectorSettings(g.set, g.places, i); err != nil {
				return fmt.Errorf("scene: %w", err)
			}
		}
		dir, err := routing.New(s, d.sc.Seed*7919+uint64(1_000_000*g.epoch+100*g.me+i))
		if err != nil {
			return fmt.Errorf("scene: %w", err)
		}
		g.ds = append(g.ds, dir)
	}
	d.tell(g, routing.EndpointUpdate{Kind: routing.StaleList, Endpoints: list})
	for i, m := range g.snap {
		g.ds[i].Import(d.clock.Now, m, warmstart.ConfidenceAt)
	}
	if d.sc.Neighbours {
		return d.beginSharing(g)
	}
	return nil
}

// beginSharing begins a gateway's copy of what all know, empty: it catches up with the others.
func (d *directed) beginSharing(g *dgateway) (err error) {
	var members []string
	for _, z := range d.sc.Zones {
		for range z.Gateways {
			members = append(members, strconv.Itoa(len(members)))
		}
	}
	d.lives++
	g.node, err = replication.NewNode(replication.Config{Self: replication.Incarnation{Name: strconv.Itoa(g.me), Number: d.lives}, Members: members, PurgeSettleTime: g.set.PurgeSettleTime,
		WallClock: func() time.Duration { return d.clock.Now }, Seed: d.lives})
	if err != nil {
		return fmt.Errorf("scene: %w", err)
	}
	g.sharer = warmstart.NewSharer(g.node, d.sc.Zones[g.home].Name, toldListings)
	return nil
}

// share has a gateway tell others what it learns, and catch up as it comes back.
func (d *directed) share(g *dgateway) {
	ticks := 0
	var tick func()
	tick = func() {
		if ticks++; !g.down {
			if ticks%5 == 0 {
				m := g.ds[0].Export(d.clock.Now, toldListings)
				list := map[string]routing.Endpoint{}
				for _, e := range d.listing() {
					list[e.ID] = e
				}
				g.sharer.Publish(d.clock.Now, m, list)
			}
			d.shared(g, replication.Tick{})
		}
		d.clock.At(d.clock.Now+100*time.Millisecond, tick)
	}
	d.clock.At(time.Duration(d.rng.Float64()*float64(100*time.Millisecond)), tick)
}

func (d *directed) shared(g *dgateway, e replication.Event) {
	for _, a := range g.node.Handle(d.clock.Now, e, nil) {
		switch a := a.(type) {
		case replication.Send:
			to, _ := strconv.Atoi(a.To)
			if to < len(d.gateways) {
				d.clock.At(d.clock.Now+2*time.Millisecond, func() {
					if x := d.gateways[to]; !x.down && x.node != nil {
						d.shared(x, replication.MessageReceived{From: strconv.Itoa(g.me), Message: a.Message})
					}
				})
			}
		case replication.CaughtUp:
			m := g.sharer.Collect(d.clock.Now, d.clock.Now, nil)
			for i := range g.ds {
				if g.names(i) == m.Zone {
					g.ds[i].Import(d.clock.Now, m, warmstart.ConfidenceAt)
				}
			}
		}
	}
}

// names is the zone of a gateway's director.
func (g *dgateway) names(i int) string {
	if len(g.places) > i {
		return g.places[i].Name
	}
	return g.set.Zone
}

// restart has a zone's gateways die, or come back.
func (d *directed) restart(zone int, dies bool) {
	for _, g := range d.gateways {
		if g.home != zone {
			continue
		}
		if g.down = dies; dies {
			g.epoch++
			for _, r := range g.reqs {
				r.over = true
				if r.counted {
					d.second().Failed++
				}
			}
			clear(g.reqs)
			continue
		}
		if d.sc.Oracle {
			d.tell(g, routing.EndpointUpdate{Kind: routing.FullList, Endpoints: d.listing()})
			continue
		}
		_ = d.begin(g, d.listing()) // it has been made before with the same
	}
}

// tell gives a list to a gateway.
func (d *directed) tell(g *dgateway, m routing.EndpointUpdate) {
	if g.t != nil {
		for i, up := range g.roster.Update(m) {
			g.t.SetCachesUp(i, up)
		}
	}
	for i := range g.ds {
		d.handle(g, i, m)
	}
}

// tellAll has the list tell of servers, as late as it is.
func (d *directed) tellAll(of []*server, phase routing.Phase) {
	d.clock.At(d.clock.Now+d.sc.List, func() {
		m := routing.EndpointUpdate{Kind: routing.DeltaList}
		for _, s := range of {
			m.Endpoints = append(m.Endpoints, d.member(s, phase))
		}
		for _, g := range d.gateways {
			d.tell(g, m)
		}
	})
}

func (d *directed) fault(f Fault, begins bool) {
	z := d.faults[f.Zone]
	if !begins {
		z[f.Kind]--
	} else {
		z[f.Kind]++
	}
	first, last := begins && z[f.Kind] == 1, !begins && z[f.Kind] == 0
	switch {
	case f.Kind == Restart && (first || last):
		d.restart(f.Zone, first)
	case f.Kind == Dead && first:
		for _, s := range d.boxes[f.Zone] {
			s.gone = true
			d.reset(s)
		}
		d.tellAll(d.boxes[f.Zone], routing.Removed)
	case f.Kind == Dead && last:
		d.grow(f.Zone, true)
		d.tellAll(d.boxes[f.Zone], routing.Up)
	case f.Kind == Lies && first:
		d.tellAll(d.boxes[f.Zone], routing.Removed)
	case f.Kind == Lies && last:
		d.tellAll(d.boxes[f.Zone], routing.Up)
	case f.Kind == Parents && (first || last):
		for _, s := range d.parents[d.sc.Zones[f.Zone].Hub] {
			if s.gone = begins; begins {
				d.reset(s)
			}
		}
	}
}

// reset ends what is out at a server.
func (d *directed) reset(s *server) {
	var all []*attempt
	for a := range s.out {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.r.owner.me, b.r.owner.me), strings.Compare(a.r.id, b.r.id), cmp.Compare(a.number, b.number))
	})
	for _, a := range all {
		d.end(a, near, routing.AttemptResult{Status: routing.Reset})
	}
}

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

// toldListings is of how many objects a gateway tells the others.
const toldListings = 4096
