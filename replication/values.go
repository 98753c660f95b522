package replication

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// The values of slots, and how what several incarnations have written for one key is combined.

// ListingValue is the value of a Listing: where an object is cached.
type ListingValue struct {
	Server       string  `json:"s"`
	BootMs       int64   `json:"b,omitempty"` // Unix time of the server's start; 0: long ago
	Requests     float64 `json:"n"`           // recent requests for the object at the writer
	MeanGapMs    int64   `json:"g,omitempty"` // between those requests
	MinLatencyMs int64   `json:"w,omitempty"` // of the server's answers for the object
}

// DrainValue is the value of a Drain.
type DrainValue struct {
	BootMs int64 `json:"b,omitempty"` // Unix time of the start of the server that is meant
	Up     bool  `json:"u,omitempty"` // it is in use again
}

// Encode encodes a value. It panics for a type that can't be encoded.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("replication: %v", err))
	}
	return b
}

// decodeValue reads a value; one that can't be read counts as absent.
func decodeValue[T any](s *Slot) (v T, ok bool) { return v, json.Unmarshal(s.Value, &v) == nil }

// newer reports whether a is the newer slot of a key: by age where that differs clearly, else by the writers' logical clocks,
// and then by their names, so that all replicas agree.
func newer(a, b *Slot) bool {
	if d := a.SeenBefore - b.SeenBefore; d > ageTolerance || d < -ageTolerance {
		return d > 0
	}
	return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), a.Writer.compare(b.Writer)) > 0
}

// newest is the newest of the slots of a key, of which there is one at least.
func newest(slots []*Slot) *Slot {
	best := slots[0]
	for _, s := range slots[1:] {
		if newer(s, best) {
			best = s
		}
	}
	return best
}

// Purges gives the time of the newest purge of each name. It counts as young as it may be: what was fetched meanwhile is fetched again.
func (r *Replica) Purges(now time.Duration) map[string]time.Duration {
	all := map[string]time.Duration{}
	for key, slots := range r.byKey[Purge] {
		for _, s := range slots {
			if now-s.SeenBefore <= r.maxAge(Purge) {
				all[key] = max(all[key], s.SeenBefore)
			}
		}
	}
	return all
}

// ListingEntry is a Listing as it is read.
type ListingEntry struct {
	Key     string
	LastUse time.Duration // as old as it may be
	Writer  Incarnation
	Value   ListingValue
}

// Listings gives for each key where it was cached last, the latest used first; at most so many, or all for 0.
func (r *Replica) Listings(now time.Duration, limit int) (all []ListingEntry) {
	for key, slots := range r.byKey[Listing] {
		s := newest(slots)
		v, ok := decodeValue[ListingValue](s)
		if ok && v.Server != "" && now-s.SeenAfter <= r.maxAge(Listing) {
			all = append(all, ListingEntry{key, s.SeenAfter, s.Writer, v})
		}
	}
	slices.SortFunc(all, func(a, b ListingEntry) int {
		return cmp.Or(cmp.Compare(b.LastUse, a.LastUse), cmp.Compare(a.Key, b.Key))
	})
	if limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	return all
}

// Locate gives the server that a key was cached at last, and when; false: no gateway says. It does not look at the age.
func (r *Replica) Locate(key string) (server string, at time.Duration, ok bool) {
	slots := r.byKey[Listing][key]
	if len(slots) == 0 {
		return "", 0, false
	}
	s := newest(slots)
	v, ok := decodeValue[ListingValue](s)
	return v.Server, s.SeenAfter, ok
}

// Drains gives the servers that another incarnation has said drain, within a time, by the Unix time in milliseconds of the start that
// is meant. One that says so outweighs others that do not.
func (r *Replica) Drains(now, within time.Duration) map[string]int64 {
	all := map[string]int64{}
	for key, slots := range r.byKey[Drain] {
		for _, s := range slots {
			v, ok := decodeValue[DrainValue](s)
			if ok && !v.Up && s.Writer != r.self && now-s.SeenBefore <= within {
				all[key] = max(all[key], v.BootMs)
			}
		}
	}
	return all
}

// maxWorkSent bounds what one writer may claim to have sent; more is not believed.
const maxWorkSent = 1e12

// WorkSent is what all incarnations together have sent a server since a start, in the unit that the writers count in.
func (r *Replica) WorkSent(key string) (sum float64) {
	for _, s := range r.byKey[SlowStart][key] {
		if n, ok := decodeValue[float64](s); ok && n > 0 && n < maxWorkSent {
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

// Rows gives slots in order, of one kind or, for an empty name, of all; at most so many, and how many there are.
func (r *Replica) Rows(now time.Duration, kind string, limit int) (rows []Row, total int) {
	var slots []*Slot
	for _, s := range r.slots {
		if kind == "" || s.Kind.String() == kind {
			slots = append(slots, s)
		}
	}
	slices.SortFunc(slots, func(a, b *Slot) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), a.Writer.compare(b.Writer))
	})
	for _, s := range slots[:min(limit, len(slots))] {
		row := Row{Kind: s.Kind.String(), Key: s.Key, Writer: s.Writer.Name, Incarnation: s.Writer.Number, Seq: s.Seq, AgeMs: (now - s.SeenBefore).Milliseconds()}
		if json.Valid(s.Value) {
			row.Value = s.Value
		}
		rows = append(rows, row)
	}
	return rows, len(slots)
}
