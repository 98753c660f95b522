package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func limits(t interface{ Fatal(...any) }) Limits {
	b := Limits{DrainGrace: time.Second, SlowStart: 10 * time.Second}
	if err := b.Check(); err != nil {
		t.Fatal(err)
	}
	return b
}

// observed is two zones of six boxes, two upper caches at one place, and two gateways a zone.
func observed() *Observations {
	o := &Observations{Machines: map[string]Machine{}}
	for z := range 2 {
		for i := range 6 {
			o.Machines[fmt.Sprintf("b%d%d", z, i)] = Machine{Kind: KindCache, Zone: fmt.Sprintf("z%d", z), Up: true, Warm: true, Weight: 7, Utilization: 0.5}
		}
		for i := range 2 {
			o.Machines[fmt.Sprintf("g%d%d", z, i)] = Machine{Kind: KindGateway, Zone: fmt.Sprintf("z%d", z), Up: true, Warm: true, Weight: 1, Utilization: 0.1}
		}
		o.Machines[fmt.Sprintf("p%d", z)] = Machine{Kind: KindParent, Zone: "hub", Up: true, Warm: true, Weight: 20, Utilization: 0.4}
	}
	return o
}

type rig struct {
	t     *testing.T
	b     Limits
	value []byte
}

func (r *rig) do(c Command) Reply {
	r.t.Helper()
	in, err := json.Marshal(c)
	if err != nil {
		r.t.Fatal(err)
	}
	next, out := Apply(r.b)(r.value, in)
	r.value = next
	var reply Reply
	if err := json.Unmarshal(out, &reply); err != nil {
		r.t.Fatal(err)
	}
	return reply
}

func (r *rig) state() *State {
	s, err := Decode(r.value)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

func (r *rig) ask(machine string, change func(*RequestSpec)) Reply {
	m := observed().Machines[machine]
	a := &RequestSpec{Key: "k" + machine, Machine: machine, DurationMs: 60_000, Kind: m.Kind, Zone: m.Zone}
	if change != nil {
		change(a)
	}
	return r.do(Command{Actor: "x", Request: a})
}

// stage is that of the latest request for b00.
func (r *rig) stage() Stage {
	for _, q := range slices.Backward(r.state().Requests) {
		if q.Machine == "b00" {
			return q.Stage
		}
	}
	return ""
}

// setParentLoad has all upper caches report a utilization.
func setParentLoad(o *Observations, utilization float64) {
	for n, m := range o.Machines {
		if m.Utilization = utilization; m.Kind == KindParent {
			o.Machines[n] = m
		}
	}
}

// Each limit by itself blocks a request, and says so.
func TestEachLimitBlocks(t *testing.T) {
	for _, c := range []struct {
		name, machine string
		change        func(*Observations)
		more          func(*Limits)
		away          []string // that are granted before
		why           string   // empty: it is granted
	}{
		{"nothing", "b00", nil, nil, nil, ""},
		{"not in the list", "b09", nil, nil, nil, "not in the list"},
		{"pressure", "b00", func(o *Observations) { o.Pressure = "the origin is slow" }, nil, nil, "the origin is slow"},
		{"a second of six", "b00", nil, nil, []string{"b01"}, ""},
		{"a third of six", "b00", nil, nil, []string{"b01", "b02"}, "out or cold"},
		{"a cold one counts", "b00", func(o *Observations) { m := o.Machines["b01"]; m.Warm = false; o.Machines["b01"] = m }, nil, []string{"b02"}, "out or cold"},
		{"at once", "b00", nil, func(b *Limits) { b.MaxOut = 2 }, []string{"b11", "p0"}, "2 machines are out"},
		{"load", "b00", func(o *Observations) {
			for n, m := range o.Machines {
				if m.Utilization = 0.75; m.Zone == "z0" {
					o.Machines[n] = m
				}
			}
		}, nil, nil, "the load of z0"},
		{"load not known", "b00", func(o *Observations) { m := o.Machines["b03"]; m.Utilization = -1; o.Machines["b03"] = m }, nil, nil, "not known"},
		{"the last warm upper cache", "p0", func(o *Observations) { m := o.Machines["p1"]; m.Warm = false; o.Machines["p1"] = m }, func(b *Limits) { b.MaxZoneShareOut = 0.99 }, nil,
			"0 warm upper caches would stay"},
		{"the second upper cache", "p0", nil, func(b *Limits) { b.MaxZoneShareOut = 0.99 }, []string{"p1"}, "0 warm upper caches would stay"},
		{"two have to stay", "p0", nil, func(b *Limits) { b.MinWarmParents = 2 }, nil, "1 warm upper caches would stay"},
		{"the other gateway", "g00", nil, func(b *Limits) { b.MaxZoneShareOut = 0.99 }, []string{"g01"}, "no other gateway"},
		{"a gateway", "g00", nil, nil, nil, ""},
		{"upper caches at their load", "p0", func(o *Observations) { setParentLoad(o, 0.44) }, func(b *Limits) { b.MaxZoneShareOut = 0.99 }, nil, "the load of the upper caches, 17.6"},
		{"a box would come back empty before them", "b00", func(o *Observations) { setParentLoad(o, 0.9) }, nil, nil, "the load of the upper caches, 36.0"},
		{"one of them is out already", "b00", func(o *Observations) { setParentLoad(o, 0.44) }, nil, []string{"p1"}, "the load of the upper caches"},
		{"they tell nothing", "b00", func(o *Observations) { setParentLoad(o, -1) }, nil, nil, ""},
		{"a zone is away", "p0", func(o *Observations) {
			for _, n := range []string{"b10", "b11", "b12", "b13"} {
				m := o.Machines[n]
				m.Up = false
				o.Machines[n] = m
			}
		}, nil, nil, "zone z1 is away"},
	} {
		b := limits(t)
		if c.more != nil {
			c.more(&b)
		}
		o := observed()
		if c.change != nil {
			c.change(o)
		}
		s := &State{}
		for i, n := range c.away {
			s.Requests = append(s.Requests, &Request{ID: uint64(i + 1), Machine: n, Kind: o.Machines[n].Kind, Zone: o.Machines[n].Zone, Stage: OutOfService})
		}
		r := &Request{ID: 9, Machine: c.machine, Kind: o.Machines[c.machine].Kind, Zone: o.Machines[c.machine].Zone, Stage: Requested}
		s.Requests = append(s.Requests, r)
		why := s.blockedBy(r, o, b)
		if (why == "") != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%s: %q, want %q", c.name, why, c.why)
		}
		if got := s.nextToGrant(o, b) != nil; got != (c.why == "") {
			t.Errorf("%s: granted %v", c.name, got)
		}
	}
}

// A request moves on only once every gateway has reported, and what is lost on the way is repeated.
func TestStagesWaitForEveryGateway(t *testing.T) {
	r := &rig{t: t, b: limits(t)}
	o := observed()
	step := func(spans ...StageTimeouts) { o.StageTimeouts = spans; r.do(Command{Actor: "x", Advance: o}) }
	want := func(s Stage) {
		t.Helper()
		step()
		if got := r.stage(); got != s {
			t.Fatalf("it is %s, want %s", got, s)
		}
	}
	r.do(Command{Join: &GatewayUpdate{Name: "g1", Incarnation: 1, NoView: true}})
	r.do(Command{Join: &GatewayUpdate{Name: "g2", Incarnation: 2, NoView: true}})
	if again := r.ask("b00", nil); again.ID != 1 || r.ask("b00", nil).ID != 1 {
		t.Error("asked twice with one key it is two requests")
	}
	want(Granted)
	want(Granted)
	r.do(Command{Notified: &GatewayUpdate{Name: "g1", Incarnation: 1, NotifiedEpoch: 1}})
	want(Granted)
	if got := r.do(Command{Notified: &GatewayUpdate{Name: "g2", Incarnation: 77, NotifiedEpoch: 1}}); got.Rejected == "" {
		t.Error("the report of another incarnation is taken")
	}
	if got := r.do(Command{Notified: &GatewayUpdate{Name: "g2", Incarnation: 2, NotifiedEpoch: 99}}); got.Rejected == "" {
		t.Error("a report of a later epoch is taken")
	}
	// g2 restarts with a view that it had stored before the grant: it does not know of it.
	r.do(Command{Join: &GatewayUpdate{Name: "g2", Incarnation: 3, NotifiedEpoch: 0}})
	want(Granted)
	r.do(Command{Notified: &GatewayUpdate{Name: "g2", Incarnation: 3, NotifiedEpoch: 1}})
	want(Draining)
	r.do(Command{Notified: &GatewayUpdate{Name: "g1", Incarnation: 1, NotifiedEpoch: 2, StoppedEpoch: 2}})
	want(Draining)
	step(StageTimeouts{ID: 1, Stage: Draining, Epoch: 99, LeasesExpired: true}) // of another grant
	want(Draining)
	step(StageTimeouts{ID: 1, Stage: Draining, Epoch: 1, LeasesExpired: true}) // all leases have run out
	if r.stage() != OutOfService {
		t.Fatal("it is not out though all leases have run out")
	}
	if got := r.do(Command{Withdraw: &Target{Name: "b00"}}); got.Rejected == "" {
		t.Error("what is out was withdrawn")
	}
	step(StageTimeouts{ID: 1, Stage: OutOfService, Epoch: 1, Overdue: true})
	if q := r.state().Requests[0]; !q.Overdue || q.Stage != OutOfService {
		t.Errorf("overdue: %+v", q)
	}
	m := o.Machines["b00"]
	m.BootMs = 77
	o.Machines["b00"] = m
	want(Returned)
	m.Warm = false
	o.Machines["b00"] = m
	want(WarmingUp)
	want(WarmingUp)
	step(StageTimeouts{ID: 1, Stage: WarmingUp, Epoch: 1, SlowStartOver: true})
	want(Completed)
	if got := r.state().Requests[0].History; len(got) != 8 || got[0].To != Requested {
		t.Errorf("history %+v", got)
	}
}

// A grant is taken back when boxes crash before the machine is out, and given again once there is capacity.
func TestAGrantIsTakenBack(t *testing.T) {
	r := &rig{t: t, b: limits(t)}
	r.do(Command{Join: &GatewayUpdate{Name: "g1", Incarnation: 1, NoView: true}})
	r.ask("b00", nil)
	o := observed()
	r.do(Command{Advance: o})
	bad := observed()
	for _, n := range []string{"b01", "b02"} {
		m := bad.Machines[n]
		m.Up = false
		bad.Machines[n] = m
	}
	r.do(Command{Advance: bad})
	if got := r.stage(); got != Requested {
		t.Fatalf("two boxes crashed, and it is %s", got)
	}
	r.do(Command{Advance: o})
	if q := r.state().Requests[0]; q.Stage != Granted || q.GrantEpoch != 2 {
		t.Errorf("with all well again: %+v", q)
	}
}

// A request that can not go is overtaken by so many later ones of its group at most; then its group waits for it.
func TestNoRequestIsOvertakenForEver(t *testing.T) {
	r := &rig{t: t, b: limits(t)}
	r.b.MaxTimesOvertaken, r.b.MaxOut = 3, 1
	r.do(Command{Join: &GatewayUpdate{Name: "g1", Incarnation: 1, NoView: true}})
	o := observed()
	big := o.Machines["b00"] // without it the rest could not bear the load
	big.Weight, big.Utilization = 60, 0.5
	o.Machines["b00"] = big
	r.ask("b00", nil)
	granted := 0
	for range 40 {
		for _, n := range []string{"b01", "b02", "b03"} {
			r.ask(n, func(a *RequestSpec) { a.Key = fmt.Sprint(n, granted) })
		}
		r.do(Command{Advance: o})
		for _, q := range r.state().Requests {
			if q.Stage == Granted {
				granted++
				r.do(Command{Withdraw: &Target{Name: q.Machine}})
			}
		}
	}
	if granted != r.b.MaxTimesOvertaken {
		t.Errorf("%d later ones of its group were granted before it, %d are allowed", granted, r.b.MaxTimesOvertaken)
	}
	big.Utilization = 0.05
	o.Machines["b00"] = big
	r.do(Command{Advance: o})
	if got := r.stage(); got != Granted {
		t.Errorf("there is room for it, and it is %s", got)
	}
}

func TestRejectionsNameTheField(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(*RequestSpec)
	}{
		{"no such machine", func(a *RequestSpec) { a.Kind = "" }}, {"key", func(a *RequestSpec) { a.Key = "" }}, {"for", func(a *RequestSpec) { a.DurationMs = 0 }},
		{"for", func(a *RequestSpec) { a.DurationMs = 1 << 50 }}, {"priority", func(a *RequestSpec) { a.Priority = 1000 }},
		{"after itself", func(a *RequestSpec) { a.After = []string{"b00"} }}, {"by way of others", func(a *RequestSpec) { a.After = []string{"b01"} }},
		{"after: 17", func(a *RequestSpec) { a.After = make([]string, 17) }},
		{"a name over", func(a *RequestSpec) { a.Machine = strings.Repeat("m", 65) }},
	} {
		r := &rig{t: t, b: limits(t)}
		r.ask("b01", func(a *RequestSpec) { a.After = []string{"b00"} })
		if got := r.ask("b00", c.change); !strings.Contains(got.Rejected, c.want) || len(r.state().Requests) != 1 {
			t.Errorf("%q, want %q", got.Rejected, c.want)
		}
	}
	r := &rig{t: t, b: limits(t)}
	r.ask("b00", nil)
	if got := r.ask("b00", func(a *RequestSpec) { a.Key = "other" }); !strings.Contains(got.Rejected, "open request") || got.ID != 1 {
		t.Errorf("a second request for a machine: %+v", got)
	}
	for _, c := range []Command{{}, {Withdraw: &Target{Name: "b09"}}, {Finish: &Target{Name: "b00"}}, {Forget: &Target{Name: "g9"}}, {Join: &GatewayUpdate{}}} {
		if got := r.do(c); got.Rejected == "" {
			t.Errorf("%+v was taken", c)
		}
	}
	if _, reply := Apply(r.b)(r.value, []byte("{")); !strings.Contains(string(reply), "refused") {
		t.Errorf("half a command: %s", reply)
	}
}

func TestPlanNamesWavesAndLimits(t *testing.T) {
	r := &rig{t: t, b: limits(t)}
	for _, m := range []string{"p0", "p1", "b00", "b01", "b02"} {
		r.ask(m, func(a *RequestSpec) {
			if m == "b00" {
				a.After = []string{"p1"}
			}
		})
	}
	got := map[string]string{}
	for _, v := range r.state().Plan(observed(), r.b) {
		got[v.Request.Machine] = fmt.Sprint(v.Wave, " ", v.BlockedBy)
	}
	for m, want := range map[string]string{"p0": "1 ", "p1": "2 ", "b00": "3 it goes after p1, which is asked", "b01": "1 ", "b02": "1 "} {
		if got[m] != want {
			t.Errorf("%s: %q, want %q", m, got[m], want)
		}
	}
}

// Whatever commands and observations come, in whatever order: no more machines are out than may be, none twice, the upper
// caches never all; a command that comes twice changes nothing more; and a state is read as it was written.
func TestNothingGoesBeyondTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(t)
		value := []byte(nil)
		epoch := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			before, err := Decode(value)
			if err != nil {
				t.Fatal(err)
			}
			c := drawCommand(t, i, epoch, before)
			command := mustMarshal(c)
			next, _ := Apply(l)(value, command)
			after, err := Decode(next)
			if err != nil {
				t.Fatal(err)
			}
			if string(after.Encode()) != string(next) && len(next) > 0 {
				t.Fatalf("%s is read as %s", next, after.Encode())
			}
			if c.Advance == nil && c.Finish == nil {
				if again, _ := Apply(l)(next, command); string(again) != string(next) {
					t.Fatalf("a second %s changed %s to %s", command, next, again)
				}
			}
			checkOut(t, after, l)
			checkNotified(t, before, after)
			value, epoch = next, after.Epoch
		}
	})
}

// drawCommand draws a command, by number i, after drawing faults of the machines that it may report.
func drawCommand(t *rapid.T, i int, epoch uint64, s *State) (c Command) {
	names := []string{"b00", "b01", "b02", "b03", "b10", "p0", "p1", "g00", "g01"}
	o := observed()
	for _, n := range names {
		if rapid.IntRange(0, 9).Draw(t, "faulty") == 0 {
			m := o.Machines[n]
			m.Up, m.Warm, m.BootMs = rapid.Bool().Draw(t, "up"), rapid.Bool().Draw(t, "warm"), int64(i)
			o.Machines[n] = m
		}
	}
	name, gw := rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom([]string{"g00", "g01"}).Draw(t, "gateway")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		m := o.Machines[name]
		c.Request = &RequestSpec{Key: fmt.Sprint(i), Machine: name, DurationMs: 1000, Kind: m.Kind, Zone: m.Zone}
	case 2:
		c.Withdraw = &Target{Name: name}
	case 3:
		c.Finish = &Target{Name: name}
	case 4:
		c.Join = &GatewayUpdate{Name: gw, Incarnation: uint64(i + 1), NoView: rapid.Bool().Draw(t, "no view"), NotifiedEpoch: epoch}
	case 5, 6:
		c.Notified = &GatewayUpdate{Name: gw, Incarnation: s.Gateways[gw].Incarnation, NotifiedEpoch: epoch, StoppedEpoch: epoch}
	default:
		c.Advance = o
		for _, r := range s.Requests {
			o.StageTimeouts = append(o.StageTimeouts, StageTimeouts{ID: r.ID, Stage: r.Stage, Epoch: r.GrantEpoch,
				LeasesExpired: rapid.Bool().Draw(t, "leases expired"), SlowStartOver: rapid.Bool().Draw(t, "slow start over")})
		}
	}
	return c
}

// checkOut checks that no machine is out twice, no more are out than may be, and one upper cache remains.
func checkOut(t *rapid.T, s *State, l Limits) {
	out, parents, seen := 0, 0, map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage.Ended() || r.Stage == Requested {
			continue
		}
		if seen[r.Machine] {
			t.Fatalf("%s is out twice", r.Machine)
		}
		seen[r.Machine] = true
		out++
		if r.Kind == KindParent {
			parents++
		}
	}
	if out > l.MaxOut || parents > 1 {
		t.Fatalf("%d are out, %d upper caches", out, parents)
	}
}

// checkNotified checks that no machine drains while a gateway does not know of its grant, but for one that has just started.
func checkNotified(t *rapid.T, before, after *State) {
	for _, r := range after.Requests {
		if r.Stage != Draining {
			continue
		}
		for name, g := range after.Gateways {
			if g.NotifiedEpoch < r.GrantEpoch && before.Gateways[name].Incarnation == g.Incarnation {
				t.Fatalf("%s drains, and %s does not know of its grant", r.Machine, name)
			}
		}
	}
}
