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
	for i := range 200 { // every answer is late: ever fewer may be out
		for j := range 20 {
			r.lastID++
			id := fmt.Sprint("r", r.lastID)
			out := r.handle(Request{ID: id, Class: "film", Object: fmt.Sprint(i, "-", j), SizeKB: 400,
				Deadline: r.now + 6*time.Second})
			if f := firstAction[Reject](out); f != nil {
				rejections++
				if f.RetryAfter <= 0 {
					t.Fatal("a refusal without advice")
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
		t.Error("nothing was refused")
	}
}

// An answer that got lost on its way is no sign of load: what was sent later, by the same way, was answered in time.
// Such answers cut the limits, and one of two directors refused a seventh of its requests while all was well.
func TestLostAnswersDoNotCutLimits(t *testing.T) {
	r := newHarness(t, nil)
	cacheID := r.serve("page", "x", ReasonFilled).Endpoint
	for i := range 20 {
		id, a := r.send("page", "x")
		if a == nil {
			t.Fatalf("request %d was refused", i)
		}
		if a.Endpoint != cacheID { // a detour
			r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Final: true, Latency: ms})
			continue
		}
		r.advance(ms).serve("page", "x", ReasonHit)
		r.advance(3 * time.Second)
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: TimedOut, Final: true, Latency: 3050 * ms})
	}
	for _, s := range r.d.endpoints {
		if s.concurrencyLimit.LastCut > 0 {
			t.Errorf("%s: %+v", s.id, s.concurrencyLimit)
		}
	}
	if r.d.originFetches.LastCut > 0 {
		t.Errorf("fetches: %+v", r.d.originFetches)
	}
}

// A cache that drains before the list says so refuses everything at once, hits and fills. That is its own doing:
// after three refusals it is left alone, and neither the sources nor the other caches lose anything by it.
func TestPromptRejectionsCountAgainstTheCache(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.AnswerDetail = DetailHit })
	draining := r.serve("film", "hot0", ReasonFilled).Endpoint
	for i := range 60 { // these have a home now, and fills have told how soon a source can answer
		r.serve("film", fmt.Sprint("hot", i), ReasonFilled)
	}
	refused := 0
	for i := range 60 {
		object := fmt.Sprint("hot", i)
		if i%2 == 1 {
			object = fmt.Sprint("new", i)
		}
		id, a := r.send("film", object)
		for n := 0; a != nil && a.Endpoint == draining; n++ {
			refused++
			a = firstAction[ForwardAttempt](r.handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: Rejected}))
		}
		if a == nil {
			t.Fatalf("request %d for %s was given up, with three caches and all sources well", i, object)
		}
		n := len(r.d.requests[id].attempts) - 1
		r.advance(40 * ms).handle(AttemptResult{ID: id, Attempt: n, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 40 * ms})
	}
	for _, l := range r.d.upEndpoints[roleParent:] {
		for _, s := range l {
			if s.ejectionDuration > 0 || s.concurrencyLimit.Max < 1000 {
				t.Errorf("%s: limit %.1f, ejected for %v", s.id, s.concurrencyLimit.Max, s.ejectionDuration)
			}
		}
	}
	if limit := r.d.originFetches.Max; limit < 1000 {
		t.Errorf("fetches are limited to %.1f", limit)
	}
	if refused < 3 || refused > 10 {
		t.Errorf("the draining cache was asked %d times", refused)
	}
}

// An answer that is late because an earlier attempt of its request came to nothing says nothing of load.
func TestTimeOfEarlierAttemptsDoesNotCutLimits(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 30 {
		id, a := r.send("film", fmt.Sprint("x", i))
		if a == nil {
			t.Fatalf("request %d was refused", i)
		}
		a = firstAction[ForwardAttempt](r.advance(1200 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, CollateralReset: true,
			Latency: 1200 * ms}))
		if a == nil {
			t.Fatalf("request %d was not sent again", i)
		}
		r.advance(100 * ms).handle(AttemptResult{ID: id, Attempt: 1, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true,
			Latency: 100 * ms})
		for k := range 10 { // further attempts are earned
			r.serve("film", fmt.Sprint("y", i, k), ReasonHit)
		}
	}
	for _, s := range r.d.endpoints {
		if s.concurrencyLimit.Max < 1000 {
			t.Errorf("%s is limited to %.1f", s.id, s.concurrencyLimit.Max)
		}
	}
}

// At a cache with little room what costs much for its worth is turned away, and what costs little still goes.
func TestCostlyRequestsAreRejectedFirst(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	for n := range 100 { // what is usual
		r.sizeKB = 400
		r.serve("film", fmt.Sprint("o", n%5), ReasonNone)
	}
	for _, s := range r.d.upEndpoints[roleCache] {
		s.concurrencyLimit.Max, s.concurrencyLimit.InFlight = 10, 6
	}
	r.sizeKB = 4000
	if _, a := r.send("film", "o1"); a != nil {
		t.Error("one of ten times the usual size takes room that is short")
	}
	r.sizeKB = 200
	if _, a := r.send("film", "o1"); a == nil {
		t.Error("a small one finds no room")
	}
}

// Writes go straight to the origin here: that they are late says that fills fetch too much there.
func TestLateWritesCutOriginFetchLimit(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	var ids []string
	for range 20 {
		id, a := r.send("send", "w")
		if a == nil || a.Endpoint != "o" {
			t.Fatalf("a write went to %+v", a)
		}
		ids = append(ids, id)
	}
	r.advance(time.Second)
	for _, id := range ids {
		r.advance(ms).handle(AttemptResult{ID: id, Endpoint: "o", Status: OK, Final: true, Latency: time.Second})
	}
	if r.d.originFetches.IsUnlimited() {
		t.Error("twenty late writes, and fetches are not limited")
	}
}

// A burst of large objects is not piled onto a cache beyond what it can finish in their aim, before any answer was late.
func TestBurstStaysWithinLatencyObjective(t *testing.T) {
	r := newHarness(t, func(s *Settings) { withoutAnswerDetail(s); s.WeightsKnown = true })
	var endpoints []Endpoint
	for _, m := range testEndpoints() {
		m.Weight = 7
		endpoints = append(endpoints, m)
	}
	r.handle(EndpointUpdate{Kind: FullList, Endpoints: endpoints})
	r.sizeKB = 4000 // a second each; aim 600 ms and 1.6 times that
	for n := range 300 {
		r.send("film", fmt.Sprint("o", n))
	}
	for _, s := range r.d.upEndpoints[roleCache] {
		if seconds := float64(s.concurrencyLimit.InFlight) / 7; seconds > 2.3 {
			t.Errorf("%s has %d out: they take %.1f s, the aim is 2.2", s.id, s.concurrencyLimit.InFlight, seconds)
		}
		if s.concurrencyLimit.InFlight < 10 {
			t.Errorf("%s has %d out, and could finish fifteen", s.id, s.concurrencyLimit.InFlight)
		}
	}
}

// A refusal that comes after a fill's time-out is not the cache's: it refuses at its door. The copy that was listed was gone
// unseen.
func TestLateRejectionsCountAgainstFillSource(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	cacheID := r.serve("film", "a", ReasonNone).Endpoint
	for range 12 {
		if id, a := r.advance(50*ms).send("film", "a"); a != nil && a.Endpoint == cacheID {
			r.advance(830 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Rejected, Latency: 830 * ms})
		}
	}
	if s := r.d.endpoints[cacheID]; !s.concurrencyLimit.IsUnlimited() || s.ejectionDuration > 0 {
		t.Errorf("the cache is limited to %v, ejected for %v", s.concurrencyLimit.Max, s.ejectionDuration)
	}
	if p, q := r.d.endpoints["p1"], r.d.endpoints["p2"]; p.concurrencyLimit.IsUnlimited() && q.concurrencyLimit.IsUnlimited() {
		t.Error("no source is held to account")
	}
}

// theory-schools-later big-1: late fetches by way of several parents limit all fetches; what parents hold
// is still asked for, by attempts that should hit as well, and a miss there is a refusal at once.
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
		t.Fatalf("the limit on fetches is %v after forty late ones", r.d.originFetches.Max)
	}
	r.d.originFetches.InFlight = int(math.Ceil(r.d.originFetches.Max)) + 1
	for _, p := range r.d.upEndpoints[roleParent] {
		p.concurrencyLimit.Max = math.Inf(1)
	}
	for _, object := range []string{"listed", "new"} {
		id, a := r.send("film", object)
		if a == nil || !a.OnlyIfCached {
			t.Fatalf("%s: %+v, want an attempt for what is held", object, a)
		}
		out := r.advance(20 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Miss, Reason: ReasonSourceMiss, Latency: 20 * ms})
		if firstAction[Reject](out) == nil || firstAction[ForwardAttempt](out) != nil {
			t.Errorf("%s: a miss at the parent brought %v, want a refusal at once", object, out)
		}
	}
}

// theory-schools-later rough-1: the failures of one vanished parent count against it, not against all
// fetches.
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
		t.Errorf("one parent that is gone limits all fetches to %v", r.d.originFetches.Max)
	}
	if r.d.healthy(r.d.endpoints["p1"]) {
		t.Error("the parent that is gone is still in use")
	}
}

// Fills that run out of time at one parent, while its sibling's come in time, don't limit the fetches of both.
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
		t.Errorf("one hanging parent limits all fetches to %v", r.d.originFetches.Max)
	}
	if r.d.healthy(r.d.endpoints["p1"]) {
		t.Error("the hanging parent is still in use")
	}
}

// One of many directors has less than one attempt out: its limit is a chance, and grows back once answers
// are in time.
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
		for _, s := range r.d.upEndpoints[roleCache] { // keep the limit where it is
			s.concurrencyLimit.Max = 0.5
		}
		r.handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonHit, Final: true, Latency: 10 * ms})
		for _, s := range r.d.upEndpoints[roleCache] {
			s.concurrencyLimit.Max = 0.5
		}
	}
	if forwarded < 160 || forwarded > 240 {
		t.Errorf("limits of a half let %d of 400 in", forwarded)
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
		t.Errorf("after twenty seconds in time the limit is %v", limit.Max)
	}
}

// The origin slows down five times while caches hold most of what is asked: hits go on being served, writes are not starved
// by fills, and two seconds after its recovery nothing is refused.
func TestSlowOriginDelaysFillsOnly(t *testing.T) {
	for _, detail := range []AnswerDetail{DetailNone, DetailHit} {
		w := newSimulatedLocation(t, detail, nil)
		w.at(10*time.Second, func() { w.originFetchTime = 100 * ms })
		w.at(25*time.Second, func() { w.originFetchTime = 20 * ms })
		w.run(40*time.Second, 12*time.Second, 25*time.Second, 40)
		if got := float64(w.hitsInObjective) / float64(w.expectedHits); got < 0.95 {
			t.Errorf("tells %v: %.2f of what caches hold was served in aim", detail, got)
		}
		if got := w.objectiveShare("send"); got < 0.5 {
			t.Errorf("tells %v: %.2f of the writes were in aim", detail, got)
		}
		// The limit that is left at 27 s is some ten: a chance burst may still meet it.
		if n, _ := slices.BinarySearch(w.rejectedAt, 27*time.Second); len(w.rejectedAt)-n > 3 || n < 20 {
			t.Errorf("tells %v: %d refused while it was slow, %d from two seconds after on", detail, n, len(w.rejectedAt)-n)
		}
	}
}
