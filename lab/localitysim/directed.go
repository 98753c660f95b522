package localitysim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"larchusher/lab/load"
	"larchusher/lab/virtualclock"
	"larchusher/locality"
	"larchusher/replication"
	"larchusher/routing"
	"larchusher/warmstart"
)

// Directed plays a scene with a director in each gateway, or one for each locality, without a changed line: boxes, upper
// caches and the origin stand by themselves, with copies, cold starts and queues of their own. It is some fifty times as
// slow as [Run], and for scenes of some tens of gateways.
//
// What it simplifies beyond that: objects have one part of one size, ranks are not looked at, and gateways do not talk.
func RunWithDirectors(sc Scene) (*Result, error) {
	if err := sc.check(); err != nil {
		return nil, err
	}
	if sc.Policy == Unbounded {
		return nil, fmt.Errorf("scene: Policy: %q has no director", sc.Policy)
	}
	d := &directed{sc: sc, rng: rand.New(rand.NewPCG(sc.Seed, 13)), mix: load.DeploymentMix(), servers: map[string]*server{}}
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
	d.res.Events = d.clock.Executed
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
