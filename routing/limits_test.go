package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func TestLateAnswersCauseImmediateRejections(t *testing.T) {
	r := newHarness(t, nil)
	rejections := 0
	for i := range 200 { // every answer is late, so the limits shrink
		for j := range 20 {
			r.lastID++
			id := fmt.Sprint("r", r.lastID)
			out := r.handle(Request{ID: id, Class: "film", Object: fmt.Sprint(i, "-", j), SizeKB: 400,
				Deadline: r.now + 6*time.Second})
			if f := firstAction[Reject](out); f != nil {
				rejections++
				if f.RetryAfter <= 0 {
					t.Fatal("rejection without a Retry-After")
				}
			}
		}
		r.advance(2 * time.Second)
		ids := make([]string, 0)
		for id := range r.d.requests {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			r.handle(AttemptResult{ID: id, Status: OK, Reason: ReasonFilled, Final: true, Latency: 2 * time.Second})
		}
	}
	if rejections == 0 {
		t.Error("no request was rejected")
	}
}

// An answer that was lost on its way is no sign of load: a later attempt by the same way was
// answered in time. Guards against limits cut by lost answers, which made one of two directors
// reject a seventh of its requests while all endpoints were healthy.
func TestLostAnswersDoNotCutLimits(t *testing.T) {
	r := newHarness(t, nil)
	cacheID := r.serve("page", "x", ReasonFilled).Endpoint
	for i := range 20 {
		id, a := r.send("page", "x")
		if a == nil {
			t.Fatalf("request %d was rejected", i)
		}
		if a.Endpoint != cacheID { // another cache was explored
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: ms})
			continue
		}
		r.advance(ms).serve("page", "x", ReasonHit)
		r.advance(3 * time.Second)
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: TimedOut, Final: true, Latency: 3050 * ms})
	}
	for _, s := range r.d.endpoints {
		if s.concurrencyLimit.LastCut > 0 {
			t.Errorf("%s: limit %+v was cut", s.id, s.concurrencyLimit)
		}
	}
	if r.d.originFetches.LastCut > 0 {
		t.Errorf("limit %+v of fetches from the origin was cut", r.d.originFetches)
	}
}

// A cache that starts draining before the endpoint list shows it rejects everything at once, hits
// and fills. This is the fault of that cache alone: it is avoided after a few rejections, and
// the limits of the fill sources and of the other caches are not cut.
func TestPromptRejectionsCountAgainstTheCache(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	draining := r.serve("film", "hot0", ReasonFilled).Endpoint
	for i := range 60 { // objects get a listed cache, and the fills show how soon a source can answer
		r.serve("film", fmt.Sprint("hot", i), ReasonFilled)
	}
	rejections := 0
	for i := range 60 {
		object := fmt.Sprint("hot", i)
		if i%2 == 1 {
			object = fmt.Sprint("new", i)
		}
		id, a := r.send("film", object)
		for n := 0; a != nil && a.Endpoint == draining; n++ {
			rejections++
			a = firstAction[ForwardAttempt](r.handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: Rejected}))
		}
		if a == nil {
			t.Fatalf("request %d for %s was not retried, though three caches and all sources are healthy", i, object)
		}
		n := len(r.d.requests[id].attempts) - 1
		r.advance(40 * ms).handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 40 * ms})
	}
	for _, l := range r.d.upEndpoints[roleParent:] {
		for _, s := range l {
			if s.ejectionDuration > 0 || s.concurrencyLimit.Max < 1000 {
				t.Errorf("%s: limit %.1f, ejected for %v, want neither", s.id, s.concurrencyLimit.Max, s.ejectionDuration)
			}
		}
	}
	if limit := r.d.originFetches.Max; limit < 1000 {
		t.Errorf("fetches from the origin are limited to %.1f, want no limit", limit)
	}
	if rejections < 3 || rejections > 10 {
		t.Errorf("%d attempts at the draining cache, want 3 to 10", rejections)
	}
}

// An answer that is late because of the request's failed earlier attempt is no sign of load.
func TestTimeOfEarlierAttemptsDoesNotCutLimits(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 30 {
		id, a := r.send("film", fmt.Sprint("x", i))
		if a == nil {
			t.Fatalf("request %d was rejected", i)
		}
		a = firstAction[ForwardAttempt](r.advance(1200 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, CollateralReset: true,
			Latency: 1200 * ms}))
		if a == nil {
			t.Fatalf("request %d was not retried", i)
		}
		r.advance(100 * ms).handle(AttemptResult{ID: id, Attempt: 1, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 100 * ms})
		for k := range 10 { // earns retries
			r.serve("film", fmt.Sprint("y", i, k), ReasonHit)
		}
	}
	for _, s := range r.d.endpoints {
		if s.concurrencyLimit.Max < 1000 {
			t.Errorf("%s is limited to %.1f, want no limit", s.id, s.concurrencyLimit.Max)
		}
	}
}

// At a cache near its limit, requests that are costly for their priority weight are rejected, and
// cheap ones are served.
func TestCostlyRequestsAreRejectedFirst(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	for n := range 100 { // sets the mean cost
		r.sizeKB = 400
		r.serve("film", fmt.Sprint("o", n%5), ReasonNone)
	}
	for _, s := range r.d.upEndpoints[roleCache] {
		s.concurrencyLimit.Max, s.concurrencyLimit.InFlight = 10, 6
	}
	r.sizeKB = 4000
	if _, a := r.send("film", "o1"); a != nil {
		t.Error("a request of ten times the mean size was forwarded to a cache near its limit")
	}
	r.sizeKB = 200
	if _, a := r.send("film", "o1"); a == nil {
		t.Error("a small request was rejected")
	}
}

// Writes go directly to the origin here. Late writes show that the origin is overloaded, so they
// cut the limit on fetches.
func TestLateWritesCutOriginFetchLimit(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	var ids []string
	for range 20 {
		id, a := r.send("send", "w")
		if a == nil || a.Endpoint != "o" {
			t.Fatalf("write: attempt %+v, want one at the origin", a)
		}
		ids = append(ids, id)
	}
	r.advance(time.Second)
	for _, id := range ids {
		r.advance(ms).handle(AttemptResult{ID: id, Endpoint: "o", Status: OK, Final: true, Latency: time.Second})
	}
	if r.d.originFetches.IsUnlimited() {
		t.Error("fetches from the origin are unlimited after twenty late writes")
	}
}

// In a burst of large objects, a cache gets no more attempts than it can finish within the latency
// objective, even before any answer was late.
func TestBurstStaysWithinLatencyObjective(t *testing.T) {
	r := newHarness(t, func(s *Settings) { withoutAnswerDetail(s); s.WeightsKnown = true })
	var endpoints []Endpoint
	for _, m := range testEndpoints() {
		m.Weight = 7
		endpoints = append(endpoints, m)
	}
	r.handle(EndpointUpdate{Kind: FullList, Endpoints: endpoints})
	r.sizeKB = 4000 // one second each; the objective is 0.6 s plus 1.6 times that
	for n := range 300 {
		r.send("film", fmt.Sprint("o", n))
	}
	for _, s := range r.d.upEndpoints[roleCache] {
		if seconds := float64(s.concurrencyLimit.InFlight) / 7; seconds > 2.3 {
			t.Errorf("%s has %d attempts in flight that take %.1f s, want at most the objective of 2.2 s", s.id, s.concurrencyLimit.InFlight, seconds)
		}
		if s.concurrencyLimit.InFlight < 10 {
			t.Errorf("%s has %d attempts in flight, want at least 10, as it can finish fifteen", s.id, s.concurrencyLimit.InFlight)
		}
	}
}

// A rejection that comes after a fill's timeout is not the cache's own, which would have come at
// once: the listed copy was evicted unnoticed, and the source failed.
func TestLateRejectionsCountAgainstFillSource(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	cacheID := r.serve("film", "a", ReasonNone).Endpoint
	for range 12 {
		if id, a := r.advance(50*ms).send("film", "a"); a != nil && a.Endpoint == cacheID {
			r.advance(830 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Rejected, Latency: 830 * ms})
		}
	}
	if s := r.d.endpoints[cacheID]; !s.concurrencyLimit.IsUnlimited() || s.ejectionDuration > 0 {
		t.Errorf("the cache is limited to %v, ejected for %v, want neither", s.concurrencyLimit.Max, s.ejectionDuration)
	}
	if p, q := r.d.endpoints["p1"], r.d.endpoints["p2"]; p.concurrencyLimit.IsUnlimited() && q.concurrencyLimit.IsUnlimited() {
		t.Error("no parent's limit was cut")
	}
}

// Late fetches through several parents cut the limit on fetches from the origin. The parents'
// copies are still requested, by attempts with an expected hit too, and a miss at the parent is
// rejected at once.
func TestParentCopiesServedWhileOriginIsAtLimit(t *testing.T) {
	r := newHarness(t, nil)
	r.serve("film", "listed", ReasonHit)
	for i := range 40 {
		id, a := r.send("film", fmt.Sprint("slow", i))
		if a == nil || a.OnlyIfCached {
			continue
		}
		r.advance(100 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilledByOrigin, Final: true,
			Latency: 4 * time.Second})
	}
	if r.d.originFetches.Max > 4 {
		t.Fatalf("the limit on fetches is %v after forty late ones, want at most 4", r.d.originFetches.Max)
	}
	r.d.originFetches.InFlight = int(math.Ceil(r.d.originFetches.Max)) + 1
	for _, p := range r.d.upEndpoints[roleParent] {
		p.concurrencyLimit.Max = math.Inf(1)
	}
	for _, object := range []string{"listed", "new"} {
		id, a := r.send("film", object)
		if a == nil || !a.OnlyIfCached {
			t.Fatalf("%s: attempt %+v, want one with OnlyIfCached", object, a)
		}
		out := r.advance(20 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Miss, Reason: ReasonSourceMiss, Latency: 20 * ms})
		if firstAction[Reject](out) == nil || firstAction[ForwardAttempt](out) != nil {
			t.Errorf("%s: actions after a miss at the parent are %v, want a rejection at once", object, out)
		}
	}
}

// The failures of one unreachable parent count against that parent, and don't cut the limit on all
// fetches from the origin.
func TestLostParentDoesNotCutOriginFetchLimit(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 60 {
		id, a := r.send("film", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		o := AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilledByOrigin, Final: true, Latency: 80 * ms}
		if a.FillSource == "p1" {
			o.Status, o.Reason, o.Final, o.Latency = Rejected, ReasonSourceLost, false, 400*ms
		}
		r.advance(80 * ms).handle(o)
	}
	if !math.IsInf(r.d.originFetches.Max, 1) {
		t.Errorf("one unreachable parent limits all fetches to %v, want no limit", r.d.originFetches.Max)
	}
	if r.d.healthy(r.d.endpoints["p1"]) {
		t.Error("the unreachable parent is not ejected")
	}
}

// Fills that time out at one parent while its sibling's are in time don't cut the limit on fetches
// through both.
func TestHangingParentDoesNotCutOriginFetchLimit(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 60 {
		id, a := r.send("film", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		result := AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilledByOrigin, Final: true, Latency: 80 * ms}
		if a.FillSource != "p1" || i < 20 {
			r.advance(80 * ms).handle(result)
			continue
		}
		retry := firstAction[ForwardAttempt](r.advance(80 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ServerError,
			Reason: ReasonSourceLost, Latency: 2 * time.Second}))
		if retry != nil {
			result.Endpoint, result.Attempt = retry.Endpoint, 1
			r.handle(result)
		}
	}
	if !math.IsInf(r.d.originFetches.Max, 1) {
		t.Errorf("one hanging parent limits all fetches to %v, want no limit", r.d.originFetches.Max)
	}
	if r.d.healthy(r.d.endpoints["p1"]) {
		t.Error("the hanging parent is not ejected")
	}
}

// One of many directors may have a limit below one attempt in flight. The limit then acts as a
// probability, and grows back once answers are in time.
func TestLimitsBelowOneActAsProbabilities(t *testing.T) {
	r := newHarness(t, nil)
	for _, s := range r.d.upEndpoints[roleCache] {
		s.concurrencyLimit.Max = 0.5
	}
	forwarded := 0
	for i := range 400 {
		id, a := r.send("film", fmt.Sprint("o", i))
		if a == nil {
			continue
		}
		forwarded++
		for _, s := range r.d.upEndpoints[roleCache] { // restore the limit
			s.concurrencyLimit.Max = 0.5
		}
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 10 * ms})
		for _, s := range r.d.upEndpoints[roleCache] {
			s.concurrencyLimit.Max = 0.5
		}
	}
	if forwarded < 160 || forwarded > 240 {
		t.Errorf("limits of 0.5 let %d of 400 requests through, want 160 to 240", forwarded)
	}
	limit := &r.d.endpoints["c1"].concurrencyLimit
	limit.Max, limit.LateShare, limit.LastAnswer = 0.2, 0, r.now
	for i := range 200 {
		id, a := r.send("film", fmt.Sprint("p", i))
		if a != nil {
			r.advance(100 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 10 * ms})
		}
	}
	if limit.Max < 0.9 {
		t.Errorf("the limit is %v after twenty seconds of answers in time, want at least 0.9", limit.Max)
	}
}

// The origin becomes five times slower while caches have copies of most requested objects: hits are
// still served, writes still reach the origin despite the fills, and two seconds after the recovery
// nothing is rejected any more.
func TestSlowOriginDelaysFillsOnly(t *testing.T) {
	for _, detail := range []AnswerDetail{DetailNone, DetailHit} {
		w := newSimulatedLocation(t, detail, nil)
		w.at(10*time.Second, func() { w.originFetchTime = 100 * ms })
		w.at(25*time.Second, func() { w.originFetchTime = 20 * ms })
		w.run(40*time.Second, 12*time.Second, 25*time.Second, 40)
		if got := float64(w.hitsInObjective) / float64(w.expectedHits); got < 0.95 {
			t.Errorf("detail %v: a share of %.2f of the expected hits met the objective, want at least 0.95", detail, got)
		}
		if got := w.objectiveShare("send"); got < 0.5 {
			t.Errorf("detail %v: a share of %.2f of the writes met the objective, want at least 0.5", detail, got)
		}
		// At 27 s the limit is still about ten, which a random burst may reach.
		if n, _ := slices.BinarySearch(w.rejectedAt, 27*time.Second); len(w.rejectedAt)-n > 3 || n < 20 {
			t.Errorf("detail %v: %d rejected by two seconds after the recovery, want at least 20; %d rejected later, want at most 3", detail, n, len(w.rejectedAt)-n)
		}
	}
}
