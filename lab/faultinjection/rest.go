package faultinjection

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"larchusher/cluster"
	"larchusher/consensus"
	"larchusher/internal/net/clustertransport"
	"larchusher/lab/virtualclock"
	"larchusher/maintenance"
)

// Resting is what a fleet sends each other in simulated time while nothing happens, a second.
type IdleResult struct {
	Gateways               int
	Messages, Bytes        float64 // of a gateway that does not vote, sent and heard
	VoterMessages          float64 // of the voter that sends the most
	VoterBytes             float64
	ReadyAfter             time.Duration // from the start of all at once until each has its first view
	Writes                 float64       // votes and views stored, of all
	GrantedAfter, OutAfter time.Duration // of one request asked for afterwards: until it is granted, and out
}

// simulated is a fleet in simulated time, over links of a millisecond: the same packages as in the daemon.
type simulatedCluster struct {
	clock       virtualclock.Clock
	nodes       map[string]*cluster.Node
	names       []string
	limits      maintenance.Limits
	report      func(name string) cluster.Report
	onSend      func(from, to string, bytes int) // nil: nobody counts
	onStore     func()                           // likewise
	onToolReply func(m cluster.Message)          // to a tool; nil: nobody reads it
}

// simulate starts so many gateways at once. Reports are made every half second.
func newSimulatedCluster(n int, seed uint64, limits maintenance.Limits, report func(name string) cluster.Report) (*simulatedCluster, error) {
	f := &simulatedCluster{clock: virtualclock.Clock{Now: time.Second}, nodes: map[string]*cluster.Node{}, limits: limits, report: report}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("gateway-%03d", i))
	}
	voters := f.names[:min(n, 5)]
	if n < 5 {
		voters = f.names[:min(n, 3)]
	}
	for i, name := range f.names {
		life := seed<<16 + uint64(i) + 1
		node, err := cluster.New(cluster.Config{Self: name, Incarnation: life, Members: f.names, Voters: voters, Acceptor: consensus.AcceptorState{Incarnation: life}, Durable: true, Limits: limits,
			WallClockMs: func() int64 { return int64(f.clock.Now / time.Millisecond) }, ReadInterval: 40 * time.Millisecond, Seed: life})
		if err != nil {
			return nil, err
		}
		f.nodes[name] = node
		ticks := 0
		var tick func()
		tick = func() {
			if ticks%10 == 0 {
				f.handle(name, cluster.ReportUpdated{Report: report(name)})
			}
			ticks++
			f.handle(name, cluster.Tick{})
			f.clock.At(f.clock.Now+50*time.Millisecond, tick)
		}
		f.clock.At(f.clock.Now+time.Duration(i%50)*time.Millisecond, tick)
	}
	return f, nil
}

func (f *simulatedCluster) handle(name string, e cluster.Event) {
	for _, a := range f.nodes[name].Handle(f.clock.Now, e, nil) {
		switch a := a.(type) {
		case cluster.Send:
			if f.onSend != nil {
				f.onSend(name, a.To, clustertransport.FrameSize(a.Message))
			}
			switch {
			case f.nodes[a.To] != nil:
				f.clock.At(f.clock.Now+time.Millisecond, func() { f.handle(a.To, cluster.MessageReceived{From: name, Message: a.Message}) })
			case f.onToolReply != nil:
				f.onToolReply(a.Message)
			}
		case cluster.StoreAcceptorState:
			if f.onStore != nil {
				f.onStore()
			}
			f.clock.At(f.clock.Now+2*time.Millisecond, func() { f.handle(name, cluster.AcceptorStateStored{Number: a.Store.Number}) })
		case cluster.StoreView:
			f.clock.At(f.clock.Now+2*time.Millisecond, func() { f.handle(name, cluster.ViewStored{Revision: a.Revision}) })
		case cluster.DrainMachines:
			f.clock.At(f.clock.Now+50*time.Millisecond, func() { f.handle(name, cluster.DrainCompleted{Generation: a.Generation}) })
		}
	}
}

// order sends a command to a gateway as a tool does.
func (f *simulatedCluster) sendCommand(to string, c maintenance.Command) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.handle(to, cluster.MessageReceived{From: "tool-1", Message: cluster.Message{Kind: cluster.OperatorRequest, ID: 1, Value: value}})
	return nil
}

// ready runs until all gateways have their first view, and says how long that took.
func (f *simulatedCluster) waitReady() time.Duration {
	from := f.clock.Now
	for until := from; until < from+time.Minute; {
		until += 20 * time.Millisecond
		f.clock.Run(until)
		if !slices.ContainsFunc(f.names, func(n string) bool { return !f.nodes[n].Ready() }) {
			return until - from
		}
	}
	return 0
}

// traffic counts what a fleet sends and stores while counting is on.
type trafficCounter struct {
	on     bool
	sent   map[string]gatewayTraffic
	writes float64
}

// gatewayTraffic is what one gateway sent and heard.
type gatewayTraffic struct{ messages, bytes float64 }

func (t *trafficCounter) count(from, to string, bytes int) {
	if !t.on {
		return
	}
	for _, who := range []string{from, to} {
		s := t.sent[who]
		t.sent[who] = gatewayTraffic{s.messages + 1, s.bytes + float64(bytes)}
	}
}

func (t *trafficCounter) countWrite() {
	if t.on {
		t.writes++
	}
}

// Rest drives the same packages as the daemon with so many gateways, over links of a millisecond, with 20 machines in each
// one's report.
func MeasureIdle(n int, seed uint64) (IdleResult, error) {
	out, counted := IdleResult{Gateways: n}, &trafficCounter{sent: map[string]gatewayTraffic{}}
	report := cluster.Report{Machines: map[string]maintenance.Machine{}}
	for i := range 20 {
		report.Machines[fmt.Sprintf("box-%02d", i)] = maintenance.Machine{Kind: maintenance.KindCache, Zone: "z", Up: true, Warm: true, Weight: 10, Utilization: 0.3}
	}
	f, err := newSimulatedCluster(n, seed, maintenance.Limits{}, func(string) cluster.Report { return report })
	if err != nil {
		return out, err
	}
	f.onSend, f.onStore = counted.count, counted.countWrite
	out.ReadyAfter = f.waitReady()
	f.clock.Run(f.clock.Now + 10*time.Second)
	counted.on = true
	const seconds = 20
	f.clock.Run(f.clock.Now + seconds*time.Second)
	counted.on = false
	for i, name := range f.names {
		s := counted.sent[name]
		if i == n-1 {
			out.Messages, out.Bytes = s.messages/seconds, s.bytes/seconds
		}
		if s.bytes/seconds > out.VoterBytes {
			out.VoterMessages, out.VoterBytes = s.messages/seconds, s.bytes/seconds
		}
	}
	out.Writes = counted.writes / seconds
	asked := f.clock.Now
	if err := f.sendCommand(f.names[n-1], maintenance.Command{Request: &maintenance.RequestSpec{Key: "k", Machine: "box-01", DurationMs: 1000}}); err != nil {
		return out, err
	}
	out.GrantedAfter, out.OutAfter = f.measureRequest(asked)
	return out, nil
}

// timeOrder is how long the one request that was asked for takes until it is granted, and until its machine is out; 0: longer than half
// a minute.
func (f *simulatedCluster) measureRequest(asked time.Duration) (granted, out time.Duration) {
	for until := asked; out == 0 && until < asked+30*time.Second; {
		until += 5 * time.Millisecond
		f.clock.Run(until)
		s := f.nodes[f.names[0]].View()
		if s == nil || len(s.Requests) == 0 {
			continue
		}
		if granted == 0 {
			granted = until - asked
		}
		if s.Requests[0].Stage == maintenance.OutOfService {
			out = until - asked
		}
	}
	return granted, out
}

// Grants measures, with real processes and no machine worked on, how long it takes from asking to granted, as a tool sees it: kill has the
// first voter killed right before every third request and started again after it.
func MeasureGrants(ctx context.Context, program string, gateways, times int, killVoter bool) ([]time.Duration, error) {
	p, err := start(ctx, program, &Plot{Seed: uint64(200 + gateways), Gateways: gateways, CachesPerZone: 6, For: time.Hour})
	if err != nil {
		return nil, err
	}
	defer p.close()
	last := p.gateways[gateways-1]
	for s := p.queryState(ctx, last); s == nil || len(s.Gateways) < gateways; s = p.queryState(ctx, last) {
		if err := waitUntil(ctx, time.Now().Add(50*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	var all []time.Duration
	for n := range times {
		killed := killVoter && n%3 == 2
		took, err := p.measureGrant(ctx, last, n, killed)
		if err != nil {
			return nil, err
		}
		if !killVoter || killed {
			all = append(all, took)
		}
		p.withdraw(ctx, last, cacheName(0, n%6))
	}
	slices.Sort(all)
	return all, nil
}

// stateOf is what a gateway tells of the order of work; nil: nothing.
func (p *plotRun) queryState(ctx context.Context, g *gatewayProcess) *maintenance.State {
	m, err := p.sendRequest(ctx, g, cluster.Message{Query: "state"})
	if err != nil || m.Rejected != "" {
		return nil
	}
	s, _ := maintenance.Decode(m.Value) // nil if it can't be read
	return s
}

// timeGrant is how long the n-th request takes from asking to granted; dies has the first voter killed for as long.
func (p *plotRun) measureGrant(ctx context.Context, at *gatewayProcess, n int, killVoter bool) (time.Duration, error) {
	request := fmt.Sprint("m", n)
	value, err := json.Marshal(maintenance.Command{Actor: "measure", Request: &maintenance.RequestSpec{Key: request, Machine: cacheName(0, n%6), DurationMs: 1000}})
	if err != nil {
		return 0, err
	}
	voter := p.gateways[0]
	if killVoter {
		voter.setUp(false)
		if err := voter.testbed.Kill(); err != nil {
			return 0, err
		}
	}
	began := time.Now()
	for taken := false; !taken; {
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		m, err := p.sendRequest(ctx, at, cluster.Message{Value: value})
		taken = err == nil && m.Rejected == ""
	}
	for granted := false; !granted; {
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		if s := p.queryState(ctx, at); s != nil {
			granted = slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return r.Key == request && r.Stage != maintenance.Requested })
		}
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(began)
	if !killVoter {
		return took, nil
	}
	if err := voter.testbed.Restart(); err != nil {
		return 0, err
	}
	if _, err := voter.testbed.WaitForLog(ctx, "msg=serving"); err != nil {
		return 0, err
	}
	voter.setUp(true)
	return took, nil
}

// withdraw takes a request back. Its machine may have been called out meanwhile: then its work is over at once.
func (p *plotRun) withdraw(ctx context.Context, at *gatewayProcess, machine string) {
	value, _ := json.Marshal(maintenance.Command{Actor: "measure", Withdraw: &maintenance.Target{Name: machine}}) // it has no field that can fail
	for {
		m, err := p.sendRequest(ctx, at, cluster.Message{Value: value})
		if err == nil && m.Rejected == "" || ctx.Err() != nil {
			break
		}
	}
	value, _ = json.Marshal(maintenance.Command{Actor: "measure", Finish: &maintenance.Target{Name: machine}})
	_, _ = p.sendRequest(ctx, at, cluster.Message{Value: value}) // rejected if it was not out
	time.Sleep(1200 * time.Millisecond)
}
