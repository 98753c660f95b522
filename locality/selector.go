package locality

import (
	"math/rand/v2"
	"time"
)

// Selector selects the locality of each request. Use [New].
type Selector struct {
	cfg        Config
	rng        *rand.Rand
	localities []*localityState // as in Config.Localities
	lastTick   time.Duration
	requests   decayingSum // requests that came lately

	// Shares of the own load, set by each tick.
	ownShare    float64   // that stays
	spillShares []float64 // that spill over, by locality
	servedShare float64   // the sum of these; no locality has capacity for the rest
	panicking   bool      // nearly everything looks unhealthy

	levelBudgets []budget // by level

	// When no locality has capacity for all of the load, requests are admitted by band, and some are sent past the own caches.
	offered         []float64 // requests by band, in the current tick
	offeredSmoothed []float64 // requests a tick by band
	admitShares     []float64 // by band
	bypass          bypass

	Counters Counters
}

// Counters count decisions.
type Counters struct {
	Picked       uint64 // requests that were given a locality,
	Spilled      uint64 // of these, another than the own one
	Rerouted     uint64 // requests that were given another one after the first had rejected them
	Bypassed     uint64 // requests that no locality had capacity for, and that the own director sends past its caches
	Rejected     uint64 // requests that no locality had capacity for, and that were rejected
	BoundReached uint64 // bypassed and rejected requests that would have had a locality, but for its exhausted budget
	StateChanges uint64 // of localities
	PanicTicks   uint64 // ticks in which nearly everything looked unhealthy
}

// seedStream is the second word of the seed of the random numbers.
const seedStream = 0x7469657273

// New returns a Selector that has all load stay. The error is that of [Config.Validate].
func New(cfg Config) (*Selector, error) {
	s := &Selector{rng: rand.New(rand.NewPCG(cfg.Seed, seedStream))}
	return s, s.Reconfigure(cfg)
}

// Reconfigure takes in a new configuration. What is known of a locality is kept, by its name. If it returns an error, that of
// [Config.Validate], everything stays as it was.
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

// SetCachesUp records how many caches of a locality the endpoint list has up.
func (s *Selector) SetCachesUp(locality, up int) {
	l := s.localities[locality]
	l.cachesUp, l.listed = up, true
}

// AttemptStarted records that an attempt is sent to a locality.
func (s *Selector) AttemptStarted(now time.Duration, locality int) {
	l := s.localities[locality]
	if l.sentSinceSuccess == 0 { // silence counts from when an attempt is in flight
		l.lastSuccess = max(l.lastSuccess, now)
	}
	l.inFlight++
	l.sentSinceSuccess++
}

// AttemptFinished records how an attempt at a locality ended. hit says whether it was answered from a cached copy, which counts
// only where hitKnown. utilization is that of the locality's links by the load report of the answer; negative: unknown.
func (s *Selector) AttemptFinished(now time.Duration, locality int, r Result, hit, hitKnown bool, utilization float64) {
	l := s.localities[locality]
	l.inFlight = max(0, l.inFlight-1)
	l.record(now, r)
	if r == ResultSuccess || r == ResultLate {
		l.lastSuccess, l.sentSinceSuccess = now, 0
	}
	if hitKnown {
		l.reads.add(now, 1, hitMemory)
		if hit {
			l.hits.add(now, 1, hitMemory)
		}
	}
	if utilization >= 0 {
		l.utilization.add(now, utilization, utilizationMemory)
	}
}

// offeredWeight is the weight of the newest tick in the requests offered.
const offeredWeight = 0.2

// Tick updates states and shares. It is to be called every Config.Tick.
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

// updateStates updates the state of each locality. Others than the own one are wanted only while load spills over.
func (s *Selector) updateStates(now, span time.Duration) {
	spilling, rejecting := s.ownShare < 1, s.servedShare < 1
	for i, l := range s.localities {
		l.learnUsual(now)
		at := situation{span: span, wanted: spilling || i == 0, rejecting: rejecting, draw: s.rng.Float64}
		if l.updateState(now, &s.cfg, at) {
			s.Counters.StateChanges++
		}
	}
}

// View is the state of a locality, for those who look.
type View struct {
	Name          string
	State         State
	Share         float64 // of the own load, that goes there
	Ramp          float64 // share of its load that it may have while it recovers
	Health        float64 // share of good results
	Utilization   float64 // of its links; negative: unknown
	Backoff       time.Duration
	Picked        uint64  // requests
	HitRatio      float64 // lately; negative: unknown
	UsualHitRatio float64 // in good health; negative: unknown
}

// unknownShare stands for a share that is not known, in a View.
const unknownShare = -1

// View returns the state of all localities, in the order of the configuration.
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
		if l.usualHits.known {
			v.UsualHitRatio = l.usualHits.value
		}
		all = append(all, v)
	}
	return all
}

// share is the share of the own load that goes to a locality.
func (s *Selector) share(locality int) float64 {
	if locality == 0 {
		return s.ownShare
	}
	return s.spillShares[locality]
}

// BypassShare returns, of the requests that no locality has capacity for, the share that is sent past the own caches.
func (s *Selector) BypassShare() float64 { return s.bypass.share }

// RejectedShare returns the share of the own load that no locality has capacity for.
func (s *Selector) RejectedShare() float64 { return 1 - s.servedShare }
