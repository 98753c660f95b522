package warmstart

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchusher/replication"
	"larchusher/routing"
)

// What a gateway tells the others of what it has learned, and what it makes of what they tell: routing.LearnedState to slots of package
// replica and back. Two clocks meet here, the director's and the copy's; only ages go from one to the other.

const (
	sameListing = 20 * time.Second       // what somebody said of an object so lately is not said again
	samePurge   = 100 * time.Millisecond // two notices of one purge differ by less, mostly: what is purged again so soon is not told, but covered
	ownWord     = 20 * time.Millisecond  // by more than this a purge is another one than a neighbour told this gateway of
	heldWithin  = 10 * time.Second       // a drain that the own list has not told of counts for so long
	heldShare   = 4                      // at most one in so many stores of a kind and zone is held on others' word alone
)

// Sharer does both for one gateway. Use NewSharer.
type Sharer struct {
	Published, Held int // slots said; stores held on others' word now

	node  *replication.Node
	zone  string
	most  int
	up    map[string]routing.Endpoint // stores that the list had in use, when it was last looked at
	voice map[string]bool             // stores of which something was said
	heard map[string]time.Duration    // purges that neighbours told of, as the director has them
}

// NewSharer returns a sharer for a gateway of a zone, that tells of so many listings at most.
func NewSharer(node *replication.Node, zone string, most int) *Sharer {
	return &Sharer{node: node, zone: zone, most: most, up: map[string]routing.Endpoint{}, voice: map[string]bool{}, heard: map[string]time.Duration{}}
}

// bootMs tells starts apart at all gateways alike, whose clocks give one to a few microseconds.
func bootMs(boot time.Duration) int64 { return boot.Round(time.Millisecond).Milliseconds() }

// Publish says what is news of what a director has learned and of the list: what is a matter of safety first, then what speaks against
// stores, then listings, the most used first, until the copy takes no more. Now is the copy's clock; m.At the director's.
func (s *Sharer) Publish(now time.Duration, m routing.LearnedState, list map[string]routing.Endpoint) {
	seen := func(at time.Duration) time.Duration { return now - max(0, m.At-at) }
	say := func(k replication.Kind, key string, value []byte, at time.Duration) bool {
		if !s.node.Publish(now, k, key, value, at) {
			return false
		}
		s.Published++
		return true
	}
	known := s.node.Purges(now)
	held := map[string]bool{}
	for _, p := range m.Purges {
		held[p.Name] = true
		if at, ok := s.heard[p.Name]; ok && p.At <= at+ownWord {
			continue // guards against what a neighbour said being said on, each time a little younger
		}
		// What a neighbour said of it will do: three hundred gateways need not say it each.
		if at, ok := known[p.Name]; !ok || seen(p.At) > at+samePurge {
			say(replication.Purge, p.Name, nil, seen(p.At))
		}
	}
	maps.DeleteFunc(s.heard, func(name string, _ time.Duration) bool { return !held[name] }) // it has settled
	for id, e := range list {
		if e.Phase == routing.Up {
			if s.up[id] = e; s.node.HasWritten(replication.Drain, id) {
				say(replication.Drain, id, replication.Encode(replication.DrainValue{BootMs: bootMs(e.Incarnation), Up: true}), now)
			}
		}
	}
	for id, was := range s.up {
		if e, ok := list[id]; !ok || e.Phase != routing.Up {
			say(replication.Drain, id, replication.Encode(replication.DrainValue{BootMs: bootMs(was.Incarnation)}), now)
			delete(s.up, id)
		}
	}
	for _, h := range m.Endpoints {
		e := evidence(h, m.At)
		switch bad := e.Faulty(); {
		case bad && h.LastAnswer > 0 && m.At-h.LastAnswer < FailureHalfLife:
			s.voice[h.Endpoint] = true
			say(replication.Health, h.Endpoint, replication.Encode(e), seen(h.LastAnswer))
		case !bad && s.voice[h.Endpoint]: // it is well again: that is said once
			if delete(s.voice, h.Endpoint); s.node.HasWritten(replication.Health, h.Endpoint) {
				say(replication.Health, h.Endpoint, replication.Encode(replication.HealthValue{BootMs: e.BootMs}), now)
			}
		}
	}
	hot := slices.Clone(m.Listings)
	slices.SortFunc(hot, func(a, b routing.Listing) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	for _, l := range hot[:min(s.most, len(hot))] {
		key := s.key(l.Key)
		if by, at, ok := s.node.Locate(key); ok && by == l.Endpoint && now-at < sameListing {
			continue
		}
		p := replication.ListingValue{Server: l.Endpoint, BootMs: bootMs(l.Incarnation), Requests: math.Round(l.Count), MeanGapMs: l.MeanGap.Milliseconds(), MinLatencyMs: l.TransferTime.Milliseconds()}
		if !say(replication.Listing, key, replication.Encode(p), seen(l.LastRequest)) && s.node.BulkBudgetSpent() {
			return
		}
	}
}

// evidence words what is known of a store, coarsely: what hardly changes is not said again.
func evidence(h routing.EndpointHealth, at time.Duration) replication.HealthValue {
	tenth := func(x float64) float64 { return math.Round(min(1, max(0, x))*10) / 10 }
	e := replication.HealthValue{BootMs: bootMs(h.Incarnation), ErrorRate: tenth(h.ErrorRate), LateShare: tenth(h.LateShare)}
	if h.EjectedUntil > at {
		e.EjectedMs = min(time.Minute, (h.EjectedUntil-at).Round(5*time.Second)+5*time.Second).Milliseconds()
	}
	if h.ConcurrencyLimit > 0 {
		e.ConcurrencyLimit = math.Exp2(math.Round(math.Log2(h.ConcurrencyLimit)))
	}
	return e
}

func (s *Sharer) key(object uint64) string { return s.zone + "/" + strconv.FormatUint(object, 16) }

// PurgeAge is how long ago the director, whose clock is at, is to take a purge for made that others were told of. What was purged again
// within samePurge of it is covered by that, as nobody may have said it.
func (s *Sharer) PurgeAge(now, at time.Duration, name string, told time.Duration) (ago time.Duration) {
	ago = max(0, now-told-samePurge)
	s.heard[name] = max(s.heard[name], at-ago)
	return ago
}

// Collect is what neighbours know, as a director takes it in: at is its clock. Ages are kept. The list says by which start the director
// knows a store; without it that is taken as it was told.
func (s *Sharer) Collect(now, at time.Duration, list map[string]routing.Endpoint) routing.LearnedState {
	boot := func(server string, ms int64) time.Duration {
		if e, ok := list[server]; ok && bootMs(e.Incarnation) == ms {
			return e.Incarnation
		}
		return time.Duration(ms) * time.Millisecond
	}
	when := func(t time.Duration) time.Duration { return at - max(0, now-t) }
	m := routing.LearnedState{At: at, Zone: s.zone}
	for _, f := range s.node.Listings(now, 0) {
		zone, object, ok := strings.Cut(f.Key, "/")
		key, err := strconv.ParseUint(object, 16, 64)
		if !ok || err != nil || zone != s.zone || f.Value.MeanGapMs < 0 || f.Value.MinLatencyMs < 0 {
			continue
		}
		m.Listings = append(m.Listings, routing.Listing{Key: key, Endpoint: f.Value.Server, Incarnation: boot(f.Value.Server, f.Value.BootMs), HitAt: when(f.LastUse), LastRequest: when(f.LastUse),
			MeanGap: time.Duration(f.Value.MeanGapMs) * time.Millisecond, Count: f.Value.Requests, TransferTime: time.Duration(f.Value.MinLatencyMs) * time.Millisecond})
	}
	for _, c := range s.node.FaultReports(now, s.node.LivePeers(now)) {
		h := routing.EndpointHealth{Endpoint: c.Server, Incarnation: boot(c.Server, c.Value.BootMs), LastAnswer: when(c.Oldest), ErrorRate: c.Value.ErrorRate, LateShare: c.Value.LateShare, ConcurrencyLimit: c.Value.ConcurrencyLimit}
		if c.Value.EjectedMs > 0 {
			h.EjectedUntil = h.LastAnswer + time.Duration(c.Value.EjectedMs)*time.Millisecond
		}
		m.Endpoints = append(m.Endpoints, h)
	}
	for name, t := range s.node.Purges(now) {
		m.Purges = append(m.Purges, routing.PurgeRecord{Name: name, At: at - s.PurgeAge(now, at, name, t)})
	}
	slices.SortFunc(m.Purges, func(a, b routing.PurgeRecord) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// HeldEndpoints are the stores to be taken for drained on others' word: those that the own list still has in use with the start that
// somebody else was told drains, for a while. One that lies can hold a few stores only.
func (s *Sharer) HeldEndpoints(now time.Duration, list map[string]routing.Endpoint) map[string]bool {
	held, all, some := map[string]bool{}, map[string]int{}, map[string]int{}
	for _, e := range list {
		all[e.Kind+" "+e.Zone]++
	}
	drains := s.node.Drains(now, heldWithin)
	ids := make([]string, 0, len(drains))
	for id := range drains {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e, ok := list[id]
		group := e.Kind + " " + e.Zone
		if !ok || e.Phase != routing.Up || bootMs(e.Incarnation) != drains[id] || some[group] >= max(1, all[group]/heldShare) {
			continue
		}
		some[group]++
		held[id] = true
	}
	s.Held = len(held)
	return held
}

// ParseForget reads what operators want forgotten.
func ParseForget(kind, key, why string) (string, []byte, error) {
	k, ok := replication.ParseKind(kind)
	switch {
	case !ok || k == replication.Tombstone:
		return "", nil, fmt.Errorf("kind: %q is none that can be forgotten", kind)
	case k < replication.FirstBulk:
		return "", nil, fmt.Errorf("kind: %q is a matter of safety, and goes by itself once it has settled", kind)
	case key == "" || len(key) > 100:
		return "", nil, fmt.Errorf("key: %d characters, 1 to 100 are allowed", len(key))
	case len(why) > 200:
		return "", nil, fmt.Errorf("why: %d characters, 200 are allowed", len(why))
	}
	return replication.TombstoneKey(k, key), replication.Encode(why), nil
}
