package locality

import (
	"math/rand/v2"
	"time"
)

// Selector selects the locality of each request. Use [New]. It is not safe for concurrent use.
type Selector struct {
	cfg        Config
	rng        *rand.Rand
	localities []*localityState // as in Config.Localities
	lastTick   time.Duration
	requests   decayingSum // recent requests, decaying

	// Shares of the own load, set by each tick.
	ownShare    float64   // share that stays
	spillShares []float64 // shares that spill over, by locality
	servedShare float64   // sum of these shares; no locality has capacity for the rest
	panicking   bool      // panic mode: nearly everything looks unhealthy

	levelBudgets []budget // by level

	// Used while no locality has capacity for all of the load: requests are then admitted by band,
	// and some bypass the own caches.
	offered         []float64 // requests by band in the current tick
	offeredSmoothed []float64 // requests per tick by band, smoothed
	admitShares     []float64 // admitted shares by band
	bypass          bypass

	Counters Counters
}

// Counters counts the decisions of a [Selector].
type Counters struct {
	Picked       uint64 // requests that got a locality
	Spilled      uint64 // of these, requests that got another locality than the own one
	Rerouted     uint64 // requests that got another locality after a rejection by the first
	Bypassed     uint64 // requests without capacity in any locality, given to the own director to bypass its caches
	Rejected     uint64 // requests without capacity in any locality that were rejected
	BoundReached uint64 // requests bypassed or rejected only because the budgets of their locality were exhausted
	StateChanges uint64 // state changes of localities
	PanicTicks   uint64 // ticks in panic mode
}

// seedStream is the second word of the seed of the random numbers.
const seedStream = 0x7469657273

// New returns a Selector that keeps all load in the own locality. Its error is that of
// [Config.Validate].
func New(cfg Config) (*Selector, error) {
	s := &Selector{rng: rand.New(rand.NewPCG(cfg.Seed, seedStream))}
	return s, s.Reconfigure(cfg)
}

// Reconfigure replaces the configuration. The state of each locality is kept, by its name. If it
// returns an error, which is that of [Config.Validate], nothing has changed.
func (s *Selector) Reconfigure(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	known := map[string]*localityState{}
	for _, l := range s.localities {
		known[l.Name] = l
	}
	s.cfg, s.localities = cfg, nil
	levels := 0
	for _, c := range cfg.Localities {
		l := known[c.Name]
		if l == nil {
			l = &localityState{rampShare: 1}
		}
		l.Locality = c
		s.localities = append(s.localities, l)
		levels = max(levels, c.Level)
	}
	s.spillShares, s.levelBudgets = make([]float64, len(s.localities)), make([]budget, levels+1)
	if len(s.offered) != cfg.Bands {
		s.offered, s.offeredSmoothed = make([]float64, cfg.Bands), make([]float64, cfg.Bands)
		s.admitShares = make([]float64, cfg.Bands)
	}
	s.setShares(s.lastTick)
	return nil
}

// SetCachesUp records the number of caches of a locality that are up by the endpoint list.
func (s *Selector) SetCachesUp(locality, up int) {
	l := s.localities[locality]
	l.cachesUp, l.listed = up, true
}

// AttemptStarted records that an attempt is sent to a locality.
func (s *Selector) AttemptStarted(now time.Duration, locality int) {
	l := s.localities[locality]
	if l.sentSinceSuccess == 0 { // silence is measured from when an attempt is in flight
		l.lastSuccess = max(l.lastSuccess, now)
	}
	l.inFlight++
	l.sentSinceSuccess++
}

// AttemptFinished records the result of an attempt at a locality. hit is whether it was answered
// from a cached copy; it is ignored unless hitKnown is set. utilization is that of the locality's
// links, from the load report of the answer; negative: unknown.
func (s *Selector) AttemptFinished(now time.Duration, locality int, r Result, hit, hitKnown bool, utilization float64) {
	l := s.localities[locality]
	l.inFlight = max(0, l.inFlight-1)
	l.record(now, r)
	if r == ResultSuccess || r == ResultLate {
		l.lastSuccess, l.sentSinceSuccess = now, 0
	}
	if hitKnown {
		l.reads.add(now, 1, hitTimeConstant)
		if hit {
			l.hits.add(now, 1, hitTimeConstant)
		}
	}
	if utilization >= 0 {
		l.utilization.add(now, utilization, utilizationTimeConstant)
	}
}

// offeredWeight is the weight of the newest tick in the requests offered per band.
const offeredWeight = 0.2

// Tick updates the states and shares. It is to be called every Config.Tick.
func (s *Selector) Tick(now time.Duration) {
	span := max(0, now-s.lastTick)
	if s.lastTick == 0 {
		span = s.cfg.Tick
	}
	s.lastTick = now
	for i := range s.offered {
		s.offeredSmoothed[i] += offeredWeight * (s.offered[i] - s.offeredSmoothed[i])
		s.offered[i] = 0
	}
	s.updateStates(now, span)
	s.setSpillover(now, span)
	s.setShares(now)
	s.setBypassShare(now, span)
}

// updateStates updates the state of each locality. Localities other than the own one are needed
// only while load spills over.
func (s *Selector) updateStates(now, span time.Duration) {
	spilling, rejecting := s.ownShare < 1, s.servedShare < 1
	for i, l := range s.localities {
		l.learnUsualValues(now)
		inputs := stateInputs{span: span, needed: spilling || i == 0, rejecting: rejecting, draw: s.rng.Float64}
		if l.updateState(now, &s.cfg, inputs) {
			s.Counters.StateChanges++
		}
	}
}

// View is a snapshot of the state of a locality, for metrics.
type View struct {
	Name          string
	State         State
	Share         float64 // share of the own load that it gets
	Ramp          float64 // share of its load that it gets by its ramp
	Health        float64 // share of good results lately; 1 if unknown
	Utilization   float64 // utilization of its links; negative: unknown
	Backoff       time.Duration
	Picked        uint64  // requests that it got
	HitRatio      float64 // recent hit ratio; negative: unknown
	UsualHitRatio float64 // hit ratio in good health; negative: unknown
}

// unknownShare stands for an unknown share in a View.
const unknownShare = -1

// View returns the state of all localities, in the order of Config.Localities.
func (s *Selector) View(now time.Duration) (all []View) {
	for i, l := range s.localities {
		v := View{Name: l.Name, State: l.state, Share: s.share(i), Ramp: l.rampShare, Backoff: l.backoff, Picked: l.picked,
			Utilization: unknownShare, HitRatio: unknownShare, UsualHitRatio: unknownShare}
		v.Health, _ = l.health(now)
		if l.utilization.known {
			v.Utilization = l.utilization.value
		}
		if ratio, known := l.hitRatio(now); known {
			v.HitRatio = ratio
		}
		if l.usualHitRatio.known {
			v.UsualHitRatio = l.usualHitRatio.value
		}
		all = append(all, v)
	}
	return all
}

// share returns the share of the own load that goes to a locality.
func (s *Selector) share(locality int) float64 {
	if locality == 0 {
		return s.ownShare
	}
	return s.spillShares[locality]
}

// BypassShare returns the share of the requests without capacity in any locality that bypass the
// own caches.
func (s *Selector) BypassShare() float64 { return s.bypass.share }

// RejectedShare returns the share of the own load for which no locality has capacity.
func (s *Selector) RejectedShare() float64 { return 1 - s.servedShare }
