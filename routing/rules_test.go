package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

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
