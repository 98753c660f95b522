package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// warmUpDuration returns the time that an endpoint takes to warm up; 0 if it is unknown.
func (d *Director) warmUpDuration(id string) time.Duration {
	if s := d.endpoints[id]; s != nil {
		return d.slowStartRamp(s.role).Duration
	}
	return 0
}

// During a pause a director sends nothing to endpoints that are warming up; afterwards it uses
// their budget again.
func TestPauseStopsSlowStart(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 400 { // sets the rate of warm caches
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
			t.Fatalf("an attempt was forwarded to the cold cache %v before the end of the pause", until-r.now)
		}
	}
	if toColdCache == 0 {
		t.Error("no attempt was forwarded to the cold cache after the pause")
	}
}

// A cold cache is sent attempts, but not more than its budget allows, with and without known sizes.
// Guards against attempts of unknown size that cost nothing, which overloaded cold caches.
func TestSlowStartBudget(t *testing.T) {
	for _, kb := range []float64{400, 0} {
		t.Run(fmt.Sprint(kb, "KB"), func(t *testing.T) { testSlowStartBudget(t, kb) })
	}
}

func testSlowStartBudget(t *testing.T, kb float64) {
	r := newHarness(t, nil)
	r.sizeKB = kb
	for i := range 400 { // sets the rate of warm caches
		r.serve("film", fmt.Sprint("a", i), ReasonHit)
	}
	endpoints := testEndpoints()
	endpoints[0].Incarnation = r.now
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: endpoints[:1]})
	toWarmCaches, toColdCache := 0, 0
	for i := range 60 { // three seconds
		switch r.serve("film", fmt.Sprint("b", i), ReasonHit).Endpoint {
		case "c1":
			toColdCache++
		default:
			toWarmCaches++
		}
	}
	maxAttempts := float64(toWarmCaches) / 3 * 2 * 0.4 // overload multiple times capacity share after 3 s, of a warm cache's attempts
	if toColdCache == 0 || float64(toColdCache) > maxAttempts {
		t.Errorf("%d attempts at the cold cache, %d at a warm one; want at least 1 and at most %.0f at the cold one", toColdCache, toWarmCaches/3, maxAttempts)
	}
}

// Ejected caches count in the mean rate of warm caches, because the healthy ones serve their load.
// Without them the mean was so high that a cold cache was sent four times what it could serve.
func TestEjectedCachesCountInWarmRate(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 200 {
		r.serve("page", fmt.Sprint(i%40), ReasonHit)
	}
	for _, id := range []string{"c1", "c2"} { // these answered nothing recently
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
		t.Errorf("warm rate %v per cache, want a quarter of the total rate %v", got, sum)
	}
}

// An endpoint that serves only small objects does not do more work by that. Its measured rate
// counts the objects' own transfer times, so that the budget of a cold endpoint, which counts each
// attempt as its class's mean, does not grow with their number.
func TestSmallObjectsDoNotRaiseSlowStartBudgets(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	for n := range 200 { // sets the class's mean
		r.sizeKB = 1200
		r.advance(20*ms).serve("film", fmt.Sprint("large", n%7), ReasonNone)
	}
	for n := range 100 { // ten per second (serve takes 50 ms more), of a tenth of the size
		r.sizeKB = 120
		r.advance(50*ms).serve("film", fmt.Sprint("small", n%7), ReasonNone)
	}
	r.d.updateWarmRate(roleCache)
	if estimated, done := 4*r.d.warmRate[roleCache], 20*0.03; estimated > 1.5*done {
		t.Errorf("the measured rate of four caches is %.2f s of work per second, want at most 1.5 times %.2f", estimated, done)
	}
}

// 40 directors, 10 of them newly started, together stay within the budget of a cold parent. Guards
// against two faults that overloaded a cold parent: each director had a floor of a whole attempt,
// and the rate of warm parents was measured by what was sent, not by what was answered.
func TestManyDirectorsStayWithinSlowStartBudget(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newDirectorGroup(t, 40, nil)
			probability := 0.05 // that a director sends a request in a step
			workBefore := map[string]float64{}
			for range 600 {
				f.stepRandomRequests(rng, probability, workBefore)
			}
			warmRate := (workBefore["p1"] + workBefore["p2"]) / 2 / 6 // work per second of a warm parent
			endpoints := testEndpoints()[5:6]
			endpoints[0].Incarnation = f.now
			for i := range 10 {
				f.directors[i] = f.startDirector(i, 40, nil)
			}
			for _, r := range f.directors {
				r.now = f.now
				r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: endpoints})
			}
			// Three seconds allow the overload multiple of the mean capacity share; the rate of the
			// warm parents is a lower bound of what one can serve.
			workAfter := map[string]float64{}
			probability /= 2 // so that the other parent alone does not serve more than before
			for range 300 {
				f.stepRandomRequests(rng, probability, workAfter)
			}
			s := defaultSettings()
			capacityShare := s.ParentSlowStartInitialShare + (1-s.ParentSlowStartInitialShare)*1.5/s.ParentSlowStartDuration.Seconds()
			if maxWork := warmRate * s.ParentOverloadMultiple * capacityShare * 3; workAfter["p1"] == 0 || workAfter["p1"] > maxWork {
				t.Errorf("seed %d: the cold parent was sent %.2f s of work, want more than 0 and at most %.2f", seed, workAfter["p1"], maxWork)
			}
		})
	}
}

// stepRandomRequests moves the clock by 10 ms, lets each director send a request for a new object
// with the given probability, and adds the resulting work to its fill source.
func (f *directorGroup) stepRandomRequests(rng *rand.Rand, probability float64, work map[string]float64) {
	const transferSeconds = 0.1 // work per request: 400 kB at 4000 kB/s
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

// Among many new directors of a location, each of which knows no warm endpoint, a director gets
// only its share of the budget's floor.
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
	// The floor is one attempt in three seconds over all directors, plus a margin for chance.
	if sent > 5 {
		t.Errorf("60 new directors sent a cold cache %d attempts in three seconds, want at most 5", sent)
	}
}

// After a mass restart every cache of a location is cold. Guards against a budget that depends only
// on the rate before the restart, and starves the location although its caches answer.
func TestAllCachesWarmingUpGetMoreOnceTheyAnswer(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.SlowStartInitialShare, s.SlowStartDuration = 0.05, time.Minute })
	countReachingCaches := func(seconds int) (n int) { // at twenty requests per second
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
	countReachingCaches(10) // sets the rate of warm caches
	endpoints := testEndpoints()
	for i := range endpoints[:4] {
		endpoints[i].Incarnation = r.now
	}
	r.handle(EndpointUpdate{Kind: FullList, Endpoints: endpoints})
	// By its initial share alone, a cache would be sent half of its work at the end; it is observed
	// to do more.
	if reached := countReachingCaches(12); reached > 200 {
		t.Errorf("%d of 240 attempts reached the caches, which had just started, want at most 200", reached)
	}
	if reached := countReachingCaches(3); reached < 50 {
		t.Errorf("after 12 s without failures %d of 60 attempts reached the caches, want at least 50", reached)
	}
}

// The directors' positions in the order in which shares are rounded up are even, by their indices
// or their seeds, and differ between endpoints. Guards against directors that all round alike, so
// that all or none of them would send.
func TestSenderPositionsAreEven(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"by number":                 nil,
		"unknown index":             func(s *Settings) { s.Index, s.IndexUnknown = 0, true },
		"unknown index and numbers": func(s *Settings) { s.Index, s.IndexUnknown, s.Directors, s.ZoneDirectors = 0, true, 0, nil },
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
			minCount, maxCount = 12, 40 // three standard deviations
		}
		for q, n := range quarters {
			if n < minCount || n > maxCount {
				t.Errorf("%s: %d of 100 directors have positions in quarter %d, want about 25", name, n, q+1)
			}
		}
		if name == "by number" && secondQuarters[0] > 20 {
			t.Errorf("%d directors are in the first quarter at two caches, want at most 20", secondQuarters[0])
		}
	}
}

// All directors of a location learn of a new, empty cache within a tenth of a second. Some have
// several times the mean traffic, none receives gossip, and half of them may be down for a while.
// In no window is the cache sent more than it can serve, by the rate of warm caches of its size.
func TestUnevenTrafficStaysWithinSlowStartBudget(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 9))
		n := 2 + rng.IntN(60)
		group := unevenGroup{rng: rng}
		group.directorGroup = newDirectorGroup(t, n, func(s *Settings) {
			s.Gossip = true // but no message arrives
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
		warmRate := (workBefore["c1"] + workBefore["c2"] + workBefore["c3"] + workBefore["c4"]) / 4 / 6 // work per second: a lower bound of what a cache can serve
		sent := group.restartCache()
		for from := 0; from+100 <= len(sent); from++ {
			work, capacity := 0.0, 0.0
			for k := from; k < from+100; k++ {
				work += sent[k]
				capacity += warmRate * (0.19 + 0.81*float64(k)/1500) * 0.01
			}
			// A margin for chance: requests come one at a time, and the rate of warm caches was
			// measured over six seconds.
			if maxWork := 2*capacity + 6*unevenTransferSeconds; work > maxWork {
				t.Fatalf("seed %d, %d directors: %.1f s of work within a second, want at most %.1f", seed, n, work, maxWork)
			}
		}
	}
}

const unevenTransferSeconds = 0.1 // work per request, in seconds

// unevenGroup is a location whose directors have uneven traffic.
type unevenGroup struct {
	*directorGroup
	rng  *rand.Rand
	rate []float64 // by director: relative rate of its requests
	sum  float64   // sum of rate
}

// step moves the clock by 10 ms, lets some directors send a request, and adds the resulting work to
// the target caches.
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

// restartCache restarts c1, which each director learns within 100 ms, and returns the work that c1
// is sent in each step from then on. After a second some directors restart, knowing only the
// endpoint list.
func (u *unevenGroup) restartCache() (sent []float64) {
	n, rng := len(u.directors), u.rng
	endpoints := testEndpoints()[:1]
	endpoints[0].Incarnation = u.now
	learnsAt := make([]time.Duration, n)
	for i := range learnsAt {
		learnsAt[i] = u.now + time.Duration(rng.IntN(100))*ms
	}
	killed := map[int]bool{}
	for i := range n / 2 {
		killed[i] = rng.IntN(2) == 0
	}
	for range 500 {
		for i, r := range u.directors {
			if learnsAt[i] > 0 && learnsAt[i] <= u.now {
				learnsAt[i] = 0
				r.now = u.now
				r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: endpoints})
			}
		}
		if len(sent) == 100 {
			u.restartDirectors(killed, endpoints)
		}
		work := map[string]float64{}
		u.step(work)
		sent = append(sent, work["c1"])
	}
	return sent
}

// restartDirectors restarts the directors that are marked in killed.
func (u *unevenGroup) restartDirectors(killed map[int]bool, endpoints []Endpoint) {
	for i := range killed {
		if killed[i] {
			u.directors[i] = u.startDirector(i, len(u.directors), func(s *Settings) { *s = u.directors[i].d.settings })
			u.directors[i].handle(EndpointUpdate{Kind: FullList, Endpoints: append(testEndpoints()[1:], endpoints...)})
		}
	}
}
