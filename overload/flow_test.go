package overload

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a client whose many requests delay those of others: of two flows, the one with one request must not wait
// for more than one request of the other.
func TestFlowsHaveTurns(t *testing.T) {
	q := NewQueue(1, 1, DefaultMaxWait)
	var many, one Flow
	for n := range 100 {
		q.Push(&Item{Value: n, Flow: &many}, 0, 0, 0)
	}
	q.Push(&Item{Value: "other", Flow: &one}, 0, 0, 0)
	for n := range 2 {
		if i := q.Pop(); i.Value == "other" {
			return
		} else if i.Value != n {
			t.Errorf("pop %d returned item %v, want the flow's own order", n, i.Value)
		}
	}
	t.Error("the request of the second flow waits for more than one of the first")
}

// Whatever is pushed, popped and removed, each item must leave the queue once, in the order of its flow.
func TestQueueKeepsFlowOrder(t *testing.T) {
	type request struct {
		flow, number int
		item         Item
	}
	rapid.Check(t, func(t *rapid.T) {
		const bands, fronts = 2, 2
		q := NewQueue(bands, fronts, DefaultMaxWait)
		flows := make([]Flow, 3)
		waiting := map[*request]bool{}
		latest := map[[3]int]int{} // by band, front and flow
		pushed := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				flow := rapid.IntRange(0, len(flows)).Draw(t, "flow")
				r := &request{flow: flow, number: pushed}
				if flow < len(flows) {
					r.item.Flow = &flows[flow]
				}
				pushed++
				r.item.Value = r
				waiting[r] = true
				q.Push(&r.item, rapid.IntRange(0, bands-1).Draw(t, "band"), rapid.IntRange(0, fronts-1).Draw(t, "front"), 0)
			},
			"pop": func(t *rapid.T) {
				i := q.Pop()
				if i == nil {
					return
				}
				r := i.Value.(*request)
				key := [3]int{i.band, i.front, r.flow}
				if r.flow < len(flows) && latest[key] > r.number {
					t.Fatalf("request %d of flow %d left after request %d", r.number, r.flow, latest[key])
				}
				if !waiting[r] || i.Queued() {
					t.Fatalf("request %d left twice, or counts as queued", r.number)
				}
				latest[key] = r.number
				delete(waiting, r)
			},
			"remove": func(*rapid.T) {
				for r := range waiting {
					q.Remove(&r.item)
					delete(waiting, r)
					return
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("the queue has %d items, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}
