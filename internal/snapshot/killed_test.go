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

// killWriter starts a process that writes all the time, kills it after a while, and returns the last snapshot that it said it
// had written; -1: none.
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
	said := make(chan int64, 1)
	began := make(chan bool)
	go func() {
		var n, latest int64
		latest = -1
		for first := true; ; first = false {
			_, err := fmt.Fscanln(out, &n)
			if first { // it writes, or has ended without a word
				close(began)
			}
			if err != nil {
				break
			}
			latest = n
		}
		said <- latest
	}()
	<-began
	time.Sleep(after) // the moment is what is tried
	_ = cmd.Process.Kill()
	written = <-said
	_ = cmd.Wait()
	return written
}

// A process that writes all the time is killed at random moments: what is there can always be read, and is no older than
// what it said it had written. LARCHUSHER_LONG=20 makes it 1,000 kills, for docs/measurements/state.md.
func TestKilledWriters(t *testing.T) {
	folder := t.TempDir()
	if dir := os.Getenv("LARCHUSHER_WRITER"); dir != "" {
		writer(dir)
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
			t.Fatalf("kill %d: %v, %v", k, best, err)
		}
		for _, f := range all {
			if f.Err != nil || !f.Damage.Complete {
				t.Errorf("kill %d: %s: %+v, %v", k, f.Name, f.Damage, f.Err)
			}
		}
		if p := best.Snapshot.JournalPosition; p < max(last, written) || !reflect.DeepEqual(best.Snapshot, numbered(p)) {
			t.Fatalf("kill %d: %d is read, %d was written and %d before", k, p, written, last)
		}
		last = best.Snapshot.JournalPosition
	}
	names, err := Folder(folder).List()
	if err != nil || len(names) > keptGenerations+3 {
		t.Errorf("%v are left, %v", names, err)
	}
}

func numbered(n int64) *warmstart.Snapshot {
	s := example(200)
	s.JournalPosition = n
	return s
}

// writer writes until it is killed, and says what it has written.
func writer(folder string) {
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
		if _, err := store.Save(numbered(n)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}
