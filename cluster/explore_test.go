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

// The explorer repeats one scenario over packages consensus, maintenance and cluster: three gateways take three machines, one of
// them a parent, out of service. It injects one fault of each kind at single messages of that scenario, and then random pairs
// of faults. Whatever can go wrong does so between two messages of a run without faults, so these are the places to try.

// faultKinds are the faults that can be injected at a message, or at its sender or receiver. deliver is false if the message is
// lost.
var faultKinds = []struct {
	name   string
	inject func(w *simulation, from, to string) (deliver bool)
}{
	{"the message is lost", func(*simulation, string, string) bool { return false }},
	{"the message is delivered twice", func(w *simulation, _, _ string) bool { w.duplicateNext = true; return true }},
	{"the message is delayed by 1.5 s", func(w *simulation, _, _ string) bool { w.delayNext = 1500 * time.Millisecond; return true }},
	{"the sender crashes before sending", func(w *simulation, from, _ string) bool { w.crash(from, time.Second, false); return false }},
	{"the sender crashes after sending", func(w *simulation, from, _ string) bool {
		w.clock.At(w.clock.Now, func() { w.crash(from, time.Second, false) })
		return true
	}},
	{"the receiver crashes and loses its storage", func(w *simulation, _, to string) bool { w.crash(to, time.Second, true); return false }},
	{"the sender is isolated for 3 s", func(w *simulation, from, _ string) bool { w.isolate(from, true, true, 3*time.Second); return false }},
	{"the sender can't send for 3 s", func(w *simulation, from, _ string) bool { w.isolate(from, false, true, 3*time.Second); return false }},
	{"the receiver receives nothing for 3 s", func(w *simulation, _, to string) bool { w.isolate(to, true, false, 3*time.Second); return false }},
	{"the sender is suspended for 3 s", func(w *simulation, from, _ string) bool {
		w.clock.At(w.clock.Now, func() { w.suspend(from, 3*time.Second) })
		return true
	}},
}

// crash kills a node and restarts it after a downtime.
func (w *simulation) crash(name string, downtime time.Duration, eraseStorage bool) {
	g := w.nodes[name]
	if g == nil || g.node == nil {
		return
	}
	g.generation++
	g.node = nil
	w.clock.At(w.clock.Now+downtime, func() {
		if g.node == nil {
			w.startNode(g, eraseStorage && w.othersCanVote(name))
		}
	})
}

// isolate severs the links to a node, those from it, or both, for a duration.
func (w *simulation) isolate(name string, receiving, sending bool, duration time.Duration) {
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
	w.clock.At(w.clock.Now+duration, func() {
		for _, c := range all {
			delete(w.severed, c)
		}
	})
}

// suspend stops a node for a duration. It resumes where it was stopped, before it has received the messages that have arrived.
func (w *simulation) suspend(name string, duration time.Duration) {
	g := w.nodes[name]
	if g == nil || g.node == nil || g.suspended {
		return
	}
	g.suspended = true
	generation := g.generation
	w.clock.At(w.clock.Now+duration, func() {
		if g.generation != generation || g.node == nil {
			return
		}
		g.suspended = false
		for _, machineName := range slices.Sorted(maps.Keys(w.machines)) {
			if g.node.EndpointPermitted(w.localTime(g), machineName) {
				w.checkInService(g, machineName)
			}
		}
		for _, received := range g.inbox {
			if g.generation == generation {
				w.handle(g, received)
			}
		}
		g.inbox = nil
	})
}

// fault is a fault of a kind, an index into faultKinds, at a message of the scenario, counted from 0.
type fault struct{ message, kind int }

// runScenario runs the scenario with faults. It returns a violation or lost request, or "".
func runScenario(faults ...fault) (w *simulation, failure string) {
	w = newSimulation(7, 3)
	kindAt := map[int]int{}
	for _, f := range faults {
		kindAt[f.message] = f.kind
	}
	w.intercept = func(from, to string) bool {
		if w.nodes[to] == nil || from == to {
			return true
		}
		w.messages++
		if kind, ok := kindAt[w.messages-1]; ok {
			return faultKinds[kind].inject(w, from, to)
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
		w.violation = "not all maintenance requests have ended by the time limit: " + string(w.latest.Value)
	}
	return w, w.violation
}

// inParallel calls f with 0 to n-1 on all processors, until a call returns a failure, and returns that.
func inParallel(n int, f func(i int) string) (failure string) {
	var (
		workers sync.WaitGroup
		mu      sync.Mutex
		next    int
	)
	for range max(1, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				stop := i >= n || failure != ""
				mu.Unlock()
				if stop {
					return
				}
				if s := f(i); s != "" {
					mu.Lock()
					failure = s
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	return failure
}

// By default every thirtieth message gets a fault. EXPLORE=n injects one at every message, and runs n random pairs of faults.
func TestFaultAtEveryMessage(t *testing.T) {
	w, failure := runScenario()
	if failure != "" {
		t.Fatal(failure)
	}
	messages, stride, pairs := w.messages, 30, 60
	if n, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		stride, pairs = 1, n
	}
	if messages < 100 {
		t.Fatalf("the scenario took %d messages, want 100 or more", messages)
	}
	runs := 0
	for kind := range faultKinds {
		runsOfKind := (messages + stride - 1 - kind*3%stride) / stride
		runs += runsOfKind
		if failure := inParallel(runsOfKind, func(i int) string {
			f := fault{i*stride + kind*3%stride, kind}
			if _, failure := runScenario(f); failure != "" {
				return fmt.Sprintf("message %d, %s: %s", f.message, faultKinds[kind].name, failure)
			}
			return ""
		}); failure != "" {
			t.Error(failure)
		}
	}
	if failure := inParallel(pairs, func(i int) string {
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		a := fault{rng.IntN(messages), rng.IntN(len(faultKinds))}
		b := fault{min(messages, a.message+1+rng.IntN(120)), rng.IntN(len(faultKinds))}
		if _, failure := runScenario(a, b); failure != "" {
			return fmt.Sprintf("%v, then %v: %s", a, b, failure)
		}
		return ""
	}); failure != "" {
		t.Error(failure)
	}
	t.Logf("%d messages without faults; %d runs with one fault, %d with two", messages, runs, pairs)
}
