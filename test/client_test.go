package test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	lib "larchusher/client"
	"larchusher/client/plan"
	"larchusher/lab/clientsim"
	"larchusher/lab/failover"
	"larchusher/lab/fakeserver"
	"larchusher/lab/faultproxy"
	"larchusher/lab/loopback"
	"larchusher/lab/testbed"
)

// clientClasses are the classes of testbed.Settings as the client library's settings have them.
var clientClasses = []lib.Class{{Name: "films", Worth: 2}, {Name: "images", Worth: 1},
	{Name: "orders", Effect: lib.Keyed, Window: 3 * time.Second, Worth: 3}}

// startPair starts two gateways, each behind a fault proxy.
func startPair(t *testing.T) (context.Context, [2]*testbed.Gateway, [2]*faultproxy.Proxy) {
	t.Helper()
	var gateways [2]*testbed.Gateway
	var proxies [2]*faultproxy.Proxy
	var ctx context.Context
	for i := range gateways {
		ctx, gateways[i] = startTestbed(t, testbed.Config{Caches: 2, Pin: -1, Sockets: 4096})
		r, err := faultproxy.New(gateways[i].Addr, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		proxies[i] = r
	}
	return ctx, gateways, proxies
}

// When one of two gateways dies with the requests of its share of 1,000 clients open, these must reconnect to the other
// spread over two seconds, without a peak, and be served there.
func TestClientsSpreadReconnectsAfterGatewayDeath(t *testing.T) {
	ctx, gateways, proxies := startPair(t)
	pending := make(chan *storeRequest, 4000)
	for _, s := range gateways[0].Stores {
		s.SetHandler(func(a *storeRequest) { pending <- a })
	}
	const n = 1000
	var served, failed atomic.Int64
	var all sync.WaitGroup
	for i := range n {
		c, err := lib.New(lib.Config{Gateways: []string{proxies[0].Addr, proxies[1].Addr}, Classes: clientClasses, Seed: uint64(i + 1),
			Plan: plan.Config{Conns: 1}})
		if err != nil {
			t.Fatal(err)
		}
		all.Go(func() {
			defer loopback.Close(c)
			call, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_, err := c.Do(call, lib.Request{Class: "films", Object: fmt.Sprintf("%016x", i), Part: 1})
			if err == nil {
				served.Add(1)
			} else if failed.Add(1) < 5 {
				t.Logf("client %d failed: %v", i, err)
			}
		})
	}
	// Clients that chose the first gateway wait there without an answer; the others are served at once.
	eventually(t, "all clients have sent their request", func() bool { return len(proxies[0].Requests())+len(proxies[1].Requests()) >= n })
	open := len(proxies[0].Requests())
	before := len(proxies[1].ConnectTimes())
	died := time.Now()
	if err := gateways[0].Cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	proxies[0].Close()
	all.Wait()
	perTenth := map[int]int{}
	reconnects := proxies[1].ConnectTimes()[before:]
	for _, at := range reconnects {
		perTenth[int(at.Sub(died)/(100*time.Millisecond))]++
	}
	for k, m := range perTenth {
		if float64(m) > 0.12*float64(len(reconnects)) {
			t.Errorf("%d of %d reconnects came within one tenth of a second, %d ms after the death; want at most 12 %% in each", m, len(reconnects), k*100)
		}
	}
	if len(reconnects) < open*9/10 || len(perTenth) < 18 {
		t.Errorf("%d of %d clients reconnected, in %d different tenths of a second; want at least 90 %% in at least 18", len(reconnects), open, len(perTenth))
	}
	if served.Load() < n*99/100 {
		t.Errorf("%d of %d calls were served, want at least 99 %%", served.Load(), n)
	}
	for _, b := range (faultproxy.Rules{MaxTries: 3, DedupWindows: map[string]time.Duration{"orders": 3 * time.Second}}).Check(proxies[:]...) {
		t.Error(b)
	}
}

// failOrDelayByID answers a request depending on its id: one in 4,096 fails, one in 16 takes 50 ms.
func failOrDelayByID(a *storeRequest) {
	switch {
	case a.ID[13:] == "000":
		a.Reply("BROKE", "-", "")
	case a.ID[15] == '1':
		time.AfterFunc(50*time.Millisecond, func() { fakeserver.ServeHit(a) })
	default:
		fakeserver.ServeHit(a)
	}
}

// callResults counts how calls ended. It is safe for concurrent use.
type callResults struct {
	served, others, late atomic.Int64 // late: more than 50 ms after the deadline
	latest               atomic.Int64 // largest time from a deadline to the end of its call, in nanoseconds
}

// call makes a call with a deadline of one second, counts its result, and reports a test error for a wrong body or an
// error outside the documented kinds.
func (e *callResults) call(ctx context.Context, t *testing.T, c *lib.Client, class, object string) {
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	began := time.Now()
	r, err := c.Do(call, lib.Request{Class: class, Object: object, Part: 2})
	took := time.Since(began) - time.Second
	if took > 50*time.Millisecond {
		e.late.Add(1)
	}
	for most := e.latest.Load(); int64(took) > most; most = e.latest.Load() {
		if e.latest.CompareAndSwap(most, int64(took)) {
			break
		}
	}
	switch {
	case err == nil && string(r.Body) == content(object, "2"):
		e.served.Add(1)
	case err == nil:
		t.Errorf("call served with the wrong body %.40q", r.Body)
	case errors.Is(err, lib.ErrRefused), errors.Is(err, lib.ErrFailed), errors.Is(err, lib.ErrUnknown),
		errors.Is(err, lib.ErrExpired), errors.Is(err, lib.ErrUnsent):
		e.others.Add(1)
	default:
		t.Errorf("call ended with an undocumented error: %v", err)
	}
}

// With closed connections, split answers and an unresponsive gateway, each call must end within its deadline (50 ms of
// tolerance), and the client must keep the retry rules.
func TestRetryRulesHoldUnderFaults(t *testing.T) {
	ctx, gateways, proxies := startPair(t)
	for _, w := range gateways {
		for _, s := range w.Stores {
			s.SetHandler(failOrDelayByID)
		}
	}
	long := 1 // factor on the 4,000 calls; LARCHUSHER_LONG=25 gives the 100,000 of docs/measurements/client.md
	if n, err := strconv.Atoi(os.Getenv("LARCHUSHER_LONG")); err == nil {
		long = n
	}
	proxies[0].InjectFaults(0.01, 0)
	proxies[1].InjectFaults(0.005, 700)
	c, err := lib.New(lib.Config{Gateways: []string{proxies[0].Addr, proxies[1].Addr}, Classes: clientClasses, Seed: 7,
		Plan: plan.Config{ProbeFirst: 50 * time.Millisecond, Spread: 200 * time.Millisecond, Silence: 200 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(500*time.Millisecond, func() { proxies[1].SetUnresponsive(true); proxies[1].ResetConnections() })
	time.AfterFunc(1200*time.Millisecond, func() { proxies[1].SetUnresponsive(false); proxies[1].ResetConnections() })
	var ends callResults
	ends.latest.Store(math.MinInt64)
	var all sync.WaitGroup
	for g := range 40 {
		all.Go(func() {
			for i := range 100 * long {
				ends.call(ctx, t, c, clientClasses[(g+i)%3].Name, fmt.Sprintf("%08x%08x", g+1, i))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	if ends.late.Load() > 0 || ends.served.Load() < 2000*int64(long) {
		t.Errorf("%d calls ended late, %d were served, %d failed; want 0 late and at least half served. Counters: %v", ends.late.Load(), ends.served.Load(), ends.others.Load(), c.Counters())
	}
	for _, b := range (faultproxy.Rules{MaxTries: 4, DedupWindows: map[string]time.Duration{"orders": 3 * time.Second}}).Check(proxies[:]...) {
		t.Error(b)
	}
	t.Logf("%d calls served, %d failed, the latest ended %v after its deadline; counters: %v", ends.served.Load(), ends.others.Load(), time.Duration(ends.latest.Load()),
		c.Counters())
	if n := c.Counters(); n["retries"] == 0 || n["deaths"] == 0 {
		t.Errorf("no retries or no gateway deaths were counted, want some of each: %v", n)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	waitForClientGoroutines(t)
}

// One gateway dies, a second one half a second later, and both come back. At least 97 % of the calls must be served,
// within their deadlines, without a peak of reconnects at the third gateway, and retries must keep the rules.
func TestTwoGatewayDeathsKeepDeadlines(t *testing.T) {
	r := runFailover(t, failover.Config{Gateways: 3, Clients: 300, Every: 500 * time.Millisecond, Store: 100 * time.Millisecond,
		Deaths: []failover.Outage{{Gateway: 0, At: time.Second, Back: 3 * time.Second}, {Gateway: 1, At: 1500 * time.Millisecond, Back: 3500 * time.Millisecond}},
		For:    5 * time.Second, Seed: 1})
	if float64(r.Served) < 0.97*float64(r.Due) || r.PeakPart > 0.2 || r.Late > 50*time.Millisecond {
		t.Errorf("%d of %d calls were served, %.2f of the connects came within one tenth of a second, the latest call ended %v after its deadline; want 97 %%, at most 0.20 and at most 50ms. Results: %v",
			r.Served, r.Due, r.PeakPart, r.Late, r.Ended)
	}
}

// When gateways reject everything, clients must make at most 10 % more tries than calls, and none before the Retry-After
// that a gateway sent has passed.
func TestClientsHonourRetryAfter(t *testing.T) {
	r := runFailover(t, failover.Config{Gateways: 2, Clients: 30, Every: 50 * time.Millisecond, Refuse: true, For: 3 * time.Second, Seed: 1})
	if r.Ended["refused"] != r.Calls || r.Calls < 1000 || float64(r.Tries) > 1.1*float64(r.Calls) || r.Early > 0 {
		t.Errorf("%d calls made %d tries, %d of them before Retry-After; want all of at least 1,000 calls rejected, at most 10 %% more tries, none early. Results: %v", r.Calls, r.Tries, r.Early, r.Ended)
	}
}

// runFailover runs a failover scenario with the planned client and reports violations of the retry rules as test errors.
func runFailover(t *testing.T, cfg failover.Config) *failover.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cfg.Program, cfg.Kind = program, clientsim.Planned
	r, err := failover.Run(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Broken {
		t.Error(b)
	}
	return r
}

// Close with open calls must end each of them with ErrClosed at once and leave no goroutine. A call whose context is
// cancelled before must return the context's error.
func TestCloseFailsOpenCalls(t *testing.T) {
	ctx, w := startTestbed(t, testbed.Config{Caches: 2, Pin: -1})
	for _, s := range w.Stores {
		s.SetHandler(func(*storeRequest) {})
	}
	c, err := lib.New(lib.Config{Gateways: []string{w.Addr}, Classes: clientClasses, Plan: plan.Config{Conns: 16}})
	if err != nil {
		t.Fatal(err)
	}
	errs := make(chan error, 500)
	for i := range 500 {
		go func() {
			_, err := c.Do(ctx, lib.Request{Class: "films", Object: fmt.Sprintf("%016x", i)})
			errs <- err
		}()
	}
	eventually(t, "500 requests were sent", func() bool { return c.Counters()["tries"] == 500 })
	cancelled, cancel := context.WithCancel(ctx)
	go func() {
		_, err := c.Do(cancelled, lib.Request{Class: "films", Object: "00000000000000ff"})
		errs <- err
	}()
	cancel()
	if err := receive(t, errs); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled call: error %v, want context.Canceled", err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	for range 500 {
		if err := receive(t, errs); !errors.Is(err, lib.ErrClosed) {
			t.Errorf("call open at Close: error %v, want ErrClosed", err)
		}
	}
	if _, err := c.Do(ctx, lib.Request{Class: "films", Object: "00000000000000ff"}); !errors.Is(err, lib.ErrClosed) {
		t.Errorf("call after Close: error %v, want ErrClosed", err)
	}
	waitForClientGoroutines(t)
}

// waitForClientGoroutines waits until no goroutine of package client is left. Goroutines of the fake servers may remain.
func waitForClientGoroutines(t *testing.T) {
	t.Helper()
	eventually(t, "no goroutine of a client is left", func() bool {
		b := make([]byte, 4<<20)
		return !strings.Contains(string(b[:runtime.Stack(b, true)]), "larchusher/client.(*")
	})
}
