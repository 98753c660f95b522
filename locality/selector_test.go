package locality

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drive simulates requests to a Selector, which picks localities and is told of the results. How each locality answers is
// the test's.
type drive struct {
	*Selector
	now        time.Duration
	n          uint64 // requests so far
	answer     func(locality int) (r Result, hit bool, utilization float64)
	picked     map[int]int             // requests by locality, since reset
	requests   int                     // since reset
	localities map[uint64]map[int]bool // by object: where it went since reset
	spilled    []float64               // by second: share that spilled over
	elsewhere  int                     // requests of this second that spilled over
	total      int                     // requests of this second
}

func newDrive(t testing.TB, cfg Config, answer func(int) (Result, bool, float64)) *drive {
	return &drive{Selector: build(t, cfg), answer: answer, picked: map[int]int{}, localities: map[uint64]map[int]bool{}}
}

func hash(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// run simulates a span of time with a number of requests a second.
func (d *drive) run(span time.Duration, rate int) {
	end := d.now + span
	step := time.Second / time.Duration(rate)
	for ; d.now < end; d.now += step {
		if d.now%(DefaultTick) < step {
			d.Tick(d.now)
		}
		d.n++
		d.requests++
		object := hash(d.n % 997)
		locality, retryAfter, ok := d.Pick(d.now, int(d.n%3), object, hash(d.n))
		d.total++
		if ok && locality > 0 {
			d.elsewhere++
		}
		if d.total == rate {
			d.spilled = append(d.spilled, float64(d.elsewhere)/float64(d.total))
			d.elsewhere, d.total = 0, 0
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

func (d *drive) reset() { clear(d.picked); clear(d.localities); d.requests = 0 }

// healthy answers well, with half of the capacity in use.
func healthy(int) (Result, bool, float64) { return ResultSuccess, true, 0.5 }

// While all localities are healthy the load stays.
func TestAllStaysWhileHealthy(t *testing.T) {
	d := newDrive(t, config(), healthy)
	d.run(5*time.Second, 1000)
	if d.picked[0] != d.requests || d.SpilloverShare() != 0 {
		t.Errorf("%v of %d stayed", d.picked, d.requests)
	}
}

// A quarter of the results are failures: over-provisioning takes it. Half: the rest spills over, and no more.
func TestOverProvisioning(t *testing.T) {
	for bad, least := range map[uint64]float64{4: 1, 2: 0.6} {
		var d *drive
		d = newDrive(t, config(), func(where int) (Result, bool, float64) {
			if where == 0 && d.n/3%bad == 0 {
				return ResultFailure, false, 0.5
			}
			return healthy(where)
		})
		d.run(20*time.Second, 1000)
		d.reset()
		d.run(5*time.Second, 1000)
		if share := float64(d.picked[0]) / float64(d.requests); share < least || least < 1 && share > 0.85 {
			t.Errorf("1 of %d is bad: %.2f stay", bad, share)
		}
	}
}

// An object keeps to its locality while shares move: when load comes back, what spilled over last comes back first.
func TestObjectsKeepTheirLocality(t *testing.T) {
	faulty := true
	d := newDrive(t, config(), func(where int) (Result, bool, float64) {
		if where == 0 && faulty {
			return ResultFailure, false, -1
		}
		return healthy(where)
	})
	d.run(10*time.Second, 1000)
	faulty = false
	d.run(7*time.Second, 1000) // it returns
	d.reset()
	d.run(2*time.Second, 1000)
	torn := 0
	for _, localities := range d.localities {
		if len(localities) > 1 {
			torn++
		}
	}
	if torn > len(d.localities)/2 {
		t.Errorf("%d of %d objects went to several places in two seconds", torn, len(d.localities))
	}
}

// Whatever the localities answer, what spills over is within its bounds in every second: a third of the load to each level.
func TestSpilloverIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.MaxSpillover = rapid.Float64Range(0.05, 0.5).Draw(t, "spill")
		rate := rapid.SampledFrom([]int{100, 500, 1000}).Draw(t, "rate")
		plan := rapid.SliceOfN(rapid.IntRange(0, 26), 8, 8).Draw(t, "plan")
		var d *drive
		d = newDrive(&testing.B{}, cfg, func(where int) (Result, bool, float64) {
			how := plan[int(d.now/(2*time.Second))%len(plan)]
			for range where {
				how /= 3
			}
			return [...]Result{ResultSuccess, ResultFailure, ResultLate}[how%3], d.n%4 > 0, float64(how%3) / 2
		})
		d.run(16*time.Second, rate)
		for i, s := range d.spilled {
			if s > 2*cfg.MaxSpillover+0.02 {
				t.Fatalf("second %d: %.3f spilled, bound %.3f at each of two levels", i, s, cfg.MaxSpillover)
			}
		}
	})
}

// A locality that is silent is ejected without any answer, one that is slow or rejects by its answers; and what no locality has capacity for
// is rejected by priority.
func TestAFaultyLocalityIsEjected(t *testing.T) {
	for name, how := range map[string]Result{"errors": ResultFailure, "rejections": ResultRejected, "late": ResultLate} {
		d := newDrive(t, config(), func(where int) (Result, bool, float64) {
			if where == 0 {
				return how, false, -1
			}
			return ResultSuccess, true, 0.6
		})
		d.run(5*time.Second, 1000)
		if stay := d.View(d.now)[0]; how == ResultFailure && stay.Share > 0 || stay.Share > 0.75 {
			t.Errorf("%s: %.2f stay", name, stay.Share)
		}
	}
	x := build(t, config())
	for now := time.Duration(0); now < 3*time.Second; now += 10 * ms {
		if where, _, ok := x.Pick(now, 0, hash(uint64(now)), 1); ok && where == 0 {
			x.AttemptStarted(now, 0)
		}
		if now%DefaultTick == 0 {
			x.Tick(now)
		}
	}
	if s := x.View(3 * time.Second)[0].State; s != StateEjected && s != StateProbation {
		t.Errorf("a silent locality is %v", s)
	}
	rejected := map[int]int{}
	for i := range 3000 {
		if _, _, ok := x.Pick(3*time.Second+time.Duration(i)*ms, i%3, hash(uint64(i)), hash(uint64(i)+7)); !ok {
			rejected[i%3]++
		}
		if i%100 == 0 {
			x.Tick(3*time.Second + time.Duration(i)*ms)
		}
	}
	if rejected[2] < rejected[0] || rejected[2] == 0 {
		t.Errorf("rejected by band: %v", rejected)
	}
}

// A locality that stays faulty is on probation after ever longer, up to four seconds, and gateways that saw the same do not try
// it together.
func TestBackoffGrowsAndDiffers(t *testing.T) {
	at := map[time.Duration]int{}
	for seed := range uint64(100) {
		cfg := config()
		cfg.Seed = seed
		d := newDrive(t, cfg, func(where int) (Result, bool, float64) {
			if where == 0 {
				return ResultFailure, false, -1
			}
			return healthy(where)
		})
		var trials []time.Duration
		for last := StateHealthy; d.now < 40*time.Second; d.run(50*ms, 200) {
			if s := d.View(d.now)[0].State; s != last {
				if s == StateProbation {
					trials = append(trials, d.now)
				}
				last = s
			}
		}
		if len(trials) < 8 || len(trials) > 14 {
			t.Fatalf("trials at %v", trials)
		}
		for i := 4; i < len(trials); i++ {
			if gap := trials[i] - trials[i-1]; gap < 2500*ms || gap > 5500*ms {
				t.Errorf("seed %d: trials at %v", seed, trials)
			}
		}
		at[trials[2]/(200*ms)]++
	}
	for k, n := range at {
		if n > 35 {
			t.Errorf("%d of 100 gateways tried at %v", n, k*200*ms)
		}
	}
}

// One that recovers and fails again, and again, waits for longer each time; in good health that is forgiven.
func TestFlappingLengthensTheBackoff(t *testing.T) {
	faulty := false
	d := newDrive(t, config(), func(where int) (Result, bool, float64) {
		if where == 0 && faulty {
			return ResultFailure, false, -1
		}
		return healthy(where)
	})
	d.run(2*time.Second, 500)
	var waits []time.Duration
	for range 4 {
		faulty = true
		d.run(3*time.Second, 500)
		waits = append(waits, d.View(d.now)[0].Backoff)
		faulty = false
		for back := d.now; d.View(d.now)[0].State != StateRecovering; d.run(100*ms, 500) {
			if d.now-back > 15*time.Second {
				t.Fatalf("it is not tried: %+v", d.View(d.now)[0])
			}
		}
		d.run(2*time.Second, 500)
	}
	for i := 1; i < len(waits); i++ {
		if waits[i] != 2*waits[i-1] {
			t.Errorf("waits: %v", waits)
		}
	}
	d.run(90*time.Second, 500)
	if v := d.View(d.now)[0]; v.State != StateHealthy || v.Backoff > 0 {
		t.Errorf("after a minute and a half in good health: %+v", v)
	}
}

// Nearly everything looks unhealthy: the fault is elsewhere, and no load is moved.
func TestPanicKeepsLoadWhereItIs(t *testing.T) {
	d := newDrive(t, config(), func(int) (Result, bool, float64) { return ResultFailure, false, -1 })
	d.run(20*time.Second, 500)
	if !d.Panicking() || d.View(d.now)[0].Share < 1 {
		t.Errorf("panic %v, %.2f stay", d.Panicking(), d.View(d.now)[0].Share)
	}
}

// Spare capacity goes by what a locality reports: a full one gets hardly anything.
func TestSpilloverGoesBySpareCapacity(t *testing.T) {
	d := newDrive(t, config(), func(where int) (Result, bool, float64) {
		return [...]Result{ResultFailure, ResultSuccess, ResultSuccess}[where], true, [...]float64{0, 0.9, 0.3}[where]
	})
	d.run(20*time.Second, 1000)
	v := d.View(d.now)
	if v[1].Share > 0.05 || v[2].Share < 0.25 {
		t.Errorf("to a full one %.2f, to one with room %.2f", v[1].Share, v[2].Share)
	}
}

// A new configuration keeps what is known, and a faulty one changes nothing.
func TestReconfigureKeepsWhatIsKnown(t *testing.T) {
	d := newDrive(t, config(), func(where int) (Result, bool, float64) {
		return [...]Result{ResultFailure, ResultSuccess, ResultSuccess}[where], true, 0.4
	})
	d.run(10*time.Second, 500)
	cfg := config()
	cfg.MaxSpillover = 0.1
	if err := d.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	if s := d.View(d.now)[0].State; s == StateHealthy {
		t.Errorf("it forgot that the own locality is ejected")
	}
	d.spilled = nil
	d.run(3*time.Second, 500)
	for _, s := range d.spilled[1:] {
		if s > 0.22 {
			t.Errorf("%.2f spills, bound 0.1 at each of two levels", s)
		}
	}
	cfg.MaxSpillover = -1
	if err := d.Reconfigure(cfg); err == nil || d.cfg.MaxSpillover != 0.1 {
		t.Errorf("a faulty configuration was taken: %v", err)
	}
}
