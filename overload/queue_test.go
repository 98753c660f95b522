package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueModel drives a queue, and keeps a model of what must be in it.
type queueModel struct {
	t      *rapid.T
	q      *Queue
	queued []*modelEntry
	now    time.Duration
}

type modelEntry struct {
	item        *Item
	band, front int
	at          time.Duration
}

const modelBands, modelFronts = 4, 2

// take removes an item from the model and returns its entry.
func (m *queueModel) take(i *Item) *modelEntry {
	for k, e := range m.queued {
		if e.item == i {
			m.queued = append(m.queued[:k:k], m.queued[k+1:]...)
			return e
		}
	}
	m.t.Fatal("the queue returned an item that was not in it")
	return nil
}

func (m *queueModel) push() {
	e := &modelEntry{item: &Item{}, band: rapid.IntRange(0, modelBands-1).Draw(m.t, "band"),
		front: rapid.IntRange(0, modelFronts-1).Draw(m.t, "front"), at: m.now}
	m.q.Push(e.item, e.band, e.front, m.now)
	m.q.Push(e.item, 0, 0, m.now) // a second Push is ignored
	m.queued = append(m.queued, e)
}

func (m *queueModel) pop() {
	i := m.q.Pop()
	if i == nil {
		if len(m.queued) > 0 {
			m.t.Fatal("Pop returned nothing from a queue with items")
		}
		return
	}
	got := m.take(i)
	for _, e := range m.queued {
		if e.band < got.band || e.band == got.band && e.front == got.front && e.at < got.at {
			m.t.Fatalf("an item of band %d, front %d was served before an earlier one of band %d, front %d", got.band, got.front, e.band, e.front)
		}
	}
}

func (m *queueModel) remove() {
	if len(m.queued) == 0 {
		return
	}
	e := m.queued[rapid.IntRange(0, len(m.queued)-1).Draw(m.t, "which")]
	m.q.Remove(e.item)
	m.q.Remove(e.item)
	m.take(e.item)
}

func (m *queueModel) expire() {
	for i := m.q.PopExpired(m.now); i != nil; i = m.q.PopExpired(m.now) {
		if e := m.take(i); m.now-e.at <= 20*ms {
			m.t.Fatalf("an item expired after %v, limit 20 ms", m.now-e.at)
		}
	}
	for _, e := range m.queued {
		if m.now-e.at > 20*ms {
			m.t.Fatalf("an item was kept for %v, limit 20 ms", m.now-e.at)
		}
	}
}

// Whatever is pushed, removed and expired, the queue serves by band, and in order within each front
// of a band, returns nothing twice, and counts right.
func TestQueueServesBandsThenArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{t: t, q: NewQueue(modelBands, modelFronts, 20*ms)}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				m.push()
			case 2:
				m.pop()
			case 3:
				m.remove()
			case 4:
				m.expire()
			}
			if m.q.Len() != len(m.queued) {
				t.Fatalf("the queue holds %d items, and Len returns %d", len(m.queued), m.q.Len())
			}
		}
	})
}

// Rebanded keeps the order of items and the time that they have waited.
func TestRebandedKeepsOrderAndWaits(t *testing.T) {
	q := NewQueue(3, 2, 100*ms)
	q.AddPausedTime(30 * ms)
	var items [6]Item
	for i := range items {
		items[i].Value = i
		q.Push(&items[i], i%3, i%2, time.Duration(i)*ms)
		q.AddPausedTime(10 * ms)
	}
	waited := [6]time.Duration{}
	for i := range items {
		waited[i] = q.Waited(&items[i], time.Second)
	}
	next := q.Rebanded(5, func(v any) int { return 4 - v.(int)%2 })
	if q.Len() != 0 || next.Len() != 6 || next.Queued()[4] != 3 || next.Queued()[3] != 3 {
		t.Fatalf("%d items left in the old queue, %d in the new one, by band %v", q.Len(), next.Len(), next.Queued())
	}
	for i := range items {
		if got := next.Waited(&items[i], time.Second); got != waited[i] {
			t.Errorf("item %d had waited %v, and %v after Rebanded", i, waited[i], got)
		}
	}
	next.Remove(&items[3])
	for _, want := range []int{1, 5, 0, 2, 4} {
		if got := next.Pop(); got.Value != want {
			t.Errorf("item %v was served before item %d", got.Value, want)
		}
	}
}

func TestQueueServesFrontsInTurn(t *testing.T) {
	q := NewQueue(1, 3, time.Second)
	for n := range 10 {
		q.Push(&Item{Value: 0}, 0, 0, time.Duration(n))
	}
	q.Push(&Item{Value: 1}, 0, 1, 100)
	q.Push(&Item{Value: 2}, 0, 2, 100)
	seen := map[any]bool{}
	for range 3 {
		seen[q.Pop().Value] = true
	}
	if len(seen) != 3 {
		t.Errorf("fronts served in three calls of Pop: %v, want all three", seen)
	}
}

// A pause by the host does not count as waiting, and items that queued up during it may wait for
// longer, for a limited time.
func TestQueueExtendsWaitAfterPause(t *testing.T) {
	q := NewQueue(1, 1, 20*ms)
	i, j := &Item{}, &Item{}
	q.Push(i, 0, 0, 0)
	q.AddPauseWithGrace(300*ms, 300*ms)
	q.Push(j, 0, 0, 300*ms)
	if w := q.Waited(i, 310*ms); w != 10*ms {
		t.Errorf("waited %v, want 10 ms", w)
	}
	if q.PopExpired(610*ms) != nil || q.PopExpired(625*ms) != i {
		t.Error("after a pause an item does not expire after 20 ms and the length of the pause")
	}
	if q.WaitLimit(2200*ms) != 20*ms {
		t.Error("the longer wait after a pause does not end")
	}
}
