// Package localitysim is several zones in simulated time: gateways that run package locality without a changed line, zones with
// boxes, copies and a link, upper caches at hubs, and an origin that refuses beyond a point. It tries faults at sizes that
// sockets don't reach. Equal scenes and seeds give equal runs.
//
// What it simplifies: a zone's boxes are one queue, and so are a hub's upper caches and the origin; the director is not in
// it (an attempt goes to the zone, and a refused one is moved once); every request is for one part, of one size; no copy is
// dropped, but for those of a cold restart; the list is as late as the scene says, and knows only of processes.
package localitysim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"larchusher/lab/load"
	"larchusher/locality"
)

// Zone is one location.
type Zone struct {
	Name     string
	Hub      int
	Boxes    int
	Gateways int
	Load     float64 // of what its boxes can do, while all is well
}

// FaultKind is what befalls a zone.
type FaultKind string

// The faults.
const (
	Dead         FaultKind = "dead"    // connections are refused; what was open is reset; cold and empty afterwards
	Silent       FaultKind = "silent"  // it takes work and answers none
	Slow         FaultKind = "slow"    // it does a fifth of what it can
	Errors       FaultKind = "errors"  // it answers nothing but errors
	Parents      FaultKind = "parents" // its hub's upper caches are away
	Cut          FaultKind = "cut"     // its hub is cut off from other hubs: nobody from elsewhere reaches it, nor it others
	Restart      FaultKind = "restart" // its gateways die, and come back with what they have kept; with directors only
	FalseRemoval FaultKind = "lies"    // the list says that all its boxes are gone, which they are not
)

// Fault is a fault in time.
type Fault struct {
	Zone     int
	Kind     FaultKind
	At, Till time.Duration
}

// Policy is how gateways go by zones.
type Policy string

// The policies.
const (
	Tiered    Policy = "tiers"     // package locality
	NoSpill   Policy = "no spill"  // all stays
	Unbounded Policy = "unbounded" // what fails here goes to the next zone that the list calls up, all of it, and back at once
)

// Scene is what is played.
type Scene struct {
	Zones      []Zone
	BoxRate    float64 // requests a second of a warm box
	Objects    int     // that are asked for
	Skew       float64 // of how often: Zipf's exponent, over 1
	Origin     float64 // fills a second that the origin can do, over what is usual; it refuses beyond
	Parent     float64 // likewise of a hub's upper caches
	List       time.Duration
	Faults     []Fault
	For        time.Duration
	Warm       time.Duration // before that nothing is counted, and zones fill
	Policy     Policy
	Neighbours bool            // gateways tell each other what they learn, and catch up as they return; with directors only
	Memory     bool            // gateways keep what they learn through a restart; with directors only
	Oracle     bool            // they forget nothing at all through one, as no real gateway can
	Repeat     float64         // share of refused clients that come back when told to, twice at most; with directors only
	Tiers      locality.Config // further settings; Localities, Bands and Seed are set here
	Seed       uint64
}

// Figures of a box and of the network, as the deployment's settings give them.
const (
	coldFrom           = 0.15
	warmUpTime         = 17 * time.Second
	tip                = 2.5
	overloadWindow     = 2 * time.Second
	sameHubDelay       = 2 * time.Millisecond
	otherHubDelay      = 30 * time.Millisecond // to a zone of another hub
	parentFetchTime    = 8 * time.Millisecond
	originFetchTime    = 40 * time.Millisecond
	loadReportInterval = 400 * time.Millisecond
	maxQueueDelay      = 1500 * time.Millisecond // of waiting work at a zone, before it refuses
	parentHitRatio     = 0.6                     // share of fills that an upper cache has
)

// Second is what came of one second, in all and by zone.
type Second struct {
	Asked, InAim, Late, Failed, Refused int
	Worth, WorthAsked                   float64
	Spilled                             []int // requests of a zone's clients that went elsewhere,
	Own                                 []int // and all of them, clients' repeats too
	At                                  []int // attempts that came to a zone
	Fills, Origin, OriginRefused        int
	Hits, Reads                         int
}

// Result is what came of a scene.
type Result struct {
	Seconds  []Second
	Classes  []load.Class
	Asked    []int // by class
	InAim    []int
	Refused  []int
	Falls    []string // zones that fell over, and when
	Twice    int      // requests that had more than one final answer, or none
	Events   int
	Most     float64 // largest part of what a cold server stands that any was sent, over any time; 1: it falls over
	Over     float64 // most by which a gateway's zone spilled beyond its bounds, in any second, as a share of load
	Gateways []*locality.Selector
}

type gateway struct {
	selector   *locality.Selector
	zones      []int // zones, by its localities
	localityOf []int // localities, by zone
	home       int
}

type simulation struct {
	scene    Scene
	rng      *rand.Rand
	zipf     *rand.Zipf
	heap     events
	order    uint64
	now      time.Duration
	zones    []*zone
	gateways []*gateway
	gaps     []time.Duration // mean gap between requests, by zone
	hubs     []tokenBucket
	origin   tokenBucket
	mix      []load.Class
	bands    []int
	res      *Result
}

// Run plays a scene.
func Run(sc Scene) (*Result, error) {
	if err := sc.check(); err != nil {
		return nil, err
	}
	s := &simulation{scene: sc, rng: rand.New(rand.NewPCG(sc.Seed, 11)), mix: load.DeploymentMix()}
	s.zipf = rand.NewZipf(s.rng, sc.Skew, 8, uint64(sc.Objects-1))
	s.res = &Result{Classes: s.mix, Asked: make([]int, len(s.mix)), InAim: make([]int, len(s.mix)), Refused: make([]int, len(s.mix))}
	for range int(sc.For/time.Second) + 1 {
		n := len(sc.Zones)
		s.res.Seconds = append(s.res.Seconds, Second{Spilled: make([]int, n), Own: make([]int, n), At: make([]int, n)})
	}
	if err := s.build(); err != nil {
		return nil, err
	}
	for len(s.heap) > 0 {
		e := heap.Pop(&s.heap).(event)
		if e.at >= sc.For {
			break
		}
		s.now = e.at
		s.res.Events++
		s.handle(e)
	}
	s.computeExcessSpill()
	return s.res, nil
}

func (s *simulation) schedule(t time.Duration, e event) {
	s.order++
	e.at, e.order = t, s.order
	heap.Push(&s.heap, e)
}

func (s *simulation) currentSecond() *Second { return &s.res.Seconds[int(s.now/time.Second)] }

func (s *simulation) handle(e event) {
	switch e.kind {
	case requestArrived:
		s.handleArrival(e)
	case tick:
		g := s.gateways[e.gateway]
		if s.scene.Policy == Tiered {
			g.selector.Tick(s.now)
		}
		s.schedule(s.now+locality.DefaultTick, event{kind: tick, gateway: e.gateway})
	case attemptEnded:
		s.handleResult(e)
	case attemptRejected:
		s.handleRejection(e)
	case faultChanged:
		s.handleFault(e)
	}
}

// fault begins or ends one, or has the list tell of it.
func (s *simulation) handleFault(e event) {
	f := s.scene.Faults[e.zone]
	z := s.zones[f.Zone]
	if !e.rerouted { // the list tells
		up := z.Boxes
		if z.crashed || z.faults[Dead] > 0 || z.faults[FalseRemoval] > 0 {
			up = 0
		}
		for _, g := range s.gateways {
			g.selector.SetCachesUp(g.localityOf[f.Zone], up)
		}
		return
	}
	if e.hit {
		z.faults[f.Kind]++
		if f.Kind == Dead {
			z.outages++
		}
	} else {
		z.faults[f.Kind]--
		if f.Kind == Dead && z.faults[Dead] == 0 { // it comes back cold and empty
			z.crashed, z.startedAt, z.busyUntil, z.recentRequests, z.workDone = false, s.now, s.now, 0, 0
			clear(z.cached)
		}
	}
	if f.Kind == Dead || f.Kind == FalseRemoval {
		s.schedule(s.now+s.scene.List, event{kind: faultChanged, zone: e.zone})
	}
}

func (s *simulation) handleArrival(e event) {
	g := s.gateways[e.gateway]
	s.schedule(s.now+time.Duration(s.rng.ExpFloat64()*float64(s.gaps[g.home])), event{kind: requestArrived, gateway: e.gateway})
	x, class := s.rng.Float64(), 0
	for class < len(s.mix)-1 && x >= s.mix[class].Share {
		x -= s.mix[class].Share
		class++
	}
	e.class, e.object, e.due, e.id = int8(class), int32(s.zipf.Uint64()), s.now, s.rng.Uint64()
	if s.now >= s.scene.Warm {
		sec := s.currentSecond()
		sec.Asked++
		sec.WorthAsked += s.mix[class].Worth
		sec.Own[g.home]++
		s.res.Asked[class]++
	}
	if s.mix[class].Keyed { // it goes straight to the origin, which is elsewhere
		if s.fetchFromOrigin(g.home) {
			s.schedule(s.now+originFetchTime, event{kind: attemptEnded, gateway: e.gateway, zone: -1, class: e.class, due: e.due, result: locality.ResultSuccess})
		} else {
			s.reject(e)
		}
		return
	}
	where := g.home
	switch s.scene.Policy {
	case Tiered:
		object := uint64(e.object+1) * 0x9e3779b97f4a7c15
		object ^= object >> 29
		object *= 0xbf58476d1ce4e5b9
		n, _, ok := g.selector.Pick(s.now, s.bands[class], object, e.id)
		if !ok {
			s.reject(e)
			return
		}
		where = g.zones[n]
	case Unbounded:
		for _, k := range g.zones {
			if z := s.zones[k]; z.faults[Dead] == 0 && !z.crashed && z.faults[Errors] == 0 && z.faults[Silent] == 0 {
				where = k // it knows at once, which no real one does
				break
			}
		}
	default: // the own one
	}
	s.send(e, where)
}

func (s *simulation) handleResult(e event) {
	g := s.gateways[e.gateway]
	if e.zone >= 0 {
		told := e.result == locality.ResultSuccess || e.result == locality.ResultLate
		report := -1.0
		if told {
			report = float64(e.load)
		}
		g.selector.AttemptFinished(s.now, g.localityOf[e.zone], e.result, e.hit, told, report)
	}
	if e.due < s.scene.Warm {
		return
	}
	sec := s.currentSecond()
	if e.zone >= 0 && (e.result == locality.ResultSuccess || e.result == locality.ResultLate) {
		sec.Reads++
		if e.hit {
			sec.Hits++
		}
	}
	took := s.now - e.due
	switch {
	case e.result == locality.ResultFailure && !e.rerouted && e.zone >= 0 && s.scene.Policy == Tiered && took < s.mix[e.class].Aim/2: // its director gave it up, and nothing is out
		s.handleRejection(e)
	case e.result == locality.ResultFailure:
		sec.Failed++
	case took <= s.mix[e.class].Aim:
		sec.InAim++
		sec.Worth += s.mix[e.class].Worth
		s.res.InAim[e.class]++
	default:
		sec.Late++
	}
}

// refused moves a request to another zone, once, or ends it.
func (s *simulation) handleRejection(e event) {
	g := s.gateways[e.gateway]
	if e.kind == attemptRejected {
		g.selector.AttemptFinished(s.now, g.localityOf[e.zone], locality.ResultRejected, false, false, float64(s.zones[e.zone].utilization))
	}
	if s.scene.Policy == Tiered && !e.rerouted {
		k := s.mix[e.class]
		took := s.now - e.due
		if n, ok := g.selector.HandleRejection(s.now, locality.Rejection{From: g.localityOf[e.zone], Idempotent: true, Elapsed: took, Remaining: k.Limit - took, LatencyObjective: k.Aim}); ok {
			e.rerouted = true
			s.send(e, g.zones[n])
			return
		}
	}
	s.reject(e)
}

func (s *simulation) reject(e event) {
	if e.due >= s.scene.Warm {
		s.currentSecond().Refused++
		s.res.Refused[e.class]++
	}
}

// over finds by how much a zone's gateways spilled beyond their bounds.
func (s *simulation) computeExcessSpill() {
	if s.scene.Policy != Tiered {
		return
	}
	bound := s.scene.Tiers.MaxSpillover
	if bound == 0 {
		bound = locality.DefaultMaxSpillover
	}
	for home, z := range s.zones {
		levels := map[int]bool{}
		for k, o := range s.zones {
			if k != home {
				levels[boolToInt(o.Hub != z.Hub)] = true
			}
		}
		for _, sec := range s.res.Seconds {
			if n := float64(sec.Own[home]); n > 200 {
				s.res.Over = max(s.res.Over, float64(sec.Spilled[home])/n-bound*float64(len(levels)))
			}
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Share is the part of the worth that was answered in aim between two times.
func (r *Result) ServedWorthShare(from, to time.Duration) float64 {
	got, asked := 0.0, 0.0
	for i := int(from / time.Second); i < int(to/time.Second) && i < len(r.Seconds); i++ {
		got, asked = got+r.Seconds[i].Worth, asked+r.Seconds[i].WorthAsked
	}
	if asked == 0 {
		return 0
	}
	return got / asked
}
