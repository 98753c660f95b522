package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// defaultSettings returns settings of a small site: two locations, a hub with two parents, and one
// origin.
func defaultSettings() Settings {
	return Settings{
		Index: 0, Directors: 3, Zone: "here", Zones: []string{"hub", "here", "there"}, ZoneHub: []int{0, 0, 0},
		ZoneDirectors: []int{0, 2, 1}, Kinds: []string{"box", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		Classes: []Class{
			{Name: "film", LatencyObjective: 600 * ms, ObjectiveStretch: 1.6, Deadline: 6 * time.Second, PriorityWeight: 2, Parts: true},
			{Name: "page", LatencyObjective: 250 * ms, ObjectiveStretch: 2, Deadline: 3 * time.Second, PriorityWeight: 1, FreshFor: 8 * time.Second},
			{Name: "pay", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: NonIdempotent, Uncacheable: true},
			{Name: "send", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: IdempotentWithKey, DedupScope: ScopeAll,
				DedupWindow: time.Second, Uncacheable: true},
			{Name: "zoned", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: IdempotentWithKey, DedupScope: ScopeZone,
				DedupWindow: time.Second, Uncacheable: true},
			{Name: "celled", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Effect: IdempotentWithKey, DedupScope: ScopeCell,
				DedupWindow: time.Second},
			{Name: "stream", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Stream: true},
		},
		FlowKBps: 4000, AllowBypass: true, AllowCoalescing: true, Siblings: SiblingsInLocation, AnswerDetail: DetailAll, Gossip: true,
		CanCancel: true, HedgedRequests: true, SendRetryAfter: true, MaxRetryAfter: 500 * ms, MaxAttempts: 6, ClockStep: 2 * ms,
		DrainGrace: 250 * ms, SlowStartInitialShare: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: 3 * time.Second,
		ParentSlowStartInitialShare: 0.06, ParentSlowStartDuration: 20 * time.Second, ParentOverloadMultiple: 2,
		PurgeGrace: 300 * ms, PurgeSettleTime: 6 * time.Second, MaxPollInterval: 10 * time.Second,
	}
}

func testEndpoints() []Endpoint {
	return []Endpoint{
		{ID: "c1", Zone: "here", Kind: "box", Cell: 1}, {ID: "c2", Zone: "here", Kind: "box", Cell: 1},
		{ID: "c3", Zone: "here", Kind: "box", Cell: 2}, {ID: "c4", Zone: "here", Kind: "box", Cell: 2},
		{ID: "x1", Zone: "there", Kind: "box", Cell: 3},
		{ID: "p1", Zone: "hub", Kind: "parent", Cell: 4}, {ID: "p2", Zone: "hub", Kind: "parent", Cell: 4},
		{ID: "o", Zone: "hub", Kind: "origin", Cell: 5},
	}
}

// harness drives one director with events that the test chooses.
type harness struct {
	t      *testing.T
	d      *Director
	now    time.Duration
	lastID int
	sizeKB float64 // size stated with each request, in kB; 0: not stated
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	s := defaultSettings()
	if change != nil {
		change(&s)
	}
	d, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, d: d, now: time.Hour, sizeKB: 400}
	r.handle(EndpointUpdate{Kind: StaleList, Endpoints: testEndpoints()})
	return r
}

func (r *harness) handle(e Event) []Action { return r.d.Handle(r.now, e, nil) }

func (r *harness) advance(d time.Duration) *harness { r.now += d; return r }

// send sends a request for an object and returns its id and the attempt that the director
// forwarded, nil if there is none.
func (r *harness) send(class, object string) (string, *ForwardAttempt) {
	r.lastID++
	id := fmt.Sprint("r", r.lastID)
	deadline := r.d.classes[class].Deadline
	return id, firstAction[ForwardAttempt](r.handle(Request{ID: id, Class: class, Object: object, SizeKB: r.sizeKB,
		Deadline: r.now + deadline, Write: r.d.classes[class].Uncacheable}))
}

// serve requests an object, answers the attempt after 50 ms with the given reason, and returns the
// attempt.
func (r *harness) serve(class, object string, reason Reason) *ForwardAttempt {
	r.t.Helper()
	id, a := r.send(class, object)
	if a == nil {
		r.t.Fatalf("no attempt was forwarded for %s", object)
	}
	r.advance(50 * ms).handle(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: reason, Final: true, Latency: 50 * ms})
	return a
}

// firstAction returns the first action of type T, or nil if there is none.
func firstAction[T Action](actions []Action) *T {
	for _, a := range actions {
		if v, ok := a.(T); ok {
			return &v
		}
	}
	return nil
}

func formatBase36(k uint64) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var b []byte
	for ; k > 0; k /= 36 {
		b = append(b, digits[k%36])
	}
	slices.Reverse(b)
	return string(b)
}

// fillToLimit sets the limit of the cache that lists the object to n and requests the object until
// n attempts are in flight there. It returns the cache's id.
func fillToLimit(r *harness, object string, n int) string {
	cacheID := r.serve("film", object, ReasonHit).Endpoint
	cache := r.d.endpoints[cacheID]
	cache.concurrencyLimit.Max = float64(n)
	for cache.concurrencyLimit.InFlight < n {
		r.send("film", object)
	}
	return cacheID
}

func withoutAnswerDetail(s *Settings) { s.AnswerDetail, s.HedgedRequests = DetailNone, false }
