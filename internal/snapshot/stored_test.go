package snapshot

import (
	"reflect"
	"testing"
)

// An upgrade must read the snapshots that version 1a818d3 wrote, with and without a key.
func TestReadsSnapshotsOfVersion1a818d3(t *testing.T) {
	for folder, key := range map[string][]byte{"testdata/1a818d3/plain": nil, "testdata/1a818d3/keyed": testKey} {
		found, _, err := NewStore(Folder(folder), key).Load()
		if err != nil || found == nil {
			t.Errorf("%s: loaded %v, error %v, want a snapshot", folder, found, err)
			continue
		}
		if !found.Damage.Complete || !reflect.DeepEqual(found.Snapshot, exampleSnapshot(40)) {
			t.Errorf("%s: damage %+v, or another snapshot than the one written: %+v", folder, found.Damage, found.Snapshot)
		}
	}
}
