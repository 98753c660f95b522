package localitysim

import (
	"fmt"
	"math"
	"time"

	"larchusher/locality"
)

// zone is the state of a zone in a run without directors.
type zone struct {
	Zone
	workPerRequest time.Duration // for all its caches together, while warm
	busyUntil      time.Duration // when its queue will be empty
	startedAt      time.Duration // time of the cold start; negative for a warm zone
	cached         []bool        // by object: whether the zone's caches have it
	faults         map[FaultKind]int
	crashed        bool
	utilization    float64 // of the last report's interval; at most 1.5
	reportedAt     time.Duration
	workDone       time.Duration // since the last report
	recentRequests float64       // exponentially decaying count over overloadWindow
	recentAt       time.Duration
	outages        int // number of faults of kind Dead
}

// tokenBucket limits requests to rate per second, with bursts of a quarter of a second's requests.
type tokenBucket struct {
	rate     float64
	tokens   float64 // as of filledAt
	filledAt time.Duration
	requests int
}

// take uses up a token. It returns false if there is none.
func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.rate/4, b.tokens+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
	b.requests++
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fetchFromOrigin requests a fetch from the origin for zone home. It returns false if the origin rejects it or the zone is
// cut off.
func (s *simulation) fetchFromOrigin(home int) bool {
	ok := s.zones[home].faults[Cut] == 0 && s.origin.take(s.now)
	if s.now >= s.scene.Warm {
		sec := s.currentSecond()
		sec.Origin++
		if !ok {
			sec.OriginRefused++
		}
	}
	return ok
}

// send simulates an attempt at a zone and schedules its result.
func (s *simulation) send(e event, target int) {
	g := s.gateways[e.gateway]
	z := s.zones[target]
	s.countAttempt(g.home, target)
	g.selector.AttemptStarted(s.now, g.localityOf[target])
	e.zone = int32(target)
	delay := sameHubDelay
	if z.Hub != s.zones[g.home].Hub {
		delay = otherHubDelay
	}
	end := func(after time.Duration, r locality.Result, hit bool) {
		e.kind, e.result, e.hit, e.load = attemptEnded, r, hit, float32(z.utilization)
		s.schedule(s.now+after, e)
	}
	deadline := s.mix[e.class].Limit
	if silent, failed := s.faultsBetween(g.home, target); silent {
		end(deadline, locality.ResultFailure, false)
		return
	} else if failed {
		end(2*delay, locality.ResultFailure, false)
		return
	}
	capacity := z.capacityShare(s.now)
	s.countRequest(z, capacity)
	if z.crashed {
		end(2*delay, locality.ResultFailure, false)
		return
	}
	if z.faults[Slow] > 0 {
		capacity /= 5
	}
	z.busyUntil = max(z.busyUntil, s.now)
	if z.busyUntil-s.now > maxQueueDelay {
		e.kind = attemptRejected
		s.schedule(s.now+2*delay, e)
		return
	}
	z.enqueue(s.now, capacity)
	took := z.busyUntil - s.now + 2*delay + 20*time.Millisecond
	hit := z.cached[e.object]
	if !hit {
		ok, more := s.fill(z)
		took += more
		if !ok {
			end(took, locality.ResultFailure, false)
			return
		}
		z.cached[e.object] = true
	}
	r := locality.ResultSuccess
	if took > s.mix[e.class].Aim {
		r = locality.ResultLate
	}
	if took > deadline {
		end(deadline, locality.ResultFailure, false)
		return
	}
	end(took, r, hit)
}

// countAttempt counts an attempt by a gateway of zone home at zone target, unless the run is still warming up.
func (s *simulation) countAttempt(home, target int) {
	if s.now < s.scene.Warm {
		return
	}
	sec := s.currentSecond()
	sec.At[target]++
	if target != home {
		sec.Spilled[home]++
	}
}

// faultsBetween reports whether an attempt by a gateway of zone home at zone target gets no answer (silent) or
// fails at once (failed).
func (s *simulation) faultsBetween(home, target int) (silent, failed bool) {
	z, h := s.zones[target], s.zones[home]
	otherHub := target != home && z.Hub != h.Hub
	switch {
	case z.faults[Dead] > 0 || z.crashed:
		return false, true
	case z.faults[Silent] > 0 || otherHub && (z.faults[Cut] > 0 || h.faults[Cut] > 0):
		return true, false
	default:
		return false, z.faults[Errors] > 0
	}
}

// capacityShare returns the share of its capacity that a zone has while its caches are warming up, and 1 afterwards.
func (z *zone) capacityShare(now time.Duration) float64 {
	if age := now - z.startedAt; age < warmUpTime {
		return coldStartShare + (1-coldStartShare)*float64(age)/float64(warmUpTime)
	}
	return 1
}

// enqueue adds one request to a zone's queue and updates the zone's load report when loadReportInterval has passed.
func (z *zone) enqueue(now time.Duration, capacity float64) {
	work := time.Duration(float64(z.workPerRequest) / capacity)
	z.busyUntil += work
	z.workDone += work
	if since := now - z.reportedAt; since >= loadReportInterval {
		z.utilization, z.workDone, z.reportedAt = min(1.5, float64(z.workDone)/float64(since)), 0, now
	}
}

// fill fetches a missing object for a zone from the parents of its hub, or from the origin if they lack it or are
// unreachable.
func (s *simulation) fill(z *zone) (ok bool, took time.Duration) {
	if s.now >= s.scene.Warm {
		s.currentSecond().Fills++
	}
	took = parentFetchTime
	if z.faults[Parents] == 0 {
		if !s.hubs[z.Hub].take(s.now) {
			return false, took
		}
		if s.rng.Float64() < parentHitRatio {
			return true, took
		}
	}
	home := 0
	for i, o := range s.zones {
		if o == z {
			home = i
		}
	}
	return s.fetchFromOrigin(home), took + originFetchTime
}

// countRequest counts a request sent to a zone. A zone whose caches are cold crashes if its recent requests exceed
// crashFactor times its present capacity.
func (s *simulation) countRequest(z *zone, capacity float64) {
	z.recentRequests = z.recentRequests*math.Exp(-float64(s.now-z.recentAt)/float64(overloadWindow)) + 1
	z.recentAt = s.now
	if capacity < 1 && z.recentRequests > crashFactor*capacity*overloadWindow.Seconds()*float64(time.Second)/float64(z.workPerRequest) {
		z.crashed = true
		s.res.Falls = append(s.res.Falls, fmt.Sprintf("%s at %v", z.Name, s.now.Round(time.Millisecond)))
	}
}
