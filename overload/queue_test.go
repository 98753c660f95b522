package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueModel drives a queue and remembers what must be in it.
type queueModel struct {
	t   *rapid.T
	q   *Queue
	in  []*queuedEntry
	now time.Duration
}

type queuedEntry struct {
	item        *Item
	band, front int
	at          time.Duration
}

const modelBands, modelFronts = 4, 2

// drop removes an item from the model.
func (m *queueModel) drop(i *Item) *queuedEntry {
	for k, e := range m.in {
		if e.item == i {
			m.in = append(m.in[:k:k], m.in[k+1:]...)
			return e
		}
	}
	m.t.Fatal("an item that was not in")
	return nil
}

func (m *queueModel) push() {
	e := &queuedEntry{item: &Item{}, band: rapid.IntRange(0, modelBands-1).Draw(m.t, "band"),
		front: rapid.IntRange(0, modelFronts-1).Draw(m.t, "front"), at: m.now}
	m.q.Push(e.item, e.band, e.front, m.now)
	m.q.Push(e.item, 0, 0, m.now) // a second time changes nothing
	m.in = append(m.in, e)
}

func (m *queueModel) pop() {
	i := m.q.Pop()
	if i == nil {
		if len(m.in) > 0 {
			m.t.Fatal("nothing is handed out")
		}
		return
	}
	got := m.drop(i)
	for _, e := range m.in {
		if e.band < got.band || e.band == got.band && e.front == got.front && e.at < got.at {
			m.t.Fatalf("band %d front %d came before band %d front %d", got.band, got.front, e.band, e.front)
		}
	}
}

func (m *queueModel) remove() {
	if len(m.in) == 0 {
		return
	}
	e := m.in[rapid.IntRange(0, len(m.in)-1).Draw(m.t, "which")]
	m.q.Remove(e.item)
	m.q.Remove(e.item)
	m.drop(e.item)
}

func (m *queueModel) expire() {
	for i := m.q.PopExpired(m.now); i != nil; i = m.q.PopExpired(m.now) {
		if e := m.drop(i); m.now-e.at <= 20*ms {
			m.t.Fatalf("expired after %v", m.now-e.at)
		}
	}
	for _, e := range m.in {
		if m.now-e.at > 20*ms {
			m.t.Fatalf("kept for %v", m.now-e.at)
		}
	}
}

// Whatever is pushed, taken back and let expire: the queue hands out by bands, in each front's order, nothing twice,
// and counts right.
func TestQueueOrder(t *testing.T) {
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
			if m.q.Len() != len(m.in) {
				t.Fatalf("%d are in, and it says %d", len(m.in), m.q.Len())
			}
		}
	})
}

// What waits keeps its order and the time that it has waited when there are other bands.
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
		t.Fatalf("%d were left behind, %d moved: %v", q.Len(), next.Len(), next.Queued())
	}
	for i := range items {
		if got := next.Waited(&items[i], time.Second); got != waited[i] {
			t.Errorf("item %d waited %v, and %v after the move", i, waited[i], got)
		}
	}
	next.Remove(&items[3])
	for _, want := range []int{1, 5, 0, 2, 4} {
		if got := next.Pop(); got.Value != want {
			t.Errorf("%v came before %d", got.Value, want)
		}
	}
}

func TestQueueTakesTheFrontsByTurns(t *testing.T) {
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
		t.Errorf("of three fronts, %v were served in three turns", seen)
	}
}

// A pause of the host is no waiting, and what queued up in it may wait for longer, for a while.
func TestQueueForgivesPauses(t *testing.T) {
	q := NewQueue(1, 1, 20*ms)
	i, j := &Item{}, &Item{}
	q.Push(i, 0, 0, 0)
	q.AddPauseWithGrace(300*ms, 300*ms)
	q.Push(j, 0, 0, 300*ms)
	if w := q.Waited(i, 310*ms); w != 10*ms {
		t.Errorf("waited %v", w)
	}
	if q.PopExpired(610*ms) != nil || q.PopExpired(625*ms) != i {
		t.Error("the time after a pause is not 20 ms and the pause's length")
	}
	if q.WaitLimit(2200*ms) != 20*ms {
		t.Error("the grace does not end")
	}
}
