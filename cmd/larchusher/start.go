package main

import (
	"fmt"
	"time"

	"larchusher/gateway"
	"larchusher/internal/clusternode"
	"larchusher/internal/logfields"
	"larchusher/internal/net/discovery"
	"larchusher/internal/net/gossip"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
)

// start creates the parts of the program in the order of their dependencies, and opens all listeners. It is called before the loop
// runs. An error means that the program cannot serve.
func (p *program) start() error {
	for _, w := range p.cfg.Warnings {
		p.log.WithField(logfields.Detail, w).Warn(logfields.ConfigCorrected)
	}
	p.budget = membudget.New(0)
	p.useMemory(1)
	p.warnSmallMemory(servingBudget, "serving a few hundred clients")
	p.eventStreamID = hashInitialState(p.cfg.InitialState)
	engine, err := transport.New(p.log, p.maxUnwritten())
	if err != nil {
		return err
	}
	p.engine, engine.Budget = engine, p.budget
	if err := p.joinProcess(); err != nil {
		return err
	}
	known, learned := p.requestPredecessorState()
	if err := p.initGateway(); err != nil {
		return err
	}
	if err := p.openAdmin(); err != nil {
		return err
	}
	if err := p.watchEndpoints(known); err != nil {
		return err
	}
	p.loop.Post(func() { p.startHandover(learned) }) // posted first, so that it runs before any request
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
	go p.watchMemory()
	p.log.WithField(logfields.Address, p.platformListener.Addr().String()).Info(logfields.Serving)
	p.loop.Post(p.startAccepting)
	return nil
}

// close leaves the cluster and gives up this process's part in hot restarts, for which other processes may be waiting. It is
// called after the loop has ended, or if the start failed.
func (p *program) close() {
	if p.cluster != nil {
		p.cluster.Close()
	}
	if p.process != nil {
		p.process.Close()
	}
}

// operatorError wraps an error about a value of the operator's file with the path of the file.
func (p *program) operatorError(err error) error {
	return fmt.Errorf("operator's file %s: %w", p.operatorPath, err)
}

// initGateway creates the gateway, the pool of connections to endpoints, and the gossip socket if gossip is on.
func (p *program) initGateway() error {
	p.pool = resp.New(p.poolConfig(), p.loop, p.engine, p.log)
	c, err := p.gatewayConfig()
	if err != nil {
		return err
	}
	if p.cfg.PeerListen != "" && p.cfg.Settings.Gossip {
		if p.gossip, err = gossip.Listen(p.cfg.PeerListen, p.cfg.Peers, p.cfg.PeersAll, p.log); err != nil {
			return err
		}
		c.Gossip = p.gossip
	}
	if p.gateway, err = gateway.New(c); err != nil {
		return err
	}
	p.pool.Gateway = p.gateway
	return nil
}

// poolConfig returns the configuration of the pool of connections to endpoints.
func (p *program) poolConfig() resp.Config {
	return resp.Config{
		StreamsPerConn:   p.cfg.Sockets.StreamsPerConn,
		ConnectTimeout:   p.cfg.Sockets.ConnectTimeout,
		KeepAlive:        p.cfg.Sockets.KeepAlive,
		MaxConns:         p.connQuotas().Endpoints,
		LoadReportFields: p.cfg.Settings.LoadReportFields,
		Budget:           p.budget,
		AnswerTimeout:    p.longestDeadline(),
	}
}

// gatewayConfig returns the configuration of the gateway, without its gossip socket.
func (p *program) gatewayConfig() (gateway.Config, error) {
	localities, err := p.operator.LocalitiesFor(p.cfg.Settings.Zone, p.cfg.Settings.Zones)
	if err != nil {
		return gateway.Config{}, p.operatorError(err)
	}
	c := gateway.Config{
		Loop:            p.loop,
		Settings:        p.cfg.Settings,
		Seed:            p.cfg.Seed,
		Backend:         p.pool,
		Log:             p.log,
		Localities:      localities,
		Overload:        p.operator.Overload,
		ReadBarrier:     p.engine.Barrier,
		SizeScale:       p.cfg.SizeScale,
		MaxOpenRequests: p.cfg.Sockets.MaxOpenRequests,
		Budget:          p.budget,
	}
	c.Overload.MemoryLimit = p.unreadAnswersLimit()
	if p.operator.Cluster != nil { // no endpoint is permitted before the cluster's view of maintenance is known
		c.EndpointPermitted = func(endpoint string) bool { return p.cluster != nil && p.cluster.EndpointPermitted(endpoint) }
	}
	return c, nil
}

// watchEndpoints applies the endpoint list that is known at the start, loads saved state, and subscribes to the list's events from
// its position on.
func (p *program) watchEndpoints(known discovery.InitialState) error {
	p.endpoints = &discovery.EventApplier{Sink: endpointSink{p.gateway, p.pool}, Clock: p.gateway.DirectorTime}
	if err := p.endpoints.ApplyInitial(time.Now(), known); err != nil {
		return fmt.Errorf("known: endpoint list not valid: %w", err)
	}
	if p.operator.State != nil {
		p.openSnapshots()
	}
	p.discovery = discovery.Watch(p.loop, p.engine, p.log, p.cfg.Journal, p.endpoints, known.Position)
	p.cfg.InitialState = discovery.InitialState{} // applied, and no longer needed
	return nil
}

// startCluster starts to receive gossip if it is on, and joins the cluster if the operator's file configures one.
func (p *program) startCluster() error {
	if p.gossip != nil {
		go p.gossip.ReadLoop(p.loop, p.gateway.ReceiveGossip)
	}
	if p.operator.Cluster == nil {
		return nil
	}
	node, err := clusternode.Start(p.operator.Cluster, p.cfg.Settings, p.gateway, p.loop, p.engine, p.log)
	if err != nil {
		return p.operatorError(err)
	}
	p.cluster = node
	node.OnShutDown = func(answered func()) {
		p.onAllAnswered = answered
		p.shutDown()
	}
	return nil
}
