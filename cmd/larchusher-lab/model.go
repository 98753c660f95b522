package main

import (
	"fmt"
	"time"

	loadgen "larchusher/lab/load"
	"larchusher/lab/model"
	"larchusher/lab/plot"
)

// modelCmd is the sub-command model: it compares policies of overload control in simulated time.
type modelCmd struct {
	Times   []float64     `help:"Loads, in multiples of capacity." default:"0.5,0.9,1,1.2,1.5,1.85,2,2.5,3,4,5"`
	Profile string        `help:"The load over time, in multiples of those." default:"1"`
	Trace   string        `help:"Play a run that lab load recorded (PREFIX-RATE.parquet) in place of drawn ones."`
	For     time.Duration `help:"How long." default:"20s"`
	Warm    time.Duration `help:"What is due before is not counted." default:"2s"`
	Marked  float64       `help:"Share of requests that are repeats."`
	Seed    uint64        `default:"1"`
	Away    time.Duration `help:"The processor is away for so long,"`
	Every   time.Duration `help:"so often." default:"500ms"`
	Burst   time.Duration `help:"It serves for so long before it reads again."`
	Only    []string      `help:"Policies to try; all if none is named."`
	Plot    string        `help:"Draw worth over load to this file."`
}

// modelRow is the result of one policy under one load, in multiples of the capacity.
type modelRow struct {
	load float64
	name string
	out  model.Outcome
}

// costs returns the processor time that the modelled gateway needs for each kind of work, with the interruptions that the
// flags set. It fails on flags with which the processor would never serve.
func (m *modelCmd) costs() (model.Costs, error) {
	costs := model.MeasuredCosts
	if m.Burst < 0 || m.Away < 0 || m.Away > 0 && m.Every <= m.Away {
		return costs, fmt.Errorf("--away %v of --every %v, --burst %v: want none negative, and --away below --every: else the processor never serves", m.Away, m.Every, m.Burst)
	}
	costs.Burst = m.Burst
	if m.Away > 0 {
		costs.Away, costs.Every = m.Away, m.Every
	}
	return costs, nil
}

// trace returns the requests of the run recorded in --trace, or random ones at the given rate in requests per second.
func (m *modelCmd) trace(mix []loadgen.Class, rate float64) ([]model.Request, error) {
	if m.Trace != "" {
		return model.ReadTrace(m.Trace, mix, m.Seed)
	}
	profile, err := loadgen.ParseProfile(m.Profile, rate)
	if err != nil {
		return nil, err
	}
	return model.GenerateTrace(profile, m.For, mix, m.Marked, m.Seed), nil
}

// Run simulates each policy under each load and prints a row for each, and draws them with --plot.
func (m *modelCmd) Run() error {
	costs, err := m.costs()
	if err != nil {
		return err
	}
	mix := loadgen.DeploymentMix()
	capacity := float64(time.Second) / float64(costs.Serve)
	names, policies := model.Policies(mix)
	for _, n := range m.Only {
		if policies[n] == nil {
			return fmt.Errorf("--only %q: no such policy; want one of %q", n, names)
		}
	}
	if len(m.Only) > 0 {
		names = m.Only
	}
	t := newTable()
	t.header("load\tpolicy\tworth in aim/s\tof best\treplays %\tassets %\tturns %\tp99\tshed\tdropped\t")
	best, lines := 0.0, map[string]*plot.Line{}
	if m.Trace != "" {
		m.Times = []float64{0}
	}
	var rows []modelRow
	for _, times := range m.Times {
		for _, name := range names {
			trace, err := m.trace(mix, times*capacity)
			if err != nil {
				return err
			}
			out := model.Run(trace, mix, costs, policies[name](), m.Warm)
			best = max(best, out.Worth)
			rows = append(rows, modelRow{times, name, out})
			if lines[name] == nil {
				lines[name] = &plot.Line{Name: name}
			}
			lines[name].XY = append(lines[name].XY, [2]float64{times, out.Worth})
		}
	}
	for _, r := range rows {
		t.row("%.2f\t%s\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%v\t%d\t%d\t", r.load, r.name, r.out.Worth, r.out.Worth/best,
			100*r.out.InAim[0], 100*r.out.InAim[1], 100*r.out.InAim[2], r.out.P99.Round(time.Millisecond/10), r.out.Shed, r.out.Dropped)
	}
	if err := t.flush(); err != nil {
		return err
	}
	if m.Plot == "" {
		return nil
	}
	var all []plot.Line
	for _, n := range names {
		all = append(all, *lines[n])
	}
	return plot.DrawLines(m.Plot, "Worth answered in aim, by way of overload control (model)", "load, in multiples of capacity",
		"worth in aim a second", all)
}
