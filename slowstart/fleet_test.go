package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is many senders to one cold store.
type fleet struct {
	ramp          Ramp
	senders       int
	knownSenders  float64       // number of senders as the settings tell it; 0: unknown
	capacity      float64       // seconds of work a second
	load          float64       // share of the capacity that all senders together want to send to the store
	warmRateKnown bool          // each sender knows what warm stores carry for it; else the floor alone holds
	learnSpread   time.Duration // senders learn of the start within this

	restartsPerSecond int             // senders that end each second, come back at once, and know nothing
	surgeFactor       float64         // factor by which the demand grows, from two seconds on
	quietDivisor      float64         // factor by which it was smaller before; 0: it was as it is
	rushAfter         time.Duration   // from then on everyone wants the store all the time; 0: never
	killedShare       float64         // share of the senders that ends in one moment, three seconds on, and is back 0.2 s later
	uneven            bool            // some have several times the others' traffic
	senderNumber      func(i int) int // by index; nil: the index
}

const (
	sendCost  = 0.25                 // seconds of work of one sending
	fleetStep = 5 * time.Millisecond // resolution of the simulated clock
	fleetSpan = 8 * time.Second      // simulated time

	observedWindow = 3 * time.Second // over which a sender averages what a store carries for it
)

// simSender is one sender of a simulated fleet.
type simSender struct {
	budget      Budget
	learnsAt    time.Duration // when it learns of the store's start
	restartedAt time.Duration // when it restarted
	restarted   bool
	weight      float64 // of its traffic
	observed    float64 // work a second that the store was seen to do for it, as of observedAt
	observedAt  time.Duration
}

// observedRate is the sender's observed rate, decayed to now.
func (s *simSender) observedRate(now time.Duration) float64 {
	s.observed *= math.Exp(-float64(now-s.observedAt) / float64(observedWindow))
	s.observedAt = now
	return s.observed
}

// restart makes the sender forget all that it knew.
func (s *simSender) restart(now time.Duration) {
	s.budget, s.restarted, s.observed, s.restartedAt = Budget{}, true, 0, now
}

// fleetRun is a simulation of a fleet.
type fleetRun struct {
	fleet
	rng           *rand.Rand
	start         time.Duration // when the store started
	endpointHash  uint64
	senders       []simSender
	totalWeight   float64 // sum over the senders
	availableWork float64 // work that the store can do by now
	sent          []time.Duration
}

func newFleetRun(f fleet, seed uint64) *fleetRun {
	r := &fleetRun{fleet: f, rng: rand.New(rand.NewPCG(seed, 5)), senders: make([]simSender, f.senders)}
	r.start = 1000*time.Hour + time.Duration(r.rng.Int64N(int64(time.Minute)))
	r.endpointHash = r.rng.Uint64()
	for i := range r.senders {
		s := &r.senders[i]
		s.learnsAt = r.start + time.Duration(r.rng.Float64()*float64(f.learnSpread))
		if s.weight = 1; f.uneven {
			s.weight = math.Exp(r.rng.NormFloat64())
		}
		r.totalWeight += s.weight
	}
	return r
}

// demandFactor is the factor on the fleet's demand at a time.
func (r *fleetRun) demandFactor(now time.Duration) float64 {
	switch {
	case r.surgeFactor > 0 && now >= r.start+2*time.Second:
		return r.surgeFactor
	case r.quietDivisor > 0:
		return 1 / r.quietDivisor
	}
	return 1
}

// isKilled reports whether a sender is down at a time.
func (r *fleetRun) isKilled(i int, now time.Duration) bool {
	if r.killedShare <= 0 || now < r.start+3*time.Second || now >= r.start+3200*time.Millisecond {
		return false
	}
	return float64(i) < r.killedShare*float64(len(r.senders))
}

// describe is what a sender tells Allows of itself.
func (r *fleetRun) sender(i int, now time.Duration, warmRate float64) Sender {
	s := Sender{SenderCount: r.knownSenders, Position: SenderPosition(i, r.endpointHash), WarmRate: warmRate, ObservedOver: observedWindow}
	if r.senderNumber != nil {
		s.Position = SenderPosition(r.senderNumber(i), r.endpointHash)
	}
	if r.knownSenders == 0 {
		s.Position = SenderPosition(0, r.rng.Uint64())
	}
	if !r.warmRateKnown {
		s.WarmRate = 0
	} else if r.senders[i].restarted { // what warm ones carry it sees again
		s.WarmRate *= 1 - math.Exp(-float64(now-r.senders[i].restartedAt)/float64(observedWindow))
	}
	return s
}

// stepSender has a sender send what it wants and may in one step.
func (r *fleetRun) stepSender(i int, now time.Duration, factor float64) {
	sim := &r.senders[i]
	if r.isKilled(i, now) {
		sim.restart(now + fleetStep)
		return
	}
	warmRate := r.capacity * r.load * sim.weight / r.totalWeight
	wants := r.rng.Float64() < warmRate/sendCost*factor*fleetStep.Seconds()
	times := 1
	if r.rushAfter > 0 && now >= r.start+r.rushAfter {
		wants, times = true, 20
	}
	if now < sim.learnsAt || !wants {
		return
	}
	s := r.sender(i, now, warmRate)
	for range times {
		s.ObservedRate = sim.observedRate(now)
		if !r.ramp.Allows(&sim.budget, now, r.start, sendCost, s) {
			break
		}
		r.ramp.Spend(&sim.budget, now, r.start, sendCost)
		r.sent = append(r.sent, now)
		if r.availableWork >= sendCost {
			r.availableWork -= sendCost
			sim.observed += sendCost / observedWindow.Seconds()
		}
	}
}

// play runs the simulation.
func (r *fleetRun) run() {
	for now := r.start; now < r.start+fleetSpan; now += fleetStep {
		share := r.ramp.CapacityShare(now, r.start)
		r.availableWork = min(r.capacity*share, r.availableWork+r.capacity*share*fleetStep.Seconds())
		for range r.restartsPerSecond {
			if r.rng.Float64() < fleetStep.Seconds() {
				r.senders[r.rng.IntN(len(r.senders))].restart(now)
			}
		}
		factor := r.demandFactor(now)
		for i := range r.senders {
			r.stepSender(i, now, factor)
		}
	}
}

// worst plays the fleet and returns the most that was sent in any window, in sendings, and what the settings allow then.
func (f fleet) worstWindow(seed uint64) (sent, allowed float64) {
	r := newFleetRun(f, seed)
	r.run()
	over := math.Inf(-1) // of the window that is furthest over
	for i, from := range r.sent {
		n, allowance := 0.0, 0.0
		for _, t := range r.sent[i:] {
			if t < from+f.ramp.OverloadWindow {
				n++
			}
		}
		for t := from; t < from+f.ramp.OverloadWindow; t += fleetStep {
			allowance += f.ramp.OverloadMultiple * f.capacity * f.ramp.CapacityShare(t, r.start) * fleetStep.Seconds() / sendCost
		}
		if o := n - allowance - 2*math.Sqrt(allowance) - 2; o > over {
			over, sent, allowed = o, n, allowance
		}
	}
	return sent, allowed
}

// The ramp holds for the fleet: whatever the number of senders, and whatever they want and when, in no window is a cold store
// sent more than N by all together, and chance adds no more than 2 roots of N, and 2. N is what the settings allow it.
func TestFleetStaysWithinBudget(t *testing.T) {
	base := Ramp{InitialShare: 0.15, Duration: 17 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second}
	short := Ramp{InitialShare: 0.2, Duration: 12 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second}
	apart := 300 * time.Millisecond
	for name, f := range map[string]fleet{
		"thirty":                          {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true, learnSpread: apart},
		"thirty, a start told at once":    {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true},
		"thirty, a short window":          {ramp: short, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true},
		"a hundred, a short window":       {ramp: short, senders: 100, knownSenders: 100, capacity: 10, load: 0.6, warmRateKnown: true},
		"four":                            {ramp: base, senders: 4, knownSenders: 4, capacity: 6, load: 0.9, warmRateKnown: true},
		"four, a short window":            {ramp: short, senders: 4, knownSenders: 4, capacity: 12, load: 0.9, warmRateKnown: true},
		"thirty that know nothing":        {ramp: base, senders: 30, knownSenders: 30, capacity: 2, load: 0.9},
		"three hundred, a floor each":     {ramp: base, senders: 300, knownSenders: 300, capacity: 2, load: 0.9},
		"thirty, their number untold":     {ramp: base, senders: 30, capacity: 2, load: 0.9},
		"a hundred, their number untold":  {ramp: short, senders: 100, capacity: 2, load: 0.9},
		"thirty that restart":             {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true, restartsPerSecond: 10},
		"thirty that restart, untold":     {ramp: base, senders: 30, capacity: 3, load: 0.6, warmRateKnown: true, restartsPerSecond: 10},
		"a burst of twice the traffic":    {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true, surgeFactor: 2},
		"four, quiet and then in a burst": {ramp: short, senders: 4, knownSenders: 4, capacity: 40, load: 1, warmRateKnown: true, surgeFactor: 20, quietDivisor: 20},
		"a hundred, and a burst":          {ramp: base, senders: 100, knownSenders: 100, capacity: 8, load: 0.6, warmRateKnown: true, restartsPerSecond: 5, surgeFactor: 1.5},
		// A release: everyone wants the store in the same moment, after hardly anyone did. Each took one that it had saved up.
		"twenty, all at once":                 {ramp: base, senders: 20, knownSenders: 20, capacity: 4, load: 0.9, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"thirty, all at once, a short window": {ramp: short, senders: 30, knownSenders: 30, capacity: 6, load: 1, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"a hundred, all at once":              {ramp: base, senders: 100, knownSenders: 100, capacity: 6, load: 0.9, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"three hundred, all at once":          {ramp: base, senders: 300, knownSenders: 300, capacity: 6, load: 0.9, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"three hundred, from the first":       {ramp: base, senders: 300, knownSenders: 300, capacity: 6, load: 1, warmRateKnown: true, rushAfter: 1},
		"three hundred that know nothing":     {ramp: base, senders: 300, knownSenders: 300, capacity: 2, load: 1, rushAfter: 1},
		"thirty, uneven, all at once":         {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, uneven: true, quietDivisor: 5, rushAfter: 4 * time.Second},
		"every fifth of a hundred and fifty":  {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, rushAfter: time.Second, senderNumber: func(i int) int { return 5*i + 2 }},
		"every twenty-first of many":          {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, rushAfter: time.Second, senderNumber: func(i int) int { return 21 * i }},
		// Those that are back know nothing of what they sent in the same window.
		"seven in ten killed at once":      {ramp: base, senders: 30, knownSenders: 30, capacity: 20, load: 0.9, warmRateKnown: true, killedShare: 0.7, rushAfter: time.Second},
		"seven in ten of three hundred":    {ramp: base, senders: 300, knownSenders: 300, capacity: 20, load: 0.9, warmRateKnown: true, killedShare: 0.7, rushAfter: time.Second},
		"thirty that restart, and want it": {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, restartsPerSecond: 10, rushAfter: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seedsOverBudget := 0
			var sent, allowed float64
			for seed := range uint64(60) {
				s, n := f.worstWindow(seed)
				if s > n+2*math.Sqrt(n)+2 {
					seedsOverBudget++
					sent, allowed = s, n
				}
			}
			if seedsOverBudget > 1 { // two deviations, and all windows of sixty days
				t.Errorf("on %d of 60 days, such as %.0f sent where %.1f are allowed", seedsOverBudget, sent, allowed)
			}
		})
	}
}
