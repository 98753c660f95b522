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
	lease     = time.Second
	atOnce    = 3
	ramp      = 1500 * time.Millisecond
	watchFor  = 60 * time.Millisecond
	endWithin = 40 * time.Second // after the last event
	listLate  = 1200             // milliseconds by which lists of gateways disagree, at most
)

var key = []byte("an installation's key of 32 bytes")

// play is a running plot.
type play struct {
	plot     *Plot
	dir      string
	program  string
	began    time.Time
	faults   *faults
	machines map[string]*machine
	names    []string
	gateways []*process
	relays   map[string]*relay
	rng      *rand.Rand

	takes atomic.Int64 // nanoseconds that a store takes over an answer

	mu     sync.Mutex
	asked  map[string]time.Time
	acked  map[string]string // by machine: who took the request, and when
	seen   map[string]maintenance.Stage
	took   map[string]time.Duration
	ledger ledger
	texts  map[uint64]string // by revision, the state as somebody told it
	state  *maintenance.State
	rev    uint64
	wg     sync.WaitGroup
}

func (p *play) draw(n int) int {
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
	end := p.began.Add(plot.For)
	for i, g := range p.gateways {
		p.wg.Go(func() { g.clients.run(end, i+1) })
	}
	watched := make(chan time.Duration, 1)
	go func() { watched <- p.watch(ctx, end) }()
	for _, e := range plot.Events {
		if err := wait(ctx, p.began.Add(e.At)); err != nil {
			return nil, err
		}
		if err := p.do(ctx, e); err != nil {
			return nil, fmt.Errorf("procs: at %v %s: %w", e.At, e.What, err)
		}
	}
	var missing string
	if p.ledger.shared {
		if p.ledger.equal, missing = p.alike(ctx); missing != "" {
			p.faults.add("%v after the last fault gateways do not know the same: %s", p.ledger.equal.Round(time.Millisecond), missing)
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
func start(ctx context.Context, program string, plot *Plot) (*play, error) {
	dir, err := os.MkdirTemp("", "larchusher-procs")
	if err != nil {
		return nil, fmt.Errorf("procs: %w", err)
	}
	p := &play{plot: plot, dir: dir, program: program, faults: &faults{}, machines: map[string]*machine{}, relays: map[string]*relay{},
		rng: rand.New(rand.NewPCG(plot.Seed, 99)), asked: map[string]time.Time{}, acked: map[string]string{}, seen: map[string]maintenance.Stage{}, took: map[string]time.Duration{}, texts: map[uint64]string{}}
	p.takes.Store(int64(2 * time.Millisecond))
	p.ledger.shared = slices.ContainsFunc(plot.Events, func(e Event) bool { return e.What == "share" })
	if err := p.build(ctx); err != nil {
		p.close()
		return nil, err
	}
	p.began = time.Now()
	return p, nil
}

func wait(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *play) close() {
	p.wg.Wait()
	for _, g := range p.gateways {
		if g.news != nil {
			close(g.news)
		}
		if g.world != nil {
			g.world.Stop()
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
