package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"larchusher/lab/faultinjection"
	"larchusher/lab/plot"
	"larchusher/maintenance"
)

// procsCmd is the sub-command procs: it runs plots of faults with real gateway processes, or one of several measurements.
type procsCmd struct {
	Program string   `help:"The gateway's program; the one beside this without." placeholder:"FILE"`
	Plot    string   `help:"Play the plot in this file." placeholder:"FILE"`
	Named   []string `help:"Play these of the written plots; all: each of them."`
	Mutants string   `help:"Instead: take one rule after another out of the program of the repository at this place, and see that a plot finds it." placeholder:"DIR"`
	Only    string   `help:"With --mutants: those with this in their names."`
	Rest    []int    `help:"Instead: what fleets of so many gateways send each other at rest, in simulated time."`
	Spread  []int    `help:"Instead: how fleets of so many gateways come to know the same, in simulated time, by several ways."`
	CatchUp []int    `help:"Instead: what it takes one that returns to know so many items, in simulated time."`
	Grants  []int    `help:"Instead: how long a grant takes with so many gateways, without and with the first voter killed."`
	Plan    int      `help:"Instead: a plan of forty machines against fixed timetables in simulated time, over so many seeds." placeholder:"SEEDS"`
	Draw    string   `help:"With --plan or --spread: write what came of it as a picture." placeholder:"FILE"`
	Times   int      `help:"Grants measured of each." default:"60"`
	Former  string   `help:"Every second gateway is this program, of a former version." placeholder:"FILE"`
	Show    bool     `help:"Print the plots, and play none."`
	Shared  string   `help:"Draw plots in which purges and drains are told late: on, with what gateways know kept in common; off: without." enum:"on,off," default:""`
	Seed    uint64   `help:"Of the first drawn plot." default:"1"`
	Plots   int      `help:"How many are drawn." default:"10"`
	Jobs    int      `help:"How many are played at once." default:"4"`
}

// Run runs what the flags select, by default random plots. It fails if a plot breaks a rule or cannot be run.
func (c *procsCmd) Run() error {
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = filepath.Join(filepath.Dir(self), "larchusher")
	}
	switch {
	case c.Plan > 0:
		return c.comparePlans()
	case len(c.Rest)+len(c.Grants)+len(c.Spread)+len(c.CatchUp) > 0:
		return c.measure()
	case c.Mutants != "":
		return c.runMutants()
	}
	plots, err := c.plots()
	if err != nil {
		return err
	}
	if c.Show {
		for _, p := range plots {
			fmt.Print(p)
		}
		return nil
	}
	var s plotSummary
	c.playAll(plots, &s)
	s.print(len(plots))
	if s.failed > 0 {
		return fmt.Errorf("%d of %d plots broke a rule or did not run", s.failed, len(plots))
	}
	return nil
}

// plots returns the plots that the flags select: written ones by name, one from a file, or random ones.
func (c *procsCmd) plots() ([]*faultinjection.Plot, error) {
	switch {
	case len(c.Named) > 0:
		return c.selectNamedPlots()
	case c.Plot != "":
		text, err := os.ReadFile(c.Plot)
		if err != nil {
			return nil, err
		}
		p, err := faultinjection.Parse(string(text))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.Plot, err)
		}
		return []*faultinjection.Plot{p}, nil
	}
	var plots []*faultinjection.Plot
	for i := range c.Plots {
		p := faultinjection.Generate(c.Seed + uint64(i))
		if c.Shared != "" {
			p = faultinjection.GenerateReplication(c.Seed + uint64(i))
		}
		if c.Shared == "off" {
			p.Events[0].Kind = "apart"
		}
		plots = append(plots, p)
	}
	return plots, nil
}

// selectNamedPlots returns the written plots that --named selects, in the order of their names.
func (c *procsCmd) selectNamedPlots() (plots []*faultinjection.Plot, err error) {
	named, err := faultinjection.NamedPlots()
	if err != nil {
		return nil, err
	}
	for _, name := range slices.Sorted(maps.Keys(named)) {
		if slices.Contains(c.Named, name) || slices.Contains(c.Named, "all") {
			plots = append(plots, named[name])
		}
	}
	return plots, nil
}

// playAll runs plots, Jobs of them concurrently, and adds their outcomes to s.
func (c *procsCmd) playAll(plots []*faultinjection.Plot, s *plotSummary) {
	var all sync.WaitGroup
	next := make(chan *faultinjection.Plot)
	for range max(1, c.Jobs) {
		all.Go(func() {
			for p := range next {
				ctx, cancel := context.WithTimeout(context.Background(), p.For+100*time.Second)
				v, err := faultinjection.Run(ctx, c.Program, p)
				cancel()
				s.add(p, v, err)
			}
		})
	}
	for _, p := range plots {
		p.FormerProgram = c.Former
		next <- p
	}
	close(next)
	all.Wait()
}

// plotSummary sums up the outcomes of several plots. add may be called from any goroutine.
type plotSummary struct {
	mu                             sync.Mutex
	failed, completed              int             // plots that broke a rule or could not run; completed maintenance requests
	requests, served               int             // requests of clients
	grantLatencies                 []time.Duration // from a maintenance request to its grant
	convergence                    []time.Duration // from the last fault until all gateways held the same replicated slots
	staleRequests, drainedRequests int             // as in faultinjection.Verdict
	purges                         int             // sent to gateways
}

// add adds the outcome of a plot, or the error that ended it, and prints it. A plot that broke a rule or could not run is
// printed in full, so that it can be run again.
func (s *plotSummary) add(p *faultinjection.Plot, v *faultinjection.Verdict, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.failed++
		fmt.Printf("seed %d: %v\n%s", p.Seed, err, p)
	case len(v.Violations) > 0:
		s.failed++
		fmt.Printf("seed %d:\n", p.Seed)
		for _, f := range v.Violations {
			fmt.Println("  ", f)
		}
		fmt.Print(p)
	default:
		fmt.Printf("seed %d: %d gateways, %d of %d works done after %v; clients asked %d, served %d, refused %d, failed %d, lost with a gateway %d; withheld %.0f\n", p.Seed,
			p.Gateways, v.Completed, v.Requested, v.EndedAfter.Round(100*time.Millisecond), v.Clients.Sent, v.Clients.Served, v.Clients.Rejected, v.Clients.Failed, v.Clients.LostWithGateway, v.Withheld)
	}
	if v == nil {
		return
	}
	s.staleRequests, s.drainedRequests, s.purges = s.staleRequests+v.StaleRequests, s.drainedRequests+v.DrainedRequests, s.purges+v.Purges
	if v.ConvergedAfter > 0 {
		s.convergence = append(s.convergence, v.ConvergedAfter)
	}
	s.completed += v.Completed
	s.requests += v.Clients.Sent
	s.served += v.Clients.Served
	for _, d := range v.GrantLatency {
		s.grantLatencies = append(s.grantLatencies, d)
	}
}

// print prints the totals over the given number of plots.
func (s *plotSummary) print(plots int) {
	slices.Sort(s.grantLatencies)
	if n := len(s.grantLatencies); n > 0 {
		fmt.Printf("from asking to granted, faults and bounds included: median %v, p99 %v\n", s.grantLatencies[n/2].Round(time.Millisecond), s.grantLatencies[n*99/100].Round(time.Millisecond))
	}
	if s.purges > 0 {
		slices.Sort(s.convergence)
		fmt.Printf("%d purges told; %d asks would have taken what others knew to be purged, %d went where others knew of a drain", s.purges, s.staleRequests, s.drainedRequests)
		if n := len(s.convergence); n > 0 {
			fmt.Printf("; all knew the same after the last fault: median %v, most %v", s.convergence[n/2].Round(time.Millisecond), s.convergence[n-1].Round(time.Millisecond))
		}
		fmt.Println()
	}
	fmt.Printf("%d plots, %d with a fault; %d works done; of %d requests %d were served\n", plots, s.failed, s.completed, s.requests, s.served)
}

// runMutants builds a program without one rule after another and prints which plot detects it. It fails if a mutant passes
// all its plots.
func (c *procsCmd) runMutants() error {
	escaped, errs := 0, []error(nil)
	for _, m := range faultinjection.Mutants {
		if !strings.Contains(m.Name, c.Only) {
			continue
		}
		detection, err := c.detect(m)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if detection == "" {
			escaped++
			detection = "ESCAPED"
		}
		fmt.Printf("%s: %s\n", m.Name, detection)
	}
	if escaped > 0 {
		errs = append(errs, fmt.Errorf("%d of %d mutants were detected by no plot", escaped, len(faultinjection.Mutants)))
	}
	return errors.Join(errs...)
}

// detect runs a mutant's plots until a violation detects it, and returns a line that names the plot and the violation; empty:
// no plot detected it.
func (c *procsCmd) detect(m faultinjection.Mutant) (string, error) {
	dir, err := os.MkdirTemp("", "larchusher-mutant")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(dir) }() // an error leaves files in the temporary folder, which the system cleans up
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	program, err := m.Build(ctx, c.Mutants, dir)
	if err != nil {
		return "", err
	}
	plots, err := m.Plots(c.Plots)
	if err != nil {
		return "", err
	}
	for i, p := range plots {
		v, err := faultinjection.Run(ctx, program, p)
		if err != nil {
			return "", fmt.Errorf("mutant %q: %w", m.Name, err)
		}
		if len(v.Violations) > 0 {
			line, _, _ := strings.Cut(v.Violations[0], "\n")
			return fmt.Sprintf("found by plot %d (seed %d): %.160s", i+1, p.Seed, line), nil
		}
	}
	return "", nil
}

// measure runs the measurements without faults that the flags select, and prints a line for each.
func (c *procsCmd) measure() error {
	for _, n := range c.Rest {
		r, err := faultinjection.MeasureIdle(n, c.Seed)
		if err != nil {
			return err
		}
		fmt.Printf("%d gateways: one that does not vote %.1f messages and %.0f bytes a second, the busiest voter %.0f and %.0f; %.1f writes a second of all; all ready after %v, granted after %v, out after %v\n", n,
			r.Messages, r.Bytes, r.VoterMessages, r.VoterBytes, r.Writes, r.ReadyAfter, r.GrantedAfter, r.OutAfter)
	}
	if err := c.measureCatchUp(); err != nil {
		return err
	}
	if err := c.measureReplication(); err != nil {
		return err
	}
	return c.measureGrants()
}

// measureCatchUp measures, at two rates of transfer, how long a returning gateway takes to learn so many replicated items.
func (c *procsCmd) measureCatchUp() error {
	for _, n := range c.CatchUp {
		for _, bytes := range []int{256 << 10, 16 << 20} {
			r, err := faultinjection.MeasureCatchUp(n, bytes, c.Seed)
			if err != nil {
				return err
			}
			fmt.Printf("%d items, %d bytes a second from each: %v, %d bytes, %v the longest held, %d bytes of memory an item\n", n, bytes, r.Took, r.Bytes, r.LongestHandle.Round(10*time.Microsecond), r.BytesPerSlot)
		}
	}
	return nil
}

// measureReplication measures how clusters of so many gateways replicate what they know, by several methods, and draws the
// times after a partition with --draw.
func (c *procsCmd) measureReplication() error {
	lines := map[string]plot.Line{}
	for _, n := range c.Spread {
		for _, variant := range []string{faultinjection.VariantStreamsHints, faultinjection.VariantStreams, faultinjection.VariantFullCopies, faultinjection.VariantPush} {
			if variant == faultinjection.VariantFullCopies && n > 100 {
				continue // its traffic grows with the square of the number of gateways
			}
			r, err := faultinjection.MeasureSpread(variant, n, c.Seed)
			if err != nil {
				return err
			}
			fmt.Printf("%d gateways, %s: a purge at nine in ten after %s, at all after %s; after a heal all after %s, with %.0f bytes of each; %.0f bytes a second at rest\n", n, variant, durationOrNever(r.PurgeNinetyPercent), durationOrNever(r.PurgeAll), durationOrNever(r.HealAll), r.HealBytes, r.IdleBytesPerSecond)
			if l := lines[variant]; r.HealAll > 0 {
				l.Name, l.XY = variant, append(l.XY, [2]float64{float64(n), r.HealAll.Seconds()})
				lines[variant] = l
			}
		}
	}
	if c.Draw == "" || len(lines) == 0 {
		return nil
	}
	var all []plot.Line
	for _, variant := range slices.Sorted(maps.Keys(lines)) {
		all = append(all, lines[variant])
	}
	return plot.DrawLines(c.Draw, "A heal of two halves", "gateways", "seconds until all know the same", all)
}

// measureGrants measures how long maintenance requests take to be granted, without and with the first voter killed.
func (c *procsCmd) measureGrants() error {
	for _, n := range c.Grants {
		for _, kill := range []bool{false, true} {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
			all, err := faultinjection.MeasureGrants(ctx, c.Program, n, c.Times, kill)
			cancel()
			if err != nil {
				return err
			}
			fmt.Printf("%d gateways, first voter killed before it: %v: %d grants, median %v, p99 %v\n", n, kill, len(all), all[len(all)/2].Round(time.Millisecond), all[len(all)*99/100].Round(time.Millisecond))
		}
	}
	return nil
}

// comparePlans compares, over Plan seeds, the maintenance of forty machines by fixed timetables and by agreement of the gateways,
// prints a row for each and draws them with --draw.
func (c *procsCmd) comparePlans() error {
	type method struct {
		name     string
		simulate func(seed uint64) (faultinjection.PlanResult, error)
	}
	var methods []method
	for _, slot := range []time.Duration{40 * time.Second, 50 * time.Second, 60 * time.Second, 80 * time.Second, 110 * time.Second, 150 * time.Second} {
		methods = append(methods, method{"timetable " + slot.String(), func(seed uint64) (faultinjection.PlanResult, error) {
			return faultinjection.RunTimetable(seed, slot), nil
		}})
	}
	for _, n := range []int{2, 4, 6, 9} {
		methods = append(methods, method{fmt.Sprint("settled, at_once ", n), func(seed uint64) (faultinjection.PlanResult, error) {
			return faultinjection.RunCoordinated(seed, maintenance.Limits{MaxOut: n})
		}})
	}
	lines := []plot.Line{{Name: "fixed timetables"}, {Name: "settled by gateways"}}
	for i, m := range methods {
		var sum faultinjection.PlanResult
		worstOfAll := 1.0
		all, errs := make([]faultinjection.PlanResult, c.Plan), make([]error, c.Plan)
		var wait sync.WaitGroup
		next := make(chan int)
		for range max(1, c.Jobs) {
			wait.Go(func() {
				for n := range next {
					all[n], errs[n] = m.simulate(c.Seed + uint64(n))
				}
			})
		}
		for n := range c.Plan {
			next <- n
		}
		close(next)
		wait.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		for _, p := range all {
			sum.Served, sum.WorstWindow, sum.EndedAfter, sum.OverloadedSeconds = sum.Served+p.Served, sum.WorstWindow+p.WorstWindow, sum.EndedAfter+p.EndedAfter, sum.OverloadedSeconds+p.OverloadedSeconds
			worstOfAll = min(worstOfAll, p.WorstWindow)
		}
		seeds := float64(c.Plan)
		fmt.Printf("%s: served in aim %.4f, worst ten seconds %.3f in the mean and %.3f at the least, %v to the end, %.1f s with no room in a zone\n", m.name, sum.Served/seeds, sum.WorstWindow/seeds, worstOfAll,
			(sum.EndedAfter / time.Duration(c.Plan)).Round(time.Second), float64(sum.OverloadedSeconds)/seeds)
		l := &lines[0]
		if i >= len(methods)-4 {
			l = &lines[1]
		}
		l.XY = append(l.XY, [2]float64{(sum.EndedAfter / time.Duration(c.Plan)).Minutes(), 100 * (1 - sum.WorstWindow/seeds)})
	}
	if c.Draw == "" {
		return nil
	}
	return plot.DrawLines(c.Draw, "Forty machines, load 0.6", "minutes to the end", "worth lost in the worst ten seconds, %", lines)
}

// durationOrNever returns d as text, or a note for 0: it did not happen within the time of the measurement.
func durationOrNever(d time.Duration) string {
	if d == 0 {
		return "(not within its time)"
	}
	return d.String()
}
