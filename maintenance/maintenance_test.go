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

func bounds(t interface{ Fatal(...any) }) Bounds {
	b := Bounds{Grace: time.Second, Ramp: 10 * time.Second}
	if err := b.Check(); err != nil {
		t.Fatal(err)
	}
	return b
}

// observed is two zones of six boxes, two upper caches at one place, and two gateways a zone.
func observed() *Observed {
	o := &Observed{Machines: map[string]Machine{}}
	for z := range 2 {
		for i := range 6 {
			o.Machines[fmt.Sprintf("b%d%d", z, i)] = Machine{Kind: KindBox, Zone: fmt.Sprintf("z%d", z), Up: true, Warm: true, Weight: 7, Busy: 0.5}
		}
		for i := range 2 {
			o.Machines[fmt.Sprintf("g%d%d", z, i)] = Machine{Kind: KindGateway, Zone: fmt.Sprintf("z%d", z), Up: true, Warm: true, Weight: 1, Busy: 0.1}
		}
		o.Machines[fmt.Sprintf("p%d", z)] = Machine{Kind: KindParent, Zone: "hub", Up: true, Warm: true, Weight: 20, Busy: 0.4}
	}
	return o
}

type rig struct {
	t     *testing.T
	b     Bounds
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

func (r *rig) ask(machine string, change func(*Ask)) Reply {
	m := observed().Machines[machine]
	a := &Ask{Key: "k" + machine, Machine: machine, ForMs: 60_000, Kind: m.Kind, Zone: m.Zone}
	if change != nil {
		change(a)
	}
	return r.do(Command{By: "x", Ask: a})
}

func (r *rig) stage(machine string) Stage {
	for _, q := range slices.Backward(r.state().Requests) {
		if q.Machine == machine {
			return q.Stage
		}
	}
	return ""
}

// fill has all machines of a kind report a load.
func fill(o *Observed, kind string, busy float64) {
	for n, m := range o.Machines {
		if m.Busy = busy; m.Kind == kind {
			o.Machines[n] = m
		}
	}
}

// each bound by itself holds a machine back, and says so.
func TestEachBoundHoldsBack(t *testing.T) {
	for _, c := range []struct {
		name, machine string
		change        func(*Observed)
		more          func(*Bounds)
		away          []string // that are granted before
		why           string   // empty: it is granted
	}{
		{"nothing", "b00", nil, nil, nil, ""},
		{"not in the list", "b09", nil, nil, nil, "not in the list"},
		{"strain", "b00", func(o *Observed) { o.Strain = "the origin is slow" }, nil, nil, "the origin is slow"},
		{"a second of six", "b00", nil, nil, []string{"b01"}, ""},
		{"a third of six", "b00", nil, nil, []string{"b01", "b02"}, "out or cold"},
		{"a cold one counts", "b00", func(o *Observed) { m := o.Machines["b01"]; m.Warm = false; o.Machines["b01"] = m }, nil, []string{"b02"}, "out or cold"},
		{"at once", "b00", nil, func(b *Bounds) { b.AtOnce = 2 }, []string{"b11", "p0"}, "2 machines are out"},
		{"load", "b00", func(o *Observed) {
			for n, m := range o.Machines {
				if m.Busy = 0.75; m.Zone == "z0" {
					o.Machines[n] = m
				}
			}
		}, nil, nil, "the load of z0"},
		{"load not known", "b00", func(o *Observed) { m := o.Machines["b03"]; m.Busy = -1; o.Machines["b03"] = m }, nil, nil, "not known"},
		{"the last warm upper cache", "p0", func(o *Observed) { m := o.Machines["p1"]; m.Warm = false; o.Machines["p1"] = m }, func(b *Bounds) { b.ZoneShare = 0.99 }, nil,
			"0 warm upper caches would stay"},
		{"the second upper cache", "p0", nil, func(b *Bounds) { b.ZoneShare = 0.99 }, []string{"p1"}, "0 warm upper caches would stay"},
		{"two have to stay", "p0", nil, func(b *Bounds) { b.Parents = 2 }, nil, "1 warm upper caches would stay"},
		{"the other gateway", "g00", nil, func(b *Bounds) { b.ZoneShare = 0.99 }, []string{"g01"}, "no other gateway"},
		{"a gateway", "g00", nil, nil, nil, ""},
		{"upper caches at their load", "p0", func(o *Observed) { fill(o, KindParent, 0.44) }, func(b *Bounds) { b.ZoneShare = 0.99 }, nil, "the load of the upper caches, 17.6"},
		{"a box would come back empty before them", "b00", func(o *Observed) { fill(o, KindParent, 0.9) }, nil, nil, "the load of the upper caches, 36.0"},
		{"one of them is out already", "b00", func(o *Observed) { fill(o, KindParent, 0.44) }, nil, []string{"p1"}, "the load of the upper caches"},
		{"they tell nothing", "b00", func(o *Observed) { fill(o, KindParent, -1) }, nil, nil, ""},
		{"a zone is away", "p0", func(o *Observed) {
			for _, n := range []string{"b10", "b11", "b12", "b13"} {
				m := o.Machines[n]
				m.Up = false
				o.Machines[n] = m
			}
		}, nil, nil, "zone z1 is away"},
	} {
		b := bounds(t)
		if c.more != nil {
			c.more(&b)
		}
		o := observed()
		if c.change != nil {
			c.change(o)
		}
		s := &State{}
		for i, n := range c.away {
			s.Requests = append(s.Requests, &Request{ID: uint64(i + 1), Machine: n, Kind: o.Machines[n].Kind, Zone: o.Machines[n].Zone, Stage: Out})
		}
		r := &Request{ID: 9, Machine: c.machine, Kind: o.Machines[c.machine].Kind, Zone: o.Machines[c.machine].Zone, Stage: Asked}
		s.Requests = append(s.Requests, r)
		why := s.bound(r, o, b)
		if (why == "") != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%s: %q, want %q", c.name, why, c.why)
		}
		if got := s.next(o, b) != nil; got != (c.why == "") {
			t.Errorf("%s: granted %v", c.name, got)
		}
	}
}

// A request goes its way only as every gateway takes part, and what is lost on the way is made good.
func TestStagesWaitForEveryGateway(t *testing.T) {
	r := &rig{t: t, b: bounds(t)}
	o := observed()
	step := func(spans ...Span) { o.Spans = spans; r.do(Command{By: "x", Step: o}) }
	want := func(s Stage) {
		t.Helper()
		step()
		if got := r.stage("b00"); got != s {
			t.Fatalf("it is %s, want %s", got, s)
		}
	}
	r.do(Command{Join: &Member{Name: "g1", Life: 1, Blank: true}})
	r.do(Command{Join: &Member{Name: "g2", Life: 2, Blank: true}})
	if again := r.ask("b00", nil); again.ID != 1 || r.ask("b00", nil).ID != 1 {
		t.Error("asked twice with one key it is two requests")
	}
	want(Granted)
	want(Granted)
	r.do(Command{Told: &Member{Name: "g1", Life: 1, Heard: 1}})
	want(Granted)
	if got := r.do(Command{Told: &Member{Name: "g2", Life: 77, Heard: 1}}); got.Refused == "" {
		t.Error("another life's word is taken")
	}
	if got := r.do(Command{Told: &Member{Name: "g2", Life: 2, Heard: 99}}); got.Refused == "" {
		t.Error("a word of what has not been is taken")
	}
	// g2 starts anew with a view that it had stored before the grant: it has not heard of it.
	r.do(Command{Join: &Member{Name: "g2", Life: 3, Heard: 0}})
	want(Granted)
	r.do(Command{Told: &Member{Name: "g2", Life: 3, Heard: 1}})
	want(Draining)
	r.do(Command{Told: &Member{Name: "g1", Life: 1, Heard: 2, Stopped: 2}})
	want(Draining)
	step(Span{ID: 1, Stage: Draining, Epoch: 99, Lapsed: true}) // of another grant
	want(Draining)
	step(Span{ID: 1, Stage: Draining, Epoch: 1, Lapsed: true}) // all leases have run out
	if r.stage("b00") != Out {
		t.Fatal("it is not out though all leases have run out")
	}
	if got := r.do(Command{Withdraw: &Named{Name: "b00"}}); got.Refused == "" {
		t.Error("what is out was withdrawn")
	}
	step(Span{ID: 1, Stage: Out, Epoch: 1, Late: true})
	if q := r.state().Requests[0]; !q.Overdue || q.Stage != Out {
		t.Errorf("overdue: %+v", q)
	}
	m := o.Machines["b00"]
	m.BootMs = 77
	o.Machines["b00"] = m
	want(Back)
	m.Warm = false
	o.Machines["b00"] = m
	want(Warming)
	want(Warming)
	step(Span{ID: 1, Stage: Warming, Epoch: 1, Ramped: true})
	want(Done)
	if got := r.state().Requests[0].History; len(got) != 8 || got[0].To != Asked {
		t.Errorf("history %+v", got)
	}
}

// What has not begun is taken back when a box crashes meanwhile, and granted again when there is room.
func TestAGrantIsTakenBack(t *testing.T) {
	r := &rig{t: t, b: bounds(t)}
	r.do(Command{Join: &Member{Name: "g1", Life: 1, Blank: true}})
	r.ask("b00", nil)
	o := observed()
	r.do(Command{Step: o})
	bad := observed()
	for _, n := range []string{"b01", "b02"} {
		m := bad.Machines[n]
		m.Up = false
		bad.Machines[n] = m
	}
	r.do(Command{Step: bad})
	if got := r.stage("b00"); got != Asked {
		t.Fatalf("two boxes crashed, and it is %s", got)
	}
	r.do(Command{Step: o})
	if q := r.state().Requests[0]; q.Stage != Granted || q.Epoch != 2 {
		t.Errorf("with all well again: %+v", q)
	}
}

// An early request that can't go is passed by so many later ones of its group at most; then its group waits for it.
func TestNobodyIsPassedForEver(t *testing.T) {
	r := &rig{t: t, b: bounds(t)}
	r.b.Patience, r.b.AtOnce = 3, 1
	r.do(Command{Join: &Member{Name: "g1", Life: 1, Blank: true}})
	o := observed()
	big := o.Machines["b00"] // without it the rest could not bear the load
	big.Weight, big.Busy = 60, 0.5
	o.Machines["b00"] = big
	r.ask("b00", nil)
	granted := 0
	for range 40 {
		for _, n := range []string{"b01", "b02", "b03"} {
			r.ask(n, func(a *Ask) { a.Key = fmt.Sprint(n, granted) })
		}
		r.do(Command{Step: o})
		for _, q := range r.state().Requests {
			if q.Stage == Granted {
				granted++
				r.do(Command{Withdraw: &Named{Name: q.Machine}})
			}
		}
	}
	if granted != r.b.Patience {
		t.Errorf("%d later ones of its group were granted before it, %d are allowed", granted, r.b.Patience)
	}
	big.Busy = 0.05
	o.Machines["b00"] = big
	r.do(Command{Step: o})
	if got := r.stage("b00"); got != Granted {
		t.Errorf("there is room for it, and it is %s", got)
	}
}

func TestOrdersAreRefusedByName(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(*Ask)
	}{
		{"no such machine", func(a *Ask) { a.Kind = "" }}, {"key", func(a *Ask) { a.Key = "" }}, {"for", func(a *Ask) { a.ForMs = 0 }},
		{"for", func(a *Ask) { a.ForMs = 1 << 50 }}, {"priority", func(a *Ask) { a.Priority = 1000 }},
		{"after itself", func(a *Ask) { a.After = []string{"b00"} }}, {"by way of others", func(a *Ask) { a.After = []string{"b01"} }},
		{"after: 17", func(a *Ask) { a.After = make([]string, 17) }},
		{"a name over", func(a *Ask) { a.Machine = strings.Repeat("m", 65) }},
	} {
		r := &rig{t: t, b: bounds(t)}
		r.ask("b01", func(a *Ask) { a.After = []string{"b00"} })
		if got := r.ask("b00", c.change); !strings.Contains(got.Refused, c.want) || len(r.state().Requests) != 1 {
			t.Errorf("%q, want %q", got.Refused, c.want)
		}
	}
	r := &rig{t: t, b: bounds(t)}
	r.ask("b00", nil)
	if got := r.ask("b00", func(a *Ask) { a.Key = "other" }); !strings.Contains(got.Refused, "open request") || got.ID != 1 {
		t.Errorf("a second request for a machine: %+v", got)
	}
	for _, c := range []Command{{}, {Withdraw: &Named{Name: "b09"}}, {Finish: &Named{Name: "b00"}}, {Forget: &Named{Name: "g9"}}, {Join: &Member{}}} {
		if got := r.do(c); got.Refused == "" {
			t.Errorf("%+v was taken", c)
		}
	}
	if _, reply := Apply(r.b)(r.value, []byte("{")); !strings.Contains(string(reply), "refused") {
		t.Errorf("half a command: %s", reply)
	}
}

func TestPlanSaysWavesAndBounds(t *testing.T) {
	r := &rig{t: t, b: bounds(t)}
	for _, m := range []string{"p0", "p1", "b00", "b01", "b02"} {
		r.ask(m, func(a *Ask) {
			if m == "b00" {
				a.After = []string{"p1"}
			}
		})
	}
	got := map[string]string{}
	for _, v := range r.state().Plan(observed(), r.b) {
		got[v.Request.Machine] = fmt.Sprint(v.Wave, " ", v.Why)
	}
	for m, want := range map[string]string{"p0": "1 ", "p1": "2 ", "b00": "3 it goes after p1, which is asked", "b01": "1 ", "b02": "1 "} {
		if got[m] != want {
			t.Errorf("%s: %q, want %q", m, got[m], want)
		}
	}
}

// Whatever commands and observations come, in whatever order: no more machines are away than may be, none twice, the upper
// caches never all; a command that comes twice changes nothing more; and a state is read as it was written.
func TestNothingGoesBeyondTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds(t)
		value := []byte(nil)
		names := []string{"b00", "b01", "b02", "b03", "b10", "p0", "p1", "g00", "g01"}
		epoch := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			o := observed()
			for _, n := range names {
				if rapid.IntRange(0, 9).Draw(t, "ill") == 0 {
					m := o.Machines[n]
					m.Up, m.Warm, m.BootMs = rapid.Bool().Draw(t, "up"), rapid.Bool().Draw(t, "warm"), int64(i)
					o.Machines[n] = m
				}
			}
			name, gw := rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom([]string{"g00", "g01"}).Draw(t, "gateway")
			var c Command
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1:
				m := o.Machines[name]
				c.Ask = &Ask{Key: fmt.Sprint(i), Machine: name, ForMs: 1000, Kind: m.Kind, Zone: m.Zone}
			case 2:
				c.Withdraw = &Named{Name: name}
			case 3:
				c.Finish = &Named{Name: name}
			case 4:
				c.Join = &Member{Name: gw, Life: uint64(i + 1), Blank: rapid.Bool().Draw(t, "blank"), Heard: epoch}
			case 5, 6:
				s, _ := Decode(value)
				c.Told = &Member{Name: gw, Life: s.Gateways[gw].Life, Heard: epoch, Stopped: epoch}
			default:
				c.Step = o
				s, _ := Decode(value)
				for _, r := range s.Requests {
					o.Spans = append(o.Spans, Span{ID: r.ID, Stage: r.Stage, Epoch: r.Epoch, Lapsed: rapid.Bool().Draw(t, "lapsed"), Ramped: rapid.Bool().Draw(t, "ramped")})
				}
			}
			in, _ := json.Marshal(c)
			next, _ := Apply(b)(value, in)
			s, err := Decode(next)
			if err != nil {
				t.Fatal(err)
			}
			if string(s.Encode()) != string(next) && len(next) > 0 {
				t.Fatalf("%s is read as %s", next, s.Encode())
			}
			if c.Step == nil {
				if again, _ := Apply(b)(next, in); string(again) != string(next) && c.Finish == nil {
					t.Fatalf("a second %s changed %s to %s", in, next, again)
				}
			}
			was, _ := Decode(value)
			away, parents, seen := 0, 0, map[string]bool{}
			for _, r := range s.Requests {
				if r.Stage.Ended() || r.Stage == Asked {
					continue
				}
				if seen[r.Machine] {
					t.Fatalf("%s is away twice", r.Machine)
				}
				seen[r.Machine] = true
				away++
				if r.Kind == KindParent {
					parents++
				}
				if r.Stage == Draining {
					for name, g := range s.Gateways {
						if before := was.Gateways[name]; g.Heard < r.Epoch && before.Life == g.Life {
							t.Fatalf("%s drains, and %s has not heard of its grant", r.Machine, name)
						}
					}
				}
			}
			if away > b.AtOnce || parents > 1 {
				t.Fatalf("%d are away, %d upper caches", away, parents)
			}
			value, epoch = next, s.Epoch
		}
	})
}
