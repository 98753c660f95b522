package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/locality"
	"larchusher/overload"
	"larchusher/routing"
)

// Config is what a gateway is made of.
type Config struct {
	Loop     *Loop
	Settings routing.Settings
	Seed     uint64 // of all that is drawn; 0: it is drawn itself
	Backend  Backend
	Gossip   GossipSender // nil: none
	// Permit says whether a store may be sent to, or be named as a source, at this moment; it goes beside the list, and the
	// more cautious of the two holds. nil: any may.
	MayForward      func(store string) bool
	Log             logrus.FieldLogger
	Localities      *locality.Config // localities that requests may go to, the own one first; its Bands and Seed are filled in. nil: the own one only
	SizeScale       float64          // what a KB of a request's told size counts for in Settings.FlowKBps; 0: 1
	MaxOpenRequests int              // requests open at once; further ones are refused. 0: no limit
	MaxBodyBytes    int              // bytes of bodies held at once; further requests are refused. 0: no limit

	// Overload says how the gateway keeps from falling behind. Its Classes, Fronts and LaterMost are filled in from
	// Settings.
	Overload overload.Config
	// Echo has its function called, from anywhere, once whatever reads what comes has read all that came before. It
	// tells by how much that is behind. nil: it never is.
	ReadBarrier func(func())
}

// Gateway runs a director, or one for each of its localities. Its methods may be called only on its loop.
type Gateway struct {
	Counters Counters

	cfg                  Config
	base                 time.Time     // the director's clock is the Unix time at base,
	baseDirectorTime     time.Duration // and runs on steadily whatever happens to the system's clock
	drain                drainState
	requests             map[string]*Request // those that await their answer
	requestsByClientID   map[string]*Request // the same, by their clients' ids
	answeredWithAttempts map[string]*Request // those answered that have attempts out
	lastRequestNumber    uint64
	bodyBytes            int                       // bytes of request bodies held
	outcomes             map[string]*ClassOutcomes // by class

	events   []event
	handling bool
	actions  []routing.Action

	admissionState
	localityState

	retiredClassesTimer *Timer // of classes that a new configuration dropped; nil: there never were any
}

// event waits for its turn with the director of a locality.
type event struct {
	routing.Event
	locality int
	request  *Request // of a routing.Request
}

// Counters count what a gateway takes in and gives out.
type Counters struct {
	Submitted       uint64              // requests taken in
	Answered        [Expired + 1]uint64 // final answers, by outcome
	ClientsGone     uint64              // requests whose client left first
	Attempts        uint64              // attempts handed to the backend
	Ended           [routing.Miss + 1]uint64
	NotSent         uint64 // attempts stopped right before they were written,
	NotPermitted    uint64 // and of them those to machines that are out for work
	DuplicateIDs    uint64 // requests with the id of one that was open
	GoneBeforeWrite uint64 // requests whose client was found to have left right before an attempt was written
	GossipSent      uint64 // messages to peers
	GossipReceived  uint64 // messages from peers
	Purges          uint64
	DirectorPanics  uint64 // events that broke the director
}

// New returns a gateway. Nothing runs before its loop does.
func New(cfg Config) (*Gateway, error) {
	now := time.Now()
	if cfg.Seed == 0 { // guards against a fleet that draws alike, and does the same in the same moment
		cfg.Seed = rand.Uint64()
	}
	g := &Gateway{cfg: cfg, base: now, baseDirectorTime: time.Duration(now.UnixNano()),
		requests: map[string]*Request{}, requestsByClientID: map[string]*Request{}, answeredWithAttempts: map[string]*Request{}, outcomes: map[string]*ClassOutcomes{}}
	g.initClassOutcomes()
	if err := g.initLocalities(); err != nil {
		return nil, err
	}
	if err := g.initAdmission(); err != nil {
		return nil, err
	}
	return g, nil
}

// DirectorTime turns a time into the director's clock.
func (g *Gateway) DirectorTime(t time.Time) time.Duration { return g.baseDirectorTime + t.Sub(g.base) }

func (g *Gateway) now() time.Duration { return g.DirectorTime(g.cfg.Loop.Now()) }

// OpenRequests is the number of requests that still await their answer.
func (g *Gateway) OpenRequests() int { return len(g.requests) }

// UpdateEndpoints tells the director of a list of stores.
func (g *Gateway) UpdateEndpoints(m routing.EndpointUpdate) {
	m = g.drain.applyList(m)
	g.updateLocalityRoster(m)
	g.handleInAll(m)
}

// Purge tells the director of a purge.
func (g *Gateway) Purge(p routing.Purge) {
	g.Counters.Purges++
	g.handleInAll(p)
}

// ReceiveGossip tells the director of a peer's message.
func (g *Gateway) ReceiveGossip(from int, data string) {
	g.Counters.GossipReceived++
	g.handleEvent(event{Event: routing.GossipReceived{From: from, Data: data}})
}

// Submit takes a request in. Its Answer is called once on the loop, maybe before Submit returns, unless the
// front abandons the request first.
func (g *Gateway) Submit(r *Request) {
	g.lastRequestNumber++
	r.directorID = strconv.FormatUint(g.lastRequestNumber, 36)
	g.Counters.Submitted++
	r.class, r.maxAttempts = g.classByName(r.Class), g.cfg.Settings.MaxAttempts
	g.requests[r.directorID] = r
	g.bodyBytes += len(r.Body)
	if g.cfg.MaxOpenRequests > 0 && len(g.requests) > g.cfg.MaxOpenRequests || g.cfg.MaxBodyBytes > 0 && g.bodyBytes > g.cfg.MaxBodyBytes {
		g.answerRequest(r, Answer{Outcome: Rejected, RetryAfter: g.cfg.Settings.MaxRetryAfter, Retryable: true})
		return
	}
	// Guards the request that has the id: to stores both would be one, of which a second attempt is out. An id is new with
	// each request, so the later one is a copy; unless the earlier one's client has left, and asks anew.
	if old := g.requestsByClientID[r.ID]; old != nil && (old.ClientConnected == nil || old.ClientConnected()) {
		g.Counters.DuplicateIDs++
		g.answerRequest(r, Answer{Outcome: Failed})
		return
	} else if old != nil {
		g.Abandon(old)
	}
	if r.ID != "" {
		g.requestsByClientID[r.ID] = r
	}
	// Guards the effect rule: without its key a repeat cannot be told from another request.
	if r.IdempotencyKey == "" && r.needsIdempotencyKey() {
		g.answerRequest(r, Answer{Outcome: Failed})
		return
	}
	// Guards the memory: nothing is held for longer than any client of the class waits.
	if c := r.class; c != nil && c.Deadline > 0 {
		if last := g.cfg.Loop.Now().Add(c.Deadline); r.Deadline.After(last) {
			r.Deadline = last
		}
	}
	// Guards the one answer by the deadline, whatever the director does: it is due Settings.Step earlier.
	r.deadlineTimer = g.cfg.Loop.At(r.Deadline, func() { g.expireRequest(r) })
	g.enqueueRequest(r)
}

// chooseLocality hands a request, whose turn it is, to the director of the locality that it is for.
func (g *Gateway) chooseLocality(r *Request) {
	if !g.pickLocality(r) {
		return
	}
	g.submitToDirector(r)
}

func (g *Gateway) submitToDirector(r *Request) {
	var rules *routing.Class
	if r.class != g.classByName(r.Class) { // others hold by now
		rules = r.class
	}
	g.handleEvent(event{request: r, locality: r.locality, Event: routing.Request{AdmittedClass: rules, ID: r.directorID, Class: r.Class, Tenant: r.Tenant,
		Object: r.Object, Part: r.Part, Group: r.Group, SizeKB: r.SizeKB * cmp.Or(g.cfg.SizeScale, 1), Deadline: g.DirectorTime(r.Deadline), Retry: r.Retry,
		Write: !r.idempotent()}})
}

// Abandon says that the client left: nothing is owed to it, and what is out for it is given up.
func (g *Gateway) Abandon(r *Request) {
	if r.answered {
		return
	}
	g.Counters.ClientsGone++
	g.CountAnswer(r.Class, Answer{Outcome: Failed})
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
	harmless := r.idempotent()
	g.answerRequest(r, Answer{Outcome: Expired, Retryable: harmless, RetryAfter: g.cfg.Settings.MaxRetryAfter / 2})
	g.handleEvent(event{locality: r.locality, Event: routing.ClientGone{ID: r.directorID}})
	g.cancelAttempts(r)
}

// classByName is what the settings say of a class; nil: nothing.
func (g *Gateway) classByName(name string) *routing.Class {
	for i := range g.cfg.Settings.Classes {
		if c := &g.cfg.Settings.Classes[i]; c.Name == name {
			return c
		}
	}
	return nil
}

// idempotent says whether the request may be repeated freely. One of an unknown class never runs.
func (r *Request) idempotent() bool { return r.class == nil || r.class.Effect == routing.Idempotent }

// needsIdempotencyKey says whether the request must carry a key.
func (r *Request) needsIdempotencyKey() bool {
	return r.class != nil && r.class.Effect == routing.IdempotentWithKey
}

// cancelAttempts ends the attempts of a request that nobody waits for.
func (g *Gateway) cancelAttempts(r *Request) {
	for _, a := range r.attempts {
		g.cancelAttempt(a, routing.Canceled)
	}
}

// answerRequest gives a request its final answer, unless it has had one or its client has left. Guards against a
// late second answer: of two attempts, or of one that crosses the deadline.
func (g *Gateway) answerRequest(r *Request, a Answer) {
	if r.answered {
		return
	}
	g.closeRequest(r)
	g.Counters.Answered[a.Outcome]++
	g.CountAnswer(r.Class, a)
	r.Answer(a)
	g.accountAnswer(r, a)
}

func (g *Gateway) closeRequest(r *Request) {
	r.answered = true
	r.deadlineTimer.Stop()
	g.queue.Remove(&r.queueItem)
	for _, t := range r.directorTimers { // a timer that is left would keep the request for as long as its client might have waited
		t.Stop()
	}
	r.directorTimers = nil
	g.bodyBytes -= len(r.Body)
	delete(g.requests, r.directorID)
	if g.requestsByClientID[r.ID] == r {
		delete(g.requestsByClientID, r.ID)
	}
	if r.attemptsInFlight > 0 {
		g.answeredWithAttempts[r.directorID] = r
	}
}

// ConfirmAttempt is asked right before an attempt is written: connecting or queueing took time, in which its store or
// source may have begun to drain, the object may have been purged, the client may have left, or the deadline may
// have passed. It brings the attempt up to date, or reports false once it has ended it as not sent.
func (g *Gateway) ConfirmAttempt(a *Attempt) bool {
	if a.ended {
		return false
	}
	// Guards against an attempt that begins for nobody: that its client has left, or cancelled, may be known to its
	// connection, and wait for its turn on the loop.
	if r := a.Request; !r.answered && r.ClientConnected != nil && !r.ClientConnected() {
		g.Counters.GoneBeforeWrite++
		g.Abandon(r)
		return false
	}
	age, ok := g.directors[a.locality].RecheckAttempt(g.now(), a.Request.directorID, a.number)
	if p := g.cfg.MayForward; p != nil && !(p(a.Endpoint) && (a.FillSource == "" || p(a.FillSource))) {
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
	a.ended = true
	a.timer.Stop()
	g.Counters.Ended[res.Status]++
	if r.attemptsInFlight--; r.attemptsInFlight == 0 {
		delete(g.answeredWithAttempts, r.directorID)
	}
	size := float64(len(res.Body)) / 1000
	if res.Status == routing.OK && !r.answered {
		ans := Answer{Outcome: Served, Body: res.Body, ETag: res.ETag}
		if res.NotModified {
			ans.Outcome = NotModified
		}
		if res.BodyDropped {
			ans = Answer{Outcome: Failed}
			if r.idempotent() {
				ans = Answer{Outcome: Rejected, RetryAfter: g.retryAfter(r), Retryable: true}
			}
			g.Load.NoMemory++
		} else if r.Client != nil && r.idempotent() && !g.memory.Fits(r.Client.account, len(res.Body)) {
			// It is longer than expected, and there is no memory for it until others have been read.
			g.Load.NoMemory++
			ans = Answer{Outcome: Rejected, RetryAfter: g.retryAfter(r), Retryable: true}
			g.releaseReservation(r, len(res.Body))
		}
		keeps := r.RetainsBody
		g.answerRequest(r, ans)
		if keeps {
			res.ReleaseBody = nil
		}
	}
	if res.ReleaseBody != nil {
		res.ReleaseBody()
	}
	// The time ends when the answer came, and leaves out stalls of this program: neither is the store's doing.
	g.recordAttemptResult(a, res)
	g.handleEvent(event{locality: a.locality, Event: routing.AttemptResult{ID: r.directorID, Attempt: a.number, Endpoint: a.Endpoint, Status: res.Status,
		Reason: res.Reason, Final: r.answered, Latency: max(0, res.ReceivedAt.Sub(a.startedAt)-(g.pausedTime-a.pausedAtStart)), FillWait: res.FillWait, LoadReport: res.LoadReport,
		CollateralReset: res.CollateralReset, SizeKB: size}})
}

// cancelAttempt stops waiting for an attempt and says how it ended.
func (g *Gateway) cancelAttempt(a *Attempt, as routing.Status) {
	if !a.ended {
		g.cfg.Backend.Cancel(a)
		g.AttemptEnded(a, Result{Status: as})
	}
}

// handleEvent gives an event to the director and carries out what it wants. What happens meanwhile waits for its
// turn, so that the director sees every event whole and in order.
func (g *Gateway) handleEvent(e event) {
	g.events = append(g.events, e)
	if g.handling {
		return
	}
	g.handling = true
	for len(g.events) > 0 {
		e := g.events[0]
		g.events = g.events[1:]
		for _, a := range g.callDirector(e) {
			g.apply(a, e.locality)
		}
	}
	g.handling, g.events = false, nil
}

// callDirector asks the director. Guards against a panic in it: the request at hand fails, the gateway lives on.
func (g *Gateway) callDirector(e event) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			g.Counters.DirectorPanics++
			g.cfg.Log.WithField("event", fmt.Sprintf("%T", e.Event)).Errorf("the director broke: %v\n%s", p, debug.Stack())
			actions = nil
			if e.request != nil {
				g.answerRequest(e.request, Answer{Outcome: Failed})
			}
		}
	}()
	g.actions = g.directors[e.locality].Handle(g.now(), e.Event, g.actions[:0])
	return g.actions
}

func (g *Gateway) apply(a routing.Action, where int) {
	switch a := a.(type) {
	case routing.ForwardAttempt:
		g.startAttempt(a, where)
	case routing.Reject:
		if g.rerouteRejected(a.ID, where) {
			return
		}
		g.answerByID(a.ID, Answer{Outcome: Rejected, RetryAfter: a.RetryAfter, Retryable: true})
	case routing.Fail:
		if r := g.requests[a.ID]; r != nil && r.locality == where { // guards against a word of a director that it has left
			g.answerByID(a.ID, Answer{Outcome: Failed})
		}
	case routing.CancelAttempt:
		if at := g.findAttempt(a.ID, a.Attempt, where); at != nil {
			g.cancelAttempt(at, routing.Canceled)
		}
	case routing.SetTimer:
		r := g.requests[a.RequestID]
		if a.RequestID != "" && r == nil {
			return // it is over
		}
		t := g.cfg.Loop.At(g.base.Add(a.At-g.baseDirectorTime), func() { g.handleEvent(event{locality: where, Event: routing.TimerFired{Token: a.Token}}) })
		if r != nil {
			r.directorTimers = append(r.directorTimers, t)
		}
	case routing.SendGossip:
		if g.cfg.Gossip != nil {
			g.Counters.GossipSent++
			g.cfg.Gossip.SendGossip(a.To, a.Data)
		}
	case routing.Log:
		g.cfg.Log.Info(a.Text)
	case routing.StartHealthCheck, routing.PollEndpoints: // the platform allows no probes, and pushes the list
	}
}

// answerByID gives a request that the director has given up its answer at once. One given up at its very deadline
// has expired.
func (g *Gateway) answerByID(id string, a Answer) {
	r := g.requests[id]
	if r == nil {
		return
	}
	if !g.cfg.Loop.Now().Before(r.Deadline.Add(-g.cfg.Settings.ClockStep - time.Millisecond)) {
		a.Outcome = Expired
	}
	g.answerRequest(r, a)
}

// startAttempt starts an attempt. Guards the rule against sending for a finished request: it ends as not sent.
func (g *Gateway) startAttempt(a routing.ForwardAttempt, where int) {
	r := g.requests[a.ID]
	if r == nil || r.locality != where {
		return
	}
	now := g.cfg.Loop.Now()
	at := &Attempt{Request: r, Endpoint: a.Endpoint, FillSource: a.FillSource, CacheRank: int(a.CacheRank), MaxAge: a.MaxAge, Coalesce: a.Coalesce,
		OnlyIfCached: a.OnlyIfCached, NoParentCopy: a.NoParentCopy, RefreshAhead: a.RefreshAhead, Deadline: r.Deadline, number: len(r.attempts) - r.firstInLocality, locality: where,
		startedAt: now, pausedAtStart: g.pausedTime}
	if a.FillSource == a.Endpoint {
		at.FillSource = ""
	}
	if a.Timeout > 0 && now.Add(a.Timeout).Before(at.Deadline) {
		at.Deadline = now.Add(a.Timeout)
	}
	r.attempts = append(r.attempts, at)
	r.attemptsInFlight++
	g.Counters.Attempts++
	at.timer = g.cfg.Loop.At(at.Deadline, func() { g.cancelAttempt(at, routing.TimedOut) })
	g.recordAttemptSent(at)
	if most := r.maxAttempts; most > 0 && len(r.attempts) > most { // of several directors together
		g.AttemptEnded(at, Result{Status: routing.NotSent})
		return
	}
	g.cfg.Backend.Send(at)
}

// findAttempt finds an attempt of an open request. Those of finished ones are found through their request.
func (g *Gateway) findAttempt(id string, number, where int) *Attempt {
	r := g.requests[id]
	if r == nil {
		r = g.answeredWithAttempts[id]
	}
	if r == nil {
		return nil
	}
	for _, a := range r.attempts {
		if a.number == number && a.locality == where {
			return a
		}
	}
	return nil
}

// Close answers all that is still open, for a program that must end now.
func (g *Gateway) Close() {
	for _, r := range g.requests {
		g.expireRequest(r)
	}
}

var statusNames = [...]string{"ok", "error", "turned_away", "timed_out", "not_connected", "reset", "cancelled",
	"not_sent", "miss"}

// ByName returns the counters by name.
func (c *Counters) ByName() map[string]uint64 {
	all := map[string]uint64{"taken": c.Submitted, "gone": c.ClientsGone, "attempts": c.Attempts, "withheld": c.NotSent, "held_out": c.NotPermitted, "deserted": c.GoneBeforeWrite, "copied": c.DuplicateIDs,
		"told": c.GossipSent, "heard": c.GossipReceived, "purges": c.Purges, "panics": c.DirectorPanics}
	for i, n := range c.Answered {
		all["answered_"+Outcome(i).String()] = n
	}
	for i, n := range c.Ended {
		all["ended_"+statusNames[i]] = n
	}
	return all
}
