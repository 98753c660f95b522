package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestInvariantsUnderRandomEvents passes random legal events to a director and checks the
// invariants of its actions: one final answer per request by its deadline, no attempt at an
// endpoint that is not up or, during a pause, is warming up, no repeat that the class's effect
// forbids, and maximum ages that respect purges.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		if err := runRandomEvents(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

type trackedAttempt struct {
	endpoint   string
	at         time.Duration
	ended      bool
	mayHaveRun bool
}

// trackedRequest is a request as the checks track it.
type trackedRequest struct {
	q           Request
	attempts    []trackedAttempt
	answered    bool
	class       Class // when the request was sent
	maxAttempts int   // when the request was sent
}

// randomRun is one sequence of random events, with the state that the checks track.
type randomRun struct {
	rng         *rand.Rand
	settings    Settings
	endpoints   []Endpoint
	d           *Director
	now         time.Duration
	requests    map[string]*trackedRequest
	requestIDs  []string
	timers      []SetTimer
	notUp       map[string]bool
	zone        map[string]string
	cell        map[string]int
	incarnation map[string]time.Duration
	purgedAt    time.Duration
	pausedUntil time.Duration // nothing may be sent to endpoints that are warming up until then
}

func runRandomEvents(seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := randomSettings(rng)
	list := randomEndpoints(rng, s)
	d, err := New(s, seed)
	if err != nil {
		return err
	}
	o := &randomRun{rng: rng, settings: s, endpoints: list, d: d, now: 100 * time.Second, requests: map[string]*trackedRequest{},
		notUp: map[string]bool{}, zone: map[string]string{}, cell: map[string]int{}, incarnation: map[string]time.Duration{}}
	for _, m := range list {
		o.zone[m.ID], o.cell[m.ID] = m.Zone, m.Cell
	}
	if err := o.handle(EndpointUpdate{Kind: StaleList, Endpoints: list}); err != nil {
		return err
	}
	for n := range 3000 {
		o.now += time.Duration(rng.IntN(20)) * ms
		if err := o.fireTimers(); err != nil {
			return err
		}
		if err := o.checkDeadlines(); err != nil {
			return err
		}
		if err := o.step(n); err != nil {
			return err
		}
	}
	return nil
}

func randomSettings(rng *rand.Rand) Settings {
	s := defaultSettings()
	s.HedgedRequests = rng.IntN(2) == 0
	s.CanCancel = rng.IntN(4) > 0
	s.AllowBypass = rng.IntN(2) == 0
	s.Siblings = SiblingMode(rng.IntN(3))
	s.AnswerDetail = AnswerDetail(rng.IntN(3))
	s.Gossip = rng.IntN(2) == 0
	s.SendRetryAfter = rng.IntN(2) == 0
	s.PollDiscovery = rng.IntN(3) == 0
	s.AllowCoalescing, s.HealthChecks, s.WeightsKnown = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	s.LoadReportFields = [][]string{nil, {"cpu_share", "x1", "x0"}, {"busy_reqs"}, {"x0"}}[rng.IntN(4)]
	if rng.IntN(4) == 0 {
		s.ParentKind = -1
	}
	if rng.IntN(4) == 0 {
		s.ZoneDirectors, s.FlowKBps, s.PurgeGrace = nil, 0, 0
	}
	return s
}

func randomEndpoints(rng *rand.Rand, s Settings) []Endpoint {
	list := testEndpoints()
	for i := range list {
		list[i].Weight = float64(rng.IntN(10))
	}
	if s.ParentKind < 0 {
		list = slices.DeleteFunc(list, func(m Endpoint) bool { return m.Kind == "parent" })
	}
	return list
}

// handle passes an event to the director and checks the resulting actions.
func (o *randomRun) handle(e Event) error {
	for _, a := range o.d.Handle(o.now, e, nil) {
		if err := o.check(a); err != nil {
			return err
		}
	}
	return nil
}

func (o *randomRun) check(a Action) error {
	switch a := a.(type) {
	case ForwardAttempt:
		return o.checkAttempt(a)
	case Reject:
		return o.checkReject(a)
	case Fail:
		tracked := o.requests[a.ID]
		if tracked == nil || tracked.answered {
			return fmt.Errorf("%v: second final answer for %s", o.now, a.ID)
		}
		tracked.answered = true
	case CancelAttempt:
		if !o.settings.CanCancel || a.Attempt >= len(o.requests[a.ID].attempts) {
			return fmt.Errorf("%v: CancelAttempt %d of %s is not allowed or names no attempt", o.now, a.Attempt, a.ID)
		}
	case SendGossip:
		if !o.settings.Gossip || len(a.Data) > 256 {
			return fmt.Errorf("%v: gossip %q is longer than 256 bytes or gossip is off", o.now, a.Data)
		}
	case SetTimer:
		o.timers = append(o.timers, a)
	}
	return nil
}

func (o *randomRun) checkAttempt(a ForwardAttempt) error {
	tracked := o.requests[a.ID]
	if tracked == nil || tracked.answered {
		return fmt.Errorf("%v: attempt for %s, which has its final answer", o.now, a.ID)
	}
	if o.notUp[a.Endpoint] || o.notUp[a.FillSource] {
		return fmt.Errorf("%v: attempt uses %s and %s, of which one is not up", o.now, a.Endpoint, a.FillSource)
	}
	if len(tracked.attempts) >= tracked.maxAttempts {
		return fmt.Errorf("%v: attempt %d of %s, want at most %d", o.now, len(tracked.attempts)+1, a.ID, tracked.maxAttempts)
	}
	for _, id := range []string{a.Endpoint, a.FillSource} {
		if started := o.incarnation[id]; o.now < o.pausedUntil && started > 0 && o.d.warmUpDuration(id) > o.now-started {
			return fmt.Errorf("%v: attempt uses %s, which is warming up, during a pause until %v", o.now, id, o.pausedUntil)
		}
	}
	if o.purgedAt > 0 && o.now-o.purgedAt < o.settings.PurgeSettleTime && (a.MaxAge <= 0 || a.MaxAge > o.now-o.purgedAt+ms) {
		return fmt.Errorf("%v: MaxAge %v, want less than the time since the purge, %v", o.now, a.MaxAge, o.now-o.purgedAt)
	}
	if err := o.checkRepeat(tracked, a); err != nil {
		return err
	}
	tracked.attempts = append(tracked.attempts, trackedAttempt{endpoint: a.Endpoint, at: o.now})
	return nil
}

// checkRepeat checks an attempt against the effect of its class and the attempts before it.
func (o *randomRun) checkRepeat(tracked *trackedRequest, a ForwardAttempt) error {
	for _, b := range tracked.attempts {
		if !o.settings.HedgedRequests && !b.ended {
			return fmt.Errorf("%v: hedged request %s, but hedging is off", o.now, a.ID)
		}
		if tracked.class.Effect == Idempotent || b.ended && !b.mayHaveRun {
			continue
		}
		if tracked.class.Effect == NonIdempotent || o.now-b.at > tracked.class.DedupWindow ||
			tracked.class.DedupScope == ScopeZone && o.zone[a.Endpoint] != o.zone[b.endpoint] ||
			tracked.class.DedupScope == ScopeCell && o.cell[a.Endpoint] != o.cell[b.endpoint] {
			return fmt.Errorf("%v: attempt repeats request %s of class %s, which may have been executed", o.now, a.ID, tracked.class.Name)
		}
	}
	return nil
}

func (o *randomRun) checkReject(a Reject) error {
	tracked := o.requests[a.ID]
	if tracked == nil || tracked.answered {
		return fmt.Errorf("%v: second final answer for %s", o.now, a.ID)
	}
	for _, b := range tracked.attempts {
		if (b.mayHaveRun || !b.ended) && tracked.class.Effect != Idempotent {
			return fmt.Errorf("%v: rejected %s of class %s, which may have been executed", o.now, a.ID, tracked.class.Name)
		}
	}
	tracked.answered = true
	return nil
}

// endAttempt passes the result of an attempt to the director, if the attempt has none yet.
func (o *randomRun) endAttempt(id string, i int, status Status) error {
	tracked := o.requests[id]
	b := &tracked.attempts[i]
	if b.ended {
		return nil
	}
	b.ended = true
	b.mayHaveRun = status != Rejected && status != ConnectFailed && status != NotSent && status != Miss
	if status == OK && !tracked.answered {
		tracked.answered = true
	}
	return o.handle(AttemptResult{ID: id, Attempt: i, Endpoint: b.endpoint, Status: status, Reason: Reason(o.rng.IntN(11)),
		Final: tracked.answered, Latency: o.now - b.at, LoadReport: []float64{2 * o.rng.Float64(), math.NaN(), -1}[:o.rng.IntN(4)]})
}

func (o *randomRun) fireTimers() error {
	slices.SortStableFunc(o.timers, func(a, b SetTimer) int { return int(a.At - b.At) })
	for len(o.timers) > 0 && o.timers[0].At <= o.now {
		w := o.timers[0]
		o.timers = o.timers[1:]
		if err := o.handle(TimerFired{Token: w.Token}); err != nil {
			return err
		}
	}
	return nil
}

// checkDeadlines checks that requests are answered by their deadlines, and lets attempts time out.
func (o *randomRun) checkDeadlines() error {
	for _, id := range o.requestIDs {
		tracked := o.requests[id]
		if !tracked.answered && o.now > tracked.q.Deadline+8*ms {
			return fmt.Errorf("%v: %s has no final answer, want one by %v", o.now, id, tracked.q.Deadline)
		}
		if o.now < tracked.q.Deadline {
			continue
		}
		for i := range tracked.attempts {
			if err := o.endAttempt(id, i, TimedOut); err != nil {
				return err
			}
		}
	}
	return nil
}

// step passes one random event to the director.
func (o *randomRun) step(n int) error {
	rng := o.rng
	pick := func() string { return o.requestIDs[max(0, len(o.requestIDs)-1-rng.IntN(30))] }
	switch k := rng.IntN(20); {
	case k < 8:
		return o.sendRequest(n)
	case k < 15 && len(o.requestIDs) > 0:
		id := pick()
		if tracked := o.requests[id]; len(tracked.attempts) > 0 {
			return o.endAttempt(id, rng.IntN(len(tracked.attempts)), Status(rng.IntN(9)))
		}
	case k < 16:
		return o.changeEndpoints()
	case k < 17:
		return o.handle(EndpointUpdate{Kind: WatchLost})
	case k < 18:
		return o.handle(GossipReceived{From: rng.IntN(4), Data: fmt.Sprintf("w1|%d|c%d|%d,a;", rng.IntN(3), rng.IntN(5), n)})
	case k < 19 && rng.IntN(10) == 0:
		o.purgedAt = o.now
		return o.handle(Purge{Group: 1})
	case k < 19 && rng.IntN(10) == 0:
		return o.changeClasses()
	case k < 19 && rng.IntN(10) == 0:
		o.pausedUntil = o.now + time.Duration(rng.IntN(4000))*ms
		return o.handle(PauseSlowStart{Until: o.pausedUntil})
	case len(o.requestIDs) > 0:
		return o.abandon(pick())
	}
	return nil
}

func (o *randomRun) sendRequest(n int) error {
	rng := o.rng
	c := o.settings.Classes[rng.IntN(len(o.settings.Classes)-1)] // all but the streamed class
	id := fmt.Sprint("q", n)
	o.requestIDs = append(o.requestIDs, id)
	q := Request{ID: id, Class: c.Name, Object: fmt.Sprint("o", rng.IntN(40)), Group: 1, Write: c.Uncacheable,
		SizeKB: float64(rng.IntN(3000)), Deadline: o.now + time.Duration(1+rng.IntN(int(c.Deadline/ms)))*ms}
	o.requests[id] = &trackedRequest{q: q, class: c, maxAttempts: o.settings.MaxAttempts}
	return o.handle(q)
}

func (o *randomRun) changeEndpoints() error {
	m := &o.endpoints[o.rng.IntN(len(o.endpoints))]
	m.Phase = Phase(o.rng.IntN(3))
	if m.Phase == Up && o.rng.IntN(2) == 0 {
		m.Incarnation = o.now
	}
	o.incarnation[m.ID] = m.Incarnation
	o.notUp[m.ID] = m.Phase != Up
	kind := DeltaList
	if o.rng.IntN(3) == 0 {
		kind = FullList
	}
	return o.handle(EndpointUpdate{Kind: kind, Endpoints: o.endpoints})
}

// changeClasses gives a random class other settings, and draws another limit on attempts.
func (o *randomRun) changeClasses() error {
	rng := o.rng
	o.settings.Classes = slices.Clone(o.settings.Classes)
	c := &o.settings.Classes[rng.IntN(len(o.settings.Classes)-1)]
	c.Effect, c.DedupScope, c.DedupWindow = Effect(rng.IntN(3)), DedupScope(rng.IntN(3)), time.Duration(1+rng.IntN(2000))*ms
	o.settings.MaxAttempts = 1 + rng.IntN(8)
	return o.handle(Reconfigured{Classes: o.settings.Classes, MaxAttempts: o.settings.MaxAttempts})
}

// abandon ends a request for its client. Results and departures of requests unknown to the director
// must be ignored.
func (o *randomRun) abandon(id string) error {
	if !o.requests[id].answered {
		o.requests[id].answered = true
		if err := o.handle(ClientGone{ID: id}); err != nil {
			return err
		}
	}
	return o.handle(AttemptResult{ID: "nobody", Status: OK})
}
