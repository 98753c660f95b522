package replication

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Values of slots, and the rules by which a reader combines the slots that several incarnations have written for one key.

// ListingValue is the value of a Listing: the endpoint at which an object is cached.
type ListingValue struct {
	Server       string  `json:"s"`           // id of the endpoint
	BootMs       int64   `json:"b,omitempty"` // Unix time in ms of the endpoint's start; 0: long ago
	Requests     float64 `json:"n"`           // number of recent requests for the object at the writer
	MeanGapMs    int64   `json:"g,omitempty"` // mean time in ms between those requests
	MinLatencyMs int64   `json:"w,omitempty"` // shortest latency in ms of the endpoint's answers for the object
}

// DrainValue is the value of a Drain: whether an endpoint drains or is in use again.
type DrainValue struct {
	BootMs int64 `json:"b,omitempty"` // Unix time in ms of the start of the endpoint's incarnation that drains
	Up     bool  `json:"u,omitempty"` // true: the endpoint is in use again; false: it drains or has left the endpoint list
}

// Encode encodes a value as JSON. It panics if the type can't be encoded, which is a programming error.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("replication: encoding the value of a slot as JSON: %v", err))
	}
	return b
}

// decodeValue decodes the value of a slot. It returns false for a malformed value; callers ignore such slots.
func decodeValue[T any](s *Slot) (v T, ok bool) { return v, json.Unmarshal(s.Value, &v) == nil }

// newer reports whether slot a of a key is newer than slot b: by age if the ages differ by more than ageTolerance,
// otherwise by the writers' logical clocks, and then by the writers, so that all replicas choose the same slot.
func newer(a, b *Slot) bool {
	if d := a.SeenBefore - b.SeenBefore; d > ageTolerance || d < -ageTolerance {
		return d > 0
	}
	return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), a.Writer.compare(b.Writer)) > 0
}

// newest returns the newest of the slots of a key. slots must not be empty.
func newest(slots []*Slot) *Slot {
	best := slots[0]
	for _, s := range slots[1:] {
		if newer(s, best) {
			best = s
		}
	}
	return best
}

// Purges returns the latest possible time of the newest purge of each name, on the clock of now. An object that was
// fetched between the purge and this time is fetched again, which is safe.
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

// ListingEntry is the newest Listing of a key.
type ListingEntry struct {
	Key     string
	LastUse time.Duration // earliest possible time of the latest request for the object, on the replica's clock
	Writer  Incarnation
	Value   ListingValue
}

// Listings returns the newest Listing of each key, sorted by the latest use, the most recent first; at most limit
// entries, or all if limit is 0.
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

// Locate returns the endpoint in the newest Listing of a key, and the earliest possible time of its latest use. It
// returns false if there is no Listing with a valid value. Unlike Listings it ignores the age.
func (r *Replica) Locate(key string) (server string, at time.Duration, ok bool) {
	slots := r.byKey[Listing][key]
	if len(slots) == 0 {
		return "", 0, false
	}
	s := newest(slots)
	v, ok := decodeValue[ListingValue](s)
	return v.Server, s.SeenAfter, ok
}

// Drains returns the endpoints that another incarnation has reported as draining, in a report that is not older than
// within. The map gives, by endpoint id, the Unix time in ms of the start of the draining endpoint. One such report
// suffices, whatever others report.
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

// maxWorkSent is the highest plausible value of one writer; higher values are ignored.
const maxWorkSent = 1e12

// WorkSent returns the work that all incarnations together have sent to an endpoint since its start, in the unit in
// which the writers publish it. key is the key of the SlowStart slots.
func (r *Replica) WorkSent(key string) (sum float64) {
	for _, s := range r.byKey[SlowStart][key] {
		if n, ok := decodeValue[float64](s); ok && n > 0 && n < maxWorkSent {
			sum += n
		}
	}
	return sum
}

// Row is a slot in the form that operators are shown.
type Row struct {
	Kind        string          `json:"kind"`
	Key         string          `json:"key"`
	Writer      string          `json:"by"`
	Incarnation uint64          `json:"life"`
	Seq         uint64          `json:"seq"`
	AgeMs       int64           `json:"age_ms"`
	Value       json.RawMessage `json:"value,omitempty"`
}

// Rows returns the first slots, at most limit, sorted by kind, key and writer, and the total number. kind is the name
// of the kind to return; empty: all kinds.
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
