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

// Tokens of the director's own timers; those of requests start at 1.
const (
	gossipToken = 0                   // pending moves are sent
	pollToken   = math.MaxUint64 >> 1 // discovery is polled again
)

// Director decides for one location's traffic. Use New. It is not safe for concurrent use.
type Director struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []Action // of the event in hand
	zone         int      // index into set.Zones
	positionSeed uint64   // drawn for this director alone; see senderPosition

	endpoints      map[string]*endpoint
	upEndpoints    byRole[[]*endpoint] // those that are up, in order of id; caches of this location only
	localDirectors map[int]bool        // other directors known to serve this location

	table        map[uint64]*mappingEntry
	byRecency    *list.List      // the table's entries, the latest used first
	pendingMoves []*mappingEntry // moved listings that gossip has not yet sent to the other directors
	purged       *purge.Registry

	classes   map[string]*class
	requests  map[string]*request
	tokens    map[uint64]*request // by the token of their timers
	lastToken uint64

	retryBudget           float64         // retries that success has earned
	hedgeBudget           float64         // hedged requests that lost answers have earned
	unattributedErrorRate byRole[float64] // share of recent attempts that ended in an error whose cause is unknown
	originFetches         concurrency.Limit
	meanCost              concurrency.MeanCost
	loadFields            loadreport.Fields
	warmRate              byRole[float64] // work a second, for each unit of weight, that warm endpoints did for us
	slowStartPausedUntil  time.Duration   // nothing is sent to endpoints that are warming up until then
}

// New returns a director for the given settings. Equal seeds and events give equal actions. The error names the setting that
// can't be worked with.
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

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
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
		// Nothing: endpoints are judged by the results of attempts.
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
