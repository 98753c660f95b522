// Package fleet runs several zones on loopback: a real gateway in each zone, fake caches with limited capacity, stored
// objects and cold starts, parents at hubs, and an origin. It ends and restarts the caches of whole zones, and checks the
// gateways' behaviour by the requests that reach the caches.
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

// Zone describes one location.
type Zone struct {
	Name  string
	Hub   int     // 0 for north, 1 for south
	Boxes int     // number of caches
	Rate  float64 // requests per second by its clients
}

// Outage is the outage of all caches of a zone. Times count from the start of the run.
type Outage struct {
	Zone     int
	At, Back time.Duration // at Back new, cold and empty caches start; 0 for never
}

// Config configures a run.
type Config struct {
	Program string // path of the gateway's binary
	Zones   []Zone
	BoxRate float64       // capacity of a warm cache, requests per second
	Objects int           // number of different objects that a zone's clients request, 400 if 0
	Deaths  []Outage      // outages of zones
	Late    time.Duration // delay after which the endpoint list reports an outage that has not ended
	For     time.Duration // clients send requests for this long
	Off     bool          // gateways know no other localities, so there is no spillover
	Tiers   string        // further lines for the block `tiers` of the operator's file
	Seed    uint64
}

// Second counts the requests of a zone's clients in one second.
type Second struct {
	Asked, InAim, Refused, Other int
	Worth, WorthAsked            float64
	At                           []int // their attempts at caches, by the caches' zone
}

// Result holds the figures of a run.
type Result struct {
	Zones    [][]Second           // by zone, by second
	Over     float64              // most by which a zone's spillover exceeded its bound in any second, as a share of its requests
	Fallen   []string             // caches that crashed by overload during their cold start
	Most     float64              // highest load of a cold cache, as a share of the load at which it crashes
	Silent   int                  // requests without an answer before their deadline
	Second   int                  // unexpected answers, for example duplicates
	Spoilt   int                  // successful answers with wrong content
	Counters []map[string]float64 // of each gateway, at the end
}

var hubs = []string{"north", "south"}

// settings returns the platform settings of the gateway of zone own.
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

// operatorFile returns the operator's file of the gateway of zone own, with further lines for its block tiers.
func operatorFile(zones []Zone, own int, more string) string {
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

// fleet is the state of a run. The mutex guards journalPos.
type fleet struct {
	cfg        Config
	start      time.Time
	dir        string
	upstreams  []*fakeserver.LimitedStore   // parents and the origin
	boxes      [][]*fakeserver.LimitedStore // by zone, the running ones
	everyBox   []*fakeserver.LimitedStore   // all caches that were ever started
	zoneOf     map[*fakeserver.LimitedStore]int
	gateways   []*testbed.Gateway
	journalPos int // position of the latest update of the endpoint list
	lastBox    int // number of the latest cache
	mu         sync.Mutex
}

// hostEntry returns an entry of the endpoint list as JSON. since is the start of the process in Unix milliseconds.
func hostEntry(name, addr, zone, kind, status string, since int64) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":%d}`, name, addr, zone, kind, status, since)
}

// capacityModel returns the capacity and the cold-start behaviour of a cache.
func (f *fleet) capacityModel(cold bool) fakeserver.Capacity {
	return fakeserver.Capacity{Rate: f.cfg.BoxRate, Cold: cold, InitialShare: 0.15, RampDuration: 17 * time.Second, OverloadFactor: 2.5, OverloadWindow: 2 * time.Second,
		FillLatency: 15 * time.Millisecond, MaxQueueDelay: 1500 * time.Millisecond, ReportInterval: 400 * time.Millisecond}
}

// startBoxes replaces the caches of a zone by new, empty ones.
func (f *fleet) startBoxes(zone int, cold bool) error {
	f.boxes[zone] = nil
	for range f.cfg.Zones[zone].Boxes {
		f.lastBox++
		b, err := fakeserver.NewLimitedStore(fmt.Sprintf("b%d", f.lastBox), "box", fakeserver.Loopback, f.capacityModel(cold), f.start)
		if err != nil {
			return err
		}
		f.boxes[zone], f.everyBox = append(f.boxes[zone], b), append(f.everyBox, b)
		f.zoneOf[b] = zone
	}
	return nil
}

// hostEntries returns the caches of a zone as entries of the endpoint list. since is their start, in Unix milliseconds; 0 stands
// for long ago.
func (f *fleet) hostEntries(zone int, status string, since int64) (hosts []string) {
	for _, b := range f.boxes[zone] {
		hosts = append(hosts, hostEntry(b.Name, b.Addr, f.cfg.Zones[zone].Name, "box", status, since))
	}
	return hosts
}

// announce sends an update of the endpoint list to all gateways.
func (f *fleet) announce(hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.journalPos++
	for _, g := range f.gateways {
		g.Journal.Publish(f.journalPos, fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, f.journalPos, strings.Join(hosts, ",")))
	}
}

// close stops all processes and servers and removes the temporary folder.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.Stop()
	}
	for _, b := range append(f.everyBox, f.upstreams...) {
		b.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// check returns an error that names an invalid value, and sets the default of Objects.
func (c *Config) check() error {
	if len(c.Zones) == 0 || c.BoxRate <= 0 || c.For <= 0 {
		return fmt.Errorf("fleet: %d zones, %v requests/s per cache, for %v; want all over 0", len(c.Zones), c.BoxRate, c.For)
	}
	for i, z := range c.Zones {
		if z.Name == "" || z.Boxes <= 0 || z.Rate <= 0 || z.Hub < 0 || z.Hub >= len(hubs) {
			return fmt.Errorf("fleet: Zones[%d]: %+v, want a name, Boxes and Rate over 0, and Hub 0 or 1", i, z)
		}
	}
	for i, d := range c.Deaths {
		if d.Zone < 0 || d.Zone >= len(c.Zones) || d.Back != 0 && d.Back <= d.At {
			return fmt.Errorf("fleet: Deaths[%d]: %+v, want an existing zone, and Back 0 or after At", i, d)
		}
	}
	if c.Objects <= 0 {
		c.Objects = 400
	}
	return nil
}

// Run starts the zones, sends the load, ends and restarts caches as configured and returns the figures. It returns an error
// if cfg is invalid, something can't be started, or ctx ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "larchusher-fleet")
	if err != nil {
		return nil, fmt.Errorf("fleet: can't create a temporary folder: %w", err)
	}
	f := &fleet{cfg: cfg, start: time.Now(), dir: dir, boxes: make([][]*fakeserver.LimitedStore, len(cfg.Zones)), zoneOf: map[*fakeserver.LimitedStore]int{}, journalPos: 1}
	defer f.close()
	if err := f.build(ctx); err != nil {
		return nil, err
	}
	loadStart := time.Since(f.start) // the load starts this long after f.start, from which caches count seconds
	began := time.Now()
	var all sync.WaitGroup
	errs := make(chan error, len(cfg.Deaths)+len(cfg.Zones))
	for _, d := range cfg.Deaths {
		all.Go(func() {
			if err := f.runOutage(ctx, d, began); err != nil {
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
	return f.summarize(ctx, results, loadStart)
}

// build starts the parents, the origin, the caches and the gateways.
func (f *fleet) build(ctx context.Context) error {
	var known []string
	for _, o := range []struct{ name, kind, zone string }{{"pn", "parent", "north"}, {"ps", "parent", "south"}, {"o", "origin", "north"}} {
		p := f.capacityModel(false)
		p.Rate, p.OverloadWindow = 20000, 0
		b, err := fakeserver.NewLimitedStore(o.name, o.kind, fakeserver.Loopback, p, f.start)
		if err != nil {
			return err
		}
		f.upstreams = append(f.upstreams, b)
		known = append(known, hostEntry(o.name, b.Addr, o.zone, o.kind, "SERVING", 0))
	}
	for i := range f.cfg.Zones {
		if err := f.startBoxes(i, false); err != nil {
			return err
		}
		known = append(known, f.hostEntries(i, "SERVING", 0)...)
	}
	list := json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` + strings.Join(known, ",") + `]}}]}`)
	for i, z := range f.cfg.Zones {
		w := testbed.Config{Program: f.cfg.Program, Pin: -1, Seed: fmt.Sprintf("%016x", f.cfg.Seed+uint64(i)+1)}
		if !f.cfg.Off {
			path := filepath.Join(f.dir, z.Name+".textproto")
			if err := os.WriteFile(path, []byte(operatorFile(f.cfg.Zones, i, f.cfg.Tiers)), 0o600); err != nil {
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

// runOutage closes the caches of a zone and starts new ones when the outage ends. The endpoint list reports the outage after
// Config.Late, or just before the new caches start if that is earlier.
func (f *fleet) runOutage(ctx context.Context, d Outage, start time.Time) error {
	wait := func(at time.Duration) bool {
		t := time.NewTimer(time.Until(start.Add(at)))
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
	removed := f.hostEntries(d.Zone, "DELETED", 0)
	announceAt := d.At + f.cfg.Late
	if d.Back > 0 && d.Back < announceAt {
		announceAt = d.Back
	}
	if !wait(announceAt) {
		return ctx.Err()
	}
	f.announce(removed)
	if d.Back == 0 || !wait(d.Back) {
		return ctx.Err()
	}
	if err := f.startBoxes(d.Zone, true); err != nil {
		return err
	}
	f.announce(f.hostEntries(d.Zone, "SERVING", time.Now().UnixMilli()))
	return nil
}

// summarizeSecond returns the figures of a zone's clients in one window and their attempts that the caches counted in second
// at; away is the number of their attempts at other zones.
func (f *fleet) summarizeSecond(s load.Summary, at, zone int) (sec Second, away int) {
	sec = Second{At: make([]int, len(f.cfg.Zones)), Worth: s.Worth * s.Seconds, WorthAsked: s.WorthOffered * s.Seconds}
	for _, c := range s.Classes {
		sec.Asked += c.Asked
		sec.InAim += c.InAim
		sec.Refused += c.Outcomes["refused"]
		sec.Other += c.Asked - c.Outcomes["served"] - c.Outcomes["refused"]
	}
	for _, b := range f.everyBox {
		seen := b.AttemptsIn(at, zone)
		sec.At[f.zoneOf[b]] += seen
		if f.zoneOf[b] != zone {
			away += seen
		}
	}
	return sec, away
}

// summarize returns the figures of the clients, the caches and the gateways. loadStart is the time from f.start to the start of
// the load.
func (f *fleet) summarize(ctx context.Context, results []*load.Result, loadStart time.Duration) (*Result, error) {
	r := &Result{}
	first := int(loadStart / time.Second)
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
			sec, away := f.summarizeSecond(s, first+n, i)
			if !f.cfg.Off && sec.Asked > 0 {
				// Clients and caches count slightly different seconds and arrivals are random, so the spilled requests
				// are divided by at least the zone's mean rate.
				r.Over = max(r.Over, float64(away)/math.Max(float64(sec.Asked), f.cfg.Zones[i].Rate)-spill*float64(len(levels)))
			}
			seconds = append(seconds, sec)
		}
		r.Zones = append(r.Zones, seconds)
		all := res.Summarize(0, 0)
		r.Silent, r.Second, r.Spoilt = r.Silent+all.Silent, r.Second+int(all.Second), r.Spoilt+int(all.Spoilt)
		c, err := f.gateways[i].Counters(ctx)
		if err != nil {
			return nil, err
		}
		r.Counters = append(r.Counters, c)
	}
	for _, b := range f.everyBox {
		r.Most = max(r.Most, b.PeakBudgetShare)
		if b.Failed {
			r.Fallen = append(r.Fallen, b.Name)
		}
	}
	return r, nil
}

// ServedWorthShare returns the share of the priority weight of all zones' requests that was served within the latency
// objective, from second from to before second to.
func (r *Result) ServedWorthShare(from, to int) float64 {
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
