// Package faultinjection tests several real gateway processes under injected faults. A plot is a timed list of events, such
// as kills, network partitions and requests for maintenance of machines. The gateways forward to fake servers, and a
// relay stands in each direction between any two gateways. While a plot runs, the package checks from the requests that the
// fake servers receive and from the state that the gateways report whether they keep the maintenance rules.
package faultinjection

import (
	"bufio"
	"embed"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Plot is a timed list of events for a number of gateways and fake servers. Its text form, as String writes and Parse reads it,
// can be stored and run again.
type Plot struct {
	Seed          uint64 // of the links' random faults, of the gateways and of other random choices
	Gateways      int
	CachesPerZone int // in each of the two zones
	For           time.Duration
	Events        []Event

	FormerProgram string // path of a former version of the gateway's program, which every second gateway runs; empty: none does. Not part of the text form
}

// Event is one line of a plot: something that happens at a time after its start.
type Event struct {
	At   time.Duration
	Kind string   // a key of argCounts
	Args []string // as many as argCounts demands
}

// argCounts lists the kinds of events with the number of their arguments; -1: any number. The comments name the arguments.
var argCounts = map[string]int{
	"ask":    2,  // machine, gateway: request maintenance of the machine, first at this gateway
	"kill":   2,  // gateway, "keep" or "lose" (its folder of stored state): SIGKILL; "start" starts it again
	"start":  1,  // gateway that was killed
	"roll":   1,  // gateway: SIGTERM, and a restart as soon as it has ended
	"stop":   1,  // gateway: SIGSTOP
	"cont":   1,  // gateway: SIGCONT
	"cut":    -1, // pairs a>b: drop everything that gateway a sends to gateway b
	"heal":   0,  // ends all cuts and all effects of bad and slow
	"bad":    4,  // on every link: share of frames dropped, share sent twice, maximum delay, "cut" (some connections end within a frame) or "-"
	"slow":   1,  // bytes per second on every link
	"slowly": 1,  // duration that every fake server takes to answer
	"clock":  2,  // gateway, milliseconds by which its wall clock is off
	"crash":  1,  // cache: it stops, and the endpoint list removes it
	"revive": 1,  // cache: it restarts with nothing cached
	"share":  0,  // at 0: the gateways replicate purges, drains and listings
	"apart":  0,  // at 0: they do not; the requests are counted for comparison
	"purge":  3,  // group, gateway that is notified at once, delay until the others are
	"drain":  3,  // machine, gateway that is notified at once, delay until the others are
	"forge":  1,  // gateway that is sent forged and malformed bytes
}

// plotFiles holds the plots that were written by hand.
//
//go:embed plots/*.plot
var plotFiles embed.FS

// NamedPlots returns the plots written by hand, each for one difficult case, by file name without its extension.
// It fails if one of them does not parse.
func NamedPlots() (map[string]*Plot, error) {
	all := map[string]*Plot{}
	err := fs.WalkDir(plotFiles, "plots", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := plotFiles.ReadFile(path)
		if err != nil {
			return err
		}
		p, err := Parse(string(text))
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		all[strings.TrimSuffix(d.Name(), ".plot")] = p
		return nil
	})
	return all, err
}

// String returns the plot's text form, without FormerProgram.
func (p *Plot) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plot seed %d gateways %d boxes %d for %v\n", p.Seed, p.Gateways, p.CachesPerZone, p.For)
	for _, e := range p.Events {
		fmt.Fprintf(&b, "at %v %s\n", e.At, strings.Join(append([]string{e.Kind}, e.Args...), " "))
	}
	return b.String()
}

// Parse reads a plot's text form. Empty lines and lines that begin with # are skipped. Errors name the line, counted from 1.
func Parse(text string) (*Plot, error) {
	p := &Plot{}
	s := bufio.NewScanner(strings.NewReader(text))
	for n := 1; s.Scan(); n++ {
		f := strings.Fields(s.Text())
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		var err error
		switch {
		case p.Gateways == 0:
			if _, err = fmt.Sscanf(s.Text(), "plot seed %d gateways %d boxes %d for", &p.Seed, &p.Gateways, &p.CachesPerZone); err == nil {
				p.For, err = time.ParseDuration(f[len(f)-1])
			}
			if err == nil && (p.Gateways < 1 || p.Gateways > 9 || p.CachesPerZone < 2 || p.CachesPerZone > 20 || p.For <= 0) {
				err = fmt.Errorf("%s: gateways must be 1 to 9, boxes 2 to 20, and the duration over 0", s.Text())
			}
		case f[0] != "at" || len(f) < 3:
			err = fmt.Errorf("%q does not have the form `at TIME KIND ARGUMENTS...`", s.Text())
		default:
			e := Event{Kind: f[2], Args: f[3:]}
			want, known := argCounts[e.Kind]
			if e.At, err = time.ParseDuration(f[1]); err == nil && (!known || want >= 0 && len(e.Args) != want) {
				err = fmt.Errorf("event %q with %d arguments: no such kind of event, or another number of arguments is wanted", e.Kind, len(e.Args))
			}
			p.Events = append(p.Events, e)
		}
		if err != nil {
			return nil, fmt.Errorf("plot: line %d: %w", n, err)
		}
	}
	if p.Gateways == 0 {
		return nil, fmt.Errorf("plot: empty text, want a line `plot seed N gateways N boxes N for DURATION`")
	}
	return p, nil
}

// gatewayName and cacheName return the names that plots use, such as g0 for the first gateway and b1-3 for cache 3 of zone 1.
func gatewayName(i int) string     { return "g" + strconv.Itoa(i) }
func cacheName(zone, i int) string { return fmt.Sprintf("b%d-%d", zone, i) }

// newRand returns a generator whose numbers depend on the seed and on the stream alone.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Generate returns the random plot of a seed. Every fault except a wrong wall clock ends before the plot does, so that all
// maintenance can complete. At most one gateway loses its folder, so that the stored votes of a majority are never lost.
func Generate(seed uint64) *Plot {
	rng := newRand(seed, 21)
	p := &Plot{Seed: seed, Gateways: 3 + rng.IntN(5), CachesPerZone: 4 + rng.IntN(6), For: 14 * time.Second}
	randomTime := func(from, to int) time.Duration { return time.Duration(from+rng.IntN(to-from)) * time.Millisecond }
	addEvent := func(t time.Duration, kind string, args ...string) {
		p.Events = append(p.Events, Event{t, kind, args})
	}
	anyGateway := func() string { return gatewayName(rng.IntN(p.Gateways)) }
	var machines []string
	for z := range 2 {
		for i := range p.CachesPerZone {
			machines = append(machines, cacheName(z, i))
		}
	}
	machines = append(machines, "p0", "p1")
	rng.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	requests := 4 + rng.IntN(3)
	for i := range requests {
		addEvent(randomTime(800, 4000), "ask", machines[i], anyGateway())
	}
	if rng.IntN(2) == 0 { // both parents at once, each at another gateway, so that only one may be granted
		t := randomTime(1000, 2500)
		addEvent(t, "ask", "p0", gatewayName(0))
		addEvent(t, "ask", "p1", gatewayName(p.Gateways-1))
	}
	faults := &faultGenerator{plot: p, rng: rng, randomTime: randomTime, addEvent: addEvent, crashable: machines[requests:], faulted: map[string]bool{}}
	for range 1 + rng.IntN(4) {
		faults.addFault(randomTime(1000, 6500), anyGateway())
	}
	addEvent(max(faults.latestEnd, 9*time.Second)+100*time.Millisecond, "heal")
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// faultGenerator adds random faults to a plot.
type faultGenerator struct {
	plot       *Plot
	rng        *rand.Rand
	randomTime func(fromMs, toMs int) time.Duration // returns a random duration; toMs is excluded
	addEvent   func(t time.Duration, what string, args ...string)
	crashable  []string        // machines that none of the first random requests names; the caches among them may crash
	latestEnd  time.Duration   // of all faults so far
	folderLost bool            // a gateway has lost its folder; at most one in a plot does
	faulted    map[string]bool // gateways killed or stopped and caches crashed in the plot: once each
}

// drawEnd returns a random end for a fault that begins at the given time: 300 ms to 5 s later, and within 9 s of the start.
func (d *faultGenerator) drawEnd(from time.Duration) time.Duration {
	t := min(from+d.randomTime(300, 5000), 9*time.Second)
	d.latestEnd = max(d.latestEnd, t)
	return t
}

// addFault adds a random fault that begins at the given time. Faults of a gateway affect g.
func (d *faultGenerator) addFault(t time.Duration, g string) {
	switch d.rng.IntN(9) {
	case 0, 1, 2:
		d.addKill(t, g)
	case 3:
		if d.faulted[g] {
			return
		}
		d.faulted[g] = true
		d.addEvent(t, "stop", g)
		d.addEvent(d.drawEnd(t), "cont", g)
	case 4, 5:
		d.addPartition(t)
	case 6:
		truncation := "-"
		if d.rng.IntN(2) == 0 {
			truncation = "cut"
		}
		d.addEvent(t, "bad", fmt.Sprintf("%.2f", 0.2*d.rng.Float64()), fmt.Sprintf("%.2f", 0.2*d.rng.Float64()), d.randomTime(0, 40).String(), truncation)
		d.addEvent(d.drawEnd(t), "heal")
	case 7:
		d.addEvent(t, "clock", g, strconv.Itoa(d.rng.IntN(60000)-30000))
		d.addEvent(t, "forge", gatewayName(d.rng.IntN(d.plot.Gateways)))
	case 8:
		m := d.crashable[d.rng.IntN(len(d.crashable))]
		if m[0] == 'b' && !d.faulted[m] {
			d.faulted[m] = true
			d.addEvent(t, "crash", m)
			d.addEvent(d.drawEnd(t), "revive", m)
		}
	}
}

// addKill adds a kill and the restart of a gateway, which loses its folder in one of three cases if none has before.
func (d *faultGenerator) addKill(t time.Duration, g string) {
	if d.faulted[g] {
		return
	}
	d.faulted[g] = true
	folder := "keep"
	if !d.folderLost && d.rng.IntN(3) == 0 {
		folder, d.folderLost = "lose", true
	}
	d.addEvent(t, "kill", g, folder)
	d.addEvent(d.drawEnd(t), "start", g)
}

// addPartition adds a partition of the gateways into two random sides, in both directions or in one.
func (d *faultGenerator) addPartition(t time.Duration) {
	n := d.plot.Gateways
	side := d.rng.Perm(n)[:1+d.rng.IntN(n-1)]
	oneWay := d.rng.IntN(2) == 0
	var pairs []string
	for a := range n {
		for b := range n {
			if in := slices.Contains(side, a); in != slices.Contains(side, b) && (in || !oneWay) {
				pairs = append(pairs, gatewayName(a)+">"+gatewayName(b))
			}
		}
	}
	d.addEvent(t, "cut", pairs...)
	d.addEvent(d.drawEnd(t), "heal")
}
