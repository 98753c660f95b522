// Package fleet runs several zones on loopback: real gateways, one or more a zone, before fake caches with capacities,
// copies and cold starts, upper caches at hubs, and an origin. Zones are killed and come back, and what the boxes saw says
// what the gateways did.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"larchusher/lab/fakeserver"
	"larchusher/lab/load"
	"larchusher/lab/testbed"
)

// Zone is one location.
type Zone struct {
	Name  string
	Hub   int // 0 or 1: north or south
	Boxes int
	Rate  float64 // requests a second that its clients make
}

// Death is a zone that goes dark.
type Death struct {
	Zone     int
	At, Back time.Duration // Back: new boxes, cold and empty; 0: never
}

// Config says what is played.
type Config struct {
	Program string
	Zones   []Zone
	BoxRate float64 // requests a second of a warm box
	Objects int     // that a zone's clients ask for, 400 if 0
	Deaths  []Death
	Late    time.Duration // of the list
	For     time.Duration
	Off     bool   // without further localities
	Tiers   string // further lines for the part `tiers` of the operator's file
	Seed    uint64
}

// Second is one second of a zone's clients.
type Second struct {
	Asked, InAim, Refused, Other int
	Worth, WorthAsked            float64
	At                           []int // attempts at boxes, by zone
}

// Result is what came of it.
type Result struct {
	Zones    [][]Second // by zone, by second
	Over     float64    // most by which a zone's clients spilled beyond the bound, in any second, as a share of what they asked
	Fallen   []string   // boxes that fell over at their start
	Most     float64    // largest part of its start's budget that any box took
	Silent   int        // requests without an answer in time
	Second   int        // answers that came twice
	Spoilt   int
	Counters []map[string]float64 // of the gateways, at the end
}

var hubs = []string{"north", "south"}

// settings are those of the gateways of a zone.
func settings(zones []Zone, own int) json.RawMessage {
	names, homes, counts := []string{`"north"`, `"south"`}, []string{"0", "1"}, []string{"0", "0"}
	for _, z := range zones {
		names, homes, counts = append(names, fmt.Sprintf("%q", z.Name)), append(homes, fmt.Sprint(z.Hub)), append(counts, "1")
	}
	list := func(l []string) string { return "[" + strings.Join(l, ",") + "]" }
	s := strings.NewReplacer(`"balancers":2`, fmt.Sprintf(`"balancers":%d`, len(zones)), `"position":0`, fmt.Sprintf(`"position":%d`, own),
		`"dcs":["north","edge-1"]`, `"dcs":`+list(names), `"zone":"edge-1"`, fmt.Sprintf(`"zone":%q`, zones[own].Name),
		`"countByZone":[0,2],"homeHub":[0,0]`, `"countByZone":`+list(counts)+`,"homeHub":`+list(homes)+`,"mayPassBy":true`,
		`"peerMessages":true`, `"peerMessages":false`).Replace(testbed.Settings)
	return json.RawMessage(s)
}

// operator is the operator's file of the gateways of a zone.
func operator(zones []Zone, own int, more string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "tiers {\n  own_weight: %d\n  %s\n", zones[own].Boxes, more)
	for i, z := range zones {
		if i != own {
			level := 1
			if z.Hub != zones[own].Hub {
				level = 2
			}
			fmt.Fprintf(&b, "  locality { name: %q level: %d weight: %d }\n", z.Name, level, z.Boxes)
		}
	}
	return b.String() + "}\n"
}

type fleet struct {
	cfg      Config
	start    time.Time
	dir      string
	others   []*fakeserver.LimitedStore   // upper caches and the origin
	boxes    [][]*fakeserver.LimitedStore // by zone, those of now
	all      []*fakeserver.LimitedStore
	zoneOf   map[*fakeserver.LimitedStore]int
	gateways []*testbed.Gateway
	pos      int
	serial   int
	mu       sync.Mutex
}

func host(name, addr, zone, kind, status string, since int64) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":%d}`, name, addr, zone, kind, status, since)
}

func (f *fleet) power(cold bool) fakeserver.Capacity {
	return fakeserver.Capacity{Rate: f.cfg.BoxRate, Cold: cold, InitialShare: 0.15, RampDuration: 17 * time.Second, OverloadFactor: 2.5, OverloadWindow: 2 * time.Second,
		FillLatency: 15 * time.Millisecond, MaxQueueDelay: 1500 * time.Millisecond, ReportInterval: 400 * time.Millisecond}
}

// grow makes the boxes of a zone anew.
func (f *fleet) grow(zone int, cold bool) error {
	f.boxes[zone] = nil
	for range f.cfg.Zones[zone].Boxes {
		f.serial++
		b, err := fakeserver.NewLimitedStore(fmt.Sprintf("b%d", f.serial), "box", fakeserver.Loopback, f.power(cold), f.start)
		if err != nil {
			return err
		}
		f.boxes[zone], f.all = append(f.boxes[zone], b), append(f.all, b)
		f.zoneOf[b] = zone
	}
	return nil
}

// list words boxes of a zone for the journal.
func (f *fleet) list(zone int, status string, since int64) (hosts []string) {
	for _, b := range f.boxes[zone] {
		hosts = append(hosts, host(b.Name, b.Addr, f.cfg.Zones[zone].Name, "box", status, since))
	}
	return hosts
}

// tell has all gateways' journal services tell of hosts.
func (f *fleet) tell(hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pos++
	for _, g := range f.gateways {
		g.Journal.Publish(f.pos, fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, f.pos, strings.Join(hosts, ",")))
	}
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		g.Stop()
	}
	for _, b := range append(f.all, f.others...) {
		b.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func (c *Config) check() error {
	if len(c.Zones) == 0 || c.BoxRate <= 0 || c.For <= 0 {
		return fmt.Errorf("fleet: %d zones, %v requests a second of a box, for %v", len(c.Zones), c.BoxRate, c.For)
	}
	for i, z := range c.Zones {
		if z.Name == "" || z.Boxes <= 0 || z.Rate <= 0 || z.Hub < 0 || z.Hub >= len(hubs) {
			return fmt.Errorf("fleet: Zones[%d]: %+v", i, z)
		}
	}
	for i, d := range c.Deaths {
		if d.Zone < 0 || d.Zone >= len(c.Zones) || d.Back != 0 && d.Back <= d.At {
			return fmt.Errorf("fleet: Deaths[%d]: %+v", i, d)
		}
	}
	if c.Objects <= 0 {
		c.Objects = 400
	}
	return nil
}

// Run plays a scene.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "larchusher-fleet")
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f := &fleet{cfg: cfg, start: time.Now(), dir: dir, boxes: make([][]*fakeserver.LimitedStore, len(cfg.Zones)), zoneOf: map[*fakeserver.LimitedStore]int{}, pos: 1}
	defer f.close()
	if err := f.build(ctx); err != nil {
		return nil, err
	}
	shift := time.Since(f.start) // the play begins
	began := time.Now()
	var all sync.WaitGroup
	errs := make(chan error, len(cfg.Deaths)+len(cfg.Zones))
	for _, d := range cfg.Deaths {
		all.Go(func() {
			if err := f.death(ctx, d, began); err != nil {
				errs <- err
			}
		})
	}
	results := make([]*load.Result, len(cfg.Zones))
	for i, z := range cfg.Zones {
		all.Go(func() {
			var err error
			results[i], err = load.Run(ctx, load.Spec{Addr: f.gateways[i].Addr, Conns: 20, Rate: load.Constant(z.Rate), For: cfg.For,
				Objects: cfg.Objects, First: i << 20, Seed: cfg.Seed + uint64(i), Window: time.Second})
			if err != nil {
				errs <- err
			}
		})
	}
	all.Wait()
	close(errs)
	for e := range errs {
		err = errors.Join(err, e)
	}
	if err != nil {
		return nil, err
	}
	return f.sum(ctx, results, shift)
}

func (f *fleet) build(ctx context.Context) error {
	var known []string
	for _, o := range []struct{ name, kind, zone string }{{"pn", "parent", "north"}, {"ps", "parent", "south"}, {"o", "origin", "north"}} {
		p := f.power(false)
		p.Rate, p.OverloadWindow = 20000, 0
		b, err := fakeserver.NewLimitedStore(o.name, o.kind, fakeserver.Loopback, p, f.start)
		if err != nil {
			return err
		}
		f.others = append(f.others, b)
		known = append(known, host(o.name, b.Addr, o.zone, o.kind, "SERVING", 0))
	}
	for i := range f.cfg.Zones {
		if err := f.grow(i, false); err != nil {
			return err
		}
		known = append(known, f.list(i, "SERVING", 0)...)
	}
	list := json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` + strings.Join(known, ",") + `]}}]}`)
	for i, z := range f.cfg.Zones {
		w := testbed.Config{Program: f.cfg.Program, Pin: -1, Seed: fmt.Sprintf("%016x", f.cfg.Seed+uint64(i)+1)}
		if !f.cfg.Off {
			path := filepath.Join(f.dir, z.Name+".textproto")
			if err := os.WriteFile(path, []byte(operator(f.cfg.Zones, i, f.cfg.Tiers)), 0o600); err != nil {
				return err
			}
			w.Args = []string{"serve", "--operator", path}
		}
		g, err := testbed.StartWithStores(ctx, w, settings(f.cfg.Zones, i), list)
		if err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
	}
	return nil
}

// death has a zone go dark, and come back. The list tells late.
func (f *fleet) death(ctx context.Context, d Death, began time.Time) error {
	wait := func(at time.Duration) bool {
		t := time.NewTimer(time.Until(began.Add(at)))
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !wait(d.At) {
		return ctx.Err()
	}
	for _, b := range f.boxes[d.Zone] {
		b.Close()
	}
	gone := f.list(d.Zone, "DELETED", 0)
	told := d.At + f.cfg.Late
	if d.Back > 0 && d.Back < told {
		told = d.Back
	}
	if !wait(told) {
		return ctx.Err()
	}
	f.tell(gone)
	if d.Back == 0 || !wait(d.Back) {
		return ctx.Err()
	}
	if err := f.grow(d.Zone, true); err != nil {
		return err
	}
	f.tell(f.list(d.Zone, "SERVING", time.Now().UnixMilli()))
	return nil
}

// second is what clients of a zone got in a window, with what the boxes saw of them in that second; away are their attempts at other zones.
func (f *fleet) second(s load.Summary, at, zone int) (sec Second, away int) {
	sec = Second{At: make([]int, len(f.cfg.Zones)), Worth: s.Worth * s.Seconds, WorthAsked: s.WorthOffered * s.Seconds}
	for _, c := range s.Classes {
		sec.Asked += c.Asked
		sec.InAim += c.InAim
		sec.Refused += c.Outcomes["refused"]
		sec.Other += c.Asked - c.Outcomes["served"] - c.Outcomes["refused"]
	}
	for _, b := range f.all {
		seen := b.AttemptsIn(at, zone)
		sec.At[f.zoneOf[b]] += seen
		if f.zoneOf[b] != zone {
			away += seen
		}
	}
	return sec, away
}

// sum takes in what the boxes saw and what the clients got.
func (f *fleet) sum(ctx context.Context, results []*load.Result, shift time.Duration) (*Result, error) {
	r := &Result{}
	first := int(shift / time.Second)
	spill := 0.3
	for line := range strings.Lines(f.cfg.Tiers) {
		_, _ = fmt.Sscanf(strings.TrimSpace(line), "spill: %g", &spill)
	}
	for i, res := range results {
		var seconds []Second
		levels := map[int]bool{}
		for k, z := range f.cfg.Zones {
			if k != i {
				levels[z.Hub] = true
			}
		}
		for n, s := range res.Windows() {
			sec, away := f.second(s, first+n, i)
			if !f.cfg.Off && sec.Asked > 0 {
				// The seconds of the two sides are not quite the same, and requests come by chance.
				r.Over = max(r.Over, float64(away)/math.Max(float64(sec.Asked), f.cfg.Zones[i].Rate)-spill*float64(len(levels)))
			}
			seconds = append(seconds, sec)
		}
		r.Zones = append(r.Zones, seconds)
		all := res.Sum(0, 0)
		r.Silent, r.Second, r.Spoilt = r.Silent+all.Silent, r.Second+int(all.Second), r.Spoilt+int(all.Spoilt)
		c, err := f.gateways[i].Counters(ctx)
		if err != nil {
			return nil, err
		}
		r.Counters = append(r.Counters, c)
	}
	for _, b := range f.all {
		r.Most = max(r.Most, b.PeakBudgetShare)
		if b.Failed {
			r.Fallen = append(r.Fallen, b.Name)
		}
	}
	return r, nil
}

// Share is the part of the worth of all zones' clients that was answered in aim between two seconds.
func (r *Result) Share(from, to int) float64 {
	got, asked := 0.0, 0.0
	for _, z := range r.Zones {
		for i := from; i < to && i < len(z); i++ {
			got, asked = got+z[i].Worth, asked+z[i].WorthAsked
		}
	}
	if asked == 0 {
		return 0
	}
	return got / asked
}
