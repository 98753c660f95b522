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

// IdleResult is the traffic of a cluster in simulated time while nothing changes, per second, and the latency of one
// request for maintenance.
type IdleResult struct {
	Gateways               int
	Messages, Bytes        float64       // sent and received by the last gateway, which votes in clusters of up to 3 and of 5 only
	VoterMessages          float64       // sent and received by the gateway with the most bytes: a voter
	VoterBytes             float64       // sent and received by that gateway
	ReadyAfter             time.Duration // from the start of all gateways at once until each has its first view; 0: not within a minute
	Writes                 float64       // acceptor states stored by all gateways together
	GrantedAfter, OutAfter time.Duration // from one later request until it is granted, and until its machine is out; 0: not within 30 s
}

// simulatedCluster runs the cluster nodes of several gateways, in the packages that the daemon uses, in simulated time.
// Messages take 1 ms. It is used from one goroutine.
type simulatedCluster struct {
	clock       virtualclock.Clock
	nodes       map[string]*cluster.Node
	names       []string // of the gateways, voters first
	limits      maintenance.Limits
	report      func(name string) cluster.Report // what the named gateway observes of the machines now
	onSend      func(from, to string, bytes int) // called for each message that is sent; may be nil
	onStore     func()                           // called for each stored acceptor state; may be nil
	onToolReply func(m cluster.Message)          // called for each message to a recipient that is no gateway, such as a tool; may be nil
}

// newSimulatedCluster creates n gateways that start at once. With 5 or more gateways the first five vote, else the first
// three. Each gateway reads its report again every 500 ms. It fails if a node's configuration is not valid.
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
		incarnation := seed<<16 + uint64(i) + 1
		node, err := cluster.New(cluster.Config{Self: name, Incarnation: incarnation, Members: f.names, Voters: voters, Acceptor: consensus.AcceptorState{Incarnation: incarnation}, Durable: true, Limits: limits,
			WallClockMs: func() int64 { return int64(f.clock.Now / time.Millisecond) }, ReadInterval: 40 * time.Millisecond, Seed: incarnation})
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

// handle passes an event to a gateway's node and carries out the actions it returns: messages, writes (2 ms) and drains
// (50 ms) complete in simulated time.
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

// sendCommand sends a command to a gateway as the operator's tool does, and does not wait for the reply.
func (f *simulatedCluster) sendCommand(to string, c maintenance.Command) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.handle(to, cluster.MessageReceived{From: "tool-1", Message: cluster.Message{Kind: cluster.OperatorRequest, ID: 1, Value: value}})
	return nil
}

// waitReady runs until all gateways have their first view, and returns how long that took; 0: longer than a minute.
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

// trafficCounter counts the messages and writes of a cluster while on is set.
type trafficCounter struct {
	on     bool
	sent   map[string]gatewayTraffic // by gateway
	writes float64                   // stored acceptor states
}

// gatewayTraffic is what one gateway sent and received.
type gatewayTraffic struct{ messages, bytes float64 }

// count adds a message to the counts of its sender and its recipient.
func (t *trafficCounter) count(from, to string, bytes int) {
	if !t.on {
		return
	}
	for _, who := range []string{from, to} {
		s := t.sent[who]
		t.sent[who] = gatewayTraffic{s.messages + 1, s.bytes + float64(bytes)}
	}
}

// countWrite counts one stored acceptor state.
func (t *trafficCounter) countWrite() {
	if t.on {
		t.writes++
	}
}

// MeasureIdle measures the idle traffic of n simulated gateways, whose reports list 20 machines each: 10 s after all
// are ready, for 20 s. Afterwards it times one request for maintenance.
func MeasureIdle(n int, seed uint64) (IdleResult, error) {
	out, traffic := IdleResult{Gateways: n}, &trafficCounter{sent: map[string]gatewayTraffic{}}
	report := cluster.Report{Machines: map[string]maintenance.Machine{}}
	for i := range 20 {
		report.Machines[fmt.Sprintf("box-%02d", i)] = maintenance.Machine{Kind: maintenance.KindCache, Zone: "z", Up: true, Warm: true, Weight: 10, Utilization: 0.3}
	}
	f, err := newSimulatedCluster(n, seed, maintenance.Limits{}, func(string) cluster.Report { return report })
	if err != nil {
		return out, err
	}
	f.onSend, f.onStore = traffic.count, traffic.countWrite
	out.ReadyAfter = f.waitReady()
	f.clock.Run(f.clock.Now + 10*time.Second)
	traffic.on = true
	const seconds = 20
	f.clock.Run(f.clock.Now + seconds*time.Second)
	traffic.on = false
	for i, name := range f.names {
		s := traffic.sent[name]
		if i == n-1 {
			out.Messages, out.Bytes = s.messages/seconds, s.bytes/seconds
		}
		if s.bytes/seconds > out.VoterBytes {
			out.VoterMessages, out.VoterBytes = s.messages/seconds, s.bytes/seconds
		}
	}
	out.Writes = traffic.writes / seconds
	requestedAt := f.clock.Now
	if err := f.sendCommand(f.names[n-1], maintenance.Command{Request: &maintenance.RequestSpec{Key: "k", Machine: "box-01", DurationMs: 1000}}); err != nil {
		return out, err
	}
	out.GrantedAfter, out.OutAfter = f.measureRequest(requestedAt)
	return out, nil
}

// measureRequest runs until the only request, made at the given time, is granted and its machine is out of service, and
// returns both times since the request; 0: not within 30 s.
func (f *simulatedCluster) measureRequest(requestedAt time.Duration) (granted, out time.Duration) {
	for until := requestedAt; out == 0 && until < requestedAt+30*time.Second; {
		until += 5 * time.Millisecond
		f.clock.Run(until)
		s := f.nodes[f.names[0]].View()
		if s == nil || len(s.Requests) == 0 {
			continue
		}
		if granted == 0 {
			granted = until - requestedAt
		}
		if s.Requests[0].Stage == maintenance.OutOfService {
			out = until - requestedAt
		}
	}
	return granted, out
}

// MeasureGrants measures, with real gateway processes and no other maintenance, the time from a request until a tool sees it
// granted. It returns the times in ascending order. With killVoter, the first voter is killed right before every third
// request and restarted after it, and only those requests are measured.
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

// queryState returns the maintenance state as a gateway reports it, or nil if it returns none that can be decoded.
func (p *plotRun) queryState(ctx context.Context, g *gatewayProcess) *maintenance.State {
	m, err := p.sendRequest(ctx, g, cluster.Message{Query: "state"})
	if err != nil || m.Rejected != "" {
		return nil
	}
	s, _ := maintenance.Decode(m.Value) // nil on an error
	return s
}

// measureGrant returns the time from the n-th request until its grant. With killVoter, the first voter is down during that time.
func (p *plotRun) measureGrant(ctx context.Context, via *gatewayProcess, n int, killVoter bool) (time.Duration, error) {
	key := fmt.Sprint("m", n)
	value, err := json.Marshal(maintenance.Command{Actor: "measure", Request: &maintenance.RequestSpec{Key: key, Machine: cacheName(0, n%6), DurationMs: 1000}})
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
	for accepted := false; !accepted; {
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		m, err := p.sendRequest(ctx, via, cluster.Message{Value: value})
		accepted = err == nil && m.Rejected == ""
	}
	for granted := false; !granted; {
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		if s := p.queryState(ctx, via); s != nil {
			granted = slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return r.Key == key && r.Stage != maintenance.Requested })
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

// withdraw withdraws the request for a machine, and repeats that until it is accepted or ctx ends. The machine may be out
// of service by then: its work is reported as finished, too.
func (p *plotRun) withdraw(ctx context.Context, via *gatewayProcess, machine string) {
	value, _ := json.Marshal(maintenance.Command{Actor: "measure", Withdraw: &maintenance.Target{Name: machine}}) // no field of a command can fail to encode
	for {
		m, err := p.sendRequest(ctx, via, cluster.Message{Value: value})
		if err == nil && m.Rejected == "" || ctx.Err() != nil {
			break
		}
	}
	value, _ = json.Marshal(maintenance.Command{Actor: "measure", Finish: &maintenance.Target{Name: machine}})
	_, _ = p.sendRequest(ctx, via, cluster.Message{Value: value}) // rejected if the machine was not out
	time.Sleep(1200 * time.Millisecond)
}
