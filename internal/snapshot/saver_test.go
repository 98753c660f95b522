package snapshot

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/warmstart"
)

// A folder is locked against a second Saver, a missing folder is an error, and after a failed write later ones succeed.
func TestSaver(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	s, found, err := Open(folder, nil, log)
	if err != nil || found != nil {
		t.Fatal(found, err)
	}
	if _, _, err := Open(folder, nil, log); err == nil {
		t.Error("two Savers have opened the same folder")
	}
	if _, _, err := Open(filepath.Join(folder, "nowhere"), nil, log); err == nil {
		t.Error("a folder that does not exist was opened")
	}
	posted := make(chan func(), 10)
	n := 0
	s.Start(time.Second, func(f func()) bool { posted <- f; return true }, func() *warmstart.Snapshot {
		n++
		snap := exampleSnapshot(3)
		snap.CreatedAt = time.Duration(n)
		return snap
	})
	now := time.Hour
	tick := func() {
		s.Tick(now)
		(<-posted)()
	}
	tick()
	if s.schedule.Written != 1 || s.Size == 0 {
		t.Errorf("after the first write: schedule %+v, want 1 written", s.schedule)
	}
	if err := os.Chmod(folder, 0); err != nil {
		t.Fatal(err)
	}
	movedFolder := folder + "-away"
	if err := os.Rename(folder, movedFolder); err != nil {
		t.Fatal(err)
	}
	now += 2 * time.Second
	tick()
	if s.schedule.Failed != 1 {
		t.Errorf("after a write without the folder: schedule %+v, want 1 failed", s.schedule)
	}
	if err := errors.Join(os.Rename(movedFolder, folder), os.Chmod(folder, 0o700)); err != nil {
		t.Fatal(err)
	}
	now += 10 * time.Second
	tick()
	if s.schedule.Written != 2 || s.schedule.Due(now) {
		t.Errorf("after the folder is back: schedule %+v, want 2 written and none due", s.schedule)
	}
	s.SaveNow(now)
	(<-posted)()
	s.Close(time.Second)
	if _, found, err = Open(folder, nil, log); err != nil || found == nil || found.CreatedAt != time.Duration(n) {
		t.Errorf("after Close: found %v, error %v, want the latest snapshot", found, err)
	}
}
