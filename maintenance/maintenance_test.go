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

// testLimits returns the default limits with a drain grace of 1 s and a slow start of 10 s.
func testLimits(t interface{ Fatal(...any) }) Limits {
	l := Limits{DrainGrace: time.Second, SlowStart: 10 * time.Second}
	if err := l.Check(); err != nil {
		t.Fatal(err)
	}
	return l
}

// healthyObservations returns two zones with six caches (b00 to b15) and two gateways (g00 to g11) each, and two
// parents (p0, p1) in a hub. All are up and warm.
func healthyObservations() *Observations {
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

// harness applies commands to an encoded state.
type harness struct {
	t      *testing.T
	limits Limits
	value  []byte // the encoded state
}

// apply applies a command and returns the reply.
func (r *harness) apply(c Command) Reply {
	r.t.Helper()
	in, err := json.Marshal(c)
	if err != nil {
		r.t.Fatal(err)
	}
	next, out := Apply(r.limits)(r.value, in)
	r.value = next
	var reply Reply
	if err := json.Unmarshal(out, &reply); err != nil {
		r.t.Fatal(err)
	}
	return reply
}

func (r *harness) state() *State {
	s, err := Decode(r.value)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// request requests maintenance of a machine. change, unless nil, changes the request before it is made.
func (r *harness) request(machine string, change func(*RequestSpec)) Reply {
	m := healthyObservations().Machines[machine]
	spec := &RequestSpec{Key: "k" + machine, Machine: machine, DurationMs: 60_000, Kind: m.Kind, Zone: m.Zone}
	if change != nil {
		change(spec)
	}
	return r.apply(Command{Actor: "x", Request: spec})
}

// stage returns the stage of the latest request for b00.
func (r *harness) stage() Stage {
	for _, q := range slices.Backward(r.state().Requests) {
		if q.Machine == "b00" {
			return q.Stage
		}
	}
	return ""
}

// setParentLoad sets the utilization that all parents report.
func setParentLoad(o *Observations, utilization float64) {
	for n, m := range o.Machines {
		if m.Utilization = utilization; m.Kind == KindParent {
			o.Machines[n] = m
		}
	}
}

// Each limit on its own must block a request, with a reason that names the limit.
func TestEachLimitBlocks(t *testing.T) {
	for _, c := range []struct {
		name, machine      string
		changeObservations func(*Observations)
		changeLimits       func(*Limits)
		out                []string // machines that are out of service already
		wantReason         string   // part of the reason; empty: the request is granted
	}{
		{"no limit reached", "b00", nil, nil, nil, ""},
		{"machine not observed", "b09", nil, nil, nil, "not in the list"},
		{"pressure", "b00", func(o *Observations) { o.Pressure = "the origin is slow" }, nil, nil, "the origin is slow"},
		{"second of six caches", "b00", nil, nil, []string{"b01"}, ""},
		{"third of six caches", "b00", nil, nil, []string{"b01", "b02"}, "out or cold"},
		{"cold cache counts as unavailable", "b00", func(o *Observations) { m := o.Machines["b01"]; m.Warm = false; o.Machines["b01"] = m }, nil, []string{"b02"}, "out or cold"},
		{"MaxOut", "b00", nil, func(l *Limits) { l.MaxOut = 2 }, []string{"b11", "p0"}, "2 machines are out"},
		{"load of the zone", "b00", func(o *Observations) {
			for n, m := range o.Machines {
				if m.Utilization = 0.75; m.Zone == "z0" {
					o.Machines[n] = m
				}
			}
		}, nil, nil, "the load of z0"},
		{"load of a cache unknown", "b00", func(o *Observations) { m := o.Machines["b03"]; m.Utilization = -1; o.Machines["b03"] = m }, nil, nil, "not known"},
		{"last warm parent", "p0", func(o *Observations) { m := o.Machines["p1"]; m.Warm = false; o.Machines["p1"] = m }, func(l *Limits) { l.MaxZoneShareOut = 0.99 }, nil,
			"0 warm upper caches would stay"},
		{"second parent", "p0", nil, func(l *Limits) { l.MaxZoneShareOut = 0.99 }, []string{"p1"}, "0 warm upper caches would stay"},
		{"MinWarmParents 2", "p0", nil, func(l *Limits) { l.MinWarmParents = 2 }, nil, "1 warm upper caches would stay"},
		{"last gateway of the zone", "g00", nil, func(l *Limits) { l.MaxZoneShareOut = 0.99 }, []string{"g01"}, "no other gateway"},
		{"one of two gateways", "g00", nil, nil, nil, ""},
		{"load of the parents, parent", "p0", func(o *Observations) { setParentLoad(o, 0.44) }, func(l *Limits) { l.MaxZoneShareOut = 0.99 }, nil, "the load of the upper caches, 17.6"},
		{"load of the parents, cache that would return empty", "b00", func(o *Observations) { setParentLoad(o, 0.9) }, nil, nil, "the load of the upper caches, 36.0"},
		{"load of the parents, one out already", "b00", func(o *Observations) { setParentLoad(o, 0.44) }, nil, []string{"p1"}, "the load of the upper caches"},
		{"load of the parents unknown", "b00", func(o *Observations) { setParentLoad(o, -1) }, nil, nil, ""},
		{"outage of another zone", "p0", func(o *Observations) {
			for _, n := range []string{"b10", "b11", "b12", "b13"} {
				m := o.Machines[n]
				m.Up = false
				o.Machines[n] = m
			}
		}, nil, nil, "zone z1 is away"},
	} {
		limits := testLimits(t)
		if c.changeLimits != nil {
			c.changeLimits(&limits)
		}
		o := healthyObservations()
		if c.changeObservations != nil {
			c.changeObservations(o)
		}
		s := &State{}
		for i, n := range c.out {
			s.Requests = append(s.Requests, &Request{ID: uint64(i + 1), Machine: n, Kind: o.Machines[n].Kind, Zone: o.Machines[n].Zone, Stage: OutOfService})
		}
		r := &Request{ID: 9, Machine: c.machine, Kind: o.Machines[c.machine].Kind, Zone: o.Machines[c.machine].Zone, Stage: Requested}
		s.Requests = append(s.Requests, r)
		reason := s.blockedBy(r, o, limits)
		if (reason == "") != (c.wantReason == "") || !strings.Contains(reason, c.wantReason) {
			t.Errorf("%s: blocked by %q, want %q", c.name, reason, c.wantReason)
		}
		if got := s.nextToGrant(o, limits) != nil; got != (c.wantReason == "") {
			t.Errorf("%s: request can be granted: %v, want the opposite", c.name, got)
		}
	}
}

// A request advances only after every gateway has reported, or after the leases have expired, and reports of another
// incarnation or a later epoch are rejected. A repeated request with the same idempotency key is the same request.
func TestRequestAdvancesOnlyAfterAllGatewaysReport(t *testing.T) {
	r := &harness{t: t, limits: testLimits(t)}
	o := healthyObservations()
	advance := func(timeouts ...StageTimeouts) { o.StageTimeouts = timeouts; r.apply(Command{Actor: "x", Advance: o}) }
	advanceAndExpect := func(s Stage) {
		t.Helper()
		advance()
		if got := r.stage(); got != s {
			t.Fatalf("b00 is in stage %s, want %s", got, s)
		}
	}
	r.apply(Command{Join: &GatewayUpdate{Name: "g1", Incarnation: 1, NoView: true}})
	r.apply(Command{Join: &GatewayUpdate{Name: "g2", Incarnation: 2, NoView: true}})
	if again := r.request("b00", nil); again.ID != 1 || r.request("b00", nil).ID != 1 {
		t.Error("requests with the same idempotency key got different IDs, want ID 1 for all")
	}
	advanceAndExpect(Granted)
	advanceAndExpect(Granted)
	r.apply(Command{Notified: &GatewayUpdate{Name: "g1", Incarnation: 1, NotifiedEpoch: 1}})
	advanceAndExpect(Granted)
	if got := r.apply(Command{Notified: &GatewayUpdate{Name: "g2", Incarnation: 77, NotifiedEpoch: 1}}); got.Rejected == "" {
		t.Error("the report of an incarnation that has not joined was accepted")
	}
	if got := r.apply(Command{Notified: &GatewayUpdate{Name: "g2", Incarnation: 2, NotifiedEpoch: 99}}); got.Rejected == "" {
		t.Error("a report of an epoch later than the state's was accepted")
	}
	// g2 restarts with a view that it had stored before the grant, so it does not know of the grant.
	r.apply(Command{Join: &GatewayUpdate{Name: "g2", Incarnation: 3, NotifiedEpoch: 0}})
	advanceAndExpect(Granted)
	r.apply(Command{Notified: &GatewayUpdate{Name: "g2", Incarnation: 3, NotifiedEpoch: 1}})
	advanceAndExpect(Draining)
	r.apply(Command{Notified: &GatewayUpdate{Name: "g1", Incarnation: 1, NotifiedEpoch: 2, StoppedEpoch: 2}})
	advanceAndExpect(Draining)
	advance(StageTimeouts{ID: 1, Stage: Draining, Epoch: 99, LeasesExpired: true}) // for another grant: ignored
	advanceAndExpect(Draining)
	advance(StageTimeouts{ID: 1, Stage: Draining, Epoch: 1, LeasesExpired: true})
	if r.stage() != OutOfService {
		t.Fatal("b00 is not out of service after all leases have expired")
	}
	if got := r.apply(Command{Withdraw: &Target{Name: "b00"}}); got.Rejected == "" {
		t.Error("the request for a machine that is out of service was withdrawn")
	}
	advance(StageTimeouts{ID: 1, Stage: OutOfService, Epoch: 1, Overdue: true})
	if q := r.state().Requests[0]; !q.Overdue || q.Stage != OutOfService {
		t.Errorf("request %+v, want it overdue and out of service", q)
	}
	m := o.Machines["b00"]
	m.BootMs = 77
	o.Machines["b00"] = m
	advanceAndExpect(Returned)
	m.Warm = false
	o.Machines["b00"] = m
	advanceAndExpect(WarmingUp)
	advanceAndExpect(WarmingUp)
	advance(StageTimeouts{ID: 1, Stage: WarmingUp, Epoch: 1, SlowStartOver: true})
	advanceAndExpect(Completed)
	if got := r.state().Requests[0].History; len(got) != 8 || got[0].To != Requested {
		t.Errorf("history %+v, want 8 transitions, the first to the stage requested", got)
	}
}

// A grant is revoked when other caches of the zone crash before the machine is out of service, and given again once
// they are back.
func TestGrantIsRevokedWhenCapacityIsLost(t *testing.T) {
	r := &harness{t: t, limits: testLimits(t)}
	r.apply(Command{Join: &GatewayUpdate{Name: "g1", Incarnation: 1, NoView: true}})
	r.request("b00", nil)
	o := healthyObservations()
	r.apply(Command{Advance: o})
	degraded := healthyObservations()
	for _, n := range []string{"b01", "b02"} {
		m := degraded.Machines[n]
		m.Up = false
		degraded.Machines[n] = m
	}
	r.apply(Command{Advance: degraded})
	if got := r.stage(); got != Requested {
		t.Fatalf("b00 is in stage %s after two caches of its zone crashed, want asked", got)
	}
	r.apply(Command{Advance: o})
	if q := r.state().Requests[0]; q.Stage != Granted || q.GrantEpoch != 2 {
		t.Errorf("after both caches are back the request is %+v, want it granted in epoch 2", q)
	}
}

// A request that is blocked is overtaken by at most MaxTimesOvertaken requests of its group. Then the group waits for it.
func TestRequestIsOvertakenAtMostMaxTimes(t *testing.T) {
	r := &harness{t: t, limits: testLimits(t)}
	r.limits.MaxTimesOvertaken, r.limits.MaxOut = 3, 1
	r.apply(Command{Join: &GatewayUpdate{Name: "g1", Incarnation: 1, NoView: true}})
	o := healthyObservations()
	big := o.Machines["b00"] // so large that the remaining caches can't carry its load
	big.Weight, big.Utilization = 60, 0.5
	o.Machines["b00"] = big
	r.request("b00", nil)
	granted := 0
	for range 40 {
		for _, n := range []string{"b01", "b02", "b03"} {
			r.request(n, func(spec *RequestSpec) { spec.Key = fmt.Sprint(n, granted) })
		}
		r.apply(Command{Advance: o})
		for _, q := range r.state().Requests {
			if q.Stage == Granted {
				granted++
				r.apply(Command{Withdraw: &Target{Name: q.Machine}})
			}
		}
	}
	if granted != r.limits.MaxTimesOvertaken {
		t.Errorf("%d requests of the group were granted before the blocked one, want %d", granted, r.limits.MaxTimesOvertaken)
	}
	big.Utilization = 0.05
	o.Machines["b00"] = big
	r.apply(Command{Advance: o})
	if got := r.stage(); got != Granted {
		t.Errorf("b00 is in stage %s after its load has fallen, want granted", got)
	}
}

func TestRejectionsNameTheField(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(*RequestSpec)
	}{
		{"no such machine", func(spec *RequestSpec) { spec.Kind = "" }}, {"key", func(spec *RequestSpec) { spec.Key = "" }}, {"for", func(spec *RequestSpec) { spec.DurationMs = 0 }},
		{"for", func(spec *RequestSpec) { spec.DurationMs = 1 << 50 }}, {"priority", func(spec *RequestSpec) { spec.Priority = 1000 }},
		{"after itself", func(spec *RequestSpec) { spec.After = []string{"b00"} }}, {"by way of others", func(spec *RequestSpec) { spec.After = []string{"b01"} }},
		{"after: 17", func(spec *RequestSpec) { spec.After = make([]string, 17) }},
		{"a name over", func(spec *RequestSpec) { spec.Machine = strings.Repeat("m", 65) }},
	} {
		r := &harness{t: t, limits: testLimits(t)}
		r.request("b01", func(spec *RequestSpec) { spec.After = []string{"b00"} })
		if got := r.request("b00", c.change); !strings.Contains(got.Rejected, c.want) || len(r.state().Requests) != 1 {
			t.Errorf("rejected with %q, want a reason that contains %q and no new request", got.Rejected, c.want)
		}
	}
	r := &harness{t: t, limits: testLimits(t)}
	r.request("b00", nil)
	if got := r.request("b00", func(spec *RequestSpec) { spec.Key = "other" }); !strings.Contains(got.Rejected, "open request") || got.ID != 1 {
		t.Errorf("second request for b00: reply %+v, want a rejection with the ID of the open request", got)
	}
	for _, c := range []Command{{}, {Withdraw: &Target{Name: "b09"}}, {Finish: &Target{Name: "b00"}}, {Forget: &Target{Name: "g9"}}, {Join: &GatewayUpdate{}}} {
		if got := r.apply(c); got.Rejected == "" {
			t.Errorf("invalid command %+v was accepted", c)
		}
	}
	if _, reply := Apply(r.limits)(r.value, []byte("{")); !strings.Contains(string(reply), "refused") {
		t.Errorf("truncated command: reply %s, want a rejection", reply)
	}
}

func TestPlanReportsWavesAndBlockingReasons(t *testing.T) {
	r := &harness{t: t, limits: testLimits(t)}
	for _, m := range []string{"p0", "p1", "b00", "b01", "b02"} {
		r.request(m, func(spec *RequestSpec) {
			if m == "b00" {
				spec.After = []string{"p1"}
			}
		})
	}
	got := map[string]string{}
	for _, v := range r.state().Plan(healthyObservations(), r.limits) {
		got[v.Request.Machine] = fmt.Sprint(v.Wave, " ", v.BlockedBy)
	}
	for m, want := range map[string]string{"p0": "1 ", "p1": "2 ", "b00": "3 it goes after p1, which is asked", "b01": "1 ", "b02": "1 "} {
		if got[m] != want {
			t.Errorf("plan of %s: wave and reason %q, want %q", m, got[m], want)
		}
	}
}

// Applies random commands with random observations. At no time may more machines than MaxOut be out, one machine be out
// twice, or both parents be out. Applying a command twice must not change more than applying it once, and a decoded
// state must encode to the same bytes.
func TestRandomCommandsRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := testLimits(t)
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
				t.Fatalf("state %s was decoded and encoded to %s, want the same bytes", next, after.Encode())
			}
			if c.Advance == nil && c.Finish == nil {
				if again, _ := Apply(l)(next, command); string(again) != string(next) {
					t.Fatalf("command %s, applied a second time, changed %s to %s", command, next, again)
				}
			}
			checkOut(t, after, l)
			checkNotified(t, before, after)
			value, epoch = next, after.Epoch
		}
	})
}

// drawCommand draws command number i of a run. Observations that it contains have random faults.
func drawCommand(t *rapid.T, i int, epoch uint64, s *State) (c Command) {
	names := []string{"b00", "b01", "b02", "b03", "b10", "p0", "p1", "g00", "g01"}
	o := healthyObservations()
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

// checkOut checks that no machine is out twice, that at most MaxOut are out, and that at least one parent is not.
func checkOut(t *rapid.T, s *State, l Limits) {
	out, parents, seen := 0, 0, map[string]bool{}
	for _, r := range s.Requests {
		if r.Stage.Ended() || r.Stage == Requested {
			continue
		}
		if seen[r.Machine] {
			t.Fatalf("machine %s is out by two requests", r.Machine)
		}
		seen[r.Machine] = true
		out++
		if r.Kind == KindParent {
			parents++
		}
	}
	if out > l.MaxOut || parents > 1 {
		t.Fatalf("%d machines are out, %d of them parents, want at most the limit and one parent", out, parents)
	}
}

// checkNotified checks that no machine drains while a gateway does not know of its grant, unless the gateway has just
// joined.
func checkNotified(t *rapid.T, before, after *State) {
	for _, r := range after.Requests {
		if r.Stage != Draining {
			continue
		}
		for name, g := range after.Gateways {
			if g.NotifiedEpoch < r.GrantEpoch && before.Gateways[name].Incarnation == g.Incarnation {
				t.Fatalf("machine %s is draining, but gateway %s has not been notified of the grant", r.Machine, name)
			}
		}
	}
}
