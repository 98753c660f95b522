package snapshot

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"reflect"
	"strconv"
	"testing"
	"time"

	"larchusher/warmstart"
)

// killWriter starts a process that saves snapshots without a pause, and kills it after a delay from its first output. It returns the
// position of the last snapshot that the process reported as saved; -1: none.
func killWriter(t *testing.T, folder string, after time.Duration) (written int64) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestKilledWriters$")
	cmd.Env = append(os.Environ(), "LARCHUSHER_WRITER="+folder)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	reported := make(chan int64, 1)
	started := make(chan bool)
	go func() {
		var n, latest int64
		latest = -1
		for first := true; ; first = false {
			_, err := fmt.Fscanln(out, &n)
			if first { // the process has saved a snapshot, or has ended without saving one
				close(started)
			}
			if err != nil {
				break
			}
			latest = n
		}
		reported <- latest
	}()
	<-started
	time.Sleep(after) // the kill comes at a random moment of a write
	_ = cmd.Process.Kill()
	written = <-reported
	_ = cmd.Wait()
	return written
}

// A process that saves snapshots without a pause is killed at random moments. After each kill all files must be complete, and the
// newest one must not be older than what the process reported as saved. LARCHUSHER_LONG=20 raises the number of kills to 1,000, as
// for docs/measurements/state.md.
func TestKilledWriters(t *testing.T) {
	folder := t.TempDir()
	if dir := os.Getenv("LARCHUSHER_WRITER"); dir != "" {
		runWriter(dir)
		return
	}
	kills := 50
	if n, err := strconv.Atoi(os.Getenv("LARCHUSHER_LONG")); err == nil {
		kills *= n
	}
	rng := rand.New(rand.NewPCG(1, 1))
	last := int64(-1)
	for k := range kills {
		written := killWriter(t, folder, time.Duration(rng.IntN(5000))*time.Microsecond)
		best, all, err := NewStore(Folder(folder), testKey).Load()
		if err != nil || best == nil {
			t.Fatalf("kill %d: loaded %v, error %v", k, best, err)
		}
		for _, f := range all {
			if f.Err != nil || !f.Damage.Complete {
				t.Errorf("kill %d: file %s is not complete: damage %+v, error %v", k, f.Name, f.Damage, f.Err)
			}
		}
		if p := best.Snapshot.JournalPosition; p < max(last, written) || !reflect.DeepEqual(best.Snapshot, exampleAt(p)) {
			t.Fatalf("kill %d: position %d is loaded or its snapshot differs; position %d was reported as saved, and %d was loaded before", k, p, written, last)
		}
		last = best.Snapshot.JournalPosition
	}
	names, err := Folder(folder).List()
	if err != nil || len(names) > keptGenerations+3 {
		t.Errorf("too many files are left: %v, or error %v", names, err)
	}
}

func exampleAt(n int64) *warmstart.Snapshot {
	s := exampleSnapshot(200)
	s.JournalPosition = n
	return s
}

// runWriter saves snapshots until it is killed, and prints the position of each after it was saved.
func runWriter(folder string) {
	unlock, err := Folder(folder).Lock()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer unlock()
	store := NewStore(Folder(folder), testKey)
	n := int64(0)
	if best, _, err := store.Load(); err == nil && best != nil {
		n = best.Snapshot.JournalPosition + 1
	}
	for ; ; n++ {
		if _, err := store.Save(exampleAt(n)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}
