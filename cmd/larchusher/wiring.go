package main

import (
	"cmp"
	"fmt"
	"time"

	"larchusher/gateway"
	"larchusher/internal/clusternode"
	"larchusher/internal/config"
	"larchusher/internal/metrics"
	"larchusher/internal/net/agentcheck"
	"larchusher/internal/net/discovery"
	"larchusher/internal/net/gossip"
	"larchusher/internal/net/msgpackrpc"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/signedfront"
	"larchusher/internal/net/transport"
	"larchusher/internal/snapshot"
	"larchusher/warmstart"
)

// Parts of the limit on memory that may be taken by what waits: it is divided by these.
const (
	unwrittenPart = 4 // what waits to be written
	bodiesPart    = 6 // bodies of requests
	pendingPart   = 5 // answers on their way to clients, unless the operator's file says otherwise
	storedPart    = 8 // answers of stores on their way to the gateway
)

// start makes the parts of the program in the order in which they need each other. Nothing runs on the loop yet.
func (p *program) start() error {
	for _, n := range p.cfg.Warnings {
		p.log.Warn(n)
	}
	p.setMemory(1)
	p.since = fingerprint(p.cfg.InitialState)
	var err error
	if p.engine, err = transport.New(p.log, p.memory(unwrittenPart)); err != nil {
		return err
	}
	if err := p.joinHandover(); err != nil {
		return err
	}
	known, learned := p.takeState()
	if err := p.makeGateway(); err != nil {
		return err
	}
	if err := p.openConsole(); err != nil {
		return err
	}
	if err := p.follow(known); err != nil {
		return err
	}
	p.loop.Post(func() { p.followHandover(learned) }) // before anything that clients ask for
	if err := p.startFleet(); err != nil {
		return err
	}
	if err := p.listen(); err != nil {
		return err
	}
	if p.closeRest != nil {
		p.closeRest()
	}
	if p.moves != nil {
		go p.adopt()
	}
	p.log.WithField("listen", p.clients.Addr().String()).Info("serving")
	p.loop.Post(p.serve)
	return nil
}

// close ends what other processes may wait for.
func (p *program) close() {
	if p.fleet != nil {
		p.fleet.Close()
	}
	if p.process != nil {
		p.process.Close()
	}
}

// memory is a part of the limit on memory, in bytes.
func (p *program) memory(part int) int { return p.cfg.Limits.MemoryMB << 20 / part }

// makeGateway makes the core, the pool of connections to stores, and the link to other gateways.
func (p *program) makeGateway() error {
	cfg := p.cfg
	p.pool = resp.New(resp.Config{StreamsPerConn: cfg.Sockets.StreamsPerConn, ConnectTimeout: cfg.Sockets.ConnectTimeout,
		KeepAlive: cfg.Sockets.KeepAlive, MaxConns: p.shares().Stores, LoadReportFields: cfg.Settings.LoadReportFields,
		MaxAnswerBytes: int64(p.memory(storedPart)), AnswerTimeout: p.longest()}, p.loop, p.engine, p.log)
	gc := gateway.Config{Loop: p.loop, Settings: cfg.Settings, Seed: cfg.Seed, Backend: p.pool, Log: p.log,
		SizeScale: cfg.SizeScale, MaxOpenRequests: cfg.Sockets.MaxOpenRequests, MaxBodyBytes: p.memory(bodiesPart),
		Overload: p.op.Overload, ReadBarrier: p.engine.Barrier}
	gc.Overload.MemoryLimit = cmp.Or(gc.Overload.MemoryLimit, int64(p.memory(pendingPart))) // and a quarter of that
	var err error
	if gc.Localities, err = p.op.LocalitiesFor(cfg.Settings.Zone, cfg.Settings.Zones); err != nil {
		return p.operatorError(err)
	}
	if cfg.PeerListen != "" && cfg.Settings.Gossip {
		if p.link, err = gossip.Listen(cfg.PeerListen, cfg.Peers, cfg.PeersAll, p.log); err != nil {
			return err
		}
		gc.Gossip = p.link
	}
	if p.op.Cluster != nil { // nothing is sent before it is known what is out for work
		gc.MayForward = func(store string) bool { return p.fleet != nil && p.fleet.MaySend(store) }
	}
	if p.gw, err = gateway.New(gc); err != nil {
		return err
	}
	p.pool.Gateway = p.gw
	return nil
}

// operatorError says that something of the operator's file cannot be used.
func (p *program) operatorError(err error) error {
	return fmt.Errorf("operator's file %s: %w", p.file, err)
}

// follow takes in what is known at the start, and follows the journal from there on.
func (p *program) follow(known discovery.InitialState) error {
	p.book = &discovery.EventApplier{Sink: sink{p.gw, p.pool}, Clock: p.gw.DirectorTime}
	if err := p.book.ApplyInitial(time.Now(), known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if p.op.State != nil {
		p.remember()
	}
	p.feed = discovery.Watch(p.loop, p.engine, p.log, p.cfg.Journal, p.book, known.Position)
	p.cfg.InitialState = discovery.InitialState{} // all of it has been taken in
	return nil
}

// startFleet starts what gateways settle among themselves, if the operator's file asks for it, and listens to peers.
func (p *program) startFleet() error {
	if p.link != nil {
		go p.link.ReadLoop(p.loop, p.gw.ReceiveGossip)
	}
	if p.op.Cluster == nil {
		return nil
	}
	var err error
	if p.fleet, err = clusternode.Start(p.op.Cluster, p.cfg.Settings, p.gw, p.loop, p.engine, p.log); err != nil {
		return p.operatorError(err)
	}
	p.fleet.OnShutDown = func(left func()) { p.left = left; p.drain() }
	return nil
}

// listen opens the platform's front, and what the operator's file asks for.
func (p *program) listen() error {
	most := p.shares().Clients
	p.front = msgpackrpc.New(p.loop, p.gw, classNames(p.cfg.Settings.Classes), most, p.log)
	l, err := p.engine.Listen(p.cfg.Listen, most, p.front.EvictIdle, p.front.NewHandler)
	if err != nil {
		return err
	}
	p.accept, p.clients = append(p.accept, l), l
	return p.others()
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
		keeper.Imported = p.gw.ImportSnapshot(found, p.cfg.Name, p.cfg.Fingerprint())
		log.Infof("what was learned before: %v", keeper.Imported)
	}
	p.keeper = keeper
	keeper.Start(p.op.State.SnapshotInterval, p.loop.Post, func() *warmstart.Snapshot {
		return &warmstart.Snapshot{Made: p.gw.DirectorTime(p.loop.Now()), Gateway: p.cfg.Name, Settings: p.cfg.Fingerprint(), Position: p.feed.Position(),
			Directors: p.gw.ExportLearned(p.op.State.MaxListings)}
	})
	var beat func()
	beat = func() {
		keeper.Tick(p.gw.DirectorTime(p.loop.Now()))
		p.loop.After(min(time.Second, p.op.State.SnapshotInterval/4), beat)
	}
	p.loop.Post(beat)
}

// shares divides the descriptors up.
func (p *program) shares() config.ConnQuotas {
	checks := p.op.AgentListen != "" || p.op.HTTPListen != "" || p.op.MetricsListen != ""
	return p.cfg.ConnQuotas(p.op.Signed != nil, checks)
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
			l, err = p.engine.Listen(a, share.Signed, p.signed.EvictIdle, p.signed.NewHandler)
			p.signedAt = l
			return l, err
		})
		if err != nil {
			return err
		}
	}
	check := &agentcheck.Checker{Loop: p.loop, Metrics: metrics.Source(p.counters).Text, State: func() agentcheck.State {
		s := agentcheck.State{Ready: p.feed.Connected() && (p.fleet == nil || p.fleet.Ready()), Draining: p.draining, Weight: p.gw.BalancerWeight()}
		if p.fleet != nil && p.fleet.CatchingUp() {
			s.Ready, s.Reason = false, "catching up"
		}
		return s
	}}
	for _, l := range []struct {
		addr, what string
		listen     func(*transport.Engine, string, int) (*transport.Listener, error)
	}{{p.op.AgentListen, "answering agent checks", check.ListenAgent}, {p.op.HTTPListen, "answering health checks", check.ListenHealth},
		{p.op.MetricsListen, "telling counters", check.ListenMetrics}} {
		err := listen(l.addr, l.what, func(a string) (*transport.Listener, error) { return l.listen(p.engine, a, share.Checks) })
		if err != nil {
			return err
		}
	}
	return nil
}
