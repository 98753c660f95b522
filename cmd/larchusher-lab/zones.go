package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"larchusher/lab/fleet"
	"larchusher/lab/localitysim"
	"larchusher/lab/plot"
)

// zonesCmd is the sub-command zones: it runs faults of zones, in simulated time or with real gateways, for each policy.
type zonesCmd struct {
	Sockets  bool          `help:"Play it with real gateways on loopback, and not in the model."`
	Directed bool          `help:"Play it in the model with a director in each gateway: slower."`
	Program  string        `help:"The gateway's program, with --sockets." default:"" placeholder:"PATH"`
	Boxes    []int         `help:"Boxes of each zone; the last half of the zones is at another hub." default:"5,2,7"`
	Gateways int           `help:"Gateways of each zone, in the model." default:"4"`
	BoxRate  float64       `help:"Requests a second of a box." default:"80"`
	Load     float64       `help:"Of what a zone can do." default:"0.55"`
	Objects  int           `default:"4000"`
	Parent   float64       `help:"What upper caches can do, over the usual fills, in the model." default:"3"`
	Origin   float64       `help:"What the origin can do, likewise." default:"3"`
	Fault    []string      `help:"ZONE:KIND@WHEN..TILL, such as 0:dead@20s..30s; kinds: dead, silent, slow, errors, parents, cut, lies. With --sockets only dead."`
	Late     time.Duration `help:"Of the list." default:"3s"`
	For      time.Duration `default:"80s"`
	Policy   []string      `help:"tiers, no spill, unbounded; with --sockets only the first two." default:"tiers,no spill,unbounded"`
	Seed     uint64        `default:"1"`
	Plot     string        `help:"Draw service and spill over time to PREFIX-service.png and PREFIX-spill.png." placeholder:"PREFIX"`
	Print    bool          `help:"Print each second."`
}

// parseFault parses a value of --fault, ZONE:KIND@WHEN..TILL; times are durations from the start. The kind is not checked here.
func parseFault(s string) (f localitysim.Fault, err error) {
	zone, rest, ok := strings.Cut(s, ":")
	kind, when, ok2 := strings.Cut(rest, "@")
	at, till, ok3 := strings.Cut(when, "..")
	if f.Zone, err = strconv.Atoi(zone); err != nil || !ok || !ok2 || !ok3 {
		return f, fmt.Errorf("--fault %q: want ZONE:KIND@WHEN..TILL", s)
	}
	f.Kind = localitysim.FaultKind(kind)
	if f.At, err = time.ParseDuration(at); err == nil {
		f.Till, err = time.ParseDuration(till)
	}
	if err != nil {
		return f, fmt.Errorf("--fault %q: %w", s, err)
	}
	return f, nil
}

// policyCurve is the result of one policy over time: one point for each second. service is the share of
// the priority weight that was answered within the latency objective, spill the attempts at other zones per request.
type policyCurve struct {
	name           string
	service, spill [][2]float64
}

// Run runs the zones with each policy and prints a row for each. With --plot it draws service and spill over time.
func (z *zonesCmd) Run() error {
	var faults []localitysim.Fault
	for _, s := range z.Fault {
		f, err := parseFault(s)
		if err != nil {
			return err
		}
		faults = append(faults, f)
	}
	t := newTable()
	var curves []policyCurve
	var err error
	if z.Sockets {
		curves, err = z.runGateways(t, faults)
	} else {
		curves, err = z.runModel(t, faults)
	}
	if err != nil {
		return err
	}
	if err := t.flush(); err != nil {
		return err
	}
	if z.Plot == "" {
		return nil
	}
	var service, spill []plot.Line
	for _, c := range curves {
		service = append(service, plot.Line{Name: c.name, XY: c.service})
		spill = append(spill, plot.Line{Name: c.name, XY: c.spill})
	}
	if err := plot.DrawLines(z.Plot+"-service.png", "Worth answered in aim, all zones", "seconds", "share of what was asked", service); err != nil {
		return err
	}
	return plot.DrawLines(z.Plot+"-spill.png", "Attempts at other zones than the clients' own", "seconds", "share of what was asked", spill)
}

// hub returns the hub of the i-th zone: 0 for the first half of the zones, 1 for the others.
func (z *zonesCmd) hub(i int) int {
	if i >= (len(z.Boxes)+1)/2 {
		return 1
	}
	return 0
}

// runModel simulates the zones with each policy. With --directed the policy without bounds is left out.
func (z *zonesCmd) runModel(t *table, faults []localitysim.Fault) (curves []policyCurve, err error) {
	t.header("policy\tworth in aim, all\tworst 5 s\tlast 20 s\trefused: replays\tassets\tfailed\tspill over its bound\tzones that fell\torigin refused\tevents a second\t")
	run := localitysim.Run
	if z.Directed {
		run = localitysim.RunWithDirectors
	}
	for _, p := range z.Policy {
		if z.Directed && p == string(localitysim.Unbounded) {
			continue
		}
		began := time.Now()
		r, err := run(z.modelScene(p, faults))
		if err != nil {
			return nil, err
		}
		curves = append(curves, z.addModelRow(t, p, r, time.Since(began)))
	}
	return curves, nil
}

// modelScene returns the scene to simulate with a policy.
func (z *zonesCmd) modelScene(policy string, faults []localitysim.Fault) localitysim.Scene {
	sc := localitysim.Scene{BoxRate: z.BoxRate, Objects: z.Objects, Parent: z.Parent, Origin: z.Origin, Faults: faults, List: z.Late, For: z.For, Warm: 10 * time.Second,
		Policy: localitysim.Policy(policy), Seed: z.Seed}
	for i, b := range z.Boxes {
		sc.Zones = append(sc.Zones, localitysim.Zone{Name: fmt.Sprintf("z%d", i), Hub: z.hub(i), Boxes: b, Gateways: z.Gateways, Load: z.Load})
	}
	return sc
}

// addModelRow adds the row of a simulated policy to the table, and returns its curve. The curve begins at second 10.
func (z *zonesCmd) addModelRow(t *table, policy string, r *localitysim.Result, took time.Duration) policyCurve {
	c := policyCurve{name: policy}
	failed, refusals, worst := 0, 0, 1.0
	for i, s := range r.Seconds {
		if i < 10 || time.Duration(i+1)*time.Second > z.For {
			continue
		}
		spilled := 0
		for _, n := range s.Spilled {
			spilled += n
		}
		asked := float64(max(1, s.Asked))
		c.service = append(c.service, [2]float64{float64(i), s.Worth / max(1, s.WorthAsked)})
		c.spill = append(c.spill, [2]float64{float64(i), float64(spilled) / asked})
		failed, refusals = failed+s.Failed, refusals+s.OriginRefused
		if time.Duration(i+5)*time.Second <= z.For {
			worst = min(worst, r.ServedWorthShare(time.Duration(i)*time.Second, time.Duration(i+5)*time.Second))
		}
		if z.Print {
			fmt.Printf("%s %d: asked %d in aim %d late %d failed %d refused %d spilled %v at %v fills %d origin %d\n", policy, i, s.Asked, s.InAim, s.Late,
				s.Failed, s.Refused, s.Spilled, s.At, s.Fills, s.Origin)
		}
	}
	refusedPercent := func(class int) float64 { return 100 * float64(r.Refused[class]) / float64(max(1, r.Asked[class])) }
	t.row("%s\t%.3f\t%.3f\t%.3f\t%.1f %%\t%.1f %%\t%d\t%.3f\t%v\t%d\t%.0f\t", policy, r.ServedWorthShare(10*time.Second, z.For), worst,
		r.ServedWorthShare(z.For-20*time.Second, z.For), refusedPercent(0), refusedPercent(1), failed, r.Over, r.Falls, refusals, float64(r.Events)/took.Seconds())
	return c
}

// runGateways runs the zones with real gateways, with each policy that these have.
func (z *zonesCmd) runGateways(t *table, faults []localitysim.Fault) (curves []policyCurve, err error) {
	if z.Program, err = programPath(z.Program); err != nil {
		return nil, err
	}
	t.header("policy\tworth in aim, all\tworst 5 s\tlast 10 s\trefused\tneither\tsilent\ttwice\tspoilt\tspill over its bound\tboxes that fell\tmost of a start's budget\t")
	for _, p := range z.Policy {
		if p == "unbounded" {
			continue
		}
		cfg, err := z.gatewaysConfig(p, faults)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), z.For+time.Minute)
		r, err := fleet.Run(ctx, cfg)
		cancel()
		if err != nil {
			return nil, err
		}
		curves = append(curves, z.addGatewaysRow(t, p, r))
		if z.Print {
			printCounters(p, r)
		}
	}
	return curves, nil
}

// gatewaysConfig returns the configuration of real gateways for a policy. It fails on faults other than dead zones.
func (z *zonesCmd) gatewaysConfig(policy string, faults []localitysim.Fault) (fleet.Config, error) {
	cfg := fleet.Config{Program: z.Program, BoxRate: z.BoxRate, Objects: z.Objects, Late: z.Late, For: z.For, Off: policy != "tiers", Seed: z.Seed}
	for i, b := range z.Boxes {
		cfg.Zones = append(cfg.Zones, fleet.Zone{Name: fmt.Sprintf("z%d", i), Hub: z.hub(i), Boxes: b, Rate: z.Load * z.BoxRate * float64(b)})
	}
	for _, f := range faults {
		if f.Kind != localitysim.Dead {
			return cfg, fmt.Errorf("--fault: kind %s: real gateways can run dead zones only; omit --sockets", f.Kind)
		}
		cfg.Deaths = append(cfg.Deaths, fleet.Outage{Zone: f.Zone, At: f.At, Back: f.Till})
	}
	return cfg, nil
}

// addGatewaysRow adds the row of a policy run by real gateways to the table, and returns its curve.
func (z *zonesCmd) addGatewaysRow(t *table, policy string, r *fleet.Result) policyCurve {
	c := policyCurve{name: policy}
	refused, neither, worst := 0, 0, 1.0
	n := int(z.For / time.Second)
	for i := range n {
		asked, spilled, worth, offered := 0, 0, 0.0, 0.0
		for k, zone := range r.Zones {
			if i >= len(zone) {
				continue
			}
			s := zone[i]
			asked, worth, offered = asked+s.Asked, worth+s.Worth, offered+s.WorthAsked
			refused, neither = refused+s.Refused, neither+s.Other
			spilled += spilledAttempts(k, s.At)
			if z.Print {
				fmt.Printf("%s %d: z%d asked %d in aim %d refused %d other %d at %v\n", policy, i, k, s.Asked, s.InAim, s.Refused, s.Other, s.At)
			}
		}
		c.service = append(c.service, [2]float64{float64(i), worth / max(1, offered)})
		c.spill = append(c.spill, [2]float64{float64(i), float64(spilled) / float64(max(1, asked))})
		if i+5 <= n {
			worst = min(worst, r.ServedWorthShare(i, i+5))
		}
	}
	t.row("%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%.2f\t", policy, r.ServedWorthShare(0, n), worst, r.ServedWorthShare(n-10, n), refused, neither, r.Silent,
		r.Second, r.Spoilt, r.Over, r.Fallen, r.Most)
	return c
}

// printCounters prints the gateways' counters of localities, answers and attempts, by zone.
func printCounters(policy string, r *fleet.Result) {
	for k, c := range r.Counters {
		for name, v := range c {
			if strings.HasPrefix(name, "tier_") || strings.HasPrefix(name, "answered_") || strings.HasPrefix(name, "ended_") {
				fmt.Printf("%s z%d %s %g\n", policy, k, name, v)
			}
		}
	}
}
