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

// Percentages of the heap that may be garbage before it is collected. Garbage may grow where there is memory for it:
// collecting takes processor time.
const (
	minGCPercent   = 100
	maxGCPercent   = 400
	gcPercentPerMB = 2 // of the limit on memory
)

// minProcessors lets the poller wait in the kernel without holding up the loop's timers. What they may use of a core is
// the platform's to say.
const minProcessors = 2

// serve is the sub-command of that name.
type serve struct{ operatorFile }

// Run serves until SIGTERM.
func (s *serve) Run(log *logrus.Logger) error {
	// Before anything else: a signal during the start would be lost, or end the program at once. The signals that end it
	// have a channel of their own, which others cannot fill.
	signals, end := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)

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
	go p.handleSignals(signals)
	go func() {
		<-end // the first one alone counts
		p.loop.Post(p.shutDown)
	}()
	p.loop.Run()
	if p.snapshots != nil {
		p.snapshots.Close(finalSnapshotTimeout)
	}
	p.logCounters()
	return nil
}

// handleSignals hands signals to the loop. It runs on a goroutine of its own.
func (p *program) handleSignals(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.reload()
		} else {
			p.loop.Post(p.logCounters)
		}
	}
}
