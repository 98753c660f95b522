package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

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
			r.d.recordFailure(r.d.endpoints[id])
		}
	}
	r.d.updateCarriedRate(roleCache)
	sum := 0.0
	for _, s := range r.d.upEndpoints[roleCache] {
		sum += s.decayedWorkRate(r.now)
	}
	if got := r.d.carriedRate[roleCache]; sum == 0 || got > 1.01*sum/4 {
		t.Errorf("carried %v each, %v in all by four", got, sum)
	}
}

// A server that serves small objects only does no more work for that: what it has carried is what was sent, so that the budget
// of a cold one, which counts each attempt as its class's mean, does not grow by their number.
func TestSmallObjectsDoNotRaiseColdBudgets(t *testing.T) {
	r := newRig(t, untold)
	for n := range 200 { // the class's mean
		r.kb = 1200
		r.after(20*ms).serve("film", fmt.Sprint("large", n%7), ReasonNone)
	}
	for n := range 100 { // twenty a second of a tenth of that, for 5 s
		r.kb = 120
		r.after(50*ms).serve("film", fmt.Sprint("small", n%7), ReasonNone)
	}
	r.d.updateCarriedRate(roleCache)
	if seen, did := 4*r.d.carriedRate[roleCache], 20*0.03; seen > 1.5*did {
		t.Errorf("four caches are taken to do %.2f s of work a second, and did %.2f", seen, did)
	}
}

// i5011b2: floors of a whole attempt for each director added up at a cold parent, and what warm parents
// carry was measured by what was sent. 40 directors, 10 of them just started, must stay within the parent's
// budget.
func TestManyDirectorsTogetherKeepAColdParentsBudget(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(t, 40, nil)
			chance := 0.05 // that a director asks for something
			before := map[string]float64{}
			for range 600 {
				f.askByChance(rng, chance, before)
			}
			warm := (before["p1"] + before["p2"]) / 2 / 6 // work a second that a warm parent did
			l := members()[5:6]
			l[0].Incarnation = f.now
			for i := range 10 {
				f.rigs[i] = f.start(i, 40, nil)
			}
			for _, r := range f.rigs {
				r.now = f.now
				r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
			}
			// Three seconds may bring the multiple of the mean present share; what warm parents did is the least
			// that one can do.
			cold := map[string]float64{}
			chance /= 2 // so that the other parent alone is not seen to do more than it did before
			for range 300 {
				f.askByChance(rng, chance, cold)
			}
			s := settings()
			share := s.ParentSlowStartInitialShare + (1-s.ParentSlowStartInitialShare)*1.5/s.ParentSlowStartDuration.Seconds()
			if most := warm * s.ParentOverloadMultiple * share * 3; cold["p1"] == 0 || cold["p1"] > most {
				t.Errorf("seed %d: a cold parent got %.2f s of work, at most %.2f", seed, cold["p1"], most)
			}
		})
	}
}

// askByChance moves the clock by 10 ms, lets each director ask for a new object with a chance, and adds the work that this
// brings to the sources of the fills.
func (f *fleet) askByChance(rng *rand.Rand, chance float64, work map[string]float64) {
	const sendTime = 0.1 // seconds of work of each request: 400 KB at 4000 KB/s
	f.now += 10 * ms
	for _, r := range f.rigs {
		r.now = f.now
		if rng.Float64() > chance {
			continue
		}
		id, a := r.ask("film", fmt.Sprint("o", rng.IntN(1<<30)))
		if a == nil {
			continue
		}
		work[a.FillSource] += sendTime
		r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 150 * ms})
	}
}

// Where many share a location, one that knows of no warm server has its part of the floor, and no more.
func TestFloorsOfNewDirectorsDoNotAddUp(t *testing.T) {
	f := newFleet(t, 60, nil)
	cold := members()
	for i := range cold[:7] {
		cold[i].Incarnation = f.now
	}
	sent := 0
	for _, r := range f.rigs {
		r.do(EndpointUpdate{Kind: FullList, Endpoints: cold})
	}
	for range 300 {
		f.now += 10 * ms
		for i, r := range f.rigs {
			r.now = f.now
			if _, a := r.ask("film", fmt.Sprint("o", i, sent)); a != nil && a.Endpoint == "c1" {
				sent++
			}
		}
	}
	// the floor is one attempt in the three seconds for all, with room for chance
	if sent > 5 {
		t.Errorf("60 new directors sent a cold cache %d attempts in three seconds", sent)
	}
}

// refund-counters-later rough-1: after a mass restart every cache of a location is cold, and a budget from the work
// carried before starved it although it answered.
func TestAColdLocationThatAnswersGetsMore(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.SlowStartInitialShare, s.SlowStartDuration = 0.05, time.Minute })
	count := func(seconds int) (n int) { // at twenty requests a second
		for range 20 * seconds {
			r.after(50 * ms)
			r.n++
			id := fmt.Sprint("q", r.n)
			a := first[ForwardAttempt](r.do(Request{ID: id, Class: "film", Object: id, SizeKB: 400,
				Deadline: r.now + 6*time.Second}))
			if a != nil && a.Endpoint[0] == 'c' {
				n++
				r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
					Latency: 100 * ms})
			}
		}
		return n
	}
	count(10) // what warm caches carry
	l := members()
	for i := range l[:4] {
		l[i].Incarnation = r.now
	}
	r.do(EndpointUpdate{Kind: FullList, Endpoints: l})
	// By its least share a cache would get a half of its work at the end; it is seen to do more.
	if is := count(12); is > 200 {
		t.Errorf("%d of 240 attempts reached a location that had just started", is)
	}
	if is := count(3); is < 50 {
		t.Errorf("after 12 s without trouble %d of 60 attempts reached the location", is)
	}
}

// The places of directors in the order in which parts are rounded up are even, by their numbers or by their seeds, and other ones
// at each store. Guards against a fleet that rounds alike: all or none of it would send.
func TestDirectorsHaveEvenPlaces(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"by number":           nil,
		"no number told":      func(s *Settings) { s.Index, s.IndexUnknown = 0, true },
		"nothing told at all": func(s *Settings) { s.Index, s.IndexUnknown, s.Directors, s.ZoneDirectors = 0, true, 0, nil },
	} {
		f := newFleet(t, 100, change)
		var quarters, second [4]int
		for _, r := range f.rigs {
			quarters[int(4*r.d.senderPosition(r.d.endpoints["c1"]))]++
			if int(4*r.d.senderPosition(r.d.endpoints["c1"])) == 0 {
				second[int(4*r.d.senderPosition(r.d.endpoints["c2"]))]++
			}
		}
		least, most := 22, 28
		if name != "by number" {
			least, most = 12, 40 // three deviations
		}
		for q, n := range quarters {
			if n < least || n > most {
				t.Errorf("%s: %d of 100 directors have their place in quarter %d", name, n, q+1)
			}
		}
		if name == "by number" && second[0] > 20 {
			t.Errorf("%d of those that come first at one cache come first at the next", second[0])
		}
	}
}

// All directors of a location learn of one new, empty cache within a tenth of a second. Some have several times the mean
// traffic, none hears another, and half of them are dead for a while. In no window is the cache sent more than it can take
// by what warm ones of its size do.
func TestUnevenTrafficKeepsAColdCachesBudget(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 9))
		n := 2 + rng.IntN(60)
		u := unevenFleet{rng: rng}
		u.fleet = newFleet(t, n, func(s *Settings) {
			s.Gossip = true // and none arrives
			s.OverloadWindow, s.OverloadMultiple, s.SlowStartInitialShare, s.SlowStartDuration = time.Second, 2, 0.19, 15*time.Second
		})
		u.rate = make([]float64, n)
		for i := range u.rate {
			u.rate[i] = math.Exp(rng.NormFloat64())
			u.sum += u.rate[i]
		}
		before := map[string]float64{}
		for range 600 {
			u.step(before)
		}
		warm := (before["c1"] + before["c2"] + before["c3"] + before["c4"]) / 4 / 6 // work a second: the least that it can do
		sent := u.startCache()
		for from := 0; from+100 <= len(sent); from++ {
			got, can := 0.0, 0.0
			for k := from; k < from+100; k++ {
				got += sent[k]
				can += warm * (0.19 + 0.81*float64(k)/1500) * 0.01
			}
			// Chance has its part: traffic comes one at a time, and what is warm was measured over six seconds.
			if most := 2*can + 6*unevenSendTime; got > most {
				t.Fatalf("seed %d, %d directors: %.1f s of work within a second, %.1f are allowed", seed, n, got, most)
			}
		}
	}
}

const unevenSendTime = 0.1 // seconds of work of each request

// unevenFleet is a location of directors with uneven traffic.
type unevenFleet struct {
	*fleet
	rng  *rand.Rand
	rate []float64 // of each director's requests,
	sum  float64   // and of all
}

// step moves the clock by 10 ms, lets some directors ask, and adds the work that this brings to the caches.
func (u *unevenFleet) step(work map[string]float64) {
	const perSecond = 200.0
	u.now += 10 * ms
	for i, r := range u.rigs {
		r.now = u.now
		if r.d == nil || u.rng.Float64() > perSecond*u.rate[i]/u.sum*0.01 {
			continue
		}
		if id, a := r.ask("film", fmt.Sprint("o", u.rng.IntN(1<<30))); a != nil {
			work[a.Endpoint] += unevenSendTime
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 150 * ms})
		}
	}
}

// startCache restarts c1, of which each director hears a little later, and gives the work that c1 is sent in each step from
// then on. After a second some directors die, and return knowing the list alone.
func (u *unevenFleet) startCache() (sent []float64) {
	n, rng := len(u.rigs), u.rng
	l := members()[:1]
	l[0].Incarnation = u.now
	heard := make([]time.Duration, n)
	for i := range heard {
		heard[i] = u.now + time.Duration(rng.IntN(100))*ms
	}
	dead := map[int]bool{}
	for i := range n / 2 {
		dead[i] = rng.IntN(2) == 0
	}
	for range 500 {
		for i, r := range u.rigs {
			if heard[i] > 0 && heard[i] <= u.now {
				heard[i] = 0
				r.now = u.now
				r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
			}
		}
		if len(sent) == 100 {
			u.restart(dead, l)
		}
		count := map[string]float64{}
		u.step(count)
		sent = append(sent, count["c1"])
	}
	return sent
}

// restart starts those that died anew.
func (u *unevenFleet) restart(dead map[int]bool, l []Endpoint) {
	for i := range dead {
		if dead[i] {
			u.rigs[i] = u.start(i, len(u.rigs), func(s *Settings) { *s = u.rigs[i].d.set })
			u.rigs[i].do(EndpointUpdate{Kind: FullList, Endpoints: append(members()[1:], l...)})
		}
	}
}
