package main

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"larchusher/internal/config"
	"larchusher/internal/logfields"
	"larchusher/internal/metrics"
	"larchusher/internal/net/agentcheck"
	"larchusher/internal/net/msgpackrpc"
	"larchusher/internal/net/signedfront"
	"larchusher/internal/net/transport"
)

// connQuotas returns the maximum numbers of connections by use, for the listeners that the operator's file enables.
func (p *program) connQuotas() config.ConnQuotas {
	checks := p.operator.AgentListen != "" || p.operator.HTTPListen != "" || p.operator.MetricsListen != ""
	return p.cfg.ConnQuotas(p.operator.SignedFront != nil, checks)
}

// openFronts starts the listener of the platform's front, and those that the operator's file enables. An error names the key of
// the address.
func (p *program) openFronts() error {
	quota := p.connQuotas().Clients
	p.platformFront = msgpackrpc.New(p.loop, p.gateway, classNames(p.cfg.Settings.Classes), quota, p.log)
	l, err := p.engine.Listen(p.cfg.Listen, quota, p.platformFront.EvictIdle, p.platformFront.NewHandler)
	if err != nil {
		return fmt.Errorf("configuration key listen: %w", err)
	}
	p.listeners, p.platformListener = append(p.listeners, l), l
	if err := p.openSignedFront(); err != nil {
		return err
	}
	return p.openHealthChecks()
}

// openSignedFront starts the listener of the front for signed URLs, if the operator's file enables it.
func (p *program) openSignedFront() error {
	if p.operator.SignedFront == nil {
		return nil
	}
	api, err := newSignedAPI(p.operator.SignedFront, p.cfg.Settings)
	if err != nil {
		return err
	}
	quota := p.connQuotas().SignedFront
	p.signedFront = signedfront.New(p.loop, p.gateway, api, quota, p.cfg.Seed, p.log)
	l, err := p.engine.Listen(p.operator.SignedFront.Listen, quota, p.signedFront.EvictIdle, p.signedFront.NewHandler)
	if err != nil {
		return p.operatorError(fmt.Errorf("signed_front.listen: %w", err))
	}
	p.signedListener, p.signedConfig = l, p.operator.SignedFront
	p.listeners = append(p.listeners, l)
	p.logListening(l, "signed front")
	return nil
}

// openHealthChecks starts the listeners for the agent check, the health check and metrics that the operator's file enables.
func (p *program) openHealthChecks() error {
	checker := &agentcheck.Checker{Loop: p.loop, Metrics: metrics.Source(p.counters).Text, State: p.checkState}
	quota := p.connQuotas().HealthChecks
	for _, c := range []struct {
		key, addr, listener string
		listen              func(*transport.Engine, string, int) (*transport.Listener, error)
	}{
		{"health.agent_listen", p.operator.AgentListen, "agent check", checker.ListenAgent},
		{"health.http_listen", p.operator.HTTPListen, "health check", checker.ListenHealth},
		{"metrics.listen", p.operator.MetricsListen, "metrics", checker.ListenMetrics},
	} {
		if c.addr == "" {
			continue
		}
		l, err := c.listen(p.engine, c.addr, quota)
		if err != nil {
			return p.operatorError(fmt.Errorf("%s: %w", c.key, err))
		}
		p.listeners = append(p.listeners, l)
		p.logListening(l, c.listener)
	}
	return nil
}

// notHeardReason tells balancers, and whoever reads their status pages, why a gateway that has started is not ready.
const notHeardReason = "no word from the journal service yet"

// checkState returns the state that health checks report to load balancers. The gateway is not ready before it knows which endpoints are
// live, that is before it has heard the discovery service since its start. Afterwards it stays ready while that service is silent or
// unreachable: it goes on with the list that it has, as all other gateways do.
func (p *program) checkState() agentcheck.State {
	s := agentcheck.State{
		Ready:    p.cluster == nil || p.cluster.Ready(),
		Draining: p.draining,
		Weight:   p.gateway.BalancerWeight(),
	}
	switch {
	case !p.discovery.Heard():
		s.Ready, s.Reason = false, notHeardReason
	case p.cluster != nil && p.cluster.CatchingUp():
		s.Ready, s.Reason = false, "catching up"
	}
	return s
}

// logListening logs the address of a new listener, and the listener's purpose.
func (p *program) logListening(l *transport.Listener, listener string) {
	p.log.WithFields(logrus.Fields{logfields.Listener: listener, logfields.Address: l.Addr().String()}).Info(logfields.Listening)
}
