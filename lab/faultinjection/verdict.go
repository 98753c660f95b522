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
	Plot                                   *Plot
	Violations                             []string // broken rules; empty: none
	Requested                              int      // for work
	Completed                              int
	EndedAfter                             time.Duration // when the last request ended
	Clients                                struct{ Sent, Served, Rejected, Failed, Duplicates, Unanswered, LostWithGateway int }
	GrantLatency                           map[string]time.Duration // by machine: from asking to granted, as seen from outside
	StaleRequests, DrainedRequests, Purges int                      // asks that would take what others knew to be purged, or went where others knew of a drain; purges told
	ConvergedAfter                         time.Duration            // after the last fault, until all knew the same
	Withheld                               float64                  // attempts that were withheld right before they were written
}

type violationLog struct {
	mu   sync.Mutex
	list []string
}

func (f *violationLog) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.list) < 20 {
		f.list = append(f.list, fmt.Sprintf(format, args...))
	}
}

// verdict sums up.
func (p *plotRun) verdict(ctx context.Context, ended time.Duration) *Verdict {
	v := &Verdict{Plot: p.plot, EndedAfter: ended, GrantLatency: p.grantLatency, Requested: len(p.requestedAt), StaleRequests: p.notices.staleRequests, DrainedRequests: p.notices.drainedRequests, ConvergedAfter: p.notices.convergedAfter, Purges: len(p.notices.purges)}
	for _, s := range p.stages {
		if s == maintenance.Completed {
			v.Completed++
		}
	}
	for _, g := range p.gateways {
		p.addClientCounts(v, g.name, g.clients)
		if all, err := g.testbed.Counters(ctx); err != nil {
			p.violations.add("%s: %v", g.name, err)
		} else {
			v.Withheld += all["held_out"]
			if all["panics"] > 0 {
				p.violations.add("%s: %v panics", g.name, all["panics"])
			}
		}
	}
	p.checkStatesAgree(ctx)
	v.Violations = p.violations.list
	return v
}

// addClients adds what the clients of a gateway saw.
func (p *plotRun) addClientCounts(v *Verdict, gateway string, c *clientLoad) {
	v.Clients.Sent += c.Sent
	v.Clients.Served += c.Served
	v.Clients.Rejected += c.Rejected
	v.Clients.Failed += c.Failed
	v.Clients.Duplicates += c.Duplicates
	v.Clients.Unanswered += c.Unanswered
	v.Clients.LostWithGateway += c.LostWithGateway
	if c.Duplicates > 0 || c.Unanswered > 0 {
		p.violations.add("%s: %d requests were answered twice, %d never", gateway, c.Duplicates, c.Unanswered)
	}
}

// checkOneState checks that in the end all tell the same: what still changes between two looks is looked at again.
func (p *plotRun) checkStatesAgree(ctx context.Context) {
	states := map[string]bool{}
	for range 30 {
		clear(states)
		for _, g := range p.gateways {
			if state, ok := p.queryStateWithRetry(ctx, g); ok {
				states[state] = true
			}
		}
		if len(states) == 1 || ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(states) > 1 {
		p.violations.add("in the end gateways tell %d different states", len(states))
	}
	if len(states) == 0 {
		p.violations.add("in the end nobody tells the state")
	}
}

// tryState asks a gateway for the state until it tells it, twenty times at most.
func (p *plotRun) queryStateWithRetry(ctx context.Context, g *gatewayProcess) (state string, ok bool) {
	for range 20 {
		m, err := p.sendRequest(ctx, g, cluster.Message{Query: "state"})
		if err == nil && m.Rejected == "" {
			return string(m.Value), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", false
}
