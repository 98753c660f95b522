package locality

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	budgetWindow       = 10 * time.Millisecond // of all that comes, so much may be saved up of a bound: it is exceeded by a hundredth in a second
	rateMemory         = time.Second
	initialSpillover   = 0.05 // share that spills to a locality that has told nothing of its load yet
	bypassProbeShare   = 0.1  // share of what fits nowhere that is sent past the caches to learn how that goes
	offeredWeight      = 0.2  // weight of the newest tick in what is offered
	minRetryAfterShare = 0.25 // share of the longest advice that is given when little is refused
)

// budget bounds what is spent to a share of what comes, over any time: it earns with each request that comes.
type budget struct{ have float64 }

func (p *budget) earn(share, most float64) { p.have = min(max(1, most), p.have+share) }

func (p *budget) spend() bool {
	if p.have < 1 {
		return false
	}
	p.have--
	return true
}

// Selector decides among localities. Use New.
type Selector struct {
	cfg        Config
	rng        *rand.Rand
	localities []*localityState
	lastTick   time.Duration // of the latest tick
	requests   decayingSum   // requests

	ownShare        float64     // share that stays
	spillShares     []float64   // by locality, the share that goes there
	levelBudgets    []budget    // by level
	bounds          []float64   // by level, what it may get
	servedShare     float64     // of all of these
	bypassShare     float64     // share of what fits nowhere that the own director is given all the same, to send past its caches
	bypassGood      decayingSum // how that ended
	bypassBad       decayingSum
	panicking       bool
	offered         []float64 // by band, in the tick that runs
	offeredSmoothed []float64 // by band, a tick
	admitShares     []float64 // by band

	Counters Counters
}

// Counters count decisions.
type Counters struct {
	Picked       uint64 // requests that were given a locality,
	Spilled      uint64 // of them, another than the own one
	Rerouted     uint64 // requests that were given another after the first had refused them
	Bypassed     uint64 // requests that fit nowhere, and were left to the own director to send past its caches
	Rejected     uint64 // that fit nowhere
	BoundReached uint64 // of them, since a bound was reached in the very moment
	StateChanges uint64 // of state
	PanicTicks   uint64 // ticks in which the fault was taken to be elsewhere
}

// New returns a T that has all load stay.
func New(cfg Config) (*Selector, error) {
	t := &Selector{rng: rand.New(rand.NewPCG(cfg.Seed, 0x7469657273))}
	return t, t.Reconfigure(cfg)
}

// Reconfigure takes a new configuration in. What is known of a locality is kept, by its name. On an error all stays as it was.
func (t *Selector) Reconfigure(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	old := map[string]*localityState{}
	for _, l := range t.localities {
		old[l.Name] = l
	}
	t.cfg, t.localities = cfg, nil
	levels := 0
	for _, c := range cfg.Localities {
		l := old[c.Name]
		if l == nil {
			l = &localityState{rampShare: 1}
		}
		l.Locality = c
		t.localities = append(t.localities, l)
		levels = max(levels, c.Level)
	}
	t.spillShares, t.levelBudgets = make([]float64, len(t.localities)), make([]budget, levels+1)
	t.bounds = make([]float64, levels+1)
	if len(t.offered) != cfg.Bands {
		t.offered, t.offeredSmoothed = make([]float64, cfg.Bands), make([]float64, cfg.Bands)
		t.admitShares = make([]float64, cfg.Bands)
	}
	t.setShares(t.lastTick)
	return nil
}

// SetCachesUp says how many of a locality's caches the list calls up.
func (t *Selector) SetCachesUp(where, up int) {
	t.localities[where].cachesUp, t.localities[where].listed = up, true
}

// AttemptStarted says that an attempt went out to a locality.
func (t *Selector) AttemptStarted(now time.Duration, where int) {
	l := t.localities[where]
	if l.sentSinceSuccess == 0 {
		l.lastSuccess = max(l.lastSuccess, now) // silence counts from when work is out
	}
	l.inFlight++
	l.sentSinceSuccess++
}

// AttemptFinished says how an attempt ended at a locality. hit says whether it was answered from a copy there, of those for which
// that was told; load is how full the locality's link is, by the report that came along; negative: none did.
func (t *Selector) AttemptFinished(now time.Duration, where int, r Result, hit, told bool, load float64) {
	l := t.localities[where]
	l.inFlight = max(0, l.inFlight-1)
	l.record(now, r)
	if r == ResultSuccess || r == ResultLate {
		l.lastSuccess, l.sentSinceSuccess = now, 0
	}
	if told {
		l.reads.add(now, 1, hitMemory)
		if hit {
			l.hits.add(now, 1, hitMemory)
		}
	}
	if load >= 0 {
		l.utilization.add(now, load, resultMemory/2)
	}
}

// Rejection is a request that the director of its locality has refused, having sent nothing or all in vain.
type Rejection struct {
	From             int
	Idempotent       bool // it may be repeated freely
	Rerouted         bool // it has been given another locality before
	Attempts         int  // made for it so far,
	MaxAttempts      int  // of so many that there may be; 0: any number
	Elapsed          time.Duration
	Remaining        time.Duration // until its client gives up
	LatencyObjective time.Duration // of its class
}

// HandleRejection takes a refusal in, and says which other locality the request is to be given, if any. Only what may be repeated
// freely is moved, once, and while half of its aim is left for it; within the bounds of what spills.
func (t *Selector) HandleRejection(now time.Duration, r Rejection) (where int, ok bool) {
	t.localities[r.From].record(now, ResultRejected)
	if r.From == 0 && t.localities[0].state != StateHealthy {
		t.bypassBad.add(now, 1, resultMemory)
	}
	if r.Rerouted || !r.Idempotent || r.MaxAttempts > 0 && r.Attempts >= r.MaxAttempts || r.Elapsed >= r.LatencyObjective/2 || r.Remaining <= r.LatencyObjective/2 {
		return 0, false
	}
	return t.pickAlternative(r.From)
}

// BypassFinished says how an attempt ended that the own director sent past the caches of its locality, straight to what stands
// behind them. For the locality it was none: see [Judge].
func (t *Selector) BypassFinished(now time.Duration, r Result) {
	w := resultWeights[r]
	t.bypassGood.add(now, w[0], resultMemory)
	t.bypassBad.add(now, w[1], resultMemory)
}

// setBypassShare sets how much of what fits nowhere goes past the caches: as much as has been seen to go well. Guards against
// refusing what the upper caches and the origin could still serve; what they can do is the director's to judge, which
// refuses what they can't.
func (t *Selector) setBypassShare(now, span time.Duration) {
	good, bad := t.bypassGood.now(now, resultMemory), t.bypassBad.now(now, resultMemory)
	own := t.localities[0]
	switch {
	case t.servedShare >= 1 || own.state == StateRecovering: // it has caches again, and its ramp says how much they are given
		t.bypassShare = 0
	case good+bad < 1: // nothing is known; where no cache is left that could hang, a few are worth trying
		if own.listed && own.cachesUp == 0 {
			t.bypassShare = bypassProbeShare
		} else {
			t.bypassShare = 0
		}
	case good < (1+t.cfg.MinHealth)/2*(good+bad):
		t.bypassShare = max(t.bypassShare/2, bypassProbeShare)
	case good+bad >= t.requests.now(now, rateMemory)/2: // it has just done so for most of the load
		t.bypassShare = 1
	default:
		t.bypassShare = min(1, t.bypassShare+2*t.cfg.SpilloverRise*span.Seconds())
	}
}

func (l *localityState) record(now time.Duration, r Result) {
	if l.state == StateEjected {
		return // it speaks of the time before
	}
	w := resultWeights[r]
	l.good.add(now, w[0], resultMemory)
	l.bad.add(now, w[1], resultMemory)
	if l.state == StateProbation {
		switch r {
		case ResultSuccess, ResultLate:
			l.probationPassed++
		case ResultFailure, ResultRejected:
			l.probationFailed++
		}
	}
}

// Pick gives a request its locality, or refuses it: then later says when to come back. object and id are hashes, spread
// evenly, of what is asked for and of the request: an object keeps to its locality as long as shares allow, so that its
// copies gather there.
func (t *Selector) Pick(now time.Duration, band int, object, id uint64) (where int, later time.Duration, ok bool) {
	if band < len(t.offered) {
		t.offered[band]++
	}
	t.earnBudgets(now)
	if i := t.pickProbation(band); i >= 0 {
		return t.recordPick(i), 0, true
	}
	part := func(h uint64) float64 { return float64(h>>11) / (1 << 53) }
	if t.servedShare < 1 && band < len(t.admitShares) && part(id) >= t.admitShares[band] {
		return t.rejectOrBypass(id)
	}
	u := part(object)
	where = -1
	switch {
	case u < t.ownShare:
		where = 0
	case t.servedShare > 0 && u < t.ownShare+1-t.servedShare: // of what is nowhere's, each takes its part
		v := part(id*0x9e3779b97f4a7c15) * t.servedShare
		for i := range t.localities {
			share := t.spillShares[i]
			if i == 0 {
				share = t.ownShare
			}
			if v -= share; v < 0 {
				where = i
				break
			}
		}
	default:
		edge := 1.0 // the first spills from the top: what it holds stays the same while shares move
		for i := 1; i < len(t.localities); i++ {
			if edge -= t.spillShares[i]; t.spillShares[i] > 0 && u >= edge {
				where = i
				break
			}
		}
	}
	if where == 0 {
		return t.recordPick(0), 0, true
	}
	if where > 0 && t.spendBudgets(where) {
		return t.recordPick(where), 0, true
	}
	for i := 1; i < len(t.localities); i++ { // its bound is reached in this very moment: another may have room
		if i != where && t.spillShares[i] > 0 && t.spendBudgets(i) {
			return t.recordPick(i), 0, true
		}
	}
	if t.ownShare > 0 && t.localities[0].state == StateHealthy {
		return t.recordPick(0), 0, true
	}
	t.Counters.BoundReached++
	return t.rejectOrBypass(id)
}

// rejectOrBypass refuses a request that fits nowhere, or has the own director send it past its caches.
func (t *Selector) rejectOrBypass(id uint64) (int, time.Duration, bool) {
	if t.bypassShare > 0 && float64((id*0xbf58476d1ce4e5b9)>>11)/(1<<53) < t.bypassShare {
		t.Counters.Bypassed++
		return t.recordPick(0), 0, true
	}
	return t.reject(id)
}

// pickAlternative finds a request another locality, within the bounds.
func (t *Selector) pickAlternative(from int) (where int, ok bool) {
	for i := 1; i < len(t.localities); i++ {
		if l := t.localities[i]; i != from && (l.state == StateHealthy || l.state == StateRecovering) && t.usableShare(l) > 0 && t.spendBudgets(i) {
			t.Counters.Rerouted++
			return t.recordPick(i), true
		}
	}
	return 0, false
}

// earnBudgets books a request: bounds are shares of what comes.
func (t *Selector) earnBudgets(now time.Duration) {
	t.requests.add(now, 1, rateMemory)
	most := t.requests.now(now, rateMemory) * budgetWindow.Seconds()
	for i := range t.levelBudgets {
		if i > 0 {
			t.levelBudgets[i].earn(t.cfg.MaxSpillover, most)
		}
	}
	for i, l := range t.localities {
		if i > 0 {
			l.budget.earn(l.maxSpillover, most)
		}
	}
}

// spendBudgets takes one request off the bounds of a locality and its level, if both have room.
func (t *Selector) spendBudgets(where int) bool {
	l := t.localities[where]
	if l.budget.have < 1 || t.levelBudgets[l.Level].have < 1 {
		return false
	}
	return l.budget.spend() && t.levelBudgets[l.Level].spend()
}

// pickProbation is a locality that is tried, with a request to spare for it: those of least worth. -1: there is none.
func (t *Selector) pickProbation(band int) int {
	for i, l := range t.localities {
		if l.state == StateProbation && l.probationSent < probationRequests && band >= t.cfg.Bands/2 && (i == 0 || t.levelBudgets[l.Level].spend()) {
			l.probationSent++
			return i
		}
	}
	return -1
}

func (t *Selector) recordPick(where int) int {
	t.Counters.Picked++
	t.localities[where].picked++
	if where > 0 {
		t.Counters.Spilled++
	}
	return where
}

func (t *Selector) reject(id uint64) (int, time.Duration, bool) {
	t.Counters.Rejected++
	base := float64(t.cfg.MaxRetryAfter) * (minRetryAfterShare + (0.8-minRetryAfterShare)*min(1, 1-t.servedShare))
	return -1, time.Duration(base * (0.75 + float64(id%1024)/2048)), false
}

// Tick sets the shares anew. It is to be called every Config.Tick.
func (t *Selector) Tick(now time.Duration) {
	span := max(0, now-t.lastTick)
	if t.lastTick == 0 {
		span = t.cfg.Tick
	}
	t.lastTick = now
	for i := range t.offered {
		t.offeredSmoothed[i] += offeredWeight * (t.offered[i] - t.offeredSmoothed[i])
		t.offered[i] = 0
	}
	wanted := t.ownShare < 1
	for i, l := range t.localities {
		l.learnUsual(now)
		if l.updateState(now, &t.cfg, span, wanted || i == 0, t.servedShare < 1, t.rng.Float64) {
			t.Counters.StateChanges++
		}
	}
	t.setSpillover(now, span)
	t.setShares(now)
	t.setBypassShare(now, span)
}

// usableShare is the share of its full load that a locality can take now, by its health and its ramp.
func (t *Selector) usableShare(l *localityState) float64 {
	if l.state == StateEjected || l.state == StateProbation {
		return 0
	}
	h, _ := l.health(t.lastTick)
	return min(1, t.cfg.OverProvisioning*h) * l.rampShare
}

// demand is what the own locality's clients ask for, in the unit of weights.
func (t *Selector) demand() float64 {
	own := t.localities[0]
	if own.usualUtilization.known {
		return max(0.05, own.usualUtilization.value) * own.Weight
	}
	return assumedUtilization * own.Weight
}

// setSpillover moves what may spill to each locality: towards a share of what it has to spare, by its own reports less what we
// cause there, slowly up and at once down.
//
// Guards against hunting: reports are late, so what we cause is taken as late as they are (lagged). With a share under
// one, the gateways of several localities that spill to the same one settle without talk: each takes a part of what the
// others leave.
func (t *Selector) setSpillover(now, span time.Duration) {
	demand := t.demand()
	for i, l := range t.localities {
		if i == 0 {
			continue
		}
		ours := 0.0
		if l.laggedSpillover.known {
			ours = l.laggedSpillover.value * demand / l.Weight
		}
		want := initialSpillover
		if l.utilization.known && now-l.utilization.at < 4*resultMemory {
			want = t.cfg.SpareCapacityShare * max(0, t.cfg.FullUtilization-l.utilization.value+min(ours, l.utilization.value)) * l.Weight / demand
		}
		want = min(want, t.cfg.MaxSpillover) * t.usableShare(l)
		if want < l.maxSpillover {
			l.maxSpillover = want
		} else {
			l.maxSpillover = min(want, l.maxSpillover+t.cfg.SpilloverRise*span.Seconds())
		}
		l.laggedSpillover.add(now, t.spillShares[i], resultMemory/2)
	}
}

// setShares spends the load on the localities: the own one first, then level by level, within a level in proportion to what
// each may have. What is left over is refused, of the bands of least worth.
func (t *Selector) setShares(now time.Duration) {
	clear(t.spillShares)
	well, weight := 0.0, 0.0
	for _, l := range t.localities {
		weight += l.Weight
		if l.state == StateHealthy || l.state == StateRecovering {
			h, _ := l.health(now)
			well += h * l.Weight
		}
	}
	t.ownShare = t.usableShare(t.localities[0])
	if t.panicking = well <= t.cfg.PanicThreshold*weight; t.panicking { // it is our own network, or the list: moving load helps nobody
		t.Counters.PanicTicks++
		t.ownShare, t.servedShare = 1, 1
		return
	}
	left := 1 - t.ownShare
	for level := 1; level < len(t.levelBudgets); level++ {
		room := 0.0
		for _, l := range t.localities {
			if l.Level == level {
				room += l.maxSpillover
			}
		}
		get := min(left, room, t.cfg.MaxSpillover)
		t.bounds[level] = get
		for i, l := range t.localities {
			if l.Level == level && room > 0 {
				t.spillShares[i] = get * l.maxSpillover / room
			}
		}
		left -= get
	}
	t.servedShare = min(1, 1-left)
	if left < 1e-9 {
		t.servedShare = 1
	}
	offered := 0.0
	for _, n := range t.offeredSmoothed {
		offered += n
	}
	have := t.servedShare * offered
	for b, n := range t.offeredSmoothed {
		switch {
		case n <= 0:
			t.admitShares[b] = math.Min(1, have) // none came lately: the first may come in while there is room
		default:
			t.admitShares[b] = min(1, have/n)
			have = max(0, have-n)
		}
	}
}

// View is what a T holds a locality for, for those who look.
type View struct {
	Name                    string
	State                   State
	Share                   float64 // of the own load, that goes there
	Ramp, Health            float64
	Utilization             float64 // how full its link is; negative: not known
	Backoff                 time.Duration
	Picked                  uint64
	HitRatio, UsualHitRatio float64 // share of hits now, and usually; negative: not known
}

// View tells of all localities, in the order of the configuration.
func (t *Selector) View(now time.Duration) (all []View) {
	for i, l := range t.localities {
		v := View{Name: l.Name, State: l.state, Share: t.spillShares[i], Ramp: l.rampShare, Backoff: l.backoff, Picked: l.picked, Utilization: -1, HitRatio: -1, UsualHitRatio: -1}
		if i == 0 {
			v.Share = t.ownShare
		}
		v.Health, _ = l.health(now)
		if l.utilization.known {
			v.Utilization = l.utilization.value
		}
		if share, known := l.hitRatio(now); known {
			v.HitRatio = share
		}
		if l.usualHits.known {
			v.UsualHitRatio = l.usualHits.value
		}
		all = append(all, v)
	}
	return all
}

// Panicking says that nearly all looks ill, so that the fault is taken to be elsewhere.
func (t *Selector) Panicking() bool { return t.panicking }

// SpilloverShare is the share of the own load that goes elsewhere, and Refusing the share that is refused.
func (t *Selector) SpilloverShare() (share float64) {
	for _, s := range t.spillShares {
		share += s
	}
	return share
}

// BypassShare is the share of what fits nowhere that goes past the caches.
func (t *Selector) BypassShare() float64 { return t.bypassShare }

// RejectedShare is the share of the own load that fits nowhere.
func (t *Selector) RejectedShare() float64 { return 1 - t.servedShare }
