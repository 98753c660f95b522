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

// linkLoadName is the name of the value in load reports that holds the utilization of the
// locality's link.
const linkLoadName = "x1"

// localityState is the part of a gateway that handles localities: it has a director for each, and
// the policy that selects among them. With the own locality alone there is one director, and
// everything else here is unused.
type localityState struct {
	directors            []*routing.Director
	names                []string           // names of the localities, by index; the own one is the first
	localityPolicy       *locality.Selector // nil: there is only the own locality
	endpointIndex        *locality.EndpointIndex
	linkLoadField        int // index of linkLoadName in load reports; -1: it is not reported
	localityTickInterval time.Duration
	lastLocalityTick     time.Duration // on the clock of unpausedTime
}

// initLocalities creates the directors.
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

// initSeveralLocalities creates a director for each locality, and the policy that selects among
// them.
func (g *Gateway) initSeveralLocalities(cfg locality.Config) error {
	settings := g.cfg.Settings
	if own := cfg.Localities[0].Name; own != settings.Zone {
		return fmt.Errorf("gateway: tiers: the first locality is %q, want the own one, %q", own, settings.Zone)
	}
	for i, l := range cfg.Localities {
		s, err := locality.DirectorSettings(settings, cfg.Localities, i)
		if err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
		d, err := routing.New(s, g.cfg.Seed+uint64(i))
		if err != nil {
			return fmt.Errorf("starting the director for %s: %w", l.Name, err)
		}
		g.directors, g.names = append(g.directors, d), append(g.names, l.Name)
	}
	order := overload.NewOrder(overloadClasses(settings.Classes), g.cfg.Overload.RetriesFirst) // as in initAdmission
	policy, err := locality.New(g.localityConfig(cfg, order.Bands()))
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.localityPolicy = policy
	g.localityTickInterval = localityTickInterval(cfg)
	g.endpointIndex = locality.NewEndpointIndex(settings, cfg.Localities)
	g.linkLoadField = slices.Index(settings.LoadReportFields, linkLoadName)
	return nil
}

// localityConfig returns a configuration with Bands, Seed and MaxRetryAfter filled in from the
// settings and the number of priority bands.
func (g *Gateway) localityConfig(cfg locality.Config, bands int) locality.Config {
	cfg.Bands = bands
	cfg.Seed = g.cfg.Seed
	if cfg.MaxRetryAfter == 0 {
		cfg.MaxRetryAfter = g.cfg.Settings.MaxRetryAfter
	}
	return cfg
}

// localityTickInterval returns how often the shares of localities are set.
func localityTickInterval(cfg locality.Config) time.Duration {
	if cfg.Tick > 0 {
		return cfg.Tick
	}
	return locality.DefaultTick
}

// CheckLocalities returns an error if a configuration of localities cannot replace the present one.
func (g *Gateway) CheckLocalities(cfg locality.Config) error {
	var names []string
	for _, l := range cfg.Localities {
		names = append(names, l.Name)
	}
	if g.localityPolicy == nil || !slices.Equal(names, g.names) {
		return fmt.Errorf("gateway: tiers: the localities cannot be changed to %q while the gateway runs; at the start they were %q", names, g.names)
	}
	complete := g.localityConfig(cfg, g.classOrder().Bands())
	if err := complete.Validate(); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}

// ReconfigureLocalities replaces the limits, ramps and weights of the localities, which must be
// those of the start. If it returns an error, nothing has changed.
func (g *Gateway) ReconfigureLocalities(cfg locality.Config) error {
	if err := g.CheckLocalities(cfg); err != nil {
		return err
	}
	if err := g.localityPolicy.Reconfigure(g.localityConfig(cfg, g.classOrder().Bands())); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.cfg.Localities, g.localityTickInterval = &cfg, localityTickInterval(cfg)
	return nil
}

// unpausedTime returns the time on the directors' clock without the pauses of this program, which
// are not caused by any locality.
func (g *Gateway) unpausedTime() time.Duration { return g.now() - g.pausedTime }

// updateLocalityEndpoints passes the number of caches that are up in each locality to the locality
// policy, after an update of the endpoint list.
func (g *Gateway) updateLocalityEndpoints(u routing.EndpointUpdate) {
	if g.localityPolicy == nil {
		return
	}
	for i, up := range g.endpointIndex.Update(u) {
		g.localityPolicy.SetCachesUp(i, up)
	}
}

// pickLocalityOrShed selects the locality of a request whose turn it is. If no locality has
// capacity for the request, it sheds the request and returns false.
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

// needsLocality reports whether the locality policy selects the locality of a request.
func (g *Gateway) needsLocality(r *Request) bool {
	return g.localityPolicy != nil && !g.bypassesLocalities(r)
}

// bypassesLocalities reports whether a request is sent to the origin past all caches. That includes
// requests of unknown classes.
func (g *Gateway) bypassesLocalities(r *Request) bool {
	c := r.class
	return c == nil || c.Uncacheable && g.cfg.Settings.AllowBypass
}

// rejectionEffect is the effect of a director's rejection where there are several localities.
type rejectionEffect int

const (
	rejectionFinal      rejectionEffect = iota // the rejection is the answer to the request
	rejectionRerouted                          // the request was passed to another locality's director
	rejectionSuperseded                        // another locality's director already has the request; the rejection is ignored
)

// rerouteRejected passes a request that the director of a locality has rejected to the director of
// another locality, if the locality policy allows that.
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

// rejectionOf describes a rejected request for the locality policy.
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

// recordAttemptSent reports an attempt to the locality policy when it is sent.
func (g *Gateway) recordAttemptSent(a *Attempt) {
	if g.needsLocality(a.Request) {
		g.localityPolicy.AttemptStarted(g.unpausedTime(), a.locality)
	}
}

// recordAttemptResult reports the result of an attempt to the locality policy. An attempt that
// bypassed the caches of its locality counts as a failure of the locality, since these were not
// available.
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

// missedObjective reports whether a successful attempt took longer than the latency objective of
// its class, which grows with the size of the body. Unlike package routing, it does not cap the
// objective at the request's deadline.
func (g *Gateway) missedObjective(a *Attempt, res Result) bool {
	c := a.Request.class
	if c == nil || res.Status != routing.OK {
		return false
	}
	transfer := float64(g.cfg.Settings.TransferTime(float64(len(res.Body)) / 1000))
	objective := c.LatencyObjective + time.Duration(c.ObjectiveStretch*transfer)
	return g.latency(a, res) > objective
}

// linkLoad returns the utilization of the locality's link from a cache's load report; negative:
// unknown.
func (g *Gateway) linkLoad(atCache bool, res Result) float64 {
	if !atCache || g.linkLoadField < 0 || g.linkLoadField >= len(res.LoadReport) {
		return -1
	}
	return res.LoadReport[g.linkLoadField]
}

// tickLocalities sets the shares of the localities when their interval has passed. It is called at
// each tick of the gateway.
func (g *Gateway) tickLocalities() {
	if g.localityPolicy == nil {
		return
	}
	if now := g.unpausedTime(); now-g.lastLocalityTick >= g.localityTickInterval {
		g.lastLocalityTick = now
		g.localityPolicy.Tick(now)
	}
}

// LocalityStats is the state of the locality policy at one moment.
type LocalityStats struct {
	Counters    locality.Counters
	BypassShare float64 // share of the requests without capacity in any locality that is sent past the caches
	Localities  []locality.View
}

// LocalityStats returns the state of the locality policy; ok is false if there is only the own
// locality.
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
