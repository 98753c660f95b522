package replication

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// What slots of several lives say of one key is joined here, by a rule for each kind.

// Place is the value of a Listing.
type Place struct {
	Server string  `json:"s"`
	BootMs int64   `json:"b,omitempty"` // its start, Unix time; 0: long ago
	Count  float64 `json:"n"`           // recent requests of the writer
	GapMs  int64   `json:"g,omitempty"` // between them
	WorkMs int64   `json:"w,omitempty"` // its quickest answer
}

// Evidence is the value of a Health.
type Evidence struct {
	BootMs  int64   `json:"b,omitempty"`
	Failing float64 `json:"f,omitempty"` // share of recent attempts that failed
	Late    float64 `json:"l,omitempty"` // share of late answers
	OutMs   int64   `json:"o,omitempty"` // for so long it was still out of use, when this was written
	Most    float64 `json:"m,omitempty"` // limit of what may be out there; 0: none
}

// Notice is the value of a Drain.
type Notice struct {
	BootMs int64 `json:"b,omitempty"`
	Up     bool  `json:"u,omitempty"` // it is in use again
}

// Bad says that evidence is worth telling.
func (e Evidence) Bad() bool { return e.Failing >= 0.1 || e.Late >= 0.3 || e.OutMs > 0 }

// Encode words a value.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("replica: %v", err)) // none of its types can fail
	}
	return b
}

// decode reads a value; one that can't be read says nothing.
func decode[T any](s *Slot) (v T, ok bool) { return v, json.Unmarshal(s.Value, &v) == nil }

// Purges gives each name with its newest purge. A purge counts as young as it can be: what was fetched meanwhile is fetched again.
func (c *Copy) Purges(now time.Duration) map[string]time.Duration {
	all := map[string]time.Duration{}
	for key, l := range c.byKey[Purge] {
		for _, s := range l {
			if now-s.Late <= c.lifeOf(Purge) {
				all[key] = max(all[key], s.Late)
			}
		}
	}
	return all
}

// Found is a Listing as it is read.
type Found struct {
	Key  string
	At   time.Duration // latest use, as old as it can be
	By   Life
	What Place
}

// Listings gives for each key where it was found last, the latest used first, at most so many. What is clearly newer wins by its age;
// what is about as old, by the writers' logical clocks, and then by their names.
func (c *Copy) Listings(now time.Duration, most int) (all []Found) {
	for key, l := range c.byKey[Listing] {
		best := l[0]
		for _, s := range l[1:] {
			if newer(s, best) {
				best = s
			}
		}
		if p, ok := decode[Place](best); ok && p.Server != "" && now-best.Early <= c.lifeOf(Listing) {
			all = append(all, Found{key, best.Early, best.Writer, p})
		}
	}
	slices.SortFunc(all, func(a, b Found) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Key, b.Key)) })
	if most > 0 && len(all) > most {
		all = all[:most]
	}
	return all
}

// newer orders two slots of one key.
func newer(a, b *Slot) bool {
	if d := a.Late - b.Late; d > near || d < -near {
		return d > 0
	}
	return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), a.Writer.compare(b.Writer)) > 0
}

// Complaint is what several gateways say of a store.
type Complaint struct {
	Server string
	At     time.Duration // the oldest of what it rests on
	Voices int
	What   Evidence
}

const (
	leastVoices = 2 // gateways, the reader apart, that have to say the same,
	voicesShare = 3 // and one in so many of those that live
)

// Complaints gives the stores that several gateways hold for ill: the middle one of what they say. A single gateway's word is
// not enough, whose own way there may be the ill one; but that of the reader's own former lives is.
func (c *Copy) Complaints(now time.Duration, living int) (all []Complaint) {
	for key, l := range c.byKey[Health] {
		latest := map[string]*Slot{} // by name: of several lives the latest
		for _, s := range l {
			if now-s.Early > c.lifeOf(Health) {
				continue
			}
			if old := latest[s.Writer.Name]; old == nil || newer(s, old) {
				latest[s.Writer.Name] = s
			}
		}
		boot := int64(0)
		said := map[string]Evidence{}
		for name, s := range latest {
			if e, ok := decode[Evidence](s); ok && e.sane() {
				said[name] = e
				boot = max(boot, e.BootMs)
			}
		}
		var voices []Evidence
		others, at := 0, now
		for name, e := range said {
			if !e.Bad() || e.BootMs != boot { // of an earlier start: that is over
				continue
			}
			voices = append(voices, e)
			at = min(at, latest[name].Early)
			if name != c.self.Name {
				others++
			}
		}
		_, own := said[c.self.Name]
		if len(voices) == 0 || !own && (others < leastVoices || others*voicesShare < living) {
			continue
		}
		if own && (others < leastVoices || others*voicesShare < living) { // the former life's word alone
			e := said[c.self.Name]
			if !e.Bad() || e.BootMs != boot {
				continue
			}
			voices, at = []Evidence{e}, latest[c.self.Name].Early
		}
		slices.SortFunc(voices, func(a, b Evidence) int { return cmp.Compare(a.Failing, b.Failing) })
		e := voices[(len(voices)-1)/2]
		slices.SortFunc(voices, func(a, b Evidence) int { return cmp.Compare(a.OutMs, b.OutMs) })
		e.OutMs, e.BootMs = voices[(len(voices)-1)/2].OutMs, boot
		all = append(all, Complaint{Server: key, At: at, Voices: len(voices), What: e})
	}
	slices.SortFunc(all, func(a, b Complaint) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// sane says that evidence can be what it says it is.
func (e Evidence) sane() bool {
	return e.Failing >= 0 && e.Failing <= 1 && e.Late >= 0 && e.Late <= 1 && e.OutMs >= 0 && e.OutMs <= time.Minute.Milliseconds() && e.Most >= 0 && e.Most < 1e9
}

// Drains gives the stores that somebody says drain, by the start that is meant: within so long. The more cautious word holds.
func (c *Copy) Drains(now, within time.Duration) map[string]int64 {
	all := map[string]int64{}
	for key, l := range c.byKey[Drain] {
		for _, s := range l {
			if n, ok := decode[Notice](s); ok && !n.Up && s.Writer != c.self && now-s.Late <= within {
				all[key] = max(all[key], n.BootMs)
			}
		}
	}
	return all
}

// Sent is what all gateways together have sent a store since a start, in the unit that writers count in: each one's own count, summed.
func (c *Copy) Sent(key string) (sum float64) {
	for _, s := range c.byKey[Cold][key] {
		if n, ok := decode[float64](s); ok && n > 0 && n < 1e12 {
			sum += n
		}
	}
	return sum
}

// Row is a slot as operators see it.
type Row struct {
	Kind  string          `json:"kind"`
	Key   string          `json:"key"`
	By    string          `json:"by"`
	Life  uint64          `json:"life"`
	Seq   uint64          `json:"seq"`
	AgeMs int64           `json:"age_ms"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Rows gives slots in order, of one kind or, with an empty name, of all; at most so many, and how many there are.
func (c *Copy) Rows(now time.Duration, kind string, most int) (rows []Row, all int) {
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
		r := Row{Kind: s.Kind.String(), Key: s.Key, By: s.Writer.Name, Life: s.Writer.Number, Seq: s.Seq, AgeMs: (now - s.Late).Milliseconds()}
		if json.Valid(s.Value) {
			r.Value = s.Value
		}
		rows = append(rows, r)
	}
	return rows, len(slots)
}

// Said says whether the own life has said something of a key that still counts.
func (c *Copy) Said(k Kind, key string) bool { return c.slots[id{k, key, c.self}] != nil }

// Listed is where a key was found last, and when; false: nobody says.
func (c *Copy) Listed(now time.Duration, key string) (server string, at time.Duration, ok bool) {
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
	p, ok := decode[Place](best)
	return p.Server, best.Early, ok
}
