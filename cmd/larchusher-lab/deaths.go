package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"larchusher/lab/clientsim"
	"larchusher/lab/failover"
	"larchusher/lab/plot"
)

// deathsCmd is the sub-command deaths: it kills real gateways under the load of each kind of client.
type deathsCmd struct {
	Program  string        `help:"The gateway's program." default:"" placeholder:"PATH"`
	Kind     []string      `help:"Kinds of clients; all if none is named."`
	Gateways int           `default:"3"`
	Clients  int           `default:"1000"`
	Every    time.Duration `help:"Mean time between a client's requests." default:"1s"`
	Limit    time.Duration `help:"Deadline of a call, and no longer than its class's." default:"5s"`
	Kill     []string      `help:"GATEWAY@WHEN or GATEWAY@WHEN..BACK, such as 0@3s..6s." default:"0@3s..6s"`
	Refuse   bool          `help:"Stores are full, so that gateways refuse all."`
	Store    time.Duration `help:"Stores take so long to answer, so that gateways hold requests."`
	For      time.Duration `default:"10s"`
	Seed     uint64        `default:"1"`
	Plot     string        `help:"Draw connects over time to this file."`
}

// parseDeath parses a value of --kill: a gateway's position, the time of its kill and, optionally, of its restart. Times are
// durations from the start of the run.
func parseDeath(s string) (d failover.Outage, err error) {
	gateway, when, ok := strings.Cut(s, "@")
	at, back, restarts := strings.Cut(when, "..")
	if d.Gateway, err = strconv.Atoi(gateway); !ok || err != nil {
		return d, fmt.Errorf("--kill %q: want GATEWAY@WHEN or GATEWAY@WHEN..BACK", s)
	}
	if d.At, err = time.ParseDuration(at); err != nil {
		return d, fmt.Errorf("--kill %q: %w", s, err)
	}
	if restarts {
		if d.Back, err = time.ParseDuration(back); err != nil {
			return d, fmt.Errorf("--kill %q: %w", s, err)
		}
	}
	return d, nil
}

// Run kills gateways under each kind of client, prints a row of figures for each, and draws connects over time with --plot. It
// fails on a malformed --kill or when a run cannot be carried out; rules that were broken are printed to standard error
// and are no error.
func (c *deathsCmd) Run() error {
	var err error
	if c.Program, err = programPath(c.Program); err != nil {
		return err
	}
	cfg := failover.Config{Program: c.Program, Gateways: c.Gateways, Clients: c.Clients, Every: c.Every, Limit: c.Limit,
		For: c.For, Refuse: c.Refuse, Store: c.Store, Seed: c.Seed}
	for _, k := range c.Kill {
		if k == "" || c.Refuse {
			continue
		}
		d, err := parseDeath(k)
		if err != nil {
			return err
		}
		cfg.Deaths = append(cfg.Deaths, d)
	}
	kinds := clientsim.Kinds()
	if len(c.Kind) > 0 {
		kinds = nil
		for _, k := range c.Kind {
			kinds = append(kinds, clientsim.Kind(k))
		}
	}
	t := newTable()
	t.header("clients\tcalls\ttries a call\tserved from the death on\tin aim\tmost connects in 100 ms\tin tenths\tpeak of tries\tlater than the deadline p99\tmost\ttoo early\trules broken\t")
	var lines []plot.Line
	for _, kind := range kinds {
		cfg.Kind = kind
		ctx, cancel := context.WithTimeout(context.Background(), c.For+time.Minute)
		r, err := failover.Run(ctx, cfg)
		cancel()
		if err != nil {
			return err
		}
		due := float64(max(1, r.Due)) / 100
		t.row("%s\t%d\t%.3f\t%.2f %%\t%.2f %%\t%.1f %%\t%d\t%.2f\t%v\t%v\t%d\t%d\t", r.Kind, r.Calls, float64(r.Tries)/float64(max(1, r.Calls)),
			float64(r.Served)/due, float64(r.InAim)/due, 100*r.PeakPart, r.Spread, r.PeakLoad, r.Late99.Round(10*time.Microsecond),
			r.Late.Round(10*time.Microsecond), r.Early, len(r.Broken))
		fmt.Fprintf(os.Stderr, "%s: %v\n", r.Kind, r.Ended)
		for _, b := range r.Broken {
			fmt.Fprintln(os.Stderr, "broken:", b)
		}
		l := plot.Line{Name: string(kind)}
		for i, n := range r.Connects {
			l.XY = append(l.XY, [2]float64{(time.Duration(i) * failover.Window).Seconds(), float64(n)})
		}
		lines = append(lines, l)
	}
	if err := t.flush(); err != nil {
		return err
	}
	if c.Plot == "" {
		return nil
	}
	return plot.DrawLines(c.Plot, "Connects in 100 ms to real gateways", "seconds", "connects", lines)
}
