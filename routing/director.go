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

// Director decides for one location's traffic. Use New.
type Director struct {
	set                   Settings
	rng                   *rand.Rand
	now                   time.Duration
	positionSeed          uint64 // drawn for this director alone
	actions               []Action
	zone                  int
	classes               map[string]*class
	endpoints             map[string]*endpoint
	inUse                 [3][]*endpoint // by role, those that are up, in order of id; caches of this location only
	table                 map[uint64]*mappingEntry
	byRecency             *list.List // the table's entries, the latest used first
	requests              map[string]*request
	tokens                map[uint64]*request // by the token of their timers
	lastToken             uint64
	retryBudget           float64    // further attempts that recent success has earned
	unattributedErrorRate [3]float64 // by role, share of recent attempts that ended in an error of no told cause
	hedgeBudget           float64    // second copies that lost answers have earned
	purged                *purge.Registry
	meanCost              concurrency.MeanCost
	loadFields            loadreport.Fields
	carriedRate           [3]float64        // by role, work a second for each weight that warm ones carried for us
	originFetches         concurrency.Limit // fills that may go through to the origin
	pendingMoves          []*mappingEntry   // still to be told
	localDirectors        map[int]bool      // directors known to serve this location
	slowStartPausedUntil  time.Duration     // nothing is sent to cold servers until then
}

// New returns a director for the given settings. Equal seeds and events give equal actions.
func New(s Settings, seed uint64) (*Director, error) {
	d := &Director{set: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, endpoints: map[string]*endpoint{},
		table: map[uint64]*mappingEntry{}, requests: map[string]*request{}, tokens: map[uint64]*request{},
		purged: purge.New(s.PurgeSettleTime), loadFields: loadreport.FindFields(s.LoadReportFields), retryBudget: maxSavedRetries,
		originFetches: concurrency.Unlimited(), localDirectors: map[int]bool{}, byRecency: list.New(), positionSeed: mix(seed)}
	d.zone = slices.Index(s.Zones, s.Zone)
	if err := s.validate(); err != nil {
		return nil, err
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
		if r := d.requests[ev.ID]; r != nil {
			r.streaming = true
		}
	case AttemptResult:
		d.handleResult(ev)
	case Purge:
		d.purged.Record(d.now, ev.Object, ev.Group, d.now-ev.Age)
	case GossipReceived:
		d.receiveGossip(ev)
	case ClientGone:
		if r := d.requests[ev.ID]; r != nil {
			r.finished = true
			d.release(r)
		}
	case Reconfigured:
		d.reconfigure(ev)
	case PauseSlowStart:
		d.slowStartPausedUntil = ev.Until
	case TimerFired:
		if ev.Token == gossipToken {
			d.sendMoves()
		} else if ev.Token == pollToken {
			d.emit(PollEndpoints{})
		} else if r := d.tokens[ev.Token]; r != nil {
			d.checkProgress(r)
		}
	}
	out, d.actions = d.actions, nil
	return out
}

func (d *Director) emit(a Action) { d.actions = append(d.actions, a) }
