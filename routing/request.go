package routing

import (
	"slices"
	"time"

	"larchusher/concurrency"
)

// progressCheckDivisor divides a class's latency objective into the wait before an attempt without an answer is looked at.
const progressCheckDivisor = 3

// class is a class of requests and what was learned of it.
type class struct {
	Class
	meanTransferTime time.Duration // moving average of the time that a transfer takes at full pace; 0: none was seen
	sizedAnswers     int           // answers whose size was known
}

// request is a request that is not finished, or has attempts in flight.
type request struct {
	Request
	class           *class
	maxAttempts     int // 0: no limit
	key             uint64
	entry           *mappingEntry // nil: its answer is never cached
	transferTime    time.Duration // at full pace
	costPerWeight   float64       // seconds of transfer for each unit of priority weight
	draw            float64       // a sampling draw in [0, 1), made once, for limits with a fraction
	token           uint64        // of its timers
	startedAt       time.Duration
	attempts        []*attempt
	failedEndpoints []*endpoint // not to be tried again
	pendingErrors   []*endpoint // at fault, unless the request is malformed; see confirmSuspects
	streaming       bool        // the client has the first byte
	finished        bool        // the final answer is given, or the client is gone
	retryPending    bool        // to be forwarded again once the attempts in flight have ended
}

// attempt is one forwarding of a request.
type attempt struct {
	target          *endpoint
	fillSource      *endpoint // who fills a miss; target: nobody
	sentAt          time.Duration
	slowStartCost   float64 // seconds of transfer
	cacheRank       CacheRank
	inFlight        bool // it has no result yet
	mayHaveRun      bool // by its result
	probation       bool // it tries an endpoint that is back from ejection
	fillExpected    bool // no current copy is known at the target
	onlyIfCached    bool // the source gives only what it has cached
	rejectedByCache bool // by the target itself, not by its source
	originAtFault   bool // late or failed by what lies behind the source
	overdue         bool // it counts in the overdue answers of an endpoint
}

// route is where an attempt goes.
type route struct {
	target, fillSource *endpoint // nil: there is none
	exploring          bool      // target is another cache than the listed one by design
}

// startRequest takes in a request, and forwards it or answers it at once.
func (d *Director) startRequest(q Request) {
	if d.requests[q.ID] != nil {
		return
	}
	c := d.classOf(q)
	if c == nil || !d.knownTenant(q.Tenant) { // coming back cannot help
		d.emit(Reject{ID: q.ID})
		return
	}
	if q.Deadline <= d.now {
		d.emit(Reject{ID: q.ID, RetryAfter: d.retryAfter()})
		return
	}
	r := &request{
		Request:     q,
		class:       c,
		maxAttempts: d.settings.MaxAttempts,
		key:         mix(hash(q.Object) + uint64(q.Part)),
		draw:        d.rng.Float64(),
		startedAt:   d.now,
	}
	if !c.Uncacheable && !q.Write {
		r.entry = d.recordRequest(r.key)
	}
	d.estimateTransferTime(r)
	r.costPerWeight = concurrency.CostPerWeight(r.transferTime, c.PriorityWeight)
	d.meanCost.Observe(r.costPerWeight)
	d.lastToken++
	r.token = d.lastToken
	d.requests[q.ID] = r
	d.tokens[r.token] = r
	d.setRequestTimer(r, max(d.now+d.settings.ClockStep, q.Deadline-d.settings.ClockStep))
	d.forward(r)
}

func (d *Director) knownTenant(name string) bool {
	return len(d.settings.Tenants) == 0 || slices.Contains(d.settings.Tenants, name)
}

// classOf finds the class of a request, with the rules by which it was admitted; nil: there is none of that name.
func (d *Director) classOf(q Request) *class {
	c := d.classes[q.Class]
	if q.AdmittedClass == nil {
		return c
	}
	return c.withConfig(*q.AdmittedClass)
}

// withRules is a class with other rules and what was learned of c, which may be nil.
func (c *class) withConfig(config Class) *class {
	next := &class{Class: config}
	if c != nil {
		next.meanTransferTime = c.meanTransferTime
		next.sizedAnswers = c.sizedAnswers
	}
	return next
}

// reconfigure takes in other classes. What was learned of a class goes on under its name.
func (d *Director) reconfigure(e Reconfigured) {
	classes := map[string]*class{}
	for _, config := range e.Classes {
		classes[config.Name] = d.classes[config.Name].withConfig(config)
	}
	d.classes = classes
	d.settings.MaxAttempts = e.MaxAttempts
}

// forward sends the request on if a route, the rules and the limits allow it. Otherwise it is rejected or failed, unless an
// attempt in flight may still bring an answer. Where hedged requests are not allowed, it waits for the attempts in flight.
func (d *Director) forward(r *request) {
	r.retryPending = r.hasInFlight() && !d.settings.HedgedRequests
	if r.retryPending {
		return
	}
	to := d.chooseRoute(r)
	a := &attempt{
		target:        to.target,
		fillSource:    to.fillSource,
		sentAt:        d.now,
		slowStartCost: d.slowStartCost(r),
		inFlight:      true,
		fillExpected:  d.expectsFill(r, to),
	}
	if !d.admitAttempt(r, a) {
		if !r.hasInFlight() {
			d.rejectOrFail(r)
		}
		return
	}
	if r.entry != nil && a.target.role == roleCache {
		a.cacheRank = d.listAndRank(r, a.target, to.exploring)
	}
	d.recordAttempt(r, a)
	d.emit(ForwardAttempt{
		ID:           r.ID,
		Endpoint:     a.target.id,
		FillSource:   a.fillSource.id,
		Timeout:      r.Deadline - d.now,
		MaxAge:       d.maxAge(r),
		CacheRank:    a.cacheRank,
		Coalesce:     d.settings.AllowCoalescing,
		OnlyIfCached: a.onlyIfCached,
		RefreshAhead: r.entry != nil && r.class.FreshFor > 0,
	})
	d.setFirstCheck(r)
}

// chooseRoute finds where the request may go now.
func (d *Director) chooseRoute(r *request) route {
	if r.entry == nil {
		return d.routeToOrigin(r)
	}
	if target, exploring := d.pickCache(r); target != nil {
		return route{target, d.pickSourceFor(r, target, exploring), exploring}
	}
	return d.routeAroundCaches(r)
}

// routeToOrigin is the route of a request whose answer is never cached: it runs at the origin, and goes there straight where
// that is allowed.
func (d *Director) routeToOrigin(r *request) (to route) {
	if origins := d.upEndpoints[roleOrigin]; len(origins) > 0 {
		to.target, to.fillSource = origins[0], origins[0]
	}
	if !d.settings.AllowBypass {
		to.target, _ = d.pickCache(r)
	}
	return to
}

// routePastCaches is the route when no cache can be used: straight to who would fill the miss, where that is allowed.
func (d *Director) routeAroundCaches(r *request) route {
	target := d.pickFillSource(r)
	if !d.settings.AllowBypass || target == nil {
		return route{}
	}
	if origins := d.upEndpoints[roleOrigin]; target.role == roleParent && len(origins) > 0 {
		return route{target: target, fillSource: origins[0]}
	}
	return route{target: target, fillSource: target}
}

// expectsFill reports whether the target of a route is likely to ask the source.
func (d *Director) expectsFill(r *request, to route) bool {
	if to.target == nil || to.fillSource == nil || to.fillSource == to.target {
		return false
	}
	return r.entry == nil || !r.entry.hitExpectedAt(to.target) || d.listedCopyOutdated(r)
}

// admitAttempt reports whether an attempt may be sent by its route, the deadline, the rules on repeats and the limits, and
// restricts its fill to what the source's limits allow (see restrictFill). The target's limit is checked for a request's first
// attempt only, the source's for retries too; requests whose answer is never cached are held to neither.
func (d *Director) admitAttempt(r *request, a *attempt) bool {
	if a.target == nil || a.fillSource == nil {
		return false
	}
	if r.Deadline-d.now <= r.transferTime || !d.repeatAllowed(r, a.target, nil) || r.attemptsExhausted() {
		return false
	}
	if r.entry == nil {
		return true
	}
	if len(r.attempts) == 0 && !d.fitsObjective(a.target, r) {
		return false
	}
	return d.restrictFill(r, a)
}

func (r *request) attemptsExhausted() bool {
	return r.maxAttempts > 0 && len(r.attempts) >= r.maxAttempts
}

// recordAttempt counts an attempt that is about to be sent, in slow-start budgets, limits and probation.
func (d *Director) recordAttempt(r *request, a *attempt) {
	r.attempts = append(r.attempts, a)
	d.spendSlowStart(a.target, a.slowStartCost)
	if a.fillSource != a.target {
		d.spendSlowStart(a.fillSource, a.slowStartCost)
	}
	d.countInFlight(a, 1)
	a.probation = a.target.ejectionDuration > 0
	a.target.probationInFlight = a.target.probationInFlight || a.probation
}

// setFirstCheck sets the timer at which an attempt without an answer is looked at: while another one can still meet the latency
// objective, but not before an answer was due.
func (d *Director) setFirstCheck(r *request) {
	share := r.class.LatencyObjective / progressCheckDivisor
	lastChance := r.objectiveAt() - r.transferTime - share
	due := d.now + share + r.transferTime
	d.setRequestTimer(r, max(lastChance, due))
}

func (d *Director) setRequestTimer(r *request, at time.Duration) {
	d.emit(SetTimer{At: at, Token: r.token, RequestID: r.ID})
}

func (r *request) hasInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

// countInFlight adds n to the attempts in flight wherever this one counts: at its target, and for a fill at the source, and at
// the origin behind it.
func (d *Director) countInFlight(a *attempt, n int) {
	a.target.concurrencyLimit.InFlight += n
	if !a.fillExpected || a.fillSource == a.target {
		return
	}
	a.fillSource.concurrencyLimit.InFlight += n
	if !a.onlyIfCached && a.fillSource.role != roleCache {
		d.originFetches.InFlight += n
	}
}

// markStreaming notes that the client has the first byte: from now on the request is not given up by itself.
func (d *Director) markStreaming(id string) {
	if r := d.requests[id]; r != nil {
		r.streaming = true
	}
}

// abandonRequest ends a request whose client is gone. Results still due are counted.
func (d *Director) abandonRequest(id string) {
	if r := d.requests[id]; r != nil {
		r.finished = true
		d.release(r)
	}
}

// cancelInFlight stops waiting for the attempts in flight, where that is allowed.
func (d *Director) cancelInFlight(r *request) {
	for i, a := range r.attempts {
		if a.inFlight && d.settings.CanCancel {
			d.emit(CancelAttempt{ID: r.ID, Attempt: i})
		}
	}
}

// release drops a finished request. While attempts are in flight it stays, so that their results find it.
func (d *Director) release(r *request) {
	delete(d.tokens, r.token)
	if !r.hasInFlight() {
		delete(d.requests, r.ID)
	}
}
