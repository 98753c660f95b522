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

// Checks of plots with purges and drains. One gateway is notified at once and the others late, by their journal services.
// In plots with the event "share" gateways replicate what they know, so that the others should comply with it
// before their own notice arrives. The fake servers check each request against the notices.

const (
	purgeGrace        = time.Second             // noticeTimeMs of the gateways' settings: time that a gateway has to comply with a purge
	purgeWindow       = 5500 * time.Millisecond // purgeSettlesMs (6 s), when older copies are gone, less 500 ms of slack
	drainGrace        = 500 * time.Millisecond  // stopSendingWithinMs of gatewaySettings: time that a gateway has to stop sending to a draining machine
	tolerance         = 150 * time.Millisecond  // for clock differences and scheduling
	gossipDelay       = 300 * time.Millisecond  // time that a notice takes to reach all gateways by replication
	safetyTimeout     = 3 * time.Second         // after the last event, by which all gateways must have the same safety slots,
	bulkTimeout       = 10 * time.Second        // and nine tenths of the bulk slots (listings, health)
	objectsPerGateway = 40                      // that the clients of one gateway request
	groupCount        = 7                       // groups that these objects belong to
)

// notice is a purge or a drain of which the gateways are notified at different times.
type notice struct {
	subject         string               // the purged group, or the draining machine's name
	createdAt       time.Time            // a purge forbids copies older than this
	firstNotifiedAt time.Time            // when the first gateway was notified
	notifiedAt      map[string]time.Time // by gateway; absent: not notified yet
}

// noticeLog holds the notices of a plot and how requests and gateways complied with them. plotRun.mu guards it.
type noticeLog struct {
	replicated      bool // the gateways replicate notices
	purges          []*notice
	drains          []*notice
	staleRequests   int           // requests accepting a copy older than a purge of which the first gateway was notified over purgeGrace+gossipDelay+tolerance before
	drainedRequests int           // requests to a machine of whose drain the first gateway was notified over drainGrace+gossipDelay+tolerance before
	convergedAfter  time.Duration // from the last event until all gateways had the same slots
}

// notifyStaggered sends a notice to the gateway named first at once and to the others after the delay, by their journal
// services, and records when each was notified.
func (p *plotRun) notifyStaggered(n *notice, first string, delay time.Duration, text func(pos int) string) {
	n.firstNotifiedAt = time.Now()
	for _, g := range p.gateways {
		wait := delay
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

// purge carries out the event purge: args are the group, the gateway notified at once, and the delay for the others.
func (p *plotRun) purge(args []string) error {
	group, err := strconv.Atoi(args[0])
	delay, err2 := time.ParseDuration(args[2])
	if err != nil || err2 != nil {
		return fmt.Errorf("purge %v: want a group number, a gateway and a duration", args)
	}
	n := &notice{subject: args[0], createdAt: time.Now(), notifiedAt: map[string]time.Time{}}
	p.mu.Lock()
	p.notices.purges = append(p.notices.purges, n)
	p.mu.Unlock()
	stamp := n.createdAt.UnixMilli()
	p.notifyStaggered(n, args[1], delay, func(int) string { return fmt.Sprintf(`"expire":{"set":%d,"stamp":%d}`, group, stamp) })
	return nil
}

// drain carries out the event drain, by the endpoint list: args are the machine, the gateway notified at once, and the delay
// for the others.
func (p *plotRun) drain(args []string) error {
	m := p.machines[args[0]]
	delay, err := time.ParseDuration(args[2])
	if err != nil || m == nil {
		return fmt.Errorf("drain %v: want the name of a machine, a gateway and a duration", args)
	}
	n := &notice{subject: m.name, createdAt: time.Now(), notifiedAt: map[string]time.Time{}}
	p.mu.Lock()
	p.notices.drains = append(p.notices.drains, n)
	p.mu.Unlock()
	m.mu.Lock()
	host := m.endpointJSON("DRAINING")
	m.mu.Unlock()
	p.notifyStaggered(n, args[1], delay, func(pos int) string {
		return fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, pos, host)
	})
	return nil
}

// checkRequest checks a request to a machine against the notices of purges and drains. The upper bits of the object's name
// identify the gateway whose clients requested it (see clientLoad.sendRequests). Requests to the origin are not checked.
func (p *plotRun) checkRequest(m *machine, a *fakeserver.Request) {
	if m.kind == "origin" {
		return
	}
	number, err := strconv.ParseUint(a.Fields["name"], 16, 64)
	if err != nil {
		return
	}
	position, group := int(number>>16)-1, strconv.Itoa(int(number&0xffff)%groupCount)
	if position < 0 || position >= len(p.gateways) {
		return
	}
	g, now := p.gateways[position], time.Now()
	acceptMs, _ := strconv.Atoi(a.Fields["accept"])
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices.purges {
		if n.subject == group && n.forbids(now, acceptMs) {
			p.checkPurge(n, g, m, now, acceptMs)
		}
	}
	for _, n := range p.notices.drains {
		if n.subject == m.name {
			p.checkDrain(n, g, m, now)
		}
	}
}

// forbids reports whether a purge that has not settled forbids a copy that a request would accept. The request accepts copies
// of any age if acceptMs is 0, otherwise those no older than acceptMs.
func (n *notice) forbids(now time.Time, acceptMs int) bool {
	if now.Sub(n.createdAt) > purgeWindow {
		return false
	}
	if acceptMs == 0 {
		return true
	}
	oldest := now.Add(-time.Duration(acceptMs) * time.Millisecond)
	return oldest.Add(tolerance).Before(n.createdAt)
}

// checkPurge records a violation for a request that a purge forbids if its gateway was notified of the purge long enough ago
// or, where notices are replicated and all gateways stay connected, if any other was. The caller holds p.mu.
func (p *plotRun) checkPurge(n *notice, g *gatewayProcess, m *machine, now time.Time, acceptMs int) {
	if notified, ok := n.notifiedAt[g.name]; ok && now.Sub(notified) > purgeGrace+tolerance {
		p.violations.add("%v: gateway %s was notified %v ago of the purge of group %s, but accepts an older copy from %s (accept=%d ms)", now.Sub(p.startedAt).Round(time.Millisecond), g.name,
			now.Sub(notified).Round(time.Millisecond), n.subject, m.name, acceptMs)
	}
	if now.Sub(n.firstNotifiedAt) > purgeGrace+gossipDelay+tolerance {
		p.notices.staleRequests++
		if p.notices.replicated && p.plot.keepsGatewaysConnected() {
			p.violations.add("%v: the first gateway was notified %v ago of the purge of group %s, but gateway %s accepts an older copy", now.Sub(p.startedAt).Round(time.Millisecond), now.Sub(n.firstNotifiedAt).Round(time.Millisecond), n.subject, g.name)
		}
	}
}

// checkDrain records a violation for a request to a draining machine if its gateway was notified of the drain long enough
// ago or, where notices are replicated and all gateways stay connected, if any other was. The caller holds p.mu.
func (p *plotRun) checkDrain(n *notice, g *gatewayProcess, m *machine, now time.Time) {
	if notified, ok := n.notifiedAt[g.name]; ok && now.Sub(notified) > drainGrace+tolerance {
		p.violations.add("%v: gateway %s was notified %v ago that machine %s drains, but sends to it", now.Sub(p.startedAt).Round(time.Millisecond), g.name, now.Sub(notified).Round(time.Millisecond), m.name)
	}
	if now.Sub(n.firstNotifiedAt) > drainGrace+gossipDelay+tolerance {
		p.notices.drainedRequests++
		if p.notices.replicated && p.plot.keepsGatewaysConnected() {
			p.violations.add("%v: the first gateway was notified %v ago that machine %s drains, but gateway %s sends to it", now.Sub(p.startedAt).Round(time.Millisecond), now.Sub(n.firstNotifiedAt).Round(time.Millisecond), m.name, g.name)
		}
	}
}

// keepsGatewaysConnected reports whether the plot has no event that may keep gateways from replicating to each other in time.
func (p *Plot) keepsGatewaysConnected() bool {
	return !slices.ContainsFunc(p.Events, func(e Event) bool {
		return slices.Contains([]string{"kill", "stop", "cut", "bad", "slow", "roll"}, e.Kind)
	})
}

// resetNotified sets the time of all notices that a gateway has received to renotifiedAt: a process that starts anew has
// lost them, and its journal service sends them again; one that was stopped reads them only when it resumes.
func (p *plotRun) resetNotified(g *gatewayProcess, renotifiedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range append(slices.Clone(p.notices.purges), p.notices.drains...) {
		if _, ok := n.notifiedAt[g.name]; ok {
			n.notifiedAt[g.name] = renotifiedAt
		}
	}
}

// queryReplicated returns the replicated slots that a gateway holds.
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

// waitConverged waits until all gateways hold the same slots, apart from very recent ones and those about to expire, and
// returns how long that took. If it takes too long, missing names a difference; it is empty otherwise.
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

// findMissing compares the slots of all gateways with each other. It returns a description of the first safety slot that a
// gateway lacks, or of a gateway that lacks too many bulk slots.
func (p *plotRun) findMissing(ctx context.Context) (safety, bulk string) {
	all := map[string]map[string]replication.Row{}
	for _, g := range p.gateways {
		rows, err := p.queryReplicated(ctx, g)
		if err != nil {
			return fmt.Sprintf("gateway %s returned no replicated slots: %v", g.name, err), ""
		}
		all[g.name] = map[string]replication.Row{}
		for _, r := range rows {
			all[g.name][fmt.Sprintf("%s %q by %s %x", r.Kind, r.Key, r.Writer, r.Incarnation)] = r
		}
	}
	// Bulk slots are published all the time: one whose evidence is old may have been published just now, so the numbers of
	// bulk slots are not compared.
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

// missingSlots describes what gateway b lacks of the slots that gateway a holds: a safety slot, or so many bulk slots that
// they are more than a tenth of all slots. Slots younger than 1 s are ignored because they may not have arrived yet, and
// those older than 20 s (purges: 3.5 s) because they may expire soon.
func missingSlots(a, b string, slotsA, slotsB map[string]replication.Row) (safety, bulk string) {
	missing := 0
	for name, r := range slotsA {
		minAgeMs, maxAgeMs := int64(1000), int64(20_000)
		if r.Kind == "purge" {
			maxAgeMs = 3500
		}
		got, ok := slotsB[name]
		isBulk := r.Kind == "listing" || r.Kind == "health"
		switch {
		case r.AgeMs < minAgeMs || r.AgeMs > maxAgeMs || ok && (got.Seq >= r.Seq || isBulk):
		case !isBulk:
			return fmt.Sprintf("gateway %s lacks slot %s, number %d, which gateway %s holds with an age of %d ms", b, name, r.Seq, a, r.AgeMs), ""
		default:
			if missing++; missing > len(slotsA)/10 {
				bulk = fmt.Sprintf("gateway %s lacks over a tenth of the %d slots of gateway %s, such as %s", b, len(slotsA), a, name)
			}
		}
	}
	return "", bulk
}

// GenerateReplication returns the random plot of a seed for replicated notices: purges and drains of which most gateways
// are notified late, with the kills, stops, partitions and bad links of [Generate], and at least five gateways.
func GenerateReplication(seed uint64) *Plot {
	p := Generate(seed)
	p.Gateways = max(5, p.Gateways)
	rng := newRand(seed, 22)
	var events []Event
	drained := map[string]bool{}
	for _, e := range p.Events {
		switch e.Kind {
		case "ask", "crash", "revive": // no maintenance and no crashes, so that requests to a machine depend on purges and drains alone
		default:
			events = append(events, e)
		}
	}
	events = append(events, Event{0, "share", nil})
	for range 6 + rng.IntN(6) {
		delay := time.Duration(2000+rng.IntN(2500)) * time.Millisecond
		events = append(events, Event{time.Duration(900+rng.IntN(9000)) * time.Millisecond, "purge", []string{strconv.Itoa(rng.IntN(groupCount)), gatewayName(rng.IntN(p.Gateways)), delay.String()}})
	}
	for range 2 {
		b := cacheName(rng.IntN(2), rng.IntN(p.CachesPerZone))
		if !drained[b] {
			drained[b] = true
			delay := time.Duration(2000+rng.IntN(2500)) * time.Millisecond
			events = append(events, Event{time.Duration(1500+rng.IntN(6000)) * time.Millisecond, "drain", []string{b, gatewayName(rng.IntN(p.Gateways)), delay.String()}})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	p.Events = events
	return p
}
