package config

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// testEnv looks up environment variables that contain keys in hex: 32 bytes in KEY_LONG, 16 bytes in the others, and nothing in
// variables whose name does not state a key.
func testEnv(name string) string {
	if name == "KEY_LONG" {
		return strings.Repeat("0011223344556677", 4)
	}
	if strings.HasPrefix(name, "KEY") || strings.HasSuffix(name, "_KEY_2026_12") {
		return "00112233445566778899aabbccddeeff"
	}
	return ""
}

// signedFrontPart is the beginning of a part signed_front, without its closing brace.
const signedFrontPart = "signed_front {\n  listen: \"127.0.0.1:1\"\n  base: \"https://a.example\"\n"

// fleetPart is the beginning of a valid part fleet, without its closing brace.
const fleetPart = "fleet {\n  name: \"a\"\n  listen: \"127.0.0.1:1\"\n  member { name: \"a\" address: \"127.0.0.1:1\" }\n  key_env: \"KEY_LONG\"\n"

// Errors of the operator's file name the key and the line at fault.
func TestOperatorFileErrorsNameKeyAndLine(t *testing.T) {
	for text, want := range map[string][]string{
		"\noverload { wiat: \"1s\" }":                         {"line 2", "wiat"},
		"overload {\n  wait: \"soon\"\n}":                     {"line 2", "overload.wait", "soon"},
		"overload {\n  wait: \"20ms\"\n  target: \"30ms\"\n}": {"line 3", "overload.target", "20ms"},
		"overload {\n\n  probe: 1.5\n}":                       {"line 3", "overload.probe"},
		"overload {\n  tick: \"1us\"\n}":                      {"line 2", "overload.tick", "5ms"},
		"overload {\n  answers_mb: -1\n}":                     {"line 2", "overload.answers_mb"},
		"overload {\n  stall_least: \"2h\"\n}":                {"line 2", "overload.stall_least"},
		"health {\n  agent_listen: \"here\"\n}":               {"line 2", "health.agent_listen"},
		"metrics {\n  listen: \"127.0.0.1\"\n}":               {"line 2", "metrics.listen"},
		"signed_front {\n  base: \"https://a.example\"\n}":    {"signed_front.listen"},
		signedFrontPart + "  leeway: \"-1s\"\n}":              {"line 4", "signed_front.leeway"},
		signedFrontPart + "  key { id: \"a\" form: \"edge-auth\" secret_env: \"KEY\" }\n  key {\n    id: \"b\"\n    form: \"edge-auth\"\n    secret_env: \"NONE\"\n  }\n}": {"line 8", "signed_front.key[1].secret_env", "NONE"},
		signedFrontPart + "  key { id: \"a\" form: \"edge-auth\" secret_env: \"KEY\" }\n  renew_with: \"z\"\n}":                                                            {"line 5", "signed_front.renew_with"},
		signedFrontPart + "  key { id: \"a\" form: \"dance\" secret_env: \"KEY\" }\n}":                                                                                     {"line 1", "signed_front"},
		"tiers {\n  spill: 0.2\n}": {"line 1", "tiers.locality"},
		"tiers {\n  locality { name: \"b\" level: 1 }\n  locality {\n    name: \"b\"\n    level: 2\n  }\n}": {"line 4", "tiers.locality[1].name", "twice"},
		"tiers {\n  locality {\n    name: \"b\"\n    level: 0\n  }\n}":                                      {"line 4", "tiers.locality[0].level"},
		"tiers {\n  locality { name: \"b\" level: 1 }\n  back: \"1m\"\n}":                                   {"tiers.back_most", "1m0s"},
		"tiers {\n  locality { name: \"b\" level: 1 }\n  over: 0.5\n}":                                      {"line 3", "tiers.over", "0.5"},
		"tiers {\n  locality { name: \"b\" level: 1 }\n  ramp: \"soon\"\n}":                                 {"line 3", "tiers.ramp"},
		fleetPart + "  replicate { wait: \"an hour\" }\n}":                                                  {"line 6", "fleet.replicate.wait"},
		fleetPart + "  replicate {\n    bytes: 100\n  }\n}":                                                 {"line 7", "fleet.replicate.bytes", "100"},
		fleetPart + "  replicate {\n    listings: -1\n  }\n}":                                               {"line 7", "fleet.replicate.listings", "-1"},
		"overload: 7": {"line 1"},
		"}":           {"line 1"},
	} {
		_, err := ParseOperator([]byte(text), testEnv)
		for _, w := range want {
			if err == nil || !strings.Contains(err.Error(), w) {
				t.Errorf("error for the file\n%s\nis %v, want it to contain %q", text, err, w)
			}
		}
	}
	if _, err := LoadOperator("/nowhere", testEnv); err == nil || !strings.Contains(err.Error(), "/nowhere") {
		t.Errorf("LoadOperator of a missing file returned %v, want an error that contains its path", err)
	}
}

func TestReplicationIsOffByDefault(t *testing.T) {
	o, err := ParseOperator([]byte(fleetPart+"}"), testEnv)
	if err != nil || o.Cluster.Replication != nil {
		t.Fatalf("file without replicate: %+v, %v, want no replication", o, err)
	}
	o, err = ParseOperator([]byte(fleetPart+"  replicate { bytes: 20000 }\n}"), testEnv)
	if err != nil || o.Cluster.Replication == nil || *o.Cluster.Replication != (Replication{CatchUpTimeout: 3 * time.Second, MaxBytesPerSecond: 20000, MaxListings: 512}) {
		t.Errorf("replication is %+v, %v, want 20000 bytes per second and defaults for the rest", o.Cluster.Replication, err)
	}
}

func TestOperatorFileDefaults(t *testing.T) {
	o, err := ParseOperator(nil, testEnv)
	if err != nil || o.SignedFront != nil || o.AgentListen+o.HTTPListen+o.MetricsListen != "" {
		t.Errorf("empty file: %+v, %v, want everything off", o, err)
	}
	if c := o.Overload; c.MaxWait != 150*time.Millisecond || c.Tick != 20*time.Millisecond || c.ProbeShare != 0.03 || c.RetriesFirst {
		t.Errorf("defaults of overload: %+v, want MaxWait 150ms, Tick 20ms, ProbeShare 0.03 and RetriesFirst false", c)
	}
	data, err := os.ReadFile("../../deploy/operator.textproto")
	if err != nil {
		t.Fatal(err)
	}
	example, err := ParseOperator(data, testEnv)
	if err != nil || example.SignedFront == nil || len(example.SignedFront.URLs.Keys) != 2 || example.MetricsListen == "" {
		t.Errorf("deploy/operator.textproto: %+v, %v, want a signed front with 2 keys, and a metrics listener", example, err)
	}
	if c, err := example.LocalitiesFor("edge-1", []string{"north", "edge-1", "edge-2"}); o.Localities != nil || err != nil || c != nil {
		t.Errorf("localities of the example: %+v, %v, want none", c, err)
	}
	o.Overload.TargetWait = example.Overload.TargetWait // set in the example
	if example.Overload.MaxWait != o.Overload.MaxWait || example.Overload.MinPause != o.Overload.MinPause ||
		example.Overload.ProbeShare != o.Overload.ProbeShare {
		t.Errorf("overload of the example is %+v, want the defaults except for TargetWait", example.Overload)
	}
}

// A positive flow_bytes_per_s replaces the rate of the settings and scales the sizes that clients state; a negative one is an
// error that names the key.
func TestFlowBytesPerSOverridesSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	for flow, want := range map[string]float64{"": 7200, `"flow_bytes_per_s":310000,`: 310, `"flow_bytes_per_s":-1,`: 0} {
		c, err := Parse([]byte("{"+flow+strings.TrimPrefix(string(text), "{")), Overrides{})
		if want == 0 {
			if err == nil || !strings.Contains(err.Error(), "flow_bytes_per_s") {
				t.Errorf("error for %s is %v, want one that names flow_bytes_per_s", flow, err)
			}
		} else if err != nil || c.Settings.FlowKBps != want || c.SizeScale != want/7200 {
			t.Errorf("%s: error %v, want a rate of %v KB/s, and sizes scaled from the settings' 7200 KB/s", flow, err, want)
		}
	}
}

// Gateways divide shared budgets by their number, so a number that is missing or too small is corrected, and a negative number
// or position is an error.
func TestDirectorCountIsReconciled(t *testing.T) {
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		balancers, position, peers int
		want                       int
		key                        string // named by the error or the warning; empty: no warning
	}{
		{3, 0, 3, 3, ""}, {3, 0, 0, 3, ""}, {0, 0, 0, 1, "settings.balancers"}, {0, 0, 4, 4, "settings.balancers"},
		{2, 0, 4, 4, "settings.balancers"}, {5, 0, 4, 5, "peers"}, {2, 6, 0, 7, "settings.balancers"},
		{-1, 0, 4, 0, "settings.balancers"}, {2, -1, 2, 0, "settings.position"},
	} {
		var all map[string]any
		if err := json.Unmarshal(text, &all); err != nil {
			t.Fatal(err)
		}
		set := all["settings"].(map[string]any)
		set["balancers"], set["position"] = c.balancers, c.position
		peers := []string{}
		for i := range c.peers {
			peers = append(peers, fmt.Sprintf("127.0.0.%d:7946", i+1))
		}
		all["peers"] = peers
		data, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Parse(data, Overrides{})
		message := fmt.Sprint(err)
		if err == nil {
			message = strings.Join(got.Warnings, "; ")
		}
		if (err == nil) != (c.want > 0) || err == nil && got.Settings.Directors != c.want || !strings.Contains(message, c.key) || c.key == "" && message != "" {
			t.Errorf("%+v: got %v with the error or warnings %q", c, got, message)
		}
	}
}

// Without a configured seed two starts must draw different ones, and a missing position must not be taken for the position 0.
func TestMissingSeedAndPosition(t *testing.T) {
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	parseChanged := func(change func(all, settings map[string]any)) *Gateway {
		var all map[string]any
		if err := json.Unmarshal(text, &all); err != nil {
			t.Fatal(err)
		}
		change(all, all["settings"].(map[string]any))
		data, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		c, err := Parse(data, Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	removeSeedAndPosition := func(all, settings map[string]any) {
		delete(all, "seed")
		delete(settings, "position")
	}
	a, b := parseChanged(removeSeedAndPosition), parseChanged(removeSeedAndPosition)
	if a.Seed == b.Seed {
		t.Errorf("two starts without a configured seed both drew %x", a.Seed)
	}
	if keys := a.ChangedRestartKeys(b); len(keys) > 0 {
		t.Errorf("ChangedRestartKeys is %q for two parses of one file, want none", keys)
	}
	if !a.Settings.IndexUnknown {
		t.Error("IndexUnknown is false without settings.position")
	}
	explicit := parseChanged(func(all, settings map[string]any) { all["seed"], settings["position"] = "2a", 0 })
	if explicit.Seed != 0x2a || explicit.Settings.IndexUnknown || explicit.Settings.Index != 0 {
		t.Errorf("seed %x, index %d, index unknown: %v; want 2a, 0, false", explicit.Seed, explicit.Settings.Index, explicit.Settings.IndexUnknown)
	}
}
