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
	Peers    Peers // nil: none
	// Permit says whether a store may be sent to, or be named as a source, at this moment; it goes beside the list, and the
	// more cautious of the two holds. nil: any may.
	Permit   func(store string) bool
	Log      logrus.FieldLogger
	Tiers    *locality.Config // localities that requests may go to, the own one first; its Bands and Seed are filled in. nil: the own one only
	ToldKB   float64          // what a KB of a request's told size counts for in Settings.FlowKBps; 0: 1
	MaxOpen  int              // requests open at once; further ones are refused. 0: no limit
	MaxBytes int              // bytes of bodies held at once; further requests are refused. 0: no limit

	// Overload says how the gateway keeps from falling behind. Its Classes, Fronts and LaterMost are filled in from
	// Settings.
	Overload overload.Config
	// Echo has its function called, from anywhere, once whatever reads what comes has read all that came before. It
	// tells by how much that is behind. nil: it never is.
	Echo func(func())
}

// Gateway runs a director, or one for each of its localities. Its methods may be called only on its loop.
type Gateway struct {
	Counters Counters

	cfg      Config
	base     time.Time     // the director's clock is the Unix time at base,
	baseUnix time.Duration // and runs on steadily whatever happens to the system's clock
	hold     holds
	requests map[string]*Request // those that await their answer
	refs     map[string]*Request // the same, by their clients' ids
	over     map[string]*Request // those answered that have attempts out
	serial   uint64
	held     int                  // bytes of request bodies held
	outcomes map[string]*Outcomes // by class

	events  []event
	running bool
	actions []routing.Action

	intake
	places

	retirement *Timer // of classes that a new configuration dropped; nil: there never were any
}

// event waits for its turn with the director of a locality.
type event struct {
	routing.Event
	where   int
	request *Request // of a routing.Request
}

// Counters count what a gateway takes in and gives out.
type Counters struct {
	Taken    uint64              // requests taken in
	Answered [Expired + 1]uint64 // final answers, by outcome
	Gone     uint64              // requests whose client left first
	Attempts uint64              // attempts handed to the backend
	Ended    [routing.Miss + 1]uint64
	Withheld uint64 // attempts stopped right before they were written,
	Held     uint64 // and of them those to machines that are out for work
	Copied   uint64 // requests with the id of one that was open
	Deserted uint64 // requests whose client was found to have left right before an attempt was written
	Told     uint64 // messages to peers
	Heard    uint64 // messages from peers
	Purges   uint64
	Panics   uint64 // events that broke the director
}

// New returns a gateway. It does nothing until [Gateway.Start].
func New(cfg Config) (*Gateway, error) {
	now := time.Now()
	if cfg.Seed == 0 { // guards against a fleet that draws alike, and does the same in the same moment
		cfg.Seed = rand.Uint64()
	}
	g := &Gateway{cfg: cfg, base: now, baseUnix: time.Duration(now.UnixNano()),
		requests: map[string]*Request{}, refs: map[string]*Request{}, over: map[string]*Request{}, outcomes: map[string]*Outcomes{}}
	g.countClasses()
	if err := g.makePlaces(); err != nil {
		return nil, err
	}
	if err := g.guard(); err != nil {
		return nil, err
	}
	return g, nil
}

// Clock turns a time into the director's clock.
func (g *Gateway) Clock(t time.Time) time.Duration { return g.baseUnix + t.Sub(g.base) }

func (g *Gateway) now() time.Duration { return g.Clock(g.cfg.Loop.Now()) }

// Open is the number of requests that still await their answer.
func (g *Gateway) Open() int { return len(g.requests) }

// Members tells the director of a list of stores.
func (g *Gateway) Members(m routing.EndpointUpdate) {
	m = g.hold.listed(m)
	g.listed(m)
	g.handleAll(m)
}

// Purge tells the director of a purge.
func (g *Gateway) Purge(p routing.Purge) {
	g.Counters.Purges++
	g.handleAll(p)
}

// Heard tells the director of a peer's message.
func (g *Gateway) Heard(from int, data string) {
	g.Counters.Heard++
	g.handle(event{Event: routing.GossipReceived{From: from, Data: data}})
}

// Submit takes a request in. Its Answer is called once on the loop, maybe before Submit returns, unless the
// front abandons the request first.
func (g *Gateway) Submit(r *Request) {
	g.serial++
	r.id = strconv.FormatUint(g.serial, 36)
	g.Counters.Taken++
	r.class, r.maxAttempts = g.class(r.Class), g.cfg.Settings.MaxAttempts
	g.requests[r.id] = r
	g.held += len(r.Body)
	if g.cfg.MaxOpen > 0 && len(g.requests) > g.cfg.MaxOpen || g.cfg.MaxBytes > 0 && g.held > g.cfg.MaxBytes {
		g.answer(r, Answer{Outcome: Refused, RetryAfter: g.cfg.Settings.MaxRetryAfter, Harmless: true})
		return
	}
	// Guards the request that has the id: to stores both would be one, of which a second attempt is out. An id is new with
	// each request, so the later one is a copy; unless the earlier one's client has left, and asks anew.
	if old := g.refs[r.Ref]; old != nil && (old.There == nil || old.There()) {
		g.Counters.Copied++
		g.answer(r, Answer{Outcome: Failed})
		return
	} else if old != nil {
		g.Abandon(old)
	}
	if r.Ref != "" {
		g.refs[r.Ref] = r
	}
	// Guards the effect rule: without its key a repeat cannot be told from another request.
	if r.Key == "" && r.keyed() {
		g.answer(r, Answer{Outcome: Failed})
		return
	}
	// Guards the memory: nothing is held for longer than any client of the class waits.
	if c := r.class; c != nil && c.Deadline > 0 {
		if last := g.cfg.Loop.Now().Add(c.Deadline); r.Deadline.After(last) {
			r.Deadline = last
		}
	}
	// Guards the one answer by the deadline, whatever the director does: it is due Settings.Step earlier.
	r.expiry = g.cfg.Loop.At(r.Deadline, func() { g.expire(r) })
	g.queueUp(r)
}

// begin hands a request, whose turn it is, to the director of the locality that it is for.
func (g *Gateway) begin(r *Request) {
	if !g.pick(r) {
		return
	}
	g.direct(r)
}

func (g *Gateway) direct(r *Request) {
	var rules *routing.Class
	if r.class != g.class(r.Class) { // others hold by now
		rules = r.class
	}
	g.handle(event{request: r, where: r.where, Event: routing.Request{AdmittedClass: rules, ID: r.id, Class: r.Class, Tenant: r.Tenant,
		Object: r.Object, Part: r.Part, Group: r.Group, SizeKB: r.SizeKB * cmp.Or(g.cfg.ToldKB, 1), Deadline: g.Clock(r.Deadline), Retry: r.Retry,
		Write: !r.safe()}})
}

// Abandon says that the client left: nothing is owed to it, and what is out for it is given up.
func (g *Gateway) Abandon(r *Request) {
	if r.answered {
		return
	}
	g.Counters.Gone++
	g.CountAnswer(r.Class, Answer{Outcome: Failed})
	g.finish(r)
	g.unreserve(r, -1)
	g.handle(event{where: r.where, Event: routing.ClientGone{ID: r.id}})
	g.giveUp(r)
}

// expire answers a request at its deadline, which the director has let pass.
func (g *Gateway) expire(r *Request) {
	if r.answered {
		return
	}
	harmless := r.safe()
	g.answer(r, Answer{Outcome: Expired, Harmless: harmless, RetryAfter: g.cfg.Settings.MaxRetryAfter / 2})
	g.handle(event{where: r.where, Event: routing.ClientGone{ID: r.id}})
	g.giveUp(r)
}

// class is what the settings say of a class; nil: nothing.
func (g *Gateway) class(name string) *routing.Class {
	for i := range g.cfg.Settings.Classes {
		if c := &g.cfg.Settings.Classes[i]; c.Name == name {
			return c
		}
	}
	return nil
}

// safe says whether the request may be repeated freely. One of an unknown class never runs.
func (r *Request) safe() bool { return r.class == nil || r.class.Effect == routing.Idempotent }

// keyed says whether the request must carry a key.
func (r *Request) keyed() bool { return r.class != nil && r.class.Effect == routing.IdempotentWithKey }

// giveUp ends the attempts of a request that nobody waits for.
func (g *Gateway) giveUp(r *Request) {
	for _, a := range r.attempts {
		g.cancel(a, routing.Canceled)
	}
}

// answer gives a request its final answer, unless it has had one or its client has left. Guards against a
// late second answer: of two attempts, or of one that crosses the deadline.
func (g *Gateway) answer(r *Request, a Answer) {
	if r.answered {
		return
	}
	g.finish(r)
	g.Counters.Answered[a.Outcome]++
	g.CountAnswer(r.Class, a)
	r.Answer(a)
	g.settled(r, a)
}

func (g *Gateway) finish(r *Request) {
	r.answered = true
	r.expiry.Stop()
	g.queue.Remove(&r.place)
	for _, t := range r.wakes { // a timer that is left would keep the request for as long as its client might have waited
		t.Stop()
	}
	r.wakes = nil
	g.held -= len(r.Body)
	delete(g.requests, r.id)
	if g.refs[r.Ref] == r {
		delete(g.refs, r.Ref)
	}
	if r.out > 0 {
		g.over[r.id] = r
	}
}

// Clear is asked right before an attempt is written: connecting or queueing took time, in which its store or
// source may have begun to drain, the object may have been purged, the client may have left, or the deadline may
// have passed. It brings the attempt up to date, or reports false once it has ended it as not sent.
func (g *Gateway) Clear(a *Attempt) bool {
	if a.ended {
		return false
	}
	// Guards against an attempt that begins for nobody: that its client has left, or cancelled, may be known to its
	// connection, and wait for its turn on the loop.
	if r := a.Request; !r.answered && r.There != nil && !r.There() {
		g.Counters.Deserted++
		g.Abandon(r)
		return false
	}
	age, ok := g.directors[a.where].RecheckAttempt(g.now(), a.Request.id, a.number)
	if p := g.cfg.Permit; p != nil && !(p(a.Server) && (a.Source == "" || p(a.Source))) {
		ok = false
		g.Counters.Held++
	}
	if !ok || a.Request.answered || !a.Expiry.After(g.cfg.Loop.Now()) {
		g.Counters.Withheld++
		g.Ended(a, Result{Status: routing.NotSent})
		return false
	}
	a.MaxAge = age
	return true
}

// Ended takes in how an attempt ended. The first success is the request's answer.
func (g *Gateway) Ended(a *Attempt, res Result) {
	if a.ended {
		return
	}
	r := a.Request
	now := g.cfg.Loop.Now()
	if res.At.IsZero() || res.At.After(now) {
		res.At = now
	}
	a.ended = true
	a.timer.Stop()
	g.Counters.Ended[res.Status]++
	if r.out--; r.out == 0 {
		delete(g.over, r.id)
	}
	size := float64(len(res.Body)) / 1000
	if res.Status == routing.OK && !r.answered {
		ans := Answer{Outcome: Served, Body: res.Body, Tag: res.Tag}
		if res.Unchanged {
			ans.Outcome = Unchanged
		}
		if res.Dropped {
			ans = Answer{Outcome: Failed}
			if r.safe() {
				ans = Answer{Outcome: Refused, RetryAfter: g.later(r), Harmless: true}
			}
			g.Load.NoMemory++
		} else if r.Client != nil && r.safe() && !g.memory.Fits(r.Client.part, len(res.Body)) {
			// It is longer than expected, and there is no memory for it until others have been read.
			g.Load.NoMemory++
			ans = Answer{Outcome: Refused, RetryAfter: g.later(r), Harmless: true}
			g.unreserve(r, len(res.Body))
		}
		keeps := r.Keeps
		g.answer(r, ans)
		if keeps {
			res.Free = nil
		}
	}
	if res.Free != nil {
		res.Free()
	}
	// The time ends when the answer came, and leaves out stalls of this program: neither is the store's doing.
	g.seen(a, res)
	g.handle(event{where: a.where, Event: routing.AttemptResult{ID: r.id, Attempt: a.number, Endpoint: a.Server, Status: res.Status,
		Reason: res.Note, Final: r.answered, Latency: max(0, res.At.Sub(a.sent)-(g.lost-a.lost)), FillWait: res.FillWait, LoadReport: res.Load,
		CollateralReset: res.Along, SizeKB: size}})
}

// cancel stops waiting for an attempt and says how it ended.
func (g *Gateway) cancel(a *Attempt, as routing.Status) {
	if !a.ended {
		g.cfg.Backend.Cancel(a)
		g.Ended(a, Result{Status: as})
	}
}

// handle gives an event to the director and carries out what it wants. What happens meanwhile waits for its
// turn, so that the director sees every event whole and in order.
func (g *Gateway) handle(e event) {
	g.events = append(g.events, e)
	if g.running {
		return
	}
	g.running = true
	for len(g.events) > 0 {
		e := g.events[0]
		g.events = g.events[1:]
		for _, a := range g.decide(e) {
			g.carryOut(a, e.where)
		}
	}
	g.running, g.events = false, nil
}

// decide asks the director. Guards against a panic in it: the request at hand fails, the gateway lives on.
func (g *Gateway) decide(e event) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			g.Counters.Panics++
			g.cfg.Log.WithField("event", fmt.Sprintf("%T", e.Event)).Errorf("the director broke: %v\n%s", p, debug.Stack())
			actions = nil
			if e.request != nil {
				g.answer(e.request, Answer{Outcome: Failed})
			}
		}
	}()
	g.actions = g.directors[e.where].Handle(g.now(), e.Event, g.actions[:0])
	return g.actions
}

func (g *Gateway) carryOut(a routing.Action, where int) {
	switch a := a.(type) {
	case routing.ForwardAttempt:
		g.ask(a, where)
	case routing.Reject:
		if g.move(a.ID, where) {
			return
		}
		g.close(a.ID, Answer{Outcome: Refused, RetryAfter: a.RetryAfter, Harmless: true})
	case routing.Fail:
		if r := g.requests[a.ID]; r != nil && r.where == where { // guards against a word of a director that it has left
			g.close(a.ID, Answer{Outcome: Failed})
		}
	case routing.CancelAttempt:
		if at := g.attempt(a.ID, a.Attempt, where); at != nil {
			g.cancel(at, routing.Canceled)
		}
	case routing.SetTimer:
		r := g.requests[a.RequestID]
		if a.RequestID != "" && r == nil {
			return // it is over
		}
		t := g.cfg.Loop.At(g.base.Add(a.At-g.baseUnix), func() { g.handle(event{where: where, Event: routing.TimerFired{Token: a.Token}}) })
		if r != nil {
			r.wakes = append(r.wakes, t)
		}
	case routing.SendGossip:
		if g.cfg.Peers != nil {
			g.Counters.Told++
			g.cfg.Peers.Tell(a.To, a.Data)
		}
	case routing.Log:
		g.cfg.Log.Info(a.Text)
	case routing.StartHealthCheck, routing.PollEndpoints: // the platform allows no probes, and pushes the list
	}
}

// close gives a request that the director has given up its answer at once. One given up at its very deadline
// has expired.
func (g *Gateway) close(id string, a Answer) {
	r := g.requests[id]
	if r == nil {
		return
	}
	if !g.cfg.Loop.Now().Before(r.Deadline.Add(-g.cfg.Settings.ClockStep - time.Millisecond)) {
		a.Outcome = Expired
	}
	g.answer(r, a)
}

// ask starts an attempt. Guards the rule against sending for a finished request: it ends as not sent.
func (g *Gateway) ask(a routing.ForwardAttempt, where int) {
	r := g.requests[a.ID]
	if r == nil || r.where != where {
		return
	}
	now := g.cfg.Loop.Now()
	at := &Attempt{Request: r, Server: a.Endpoint, Source: a.FillSource, Keep: int(a.CacheRank), MaxAge: a.MaxAge, Join: a.Coalesce,
		Held: a.OnlyIfCached, NoCopy: a.NoParentCopy, Renew: a.RefreshAhead, Expiry: r.Deadline, number: len(r.attempts) - r.first, where: where,
		sent: now, lost: g.lost}
	if a.FillSource == a.Endpoint {
		at.Source = ""
	}
	if a.Timeout > 0 && now.Add(a.Timeout).Before(at.Expiry) {
		at.Expiry = now.Add(a.Timeout)
	}
	r.attempts = append(r.attempts, at)
	r.out++
	g.Counters.Attempts++
	at.timer = g.cfg.Loop.At(at.Expiry, func() { g.cancel(at, routing.TimedOut) })
	g.went(at)
	if most := r.maxAttempts; most > 0 && len(r.attempts) > most { // of several directors together
		g.Ended(at, Result{Status: routing.NotSent})
		return
	}
	g.cfg.Backend.Send(at)
}

// attempt finds an attempt of an open request. Those of finished ones are found through their request.
func (g *Gateway) attempt(id string, number, where int) *Attempt {
	r := g.requests[id]
	if r == nil {
		r = g.over[id]
	}
	if r == nil {
		return nil
	}
	for _, a := range r.attempts {
		if a.number == number && a.where == where {
			return a
		}
	}
	return nil
}

// Close answers all that is still open, for a program that must end now.
func (g *Gateway) Close() {
	for _, r := range g.requests {
		g.expire(r)
	}
}

var statusNames = [...]string{"ok", "error", "turned_away", "timed_out", "not_connected", "reset", "cancelled",
	"not_sent", "miss"}

// All returns the counters by name.
func (c *Counters) All() map[string]uint64 {
	all := map[string]uint64{"taken": c.Taken, "gone": c.Gone, "attempts": c.Attempts, "withheld": c.Withheld, "held_out": c.Held, "deserted": c.Deserted, "copied": c.Copied,
		"told": c.Told, "heard": c.Heard, "purges": c.Purges, "panics": c.Panics}
	for i, n := range c.Answered {
		all["answered_"+Outcome(i).String()] = n
	}
	for i, n := range c.Ended {
		all["ended_"+statusNames[i]] = n
	}
	return all
}
