package gateway

import (
	"cmp"
	"strconv"
	"time"

	"larchusher/membudget"
	"larchusher/overload"
	"larchusher/routing"
)

// Request is a request as a front submits it. A front sets the exported fields before
// [Gateway.Submit] and must not change them afterwards.
type Request struct {
	ID              string // the client's own id, which endpoints get unchanged
	Class           string
	Tenant          string
	Object          string
	Part            int     // index of the part of the object
	Group           int     // group of the object, which a purge may name instead of the object
	GroupUnknown    bool    // Group is not known to be that of the object
	SizeKB          float64 // size of the part in KB as the client states it; 0: not stated
	IdempotencyKey  string  // needed in classes of effect routing.IdempotentWithKey
	IfNoneMatch     string  // entity tag of a copy that the client holds
	Body            []byte
	Retry           bool         // the client marks the request as a retry
	Deadline        time.Time    // when the client stops waiting; Submit lowers it to the deadline of the class
	Answer          func(Answer) // called once on the loop with the final answer, unless the request is abandoned first
	ClientConnected func() bool  // called on the loop, before writing an attempt and when the ID is used again; nil: always true

	ArrivedAt   time.Time // when its wait in the queue began; zero: when it is submitted
	Front       Front
	Admitted    bool    // Gateway.Admit has admitted the request
	LightClient bool    // its client offers much less than others, see overload.ClientLoad
	Client      *Client // client that its answer's memory is accounted to; nil: answers take no memory for long
	RetainsBody bool    // the answer's body is used after Answer has returned, so its memory is not released

	// Memory accounts for MemoryBytes of the request until it is answered or abandoned. nil: Submit accounts for it.
	Memory      *membudget.Holder
	MemoryBytes int64

	class       *routing.Class // class as configured at arrival; nil: the settings do not name it
	maxAttempts int            // limit on attempts as configured at arrival; 0: no limit

	queueItem      overload.Item
	band           int
	reservedBytes  int64 // bytes of Client's memory reserved for the answer
	directorTimers []*Timer

	directorID       string
	answered         bool
	locality         int  // index of the locality that handles the request
	firstInLocality  int  // index in attempts of the first attempt of that locality
	rerouted         bool // another locality has rejected the request before
	attempts         []*Attempt
	attemptsInFlight int
	deadlineTimer    *Timer
}

// RequestBytes is the memory that an open request takes apart from its body.
const RequestBytes = 1 << 10

// ReleaseMemory ends the account of the request's memory. A front calls it for a request that it does not submit. Further calls
// have no effect.
func (r *Request) ReleaseMemory() {
	if r.Memory != nil {
		r.Memory.Release(r.MemoryBytes)
		r.Memory = nil
	}
}

// idempotent reports whether the request may be repeated freely. That includes requests of unknown
// classes, which never run.
func (r *Request) idempotent() bool { return r.class == nil || r.class.Effect == routing.Idempotent }

// needsIdempotencyKey reports whether the request may be repeated only with its idempotency key.
func (r *Request) needsIdempotencyKey() bool {
	return r.class != nil && r.class.Effect == routing.IdempotentWithKey
}

// clientConnected reports whether the client is still connected, as far as its connection knows.
func (r *Request) clientConnected() bool { return r.ClientConnected == nil || r.ClientConnected() }

// classByName returns a class by its name; nil if the settings do not name it.
func (g *Gateway) classByName(name string) *routing.Class {
	for i := range g.cfg.Settings.Classes {
		if c := &g.cfg.Settings.Classes[i]; c.Name == name {
			return c
		}
	}
	return nil
}

// Submit takes over a request. Its Answer is called once on the loop, possibly before Submit
// returns, unless the front abandons the request first.
func (g *Gateway) Submit(r *Request) {
	g.register(r)
	if g.closed || g.overCapacity() || !g.reserveRequest(r) {
		g.answerRequest(r, Answer{Outcome: OutcomeRejected, RetryAfter: g.LongRetryAfter(r.ID), Retryable: true})
		return
	}
	if !g.claimID(r) {
		g.Counters.DuplicateIDs++
		g.answerRequest(r, Answer{Outcome: OutcomeFailed, cause: causeDuplicateID})
		return
	}
	if r.IdempotencyKey == "" && r.needsIdempotencyKey() { // without a key, endpoints could not tell a retry from another request
		g.answerRequest(r, Answer{Outcome: OutcomeFailed, cause: causeNoIdempotencyKey})
		return
	}
	g.limitDeadline(r)
	// This timer bounds every request, whatever the director does. The director's own deadline is
	// Settings.ClockStep earlier.
	r.deadlineTimer = g.cfg.Loop.At(r.Deadline, func() { g.expireRequest(r) })
	g.enqueueRequest(r)
}

// register adds a request to the open ones, and fixes the configuration of its class and the limit
// on its attempts for as long as it is open.
func (g *Gateway) register(r *Request) {
	g.lastRequestNumber++
	r.directorID = strconv.FormatUint(g.lastRequestNumber, 36)
	g.Counters.Submitted++
	r.class, r.maxAttempts = g.classByName(r.Class), g.cfg.Settings.MaxAttempts
	g.requests[r.directorID] = r
	g.bodyBytes += len(r.Body)
}

// overCapacity reports whether the open requests exceed Config.MaxOpenRequests or
// Config.MaxBodyBytes.
func (g *Gateway) overCapacity() bool {
	tooMany := g.cfg.MaxOpenRequests > 0 && len(g.requests) > g.cfg.MaxOpenRequests
	tooLarge := g.cfg.MaxBodyBytes > 0 && g.bodyBytes > g.cfg.MaxBodyBytes
	return tooMany || tooLarge
}

// reserveRequest accounts for the memory of a request, unless its front has done so, and reports whether there was enough.
func (g *Gateway) reserveRequest(r *Request) bool {
	if r.Memory != nil || g.cfg.Budget == nil {
		return true
	}
	holder, n := g.cfg.Budget.NewHolder(membudget.OpenRequests), int64(RequestBytes+len(r.Body))
	if !holder.Reserve(n, false) {
		return false
	}
	r.Memory, r.MemoryBytes = holder, n
	return true
}

// claimID reserves the client's id for a request, and returns false if another open request has it,
// as endpoints would take both for one request, or if a finished one with it may have run and must not run again. Clients draw a new id for each request, so a second
// request with an id is a duplicate, unless the client of the first one has left and now retries
// it: then the first one is abandoned.
func (g *Gateway) claimID(r *Request) bool {
	if existing := g.requestsByClientID[r.ID]; existing != nil {
		if existing.clientConnected() {
			return false
		}
		g.Abandon(existing)
	}
	if !g.mayRepeat(r) {
		return false
	}
	if r.ID != "" {
		g.requestsByClientID[r.ID] = r
	}
	return true
}

// limitDeadline lowers the deadline of a request to that of its class, counted from now, as no
// client of the class waits longer.
func (g *Gateway) limitDeadline(r *Request) {
	if r.class == nil || r.class.Deadline <= 0 {
		return
	}
	if latest := g.cfg.Loop.Now().Add(r.class.Deadline); r.Deadline.After(latest) {
		r.Deadline = latest
	}
}

// startRequest selects the locality of a request whose turn it is, and submits the request to that
// locality's director.
func (g *Gateway) startRequest(r *Request) {
	if g.pickLocalityOrShed(r) {
		g.submitToDirector(r)
	}
}

// submitToDirector submits a request to the director of its locality.
func (g *Gateway) submitToDirector(r *Request) {
	var admittedClass *routing.Class
	if r.class != g.classByName(r.Class) { // the class has been reconfigured since the request arrived
		admittedClass = r.class
	}
	g.handleEvent(event{request: r, locality: r.locality, Event: routing.Request{
		AdmittedClass: admittedClass,
		ID:            r.directorID,
		Class:         r.Class,
		Tenant:        r.Tenant,
		Object:        r.Object,
		Part:          r.Part,
		Group:         r.Group,
		GroupUnknown:  r.GroupUnknown,
		SizeKB:        r.SizeKB * cmp.Or(g.cfg.SizeScale, 1),
		Deadline:      g.DirectorTime(r.Deadline),
		Retry:         r.Retry,
		LightClient:   r.LightClient,
		Write:         !r.idempotent(),
	}})
}

// Abandon drops a request whose client has left: it gets no answer, and its attempts are canceled.
// It does nothing for a request that was answered.
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

// expireRequest answers a request that its director has not answered by its deadline.
func (g *Gateway) expireRequest(r *Request) {
	if r.answered {
		return
	}
	g.answerRequest(r, Answer{Outcome: OutcomeExpired, Retryable: true, RetryAfter: g.LongRetryAfter(r.ID), cause: causeDeadline})
	g.handleEvent(event{locality: r.locality, Event: routing.ClientGone{ID: r.directorID}})
	g.cancelAttempts(r)
}
