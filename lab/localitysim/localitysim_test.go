package localitysim

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	"pgregory.net/rapid"

	"larchusher/locality"
)

// threeZones returns a scene with three zones of unequal size, two at one hub and one at another.
func threeZones(seed uint64, faults ...Fault) Scene {
	return Scene{Zones: []Zone{{Name: "a", Hub: 0, Boxes: 5, Gateways: 3, Load: 0.55}, {Name: "b", Hub: 0, Boxes: 2, Gateways: 2, Load: 0.55},
		{Name: "c", Hub: 1, Boxes: 7, Gateways: 4, Load: 0.55}},
		BoxRate: 80, Objects: 4000, List: 3 * time.Second, Faults: faults, For: 60 * time.Second, Warm: 10 * time.Second, Policy: Tiered, Seed: seed}
}

// mustRun runs a scene without directors and fails the test on an error.
func mustRun(t testing.TB, sc Scene) *Result {
	r, err := Run(sc)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A zone fails and returns with cold caches: spillover stays within its bound in every second, no zone crashes by overload,
// and the served share is back to its former value within 30 s of the return.
func TestZoneOutageAndColdReturn(t *testing.T) {
	sc := threeZones(1, Fault{0, Dead, 20 * time.Second, 30 * time.Second})
	sc.For = 80 * time.Second
	r := mustRun(t, sc)
	before, during, after := r.ServedWorthShare(10*time.Second, 20*time.Second), r.ServedWorthShare(22*time.Second, 30*time.Second), r.ServedWorthShare(60*time.Second, 80*time.Second)
	t.Logf("served share %.3f before, %.3f during the outage, %.3f from 30 s after the return; spillover over its bound by %.3f; crashed %v", before, during, after, r.Over, r.Falls)
	if after < 0.98*before {
		t.Errorf("served share 30 s after the return is %.3f, want at least 0.98 of the former %.3f", after, before)
	}
	sc.Policy = NoSpill
	if withoutSpill := mustRun(t, sc); during < withoutSpill.ServedWorthShare(22*time.Second, 30*time.Second)+0.05 {
		t.Errorf("served share during the outage is %.3f with spillover and %.3f without, want a gain of 0.05", during, withoutSpill.ServedWorthShare(22*time.Second, 30*time.Second))
	}
	if r.Over > 0.02 || len(r.Falls) > 0 {
		t.Errorf("spillover over its bound by %.3f, want at most 0.02; crashed: %v, want none", r.Over, r.Falls)
	}
}

// A zone outage with a director in each gateway for each locality: every request has one final answer, no cache crashes by
// overload, the served share recovers, and two runs are equal.
func TestZoneOutageWithDirectors(t *testing.T) {
	sc := threeZones(2, Fault{0, Dead, 15 * time.Second, 22 * time.Second})
	sc.For, sc.Objects, sc.List = 45*time.Second, 1000, 2*time.Second
	r, err := RunWithDirectors(sc)
	if err != nil {
		t.Fatal(err)
	}
	before, during, after := r.ServedWorthShare(10*time.Second, 15*time.Second), r.ServedWorthShare(17*time.Second, 22*time.Second), r.ServedWorthShare(38*time.Second, 45*time.Second)
	t.Logf("served share %.3f before, %.3f during the outage, %.3f from 16 s after the return; spillover over its bound by %.3f; crashed %v; extra answers %d", before, during, after, r.Over, r.Falls, r.Twice)
	if after < 0.97*before || r.Over > 0.05 || len(r.Falls) > 0 || r.Twice > 0 {
		t.Errorf("served share %.3f before, %.3f after, want at least 0.97 of it; spillover over its bound by %.3f, want at most 0.05; crashed %v, want none; %d extra answers, want 0", before, after, r.Over, r.Falls, r.Twice)
	}
	again, err := RunWithDirectors(sc)
	if err != nil {
		t.Fatal(err)
	}
	r.Gateways, again.Gateways = nil, nil
	if !reflect.DeepEqual(r, again) {
		t.Error("two runs of one scene gave different results")
	}
}

// Equal scenes and seeds give equal results.
func TestEqualScenesGiveEqualResults(t *testing.T) {
	sc := threeZones(3, Fault{2, Dead, 12 * time.Second, 15 * time.Second})
	sc.For = 20 * time.Second
	a, b := mustRun(t, sc), mustRun(t, sc)
	a.Gateways, b.Gateways = nil, nil
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs of one scene gave different results")
	}
}

// A zone that flaps for a minute, 5 s down and 5 s up, receives ever less load: no more requests fail in the last twenty
// seconds than in the first ten.
func TestFlappingZoneGetsLessLoad(t *testing.T) {
	var faults []Fault
	for k := range 6 {
		at := time.Duration(20+10*k) * time.Second
		faults = append(faults, Fault{0, Dead, at, at + 5*time.Second})
	}
	sc := threeZones(4, faults...)
	sc.For = 90 * time.Second
	r := mustRun(t, sc)
	lost := func(from, to int) (n int) {
		for _, s := range r.Seconds[from:to] {
			n += s.Failed
		}
		return n
	}
	if first, last := lost(20, 30), lost(60, 80); last > first {
		t.Errorf("%d requests failed in the first ten seconds and %d in the last twenty, want no more in the last", first, last)
	}
	if r.Over > 0.02 || len(r.Falls) > 0 {
		t.Errorf("spillover over its bound by %.3f, want at most 0.02; crashed: %v, want none", r.Over, r.Falls)
	}
}

// Two zones of three fail: the third doesn't crash by overload, and requests beyond its capacity are rejected, those of the
// lowest priority weight first.
func TestThirdZoneSurvivesTwoOutages(t *testing.T) {
	sc := threeZones(5, Fault{0, Silent, 20 * time.Second, 50 * time.Second}, Fault{2, Dead, 22 * time.Second, 50 * time.Second})
	r := mustRun(t, sc)
	if r.Over > 0.02 || len(r.Falls) > 0 {
		t.Errorf("spillover over its bound by %.3f, want at most 0.02; crashed: %v, want none", r.Over, r.Falls)
	}
	// Zone b has 2 caches of 80/s; 10 % above their capacity is tolerated.
	for i, s := range r.Seconds[25:50] {
		if s.At[1] > 176 {
			t.Errorf("second %d: %d attempts at a zone with a capacity of 160, want at most 176", 25+i, s.At[1])
		}
	}
	if r.Refused[0] > r.Refused[1]*4/3 {
		t.Errorf("rejected by class %v of %v; want the first class at most a third above the second", r.Refused, r.Asked)
	}
}

// Spillover is shared between unequal zones by their spare capacity, so that the small one isn't overloaded.
func TestSmallZoneIsNotOverloadedBySpillover(t *testing.T) {
	sc := Scene{Zones: []Zone{{Name: "big", Boxes: 7, Gateways: 4, Load: 0.6}, {Name: "small", Boxes: 2, Gateways: 2, Load: 0.6},
		{Name: "mid", Boxes: 6, Gateways: 4, Load: 0.6}}, BoxRate: 80, Objects: 4000, List: 3 * time.Second, For: 60 * time.Second,
		Warm: 10 * time.Second, Policy: Tiered, Seed: 6, Faults: []Fault{{0, Dead, 20 * time.Second, 58 * time.Second}}}
	r := mustRun(t, sc)
	most := 0
	for _, s := range r.Seconds[20:58] {
		most = max(most, s.At[1])
	}
	if most > 165 || r.Over > 0.02 || len(r.Falls) > 0 {
		t.Errorf("%d attempts in one second at a zone with a capacity of 160, want at most 165; spillover over its bound by %.3f, want at most 0.02; crashed %v, want none", most, r.Over, r.Falls)
	}
}

// Whatever faults are drawn, no zone crashes by overload and spillover stays within its bound.
func TestRandomFaultsKeepBounds(t *testing.T) {
	kinds := []FaultKind{Dead, Silent, Slow, Errors, Parents, Cut, FalseRemoval}
	rapid.Check(t, func(t *rapid.T) {
		sc := threeZones(rapid.Uint64Range(1, 1<<30).Draw(t, "seed"))
		sc.For, sc.Warm = 45*time.Second, 5*time.Second
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(6000, 30000).Draw(t, "at")) * time.Millisecond
			sc.Faults = append(sc.Faults, Fault{rapid.IntRange(0, 2).Draw(t, "zone"), rapid.SampledFrom(kinds).Draw(t, "kind"), at,
				at + time.Duration(rapid.IntRange(300, 12000).Draw(t, "long"))*time.Millisecond})
		}
		r, err := Run(sc)
		if err != nil {
			t.Fatal(err)
		}
		if r.Over > 0.02 || len(r.Falls) > 0 {
			t.Fatalf("spillover over its bound by %.3f, want at most 0.02; crashed: %v, want none", r.Over, r.Falls)
		}
	})
}

// Invalid scenes are rejected.
func TestInvalidScenesAreRejected(t *testing.T) {
	for name, makeInvalid := range map[string]func(*Scene){
		"no zones":                    func(s *Scene) { s.Zones = nil },
		"no boxes":                    func(s *Scene) { s.Zones[1].Boxes = 0 },
		"unknown fault kind":          func(s *Scene) { s.Faults = []Fault{{0, "flood", 0, time.Second}} },
		"fault ends before it begins": func(s *Scene) { s.Faults = []Fault{{0, Dead, time.Second, 0}} },
		"no policy":                   func(s *Scene) { s.Policy = "" },
		"spillover over 1":            func(s *Scene) { s.Tiers = locality.Config{MaxSpillover: 2} },
	} {
		sc := threeZones(1)
		makeInvalid(&sc)
		if _, err := Run(sc); err == nil {
			t.Errorf("%s: Run accepted the scene, want an error", name)
		}
	}
}

// Over random sequences of cache deployments and gateway restarts, gateways that restore saved state load cold caches by at
// most a fifth of their crash limit more than gateways without saved state, and no cache crashes. LARCHUSHER_LONG=7 runs 105
// sequences.
func TestRestoredStateDoesNotOverloadColdCaches(t *testing.T) {
	n := 15
	if k, err := strconv.Atoi(os.Getenv("LARCHUSHER_LONG")); err == nil {
		n *= k
	}
	rng := rand.New(rand.NewPCG(5, 5))
	with, without := 0.0, 0.0
	for i := range n {
		at := time.Duration(6000+rng.IntN(3000)) * time.Millisecond
		down := at + time.Duration(1000+rng.IntN(9000))*time.Millisecond
		sc := Scene{Zones: []Zone{{Name: "a", Boxes: 3, Gateways: 2, Load: 0.4 + 0.5*rng.Float64()}, {Name: "b", Boxes: 2, Gateways: 1, Load: 0.4}}, BoxRate: 60,
			Objects: 500, List: time.Duration(rng.IntN(2000)) * time.Millisecond, For: 28 * time.Second, Warm: 2 * time.Second, Policy: NoSpill, Seed: uint64(i + 1),
			Faults: []Fault{{0, Dead, at, at + 3*time.Second}, {0, Restart, down, down + time.Duration(500+rng.IntN(3000))*time.Millisecond}}}
		fresh, err := RunWithDirectors(sc)
		if err != nil {
			t.Fatal(err)
		}
		sc.Memory = true
		restored, err := RunWithDirectors(sc)
		if err != nil {
			t.Fatal(err)
		}
		if len(restored.Falls) > 0 || restored.Most > fresh.Most+0.2 {
			t.Errorf("sequence %d: a cold cache had %.2f of its crash limit with saved state and %.2f without, want at most 0.2 more; crashed: %v, want none", i, restored.Most, fresh.Most, restored.Falls)
		}
		with, without = with+restored.Most/float64(n), without+fresh.Most/float64(n)
	}
	t.Logf("average share of the crash limit: %.3f with saved state, %.3f without", with, without)
	if with > without+0.05 {
		t.Errorf("average share of the crash limit: %.3f with saved state, %.3f without, want at most 0.05 more", with, without)
	}
}

// Scene files are parsed, and errors name the invalid key.
func TestParseSceneFiles(t *testing.T) {
	for _, name := range []string{"dark", "twice", "small", "bounds"} {
		f, err := Load("../scenarios/" + name + ".textproto")
		if err != nil || len(f.Scene.Zones) < 3 || !f.Directed {
			t.Errorf("Load(%s): %+v, error %v; want a scene with directors and at least 3 zones", name, f, err)
		}
	}
	const zones = "zone { name: \"a\" boxes: 1 } "
	for text, want := range map[string]string{
		"zone { name: \"\" }": "zone[0].name",
		zones + "fault { zone: \"z\" kind: \"dead\" at: \"1s\" till: \"2s\" }":   "fault[0].zone",
		zones + "fault { zone: \"a\" kind: \"flood\" at: \"1s\" till: \"2s\" }":  "Faults[0].Kind",
		zones + "fault { zone: \"a\" kind: \"dead\" at: \"soon\" till: \"2s\" }": "fault[0]",
		zones + "for: \"long\"":                        "for: \"long\"",
		zones + "sweep { key: \"colour\" value: 1 }":   "sweep[0]: key: \"colour\"",
		zones + "sweep { key: \"load\" }":              "sweep[0].value",
		zones + "directed: true policy: \"unbounded\"": "policy[0]",
		zones + "boxrate: 1":                           "boxrate",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%s): error %v, want one that contains %q", text, err, want)
		}
	}
}

// A sweep gives every cell the result that it has when it is run alone, and WriteParquet writes the rows of all cells.
func TestSweepRunsEveryCell(t *testing.T) {
	f, err := Parse([]byte(`zone { name: "a" boxes: 2 gateways: 1 } zone { name: "b" boxes: 2 gateways: 1 } for: "8s" warm: "2s" objects: 200 repeat: 0.5
		fault { zone: "a" kind: "dead" at: "3s" till: "5s" } directed: true sweep { key: "load" value: 0.3 value: 0.6 } sweep { key: "bounds.spill" value: 0.1 value: 0.5 }`))
	if err != nil {
		t.Fatal(err)
	}
	cells, err := f.RunCells(nil)
	if err != nil || len(cells) != 8 {
		t.Fatalf("%d cells, error %v; want 8", len(cells), err)
	}
	for _, c := range cells {
		alone, err := RunWithDirectors(c.Scene)
		if err != nil || alone.ServedWorthShare(c.Scene.Warm, c.Scene.For) != c.Worth() || c.Result.Twice > 0 {
			t.Errorf("%s: served share %.3f in the sweep, %.3f alone; %d extra answers, want 0; error %v", c.Name(), c.Worth(), alone.ServedWorthShare(c.Scene.Warm, c.Scene.For), c.Result.Twice, err)
		}
	}
	path := filepath.Join(t.TempDir(), "rows.parquet")
	if err := WriteParquet(path, cells); err != nil {
		t.Fatal(err)
	}
	rows, err := parquet.ReadFile[Row](path)
	if err != nil || len(rows) != 8*6 || rows[0].Asked == 0 {
		t.Errorf("%d rows, error %v; want 48, with requests", len(rows), err)
	}
}
