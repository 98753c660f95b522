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

// Two processes, or two savers, do not share a folder; a folder that can't be used is an error; a failing one is tried again.
func TestSaver(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	s, found, err := Open(folder, nil, log)
	if err != nil || found != nil {
		t.Fatal(found, err)
	}
	if _, _, err := Open(folder, nil, log); err == nil {
		t.Error("two hold it")
	}
	if _, _, err := Open(filepath.Join(folder, "nowhere"), nil, log); err == nil {
		t.Error("it is nowhere")
	}
	posted := make(chan func(), 10)
	n := 0
	s.Start(time.Second, func(f func()) bool { posted <- f; return true }, func() *warmstart.Snapshot { n++; snap := example(3); snap.CreatedAt = time.Duration(n); return snap })
	now := time.Hour
	tick := func() {
		s.Tick(now)
		(<-posted)()
	}
	tick()
	if s.schedule.Written != 1 || s.Size == 0 {
		t.Errorf("%+v", s.schedule)
	}
	if err := os.Chmod(folder, 0); err != nil {
		t.Fatal(err)
	}
	moved := folder + "-away"
	if err := os.Rename(folder, moved); err != nil {
		t.Fatal(err)
	}
	now += 2 * time.Second
	tick()
	if s.schedule.Failed != 1 {
		t.Errorf("it writes to nowhere: %+v", s.schedule)
	}
	if err := errors.Join(os.Rename(moved, folder), os.Chmod(folder, 0o700)); err != nil {
		t.Fatal(err)
	}
	now += 10 * time.Second
	tick()
	if s.schedule.Written != 2 || s.schedule.Due(now) {
		t.Errorf("%+v", s.schedule)
	}
	s.SaveNow(now)
	(<-posted)()
	s.Close(time.Second)
	if _, found, err = Open(folder, nil, log); err != nil || found == nil || found.CreatedAt != time.Duration(n) {
		t.Errorf("%v, %v", found, err)
	}
}
