package routing

import (
	"slices"
	"time"

	"larchusher/concurrency"
)

// progressCheckDivisor divides a class's latency objective into the margin, added to the transfer
// time, after which an attempt without an answer is checked.
const progressCheckDivisor = 3

// class is a class of requests with the transfer times learned for it.
type class struct {
	Class
	meanTransferTime time.Duration // moving average of the transfer time at full pace; 0: no request yet
	sizedAnswers     int           // number of answers whose size was known
}

// request is the state of a request that is unfinished or still has attempts in flight.
type request struct {
	Request
	class           *class
	maxAttempts     int // 0: no limit
	key             uint64
	entry           *mappingEntry // nil: the answer is never cached
	transferTime    time.Duration // estimated, at full pace
	costPerWeight   float64       // seconds of transfer per unit of priority weight
	draw            float64       // random number in [0, 1), drawn once, that turns the fraction of a limit into a probability
	token           uint64        // of its timers
	startedAt       time.Duration
	attempts        []*attempt
	failedEndpoints []*endpoint // not to be tried again by this request
	pendingErrors   []*endpoint // counted against these endpoints unless the request is malformed; see attributePendingErrors
	streaming       bool        // the client has the first byte of the answer
	finished        bool        // the final answer was given, or the client left
	retryPending    bool        // to be forwarded again once no attempt is in flight
}

// attempt is the state of one forwarding of a request.
type attempt struct {
	target          *endpoint
	fillSource      *endpoint     // endpoint that fills a miss; the target itself: none
	targetStart     time.Duration // incarnations of target and fillSource that it was sent to
	fillSourceStart time.Duration
	sentAt          time.Duration
	slowStartCost   float64 // in seconds of transfer
	cacheRank       CacheRank
	inFlight        bool // its result has not arrived
	mayHaveRun      bool // by its result, the request may have taken effect
	probation       bool // it tries an endpoint whose ejection is over
	fillExpected    bool // the target is not known to have a current copy
	onlyIfCached    bool // the fill source serves only from its cache
	rejectedByCache bool // rejected by the target itself, not by its fill source
	originAtFault   bool // late or failed because of the origin, not the fill source
	overdue         bool // it is counted in an endpoint's overdueAnswers
}

// route is the endpoints that an attempt uses.
type route struct {
	target, fillSource *endpoint // nil: none is available
	exploring          bool      // target was drawn to explore another cache than the listed one
}

// startRequest registers a new request, and forwards it or answers it at once. Requests with an id
// that is already open are ignored.
func (d *Director) startRequest(q Request) {
	if d.requests[q.ID] != nil {
		return
	}
	c := d.classOf(q)
	if c == nil || !d.knownTenant(q.Tenant) { // no Retry-After: a later retry would be rejected as well
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

// classOf returns the class of a request, with the settings under which it was admitted, or nil if
// the class is unknown.
func (d *Director) classOf(q Request) *class {
	c := d.classes[q.Class]
	if q.AdmittedClass == nil {
		return c
	}
	return c.withConfig(*q.AdmittedClass)
}

// withConfig returns a class with the given settings and the transfer times learned for c, which
// may be nil.
func (c *class) withConfig(config Class) *class {
	next := &class{Class: config}
	if c != nil {
		next.meanTransferTime = c.meanTransferTime
		next.sizedAnswers = c.sizedAnswers
	}
	return next
}

// reconfigure replaces the classes and the limit on attempts. Transfer times learned for a class
// are kept by its name.
func (d *Director) reconfigure(e Reconfigured) {
	classes := map[string]*class{}
	for _, config := range e.Classes {
		classes[config.Name] = d.classes[config.Name].withConfig(config)
	}
	d.classes = classes
	d.settings.MaxAttempts = e.MaxAttempts
}

// forward sends a request to an endpoint if a route, the class's effect, the deadline and the
// limits allow it. Otherwise the request is rejected or failed, unless an attempt in flight may
// still bring an answer. Where hedged requests are not allowed, forwarding waits until no attempt
// is in flight.
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

// chooseRoute chooses the target and the fill source for the next attempt.
func (d *Director) chooseRoute(r *request) route {
	if r.entry == nil {
		return d.routeToOrigin(r)
	}
	if target, exploring := d.pickCache(r); target != nil {
		return route{target, d.pickSourceFor(r, target, exploring), exploring}
	}
	return d.routeAroundCaches(r)
}

// routeToOrigin returns the route of a request whose answer is never cached. The origin executes
// it; it is sent there directly where Settings.AllowBypass is set, else through a cache.
func (d *Director) routeToOrigin(r *request) (to route) {
	if origins := d.upEndpoints[roleOrigin]; len(origins) > 0 {
		to.target, to.fillSource = origins[0], origins[0]
	}
	if !d.settings.AllowBypass {
		to.target, _ = d.pickCache(r)
	}
	return to
}

// routeAroundCaches returns the route when no cache can be used: directly to the endpoint that
// would fill the miss, where Settings.AllowBypass is set, else none.
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

// expectsFill reports whether the target of a route will probably ask the fill source.
func (d *Director) expectsFill(r *request, to route) bool {
	if to.target == nil || to.fillSource == nil || to.fillSource == to.target {
		return false
	}
	return r.entry == nil || !r.entry.hitExpectedAt(to.target) || d.listedCopyOutdated(r)
}

// admitAttempt reports whether an attempt may be sent: it needs a route, time before the deadline,
// a class that allows the repeat, attempts left, and capacity within the limits. The fill is
// restricted to what the fill source's limits allow (see restrictFill). The target's limit is
// checked for a request's first attempt only, the source's for retries too; requests whose answer
// is never cached are subject to neither.
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

// recordAttempt counts an attempt that is about to be sent in slow-start budgets, limits and
// probation.
func (d *Director) recordAttempt(r *request, a *attempt) {
	r.attempts = append(r.attempts, a)
	a.targetStart, a.fillSourceStart = a.target.incarnation, a.fillSource.incarnation
	d.spendSlowStart(a.target, a.slowStartCost)
	if a.fillSource != a.target {
		d.spendSlowStart(a.fillSource, a.slowStartCost)
	}
	d.countInFlight(a, 1)
	a.probation = a.target.ejectionDuration > 0
	a.target.probationInFlight = a.target.probationInFlight || a.probation
}

// setFirstCheck sets the timer that checks an attempt without an answer: while another attempt can
// still meet the latency objective, but not before the answer is due.
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

// countInFlight adds n to the attempts in flight at each limit that the attempt counts in: the
// target's, and for a fill also the source's and the origin's behind it.
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

// markStreaming records that the client has the first byte. From now on the director does not
// retry, reject or fail the request on its own.
func (d *Director) markStreaming(id string) {
	if r := d.requests[id]; r != nil {
		r.streaming = true
	}
}

// abandonRequest ends a request that needs no answer any more. Results that arrive later are still
// learned from.
func (d *Director) abandonRequest(id string) {
	if r := d.requests[id]; r != nil {
		r.finished = true
		d.release(r)
	}
}

// cancelInFlight cancels the attempts in flight, where Settings.CanCancel is set.
func (d *Director) cancelInFlight(r *request) {
	for i, a := range r.attempts {
		if a.inFlight && d.settings.CanCancel {
			d.emit(CancelAttempt{ID: r.ID, Attempt: i})
		}
	}
}

// release deletes a finished request. While attempts are in flight it is kept, so that their
// results find it.
func (d *Director) release(r *request) {
	delete(d.tokens, r.token)
	if !r.hasInFlight() {
		delete(d.requests, r.ID)
	}
}
