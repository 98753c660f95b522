package main

import (
	"errors"
	"maps"
	"slices"

	"larchusher/internal/metrics"
	"larchusher/internal/net/admin"
)

var (
	errStarting = errors.New("starting")
	errDraining = errors.New("draining")
)

// openConsole takes operators' calls, if the configuration names an address for them.
func (p *program) openConsole() error {
	if p.cfg.AdminListen == "" {
		return nil
	}
	server := admin.New(admin.Config{Loop: p.loop, Ready: p.ready, Stats: p.figures, MaxConns: p.shares().Admin})
	l, err := server.Listen(p.engine, p.cfg.AdminListen)
	if err != nil {
		return err
	}
	p.console = l
	p.log.WithField("listen", l.Addr().String()).Info("answering operators")
	return nil
}

// ready says whether this process takes clients, or why it does not. It runs on the loop.
func (p *program) ready() error {
	switch {
	case p.draining:
		return errDraining
	case !p.serving:
		return errStarting
	}
	return nil
}

// figures are what operators ask for. They run on the loop.
func (p *program) figures() (all []metrics.Value) {
	add := func(kind metrics.Kind, name string, n uint64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Kind: kind, Value: float64(n), Labels: labels})
	}
	outcomes := p.gw.OutcomesByClass()
	for _, class := range slices.Sorted(maps.Keys(outcomes)) {
		o, label := outcomes[class], metrics.Label{Name: "class", Value: class}
		add(metrics.Counter, "success", o.Served, label)
		add(metrics.Counter, "overload", o.Rejected, label)
		add(metrics.Counter, "error", o.Failed, label)
	}
	listed, avoided := p.gw.EndpointCounts()
	add(metrics.Counter, "dispatches", p.pool.Counters.Written)
	add(metrics.Gauge, "concurrent", uint64(p.gw.OpenRequests()))
	add(metrics.Gauge, "targets", uint64(listed))
	add(metrics.Gauge, "targets_disabled", uint64(avoided))
	add(metrics.Counter, "reload_success", uint64(p.reloads))
	add(metrics.Counter, "reload_failure", uint64(p.badReloads))
	return all
}
