package locality

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation simulates requests to a Selector and reports their results to it. answer determines
// the result of each locality.
type simulation struct {
	*Selector
	now                time.Duration
	requestCount       uint64 // requests so far
	answer             func(locality int) (r Result, hit bool, utilization float64)
	picked             map[int]int             // requests by locality since reset
	requestsSinceReset int                     // since reset
	localities         map[uint64]map[int]bool // by object: the localities that it went to since reset
	spilled            []float64               // by second: the share that spilled over
	spilledThisSecond  int                     // requests of the current second that spilled over
	requestsThisSecond int                     // requests of the current second
}

func newSimulation(t testing.TB, cfg Config, answer func(int) (Result, bool, float64)) *simulation {
	return &simulation{Selector: newSelector(t, cfg), answer: answer, picked: map[int]int{}, localities: map[uint64]map[int]bool{}}
}

func hash(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// run simulates a span of time with a number of requests per second.
func (d *simulation) run(span time.Duration, rate int) {
	end := d.now + span
	step := time.Second / time.Duration(rate)
	for ; d.now < end; d.now += step {
		if d.now%(DefaultTick) < step {
			d.Tick(d.now)
		}
		d.requestCount++
		d.requestsSinceReset++
		object := hash(d.requestCount % 997)
		locality, retryAfter, ok := d.Pick(d.now, int(d.requestCount%3), object, hash(d.requestCount))
		d.requestsThisSecond++
		if ok && locality > 0 {
			d.spilledThisSecond++
		}
		if d.requestsThisSecond == rate {
			d.spilled = append(d.spilled, float64(d.spilledThisSecond)/float64(d.requestsThisSecond))
			d.spilledThisSecond, d.requestsThisSecond = 0, 0
		}
		if !ok {
			if retryAfter <= 0 {
				panic("a rejection without Retry-After")
			}
			continue
		}
		d.picked[locality]++
		if d.localities[object] == nil {
			d.localities[object] = map[int]bool{}
		}
		d.localities[object][locality] = true
		d.AttemptStarted(d.now, locality)
		r, hit, utilization := d.answer(locality)
		d.AttemptFinished(d.now, locality, r, hit, r == ResultSuccess, utilization)
	}
}

func (d *simulation) reset() { clear(d.picked); clear(d.localities); d.requestsSinceReset = 0 }

// healthy returns a success from a cached copy, with half of the capacity in use.
func healthy(int) (Result, bool, float64) { return ResultSuccess, true, 0.5 }

// While all localities are healthy, all load stays in the own one.
func TestNothingSpillsOverWhileHealthy(t *testing.T) {
	d := newSimulation(t, testConfig(), healthy)
	d.run(5*time.Second, 1000)
	if d.picked[0] != d.requestsSinceReset || d.SpilloverShare() != 0 {
		t.Errorf("requests by locality: %v of %d, want all in the own one", d.picked, d.requestsSinceReset)
	}
}

// Over-provisioning absorbs a failure share of a quarter. With half of the results failing, the
// part beyond that spills over, and no more.
func TestOverProvisioningAbsorbsFailures(t *testing.T) {
	for failureInterval, minShare := range map[uint64]float64{4: 1, 2: 0.6} {
		var d *simulation
		d = newSimulation(t, testConfig(), func(locality int) (Result, bool, float64) {
			if locality == 0 && d.requestCount/3%failureInterval == 0 {
				return ResultFailure, false, 0.5
			}
			return healthy(locality)
		})
		d.run(20*time.Second, 1000)
		d.reset()
		d.run(5*time.Second, 1000)
		if share := float64(d.picked[0]) / float64(d.requestsSinceReset); share < minShare || minShare < 1 && share > 0.85 {
			t.Errorf("with a failure of 1 in %d results, a share of %.2f stays", failureInterval, share)
		}
	}
}

// Objects keep their locality while shares change: when load returns, the objects that spilled over
// last return first.
func TestObjectsKeepTheirLocalityWhileLoadReturns(t *testing.T) {
	faulty := true
	d := newSimulation(t, testConfig(), func(locality int) (Result, bool, float64) {
		if locality == 0 && faulty {
			return ResultFailure, false, -1
		}
		return healthy(locality)
	})
	d.run(10*time.Second, 1000)
	faulty = false
	d.run(7*time.Second, 1000) // the load returns
	d.reset()
	d.run(2*time.Second, 1000)
	split := 0
	for _, localities := range d.localities {
		if len(localities) > 1 {
			split++
		}
	}
	if split > len(d.localities)/2 {
		t.Errorf("%d of %d objects went to several localities within two seconds, want at most half", split, len(d.localities))
	}
}

// Whatever the localities answer, spillover stays within MaxSpillover for each level in every
// second.
func TestSpilloverIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.MaxSpillover = rapid.Float64Range(0.05, 0.5).Draw(t, "spill")
		rate := rapid.SampledFrom([]int{100, 500, 1000}).Draw(t, "rate")
		plan := rapid.SliceOfN(rapid.IntRange(0, 26), 8, 8).Draw(t, "plan")
		var d *simulation
		d = newSimulation(&testing.B{}, cfg, func(locality int) (Result, bool, float64) {
			outcome := plan[int(d.now/(2*time.Second))%len(plan)]
			for range locality {
				outcome /= 3
			}
			return [...]Result{ResultSuccess, ResultFailure, ResultLate}[outcome%3], d.requestCount%4 > 0, float64(outcome%3) / 2
		})
		d.run(16*time.Second, rate)
		for i, s := range d.spilled {
			if s > 2*cfg.MaxSpillover+0.02 {
				t.Fatalf("second %d: a share of %.3f spilled over, limit %.3f for each of two levels", i, s, cfg.MaxSpillover)
			}
		}
	})
}

// A failing locality loses all of its load, a slow or rejecting one a part of it, and a silent one
// is ejected without any result. Requests without capacity in any locality are rejected by
// priority.
func TestFaultyLocalityIsEjected(t *testing.T) {
	for name, result := range map[string]Result{"errors": ResultFailure, "rejections": ResultRejected, "late": ResultLate} {
		d := newSimulation(t, testConfig(), func(locality int) (Result, bool, float64) {
			if locality == 0 {
				return result, false, -1
			}
			return ResultSuccess, true, 0.6
		})
		d.run(5*time.Second, 1000)
		if own := d.View(d.now)[0]; result == ResultFailure && own.Share > 0 || own.Share > 0.75 {
			t.Errorf("%s: a share of %.2f stays in the own locality, want at most 0.75, and 0 if it fails", name, own.Share)
		}
	}
	selector := newSelector(t, testConfig())
	for now := time.Duration(0); now < 3*time.Second; now += 10 * ms {
		if locality, _, ok := selector.Pick(now, 0, hash(uint64(now)), 1); ok && locality == 0 {
			selector.AttemptStarted(now, 0)
		}
		if now%DefaultTick == 0 {
			selector.Tick(now)
		}
	}
	if s := selector.View(3 * time.Second)[0].State; s != StateEjected && s != StateProbation {
		t.Errorf("a silent locality is in state %v, want ejected or on probation", s)
	}
	rejected := map[int]int{}
	for i := range 3000 {
		if _, _, ok := selector.Pick(3*time.Second+time.Duration(i)*ms, i%3, hash(uint64(i)), hash(uint64(i)+7)); !ok {
			rejected[i%3]++
		}
		if i%100 == 0 {
			selector.Tick(3*time.Second + time.Duration(i)*ms)
		}
	}
	if rejected[2] < rejected[0] || rejected[2] == 0 {
		t.Errorf("rejections by band: %v, want most in the last band", rejected)
	}
}

// The backoff before each probation of a locality that stays faulty grows, up to four seconds, and
// gateways with the same observations do not start their probations together.
func TestProbationBackoffGrowsAndVaries(t *testing.T) {
	thirdProbations := map[time.Duration]int{}
	for seed := range uint64(100) {
		cfg := testConfig()
		cfg.Seed = seed
		d := newSimulation(t, cfg, func(locality int) (Result, bool, float64) {
			if locality == 0 {
				return ResultFailure, false, -1
			}
			return healthy(locality)
		})
		var probations []time.Duration
		for last := StateHealthy; d.now < 40*time.Second; d.run(50*ms, 200) {
			if s := d.View(d.now)[0].State; s != last {
				if s == StateProbation {
					probations = append(probations, d.now)
				}
				last = s
			}
		}
		if len(probations) < 8 || len(probations) > 14 {
			t.Fatalf("probations at %v, want 8 to 14", probations)
		}
		for i := 4; i < len(probations); i++ {
			if gap := probations[i] - probations[i-1]; gap < 2500*ms || gap > 5500*ms {
				t.Errorf("seed %d: probations at %v, want the later ones 2.5 s to 5.5 s apart", seed, probations)
			}
		}
		thirdProbations[probations[2]/(200*ms)]++
	}
	for k, n := range thirdProbations {
		if n > 35 {
			t.Errorf("%d of 100 gateways start their third probation within 200 ms of %v, want at most 35", n, k*200*ms)
		}
	}
}

// A locality that recovers and fails again has its backoff doubled each time. In good health the
// backoff decays.
func TestRepeatedEjectionDoublesBackoff(t *testing.T) {
	faulty := false
	d := newSimulation(t, testConfig(), func(locality int) (Result, bool, float64) {
		if locality == 0 && faulty {
			return ResultFailure, false, -1
		}
		return healthy(locality)
	})
	d.run(2*time.Second, 500)
	var backoffs []time.Duration
	for range 4 {
		faulty = true
		d.run(3*time.Second, 500)
		backoffs = append(backoffs, d.View(d.now)[0].Backoff)
		faulty = false
		for faultEndedAt := d.now; d.View(d.now)[0].State != StateRecovering; d.run(100*ms, 500) {
			if d.now-faultEndedAt > 15*time.Second {
				t.Fatalf("the locality does not recover within 15 s of the end of its fault: %+v", d.View(d.now)[0])
			}
		}
		d.run(2*time.Second, 500)
	}
	for i := 1; i < len(backoffs); i++ {
		if backoffs[i] != 2*backoffs[i-1] {
			t.Errorf("backoffs: %v, want each twice the one before", backoffs)
		}
	}
	d.run(90*time.Second, 500)
	if v := d.View(d.now)[0]; v.State != StateHealthy || v.Backoff > 0 {
		t.Errorf("after 90 s in good health: %+v, want healthy and no backoff", v)
	}
}

// If nearly everything looks unhealthy, the fault is elsewhere, and no load is moved.
func TestPanicModeKeepsLoadInOwnLocality(t *testing.T) {
	d := newSimulation(t, testConfig(), func(int) (Result, bool, float64) { return ResultFailure, false, -1 })
	d.run(20*time.Second, 500)
	if !d.Panicking() || d.View(d.now)[0].Share < 1 {
		t.Errorf("panic mode %v, a share of %.2f stays; want all of it in panic mode", d.Panicking(), d.View(d.now)[0].Share)
	}
}

// Spillover follows the spare capacity that localities report: a fully used one gets hardly
// anything.
func TestSpilloverFollowsSpareCapacity(t *testing.T) {
	d := newSimulation(t, testConfig(), func(locality int) (Result, bool, float64) {
		return [...]Result{ResultFailure, ResultSuccess, ResultSuccess}[locality], true, [...]float64{0, 0.9, 0.3}[locality]
	})
	d.run(20*time.Second, 1000)
	v := d.View(d.now)
	if v[1].Share > 0.05 || v[2].Share < 0.25 {
		t.Errorf("share to a fully used locality %.2f, want at most 0.05; to one with spare capacity %.2f, want at least 0.25", v[1].Share, v[2].Share)
	}
}

// A new configuration keeps the state of the localities, and a faulty one changes nothing.
func TestReconfigureKeepsState(t *testing.T) {
	d := newSimulation(t, testConfig(), func(locality int) (Result, bool, float64) {
		return [...]Result{ResultFailure, ResultSuccess, ResultSuccess}[locality], true, 0.4
	})
	d.run(10*time.Second, 500)
	cfg := testConfig()
	cfg.MaxSpillover = 0.1
	if err := d.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	if s := d.View(d.now)[0].State; s == StateHealthy {
		t.Errorf("the own locality counts as healthy after Reconfigure, though it was ejected")
	}
	d.spilled = nil
	d.run(3*time.Second, 500)
	for _, s := range d.spilled[1:] {
		if s > 0.22 {
			t.Errorf("a share of %.2f spilled over, limit 0.1 for each of two levels", s)
		}
	}
	cfg.MaxSpillover = -1
	if err := d.Reconfigure(cfg); err == nil || d.cfg.MaxSpillover != 0.1 {
		t.Errorf("a faulty configuration was applied, or gave no error: %v", err)
	}
}
