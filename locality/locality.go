package locality

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	purseFor   = 10 * time.Millisecond // of all that comes, so much may be saved up of a bound: it is exceeded by a hundredth in a second
	rateMemory = time.Second
	spillStart = 0.05 // share that spills to a locality that has told nothing of its load yet
	pastTry    = 0.1  // share of what fits nowhere that is sent past the caches to learn how that goes
	offerPace  = 0.2  // weight of the newest tick in what is offered
	laterLeast = 0.25 // share of the longest advice that is given when little is refused
)

// purse bounds what is spent to a share of what comes, over any time: it earns with each request that comes.
type purse struct{ have float64 }

func (p *purse) earn(share, most float64) { p.have = min(max(1, most), p.have+share) }

func (p *purse) spend() bool {
	if p.have < 1 {
		return false
	}
	p.have--
	return true
}

// Selector decides among localities. Use New.
type Selector struct {
	cfg  Config
	rng  *rand.Rand
	all  []*locality
	last time.Duration // of the latest tick
	rate decayed       // requests

	keep    float64   // share that stays
	spills  []float64 // by locality, the share that goes there
	level   []purse   // by level
	bounds  []float64 // by level, what it may get
	total   float64   // of all of these
	past    float64   // share of what fits nowhere that the own director is given all the same, to send past its caches
	pastOK  decayed   // how that ended
	pastBad decayed
	panic   bool
	offered []float64 // by band, in the tick that runs
	smooth  []float64 // by band, a tick
	admit   []float64 // by band

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
	old := map[string]*locality{}
	for _, l := range t.all {
		old[l.Name] = l
	}
	t.cfg, t.all = cfg, nil
	levels := 0
	for _, c := range cfg.Localities {
		l := old[c.Name]
		if l == nil {
			l = &locality{ramp: 1}
		}
		l.Locality = c
		t.all = append(t.all, l)
		levels = max(levels, c.Level)
	}
	t.spills, t.level = make([]float64, len(t.all)), make([]purse, levels+1)
	t.bounds = make([]float64, levels+1)
	if len(t.offered) != cfg.Bands {
		t.offered, t.smooth = make([]float64, cfg.Bands), make([]float64, cfg.Bands)
		t.admit = make([]float64, cfg.Bands)
	}
	t.set(t.last)
	return nil
}

// SetCachesUp says how many of a locality's caches the list calls up.
func (t *Selector) SetCachesUp(where, up int) { t.all[where].up, t.all[where].told = up, true }

// AttemptStarted says that an attempt went out to a locality.
func (t *Selector) AttemptStarted(now time.Duration, where int) {
	l := t.all[where]
	if l.sent == 0 {
		l.lastGood = max(l.lastGood, now) // silence counts from when work is out
	}
	l.out++
	l.sent++
}

// AttemptFinished says how an attempt ended at a locality. hit says whether it was answered from a copy there, of those for which
// that was told; load is how full the locality's link is, by the report that came along; negative: none did.
func (t *Selector) AttemptFinished(now time.Duration, where int, r Result, hit, told bool, load float64) {
	l := t.all[where]
	l.out = max(0, l.out-1)
	l.book(now, r)
	if r == ResultSuccess || r == ResultLate {
		l.lastGood, l.sent = now, 0
	}
	if told {
		l.reads.add(now, 1, hitMemory)
		if hit {
			l.hits.add(now, 1, hitMemory)
		}
	}
	if load >= 0 {
		l.load.add(now, load, memory/2)
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
	t.all[r.From].book(now, ResultRejected)
	if r.From == 0 && t.all[0].state != StateHealthy {
		t.pastBad.add(now, 1, memory)
	}
	if r.Rerouted || !r.Idempotent || r.MaxAttempts > 0 && r.Attempts >= r.MaxAttempts || r.Elapsed >= r.LatencyObjective/2 || r.Remaining <= r.LatencyObjective/2 {
		return 0, false
	}
	return t.move(r.From)
}

// BypassFinished says how an attempt ended that the own director sent past the caches of its locality, straight to what stands
// behind them. For the locality it was none: see [Judge].
func (t *Selector) BypassFinished(now time.Duration, r Result) {
	w := weights[r]
	t.pastOK.add(now, w[0], memory)
	t.pastBad.add(now, w[1], memory)
}

// goPast sets how much of what fits nowhere goes past the caches: as much as has been seen to go well. Guards against
// refusing what the upper caches and the origin could still serve; what they can do is the director's to judge, which
// refuses what they can't.
func (t *Selector) goPast(now, span time.Duration) {
	good, bad := t.pastOK.now(now, memory), t.pastBad.now(now, memory)
	own := t.all[0]
	switch {
	case t.total >= 1 || own.state == StateRecovering: // it has caches again, and its ramp says how much they are given
		t.past = 0
	case good+bad < 1: // nothing is known; where no cache is left that could hang, a few are worth trying
		if own.told && own.up == 0 {
			t.past = pastTry
		} else {
			t.past = 0
		}
	case good < (1+t.cfg.MinHealth)/2*(good+bad):
		t.past = max(t.past/2, pastTry)
	case good+bad >= t.rate.now(now, rateMemory)/2: // it has just done so for most of the load
		t.past = 1
	default:
		t.past = min(1, t.past+2*t.cfg.SpilloverRise*span.Seconds())
	}
}

func (l *locality) book(now time.Duration, r Result) {
	if l.state == StateEjected {
		return // it speaks of the time before
	}
	w := weights[r]
	l.good.add(now, w[0], memory)
	l.bad.add(now, w[1], memory)
	if l.state == StateProbation {
		switch r {
		case ResultSuccess, ResultLate:
			l.triedOK++
		case ResultFailure, ResultRejected:
			l.triedBad++
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
	t.come(now)
	if i := t.onTrial(band); i >= 0 {
		return t.take(i), 0, true
	}
	part := func(h uint64) float64 { return float64(h>>11) / (1 << 53) }
	if t.total < 1 && band < len(t.admit) && part(id) >= t.admit[band] {
		return t.leave(id)
	}
	u := part(object)
	where = -1
	switch {
	case u < t.keep:
		where = 0
	case t.total > 0 && u < t.keep+1-t.total: // of what is nowhere's, each takes its part
		v := part(id*0x9e3779b97f4a7c15) * t.total
		for i := range t.all {
			share := t.spills[i]
			if i == 0 {
				share = t.keep
			}
			if v -= share; v < 0 {
				where = i
				break
			}
		}
	default:
		edge := 1.0 // the first spills from the top: what it holds stays the same while shares move
		for i := 1; i < len(t.all); i++ {
			if edge -= t.spills[i]; t.spills[i] > 0 && u >= edge {
				where = i
				break
			}
		}
	}
	if where == 0 {
		return t.take(0), 0, true
	}
	if where > 0 && t.spend(where) {
		return t.take(where), 0, true
	}
	for i := 1; i < len(t.all); i++ { // its bound is reached in this very moment: another may have room
		if i != where && t.spills[i] > 0 && t.spend(i) {
			return t.take(i), 0, true
		}
	}
	if t.keep > 0 && t.all[0].state == StateHealthy {
		return t.take(0), 0, true
	}
	t.Counters.BoundReached++
	return t.leave(id)
}

// leave refuses a request that fits nowhere, or has the own director send it past its caches.
func (t *Selector) leave(id uint64) (int, time.Duration, bool) {
	if t.past > 0 && float64((id*0xbf58476d1ce4e5b9)>>11)/(1<<53) < t.past {
		t.Counters.Bypassed++
		return t.take(0), 0, true
	}
	return t.refuse(id)
}

// move finds a request another locality, within the bounds.
func (t *Selector) move(from int) (where int, ok bool) {
	for i := 1; i < len(t.all); i++ {
		if l := t.all[i]; i != from && (l.state == StateHealthy || l.state == StateRecovering) && t.able(l) > 0 && t.spend(i) {
			t.Counters.Rerouted++
			return t.take(i), true
		}
	}
	return 0, false
}

// come books a request: bounds are shares of what comes.
func (t *Selector) come(now time.Duration) {
	t.rate.add(now, 1, rateMemory)
	most := t.rate.now(now, rateMemory) * purseFor.Seconds()
	for i := range t.level {
		if i > 0 {
			t.level[i].earn(t.cfg.MaxSpillover, most)
		}
	}
	for i, l := range t.all {
		if i > 0 {
			l.purse.earn(l.spill, most)
		}
	}
}

// spend takes one request off the bounds of a locality and its level, if both have room.
func (t *Selector) spend(where int) bool {
	l := t.all[where]
	if l.purse.have < 1 || t.level[l.Level].have < 1 {
		return false
	}
	return l.purse.spend() && t.level[l.Level].spend()
}

// onTrial is a locality that is tried, with a request to spare for it: those of least worth. -1: there is none.
func (t *Selector) onTrial(band int) int {
	for i, l := range t.all {
		if l.state == StateProbation && l.tried < trials && band >= t.cfg.Bands/2 && (i == 0 || t.level[l.Level].spend()) {
			l.tried++
			return i
		}
	}
	return -1
}

func (t *Selector) take(where int) int {
	t.Counters.Picked++
	t.all[where].picked++
	if where > 0 {
		t.Counters.Spilled++
	}
	return where
}

func (t *Selector) refuse(id uint64) (int, time.Duration, bool) {
	t.Counters.Rejected++
	base := float64(t.cfg.MaxRetryAfter) * (laterLeast + (0.8-laterLeast)*min(1, 1-t.total))
	return -1, time.Duration(base * (0.75 + float64(id%1024)/2048)), false
}

// Tick sets the shares anew. It is to be called every Config.Tick.
func (t *Selector) Tick(now time.Duration) {
	span := max(0, now-t.last)
	if t.last == 0 {
		span = t.cfg.Tick
	}
	t.last = now
	for i := range t.offered {
		t.smooth[i] += offerPace * (t.offered[i] - t.smooth[i])
		t.offered[i] = 0
	}
	wanted := t.keep < 1
	for i, l := range t.all {
		l.learn(now)
		if l.look(now, &t.cfg, span, wanted || i == 0, t.total < 1, t.rng.Float64) {
			t.Counters.StateChanges++
		}
	}
	t.spread(now, span)
	t.set(now)
	t.goPast(now, span)
}

// able is the share of its full load that a locality can take now, by its health and its ramp.
func (t *Selector) able(l *locality) float64 {
	if l.state == StateEjected || l.state == StateProbation {
		return 0
	}
	h, _ := l.judge(t.last)
	return min(1, t.cfg.OverProvisioning*h) * l.ramp
}

// demand is what the own locality's clients ask for, in the unit of weights.
func (t *Selector) demand() float64 {
	own := t.all[0]
	if own.usualLoad.known {
		return max(0.05, own.usualLoad.v) * own.Weight
	}
	return demandless * own.Weight
}

// spread moves what may spill to each locality: towards a share of what it has to spare, by its own reports less what we
// cause there, slowly up and at once down.
//
// Guards against hunting: reports are late, so what we cause is taken as late as they are (lagged). With a share under
// one, the gateways of several localities that spill to the same one settle without talk: each takes a part of what the
// others leave.
func (t *Selector) spread(now, span time.Duration) {
	demand := t.demand()
	for i, l := range t.all {
		if i == 0 {
			continue
		}
		ours := 0.0
		if l.lagged.known {
			ours = l.lagged.v * demand / l.Weight
		}
		want := spillStart
		if l.load.known && now-l.load.at < 4*memory {
			want = t.cfg.SpareCapacityShare * max(0, t.cfg.FullUtilization-l.load.v+min(ours, l.load.v)) * l.Weight / demand
		}
		want = min(want, t.cfg.MaxSpillover) * t.able(l)
		if want < l.spill {
			l.spill = want
		} else {
			l.spill = min(want, l.spill+t.cfg.SpilloverRise*span.Seconds())
		}
		l.lagged.add(now, t.spills[i], memory/2)
	}
}

// set spends the load on the localities: the own one first, then level by level, within a level in proportion to what
// each may have. What is left over is refused, of the bands of least worth.
func (t *Selector) set(now time.Duration) {
	clear(t.spills)
	well, weight := 0.0, 0.0
	for _, l := range t.all {
		weight += l.Weight
		if l.state == StateHealthy || l.state == StateRecovering {
			h, _ := l.judge(now)
			well += h * l.Weight
		}
	}
	t.keep = t.able(t.all[0])
	if t.panic = well <= t.cfg.PanicThreshold*weight; t.panic { // it is our own network, or the list: moving load helps nobody
		t.Counters.PanicTicks++
		t.keep, t.total = 1, 1
		return
	}
	left := 1 - t.keep
	for level := 1; level < len(t.level); level++ {
		room := 0.0
		for _, l := range t.all {
			if l.Level == level {
				room += l.spill
			}
		}
		get := min(left, room, t.cfg.MaxSpillover)
		t.bounds[level] = get
		for i, l := range t.all {
			if l.Level == level && room > 0 {
				t.spills[i] = get * l.spill / room
			}
		}
		left -= get
	}
	t.total = min(1, 1-left)
	if left < 1e-9 {
		t.total = 1
	}
	offered := 0.0
	for _, n := range t.smooth {
		offered += n
	}
	have := t.total * offered
	for b, n := range t.smooth {
		switch {
		case n <= 0:
			t.admit[b] = math.Min(1, have) // none came lately: the first may come in while there is room
		default:
			t.admit[b] = min(1, have/n)
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
	for i, l := range t.all {
		v := View{Name: l.Name, State: l.state, Share: t.spills[i], Ramp: l.ramp, Backoff: l.wait, Picked: l.picked, Utilization: -1, HitRatio: -1, UsualHitRatio: -1}
		if i == 0 {
			v.Share = t.keep
		}
		v.Health, _ = l.judge(now)
		if l.load.known {
			v.Utilization = l.load.v
		}
		if share, known := l.hitShare(now); known {
			v.HitRatio = share
		}
		if l.usualHits.known {
			v.UsualHitRatio = l.usualHits.v
		}
		all = append(all, v)
	}
	return all
}

// Panicking says that nearly all looks ill, so that the fault is taken to be elsewhere.
func (t *Selector) Panicking() bool { return t.panic }

// SpilloverShare is the share of the own load that goes elsewhere, and Refusing the share that is refused.
func (t *Selector) SpilloverShare() (share float64) {
	for _, s := range t.spills {
		share += s
	}
	return share
}

// BypassShare is the share of what fits nowhere that goes past the caches.
func (t *Selector) BypassShare() float64 { return t.past }

// RejectedShare is the share of the own load that fits nowhere.
func (t *Selector) RejectedShare() float64 { return 1 - t.total }
