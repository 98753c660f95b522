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
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	own       uint64 // drawn for this director alone
	out       []Action
	zone      int
	classes   map[string]*class
	servers   map[string]*server
	inUse     [3][]*server // by role, those that are up, in order of id; caches of this location only
	table     map[uint64]*entry
	used      *list.List // the table's entries, the latest used first
	requests  map[string]*request
	tokens    map[uint64]*request // by the token of their timers
	token     uint64
	spare     float64    // further attempts that recent success has earned
	doubt     [3]float64 // by role, share of recent attempts that ended in an error of no told cause
	copies    float64    // second copies that lost answers have earned
	purged    *purge.Registry
	prices    concurrency.MeanCost
	loads     loadreport.Fields
	carried   [3]float64        // by role, work a second for each weight that warm ones carried for us
	fetches   concurrency.Limit // fills that may go through to the origin
	lateBy    *server           // parent of the latest late fill
	moves     []*entry          // still to be told
	neighbor  map[int]bool      // directors known to serve this location
	coldPause time.Duration     // nothing is sent to cold servers until then
}

type class struct {
	Class
	work  time.Duration // mean sending time seen
	sized int           // answers whose size was told
}

type role int

const (
	cache role = iota
	parent
	origin
)

// server is a member that discovery has named.
type server struct {
	id         string
	hash       uint64
	role       role
	zone, cell int
	weight     float64
	boot       time.Duration
	up         bool

	lastOK         time.Duration     // latest answer of any use
	overdue        int               // answers that were due since then
	lateAt         time.Duration     // latest late fill by it
	passed         time.Duration     // latest sending that it answered well, by itself or as a source
	failing        float64           // share of recent attempts that failed
	doubt          float64           // and that ended in an error of no told cause
	ejected        time.Duration     // out of use until then
	penalty        time.Duration     // length of the latest ejection
	trial          bool              // back from ejection, with one attempt out to try it
	quick, quickAt time.Duration     // fills: time beyond the sending itself, lately, and when it was seen
	closed         time.Duration     // latest sending of what should have been a hit and was refused at once
	least          time.Duration     // of the times in which fills from here came; 0: none did
	held           concurrency.Limit // our attempts that are out here, and those that wait for a fill from here
	rate           float64           // work a second that it did for us, lately
	rateAt         time.Duration
	budget         slowstart.Budget // cold: work in seconds
	load           loadreport.Load
	list           []*entry // the objects listed here, the worst first
}

// placed takes in what a list says of a server.
func (s *server) placed(set *Settings, e Endpoint) {
	s.id, s.hash, s.role = e.ID, hash(e.ID), cache
	if k := slices.Index(set.Kinds, e.Kind); k >= 0 && k == set.ParentKind {
		s.role = parent
	} else if k == set.OriginKind {
		s.role = origin
	}
	s.zone, s.cell, s.up = slices.Index(set.Zones, e.Zone), e.Cell, e.Phase == Up
	s.weight = cmp.Or(max(0, e.Weight), 1)
}

// slots is how many transfers a server's link bears; 0: not told.
func (s *server) slots(told bool) float64 {
	if !told {
		return 0
	}
	return s.weight
}

// entry is a row of the mapping table: one part of one object.
type entry struct {
	key       uint64
	at        *server       // cache that serves it; nil: not known
	boot      time.Duration // of that cache when it was listed
	moved     time.Duration // when the listing last moved
	hitAt     time.Duration // latest hit
	had       time.Duration // sending of the latest request that it served, or the filling that was told
	last, avg time.Duration // latest request, and smoothed gap between requests
	count     float64       // recent requests
	work      time.Duration // where sizes aren't told: its quickest answer yet
	in        *server       // whose list holds it
	inBoot    time.Duration
	used      *list.Element // its place in the order of use
}

type request struct {
	Request
	class           *class
	maxAttempts     int // 0: no limit
	key             uint64
	entry           *entry        // nil: never kept
	work            time.Duration // sending time at full pace
	price           float64       // what it costs for its worth
	luck            float64       // drawn once, for limits that are not whole
	token           uint64
	start           time.Duration
	attempts        []*attempt
	tried           []*server // servers that failed it
	blamed          []*server // those at fault unless the request is
	streaming, over bool
	again           bool // another attempt is wanted once those out have ended
}

type attempt struct {
	to, source *server
	sent       time.Duration
	cost       float64 // as a cold server counts it: work in seconds
	keep       int
	out, ran   bool // it has no outcome yet; it may have run
	trial      bool // it tries a server that was ejected
	filling    bool // a fill from source is expected
	onlyHeld   bool // from what the source holds
	own        bool // refused by the cache itself
	shared     bool // late or failed by what lies behind the source
	overdue    bool // an answer was due by now
}
