package replication

import (
	"fmt"
	"time"
)

// Kind is what a slot is about. Kinds below FirstBulk are safety kinds. A kind that is not known here is stored and passed on.
type Kind uint32

// The kinds.
const (
	Purge     Kind = 1  // key: a name of package purge; older copies must not be served
	Drain     Kind = 2  // key: an endpoint; value: DrainValue
	SlowStart Kind = 3  // key: an endpoint and its start; value: the work that the writer has sent it since, a number
	Tombstone Kind = 4  // key: TombstoneKey of what is to be forgotten; value: the reason
	Health    Kind = 32 // key: an endpoint; value: HealthValue
	Listing   Kind = 33 // key: zone and object; value: ListingValue

	// FirstBulk is the first kind that is not a safety kind.
	FirstBulk Kind = 32
)

// Stream is one of the two in which an incarnation numbers its slots.
type Stream int

// The streams.
const (
	Safety Stream = iota // sent before any bulk
	Bulk
	streams // how many there are
)

func (k Kind) stream() Stream {
	if k < FirstBulk {
		return Safety
	}
	return Bulk
}

// String names a kind, as operators do.
func (k Kind) String() string {
	if n := rules[k].name; n != "" {
		return n
	}
	return fmt.Sprint("kind ", uint32(k))
}

// ParseKind is the kind of a name; false: there is none.
func ParseKind(name string) (Kind, bool) {
	for k, r := range rules {
		if r.name == name {
			return k, true
		}
	}
	return 0, false
}

// rule bounds the slots of a kind.
type rule struct {
	name     string
	maxAge   time.Duration // since the evidence was seen; then a slot is dropped, and taken from nobody
	maxSlots int           // beyond, slots are evicted
}

var rules = map[Kind]rule{
	Purge:     {"purge", 15 * time.Second, 8192}, // Config.PurgeSettleTime may shorten it
	Drain:     {"drain", 30 * time.Second, 2048},
	SlowStart: {"cold", 30 * time.Second, 4096},
	Tombstone: {"forget", 3 * time.Minute, 512}, // outlives everything that it covers
	Health:    {"health", 2 * time.Minute, 16384},
	Listing:   {"listing", 2 * time.Minute, 65536},
}

// unknownKindRule is for kinds of later versions. No kind lasts longer.
var unknownKindRule = rule{"", 3 * time.Minute, 1024}

func ruleOf(k Kind) rule {
	if r, ok := rules[k]; ok {
		return r
	}
	return unknownKindRule
}
