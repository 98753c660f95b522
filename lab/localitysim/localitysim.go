// Package localitysim simulates several zones in virtual time: gateways that run the unchanged package locality, zones with
// caches, parents at hubs, and an origin with limited capacity. It tests faults at sizes that can't be reached with sockets.
// Equal scenes and seeds give equal runs.
//
// [Run] simplifies: the caches of a zone are one queue, and so are the parents of a hub and the origin; there are no directors
// (an attempt goes to a zone, and a rejected one is rerouted once); every request is for one part, and all parts have one
// size; caches evict nothing but become empty by a cold restart; the endpoint list is delayed by Scene.List and reflects
// only whether processes run. [RunWithDirectors] simulates each cache and the directors.
package localitysim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"larchusher/lab/load"
	"larchusher/locality"
)

// Zone describes one location.
type Zone struct {
	Name     string
	Hub      int     // index of the hub whose parents serve the zone, from 0
	Boxes    int     // number of caches
	Gateways int     // number of gateways
	Load     float64 // load by its own clients, as a share of the capacity of its caches
}

// FaultKind is the kind of a zone's fault. Its text is read from scene files.
type FaultKind string

// Kinds of faults.
const (
	Dead         FaultKind = "dead"    // connections are refused, open ones are reset; afterwards the caches are cold and empty
	Silent       FaultKind = "silent"  // the zone accepts requests and answers none
	Slow         FaultKind = "slow"    // the zone has a fifth of its capacity
	Errors       FaultKind = "errors"  // the zone answers all requests with errors
	Parents      FaultKind = "parents" // the parents of the zone's hub are unreachable
	Cut          FaultKind = "cut"     // no connection between the zone and zones of other hubs, in either direction; with Run none to the origin
	Restart      FaultKind = "restart" // the zone's gateways are killed and restarted with the state that they saved; only in RunWithDirectors
	FalseRemoval FaultKind = "lies"    // the endpoint list says that all caches of the zone are removed although they run
)

// Fault is a fault of a zone from At until Till, in virtual time.
type Fault struct {
	Zone     int
	Kind     FaultKind
	At, Till time.Duration
}

// Policy selects how gateways choose zones. Its text is read from scene files and appears in results.
type Policy string

// Policies.
const (
	Tiered    Policy = "tiers"     // package locality
	NoSpill   Policy = "no spill"  // all requests stay in the gateway's zone
	Unbounded Policy = "unbounded" // all requests go to the nearest zone that works, without bounds or ramp, and return at once
)

// Scene configures a simulation.
type Scene struct {
	Zones      []Zone
	BoxRate    float64       // capacity of a warm cache, requests per second
	Objects    int           // number of different objects requested
	Skew       float64       // exponent of the Zipf distribution of their popularity, more than 1
	Origin     float64       // capacity of the origin, as a multiple of its usual fills per second; it rejects requests beyond
	Parent     float64       // capacity of a hub's parents, likewise
	List       time.Duration // delay of the endpoint list
	Faults     []Fault
	For        time.Duration // virtual time of the run
	Warm       time.Duration // first part of the run, in which caches fill and nothing is counted
	Policy     Policy
	Neighbours bool            // gateways replicate learned state to each other and catch up after a restart; only in RunWithDirectors
	Memory     bool            // gateways save learned state and restore it after a restart; only in RunWithDirectors
	Oracle     bool            // gateways lose no state by a restart, as an upper bound that real gateways can't reach
	Repeat     float64         // share of rejected attempts that clients retry after the advised delay, at most twice; only in RunWithDirectors
	Tiers      locality.Config // settings of package locality; Localities, Bands and Seed are overwritten
	Seed       uint64
}

// Properties of caches and of the network, taken from the deployment's settings.
const (
	coldStartShare     = 0.15                    // share of its capacity that a cache has at a cold start
	warmUpTime         = 17 * time.Second        // time until a cold cache has its whole capacity
	crashFactor        = 2.5                     // a cold cache crashes at more than this multiple of its present capacity
	overloadWindow     = 2 * time.Second         // time constant of the request rate that is compared with crashFactor
	sameHubDelay       = 2 * time.Millisecond    // one way, within a hub
	otherHubDelay      = 30 * time.Millisecond   // one way, to a zone of another hub
	parentFetchTime    = 8 * time.Millisecond    // round trip of a fill from a parent
	originFetchTime    = 40 * time.Millisecond   // round trip of a fetch from the origin
	loadReportInterval = 400 * time.Millisecond  // least time between updates of a load report
	maxQueueDelay      = 1500 * time.Millisecond // queued work beyond which a zone or server rejects requests
	parentHitRatio     = 0.6                     // share of fills that a parent serves without the origin
)

// Second counts one second of a run. Slices are indexed by zone.
type Second struct {
	Asked, InAim, Late, Failed, Refused int     // requests, by outcome
	Worth, WorthAsked                   float64 // priority weight served within the objective, and of all requests
	Spilled                             []int   // attempts of a zone's gateways at other zones
	Own                                 []int   // all requests of a zone's clients, their retries included
	At                                  []int   // attempts at a zone, from any gateway
	Fills, Origin, OriginRefused        int     // cache fills, requests at the origin, and those of them that it rejected
	Hits, Reads                         int     // hits in caches, and all answers from caches
}

// Result holds the figures of a run. Falls, Most, Over and Twice show violated bounds.
type Result struct {
	Seconds  []Second
	Classes  []load.Class
	Asked    []int                // requests, by class
	InAim    []int                // requests served within the latency objective, by class
	Refused  []int                // rejected requests, by class
	Falls    []string             // zones or servers that crashed by overload while cold, and when
	Twice    int                  // final answers beyond the first of a request
	Events   int                  // simulated events
	Most     float64              // highest load of a cold server, as a share of the load at which it crashes; only in RunWithDirectors
	Over     float64              // most by which a zone's spillover exceeded its bound in any second, as a share of its requests
	Gateways []*locality.Selector // selectors of the gateways, in order; none under NoSpill with directors
}

// gateway is a gateway with its locality selector.
type gateway struct {
	selector   *locality.Selector
	zones      []int // zone of each locality
	localityOf []int // locality of each zone
	home       int
}

// simulation is the state of one run of Run.
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

// Run simulates a scene without directors. The error names an invalid value of the scene.
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

// schedule adds an event at a time.
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
	case tickDue:
		g := s.gateways[e.gateway]
		if s.scene.Policy == Tiered {
			g.selector.Tick(s.now)
		}
		s.schedule(s.now+locality.DefaultTick, event{kind: tickDue, gateway: e.gateway})
	case attemptEnded:
		s.handleResult(e)
	case attemptRejected:
		s.handleRejection(e)
	case faultChanged:
		s.handleFault(e)
	}
}

// handleFault begins or ends a fault, or updates the endpoint list. If e.rerouted is set, the fault changes, and e.hit says
// whether it begins; otherwise the list reports the zone's present state. e.zone is the index of the fault.
func (s *simulation) handleFault(e event) {
	f := s.scene.Faults[e.zone]
	z := s.zones[f.Zone]
	if !e.rerouted { // the endpoint list changes
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
		if f.Kind == Dead && z.faults[Dead] == 0 { // the caches return cold and empty
			z.crashed, z.startedAt, z.busyUntil, z.recentRequests, z.workDone = false, s.now, s.now, 0, 0
			clear(z.cached)
		}
	}
	if f.Kind == Dead || f.Kind == FalseRemoval {
		s.schedule(s.now+s.scene.List, event{kind: faultChanged, zone: e.zone})
	}
}

// handleArrival draws a request, sends it to the origin or to a zone that the policy selects, and schedules the next arrival.
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
	if s.mix[class].Keyed { // goes to the origin directly, bypassing caches
		if s.fetchFromOrigin(g.home) {
			s.schedule(s.now+originFetchTime, event{kind: attemptEnded, gateway: e.gateway, zone: -1, class: e.class, due: e.due, result: locality.ResultSuccess})
		} else {
			s.reject(e)
		}
		return
	}
	target := g.home
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
		target = g.zones[n]
	case Unbounded:
		for _, k := range g.zones {
			if z := s.zones[k]; z.faults[Dead] == 0 && !z.crashed && z.faults[Errors] == 0 && z.faults[Silent] == 0 {
				target = k // an idealized policy: the gateway sees faults without delay
				break
			}
		}
	default: // NoSpill: the gateway's own zone
	}
	s.send(e, target)
}

// handleResult reports the result of an attempt to the gateway's selector and counts the request, or reroutes it.
func (s *simulation) handleResult(e event) {
	g := s.gateways[e.gateway]
	if e.zone >= 0 {
		hitKnown := e.result == locality.ResultSuccess || e.result == locality.ResultLate
		report := -1.0
		if hitKnown {
			report = float64(e.load)
		}
		g.selector.AttemptFinished(s.now, g.localityOf[e.zone], e.result, e.hit, hitKnown, report)
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
	case e.result == locality.ResultFailure && !e.rerouted && e.zone >= 0 && s.scene.Policy == Tiered && took < s.mix[e.class].Aim/2: // failed early and in no zone's queue any more: it can be rerouted
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

// handleRejection reroutes a request to another zone, at most once, or rejects it.
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

// reject counts a request as rejected.
func (s *simulation) reject(e event) {
	if e.due >= s.scene.Warm {
		s.currentSecond().Refused++
		s.res.Refused[e.class]++
	}
}

// computeExcessSpill sets Result.Over from the seconds in which a zone's clients made more than 200 requests.
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

// ServedWorthShare returns the share of the requests' priority weight that was served within the latency objective, over the
// whole seconds between two times.
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
