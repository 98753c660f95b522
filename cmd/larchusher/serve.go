package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/config"
	"larchusher/internal/logfields"
)

// Bounds and slope of the garbage collector's target percentage (GOGC). A larger memory limit allows more garbage, which saves
// processor time for collection.
const (
	minGCPercent   = 100
	maxGCPercent   = 400
	gcPercentPerMB = 2 // per MiB of the memory limit
)

// minProcessors is the least GOMAXPROCS: with two, the poller can block in the kernel without delaying the loop's timers. The
// platform limits the share of a core that both may use.
const minProcessors = 2

// serveCommand is the sub-command serve, which runs the daemon.
type serveCommand struct{ operatorFile }

// Run serves until SIGTERM or SIGINT has completed a graceful shutdown. An error means that the start failed.
func (s *serveCommand) Run(log *logrus.Logger) error {
	// Signals are registered first: one that arrives during the start would otherwise be lost, or kill the program. Signals that
	// end the program have a channel of their own, so that others cannot fill it.
	otherSignals, termSignals := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(otherSignals, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(termSignals, syscall.SIGTERM, syscall.SIGINT)

	operator, err := config.LoadOperator(s.Operator, os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(minProcessors, int(cfg.Limits.Cores)))
	debug.SetGCPercent(min(maxGCPercent, max(minGCPercent, gcPercentPerMB*cfg.Limits.MemoryMB)))

	p := &program{log: log.WithField(logfields.Gateway, cfg.Name), loop: gateway.NewLoop(), cfg: cfg, operator: operator,
		operatorPath: s.Operator}
	defer p.close()
	if err := p.start(); err != nil {
		return err
	}
	go p.handleSignals(otherSignals)
	go func() {
		<-termSignals // a further SIGTERM or SIGINT has no effect
		p.loop.Post(p.shutDown)
	}()
	p.loop.Run()
	if p.snapshots != nil {
		p.snapshots.Close(finalSnapshotTimeout)
	}
	p.logCounters()
	return nil
}

// handleSignals reloads the configuration on SIGHUP and has the loop log the counters on SIGUSR1. It runs on a goroutine of its
// own.
func (p *program) handleSignals(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.reload()
		} else {
			p.loop.Post(p.logCounters)
		}
	}
}
