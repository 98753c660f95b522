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

// localityState is the part of a gateway that knows of localities: a director for each, and what decides among them. Without
// further localities there is one director, and nothing else here does anything.
type localityState struct {
	directors            []*routing.Director
	names                []string
	localityPolicy       *locality.Selector // nil: there is one locality only
	roster               *locality.EndpointIndex
	linkLoadField        int // where in a load report the fullness of a locality's link stands; -1: nowhere
	localityTickInterval time.Duration
	lastLocalityTick     time.Duration // when shares were last set
}

// initLocalities makes the directors.
func (g *Gateway) initLocalities() error {
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
		s, err := locality.DirectorSettings(set, cfg.Localities, i)
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
	if g.localityPolicy, err = locality.New(g.localityConfig(cfg)); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.localityTickInterval = localityTickOf(cfg)
	g.roster = locality.NewEndpointIndex(set, cfg.Localities)
	g.linkLoadField = slices.Index(set.LoadReportFields, "x1")
	return nil
}

// localityConfig fills in what follows from the settings.
func (g *Gateway) localityConfig(cfg locality.Config) locality.Config {
	cfg.Bands = 2*len(g.cfg.Settings.Classes) + 1 // as overload.Order has them
	cfg.Seed = g.cfg.Seed
	if cfg.MaxRetryAfter == 0 {
		cfg.MaxRetryAfter = g.cfg.Settings.MaxRetryAfter
	}
	return cfg
}

func localityTickOf(cfg locality.Config) time.Duration {
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
	if g.localityPolicy == nil || !slices.Equal(names, g.names) {
		return fmt.Errorf("gateway: tiers: the localities are %q, and were %q at the start", names, g.names)
	}
	if err := g.localityPolicy.Reconfigure(g.localityConfig(cfg)); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.cfg.Localities, g.localityTickInterval = &cfg, localityTickOf(cfg)
	return nil
}

// handleInAll gives an event to every director.
func (g *Gateway) handleInAll(e routing.Event) {
	for i := range g.directors {
		g.handleEvent(event{Event: e, locality: i})
	}
}

// unpausedTime is the clock that leaves out stalls of this program: they are no locality's doing.
func (g *Gateway) unpausedTime() time.Duration { return g.now() - g.pausedTime }

// updateLocalityRoster tells of a list of stores.
func (g *Gateway) updateLocalityRoster(m routing.EndpointUpdate) {
	if g.localityPolicy == nil {
		return
	}
	for i, up := range g.roster.Update(m) {
		g.localityPolicy.SetCachesUp(i, up)
	}
}

// pickLocality chooses the locality of a request whose turn it is, or refuses it. What runs at the origin and goes there straight
// is no locality's affair.
func (g *Gateway) pickLocality(r *Request) bool {
	if g.localityPolicy == nil || g.bypassesLocalities(r) {
		return true
	}
	where, later, ok := g.localityPolicy.Pick(g.unpausedTime(), r.band, xxhash.Sum64String(r.Object), xxhash.Sum64String(r.ID))
	if !ok {
		g.shedRequest(r, later)
		return false
	}
	r.locality = where
	return true
}

// bypassesLocalities says that a request goes past all localities.
func (g *Gateway) bypassesLocalities(r *Request) bool {
	c := r.class
	return c == nil || c.Uncacheable && g.cfg.Settings.AllowBypass
}

// rerouteRejected gives a request that the director of its locality has refused to another one, and says that nothing is left to do
// about the refusal.
func (g *Gateway) rerouteRejected(id string, where int) bool {
	r := g.requests[id]
	if g.localityPolicy == nil || r == nil {
		return false
	}
	if r.locality != where {
		return true // it is another's by now
	}
	if g.bypassesLocalities(r) {
		return false
	}
	now := g.cfg.Loop.Now()
	refusal := locality.Rejection{From: where, Idempotent: r.idempotent(), Rerouted: r.rerouted, Attempts: len(r.attempts), MaxAttempts: r.maxAttempts,
		Remaining: r.Deadline.Sub(now)}
	if !r.ArrivedAt.IsZero() {
		refusal.Elapsed = now.Sub(r.ArrivedAt)
	}
	if c := r.class; c != nil {
		refusal.LatencyObjective = c.LatencyObjective
	}
	to, ok := g.localityPolicy.HandleRejection(g.unpausedTime(), refusal)
	if !ok {
		return false
	}
	r.locality, r.rerouted, r.firstInLocality = to, true, len(r.attempts)
	g.submitToDirector(r)
	return true
}

// recordAttemptSent books an attempt that goes out to a cache of a locality.
func (g *Gateway) recordAttemptSent(a *Attempt) {
	if g.localityPolicy != nil && !g.bypassesLocalities(a.Request) {
		g.localityPolicy.AttemptStarted(g.unpausedTime(), a.locality)
	}
}

// recordAttemptResult books how an attempt ended. What went past the caches of its locality speaks against them: they were not there.
func (g *Gateway) recordAttemptResult(a *Attempt, res Result) {
	if g.localityPolicy == nil || g.bypassesLocalities(a.Request) {
		return
	}
	cache, late, load := g.roster.IsCache(a.Endpoint, a.locality), false, -1.0
	if c := a.Request.class; c != nil && res.Status == routing.OK {
		aim := c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(g.cfg.Settings.TransferTime(float64(len(res.Body))/1000)))
		late = res.ReceivedAt.Sub(a.startedAt)-(g.pausedTime-a.pausedAtStart) > aim
	}
	if !cache && a.locality == 0 {
		g.localityPolicy.BypassFinished(g.unpausedTime(), locality.ClassifyResult(res.Status, true, late, res.CollateralReset))
	}
	result := locality.ClassifyResult(res.Status, cache, late, res.CollateralReset)
	told := cache && res.Status == routing.OK && res.Reason != routing.ReasonNone
	if cache && g.linkLoadField >= 0 && g.linkLoadField < len(res.LoadReport) {
		load = res.LoadReport[g.linkLoadField]
	}
	g.localityPolicy.AttemptFinished(g.unpausedTime(), a.locality, result, res.Reason == routing.ReasonHit || res.Reason == routing.ReasonStale, told, load)
}

// tickLocalities sets the shares of the localities anew, when it is time. It is called with each beat.
func (g *Gateway) tickLocalities() {
	if g.localityPolicy == nil {
		return
	}
	if now := g.unpausedTime(); now-g.lastLocalityTick >= g.localityTickInterval {
		g.lastLocalityTick = now
		g.localityPolicy.Tick(now)
	}
}

// LocalityValues are what is decided among localities; none without further ones.
func (g *Gateway) LocalityValues() (all []metrics.Value) {
	if g.localityPolicy == nil {
		return nil
	}
	add := func(kind metrics.Kind, name, help string, v float64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Help: help, Kind: kind, Value: v, Labels: labels})
	}
	c := g.localityPolicy.Counters
	add(metrics.Counter, "tier_spilled", "Requests given to another locality than the own one.", float64(c.Spilled))
	add(metrics.Counter, "tier_moved", "Requests given to another locality after one had refused them.", float64(c.Rerouted))
	add(metrics.Counter, "tier_passed", "Requests that fit in no locality, and were sent past the caches.", float64(c.Bypassed))
	add(metrics.Gauge, "tier_passing", "Share of what fits nowhere that is.", g.localityPolicy.BypassShare())
	add(metrics.Counter, "tier_refused", "Requests that fit in no locality.", float64(c.Rejected))
	add(metrics.Counter, "tier_bounded", "Of those, refused since a bound was reached in the very moment.", float64(c.BoundReached))
	add(metrics.Counter, "tier_changes", "Changes of a locality's state.", float64(c.StateChanges))
	add(metrics.Counter, "tier_panics", "Ticks in which nearly all looked ill, and load stayed.", float64(c.PanicTicks))
	for _, v := range g.localityPolicy.View(g.unpausedTime()) {
		where := metrics.Label{Name: "locality", Value: v.Name}
		add(metrics.Counter, "tier_picked", "Requests by locality.", float64(v.Picked), where)
		add(metrics.Gauge, "tier_share", "Share of the load that goes to a locality.", v.Share, where)
		add(metrics.Gauge, "tier_health", "Share of good ends there, lately.", v.Health, where)
		add(metrics.Gauge, "tier_ramp", "Share that a locality which returned may have of its own.", v.Ramp, where)
		add(metrics.Gauge, "tier_load", "How full its link is, by its reports; negative: not known.", v.Utilization, where)
		add(metrics.Gauge, "tier_state", "0 steady, 1 away, 2 on trial, 3 returning.", float64(v.State), where)
		add(metrics.Gauge, "tier_wait_seconds", "The latest wait before it was tried.", v.Backoff.Seconds(), where)
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
	return s.Import(g.now(), gateway, settings, all)
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
	g.handleInAll(p)
}
