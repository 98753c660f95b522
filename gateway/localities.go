package gateway

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchusher/internal/metrics"
	"larchusher/locality"
	"larchusher/routing"
	"larchusher/warmstart"
)

// places is the part of a gateway that knows of localities: a director for each, and what decides among them. Without
// further localities there is one director, and nothing else here does anything.
type places struct {
	directors []*routing.Director
	names     []string
	tiers     *locality.T // nil: there is one locality only
	roster    *locality.Roster
	report    int // where in a load report the fullness of a locality's link stands; -1: nowhere
	tierTick  time.Duration
	tiered    time.Duration // when shares were last set
}

// makePlaces makes the directors.
func (g *Gateway) makePlaces() error {
	set := g.cfg.Settings
	if g.cfg.Localities == nil || len(g.cfg.Localities.Localities) == 0 {
		d, err := routing.New(set, g.cfg.Seed)
		if err != nil {
			return fmt.Errorf("starting the director: %w", err)
		}
		g.directors, g.names = []*routing.Director{d}, []string{set.Zone}
		return nil
	}
	cfg := *g.cfg.Localities
	if own := cfg.Localities[0].Name; own != set.Zone {
		return fmt.Errorf("gateway: tiers: the first locality is %q, and the own one is %q", own, set.Zone)
	}
	for i, l := range cfg.Localities {
		s, err := locality.Settings(set, cfg.Localities, i)
		if err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
		d, err := routing.New(s, g.cfg.Seed+uint64(i))
		if err != nil {
			return fmt.Errorf("starting the director for %s: %w", l.Name, err)
		}
		g.directors, g.names = append(g.directors, d), append(g.names, l.Name)
	}
	cfg.Seed = g.cfg.Seed
	var err error
	if g.tiers, err = locality.New(g.tierBands(cfg)); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.tierTick = tierTick(cfg)
	g.roster = locality.NewRoster(set, cfg.Localities)
	g.report = slices.Index(set.LoadReportFields, "x1")
	return nil
}

// tierBands fills in what follows from the settings.
func (g *Gateway) tierBands(cfg locality.Config) locality.Config {
	cfg.Bands = 2*len(g.cfg.Settings.Classes) + 1 // as overload.Order has them
	cfg.Seed = g.cfg.Seed
	if cfg.LaterMost == 0 {
		cfg.LaterMost = g.cfg.Settings.MaxRetryAfter
	}
	return cfg
}

func tierTick(cfg locality.Config) time.Duration {
	if cfg.Tick > 0 {
		return cfg.Tick
	}
	return locality.DefaultTick
}

// ReconfigureLocalities takes in new bounds, ramps and weights; the localities must be those of the start. On an error all stays as it
// was. It may be called on the loop only.
func (g *Gateway) ReconfigureLocalities(cfg locality.Config) error {
	var names []string
	for _, l := range cfg.Localities {
		names = append(names, l.Name)
	}
	if g.tiers == nil || !slices.Equal(names, g.names) {
		return fmt.Errorf("gateway: tiers: the localities are %q, and were %q at the start", names, g.names)
	}
	if err := g.tiers.Use(g.tierBands(cfg)); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.cfg.Localities, g.tierTick = &cfg, tierTick(cfg)
	return nil
}

// handleAll gives an event to every director.
func (g *Gateway) handleAll(e routing.Event) {
	for i := range g.directors {
		g.handle(event{Event: e, where: i})
	}
}

// runningClock is the clock that leaves out stalls of this program: they are no locality's doing.
func (g *Gateway) runningClock() time.Duration { return g.now() - g.lost }

// listed tells of a list of stores.
func (g *Gateway) listed(m routing.EndpointUpdate) {
	if g.tiers == nil {
		return
	}
	for i, up := range g.roster.Take(m) {
		g.tiers.Members(i, up)
	}
}

// pick chooses the locality of a request whose turn it is, or refuses it. What runs at the origin and goes there straight
// is no locality's affair.
func (g *Gateway) pick(r *Request) bool {
	if g.tiers == nil || g.straight(r) {
		return true
	}
	where, later, ok := g.tiers.Pick(g.runningClock(), r.band, xxhash.Sum64String(r.Object), xxhash.Sum64String(r.ID))
	if !ok {
		g.shed(r, later)
		return false
	}
	r.where = where
	return true
}

// straight says that a request goes past all localities.
func (g *Gateway) straight(r *Request) bool {
	c := r.class
	return c == nil || c.Uncacheable && g.cfg.Settings.AllowBypass
}

// move gives a request that the director of its locality has refused to another one, and says that nothing is left to do
// about the refusal.
func (g *Gateway) move(id string, where int) bool {
	r := g.requests[id]
	if g.tiers == nil || r == nil {
		return false
	}
	if r.where != where {
		return true // it is another's by now
	}
	if g.straight(r) {
		return false
	}
	now := g.cfg.Loop.Now()
	refusal := locality.Refusal{From: where, Safe: r.safe(), Moved: r.moved, Attempts: len(r.attempts), Most: r.maxAttempts,
		Left: r.Deadline.Sub(now)}
	if !r.ArrivedAt.IsZero() {
		refusal.Waited = now.Sub(r.ArrivedAt)
	}
	if c := r.class; c != nil {
		refusal.Aim = c.LatencyObjective
	}
	to, ok := g.tiers.Refused(g.runningClock(), refusal)
	if !ok {
		return false
	}
	r.where, r.moved, r.first = to, true, len(r.attempts)
	g.direct(r)
	return true
}

// went books an attempt that goes out to a cache of a locality.
func (g *Gateway) went(a *Attempt) {
	if g.tiers != nil && !g.straight(a.Request) {
		g.tiers.Sent(g.runningClock(), a.where)
	}
}

// seen books how an attempt ended. What went past the caches of its locality speaks against them: they were not there.
func (g *Gateway) seen(a *Attempt, res Result) {
	if g.tiers == nil || g.straight(a.Request) {
		return
	}
	cache, late, load := g.roster.Cache(a.Endpoint, a.where), false, -1.0
	if c := a.Request.class; c != nil && res.Status == routing.OK {
		aim := c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(g.cfg.Settings.TransferTime(float64(len(res.Body))/1000)))
		late = res.ReceivedAt.Sub(a.sent)-(g.lost-a.lost) > aim
	}
	if !cache && a.where == 0 {
		g.tiers.Past(g.runningClock(), locality.Judge(res.Status, true, late, res.CollateralReset))
	}
	result := locality.Judge(res.Status, cache, late, res.CollateralReset)
	told := cache && res.Status == routing.OK && res.Reason != routing.ReasonNone
	if cache && g.report >= 0 && g.report < len(res.LoadReport) {
		load = res.LoadReport[g.report]
	}
	g.tiers.Ended(g.runningClock(), a.where, result, res.Reason == routing.ReasonHit || res.Reason == routing.ReasonStale, told, load)
}

// tier sets the shares of the localities anew, when it is time. It is called with each beat.
func (g *Gateway) tier() {
	if g.tiers == nil {
		return
	}
	if now := g.runningClock(); now-g.tiered >= g.tierTick {
		g.tiered = now
		g.tiers.Tick(now)
	}
}

// LocalityValues are what is decided among localities; none without further ones.
func (g *Gateway) LocalityValues() (all []metrics.Value) {
	if g.tiers == nil {
		return nil
	}
	add := func(kind metrics.Kind, name, help string, v float64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Help: help, Kind: kind, Value: v, Labels: labels})
	}
	c := g.tiers.Counters
	add(metrics.Counter, "tier_spilled", "Requests given to another locality than the own one.", float64(c.Spilled))
	add(metrics.Counter, "tier_moved", "Requests given to another locality after one had refused them.", float64(c.Moved))
	add(metrics.Counter, "tier_passed", "Requests that fit in no locality, and were sent past the caches.", float64(c.Passed))
	add(metrics.Gauge, "tier_passing", "Share of what fits nowhere that is.", g.tiers.Passing())
	add(metrics.Counter, "tier_refused", "Requests that fit in no locality.", float64(c.Refused))
	add(metrics.Counter, "tier_bounded", "Of those, refused since a bound was reached in the very moment.", float64(c.Bounded))
	add(metrics.Counter, "tier_changes", "Changes of a locality's state.", float64(c.Changes))
	add(metrics.Counter, "tier_panics", "Ticks in which nearly all looked ill, and load stayed.", float64(c.Panics))
	for _, v := range g.tiers.View(g.runningClock()) {
		where := metrics.Label{Name: "locality", Value: v.Name}
		add(metrics.Counter, "tier_picked", "Requests by locality.", float64(v.Picked), where)
		add(metrics.Gauge, "tier_share", "Share of the load that goes to a locality.", v.Share, where)
		add(metrics.Gauge, "tier_health", "Share of good ends there, lately.", v.Health, where)
		add(metrics.Gauge, "tier_ramp", "Share that a locality which returned may have of its own.", v.Ramp, where)
		add(metrics.Gauge, "tier_load", "How full its link is, by its reports; negative: not known.", v.Load, where)
		add(metrics.Gauge, "tier_state", "0 steady, 1 away, 2 on trial, 3 returning.", float64(v.State), where)
		add(metrics.Gauge, "tier_wait_seconds", "The latest wait before it was tried.", v.Wait.Seconds(), where)
	}
	return all
}

// ExportLearned copies out what the directors have learned, at most so many listings of each.
func (g *Gateway) ExportLearned(most int) (all []routing.LearnedState) {
	for _, d := range g.directors {
		all = append(all, d.Export(g.now(), most))
	}
	return all
}

// ImportSnapshot has the directors take in what a snapshot holds. The list of stores must be known.
func (g *Gateway) ImportSnapshot(s *warmstart.Snapshot, gateway, settings string) warmstart.ImportReport {
	all := map[string]*routing.Director{}
	for i, d := range g.directors {
		all[g.names[i]] = d
	}
	return s.Use(g.now(), gateway, settings, all)
}

// ImportLearned has the director of a zone take in what neighbours know, for what it is still worth by its age.
func (g *Gateway) ImportLearned(m routing.LearnedState) (u routing.ImportCounts) {
	for i, d := range g.directors {
		if g.names[i] == m.Zone {
			u = d.Import(g.now(), m, warmstart.ConfidenceAt)
		}
	}
	return u
}

// ApplyPeerPurge is the purge of a name of package purges, so long ago, as a neighbour has it.
func (g *Gateway) ApplyPeerPurge(name string, ago time.Duration) {
	p := routing.Purge{Object: name, Age: ago}
	if group, ok := strings.CutPrefix(name, " "); ok {
		n, err := strconv.Atoi(group)
		if err != nil {
			return
		}
		p = routing.Purge{Group: n, Age: ago}
	}
	g.handleAll(p)
}
