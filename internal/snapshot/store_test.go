package snapshot

import (
	"bytes"
	"reflect"
	"testing"
)

// checkFaults saves six snapshots on a disk of which one step fails or loses power, and checks what is loaded afterwards.
func checkFaults(t *testing.T, failAt int, losesPower bool, seed uint64) {
	t.Helper()
	d := newDisk(seed)
	d.failAt, d.losesPower = failAt, losesPower
	store := NewStore(d, testKey)
	lastSaved := -1
	for n := range 6 {
		if _, err := store.Save(exampleSnapshot(n)); err == nil {
			lastSaved = n
		}
	}
	d.failAt = 0
	if losesPower {
		d = d.afterPowerLoss()
	}
	best, all, err := NewStore(d, testKey).Load()
	if err != nil {
		t.Fatal(err)
	}
	got := -1
	if best != nil {
		if !best.Damage.Complete || !reflect.DeepEqual(best.Snapshot, exampleSnapshot(int(best.Snapshot.JournalPosition))) {
			t.Fatalf("fault at step %d, power loss %v: the loaded file is not complete: %+v", failAt, losesPower, best.Damage)
		}
		got = int(best.Snapshot.JournalPosition)
	}
	if got < lastSaved {
		t.Fatalf("fault at step %d, power loss %v, seed %d: snapshot %d was saved, but %d is loaded (%d files)", failAt, losesPower, seed, lastSaved, got, len(all))
	}
	if len(all) > keptGenerations+2 {
		t.Errorf("fault at step %d: %d files are left", failAt, len(all))
	}
}

// A disk fails or loses power at each step of several writes. What is loaded afterwards is complete, and not older than the latest
// snapshot that was saved without an error.
func TestFaultsAtEveryStep(t *testing.T) {
	for _, losesPower := range []bool{false, true} {
		for failAt := 1; failAt < 60; failAt++ {
			for seed := range uint64(4) {
				checkFaults(t, failAt, losesPower, seed)
			}
		}
	}
}

// If all generations are truncated, the usable part of the newest one is loaded. Neither Save nor Prune removes a file of a newer
// version.
func TestTruncatedGenerationsAndNewerVersions(t *testing.T) {
	d := newDisk(1)
	store := NewStore(d, nil)
	for n := range 3 {
		if _, err := store.Save(exampleSnapshot(n + 5)); err != nil {
			t.Fatal(err)
		}
	}
	for name, b := range d.files {
		d.files[name] = b[:len(b)-30]
	}
	if best, all, err := store.Load(); err != nil || best == nil || best.Damage.Complete || best.Snapshot.JournalPosition != 7 || len(all) != 2 {
		t.Errorf("loading two truncated generations: %+v, error %v, want the incomplete one at position 7", best, err)
	}
	newer := bytes.Clone(d.files[fileName(3)])
	newer[5] = Version + 1
	d.files[fileName(1)] = newer
	for n := range 4 {
		if _, err := store.Save(exampleSnapshot(n)); err != nil {
			t.Fatal(err)
		}
	}
	if removed, err := store.Prune(); err != nil || len(removed) != 1 || !bytes.Equal(d.files[fileName(1)], newer) {
		t.Errorf("Prune removed %v, error %v, want 1 file removed and that of the newer version unchanged", removed, err)
	}
	if best, _, err := store.Load(); err != nil || best.Snapshot.JournalPosition != 3 {
		t.Errorf("after Prune: loaded %+v, error %v, want position 3", best, err)
	}
}
