package faultinjection

import (
	"context"
	"fmt"
	"sync"
	"time"

	"larchusher/cluster"
	"larchusher/maintenance"
)

// Verdict is what came of a plot.
type Verdict struct {
	Plot                 *Plot
	Faults               []string // broken rules; empty: none
	Asked                int      // for work
	Done                 int
	Ended                time.Duration // when the last request ended
	Client               struct{ Asked, Served, Refused, Failed, Twice, Lost, Excused int }
	Took                 map[string]time.Duration // by machine: from asking to granted, as seen from outside
	Stale, Drained, Told int                      // asks that would take what others knew to be purged, or went where others knew of a drain; purges told
	Equal                time.Duration            // after the last fault, until all knew the same
	Held                 float64                  // attempts that were withheld right before they were written
}

type faults struct {
	mu  sync.Mutex
	all []string
}

func (f *faults) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.all) < 20 {
		f.all = append(f.all, fmt.Sprintf(format, args...))
	}
}

// verdict sums up.
func (p *play) verdict(ctx context.Context, ended time.Duration) *Verdict {
	v := &Verdict{Plot: p.plot, Ended: ended, Took: p.took, Asked: len(p.asked), Stale: p.ledger.stale, Drained: p.ledger.drained, Equal: p.ledger.equal, Told: len(p.ledger.purges)}
	for _, s := range p.seen {
		if s == maintenance.Completed {
			v.Done++
		}
	}
	for _, g := range p.gateways {
		p.addClients(v, g.name, g.clients)
		if all, err := g.world.Counters(ctx); err != nil {
			p.faults.add("%s: %v", g.name, err)
		} else {
			v.Held += all["held_out"]
			if all["panics"] > 0 {
				p.faults.add("%s: %v panics", g.name, all["panics"])
			}
		}
	}
	p.checkOneState(ctx)
	v.Faults = p.faults.all
	return v
}

// addClients adds what the clients of a gateway saw.
func (p *play) addClients(v *Verdict, gateway string, c *clients) {
	v.Client.Asked += c.Asked
	v.Client.Served += c.Served
	v.Client.Refused += c.Refused
	v.Client.Failed += c.Failed
	v.Client.Twice += c.Twice
	v.Client.Lost += c.Lost
	v.Client.Excused += c.Excused
	if c.Twice > 0 || c.Lost > 0 {
		p.faults.add("%s: %d requests were answered twice, %d never", gateway, c.Twice, c.Lost)
	}
}

// checkOneState checks that in the end all tell the same: what still changes between two looks is looked at again.
func (p *play) checkOneState(ctx context.Context) {
	told := map[string]bool{}
	for range 30 {
		clear(told)
		for _, g := range p.gateways {
			if state, ok := p.tryState(ctx, g); ok {
				told[state] = true
			}
		}
		if len(told) == 1 || ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(told) > 1 {
		p.faults.add("in the end gateways tell %d different states", len(told))
	}
	if len(told) == 0 {
		p.faults.add("in the end nobody tells the state")
	}
}

// tryState asks a gateway for the state until it tells it, twenty times at most.
func (p *play) tryState(ctx context.Context, g *process) (state string, ok bool) {
	for range 20 {
		m, err := p.order(ctx, g, cluster.Message{Query: "state"})
		if err == nil && m.Rejected == "" {
			return string(m.Value), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", false
}
