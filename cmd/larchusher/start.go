package main

import (
	"cmp"
	"fmt"
	"time"

	"larchusher/gateway"
	"larchusher/internal/clusternode"
	"larchusher/internal/logfields"
	"larchusher/internal/net/discovery"
	"larchusher/internal/net/gossip"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/transport"
)

// What waits may take parts of the limit on memory: it is divided by these.
const (
	unwrittenDivisor       = 4 // bytes that wait to be written
	bodiesDivisor          = 6 // bodies of requests
	unreadAnswersDivisor   = 5 // answers that clients have not read, unless the operator's file says otherwise
	endpointAnswersDivisor = 8 // answers on their way from endpoints
)

// start makes the parts of the program in the order in which they need each other. Nothing runs on the loop yet.
func (p *program) start() error {
	for _, w := range p.cfg.Warnings {
		p.log.WithField(logfields.Detail, w).Warn(logfields.ConfigCorrected)
	}
	p.setMemoryLimit(1)
	p.initialEventsID = eventsID(p.cfg.InitialState)
	engine, err := transport.New(p.log, p.memoryPart(unwrittenDivisor))
	if err != nil {
		return err
	}
	p.engine = engine
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
	p.loop.Post(func() { p.startHandover(learned) }) // before any request
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

// memoryPart is the limit on memory, in bytes, divided.
func (p *program) memoryPart(divisor int) int { return p.cfg.Limits.MemoryMB << 20 / divisor }

// operatorError says that something in the operator's file cannot be used.
func (p *program) operatorError(err error) error {
	return fmt.Errorf("operator's file %s: %w", p.operatorPath, err)
}

// initGateway makes the gateway, the pool of connections to endpoints, and the gossip socket.
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

func (p *program) poolConfig() resp.Config {
	return resp.Config{
		StreamsPerConn:   p.cfg.Sockets.StreamsPerConn,
		ConnectTimeout:   p.cfg.Sockets.ConnectTimeout,
		KeepAlive:        p.cfg.Sockets.KeepAlive,
		MaxConns:         p.connQuotas().Endpoints,
		LoadReportFields: p.cfg.Settings.LoadReportFields,
		MaxAnswerBytes:   int64(p.memoryPart(endpointAnswersDivisor)),
		AnswerTimeout:    p.longestDeadline(),
	}
}

// gatewayConfig is the configuration of the gateway, but for its gossip.
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
		MaxBodyBytes:    p.memoryPart(bodiesDivisor),
	}
	c.Overload.MemoryLimit = cmp.Or(c.Overload.MemoryLimit, int64(p.memoryPart(unreadAnswersDivisor)))
	if p.operator.Cluster != nil { // nothing is forwarded before it is known what maintenance has taken out
		c.EndpointPermitted = func(endpoint string) bool { return p.cluster != nil && p.cluster.EndpointPermitted(endpoint) }
	}
	return c, nil
}

// watchEndpoints takes in the endpoint list that is known at the start, and follows its events from there on.
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

// startCluster receives gossip, and joins the cluster that the operator's file names.
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
		p.onAnswered = answered
		p.shutDown()
	}
	return nil
}
