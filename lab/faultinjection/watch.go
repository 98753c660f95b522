package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"larchusher/cluster"
	"larchusher/internal/net/clustertransport"
	"larchusher/lab/loopback"
	"larchusher/maintenance"
)

// requestWork requests maintenance of a machine, unless it has been requested before, in another goroutine: first at the given
// gateway and then at random ones, up to 200 times in all, until one accepts the request.
func (p *plotRun) requestWork(ctx context.Context, name string, first *gatewayProcess) {
	m := p.machines[name]
	if m == nil {
		return
	}
	p.mu.Lock()
	_, repeated := p.requestedAt[name]
	if !repeated {
		p.requestedAt[name] = time.Now()
	}
	p.mu.Unlock()
	if repeated {
		return
	}
	p.wg.Go(func() {
		value, _ := json.Marshal(maintenance.Command{Actor: "plot", Request: &maintenance.RequestSpec{Key: "plot-" + name, Machine: name, DurationMs: 3000}})
		for attempt := 0; ctx.Err() == nil && attempt < 200; attempt++ {
			target := first
			if attempt > 0 {
				target = p.gateways[p.randomInt(len(p.gateways))]
			}
			reply, err := p.sendRequest(ctx, target, cluster.Message{Value: value})
			if err == nil && reply.Rejected == "" {
				var r maintenance.Reply
				if json.Unmarshal(reply.Value, &r) == nil && r.Rejected == "" {
					p.mu.Lock()
					defer p.mu.Unlock()
					p.acceptedBy[name] = fmt.Sprintf("gateway %s accepted it as request %d at revision %d, in try %d after %v", target.name, r.ID, reply.Revision, attempt, time.Since(p.startedAt).Round(time.Millisecond))
					return
				}
				// Rejected: a gateway that has just started, or received an endpoint list late, may not know the machine.
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.violations.add("no gateway accepted the maintenance request for machine %s", name)
	})
}

// sendRequest sends a message of the operator's tool to a gateway and returns the reply. It fails if the gateway is down or does not
// reply within 1.2 s.
func (p *plotRun) sendRequest(ctx context.Context, g *gatewayProcess, m cluster.Message) (cluster.Message, error) {
	if !g.isUp() {
		return cluster.Message{}, errors.New("gateway is down")
	}
	attempt, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	tool, err := clustertransport.DialTool(attempt, g.name, g.clusterAddr, clusterKey)
	if err != nil {
		return cluster.Message{}, err
	}
	defer loopback.Close(tool)
	return tool.Request(attempt, m)
}

// watchRequests polls the maintenance state of random gateways, checks it, and starts the work on machines that are out of
// service. It returns the time since the start of the plot when, after its end, all requested maintenance is over or
// completionTimeout has passed, which is a violation. It returns 0 if ctx ends first.
func (p *plotRun) watchRequests(ctx context.Context, end time.Time) time.Duration {
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		g := p.gateways[p.randomInt(len(p.gateways))]
		m, err := p.sendRequest(ctx, g, cluster.Message{Query: "state"})
		if err == nil && m.Rejected == "" {
			p.checkState(g, m)
		}
		p.mu.Lock()
		done := p.state != nil && (len(p.requestedAt) > 0 || len(p.notices.purges) > 0)
		for name := range p.requestedAt {
			done = done && p.stages[name].Ended()
		}
		p.mu.Unlock()
		if now := time.Now(); now.After(end) && done {
			return now.Sub(p.startedAt)
		} else if now.After(end.Add(completionTimeout)) {
			p.mu.Lock()
			p.violations.add("requested maintenance does not complete; latest state: %s", p.encodedStates[p.revision])
			for name, how := range p.acceptedBy {
				if p.stages[name] == "" {
					p.violations.add("the maintenance request for machine %s is in no reported state, though %s", name, how)
				}
			}
			p.mu.Unlock()
			return now.Sub(p.startedAt)
		}
	}
	return 0
}

// checkState checks the state that one gateway reported against earlier reports and against the limits of how many machines
// may be out at once, and starts the work on machines that are newly out of service.
func (p *plotRun) checkState(g *gatewayProcess, m cluster.Message) {
	s, err := maintenance.Decode(m.Value)
	if err != nil {
		p.violations.add("gateway %s returned a state that cannot be decoded: %v", g.name, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if earlier, ok := p.encodedStates[m.Revision]; ok && earlier != string(m.Value) {
		p.violations.add("revision %d has two different states:\n%s\n%s", m.Revision, earlier, m.Value)
	}
	p.encodedStates[m.Revision] = string(m.Value)
	if m.Revision < p.revision {
		p.violations.add("gateway %s reports revision %d after revision %d was reported", g.name, m.Revision, p.revision)
		return
	}
	p.revision, p.state = m.Revision, s
	out, parents, zones := 0, 0, map[string]int{}
	for _, r := range s.Requests {
		if previous := p.stages[r.Machine]; previous != r.Stage {
			p.stages[r.Machine] = r.Stage
			if _, ok := p.grantLatency[r.Machine]; !ok && r.Stage != maintenance.Requested && r.Stage != maintenance.Withdrawn {
				p.grantLatency[r.Machine] = time.Since(p.requestedAt[r.Machine])
			}
			if r.Stage == maintenance.OutOfService {
				p.beginWork(p.machines[r.Machine])
			}
		}
		if r.Stage == maintenance.Requested || r.Stage.Ended() {
			continue
		}
		out++
		zones[r.Kind+" "+r.Zone]++
		if r.Kind == maintenance.KindParent {
			parents++
		}
	}
	if out > maxOut || parents > 1 {
		p.violations.add("%d machines are out of service or about to be, %d of them parents; want at most 3 (maxOut), and 1 parent", out, parents)
	}
	for z, n := range zones {
		if strings.HasPrefix(z, "box") && n > max(1, int(0.34*float64(p.plot.CachesPerZone))) {
			p.violations.add("%d of %d machines are out of service or about to be in %s, want at most 34 %%, or 1", n, p.plot.CachesPerZone, z)
		}
	}
}
