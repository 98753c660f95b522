package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is many senders to one cold store.
type fleet struct {
	ramp     Ramp
	senders  int
	among    float64 // as the settings tell it
	capacity float64 // seconds of work a second
	load     float64 // of the capacity, that all senders together want to send to it
	known    bool    // what warm ones carry is known to each; else the floor alone holds
	spread   time.Duration

	restarts int           // senders that end each second, come back at once, and know nothing
	surge    float64       // by which the demand grows, from two seconds on
	quiet    float64       // and by which it was smaller before; 0: it was as it is
	all      time.Duration // from then on everyone wants it all the time; 0: never
	killed   float64       // share that ends in one moment, three seconds on, and is back 0.2 s later
	uneven   bool          // some have several times the others' traffic
	numbers  func(i int) int
}

const fleetCost = 0.25 // seconds of work

// worst plays it and gives the most that was sent in any window, in sendings, and what the settings allow it then.
func (f fleet) worst(seed uint64) (sent, allowed float64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	const step = 5 * time.Millisecond
	start, span := 1000*time.Hour+time.Duration(rng.Int64N(int64(time.Minute))), 8*time.Second
	store := rng.Uint64()
	n := f.senders
	budgets, learns, from := make([]Budget, n), make([]time.Duration, n), make([]time.Duration, n)
	weight, does, doesAt := make([]float64, n), make([]float64, n), make([]time.Duration, n)
	forgot := make([]bool, n)
	sum := 0.0
	for i := range n {
		learns[i] = start + time.Duration(rng.Float64()*float64(f.spread))
		if weight[i] = 1; f.uneven {
			weight[i] = math.Exp(rng.NormFloat64())
		}
		sum += weight[i]
	}
	const window = 3 * time.Second // of what it was seen to do
	lately := func(i int, now time.Duration) float64 {
		does[i] *= math.Exp(-float64(now-doesAt[i]) / float64(window))
		doesAt[i] = now
		return does[i]
	}
	begin := func(i int, now time.Duration) {
		budgets[i], forgot[i], does[i], from[i] = Budget{}, true, 0, now
	}
	room := 0.0 // work that the store can do by now
	var at []time.Duration
	for now := start; now < start+span; now += step {
		share := f.ramp.CapacityShare(now, start)
		room = min(f.capacity*share, room+f.capacity*share*step.Seconds())
		factor := 1.0
		if f.surge > 0 && now >= start+2*time.Second {
			factor = f.surge
		} else if f.quiet > 0 {
			factor = 1 / f.quiet
		}
		for range f.restarts {
			if rng.Float64() < step.Seconds() {
				begin(rng.IntN(n), now)
			}
		}
		killed := f.killed > 0 && now >= start+3*time.Second && now < start+3200*time.Millisecond
		for i := range n {
			if killed && float64(i) < f.killed*float64(n) {
				begin(i, now+step)
				continue
			}
			carried := f.capacity * f.load * weight[i] / sum
			wants := rng.Float64() < carried/fleetCost*factor*step.Seconds()
			times := 1
			if f.all > 0 && now >= start+f.all {
				wants, times = true, 20
			}
			if now < learns[i] || !wants {
				continue
			}
			s := Sender{Senders: f.among, Position: SenderPosition(i, store), WarmRate: carried, ObservedOver: window}
			if f.numbers != nil {
				s.Position = SenderPosition(f.numbers(i), store)
			}
			if f.among == 0 {
				s.Position = SenderPosition(0, rng.Uint64())
			}
			if !f.known {
				s.WarmRate = 0
			} else if forgot[i] { // what warm ones carry it sees again
				s.WarmRate *= 1 - math.Exp(-float64(now-from[i])/float64(window))
			}
			for range times {
				s.ObservedRate = lately(i, now)
				if !f.ramp.Allows(&budgets[i], now, start, fleetCost, s) {
					break
				}
				f.ramp.Spend(&budgets[i], now, start, fleetCost)
				at = append(at, now)
				if room >= fleetCost {
					room -= fleetCost
					does[i] += fleetCost / window.Seconds()
				}
			}
		}
	}
	// The window that is furthest over.
	over := math.Inf(-1)
	for i, from := range at {
		n, can := 0.0, 0.0
		for _, t := range at[i:] {
			if t < from+f.ramp.OverloadWindow {
				n++
			}
		}
		for t := from; t < from+f.ramp.OverloadWindow; t += step {
			can += f.ramp.OverloadMultiple * f.capacity * f.ramp.CapacityShare(t, start) * step.Seconds() / fleetCost
		}
		if o := n - can - 2*math.Sqrt(can) - 2; o > over {
			over, sent, allowed = o, n, can
		}
	}
	return sent, allowed
}

// The ramp holds for the fleet: whatever the number of senders, and whatever they want and when, in no window is a cold store
// sent more than N by all together, and chance adds no more than 2 roots of N, and 2. N is what the settings allow it.
func TestTheRampHoldsForTheFleet(t *testing.T) {
	base := Ramp{InitialShare: 0.15, Duration: 17 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second}
	short := Ramp{InitialShare: 0.2, Duration: 12 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second}
	apart := 300 * time.Millisecond
	for name, f := range map[string]fleet{
		"thirty":                          {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.6, known: true, spread: apart},
		"thirty, a start told at once":    {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.6, known: true},
		"thirty, a short window":          {ramp: short, senders: 30, among: 30, capacity: 6, load: 0.6, known: true},
		"a hundred, a short window":       {ramp: short, senders: 100, among: 100, capacity: 10, load: 0.6, known: true},
		"four":                            {ramp: base, senders: 4, among: 4, capacity: 6, load: 0.9, known: true},
		"four, a short window":            {ramp: short, senders: 4, among: 4, capacity: 12, load: 0.9, known: true},
		"thirty that know nothing":        {ramp: base, senders: 30, among: 30, capacity: 2, load: 0.9},
		"three hundred, a floor each":     {ramp: base, senders: 300, among: 300, capacity: 2, load: 0.9},
		"thirty, their number untold":     {ramp: base, senders: 30, capacity: 2, load: 0.9},
		"a hundred, their number untold":  {ramp: short, senders: 100, capacity: 2, load: 0.9},
		"thirty that restart":             {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.6, known: true, restarts: 10},
		"thirty that restart, untold":     {ramp: base, senders: 30, capacity: 3, load: 0.6, known: true, restarts: 10},
		"a burst of twice the traffic":    {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.6, known: true, surge: 2},
		"four, quiet and then in a burst": {ramp: short, senders: 4, among: 4, capacity: 40, load: 1, known: true, surge: 20, quiet: 20},
		"a hundred, and a burst":          {ramp: base, senders: 100, among: 100, capacity: 8, load: 0.6, known: true, restarts: 5, surge: 1.5},
		// A release: everyone wants the store in the same moment, after hardly anyone did. Each took one that it had saved up.
		"twenty, all at once":                 {ramp: base, senders: 20, among: 20, capacity: 4, load: 0.9, known: true, quiet: 20, all: 4 * time.Second},
		"thirty, all at once, a short window": {ramp: short, senders: 30, among: 30, capacity: 6, load: 1, known: true, quiet: 20, all: 4 * time.Second},
		"a hundred, all at once":              {ramp: base, senders: 100, among: 100, capacity: 6, load: 0.9, known: true, quiet: 20, all: 4 * time.Second},
		"three hundred, all at once":          {ramp: base, senders: 300, among: 300, capacity: 6, load: 0.9, known: true, quiet: 20, all: 4 * time.Second},
		"three hundred, from the first":       {ramp: base, senders: 300, among: 300, capacity: 6, load: 1, known: true, all: 1},
		"three hundred that know nothing":     {ramp: base, senders: 300, among: 300, capacity: 2, load: 1, all: 1},
		"thirty, uneven, all at once":         {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.9, known: true, uneven: true, quiet: 5, all: 4 * time.Second},
		"every fifth of a hundred and fifty":  {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.9, known: true, all: time.Second, numbers: func(i int) int { return 5*i + 2 }},
		"every twenty-first of many":          {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.9, known: true, all: time.Second, numbers: func(i int) int { return 21 * i }},
		// Those that are back know nothing of what they sent in the same window.
		"seven in ten killed at once":      {ramp: base, senders: 30, among: 30, capacity: 20, load: 0.9, known: true, killed: 0.7, all: time.Second},
		"seven in ten of three hundred":    {ramp: base, senders: 300, among: 300, capacity: 20, load: 0.9, known: true, killed: 0.7, all: time.Second},
		"thirty that restart, and want it": {ramp: base, senders: 30, among: 30, capacity: 6, load: 0.9, known: true, restarts: 10, all: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken := 0
			var sent, allowed float64
			for seed := range uint64(60) {
				s, n := f.worst(seed)
				if s > n+2*math.Sqrt(n)+2 {
					broken++
					sent, allowed = s, n
				}
			}
			if broken > 1 { // two deviations, and all windows of sixty days
				t.Errorf("on %d of 60 days, such as %.0f sent where %.1f are allowed", broken, sent, allowed)
			}
		})
	}
}
