package gateway

import (
	"cmp"
	"strconv"
	"time"

	"larchusher/overload"
	"larchusher/routing"
)

// Request is what a front submits. The exported fields are the front's to set before [Gateway.Submit], and not to change
// after it.
type Request struct {
	ID              string // the client's own id, passed on to endpoints unchanged
	Class           string
	Tenant          string
	Object          string
	Part            int     // of the object
	Group           int     // that purges may name in place of the object
	SizeKB          float64 // of the part, as its client states it; 0: not stated
	IdempotencyKey  string  // in classes that need one
	IfNoneMatch     string  // tag of a copy that the client holds
	Body            []byte
	Retry           bool         // the client marks it as a retry of its own
	Deadline        time.Time    // when the client stops waiting
	Answer          func(Answer) // called once with the final answer, unless the request is abandoned first
	ClientConnected func() bool  // asked right before each attempt is written; nil: the client stays until Abandon

	ArrivedAt   time.Time // when its wait in the queue began; zero: as it is submitted
	Front       Front
	Admitted    bool    // Gateway.Admit has admitted it
	Client      *Client // whose unread answers count against its memory; nil: answers take no memory for long
	RetainsBody bool    // the answer's body is used after Answer has returned

	class       *routing.Class // as it was when the request came; nil: the settings do not name it
	maxAttempts int            // as it was when the request came; 0: no limit

	queueItem      overload.Item
	band           int
	reservedBytes  int64 // of client memory, for the answer
	directorTimers []*Timer

	directorID       string
	answered         bool
	locality         int  // index of the locality that it is in
	firstInLocality  int  // index of its first attempt there
	rerouted         bool // it was rejected in another locality before
	attempts         []*Attempt
	attemptsInFlight int
	deadlineTimer    *Timer
}

// idempotent reports whether the request may be repeated freely. One of an unknown class never runs.
func (r *Request) idempotent() bool { return r.class == nil || r.class.Effect == routing.Idempotent }

// needsIdempotencyKey reports whether the request may be repeated only under its key.
func (r *Request) needsIdempotencyKey() bool {
	return r.class != nil && r.class.Effect == routing.IdempotentWithKey
}

// clientConnected reports whether the client still waits, as far as its connection knows.
func (r *Request) clientConnected() bool { return r.ClientConnected == nil || r.ClientConnected() }

// classByName is what the settings say of a class; nil: nothing.
func (g *Gateway) classByName(name string) *routing.Class {
	for i := range g.cfg.Settings.Classes {
		if c := &g.cfg.Settings.Classes[i]; c.Name == name {
			return c
		}
	}
	return nil
}

// Submit takes a request in. Its Answer is called once on the loop, maybe before Submit returns, unless the
// front abandons the request first.
func (g *Gateway) Submit(r *Request) {
	g.register(r)
	if g.overCapacity() {
		g.answerRequest(r, Answer{Outcome: OutcomeRejected, RetryAfter: g.LongRetryAfter(r.ID), Retryable: true})
		return
	}
	if !g.claimID(r) {
		g.Counters.DuplicateIDs++
		g.answerRequest(r, Answer{Outcome: OutcomeFailed, cause: causeDuplicateID})
		return
	}
	if r.IdempotencyKey == "" && r.needsIdempotencyKey() { // a retry could not be told from another request
		g.answerRequest(r, Answer{Outcome: OutcomeFailed, cause: causeNoIdempotencyKey})
		return
	}
	g.limitDeadline(r)
	// A deadline of the gateway's own, whatever the director does; the director's is Settings.ClockStep earlier.
	r.deadlineTimer = g.cfg.Loop.At(r.Deadline, func() { g.expireRequest(r) })
	g.enqueueRequest(r)
}

// register counts a request among the open ones, under the rules of its class as they are now.
func (g *Gateway) register(r *Request) {
	g.lastRequestNumber++
	r.directorID = strconv.FormatUint(g.lastRequestNumber, 36)
	g.Counters.Submitted++
	r.class, r.maxAttempts = g.classByName(r.Class), g.cfg.Settings.MaxAttempts
	g.requests[r.directorID] = r
	g.bodyBytes += len(r.Body)
}

// overCapacity reports whether more requests, or bytes of their bodies, are open than may be.
func (g *Gateway) overCapacity() bool {
	tooMany := g.cfg.MaxOpenRequests > 0 && len(g.requests) > g.cfg.MaxOpenRequests
	tooLarge := g.cfg.MaxBodyBytes > 0 && g.bodyBytes > g.cfg.MaxBodyBytes
	return tooMany || tooLarge
}

// claimID has a request hold its client's id, and reports false if another open request does. Endpoints would take both
// for one. Clients draw an id for each request, so that the later one is a duplicate, unless the client of the earlier one
// has left and repeats it.
func (g *Gateway) claimID(r *Request) bool {
	if holder := g.requestsByClientID[r.ID]; holder != nil {
		if holder.clientConnected() {
			return false
		}
		g.Abandon(holder)
	}
	if r.ID != "" {
		g.requestsByClientID[r.ID] = r
	}
	return true
}

// limitDeadline has nothing held for longer than any client of the class waits.
func (g *Gateway) limitDeadline(r *Request) {
	if r.class == nil || r.class.Deadline <= 0 {
		return
	}
	if last := g.cfg.Loop.Now().Add(r.class.Deadline); r.Deadline.After(last) {
		r.Deadline = last
	}
}

// startRequest hands a request, whose turn it is, to the director of the locality that is chosen for it.
func (g *Gateway) startRequest(r *Request) {
	if g.pickLocalityOrShed(r) {
		g.submitToDirector(r)
	}
}

// submitToDirector hands a request to the director of its locality.
func (g *Gateway) submitToDirector(r *Request) {
	var admitted *routing.Class
	if r.class != g.classByName(r.Class) { // the class has been reconfigured since
		admitted = r.class
	}
	g.handleEvent(event{request: r, locality: r.locality, Event: routing.Request{
		AdmittedClass: admitted,
		ID:            r.directorID,
		Class:         r.Class,
		Tenant:        r.Tenant,
		Object:        r.Object,
		Part:          r.Part,
		Group:         r.Group,
		SizeKB:        r.SizeKB * cmp.Or(g.cfg.SizeScale, 1),
		Deadline:      g.DirectorTime(r.Deadline),
		Retry:         r.Retry,
		Write:         !r.idempotent(),
	}})
}

// Abandon says that the client has left: no answer is owed to it, and its attempts are canceled.
func (g *Gateway) Abandon(r *Request) {
	if r.answered {
		return
	}
	g.Counters.ClientsGone++
	g.CountAnswer(r.Class, Answer{Outcome: OutcomeFailed})
	g.closeRequest(r)
	g.releaseReservation(r, -1)
	g.handleEvent(event{locality: r.locality, Event: routing.ClientGone{ID: r.directorID}})
	g.cancelAttempts(r)
}

// expireRequest answers a request at its deadline, which the director has let pass.
func (g *Gateway) expireRequest(r *Request) {
	if r.answered {
		return
	}
	g.answerRequest(r, Answer{Outcome: OutcomeExpired, Retryable: r.idempotent(), RetryAfter: g.LongRetryAfter(r.ID), cause: causeDeadline})
	g.handleEvent(event{locality: r.locality, Event: routing.ClientGone{ID: r.directorID}})
	g.cancelAttempts(r)
}
