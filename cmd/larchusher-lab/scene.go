package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"larchusher/lab/fleet"
	"larchusher/lab/localitysim"
	"larchusher/lab/plot"
)

// sceneCmd is the sub-command scene: it simulates a scene, zones with their load and faults, from a file.
type sceneCmd struct {
	File string `arg:"" help:"A scene in protobuf text format, such as lab/scenarios/dark.textproto." type:"existingfile"`
	Out  string `help:"Write each second of each run to this file, as Parquet." placeholder:"FILE"`
	Plot string `help:"Draw service over time, or a heat map of a sweep of two keys for each policy, to PREFIX-....png." placeholder:"PREFIX"`
}

// Run simulates a scene, or each cell of a sweep over its parameters, and prints a row for each. It writes files with --out and
// --plot.
func (s *sceneCmd) Run() error {
	f, err := localitysim.Load(s.File)
	if err != nil {
		return err
	}
	cells, err := f.RunCells(func(done, all int, c *localitysim.Cell, took time.Duration) {
		fmt.Fprintf(os.Stderr, "%d of %d: %s, %v\n", done, all, c.Name(), took.Round(time.Millisecond))
	})
	if err != nil {
		return err
	}
	t := newTable()
	t.header("run\tworth in aim\tworst 5 s\tspill over its bound\tfalls\tanswered twice\thits %\tfills\torigin\t")
	for _, c := range cells {
		hits, reads, fills, origin := 0, 0, 0, 0
		for _, sec := range c.Result.Seconds {
			hits, reads, fills, origin = hits+sec.Hits, reads+sec.Reads, fills+sec.Fills, origin+sec.Origin
		}
		t.row("%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.1f\t%d\t%d\t", c.Name(), c.Worth(), c.Worst(5), c.Result.Over, len(c.Result.Falls),
			c.Result.Twice, 100*float64(hits)/float64(max(1, reads)), fills, origin)
	}
	if err := t.flush(); err != nil {
		return err
	}
	if s.Out != "" {
		if err := localitysim.WriteParquet(s.Out, cells); err != nil {
			return err
		}
	}
	switch {
	case s.Plot == "":
		return nil
	case len(f.Sweep) == 2:
		return s.drawHeatMap(f, cells)
	}
	var lines []plot.Line
	for _, c := range cells {
		l := plot.Line{Name: c.Name()}
		for i, sec := range c.Result.Seconds {
			if at := time.Duration(i) * time.Second; at >= c.Scene.Warm && at+time.Second <= c.Scene.For {
				l.XY = append(l.XY, [2]float64{float64(i), sec.Worth / max(1, sec.WorthAsked)})
			}
		}
		lines = append(lines, l)
	}
	return plot.DrawLines(s.Plot+"-service.png", "Worth answered in aim, all zones", "seconds", "share of what was asked", lines)
}

// drawHeatMap writes a heat map for each policy: the share of the requests' priority weight answered within the latency objective, over
// the two parameters of the sweep.
func (s *sceneCmd) drawHeatMap(f *localitysim.File, cells []*localitysim.Cell) error {
	x, y := f.Sweep[0], f.Sweep[1]
	for k, p := range f.Policies {
		z := make([][]float64, len(y.Values))
		for r := range z {
			z[r] = make([]float64, len(x.Values))
			for c := range z[r] {
				z[r][c] = cells[(c*len(y.Values)+r)*len(f.Policies)+k].Worth()
			}
		}
		name := fmt.Sprintf("%s-heat-%d.png", s.Plot, k)
		if err := plot.DrawHeatMap(name, fmt.Sprintf("Worth answered in aim: %s", p), x.Key, y.Key, x.Values, y.Values, z); err != nil {
			return err
		}
	}
	return nil
}

// compareCmd is the sub-command compare: it runs one scene in the simulation and with real gateways.
type compareCmd struct {
	File    string `arg:"" help:"A scene; only deaths of zones, one gateway for each zone." type:"existingfile"`
	Program string `help:"The gateway's program." default:"" placeholder:"PATH"`
}

// gatewaysConfig converts a scene for real gateways. It fails if the scene has something that these cannot run: more than one
// gateway in a zone, more than two hubs, or faults other than dead zones.
func gatewaysConfig(program string, sc localitysim.Scene) (fleet.Config, error) {
	cfg := fleet.Config{Program: program, BoxRate: sc.BoxRate, Objects: sc.Objects, Late: sc.List, For: sc.For, Seed: sc.Seed}
	for i, z := range sc.Zones {
		if z.Gateways != 1 || z.Hub > 1 {
			return cfg, fmt.Errorf("zone[%d]: %d gateways at hub %d: compare wants one gateway in each zone, and hub 0 or 1", i, z.Gateways, z.Hub)
		}
		cfg.Zones = append(cfg.Zones, fleet.Zone{Name: z.Name, Hub: z.Hub, Boxes: z.Boxes, Rate: z.Load * sc.BoxRate * float64(z.Boxes)})
	}
	for i, x := range sc.Faults {
		if x.Kind != localitysim.Dead {
			return cfg, fmt.Errorf("fault[%d].kind: %s: real gateways can run dead zones only", i, x.Kind)
		}
		cfg.Deaths = append(cfg.Deaths, fleet.Outage{Zone: x.Zone, At: x.At, Back: x.Till})
	}
	return cfg, nil
}

// shares are the shares of the requests of a time span that were sent to other zones, or rejected.
type shares struct{ spilled, refused float64 }

// newShares returns the shares of two counts in the number of requests.
func newShares(spilled, refused, asked float64) shares {
	return shares{spilled: spilled / max(1, asked), refused: refused / max(1, asked)}
}

// simulatedShares returns the shares of a simulation from one second to another, exclusive.
func simulatedShares(r *localitysim.Result, from, to int) shares {
	var asked, spilled, refused float64
	for _, s := range r.Seconds[from:to] {
		asked, refused = asked+float64(s.Asked), refused+float64(s.Refused)
		for _, n := range s.Spilled {
			spilled += float64(n)
		}
	}
	return newShares(spilled, refused, asked)
}

// measuredShares returns the shares of a run with real gateways from one second to another, exclusive.
func measuredShares(r *fleet.Result, from, to int) shares {
	var asked, spilled, refused float64
	for k, zone := range r.Zones {
		for _, s := range zone[min(from, len(zone)):min(to, len(zone))] {
			asked, refused = asked+float64(s.Asked), refused+float64(s.Refused)
			spilled += float64(spilledAttempts(k, s.At))
		}
	}
	return newShares(spilled, refused, asked)
}

// spilledAttempts returns how many of the attempts, counted by zone, went to a zone other than own.
func spilledAttempts(own int, at []int) (away int) {
	for zone, n := range at {
		if zone != own {
			away += n
		}
	}
	return away
}

// Run runs a scene in the simulation with directors and with real gateways on loopback, and prints the results of both side
// by side, for spans of 5 s.
func (c *compareCmd) Run() error {
	program, err := programPath(c.Program)
	if err != nil {
		return err
	}
	f, err := localitysim.Load(c.File)
	if err != nil {
		return err
	}
	sc := f.Scene
	sc.Policy = localitysim.Tiered
	cfg, err := gatewaysConfig(program, sc)
	if err != nil {
		return err
	}
	simulated, err := localitysim.RunWithDirectors(sc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), sc.For+time.Minute)
	defer cancel()
	measured, err := fleet.Run(ctx, cfg)
	if err != nil {
		return err
	}
	t := newTable()
	t.header("seconds\tin aim: model\tsockets\tspill: model\tsockets\trefused: model\tsockets\t")
	const step = 5
	var maxDifference float64
	for at := int(sc.Warm / time.Second); at+step <= int(sc.For/time.Second); at += step {
		m, r := simulatedShares(simulated, at, at+step), measuredShares(measured, at, at+step)
		a, b := simulated.ServedWorthShare(time.Duration(at)*time.Second, time.Duration(at+step)*time.Second), measured.ServedWorthShare(at, at+step)
		maxDifference = max(maxDifference, a-b, b-a)
		t.row("%d to %d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t", at, at+step, a, b, m.spilled, r.spilled, m.refused, r.refused)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Printf("the most that they differ in aim: %.3f; model: falls %v; sockets: fallen %v, silent %d, twice %d\n", maxDifference, simulated.Falls, measured.Fallen,
		measured.Silent, measured.Second)
	return nil
}
