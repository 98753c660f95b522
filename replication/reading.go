package replication

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// What slots of several lives say of one key is joined here, by a rule for each kind.

// ListingValue is the value of a Listing.
type ListingValue struct {
	Server       string  `json:"s"`
	BootMs       int64   `json:"b,omitempty"` // its start, Unix time; 0: long ago
	Requests     float64 `json:"n"`           // recent requests of the writer
	MeanGapMs    int64   `json:"g,omitempty"` // between them
	MinLatencyMs int64   `json:"w,omitempty"` // its quickest answer
}

// HealthValue is the value of a Health.
type HealthValue struct {
	BootMs           int64   `json:"b,omitempty"`
	ErrorRate        float64 `json:"f,omitempty"` // share of recent attempts that failed
	LateShare        float64 `json:"l,omitempty"` // share of late answers
	EjectedMs        int64   `json:"o,omitempty"` // for so long it was still out of use, when this was written
	ConcurrencyLimit float64 `json:"m,omitempty"` // limit of what may be out there; 0: none
}

// DrainValue is the value of a Drain.
type DrainValue struct {
	BootMs int64 `json:"b,omitempty"`
	Up     bool  `json:"u,omitempty"` // it is in use again
}

// Faulty says that evidence is worth telling.
func (e HealthValue) Faulty() bool {
	return e.ErrorRate >= 0.1 || e.LateShare >= 0.3 || e.EjectedMs > 0
}

// Encode words a value.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("replica: %v", err)) // none of its types can fail
	}
	return b
}

// decodeValue reads a value; one that can't be read says nothing.
func decodeValue[T any](s *Slot) (v T, ok bool) { return v, json.Unmarshal(s.Value, &v) == nil }

// Purges gives each name with its newest purge. A purge counts as young as it can be: what was fetched meanwhile is fetched again.
func (c *Replica) Purges(now time.Duration) map[string]time.Duration {
	all := map[string]time.Duration{}
	for key, l := range c.byKey[Purge] {
		for _, s := range l {
			if now-s.SeenBefore <= c.maxAge(Purge) {
				all[key] = max(all[key], s.SeenBefore)
			}
		}
	}
	return all
}

// ListingEntry is a Listing as it is read.
type ListingEntry struct {
	Key     string
	LastUse time.Duration // latest use, as old as it can be
	Writer  Incarnation
	Value   ListingValue
}

// Listings gives for each key where it was found last, the latest used first, at most so many. What is clearly newer wins by its age;
// what is about as old, by the writers' logical clocks, and then by their names.
func (c *Replica) Listings(now time.Duration, most int) (all []ListingEntry) {
	for key, l := range c.byKey[Listing] {
		best := l[0]
		for _, s := range l[1:] {
			if newer(s, best) {
				best = s
			}
		}
		if p, ok := decodeValue[ListingValue](best); ok && p.Server != "" && now-best.SeenAfter <= c.maxAge(Listing) {
			all = append(all, ListingEntry{key, best.SeenAfter, best.Writer, p})
		}
	}
	slices.SortFunc(all, func(a, b ListingEntry) int {
		return cmp.Or(cmp.Compare(b.LastUse, a.LastUse), cmp.Compare(a.Key, b.Key))
	})
	if most > 0 && len(all) > most {
		all = all[:most]
	}
	return all
}

// newer orders two slots of one key.
func newer(a, b *Slot) bool {
	if d := a.SeenBefore - b.SeenBefore; d > ageTolerance || d < -ageTolerance {
		return d > 0
	}
	return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), a.Writer.compare(b.Writer)) > 0
}

// FaultReport is what several gateways say of a store.
type FaultReport struct {
	Server    string
	Oldest    time.Duration // the oldest of what it rests on
	Reporters int
	Value     HealthValue
}

const (
	minReporters  = 2 // gateways, the reader apart, that have to say the same,
	reporterShare = 3 // and one in so many of those that live
)

// FaultReports gives the stores that several gateways hold for ill: the middle one of what they say. A single gateway's word is
// not enough, whose own way there may be the ill one; but that of the reader's own former lives is.
func (c *Replica) FaultReports(now time.Duration, living int) (all []FaultReport) {
	for key, l := range c.byKey[Health] {
		latest := map[string]*Slot{} // by name: of several lives the latest
		for _, s := range l {
			if now-s.SeenAfter > c.maxAge(Health) {
				continue
			}
			if old := latest[s.Writer.Name]; old == nil || newer(s, old) {
				latest[s.Writer.Name] = s
			}
		}
		boot := int64(0)
		said := map[string]HealthValue{}
		for name, s := range latest {
			if e, ok := decodeValue[HealthValue](s); ok && e.valid() {
				said[name] = e
				boot = max(boot, e.BootMs)
			}
		}
		var voices []HealthValue
		others, at := 0, now
		for name, e := range said {
			if !e.Faulty() || e.BootMs != boot { // of an earlier start: that is over
				continue
			}
			voices = append(voices, e)
			at = min(at, latest[name].SeenAfter)
			if name != c.self.Name {
				others++
			}
		}
		_, own := said[c.self.Name]
		if len(voices) == 0 || !own && (others < minReporters || others*reporterShare < living) {
			continue
		}
		if own && (others < minReporters || others*reporterShare < living) { // the former life's word alone
			e := said[c.self.Name]
			if !e.Faulty() || e.BootMs != boot {
				continue
			}
			voices, at = []HealthValue{e}, latest[c.self.Name].SeenAfter
		}
		slices.SortFunc(voices, func(a, b HealthValue) int { return cmp.Compare(a.ErrorRate, b.ErrorRate) })
		e := voices[(len(voices)-1)/2]
		slices.SortFunc(voices, func(a, b HealthValue) int { return cmp.Compare(a.EjectedMs, b.EjectedMs) })
		e.EjectedMs, e.BootMs = voices[(len(voices)-1)/2].EjectedMs, boot
		all = append(all, FaultReport{Server: key, Oldest: at, Reporters: len(voices), Value: e})
	}
	slices.SortFunc(all, func(a, b FaultReport) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// valid says that evidence can be what it says it is.
func (e HealthValue) valid() bool {
	return e.ErrorRate >= 0 && e.ErrorRate <= 1 && e.LateShare >= 0 && e.LateShare <= 1 && e.EjectedMs >= 0 && e.EjectedMs <= time.Minute.Milliseconds() && e.ConcurrencyLimit >= 0 && e.ConcurrencyLimit < 1e9
}

// Drains gives the stores that somebody says drain, by the start that is meant: within so long. The more cautious word holds.
func (c *Replica) Drains(now, within time.Duration) map[string]int64 {
	all := map[string]int64{}
	for key, l := range c.byKey[Drain] {
		for _, s := range l {
			if n, ok := decodeValue[DrainValue](s); ok && !n.Up && s.Writer != c.self && now-s.SeenBefore <= within {
				all[key] = max(all[key], n.BootMs)
			}
		}
	}
	return all
}

// WorkSent is what all gateways together have sent a store since a start, in the unit that writers count in: each one's own count, summed.
func (c *Replica) WorkSent(key string) (sum float64) {
	for _, s := range c.byKey[SlowStart][key] {
		if n, ok := decodeValue[float64](s); ok && n > 0 && n < 1e12 {
			sum += n
		}
	}
	return sum
}

// Row is a slot as operators see it.
type Row struct {
	Kind        string          `json:"kind"`
	Key         string          `json:"key"`
	Writer      string          `json:"by"`
	Incarnation uint64          `json:"life"`
	Seq         uint64          `json:"seq"`
	AgeMs       int64           `json:"age_ms"`
	Value       json.RawMessage `json:"value,omitempty"`
}

// Rows gives slots in order, of one kind or, with an empty name, of all; at most so many, and how many there are.
func (c *Replica) Rows(now time.Duration, kind string, most int) (rows []Row, all int) {
	var slots []*Slot
	for _, s := range c.slots {
		if kind == "" || s.Kind.String() == kind {
			slots = append(slots, s)
		}
	}
	slices.SortFunc(slots, func(a, b *Slot) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), a.Writer.compare(b.Writer))
	})
	for _, s := range slots[:min(most, len(slots))] {
		r := Row{Kind: s.Kind.String(), Key: s.Key, Writer: s.Writer.Name, Incarnation: s.Writer.Number, Seq: s.Seq, AgeMs: (now - s.SeenBefore).Milliseconds()}
		if json.Valid(s.Value) {
			r.Value = s.Value
		}
		rows = append(rows, r)
	}
	return rows, len(slots)
}

// HasWritten says whether the own life has said something of a key that still counts.
func (c *Replica) HasWritten(k Kind, key string) bool { return c.slots[slotID{k, key, c.self}] != nil }

// Locate is where a key was found last, and when; false: nobody says.
func (c *Replica) Locate(now time.Duration, key string) (server string, at time.Duration, ok bool) {
	l := c.byKey[Listing][key]
	if len(l) == 0 {
		return "", 0, false
	}
	best := l[0]
	for _, s := range l[1:] {
		if newer(s, best) {
			best = s
		}
	}
	p, ok := decodeValue[ListingValue](best)
	return p.Server, best.SeenAfter, ok
}
