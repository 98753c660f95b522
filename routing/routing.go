// This file decides, by Adaptive Distributed Caching (Kaiser, Tsui, Liu); the types stand in api.go.

package routing

import (
	"cmp"
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"larchusher/concurrency"
	"larchusher/inference"
	"larchusher/loadreport"
	"larchusher/purge"
	"larchusher/slowstart"
)

const (
	stability  = 0.98             // chance of using the listed cache (the paper's value)
	halving    = 0.5              // a fill must beat this share of the worst listed gap (the paper's value)
	listSize   = 256              // objects listed per cache
	tableSize  = 16               // entries remembered, in multiples of what all lists of the location hold
	topCount   = 4                // recent requests that earn the top rank
	midCount   = 1.3              // and the middle one
	unknownGap = time.Hour        // gap of an object seen once
	recently   = 15 * time.Second // requests count for a rank for so long

	smooth      = 0.1 // weight of the newest sample in moving averages
	retryEarned = 0.1 // further attempts earned by one success
	retryMost   = 10  // further attempts that can be saved up
	errorsMost  = 3   // from this attempt on an error ends the request, which may be at fault itself
	copyEarned  = 10  // second copies earned by one answer that never came; twice that can be saved up
	failMany    = 0.4 // share of recent attempts failing that ejects a server
	failWeight  = 0.2 // weight of the newest in it: three failures in a row eject
	suspectMost = 1.6 // times the share of untold errors of its like that ejects a server
	silentLeast = 3   // answers overdue, with none in between, that eject a server
	inUseLeast  = 0.5 // share of the caches here, or of the parents, that stays in use whatever their health
	limitDown   = 0.8 // a client's repeat stops at this share of the limit
	limitLeast  = 2   // a limit is not cut below this, shared by all directors,
	chanceLeast = 0.1 // nor below this for each
	workGuess   = 0.1 // sending time, as a share of the aim, where nothing tells of sizes yet
	atOnce      = 4   // a refusal that came this many times sooner than any fill asked no source
	quicker     = 2   // a parent is quicker than another if it waits this many times less

	ejectFirst   = time.Second     // length of a first ejection
	ejectLongest = 8 * time.Second // of the longest: each further one doubles
	rateWindow   = 3 * time.Second // work is averaged over this; waits and hits are recent within it

	lateTogether = 2 * time.Second       // late fills by two sources within this speak of what is behind both
	tellEvery    = 50 * time.Millisecond // moves are gathered for this long before they are told
	tellToken    = 0                     // timer for sending them; requests' tokens start at 1
	watchToken   = math.MaxUint64 >> 1   // timer for asking discovery again
)

// New returns a director for the given settings. Equal seeds and events give equal actions.
func New(s Settings, seed uint64) (*Director, error) {
	d := &Director{set: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, endpoints: map[string]*endpoint{},
		table: map[uint64]*mappingEntry{}, requests: map[string]*request{}, tokens: map[uint64]*request{},
		purged: purge.New(s.PurgeSettleTime), loadFields: loadreport.FindFields(s.LoadReportFields), retryBudget: retryMost,
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
		d.members(ev)
	case Request:
		d.request(ev)
	case FirstByte:
		if r := d.requests[ev.ID]; r != nil {
			r.streaming = true
		}
	case AttemptResult:
		d.outcome(ev)
	case Purge:
		d.purged.Record(d.now, ev.Object, ev.Group, d.now-ev.Age)
	case GossipReceived:
		d.hint(ev)
	case ClientGone:
		if r := d.requests[ev.ID]; r != nil {
			r.finished = true
			d.forget(r)
		}
	case Reconfigured:
		d.reconfigure(ev)
	case PauseSlowStart:
		d.slowStartPausedUntil = ev.Until
	case TimerFired:
		if ev.Token == tellToken {
			d.tellMoves()
		} else if ev.Token == watchToken {
			d.do(PollEndpoints{})
		} else if r := d.tokens[ev.Token]; r != nil {
			d.check(r)
		}
	}
	out, d.actions = d.actions, nil
	return out
}

func (d *Director) do(a Action) { d.actions = append(d.actions, a) }

// ---- members ----

func (d *Director) members(m EndpointUpdate) {
	if m.Kind == WatchLost {
		if d.set.PollDiscovery {
			d.do(SetTimer{At: d.now + d.set.PollWithin/10, Token: watchToken})
		}
		return
	}
	if m.Kind == StaleList && d.set.Gossip {
		d.do(SendGossip{To: AllDirectors, Data: greeting(d.zone)})
	}
	if m.Kind == StaleList && d.set.PollDiscovery {
		d.do(PollEndpoints{})
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
		s.placed(&d.set, e)
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
		s.concurrencyLimit.Min = max(chanceLeast, limitLeast/d.sharing(s.role))
	}
	d.originFetches.Min = max(chanceLeast, limitLeast*float64(len(d.inUse[roleParent]))/d.sharing(roleOrigin))
	for _, l := range d.inUse {
		slices.SortFunc(l, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	}
}

// ---- mapping table ----

// visit finds or makes the row of a key, and counts a request for it.
func (d *Director) visit(key uint64) *mappingEntry {
	e := d.table[key]
	if e == nil {
		e = &mappingEntry{key: key, meanGap: unknownGap, lastRequest: d.now, recentRequests: 1}
		e.recency = d.byRecency.PushFront(e)
		d.table[key] = e
		if len(d.table) > tableSize*listSize*max(1, len(d.inUse[roleCache])) {
			old := d.byRecency.Remove(d.byRecency.Back()).(*mappingEntry)
			old.unlist()
			delete(d.table, old.key)
		}
		return e
	}
	in, was := e.listedAt, e.listed()
	e.unlist()
	gap := d.now - e.lastRequest
	if e.meanGap == unknownGap {
		e.meanGap = gap
	}
	e.meanGap, e.lastRequest = (3*e.meanGap+gap)/4, d.now
	e.recentRequests = e.recentRequests*math.Exp(-float64(gap)/float64(recently)) + 1
	d.byRecency.MoveToFront(e.recency)
	if was {
		e.relist(in)
	}
	return e
}

// enlist puts an entry on a cache's list and returns the rank at which the fill is kept: the middle one
// until the list is full, then the top one if it passes the halving test against the worst, else the lowest.
func (d *Director) enlist(e *mappingEntry, s *endpoint, detour bool) int {
	full := len(s.listings) >= listSize
	passes := len(s.listings) > 0 && float64(e.current(d.now)) < halving*float64(s.listings[0].current(d.now))
	switch {
	case e.listed() && e.listedAt == s:
		return 2
	case passes && (full || detour):
		if full {
			s.listings[0].unlist()
		}
		e.unlist()
		e.relist(s)
		return 3
	case detour:
		return 0
	case full:
		return 1
	}
	e.unlist()
	e.relist(s)
	return 2
}

// hitRank is the rank that a hit gives: by the requests lately. Each of many directors sees its part of them,
// so what counts beyond the first is their part of what one alone would see. Objects above the class's mean
// size don't get the top rank, so that it holds a small share of the bytes.
func (d *Director) hitRank(r *request) int {
	more := (r.entry.recentRequests - 1) * d.sharing(roleCache)
	switch {
	case more >= topCount-1 && r.transferTime <= r.class.meanTransferTime:
		return 3
	case more >= midCount-1:
		return 2
	}
	return 1
}

// ---- choice of cache and source ----

// homes are the servers in the shared hash order of a key.
func (d *Director) homes(key uint64, from []*endpoint) []*endpoint {
	l := slices.Clone(from)
	slices.SortStableFunc(l, func(a, b *endpoint) int {
		return cmp.Compare(score(key, b.hash, b.weight), score(key, a.hash, a.weight))
	})
	return l
}

// pickCache chooses the cache for a request. detour says that it is not the listed one by design.
func (d *Director) pickCache(r *request) (s *endpoint, detour bool) {
	e := r.entry
	ok := func(s *endpoint) bool { return d.usable(s, r) && !slices.Contains(r.failedEndpoints, s) }
	listed := e != nil && e.cache != nil && e.likely(e.cache) && ok(e.cache)
	// A cache at its limit is relieved, whatever filled it: the next of the object's homes that has room
	// serves, where copies gather in the shared order. The limits on sources bound what the extra fills cost.
	relief := listed && !d.fits(e.cache, r)
	if listed && !relief {
		l := slices.Clone(d.inUse[roleCache])
		l = slices.DeleteFunc(l, func(s *endpoint) bool { return s == e.cache || !ok(s) })
		if len(r.failedEndpoints) > 0 || len(l) == 0 || d.rng.Float64() < stability {
			return d.relieve(e.cache, l, true), false
		}
		return l[d.rng.IntN(len(l))], true
	}
	homes := slices.DeleteFunc(d.homes(r.key, d.inUse[roleCache]), func(s *endpoint) bool { return !ok(s) })
	for _, s := range homes {
		if !relief || s != e.cache && d.fits(s, r) {
			return d.relieve(s, homes, false), false
		}
	}
	if relief {
		return e.cache, false
	}
	return nil, false
}

// relieve gives the least busy of others in place of a cache that is crowded beside it. What is listed moves
// along, so few are moved at a time. Guards against popular objects that met at one cache by their hashes.
func (d *Director) relieve(s *endpoint, others []*endpoint, held bool) *endpoint {
	best, gap := s, 0.0
	for _, o := range others {
		if d.warm(o) && loadreport.Imbalance(d.now, &s.load, &o.load) > gap {
			best, gap = o, loadreport.Imbalance(d.now, &s.load, &o.load)
		}
	}
	if gap > 0 && d.rng.Float64() >= loadreport.MoveProbability(gap, held) {
		return s
	}
	return best
}

// pickSource chooses who fills a miss: of the object's first two usable parents the quicker one, else the
// origin. Quicker by less than a multiple is a tie, which the shared order decides: two directors that differ
// in it would have both parents fetch and keep the object. A wait that was not seen for long is forgotten.
func (d *Director) pickSource(r *request) *endpoint {
	var pair []*endpoint
	for _, p := range d.homes(r.key, d.inUse[roleParent]) {
		if d.usable(p, r) && !slices.Contains(r.failedEndpoints, p) && len(pair) < 2 {
			pair = append(pair, p)
		}
	}
	if len(pair) == 2 && pair[1].lately(d.now)*quicker < pair[0].lately(d.now) {
		return pair[1]
	}
	// With none in health the origin fills, within the limit on fetches: the floor is for want of any other.
	if o := d.inUse[roleOrigin]; len(o) > 0 && !(slices.ContainsFunc(pair, d.healthy) ||
		len(pair) > 0 && !d.room(&d.originFetches, r)) {
		return o[0]
	}
	if len(pair) == 0 {
		return nil
	}
	return pair[0]
}

// ---- attempts and answers ----

func (d *Director) request(q Request) {
	c := d.classOf(q)
	if d.requests[q.ID] != nil {
		return
	}
	known := len(d.set.Tenants) == 0 || slices.Contains(d.set.Tenants, q.Tenant)
	if c == nil || q.Deadline <= d.now || !known {
		d.do(Reject{ID: q.ID, RetryAfter: d.advice()})
		return
	}
	r := &request{Request: q, class: c, maxAttempts: d.set.MaxAttempts, startedAt: d.now, draw: d.rng.Float64(),
		key: mix(hash(q.Object) + uint64(q.Part))}
	if !c.Uncacheable && !q.Write {
		r.entry = d.visit(r.key)
	}
	d.weigh(r)
	r.costPerWeight = concurrency.CostPerWeight(r.transferTime, c.PriorityWeight)
	d.meanCost.Observe(r.costPerWeight)
	d.lastToken++
	r.token = d.lastToken
	d.requests[q.ID], d.tokens[r.token] = r, r
	d.do(SetTimer{At: max(d.now+d.set.ClockStep, q.Deadline-d.set.ClockStep), Token: r.token, RequestID: r.ID})
	d.attempt(r)
}

// aim is when the request loses most of its worth.
func (r *request) aim() time.Duration {
	return min(r.startedAt+r.class.LatencyObjective+time.Duration(r.class.ObjectiveStretch*float64(r.transferTime)), r.Deadline)
}

// attempt sends the request on, or gives it up at once.
func (d *Director) attempt(r *request) {
	if r.retryPending = r.outstanding() && !d.set.HedgedRequests; r.retryPending {
		return
	}
	e, a, detour := r.entry, &attempt{sentAt: d.now, inFlight: true, slowStartCost: d.cost(r)}, false
	if origins := d.inUse[roleOrigin]; e == nil { // never kept: it runs at the origin, straight where allowed
		if len(origins) > 0 {
			a.target, a.fillSource = origins[0], origins[0]
		}
		if !d.set.AllowBypass {
			a.target, _ = d.pickCache(r)
		}
	} else if a.target, detour = d.pickCache(r); a.target != nil {
		if a.fillSource = d.pickSource(r); detour && d.set.Siblings != NoSiblings && e.lastHit > 0 &&
			d.now-e.lastHit < rateWindow && d.usable(e.cache, r) {
			a.fillSource = e.cache
		} else if a.fillSource == nil {
			a.fillSource = a.target
		}
	} else if a.target = d.pickSource(r); d.set.AllowBypass && a.target != nil { // no cache is left
		if a.fillSource = a.target; a.target.role == roleParent && len(origins) > 0 {
			a.fillSource = origins[0]
		}
	}
	a.fillExpected = a.fillSource != a.target && (e == nil || !e.likely(a.target) || d.gone(r))
	if a.target == nil || a.fillSource == nil || r.Deadline-d.now <= r.transferTime || !d.repeatable(r, a.target, nil) ||
		r.maxAttempts > 0 && len(r.attempts) >= r.maxAttempts ||
		e != nil && (len(r.attempts) == 0 && !d.fits(a.target, r) || !d.fillable(r, a)) {
		if !r.outstanding() {
			d.giveUp(r)
		}
		return
	}
	if e != nil && a.target.role == roleCache {
		if a.cacheRank = d.enlist(e, a.target, detour); e.cache == a.target && e.lastHit > 0 && e.movedAt <= e.lastHit {
			a.cacheRank = d.hitRank(r)
		}
	}
	r.attempts = append(r.attempts, a)
	d.spend(a.target, a.slowStartCost)
	if a.fillSource != a.target {
		d.spend(a.fillSource, a.slowStartCost)
	}
	d.count(a, 1)
	a.probation = a.target.backoff > 0
	a.target.probationInFlight = a.target.probationInFlight || a.probation
	d.do(ForwardAttempt{ID: r.ID, Endpoint: a.target.id, FillSource: a.fillSource.id, Timeout: r.Deadline - d.now, MaxAge: d.maxAge(r),
		CacheRank: a.cacheRank, Coalesce: d.set.AllowCoalescing, OnlyIfCached: a.onlyIfCached, RefreshAhead: e != nil && r.class.FreshFor > 0})
	at := r.aim() - r.transferTime - r.class.LatencyObjective/3 // from then on another attempt would miss the aim
	d.do(SetTimer{At: max(at, d.now+r.class.LatencyObjective/3+r.transferTime), Token: r.token, RequestID: r.ID})
}

// fillable says whether a fill may be asked for now. Where fetches from the origin are at their limit a
// parent is asked for what it holds: that spares the origin, and costs little where it lacks the object. This
// goes for attempts that should hit, too: a copy may have been purged, dropped or grown too old. May hurt
// where the origin is well and the parents' links are full.
func (d *Director) fillable(r *request, a *attempt) bool {
	fetch := d.room(&d.originFetches, r)
	switch a.onlyIfCached = a.fillSource.role == roleParent && !fetch; {
	case a.fillExpected && a.fillSource.role == roleParent:
		return d.room(&a.fillSource.concurrencyLimit, r)
	case a.fillSource.role == roleOrigin && !fetch && a.fillExpected:
		return false
	case a.fillSource.role == roleOrigin && !fetch:
		a.fillSource = a.target
	}
	return true
}

// gone says that no copy can be left where an object is listed. Guards the sources against fills that nobody
// counts, when the copies of many objects go at once.
func (d *Director) gone(r *request) bool {
	at, purged := d.purged.Latest(d.now, r.Object, r.Group)
	return inference.Gone(d.now, r.entry.copySeenAt, at, purged, r.class.FreshFor)
}

// count books an attempt where it is out.
func (d *Director) count(a *attempt, n int) {
	a.target.concurrencyLimit.InFlight += n
	if a.fillExpected && a.fillSource != a.target {
		a.fillSource.concurrencyLimit.InFlight += n
		if !a.onlyIfCached && a.fillSource.role != roleCache {
			d.originFetches.InFlight += n
		}
	}
}

func (r *request) outstanding() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

// check looks at a request that takes long: a silent server is left for another one.
func (d *Director) check(r *request) {
	if d.now >= r.Deadline-d.set.ClockStep && !r.streaming {
		d.giveUp(r)
	}
	if r.finished || r.streaming || !r.outstanding() {
		return
	}
	a := r.attempts[len(r.attempts)-1]
	s := a.target
	if a.fillExpected && a.fillSource.role == roleParent {
		if s = a.fillSource; a.target.lastOK < a.sentAt { // whether the cache or the parent is silent can't be told
			s = nil
		}
	} else if a.fillExpected {
		s = nil // the origin is judged by its answers
	}
	if s != nil && a.inFlight && s.lastOK < a.sentAt {
		// An answer was due and nothing at all came: the server is silent, whatever the cause. Merely slow
		// ones answer something in between.
		if !a.overdue {
			a.overdue = true
			s.overdueAnswers++
		}
		if s.overdueAnswers >= silentLeast {
			d.failed(s, true)
			if d.retryBudget >= 1 && r.class.Effect == Idempotent {
				d.retryBudget--
				r.failedEndpoints = append(r.failedEndpoints, s)
				if d.set.CanCancel {
					d.do(CancelAttempt{ID: r.ID, Attempt: len(r.attempts) - 1})
				}
				d.attempt(r)
				return
			}
		}
	}
	if d.doubtful(r, a) {
		d.hedgeBudget--
		d.attempt(r)
		return
	}
	d.do(SetTimer{At: d.now + max(d.set.ClockStep, r.class.LatencyObjective/2), Token: r.token, RequestID: r.ID})
}

// giveUp gives the final answer at once: a refusal where trying again is harmless, else a failure.
func (d *Director) giveUp(r *request) {
	d.cancel(r)
	harmless := r.class.Effect == Idempotent || r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll
	if harmless || r.mayHaveRun(nil) == nil {
		d.do(Reject{ID: r.ID, RetryAfter: d.advice()})
	} else {
		d.do(Fail{ID: r.ID})
	}
	r.finished = true
	d.forget(r)
}

// advice is when a refused client may come back, spread so that not all do at once.
func (d *Director) advice() time.Duration {
	if !d.set.SendRetryAfter {
		return 0
	}
	return d.set.MaxRetryAfter/2 + time.Duration(d.rng.Int64N(int64(d.set.MaxRetryAfter/2+1)))
}

// forget drops what is over; outcomes still due find the request while it has attempts out.
func (d *Director) forget(r *request) {
	delete(d.tokens, r.token)
	if !r.outstanding() {
		delete(d.requests, r.ID)
	}
}

func (d *Director) outcome(o AttemptResult) {
	r := d.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := r.attempts[o.Attempt]
	a.inFlight = false
	a.target.probationInFlight = a.target.probationInFlight && !a.probation
	d.count(a, -1)
	if share, ok := d.loadFields.Utilization(o.LoadReport, a.target.slots(d.set.WeightsKnown)); ok {
		a.target.load.Observe(d.now, share)
	}
	d.learn(r, a, o)
	switch {
	case r.finished || o.Final:
		if !r.finished {
			d.cancel(r)
		}
		r.finished = true
		d.forget(r)
	case r.retryPending:
		d.attempt(r)
	case r.outstanding():
	case o.Status == Miss && (a.onlyIfCached || a.fillSource == a.target): // what could fill it is at its limit
		d.giveUp(r)
	case d.now >= r.Deadline-d.set.ClockStep || d.retryBudget < 1,
		o.Status == ServerError && len(r.attempts) >= errorsMost:
		d.giveUp(r)
	default:
		d.retryBudget--
		d.attempt(r)
	}
}

// cancel stops waiting for the attempts that are out, where that is allowed.
func (d *Director) cancel(r *request) {
	for i, a := range r.attempts {
		if a.inFlight && d.set.CanCancel {
			d.do(CancelAttempt{ID: r.ID, Attempt: i})
		}
	}
}

// learn moves the table and the health of those involved by an outcome.
func (d *Director) learn(r *request, a *attempt, o AttemptResult) {
	seen := inference.Answer{Expected: !a.fillExpected, OK: o.Status == OK, Late: a.sentAt+o.Latency > r.aim()}
	hit := o.Status == OK && (o.Reason == ReasonHit || o.Reason == ReasonStale) || d.untold(a, o) && seen.Hit()
	if hit && a.fillSource != a.target {
		a.fillSource.slowStartBudget.Refund(a.slowStartCost) // it was not asked
	}
	if o.SizeKB > 0 && o.Status == OK && d.set.FlowKBps > 0 { // now it is known how long it had to take
		d.sized(r, o.SizeKB)
	}
	a.mayHaveRun = !slices.Contains([]Status{Rejected, ConnectFailed, NotSent, Miss}, o.Status)
	d.limit(r, a, o, hit)
	switch o.Status {
	case OK:
		d.retryBudget = min(retryMost, d.retryBudget+retryEarned)
		d.land(r)
		d.good(a.target)
		a.target.lastSuccessSentAt = max(a.target.lastSuccessSentAt, a.sentAt)
		a.target.carry(d.now, d.did(r))
		d.gauge(a.target.role)
		if !hit && a.fillSource != a.target {
			if o.Reason != ReasonCoalesced {
				a.fillSource.carry(d.now, d.did(r))
			}
			d.good(a.fillSource)
			a.fillSource.lastSuccessSentAt = max(a.fillSource.lastSuccessSentAt, a.sentAt)
			a.fillSource.fillLatency += time.Duration(smooth * float64(max(0, o.Latency-r.transferTime)-a.fillSource.fillLatency))
			a.fillSource.fillLatencyAt = d.now
			a.fillSource.minFillLatency = min(cmp.Or(a.fillSource.minFillLatency, o.Latency), o.Latency)
		}
	case ServerError, Reset, ConnectFailed, Rejected:
		bad := a.target
		if a.fillSource != a.target && !a.rejectedByCache && (o.Reason >= ReasonSourceRejected || o.Status == Rejected ||
			o.Status == ServerError && o.Reason == ReasonNone && a.fillSource.lastOK < a.target.lastOK) { // untold
			bad = a.fillSource
		}
		r.failedEndpoints = append(r.failedEndpoints, bad)
		switch {
		case o.Reason == ReasonNoFillSlot || o.CollateralReset || bad.role == roleParent && a.sharedFault:
		case o.Status == ServerError && o.Reason == ReasonNone: // or the request is at fault: the next one tells
			r.suspects = append(r.suspects, bad)
			d.suspect(bad)
		default:
			d.failed(bad, false)
		}
	case Miss:
		d.land(r)
		if a.onlyIfCached {
			d.good(a.fillSource)
		}
	}
	e := r.entry
	if e != nil && o.Status == OK && r.SizeKB <= 0 { // the quickest answer is closest to the sending alone
		if e.transferTime == 0 || o.Latency < e.transferTime {
			e.transferTime = o.Latency
		}
		if hit {
			r.class.meanTransferTime += time.Duration(smooth / 10 * float64(e.transferTime-r.class.meanTransferTime))
		}
	}
	if e == nil || o.Status != OK || a.target.role != roleCache || !hit && a.cacheRank == 0 {
		return
	}
	if hit {
		e.lastHit = d.now
	}
	e.copySeenAt = max(e.copySeenAt, a.sentAt)
	if !e.likely(a.target) {
		e.cache, e.cacheIncarnation, e.movedAt = a.target, a.target.incarnation, d.now
		d.move(e)
	}
}

// ---- rule guards ----

// mayHaveRun returns the first attempt that is not known not to have run, but for one.
func (r *request) mayHaveRun(but *attempt) *attempt {
	for _, a := range r.attempts {
		if a != but && (a.inFlight || a.mayHaveRun) {
			return a
		}
	}
	return nil
}

// repeatable says whether the effect rule lets an attempt go to s now, one that is not written left aside.
func (d *Director) repeatable(r *request, s *endpoint, but *attempt) bool {
	first := r.mayHaveRun(but)
	if r.class.Effect == Idempotent || first == nil {
		return true
	}
	if r.class.Effect == NonIdempotent || d.now-first.sentAt >= r.class.DedupWindow-d.set.ClockStep {
		return false
	}
	return (r.class.DedupScope != ScopeZone || s.zone == first.target.zone) &&
		(r.class.DedupScope != ScopeCell || s.cell == first.target.cell)
}

// maxAge is the age limit that keeps an answer younger than the latest live purge; 0 if there is none.
func (d *Director) maxAge(r *request) time.Duration {
	at, ok := d.purged.Latest(d.now, r.Object, r.Group)
	if !ok {
		return 0
	}
	age := max(time.Millisecond, d.now-at-time.Millisecond)
	if r.class.FreshFor > 0 {
		age = min(age, r.class.FreshFor)
	}
	return age
}

// ramp is how servers of a role warm up.
func (d *Director) ramp(of role) slowstart.Ramp {
	switch of {
	case roleCache:
		return slowstart.Ramp{InitialShare: d.set.SlowStartFrom, Duration: d.set.SlowStartFor, OverloadMultiple: d.set.OverloadMultiple,
			OverloadWindow: d.set.OverloadWindow}
	case roleParent:
		return slowstart.Ramp{InitialShare: d.set.ParentSlowStartFrom, Duration: d.set.ParentSlowStartFor,
			OverloadMultiple: d.set.ParentOverloadMultiple, OverloadWindow: d.set.OverloadWindow}
	}
	return slowstart.Ramp{}
}

func (d *Director) warm(s *endpoint) bool {
	return d.ramp(s.role).CapacityShare(d.now, s.incarnation) >= 1
}

// affordable says whether a cold server's budget holds one more attempt.
func (d *Director) affordable(s *endpoint, r *request) bool {
	if d.warm(s) {
		return true
	}
	if d.now < d.slowStartPausedUntil {
		return false
	}
	d.gauge(s.role)
	from := slowstart.Sender{Senders: d.among(s.role), Position: d.place(s), WarmRate: d.carriedRate[s.role] * s.weight,
		ObservedRate: s.recent(d.now), ObservedOver: rateWindow}
	return d.ramp(s.role).Allows(&s.slowStartBudget, d.now, s.incarnation, d.cost(r), from)
}

// gauge notes what warm servers of a role carry, ill ones too. It holds where none is left.
func (d *Director) gauge(of role) {
	rate, weight := 0.0, 0.0
	for _, p := range d.inUse[of] {
		if d.warm(p) {
			rate += p.recent(d.now)
			weight += p.weight
		}
	}
	if weight > 0 {
		d.carriedRate[of] = rate / weight
	}
}

// sharing is the number of directors that send to servers of a role.
func (d *Director) sharing(r role) float64 { return max(1, d.among(r)) }

// among is that number, or 0 where it is not told.
func (d *Director) among(r role) float64 {
	if r == roleCache && d.zone < len(d.set.ZoneDirectors) && d.set.ZoneDirectors[d.zone] > 0 {
		return float64(d.set.ZoneDirectors[d.zone])
	}
	return float64(d.set.Directors)
}

func (d *Director) cost(r *request) float64 { return r.class.meanTransferTime.Seconds() }

// did is the work that serving a request shows a server can do. Guards against small objects, served first
// where room is short, that count as their class's mean: servers seemed to do four times what they can.
func (d *Director) did(r *request) float64 { return min(d.cost(r), r.transferTime.Seconds()) }

// RecheckAttempt says whether an attempt that waited, for its connection say, may still be written at the given
// time, and with which age limit: its store or source may drain by now, the time in which repeats are
// dropped may have passed, or its object may have been purged.
func (d *Director) RecheckAttempt(now time.Duration, id string, number int) (maxAge time.Duration, ok bool) {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.finished {
		return 0, false
	}
	a := r.attempts[number]
	d.now = max(d.now, now)
	return d.maxAge(r), a.inFlight && a.target.up && a.fillSource.up && d.repeatable(r, a.target, a)
}

// ---- hints ----

// move queues a moved listing for this location's directors.
func (d *Director) move(e *mappingEntry) {
	if d.pendingMoves = append(d.pendingMoves, e); len(d.pendingMoves) == 1 {
		d.do(SetTimer{At: d.now + tellEvery, Token: tellToken})
	}
}

// tellMoves tells the location's other directors of the queued moves.
func (d *Director) tellMoves() {
	for _, msg := range encodeMoves(d.now, d.zone, d.pendingMoves) {
		for n := range d.set.Directors {
			if d.localDirectors[n] {
				d.do(SendGossip{To: n, Data: msg})
			}
		}
	}
	d.pendingMoves = d.pendingMoves[:0]
}

// hint takes a peer's message whole, or drops it whole.
func (d *Director) hint(p GossipReceived) {
	zone, id, tips, err := decodeTips(p.Data)
	if err != nil || !d.set.Gossip || zone != d.zone || p.From == d.set.Index || p.From < 0 ||
		p.From >= d.set.Directors {
		return
	}
	if id == "" {
		if !d.localDirectors[p.From] {
			d.localDirectors[p.From] = true
			d.do(SendGossip{To: p.From, Data: greeting(d.zone)})
		}
		return
	}
	s := d.endpoints[id]
	if s == nil || s.role != roleCache || s.zone != d.zone {
		return
	}
	d.localDirectors[p.From] = true
	for _, t := range tips {
		e := d.table[t.key]
		if e == nil {
			e = d.visit(t.key)
			e.recentRequests = 0
		}
		if moved := d.now - t.age; moved > e.movedAt {
			e.cache, e.cacheIncarnation, e.movedAt, e.copySeenAt = s, s.incarnation, moved, moved
		}
	}
}
