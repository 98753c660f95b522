package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"larchusher/internal/metrics"
	"larchusher/internal/net/admin"
)

// Reasons for which this process does not accept clients. They are printed to operators.
var (
	errStarting = errors.New("starting")
	errDraining = errors.New("draining")
)

// openAdmin starts the admin listener for operators if the configuration has an address for it. An error names the key.
func (p *program) openAdmin() error {
	if p.cfg.AdminListen == "" {
		return nil
	}
	server := admin.New(admin.Config{Loop: p.loop, Ready: p.readiness, Stats: p.adminStats, MaxConns: p.connQuotas().Admin})
	l, err := server.Listen(p.engine, p.cfg.AdminListen)
	if err != nil {
		return fmt.Errorf("configuration key console: %w", err)
	}
	p.adminListener = l
	p.logListening(l, "admin")
	return nil
}

// readiness returns nil if this process accepts clients, or an error that states why not.
func (p *program) readiness() error {
	switch {
	case p.draining:
		return errDraining
	case !p.accepting:
		return errStarting
	}
	return nil
}

// adminStats returns the statistics that the admin listener reports.
func (p *program) adminStats() (all []metrics.Value) {
	add := func(kind metrics.Kind, name string, n uint64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Kind: kind, Value: float64(n), Labels: labels})
	}
	outcomes := p.gateway.OutcomesByClass()
	for _, class := range slices.Sorted(maps.Keys(outcomes)) {
		o, label := outcomes[class], metrics.Label{Name: "class", Value: class}
		add(metrics.Counter, "success", o.Served, label)
		add(metrics.Counter, "overload", o.Rejected, label)
		add(metrics.Counter, "error", o.Failed, label)
	}
	listed, avoided := p.gateway.EndpointCounts()
	add(metrics.Counter, "dispatches", p.pool.Counters.Written)
	add(metrics.Gauge, "concurrent", uint64(p.gateway.OpenRequests()))
	add(metrics.Gauge, "targets", uint64(listed))
	add(metrics.Gauge, "targets_disabled", uint64(avoided))
	add(metrics.Counter, "reload_success", uint64(p.reloads))
	add(metrics.Counter, "reload_failure", uint64(p.rejectedReloads))
	return all
}
