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
		classes: map[string]*class{}, servers: map[string]*server{},
		table: map[uint64]*entry{}, requests: map[string]*request{}, tokens: map[uint64]*request{},
		purged: purge.New(s.PurgeSettleTime), loads: loadreport.FindFields(s.LoadReportFields), spare: retryMost,
		fetches: concurrency.Unlimited(), neighbor: map[int]bool{}, used: list.New(), own: mix(seed)}
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
	d.now, d.out = now, out
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
			r.over = true
			d.forget(r)
		}
	case Reconfigured:
		d.reconfigure(ev)
	case PauseSlowStart:
		d.coldPause = ev.Until
	case TimerFired:
		if ev.Token == tellToken {
			d.tellMoves()
		} else if ev.Token == watchToken {
			d.do(PollEndpoints{})
		} else if r := d.tokens[ev.Token]; r != nil {
			d.check(r)
		}
	}
	out, d.out = d.out, nil
	return out
}

func (d *Director) do(a Action) { d.out = append(d.out, a) }

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
	for _, s := range d.servers {
		s.up = s.up && m.Kind == DeltaList
	}
	for _, e := range m.Endpoints {
		s := d.servers[e.ID]
		if s == nil {
			s = &server{}
			d.servers[e.ID] = s
		}
		if s.id == "" || s.boot != e.Incarnation { // a restart is a new, empty server; attempts may still be out
			out := s.held.InFlight
			*s = server{boot: e.Incarnation, held: concurrency.Unlimited()}
			s.held.InFlight = out
		}
		s.placed(&d.set, e)
		if e.Phase == Removed {
			delete(d.servers, e.ID) // attempts that are out hold on to it
		}
	}
	d.inUse = [3][]*server{}
	for _, s := range d.servers {
		if s.up && (s.role != cache || s.zone == d.zone) {
			d.inUse[s.role] = append(d.inUse[s.role], s)
		}
	}
	for _, s := range d.servers {
		s.held.Min = max(chanceLeast, limitLeast/d.sharing(s.role))
	}
	d.fetches.Min = max(chanceLeast, limitLeast*float64(len(d.inUse[parent]))/d.sharing(origin))
	for _, l := range d.inUse {
		slices.SortFunc(l, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	}
}

// ---- mapping table ----

// visit finds or makes the row of a key, and counts a request for it.
func (d *Director) visit(key uint64) *entry {
	e := d.table[key]
	if e == nil {
		e = &entry{key: key, avg: unknownGap, last: d.now, count: 1}
		e.used = d.used.PushFront(e)
		d.table[key] = e
		if len(d.table) > tableSize*listSize*max(1, len(d.inUse[cache])) {
			old := d.used.Remove(d.used.Back()).(*entry)
			old.unlist()
			delete(d.table, old.key)
		}
		return e
	}
	in, was := e.in, e.listed()
	e.unlist()
	gap := d.now - e.last
	if e.avg == unknownGap {
		e.avg = gap
	}
	e.avg, e.last = (3*e.avg+gap)/4, d.now
	e.count = e.count*math.Exp(-float64(gap)/float64(recently)) + 1
	d.used.MoveToFront(e.used)
	if was {
		e.relist(in)
	}
	return e
}

// enlist puts an entry on a cache's list and returns the rank at which the fill is kept: the middle one
// until the list is full, then the top one if it passes the halving test against the worst, else the lowest.
func (d *Director) enlist(e *entry, s *server, detour bool) int {
	full := len(s.list) >= listSize
	passes := len(s.list) > 0 && float64(e.current(d.now)) < halving*float64(s.list[0].current(d.now))
	switch {
	case e.listed() && e.in == s:
		return 2
	case passes && (full || detour):
		if full {
			s.list[0].unlist()
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
	more := (r.entry.count - 1) * d.sharing(cache)
	switch {
	case more >= topCount-1 && r.work <= r.class.work:
		return 3
	case more >= midCount-1:
		return 2
	}
	return 1
}

// ---- choice of cache and source ----

// homes are the servers in the shared hash order of a key.
func (d *Director) homes(key uint64, from []*server) []*server {
	l := slices.Clone(from)
	slices.SortStableFunc(l, func(a, b *server) int {
		return cmp.Compare(score(key, b.hash, b.weight), score(key, a.hash, a.weight))
	})
	return l
}

// pickCache chooses the cache for a request. detour says that it is not the listed one by design.
func (d *Director) pickCache(r *request) (s *server, detour bool) {
	e := r.entry
	ok := func(s *server) bool { return d.usable(s, r) && !slices.Contains(r.tried, s) }
	listed := e != nil && e.at != nil && e.likely(e.at) && ok(e.at)
	// A cache at its limit is relieved, whatever filled it: the next of the object's homes that has room
	// serves, where copies gather in the shared order. The limits on sources bound what the extra fills cost.
	relief := listed && !d.fits(e.at, r)
	if listed && !relief {
		l := slices.Clone(d.inUse[cache])
		l = slices.DeleteFunc(l, func(s *server) bool { return s == e.at || !ok(s) })
		if len(r.tried) > 0 || len(l) == 0 || d.rng.Float64() < stability {
			return d.relieve(e.at, l, true), false
		}
		return l[d.rng.IntN(len(l))], true
	}
	homes := slices.DeleteFunc(d.homes(r.key, d.inUse[cache]), func(s *server) bool { return !ok(s) })
	for _, s := range homes {
		if !relief || s != e.at && d.fits(s, r) {
			return d.relieve(s, homes, false), false
		}
	}
	if relief {
		return e.at, false
	}
	return nil, false
}

// relieve gives the least busy of others in place of a cache that is crowded beside it. What is listed moves
// along, so few are moved at a time. Guards against popular objects that met at one cache by their hashes.
func (d *Director) relieve(s *server, others []*server, held bool) *server {
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
func (d *Director) pickSource(r *request) *server {
	var pair []*server
	for _, p := range d.homes(r.key, d.inUse[parent]) {
		if d.usable(p, r) && !slices.Contains(r.tried, p) && len(pair) < 2 {
			pair = append(pair, p)
		}
	}
	if len(pair) == 2 && pair[1].lately(d.now)*quicker < pair[0].lately(d.now) {
		return pair[1]
	}
	// With none in health the origin fills, within the limit on fetches: the floor is for want of any other.
	if o := d.inUse[origin]; len(o) > 0 && !(slices.ContainsFunc(pair, d.healthy) ||
		len(pair) > 0 && !d.room(&d.fetches, r)) {
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
	r := &request{Request: q, class: c, maxAttempts: d.set.MaxAttempts, start: d.now, luck: d.rng.Float64(),
		key: mix(hash(q.Object) + uint64(q.Part))}
	if !c.Uncacheable && !q.Write {
		r.entry = d.visit(r.key)
	}
	d.weigh(r)
	r.price = concurrency.CostPerWeight(r.work, c.PriorityWeight)
	d.prices.Observe(r.price)
	d.token++
	r.token = d.token
	d.requests[q.ID], d.tokens[r.token] = r, r
	d.do(SetTimer{At: max(d.now+d.set.ClockStep, q.Deadline-d.set.ClockStep), Token: r.token, RequestID: r.ID})
	d.attempt(r)
}

// aim is when the request loses most of its worth.
func (r *request) aim() time.Duration {
	return min(r.start+r.class.LatencyObjective+time.Duration(r.class.ObjectiveStretch*float64(r.work)), r.Deadline)
}

// attempt sends the request on, or gives it up at once.
func (d *Director) attempt(r *request) {
	if r.again = r.outstanding() && !d.set.HedgedRequests; r.again {
		return
	}
	e, a, detour := r.entry, &attempt{sent: d.now, out: true, cost: d.cost(r)}, false
	if origins := d.inUse[origin]; e == nil { // never kept: it runs at the origin, straight where allowed
		if len(origins) > 0 {
			a.to, a.source = origins[0], origins[0]
		}
		if !d.set.AllowBypass {
			a.to, _ = d.pickCache(r)
		}
	} else if a.to, detour = d.pickCache(r); a.to != nil {
		if a.source = d.pickSource(r); detour && d.set.Siblings != NoSiblings && e.hitAt > 0 &&
			d.now-e.hitAt < rateWindow && d.usable(e.at, r) {
			a.source = e.at
		} else if a.source == nil {
			a.source = a.to
		}
	} else if a.to = d.pickSource(r); d.set.AllowBypass && a.to != nil { // no cache is left
		if a.source = a.to; a.to.role == parent && len(origins) > 0 {
			a.source = origins[0]
		}
	}
	a.filling = a.source != a.to && (e == nil || !e.likely(a.to) || d.gone(r))
	if a.to == nil || a.source == nil || r.Deadline-d.now <= r.work || !d.repeatable(r, a.to, nil) ||
		r.maxAttempts > 0 && len(r.attempts) >= r.maxAttempts ||
		e != nil && (len(r.attempts) == 0 && !d.fits(a.to, r) || !d.fillable(r, a)) {
		if !r.outstanding() {
			d.giveUp(r)
		}
		return
	}
	if e != nil && a.to.role == cache {
		if a.keep = d.enlist(e, a.to, detour); e.at == a.to && e.hitAt > 0 && e.moved <= e.hitAt {
			a.keep = d.hitRank(r)
		}
	}
	r.attempts = append(r.attempts, a)
	d.spend(a.to, a.cost)
	if a.source != a.to {
		d.spend(a.source, a.cost)
	}
	d.count(a, 1)
	a.trial = a.to.penalty > 0
	a.to.trial = a.to.trial || a.trial
	d.do(ForwardAttempt{ID: r.ID, Endpoint: a.to.id, FillSource: a.source.id, Timeout: r.Deadline - d.now, MaxAge: d.maxAge(r),
		CacheRank: a.keep, Coalesce: d.set.AllowCoalescing, OnlyIfCached: a.onlyHeld, RefreshAhead: e != nil && r.class.FreshFor > 0})
	at := r.aim() - r.work - r.class.LatencyObjective/3 // from then on another attempt would miss the aim
	d.do(SetTimer{At: max(at, d.now+r.class.LatencyObjective/3+r.work), Token: r.token, RequestID: r.ID})
}

// fillable says whether a fill may be asked for now. Where fetches from the origin are at their limit a
// parent is asked for what it holds: that spares the origin, and costs little where it lacks the object. This
// goes for attempts that should hit, too: a copy may have been purged, dropped or grown too old. May hurt
// where the origin is well and the parents' links are full.
func (d *Director) fillable(r *request, a *attempt) bool {
	fetch := d.room(&d.fetches, r)
	switch a.onlyHeld = a.source.role == parent && !fetch; {
	case a.filling && a.source.role == parent:
		return d.room(&a.source.held, r)
	case a.source.role == origin && !fetch && a.filling:
		return false
	case a.source.role == origin && !fetch:
		a.source = a.to
	}
	return true
}

// gone says that no copy can be left where an object is listed. Guards the sources against fills that nobody
// counts, when the copies of many objects go at once.
func (d *Director) gone(r *request) bool {
	at, purged := d.purged.Latest(d.now, r.Object, r.Group)
	return inference.Gone(d.now, r.entry.had, at, purged, r.class.FreshFor)
}

// count books an attempt where it is out.
func (d *Director) count(a *attempt, n int) {
	a.to.held.InFlight += n
	if a.filling && a.source != a.to {
		a.source.held.InFlight += n
		if !a.onlyHeld && a.source.role != cache {
			d.fetches.InFlight += n
		}
	}
}

func (r *request) outstanding() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.out })
}

// check looks at a request that takes long: a silent server is left for another one.
func (d *Director) check(r *request) {
	if d.now >= r.Deadline-d.set.ClockStep && !r.streaming {
		d.giveUp(r)
	}
	if r.over || r.streaming || !r.outstanding() {
		return
	}
	a := r.attempts[len(r.attempts)-1]
	s := a.to
	if a.filling && a.source.role == parent {
		if s = a.source; a.to.lastOK < a.sent { // whether the cache or the parent is silent can't be told
			s = nil
		}
	} else if a.filling {
		s = nil // the origin is judged by its answers
	}
	if s != nil && a.out && s.lastOK < a.sent {
		// An answer was due and nothing at all came: the server is silent, whatever the cause. Merely slow
		// ones answer something in between.
		if !a.overdue {
			a.overdue = true
			s.overdue++
		}
		if s.overdue >= silentLeast {
			d.failed(s, true)
			if d.spare >= 1 && r.class.Effect == Idempotent {
				d.spare--
				r.tried = append(r.tried, s)
				if d.set.CanCancel {
					d.do(CancelAttempt{ID: r.ID, Attempt: len(r.attempts) - 1})
				}
				d.attempt(r)
				return
			}
		}
	}
	if d.doubtful(r, a) {
		d.copies--
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
	r.over = true
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
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := r.attempts[o.Attempt]
	a.out = false
	a.to.trial = a.to.trial && !a.trial
	d.count(a, -1)
	if share, ok := d.loads.Utilization(o.LoadReport, a.to.slots(d.set.WeightsKnown)); ok {
		a.to.load.Observe(d.now, share)
	}
	d.learn(r, a, o)
	switch {
	case r.over || o.Final:
		if !r.over {
			d.cancel(r)
		}
		r.over = true
		d.forget(r)
	case r.again:
		d.attempt(r)
	case r.outstanding():
	case o.Status == Miss && (a.onlyHeld || a.source == a.to): // what could fill it is at its limit
		d.giveUp(r)
	case d.now >= r.Deadline-d.set.ClockStep || d.spare < 1,
		o.Status == ServerError && len(r.attempts) >= errorsMost:
		d.giveUp(r)
	default:
		d.spare--
		d.attempt(r)
	}
}

// cancel stops waiting for the attempts that are out, where that is allowed.
func (d *Director) cancel(r *request) {
	for i, a := range r.attempts {
		if a.out && d.set.CanCancel {
			d.do(CancelAttempt{ID: r.ID, Attempt: i})
		}
	}
}

// learn moves the table and the health of those involved by an outcome.
func (d *Director) learn(r *request, a *attempt, o AttemptResult) {
	seen := inference.Answer{Expected: !a.filling, OK: o.Status == OK, Late: a.sent+o.Latency > r.aim()}
	hit := o.Status == OK && (o.Reason == ReasonHit || o.Reason == ReasonStale) || d.untold(a, o) && seen.Hit()
	if hit && a.source != a.to {
		a.source.budget.Refund(a.cost) // it was not asked
	}
	if o.SizeKB > 0 && o.Status == OK && d.set.FlowKBps > 0 { // now it is known how long it had to take
		d.sized(r, o.SizeKB)
	}
	a.ran = !slices.Contains([]Status{Rejected, ConnectFailed, NotSent, Miss}, o.Status)
	d.limit(r, a, o, hit)
	switch o.Status {
	case OK:
		d.spare = min(retryMost, d.spare+retryEarned)
		d.land(r)
		d.good(a.to)
		a.to.passed = max(a.to.passed, a.sent)
		a.to.carry(d.now, d.did(r))
		d.gauge(a.to.role)
		if !hit && a.source != a.to {
			if o.Reason != ReasonCoalesced {
				a.source.carry(d.now, d.did(r))
			}
			d.good(a.source)
			a.source.passed = max(a.source.passed, a.sent)
			a.source.quick += time.Duration(smooth * float64(max(0, o.Latency-r.work)-a.source.quick))
			a.source.quickAt = d.now
			a.source.least = min(cmp.Or(a.source.least, o.Latency), o.Latency)
		}
	case ServerError, Reset, ConnectFailed, Rejected:
		bad := a.to
		if a.source != a.to && !a.own && (o.Reason >= ReasonSourceRejected || o.Status == Rejected ||
			o.Status == ServerError && o.Reason == ReasonNone && a.source.lastOK < a.to.lastOK) { // untold
			bad = a.source
		}
		r.tried = append(r.tried, bad)
		switch {
		case o.Reason == ReasonNoFillSlot || o.CollateralReset || bad.role == parent && a.shared:
		case o.Status == ServerError && o.Reason == ReasonNone: // or the request is at fault: the next one tells
			r.blamed = append(r.blamed, bad)
			d.suspect(bad)
		default:
			d.failed(bad, false)
		}
	case Miss:
		d.land(r)
		if a.onlyHeld {
			d.good(a.source)
		}
	}
	e := r.entry
	if e != nil && o.Status == OK && r.SizeKB <= 0 { // the quickest answer is closest to the sending alone
		if e.work == 0 || o.Latency < e.work {
			e.work = o.Latency
		}
		if hit {
			r.class.work += time.Duration(smooth / 10 * float64(e.work-r.class.work))
		}
	}
	if e == nil || o.Status != OK || a.to.role != cache || !hit && a.keep == 0 {
		return
	}
	if hit {
		e.hitAt = d.now
	}
	e.had = max(e.had, a.sent)
	if !e.likely(a.to) {
		e.at, e.boot, e.moved = a.to, a.to.boot, d.now
		d.move(e)
	}
}

// ---- rule guards ----

// mayHaveRun returns the first attempt that is not known not to have run, but for one.
func (r *request) mayHaveRun(but *attempt) *attempt {
	for _, a := range r.attempts {
		if a != but && (a.out || a.ran) {
			return a
		}
	}
	return nil
}

// repeatable says whether the effect rule lets an attempt go to s now, one that is not written left aside.
func (d *Director) repeatable(r *request, s *server, but *attempt) bool {
	first := r.mayHaveRun(but)
	if r.class.Effect == Idempotent || first == nil {
		return true
	}
	if r.class.Effect == NonIdempotent || d.now-first.sent >= r.class.DedupWindow-d.set.ClockStep {
		return false
	}
	return (r.class.DedupScope != ScopeZone || s.zone == first.to.zone) &&
		(r.class.DedupScope != ScopeCell || s.cell == first.to.cell)
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
	case cache:
		return slowstart.Ramp{InitialShare: d.set.SlowStartFrom, Duration: d.set.SlowStartFor, OverloadMultiple: d.set.OverloadMultiple,
			OverloadWindow: d.set.OverloadWindow}
	case parent:
		return slowstart.Ramp{InitialShare: d.set.ParentSlowStartFrom, Duration: d.set.ParentSlowStartFor,
			OverloadMultiple: d.set.ParentOverloadMultiple, OverloadWindow: d.set.OverloadWindow}
	}
	return slowstart.Ramp{}
}

func (d *Director) warm(s *server) bool { return d.ramp(s.role).CapacityShare(d.now, s.boot) >= 1 }

// affordable says whether a cold server's budget holds one more attempt.
func (d *Director) affordable(s *server, r *request) bool {
	if d.warm(s) {
		return true
	}
	if d.now < d.coldPause {
		return false
	}
	d.gauge(s.role)
	from := slowstart.Sender{Senders: d.among(s.role), Position: d.place(s), WarmRate: d.carried[s.role] * s.weight,
		ObservedRate: s.recent(d.now), ObservedOver: rateWindow}
	return d.ramp(s.role).Allows(&s.budget, d.now, s.boot, d.cost(r), from)
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
		d.carried[of] = rate / weight
	}
}

// sharing is the number of directors that send to servers of a role.
func (d *Director) sharing(r role) float64 { return max(1, d.among(r)) }

// among is that number, or 0 where it is not told.
func (d *Director) among(r role) float64 {
	if r == cache && d.zone < len(d.set.ZoneDirectors) && d.set.ZoneDirectors[d.zone] > 0 {
		return float64(d.set.ZoneDirectors[d.zone])
	}
	return float64(d.set.Directors)
}

func (d *Director) cost(r *request) float64 { return r.class.work.Seconds() }

// did is the work that serving a request shows a server can do. Guards against small objects, served first
// where room is short, that count as their class's mean: servers seemed to do four times what they can.
func (d *Director) did(r *request) float64 { return min(d.cost(r), r.work.Seconds()) }

// RecheckAttempt says whether an attempt that waited, for its connection say, may still be written at the given
// time, and with which age limit: its store or source may drain by now, the time in which repeats are
// dropped may have passed, or its object may have been purged.
func (d *Director) RecheckAttempt(now time.Duration, id string, number int) (maxAge time.Duration, ok bool) {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.over {
		return 0, false
	}
	a := r.attempts[number]
	d.now = max(d.now, now)
	return d.maxAge(r), a.out && a.to.up && a.source.up && d.repeatable(r, a.to, a)
}

// ---- hints ----

// move queues a moved listing for this location's directors.
func (d *Director) move(e *entry) {
	if d.moves = append(d.moves, e); len(d.moves) == 1 {
		d.do(SetTimer{At: d.now + tellEvery, Token: tellToken})
	}
}

// tellMoves tells the location's other directors of the queued moves.
func (d *Director) tellMoves() {
	for _, msg := range encodeMoves(d.now, d.zone, d.moves) {
		for n := range d.set.Directors {
			if d.neighbor[n] {
				d.do(SendGossip{To: n, Data: msg})
			}
		}
	}
	d.moves = d.moves[:0]
}

// hint takes a peer's message whole, or drops it whole.
func (d *Director) hint(p GossipReceived) {
	zone, id, tips, err := decodeTips(p.Data)
	if err != nil || !d.set.Gossip || zone != d.zone || p.From == d.set.Index || p.From < 0 ||
		p.From >= d.set.Directors {
		return
	}
	if id == "" {
		if !d.neighbor[p.From] {
			d.neighbor[p.From] = true
			d.do(SendGossip{To: p.From, Data: greeting(d.zone)})
		}
		return
	}
	s := d.servers[id]
	if s == nil || s.role != cache || s.zone != d.zone {
		return
	}
	d.neighbor[p.From] = true
	for _, t := range tips {
		e := d.table[t.key]
		if e == nil {
			e = d.visit(t.key)
			e.count = 0
		}
		if moved := d.now - t.age; moved > e.moved {
			e.at, e.boot, e.moved, e.had = s, s.boot, moved, moved
		}
	}
}
