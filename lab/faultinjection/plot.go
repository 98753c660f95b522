// Package faultinjection plays plots of faults over several real gateways: processes of the daemon before fake machines, their link
// led through a relay for each direction between two of them. Machines are asked out for work meanwhile, and what the machines
// themselves recorded says whether the gateways kept to their order.
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

// Plot is what is played. Its text form can be written down and played again.
type Plot struct {
	Seed          uint64
	Gateways      int
	CachesPerZone int // in each of two zones
	For           time.Duration
	Events        []Event

	FormerProgram string // a program of a former version, that every second gateway is; not in the text. Empty: all are the same
}

// Event is one line of a plot.
type Event struct {
	At   time.Duration
	Kind string   // see kinds
	Args []string // of which there are as many as the kind wants
}

// kinds are what can happen, with the number of arguments; -1: any.
var argCounts = map[string]int{
	"ask":    2,  // machine, gateway that is asked
	"kill":   2,  // gateway, "keep" or "lose" its folder: it starts anew with the event "start"
	"start":  1,  // gateway
	"roll":   1,  // gateway: SIGTERM; once it has ended it starts anew
	"stop":   1,  // gateway: SIGSTOP
	"cont":   1,  // gateway: SIGCONT
	"cut":    -1, // pairs a>b: nothing goes that way
	"heal":   0,  // all cuts and bad links
	"bad":    4,  // share lost, share doubled, delay up to, "cut" to break off within messages now and then, or "-"
	"slow":   1,  // bytes a second on every link
	"slowly": 1,  // how long every store takes over an answer
	"clock":  2,  // gateway, milliseconds that its wall clock is off
	"crash":  1,  // box: it dies, and is told to be gone
	"revive": 1,  // box: it is back, cold
	"share":  0,  // at 0: what gateways know is kept in common
	"apart":  0,  // at 0: it is not, and the plot is held against the same rules
	"purge":  3,  // group, gateway that is told at once, how much later the others' journals tell
	"drain":  3,  // store, likewise
	"forge":  1,  // gateway that is sent forged and malformed bytes
}

//go:embed plots/*.plot
var plotFiles embed.FS

// Named are the plots that were written for one hard case each, by name.
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

// String is a plot's text form.
func (p *Plot) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plot seed %d gateways %d boxes %d for %v\n", p.Seed, p.Gateways, p.CachesPerZone, p.For)
	for _, e := range p.Events {
		fmt.Fprintf(&b, "at %v %s\n", e.At, strings.Join(append([]string{e.Kind}, e.Args...), " "))
	}
	return b.String()
}

// Parse reads a plot's text form. Errors name the line.
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
				err = fmt.Errorf("out of range: %s", s.Text())
			}
		case f[0] != "at" || len(f) < 3:
			err = fmt.Errorf("%q is not `at TIME WHAT ...`", s.Text())
		default:
			e := Event{Kind: f[2], Args: f[3:]}
			want, known := argCounts[e.Kind]
			if e.At, err = time.ParseDuration(f[1]); err == nil && (!known || want >= 0 && len(e.Args) != want) {
				err = fmt.Errorf("%q with %d arguments", e.Kind, len(e.Args))
			}
			p.Events = append(p.Events, e)
		}
		if err != nil {
			return nil, fmt.Errorf("plot: line %d: %w", n, err)
		}
	}
	if p.Gateways == 0 {
		return nil, fmt.Errorf("plot: empty")
	}
	return p, nil
}

func gatewayName(i int) string     { return "g" + strconv.Itoa(i) }
func cacheName(zone, i int) string { return fmt.Sprintf("b%d-%d", zone, i) }

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Draw draws a plot. Whatever it does wrong it puts right before the end, so that every plan can end; and it never takes the
// votes of a majority away.
func Generate(seed uint64) *Plot {
	rng := newRand(seed, 21)
	p := &Plot{Seed: seed, Gateways: 3 + rng.IntN(5), CachesPerZone: 4 + rng.IntN(6), For: 14 * time.Second}
	at := func(from, to int) time.Duration { return time.Duration(from+rng.IntN(to-from)) * time.Millisecond }
	add := func(t time.Duration, what string, args ...string) {
		p.Events = append(p.Events, Event{t, what, args})
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
		add(at(800, 4000), "ask", machines[i], anyGateway())
	}
	if rng.IntN(2) == 0 { // the last two warm upper caches, at one moment at two gateways
		t := at(1000, 2500)
		add(t, "ask", "p0", gatewayName(0))
		add(t, "ask", "p1", gatewayName(p.Gateways-1))
	}
	faults := &faultGenerator{p: p, rng: rng, at: at, add: add, crashable: machines[requests:], faulted: map[string]bool{}}
	for range 1 + rng.IntN(4) {
		faults.addFault(at(1000, 6500), anyGateway())
	}
	add(max(faults.latestEnd, 9*time.Second)+100*time.Millisecond, "heal")
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// drawnFaults draws the faults of a plot.
type faultGenerator struct {
	p          *Plot
	rng        *rand.Rand
	at         func(fromMs, toMs int) time.Duration
	add        func(t time.Duration, what string, args ...string)
	crashable  []string // that nobody asks work on
	latestEnd  time.Duration
	folderLost bool // a gateway has lost its folder: one in a plot may
	faulted    map[string]bool
}

// until draws when a fault that begins at a time ends.
func (d *faultGenerator) drawEnd(from time.Duration) time.Duration {
	t := min(from+d.at(300, 5000), 9*time.Second)
	d.latestEnd = max(d.latestEnd, t)
	return t
}

// one draws a fault that begins at a time, of a gateway if it is a gateway's.
func (d *faultGenerator) addFault(t time.Duration, g string) {
	switch d.rng.IntN(9) {
	case 0, 1, 2:
		d.addKill(t, g)
	case 3:
		if d.faulted[g] {
			return
		}
		d.faulted[g] = true
		d.add(t, "stop", g)
		d.add(d.drawEnd(t), "cont", g)
	case 4, 5:
		d.addPartition(t)
	case 6:
		truncation := "-"
		if d.rng.IntN(2) == 0 {
			truncation = "cut"
		}
		d.add(t, "bad", fmt.Sprintf("%.2f", 0.2*d.rng.Float64()), fmt.Sprintf("%.2f", 0.2*d.rng.Float64()), d.at(0, 40).String(), truncation)
		d.add(d.drawEnd(t), "heal")
	case 7:
		d.add(t, "clock", g, strconv.Itoa(d.rng.IntN(60000)-30000))
		d.add(t, "forge", gatewayName(d.rng.IntN(d.p.Gateways)))
	case 8:
		m := d.crashable[d.rng.IntN(len(d.crashable))]
		if m[0] == 'b' && !d.faulted[m] {
			d.faulted[m] = true
			d.add(t, "crash", m)
			d.add(d.drawEnd(t), "revive", m)
		}
	}
}

// kill has a gateway die, and start again; one of a plot may lose its folder.
func (d *faultGenerator) addKill(t time.Duration, g string) {
	if d.faulted[g] {
		return
	}
	d.faulted[g] = true
	folder := "keep"
	if !d.folderLost && d.rng.IntN(3) == 0 {
		folder, d.folderLost = "lose", true
	}
	d.add(t, "kill", g, folder)
	d.add(d.drawEnd(t), "start", g)
}

// cut draws a partition into two, or one way only.
func (d *faultGenerator) addPartition(t time.Duration) {
	n := d.p.Gateways
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
	d.add(t, "cut", pairs...)
	d.add(d.drawEnd(t), "heal")
}
