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
	purgeGrace        = time.Second             // of the settings
	purgeWindow       = 5500 * time.Millisecond // after that older copies are gone, less some slack
	drainGrace        = 500 * time.Millisecond  // of the settings here
	tolerance         = 150 * time.Millisecond  // of clocks and scheduling
	gossipDelay       = 300 * time.Millisecond  // on its way through the fleet
	safetyTimeout     = 3 * time.Second         // after the last fault
	bulkTimeout       = 10 * time.Second        // of nine tenths of the bulk
	objectsPerGateway = 40                      // of each gateway's clients
	groupCount        = 7
)

// notice is something that gateways are told at different times.
type notice struct {
	subject         string // group or store
	made            time.Time
	firstNotifiedAt time.Time            // when anybody was told
	notifiedAt      map[string]time.Time // by gateway; missing: not yet
}

// ledger is what is to be heeded, with what was seen.
type noticeLog struct {
	replicated      bool
	purges          []*notice
	drains          []*notice
	staleRequests   int // asks that would have taken a copy older than a purge which some gateway had been told of for over a second
	drainedRequests int // asks to a store of whose drain some gateway had been told for longer than the grace
	convergedAfter  time.Duration
}

// tellLate has the journal of one gateway tell something at once, and those of the others so much later.
func (p *plotRun) notifyStaggered(n *notice, first string, late time.Duration, text func(pos int) string) {
	n.firstNotifiedAt = time.Now()
	for _, g := range p.gateways {
		wait := late
		if g.name == first {
			wait = 0
		}
		p.wg.Go(func() {
			time.Sleep(wait)
			g.publish(text)
			p.mu.Lock()
			defer p.mu.Unlock()
			n.notifiedAt[g.name] = time.Now()
		})
	}
}

// purge purges a group.
func (p *plotRun) purge(args []string) error {
	group, err := strconv.Atoi(args[0])
	late, err2 := time.ParseDuration(args[2])
	if err != nil || err2 != nil {
		return fmt.Errorf("purge %v: a group and a duration are wanted", args)
	}
	n := &notice{subject: args[0], made: time.Now(), notifiedAt: map[string]time.Time{}}
	p.mu.Lock()
	p.notices.purges = append(p.notices.purges, n)
	p.mu.Unlock()
	stamp := n.made.UnixMilli()
	p.notifyStaggered(n, args[1], late, func(int) string { return fmt.Sprintf(`"expire":{"set":%d,"stamp":%d}`, group, stamp) })
	return nil
}

// drain has a store drain, by the list.
func (p *plotRun) drain(args []string) error {
	m := p.machines[args[0]]
	late, err := time.ParseDuration(args[2])
	if err != nil || m == nil {
		return fmt.Errorf("drain %v: a store and a duration are wanted", args)
	}
	n := &notice{subject: m.name, made: time.Now(), notifiedAt: map[string]time.Time{}}
	p.mu.Lock()
	p.notices.drains = append(p.notices.drains, n)
	p.mu.Unlock()
	m.mu.Lock()
	host := m.endpointJSON("DRAINING")
	m.mu.Unlock()
	p.notifyStaggered(n, args[1], late, func(pos int) string {
		return fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, pos, host)
	})
	return nil
}

// heed holds an ask against what its gateway, and any other, had been told. The objects say whose clients asked.
func (p *plotRun) checkRequest(m *machine, a *fakeserver.Request) {
	if m.kind == "origin" {
		return
	}
	number, err := strconv.ParseUint(a.Fields["name"], 16, 64)
	if err != nil {
		return
	}
	by, group := int(number>>16)-1, strconv.Itoa(int(number&0xffff)%groupCount)
	if by < 0 || by >= len(p.gateways) {
		return
	}
	g, now := p.gateways[by], time.Now()
	accept, _ := strconv.Atoi(a.Fields["accept"])
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices.purges {
		if n.subject == group && n.forbids(now, accept) {
			p.checkPurge(n, g, m, now, accept)
		}
	}
	for _, n := range p.notices.drains {
		if n.subject == m.name {
			p.checkDrain(n, g, m, now)
		}
	}
}

// forbids says that a purge that has not settled forbids the copies that an ask would take: any, or with accept those that are no
// older than so many milliseconds.
func (n *notice) forbids(now time.Time, accept int) bool {
	if now.Sub(n.made) > purgeWindow {
		return false
	}
	if accept == 0 {
		return true
	}
	oldest := now.Add(-time.Duration(accept) * time.Millisecond)
	return oldest.Add(tolerance).Before(n.made)
}

// heedPurge holds an ask that a purge forbids against when its gateway, and any other, was told of it.
func (p *plotRun) checkPurge(n *notice, g *gatewayProcess, m *machine, now time.Time, accept int) {
	if told, ok := n.notifiedAt[g.name]; ok && now.Sub(told) > purgeGrace+tolerance {
		p.violations.add("%v: %s was told %v ago of the purge of %s, and would take an older copy from %s (accept %d)", now.Sub(p.startedAt).Round(time.Millisecond), g.name,
			now.Sub(told).Round(time.Millisecond), n.subject, m.name, accept)
	}
	if now.Sub(n.firstNotifiedAt) > purgeGrace+gossipDelay+tolerance {
		p.notices.staleRequests++
		if p.notices.replicated && p.plot.keepsGatewaysConnected() {
			p.violations.add("%v: others were told %v ago of the purge of %s, and %s would take an older copy", now.Sub(p.startedAt).Round(time.Millisecond), now.Sub(n.firstNotifiedAt).Round(time.Millisecond), n.subject, g.name)
		}
	}
}

// heedDrain holds an ask of a machine that drains against when its gateway, and any other, was told of that.
func (p *plotRun) checkDrain(n *notice, g *gatewayProcess, m *machine, now time.Time) {
	if told, ok := n.notifiedAt[g.name]; ok && now.Sub(told) > drainGrace+tolerance {
		p.violations.add("%v: %s was told %v ago that %s drains, and sends to it", now.Sub(p.startedAt).Round(time.Millisecond), g.name, now.Sub(told).Round(time.Millisecond), m.name)
	}
	if now.Sub(n.firstNotifiedAt) > drainGrace+gossipDelay+tolerance {
		p.notices.drainedRequests++
		if p.notices.replicated && p.plot.keepsGatewaysConnected() {
			p.violations.add("%v: others were told %v ago that %s drains, and %s sends to it", now.Sub(p.startedAt).Round(time.Millisecond), now.Sub(n.firstNotifiedAt).Round(time.Millisecond), m.name, g.name)
		}
	}
}

// calm says that nothing keeps gateways from hearing each other in a plot.
func (p *Plot) keepsGatewaysConnected() bool {
	return !slices.ContainsFunc(p.Events, func(e Event) bool {
		return slices.Contains([]string{"kill", "stop", "cut", "bad", "slow", "roll"}, e.Kind)
	})
}

// forgotten says that what a gateway was told is told to its next life anew.
func (p *plotRun) resetNotified(g *gatewayProcess, renotifiedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range append(slices.Clone(p.notices.purges), p.notices.drains...) {
		if _, ok := n.notifiedAt[g.name]; ok {
			n.notifiedAt[g.name] = renotifiedAt
		}
	}
}

// rows asks a gateway for what it knows in common with others.
func (p *plotRun) queryReplicated(ctx context.Context, g *gatewayProcess) (rows []replication.Row, err error) {
	m, err := p.sendRequest(ctx, g, cluster.Message{Query: "shared"})
	if err != nil {
		return nil, err
	}
	var s struct {
		Rows []replication.Row `json:"rows"`
	}
	return s.Rows, json.Unmarshal(m.Value, &s)
}

// alike waits until all gateways hold the same, by what is neither just said nor about to run out, and says how long that took.
func (p *plotRun) waitConverged(ctx context.Context) (took time.Duration, missing string) {
	from := time.Now()
	for {
		safety, bulk := p.findMissing(ctx)
		took = time.Since(from)
		switch {
		case safety == "" && bulk == "" || ctx.Err() != nil:
			return took, ""
		case safety != "" && took > safetyTimeout:
			return took, safety
		case bulk != "" && took > bulkTimeout:
			return took, bulk
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *plotRun) findMissing(ctx context.Context) (safety, bulk string) {
	all := map[string]map[string]replication.Row{}
	for _, g := range p.gateways {
		rows, err := p.queryReplicated(ctx, g)
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
			safety, missingBulk := missingSlots(a, b, all[a], all[b])
			if safety != "" {
				return safety, ""
			}
			if missingBulk != "" {
				bulk = missingBulk
			}
		}
	}
	return "", bulk
}

// lackingOf says what gateway b lacks of what a has: a slot of safety, or more than a tenth of the bulk. What was just seen, or is
// about to run out, does not count.
func missingSlots(a, b string, slotsA, slotsB map[string]replication.Row) (safety, bulk string) {
	missing := 0
	for name, r := range slotsA {
		low, high := int64(1000), int64(20_000)
		if r.Kind == "purge" {
			high = 3500
		}
		got, ok := slotsB[name]
		isBulk := r.Kind == "listing" || r.Kind == "health"
		switch {
		case r.AgeMs < low || r.AgeMs > high || ok && (got.Seq >= r.Seq || isBulk):
		case !isBulk:
			return fmt.Sprintf("%s lacks %s, number %d, which %s has for %d ms", b, name, r.Seq, a, r.AgeMs), ""
		default:
			if missing++; missing > len(slotsA)/10 {
				bulk = fmt.Sprintf("%s lacks a tenth of the %d slots of %s, %s among them", b, len(slotsA), a, name)
			}
		}
	}
	return "", bulk
}

// DrawShared draws a plot in which purges and drains are told late, with kills, stops, cuts and bad links.
func GenerateReplication(seed uint64) *Plot {
	p := Generate(seed)
	p.Gateways = max(5, p.Gateways)
	rng := newRand(seed, 22)
	var keep []Event
	drained := map[string]bool{}
	for _, e := range p.Events {
		switch e.Kind {
		case "ask", "crash", "revive": // no work on machines meanwhile: what stores record is to be of one cause
		default:
			keep = append(keep, e)
		}
	}
	keep = append(keep, Event{0, "share", nil})
	for range 6 + rng.IntN(6) {
		late := time.Duration(2000+rng.IntN(2500)) * time.Millisecond
		keep = append(keep, Event{time.Duration(900+rng.IntN(9000)) * time.Millisecond, "purge", []string{strconv.Itoa(rng.IntN(groupCount)), gatewayName(rng.IntN(p.Gateways)), late.String()}})
	}
	for range 2 {
		b := cacheName(rng.IntN(2), rng.IntN(p.CachesPerZone))
		if !drained[b] {
			drained[b] = true
			late := time.Duration(2000+rng.IntN(2500)) * time.Millisecond
			keep = append(keep, Event{time.Duration(1500+rng.IntN(6000)) * time.Millisecond, "drain", []string{b, gatewayName(rng.IntN(p.Gateways)), late.String()}})
		}
	}
	slices.SortStableFunc(keep, func(a, b Event) int { return int(a.At - b.At) })
	p.Events = keep
	return p
}
