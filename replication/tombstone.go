package replication

import (
	"fmt"
	"slices"
)

// TombstoneKey is the key of a Tombstone for a key of a kind.
func TombstoneKey(k Kind, key string) string { return fmt.Sprintf("%d %s", uint32(k), key) }

// parseTombstoneKey is the inverse of TombstoneKey; false: it is none. A tombstone does not cover tombstones.
func parseTombstoneKey(s string) (k Kind, key string, ok bool) {
	var number uint32
	if n, err := fmt.Sscanf(s, "%d ", &number); n != 1 || err != nil || Kind(number) == Tombstone {
		return 0, "", false
	}
	return Kind(number), s[len(fmt.Sprintf("%d ", number)):], true
}

// tombstoned reports whether a tombstone covers a slot: one that is not older than its evidence.
func (r *Replica) tombstoned(s *Slot) bool {
	for _, t := range r.byKey[Tombstone][TombstoneKey(s.Kind, s.Key)] {
		if s.SeenBefore <= t.SeenBefore {
			return true
		}
	}
	return false
}

// applyTombstone drops the slots that a new tombstone covers.
func (r *Replica) applyTombstone(t *Slot) {
	k, key, ok := parseTombstoneKey(t.Key)
	if !ok {
		return
	}
	for _, s := range slices.Clone(r.byKey[k][key]) {
		if s.SeenBefore <= t.SeenBefore {
			r.Counters.Tombstoned++
			r.remove(s)
		}
	}
}
