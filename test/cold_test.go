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

// The slow start in testbed.Settings.
const (
	slowStartInitialShare = 0.15
	slowStartDuration     = 17 * time.Second
	overloadFactor        = 2.5
	overloadWindow        = 2 * time.Second
)

// endpointsJSON encodes the named stores as endpoints with one status and one start time: since, in Unix milliseconds,
// where 0 means long ago.
func endpointsJSON(stores map[string]*store, status string, since int64, names ...string) string {
	var hosts []string
	for _, n := range names {
		hosts = append(hosts, strings.Replace(testbed.EndpointJSON(stores[n], status), `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, since), 1))
	}
	return strings.Join(hosts, ",")
}

// storesWithReplacements starts the usual stores and two more caches, n1 and n2, that are to replace c1 and c2. It also
// returns the endpoint list before the replacement.
func storesWithReplacements(t *testing.T) (stores map[string]*store, before json.RawMessage) {
	stores = newStores(t)
	for _, n := range []string{"n1", "n2"} {
		stores[n] = newStore(t, n, "box")
	}
	return stores, json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` +
		endpointsJSON(stores, "SERVING", 0, "c1", "c2", "p", "o") + `]}}]}`)
}

// settingsWith returns testbed.Settings with some top-level keys changed: an object is merged into the present one, nil
// removes the key, and any other value replaces it.
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

// seedSequence returns a function that returns a different process seed with each call.
func seedSequence() func() string {
	n := uint64(0x8c1f30d27a5be964)
	return func() string {
		n += 0x9e3779b97f4a7c15
		return fmt.Sprintf("%016x", n)
	}
}

// generateLoad requests objects from the gateway at a rate of perSecond until stop is closed or the gateway exits.
// Answers are discarded.
func (r *rig) generateLoad(perSecond int, stop <-chan bool) {
	c := r.client()
	go func() { _, _ = io.Copy(io.Discard, c.conn) }()
	go func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
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

// checkColdBudget checks the requests that a cold store recorded. For each window of overloadWindow that begins with a
// request, it computes the budget N that the settings allow a store of the given capacity (requests per second) after
// that start, and reports a test error if more than N + 2*sqrt(N) + 2 arrived: the excess allows for chance. It returns
// the requests sent and allowed in the worst window.
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
	t.Logf("%s: %d requests in all; worst window: %.0f in %v, budget %.1f", s.Name, len(at), sent, overloadWindow, allowed)
	if worstExcess > 0 {
		t.Errorf("%s received %.0f requests within %v, want at most the budget of %.1f plus %.1f for chance", s.Name, sent, overloadWindow, allowed, 2*math.Sqrt(allowed)+2)
	}
	return sent, allowed
}

// 24 gateways with load on two caches see both replaced by cold caches at the same time. A third of the gateways is killed
// during the slow start and restarts without learned state. Together the gateways must stay within the budget of each
// cold cache, as the cache's own record shows, and must use at least an eighth of it.
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
	eventually(t, "the caches serve the load", func() bool { return requestCount() > processes*perSecond })
	from, was := time.Now(), requestCount()
	eventually(t, "3 s of load on the warm caches have been measured", func() bool { return time.Since(from) > 3*time.Second })
	capacity := float64(requestCount()-was) / time.Since(from).Seconds() / 2

	start := time.Now()
	since := start.UnixMilli()
	for _, r := range all {
		r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+endpointsJSON(stores, "DELETED", 0, "c1", "c2")+","+
			endpointsJSON(stores, "SERVING", since, "n1", "n2")+`]}`)
	}
	after := json.RawMessage(`{"pos":2,"entries":[{"pos":2,"hosts":{"index":2,"snapshot":true,"endpoints":[` +
		endpointsJSON(stores, "SERVING", 0, "p", "o") + "," + endpointsJSON(stores, "SERVING", since, "n1", "n2") + `]}}]}`)
	eventually(t, "2 s have passed since the replacement", func() bool { return time.Since(start) > 2*time.Second })
	for _, r := range all[:processes/3] {
		_ = r.cmd.Process.Kill()
		t.Log("killed a gateway:", <-r.exited)
	}
	for i := range processes / 3 {
		startGateway(i, after)
	}
	eventually(t, "7 s have passed since the replacement", func() bool { return time.Since(start) > 7*time.Second })
	for _, n := range []string{"n1", "n2"} {
		most, allowed := checkColdBudget(t, stores[n], start, capacity)
		if most < allowed/8 {
			t.Errorf("%s received %.0f requests in its worst window with a budget of %.0f, want at least an eighth: the cache is idle", n, most, allowed)
		}
	}
}

// 24 gateways know the capacity of warm caches, which are replaced by cold ones. Each gateway's clients request one object,
// pause, and after four seconds request many objects at the same moment, eight times. Each gateway had saved up one
// request of its budget during the pause, so that each cold cache got 24 requests more than its budget.
func TestColdCacheBudgetUnderSimultaneousBursts(t *testing.T) {
	seed := seedSequence()
	const processes, perSecond = 24, 1
	stores, warm := storesWithReplacements(t)
	settings := func(i int) json.RawMessage {
		return settingsWith(t, map[string]any{"balancers": processes, "position": i, "familyInfo": map[string]any{"countByZone": []int{0, processes},
			"streamKbPerS": 190}}) // at this rate a body of the fake servers takes as long as the gateway's initial estimate
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
	eventually(t, "the warm caches have received 6 requests per gateway", func() bool { return requestsSinceStart() > 6*processes*perSecond })
	capacity := float64(requestsSinceStart()) / time.Since(from).Seconds() / 2
	close(stop)
	start := time.Now()
	for _, r := range all {
		r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+endpointsJSON(stores, "DELETED", 0, "c1", "c2")+","+
			endpointsJSON(stores, "SERVING", start.UnixMilli(), "n1", "n2")+`]}`)
	}
	// sendBurst makes a new client of each gateway request that many new objects, all at the same moment.
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
	eventually(t, "the pause of 4 s is over", func() bool { return time.Since(start) > 4*time.Second })
	for range 8 {
		from := time.Now()
		sendBurst(6)
		eventually(t, "an eighth of the overload window is over", func() bool { return time.Since(from) > overloadWindow/8 })
	}
	sent := 0.0
	for _, n := range []string{"n1", "n2"} {
		most, _ := checkColdBudget(t, stores[n], start, capacity)
		sent += most
	}
	if sent == 0 {
		t.Error("the cold caches received no requests, want some")
	}
}

// 20 gateways without learned state, whose settings lack the number of gateways, have only cold caches. The minimum rates
// of all gateways together must stay within the budget of one cold cache. Each gateway once used the whole minimum alone.
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
			t.Error("the log lacks the text \"settings.balancers is missing\"")
		}
		r.generateLoad(perSecond, stop)
	}
	loaded := time.Now()
	eventually(t, "5 s of load have passed", func() bool { return time.Since(loaded) > 5*time.Second })
	for _, n := range []string{"c1", "c2"} {
		checkColdBudget(t, stores[n], start, capacity)
	}
}
