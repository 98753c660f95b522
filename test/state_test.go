package test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/load"
	"larchusher/lab/testbed"
)

// startWithStateFolder starts a testbed whose gateway writes snapshots of its learned state to a folder every 100 ms. The
// text extraConfig is added to the state settings of the operator's file.
func startWithStateFolder(t *testing.T, folder, extraConfig string) (context.Context, *testbed.Gateway) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.textproto")
	if err := os.WriteFile(path, []byte(fmt.Sprintf("state { folder: %q every: \"100ms\" %s }", folder, extraConfig)), 0o600); err != nil {
		t.Fatal(err)
	}
	return startTestbed(t, testbed.Config{Caches: 3, Pin: -1, Args: []string{"serve", "--operator", path}})
}

// sendLoad sends 500 requests per second for a second and checks the results with checkInvariants.
func sendLoad(ctx context.Context, t *testing.T, w *testbed.Gateway, seed uint64) {
	t.Helper()
	res, err := load.Run(ctx, load.Spec{Addr: w.Addr, Conns: 5, Rate: load.Constant(500), For: time.Second, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	checkInvariants(t, res)
}

// A gateway that is killed and restarted must import its learned state from the latest snapshot. One that exits in order
// must leave an intact snapshot.
func TestSnapshotRestoredAfterKill(t *testing.T) {
	folder := t.TempDir()
	ctx, w := startWithStateFolder(t, folder, "")
	sendLoad(ctx, t, w, 1)
	eventually(t, "12 snapshots have been written", func() bool {
		all, err := w.Counters(ctx)
		return err == nil && all["state_written"] >= 12
	})
	if err := w.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	if line, err := w.WaitForLog(ctx, "msg=\"learned state imported\""); err != nil || strings.Contains(line, " 0 listings") || strings.Contains(line, "nothing imported") {
		t.Errorf("import after the restart: log line %s, error %v; want a valid snapshot with some listings", line, err)
	}
	if _, err := w.WaitForLog(ctx, "msg=serving"); err != nil {
		t.Fatal(err)
	}
	all, err := w.Counters(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if all["state_used_listings"] < 50 || all["state_void"] > 0 || all["state_broken_files"]+all["state_bad_records"] > 0 || all["state_copy_us"] > 50_000 {
		t.Errorf("imported %v listings, void %v, unreadable files %v, bad records %v, copying the state took %v us; want at least 50 listings, no faults, at most 50,000 us", all["state_used_listings"], all["state_void"],
			all["state_broken_files"], all["state_bad_records"], all["state_copy_us"])
	}
	sendLoad(ctx, t, w, 2)
	if err := w.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := w.WaitForLog(ctx, "msg=counters"); err != nil { // the last log line before the exit
		t.Fatal(err)
	}
	out := runSubcommand(t, 0, "state", "verify", "--folder", folder)
	if !strings.Contains(out, "whole") || !strings.Contains(out, "of gateway n0") {
		t.Errorf("state verify after an orderly exit: output %s, want a whole snapshot of gateway n0", out)
	}
}

// A gateway must serve without learned state if its snapshot files are damaged, or if another process has locked its state
// folder. The state sub-commands must report damaged files and remove them.
func TestServesWithUnusableStateFolder(t *testing.T) {
	folder := t.TempDir()
	ctx, w := startWithStateFolder(t, folder, "")
	if _, err := w.WaitForLog(ctx, "msg=serving"); err != nil {
		t.Fatal(err)
	}
	_, second := startWithStateFolder(t, folder, "")
	if _, err := second.WaitForLog(ctx, "msg=\"learned state not saved\""); err != nil {
		t.Error(err)
	}
	sendLoad(ctx, t, second, 1)
	if err := w.Kill(); err != nil {
		t.Fatal(err)
	}
	names, err := filepath.Glob(filepath.Join(folder, "knowledge-*.lks"))
	if err != nil || len(names) == 0 {
		t.Fatal(names, err)
	}
	for _, name := range names {
		if err := os.WriteFile(name, []byte("LKSN\x00\x01\x00\x00\xff\xff\xff\xff"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	runSubcommand(t, 1, "state", "verify", "--folder", folder)
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	if _, err := w.WaitForLog(ctx, "msg=\"snapshot unusable\""); err != nil {
		t.Error(err)
	}
	if _, err := w.WaitForLog(ctx, "msg=serving"); err != nil {
		t.Fatal(err)
	}
	sendLoad(ctx, t, w, 2)
	if err := w.Kill(); err != nil {
		t.Fatal(err)
	}
	if out := runSubcommand(t, 0, "state", "prune", "--folder", folder); !strings.Contains(out, "removed") {
		t.Errorf("state prune: output %s, want removed files", out)
	}
	if out := runSubcommand(t, 0, "state", "show", "--json", "--folder", folder); strings.Count(out, "\n") != 1 || !strings.Contains(out, `"Whole":true`) {
		t.Errorf("state show: output %s, want one complete snapshot", out)
	}
}

// runSubcommand runs a sub-command of the program and returns its standard output. An exit status other than the given one
// is a test error.
func runSubcommand(t *testing.T, status int, args ...string) string {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), program, args...)
	out, err := cmd.Output()
	if cmd.ProcessState == nil || cmd.ProcessState.ExitCode() != status {
		t.Errorf("%v exited with another status than expected: %v", args, err)
	}
	return string(out)
}
