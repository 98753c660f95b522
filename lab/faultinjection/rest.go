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
type Resting struct {
	Gateways         int
	Messages, Bytes  float64 // of a gateway that does not vote, sent and heard
	VoterMessages    float64 // of the voter that sends the most
	VoterBytes       float64
	Formed           time.Duration // from the start of all at once until each has its first view
	Writes           float64       // votes and views stored, of all
	Granted, Drained time.Duration // of one request asked for afterwards: until it is granted, and out
}

// simulated is a fleet in simulated time, over links of a millisecond: the same packages as in the daemon.
type simulated struct {
	clock  virtualclock.Clock
	nodes  map[string]*cluster.Node
	names  []string
	bounds maintenance.Limits
	report func(name string) cluster.Report
	sent   func(from, to string, bytes int) // nil: nobody counts
	wrote  func()                           // likewise
	reply  func(m cluster.Message)          // to a tool; nil: nobody reads it
}

// simulate starts so many gateways at once. Reports are made every half second.
func simulate(n int, seed uint64, bounds maintenance.Limits, report func(name string) cluster.Report) (*simulated, error) {
	f := &simulated{clock: virtualclock.Clock{Now: time.Second}, nodes: map[string]*cluster.Node{}, bounds: bounds, report: report}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("gateway-%03d", i))
	}
	voters := f.names[:min(n, 5)]
	if n < 5 {
		voters = f.names[:min(n, 3)]
	}
	for i, name := range f.names {
		life := seed<<16 + uint64(i) + 1
		node, err := cluster.New(cluster.Config{Self: name, Incarnation: life, Members: f.names, Voters: voters, Acceptor: consensus.AcceptorState{Incarnation: life}, Durable: true, Limits: bounds,
			WallClockMs: func() int64 { return int64(f.clock.Now / time.Millisecond) }, ReadInterval: 40 * time.Millisecond, Seed: life})
		if err != nil {
			return nil, err
		}
		f.nodes[name] = node
		ticks := 0
		var tick func()
		tick = func() {
			if ticks%10 == 0 {
				f.do(name, cluster.Observed{Report: report(name)})
			}
			ticks++
			f.do(name, cluster.Tick{})
			f.clock.At(f.clock.Now+50*time.Millisecond, tick)
		}
		f.clock.At(f.clock.Now+time.Duration(i%50)*time.Millisecond, tick)
	}
	return f, nil
}

func (f *simulated) do(name string, e cluster.Event) {
	for _, a := range f.nodes[name].Handle(f.clock.Now, e, nil) {
		switch a := a.(type) {
		case cluster.Send:
			if f.sent != nil {
				f.sent(name, a.To, clustertransport.FrameSize(a.Message))
			}
			switch {
			case f.nodes[a.To] != nil:
				f.clock.At(f.clock.Now+time.Millisecond, func() { f.do(a.To, cluster.MessageReceived{From: name, Message: a.Message}) })
			case f.reply != nil:
				f.reply(a.Message)
			}
		case cluster.StoreAcceptorState:
			if f.wrote != nil {
				f.wrote()
			}
			f.clock.At(f.clock.Now+2*time.Millisecond, func() { f.do(name, cluster.AcceptorStateStored{Number: a.Store.Number}) })
		case cluster.StoreView:
			f.clock.At(f.clock.Now+2*time.Millisecond, func() { f.do(name, cluster.ViewStored{Revision: a.Revision}) })
		case cluster.DrainMachines:
			f.clock.At(f.clock.Now+50*time.Millisecond, func() { f.do(name, cluster.Drained{Generation: a.Generation}) })
		}
	}
}

// order sends a command to a gateway as a tool does.
func (f *simulated) order(to string, c maintenance.Command) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.do(to, cluster.MessageReceived{From: "tool-1", Message: cluster.Message{Kind: cluster.OperatorRequest, ID: 1, Value: value}})
	return nil
}

// ready runs until all gateways have their first view, and says how long that took.
func (f *simulated) ready() time.Duration {
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

// Rest drives the same packages as the daemon with so many gateways, over links of a millisecond, with 20 machines in each
// one's report.
func Rest(n int, seed uint64) (Resting, error) {
	out, sent, busy := Resting{Gateways: n}, map[string][2]float64{}, false
	report := cluster.Report{Machines: map[string]maintenance.Machine{}}
	for i := range 20 {
		report.Machines[fmt.Sprintf("box-%02d", i)] = maintenance.Machine{Kind: maintenance.KindBox, Zone: "z", Up: true, Warm: true, Weight: 10, Utilization: 0.3}
	}
	f, err := simulate(n, seed, maintenance.Limits{}, func(string) cluster.Report { return report })
	if err != nil {
		return out, err
	}
	f.sent = func(from, to string, bytes int) {
		if busy {
			for _, who := range []string{from, to} {
				sent[who] = [2]float64{sent[who][0] + 1, sent[who][1] + float64(bytes)}
			}
		}
	}
	f.wrote = func() {
		if busy {
			out.Writes++
		}
	}
	out.Formed = f.ready()
	f.clock.Run(f.clock.Now + 10*time.Second)
	busy = true
	const long = 20
	f.clock.Run(f.clock.Now + long*time.Second)
	busy = false
	for i, name := range f.names {
		s := sent[name]
		if i == n-1 {
			out.Messages, out.Bytes = s[0]/long, s[1]/long
		}
		if s[1]/long > out.VoterBytes {
			out.VoterMessages, out.VoterBytes = s[0]/long, s[1]/long
		}
	}
	out.Writes /= long
	asked := f.clock.Now
	if err := f.order(f.names[n-1], maintenance.Command{Request: &maintenance.RequestOrder{Key: "k", Machine: "box-01", DurationMs: 1000}}); err != nil {
		return out, err
	}
	for until := asked; out.Drained == 0 && until < asked+30*time.Second; {
		until += 5 * time.Millisecond
		f.clock.Run(until)
		if s := f.nodes[f.names[0]].View(); s != nil && len(s.Requests) > 0 {
			if out.Granted == 0 {
				out.Granted = until - asked
			}
			if s.Requests[0].Stage == maintenance.OutOfService {
				out.Drained = until - asked
			}
		}
	}
	return out, nil
}

// Grants measures, with real processes and no machine worked on, how long it takes from asking to granted, as a tool sees it: kill has the
// first voter killed right before every third request and started again after it.
func Grants(ctx context.Context, program string, gateways, times int, kill bool) ([]time.Duration, error) {
	p, err := start(ctx, program, &Plot{Seed: uint64(200 + gateways), Gateways: gateways, Boxes: 6, For: time.Hour})
	if err != nil {
		return nil, err
	}
	defer p.close()
	state := func(g *process) *maintenance.State {
		m, err := p.order(ctx, g, cluster.Message{Query: "state"})
		if err != nil || m.Rejected != "" {
			return nil
		}
		s, _ := maintenance.Decode(m.Value)
		return s
	}
	last := p.gateways[gateways-1]
	for s := state(last); s == nil || len(s.Gateways) < gateways; s = state(last) {
		if err := wait(ctx, time.Now().Add(50*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	var all []time.Duration
	for n := range times {
		dies := kill && n%3 == 2
		name := box(0, n%6)
		value, _ := json.Marshal(maintenance.Command{Actor: "measure", Request: &maintenance.RequestOrder{Key: fmt.Sprint("m", n), Machine: name, DurationMs: 1000}})
		if dies {
			p.gateways[0].set(false)
			if err := p.gateways[0].world.Kill(); err != nil {
				return nil, err
			}
		}
		began := time.Now()
		taken := false
		for granted := false; !granted; {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if !taken {
				m, err := p.order(ctx, last, cluster.Message{Value: value})
				taken = err == nil && m.Rejected == ""
				continue
			}
			if s := state(last); s != nil {
				for _, r := range s.Requests {
					granted = granted || r.Key == fmt.Sprint("m", n) && r.Stage != maintenance.Requested
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		if !kill || dies {
			all = append(all, time.Since(began))
		}
		if dies {
			if err := p.gateways[0].world.Again(); err != nil {
				return nil, err
			}
			if _, err := p.gateways[0].world.Logged(ctx, "msg=serving"); err != nil {
				return nil, err
			}
			p.gateways[0].set(true)
		}
		value, _ = json.Marshal(maintenance.Command{Actor: "measure", Withdraw: &maintenance.Target{Name: name}})
		for {
			m, err := p.order(ctx, last, cluster.Message{Value: value})
			if err == nil && m.Rejected == "" || ctx.Err() != nil {
				break
			}
		}
		// It may have been called out meanwhile: then its work is over at once.
		value, _ = json.Marshal(maintenance.Command{Actor: "measure", Finish: &maintenance.Target{Name: name}})
		_, _ = p.order(ctx, last, cluster.Message{Value: value})
		time.Sleep(1200 * time.Millisecond)
	}
	slices.Sort(all)
	return all, nil
}
