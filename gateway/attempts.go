package gateway

import (
	"time"

	"larchusher/routing"
)

// Attempt is an attempt to have a request served by an endpoint.
type Attempt struct {
	Request      *Request
	Endpoint     string
	FillSource   string // endpoint that fills a cache miss; empty: none
	CacheRank    int
	MaxAge       time.Duration // age of the oldest copy that may be served; 0: the class's own limit
	Coalesce     bool          // the attempt may wait for a fill in flight
	OnlyIfCached bool          // the fill source serves only what it has cached
	NoParentCopy bool          // the fill source keeps no copy
	RefreshAhead bool          // the copy is refreshed before it is stale
	Deadline     time.Time     // when the attempt times out

	// BackendState is for the backend's own use.
	BackendState any

	locality          int // index of the locality whose director made the attempt
	number            int // number of the attempt in that locality, from 0
	startedAt         time.Time
	writtenAt         time.Time     // when the backend was told that it may write the attempt; zero: it was not
	pausedTimeAtStart time.Duration // Gateway.pausedTime at startedAt
	ended             bool
	status            routing.Status // valid once ended is true
	timer             *Timer
}

// Result is how an attempt ended.
type Result struct {
	Status          routing.Status
	Reason          routing.Reason
	FillWait        time.Duration // wait for the fill source's first byte; 0: not stated
	LoadReport      []float64     // values in the order of Settings.LoadReportFields
	Body            []byte
	ETag            string
	NotModified     bool // with routing.OK: the copy that the client holds is current
	BodyDropped     bool // with routing.OK: the body was skipped for want of memory
	CollateralReset bool // with routing.Reset: the connection was broken by another attempt's answer

	ReceivedAt  time.Time // when the last byte of the answer was received; zero: now
	ReleaseBody func()    // releases the memory of Body, once it is no longer used; nil: nothing is to be released
}

// Backend sends attempts to endpoints. It calls [Gateway.PrepareWrite] right before it writes the
// first byte of an attempt, and [Gateway.AttemptEnded] once for each attempt that was not canceled.
// Its methods are called on the loop and must not block.
type Backend interface {
	Send(a *Attempt)
	Cancel(a *Attempt) // the result of a is no longer wanted
}

// startAttempt sends the attempt that a director asks for, unless its request was answered or has
// been rerouted to another locality.
func (g *Gateway) startAttempt(f routing.ForwardAttempt, locality int) {
	r := g.requests[f.ID]
	if r == nil || r.locality != locality {
		return
	}
	a := g.newAttempt(r, f, locality)
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	g.Counters.Attempts++
	a.timer = g.cfg.Loop.At(a.Deadline, func() { g.cancelAttempt(a, routing.TimedOut) })
	g.recordAttemptSent(a)
	// The limit applies to the request, whichever localities' directors made its attempts.
	if limit := r.maxAttempts; limit > 0 && len(r.attempts) > limit {
		g.AttemptEnded(a, Result{Status: routing.NotSent})
		return
	}
	g.cfg.Backend.Send(a)
}

// newAttempt returns the attempt that a director asks for.
func (g *Gateway) newAttempt(r *Request, f routing.ForwardAttempt, locality int) *Attempt {
	now := g.cfg.Loop.Now()
	a := &Attempt{
		Request:           r,
		Endpoint:          f.Endpoint,
		FillSource:        f.FillSource,
		CacheRank:         int(f.CacheRank),
		MaxAge:            f.MaxAge,
		Coalesce:          f.Coalesce,
		OnlyIfCached:      f.OnlyIfCached,
		NoParentCopy:      f.NoParentCopy,
		RefreshAhead:      f.RefreshAhead,
		Deadline:          r.Deadline,
		number:            len(r.attempts) - r.firstInLocality,
		locality:          locality,
		startedAt:         now,
		pausedTimeAtStart: g.pausedTime,
	}
	if a.FillSource == a.Endpoint {
		a.FillSource = ""
	}
	if f.Timeout > 0 && now.Add(f.Timeout).Before(a.Deadline) {
		a.Deadline = now.Add(f.Timeout)
	}
	return a
}

// findAttempt returns an attempt of an open request, or of an answered one with attempts in flight;
// nil if there is none.
func (g *Gateway) findAttempt(id string, number, locality int) *Attempt {
	r := g.requests[id]
	if r == nil {
		r = g.answeredWithAttempts[id]
	}
	if r == nil {
		return nil
	}
	for _, a := range r.attempts {
		if a.number == number && a.locality == locality {
			return a
		}
	}
	return nil
}

// PrepareWrite reports whether an attempt may be written. Backends call it right before they write
// the first byte: while the attempt waited for a connection, its endpoint or fill source may have
// begun to drain, its object may have been purged, its client may have left, or its deadline may
// have passed.
//
// If the attempt may be written, PrepareWrite updates its MaxAge. Otherwise the attempt has ended
// when PrepareWrite returns false: as not sent, or as canceled together with its request if the
// client has left. Both are counted.
func (g *Gateway) PrepareWrite(a *Attempt) bool {
	if a.ended {
		return false
	}
	// The connection may know before the loop does that the client has left or has canceled the
	// request.
	if r := a.Request; !r.answered && !r.clientConnected() {
		g.Counters.GoneBeforeWrite++
		g.Abandon(r)
		return false
	}
	age, ok := g.directors[a.locality].RecheckAttempt(g.now(), a.Request.directorID, a.number)
	if !g.endpointsPermitted(a) {
		ok = false
		g.Counters.NotPermitted++
	}
	if !ok || a.Request.answered || !a.Deadline.After(g.cfg.Loop.Now()) {
		g.Counters.NotSent++
		g.AttemptEnded(a, Result{Status: routing.NotSent})
		return false
	}
	a.MaxAge = age
	a.writtenAt = g.cfg.Loop.Now()
	return true
}

// endpointsPermitted reports whether Config.EndpointPermitted allows an attempt's endpoint and its
// fill source.
func (g *Gateway) endpointsPermitted(a *Attempt) bool {
	permitted := g.cfg.EndpointPermitted
	if permitted == nil {
		return true
	}
	return permitted(a.Endpoint) && (a.FillSource == "" || permitted(a.FillSource))
}

// AttemptEnded handles the result of an attempt. The first success is the answer to the request; a
// second result of an attempt is ignored.
func (g *Gateway) AttemptEnded(a *Attempt, res Result) {
	if a.ended {
		return
	}
	r := a.Request
	now := g.cfg.Loop.Now()
	if res.ReceivedAt.IsZero() || res.ReceivedAt.After(now) {
		res.ReceivedAt = now
	}
	a.ended, a.status = true, res.Status
	a.timer.Stop()
	g.Counters.Ended[res.Status]++
	r.attemptsInFlight--
	if r.attemptsInFlight == 0 {
		delete(g.answeredWithAttempts, r.directorID)
	}
	retained := false
	if res.Status == routing.OK && !r.answered {
		answer := g.answerFrom(r, res)
		retained = r.RetainsBody
		g.answerRequest(r, answer)
	}
	if res.ReleaseBody != nil && !retained {
		res.ReleaseBody()
	}
	g.reportAttempt(a, res)
}

// answerFrom returns the answer that a successful attempt gives to its request.
func (g *Gateway) answerFrom(r *Request, res Result) Answer {
	switch {
	case res.BodyDropped:
		g.Load.NoMemory++
		if r.idempotent() {
			return Answer{Outcome: OutcomeRejected, RetryAfter: g.RetryAfter(r.ID), Retryable: true}
		}
		return Answer{Outcome: OutcomeFailed, cause: causeNoMemory}
	case g.tooLargeForClient(r, res):
		g.Load.NoMemory++
		answer := Answer{Outcome: OutcomeRejected, RetryAfter: g.RetryAfter(r.ID), Retryable: true}
		g.releaseReservation(r, len(res.Body))
		return answer
	case res.NotModified:
		return Answer{Outcome: OutcomeUnchanged, Body: res.Body, ETag: res.ETag}
	}
	return Answer{Outcome: OutcomeServed, Body: res.Body, ETag: res.ETag}
}

// tooLargeForClient reports whether there is no memory for a body, which may be larger than was
// reserved, until the client has read other answers. It returns false for a request that is not
// idempotent: that has run, so it can no longer be rejected.
func (g *Gateway) tooLargeForClient(r *Request, res Result) bool {
	return r.Client != nil && r.idempotent() && !g.memory.Fits(r.Client.account, len(res.Body))
}

// reportAttempt reports the result of an attempt to the locality policy and to the director. The
// reported latency ends when the last byte was received, and excludes pauses of this program, as
// neither is caused by the endpoint.
func (g *Gateway) reportAttempt(a *Attempt, res Result) {
	g.recordAttemptResult(a, res)
	g.handleEvent(event{locality: a.locality, Event: routing.AttemptResult{
		ID:              a.Request.directorID,
		Attempt:         a.number,
		Endpoint:        a.Endpoint,
		Status:          res.Status,
		Reason:          res.Reason,
		Final:           a.Request.answered,
		Latency:         max(0, g.latency(a, res)),
		FillWait:        res.FillWait,
		LoadReport:      res.LoadReport,
		CollateralReset: res.CollateralReset,
		SizeKB:          float64(len(res.Body)) / 1000,
	}})
}

// latency returns how long an attempt took, without pauses of this program.
func (g *Gateway) latency(a *Attempt, res Result) time.Duration {
	return res.ReceivedAt.Sub(a.startedAt) - (g.pausedTime - a.pausedTimeAtStart)
}

// cancelAttempt cancels an attempt and ends it with a status.
func (g *Gateway) cancelAttempt(a *Attempt, status routing.Status) {
	if a.ended {
		return
	}
	g.cfg.Backend.Cancel(a)
	g.AttemptEnded(a, Result{Status: status})
}

// cancelAttempts cancels all attempts of a request whose answer is no longer wanted.
func (g *Gateway) cancelAttempts(r *Request) {
	for _, a := range r.attempts {
		g.cancelAttempt(a, routing.Canceled)
	}
}
