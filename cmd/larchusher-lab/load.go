package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	loadgen "larchusher/lab/load"
	"larchusher/lab/testbed"
)

// loadCmd is the sub-command load: it sends an open-loop load to a gateway, whose requests do not wait for earlier answers.
type loadCmd struct {
	Addr     string        `help:"A gateway that runs already, at a loopback address; without it one is started with fake servers."`
	Program  string        `help:"The gateway's program." default:"" placeholder:"PATH"`
	Arg      []string      `help:"An argument of the gateway's program."`
	Caches   int           `help:"Fake caches." default:"4"`
	Cores    float64       `help:"What the gateway is told of its share of a core." default:"1"`
	MemoryMB int           `name:"memory-mb" help:"Its limit of memory." default:"192"`
	Sockets  int           `help:"Its limit of descriptors." default:"1024"`
	Pin      int           `help:"The core that it is kept on; -1: any." default:"0"`
	Rate     []float64     `help:"Requests a second; several are tried one after another, each with a gateway of its own." default:"1000"`
	Profile  string        `help:"The rate over time, in multiples: 1, 0.3..3@1s+2s (a step), 0.3/3@1s (by turns)." default:"1"`
	For      time.Duration `help:"How long." default:"5s"`
	Warm     time.Duration `help:"What is due before is not counted." default:"1s"`
	Conns    int           `help:"Connections." default:"300"`
	Open     int           `help:"Requests open on one." default:"30"`
	Only     string        `help:"Load of one class only."`
	Repeat   float64       `help:"Share of refused clients that try again when told to."`
	Marked   float64       `help:"Share of first tries that are marked as repeats."`
	Stalls   int           `help:"Stop the gateway so often, evenly spread."`
	StallFor time.Duration `help:"Each time for so long." default:"300ms"`
	Slow     int           `help:"Slow readers beside the load: connections that read little."`
	SlowPace int           `help:"Bytes a second that each reads." default:"10000"`
	SlowAsk  int           `help:"Parts that each asks for, and keeps asked for." default:"20"`
	SlowSize int           `help:"Bytes of each of those parts." default:"200000"`
	Duty     string        `help:"Let the gateway run for a part of the time only: RUN/OF, such as 25ms/100ms."`
	Seed     uint64        `help:"Of all that is drawn." default:"1"`
	Out      string        `help:"Write the rows of each run to PREFIX-RATE.parquet." placeholder:"PREFIX"`
	JSON     bool          `name:"json" help:"Print figures as JSON, one line a run."`
	Counters []string      `help:"Counters of the gateway to print after each run, by the beginning of their names."`
	Windows  bool          `help:"Print each second by itself, too."`
}

// Run runs the load at each rate, one after another, each with a gateway process of its own unless --addr names one.
func (l *loadCmd) Run() error {
	var err error
	if l.Program, err = programPath(l.Program); err != nil {
		return err
	}
	for _, rate := range l.Rate {
		if err := l.runOnce(rate); err != nil {
			return err
		}
	}
	return nil
}

// figures is what is printed of one run. With --json it is written as one line of JSON.
type figures struct {
	Rate     float64            `json:"Rate"`
	Sum      loadgen.Summary    `json:"Sum"`
	PeakMB   float64            `json:"PeakMB"`
	CPU      float64            `json:"CPU"` // seconds of processor time that the gateway used per second; 0 with --addr
	Counters map[string]float64 `json:"Counters,omitempty"`
}

// runOnce runs the load at one rate, in requests per second, and prints the result.
func (l *loadCmd) runOnce(rate float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), l.For+time.Minute)
	defer cancel()
	addr := l.Addr
	var bed *testbed.Gateway
	if addr == "" {
		var err error
		bed, err = testbed.Start(ctx, testbed.Config{Program: l.Program, Args: l.Arg, Caches: l.Caches, Cores: l.Cores,
			MemoryMB: l.MemoryMB, Sockets: l.Sockets, Pin: l.Pin})
		if err != nil {
			return err
		}
		defer bed.Stop()
		addr = bed.Addr
	}
	spec, err := l.spec(addr, rate)
	if err != nil {
		return err
	}
	if l.Slow > 0 {
		stop, err := l.startSlowReaders(addr, bed)
		if err != nil {
			return err
		}
		defer stop()
	}
	var before testbed.Usage
	if bed != nil {
		if err := l.injectPauses(ctx, bed); err != nil {
			return err
		}
		if before, err = bed.Usage(); err != nil {
			return err
		}
	}
	result, err := loadgen.Run(ctx, spec)
	if err != nil {
		return err
	}
	f := figures{Rate: rate, Sum: result.Summarize(l.Warm, 0)}
	if bed != nil {
		if err := l.addUsage(ctx, bed, before, result.Took, &f); err != nil {
			return err
		}
	}
	return l.report(result, f)
}

// spec returns the specification of the load at the given rate. It fails on a malformed profile or an unknown class.
func (l *loadCmd) spec(addr string, rate float64) (spec loadgen.Spec, err error) {
	profile, err := loadgen.ParseProfile(l.Profile, rate)
	if err != nil {
		return spec, err
	}
	spec = loadgen.Spec{Addr: addr, Conns: l.Conns, Open: l.Open, Rate: profile, For: l.For, Seed: l.Seed,
		Repeat: l.Repeat, Marked: l.Marked}
	if l.Only != "" {
		spec.Mix, err = loadgen.SingleClassMix(l.Only)
	}
	return spec, err
}

// startSlowReaders starts clients that read their answers slowly, and makes the fake servers send them large parts; with
// --addr (bed is nil) the servers are not changed. stop ends the clients and returns how many of their connections the
// gateway had closed.
func (l *loadCmd) startSlowReaders(addr string, bed *testbed.Gateway) (stop func() (closed int), err error) {
	stop, err = loadgen.StartSlowReaders(loadgen.SlowReaderSpec{Addr: addr, Conns: l.Slow, Pace: l.SlowPace, Ask: l.SlowAsk})
	if err != nil || bed == nil {
		return stop, err
	}
	for _, s := range bed.Stores {
		s.SetHandler(loadgen.SlowReaderContent(l.SlowSize))
	}
	return stop, nil
}

// addUsage adds the gateway's processor and memory use since before, and the counters that --counters selects, to the figures.
func (l *loadCmd) addUsage(ctx context.Context, bed *testbed.Gateway, before testbed.Usage, took time.Duration, f *figures) error {
	u, err := bed.Usage()
	if err != nil {
		return fmt.Errorf("gateway process has ended, its resource use cannot be read: %w\n%s", err, bed.Log.String())
	}
	f.PeakMB, f.CPU = float64(u.PeakKB)/1024, (u.CPU-before.CPU).Seconds()/took.Seconds()
	if len(l.Counters) == 0 {
		return nil
	}
	all, err := bed.Counters(ctx)
	if err != nil {
		return err
	}
	f.Counters = map[string]float64{}
	for name, v := range all {
		if slices.ContainsFunc(l.Counters, func(prefix string) bool { return strings.HasPrefix(name, prefix) }) {
			f.Counters[name] = v
		}
	}
	return nil
}

// report writes the rows of the run to a Parquet file with --out, and prints the figures.
func (l *loadCmd) report(result *loadgen.Result, f figures) error {
	rate := f.Rate
	if l.Out != "" {
		if err := result.WriteParquet(fmt.Sprintf("%s-%.0f.parquet", l.Out, rate)); err != nil {
			return err
		}
	}
	for _, e := range result.Errors {
		fmt.Fprintln(os.Stderr, "load:", e)
	}
	if l.JSON {
		return json.NewEncoder(os.Stdout).Encode(f)
	}
	fmt.Printf("rate %.0f/s: peak %.0f MB, %.2f of a core\n", rate, f.PeakMB, f.CPU)
	if err := f.Sum.Print(os.Stdout); err != nil {
		return err
	}
	if l.Windows {
		for i, s := range result.Windows() {
			fmt.Printf("second %d: ", i)
			if err := s.Print(os.Stdout); err != nil {
				return err
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(f.Counters)) {
		fmt.Printf("  %s %g\n", n, f.Counters[n])
	}
	fmt.Println()
	return nil
}

// injectPauses starts goroutines that pause the gateway process as --duty and --stalls demand while the load runs. It
// fails on a malformed --duty.
func (l *loadCmd) injectPauses(ctx context.Context, bed *testbed.Gateway) error {
	if l.Duty != "" {
		runText, periodText, ok := strings.Cut(l.Duty, "/")
		run, err1 := time.ParseDuration(runText)
		period, err2 := time.ParseDuration(periodText)
		if !ok || err1 != nil || err2 != nil || run <= 0 || run >= period {
			return fmt.Errorf("--duty %q: want RUN/OF with 0 < RUN < OF, such as 25ms/100ms", l.Duty)
		}
		go func() {
			for ctx.Err() == nil && bed.Pause(period-run) == nil {
				time.Sleep(run)
			}
		}()
	}
	if l.Stalls > 0 {
		go func() {
			for range l.Stalls {
				time.Sleep(l.For / time.Duration(l.Stalls+1))
				if bed.Pause(l.StallFor) != nil {
					return
				}
			}
		}()
	}
	return nil
}
