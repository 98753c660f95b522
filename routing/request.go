package routing

import (
	"slices"
	"time"

	"larchusher/concurrency"
)

type class struct {
	Class
	meanTransferTime time.Duration // mean sending time seen
	sizedAnswers     int           // answers whose size was told
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

// classOf finds the class of a request, with the rules by which it came; nil: there is none of that name.
func (d *Director) classOf(q Request) *class {
	c := d.classes[q.Class]
	if q.AdmittedClass == nil {
		return c
	}
	former := &class{Class: *q.AdmittedClass}
	if c != nil {
		former.meanTransferTime, former.sizedAnswers = c.meanTransferTime, c.sizedAnswers
	}
	return former
}

// reconfigure takes in other classes. What was learned of a class goes on under its name.
func (d *Director) reconfigure(e Reconfigured) {
	classes := map[string]*class{}
	for _, c := range e.Classes {
		next := &class{Class: c}
		if was := d.classes[c.Name]; was != nil {
			next.meanTransferTime, next.sizedAnswers = was.meanTransferTime, was.sizedAnswers
		}
		classes[c.Name] = next
	}
	d.classes, d.set.MaxAttempts = classes, e.MaxAttempts
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

func (r *request) hasInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
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

// cancelInFlight stops waiting for the attempts that are out, where that is allowed.
func (d *Director) cancelInFlight(r *request) {
	for i, a := range r.attempts {
		if a.inFlight && d.set.CanCancel {
			d.emit(CancelAttempt{ID: r.ID, Attempt: i})
		}
	}
}

// release drops what is over; outcomes still due find the request while it has attempts out.
func (d *Director) release(r *request) {
	delete(d.tokens, r.token)
	if !r.hasInFlight() {
		delete(d.requests, r.ID)
	}
}
