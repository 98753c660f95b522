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

// startWithStateFolder starts a world whose gateway keeps what it learns in a folder.
func startWithStateFolder(t *testing.T, folder, more string) (context.Context, *testbed.Gateway) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.textproto")
	if err := os.WriteFile(path, []byte(fmt.Sprintf("state { folder: %q every: \"100ms\" %s }", folder, more)), 0o600); err != nil {
		t.Fatal(err)
	}
	return startTestbed(t, testbed.Config{Caches: 3, Pin: -1, Args: []string{"serve", "--operator", path}})
}

func sendLoad(ctx context.Context, t *testing.T, w *testbed.Gateway, seed uint64) {
	t.Helper()
	res, err := load.Run(ctx, load.Spec{Addr: w.Addr, Conns: 5, Rate: load.Constant(500), For: time.Second, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	checkInvariants(t, res)
}

// A gateway is killed and started again: what it had learned is taken in, before it serves. One that is ended in order
// has kept all of it.
func TestSnapshotRestoredAfterKill(t *testing.T) {
	folder := t.TempDir()
	ctx, w := startWithStateFolder(t, folder, "")
	sendLoad(ctx, t, w, 1)
	eventually(t, "a snapshot is written after the load", func() bool {
		all, err := w.Counters(ctx)
		return err == nil && all["state_written"] >= 12
	})
	if err := w.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	if line, err := w.WaitForLog(ctx, "msg=\"learned state imported\""); err != nil || strings.Contains(line, " 0 listings") || strings.Contains(line, "void") {
		t.Errorf("%s, %v", line, err)
	}
	if _, err := w.WaitForLog(ctx, "msg=serving"); err != nil {
		t.Fatal(err)
	}
	all, err := w.Counters(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if all["state_used_listings"] < 50 || all["state_void"] > 0 || all["state_broken_files"]+all["state_bad_records"] > 0 || all["state_copy_us"] > 50_000 {
		t.Errorf("used %v listings, void %v, broken %v, bad %v, copying took %v us", all["state_used_listings"], all["state_void"],
			all["state_broken_files"], all["state_bad_records"], all["state_copy_us"])
	}
	sendLoad(ctx, t, w, 2)
	if err := w.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := w.WaitForLog(ctx, "msg=counters"); err != nil { // the last of all
		t.Fatal(err)
	}
	out := runSubcommand(t, 0, "state", "verify", "--folder", folder)
	if !strings.Contains(out, "whole") || !strings.Contains(out, "of gateway n0") {
		t.Errorf("%s", out)
	}
}

// A spoilt file, one of another key, and a folder that another process holds cost their use alone: the gateway serves.
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
		t.Errorf("%s", out)
	}
	if out := runSubcommand(t, 0, "state", "show", "--json", "--folder", folder); strings.Count(out, "\n") != 1 || !strings.Contains(out, `"Whole":true`) {
		t.Errorf("%s", out)
	}
}

// runSubcommand runs a sub-command of the program, and returns what it printed.
func runSubcommand(t *testing.T, status int, args ...string) string {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), program, args...)
	out, err := cmd.Output()
	if cmd.ProcessState == nil || cmd.ProcessState.ExitCode() != status {
		t.Errorf("%v: %v", args, err)
	}
	return string(out)
}
