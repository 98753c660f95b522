package routing

import (
	"cmp"
	"slices"
	"time"

	"larchusher/concurrency"
	"larchusher/loadreport"
	"larchusher/slowstart"
)

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

func (d *Director) updateEndpoints(m EndpointUpdate) {
	if m.Kind == WatchLost {
		if d.set.PollDiscovery {
			d.emit(SetTimer{At: d.now + d.set.PollWithin/10, Token: pollToken})
		}
		return
	}
	if m.Kind == StaleList && d.set.Gossip {
		d.emit(SendGossip{To: AllDirectors, Data: greeting(d.zone)})
	}
	if m.Kind == StaleList && d.set.PollDiscovery {
		d.emit(PollEndpoints{})
	}
	for _, s := range d.endpoints {
		s.up = s.up && m.Kind == DeltaList
	}
	for _, e := range m.Endpoints {
		s := d.endpoints[e.ID]
		if s == nil {
			s = &endpoint{}
			d.endpoints[e.ID] = s
		}
		if s.id == "" || s.incarnation != e.Incarnation { // a restart is a new, empty server; attempts may still be out
			out := s.concurrencyLimit.InFlight
			*s = endpoint{incarnation: e.Incarnation, concurrencyLimit: concurrency.Unlimited()}
			s.concurrencyLimit.InFlight = out
		}
		s.update(&d.set, e)
		if e.Phase == Removed {
			delete(d.endpoints, e.ID) // attempts that are out hold on to it
		}
	}
	d.inUse = [3][]*endpoint{}
	for _, s := range d.endpoints {
		if s.up && (s.role != roleCache || s.zone == d.zone) {
			d.inUse[s.role] = append(d.inUse[s.role], s)
		}
	}
	for _, s := range d.endpoints {
		s.concurrencyLimit.Min = max(minDirectorLimit, minSharedLimit/d.senders(s.role))
	}
	d.originFetches.Min = max(minDirectorLimit, minSharedLimit*float64(len(d.inUse[roleParent]))/d.senders(roleOrigin))
	for _, l := range d.inUse {
		slices.SortFunc(l, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	}
}
