package routing

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"larchusher/concurrency"
	"larchusher/loadreport"
	"larchusher/purge"
	"larchusher/slowstart"
)

// What a director keeps in mind. This file holds types only: control.go decides.

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
	lateBy                *endpoint         // parent of the latest late fill
	pendingMoves          []*mappingEntry   // still to be told
	localDirectors        map[int]bool      // directors known to serve this location
	slowStartPausedUntil  time.Duration     // nothing is sent to cold servers until then
}

type class struct {
	Class
	meanTransferTime time.Duration // mean sending time seen
	sizedAnswers     int           // answers whose size was told
}

type role int

const (
	roleCache role = iota
	roleParent
	roleOrigin
)

// endpoint is a member that discovery has named.
type endpoint struct {
	id          string
	hash        uint64
	role        role
	zone, cell  int
	weight      float64
	incarnation time.Duration
	up          bool

	lastOK                     time.Duration     // latest answer of any use
	overdueAnswers             int               // answers that were due since then
	lastLateFill               time.Duration     // latest late fill by it
	lastSuccessSentAt          time.Duration     // latest sending that it answered well, by itself or as a source
	errorRate                  float64           // share of recent attempts that failed
	unattributedErrorRate      float64           // and that ended in an error of no told cause
	ejectedUntil               time.Duration     // out of use until then
	backoff                    time.Duration     // length of the latest ejection
	probationInFlight          bool              // back from ejection, with one attempt out to try it
	fillLatency, fillLatencyAt time.Duration     // fills: time beyond the sending itself, lately, and when it was seen
	lastHitRejectedAt          time.Duration     // latest sending of what should have been a hit and was refused at once
	minFillLatency             time.Duration     // of the times in which fills from here came; 0: none did
	concurrencyLimit           concurrency.Limit // our attempts that are out here, and those that wait for a fill from here
	workRate                   float64           // work a second that it did for us, lately
	workRateAt                 time.Duration
	slowStartBudget            slowstart.Budget // cold: work in seconds
	load                       loadreport.Load
	listings                   []*mappingEntry // the objects listed here, the worst first
}

// update takes in what a list says of a server.
func (s *endpoint) update(set *Settings, e Endpoint) {
	s.id, s.hash, s.role = e.ID, hash(e.ID), roleCache
	if k := slices.Index(set.Kinds, e.Kind); k >= 0 && k == set.ParentKind {
		s.role = roleParent
	} else if k == set.OriginKind {
		s.role = roleOrigin
	}
	s.zone, s.cell, s.up = slices.Index(set.Zones, e.Zone), e.Cell, e.Phase == Up
	s.weight = cmp.Or(max(0, e.Weight), 1)
}

// transferSlots is how many transfers a server's link bears; 0: not told.
func (s *endpoint) transferSlots(told bool) float64 {
	if !told {
		return 0
	}
	return s.weight
}

// mappingEntry is a row of the mapping table: one part of one object.
type mappingEntry struct {
	key                  uint64
	cache                *endpoint     // cache that serves it; nil: not known
	cacheIncarnation     time.Duration // of that cache when it was listed
	movedAt              time.Duration // when the listing last moved
	lastHit              time.Duration // latest hit
	copySeenAt           time.Duration // sending of the latest request that it served, or the filling that was told
	lastRequest, meanGap time.Duration // latest request, and smoothed gap between requests
	recentRequests       float64       // recent requests
	transferTime         time.Duration // where sizes aren't told: its quickest answer yet
	listedAt             *endpoint     // whose list holds it
	listedIncarnation    time.Duration
	recency              *list.Element // its place in the order of use
}

type request struct {
	Request
	class               *class
	maxAttempts         int // 0: no limit
	key                 uint64
	entry               *mappingEntry // nil: never kept
	transferTime        time.Duration // sending time at full pace
	costPerWeight       float64       // what it costs for its worth
	draw                float64       // drawn once, for limits that are not whole
	token               uint64
	startedAt           time.Duration
	attempts            []*attempt
	failedEndpoints     []*endpoint // servers that failed it
	suspects            []*endpoint // those at fault unless the request is
	streaming, finished bool
	retryPending        bool // another attempt is wanted once those out have ended
}

type attempt struct {
	target, fillSource   *endpoint
	sentAt               time.Duration
	slowStartCost        float64 // as a cold server counts it: work in seconds
	cacheRank            int
	inFlight, mayHaveRun bool // it has no outcome yet; it may have run
	probation            bool // it tries a server that was ejected
	fillExpected         bool // a fill from source is expected
	onlyIfCached         bool // from what the source holds
	rejectedByCache      bool // refused by the cache itself
	sharedFault          bool // late or failed by what lies behind the source
	overdue              bool // an answer was due by now
}
