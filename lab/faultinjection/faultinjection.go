package faultinjection

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"larchusher/cluster"
	"larchusher/internal/net/clustertransport"
	"larchusher/lab/fakeserver"
	"larchusher/lab/loopback"
	"larchusher/lab/testbed"
	"larchusher/maintenance"
)

const (
	lease     = time.Second
	atOnce    = 3
	ramp      = 1500 * time.Millisecond
	watchFor  = 60 * time.Millisecond
	endWithin = 40 * time.Second // after the last event
	listLate  = 1200             // milliseconds by which lists of gateways disagree, at most
)

var key = []byte("an installation's key of 32 bytes")

// Verdict is what came of a plot.
type Verdict struct {
	Plot                 *Plot
	Faults               []string // broken rules; empty: none
	Asked                int      // for work
	Done                 int
	Ended                time.Duration // when the last request ended
	Client               struct{ Asked, Served, Refused, Failed, Twice, Lost, Excused int }
	Took                 map[string]time.Duration // by machine: from asking to granted, as seen from outside
	Stale, Drained, Told int                      // asks that would take what others knew to be purged, or went where others knew of a drain; purges told
	Equal                time.Duration            // after the last fault, until all knew the same
	Held                 float64                  // attempts that were withheld right before they were written
}

// machine is a stand-in with what it recorded.
type machine struct {
	name, kind, zone string
	addr             string

	mu     sync.Mutex
	store  *fakeserver.Store
	out    bool // it is being worked on
	busy   int  // answers under way
	cold   time.Time
	faults *faults
	since  int64
}

type faults struct {
	mu  sync.Mutex
	all []string
}

func (f *faults) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.all) < 20 {
		f.all = append(f.all, fmt.Sprintf(format, args...))
	}
}

// play is a running plot.
type play struct {
	plot     *Plot
	dir      string
	program  string
	began    time.Time
	faults   *faults
	machines map[string]*machine
	names    []string
	gateways []*process
	relays   map[string]*relay
	rng      *rand.Rand

	takes atomic.Int64 // nanoseconds that a store takes over an answer

	mu     sync.Mutex
	asked  map[string]time.Time
	acked  map[string]string // by machine: who took the request, and when
	seen   map[string]maintenance.Stage
	took   map[string]time.Duration
	ledger ledger
	texts  map[uint64]string // by revision, the state as somebody told it
	state  *maintenance.State
	rev    uint64
	wg     sync.WaitGroup
}

type process struct {
	name    string
	zone    string
	host    string
	link    string
	folder  string
	clock   string
	world   *testbed.World
	clients *clients
	news    chan piece
	mu      sync.Mutex
	pos     int  // of the latest thing that its journal service told
	up      bool // it runs, and is not stopped
}

func (g *process) is() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up
}

func (g *process) set(up bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.up = up
}

// settings are those of a small installation with two zones at one hub.
func settings(zone string, n, me int) json.RawMessage {
	counts := []int{0, (n + 1) / 2, n / 2}
	s := strings.NewReplacer(`"balancers":2,"position":0`, fmt.Sprintf(`"balancers":%d,"position":%d`, n, me),
		`"dcs":["north","edge-1"],"zone":"edge-1"`, fmt.Sprintf(`"dcs":["north","edge-0","edge-1"],"zone":%q`, zone),
		`"countByZone":[0,2],"homeHub":[0,0]`, fmt.Sprintf(`"countByZone":[%d,%d,%d],"homeHub":[0,0,0]`, counts[0], counts[1], counts[2]),
		`"hardLimitMs":5000`, `"hardLimitMs":1500`, `"hardLimitMs":2500`, `"hardLimitMs":1500`, `"hardLimitMs":3000`, `"hardLimitMs":1500`,
		`"weightSource":"off"`, `"weightSource":"nominal"`, `"rampTimeMs":17000`, fmt.Sprintf(`"rampTimeMs":%d`, ramp.Milliseconds()),
		`"parentColdMs":22000`, fmt.Sprintf(`"parentColdMs":%d`, ramp.Milliseconds()), `"stopSendingWithinMs":2000`, `"stopSendingWithinMs":500`,
		`"fields":["busy_reqs","x1","x0"]`, `"fields":["cpu_share","x1","x0"]`, `"peerMessages":true`, `"peerMessages":false`).Replace(testbed.Settings)
	return json.RawMessage(s)
}

func (m *machine) host(status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":10,"since_ms":%d}`, m.name, m.addr, m.zone, m.kind, status, m.since)
}

// answer serves what a machine is asked, and records what should not have come.
func (p *play) answer(m *machine, a *fakeserver.Ask) {
	m.mu.Lock()
	out, cold := m.out, time.Since(m.cold) < ramp
	m.busy++
	m.mu.Unlock()
	p.heed(m, a)
	from := a.Fields["name"]
	if out {
		p.faults.add("%v: %s is out for work, and is asked for %s", time.Since(p.began).Round(time.Millisecond), m.name, from)
	}
	if s := p.machines[a.Fields["parent"]]; s != nil {
		s.mu.Lock()
		if s.out {
			p.faults.add("%v: %s is out for work, and %s is told to fill from it", time.Since(p.began).Round(time.Millisecond), s.name, m.name)
		}
		s.mu.Unlock()
	}
	busy := "cpu_share:0.30;x1:0.2;x0:0.9"
	if cold {
		busy = "cpu_share:0.50;x1:0.2;x0:0.1"
	}
	time.AfterFunc(time.Duration(p.takes.Load()), func() {
		m.mu.Lock()
		m.busy--
		m.mu.Unlock()
		a.ServeWith("warm", busy, fakeserver.Content(from, a.Fields["piece"]))
	})
}

// tell has all journal services tell of a machine, each in its own time.
func (p *play) tell(m *machine, status string) {
	m.mu.Lock()
	host := m.host(status)
	m.mu.Unlock()
	for _, g := range p.gateways {
		g.news <- piece{at: time.Now().Add(time.Duration(p.draw(listLate)) * time.Millisecond), host: host}
	}
}

// piece is what a journal service is to tell of the list at a time.
type piece struct {
	at   time.Time
	host string
}

// journal tells a gateway's journal service what there is of the list, in order.
func (g *process) journal() {
	for n := range g.news {
		time.Sleep(time.Until(n.at))
		g.tell(func(pos int) string {
			return fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, pos, n.host)
		})
	}
}

// tell has the journal service tell something now.
func (g *process) tell(text func(pos int) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pos = max(2, g.pos+1)
	g.world.Journal.Tell(g.pos, text(g.pos))
}

func (p *play) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

// Run plays a plot with a program.
func Run(ctx context.Context, program string, plot *Plot) (*Verdict, error) {
	p, err := start(ctx, program, plot)
	if err != nil {
		return nil, err
	}
	defer p.close()
	end := p.began.Add(plot.For)
	for i, g := range p.gateways {
		p.wg.Go(func() { g.clients.run(end, i+1) })
	}
	watched := make(chan time.Duration, 1)
	go func() { watched <- p.watch(ctx, end) }()
	for _, e := range plot.Events {
		if err := wait(ctx, p.began.Add(e.At)); err != nil {
			return nil, err
		}
		if err := p.do(ctx, e); err != nil {
			return nil, fmt.Errorf("procs: at %v %s: %w", e.At, e.What, err)
		}
	}
	var missing string
	if p.ledger.shared {
		if p.ledger.equal, missing = p.alike(ctx); missing != "" {
			p.faults.add("%v after the last fault gateways do not know the same: %s", p.ledger.equal.Round(time.Millisecond), missing)
		}
	}
	ended := <-watched
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.wg.Wait()
	return p.verdict(ctx, ended), nil
}

// start starts the processes of a plot.
func start(ctx context.Context, program string, plot *Plot) (*play, error) {
	dir, err := os.MkdirTemp("", "larchusher-procs")
	if err != nil {
		return nil, fmt.Errorf("procs: %w", err)
	}
	p := &play{plot: plot, dir: dir, program: program, faults: &faults{}, machines: map[string]*machine{}, relays: map[string]*relay{},
		rng: rand.New(rand.NewPCG(plot.Seed, 99)), asked: map[string]time.Time{}, acked: map[string]string{}, seen: map[string]maintenance.Stage{}, took: map[string]time.Duration{}, texts: map[uint64]string{}}
	p.takes.Store(int64(2 * time.Millisecond))
	p.ledger.shared = slices.ContainsFunc(plot.Events, func(e Event) bool { return e.What == "share" })
	if err := p.build(ctx); err != nil {
		p.close()
		return nil, err
	}
	p.began = time.Now()
	return p, nil
}

func wait(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *play) build(ctx context.Context) error {
	// At an address of the plot's own: at 127.0.0.1 the system gives the port of a store that is down to a connection that goes out.
	host := fmt.Sprintf("127.%d.%d.200:0", 64+os.Getpid()%100, p.plot.Seed%250)
	add := func(name, kind, zone string) error {
		s, err := fakeserver.NewStore(name, kind, host)
		if err != nil {
			return err
		}
		s.Forget = true
		m := &machine{name: name, kind: kind, zone: zone, addr: s.Addr, store: s, faults: p.faults}
		s.On(func(a *fakeserver.Ask) { p.answer(m, a) })
		p.machines[name] = m
		p.names = append(p.names, name)
		return nil
	}
	for z := range 2 {
		for i := range p.plot.Boxes {
			if err := add(box(z, i), "box", "edge-"+strconv.Itoa(z)); err != nil {
				return err
			}
		}
	}
	for _, x := range [][2]string{{"p0", "parent"}, {"p1", "parent"}, {"o", "origin"}} {
		if err := add(x[0], x[1], "north"); err != nil {
			return err
		}
	}
	var hosts []string
	for _, name := range p.names {
		hosts = append(hosts, p.machines[name].host("SERVING"))
	}
	known := json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` + strings.Join(hosts, ",") + `]}}]}`)
	for i := range p.plot.Gateways {
		host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%100, p.plot.Seed%250, i+1)
		link, err := testbed.FreeAt(host)
		if err != nil {
			return err
		}
		name := gateway(i)
		p.gateways = append(p.gateways, &process{name: name, host: host, zone: "edge-" + strconv.Itoa(i%2), link: link, folder: filepath.Join(p.dir, name), clock: filepath.Join(p.dir, name+".clock")})
	}
	for _, a := range p.gateways {
		for _, b := range p.gateways {
			if a != b {
				r, err := newRelay(b.link, p.plot.Seed)
				if err != nil {
					return err
				}
				p.relays[a.name+">"+b.name] = r
			}
		}
	}
	var all sync.WaitGroup
	errs := make([]error, len(p.gateways))
	for i, g := range p.gateways {
		all.Go(func() { errs[i] = p.launch(ctx, i, g, known) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// operator is the operator's file of a gateway.
func (p *play) operator(g *process) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet {\n  name: %q listen: %q key_env: \"FLEET_KEY\" folder: %q\n", g.name, g.link, g.folder)
	for _, m := range p.gateways {
		addr := m.link
		if m != g {
			addr = p.relays[g.name+">"+m.name].addr
		}
		fmt.Fprintf(&b, "  member { name: %q address: %q }\n", m.name, addr)
	}
	if p.ledger.shared && !p.former(g) {
		b.WriteString("  replicate {}\n")
	}
	fmt.Fprintf(&b, "  work { lease: %q at_once: %d }\n}\n", lease, atOnce)
	return b.String()
}

// former says that a gateway is of the former version.
func (p *play) former(g *process) bool {
	return p.plot.Former != "" && slices.Index(p.gateways, g)%2 == 1
}

func (p *play) launch(ctx context.Context, i int, g *process, known json.RawMessage) (err error) {
	path := filepath.Join(p.dir, g.name+".textproto")
	if err := os.WriteFile(path, []byte(p.operator(g)), 0o600); err != nil {
		return err
	}
	program := p.program
	if p.former(g) {
		program = p.plot.Former
	}
	g.world, err = testbed.StartIn(ctx, testbed.Config{Program: program, Pin: -1, Seed: fmt.Sprintf("%016x", p.plot.Seed<<8+uint64(i)+1), Replay: true, Host: g.host,
		Args: []string{"serve", "--operator", path},
		Env:  []string{"FLEET_KEY=" + hex.EncodeToString(key), "LARCHUSHER_LAB_CLOCK=" + g.clock, "GOMAXPROCS=2"}}, settings(g.zone, len(p.gateways), i), known)
	if err != nil {
		return err
	}
	g.up = true
	g.news = make(chan piece, 256)
	go g.journal()
	g.clients = &clients{addr: g.world.Addr, every: 12 * time.Millisecond, class: "images"}
	return nil
}

// do carries out an event.
func (p *play) do(ctx context.Context, e Event) error {
	find := func(name string) *process {
		i := slices.IndexFunc(p.gateways, func(g *process) bool { return g.name == name })
		return p.gateways[max(0, i)]
	}
	switch e.What {
	case "ask":
		p.ask(ctx, e.Args[0], find(e.Args[1]))
	case "kill":
		g := find(e.Args[0])
		g.clients.excuse(true)
		g.set(false)
		p.forgotten(g, time.Now().Add(time.Hour))
		if err := g.world.Kill(); err != nil {
			return err
		}
		if e.Args[1] == "lose" {
			return os.RemoveAll(g.folder)
		}
	case "start":
		g := find(e.Args[0])
		if err := g.world.Again(); err != nil {
			return err
		}
		p.wg.Go(func() {
			if _, err := g.world.Logged(ctx, "msg=serving"); err != nil {
				p.faults.add("%s does not start again: %v", g.name, err)
			}
			p.forgotten(g, time.Now().Add(500*time.Millisecond))
			g.clients.excuse(false)
			g.set(true)
		})
	case "roll":
		g := find(e.Args[0])
		g.clients.rest(true) // as those do that are told of a drain
		g.set(false)
		if err := g.world.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		p.wg.Go(func() {
			if err := g.world.Ended(ctx); err != nil {
				p.faults.add("%s does not end by SIGTERM: %v", g.name, err)
				return
			}
			g.clients.rest(false)
			if err := g.world.Again(); err != nil {
				p.faults.add("%s: %v", g.name, err)
				return
			}
			if _, err := g.world.Logged(ctx, "msg=serving"); err != nil {
				p.faults.add("%s does not start again: %v", g.name, err)
			}
			g.set(true)
		})
	case "stop":
		g := find(e.Args[0])
		g.clients.excuse(true)
		g.set(false)
		return g.world.Signal(syscall.SIGSTOP)
	case "cont":
		g := find(e.Args[0])
		if err := g.world.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		p.forgotten(g, time.Now().Add(time.Second)) // what came meanwhile it hears now
		p.wg.Go(func() {
			time.Sleep(300 * time.Millisecond)
			g.clients.excuse(false)
			g.set(true)
		})
	case "cut":
		for _, pair := range e.Args {
			if r := p.relays[pair]; r != nil {
				r.set(func(r *relay) { r.cut = true })
			}
		}
	case "heal":
		for _, r := range p.relays {
			r.set(func(r *relay) { r.cut, r.lose, r.double, r.delay, r.breaks, r.rate = false, 0, 0, 0, false, 0 })
		}
	case "bad":
		lose, err1 := strconv.ParseFloat(e.Args[0], 64)
		double, err2 := strconv.ParseFloat(e.Args[1], 64)
		delay, err3 := time.ParseDuration(e.Args[2])
		for _, r := range p.relays {
			r.set(func(r *relay) { r.lose, r.double, r.delay, r.breaks = lose, double, delay, e.Args[3] == "cut" })
		}
		return errors.Join(err1, err2, err3)
	case "slow":
		n, err := strconv.Atoi(e.Args[0])
		for _, r := range p.relays {
			r.set(func(r *relay) { r.rate = n })
		}
		return err
	case "slowly":
		d, err := time.ParseDuration(e.Args[0])
		p.takes.Store(int64(d))
		return err
	case "clock":
		return os.WriteFile(find(e.Args[0]).clock, []byte(e.Args[1]), 0o600)
	case "crash":
		m := p.machines[e.Args[0]]
		m.store.Close()
		p.tell(m, "DELETED")
	case "revive":
		return p.revive(p.machines[e.Args[0]])
	case "purge":
		return p.purge(e.Args)
	case "drain":
		return p.drain(e.Args)
	case "forge":
		forge(find(e.Args[0]).link)
	}
	return nil
}

// forge says to a gateway's link what nobody with the key would.
func forge(addr string) {
	for _, what := range [][]byte{make([]byte, 100), []byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff}, append([]byte{0, 0, 0, 40}, make([]byte, 72)...)} {
		c, err := loopback.DialTimeout(addr, time.Second)
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Read(make([]byte, 64))
		_, _ = c.Write(what)
		_, _ = c.Read(make([]byte, 64))
		loopback.Close(c)
	}
}

// revive has a machine start anew, cold, where it stood.
func (p *play) revive(m *machine) error {
	m.store.Close()
	s, err := fakeserver.NewStore(m.name, m.kind, m.addr)
	for tries := 0; err != nil && tries < 50; tries++ {
		// A process that is being started, of this plot or of another, holds the old listener until it is itself.
		time.Sleep(20 * time.Millisecond)
		s, err = fakeserver.NewStore(m.name, m.kind, m.addr)
	}
	if err != nil {
		return err
	}
	s.Forget = true
	s.On(func(a *fakeserver.Ask) { p.answer(m, a) })
	m.mu.Lock()
	m.store, m.out, m.cold, m.since = s, false, time.Now(), time.Now().UnixMilli()
	m.mu.Unlock()
	p.tell(m, "SERVING")
	return nil
}

// ask asks for work on a machine, at one gateway and then at others until one takes it.
func (p *play) ask(ctx context.Context, name string, first *process) {
	m := p.machines[name]
	if m == nil {
		return
	}
	p.mu.Lock()
	_, again := p.asked[name]
	if !again {
		p.asked[name] = time.Now()
	}
	p.mu.Unlock()
	if again {
		return
	}
	p.wg.Go(func() {
		value, _ := json.Marshal(maintenance.Command{Actor: "plot", Request: &maintenance.RequestOrder{Key: "plot-" + name, Machine: name, DurationMs: 3000}})
		for try := 0; ctx.Err() == nil && try < 200; try++ {
			g := first
			if try > 0 {
				g = p.gateways[p.draw(len(p.gateways))]
			}
			reply, err := p.order(ctx, g, cluster.Message{Value: value})
			if err == nil && reply.Rejected == "" {
				var r maintenance.Reply
				if json.Unmarshal(reply.Value, &r) == nil && r.Rejected == "" {
					p.mu.Lock()
					defer p.mu.Unlock()
					p.acked[name] = fmt.Sprintf("%s took it as work %d at revision %d, at try %d after %v", g.name, r.ID, reply.Revision, try, time.Since(p.began).Round(time.Millisecond))
					return
				}
				// A gateway that has just started, or whose list is late, may not know the machine.
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.faults.add("nobody takes the request for %s", name)
	})
}

func (p *play) order(ctx context.Context, g *process, m cluster.Message) (cluster.Message, error) {
	if !g.is() {
		return cluster.Message{}, errors.New("it is down")
	}
	one, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	t, err := clustertransport.DialTool(one, g.name, g.link, key)
	if err != nil {
		return cluster.Message{}, err
	}
	defer loopback.Close(t)
	return t.Request(one, m)
}

// watch looks at what is agreed on, and works on machines that are called out. It returns when all that was asked has ended, or it
// is too late for that.
func (p *play) watch(ctx context.Context, end time.Time) time.Duration {
	for ctx.Err() == nil {
		time.Sleep(watchFor)
		g := p.gateways[p.draw(len(p.gateways))]
		m, err := p.order(ctx, g, cluster.Message{Query: "state"})
		if err == nil && m.Rejected == "" {
			p.look(g, m)
		}
		p.mu.Lock()
		done := p.state != nil && (len(p.asked) > 0 || len(p.ledger.purges) > 0)
		for name := range p.asked {
			done = done && p.seen[name].Ended()
		}
		p.mu.Unlock()
		if now := time.Now(); now.After(end) && done {
			return now.Sub(p.began)
		} else if now.After(end.Add(endWithin)) {
			p.mu.Lock()
			p.faults.add("the plan does not end: %s", p.texts[p.rev])
			for name, how := range p.acked {
				if p.seen[name] == "" {
					p.faults.add("the request for %s is in no state, though %s", name, how)
				}
			}
			p.mu.Unlock()
			return now.Sub(p.began)
		}
	}
	return 0
}

// look holds what one gateway told against what others did, and against the bounds.
func (p *play) look(g *process, m cluster.Message) {
	s, err := maintenance.Decode(m.Value)
	if err != nil {
		p.faults.add("%s tells a state that can't be read: %v", g.name, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if was, ok := p.texts[m.Revision]; ok && was != string(m.Value) {
		p.faults.add("revision %d is two things:\n%s\n%s", m.Revision, was, m.Value)
	}
	p.texts[m.Revision] = string(m.Value)
	if m.Revision < p.rev {
		p.faults.add("%s tells revision %d after %d was told", g.name, m.Revision, p.rev)
		return
	}
	p.rev, p.state = m.Revision, s
	away, parents, zones := 0, 0, map[string]int{}
	for _, r := range s.Requests {
		if was := p.seen[r.Machine]; was != r.Stage {
			p.seen[r.Machine] = r.Stage
			if _, ok := p.took[r.Machine]; !ok && r.Stage != maintenance.Requested && r.Stage != maintenance.Withdrawn {
				p.took[r.Machine] = time.Since(p.asked[r.Machine])
			}
			if r.Stage == maintenance.OutOfService {
				p.begin(p.machines[r.Machine])
			}
		}
		if r.Stage == maintenance.Requested || r.Stage.Ended() {
			continue
		}
		away++
		zones[r.Kind+" "+r.Zone]++
		if r.Kind == maintenance.KindParent {
			parents++
		}
	}
	if away > atOnce || parents > 1 {
		p.faults.add("%d machines are away at once, %d of them upper caches", away, parents)
	}
	for z, n := range zones {
		if strings.HasPrefix(z, "box") && n > max(1, int(0.34*float64(p.plot.Boxes))) {
			p.faults.add("%d of %d are away in %s", n, p.plot.Boxes, z)
		}
	}
}

// begin works on a machine that was called out: whoever sends to it from now on is wrong.
func (p *play) begin(m *machine) {
	m.mu.Lock()
	m.out = true
	if m.busy > 0 && !slices.ContainsFunc(p.plot.Events, func(e Event) bool { return e.What == "kill" || e.What == "stop" }) {
		// What a gateway that is gone had sent may still be there.
		p.faults.add("%s is called out with %d answers under way", m.name, m.busy)
	}
	m.mu.Unlock()
	long := time.Duration(300+p.rng.IntN(700)) * time.Millisecond // the lock is held
	p.wg.Go(func() {
		time.Sleep(long)
		if err := p.revive(m); err != nil {
			p.faults.add("%s does not come back: %v", m.name, err)
		}
	})
}

// verdict sums up.
func (p *play) verdict(ctx context.Context, ended time.Duration) *Verdict {
	v := &Verdict{Plot: p.plot, Ended: ended, Took: p.took, Asked: len(p.asked), Stale: p.ledger.stale, Drained: p.ledger.drained, Equal: p.ledger.equal, Told: len(p.ledger.purges)}
	for _, s := range p.seen {
		if s == maintenance.Completed {
			v.Done++
		}
	}
	for _, g := range p.gateways {
		c := g.clients
		v.Client.Asked += c.Asked
		v.Client.Served += c.Served
		v.Client.Refused += c.Refused
		v.Client.Failed += c.Failed
		v.Client.Twice += c.Twice
		v.Client.Lost += c.Lost
		v.Client.Excused += c.Excused
		if c.Twice > 0 || c.Lost > 0 {
			p.faults.add("%s: %d requests were answered twice, %d never", g.name, c.Twice, c.Lost)
		}
		if all, err := g.world.Counters(ctx); err != nil {
			p.faults.add("%s: %v", g.name, err)
		} else {
			v.Held += all["held_out"]
			if all["panics"] > 0 {
				p.faults.add("%s: %v panics", g.name, all["panics"])
			}
		}
	}
	// In the end all tell the same: what still changes between two looks is looked at again.
	told := map[string]bool{}
	for range 30 {
		clear(told)
		for _, g := range p.gateways {
			for range 20 {
				m, err := p.order(ctx, g, cluster.Message{Query: "state"})
				if err == nil && m.Rejected == "" {
					told[string(m.Value)] = true
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		if len(told) == 1 || ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(told) > 1 {
		p.faults.add("in the end gateways tell %d different states", len(told))
	}
	if len(told) == 0 {
		p.faults.add("in the end nobody tells the state")
	}
	v.Faults = p.faults.all
	return v
}

func (p *play) close() {
	p.wg.Wait()
	for _, g := range p.gateways {
		if g.news != nil {
			close(g.news)
		}
		if g.world != nil {
			g.world.Stop()
		}
	}
	for _, r := range p.relays {
		r.close()
	}
	for _, m := range p.machines {
		m.store.Close()
	}
	_ = os.RemoveAll(p.dir)
}
