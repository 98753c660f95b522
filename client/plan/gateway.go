package plan

import (
	"math"
	"time"
)

// gateway is the planner's state of one gateway.
type gateway struct {
	name             string
	conns            []*conn
	inFlight         int                      // attempts in flight on all connections
	successRate      float64                  // moving average of the scores of recent results, 0 to 1
	rejectedUntil    map[string]time.Duration // by class: when the gateway's latest Retry-After ends
	ejected          bool                     // the gateway gets no calls until a health check succeeds
	healthCheckAt    time.Duration            // while ejected: when to connect for the next health check
	backoff          time.Duration            // while ejected: the delay before that, without jitter
	recoveredAt      time.Duration            // when the gateway was last returned to use: the start of slow start
	connectNotBefore time.Duration            // earliest time to connect, drawn to spread reconnects; see connectTime
}

func newGateway(name string, cfg Config) *gateway {
	return &gateway{name: name, successRate: 1, rejectedUntil: map[string]time.Duration{}, recoveredAt: -cfg.Ramp}
}

// Constants of a gateway's weighted load.
const (
	successRateGain = 0.05 // weight of the newest result in the success rate
	minSuccessRate  = 0.05 // lower limit: a failing gateway still gets a few calls, which show its recovery
	rampStartShare  = 0.1  // share of its full load that a recovered gateway gets at the beginning of slow start
)

// recordResult updates the success rate with the score of a result, from 0 (failed) to 1 (served).
func (g *gateway) recordResult(score float64) {
	g.successRate += successRateGain * (score - g.successRate)
}

// isConnecting reports whether a connection is being established, or waits for the health check of an ejected gateway.
func (g *gateway) isConnecting() bool {
	for _, cn := range g.conns {
		if !cn.up || cn.checkingHealth {
			return true
		}
	}
	return false
}

// AvailableGateways returns the number of gateways that are not ejected.
func (p *Planner) AvailableGateways() int {
	n := 0
	for _, g := range p.gateways {
		if !g.ejected {
			n++
		}
	}
	return n
}

// pickGateway draws two of the gateways that may be sent a call and returns the one with the lower weighted load. If no
// gateway may be sent the call, it returns nil and the end of the earliest Retry-After, or never if all are ejected.
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

// weightedLoad returns the number of attempts in flight plus one, divided by the gateway's success rate and by the share
// of its full load that it gets in slow start.
func (p *Planner) weightedLoad(g *gateway) float64 {
	ramp := min(1, rampStartShare+(1-rampStartShare)*float64(p.now-g.recoveredAt)/float64(max(1, p.cfg.Ramp)))
	return (float64(g.inFlight) + 1) / (max(minSuccessRate, g.successRate) * max(rampStartShare, ramp))
}

// sendRateWindow is the time constant of the decay of sendRate.
const sendRateWindow = 2 * time.Second

// sendRate is an exponentially decaying average of attempts per second.
type sendRate struct {
	perSecond float64
	updatedAt time.Duration
}

// at returns the rate at a time, in attempts per second.
func (r *sendRate) at(now time.Duration) float64 {
	r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(sendRateWindow))
	r.updatedAt = now
	return r.perSecond
}

// add counts one attempt.
func (r *sendRate) add(now time.Duration) { r.perSecond = r.at(now) + 1/sendRateWindow.Seconds() }

// Limits of redirects, which are calls sent to another gateway because theirs was ejected.
const (
	minRedirectsPerSecond     = 10 // allowed even if the average rate of attempts is low
	redirectBurstDivisor      = 10 // the budget is limited to the redirects of 1/10 s, but not below one
	urgentRedirectTravelTimes = 4  // a call with less than this many times Config.Way left does not wait for the budget
)

// redirectBudget is a token bucket that limits how many calls per second move from an ejected gateway to others, so that
// these are not overloaded all at once.
type redirectBudget struct {
	tokens    float64 // in redirects; negative after urgent redirects, which may overdraw the budget
	updatedAt time.Duration
}

// mayRedirect reports whether a call whose gateway was ejected may be sent to another gateway now: the redirect budget
// allows it, or the call's deadline is too near to wait.
func (p *Planner) mayRedirect(c *call) bool {
	rate := max(minRedirectsPerSecond, p.cfg.Redirect*p.sendRate.at(p.now))
	b := &p.redirects
	b.tokens = min(max(1, rate/redirectBurstDivisor), b.tokens+rate*(p.now-b.updatedAt).Seconds())
	b.updatedAt = p.now
	return b.tokens >= 1 || c.Deadline-p.now < urgentRedirectTravelTimes*p.cfg.Way
}
