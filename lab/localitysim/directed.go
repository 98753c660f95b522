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

// RunWithDirectors simulates a scene with the unchanged package routing: each gateway runs a director, or one for each
// locality. Caches, parents and the origin are separate servers with stored objects, cold starts and queues of their own. It
// takes some fifty times as long as [Run] and suits scenes of some tens of gateways. The error names an invalid value of
// the scene.
//
// It simplifies: objects have one part of one size, cache ranks are ignored, and there is no gossip.
func RunWithDirectors(sc Scene) (*Result, error) {
	if err := sc.check(); err != nil {
		return nil, err
	}
	if sc.Policy == Unbounded {
		return nil, fmt.Errorf("scene: Policy: %q can't run with directors", sc.Policy)
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

// server is a cache, a parent or the origin.
type server struct {
	id                string
	kind              string
	zone              int // zone of a cache, -1 for others
	hub               int
	cost              time.Duration // work per request while warm
	busyUntil         time.Duration // when its queue will be empty
	startedAt         time.Duration // time of the cold start; negative for a warm server
	coldCapacityShare float64       // share of its capacity at a cold start
	overloadFactor    float64       // multiple of its present capacity at which it crashes while cold
	cached            []bool        // by object; nil for parents and the origin
	down              bool          // its process doesn't run
	crashed           bool          // by overload during its cold start
	utilization       float64       // of the last report's interval; at most 1.5
	workDone          time.Duration // since the last report
	reportedAt        time.Duration
	recentRequests    float64           // exponentially decaying count over overloadWindow
	recentAt          time.Duration     // when recentRequests was updated
	attempts          map[*attempt]bool // in flight
}

// attempt is one attempt of a request at a server.
type attempt struct {
	request     *request
	incarnation int // of the gateway that sent it
	locality    int
	number      int // as the director counts them
	to          *server
	sent        time.Duration
	ended       bool
	uncacheable bool // its class is uncacheable, so it bypasses locality selection
}

// request is one request of a client at a gateway.
type request struct {
	id           string
	owner        *directorGateway
	class        int
	object       int32
	due          time.Duration
	locality     int
	rerouted     bool
	ended        bool
	firstAttempt int // index in attempts of the present locality's first one
	attempts     []*attempt
	counted      bool // it arrived after Scene.Warm
	tries        int  // earlier attempts by the client
}

// directorGateway is a gateway with its directors.
type directorGateway struct {
	index         int
	home          int
	selector      *locality.Selector // nil under NoSpill
	endpointIndex *locality.EndpointIndex
	directors     []*routing.Director
	zones         []int // zone of each locality
	requests      map[string]*request
	lastRequest   int
	extraAnswers  int
	down          bool
	incarnation   int // how often the gateway has been killed
	replica       *replication.Node
	sharer        *warmstart.Sharer
	learned       []routing.LearnedState // saved state, by locality; nil: none
	learnedAt     time.Duration          // when it was saved
	localities    []locality.Locality
	settings      routing.Settings
	classes       []routing.Class
}

// directorSim is the state of one run of RunWithDirectors.
type directorSim struct {
	scene       Scene
	rng         *rand.Rand
	zipf        *rand.Zipf
	clock       virtualclock.Clock
	servers     map[string]*server
	caches      [][]*server // by zone, the running ones
	parents     [][]*server // by hub
	origin      *server
	gateways    []*directorGateway
	faults      []map[FaultKind]int // by zone
	mix         []load.Class
	bands       [2][]int // of first attempts and of retries, by class
	gaps        []time.Duration
	res         *Result
	lastServer  int
	lastReplica uint64 // number of the latest replica that was started
}

func (d *directorSim) currentSecond() *Second { return &d.res.Seconds[int(d.clock.Now/time.Second)] }
