package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// warmsFor is how long a server takes to warm up.
func (d *Director) warmUpDuration(id string) time.Duration {
	if s := d.endpoints[id]; s != nil {
		return d.slowStartRamp(s.role).Duration
	}
	return 0
}

// While it is told to pause, a director sends nothing to cold servers; afterwards they have their budget.
func TestPauseStopsSlowStart(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 400 { // what warm caches carry
		r.serve("film", fmt.Sprint("a", i), ReasonHit)
	}
	endpoints := testEndpoints()
	endpoints[0].Incarnation = r.now
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: endpoints[:1]})
	r.handle(PauseSlowStart{Until: r.now + 2*time.Second})
	until, toColdCache := r.now+2*time.Second, 0
	for i := 0; r.now < until+3*time.Second; i++ {
		if r.serve("film", fmt.Sprint("b", i), ReasonHit).Endpoint != "c1" {
			continue
		}
		if toColdCache++; r.now < until {
			t.Fatalf("the cold cache was sent something %v too early", until-r.now)
		}
	}
	if toColdCache == 0 {
		t.Error("the cold cache gets nothing any more")
	}
}

// TestColdBudget sends a cold cache what it may have, and no more in any window. ridge-assets tells no
// sizes: attempts weighed nothing there, and cold caches were pushed over.
func TestSlowStartBudget(t *testing.T) {
	for _, kb := range []float64{400, 0} {
		t.Run(fmt.Sprint(kb, "KB"), func(t *testing.T) { testSlowStartBudget(t, kb) })
	}
}

func testSlowStartBudget(t *testing.T, kb float64) {
	r := newHarness(t, nil)
	r.sizeKB = kb
	for i := range 400 { // what warm caches carry
		r.serve("film", fmt.Sprint("a", i), ReasonHit)
	}
	l := testEndpoints()
	l[0].Incarnation = r.now
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: l[:1]})
	toWarmCaches, toColdCache := 0, 0
	for i := range 60 { // three seconds
		switch r.serve("film", fmt.Sprint("b", i), ReasonHit).Endpoint {
		case "c1":
			toColdCache++
		default:
			toWarmCaches++
		}
	}
	maxAttempts := float64(toWarmCaches) / 3 * 2 * 0.4 // multiple x share after 3 s of what one warm cache carries
	if toColdCache == 0 || float64(toColdCache) > maxAttempts {
		t.Errorf("a cold cache got %d, a warm one %d, at most %.0f", toColdCache, toWarmCaches/3, maxAttempts)
	}
}

// Caches that are ill count in what the warm ones carry, for the well carry their load. Left out, they made what a
// cold one was sent four times what it could do.
func TestEjectedCachesCountInWarmRate(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 200 {
		r.serve("page", fmt.Sprint(i%40), ReasonHit)
	}
	for _, id := range []string{"c1", "c2"} { // these have answered nothing lately
		r.d.endpoints[id].workRate = 0
		for range 3 {
			r.d.recordFailure(r.d.endpoints[id])
		}
	}
	r.d.updateWarmRate(roleCache)
	sum := 0.0
	for _, s := range r.d.upEndpoints[roleCache] {
		sum += s.decayedWorkRate(r.now)
	}
	if got := r.d.warmRate[roleCache]; sum == 0 || got > 1.01*sum/4 {
		t.Errorf("carried %v each, %v in all by four", got, sum)
	}
}

// A server that serves small objects only does no more work for that: what it has carried is what was sent, so that the budget
// of a cold one, which counts each attempt as its class's mean, does not grow by their number.
func TestSmallObjectsDoNotRaiseSlowStartBudgets(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	for n := range 200 { // the class's mean
		r.sizeKB = 1200
		r.advance(20*ms).serve("film", fmt.Sprint("large", n%7), ReasonNone)
	}
	for n := range 100 { // twenty a second of a tenth of that, for 5 s
		r.sizeKB = 120
		r.advance(50*ms).serve("film", fmt.Sprint("small", n%7), ReasonNone)
	}
	r.d.updateWarmRate(roleCache)
	if estimated, done := 4*r.d.warmRate[roleCache], 20*0.03; estimated > 1.5*done {
		t.Errorf("four caches are taken to do %.2f s of work a second, and did %.2f", estimated, done)
	}
}

// i5011b2: floors of a whole attempt for each director added up at a cold parent, and what warm parents
// carry was measured by what was sent. 40 directors, 10 of them just started, must stay within the parent's
// budget.
func TestManyDirectorsStayWithinSlowStartBudget(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newDirectorGroup(t, 40, nil)
			probability := 0.05 // that a director asks for something
			workBefore := map[string]float64{}
			for range 600 {
				f.stepRandomRequests(rng, probability, workBefore)
			}
			warmRate := (workBefore["p1"] + workBefore["p2"]) / 2 / 6 // work a second that a warm parent did
			l := testEndpoints()[5:6]
			l[0].Incarnation = f.now
			for i := range 10 {
				f.directors[i] = f.startDirector(i, 40, nil)
			}
			for _, r := range f.directors {
				r.now = f.now
				r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: l})
			}
			// Three seconds may bring the multiple of the mean present share; what warm parents did is the least
			// that one can do.
			workAfter := map[string]float64{}
			probability /= 2 // so that the other parent alone is not seen to do more than it did before
			for range 300 {
				f.stepRandomRequests(rng, probability, workAfter)
			}
			s := defaultSettings()
			capacityShare := s.ParentSlowStartInitialShare + (1-s.ParentSlowStartInitialShare)*1.5/s.ParentSlowStartDuration.Seconds()
			if maxWork := warmRate * s.ParentOverloadMultiple * capacityShare * 3; workAfter["p1"] == 0 || workAfter["p1"] > maxWork {
				t.Errorf("seed %d: a cold parent got %.2f s of work, at most %.2f", seed, workAfter["p1"], maxWork)
			}
		})
	}
}

// askByChance moves the clock by 10 ms, lets each director ask for a new object with a chance, and adds the work that this
// brings to the sources of the fills.
func (f *directorGroup) stepRandomRequests(rng *rand.Rand, probability float64, work map[string]float64) {
	const transferSeconds = 0.1 // seconds of work of each request: 400 KB at 4000 KB/s
	f.now += 10 * ms
	for _, r := range f.directors {
		r.now = f.now
		if rng.Float64() > probability {
			continue
		}
		id, a := r.send("film", fmt.Sprint("o", rng.IntN(1<<30)))
		if a == nil {
			continue
		}
		work[a.FillSource] += transferSeconds
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 150 * ms})
	}
}

// Where many share a location, one that knows of no warm server has its part of the floor, and no more.
func TestNewDirectorsShareTheBudgetFloor(t *testing.T) {
	f := newDirectorGroup(t, 60, nil)
	endpoints := testEndpoints()
	for i := range endpoints[:7] {
		endpoints[i].Incarnation = f.now
	}
	sent := 0
	for _, r := range f.directors {
		r.handle(EndpointUpdate{Kind: FullList, Endpoints: endpoints})
	}
	for range 300 {
		f.now += 10 * ms
		for i, r := range f.directors {
			r.now = f.now
			if _, a := r.send("film", fmt.Sprint("o", i, sent)); a != nil && a.Endpoint == "c1" {
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
func TestAllCachesWarmingUpGetMoreOnceTheyAnswer(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.SlowStartInitialShare, s.SlowStartDuration = 0.05, time.Minute })
	countReachingCaches := func(seconds int) (n int) { // at twenty requests a second
		for range 20 * seconds {
			r.advance(50 * ms)
			r.lastID++
			id := fmt.Sprint("q", r.lastID)
			a := firstAction[ForwardAttempt](r.handle(Request{ID: id, Class: "film", Object: id, SizeKB: 400,
				Deadline: r.now + 6*time.Second}))
			if a != nil && a.Endpoint[0] == 'c' {
				n++
				r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
					Latency: 100 * ms})
			}
		}
		return n
	}
	countReachingCaches(10) // what warm caches carry
	l := testEndpoints()
	for i := range l[:4] {
		l[i].Incarnation = r.now
	}
	r.handle(EndpointUpdate{Kind: FullList, Endpoints: l})
	// By its least share a cache would get a half of its work at the end; it is seen to do more.
	if reached := countReachingCaches(12); reached > 200 {
		t.Errorf("%d of 240 attempts reached a location that had just started", reached)
	}
	if reached := countReachingCaches(3); reached < 50 {
		t.Errorf("after 12 s without trouble %d of 60 attempts reached the location", reached)
	}
}

// The places of directors in the order in which parts are rounded up are even, by their numbers or by their seeds, and other ones
// at each store. Guards against a fleet that rounds alike: all or none of it would send.
func TestSenderPositionsAreEven(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"by number":           nil,
		"no number told":      func(s *Settings) { s.Index, s.IndexUnknown = 0, true },
		"nothing told at all": func(s *Settings) { s.Index, s.IndexUnknown, s.Directors, s.ZoneDirectors = 0, true, 0, nil },
	} {
		f := newDirectorGroup(t, 100, change)
		var quarters, secondQuarters [4]int
		for _, r := range f.directors {
			quarters[int(4*r.d.senderPosition(r.d.endpoints["c1"]))]++
			if int(4*r.d.senderPosition(r.d.endpoints["c1"])) == 0 {
				secondQuarters[int(4*r.d.senderPosition(r.d.endpoints["c2"]))]++
			}
		}
		minCount, maxCount := 22, 28
		if name != "by number" {
			minCount, maxCount = 12, 40 // three deviations
		}
		for q, n := range quarters {
			if n < minCount || n > maxCount {
				t.Errorf("%s: %d of 100 directors have their place in quarter %d", name, n, q+1)
			}
		}
		if name == "by number" && secondQuarters[0] > 20 {
			t.Errorf("%d of those that come first at one cache come first at the next", secondQuarters[0])
		}
	}
}

// All directors of a location learn of one new, empty cache within a tenth of a second. Some have several times the mean
// traffic, none hears another, and half of them are dead for a while. In no window is the cache sent more than it can take
// by what warm ones of its size do.
func TestUnevenTrafficStaysWithinSlowStartBudget(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 9))
		n := 2 + rng.IntN(60)
		group := unevenGroup{rng: rng}
		group.directorGroup = newDirectorGroup(t, n, func(s *Settings) {
			s.Gossip = true // and none arrives
			s.OverloadWindow, s.OverloadMultiple, s.SlowStartInitialShare, s.SlowStartDuration = time.Second, 2, 0.19, 15*time.Second
		})
		group.rate = make([]float64, n)
		for i := range group.rate {
			group.rate[i] = math.Exp(rng.NormFloat64())
			group.sum += group.rate[i]
		}
		workBefore := map[string]float64{}
		for range 600 {
			group.step(workBefore)
		}
		warmRate := (workBefore["c1"] + workBefore["c2"] + workBefore["c3"] + workBefore["c4"]) / 4 / 6 // work a second: the least that it can do
		sent := group.restartCache()
		for from := 0; from+100 <= len(sent); from++ {
			work, capacity := 0.0, 0.0
			for k := from; k < from+100; k++ {
				work += sent[k]
				capacity += warmRate * (0.19 + 0.81*float64(k)/1500) * 0.01
			}
			// Chance has its part: traffic comes one at a time, and what is warm was measured over six seconds.
			if maxWork := 2*capacity + 6*unevenTransferSeconds; work > maxWork {
				t.Fatalf("seed %d, %d directors: %.1f s of work within a second, %.1f are allowed", seed, n, work, maxWork)
			}
		}
	}
}

const unevenTransferSeconds = 0.1 // seconds of work of each request

// unevenFleet is a location of directors with uneven traffic.
type unevenGroup struct {
	*directorGroup
	rng  *rand.Rand
	rate []float64 // of each director's requests,
	sum  float64   // and of all
}

// step moves the clock by 10 ms, lets some directors ask, and adds the work that this brings to the caches.
func (u *unevenGroup) step(work map[string]float64) {
	const perSecond = 200.0
	u.now += 10 * ms
	for i, r := range u.directors {
		r.now = u.now
		if r.d == nil || u.rng.Float64() > perSecond*u.rate[i]/u.sum*0.01 {
			continue
		}
		if id, a := r.send("film", fmt.Sprint("o", u.rng.IntN(1<<30))); a != nil {
			work[a.Endpoint] += unevenTransferSeconds
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 150 * ms})
		}
	}
}

// startCache restarts c1, of which each director hears a little later, and gives the work that c1 is sent in each step from
// then on. After a second some directors die, and return knowing the list alone.
func (u *unevenGroup) restartCache() (sent []float64) {
	n, rng := len(u.directors), u.rng
	l := testEndpoints()[:1]
	l[0].Incarnation = u.now
	learnsAt := make([]time.Duration, n)
	for i := range learnsAt {
		learnsAt[i] = u.now + time.Duration(rng.IntN(100))*ms
	}
	dead := map[int]bool{}
	for i := range n / 2 {
		dead[i] = rng.IntN(2) == 0
	}
	for range 500 {
		for i, r := range u.directors {
			if learnsAt[i] > 0 && learnsAt[i] <= u.now {
				learnsAt[i] = 0
				r.now = u.now
				r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: l})
			}
		}
		if len(sent) == 100 {
			u.restartDirectors(dead, l)
		}
		work := map[string]float64{}
		u.step(work)
		sent = append(sent, work["c1"])
	}
	return sent
}

// restart starts those that died anew.
func (u *unevenGroup) restartDirectors(dead map[int]bool, l []Endpoint) {
	for i := range dead {
		if dead[i] {
			u.directors[i] = u.startDirector(i, len(u.directors), func(s *Settings) { *s = u.directors[i].d.settings })
			u.directors[i].handle(EndpointUpdate{Kind: FullList, Endpoints: append(testEndpoints()[1:], l...)})
		}
	}
}
