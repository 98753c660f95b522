package gateway

import (
	"time"

	"larchusher/routing"
)

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request      *Request
	Endpoint     string
	FillSource   string // endpoint that fills a cache miss; empty: none
	CacheRank    int
	MaxAge       time.Duration // oldest copy that may be served; 0: the class's own limit
	Coalesce     bool          // it may share a fill that is under way
	OnlyIfCached bool          // the fill source gives only what it has cached
	NoParentCopy bool          // the fill source keeps no copy
	RefreshAhead bool          // the copy is refreshed before it is stale
	Deadline     time.Time     // when to stop waiting for it

	// BackendState belongs to the backend.
	BackendState any

	locality      int // index of the locality whose director made it,
	number        int // and its number there
	startedAt     time.Time
	pausedAtStart time.Duration // Gateway.pausedTime by then
	ended         bool
	status        routing.Status // once it has ended
	timer         *Timer
}

// Result is how an attempt ended.
type Result struct {
	Status          routing.Status
	Reason          routing.Reason
	FillWait        time.Duration // until the fill source's first byte; 0: not stated
	LoadReport      []float64     // in the order of Settings.LoadReportFields
	Body            []byte
	ETag            string
	NotModified     bool // with routing.OK: the client's copy is current
	BodyDropped     bool // with routing.OK: there was no memory for the body, which has been skipped
	CollateralReset bool // with routing.Reset: another attempt's answer broke the connection that they shared

	ReceivedAt  time.Time // when its last byte came; zero: now
	ReleaseBody func()    // gives Body's memory back, once nobody uses it any more; nil: nothing to do
}

// Backend carries attempts to endpoints. It calls [Gateway.PrepareWrite] right before the first byte of an attempt
// leaves, and [Gateway.AttemptEnded] once for each attempt that was not canceled. Its methods run on the loop and must not
// block.
type Backend interface {
	Send(a *Attempt)
	Cancel(a *Attempt) // nobody waits for a any more
}

// startAttempt starts what a director asks for, unless its request is over or has moved to another locality.
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
	// The limit is that of the request, whichever directors have made attempts for it.
	if limit := r.maxAttempts; limit > 0 && len(r.attempts) > limit {
		g.AttemptEnded(a, Result{Status: routing.NotSent})
		return
	}
	g.cfg.Backend.Send(a)
}

// newAttempt words what a director asks for as an attempt.
func (g *Gateway) newAttempt(r *Request, f routing.ForwardAttempt, locality int) *Attempt {
	now := g.cfg.Loop.Now()
	a := &Attempt{
		Request:       r,
		Endpoint:      f.Endpoint,
		FillSource:    f.FillSource,
		CacheRank:     int(f.CacheRank),
		MaxAge:        f.MaxAge,
		Coalesce:      f.Coalesce,
		OnlyIfCached:  f.OnlyIfCached,
		NoParentCopy:  f.NoParentCopy,
		RefreshAhead:  f.RefreshAhead,
		Deadline:      r.Deadline,
		number:        len(r.attempts) - r.firstInLocality,
		locality:      locality,
		startedAt:     now,
		pausedAtStart: g.pausedTime,
	}
	if a.FillSource == a.Endpoint {
		a.FillSource = ""
	}
	if f.Timeout > 0 && now.Add(f.Timeout).Before(a.Deadline) {
		a.Deadline = now.Add(f.Timeout)
	}
	return a
}

// findAttempt finds an attempt of an open request, or of an answered one that has attempts in flight.
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

// PrepareWrite is called right before the first byte of an attempt is written. Connecting or queueing took time, in which
// its endpoint or fill source may have begun to drain, the object may have been purged, the client may have left, or the
// deadline may have passed.
//
// If the attempt may be written it sets MaxAge anew and returns true. Otherwise the attempt is over when it returns false: it
// has ended as not sent, or was canceled with the request that its client has left, and both are counted.
func (g *Gateway) PrepareWrite(a *Attempt) bool {
	if a.ended {
		return false
	}
	// The connection may know that the client has left, or canceled, before the loop does.
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
	return true
}

// endpointsPermitted reports whether Config.EndpointPermitted allows an attempt's endpoint and fill source.
func (g *Gateway) endpointsPermitted(a *Attempt) bool {
	may := g.cfg.EndpointPermitted
	if may == nil {
		return true
	}
	return may(a.Endpoint) && (a.FillSource == "" || may(a.FillSource))
}

// AttemptEnded takes in how an attempt ended. The first success is the request's answer.
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

// answerFrom is the answer that a successful attempt gives its request.
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

// tooLargeForClient reports whether a body is larger than expected, and there is no memory for it before the client has
// read other answers. A request that is not idempotent gets its answer all the same: it cannot be rejected any more.
func (g *Gateway) tooLargeForClient(r *Request, res Result) bool {
	return r.Client != nil && r.idempotent() && !g.memory.Fits(r.Client.account, len(res.Body))
}

// reportAttempt tells the locality policy and the director how an attempt ended. Its latency ends when the last byte came,
// and leaves out pauses of this program: neither is the endpoint's doing.
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

// latency is how long an attempt took, without pauses of this program.
func (g *Gateway) latency(a *Attempt, res Result) time.Duration {
	return res.ReceivedAt.Sub(a.startedAt) - (g.pausedTime - a.pausedAtStart)
}

// cancelAttempt stops waiting for an attempt and says how it ended.
func (g *Gateway) cancelAttempt(a *Attempt, as routing.Status) {
	if a.ended {
		return
	}
	g.cfg.Backend.Cancel(a)
	g.AttemptEnded(a, Result{Status: as})
}

// cancelAttempts ends the attempts of a request that nobody waits for.
func (g *Gateway) cancelAttempts(r *Request) {
	for _, a := range r.attempts {
		g.cancelAttempt(a, routing.Canceled)
	}
}
