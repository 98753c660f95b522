package replication

import (
	"fmt"
	"time"
)

// Kind determines the meaning of a slot's key and value. Kinds below FirstBulk are safety kinds. Slots of an unknown
// kind, written by a later version, are stored and forwarded like others.
type Kind uint32

// Known kinds. The numbers are part of the wire format.
const (
	Purge     Kind = 1  // key: a name of package purge; copies older than the purge must not be served
	Drain     Kind = 2  // key: endpoint; value: DrainValue
	SlowStart Kind = 3  // key: endpoint and its start; value: number, the work that the writer has sent to it since that start
	Tombstone Kind = 4  // key: TombstoneKey of the slots to be dropped; value: reason
	Health    Kind = 32 // key: endpoint; value: HealthValue
	Listing   Kind = 33 // key: zone and object; value: ListingValue

	// FirstBulk is the first kind that is not a safety kind.
	FirstBulk Kind = 32
)

// Stream is one of the two streams in which an incarnation numbers its slots.
type Stream int

// Streams of slots, in the order in which a reply contains them.
const (
	Safety  Stream = iota // slots of safety kinds; sent before any bulk slot
	Bulk                  // all other slots
	streams               // number of streams
)

// stream returns the stream of a kind.
func (k Kind) stream() Stream {
	if k < FirstBulk {
		return Safety
	}
	return Bulk
}

// String returns the name of the kind that operators use.
func (k Kind) String() string {
	if n := limitsByKind[k].name; n != "" {
		return n
	}
	return fmt.Sprint("kind ", uint32(k))
}

// ParseKind returns the kind with the given name, or false if there is none.
func ParseKind(name string) (Kind, bool) {
	for k, r := range limitsByKind {
		if r.name == name {
			return k, true
		}
	}
	return 0, false
}

// kindLimits limits the age and number of the slots of a kind.
type kindLimits struct {
	name     string        // for operators
	maxAge   time.Duration // since the evidence was seen; older slots are dropped, and not accepted from peers
	maxSlots int           // beyond this number, slots are evicted
}

var limitsByKind = map[Kind]kindLimits{
	Purge:     {"purge", 15 * time.Second, 8192}, // Config.PurgeSettleTime may shorten it
	Drain:     {"drain", 30 * time.Second, 2048},
	SlowStart: {"cold", 30 * time.Second, 4096},
	Tombstone: {"forget", 3 * time.Minute, 512}, // longer than any kind that it covers
	Health:    {"health", 2 * time.Minute, 16384},
	Listing:   {"listing", 2 * time.Minute, 65536},
}

// unknownKindLimits applies to kinds of later versions. No kind has a higher maxAge.
var unknownKindLimits = kindLimits{"", 3 * time.Minute, 1024}

// limitsOf returns the limits of a kind.
func limitsOf(k Kind) kindLimits {
	if r, ok := limitsByKind[k]; ok {
		return r
	}
	return unknownKindLimits
}
