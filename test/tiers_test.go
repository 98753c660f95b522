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

// A zone of three goes dark and comes back cold, with real gateways: each request has one answer, spill stays within its
// bound, returning boxes within their start's budget, and service comes back.
func TestZoneOutageAndRecovery(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := fleet.Run(ctx, fleet.Config{Program: program, BoxRate: 60, Objects: 100, Late: 2 * time.Second, For: 12 * time.Second, Seed: 1,
		Zones:  []fleet.Zone{{Name: "a", Boxes: 3, Rate: 90}, {Name: "b", Boxes: 2, Rate: 60}, {Name: "c", Hub: 1, Boxes: 4, Rate: 120}},
		Deaths: []fleet.Death{{Zone: 0, At: 2 * time.Second, Back: 4 * time.Second}}, Tiers: `ramp: "3s"`})
	if err != nil {
		t.Fatal(err)
	}
	if r.Silent+r.Second+r.Spoilt > 0 {
		t.Errorf("%d requests had no answer in time, %d answers came twice, %d spoilt", r.Silent, r.Second, r.Spoilt)
	}
	if r.Over > 0.1 || len(r.Fallen) > 0 { // in the tool's own seconds; the bound itself is shown on a fake clock in package locality
		t.Errorf("spill went %.2f over its bound; fallen: %v", r.Over, r.Fallen)
	}
	if before, after := r.Share(0, 2), r.Share(10, 12); after < 0.9*before {
		t.Errorf("in aim %.2f before and %.2f after", before, after)
	}
	if c := r.Counters[0]; c["tier_spilled"] < 20 || c["tier_changes"] < 2 {
		t.Errorf("spilled %v, %v changes of state", c["tier_spilled"], c["tier_changes"])
	}
}

// Bounds change by SIGHUP while requests run; a faulty file is named with key and line, and changes nothing.
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
			t.Errorf("%q gives %s", step.text, line)
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
		t.Errorf("picked %v, spilled %v, %v reloads", all["tier_picked_edge-1"], all["tier_spilled"], all["reloads"])
	}
}
