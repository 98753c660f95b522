package replication

import (
	"fmt"
	"slices"
)

// TombstoneKey returns the key of a Tombstone that covers all slots of a kind and key.
func TombstoneKey(k Kind, key string) string { return fmt.Sprintf("%d %s", uint32(k), key) }

// parseTombstoneKey parses a key made by TombstoneKey. It returns false for a malformed key, and for one that covers
// tombstones, which is not allowed.
func parseTombstoneKey(s string) (k Kind, key string, ok bool) {
	var number uint32
	if n, err := fmt.Sscanf(s, "%d ", &number); n != 1 || err != nil || Kind(number) == Tombstone {
		return 0, "", false
	}
	return Kind(number), s[len(fmt.Sprintf("%d ", number)):], true
}

// tombstoned reports whether a tombstone covers a slot: one whose own evidence is not older than that of the slot.
func (r *Replica) tombstoned(s *Slot) bool {
	for _, t := range r.byKey[Tombstone][TombstoneKey(s.Kind, s.Key)] {
		if s.SeenBefore <= t.SeenBefore {
			return true
		}
	}
	return false
}

// applyTombstone removes the slots that a new tombstone covers.
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
