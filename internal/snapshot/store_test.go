package snapshot

import (
	"bytes"
	"reflect"
	"testing"
)

// checkFaults saves six snapshots on a disk that fails, or loses its power, at a step, and checks what is read afterwards.
func checkFaults(t *testing.T, fail int, power bool, seed uint64) {
	t.Helper()
	d := newDisk(seed)
	d.fail, d.power = fail, power
	store := NewStore(d, testKey)
	good := -1
	for n := range 6 {
		if _, err := store.Save(example(n)); err == nil {
			good = n
		}
	}
	d.fail = 0
	if power {
		d = d.back()
	}
	best, all, err := NewStore(d, testKey).Load()
	if err != nil {
		t.Fatal(err)
	}
	got := -1
	if best != nil {
		if !best.Damage.Complete || !reflect.DeepEqual(best.Snapshot, example(int(best.Snapshot.JournalPosition))) {
			t.Fatalf("step %d, power %v: %+v is read", fail, power, best.Damage)
		}
		got = int(best.Snapshot.JournalPosition)
	}
	if got < good {
		t.Fatalf("step %d, power %v, seed %d: write %d went well, and %d is read (%d files)", fail, power, seed, good, got, len(all))
	}
	if len(all) > keptGenerations+2 {
		t.Errorf("step %d: %d files", fail, len(all))
	}
}

// The disk fails, or its power does, at each step of each of some writes: what is read afterwards is complete, and no older
// than the latest write that went well.
func TestFaultsAtEveryStep(t *testing.T) {
	for _, power := range []bool{false, true} {
		for fail := 1; fail < 60; fail++ {
			for seed := range uint64(4) {
				checkFaults(t, fail, power, seed)
			}
		}
	}
}

// Two generations both torn: the rest of the newer one is used. A file of a newer version is left where it is.
func TestTornGenerationsAndNewerFiles(t *testing.T) {
	d := newDisk(1)
	store := NewStore(d, nil)
	for n := range 3 {
		if _, err := store.Save(example(n + 5)); err != nil {
			t.Fatal(err)
		}
	}
	for name, b := range d.files {
		d.files[name] = b[:len(b)-30]
	}
	if best, all, err := store.Load(); err != nil || best == nil || best.Damage.Complete || best.Snapshot.JournalPosition != 7 || len(all) != 2 {
		t.Errorf("%+v, %v", best, err)
	}
	newer := bytes.Clone(d.files[fileName(3)])
	newer[5] = Version + 1
	d.files[fileName(1)] = newer
	for n := range 4 {
		if _, err := store.Save(example(n)); err != nil {
			t.Fatal(err)
		}
	}
	if removed, err := store.Prune(); err != nil || len(removed) != 1 || !bytes.Equal(d.files[fileName(1)], newer) {
		t.Errorf("removed %v, %v", removed, err)
	}
	if best, _, err := store.Load(); err != nil || best.Snapshot.JournalPosition != 3 {
		t.Errorf("%+v, %v", best, err)
	}
}
