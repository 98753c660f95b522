package routing

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"larchusher/concurrency"
	"larchusher/loadreport"
	"larchusher/purge"
)

// Tokens of the director's own timers; tokens of requests start at 1.
const (
	gossipToken = 0                   // sends the pending moves
	pollToken   = math.MaxUint64 >> 1 // polls discovery again
)

// Director makes the routing decisions for the traffic of one location. It is created by New and is
// not safe for concurrent use.
type Director struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []Action // of the event being handled
	zone         int      // index of the own zone in settings.Zones
	positionSeed uint64   // seed of this director's own sender positions; see senderPosition

	endpoints      map[string]*endpoint
	upEndpoints    byRole[[]*endpoint] // endpoints that are up, sorted by id; of the caches only those of this location
	localDirectors map[int]bool        // numbers of the other directors known to serve this location

	table        map[uint64]*mappingEntry
	byRecency    *list.List      // the table's entries, the most recently used first
	pendingMoves []*mappingEntry // moved listings not yet sent to the other directors
	purged       *purge.Registry

	classes   map[string]*class
	requests  map[string]*request // by request id
	tokens    map[uint64]*request // by timer token
	lastToken uint64              // the latest request's timer token

	retryBudget           float64              // retries that may be sent; earned by successes
	hedgeBudget           float64              // hedged requests that may be sent; earned by lost answers
	unattributedErrorRate byRole[float64]      // share of recent attempts, 0 to 1, that ended in an error of unknown cause
	originFetches         concurrency.Limit    // fetches from the origin, direct or through parents
	meanCost              concurrency.MeanCost // of requests, per priority weight
	loadFields            loadreport.Fields    // which values of a load report state the utilization
	warmRate              byRole[float64]      // work per second and unit of weight that warm endpoints did for this director
	slowStartPausedUntil  time.Duration        // until this time nothing is sent to endpoints that are warming up
}

// New returns a director for the given settings. Equal settings, seeds and events give equal
// actions. The error names the setting that is invalid.
func New(s Settings, seed uint64) (*Director, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	d := &Director{
		settings:       s,
		rng:            rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		zone:           slices.Index(s.Zones, s.Zone),
		positionSeed:   mix(seed),
		endpoints:      map[string]*endpoint{},
		localDirectors: map[int]bool{},
		table:          map[uint64]*mappingEntry{},
		byRecency:      list.New(),
		purged:         purge.New(s.PurgeSettleTime),
		classes:        map[string]*class{},
		requests:       map[string]*request{},
		tokens:         map[uint64]*request{},
		retryBudget:    maxSavedRetries,
		originFetches:  concurrency.Unlimited(),
		loadFields:     loadreport.FindFields(s.LoadReportFields),
	}
	for _, c := range s.Classes {
		d.classes[c.Name] = &class{Class: c}
	}
	return d, nil
}

// Handle processes one event at the time now and appends the resulting actions to out. now must not
// be earlier than in the call before. Calls must not be concurrent.
func (d *Director) Handle(now time.Duration, ev Event, out []Action) []Action {
	d.now, d.actions = now, out
	switch ev := ev.(type) {
	case EndpointUpdate:
		d.updateEndpoints(ev)
	case Request:
		d.startRequest(ev)
	case FirstByte:
		d.markStreaming(ev.ID)
	case AttemptResult:
		d.handleResult(ev)
	case Purge:
		d.purged.Record(d.now, ev.Object, ev.Group, d.now-ev.Age)
	case GossipReceived:
		d.receiveGossip(ev)
	case ClientGone:
		d.abandonRequest(ev.ID)
	case Reconfigured:
		d.reconfigure(ev)
	case PauseSlowStart:
		d.slowStartPausedUntil = ev.Until
	case TimerFired:
		d.handleTimer(ev.Token)
	case HealthCheckResult:
		// Ignored: endpoint health follows from the results of attempts alone.
	}
	out, d.actions = d.actions, nil
	return out
}

func (d *Director) handleTimer(token uint64) {
	switch token {
	case gossipToken:
		d.sendMoves()
	case pollToken:
		d.emit(PollEndpoints{})
	default:
		if r := d.tokens[token]; r != nil {
			d.checkProgress(r)
		}
	}
}

func (d *Director) emit(a Action) { d.actions = append(d.actions, a) }
