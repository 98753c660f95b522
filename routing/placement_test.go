package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestDetourFillsFromTheListedCacheAndKeepsNothing(t *testing.T) {
	r := newRig(t, nil)
	home := r.serve("film", "f", ReasonFilled).Endpoint
	for range 500 {
		id, a := r.after(500*ms).ask("film", "f")
		if a.Endpoint != home {
			if a.FillSource != home || a.CacheRank != 0 {
				t.Errorf("detour %+v, listed on %s", a, home)
			}
			return
		}
		r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 10 * ms})
	}
	t.Error("no detour in 500 requests")
}

// i125874, abay-lab-cache-later big-1: hits were refused at one cache while its siblings had room.
func TestObjectsFanOutFromAnOvercommittedCache(t *testing.T) {
	r := newRig(t, nil)
	home := hold(r, "hot", 5)
	for range 5 {
		if _, a := r.ask("film", "hot"); a == nil || a.Endpoint == home {
			t.Fatalf("hot object: %+v, overcommitted is %s", a, home)
		}
	}
	for _, s := range r.d.upEndpoints[roleCache] {
		s.concurrencyLimit.Max = 0
	}
	if _, a := r.ask("film", "hot"); a != nil {
		t.Errorf("no cache has room, yet %+v", a)
	}
}

// Popular objects that met at one cache by their hashes are moved to its neighbours once it reports that it is full and
// they are not; without reports, or with no difference, nothing moves.
func TestACrowdedCacheIsRelievedByItsReports(t *testing.T) {
	for _, c := range []struct {
		name         string
		fields       []string
		full, others float64
		weight       float64
		least, most  float64 // share of the requests that still go to the full one in the end
	}{
		{"full beside idle ones", []string{"cpu_share"}, 1, 0.3, 1, 0, 0.5},
		{"requests held on ten slots", []string{"busy_reqs"}, 10, 3, 10, 0, 0.5},
		{"all are full", []string{"cpu_share"}, 1, 1, 1, 0.7, 1},
		{"none is full", []string{"cpu_share"}, 0.5, 0.1, 1, 0.7, 1},
		{"no reports", nil, 1, 0.3, 1, 0.7, 1},
	} {
		r := newRig(t, func(s *Settings) { s.LoadReportFields, s.WeightsKnown, s.AnswerDetail = c.fields, true, DetailNone })
		var l []Endpoint
		for _, m := range members() {
			m.Weight = c.weight
			l = append(l, m)
		}
		r.do(EndpointUpdate{Kind: FullList, Endpoints: l})
		full, mine := r.objectsAtOneCache(10)
		asked, there := 0, 0
		for n := range 300 {
			r.after(20 * ms)
			id, a := r.ask("film", mine[n%len(mine)])
			load := c.others
			if a.Endpoint == full {
				load = c.full
			}
			r.reportOthers(full, c.others)
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 100 * ms, LoadReport: []float64{load}})
			if n >= 200 {
				if asked++; a.Endpoint == full {
					there++
				}
			}
		}
		if share := float64(there) / float64(asked); share < c.least || share > c.most {
			t.Errorf("%s: %.2f of the requests go to the full cache, want %v to %v", c.name, share, c.least, c.most)
		}
	}
}

// objectsAtOneCache asks for films until so many have opened at the cache at which the first one did.
func (r *rig) objectsAtOneCache(most int) (at string, objects []string) {
	for n := 0; len(objects) < most; n++ {
		object := fmt.Sprint("o", n)
		id, a := r.ask("film", object)
		if a == nil {
			continue
		}
		if at == "" {
			at = a.Endpoint
		}
		if a.Endpoint == at {
			objects = append(objects, object)
		}
		r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 100 * ms})
	}
	return at, objects
}

// reportOthers lets all caches but one report a load, as it would come with other objects' answers.
func (r *rig) reportOthers(except string, load float64) {
	for _, s := range r.d.upEndpoints[roleCache] {
		if share, ok := r.d.loadFields.Utilization([]float64{load}, s.transferSlots(true)); ok && s.id != except {
			s.load.Observe(r.now, share)
		}
	}
}

// Whatever is told and allowed, what an idle cache holds is not refused.
func TestNothingHeldByAnIdleCacheIsRefused(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for n := range 40 {
		r := newRig(t, func(s *Settings) {
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
			note := ReasonNone
			if r.d.set.AnswerDetail != DetailNone {
				note = ReasonHit
			}
			id, a := r.after(80*ms).ask([]string{"film", "page"}[k%2], fmt.Sprint("x", k%6))
			if a == nil {
				t.Fatalf("case %d: refused, with settings %+v", n, r.d.set)
			}
			r.after(20 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: note, Final: true, Latency: 20 * ms, LoadReport: []float64{0.1, 0.1}})
		}
	}
}
