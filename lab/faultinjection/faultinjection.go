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
	lease             = time.Second             // of the maintenance state, in the operator's files of the gateways
	maxOut            = 3                       // machines that may be out of service at once
	slowStart         = 1500 * time.Millisecond // until a restarted machine is warm
	pollInterval      = 60 * time.Millisecond   // between two queries of the maintenance state
	completionTimeout = 40 * time.Second        // from the end of the plot until all requests for work must have ended
	maxListDelayMs    = 1200                    // longest delay, in milliseconds, with which a gateway learns of a change of the endpoint list
)

// clusterKey authenticates the gateways and the test tool to each other.
var clusterKey = []byte("an installation's key of 32 bytes")

// plotRun is one run of a plot: the gateways, fake servers and relays, and what was observed so far.
type plotRun struct {
	plot         *Plot
	dir          string // temporary folder of all files of the run
	program      string // path of the gateway's program
	startedAt    time.Time
	violations   *violationLog
	machines     map[string]*machine
	machineNames []string
	gateways     []*gatewayProcess
	relays       map[string]*relay // by direction, such as g0>g1
	rng          *rand.Rand        // guarded by mu

	responseDelay atomic.Int64 // nanoseconds that each fake server waits before it answers

	mu            sync.Mutex                   // guards the fields below, but not wg
	requestedAt   map[string]time.Time         // by machine: when its maintenance was first requested
	acceptedBy    map[string]string            // by machine: which gateway accepted the request, and when; for messages
	stages        map[string]maintenance.Stage // by machine: the latest reported stage of its request
	grantLatency  map[string]time.Duration     // by machine: from the first request until the grant was reported
	notices       noticeLog
	encodedStates map[uint64]string  // by revision: the encoded state, as a gateway returned it
	state         *maintenance.State // the latest reported state; nil: none yet
	revision      uint64             // of state
	wg            sync.WaitGroup
}

// randomInt returns a random number from 0 to n-1. It may be called from any goroutine.
func (p *plotRun) randomInt(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

// Run plays a plot with real gateway processes of a program, and returns what was observed; broken rules are in
// Verdict.Violations. It fails if the processes do not start, an event cannot be carried out, or ctx ends.
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
			p.violations.add("%v after the last fault the gateways' replicated slots still differ: %s", p.notices.convergedAfter.Round(time.Millisecond), missing)
		}
	}
	ended := <-watched
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.wg.Wait()
	return p.verdict(ctx, ended), nil
}

// start starts the fake servers, relays and gateway processes of a plot. The caller closes the run.
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

// waitUntil waits until a point in time, and fails if ctx ends before.
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

// close waits for the goroutines of the run, stops all processes, relays and fake servers, and deletes the folder.
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
