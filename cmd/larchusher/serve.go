package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/config"
	"larchusher/internal/fleethost"
	"larchusher/internal/handover"
	"larchusher/internal/metrics"
	"larchusher/internal/net/agentcheck"
	"larchusher/internal/net/journal"
	"larchusher/internal/net/msgpackrpc"
	"larchusher/internal/net/peers"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/signedfront"
	"larchusher/internal/net/transport"
	"larchusher/internal/snapshot"
	"larchusher/knowledge"
)

const (
	graceAfterTerm = 700 * time.Millisecond // clients go on coming for up to 0.6 s
	leastDeadline  = 3 * time.Second        // a kill comes no sooner than the longest deadline, or this, and
	lastAnswers    = 500 * time.Millisecond // 0.7 s after SIGTERM
	flushFor       = 150 * time.Millisecond
	lastWord       = time.Second           // for the fleet to take in that this gateway has left
	lastSnapshot   = 30 * time.Millisecond // for a snapshot that is being written, after all answers
)

// sink joins the gateway and its stores for the journal.
type sink struct {
	*gateway.Gateway
	*resp.Pool
}

// program is the running whole.
type program struct {
	log    logrus.FieldLogger
	loop   *gateway.Loop
	engine *transport.Engine
	gw     *gateway.Gateway
	pool   *resp.Pool
	front  *msgpackrpc.Front
	feed   *journal.Client
	link   *peers.Link
	signed *signedfront.Front // nil: off
	keeper *snapshot.Keeper   // nil: what is learned is not kept
	fleet  *fleethost.Host    // nil: this gateway is alone
	left   func()             // to be called once all is answered; nil: nobody waits for that
	accept []*transport.Listener
	book   *journal.Book

	process   *handover.Process   // nil: no other process of this gateway can take over
	since     string              // fingerprint of the journal's events at the start
	clients   *transport.Listener // of the platform's front
	closeRest func()              // closes sockets of a former process that nobody listens on any more; nil: there are none

	signedAt *transport.Listener // where the signed front listens
	retired  bool                // a reload has ended that front

	cfg     *config.Gateway     // as taken in at the start
	op      *config.Operator    // likewise
	file    string              // of the operator; empty: none
	console *transport.Listener // nil: operators have no address
	serving bool                // clients are accepted

	reloads    int
	badReloads int // files that were at fault
	draining   bool
}

// serve is the sub-command of that name.
type serve struct{ operatorFile }

// Run serves until SIGTERM.
func (s *serve) Run(log *logrus.Logger) error {
	// Before anything else. Guards against a signal that comes during the start: SIGUSR1 was lost, and SIGTERM and SIGHUP
	// would have ended the program at once. What is to end it has a channel of its own: others can't take its place.
	signals, end := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)

	op, err := config.LoadOperator(s.Operator, os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	// Two, so that a poller waiting in the kernel never holds up the loop's timers; what they may use of the
	// core is the platform's to say.
	runtime.GOMAXPROCS(max(2, int(cfg.Limits.Cores)))
	// Garbage is let grow where there is memory for it: collecting took a fifth of the time at full load.
	debug.SetGCPercent(min(400, max(100, 2*cfg.Limits.MemoryMB)))

	p := &program{log: log.WithField("gateway", cfg.Name), loop: gateway.NewLoop(), cfg: cfg, op: op, file: s.Operator}
	for _, n := range cfg.Notes {
		p.log.Warn(n)
	}
	p.setMemory(1)
	p.since = fingerprint(cfg.Known)
	if p.engine, err = transport.New(p.log, cfg.Limits.MemoryMB<<20/4); err != nil {
		return err
	}
	if err := p.joinHandover(); err != nil {
		return err
	}
	if p.process != nil {
		defer p.process.Close()
	}
	known, learned := p.takeState()
	share := p.shares()
	p.pool = resp.New(resp.Config{Streams: cfg.Sockets.StreamsPerConn, ConnectTimeout: cfg.Sockets.ConnectTimeout,
		KeepAlive: cfg.Sockets.KeepAlive, Conns: share.Stores, LoadFields: cfg.Settings.LoadFields,
		Answers: int64(cfg.Limits.MemoryMB) << 20 / 8, Whole: p.longest()}, p.loop, p.engine, p.log)
	gc := gateway.Config{Loop: p.loop, Settings: cfg.Settings, Seed: cfg.Seed, Backend: p.pool, Log: p.log,
		ToldKB: cfg.ToldKB, MaxOpen: cfg.Sockets.MostHeld, MaxBytes: cfg.Limits.MemoryMB << 20 / 6,
		Overload: op.Overload, Echo: p.engine.Echo}
	if gc.Overload.Memory == 0 {
		gc.Overload.Memory = int64(cfg.Limits.MemoryMB) << 20 / 5 // and a quarter of that
	}
	if gc.Tiers, err = op.TiersOf(cfg.Settings.Zone, cfg.Settings.Zones); err != nil {
		return fmt.Errorf("operator's file %s: %w", s.Operator, err)
	}
	if cfg.PeerListen != "" && cfg.Settings.PeerMessages {
		if p.link, err = peers.Open(cfg.PeerListen, cfg.Peers, cfg.PeersAll, p.log); err != nil {
			return err
		}
		gc.Peers = p.link
	}
	if op.Fleet != nil { // nothing is sent before it is known what is out for work
		gc.Permit = func(store string) bool { return p.fleet != nil && p.fleet.Permit(store) }
	}
	if p.gw, err = gateway.New(gc); err != nil {
		return err
	}
	p.pool.Gateway = p.gw
	if err := p.openConsole(); err != nil {
		return err
	}
	p.book = &journal.Book{Sink: sink{p.gw, p.pool}, Clock: p.gw.Clock}
	if err := p.book.Start(time.Now(), known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if op.State != nil {
		p.remember()
	}
	p.loop.Post(func() { p.followHandover(learned) }) // before anything that clients ask for
	p.feed = journal.Follow(p.loop, p.engine, p.log, cfg.Journal, p.book, known.Pos)
	cfg.Known = journal.Known{} // all of it has been taken in
	if op.Fleet != nil {
		if p.fleet, err = fleethost.Start(op.Fleet, cfg.Settings, p.gw, p.loop, p.engine, p.log); err != nil {
			return fmt.Errorf("operator's file %s: %w", s.Operator, err)
		}
		defer p.fleet.Close()
		p.fleet.Leave = func(left func()) { p.left = left; p.drain() }
	}
	if p.link != nil {
		go p.link.Read(p.loop, p.gw.Heard)
	}
	p.front = msgpackrpc.New(p.loop, p.gw, classNames(cfg.Settings.Classes), share.Clients, p.log)
	l, err := p.engine.Listen(cfg.Listen, share.Clients, p.front.MakeRoom, p.front.Accept)
	if err != nil {
		return err
	}
	p.accept, p.clients = append(p.accept, l), l
	if err := p.others(); err != nil {
		return err
	}
	if p.closeRest != nil {
		p.closeRest()
	}
	p.log.WithField("listen", l.Addr().String()).Info("serving")
	p.loop.Post(func() { p.serving = true })

	go p.mind(signals)
	go func() { // a second one changes nothing
		<-end
		p.loop.Post(p.drain)
	}()
	p.loop.Run()
	if p.keeper != nil {
		p.keeper.Close(lastSnapshot)
	}
	p.print()
	return nil
}

// remember takes in what was learned before this start, once the list is known, and has what is learned from now on kept.
// A folder that can't be used costs its use alone.
func (p *program) remember() {
	log := p.log.WithField("folder", p.op.State.Folder)
	keeper, found, err := snapshot.Open(p.op.State.Folder, p.op.State.Key, log)
	if err != nil {
		log.WithError(err).Error("what is learned is not kept")
		return
	}
	if found != nil {
		keeper.Recalled = p.gw.Recall(found, p.cfg.Name, p.cfg.Fingerprint())
		log.Infof("what was learned before: %v", keeper.Recalled)
	}
	p.keeper = keeper
	keeper.Start(p.op.State.Every, p.loop.Post, func() *knowledge.Snapshot {
		return &knowledge.Snapshot{Made: p.gw.Clock(p.loop.Now()), Gateway: p.cfg.Name, Settings: p.cfg.Fingerprint(), Position: p.feed.Position(),
			Directors: p.gw.Learned(p.op.State.Listings)}
	})
	var beat func()
	beat = func() {
		keeper.Beat(p.gw.Clock(p.loop.Now()))
		p.loop.After(min(time.Second, p.op.State.Every/4), beat)
	}
	p.loop.Post(beat)
}

// shares divides the descriptors up.
func (p *program) shares() config.Shares {
	checks := p.op.AgentListen != "" || p.op.HTTPListen != "" || p.op.MetricsListen != ""
	return p.cfg.Shares(p.op.Signed != nil, checks)
}

// others starts what the operator's file asks for: the front for signed URLs, what balancers ask, counters.
func (p *program) others() error {
	share := p.shares()
	listen := func(addr, what string, f func(addr string) (*transport.Listener, error)) error {
		if addr == "" {
			return nil
		}
		open, err := f(addr)
		if err != nil {
			return err
		}
		p.accept = append(p.accept, open)
		p.log.WithField("listen", open.Addr().String()).Info(what)
		return nil
	}
	if s := p.op.Signed; s != nil {
		api, err := signedAPI(s, p.cfg.Settings)
		if err != nil {
			return err
		}
		p.signed = signedfront.New(p.loop, p.gw, api, share.Signed, p.cfg.Seed, p.log)
		err = listen(s.Listen, "serving signed URLs", func(a string) (l *transport.Listener, err error) {
			l, err = p.engine.Listen(a, share.Signed, p.signed.MakeRoom, p.signed.Accept)
			p.signedAt = l
			return l, err
		})
		if err != nil {
			return err
		}
	}
	check := &agentcheck.Checker{Loop: p.loop, Metrics: metrics.Source(p.counters).Text, State: func() agentcheck.State {
		s := agentcheck.State{Ready: p.feed.Connected() && (p.fleet == nil || p.fleet.Ready()), Draining: p.draining, Weight: p.gw.Weight()}
		if p.fleet != nil && p.fleet.CatchingUp() {
			s.Ready, s.Why = false, "catching up"
		}
		return s
	}}
	for _, l := range []struct {
		addr, what string
		listen     func(*transport.Engine, string, int) (*transport.Listener, error)
	}{{p.op.AgentListen, "answering agent checks", check.Agent}, {p.op.HTTPListen, "answering health checks", check.Health},
		{p.op.MetricsListen, "telling counters", check.Counters}} {
		err := listen(l.addr, l.what, func(a string) (*transport.Listener, error) { return l.listen(p.engine, a, share.Checks) })
		if err != nil {
			return err
		}
	}
	return nil
}

// mind hands signals to the loop.
func (p *program) mind(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.reload()
		} else {
			p.loop.Post(p.print)
		}
	}
}

// drain goes on accepting for as long as clients may still come, answers all that is open, and ends.
func (p *program) drain() {
	if p.draining { // for its own turn, and then by a signal
		return
	}
	p.log.Info("draining")
	p.draining = true
	if p.keeper != nil {
		p.keeper.Final(p.gw.Clock(p.loop.Now()))
	}
	if p.succeeded() {
		p.yield()
		return
	}
	began := p.loop.Now()
	p.loop.After(graceAfterTerm, func() {
		for _, l := range p.accept {
			l.Close()
		}
		if p.signed != nil {
			p.signed.End()
		}
		p.finish(began.Add(p.longest() + lastAnswers))
	})
}

// longest is how long any client may wait, and 3 s at the least.
func (p *program) longest() time.Duration {
	longest := leastDeadline
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// finish ends the program once nothing is open any more, or at the last moment with an answer to what is.
func (p *program) finish(last time.Time) {
	now := p.loop.Now()
	late := !now.Before(last)
	if late {
		p.gw.Close()
	}
	if late || p.gw.Open() == 0 && p.front.Idle() && (p.signed == nil || p.signed.Idle()) {
		p.front.Shut()
		if p.signed != nil {
			p.signed.Shut()
		}
		until := now.Add(transport.Linger)
		if most := last.Add(flushFor); until.After(most) {
			until = most
		}
		p.linger(until)
		return
	}
	p.loop.After(10*time.Millisecond, func() { p.finish(last) })
}

// linger waits until all clients have taken their last answers and closed. Guards against the reset that ending with
// unread bytes sends: it takes away what a client has not read.
func (p *program) linger(until time.Time) {
	if p.engine.Lingering() == 0 || !p.loop.Now().Before(until) {
		p.end()
		return
	}
	p.loop.After(5*time.Millisecond, func() { p.linger(until) })
}

// end ends the program; where others wait for its own turn, they hear of it first.
func (p *program) end() {
	if p.left == nil {
		p.loop.Close()
		return
	}
	p.left()
	p.left = nil
	p.loop.After(lastWord, p.loop.Close)
}
