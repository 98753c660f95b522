package routing

import (
	"fmt"
	"testing"
	"time"
)

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
		var mine []string
		full := ""
		for n := 0; len(mine) < 10; n++ { // all of these open at one cache
			if id, a := r.ask("film", fmt.Sprint("o", n)); a != nil {
				if full == "" {
					full = a.Endpoint
				}
				if a.Endpoint == full {
					mine = append(mine, fmt.Sprint("o", n))
				}
				r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 100 * ms})
			}
		}
		asked, there := 0, 0
		for n := range 300 {
			r.after(20 * ms)
			id, a := r.ask("film", mine[n%len(mine)])
			load := c.others
			if a.Endpoint == full {
				load = c.full
			}
			// What the others have to say comes with other objects' answers.
			for _, s := range r.d.inUse[roleCache] {
				if share, ok := r.d.loadFields.Utilization([]float64{c.others}, s.transferSlots(true)); ok && s.id != full {
					s.load.Observe(r.now, share)
				}
			}
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

// A purge is heeded though its object is listed, and forgotten when it has settled.
func TestPurgesOutliveTheirNotice(t *testing.T) {
	r := newRig(t, nil)
	r.do(Purge{Group: 0, Age: time.Second})
	if _, a := r.ask("film", "a"); a == nil || a.MaxAge <= 0 || a.MaxAge >= time.Second {
		t.Errorf("a second after a purge: %+v", a)
	}
	if _, a := r.after(6*time.Second).ask("film", "a"); a == nil || a.MaxAge != 0 {
		t.Errorf("after it has settled: %+v", a)
	}
}

func untold(s *Settings) { s.AnswerDetail, s.HedgedRequests = DetailNone, false }

// A refusal that comes after a fill's time-out is not the cache's: it refuses at its door. The copy that was listed was gone
// unseen.
func TestLateRefusalsAreTheSources(t *testing.T) {
	r := newRig(t, untold)
	cacheID := r.serve("film", "a", ReasonNone).Endpoint
	for range 12 {
		if id, a := r.after(50*ms).ask("film", "a"); a != nil && a.Endpoint == cacheID {
			r.after(830 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Rejected, Latency: 830 * ms})
		}
	}
	if s := r.d.endpoints[cacheID]; !s.concurrencyLimit.IsUnlimited() || s.backoff > 0 {
		t.Errorf("the cache is limited to %v, ejected for %v", s.concurrencyLimit.Max, s.backoff)
	}
	if p, q := r.d.endpoints["p1"], r.d.endpoints["p2"]; p.concurrencyLimit.IsUnlimited() && q.concurrencyLimit.IsUnlimited() {
		t.Error("no source is held to account")
	}
}

// Where nothing is told, what a cache serves of what it has is no credit to the source that was named for a miss: a dead one
// that fails every fill is left, and for longer each time.
func TestHitsAreNoCreditToTheSource(t *testing.T) {
	r := newRig(t, untold)
	listed := r.serve("film", "a", ReasonNone)
	dead := listed.FillSource
	for n := range 200 {
		for range 3 {
			if id, a := r.after(10*ms).ask("film", "a"); a != nil {
				r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: 10 * ms})
			}
		}
		if id, a := r.ask("film", fmt.Sprint("new", n)); a != nil && a.FillSource == dead {
			r.after(830 * ms).do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Rejected, Latency: 830 * ms})
		}
	}
	if s := r.d.endpoints[dead]; s.backoff < 4*time.Second {
		t.Errorf("a source that failed all fills was last ejected for %v", s.backoff)
	}
}

// At a cache with little room what costs much for its worth is turned away, and what costs little still goes.
func TestDearRequestsMakeRoom(t *testing.T) {
	r := newRig(t, untold)
	for n := range 100 { // what is usual
		r.kb = 400
		r.serve("film", fmt.Sprint("o", n%5), ReasonNone)
	}
	for _, s := range r.d.inUse[roleCache] {
		s.concurrencyLimit.Max, s.concurrencyLimit.InFlight = 10, 6
	}
	r.kb = 4000
	if _, a := r.ask("film", "o1"); a != nil {
		t.Error("one of ten times the usual size takes room that is short")
	}
	r.kb = 200
	if _, a := r.ask("film", "o1"); a == nil {
		t.Error("a small one finds no room")
	}
}

// Writes go straight to the origin here: that they are late says that fills fetch too much there.
func TestLateWritesLimitFetches(t *testing.T) {
	r := newRig(t, untold)
	var ids []string
	for range 20 {
		id, a := r.ask("send", "w")
		if a == nil || a.Endpoint != "o" {
			t.Fatalf("a write went to %+v", a)
		}
		ids = append(ids, id)
	}
	r.after(time.Second)
	for _, id := range ids {
		r.after(ms).do(AttemptResult{ID: id, Endpoint: "o", Status: OK, Final: true, Latency: time.Second})
	}
	if r.d.originFetches.IsUnlimited() {
		t.Error("twenty late writes, and fetches are not limited")
	}
}

// A burst of large objects is not piled onto a cache beyond what it can finish in their aim, before any answer was late.
func TestABurstStaysWithinWhatEndsInAim(t *testing.T) {
	r := newRig(t, func(s *Settings) { untold(s); s.WeightsKnown = true })
	var l []Endpoint
	for _, m := range members() {
		m.Weight = 7
		l = append(l, m)
	}
	r.do(EndpointUpdate{Kind: FullList, Endpoints: l})
	r.kb = 4000 // a second each; aim 600 ms and 1.6 times that
	for n := range 300 {
		r.ask("film", fmt.Sprint("o", n))
	}
	for _, s := range r.d.inUse[roleCache] {
		if took := float64(s.concurrencyLimit.InFlight) / 7; took > 2.3 {
			t.Errorf("%s has %d out: they take %.1f s, the aim is 2.2", s.id, s.concurrencyLimit.InFlight, took)
		}
		if s.concurrencyLimit.InFlight < 10 {
			t.Errorf("%s has %d out, and could finish fifteen", s.id, s.concurrencyLimit.InFlight)
		}
	}
}

// Where nothing is told, popular objects rise to the top rank as they do where hits are told, and rare ones don't.
func TestRanksFollowRequestsWhereNothingIsTold(t *testing.T) {
	r := newRig(t, untold)
	keep := 0
	for range 12 {
		keep = r.after(100*ms).serve("film", "popular", ReasonNone).CacheRank
	}
	if keep != 3 {
		t.Errorf("asked twelve times in a second it is kept at rank %d", keep)
	}
	r.serve("film", "rare", ReasonNone)
	if got := r.after(20*time.Second).serve("film", "rare", ReasonNone).CacheRank; got == 3 {
		t.Error("asked twice in twenty seconds it is kept at the top rank")
	}
}

// A server that serves small objects only does no more work for that: what it has carried is what was sent, so that the budget
// of a cold one, which counts each attempt as its class's mean, does not grow by their number.
func TestSmallObjectsDoNotRaiseColdBudgets(t *testing.T) {
	r := newRig(t, untold)
	for n := range 200 { // the class's mean
		r.kb = 1200
		r.after(20*ms).serve("film", fmt.Sprint("large", n%7), ReasonNone)
	}
	for n := range 100 { // twenty a second of a tenth of that, for 5 s
		r.kb = 120
		r.after(50*ms).serve("film", fmt.Sprint("small", n%7), ReasonNone)
	}
	r.d.updateCarriedRate(roleCache)
	if did, real := 4*r.d.carriedRate[roleCache], 20*0.03; did > 1.5*real {
		t.Errorf("four caches are taken to do %.2f s of work a second, and did %.2f", did, real)
	}
}
