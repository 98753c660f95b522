package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet describes many senders to one endpoint that is warming up.
type fleet struct {
	ramp          Ramp
	senders       int
	knownSenders  float64       // number of senders that each sender knows; 0: unknown
	capacity      float64       // seconds of work per second
	load          float64       // share of the capacity that all senders together want to send to the endpoint
	warmRateKnown bool          // each sender knows the rate of warm endpoints for it; otherwise only the floor applies
	learnSpread   time.Duration // senders learn of the start within this time

	restartsPerSecond int             // mean number of senders that restart per second, and lose their state
	surgeFactor       float64         // factor on the demand from two seconds after the start; 0: none
	quietDivisor      float64         // divisor of the demand until the surge, or throughout without one; 0: none
	rushAfter         time.Duration   // from this time on, all senders always have more to send; 0: never
	killedShare       float64         // share of the senders that is down from 3 s to 3.2 s after the start, and then has no state
	uneven            bool            // some senders have several times the others' traffic
	senderNumber      func(i int) int // number of a sender by its index; nil: the index
}

const (
	sendCost  = 0.25                 // seconds of work per sending
	fleetStep = 5 * time.Millisecond // step of the simulated clock
	fleetSpan = 8 * time.Second      // simulated time

	observedWindow = 3 * time.Second // averaging time of a sender's observed rate
)

// simSender is one sender of a simulated fleet.
type simSender struct {
	budget      Budget
	learnsAt    time.Duration // when it learns of the endpoint's start
	restartedAt time.Duration // time of its latest restart
	restarted   bool
	weight      float64 // relative rate of its traffic
	observed    float64 // work per second that the endpoint did for it, as of observedAt
	observedAt  time.Duration
}

// observedRate returns the sender's observed rate, decayed to now.
func (s *simSender) observedRate(now time.Duration) float64 {
	s.observed *= math.Exp(-float64(now-s.observedAt) / float64(observedWindow))
	s.observedAt = now
	return s.observed
}

// restart clears the state of the sender.
func (s *simSender) restart(now time.Duration) {
	s.budget, s.restarted, s.observed, s.restartedAt = Budget{}, true, 0, now
}

// fleetRun is one simulation of a fleet.
type fleetRun struct {
	fleet
	rng           *rand.Rand
	start         time.Duration // when the endpoint started
	endpointHash  uint64
	senders       []simSender
	totalWeight   float64 // sum over the senders
	availableWork float64 // work that the endpoint can do at this time
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

// demandFactor returns the factor on the fleet's demand at a time.
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

// sender returns the description of sender i that it passes to Allows.
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
	} else if r.senders[i].restarted { // it measures the rate of warm endpoints anew
		s.WarmRate *= 1 - math.Exp(-float64(now-r.senders[i].restartedAt)/float64(observedWindow))
	}
	return s
}

// stepSender simulates one step of one sender, which sends what it has and may send.
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

// run runs the simulation.
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

// worstWindow runs the simulation and returns the number of sendings in the worst window, and the
// number that the ramp allows in that window.
func (f fleet) worstWindow(seed uint64) (sent, allowed float64) {
	r := newFleetRun(f, seed)
	r.run()
	excess := math.Inf(-1) // excess of the worst window so far
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
		if o := n - allowance - 2*math.Sqrt(allowance) - 2; o > excess {
			excess, sent, allowed = o, n, allowance
		}
	}
	return sent, allowed
}

// For any number of senders and any traffic, a fleet sends an endpoint that is warming up at most N
// sendings in any window, plus a margin for chance of 2*sqrt(N)+2, where N is what the ramp allows.
func TestFleetStaysWithinBudget(t *testing.T) {
	base := Ramp{InitialShare: 0.15, Duration: 17 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second}
	short := Ramp{InitialShare: 0.2, Duration: 12 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second}
	learnSpread := 300 * time.Millisecond
	for name, f := range map[string]fleet{
		"30 senders":                              {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true, learnSpread: learnSpread},
		"30 senders, start known at once":         {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true},
		"30 senders, short window":                {ramp: short, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true},
		"100 senders, short window":               {ramp: short, senders: 100, knownSenders: 100, capacity: 10, load: 0.6, warmRateKnown: true},
		"4 senders":                               {ramp: base, senders: 4, knownSenders: 4, capacity: 6, load: 0.9, warmRateKnown: true},
		"4 senders, short window":                 {ramp: short, senders: 4, knownSenders: 4, capacity: 12, load: 0.9, warmRateKnown: true},
		"30 senders, no known rate":               {ramp: base, senders: 30, knownSenders: 30, capacity: 2, load: 0.9},
		"300 senders, no known rate":              {ramp: base, senders: 300, knownSenders: 300, capacity: 2, load: 0.9},
		"30 senders, unknown count":               {ramp: base, senders: 30, capacity: 2, load: 0.9},
		"100 senders, unknown count":              {ramp: short, senders: 100, capacity: 2, load: 0.9},
		"30 senders with restarts":                {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true, restartsPerSecond: 10},
		"30 senders with restarts, unknown count": {ramp: base, senders: 30, capacity: 3, load: 0.6, warmRateKnown: true, restartsPerSecond: 10},
		"30 senders, doubled demand":              {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.6, warmRateKnown: true, surgeFactor: 2},
		"4 senders, burst after low demand":       {ramp: short, senders: 4, knownSenders: 4, capacity: 40, load: 1, warmRateKnown: true, surgeFactor: 20, quietDivisor: 20},
		"100 senders with restarts, burst":        {ramp: base, senders: 100, knownSenders: 100, capacity: 8, load: 0.6, warmRateKnown: true, restartsPerSecond: 5, surgeFactor: 1.5},
		// A release: all senders want the endpoint at the same time, after almost none did. Guards
		// against each sender using one sending that it had saved up.
		"20 senders, rush":                 {ramp: base, senders: 20, knownSenders: 20, capacity: 4, load: 0.9, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"30 senders, rush, short window":   {ramp: short, senders: 30, knownSenders: 30, capacity: 6, load: 1, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"100 senders, rush":                {ramp: base, senders: 100, knownSenders: 100, capacity: 6, load: 0.9, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"300 senders, rush":                {ramp: base, senders: 300, knownSenders: 300, capacity: 6, load: 0.9, warmRateKnown: true, quietDivisor: 20, rushAfter: 4 * time.Second},
		"300 senders, rush from the start": {ramp: base, senders: 300, knownSenders: 300, capacity: 6, load: 1, warmRateKnown: true, rushAfter: 1},
		"300 senders, rush, no known rate": {ramp: base, senders: 300, knownSenders: 300, capacity: 2, load: 1, rushAfter: 1},
		"30 senders, uneven traffic, rush": {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, uneven: true, quietDivisor: 5, rushAfter: 4 * time.Second},
		"30 senders, numbers 5 apart":      {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, rushAfter: time.Second, senderNumber: func(i int) int { return 5*i + 2 }},
		"30 senders, numbers 21 apart":     {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, rushAfter: time.Second, senderNumber: func(i int) int { return 21 * i }},
		// Restarted senders don't know what they sent in the same window.
		"30 senders, 70% killed":         {ramp: base, senders: 30, knownSenders: 30, capacity: 20, load: 0.9, warmRateKnown: true, killedShare: 0.7, rushAfter: time.Second},
		"300 senders, 70% killed":        {ramp: base, senders: 300, knownSenders: 300, capacity: 20, load: 0.9, warmRateKnown: true, killedShare: 0.7, rushAfter: time.Second},
		"30 senders with restarts, rush": {ramp: base, senders: 30, knownSenders: 30, capacity: 6, load: 0.9, warmRateKnown: true, restartsPerSecond: 10, rushAfter: 1},
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
			if seedsOverBudget > 1 { // margin of two standard deviations over all windows of 60 seeds
				t.Errorf("over the budget with %d of 60 seeds, for example %.0f sendings in a window that allows %.1f", seedsOverBudget, sent, allowed)
			}
		})
	}
}
