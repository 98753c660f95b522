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
	"larchusher/loadreport"
	"larchusher/purge"
	"larchusher/slowstart"
)

const (
	listedCacheProbability = 0.98             // chance of using the listed cache (the paper's value)
	listingGapRatio        = 0.5              // a fill must beat this share of the worst listed gap (the paper's value)
	listingsPerCache       = 256              // objects listed per cache
	tableListMultiple      = 16               // entries remembered, in multiples of what all lists of the location hold
	topRankRequests        = 4                // recent requests that earn the top rank
	middleRankRequests     = 1.3              // and the middle one
	unknownGap             = time.Hour        // gap of an object seen once
	requestCountDecay      = 15 * time.Second // requests count for a rank for so long

	averageWeight          = 0.1 // weight of the newest sample in moving averages
	retriesPerSuccess      = 0.1 // further attempts earned by one success
	maxSavedRetries        = 10  // further attempts that can be saved up
	maxErrorAttempts       = 3   // from this attempt on an error ends the request, which may be at fault itself
	hedgesPerLostAnswer    = 10  // second copies earned by one answer that never came; twice that can be saved up
	ejectionErrorRate      = 0.4 // share of recent attempts failing that ejects a server
	errorRateWeight        = 0.2 // weight of the newest in it: three failures in a row eject
	outlierErrorMultiple   = 1.6 // times the share of untold errors of its like that ejects a server
	ejectionOverdueAnswers = 3   // answers overdue, with none in between, that eject a server
	minInUseShare          = 0.5 // share of the caches here, or of the parents, that stays in use whatever their health
	clientRetryQuota       = 0.8 // a client's repeat stops at this share of the limit
	minSharedLimit         = 2   // a limit is not cut below this, shared by all directors,
	minDirectorLimit       = 0.1 // nor below this for each
	transferTimeGuess      = 0.1 // sending time, as a share of the aim, where nothing tells of sizes yet
	promptRejectionRatio   = 4   // a refusal that came this many times sooner than any fill asked no source
	fillLatencyAdvantage   = 2   // a parent is quicker than another if it waits this many times less

	firstEjection = time.Second     // length of a first ejection
	maxEjection   = 8 * time.Second // of the longest: each further one doubles
	recentWindow  = 3 * time.Second // work is averaged over this; waits and hits are recent within it

	sharedFaultWindow = 2 * time.Second       // late fills by two sources within this speak of what is behind both
	gossipInterval    = 50 * time.Millisecond // moves are gathered for this long before they are told
	gossipToken       = 0                     // timer for sending them; requests' tokens start at 1
	pollToken         = math.MaxUint64 >> 1   // timer for asking discovery again
)

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

// ---- members ----

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

// ---- mapping table ----

// recordRequest finds or makes the row of a key, and counts a request for it.
func (d *Director) recordRequest(key uint64) *mappingEntry {
	e := d.table[key]
	if e == nil {
		e = &mappingEntry{key: key, meanGap: unknownGap, lastRequest: d.now, recentRequests: 1}
		e.recency = d.byRecency.PushFront(e)
		d.table[key] = e
		if len(d.table) > tableListMultiple*listingsPerCache*max(1, len(d.inUse[roleCache])) {
			old := d.byRecency.Remove(d.byRecency.Back()).(*mappingEntry)
			old.unlist()
			delete(d.table, old.key)
		}
		return e
	}
	in, was := e.listedAt, e.isListed()
	e.unlist()
	gap := d.now - e.lastRequest
	if e.meanGap == unknownGap {
		e.meanGap = gap
	}
	e.meanGap, e.lastRequest = (3*e.meanGap+gap)/4, d.now
	e.recentRequests = e.recentRequests*math.Exp(-float64(gap)/float64(requestCountDecay)) + 1
	d.byRecency.MoveToFront(e.recency)
	if was {
		e.relist(in)
	}
	return e
}

// list puts an entry on a cache's list and returns the rank at which the fill is kept: the middle one
// until the list is full, then the top one if it passes the halving test against the worst, else the lowest.
func (d *Director) list(e *mappingEntry, s *endpoint, detour bool) int {
	full := len(s.listings) >= listingsPerCache
	passes := len(s.listings) > 0 && float64(e.currentGap(d.now)) < listingGapRatio*float64(s.listings[0].currentGap(d.now))
	switch {
	case e.isListed() && e.listedAt == s:
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

// rankAfterHit is the rank that a hit gives: by the requests lately. Each of many directors sees its part of them,
// so what counts beyond the first is their part of what one alone would see. Objects above the class's mean
// size don't get the top rank, so that it holds a small share of the bytes.
func (d *Director) rankAfterHit(r *request) int {
	more := (r.entry.recentRequests - 1) * d.senders(roleCache)
	switch {
	case more >= topRankRequests-1 && r.transferTime <= r.class.meanTransferTime:
		return 3
	case more >= middleRankRequests-1:
		return 2
	}
	return 1
}

// ---- choice of cache and source ----

// preferenceOrder are the servers in the shared hash order of a key.
func (d *Director) preferenceOrder(key uint64, from []*endpoint) []*endpoint {
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
	listed := e != nil && e.cache != nil && e.hitExpectedAt(e.cache) && ok(e.cache)
	// A cache at its limit is relieved, whatever filled it: the next of the object's homes that has room
	// serves, where copies gather in the shared order. The limits on sources bound what the extra fills cost.
	relief := listed && !d.fitsObjective(e.cache, r)
	if listed && !relief {
		l := slices.Clone(d.inUse[roleCache])
		l = slices.DeleteFunc(l, func(s *endpoint) bool { return s == e.cache || !ok(s) })
		if len(r.failedEndpoints) > 0 || len(l) == 0 || d.rng.Float64() < listedCacheProbability {
			return d.rebalance(e.cache, l, true), false
		}
		return l[d.rng.IntN(len(l))], true
	}
	homes := slices.DeleteFunc(d.preferenceOrder(r.key, d.inUse[roleCache]), func(s *endpoint) bool { return !ok(s) })
	for _, s := range homes {
		if !relief || s != e.cache && d.fitsObjective(s, r) {
			return d.rebalance(s, homes, false), false
		}
	}
	if relief {
		return e.cache, false
	}
	return nil, false
}

// rebalance gives the least busy of others in place of a cache that is crowded beside it. What is listed moves
// along, so few are moved at a time. Guards against popular objects that met at one cache by their hashes.
func (d *Director) rebalance(s *endpoint, others []*endpoint, held bool) *endpoint {
	best, gap := s, 0.0
	for _, o := range others {
		if d.isWarm(o) && loadreport.Imbalance(d.now, &s.load, &o.load) > gap {
			best, gap = o, loadreport.Imbalance(d.now, &s.load, &o.load)
		}
	}
	if gap > 0 && d.rng.Float64() >= loadreport.MoveProbability(gap, held) {
		return s
	}
	return best
}

// pickFillSource chooses who fills a miss: of the object's first two usable parents the quicker one, else the
// origin. Quicker by less than a multiple is a tie, which the shared order decides: two directors that differ
// in it would have both parents fetch and keep the object. A wait that was not seen for long is forgotten.
func (d *Director) pickFillSource(r *request) *endpoint {
	var pair []*endpoint
	for _, p := range d.preferenceOrder(r.key, d.inUse[roleParent]) {
		if d.usable(p, r) && !slices.Contains(r.failedEndpoints, p) && len(pair) < 2 {
			pair = append(pair, p)
		}
	}
	if len(pair) == 2 && pair[1].recentFillLatency(d.now)*fillLatencyAdvantage < pair[0].recentFillLatency(d.now) {
		return pair[1]
	}
	// With none in health the origin fills, within the limit on fetches: the floor is for want of any other.
	if o := d.inUse[roleOrigin]; len(o) > 0 && !(slices.ContainsFunc(pair, d.healthy) ||
		len(pair) > 0 && !d.hasCapacity(&d.originFetches, r)) {
		return o[0]
	}
	if len(pair) == 0 {
		return nil
	}
	return pair[0]
}

// ---- attempts and answers ----

func (d *Director) startRequest(q Request) {
	c := d.classOf(q)
	if d.requests[q.ID] != nil {
		return
	}
	known := len(d.set.Tenants) == 0 || slices.Contains(d.set.Tenants, q.Tenant)
	if c == nil || q.Deadline <= d.now || !known {
		d.emit(Reject{ID: q.ID, RetryAfter: d.retryAfter()})
		return
	}
	r := &request{Request: q, class: c, maxAttempts: d.set.MaxAttempts, startedAt: d.now, draw: d.rng.Float64(),
		key: mix(hash(q.Object) + uint64(q.Part))}
	if !c.Uncacheable && !q.Write {
		r.entry = d.recordRequest(r.key)
	}
	d.estimateTransferTime(r)
	r.costPerWeight = concurrency.CostPerWeight(r.transferTime, c.PriorityWeight)
	d.meanCost.Observe(r.costPerWeight)
	d.lastToken++
	r.token = d.lastToken
	d.requests[q.ID], d.tokens[r.token] = r, r
	d.emit(SetTimer{At: max(d.now+d.set.ClockStep, q.Deadline-d.set.ClockStep), Token: r.token, RequestID: r.ID})
	d.forward(r)
}

// objectiveAt is when the request loses most of its worth.
func (r *request) objectiveAt() time.Duration {
	return min(r.startedAt+r.class.LatencyObjective+time.Duration(r.class.ObjectiveStretch*float64(r.transferTime)), r.Deadline)
}

// forward sends the request on, or gives it up at once.
func (d *Director) forward(r *request) {
	if r.retryPending = r.hasInFlight() && !d.set.HedgedRequests; r.retryPending {
		return
	}
	e, a, detour := r.entry, &attempt{sentAt: d.now, inFlight: true, slowStartCost: d.slowStartCost(r)}, false
	if origins := d.inUse[roleOrigin]; e == nil { // never kept: it runs at the origin, straight where allowed
		if len(origins) > 0 {
			a.target, a.fillSource = origins[0], origins[0]
		}
		if !d.set.AllowBypass {
			a.target, _ = d.pickCache(r)
		}
	} else if a.target, detour = d.pickCache(r); a.target != nil {
		if a.fillSource = d.pickFillSource(r); detour && d.set.Siblings != NoSiblings && e.lastHit > 0 &&
			d.now-e.lastHit < recentWindow && d.usable(e.cache, r) {
			a.fillSource = e.cache
		} else if a.fillSource == nil {
			a.fillSource = a.target
		}
	} else if a.target = d.pickFillSource(r); d.set.AllowBypass && a.target != nil { // no cache is left
		if a.fillSource = a.target; a.target.role == roleParent && len(origins) > 0 {
			a.fillSource = origins[0]
		}
	}
	a.fillExpected = a.fillSource != a.target && (e == nil || !e.hitExpectedAt(a.target) || d.copyGone(r))
	if a.target == nil || a.fillSource == nil || r.Deadline-d.now <= r.transferTime || !d.repeatAllowed(r, a.target, nil) ||
		r.maxAttempts > 0 && len(r.attempts) >= r.maxAttempts ||
		e != nil && (len(r.attempts) == 0 && !d.fitsObjective(a.target, r) || !d.fillAllowed(r, a)) {
		if !r.hasInFlight() {
			d.rejectOrFail(r)
		}
		return
	}
	if e != nil && a.target.role == roleCache {
		if a.cacheRank = d.list(e, a.target, detour); e.cache == a.target && e.lastHit > 0 && e.movedAt <= e.lastHit {
			a.cacheRank = d.rankAfterHit(r)
		}
	}
	r.attempts = append(r.attempts, a)
	d.spendSlowStart(a.target, a.slowStartCost)
	if a.fillSource != a.target {
		d.spendSlowStart(a.fillSource, a.slowStartCost)
	}
	d.countInFlight(a, 1)
	a.probation = a.target.backoff > 0
	a.target.probationInFlight = a.target.probationInFlight || a.probation
	d.emit(ForwardAttempt{ID: r.ID, Endpoint: a.target.id, FillSource: a.fillSource.id, Timeout: r.Deadline - d.now, MaxAge: d.maxAge(r),
		CacheRank: a.cacheRank, Coalesce: d.set.AllowCoalescing, OnlyIfCached: a.onlyIfCached, RefreshAhead: e != nil && r.class.FreshFor > 0})
	at := r.objectiveAt() - r.transferTime - r.class.LatencyObjective/3 // from then on another attempt would miss the aim
	d.emit(SetTimer{At: max(at, d.now+r.class.LatencyObjective/3+r.transferTime), Token: r.token, RequestID: r.ID})
}

// fillAllowed says whether a fill may be asked for now. Where fetches from the origin are at their limit a
// parent is asked for what it holds: that spares the origin, and costs little where it lacks the object. This
// goes for attempts that should hit, too: a copy may have been purged, dropped or grown too old. May hurt
// where the origin is well and the parents' links are full.
func (d *Director) fillAllowed(r *request, a *attempt) bool {
	fetch := d.hasCapacity(&d.originFetches, r)
	switch a.onlyIfCached = a.fillSource.role == roleParent && !fetch; {
	case a.fillExpected && a.fillSource.role == roleParent:
		return d.hasCapacity(&a.fillSource.concurrencyLimit, r)
	case a.fillSource.role == roleOrigin && !fetch && a.fillExpected:
		return false
	case a.fillSource.role == roleOrigin && !fetch:
		a.fillSource = a.target
	}
	return true
}

// copyGone says that no copy can be left where an object is listed. Guards the sources against fills that nobody
// counts, when the copies of many objects go at once.
func (d *Director) copyGone(r *request) bool {
	at, purged := d.purged.Latest(d.now, r.Object, r.Group)
	return copyOutdated(d.now, r.entry.copySeenAt, at, purged, r.class.FreshFor)
}

// countInFlight books an attempt where it is out.
func (d *Director) countInFlight(a *attempt, n int) {
	a.target.concurrencyLimit.InFlight += n
	if a.fillExpected && a.fillSource != a.target {
		a.fillSource.concurrencyLimit.InFlight += n
		if !a.onlyIfCached && a.fillSource.role != roleCache {
			d.originFetches.InFlight += n
		}
	}
}

func (r *request) hasInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

// checkProgress looks at a request that takes long: a silent server is left for another one.
func (d *Director) checkProgress(r *request) {
	if d.now >= r.Deadline-d.set.ClockStep && !r.streaming {
		d.rejectOrFail(r)
	}
	if r.finished || r.streaming || !r.hasInFlight() {
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
		if s.overdueAnswers >= ejectionOverdueAnswers {
			d.recordFailure(s, true)
			if d.retryBudget >= 1 && r.class.Effect == Idempotent {
				d.retryBudget--
				r.failedEndpoints = append(r.failedEndpoints, s)
				if d.set.CanCancel {
					d.emit(CancelAttempt{ID: r.ID, Attempt: len(r.attempts) - 1})
				}
				d.forward(r)
				return
			}
		}
	}
	if d.shouldHedge(r, a) {
		d.hedgeBudget--
		d.forward(r)
		return
	}
	d.emit(SetTimer{At: d.now + max(d.set.ClockStep, r.class.LatencyObjective/2), Token: r.token, RequestID: r.ID})
}

// rejectOrFail gives the final answer at once: a refusal where trying again is harmless, else a failure.
func (d *Director) rejectOrFail(r *request) {
	d.cancelInFlight(r)
	harmless := r.class.Effect == Idempotent || r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll
	if harmless || r.mayHaveRun(nil) == nil {
		d.emit(Reject{ID: r.ID, RetryAfter: d.retryAfter()})
	} else {
		d.emit(Fail{ID: r.ID})
	}
	r.finished = true
	d.release(r)
}

// retryAfter is when a refused client may come back, spread so that not all do at once.
func (d *Director) retryAfter() time.Duration {
	if !d.set.SendRetryAfter {
		return 0
	}
	return d.set.MaxRetryAfter/2 + time.Duration(d.rng.Int64N(int64(d.set.MaxRetryAfter/2+1)))
}

// release drops what is over; outcomes still due find the request while it has attempts out.
func (d *Director) release(r *request) {
	delete(d.tokens, r.token)
	if !r.hasInFlight() {
		delete(d.requests, r.ID)
	}
}

func (d *Director) handleResult(o AttemptResult) {
	r := d.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := r.attempts[o.Attempt]
	a.inFlight = false
	a.target.probationInFlight = a.target.probationInFlight && !a.probation
	d.countInFlight(a, -1)
	if share, ok := d.loadFields.Utilization(o.LoadReport, a.target.transferSlots(d.set.WeightsKnown)); ok {
		a.target.load.Observe(d.now, share)
	}
	d.learnFromResult(r, a, o)
	switch {
	case r.finished || o.Final:
		if !r.finished {
			d.cancelInFlight(r)
		}
		r.finished = true
		d.release(r)
	case r.retryPending:
		d.forward(r)
	case r.hasInFlight():
	case o.Status == Miss && (a.onlyIfCached || a.fillSource == a.target): // what could fill it is at its limit
		d.rejectOrFail(r)
	case d.now >= r.Deadline-d.set.ClockStep || d.retryBudget < 1,
		o.Status == ServerError && len(r.attempts) >= maxErrorAttempts:
		d.rejectOrFail(r)
	default:
		d.retryBudget--
		d.forward(r)
	}
}

// cancelInFlight stops waiting for the attempts that are out, where that is allowed.
func (d *Director) cancelInFlight(r *request) {
	for i, a := range r.attempts {
		if a.inFlight && d.set.CanCancel {
			d.emit(CancelAttempt{ID: r.ID, Attempt: i})
		}
	}
}

// learnFromResult moves the table and the health of those involved by an outcome.
func (d *Director) learnFromResult(r *request, a *attempt, o AttemptResult) {
	seen := evidence{hitExpected: !a.fillExpected, served: o.Status == OK, late: a.sentAt+o.Latency > r.objectiveAt()}
	hit := o.Status == OK && (o.Reason == ReasonHit || o.Reason == ReasonStale) || d.hitUnknown(a, o) && seen.isHit()
	if hit && a.fillSource != a.target {
		a.fillSource.slowStartBudget.Refund(a.slowStartCost) // it was not asked
	}
	if o.SizeKB > 0 && o.Status == OK && d.set.FlowKBps > 0 { // now it is known how long it had to take
		d.learnSize(r, o.SizeKB)
	}
	a.mayHaveRun = !slices.Contains([]Status{Rejected, ConnectFailed, NotSent, Miss}, o.Status)
	d.updateLimits(r, a, o, hit)
	switch o.Status {
	case OK:
		d.retryBudget = min(maxSavedRetries, d.retryBudget+retriesPerSuccess)
		d.confirmSuspects(r)
		d.recordSuccess(a.target)
		a.target.lastSuccessSentAt = max(a.target.lastSuccessSentAt, a.sentAt)
		a.target.recordWork(d.now, d.completedWork(r))
		d.updateCarriedRate(a.target.role)
		if !hit && a.fillSource != a.target {
			if o.Reason != ReasonCoalesced {
				a.fillSource.recordWork(d.now, d.completedWork(r))
			}
			d.recordSuccess(a.fillSource)
			a.fillSource.lastSuccessSentAt = max(a.fillSource.lastSuccessSentAt, a.sentAt)
			a.fillSource.fillLatency += time.Duration(averageWeight * float64(max(0, o.Latency-r.transferTime)-a.fillSource.fillLatency))
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
			d.recordUnattributedError(bad)
		default:
			d.recordFailure(bad, false)
		}
	case Miss:
		d.confirmSuspects(r)
		if a.onlyIfCached {
			d.recordSuccess(a.fillSource)
		}
	}
	e := r.entry
	if e != nil && o.Status == OK && r.SizeKB <= 0 { // the quickest answer is closest to the sending alone
		if e.transferTime == 0 || o.Latency < e.transferTime {
			e.transferTime = o.Latency
		}
		if hit {
			r.class.meanTransferTime += time.Duration(averageWeight / 10 * float64(e.transferTime-r.class.meanTransferTime))
		}
	}
	if e == nil || o.Status != OK || a.target.role != roleCache || !hit && a.cacheRank == 0 {
		return
	}
	if hit {
		e.lastHit = d.now
	}
	e.copySeenAt = max(e.copySeenAt, a.sentAt)
	if !e.hitExpectedAt(a.target) {
		e.cache, e.cacheIncarnation, e.movedAt = a.target, a.target.incarnation, d.now
		d.queueMove(e)
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

// repeatAllowed says whether the effect rule lets an attempt go to s now, one that is not written left aside.
func (d *Director) repeatAllowed(r *request, s *endpoint, but *attempt) bool {
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

// slowStartRamp is how servers of a role warm up.
func (d *Director) slowStartRamp(of role) slowstart.Ramp {
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

func (d *Director) isWarm(s *endpoint) bool {
	return d.slowStartRamp(s.role).CapacityShare(d.now, s.incarnation) >= 1
}

// slowStartAllows says whether a cold server's budget holds one more attempt.
func (d *Director) slowStartAllows(s *endpoint, r *request) bool {
	if d.isWarm(s) {
		return true
	}
	if d.now < d.slowStartPausedUntil {
		return false
	}
	d.updateCarriedRate(s.role)
	from := slowstart.Sender{Senders: d.knownSenders(s.role), Position: d.senderPosition(s), WarmRate: d.carriedRate[s.role] * s.weight,
		ObservedRate: s.recentWorkRate(d.now), ObservedOver: recentWindow}
	return d.slowStartRamp(s.role).Allows(&s.slowStartBudget, d.now, s.incarnation, d.slowStartCost(r), from)
}

// updateCarriedRate notes what warm servers of a role carry, ill ones too. It holds where none is left.
func (d *Director) updateCarriedRate(of role) {
	rate, weight := 0.0, 0.0
	for _, p := range d.inUse[of] {
		if d.isWarm(p) {
			rate += p.recentWorkRate(d.now)
			weight += p.weight
		}
	}
	if weight > 0 {
		d.carriedRate[of] = rate / weight
	}
}

// senders is the number of directors that send to servers of a role.
func (d *Director) senders(r role) float64 { return max(1, d.knownSenders(r)) }

// knownSenders is that number, or 0 where it is not told.
func (d *Director) knownSenders(r role) float64 {
	if r == roleCache && d.zone < len(d.set.ZoneDirectors) && d.set.ZoneDirectors[d.zone] > 0 {
		return float64(d.set.ZoneDirectors[d.zone])
	}
	return float64(d.set.Directors)
}

func (d *Director) slowStartCost(r *request) float64 { return r.class.meanTransferTime.Seconds() }

// completedWork is the work that serving a request shows a server can do. Guards against small objects, served first
// where room is short, that count as their class's mean: servers seemed to do four times what they can.
func (d *Director) completedWork(r *request) float64 {
	return min(d.slowStartCost(r), r.transferTime.Seconds())
}

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
	return d.maxAge(r), a.inFlight && a.target.up && a.fillSource.up && d.repeatAllowed(r, a.target, a)
}

// ---- hints ----

// queueMove queues a moved listing for this location's directors.
func (d *Director) queueMove(e *mappingEntry) {
	if d.pendingMoves = append(d.pendingMoves, e); len(d.pendingMoves) == 1 {
		d.emit(SetTimer{At: d.now + gossipInterval, Token: gossipToken})
	}
}

// sendMoves tells the location's other directors of the queued moves.
func (d *Director) sendMoves() {
	for _, msg := range encodePendingMoves(d.now, d.zone, d.pendingMoves) {
		for n := range d.set.Directors {
			if d.localDirectors[n] {
				d.emit(SendGossip{To: n, Data: msg})
			}
		}
	}
	d.pendingMoves = d.pendingMoves[:0]
}

// receiveGossip takes a peer's message whole, or drops it whole.
func (d *Director) receiveGossip(p GossipReceived) {
	zone, id, tips, err := decodeGossip(p.Data)
	if err != nil || !d.set.Gossip || zone != d.zone || p.From == d.set.Index || p.From < 0 ||
		p.From >= d.set.Directors {
		return
	}
	if id == "" {
		if !d.localDirectors[p.From] {
			d.localDirectors[p.From] = true
			d.emit(SendGossip{To: p.From, Data: greeting(d.zone)})
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
			e = d.recordRequest(t.key)
			e.recentRequests = 0
		}
		if moved := d.now - t.age; moved > e.movedAt {
			e.cache, e.cacheIncarnation, e.movedAt, e.copySeenAt = s, s.incarnation, moved, moved
		}
	}
}
