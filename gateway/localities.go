package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchusher/locality"
	"larchusher/overload"
	"larchusher/routing"
)

// linkLoadName is the field of load reports with the utilization of a locality's link.
const linkLoadName = "x1"

// localityState is the part of a gateway that knows of localities: a director for each, and what chooses among them. With
// the own locality alone there is one director, and nothing else here does anything.
type localityState struct {
	directors            []*routing.Director
	names                []string           // of the localities, by index; the own one is the first
	localityPolicy       *locality.Selector // nil: there is the own locality only
	endpointIndex        *locality.EndpointIndex
	linkLoadField        int // index of linkLoadName in a load report; -1: it is not reported
	localityTickInterval time.Duration
	lastLocalityTick     time.Duration // on the clock of unpausedTime
}

// initLocalities makes the directors.
func (g *Gateway) initLocalities() error {
	if g.cfg.Localities == nil || len(g.cfg.Localities.Localities) == 0 {
		d, err := routing.New(g.cfg.Settings, g.cfg.Seed)
		if err != nil {
			return fmt.Errorf("starting the director: %w", err)
		}
		g.directors, g.names = []*routing.Director{d}, []string{g.cfg.Settings.Zone}
		return nil
	}
	return g.initSeveralLocalities(*g.cfg.Localities)
}

// initSeveralLocalities makes a director for each locality, and what chooses among them.
func (g *Gateway) initSeveralLocalities(cfg locality.Config) error {
	set := g.cfg.Settings
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
	order := overload.NewOrder(overloadClasses(set.Classes), g.cfg.Overload.RetriesFirst) // as admission ranks them
	policy, err := locality.New(g.localityConfig(cfg, order.Bands()))
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.localityPolicy = policy
	g.localityTickInterval = localityTickOf(cfg)
	g.endpointIndex = locality.NewEndpointIndex(set, cfg.Localities)
	g.linkLoadField = slices.Index(set.LoadReportFields, linkLoadName)
	return nil
}

// localityConfig completes a configuration from the settings and the number of priority bands.
func (g *Gateway) localityConfig(cfg locality.Config, bands int) locality.Config {
	cfg.Bands = bands
	cfg.Seed = g.cfg.Seed
	if cfg.MaxRetryAfter == 0 {
		cfg.MaxRetryAfter = g.cfg.Settings.MaxRetryAfter
	}
	return cfg
}

// localityTickOf is how often the shares of localities are set.
func localityTickOf(cfg locality.Config) time.Duration {
	if cfg.Tick > 0 {
		return cfg.Tick
	}
	return locality.DefaultTick
}

// checkLocalities reports why a configuration of localities can't take the place of the present one.
func (g *Gateway) checkLocalities(cfg locality.Config) error {
	var names []string
	for _, l := range cfg.Localities {
		names = append(names, l.Name)
	}
	if g.localityPolicy == nil || !slices.Equal(names, g.names) {
		return fmt.Errorf("gateway: tiers: the localities are %q, and were %q at the start", names, g.names)
	}
	complete := g.localityConfig(cfg, g.classOrder().Bands())
	if err := complete.Validate(); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}

// ReconfigureLocalities has other limits, ramps and weights hold; the localities must be those of the start. On an error
// all stays as it was.
func (g *Gateway) ReconfigureLocalities(cfg locality.Config) error {
	if err := g.checkLocalities(cfg); err != nil {
		return err
	}
	if err := g.localityPolicy.Reconfigure(g.localityConfig(cfg, g.classOrder().Bands())); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.cfg.Localities, g.localityTickInterval = &cfg, localityTickOf(cfg)
	return nil
}

// unpausedTime is the directors' clock without pauses of this program, which are no locality's doing.
func (g *Gateway) unpausedTime() time.Duration { return g.now() - g.pausedTime }

// updateLocalityEndpoints tells the locality policy how many caches of each locality are up after an update of the endpoint
// list.
func (g *Gateway) updateLocalityEndpoints(u routing.EndpointUpdate) {
	if g.localityPolicy == nil {
		return
	}
	for i, up := range g.endpointIndex.Update(u) {
		g.localityPolicy.SetCachesUp(i, up)
	}
}

// pickLocalityOrShed chooses the locality of a request whose turn it is, or sheds the request and reports false.
func (g *Gateway) pickLocalityOrShed(r *Request) bool {
	if !g.needsLocality(r) {
		return true
	}
	chosen, retryAfter, ok := g.localityPolicy.Pick(g.unpausedTime(), r.band, xxhash.Sum64String(r.Object), xxhash.Sum64String(r.ID))
	if !ok {
		g.shedRequest(r, retryAfter)
		return false
	}
	r.locality = chosen
	return true
}

// needsLocality reports whether there are several localities, and a request goes to one of them.
func (g *Gateway) needsLocality(r *Request) bool {
	return g.localityPolicy != nil && !g.bypassesLocalities(r)
}

// bypassesLocalities reports whether a request runs at the origin, and goes there past all caches.
func (g *Gateway) bypassesLocalities(r *Request) bool {
	c := r.class
	return c == nil || c.Uncacheable && g.cfg.Settings.AllowBypass
}

// rejectionEffect is what a director's rejection comes to, with several localities.
type rejectionEffect int

const (
	rejectionFinal      rejectionEffect = iota // it is the request's answer
	rejectionRerouted                          // another locality has been given the request
	rejectionSuperseded                        // another locality had the request already
)

// rerouteRejected gives a request that the director of a locality has rejected to another locality, if one may have it.
func (g *Gateway) rerouteRejected(id string, from int) rejectionEffect {
	r := g.requests[id]
	if g.localityPolicy == nil || r == nil {
		return rejectionFinal
	}
	if r.locality != from {
		return rejectionSuperseded
	}
	if g.bypassesLocalities(r) {
		return rejectionFinal
	}
	to, ok := g.localityPolicy.HandleRejection(g.unpausedTime(), g.rejectionOf(r))
	if !ok {
		return rejectionFinal
	}
	r.locality, r.rerouted, r.firstInLocality = to, true, len(r.attempts)
	g.submitToDirector(r)
	return rejectionRerouted
}

// rejectionOf is what the locality policy is told of a request that its locality has rejected.
func (g *Gateway) rejectionOf(r *Request) locality.Rejection {
	now := g.cfg.Loop.Now()
	rejection := locality.Rejection{
		From:        r.locality,
		Idempotent:  r.idempotent(),
		Rerouted:    r.rerouted,
		Attempts:    len(r.attempts),
		MaxAttempts: r.maxAttempts,
		Remaining:   r.Deadline.Sub(now),
	}
	if !r.ArrivedAt.IsZero() {
		rejection.Elapsed = now.Sub(r.ArrivedAt)
	}
	if c := r.class; c != nil {
		rejection.LatencyObjective = c.LatencyObjective
	}
	return rejection
}

// recordAttemptSent counts an attempt that goes out in a locality.
func (g *Gateway) recordAttemptSent(a *Attempt) {
	if g.needsLocality(a.Request) {
		g.localityPolicy.AttemptStarted(g.unpausedTime(), a.locality)
	}
}

// recordAttemptResult tells the locality policy how an attempt ended. One that went past the caches of the own locality
// counts against them: they were not available.
func (g *Gateway) recordAttemptResult(a *Attempt, res Result) {
	if !g.needsLocality(a.Request) {
		return
	}
	now := g.unpausedTime()
	atCache := g.endpointIndex.IsCache(a.Endpoint, a.locality)
	late := g.missedObjective(a, res)
	if !atCache && a.locality == 0 {
		g.localityPolicy.BypassFinished(now, locality.ClassifyResult(res.Status, true, late, res.CollateralReset))
	}
	hit := res.Reason == routing.ReasonHit || res.Reason == routing.ReasonStale
	detailKnown := atCache && res.Status == routing.OK && res.Reason != routing.ReasonNone
	g.localityPolicy.AttemptFinished(now, a.locality, locality.ClassifyResult(res.Status, atCache, late, res.CollateralReset),
		hit, detailKnown, g.linkLoad(atCache, res))
}

// missedObjective reports whether a successful attempt took longer than the latency objective of its class, which grows
// with the size of the body. Package routing caps the objective at the request's deadline; here it has no cap.
func (g *Gateway) missedObjective(a *Attempt, res Result) bool {
	c := a.Request.class
	if c == nil || res.Status != routing.OK {
		return false
	}
	transfer := float64(g.cfg.Settings.TransferTime(float64(len(res.Body)) / 1000))
	objective := c.LatencyObjective + time.Duration(c.ObjectiveStretch*transfer)
	return g.latency(a, res) > objective
}

// linkLoad is the utilization of the locality's link in a cache's load report; negative: it is not known.
func (g *Gateway) linkLoad(atCache bool, res Result) float64 {
	if !atCache || g.linkLoadField < 0 || g.linkLoadField >= len(res.LoadReport) {
		return -1
	}
	return res.LoadReport[g.linkLoadField]
}

// tickLocalities sets the shares of the localities anew, when it is time. It is called with each tick.
func (g *Gateway) tickLocalities() {
	if g.localityPolicy == nil {
		return
	}
	if now := g.unpausedTime(); now-g.lastLocalityTick >= g.localityTickInterval {
		g.lastLocalityTick = now
		g.localityPolicy.Tick(now)
	}
}

// LocalityStats is what the choice among localities has come to, as of now.
type LocalityStats struct {
	Counters    locality.Counters
	BypassShare float64 // of the requests that fit in no locality, those that are sent past the caches
	Localities  []locality.View
}

// LocalityStats returns what is decided among localities now; false: there is only the own one.
func (g *Gateway) LocalityStats() (s LocalityStats, ok bool) {
	if g.localityPolicy == nil {
		return s, false
	}
	return LocalityStats{
		Counters:    g.localityPolicy.Counters,
		BypassShare: g.localityPolicy.BypassShare(),
		Localities:  g.localityPolicy.View(g.unpausedTime()),
	}, true
}
