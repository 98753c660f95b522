package gateway

import (
	"time"

	"larchusher/routing"
)

const (
	// executedLifetime is how long the id of a request that may have run is remembered. A client that repeats a request does so
	// within its own time limit, which is shorter.
	executedLifetime = time.Minute
	maxExecuted      = 4096 // ids that are remembered; beyond, the oldest is forgotten
)

// executedRequest is a finished request that is not idempotent, and that may have run.
type executedRequest struct {
	id          string
	finishedAt  time.Time
	repeatUntil time.Time // until when endpoints drop a repeat of it; zero: it must not be repeated
}

// executedRequests remembers the ids of requests that may have run and must not run again, whichever connection they come on.
type executedRequests struct {
	byID   map[string]*executedRequest
	oldest []*executedRequest // in the order in which they finished
}

// remember records a request that has just finished, if it may have run and is not idempotent.
func (e *executedRequests) remember(r *Request, now time.Time) {
	if r.ID == "" || r.idempotent() {
		return
	}
	firstWritten := r.firstMayHaveRun()
	if firstWritten.IsZero() {
		return
	}
	x := &executedRequest{id: r.ID, finishedAt: now}
	if r.needsIdempotencyKey() && r.class.DedupScope == routing.ScopeAll {
		x.repeatUntil = firstWritten.Add(r.class.DedupWindow)
	}
	if former := e.byID[r.ID]; former != nil && former.repeatUntil.Before(x.repeatUntil) { // the window counts from the first attempt of all
		x.repeatUntil = former.repeatUntil
	}
	if e.byID == nil {
		e.byID = map[string]*executedRequest{}
	}
	e.byID[r.ID] = x
	e.oldest = append(e.oldest, x)
	e.forgetOld(now)
}

// forgetOld forgets requests beyond executedLifetime and maxExecuted.
func (e *executedRequests) forgetOld(now time.Time) {
	for len(e.oldest) > 0 && (len(e.oldest) > maxExecuted || now.Sub(e.oldest[0].finishedAt) > executedLifetime) {
		if x := e.oldest[0]; e.byID[x.id] == x {
			delete(e.byID, x.id)
		}
		e.oldest[0] = nil
		e.oldest = e.oldest[1:]
	}
}

// find returns the finished request with an id that must not run again; nil if there is none.
func (e *executedRequests) find(id string, now time.Time) *executedRequest {
	x := e.byID[id]
	if x == nil || now.Sub(x.finishedAt) > executedLifetime {
		return nil
	}
	return x
}

// firstMayHaveRun returns when the first attempt was written that may have run; the zero time if there is none.
func (r *Request) firstMayHaveRun() (first time.Time) {
	for _, a := range r.attempts {
		if at := a.sentAt(); a.mayHaveRun() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// sentAt returns when an attempt was written, or when it was started if the backend has not asked to write it.
func (a *Attempt) sentAt() time.Time {
	if a.writtenAt.IsZero() {
		return a.startedAt
	}
	return a.writtenAt
}

// mayHaveRun reports whether an attempt may have run. One that waited for its connection until it was canceled has not.
func (a *Attempt) mayHaveRun() bool {
	unanswered := !a.ended || a.status == routing.Canceled || a.status == routing.TimedOut
	if unanswered {
		return !a.writtenAt.IsZero()
	}
	return a.status.MayHaveRun()
}

// mayRepeat reports whether a request may run although one with its id may have run before. One with an idempotency key may, as
// long as endpoints drop the repeat; its deadline is lowered to that time.
func (g *Gateway) mayRepeat(r *Request) bool {
	now := g.cfg.Loop.Now()
	x := g.executed.find(r.ID, now)
	if x == nil || r.idempotent() {
		return true
	}
	until := x.repeatUntil.Add(-g.cfg.Settings.ClockStep)
	if r.IdempotencyKey == "" || !now.Before(until) {
		return false
	}
	if r.Deadline.After(until) {
		r.Deadline = until
	}
	return true
}
