// Package failover kills real gateways under real clients on loopback, and tells what the living ones saw: the client
// library, and clients as one writes them in an hour beside it, in the same world.
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

// Death is one gateway's, counted from the beginning.
type Death struct {
	Gateway int           // its place
	At      time.Duration // when it is killed,
	Back    time.Duration // and when it is started again; 0: never
}

// Config says what is played.
type Config struct {
	Program  string
	Kind     clientsim.Kind
	Gateways int           // 0: 3
	Clients  int           // 0: 1,000
	Every    time.Duration // mean time between a client's requests, 0: 1 s
	Limit    time.Duration // a request's deadline, 0: 5 s
	Deaths   []Death
	For      time.Duration
	Refuse   bool          // stores are full: gateways refuse all
	Store    time.Duration // stores take so long to answer, so that gateways hold requests
	Seed     uint64
}

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
		return fmt.Errorf("deaths: %d clients, %d gateways, every %v, limit %v, for %v", c.Clients, c.Gateways, c.Every, c.Limit, c.For)
	}
	for i, d := range c.Deaths {
		if d.Gateway < 0 || d.Gateway >= c.Gateways || d.At < 0 || d.At >= c.For || d.Back != 0 && d.Back <= d.At {
			return fmt.Errorf("deaths: Deaths[%d]: %+v", i, d)
		}
	}
	return nil
}

// Window is how finely connects and tries are counted.
const Window = 100 * time.Millisecond

// Result is what came of it.
type Result struct {
	Kind     clientsim.Kind
	Calls    int
	Ended    map[string]int // by ending
	Tries    int            // that passed to gateways
	Marked   int            // of them, marked as retries
	Due      int            // calls that came from the first death on,
	Served   int            // of those, served,
	InAim    int            // and within their class's aim
	Connects []int          // to gateways, by window
	Sent     []int          // tries, by window
	Late     time.Duration  // most by which a call ended after its deadline
	Late99   time.Duration  // 99th percentile of that; negative: before it
	Broken   []string       // rules that were not kept
	Early    int            // tries sent by a client before the time that a refusal had told it, of the same class and gateway
	PeakPart float64        // largest part of the connects of the five seconds after the first death that came in one window
	Spread   int            // windows that had any of them
	PeakLoad float64        // most tries in a window after the first death, over the mean before
}

// asker is one client.
type asker interface {
	ask(ctx context.Context, class, object string) error
	close()
}

// Run plays one kind of client.
func Run(ctx context.Context, cfg Config) (res *Result, err error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	p := &player{cfg: cfg, mix: load.Site(), res: &Result{Kind: cfg.Kind, Ended: map[string]int{}}}
	defer p.close()
	var addrs []string
	for i := range cfg.Gateways {
		addr, err := p.addGateway(ctx, i)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	p.first = time.Duration(math.MaxInt64)
	for _, d := range cfg.Deaths {
		p.first = min(p.first, d.At)
	}
	p.began = time.Now()
	var deaths, clients sync.WaitGroup
	fail := make(chan error, 2*len(cfg.Deaths)+cfg.Clients)
	for _, d := range cfg.Deaths {
		deaths.Go(func() {
			if err := p.die(ctx, d); err != nil {
				fail <- err
			}
		})
	}
	for i := range cfg.Clients {
		a, err := newAsker(cfg, i, addrs)
		if err != nil {
			return nil, err
		}
		clients.Go(func() {
			defer a.close()
			p.play(ctx, i, a)
		})
	}
	clients.Wait()
	deaths.Wait()
	close(fail)
	for e := range fail {
		return nil, e
	}
	p.sum()
	return p.res, ctx.Err()
}

// addGateway starts a gateway behind a relay, and returns where clients reach it.
func (p *player) addGateway(ctx context.Context, i int) (addr string, err error) {
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

// die kills a gateway in its time, and starts it again if it comes back.
func (p *player) die(ctx context.Context, d Death) error {
	w, r := p.gateways[d.Gateway], p.proxies[d.Gateway]
	if !p.until(ctx, d.At) {
		return nil
	}
	err := w.Kill()
	r.Down() // the platform resets what a dead process had open
	if err == nil && d.Back > 0 && p.until(ctx, d.Back) {
		err = errors.Join(w.Restart(), r.Up())
	}
	return err
}

// close ends the relays and the gateways.
func (p *player) close() {
	for _, r := range p.proxies {
		r.Close()
	}
	for _, w := range p.gateways {
		w.Stop()
	}
}

type player struct {
	cfg      Config
	mix      []load.Class
	gateways []*testbed.Gateway
	proxies  []*faultproxy.Proxy // by gateway
	began    time.Time
	first    time.Duration // when the first gateway dies; the largest: none does

	mu   sync.Mutex
	late []time.Duration
	res  *Result
}

// until waits for a time of the play.
func (p *player) until(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(time.Until(p.began.Add(at)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// play asks as often as drawn, whether or not earlier calls have ended.
func (p *player) play(ctx context.Context, n int, a asker) {
	rng := rand.New(rand.NewPCG(p.cfg.Seed+1, uint64(n)))
	var calls sync.WaitGroup
	defer calls.Wait()
	at := time.Duration(rng.Float64() * float64(p.cfg.Every))
	for k := 0; at < p.cfg.For && p.until(ctx, at); k++ {
		x, class := rng.Float64(), p.mix[0]
		for _, c := range p.mix {
			if class = c; x < c.Share {
				break
			}
			x -= c.Share
		}
		due, object := at, fmt.Sprintf("%08x%08x", n+1, k)
		calls.Go(func() { p.one(ctx, a, class, object, due) })
		at += time.Duration(rng.ExpFloat64() * float64(p.cfg.Every))
	}
}

func (p *player) one(ctx context.Context, a asker, class load.Class, object string, due time.Duration) {
	limit := min(p.cfg.Limit, class.Limit)
	call, cancel := context.WithTimeout(ctx, limit)
	began := time.Now()
	err := a.ask(call, class.Name, object)
	took := time.Since(began)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.res.Calls++
	p.res.Ended[word(err)]++
	p.late = append(p.late, took-limit)
	if due >= p.first {
		p.res.Due++
		if err == nil {
			p.res.Served++
			if took <= class.Aim {
				p.res.InAim++
			}
		}
	}
}

// word is how a call ended.
func word(err error) string {
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

// attemptKey names an attempt that passed a relay.
type attemptKey struct {
	relay, conn int
	id          uint64
}

// sum takes in what the relays saw.
func (p *player) sum() {
	r := p.res
	asked := p.count()
	for k, one := range p.proxies {
		r.Early += early(k, one, asked)
	}
	if p.cfg.Kind == clientsim.Planned {
		r.Broken = faultproxy.Rules{MaxTries: 1 + plan.DefaultRetries + 1, DedupWindows: map[string]time.Duration{"orders": 3 * time.Second}}.Check(p.proxies...)
	}
	slices.Sort(p.late)
	if len(p.late) > 0 {
		r.Late, r.Late99 = p.late[len(p.late)-1], p.late[len(p.late)*99/100]
	}
	if p.first < p.cfg.For {
		p.sumPeaks()
	}
}

// count counts connects and attempts by window, and returns the attempts.
func (p *player) count() map[attemptKey]faultproxy.Request {
	r := p.res
	n := int(p.cfg.For/Window) + 1
	r.Connects, r.Sent = make([]int, n), make([]int, n)
	add := func(to []int, at time.Time) {
		if i := int(at.Sub(p.began) / Window); i >= 0 && i < n {
			to[i]++
		}
	}
	asked := map[attemptKey]faultproxy.Request{}
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
			asked[attemptKey{k, s.Conn, s.ID}] = s
		}
	}
	return asked
}

// early is how many attempts were sent on a connection before the time that a rejection of their class had told on it.
func early(relay int, one *faultproxy.Proxy, asked map[attemptKey]faultproxy.Request) (n int) {
	type hold struct {
		conn  int
		class string
	}
	until := map[hold][]faultproxy.Rejection{}
	for _, f := range one.Rejections() {
		if s, ok := asked[attemptKey{relay, f.Conn, f.ID}]; ok {
			h := hold{f.Conn, s.Class}
			until[h] = append(until[h], f)
		}
	}
	for _, s := range one.Requests() {
		if slices.ContainsFunc(until[hold{s.Conn, s.Class}], func(f faultproxy.Rejection) bool {
			// What was sent while the rejection was on its way knew nothing of it.
			since := s.At.Sub(f.At)
			return since > 100*time.Millisecond && since < f.RetryAfter
		}) {
			n++
		}
	}
	return n
}

// sumPeaks is how much more than before came at once after the first death.
func (p *player) sumPeaks() {
	r := p.res
	k := int(p.first / Window)
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

func newAsker(cfg Config, n int, addrs []string) (asker, error) {
	if cfg.Kind != clientsim.Planned {
		if !slices.Contains(clientsim.Kinds(), cfg.Kind) {
			return nil, fmt.Errorf("deaths: no kind of client %q", cfg.Kind)
		}
		return newNaive(cfg.Kind, addrs, n), nil
	}
	c := client.Config{Gateways: addrs, Seed: cfg.Seed<<32 + uint64(n) + 1,
		Plan: plan.Config{Conns: 1, Clients: cfg.Clients / cfg.Gateways}}
	for _, k := range load.Site() {
		class := client.Class{Name: k.Name, Worth: k.Worth}
		if k.Keyed {
			class.Effect, class.Window = client.Keyed, 3*time.Second
		}
		c.Classes = append(c.Classes, class)
	}
	l, err := client.New(c)
	return &library{client: l}, err
}

// library is the client library.
type library struct{ client *client.Client }

func (l *library) ask(ctx context.Context, class, object string) error {
	_, err := l.client.Do(ctx, client.Request{Class: class, Object: object})
	return err
}

func (l *library) close() { _ = l.client.Close() }
