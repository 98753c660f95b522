package faultinjection

import (
	"context"
	"fmt"
	"sync"
	"time"

	"larchusher/cluster"
	"larchusher/maintenance"
)

// Verdict is the outcome of one run of a plot.
type Verdict struct {
	Plot                                   *Plot
	Violations                             []string      // rules that were broken, 20 at most; empty: none
	Requested                              int           // machines for which maintenance was requested
	Completed                              int           // of them, with completed maintenance
	EndedAfter                             time.Duration // from the start until watching ended: all maintenance over, or given up
	Clients                                struct{ Sent, Served, Rejected, Failed, Duplicates, Unanswered, LostWithGateway int }
	GrantLatency                           map[string]time.Duration // by machine: from the first request until a gateway reported the grant
	StaleRequests, DrainedRequests, Purges int                      // see noticeLog; number of purges
	ConvergedAfter                         time.Duration            // from the last event until all gateways had the same replicated slots; 0 without replication
	Withheld                               float64                  // attempts stopped right before they were written, as their endpoint was out for maintenance (held_out)
}

// violationLog collects descriptions of broken rules from any goroutine; from the 21st on they are dropped.
type violationLog struct {
	mu   sync.Mutex
	list []string
}

// add formats and appends a description.
func (f *violationLog) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.list) < 20 {
		f.list = append(f.list, fmt.Sprintf(format, args...))
	}
}

// verdict checks the final state and sums up the run, which took ended until watching ended.
func (p *plotRun) verdict(ctx context.Context, ended time.Duration) *Verdict {
	v := &Verdict{Plot: p.plot, EndedAfter: ended, GrantLatency: p.grantLatency, Requested: len(p.requestedAt), StaleRequests: p.notices.staleRequests, DrainedRequests: p.notices.drainedRequests, ConvergedAfter: p.notices.convergedAfter, Purges: len(p.notices.purges)}
	for _, s := range p.stages {
		if s == maintenance.Completed {
			v.Completed++
		}
	}
	for _, g := range p.gateways {
		p.addClientCounts(v, g.name, g.clients)
		if counters, err := g.testbed.Counters(ctx); err != nil {
			p.violations.add("gateway %s: counters not readable: %v", g.name, err)
		} else {
			v.Withheld += counters["held_out"]
			if counters["panics"] > 0 {
				p.violations.add("gateway %s: %v panics, want none", g.name, counters["panics"])
			}
		}
	}
	p.checkStatesAgree(ctx)
	v.Violations = p.violations.list
	return v
}

// addClientCounts adds the counts of a gateway's clients, and records a violation if requests had two answers or none.
func (p *plotRun) addClientCounts(v *Verdict, gateway string, c *clientLoad) {
	v.Clients.Sent += c.Sent
	v.Clients.Served += c.Served
	v.Clients.Rejected += c.Rejected
	v.Clients.Failed += c.Failed
	v.Clients.Duplicates += c.Duplicates
	v.Clients.Unanswered += c.Unanswered
	v.Clients.LostWithGateway += c.LostWithGateway
	if c.Duplicates > 0 || c.Unanswered > 0 {
		p.violations.add("clients of gateway %s: %d requests were answered twice, %d were not answered", gateway, c.Duplicates, c.Unanswered)
	}
}

// checkStatesAgree checks that in the end all gateways that answer report the same maintenance state. It compares again, up to
// 30 times, while they differ: the state may change between two queries.
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
		p.violations.add("after the end gateways still report %d different maintenance states", len(states))
	}
	if len(states) == 0 {
		p.violations.add("after the end no gateway reported its maintenance state")
	}
}

// queryStateWithRetry returns the encoded maintenance state of a gateway, or false if 20 queries failed.
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
