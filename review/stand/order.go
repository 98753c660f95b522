//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"larchusher/client"
)

// mainStore is the main store's part for keyed requests: it runs a request, and drops a repeat of its key for a window.
type mainStore struct {
	window time.Duration

	mu   sync.Mutex
	runs map[string][]time.Time
}

// submit runs a request unless its key has run within the window, and reports how often the key has run.
func (m *mainStore) submit(a *ask) (runs int) {
	key := a.fields["dedupe"]
	m.mu.Lock()
	defer m.mu.Unlock()
	done := m.runs[key]
	if n := len(done); n > 0 && a.at.Sub(done[n-1]) < m.window {
		note("main store: repeat of key %s dropped, %.3f s after it ran", key, a.at.Sub(done[n-1]).Seconds())
		return n
	}
	m.runs[key] = append(done, a.at)
	note("main store: key %s RUNS, for the %d. time", key, len(m.runs[key]))
	return len(m.runs[key])
}

// orderTwice is case 6. A client of the project's client library submits a batch. The main store runs it; with trouble the
// connection is reset under the request, 2.1 s after it came, before the answer.
func orderTwice() {
	const window = 2 * time.Second
	m := &mainStore{window: window, runs: map[string][]time.Time{}}
	var once sync.Once
	answer := func(a *ask) {
		if a.fields["lane"] != "batches" {
			after(20 * time.Millisecond)(a)
			return
		}
		m.submit(a)
		isFirst := false
		once.Do(func() { isFirst = true })
		if isFirst && trouble {
			time.Sleep(time.Until(a.at.Add(window + 100*time.Millisecond)))
			note("store %s: its connection is reset under %s", a.store.name, a.id)
			a.reset()
			return
		}
		time.Sleep(50 * time.Millisecond)
		a.done("submitted", time.Now())
	}
	s := newScene(answer)
	for _, x := range s.caches { // the kind of this deployment
		x.kind = "box"
	}
	s.parent.zone, s.root.zone = "nord", "nord"
	known := fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,%s}]}`, hosts(1, true, entry(s.caches[0], "SERVING", 0), entry(s.caches[1], "SERVING", 0),
		entry(s.parent, "SERVING", 0), entry(s.root, "SERVING", 0)))
	g := newGateway(s.journal.addr, known)
	g.writeConfig(s.journal.addr, known, secondDeployment)
	g.start()
	c, err := client.New(client.Config{Gateways: []string{g.listen}, Classes: []client.Class{
		{Name: "media", Worth: 2, Deadline: 5 * time.Second}, {Name: "forms", Worth: 1, Deadline: 3 * time.Second},
		{Name: "batches", Effect: client.Keyed, Window: window, Worth: 3, Deadline: 3 * time.Second}}})
	fatal(err)
	for i := range 5 {
		key := fmt.Sprintf("batch-%d", i)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		note("client: submits key %s", key)
		got, err := c.Do(ctx, client.Request{Class: "batches", Object: object, Key: key, Body: []byte("a batch")})
		note("client: key %s ended: %q after %d tries, %v", key, got.Body, got.Tries, err)
		cancel()
	}
	_ = c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	var broken []string
	for key, runs := range m.runs {
		if len(runs) > 1 && runs[1].Sub(runs[0]) > window+50*time.Millisecond {
			broken = append(broken, fmt.Sprintf("key %s ran %d times, the second %.3f s after the first; the main store drops repeats for %v", key, len(runs), runs[1].Sub(runs[0]).Seconds(), window))
		}
	}
	if len(m.runs) < 5 {
		fatal(fmt.Errorf("%d keys ran, want 5", len(m.runs)))
	}
	verdict(broken)
}
