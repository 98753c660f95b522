package faultinjection

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"larchusher/cluster"
	"larchusher/lab/fakeserver"
	"larchusher/replication"
)

// What gateways know in common, in plots that begin with "share": purges and drains are told to one gateway at once, and to
// the others' journals late. The stores record what each gateway would have taken.

const (
	purgeGrace  = time.Second             // of the settings
	purgeSettle = 5500 * time.Millisecond // after that older copies are gone, less some slack
	drainGrace  = 500 * time.Millisecond  // of the settings here
	looseness   = 150 * time.Millisecond  // of clocks and scheduling
	byOthers    = 300 * time.Millisecond  // on its way through the fleet
	equalWithin = 3 * time.Second         // after the last fault
	bulkWithin  = 10 * time.Second        // of nine tenths of the bulk
	objects     = 40                      // of each gateway's clients
	groups      = 7
)

// notice is something that gateways are told at different times.
type notice struct {
	what  string // group or store
	made  time.Time
	first time.Time            // when anybody was told
	told  map[string]time.Time // by gateway; missing: not yet
}

// ledger is what is to be heeded, with what was seen.
type ledger struct {
	shared  bool
	purges  []*notice
	drains  []*notice
	stale   int // asks that would have taken a copy older than a purge which some gateway had been told of for over a second
	drained int // asks to a store of whose drain some gateway had been told for longer than the grace
	equal   time.Duration
}

// tellLate has the journal of one gateway tell something at once, and those of the others so much later.
func (p *play) tellLate(n *notice, first string, late time.Duration, text func(pos int) string) {
	n.first = time.Now()
	for _, g := range p.gateways {
		wait := late
		if g.name == first {
			wait = 0
		}
		p.wg.Go(func() {
			time.Sleep(wait)
			g.tell(text)
			p.mu.Lock()
			defer p.mu.Unlock()
			n.told[g.name] = time.Now()
		})
	}
}

// purge purges a group.
func (p *play) purge(args []string) error {
	group, err := strconv.Atoi(args[0])
	late, err2 := time.ParseDuration(args[2])
	if err != nil || err2 != nil {
		return fmt.Errorf("purge %v: a group and a duration are wanted", args)
	}
	n := &notice{what: args[0], made: time.Now(), told: map[string]time.Time{}}
	p.mu.Lock()
	p.ledger.purges = append(p.ledger.purges, n)
	p.mu.Unlock()
	stamp := n.made.UnixMilli()
	p.tellLate(n, args[1], late, func(int) string { return fmt.Sprintf(`"expire":{"set":%d,"stamp":%d}`, group, stamp) })
	return nil
}

// drain has a store drain, by the list.
func (p *play) drain(args []string) error {
	m := p.machines[args[0]]
	late, err := time.ParseDuration(args[2])
	if err != nil || m == nil {
		return fmt.Errorf("drain %v: a store and a duration are wanted", args)
	}
	n := &notice{what: m.name, made: time.Now(), told: map[string]time.Time{}}
	p.mu.Lock()
	p.ledger.drains = append(p.ledger.drains, n)
	p.mu.Unlock()
	m.mu.Lock()
	host := m.host("DRAINING")
	m.mu.Unlock()
	p.tellLate(n, args[1], late, func(pos int) string {
		return fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, pos, host)
	})
	return nil
}

// heed holds an ask against what its gateway, and any other, had been told. The objects say whose clients asked.
func (p *play) heed(m *machine, a *fakeserver.Request) {
	if m.kind == "origin" {
		return
	}
	number, err := strconv.ParseUint(a.Fields["name"], 16, 64)
	if err != nil {
		return
	}
	by, group := int(number>>16)-1, strconv.Itoa(int(number&0xffff)%groups)
	if by < 0 || by >= len(p.gateways) {
		return
	}
	g, now := p.gateways[by], time.Now()
	accept, _ := strconv.Atoi(a.Fields["accept"])
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.ledger.purges {
		if n.what == group && n.forbids(now, accept) {
			p.heedPurge(n, g, m, now, accept)
		}
	}
	for _, n := range p.ledger.drains {
		if n.what == m.name {
			p.heedDrain(n, g, m, now)
		}
	}
}

// forbids says that a purge that has not settled forbids the copies that an ask would take: any, or with accept those that are no
// older than so many milliseconds.
func (n *notice) forbids(now time.Time, accept int) bool {
	if now.Sub(n.made) > purgeSettle {
		return false
	}
	if accept == 0 {
		return true
	}
	oldest := now.Add(-time.Duration(accept) * time.Millisecond)
	return oldest.Add(looseness).Before(n.made)
}

// heedPurge holds an ask that a purge forbids against when its gateway, and any other, was told of it.
func (p *play) heedPurge(n *notice, g *process, m *machine, now time.Time, accept int) {
	if told, ok := n.told[g.name]; ok && now.Sub(told) > purgeGrace+looseness {
		p.faults.add("%v: %s was told %v ago of the purge of %s, and would take an older copy from %s (accept %d)", now.Sub(p.began).Round(time.Millisecond), g.name,
			now.Sub(told).Round(time.Millisecond), n.what, m.name, accept)
	}
	if now.Sub(n.first) > purgeGrace+byOthers+looseness {
		p.ledger.stale++
		if p.ledger.shared && p.plot.calm() {
			p.faults.add("%v: others were told %v ago of the purge of %s, and %s would take an older copy", now.Sub(p.began).Round(time.Millisecond), now.Sub(n.first).Round(time.Millisecond), n.what, g.name)
		}
	}
}

// heedDrain holds an ask of a machine that drains against when its gateway, and any other, was told of that.
func (p *play) heedDrain(n *notice, g *process, m *machine, now time.Time) {
	if told, ok := n.told[g.name]; ok && now.Sub(told) > drainGrace+looseness {
		p.faults.add("%v: %s was told %v ago that %s drains, and sends to it", now.Sub(p.began).Round(time.Millisecond), g.name, now.Sub(told).Round(time.Millisecond), m.name)
	}
	if now.Sub(n.first) > drainGrace+byOthers+looseness {
		p.ledger.drained++
		if p.ledger.shared && p.plot.calm() {
			p.faults.add("%v: others were told %v ago that %s drains, and %s sends to it", now.Sub(p.began).Round(time.Millisecond), now.Sub(n.first).Round(time.Millisecond), m.name, g.name)
		}
	}
}

// calm says that nothing keeps gateways from hearing each other in a plot.
func (p *Plot) calm() bool {
	return !slices.ContainsFunc(p.Events, func(e Event) bool {
		return slices.Contains([]string{"kill", "stop", "cut", "bad", "slow", "roll"}, e.What)
	})
}

// forgotten says that what a gateway was told is told to its next life anew.
func (p *play) forgotten(g *process, again time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range append(slices.Clone(p.ledger.purges), p.ledger.drains...) {
		if _, ok := n.told[g.name]; ok {
			n.told[g.name] = again
		}
	}
}

// rows asks a gateway for what it knows in common with others.
func (p *play) rows(ctx context.Context, g *process) (rows []replication.Row, err error) {
	m, err := p.order(ctx, g, cluster.Message{Query: "shared"})
	if err != nil {
		return nil, err
	}
	var s struct {
		Rows []replication.Row `json:"rows"`
	}
	return s.Rows, json.Unmarshal(m.Value, &s)
}

// alike waits until all gateways hold the same, by what is neither just said nor about to run out, and says how long that took.
func (p *play) alike(ctx context.Context) (took time.Duration, missing string) {
	from := time.Now()
	for {
		safety, bulk := p.lacking(ctx)
		took = time.Since(from)
		switch {
		case safety == "" && bulk == "" || ctx.Err() != nil:
			return took, ""
		case safety != "" && took > equalWithin:
			return took, safety
		case bulk != "" && took > bulkWithin:
			return took, bulk
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *play) lacking(ctx context.Context) (safety, bulk string) {
	all := map[string]map[string]replication.Row{}
	for _, g := range p.gateways {
		rows, err := p.rows(ctx, g)
		if err != nil {
			return fmt.Sprintf("%s tells nothing: %v", g.name, err), ""
		}
		all[g.name] = map[string]replication.Row{}
		for _, r := range rows {
			all[g.name][fmt.Sprintf("%s %q by %s %x", r.Kind, r.Key, r.Writer, r.Incarnation)] = r
		}
	}
	// The bulk is said all the time: what was seen a while ago may have been said just now.
	names := slices.Sorted(maps.Keys(all))
	for _, a := range names {
		for _, b := range names {
			safety, lacksBulk := lackingOf(a, b, all[a], all[b])
			if safety != "" {
				return safety, ""
			}
			if lacksBulk != "" {
				bulk = lacksBulk
			}
		}
	}
	return "", bulk
}

// lackingOf says what gateway b lacks of what a has: a slot of safety, or more than a tenth of the bulk. What was just seen, or is
// about to run out, does not count.
func lackingOf(a, b string, ofA, ofB map[string]replication.Row) (safety, bulk string) {
	missing := 0
	for name, r := range ofA {
		low, high := int64(1000), int64(20_000)
		if r.Kind == "purge" {
			high = 3500
		}
		got, ok := ofB[name]
		isBulk := r.Kind == "listing" || r.Kind == "health"
		switch {
		case r.AgeMs < low || r.AgeMs > high || ok && (got.Seq >= r.Seq || isBulk):
		case !isBulk:
			return fmt.Sprintf("%s lacks %s, number %d, which %s has for %d ms", b, name, r.Seq, a, r.AgeMs), ""
		default:
			if missing++; missing > len(ofA)/10 {
				bulk = fmt.Sprintf("%s lacks a tenth of the %d slots of %s, %s among them", b, len(ofA), a, name)
			}
		}
	}
	return "", bulk
}

// DrawShared draws a plot in which purges and drains are told late, with kills, stops, cuts and bad links.
func DrawShared(seed uint64) *Plot {
	p := Draw(seed)
	p.Gateways = max(5, p.Gateways)
	rng := newRand(seed, 22)
	var keep []Event
	drained := map[string]bool{}
	for _, e := range p.Events {
		switch e.What {
		case "ask", "crash", "revive": // no work on machines meanwhile: what stores record is to be of one cause
		default:
			keep = append(keep, e)
		}
	}
	keep = append(keep, Event{0, "share", nil})
	for range 6 + rng.IntN(6) {
		late := time.Duration(2000+rng.IntN(2500)) * time.Millisecond
		keep = append(keep, Event{time.Duration(900+rng.IntN(9000)) * time.Millisecond, "purge", []string{strconv.Itoa(rng.IntN(groups)), gateway(rng.IntN(p.Gateways)), late.String()}})
	}
	for range 2 {
		b := box(rng.IntN(2), rng.IntN(p.Boxes))
		if !drained[b] {
			drained[b] = true
			late := time.Duration(2000+rng.IntN(2500)) * time.Millisecond
			keep = append(keep, Event{time.Duration(1500+rng.IntN(6000)) * time.Millisecond, "drain", []string{b, gateway(rng.IntN(p.Gateways)), late.String()}})
		}
	}
	slices.SortStableFunc(keep, func(a, b Event) int { return int(a.At - b.At) })
	p.Events = keep
	return p
}
