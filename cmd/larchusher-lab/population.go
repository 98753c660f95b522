package main

import (
	"time"

	"larchusher/lab/clientsim"
	"larchusher/lab/plot"
)

// populationCmd is the sub-command population: it simulates many clients while gateways are killed.
type populationCmd struct {
	Clients  int           `default:"50000"`
	Gateways int           `default:"20"`
	Every    time.Duration `help:"Mean time between a client's requests." default:"2s"`
	Limit    time.Duration `help:"Deadline of a request." default:"5s"`
	Capacity float64       `help:"What a gateway can do, over its usual load." default:"1.7"`
	Kill     float64       `help:"Share of the gateways that are killed at once." default:"0.33"`
	Back     time.Duration `help:"They are back after so long." default:"10s"`
	For      time.Duration `default:"30s"`
	Seed     uint64        `default:"1"`
	Plot     string        `help:"Draw load over time to PREFIX-tries.png and PREFIX-connects.png." placeholder:"PREFIX"`
}

// Run simulates the clients, once with each kind of client, and prints a row for each. The gateways are killed 8 s after the
// start; with --plot it draws tries and connects from 2 s before that to 15 s after.
func (p *populationCmd) Run() error {
	const killAt = 8 * time.Second
	t := newTable()
	t.header("clients\tserved from the kill on\tpeak of tries, over usual\tconnects within 5 s\tmost of them in 100 ms\tplayed in\t")
	var tries, connects []plot.Line
	for _, kind := range clientsim.Kinds() {
		began := time.Now()
		r, err := clientsim.Run(kind, clientsim.Config{Clients: p.Clients, Gateways: p.Gateways, Every: p.Every, Limit: p.Limit,
			Capacity: p.Capacity, Kill: p.Kill, KillAt: killAt, Back: p.Back, For: p.For, Seed: p.Seed})
		if err != nil {
			return err
		}
		t.row("%s\t%.2f %%\t%.2f\t%d\t%.1f %%\t%v\t", r.Kind, 100*r.Served, r.PeakTries, r.ReConnects, 100*r.PeakShare,
			time.Since(began).Round(time.Millisecond))
		a, b := plot.Line{Name: string(kind)}, plot.Line{Name: string(kind)}
		for i := range r.Tries {
			x := (time.Duration(i)*r.Window - killAt).Seconds()
			if x < -2 || x > 15 {
				continue
			}
			a.XY = append(a.XY, [2]float64{x, r.Tries[i]})
			b.XY = append(b.XY, [2]float64{x, r.Connects[i]})
		}
		tries, connects = append(tries, a), append(connects, b)
	}
	if err := t.flush(); err != nil {
		return err
	}
	if p.Plot == "" {
		return nil
	}
	if err := plot.DrawLines(p.Plot+"-tries.png", "Tries at the living gateways, a third killed at 0 s", "seconds", "over the usual load", tries); err != nil {
		return err
	}
	return plot.DrawLines(p.Plot+"-connects.png", "Connects in 100 ms, a third of the gateways killed at 0 s", "seconds", "connects", connects)
}
