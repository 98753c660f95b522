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

// ask asks for work on a machine, at one gateway and then at others until one takes it.
func (p *play) ask(ctx context.Context, name string, first *process) {
	m := p.machines[name]
	if m == nil {
		return
	}
	p.mu.Lock()
	_, again := p.asked[name]
	if !again {
		p.asked[name] = time.Now()
	}
	p.mu.Unlock()
	if again {
		return
	}
	p.wg.Go(func() {
		value, _ := json.Marshal(maintenance.Command{Actor: "plot", Request: &maintenance.RequestSpec{Key: "plot-" + name, Machine: name, DurationMs: 3000}})
		for try := 0; ctx.Err() == nil && try < 200; try++ {
			g := first
			if try > 0 {
				g = p.gateways[p.draw(len(p.gateways))]
			}
			reply, err := p.order(ctx, g, cluster.Message{Value: value})
			if err == nil && reply.Rejected == "" {
				var r maintenance.Reply
				if json.Unmarshal(reply.Value, &r) == nil && r.Rejected == "" {
					p.mu.Lock()
					defer p.mu.Unlock()
					p.acked[name] = fmt.Sprintf("%s took it as work %d at revision %d, at try %d after %v", g.name, r.ID, reply.Revision, try, time.Since(p.began).Round(time.Millisecond))
					return
				}
				// A gateway that has just started, or whose list is late, may not know the machine.
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.faults.add("nobody takes the request for %s", name)
	})
}

func (p *play) order(ctx context.Context, g *process, m cluster.Message) (cluster.Message, error) {
	if !g.is() {
		return cluster.Message{}, errors.New("it is down")
	}
	one, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	t, err := clustertransport.DialTool(one, g.name, g.link, key)
	if err != nil {
		return cluster.Message{}, err
	}
	defer loopback.Close(t)
	return t.Request(one, m)
}

// watch looks at what is agreed on, and works on machines that are called out. It returns when all that was asked has ended, or it
// is too late for that.
func (p *play) watch(ctx context.Context, end time.Time) time.Duration {
	for ctx.Err() == nil {
		time.Sleep(watchFor)
		g := p.gateways[p.draw(len(p.gateways))]
		m, err := p.order(ctx, g, cluster.Message{Query: "state"})
		if err == nil && m.Rejected == "" {
			p.look(g, m)
		}
		p.mu.Lock()
		done := p.state != nil && (len(p.asked) > 0 || len(p.ledger.purges) > 0)
		for name := range p.asked {
			done = done && p.seen[name].Ended()
		}
		p.mu.Unlock()
		if now := time.Now(); now.After(end) && done {
			return now.Sub(p.began)
		} else if now.After(end.Add(endWithin)) {
			p.mu.Lock()
			p.faults.add("the plan does not end: %s", p.texts[p.rev])
			for name, how := range p.acked {
				if p.seen[name] == "" {
					p.faults.add("the request for %s is in no state, though %s", name, how)
				}
			}
			p.mu.Unlock()
			return now.Sub(p.began)
		}
	}
	return 0
}

// look holds what one gateway told against what others did, and against the bounds.
func (p *play) look(g *process, m cluster.Message) {
	s, err := maintenance.Decode(m.Value)
	if err != nil {
		p.faults.add("%s tells a state that can't be read: %v", g.name, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if was, ok := p.texts[m.Revision]; ok && was != string(m.Value) {
		p.faults.add("revision %d is two things:\n%s\n%s", m.Revision, was, m.Value)
	}
	p.texts[m.Revision] = string(m.Value)
	if m.Revision < p.rev {
		p.faults.add("%s tells revision %d after %d was told", g.name, m.Revision, p.rev)
		return
	}
	p.rev, p.state = m.Revision, s
	away, parents, zones := 0, 0, map[string]int{}
	for _, r := range s.Requests {
		if was := p.seen[r.Machine]; was != r.Stage {
			p.seen[r.Machine] = r.Stage
			if _, ok := p.took[r.Machine]; !ok && r.Stage != maintenance.Requested && r.Stage != maintenance.Withdrawn {
				p.took[r.Machine] = time.Since(p.asked[r.Machine])
			}
			if r.Stage == maintenance.OutOfService {
				p.begin(p.machines[r.Machine])
			}
		}
		if r.Stage == maintenance.Requested || r.Stage.Ended() {
			continue
		}
		away++
		zones[r.Kind+" "+r.Zone]++
		if r.Kind == maintenance.KindParent {
			parents++
		}
	}
	if away > atOnce || parents > 1 {
		p.faults.add("%d machines are away at once, %d of them upper caches", away, parents)
	}
	for z, n := range zones {
		if strings.HasPrefix(z, "box") && n > max(1, int(0.34*float64(p.plot.Boxes))) {
			p.faults.add("%d of %d are away in %s", n, p.plot.Boxes, z)
		}
	}
}
