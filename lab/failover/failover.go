// Package failover kills and restarts real gateway processes while real clients send requests over loopback, and reports
// what the clients got and what reached the surviving gateways. It compares the client library with naive clients under
// the same conditions.
package failover

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"larchusher/client"
	"larchusher/client/plan"
	"larchusher/lab/clientsim"
	"larchusher/lab/fakeserver"
	"larchusher/lab/faultproxy"
	"larchusher/lab/load"
	"larchusher/lab/testbed"
)

// Outage is one gateway's outage. Times count from the start of the run.
type Outage struct {
	Gateway int           // index, from 0
	At      time.Duration // when its process is killed
	Back    time.Duration // when it is started again, 0 for never
}

// Config configures a run. Zero values take the defaults given.
type Config struct {
	Program  string         // path of the gateway's binary
	Kind     clientsim.Kind // kind of clients
	Gateways int            // 3 if 0
	Clients  int            // 1,000 if 0
	Every    time.Duration  // mean time between a client's requests, 1 s if 0
	Limit    time.Duration  // a request's deadline, 5 s if 0; a shorter limit of its class applies
	Deaths   []Outage       // gateways that are killed
	For      time.Duration  // clients send requests for this long
	Refuse   bool           // fake servers answer that they are full, so that gateways reject all requests
	Store    time.Duration  // time that fake servers take to answer, so that requests are in flight at gateways
	Seed     uint64
}

// check sets defaults and returns an error that names an invalid value.
func (c *Config) check() error {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.Gateways, 3)
	def(&c.Clients, 1000)
	if c.Every == 0 {
		c.Every = time.Second
	}
	if c.Limit == 0 {
		c.Limit = 5 * time.Second
	}
	if c.Clients < 0 || c.Gateways < 2 || c.Every < 0 || c.Limit < 0 || c.For <= 0 {
		return fmt.Errorf("deaths: %d clients, %d gateways (want at least 2), every %v, limit %v, for %v (want all over 0)", c.Clients, c.Gateways, c.Every, c.Limit, c.For)
	}
	for i, d := range c.Deaths {
		if d.Gateway < 0 || d.Gateway >= c.Gateways || d.At < 0 || d.At >= c.For || d.Back != 0 && d.Back <= d.At {
			return fmt.Errorf("deaths: Deaths[%d]: %+v, want a gateway of the run, At before For, and Back 0 or after At", i, d)
		}
	}
	return nil
}

// Window is the interval by which connection attempts and request attempts are counted.
const Window = 100 * time.Millisecond

// Result holds the figures of a run.
type Result struct {
	Kind     clientsim.Kind
	Calls    int            // requests made by clients, retries not counted
	Ended    map[string]int // number of calls by ending
	Tries    int            // attempts that reached the proxies in front of gateways
	Marked   int            // attempts that carried the retry flag
	Due      int            // calls due when the first outage began or later
	Served   int            // calls of Due that were served
	InAim    int            // calls of Due that were served within the class's latency objective
	Connects []int          // connections opened to gateways, by window
	Sent     []int          // attempts, by window
	Late     time.Duration  // longest time by which a call ended after its deadline
	Late99   time.Duration  // 99th percentile of that time; negative if the call ended before its deadline
	Broken   []string       // violated rules of faultproxy.Rules; checked for the client library only
	Early    int            // attempts sent before the Retry-After time of a rejection, on the same connection and of the same class
	PeakPart float64        // largest share, in one window, of the connections opened in the five seconds after the first outage began
	Spread   int            // number of those windows with at least one connection
	PeakLoad float64        // most attempts in a window after the first outage began, relative to the mean before
}

// testClient is a client of the gateways. dispatch may be called from several goroutines and returns nil if the request was
// served before ctx ended.
type testClient interface {
	dispatch(ctx context.Context, class, object string) error
	close()
}

// Run starts the gateways, runs cfg.Clients clients of one kind against them, kills and restarts gateways as configured and
// returns the figures. It returns an error if cfg is invalid, a gateway can't be started, killed or restarted, or ctx ends.
func Run(ctx context.Context, cfg Config) (res *Result, err error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	p := &experiment{cfg: cfg, mix: load.DeploymentMix(), res: &Result{Kind: cfg.Kind, Ended: map[string]int{}}}
	defer p.close()
	var addrs []string
	for i := range cfg.Gateways {
		addr, err := p.addGateway(ctx, i)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	p.firstOutage = time.Duration(math.MaxInt64)
	for _, d := range cfg.Deaths {
		p.firstOutage = min(p.firstOutage, d.At)
	}
	p.start = time.Now()
	var outages, clients sync.WaitGroup
	errs := make(chan error, 2*len(cfg.Deaths)+cfg.Clients)
	for _, d := range cfg.Deaths {
		outages.Go(func() {
			if err := p.runOutage(ctx, d); err != nil {
				errs <- err
			}
		})
	}
	for i := range cfg.Clients {
		a, err := newTestClient(cfg, i, addrs)
		if err != nil {
			return nil, err
		}
		clients.Go(func() {
			defer a.close()
			p.runClient(ctx, i, a)
		})
	}
	clients.Wait()
	outages.Wait()
	close(errs)
	for e := range errs {
		return nil, e
	}
	p.summarize()
	return p.res, ctx.Err()
}

// addGateway starts a gateway behind a fault proxy and returns the address of the proxy, which clients use.
func (p *experiment) addGateway(ctx context.Context, i int) (addr string, err error) {
	w, err := testbed.Start(ctx, testbed.Config{Program: p.cfg.Program, Caches: 2, Pin: -1, Sockets: 4096, Seed: fmt.Sprintf("%016x", i+1)})
	if err != nil {
		return "", err
	}
	p.gateways = append(p.gateways, w)
	for _, s := range w.Stores {
		switch {
		case p.cfg.Refuse:
			s.SetHandler(func(a *fakeserver.Request) { a.Reply("WAIT", "-", "") })
		case p.cfg.Store > 0:
			s.SetHandler(func(a *fakeserver.Request) { time.AfterFunc(p.cfg.Store, func() { fakeserver.ServeHit(a) }) })
		}
	}
	r, err := faultproxy.New(w.Addr, uint64(i))
	if err != nil {
		return "", err
	}
	p.proxies = append(p.proxies, r)
	return r.Addr, nil
}

// runOutage kills a gateway at its time and restarts it if the outage has an end. It returns nil if ctx ends first.
func (p *experiment) runOutage(ctx context.Context, d Outage) error {
	w, r := p.gateways[d.Gateway], p.proxies[d.Gateway]
	if !p.waitUntil(ctx, d.At) {
		return nil
	}
	err := w.Kill()
	r.Down() // the platform resets the connections of a dead process
	if err == nil && d.Back > 0 && p.waitUntil(ctx, d.Back) {
		err = errors.Join(w.Restart(), r.Up())
	}
	return err
}

// close stops the proxies and the gateways.
func (p *experiment) close() {
	for _, r := range p.proxies {
		r.Close()
	}
	for _, w := range p.gateways {
		w.Stop()
	}
}

// experiment is the state of a run. The mutex guards the fields below it.
type experiment struct {
	cfg         Config
	mix         []load.Class
	gateways    []*testbed.Gateway
	proxies     []*faultproxy.Proxy // one for each gateway
	start       time.Time
	firstOutage time.Duration // start of the first outage, since start; math.MaxInt64 if there is none

	mu       sync.Mutex
	overruns []time.Duration // time by which each call ended after its deadline, negative if before
	res      *Result
}

// waitUntil waits until a time since the start of the run. It returns false if ctx ends first.
func (p *experiment) waitUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(time.Until(p.start.Add(at)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runClient sends the requests of client n at random intervals, whether or not earlier calls have ended, and returns when
// all have ended.
func (p *experiment) runClient(ctx context.Context, n int, a testClient) {
	rng := rand.New(rand.NewPCG(p.cfg.Seed+1, uint64(n)))
	var calls sync.WaitGroup
	defer calls.Wait()
	at := time.Duration(rng.Float64() * float64(p.cfg.Every))
	for k := 0; at < p.cfg.For && p.waitUntil(ctx, at); k++ {
		x, class := rng.Float64(), p.mix[0]
		for _, c := range p.mix {
			if class = c; x < c.Share {
				break
			}
			x -= c.Share
		}
		due, object := at, fmt.Sprintf("%08x%08x", n+1, k)
		calls.Go(func() { p.runCall(ctx, a, class, object, due) })
		at += time.Duration(rng.ExpFloat64() * float64(p.cfg.Every))
	}
}

// runCall makes one call that was due at a time since the start of the run, and records how it ended.
func (p *experiment) runCall(ctx context.Context, a testClient, class load.Class, object string, due time.Duration) {
	limit := min(p.cfg.Limit, class.Limit)
	call, cancel := context.WithTimeout(ctx, limit)
	start := time.Now()
	err := a.dispatch(call, class.Name, object)
	took := time.Since(start)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.res.Calls++
	p.res.Ended[outcomeName(err)]++
	p.overruns = append(p.overruns, took-limit)
	if due >= p.firstOutage {
		p.res.Due++
		if err == nil {
			p.res.Served++
			if took <= class.Aim {
				p.res.InAim++
			}
		}
	}
}

// outcomeName returns the name of a call's ending, as a key of Result.Ended.
func outcomeName(err error) string {
	for _, e := range []error{client.ErrRefused, client.ErrFailed, client.ErrUnknown, client.ErrExpired, client.ErrUnsent, client.ErrClosed} {
		if errors.Is(err, e) {
			return strings.SplitN(strings.TrimPrefix(e.Error(), "client: "), ":", 2)[0]
		}
	}
	if err != nil {
		return "expired"
	}
	return "served"
}

// attemptKey identifies an attempt by proxy, connection and request id.
type attemptKey struct {
	proxy, conn int
	id          uint64
}

// summarize adds what the proxies recorded to the result. It is called after all clients have ended.
func (p *experiment) summarize() {
	r := p.res
	attempts := p.count()
	for k, one := range p.proxies {
		r.Early += countEarly(k, one, attempts)
	}
	if p.cfg.Kind == clientsim.Planned {
		r.Broken = faultproxy.Rules{MaxTries: 1 + plan.DefaultRetries + 1, DedupWindows: map[string]time.Duration{"orders": 3 * time.Second}}.Check(p.proxies...)
	}
	slices.Sort(p.overruns)
	if len(p.overruns) > 0 {
		r.Late, r.Late99 = p.overruns[len(p.overruns)-1], p.overruns[len(p.overruns)*99/100]
	}
	if p.firstOutage < p.cfg.For {
		p.summarizePeaks()
	}
}

// count counts opened connections and attempts by window and returns the attempts.
func (p *experiment) count() map[attemptKey]faultproxy.Request {
	r := p.res
	n := int(p.cfg.For/Window) + 1
	r.Connects, r.Sent = make([]int, n), make([]int, n)
	add := func(to []int, at time.Time) {
		if i := int(at.Sub(p.start) / Window); i >= 0 && i < n {
			to[i]++
		}
	}
	attempts := map[attemptKey]faultproxy.Request{}
	for k, one := range p.proxies {
		for _, at := range one.ConnectTimes() {
			add(r.Connects, at)
		}
		for _, s := range one.Requests() {
			r.Tries++
			if s.Retry {
				r.Marked++
			}
			add(r.Sent, s.At)
			attempts[attemptKey{k, s.Conn, s.ID}] = s
		}
	}
	return attempts
}

// countEarly returns the number of attempts that were sent on a connection before the Retry-After time of an earlier
// rejection of the same class on that connection.
func countEarly(index int, proxy *faultproxy.Proxy, attempts map[attemptKey]faultproxy.Request) (n int) {
	type connClass struct {
		conn  int
		class string
	}
	rejections := map[connClass][]faultproxy.Rejection{}
	for _, f := range proxy.Rejections() {
		if s, ok := attempts[attemptKey{index, f.Conn, f.ID}]; ok {
			h := connClass{f.Conn, s.Class}
			rejections[h] = append(rejections[h], f)
		}
	}
	for _, s := range proxy.Requests() {
		if slices.ContainsFunc(rejections[connClass{s.Conn, s.Class}], func(f faultproxy.Rejection) bool {
			// An attempt within 100 ms may have been sent before the client received the rejection.
			since := s.At.Sub(f.At)
			return since > 100*time.Millisecond && since < f.RetryAfter
		}) {
			n++
		}
	}
	return n
}

// summarizePeaks compares the load and the connections after the start of the first outage with those before.
func (p *experiment) summarizePeaks() {
	r := p.res
	k := int(p.firstOutage / Window)
	mean, connects := 0.0, 0
	for _, m := range r.Sent[k/2 : k] {
		mean += float64(m) / float64(max(1, k-k/2))
	}
	for _, m := range r.Sent[k:] {
		r.PeakLoad = max(r.PeakLoad, float64(m)/max(1, mean))
	}
	most := 0
	for _, m := range r.Connects[k:min(len(r.Connects), k+int(5*time.Second/Window))] {
		connects, most = connects+m, max(most, m)
		if m > 0 {
			r.Spread++
		}
	}
	if connects > 0 {
		r.PeakPart = float64(most) / float64(connects)
	}
}

// newTestClient returns client n of the configured kind. The error names an unknown kind or is that of client.New.
func newTestClient(cfg Config, n int, addrs []string) (testClient, error) {
	if cfg.Kind != clientsim.Planned {
		if !slices.Contains(clientsim.Kinds(), cfg.Kind) {
			return nil, fmt.Errorf("deaths: unknown kind of client %q", cfg.Kind)
		}
		return newNaive(cfg.Kind, addrs, n), nil
	}
	c := client.Config{Gateways: addrs, Seed: cfg.Seed<<32 + uint64(n) + 1,
		Plan: plan.Config{Conns: 1, Clients: cfg.Clients / cfg.Gateways}}
	for _, k := range load.DeploymentMix() {
		class := client.Class{Name: k.Name, Worth: k.Worth}
		if k.Keyed {
			class.Effect, class.Window = client.Keyed, 3*time.Second
		}
		c.Classes = append(c.Classes, class)
	}
	l, err := client.New(c)
	return &libraryClient{client: l}, err
}

// libraryClient is a testClient that uses the client library.
type libraryClient struct{ client *client.Client }

func (l *libraryClient) dispatch(ctx context.Context, class, object string) error {
	_, err := l.client.Do(ctx, client.Request{Class: class, Object: object})
	return err
}

func (l *libraryClient) close() { _ = l.client.Close() }
