package locality

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchusher/routing"
)

const ms = time.Millisecond

func config() Config {
	return Config{Bands: 3, Seed: 1, Localities: []Locality{{Name: "own", Weight: 5}, {Name: "near", Level: 1, Weight: 5}, {Name: "far", Level: 2, Weight: 7}}}
}

func build(t testing.TB, cfg Config) *Selector {
	x, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func TestConfigNamesWhatIsWrong(t *testing.T) {
	for want, spoil := range map[string]func(*Config){
		"Localities: there is none":                                  func(c *Config) { c.Localities = nil },
		`Localities[1].Name: "own"`:                                  func(c *Config) { c.Localities[1].Name = "own" },
		"Localities[2].Level: 0":                                     func(c *Config) { c.Localities[2].Level = 0 },
		"Localities[0].Level: 1":                                     func(c *Config) { c.Localities[0].Level = 1 },
		"Localities[1].Weight: NaN":                                  func(c *Config) { c.Localities[1].Weight = math.NaN() },
		"OverProvisioning: 0.5 is not from 1 to 10":                  func(c *Config) { c.OverProvisioning = 0.5 },
		"MaxSpillover: 1.5 is not from 0 to 1":                       func(c *Config) { c.MaxSpillover = 1.5 },
		"SilenceTimeout: -1s is negative":                            func(c *Config) { c.SilenceTimeout = -time.Second },
		"MaxBackoff: 500ms is less than the first wait, which is 1s": func(c *Config) { c.MaxBackoff = 500 * ms },
	} {
		c := config()
		spoil(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, not %q", err, want)
		}
	}
}

// drive has a T pick and hear of ends for a time, at so many requests a second. How each locality answers is the test's.
type drive struct {
	*Selector
	now    time.Duration
	n      uint64
	ends   func(where int) (r Result, hit bool, load float64)
	got    map[int]int
	asked  int
	moved  map[uint64]map[int]bool // by object: where it went
	spills []float64               // by second, share that spilled
	away   int
	total  int
}

func newDrive(t testing.TB, cfg Config, ends func(int) (Result, bool, float64)) *drive {
	return &drive{Selector: build(t, cfg), ends: ends, got: map[int]int{}, moved: map[uint64]map[int]bool{}}
}

func hash(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

func (d *drive) run(long time.Duration, rate int) {
	end := d.now + long
	step := time.Second / time.Duration(rate)
	for ; d.now < end; d.now += step {
		if d.now%(DefaultTick) < step {
			d.Tick(d.now)
		}
		d.n++
		d.asked++
		object := hash(d.n % 997)
		where, later, ok := d.Pick(d.now, int(d.n%3), object, hash(d.n))
		d.total++
		if ok && where > 0 {
			d.away++
		}
		if d.total == rate {
			d.spills = append(d.spills, float64(d.away)/float64(d.total))
			d.away, d.total = 0, 0
		}
		if !ok {
			if later <= 0 {
				panic("a refusal without advice")
			}
			continue
		}
		d.got[where]++
		if d.moved[object] == nil {
			d.moved[object] = map[int]bool{}
		}
		d.moved[object][where] = true
		d.AttemptStarted(d.now, where)
		r, hit, load := d.ends(where)
		d.AttemptFinished(d.now, where, r, hit, r == ResultSuccess, load)
	}
}

func (d *drive) reset() { clear(d.got); clear(d.moved); d.asked = 0 }

func well(int) (Result, bool, float64) { return ResultSuccess, true, 0.5 }

// While all is well everything stays, whatever the others do.
func TestAllStaysWhileAllIsWell(t *testing.T) {
	d := newDrive(t, config(), well)
	d.run(5*time.Second, 1000)
	if d.got[0] != d.asked || d.SpilloverShare() != 0 {
		t.Errorf("%v of %d stayed", d.got, d.asked)
	}
}

// A quarter of the ends are bad: over-provisioning takes it. Half: the rest spills, and no more.
func TestOverProvisioning(t *testing.T) {
	for bad, least := range map[uint64]float64{4: 1, 2: 0.6} {
		var d *drive
		d = newDrive(t, config(), func(where int) (Result, bool, float64) {
			if where == 0 && d.n/3%bad == 0 {
				return ResultFailure, false, 0.5
			}
			return well(where)
		})
		d.run(20*time.Second, 1000)
		d.reset()
		d.run(5*time.Second, 1000)
		if share := float64(d.got[0]) / float64(d.asked); share < least || least < 1 && share > 0.85 {
			t.Errorf("1 of %d is bad: %.2f stay", bad, share)
		}
	}
}

// An object keeps to its place while shares move: when load is given back, what spilled last comes back first.
func TestObjectsKeepTheirPlaces(t *testing.T) {
	dark := true
	d := newDrive(t, config(), func(where int) (Result, bool, float64) {
		if where == 0 && dark {
			return ResultFailure, false, -1
		}
		return well(where)
	})
	d.run(10*time.Second, 1000)
	dark = false
	d.run(7*time.Second, 1000) // it returns
	d.reset()
	d.run(2*time.Second, 1000)
	torn := 0
	for _, places := range d.moved {
		if len(places) > 1 {
			torn++
		}
	}
	if torn > len(d.moved)/2 {
		t.Errorf("%d of %d objects went to several places in two seconds", torn, len(d.moved))
	}
}

// Whatever the localities answer, what spills is within its bounds in every second: a third of the load to each level.
func TestSpillIsBounded(t *testing.T) {
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
		for i, s := range d.spills {
			if s > 2*cfg.MaxSpillover+0.02 {
				t.Fatalf("second %d: %.3f spilled, bound %.3f at each of two levels", i, s, cfg.MaxSpillover)
			}
		}
	})
}

// One that is silent is left without any answer, one that is slow or says no by its answers; and what fits nowhere is
// refused by worth.
func TestADarkLocalityIsLeft(t *testing.T) {
	for name, how := range map[string]Result{"errors": ResultFailure, "refusals": ResultRejected, "late": ResultLate} {
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
	refused := map[int]int{}
	for i := range 3000 {
		if _, _, ok := x.Pick(3*time.Second+time.Duration(i)*ms, i%3, hash(uint64(i)), hash(uint64(i)+7)); !ok {
			refused[i%3]++
		}
		if i%100 == 0 {
			x.Tick(3*time.Second + time.Duration(i)*ms)
		}
	}
	if refused[2] < refused[0] || refused[2] == 0 {
		t.Errorf("refused by band: %v", refused)
	}
}

// A locality that stays away is tried after ever longer, up to four seconds, and gateways that saw the same do not try it
// together.
func TestWaitsGrowAndDiffer(t *testing.T) {
	at := map[time.Duration]int{}
	for seed := range uint64(100) {
		cfg := config()
		cfg.Seed = seed
		d := newDrive(t, cfg, func(where int) (Result, bool, float64) {
			if where == 0 {
				return ResultFailure, false, -1
			}
			return well(where)
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

// One that comes back and fails again, and again, waits for longer each time; in good health that is forgiven.
func TestFlapsLengthenTheWait(t *testing.T) {
	dark := false
	d := newDrive(t, config(), func(where int) (Result, bool, float64) {
		if where == 0 && dark {
			return ResultFailure, false, -1
		}
		return well(where)
	})
	d.run(2*time.Second, 500)
	var waits []time.Duration
	for range 4 {
		dark = true
		d.run(3*time.Second, 500)
		waits = append(waits, d.View(d.now)[0].Backoff)
		dark = false
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

// Nearly all looks ill: the fault is elsewhere, and nothing is moved.
func TestPanicKeepsLoadWhereItIs(t *testing.T) {
	d := newDrive(t, config(), func(int) (Result, bool, float64) { return ResultFailure, false, -1 })
	d.run(20*time.Second, 500)
	if !d.Panicking() || d.View(d.now)[0].Share < 1 {
		t.Errorf("panic %v, %.2f stay", d.Panicking(), d.View(d.now)[0].Share)
	}
}

// What is spare goes by what a locality reports: a full one gets hardly anything.
func TestSpillGoesByWhatIsSpare(t *testing.T) {
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
func TestUseKeepsWhatIsKnown(t *testing.T) {
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
		t.Errorf("it forgot that the own locality is away")
	}
	d.spills = nil
	d.run(3*time.Second, 500)
	for _, s := range d.spills[1:] {
		if s > 0.22 {
			t.Errorf("%.2f spills, bound 0.1 at each of two levels", s)
		}
	}
	cfg.MaxSpillover = -1
	if err := d.Reconfigure(cfg); err == nil || d.cfg.MaxSpillover != 0.1 {
		t.Errorf("a faulty configuration was taken: %v", err)
	}
}

func TestSettingsShareWhatIsCold(t *testing.T) {
	base := routing.Settings{Directors: 4, Zone: "own", Zones: []string{"hub", "own", "near", "far"}, ZoneDirectors: []int{0, 2, 1, 1}, Gossip: true}
	for where, want := range []int{12, 12, 12} {
		s, err := DirectorSettings(base, config().Localities, where)
		if err != nil || s.Zone != config().Localities[where].Name || s.ZoneDirectors[1] != 4 || s.Directors != want || s.Gossip != (where == 0) {
			t.Errorf("%d: %+v, %v", where, s, err)
		}
	}
	if _, err := DirectorSettings(base, []Locality{{Name: "own"}, {Name: "nowhere"}}, 1); err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Errorf("%v", err)
	}
}

// Only what may be repeated freely is moved, once, with attempts and half of its aim left.
func TestWhatMayBeMoved(t *testing.T) {
	good := Rejection{Idempotent: true, Attempts: 1, MaxAttempts: 8, Elapsed: 100 * ms, Remaining: 2 * time.Second, LatencyObjective: time.Second}
	for name, c := range map[string]struct {
		spoil func(*Rejection)
		want  bool
	}{"as it is": {func(*Rejection) {}, true}, "a write": {func(r *Rejection) { r.Idempotent = false }, false}, "moved": {func(r *Rejection) { r.Rerouted = true }, false},
		"no attempts left": {func(r *Rejection) { r.Attempts = 8 }, false}, "any number of attempts": {func(r *Rejection) { r.Attempts, r.MaxAttempts = 80, 0 }, true},
		"late": {func(r *Rejection) { r.Elapsed = 500 * ms }, false}, "its client leaves": {func(r *Rejection) { r.Remaining = 400 * ms }, false}} {
		d := newDrive(t, config(), well)
		d.run(time.Second, 500) // so that something may spill
		r := good
		c.spoil(&r)
		if where, ok := d.HandleRejection(d.now, r); ok != c.want || ok && where == 0 {
			t.Errorf("%s: %d, %v", name, where, ok)
		}
	}
}

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		s                  routing.Status
		cache, late, along bool
		want               Result
	}{{routing.OK, true, false, false, ResultSuccess}, {routing.OK, true, true, false, ResultLate}, {routing.OK, false, false, false, ResultFailure},
		{routing.Reset, true, false, false, ResultFailure}, {routing.Reset, true, false, true, ResultNeutral}, {routing.TimedOut, true, false, false, ResultFailure},
		{routing.Rejected, true, false, false, ResultRejected}, {routing.Canceled, true, false, false, ResultNeutral}, {routing.NotSent, false, false, false, ResultNeutral},
		{routing.Miss, true, false, false, ResultNeutral}} {
		if got := ClassifyResult(c.s, c.cache, c.late, c.along); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestRosterCounts(t *testing.T) {
	r := NewEndpointIndex(routing.Settings{Kinds: []string{"box", "parent", "origin"}, ParentKind: 1, OriginKind: 2}, config().Localities)
	list := []routing.Endpoint{{ID: "a", Zone: "own", Kind: "box"}, {ID: "b", Zone: "own", Kind: "box", Phase: routing.Draining},
		{ID: "c", Zone: "near", Kind: "box"}, {ID: "p", Zone: "own", Kind: "parent"}, {ID: "x", Zone: "elsewhere", Kind: "box"}}
	if up := r.Update(routing.EndpointUpdate{Kind: routing.FullList, Endpoints: list}); up[0] != 1 || up[1] != 1 || up[2] != 0 {
		t.Errorf("%v", up)
	}
	if up := r.Update(routing.EndpointUpdate{Kind: routing.DeltaList, Endpoints: []routing.Endpoint{{ID: "a", Phase: routing.Removed},
		{ID: "d", Zone: "far", Kind: "box"}}}); up[0] != 0 || up[1] != 1 || up[2] != 1 {
		t.Errorf("%v", up)
	}
	if up := r.Update(routing.EndpointUpdate{Kind: routing.WatchLost}); up[2] != 1 || !r.IsCache("c", 1) || r.IsCache("c", 0) || r.IsCache("p", 0) {
		t.Errorf("%v", up)
	}
}

func BenchmarkPickAndEnd(b *testing.B) {
	x := build(b, config())
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		if i%100 == 0 {
			x.Tick(now)
		}
		if where, _, ok := x.Pick(now, i%3, hash(uint64(i)), uint64(i)); ok {
			x.AttemptStarted(now, where)
			x.AttemptFinished(now, where, ResultSuccess, true, true, 0.5)
		}
	}
}
