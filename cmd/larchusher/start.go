package main

import (
	"cmp"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/clusternode"
	"larchusher/internal/config"
	"larchusher/internal/logfields"
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
	unwrittenDivisor       = 4 // what waits to be written
	bodiesDivisor          = 6 // bodies of requests
	unreadAnswersDivisor   = 5 // answers on their way to clients, unless the operator's file says otherwise
	endpointAnswersDivisor = 8 // answers of stores on their way to the gateway
)

// start makes the parts of the program in the order in which they need each other. Nothing runs on the loop yet.
func (p *program) start() error {
	for _, n := range p.cfg.Warnings {
		p.log.WithField(logfields.Detail, n).Warn(logfields.ConfigCorrected)
	}
	p.setMemory(1)
	p.initialEventsID = eventsID(p.cfg.InitialState)
	var err error
	if p.engine, err = transport.New(p.log, p.memoryFor(unwrittenDivisor)); err != nil {
		return err
	}
	if err := p.joinProcess(); err != nil {
		return err
	}
	known, learned := p.requestState()
	if err := p.initGateway(); err != nil {
		return err
	}
	if err := p.openAdmin(); err != nil {
		return err
	}
	if err := p.watchEndpoints(known); err != nil {
		return err
	}
	p.loop.Post(func() { p.startHandover(learned) }) // before anything that clients ask for
	if err := p.startCluster(); err != nil {
		return err
	}
	if err := p.openFronts(); err != nil {
		return err
	}
	if p.closeUnusedSockets != nil {
		p.closeUnusedSockets()
	}
	if p.migratedConns != nil {
		go p.adoptConns()
	}
	p.log.WithField(logfields.Address, p.platformListener.Addr().String()).Info(logfields.Serving)
	p.loop.Post(p.startAccepting)
	return nil
}

// close ends what other processes may wait for.
func (p *program) close() {
	if p.cluster != nil {
		p.cluster.Close()
	}
	if p.process != nil {
		p.process.Close()
	}
}

// memoryFor is a part of the limit on memory, in bytes.
func (p *program) memoryFor(part int) int { return p.cfg.Limits.MemoryMB << 20 / part }

// initGateway makes the core, the pool of connections to stores, and the link to other gateways.
func (p *program) initGateway() error {
	cfg := p.cfg
	p.pool = resp.New(resp.Config{StreamsPerConn: cfg.Sockets.StreamsPerConn, ConnectTimeout: cfg.Sockets.ConnectTimeout,
		KeepAlive: cfg.Sockets.KeepAlive, MaxConns: p.connQuotas().Stores, LoadReportFields: cfg.Settings.LoadReportFields,
		MaxAnswerBytes: int64(p.memoryFor(endpointAnswersDivisor)), AnswerTimeout: p.longestDeadline()}, p.loop, p.engine, p.log)
	gc := gateway.Config{Loop: p.loop, Settings: cfg.Settings, Seed: cfg.Seed, Backend: p.pool, Log: p.log,
		SizeScale: cfg.SizeScale, MaxOpenRequests: cfg.Sockets.MaxOpenRequests, MaxBodyBytes: p.memoryFor(bodiesDivisor),
		Overload: p.operator.Overload, ReadBarrier: p.engine.Barrier}
	gc.Overload.MemoryLimit = cmp.Or(gc.Overload.MemoryLimit, int64(p.memoryFor(unreadAnswersDivisor))) // and a quarter of that
	var err error
	if gc.Localities, err = p.operator.LocalitiesFor(cfg.Settings.Zone, cfg.Settings.Zones); err != nil {
		return p.operatorError(err)
	}
	if cfg.PeerListen != "" && cfg.Settings.Gossip {
		if p.gossip, err = gossip.Listen(cfg.PeerListen, cfg.Peers, cfg.PeersAll, p.log); err != nil {
			return err
		}
		gc.Gossip = p.gossip
	}
	if p.operator.Cluster != nil { // nothing is sent before it is known what is out for work
		gc.MayForward = func(store string) bool { return p.cluster != nil && p.cluster.MaySend(store) }
	}
	if p.gateway, err = gateway.New(gc); err != nil {
		return err
	}
	p.pool.Gateway = p.gateway
	return nil
}

// operatorError says that something of the operator's file cannot be used.
func (p *program) operatorError(err error) error {
	return fmt.Errorf("operator's file %s: %w", p.operatorPath, err)
}

// watchEndpoints takes in what is known at the start, and follows the journal from there on.
func (p *program) watchEndpoints(known discovery.InitialState) error {
	p.endpoints = &discovery.EventApplier{Sink: endpointSink{p.gateway, p.pool}, Clock: p.gateway.DirectorTime}
	if err := p.endpoints.ApplyInitial(time.Now(), known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if p.operator.State != nil {
		p.openSnapshots()
	}
	p.discovery = discovery.Watch(p.loop, p.engine, p.log, p.cfg.Journal, p.endpoints, known.Position)
	p.cfg.InitialState = discovery.InitialState{} // all of it has been taken in
	return nil
}

// startCluster starts what gateways settle among themselves, if the operator's file asks for it, and listens to peers.
func (p *program) startCluster() error {
	if p.gossip != nil {
		go p.gossip.ReadLoop(p.loop, p.gateway.ReceiveGossip)
	}
	if p.operator.Cluster == nil {
		return nil
	}
	var err error
	if p.cluster, err = clusternode.Start(p.operator.Cluster, p.cfg.Settings, p.gateway, p.loop, p.engine, p.log); err != nil {
		return p.operatorError(err)
	}
	p.cluster.OnShutDown = func(left func()) { p.onShutDown = left; p.shutDown() }
	return nil
}

// openFronts opens the platform's front, and what the operator's file asks for.
func (p *program) openFronts() error {
	most := p.connQuotas().Clients
	p.front = msgpackrpc.New(p.loop, p.gateway, classNames(p.cfg.Settings.Classes), most, p.log)
	l, err := p.engine.Listen(p.cfg.Listen, most, p.front.EvictIdle, p.front.NewHandler)
	if err != nil {
		return err
	}
	p.listeners, p.platformListener = append(p.listeners, l), l
	return p.openOperatorListeners()
}

// openSnapshots takes in what was learned before this start, once the list is known, and has what is learned from now on kept.
// A folder that can't be used costs its use alone.
func (p *program) openSnapshots() {
	log := p.log.WithField(logfields.Folder, p.operator.State.Folder)
	keeper, found, err := snapshot.Open(p.operator.State.Folder, p.operator.State.Key, log)
	if err != nil {
		log.WithError(err).Error(logfields.StateNotSaved)
		return
	}
	if found != nil {
		keeper.Imported = p.gateway.ImportSnapshot(found, p.cfg.Name, p.cfg.Fingerprint())
		log.WithField(logfields.Detail, keeper.Imported.String()).Info(logfields.StateImported)
	}
	p.snapshots = keeper
	keeper.Start(p.operator.State.SnapshotInterval, p.loop.Post, func() *warmstart.Snapshot {
		return &warmstart.Snapshot{Made: p.gateway.DirectorTime(p.loop.Now()), Gateway: p.cfg.Name, Settings: p.cfg.Fingerprint(), Position: p.discovery.Position(),
			Directors: p.gateway.ExportLearned(p.operator.State.MaxListings)}
	})
	var beat func()
	beat = func() {
		keeper.Tick(p.gateway.DirectorTime(p.loop.Now()))
		p.loop.After(min(time.Second, p.operator.State.SnapshotInterval/4), beat)
	}
	p.loop.Post(beat)
}

// connQuotas divides the descriptors up.
func (p *program) connQuotas() config.ConnQuotas {
	checks := p.operator.AgentListen != "" || p.operator.HTTPListen != "" || p.operator.MetricsListen != ""
	return p.cfg.ConnQuotas(p.operator.Signed != nil, checks)
}

// logListening says that a further address is listened on, and what for.
func (p *program) logListening(l *transport.Listener, listener string) {
	p.log.WithFields(logrus.Fields{logfields.Listener: listener, logfields.Address: l.Addr().String()}).Info(logfields.Listening)
}

// openOperatorListeners starts what the operator's file asks for: the front for signed URLs, what balancers ask, counters.
func (p *program) openOperatorListeners() error {
	share := p.connQuotas()
	listen := func(addr, what string, f func(addr string) (*transport.Listener, error)) error {
		if addr == "" {
			return nil
		}
		open, err := f(addr)
		if err != nil {
			return err
		}
		p.listeners = append(p.listeners, open)
		p.logListening(open, what)
		return nil
	}
	if s := p.operator.Signed; s != nil {
		api, err := newSignedAPI(s, p.cfg.Settings)
		if err != nil {
			return err
		}
		p.signedFront = signedfront.New(p.loop, p.gateway, api, share.Signed, p.cfg.Seed, p.log)
		err = listen(s.Listen, "signed front", func(a string) (l *transport.Listener, err error) {
			l, err = p.engine.Listen(a, share.Signed, p.signedFront.EvictIdle, p.signedFront.NewHandler)
			p.signedListener = l
			return l, err
		})
		if err != nil {
			return err
		}
	}
	check := &agentcheck.Checker{Loop: p.loop, Metrics: metrics.Source(p.counters).Text, State: func() agentcheck.State {
		s := agentcheck.State{Ready: p.discovery.Connected() && (p.cluster == nil || p.cluster.Ready()), Draining: p.draining, Weight: p.gateway.BalancerWeight()}
		if p.cluster != nil && p.cluster.CatchingUp() {
			s.Ready, s.Reason = false, "catching up"
		}
		return s
	}}
	for _, l := range []struct {
		addr, what string
		listen     func(*transport.Engine, string, int) (*transport.Listener, error)
	}{{p.operator.AgentListen, "agent check", check.ListenAgent}, {p.operator.HTTPListen, "health check", check.ListenHealth},
		{p.operator.MetricsListen, "metrics", check.ListenMetrics}} {
		err := listen(l.addr, l.what, func(a string) (*transport.Listener, error) { return l.listen(p.engine, a, share.Checks) })
		if err != nil {
			return err
		}
	}
	return nil
}
