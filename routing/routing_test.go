package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns a small legal site: two locations, a hub with two parents, one origin.
func settings() Settings {
	return Settings{
		Index: 0, Directors: 3, Zone: "here", Zones: []string{"hub", "here", "there"}, ZoneHub: []int{0, 0, 0},
		ZoneDirectors: []int{0, 2, 1}, Kinds: []string{"box", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		Classes: []Class{
			{Name: "film", LatencyObjective: 600 * ms, ObjectiveStretch: 1.6, Deadline: 6 * time.Second, PriorityWeight: 2, Parts: true},
			{Name: "page", LatencyObjective: 250 * ms, ObjectiveStretch: 2, Deadline: 3 * time.Second, PriorityWeight: 1, FreshFor: 8 * time.Second},
			{Name: "pay", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: NonIdempotent, Uncacheable: true},
			{Name: "send", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: IdempotentWithKey, DedupScope: ScopeAll,
				DedupWindow: time.Second, Uncacheable: true},
			{Name: "zoned", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: IdempotentWithKey, DedupScope: ScopeZone,
				DedupWindow: time.Second, Uncacheable: true},
			{Name: "celled", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: IdempotentWithKey, DedupScope: ScopeCell,
				DedupWindow: time.Second},
			{Name: "stream", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Stream: true},
		},
		FlowKBps: 4000, AllowBypass: true, AllowCoalescing: true, Siblings: SiblingsInLocation, AnswerDetail: DetailAll, Gossip: true,
		CanCancel: true, HedgedRequests: true, SendRetryAfter: true, MaxRetryAfter: 500 * ms, MaxAttempts: 6, ClockStep: 2 * ms,
		DrainGrace: 250 * ms, SlowStartFrom: 0.2, SlowStartFor: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: 3 * time.Second,
		ParentSlowStartFrom: 0.06, ParentSlowStartFor: 20 * time.Second, ParentOverloadMultiple: 2,
		PurgeGrace: 300 * ms, PurgeSettleTime: 6 * time.Second, PollWithin: 10 * time.Second,
	}
}

func members() []Endpoint {
	return []Endpoint{
		{ID: "c1", Zone: "here", Kind: "box", Cell: 1}, {ID: "c2", Zone: "here", Kind: "box", Cell: 1},
		{ID: "c3", Zone: "here", Kind: "box", Cell: 2}, {ID: "c4", Zone: "here", Kind: "box", Cell: 2},
		{ID: "x1", Zone: "there", Kind: "box", Cell: 3},
		{ID: "p1", Zone: "hub", Kind: "parent", Cell: 4}, {ID: "p2", Zone: "hub", Kind: "parent", Cell: 4},
		{ID: "o", Zone: "hub", Kind: "origin", Cell: 5},
	}
}

// rig drives one director by hand.
type rig struct {
	t   *testing.T
	d   *Director
	now time.Duration
	n   int
	kb  float64 // size told with each request; 0: none is
}

func newRig(t *testing.T, change func(*Settings)) *rig {
	t.Helper()
	s := settings()
	if change != nil {
		change(&s)
	}
	d, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, d: d, now: time.Hour, kb: 400}
	r.do(EndpointUpdate{Kind: StaleList, Endpoints: members()})
	return r
}

func (r *rig) do(e Event) []Action { return r.d.Handle(r.now, e, nil) }

func (r *rig) after(d time.Duration) *rig { r.now += d; return r }

// ask sends a request for an object and returns its id and the attempt that came of it, if any.
func (r *rig) ask(class, object string) (string, *ForwardAttempt) {
	r.n++
	id := fmt.Sprint("r", r.n)
	deadline := r.d.classes[class].Deadline
	return id, first[ForwardAttempt](r.do(Request{ID: id, Class: class, Object: object, SizeKB: r.kb,
		Deadline: r.now + deadline, Write: r.d.classes[class].Uncacheable}))
}

// serve asks for an object until it is answered as the note says.
func (r *rig) serve(class, object string, note Reason) *ForwardAttempt {
	r.t.Helper()
	id, a := r.ask(class, object)
	if a == nil {
		r.t.Fatalf("no attempt for %s", object)
	}
	r.after(50 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: note, Final: true, Latency: 50 * ms})
	return a
}

// first returns the first action of a type, or nil.
func first[T Action](l []Action) *T {
	for _, a := range l {
		if v, ok := a.(T); ok {
			return &v
		}
	}
	return nil
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Zone", func(s *Settings) { s.Zone = "nowhere" }},
		{"OriginKind", func(s *Settings) { s.OriginKind = 9 }},
		{"ParentKind", func(s *Settings) { s.ParentKind = 9 }},
	} {
		s := settings()
		c.change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error is %v", c.want, err)
		}
	}
}

func TestUnworkableRequestsAreRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		q    Request
	}{
		{"unknown class", Request{ID: "a", Class: "?", Deadline: 2 * time.Hour}},
		{"time is up", Request{ID: "a", Class: "page", Deadline: time.Hour}},
		{"unknown tenant", Request{ID: "a", Class: "page", Tenant: "?", Deadline: 2 * time.Hour}},
	} {
		r := newRig(t, func(s *Settings) { s.Tenants = []string{"known"} })
		out := r.do(c.q)
		if len(out) != 1 || first[Reject](out) == nil || len(r.d.requests) != 0 {
			t.Errorf("%s: %v", c.name, out)
		}
	}
}

func TestListingSticksToTheCacheThatHit(t *testing.T) {
	r := newRig(t, nil)
	home := r.serve("film", "f", ReasonFilled).Endpoint
	same := 0
	for range 100 {
		last := r.d.table[mix(hash("f"))].cache.id
		if r.after(time.Second).serve("film", "f", ReasonHit).Endpoint == last {
			same++
		}
	}
	if same < 90 || same == 100 {
		t.Errorf("%d of 100 requests went to the listed cache", same)
	}
	if other, _ := New(settings(), 99); true { // a director without a table opens at the same home
		other.Handle(0, EndpointUpdate{Kind: FullList, Endpoints: members()}, nil)
		a := first[ForwardAttempt](other.Handle(0, Request{ID: "z", Class: "film", Object: "f", Deadline: time.Second}, nil))
		if a == nil || a.Endpoint != home {
			t.Errorf("opened at %v, the home is %s", a, home)
		}
	}
}

func TestDetourFillsFromTheListedCacheAndKeepsNothing(t *testing.T) {
	r := newRig(t, nil)
	home := r.serve("film", "f", ReasonFilled).Endpoint
	for range 500 {
		id, a := r.after(500*ms).ask("film", "f")
		if a.Endpoint != home {
			if a.FillSource != home || a.CacheRank != 0 {
				t.Errorf("detour %+v, listed on %s", a, home)
			}
			return
		}
		r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 10 * ms})
	}
	t.Error("no detour in 500 requests")
}

func TestHintsMoveAListingUnlessOursIsNewer(t *testing.T) {
	r := newRig(t, nil)
	r.serve("film", "f", ReasonFilled)
	e := r.d.table[mix(hash("f"))]
	for _, c := range []struct {
		data  string
		moves bool
	}{
		{"w1|1|c9|0,%s;", false}, {"w2|1|c1|0,%s;", false}, {"w1|2|c1|0,%s;", false}, {"w1|1|x1|0,%s;", false},
		{"w1|1|c1|x,%s;", false}, {"w1|1|c1|99999,%s;", false}, {"", false},
		{"w1|1|c1|0,%s;" + strings.Repeat("0,1;", 70), false}, {"w1|1|c1|0,%s;", true},
	} {
		e.cache = r.d.endpoints["c2"]
		data := strings.Replace(c.data, "%s", fmt36(e.key), 1)
		r.after(ms).do(GossipReceived{From: 1, Data: data})
		if (e.cache.id == "c1") != c.moves {
			t.Errorf("%q: listed on %s", data, e.cache.id)
		}
	}
}

func fmt36(k uint64) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var b []byte
	for ; k > 0; k /= 36 {
		b = append(b, digits[k%36])
	}
	slices.Reverse(b)
	return string(b)
}

func TestMovesAreToldToTheLocationOnly(t *testing.T) {
	r := newRig(t, nil)
	r.do(GossipReceived{From: 1, Data: "w1|1"})
	r.do(GossipReceived{From: 2, Data: "w1|2"})
	r.serve("film", "f", ReasonFilled)
	out := r.after(gossipInterval).do(TimerFired{Token: gossipToken})
	told := first[SendGossip](out)
	if told == nil || told.To != 1 || len(out) != 1 || len(told.Data) > maxGossipBytes {
		t.Errorf("told %v", out)
	}
}

func TestPurgeBoundsTheAge(t *testing.T) {
	for _, c := range []struct {
		name        string
		p           Purge
		wait        time.Duration
		atLeast, at time.Duration
	}{
		{"object", Purge{Object: "f", Age: 100 * ms}, 400 * ms, 490 * ms, 500 * ms},
		{"group", Purge{Group: 3, Age: 100 * ms}, 400 * ms, 490 * ms, 500 * ms},
		{"never zero", Purge{Group: 3}, 0, 1, 2 * ms},
		{"other group", Purge{Group: 4}, 400 * ms, 0, 0},
		{"settled", Purge{Group: 3}, 7 * time.Second, 0, 0},
	} {
		r := newRig(t, nil)
		r.do(c.p)
		a := first[ForwardAttempt](r.after(c.wait).do(Request{ID: "a", Class: "film", Object: "f", Group: 3,
			Deadline: r.now + time.Second}))
		if a.MaxAge < c.atLeast || a.MaxAge > c.at {
			t.Errorf("%s: age limit %v", c.name, a.MaxAge)
		}
	}
}

func TestDrainedServersGetNothingNew(t *testing.T) {
	r := newRig(t, nil)
	l := members()
	for i := range l {
		if l[i].ID == "c1" || l[i].ID == "p1" {
			l[i].Phase = Draining
		}
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
	for i := range 50 {
		if a := r.serve("film", fmt.Sprint(i), ReasonFilled); a.Endpoint == "c1" || a.FillSource == "p1" {
			t.Fatalf("%+v names a draining server", a)
		}
	}
}

func TestSilentCacheIsLeftBeforeItsTimeout(t *testing.T) {
	for _, second := range []bool{true, false} {
		r := newRig(t, func(s *Settings) { s.HedgedRequests = second })
		home := r.serve("film", "f", ReasonHit).Endpoint
		r.after(ms)
		var ids []string
		var left []Action
		for len(ids) < 3 { // hits that the listed cache owes, while it answers nothing
			if id, a := r.ask("film", "f"); a.Endpoint == home {
				ids = append(ids, id)
			}
		}
		for i, id := range ids {
			left = r.after(500 * ms).do(TimerFired{Token: r.d.requests[id].token})
			if i < 2 && first[CancelAttempt](left) != nil {
				t.Fatalf("left after %d overdue hits", i+1)
			}
		}
		if !second {
			if first[CancelAttempt](left) == nil || first[ForwardAttempt](left) != nil {
				t.Fatalf("without second copies: %v", left)
			}
			left = r.do(AttemptResult{ID: ids[2], Endpoint: home, Status: Canceled, Latency: 500 * ms})
		}
		if b := first[ForwardAttempt](left); b == nil || b.Endpoint == home {
			t.Errorf("second copies %v: after silence of %s: %v", second, home, left)
		}
	}
}

// A cache that waits for one slow fill, at a director with little traffic, is not silent.
func TestSlowFillIsNotSilence(t *testing.T) {
	r := newRig(t, nil)
	for i := range 10 {
		id, _ := r.ask("film", fmt.Sprint(i))
		out := r.after(700 * ms).do(TimerFired{Token: r.d.requests[id].token})
		if first[CancelAttempt](out) != nil || first[ForwardAttempt](out) != nil {
			t.Fatalf("left a cache that waits for a fill: %v", out)
		}
	}
}

func TestEffectsAreNotRepeated(t *testing.T) {
	for _, c := range []struct {
		class      string
		status     Status
		wait       time.Duration
		sent, fail bool
	}{
		{"pay", Reset, 10 * ms, false, true},
		{"pay", ConnectFailed, 10 * ms, true, false},
		{"send", Reset, 10 * ms, true, false},
		{"send", Reset, 1100 * ms, false, false},
		{"zoned", Reset, 1100 * ms, false, true},
	} {
		r := newRig(t, nil)
		id, a := r.ask(c.class, "")
		out := r.after(c.wait).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: c.status, Latency: c.wait})
		if (first[ForwardAttempt](out) != nil) != c.sent || (first[Fail](out) != nil) != c.fail {
			t.Errorf("%s after %v: %v", c.class, c.status, out)
		}
	}
}

func TestLateAnswersBringRefusalsAtOnce(t *testing.T) {
	r := newRig(t, nil)
	refused := 0
	for i := range 200 { // every answer is late: ever fewer may be out
		for j := range 20 {
			r.n++
			id := fmt.Sprint("r", r.n)
			out := r.do(Request{ID: id, Class: "film", Object: fmt.Sprint(i, "-", j), SizeKB: 400,
				Deadline: r.now + 6*time.Second})
			if f := first[Reject](out); f != nil {
				refused++
				if f.RetryAfter <= 0 {
					t.Fatal("a refusal without advice")
				}
			}
		}
		r.after(2 * time.Second)
		ids := make([]string, 0)
		for id := range r.d.requests {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			r.do(AttemptResult{ID: id, Status: OK, Reason: ReasonFilled, Final: true, Latency: 2 * time.Second})
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// TestRulesUnderOddSequences drives a director by odd but legal events and checks the rules on its actions.
func TestRulesUnderOddSequences(t *testing.T) {
	for seed := range uint64(60) {
		if err := odd(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

type sent struct {
	server string
	at     time.Duration
	done   bool
	ran    bool // may have run
}

func odd(seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := settings()
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
	list := members()
	for i := range list {
		list[i].Weight = float64(rng.IntN(10))
	}
	if s.ParentKind < 0 {
		list = slices.DeleteFunc(list, func(m Endpoint) bool { return m.Kind == "parent" })
	}
	d, err := New(s, seed)
	if err != nil {
		return err
	}
	now := 100 * time.Second
	type state struct {
		q        Request
		attempts []sent
		over     bool
		class    Class // as it was when the request came
		most     int   // attempts; likewise
	}
	var (
		open   = map[string]*state{}
		ids    []string
		timers []SetTimer
		down   = map[string]bool{}
		zone   = map[string]string{}
		cell   = map[string]int{}
		boot   = map[string]time.Duration{}
		purged time.Duration
		paused time.Duration // until then nothing goes to cold servers
	)
	for _, m := range list {
		zone[m.ID], cell[m.ID] = m.Zone, m.Cell
	}
	apply := func(out []Action) error {
		for _, a := range out {
			switch a := a.(type) {
			case ForwardAttempt:
				st := open[a.ID]
				if st == nil || st.over {
					return fmt.Errorf("%v: attempt for %s, which is over", now, a.ID)
				}
				if down[a.Endpoint] || down[a.FillSource] {
					return fmt.Errorf("%v: %s or %s is not up", now, a.Endpoint, a.FillSource)
				}
				if len(st.attempts) >= st.most {
					return fmt.Errorf("%v: attempt %d of %s, %d at most", now, len(st.attempts)+1, a.ID, st.most)
				}
				for _, id := range []string{a.Endpoint, a.FillSource} {
					if started := boot[id]; now < paused && started > 0 && d.warmsFor(id) > now-started {
						return fmt.Errorf("%v: %s is cold, and nothing is to go there until %v", now, id, paused)
					}
				}
				if purged > 0 && now-purged < s.PurgeSettleTime && (a.MaxAge <= 0 || a.MaxAge > now-purged+ms) {
					return fmt.Errorf("%v: age limit %v, purged %v ago", now, a.MaxAge, now-purged)
				}
				for _, b := range st.attempts {
					if !s.HedgedRequests && !b.done {
						return fmt.Errorf("%v: second copy of %s", now, a.ID)
					}
					if st.class.Effect == Idempotent || b.done && !b.ran {
						continue
					}
					if st.class.Effect == NonIdempotent || now-b.at > st.class.DedupWindow ||
						st.class.DedupScope == ScopeZone && zone[a.Endpoint] != zone[b.server] ||
						st.class.DedupScope == ScopeCell && cell[a.Endpoint] != cell[b.server] {
						return fmt.Errorf("%v: repeats %s of %s", now, a.ID, st.class.Name)
					}
				}
				st.attempts = append(st.attempts, sent{server: a.Endpoint, at: now})
			case Reject:
				st := open[a.ID]
				if st == nil || st.over {
					return fmt.Errorf("%v: second answer for %s", now, a.ID)
				}
				for _, b := range st.attempts {
					if (b.ran || !b.done) && (st.class.Effect == NonIdempotent ||
						st.class.Effect == IdempotentWithKey && st.class.DedupScope != ScopeAll) {
						return fmt.Errorf("%v: refuses %s of %s, which may have run", now, a.ID, st.class.Name)
					}
				}
				st.over = true
			case Fail:
				st := open[a.ID]
				if st == nil || st.over {
					return fmt.Errorf("%v: second answer for %s", now, a.ID)
				}
				st.over = true
			case CancelAttempt:
				if !s.CanCancel || a.Attempt >= len(open[a.ID].attempts) {
					return fmt.Errorf("%v: cancels attempt %d of %s", now, a.Attempt, a.ID)
				}
			case SendGossip:
				if !s.Gossip || len(a.Data) > 256 {
					return fmt.Errorf("%v: tells %q", now, a.Data)
				}
			case SetTimer:
				timers = append(timers, a)
			}
		}
		return nil
	}
	handle := func(e Event) error { return apply(d.Handle(now, e, nil)) }
	if err := handle(EndpointUpdate{Kind: StaleList, Endpoints: list}); err != nil {
		return err
	}
	end := func(id string, i int, status Status) error {
		st := open[id]
		b := &st.attempts[i]
		if b.done {
			return nil
		}
		b.done = true
		b.ran = status != Rejected && status != ConnectFailed && status != NotSent && status != Miss
		if status == OK && !st.over {
			st.over = true
		}
		return handle(AttemptResult{ID: id, Attempt: i, Endpoint: b.server, Status: status, Reason: Reason(rng.IntN(11)),
			Final: st.over, Latency: now - b.at, LoadReport: []float64{2 * rng.Float64(), math.NaN(), -1}[:rng.IntN(4)]})
	}
	for n := range 3000 {
		now += time.Duration(rng.IntN(20)) * ms
		slices.SortStableFunc(timers, func(a, b SetTimer) int { return int(a.At - b.At) })
		for len(timers) > 0 && timers[0].At <= now {
			w := timers[0]
			timers = timers[1:]
			if err := handle(TimerFired{Token: w.Token}); err != nil {
				return err
			}
		}
		for _, id := range ids {
			st := open[id]
			if !st.over && now > st.q.Deadline+8*ms {
				return fmt.Errorf("%v: %s was lost, due %v", now, id, st.q.Deadline)
			}
			if now >= st.q.Deadline {
				for i := range st.attempts {
					if err := end(id, i, TimedOut); err != nil {
						return err
					}
				}
			}
		}
		var err error
		pick := func() string { return ids[max(0, len(ids)-1-rng.IntN(30))] }
		switch k := rng.IntN(20); {
		case k < 8:
			c := s.Classes[rng.IntN(len(s.Classes)-1)] // all but the streamed one
			id := fmt.Sprint("q", n)
			ids = append(ids, id)
			q := Request{ID: id, Class: c.Name, Object: fmt.Sprint("o", rng.IntN(40)), Group: 1, Write: c.Uncacheable,
				SizeKB: float64(rng.IntN(3000)), Deadline: now + time.Duration(1+rng.IntN(int(c.Deadline/ms)))*ms}
			open[id] = &state{q: q, class: c, most: s.MaxAttempts}
			err = handle(q)
		case k < 15 && len(ids) > 0:
			id := pick()
			if st := open[id]; len(st.attempts) > 0 {
				err = end(id, rng.IntN(len(st.attempts)), Status(rng.IntN(9)))
			}
		case k < 16:
			i := rng.IntN(len(list))
			list[i].Phase = Phase(rng.IntN(3))
			if list[i].Phase == Up && rng.IntN(2) == 0 {
				list[i].Incarnation = now
			}
			boot[list[i].ID] = list[i].Incarnation
			down[list[i].ID] = list[i].Phase != Up
			kind := DeltaList
			if rng.IntN(3) == 0 {
				kind = FullList
			}
			err = handle(EndpointUpdate{Kind: kind, Endpoints: list})
		case k < 17:
			err = handle(EndpointUpdate{Kind: WatchLost})
		case k < 18:
			err = handle(GossipReceived{From: rng.IntN(4), Data: fmt.Sprintf("w1|%d|c%d|%d,a;", rng.IntN(3), rng.IntN(5), n)})
		case k < 19 && rng.IntN(10) == 0:
			purged = now
			err = handle(Purge{Group: 1})
		case k < 19 && rng.IntN(10) == 0: // other rules for some classes, and another number of attempts
			s.Classes = slices.Clone(s.Classes)
			c := &s.Classes[rng.IntN(len(s.Classes)-1)]
			c.Effect, c.DedupScope, c.DedupWindow = Effect(rng.IntN(3)), DedupScope(rng.IntN(3)), time.Duration(1+rng.IntN(2000))*ms
			s.MaxAttempts = 1 + rng.IntN(8)
			err = handle(Reconfigured{Classes: s.Classes, MaxAttempts: s.MaxAttempts})
		case k < 19 && rng.IntN(10) == 0:
			paused = now + time.Duration(rng.IntN(4000))*ms
			err = handle(PauseSlowStart{Until: paused})
		case len(ids) > 0:
			id := pick()
			if !open[id].over {
				open[id].over = true
				err = handle(ClientGone{ID: id})
			}
			if err == nil { // outcomes and departures that it no longer knows are passed over
				err = handle(AttemptResult{ID: "nobody", Status: OK})
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// warmsFor is how long a server takes to warm up.
func (d *Director) warmsFor(id string) time.Duration {
	if s := d.endpoints[id]; s != nil {
		return d.slowStartRamp(s.role).Duration
	}
	return 0
}

// While it is told to pause, a director sends nothing to cold servers; afterwards they have their budget.
func TestNothingGoesToColdServersDuringAPause(t *testing.T) {
	r := newRig(t, nil)
	for i := range 400 { // what warm caches carry
		r.serve("film", fmt.Sprint("a", i), ReasonHit)
	}
	l := members()
	l[0].Incarnation = r.now
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l[:1]})
	r.do(PauseSlowStart{Until: r.now + 2*time.Second})
	until, cold := r.now+2*time.Second, 0
	for i := 0; r.now < until+3*time.Second; i++ {
		if r.serve("film", fmt.Sprint("b", i), ReasonHit).Endpoint != "c1" {
			continue
		}
		if cold++; r.now < until {
			t.Fatalf("the cold cache was sent something %v too early", until-r.now)
		}
	}
	if cold == 0 {
		t.Error("the cold cache gets nothing any more")
	}
}

// TestColdBudget sends a cold cache what it may have, and no more in any window. ridge-assets tells no
// sizes: attempts weighed nothing there, and cold caches were pushed over.
func TestColdBudget(t *testing.T) {
	for _, kb := range []float64{400, 0} {
		t.Run(fmt.Sprint(kb, "KB"), func(t *testing.T) { coldBudget(t, kb) })
	}
}

func coldBudget(t *testing.T, kb float64) {
	r := newRig(t, nil)
	r.kb = kb
	for i := range 400 { // what warm caches carry
		r.serve("film", fmt.Sprint("a", i), ReasonHit)
	}
	l := members()
	l[0].Incarnation = r.now
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l[:1]})
	warm, cold := 0, 0
	for i := range 60 { // three seconds
		switch r.serve("film", fmt.Sprint("b", i), ReasonHit).Endpoint {
		case "c1":
			cold++
		default:
			warm++
		}
	}
	most := float64(warm) / 3 * 2 * 0.4 // multiple x share after 3 s of what one warm cache carries
	if cold == 0 || float64(cold) > most {
		t.Errorf("a cold cache got %d, a warm one %d, at most %.0f", cold, warm/3, most)
	}
}

// Where sizes aren't told, an object that always takes long is large, not late.
func TestLargeObjectsAreNotLateWhereSizesAreUntold(t *testing.T) {
	r := newRig(t, nil)
	r.kb = 0
	for range 40 {
		id, a := r.ask("film", "large")
		if a == nil {
			t.Fatal("refused")
		}
		r.after(900 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 900 * ms})
	}
	for _, s := range r.d.endpoints { // the first answer alone could not be known to be large
		if s.concurrencyLimit.LastCut > time.Hour+900*ms {
			t.Errorf("%s counts as late: %+v", s.id, s.concurrencyLimit)
		}
	}
}

// hold makes a director hold n hits at the cache that lists the object, whose learnt limit is n.
func hold(r *rig, object string, n int) string {
	home := r.serve("film", object, ReasonHit).Endpoint
	s := r.d.endpoints[home]
	s.concurrencyLimit.Max = float64(n)
	for s.concurrencyLimit.InFlight < n {
		r.ask("film", object)
	}
	return home
}

// i125874, abay-lab-cache-later big-1: hits were refused at one cache while its siblings had room.
func TestObjectsFanOutFromAnOvercommittedCache(t *testing.T) {
	r := newRig(t, nil)
	home := hold(r, "hot", 5)
	for range 5 {
		if _, a := r.ask("film", "hot"); a == nil || a.Endpoint == home {
			t.Fatalf("hot object: %+v, overcommitted is %s", a, home)
		}
	}
	for _, s := range r.d.inUse[roleCache] {
		s.concurrencyLimit.Max = 0
	}
	if _, a := r.ask("film", "hot"); a != nil {
		t.Errorf("no cache has room, yet %+v", a)
	}
}

// A server that fails most of its requests stays out although some succeed.
func TestOneSuccessDoesNotClearAFailingCache(t *testing.T) {
	r := newRig(t, nil)
	s := r.d.endpoints["c1"]
	for range 8 {
		r.d.now = r.now
		r.d.recordFailure(s, false)
		r.after(10 * ms)
	}
	r.d.recordSuccess(s)
	if r.d.healthy(s) {
		t.Error("one success after eight failures cleared it")
	}
	for range 4 {
		r.d.recordSuccess(s)
	}
	if !r.d.healthy(s) {
		t.Error("still out after five successes")
	}
}

// When all look ill the fault is elsewhere: requests still go out.
func TestEjectionsKeepAFloor(t *testing.T) {
	r := newRig(t, nil)
	r.d.now = r.now
	for _, s := range r.d.inUse[roleCache] {
		r.d.recordFailure(s, true)
	}
	if _, a := r.ask("film", "f"); a == nil || r.d.endpoints[a.Endpoint].role != roleCache {
		t.Errorf("all caches ejected: %+v", a)
	}
}

// Directors near different hubs must not take different parents for a small difference in distance.
func TestFirstParentUnlessTheSecondIsMuchQuicker(t *testing.T) {
	r := newRig(t, nil)
	key := mix(hash("f"))
	pair := r.d.preferenceOrder(key, r.d.inUse[roleParent])
	for _, c := range []struct {
		first, second time.Duration
		want          *endpoint
	}{{100 * ms, 60 * ms, pair[0]}, {100 * ms, 40 * ms, pair[1]}, {40 * ms, 100 * ms, pair[0]}} {
		pair[0].fillLatency, pair[1].fillLatency = c.first, c.second
		pair[0].fillLatencyAt, pair[1].fillLatencyAt = r.now, r.now
		if _, a := r.ask("film", "f"); a.FillSource != c.want.id {
			t.Errorf("%v and %v: source %s, want %s", c.first, c.second, a.FillSource, c.want.id)
		}
	}
}

// A listing on a cache that restarted is void.
func TestRestartVoidsListings(t *testing.T) {
	r := newRig(t, nil)
	home := r.serve("film", "f", ReasonHit).Endpoint
	e := r.d.table[mix(hash("f"))]
	l := members()
	for i := range l {
		if l[i].ID == home {
			l[i].Incarnation = r.now - time.Second
		}
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
	if e.hitExpectedAt(r.d.endpoints[home]) || len(r.d.endpoints[home].listings) != 0 {
		t.Error("the restarted cache still lists the object")
	}
}

// An answer that got lost on its way is no sign of load: what was sent later, by the same way, was answered in time.
// Such answers cut the limits, and one of two directors refused a seventh of its requests while all was well.
func TestLostAnswersCutNoLimit(t *testing.T) {
	r := newRig(t, nil)
	at := r.serve("page", "x", ReasonFilled).Endpoint
	for i := range 20 {
		id, a := r.ask("page", "x")
		if a == nil {
			t.Fatalf("request %d was refused", i)
		}
		if a.Endpoint != at { // a detour
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: ms})
			continue
		}
		r.after(ms).serve("page", "x", ReasonHit)
		r.after(3 * time.Second)
		r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: TimedOut, Final: true, Latency: 3050 * ms})
	}
	for _, s := range r.d.endpoints {
		if s.concurrencyLimit.LastCut > 0 {
			t.Errorf("%s: %+v", s.id, s.concurrencyLimit)
		}
	}
	if r.d.originFetches.LastCut > 0 {
		t.Errorf("fetches: %+v", r.d.originFetches)
	}
}

// One spoilt answer breaks a connection for all that shares it, and is one failure of the store, not many.
func TestASharedResetIsOneFailure(t *testing.T) {
	for _, along := range []bool{true, false} {
		r := newRig(t, nil)
		at := r.serve("page", "x", ReasonFilled).Endpoint
		var ids []string
		for range 5 {
			id, a := r.ask("page", "x")
			if a == nil || a.Endpoint != at {
				t.Fatalf("%+v", a)
			}
			ids = append(ids, id)
		}
		for i, id := range ids {
			r.do(AttemptResult{ID: id, Endpoint: at, Status: Reset, CollateralReset: along && i > 0, Latency: ms})
		}
		if out := r.d.endpoints[at].ejectedUntil > 0; out == along {
			t.Errorf("along %v: ejected %v", along, out)
		}
	}
}

// Where all caches of a location died, their successors start cold, and what they may be sent rests on what the old
// ones carried while they did. That was first looked at when a cold one came, with none left to tell: the location
// stayed shut.
func TestSuccessorsOfAllCachesAreLetServe(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AllowBypass = false })
	for i := range 400 {
		r.serve("page", fmt.Sprint(i%40), ReasonHit)
	}
	gone, fresh := members()[:4], []Endpoint{}
	for range 20 { // they die
		id, a := r.after(10*ms).ask("page", "x")
		if a != nil {
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ConnectFailed, Final: true, Latency: ms})
		}
	}
	r.after(8 * time.Second)
	for i := range gone {
		gone[i].Phase = Removed
		fresh = append(fresh, Endpoint{ID: fmt.Sprint("n", i), Zone: "here", Kind: "box", Incarnation: r.now})
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: append(gone, fresh...)})
	sent := 0
	for i := range 40 { // two seconds at the old pace
		id, a := r.after(50*ms).ask("page", fmt.Sprint(i))
		if a != nil {
			sent++
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 40 * ms})
		}
	}
	if sent < 15 {
		t.Errorf("%d of 40 requests were sent on", sent)
	}
}

// Where answers don't tell why a fill failed, a cache that still serves hits is well and its source is not. The
// cache was blamed: the dead parent stayed in use, and the next cache was asked with the same source.
func TestAFailedFillIsTheSourcesWhereTheCacheIsWell(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	dead := ""
	for i := range 60 {
		for j := range 20 { // all caches are well
			r.serve("page", fmt.Sprint(j), ReasonHit)
		}
		id, a := r.after(ms).ask("page", fmt.Sprint("new", i))
		if a == nil {
			t.Fatalf("request %d was refused", i)
		}
		if dead == "" {
			dead = a.FillSource
		}
		if a.FillSource != dead {
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: ms})
			continue
		}
		again := first[ForwardAttempt](r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError, Latency: ms}))
		if again == nil || again.FillSource == dead {
			t.Fatalf("request %d: asked again with %+v", i, again)
		}
		r.do(AttemptResult{ID: id, Attempt: 1, Endpoint: again.Endpoint, Status: OK, Final: true, Latency: ms})
	}
	for _, s := range r.d.endpoints {
		if out := s.ejectedUntil > 0; out != (s.id == dead) {
			t.Errorf("%s: ejected %v", s.id, out)
		}
	}
}

// Ids come and go all day: what is gone is forgotten, and its outcomes still due do no harm.
func TestStoresThatAreGoneAreForgotten(t *testing.T) {
	r := newRig(t, nil)
	r.serve("page", "x", ReasonFilled)
	id, a := r.ask("page", "x")
	for i := range 500 {
		m := Endpoint{ID: fmt.Sprint("s", i), Zone: "here", Kind: "box"}
		r.do(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{m}})
		m.Phase = Removed
		r.do(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{m}})
	}
	gone := members()
	for i := range gone {
		gone[i].Phase = Removed
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: gone})
	r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: ms})
	if n := len(r.d.endpoints); n != 0 {
		t.Errorf("%d servers are kept", n)
	}
}

// Caches that are ill count in what the warm ones carry, for the well carry their load. Left out, they made what a
// cold one was sent four times what it could do.
func TestIllCachesCountInWhatIsCarried(t *testing.T) {
	r := newRig(t, nil)
	for i := range 200 {
		r.serve("page", fmt.Sprint(i%40), ReasonHit)
	}
	for _, id := range []string{"c1", "c2"} { // these have answered nothing lately
		r.d.endpoints[id].workRate = 0
		for range 3 {
			r.d.recordFailure(r.d.endpoints[id], false)
		}
	}
	r.d.updateCarriedRate(roleCache)
	sum := 0.0
	for _, s := range r.d.inUse[roleCache] {
		sum += s.recentWorkRate(r.now)
	}
	if got := r.d.carriedRate[roleCache]; sum == 0 || got > 1.01*sum/4 {
		t.Errorf("carried %v each, %v in all by four", got, sum)
	}
}

// A cache that drains before the list says so refuses everything at once, hits and fills. That is its own doing:
// after three refusals it is left alone, and neither the sources nor the other caches lose anything by it.
func TestARefusalAtOnceIsTheCachesOwn(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	draining := r.serve("film", "hot0", ReasonFilled).Endpoint
	for i := range 60 { // these have a home now, and fills have told how soon a source can answer
		r.serve("film", fmt.Sprint("hot", i), ReasonFilled)
	}
	refused := 0
	for i := range 60 {
		object := fmt.Sprint("hot", i)
		if i%2 == 1 {
			object = fmt.Sprint("new", i)
		}
		id, a := r.ask("film", object)
		for n := 0; a != nil && a.Endpoint == draining; n++ {
			refused++
			a = first[ForwardAttempt](r.do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: Rejected}))
		}
		if a == nil {
			t.Fatalf("request %d for %s was given up, with three caches and all sources well", i, object)
		}
		n := len(r.d.requests[id].attempts) - 1
		r.after(40 * ms).do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 40 * ms})
	}
	for _, l := range r.d.inUse[roleParent:] {
		for _, s := range l {
			if s.backoff > 0 || s.concurrencyLimit.Max < 1000 {
				t.Errorf("%s: limit %.1f, ejected for %v", s.id, s.concurrencyLimit.Max, s.backoff)
			}
		}
	}
	if most := r.d.originFetches.Max; most < 1000 {
		t.Errorf("fetches are limited to %.1f", most)
	}
	if refused < 3 || refused > 10 {
		t.Errorf("the draining cache was asked %d times", refused)
	}
}

// An answer that is late because an earlier attempt of its request came to nothing says nothing of load.
func TestTimeOfEarlierAttemptsCutsNoLimit(t *testing.T) {
	r := newRig(t, nil)
	for i := range 30 {
		id, a := r.ask("film", fmt.Sprint("x", i))
		if a == nil {
			t.Fatalf("request %d was refused", i)
		}
		a = first[ForwardAttempt](r.after(1200 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, CollateralReset: true,
			Latency: 1200 * ms}))
		if a == nil {
			t.Fatalf("request %d was not sent again", i)
		}
		r.after(100 * ms).do(AttemptResult{ID: id, Attempt: 1, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 100 * ms})
		for k := range 10 { // further attempts are earned
			r.serve("film", fmt.Sprint("y", i, k), ReasonHit)
		}
	}
	for _, s := range r.d.endpoints {
		if s.concurrencyLimit.Max < 1000 {
			t.Errorf("%s is limited to %.1f", s.id, s.concurrencyLimit.Max)
		}
	}
}

// Where answers get lost on their way, a second copy is sent once the answer is due and later ones have come. Where
// none did, or a limit binds, the answer is waited for.
func TestSecondCopiesOfLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name          string
		lost, limited bool
		copies        int
	}{{"lost", true, false, 1}, {"slow", false, false, 0}, {"limited", true, true, 0}} {
		r := newRig(t, nil)
		at := r.serve("page", "x", ReasonFilled).Endpoint
		overtaken := func() (id string, a *ForwardAttempt) { // an answer that later ones overtake
			for {
				if id, a = r.ask("page", "x"); a.Endpoint == at {
					r.after(ms).serve("page", "x", ReasonHit)
					return id, a
				}
				r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: ms}) // a detour
			}
		}
		if c.lost {
			id, a := overtaken()
			r.after(3 * time.Second)
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: TimedOut, Final: true, Latency: 3050 * ms})
			r.serve("page", "x", ReasonHit)
		}
		if c.limited {
			r.d.endpoints[at].concurrencyLimit.Max = 50
		}
		id, _ := overtaken()
		copies := 0
		for range 5 {
			for _, a := range r.after(100 * ms).do(TimerFired{Token: r.d.requests[id].token}) {
				if _, ok := a.(ForwardAttempt); ok {
					copies++
				}
			}
		}
		if copies != c.copies {
			t.Errorf("%s: %d second copies, not %d", c.name, copies, c.copies)
		}
		if out := r.do(AttemptResult{ID: id, Attempt: copies, Endpoint: at, Status: OK, Final: true}); copies == 1 &&
			first[CancelAttempt](out) == nil {
			t.Errorf("%s: the first attempt is still waited for: %v", c.name, out)
		}
	}
}

// A request that every store answers with an error is at fault itself: it is given up after a few attempts, which
// cost no store its good name, and leaves further attempts to others.
func TestARequestThatNoStoreCanUse(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	for i := range 20 {
		id, a := r.ask("film", fmt.Sprint("bad", i))
		n := 0
		for ; a != nil; n++ {
			a = first[ForwardAttempt](r.do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: ServerError}))
		}
		if n < 2 || n > 3 || r.d.requests[id] != nil {
			t.Fatalf("request %d: %d attempts, open: %v", i, n, r.d.requests[id] != nil)
		}
		for k := range 30 {
			r.serve("film", fmt.Sprint("good", i, k), ReasonHit)
		}
	}
	for _, s := range r.d.endpoints {
		if s.backoff > 0 || s.errorRate > 0 {
			t.Errorf("%s: failing %.2f, ejected for %v", s.id, s.errorRate, s.backoff)
		}
	}
	for i := 0; r.d.endpoints["c1"].backoff == 0; i++ { // one that fails where others do well is left alone
		if i == 200 {
			t.Fatal("a cache that always fails is still asked")
		}
		id, a := r.ask("film", fmt.Sprint("new", i))
		n := 0
		for ; a.Endpoint == "c1"; n++ {
			r.d.endpoints["c1"].lastOK = 0
			a = first[ForwardAttempt](r.do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: ServerError}))
		}
		r.after(20 * ms).do(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 20 * ms})
	}
}

// Sizes come with answers only: a large one that took as long as its bytes have to take isn't late, whatever its class's
// mean. Gateways of a fleet that see a few requests a second cut their limits for each such answer, and refused.
func TestALargeAnswerIsNotLate(t *testing.T) {
	for name, long := range map[string]time.Duration{"in time": 950 * ms, "late": 1900 * ms} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			r.kb = 0
			one := func(object string, latency time.Duration, kb float64) {
				id, a := r.ask("film", object)
				if a == nil {
					return
				}
				r.after(latency).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: latency, SizeKB: kb})
			}
			for i := range 60 {
				one(fmt.Sprint("small", i), 25*ms, 100)
			}
			for i := range 10 { // 0.75 s of sending: the aim is 0.6 s and 1.6 times that
				one(fmt.Sprint("large", i), long, 3000)
			}
			cut := slices.ContainsFunc(r.d.inUse[roleCache], func(s *endpoint) bool { return !math.IsInf(s.concurrencyLimit.Max, 1) })
			if cut != (name == "late") {
				t.Errorf("limits cut: %v", cut)
			}
			if got := r.d.classes["film"].meanTransferTime; got < 30*ms || got > 200*ms { // the mean of all is 129 ms
				t.Errorf("mean sending time of the class %v", got)
			}
		})
	}
}

// zone+vast: one of three parents failed all its fills. Its errors took the further attempts of all requests, so that no
// second one came to show who was at fault, and 80 gateways went on asking it for eleven seconds: 2,500 errors.
func TestAFailingParentIsLeftThoughNoFurtherAttemptIsToHand(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	more := Endpoint{ID: "p3", Zone: "hub", Kind: "parent", Cell: 4}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{more}})
	r.d.retryBudget = 0
	errors := 0
	for i := range 200 {
		id, a := r.ask("film", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		r.d.retryBudget = 0 // what others left
		o := AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 60 * ms}
		if a.FillSource == "p1" {
			errors++
			o = AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError, Latency: 10 * ms}
		}
		r.after(20 * ms).do(o)
	}
	if errors > 20 { // until it is known, and one for each time that it is tried again
		t.Errorf("the failing parent was asked %d times in four seconds", errors)
	}
	for _, s := range r.d.endpoints {
		if s.role != roleParent && s.backoff > 0 {
			t.Errorf("%s was taken out of use for the parent's errors", s.id)
		}
	}
}

// A repeat that is decided in time and waits for its connection is not written once stores may have forgotten the first
// attempt, which may have run. It was: behind a dial of 0.4 s.
func TestARepeatIsNotWrittenBehindItsWindow(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration // from the repeat's decision until it is checked again
		want bool
	}{{300 * ms, true}, {690 * ms, true}, {698 * ms, false}, {time.Second, false}} {
		r := newRig(t, nil)
		id, a := r.ask("send", "x")
		if _, ok := r.d.RecheckAttempt(r.now+2*time.Second, id, 0); !ok {
			t.Error("a first attempt has no window")
		}
		r.d.now = r.now
		out := r.after(300 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: 300 * ms})
		if first[ForwardAttempt](out) == nil {
			t.Fatalf("it is not repeated: %v", out)
		}
		if _, ok := r.d.RecheckAttempt(r.now+c.gap, id, 1); ok != c.want {
			t.Errorf("%v after the first attempt: %v", 300*ms+c.gap, ok)
		}
	}
}

// Whatever effect the settings give a class, kept or not, read or written: what may have run goes nowhere again where it
// must not, and is not refused where a repeat would do harm.
func TestEachEffectInEachKindOfClass(t *testing.T) {
	for _, kept := range []bool{true, false} {
		for _, effect := range []Effect{Idempotent, IdempotentWithKey, NonIdempotent} {
			for _, scope := range []DedupScope{ScopeAll, ScopeZone, ScopeCell} {
				for _, late := range []bool{false, true} { // the window has passed
					r := newRig(t, func(s *Settings) {
						s.Classes = []Class{{Name: "k", LatencyObjective: 300 * ms, Deadline: 3 * time.Second, Effect: effect, DedupScope: scope,
							DedupWindow: 400 * ms, Uncacheable: !kept}}
					})
					id, a := r.ask("k", "x")
					if a == nil {
						t.Fatal("no attempt")
					}
					from := r.d.endpoints[a.Endpoint]
					gap := 100 * ms
					if late {
						gap = 500 * ms
					}
					out := r.after(gap).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: gap})
					again, refused, failed := first[ForwardAttempt](out), first[Reject](out), first[Fail](out)
					what := fmt.Sprintf("kept %v, effect %v, scope %v, late %v: %v", kept, effect, scope, late, out)
					if again != nil {
						to := r.d.endpoints[again.Endpoint]
						if effect == NonIdempotent || effect == IdempotentWithKey && (late || scope == ScopeZone && to.zone != from.zone ||
							scope == ScopeCell && to.cell != from.cell) {
							t.Error(what)
						}
					}
					if refused != nil && (effect == NonIdempotent || effect == IdempotentWithKey && scope != ScopeAll) {
						t.Error(what)
					}
					if again == nil && refused == nil && failed == nil || effect == NonIdempotent && failed == nil {
						t.Error(what)
					}
				}
			}
		}
	}
}
