package routing

import (
	"testing"
	"time"
)

func TestRequestsPreferListedCache(t *testing.T) {
	r := newHarness(t, nil)
	firstCache := r.serve("film", "f", ReasonFilled).Endpoint
	same := 0
	for range 100 {
		last := r.d.table[mix(hash("f"))].cache.id
		if r.advance(time.Second).serve("film", "f", ReasonHit).Endpoint == last {
			same++
		}
	}
	if same < 90 || same == 100 {
		t.Errorf("%d of 100 requests went to the listed cache, want 90 to 99", same)
	}
	if other, _ := New(defaultSettings(), 99); true { // a director with an empty table chooses the same first cache
		other.Handle(0, EndpointUpdate{Kind: FullList, Endpoints: testEndpoints()}, nil)
		a := firstAction[ForwardAttempt](other.Handle(0, Request{ID: "z", Class: "film", Object: "f", Deadline: time.Second}, nil))
		if a == nil || a.Endpoint != firstCache {
			t.Errorf("a director with an empty table forwarded %v, want an attempt at %s", a, firstCache)
		}
	}
}

// The listings of a restarted cache are invalid.
func TestRestartInvalidatesListings(t *testing.T) {
	r := newHarness(t, nil)
	cacheID := r.serve("film", "f", ReasonHit).Endpoint
	e := r.d.table[mix(hash("f"))]
	endpoints := testEndpoints()
	for i := range endpoints {
		if endpoints[i].ID == cacheID {
			endpoints[i].Incarnation = r.now - time.Second
		}
	}
	r.handle(EndpointUpdate{Kind: DeltaList, Endpoints: endpoints})
	if e.hitExpectedAt(r.d.endpoints[cacheID]) || len(r.d.endpoints[cacheID].listings) != 0 {
		t.Error("the object is still listed at the restarted cache")
	}
}

// Without answer detail, frequently requested objects get the top rank as they do with it, and
// rarely requested ones don't.
func TestCacheRankFollowsRequestRateWithoutAnswerDetail(t *testing.T) {
	r := newHarness(t, withoutAnswerDetail)
	rank := RankNone
	for range 12 {
		rank = r.advance(100*ms).serve("film", "popular", ReasonNone).CacheRank
	}
	if rank != 3 {
		t.Errorf("rank %d after twelve requests in 1.8 s, want the top rank 3", rank)
	}
	r.serve("film", "rare", ReasonNone)
	if got := r.advance(20*time.Second).serve("film", "rare", ReasonNone).CacheRank; got == 3 {
		t.Error("top rank after two requests in 20 s, want a lower one")
	}
}
