package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"larchusher/lab/procs"
)

type procsCmd struct {
	Program string `help:"The gateway's program; the one beside this without." placeholder:"FILE"`
	Plot    string `help:"Play the plot in this file." placeholder:"FILE"`
	Rest    []int  `help:"Instead: what fleets of so many gateways send each other at rest, in simulated time."`
	Grants  []int  `help:"Instead: how long a grant takes with so many gateways, without and with the first voter killed."`
	Times   int    `help:"Grants measured of each." default:"60"`
	Show    bool   `help:"Print the plots, and play none."`
	Seed    uint64 `help:"Of the first drawn plot." default:"1"`
	Plots   int    `help:"How many are drawn." default:"10"`
	Jobs    int    `help:"How many are played at once." default:"4"`
}

// Run plays.
func (c *procsCmd) Run() error {
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = filepath.Join(filepath.Dir(self), "larchusher")
	}
	if len(c.Rest)+len(c.Grants) > 0 {
		return c.measure()
	}
	var plots []*procs.Plot
	if c.Plot != "" {
		text, err := os.ReadFile(c.Plot)
		if err != nil {
			return err
		}
		p, err := procs.Parse(string(text))
		if err != nil {
			return fmt.Errorf("%s: %w", c.Plot, err)
		}
		plots = append(plots, p)
	} else {
		for i := range c.Plots {
			plots = append(plots, procs.Draw(c.Seed+uint64(i)))
		}
	}
	if c.Show {
		for _, p := range plots {
			fmt.Print(p)
		}
		return nil
	}
	var (
		mu            sync.Mutex
		all           sync.WaitGroup
		bad, done     int
		asked, served int
		took          []time.Duration
		next          = make(chan *procs.Plot)
	)
	for range max(1, c.Jobs) {
		all.Go(func() {
			for p := range next {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
				v, err := procs.Run(ctx, c.Program, p)
				cancel()
				mu.Lock()
				switch {
				case err != nil:
					bad++
					fmt.Printf("seed %d: %v\n%s", p.Seed, err, p)
				case len(v.Faults) > 0:
					bad++
					fmt.Printf("seed %d:\n", p.Seed)
					for _, f := range v.Faults {
						fmt.Println("  ", f)
					}
					fmt.Print(p)
				default:
					fmt.Printf("seed %d: %d gateways, %d of %d works done after %v; clients asked %d, served %d, refused %d, failed %d, lost with a gateway %d; withheld %.0f\n", p.Seed,
						p.Gateways, v.Done, v.Asked, v.Ended.Round(100*time.Millisecond), v.Client.Asked, v.Client.Served, v.Client.Refused, v.Client.Failed, v.Client.Excused, v.Held)
				}
				if v != nil {
					done += v.Done
					asked += v.Client.Asked
					served += v.Client.Served
					for _, d := range v.Took {
						took = append(took, d)
					}
				}
				mu.Unlock()
			}
		})
	}
	for _, p := range plots {
		next <- p
	}
	close(next)
	all.Wait()
	slices.Sort(took)
	if n := len(took); n > 0 {
		fmt.Printf("from asking to granted, faults and bounds included: median %v, p99 %v\n", took[n/2].Round(time.Millisecond), took[n*99/100].Round(time.Millisecond))
	}
	fmt.Printf("%d plots, %d with a fault; %d works done; of %d requests %d were served\n", len(plots), bad, done, asked, served)
	if bad > 0 {
		return fmt.Errorf("%d of %d plots broke a rule", bad, len(plots))
	}
	return nil
}

// measure measures without faults.
func (c *procsCmd) measure() error {
	for _, n := range c.Rest {
		r, err := procs.Rest(n, c.Seed)
		if err != nil {
			return err
		}
		fmt.Printf("%d gateways: one that does not vote %.1f messages and %.0f bytes a second, the busiest voter %.0f and %.0f; %.1f writes a second of all; all ready after %v, granted after %v, out after %v\n", n,
			r.Messages, r.Bytes, r.VoterMessages, r.VoterBytes, r.Writes, r.Formed, r.Granted, r.Drained)
	}
	for _, n := range c.Grants {
		for _, kill := range []bool{false, true} {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
			all, err := procs.Grants(ctx, c.Program, n, c.Times, kill)
			cancel()
			if err != nil {
				return err
			}
			fmt.Printf("%d gateways, first voter killed before it: %v: %d grants, median %v, p99 %v\n", n, kill, len(all), all[len(all)/2].Round(time.Millisecond), all[len(all)*99/100].Round(time.Millisecond))
		}
	}
	return nil
}
