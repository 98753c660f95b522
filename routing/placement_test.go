package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestExplorationFillsFromListedCacheWithoutKeepingCopy(t *testing.T) {
	r := newHarness(t, nil)
	listedCache := r.serve("film", "f", ReasonFilled).Endpoint
	for range 500 {
		id, a := r.advance(500*ms).send("film", "f")
		if a.Endpoint != listedCache {
			if a.FillSource != listedCache || a.CacheRank != 0 {
				t.Errorf("exploring attempt %+v, want a fill from the listed cache %s and rank 0", a, listedCache)
			}
			return
		}
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 10 * ms})
	}
	t.Error("no other cache was explored in 500 requests")
}

// Guards against hits being rejected at one cache while its siblings have capacity.
func TestRequestsMoveFromCacheAtItsLimit(t *testing.T) {
	r := newHarness(t, nil)
	fullCache := fillToLimit(r, "hot", 5)
	for range 5 {
		if _, a := r.send("film", "hot"); a == nil || a.Endpoint == fullCache {
			t.Fatalf("attempt %+v, want one at another cache than %s, which is at its limit", a, fullCache)
		}
	}
	for _, s := range r.d.upEndpoints[roleCache] {
		s.concurrencyLimit.Max = 0
	}
	if _, a := r.send("film", "hot"); a != nil {
		t.Errorf("attempt %+v although all caches are at their limits", a)
	}
}

// Popular objects that share a cache by their hashes move to other caches when it reports full
// utilization and the others don't. Without reports or without a difference in utilization nothing
// moves.
func TestLoadReportsRebalanceCaches(t *testing.T) {
	for _, c := range []struct {
		name                string
		fields              []string
		fullLoad, otherLoad float64
		weight              float64
		minShare, maxShare  float64 // bounds of the share of requests that go to the full cache at the end
	}{
		{"one cache full, others idle", []string{"cpu_share"}, 1, 0.3, 1, 0, 0.5},
		{"in-flight counts on ten slots", []string{"busy_reqs"}, 10, 3, 10, 0, 0.5},
		{"all caches full", []string{"cpu_share"}, 1, 1, 1, 0.7, 1},
		{"no cache full", []string{"cpu_share"}, 0.5, 0.1, 1, 0.7, 1},
		{"no reports", nil, 1, 0.3, 1, 0.7, 1},
	} {
		r := newHarness(t, func(s *Settings) { s.LoadReportFields, s.WeightsKnown, s.AnswerDetail = c.fields, true, DetailNone })
		var endpoints []Endpoint
		for _, m := range testEndpoints() {
			m.Weight = c.weight
			endpoints = append(endpoints, m)
		}
		r.handle(EndpointUpdate{Kind: FullList, Endpoints: endpoints})
		fullCache, objects := r.objectsAtOneCache(10)
		requests, toFullCache := 0, 0
		for n := range 300 {
			r.advance(20 * ms)
			id, a := r.send("film", objects[n%len(objects)])
			load := c.otherLoad
			if a.Endpoint == fullCache {
				load = c.fullLoad
			}
			r.reportLoad(fullCache, c.otherLoad)
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 100 * ms, LoadReport: []float64{load}})
			if n >= 200 {
				if requests++; a.Endpoint == fullCache {
					toFullCache++
				}
			}
		}
		if share := float64(toFullCache) / float64(requests); share < c.minShare || share > c.maxShare {
			t.Errorf("%s: %.2f of the requests go to the full cache, want %v to %v", c.name, share, c.minShare, c.maxShare)
		}
	}
}

// objectsAtOneCache requests objects until count of them were sent to the same cache as the first
// one.
func (r *harness) objectsAtOneCache(count int) (at string, objects []string) {
	for n := 0; len(objects) < count; n++ {
		object := fmt.Sprint("o", n)
		id, a := r.send("film", object)
		if a == nil {
			continue
		}
		if at == "" {
			at = a.Endpoint
		}
		if a.Endpoint == at {
			objects = append(objects, object)
		}
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 100 * ms})
	}
	return at, objects
}

// reportLoad reports a load for all caches but one, as answers for other objects would.
func (r *harness) reportLoad(except string, load float64) {
	for _, s := range r.d.upEndpoints[roleCache] {
		if share, ok := r.d.loadFields.Utilization([]float64{load}, s.transferSlots(true)); ok && s.id != except {
			s.load.Observe(r.now, share)
		}
	}
}

// Regardless of the settings, a request for an object that an idle cache has is not rejected.
func TestRequestsToIdleCachesAreNotRejected(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for n := range 40 {
		r := newHarness(t, func(s *Settings) {
			s.AnswerDetail, s.Siblings, s.AllowBypass, s.AllowCoalescing = AnswerDetail(rng.IntN(3)), SiblingMode(rng.IntN(3)), rng.IntN(2) == 0, rng.IntN(2) == 0
			s.HedgedRequests, s.WeightsKnown, s.HealthChecks = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
			s.LoadReportFields = [][]string{nil, {"cpu_share"}, {"busy_reqs"}, {"x0", "x1"}}[rng.IntN(4)]
			if rng.IntN(3) == 0 {
				s.ParentKind = -1
			}
			if rng.IntN(3) == 0 {
				s.ZoneDirectors = nil
			}
		})
		for k := range 60 {
			reason := ReasonNone
			if r.d.settings.AnswerDetail != DetailNone {
				reason = ReasonHit
			}
			id, a := r.advance(80*ms).send([]string{"film", "page"}[k%2], fmt.Sprint("x", k%6))
			if a == nil {
				t.Fatalf("case %d: rejected with settings %+v", n, r.d.settings)
			}
			r.advance(20 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: reason, Final: true, Latency: 20 * ms, LoadReport: []float64{0.1, 0.1}})
		}
	}
}
