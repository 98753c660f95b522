package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"larchusher/lab/testbed"
)

// The ramp of world.Settings.
const (
	slowStartInitialShare = 0.15
	slowStartDuration     = 17 * time.Second
	overloadFactor        = 2.5
	overloadWindow        = 2 * time.Second
)

// endpointsJSON words a list of stores, of which the cold ones started at a time.
func endpointsJSON(stores map[string]*store, status string, since int64, names ...string) string {
	var hosts []string
	for _, n := range names {
		hosts = append(hosts, strings.Replace(testbed.EndpointJSON(stores[n], status), `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, since), 1))
	}
	return strings.Join(hosts, ",")
}

// storesWithReplacements makes stores with two caches more, n1 and n2, that are to replace the others, and the list before that.
func storesWithReplacements(t *testing.T) (stores map[string]*store, before json.RawMessage) {
	stores = newStores(t)
	for _, n := range []string{"n1", "n2"} {
		stores[n] = newStore(t, n, "box")
	}
	return stores, json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` +
		endpointsJSON(stores, "SERVING", 0, "c1", "c2", "p", "o") + `]}}]}`)
}

// settingsWith is world.Settings with other values for some of its top keys; nil takes one away.
func settingsWith(t *testing.T, change map[string]any) json.RawMessage {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal([]byte(testbed.Settings), &all); err != nil {
		t.Fatal(err)
	}
	for k, v := range change {
		if fi, ok := v.(map[string]any); ok {
			for k2, v2 := range fi {
				all[k].(map[string]any)[k2] = v2
			}
		} else if v == nil {
			delete(all, k)
		} else {
			all[k] = v
		}
	}
	b, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// seedSequence makes the seeds of processes, one after the other.
func seedSequence() func() string {
	n := uint64(0x8c1f30d27a5be964)
	return func() string {
		n += 0x9e3779b97f4a7c15
		return fmt.Sprintf("%016x", n)
	}
}

// generateLoad asks a gateway for objects, so many a second, until it is told to stop or the gateway ends. Nobody minds the answers.
func (r *rig) generateLoad(aSecond int, stop <-chan bool) {
	c := r.client()
	go func() { _, _ = io.Copy(io.Discard, c.conn) }()
	go func() {
		tick := time.NewTicker(time.Second / time.Duration(aSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				c.txn++
				if _, err := c.conn.Write(c.encodeRequest("images", fmt.Sprintf("%016x", i*7919%300), 2500*time.Millisecond, "")); err != nil {
					return
				}
			}
		}
	}()
}

// checkColdBudget goes by a cold store's own record: in each window that begins with something sent, N is what the settings allow a
// store of that capacity, which started then, and chance adds 2 roots of N, and 2.
func checkColdBudget(t *testing.T, s *store, start time.Time, capacity float64) (sent, allowed float64) {
	t.Helper()
	s.Lock()
	var at []time.Duration
	for _, a := range s.Requests {
		at = append(at, a.At.Sub(start))
	}
	s.Unlock()
	slices.Sort(at)
	worstExcess := math.Inf(-1)
	const step = 10 * time.Millisecond
	for i, from := range at {
		n, _ := slices.BinarySearch(at[i:], from+overloadWindow)
		budget := 0.0
		for x := from; x < from+overloadWindow; x += step {
			budget += overloadFactor * capacity * min(1, slowStartInitialShare+(1-slowStartInitialShare)*max(0, x.Seconds()/slowStartDuration.Seconds())) * step.Seconds()
		}
		if o := float64(n) - budget - 2*math.Sqrt(budget) - 2; o > worstExcess {
			worstExcess, sent, allowed = o, float64(n), budget
		}
	}
	t.Logf("%s: %d in all; most over: %.0f in %v, %.1f allowed", s.Name, len(at), sent, overloadWindow, allowed)
	if worstExcess > 0 {
		t.Errorf("%s was sent %.0f within %v, where %.1f, and %.1f by chance, are allowed", s.Name, sent, overloadWindow, allowed, 2*math.Sqrt(allowed)+2)
	}
	return sent, allowed
}

// Twenty-four processes carry a load on two caches, which are replaced by two cold ones at once. A third of the processes
// is killed in the middle, comes back, and knows nothing. The cold ones' own records are judged.
func TestColdCacheBudgetAcrossRestartedGateways(t *testing.T) {
	seed := seedSequence()
	const processes, perSecond = 24, 12
	stores, warm := storesWithReplacements(t)
	stop := make(chan bool)
	defer close(stop)
	startGateway := func(i int, known json.RawMessage) *rig {
		r := newRigWithStores(t, stores)
		settings := settingsWith(t, map[string]any{"balancers": processes, "position": i, "familyInfo": map[string]any{"countByZone": []int{0, processes}}})
		r.config["settings"], r.initialEndpoints, r.config["seed"] = settings, known, seed()
		r.start()
		r.generateLoad(perSecond, stop)
		return r
	}
	var all []*rig
	for i := range processes {
		all = append(all, startGateway(i, warm))
	}
	requestCount := func() (n int) {
		for _, name := range []string{"c1", "c2"} {
			stores[name].Lock()
			n += len(stores[name].Requests)
			stores[name].Unlock()
		}
		return n
	}
	eventually(t, "the load is carried", func() bool { return requestCount() > processes*perSecond })
	from, was := time.Now(), requestCount()
	eventually(t, "it is seen what warm ones carry", func() bool { return time.Since(from) > 3*time.Second })
	capacity := float64(requestCount()-was) / time.Since(from).Seconds() / 2

	start := time.Now()
	since := start.UnixMilli()
	for _, r := range all {
		r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+endpointsJSON(stores, "DELETED", 0, "c1", "c2")+","+
			endpointsJSON(stores, "SERVING", since, "n1", "n2")+`]}`)
	}
	after := json.RawMessage(`{"pos":2,"entries":[{"pos":2,"hosts":{"index":2,"snapshot":true,"endpoints":[` +
		endpointsJSON(stores, "SERVING", 0, "p", "o") + "," + endpointsJSON(stores, "SERVING", since, "n1", "n2") + `]}}]}`)
	eventually(t, "time passes", func() bool { return time.Since(start) > 2*time.Second })
	for _, r := range all[:processes/3] {
		_ = r.cmd.Process.Kill()
		t.Log("killed:", <-r.exited)
	}
	for i := range processes / 3 {
		startGateway(i, after)
	}
	eventually(t, "time passes", func() bool { return time.Since(start) > 7*time.Second })
	for _, n := range []string{"n1", "n2"} {
		most, allowed := checkColdBudget(t, stores[n], start, capacity)
		if most < allowed/8 {
			t.Errorf("%s was sent %.0f at most, where %.0f are allowed: it stands idle", n, most, allowed)
		}
	}
}

// Twenty-four processes know what warm caches carry, which are replaced by cold ones. Each asks for one object, then for nothing,
// and after four seconds everybody's clients want many objects in the same moment, and go on. Each process had one sending
// saved up, which made twenty-four at each cold cache on top of what its budget gives.
func TestColdCacheBudgetUnderSimultaneousBursts(t *testing.T) {
	seed := seedSequence()
	const processes, perSecond = 24, 1
	stores, warm := storesWithReplacements(t)
	settings := func(i int) json.RawMessage {
		return settingsWith(t, map[string]any{"balancers": processes, "position": i, "familyInfo": map[string]any{"countByZone": []int{0, processes},
			"streamKbPerS": 190}}) // at which a body of the fake servers takes as long as a first guess has it
	}
	stop := make(chan bool)
	var all []*rig
	for i := range processes {
		r := newRigWithStores(t, stores)
		r.config["settings"], r.initialEndpoints, r.config["seed"] = settings(i), warm, seed()
		r.start()
		r.generateLoad(perSecond, stop)
		all = append(all, r)
	}
	from := time.Now()
	requestsSinceStart := func() (n int) {
		for _, name := range []string{"c1", "c2"} {
			stores[name].Lock()
			for _, a := range stores[name].Requests {
				if a.At.After(from) {
					n++
				}
			}
			stores[name].Unlock()
		}
		return n
	}
	eventually(t, "it is seen what warm ones carry", func() bool { return requestsSinceStart() > 6*processes*perSecond })
	capacity := float64(requestsSinceStart()) / time.Since(from).Seconds() / 2
	close(stop)
	start := time.Now()
	for _, r := range all {
		r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+endpointsJSON(stores, "DELETED", 0, "c1", "c2")+","+
			endpointsJSON(stores, "SERVING", start.UnixMilli(), "n1", "n2")+`]}`)
	}
	// wish has each gateway's clients ask for as many objects in one moment.
	serial := 0
	sendBurst := func(objects int) {
		var clients []*client
		var requests [][]byte
		for _, r := range all {
			c := r.client()
			go func() { _, _ = io.Copy(io.Discard, c.conn) }()
			var b []byte
			for range objects {
				c.txn++
				serial++
				b = append(b, c.encodeRequest("images", fmt.Sprintf("%016x", 0xabc000+serial), 2500*time.Millisecond, "")...)
			}
			clients, requests = append(clients, c), append(requests, b)
		}
		for i, c := range clients {
			if _, err := c.conn.Write(requests[i]); err != nil {
				t.Fatal(err)
			}
		}
	}
	sendBurst(1)
	eventually(t, "the quiet spell is over", func() bool { return time.Since(start) > 4*time.Second })
	for range 8 {
		from := time.Now()
		sendBurst(6)
		eventually(t, "a part of the window is over", func() bool { return time.Since(from) > overloadWindow/8 })
	}
	sent := 0.0
	for _, n := range []string{"n1", "n2"} {
		most, _ := checkColdBudget(t, stores[n], start, capacity)
		sent += most
	}
	if sent == 0 {
		t.Error("no cold cache was sent anything: it stands idle")
	}
}

// Twenty processes that know nothing, are told of no fleet, and have cold caches alone: the floors of all together stay
// within what one cold cache bears. Each took a whole floor for its own.
func TestColdCacheBudgetWithoutGatewayCount(t *testing.T) {
	seed := seedSequence()
	const processes, perSecond, capacity = 20, 20, 8
	stores := newStores(t)
	start := time.Now()
	known := json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` +
		endpointsJSON(stores, "SERVING", start.UnixMilli(), "c1", "c2") + "," + endpointsJSON(stores, "SERVING", 0, "p", "o") + `]}}]}`)
	settings := settingsWith(t, map[string]any{"balancers": nil, "position": nil, "familyInfo": map[string]any{"countByZone": nil}})
	stop := make(chan bool)
	defer close(stop)
	for range processes {
		r := newRigWithStores(t, stores)
		r.config["settings"], r.initialEndpoints, r.config["seed"] = settings, known, seed()
		r.start()
		if !bytes.Contains([]byte(r.log.String()), []byte("settings.balancers is missing")) {
			t.Error("nothing is said of the missing number")
		}
		r.generateLoad(perSecond, stop)
	}
	loaded := time.Now()
	eventually(t, "time passes", func() bool { return time.Since(loaded) > 5*time.Second })
	for _, n := range []string{"c1", "c2"} {
		checkColdBudget(t, stores[n], start, capacity)
	}
}
