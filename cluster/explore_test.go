package cluster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"larchusher/maintenance"
)

// The explorer plays one plan over consensus, maintenance and cluster together: three gateways, three machines, among them an upper cache. It makes
// one fault of each kind at every single message of it, and then draws pairs of them. An undisturbed run has a message for
// every place at which anything can go wrong, so that each gap between two of them is tried.

// faultKinds are what can happen to a message, or to its sender or receiver.
var faultKinds = []struct {
	name string
	do   func(w *simulation, from, to string) (carry bool)
}{
	{"it is lost", func(*simulation, string, string) bool { return false }},
	{"it comes twice", func(w *simulation, _, _ string) bool { w.duplicateNext = true; return true }},
	{"it comes 1.5 s late", func(w *simulation, _, _ string) bool { w.delayNext = 1500 * time.Millisecond; return true }},
	{"its sender crashes before it", func(w *simulation, from, _ string) bool { w.crash(from, time.Second, false); return false }},
	{"its sender crashes after it", func(w *simulation, from, _ string) bool {
		w.clock.At(w.clock.Now, func() { w.crash(from, time.Second, false) })
		return true
	}},
	{"its receiver crashes, and loses what it stored", func(w *simulation, _, to string) bool { w.crash(to, time.Second, true); return false }},
	{"its sender is isolated for 3 s", func(w *simulation, from, _ string) bool { w.isolate(from, true, true, 3*time.Second); return false }},
	{"its sender can't send for 3 s", func(w *simulation, from, _ string) bool { w.isolate(from, false, true, 3*time.Second); return false }},
	{"its receiver receives nothing for 3 s", func(w *simulation, _, to string) bool { w.isolate(to, true, false, 3*time.Second); return false }},
	{"its sender is suspended for 3 s", func(w *simulation, from, _ string) bool {
		w.clock.At(w.clock.Now, func() { w.suspend(from, 3*time.Second) })
		return true
	}},
}

// crash kills a node, which is back after a while.
func (w *simulation) crash(name string, back time.Duration, forget bool) {
	g := w.nodes[name]
	if g == nil || g.node == nil {
		return
	}
	g.run++
	g.node = nil
	w.clock.At(w.clock.Now+back, func() {
		if g.node == nil {
			w.startNode(g, forget && w.othersCanVote(name))
		}
	})
}

// isolate severs the links to a node, from it, or both.
func (w *simulation) isolate(name string, receiving, sending bool, long time.Duration) {
	var all [][2]string
	for _, n := range w.names {
		if n != name && receiving {
			all = append(all, [2]string{n, name})
		}
		if n != name && sending {
			all = append(all, [2]string{name, n})
		}
	}
	for _, c := range all {
		w.severed[c] = true
	}
	w.clock.At(w.clock.Now+long, func() {
		for _, c := range all {
			delete(w.severed, c)
		}
	})
}

// suspend stops a node, which goes on where it stood.
func (w *simulation) suspend(name string, long time.Duration) {
	g := w.nodes[name]
	if g == nil || g.node == nil || g.suspended {
		return
	}
	g.suspended = true
	epoch := g.run
	w.clock.At(w.clock.Now+long, func() {
		if g.run != epoch || g.node == nil {
			return
		}
		g.suspended = false
		for _, box := range slices.Sorted(maps.Keys(w.machines)) {
			if g.node.EndpointPermitted(w.localTime(g), box) {
				w.checkSent(g, box)
			}
		}
		for _, h := range g.inbox {
			if g.run == epoch {
				w.handle(g, h)
			}
		}
		g.inbox = nil
	})
}

// fault is one at a message.
type fault struct{ at, kind int }

// playPlan plays the plan with faults.
func playPlan(faults ...fault) (w *simulation, bad string) {
	w = newSimulation(7, 3)
	at := map[int]int{}
	for _, f := range faults {
		at[f.at] = f.kind
	}
	w.intercept = func(from, to string) bool {
		if w.nodes[to] == nil || from == to {
			return true
		}
		w.messages++
		if kind, ok := at[w.messages-1]; ok {
			return faultKinds[kind].do(w, from, to)
		}
		return true
	}
	for i, m := range []string{"b00", "p0", "b10"} {
		w.clock.At(1500*time.Millisecond+time.Duration(i)*200*time.Millisecond, func() { w.request(m) })
	}
	for limit := 2 * time.Second; limit < 120*time.Second && w.violation == ""; limit += 500 * time.Millisecond {
		w.clock.Run(limit)
		if d, err := maintenance.Decode(w.latest.Value); err == nil && len(d.Requests) == 3 &&
			!slices.ContainsFunc(d.Requests, func(r *maintenance.Request) bool { return !r.Stage.Ended() }) {
			return w, w.lostRequest(d)
		}
	}
	if w.violation == "" {
		w.violation = "the plan does not end: " + string(w.latest.Value)
	}
	return w, w.violation
}

// inParallel runs f for 0 to n-1 beside each other, until one says something.
func inParallel(n int, f func(i int) string) (bad string) {
	var (
		all  sync.WaitGroup
		mu   sync.Mutex
		next int
	)
	for range max(1, runtime.GOMAXPROCS(0)) {
		all.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				stop := i >= n || bad != ""
				mu.Unlock()
				if stop {
					return
				}
				if s := f(i); s != "" {
					mu.Lock()
					bad = s
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return bad
}

// CI plays every thirtieth place; EXPLORE=0 each one, and so many pairs, drawn.
func TestAFaultAtEveryMessage(t *testing.T) {
	w, bad := playPlan()
	if bad != "" {
		t.Fatal(bad)
	}
	messages, stride, pairs := w.messages, 30, 60
	if n, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		stride, pairs = 1, n
	}
	if messages < 100 {
		t.Fatalf("the plan took %d messages", messages)
	}
	runs := 0
	for kind := range faultKinds {
		places := (messages + stride - 1 - kind*3%stride) / stride
		runs += places
		if bad := inParallel(places, func(i int) string {
			f := fault{i*stride + kind*3%stride, kind}
			if _, bad := playPlan(f); bad != "" {
				return fmt.Sprintf("message %d, %s: %s", f.at, faultKinds[kind].name, bad)
			}
			return ""
		}); bad != "" {
			t.Error(bad)
		}
	}
	if bad := inParallel(pairs, func(i int) string {
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		a := fault{rng.IntN(messages), rng.IntN(len(faultKinds))}
		b := fault{min(messages, a.at+1+rng.IntN(120)), rng.IntN(len(faultKinds))}
		if _, bad := playPlan(a, b); bad != "" {
			return fmt.Sprintf("%v, then %v: %s", a, b, bad)
		}
		return ""
	}); bad != "" {
		t.Error(bad)
	}
	t.Logf("%d messages undisturbed; %d runs with one fault, %d with two", messages, runs, pairs)
}
