package plan

import (
	"math"
	"time"
)

// gateway is what is known of one gateway.
type gateway struct {
	name             string
	conns            []*conn
	inFlight         int                      // attempts on all connections
	successRate      float64                  // moving average of recent results, 0 to 1
	rejectedUntil    map[string]time.Duration // by class: the end of a Retry-After
	ejected          bool                     // it gets no calls before a health check succeeds
	healthCheckAt    time.Duration            // while it is ejected: when it is connected to next
	backoff          time.Duration            // while it is ejected: the wait before that, without jitter
	recoveredAt      time.Duration            // when it began to take calls: slow start counts from here
	connectNotBefore time.Duration            // see connectTime
}

func newGateway(name string, cfg Config) *gateway {
	return &gateway{name: name, successRate: 1, rejectedUntil: map[string]time.Duration{}, recoveredAt: -cfg.Ramp}
}

// Weights of a gateway.
const (
	successRateGain = 0.05 // weight of the newest result in the success rate
	minSuccessRate  = 0.05 // keeps a few calls on a gateway that fails, so that its recovery shows
	rampStartShare  = 0.1  // share of its load with which slow start begins
)

// recordResult takes a result, from 0 (failed) to 1 (served), into the success rate.
func (g *gateway) recordResult(score float64) {
	g.successRate += successRateGain * (score - g.successRate)
}

// isConnecting reports whether a connection is coming up or under its first health check.
func (g *gateway) isConnecting() bool {
	for _, cn := range g.conns {
		if !cn.up || cn.checkingHealth {
			return true
		}
	}
	return false
}

// AvailableGateways is the number of gateways that are not ejected.
func (p *Planner) AvailableGateways() int {
	n := 0
	for _, g := range p.gateways {
		if !g.ejected {
			n++
		}
	}
	return n
}

// pickGateway draws two of the gateways that may be sent a call and takes the one with the lower weighted load. If there is
// none, it returns nil and the end of the earliest Retry-After, or never if all are ejected.
func (p *Planner) pickGateway(c *call) (*gateway, time.Duration) {
	var eligible []*gateway
	until := never
	for _, g := range p.gateways {
		if g.ejected {
			continue
		}
		if end, rejected := g.rejectedUntil[c.Class]; rejected && end > p.now {
			until = min(until, end)
			continue
		}
		eligible = append(eligible, g)
	}
	if len(eligible) == 0 {
		return nil, until
	}
	best := eligible[p.rng.IntN(len(eligible))]
	if len(eligible) > 1 {
		other := eligible[p.rng.IntN(len(eligible))]
		if p.weightedLoad(other) < p.weightedLoad(best) {
			best = other
		}
	}
	return best, until
}

// weightedLoad is the number of attempts in flight with one more, divided by the gateway's success rate and by its share in
// slow start.
func (p *Planner) weightedLoad(g *gateway) float64 {
	ramp := min(1, rampStartShare+(1-rampStartShare)*float64(p.now-g.recoveredAt)/float64(max(1, p.cfg.Ramp)))
	return (float64(g.inFlight) + 1) / (max(minSuccessRate, g.successRate) * max(rampStartShare, ramp))
}

// sendRateWindow is the time constant of sendRate.
const sendRateWindow = 2 * time.Second

// sendRate is an exponentially decaying average of attempts a second.
type sendRate struct {
	perSecond float64
	updatedAt time.Duration
}

// at decays the rate to now and returns it.
func (r *sendRate) at(now time.Duration) float64 {
	r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(sendRateWindow))
	r.updatedAt = now
	return r.perSecond
}

// add counts one attempt.
func (r *sendRate) add(now time.Duration) { r.perSecond = r.at(now) + 1/sendRateWindow.Seconds() }

// Limits of what ejected gateways leave to the others.
const (
	minRedirectsPerSecond    = 10 // allowed however low the usual rate is
	redirectBurstsPerSecond  = 10 // the budget saves up a tenth of a second, or one redirect if that is more
	urgentRedirectTravelTime = 4  // with fewer travel times (Config.Way) left a call does not wait for the budget
)

// redirectBudget limits how many calls a second go from an ejected gateway to others, so that they are not overloaded
// at once. Its unit is one redirect; urgent ones may overdraw it.
type redirectBudget struct {
	saved     float64
	updatedAt time.Duration
}

// mayRedirect reports whether a call whose gateway was ejected may go to another now: up to a part (Config.Redirect) of
// the usual rate do, and those at once whose deadline is near.
func (p *Planner) mayRedirect(c *call) bool {
	rate := max(minRedirectsPerSecond, p.cfg.Redirect*p.sendRate.at(p.now))
	b := &p.redirects
	b.saved = min(max(1, rate/redirectBurstsPerSecond), b.saved+rate*(p.now-b.updatedAt).Seconds())
	b.updatedAt = p.now
	return b.saved >= 1 || c.Deadline-p.now < urgentRedirectTravelTime*p.cfg.Way
}
