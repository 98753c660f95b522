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
	d := &directorSim{scene: sc, rng: rand.New(rand.NewPCG(sc.Seed, 13)), mix: load.DeploymentMix(), servers: map[string]*server{}}
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
	d.res.Over = d.computeExcessSpill()
	for _, g := range d.gateways {
		d.res.Twice += g.extraAnswers
	}
	return d.res, nil
}

// server is a box, an upper cache or the origin.
type server struct {
	id                string
	kind              string
	zone              int // of a box; else -1
	hub               int
	cost              time.Duration
	busyUntil         time.Duration
	startedAt         time.Duration // cold since; negative: long warm
	coldCapacityShare float64
	overloadFactor    float64
	cached            []bool
	down              bool // its process is not there
	crashed           bool
	utilization       float64
	workDone          time.Duration
	reportedAt        time.Duration
	recentRequests    float64
	recentAt          time.Duration
	attempts          map[*attempt]bool
}

type attempt struct {
	request     *request
	incarnation int // of its gateway
	locality    int
	number      int
	to          *server
	sent        time.Duration
	ended       bool
	uncacheable bool // it is not the origin's straight
}

type request struct {
	id           string
	owner        *directorGateway
	class        int
	object       int32
	due          time.Duration
	locality     int
	rerouted     bool
	ended        bool
	firstAttempt int
	attempts     []*attempt
	counted      bool
	tries        int // of the client, before this one
}

type directorGateway struct {
	index         int
	home          int
	selector      *locality.Selector // nil: no spill
	endpointIndex *locality.EndpointIndex
	directors     []*routing.Director
	zones         []int // by locality
	requests      map[string]*request
	lastRequest   int
	extraAnswers  int
	down          bool
	incarnation   int // its start
	replica       *replication.Node
	sharer        *warmstart.Sharer
	learned       []routing.LearnedState
	learnedAt     time.Duration
	localities    []locality.Locality
	settings      routing.Settings
	classes       []routing.Class
}

type directorSim struct {
	scene       Scene
	rng         *rand.Rand
	zipf        *rand.Zipf
	clock       virtualclock.Clock
	servers     map[string]*server
	caches      [][]*server // by zone, those of now
	parents     [][]*server // by hub
	origin      *server
	gateways    []*directorGateway
	faults      []map[FaultKind]int // by zone
	mix         []load.Class
	bands       [2][]int // of first tries and of repeats, by class
	gaps        []time.Duration
	res         *Result
	lastServer  int
	lastReplica uint64 // of copies of what gateways know in common
}

func (d *directorSim) currentSecond() *Second { return &d.res.Seconds[int(d.clock.Now/time.Second)] }
