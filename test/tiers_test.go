package test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/fleet"
	"larchusher/lab/load"
	"larchusher/lab/testbed"
)

// One of three zones fails and returns with cold caches. Each request must get one answer, spillover must stay within its
// bound, the returning caches must not be overloaded, and the share of requests within the latency objective must recover.
func TestZoneOutageAndRecovery(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := fleet.Run(ctx, fleet.Config{Program: program, BoxRate: 60, Objects: 100, Late: 2 * time.Second, For: 12 * time.Second, Seed: 1,
		Zones:  []fleet.Zone{{Name: "a", Boxes: 3, Rate: 90}, {Name: "b", Boxes: 2, Rate: 60}, {Name: "c", Hub: 1, Boxes: 4, Rate: 120}},
		Deaths: []fleet.Outage{{Zone: 0, At: 2 * time.Second, Back: 4 * time.Second}}, Tiers: `ramp: "3s"`})
	if err != nil {
		t.Fatal(err)
	}
	if r.Silent+r.Second+r.Spoilt > 0 {
		t.Errorf("%d requests had no answer in time, %d answers came twice, %d were corrupt, want none of these", r.Silent, r.Second, r.Spoilt)
	}
	if r.Over > 0.1 || len(r.Fallen) > 0 { // per second of the scenario's own clock; package locality checks the exact bound with a fake clock
		t.Errorf("spillover exceeded its bound by %.2f, want at most 0.10; overloaded caches: %v, want none", r.Over, r.Fallen)
	}
	if before, after := r.ServedWorthShare(0, 2), r.ServedWorthShare(10, 12); after < 0.9*before {
		t.Errorf("share of requests within the latency objective: %.2f before the outage, %.2f after; want at least 90 %% of it", before, after)
	}
	if c := r.Counters[0]; c["tier_spilled"] < 20 || c["tier_changes"] < 2 {
		t.Errorf("gateway of the failed zone: %v spilled requests, %v changes of state; want at least 20 and 2", c["tier_spilled"], c["tier_changes"])
	}
}

// SIGHUP must apply changed tier settings. An invalid file must be rejected with an error that names the fault, and
// removing all tier settings must be logged as needing a restart. Requests are served afterwards.
func TestReloadChangesTierSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.textproto")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const place = "\n  locality { name: \"north\" level: 1 }\n}\n"
	write("tiers {\n  spill: 0.2" + place)
	ctx, w := startTestbed(t, testbed.Config{Caches: 2, Pin: -1, Args: []string{"serve", "--operator", path}})
	for _, step := range []struct{ text, log string }{
		{"tiers {\n  spill: 1.5" + place, "line 2: tiers.spill: 1.5 is not from 0 to 1"},
		{"tiers {\n  locality { name: \"moon\" level: 1 }\n}\n", "is none of the zones"},
		{"tiers {\n  spill: 0.1" + place, "msg=reloaded"},
		{"", `msg="reload needs restart"`},
	} {
		w.Log.Reset()
		write(step.text)
		if err := w.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if line, err := w.WaitForLog(ctx, "reload"); err != nil || !strings.Contains(w.Log.String(), step.log) {
			t.Errorf("reload of the operator's file %q: log line %s, want the expected text in the log", step.text, line)
		}
	}
	res, err := load.Run(ctx, load.Spec{Addr: w.Addr, Conns: 5, Rate: load.Constant(200), For: time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	checkInvariants(t, res)
	all, err := w.Counters(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if all["tier_picked_edge-1"] == 0 || all["tier_spilled"] > 0 || all["reloads"] != 2 {
		t.Errorf("%v requests picked in edge-1, %v spilled, %v reloads; want some, 0 and 2", all["tier_picked_edge-1"], all["tier_spilled"], all["reloads"])
	}
}
