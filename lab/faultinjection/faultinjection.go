package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"larchusher/maintenance"
)

const (
	lease             = time.Second
	maxOut            = 3
	slowStart         = 1500 * time.Millisecond
	pollInterval      = 60 * time.Millisecond
	completionTimeout = 40 * time.Second // after the last event
	maxListDelayMs    = 1200             // milliseconds by which lists of gateways disagree, at most
)

var clusterKey = []byte("an installation's key of 32 bytes")

// play is a running plot.
type plotRun struct {
	plot         *Plot
	dir          string
	program      string
	startedAt    time.Time
	violations   *violationLog
	machines     map[string]*machine
	machineNames []string
	gateways     []*gatewayProcess
	relays       map[string]*relay
	rng          *rand.Rand

	responseDelay atomic.Int64 // nanoseconds that a store takes over an answer

	mu            sync.Mutex
	requestedAt   map[string]time.Time
	acceptedBy    map[string]string // by machine: who took the request, and when
	stages        map[string]maintenance.Stage
	grantLatency  map[string]time.Duration
	notices       noticeLog
	encodedStates map[uint64]string // by revision, the state as somebody told it
	state         *maintenance.State
	revision      uint64
	wg            sync.WaitGroup
}

func (p *plotRun) randomInt(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

// Run plays a plot with a program.
func Run(ctx context.Context, program string, plot *Plot) (*Verdict, error) {
	p, err := start(ctx, program, plot)
	if err != nil {
		return nil, err
	}
	defer p.close()
	end := p.startedAt.Add(plot.For)
	for i, g := range p.gateways {
		p.wg.Go(func() { g.clients.run(end, i+1) })
	}
	watched := make(chan time.Duration, 1)
	go func() { watched <- p.watchRequests(ctx, end) }()
	for _, e := range plot.Events {
		if err := waitUntil(ctx, p.startedAt.Add(e.At)); err != nil {
			return nil, err
		}
		if err := p.inject(ctx, e); err != nil {
			return nil, fmt.Errorf("procs: at %v %s: %w", e.At, e.Kind, err)
		}
	}
	var missing string
	if p.notices.replicated {
		if p.notices.convergedAfter, missing = p.waitConverged(ctx); missing != "" {
			p.violations.add("%v after the last fault gateways do not know the same: %s", p.notices.convergedAfter.Round(time.Millisecond), missing)
		}
	}
	ended := <-watched
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.wg.Wait()
	return p.verdict(ctx, ended), nil
}

// start starts the processes of a plot.
func start(ctx context.Context, program string, plot *Plot) (*plotRun, error) {
	dir, err := os.MkdirTemp("", "larchusher-procs")
	if err != nil {
		return nil, fmt.Errorf("procs: %w", err)
	}
	p := &plotRun{plot: plot, dir: dir, program: program, violations: &violationLog{}, machines: map[string]*machine{}, relays: map[string]*relay{},
		rng: rand.New(rand.NewPCG(plot.Seed, 99)), requestedAt: map[string]time.Time{}, acceptedBy: map[string]string{}, stages: map[string]maintenance.Stage{}, grantLatency: map[string]time.Duration{}, encodedStates: map[uint64]string{}}
	p.responseDelay.Store(int64(2 * time.Millisecond))
	p.notices.replicated = slices.ContainsFunc(plot.Events, func(e Event) bool { return e.Kind == "share" })
	if err := p.startAll(ctx); err != nil {
		p.close()
		return nil, err
	}
	p.startedAt = time.Now()
	return p, nil
}

func waitUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *plotRun) close() {
	p.wg.Wait()
	for _, g := range p.gateways {
		if g.updates != nil {
			close(g.updates)
		}
		if g.testbed != nil {
			g.testbed.Stop()
		}
	}
	for _, r := range p.relays {
		r.close()
	}
	for _, m := range p.machines {
		m.store.Close()
	}
	_ = os.RemoveAll(p.dir)
}
