package snapshot

import (
	"reflect"
	"testing"
)

// Snapshots that 1a818d3 wrote, plain and with a key, are read whole.
func TestSnapshotsOf1a818d3AreRead(t *testing.T) {
	for folder, key := range map[string][]byte{"testdata/1a818d3/plain": nil, "testdata/1a818d3/keyed": testKey} {
		found, _, err := NewStore(Folder(folder), key).Load()
		if err != nil || found == nil {
			t.Errorf("%s: %v, %v", folder, found, err)
			continue
		}
		if !found.Damage.Complete || !reflect.DeepEqual(found.Snapshot, example(40)) {
			t.Errorf("%s: %+v, %+v", folder, found.Damage, found.Snapshot)
		}
	}
}
