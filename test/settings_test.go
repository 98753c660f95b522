package test

import (
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/testbed"
)

// testSettings are the test deployment's, as JSON objects that a test may change.
func testSettings(t *testing.T) map[string]any {
	t.Helper()
	var s map[string]any
	if err := json.Unmarshal([]byte(testbed.Settings), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// classesByName are the classes of settings by their names.
func classesByName(s map[string]any) map[string]map[string]any {
	all := map[string]map[string]any{}
	for _, c := range s["classes"].([]any) {
		class := c.(map[string]any)
		all[class["name"].(string)] = class
	}
	return all
}

// reload has the program read its files again, and waits until it has taken them.
func (r *rig) reload(console string) {
	r.t.Helper()
	before := r.consoleStats(console)["reload_success"]
	r.writeConfig()
	r.signal(syscall.SIGHUP)
	eventually(r.t, "the new settings are taken", func() bool { return r.consoleStats(console)["reload_success"] == before+1 })
}

// A class that a reload brings is served by its own rules at once, one that it changes by the new ones, and one that it drops
// for a while by the old ones. What is open keeps the rules by which it came: its store holds it across the reload.
func TestReloadedClassesApplyToNewRequests(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	c.send("images", object, 10*time.Second, "") // its class's deadline of 2.5 s bounds it
	first := receive(t, pending)

	s := testSettings(t)
	all := classesByName(s)
	all["images"]["name"] = "maps"
	all["films"]["effect"], all["films"]["dedupScope"], all["films"]["repeatWindowMs"] = "by_key", "all", 3000
	s["classes"] = append(s["classes"].([]any), map[string]any{"name": "moves", "aimMs": 100, "hardLimitMs": 300, "effect": "once", "value": 3})
	r.config["settings"] = s
	r.reload(console)

	first.Reply("BROKE", "-", "") // it may be repeated, by the rules by which it came
	serveHit(receive(t, pending))
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("open across the reload: %+v", a)
	}
	r.setHandler(serveHit)
	for _, class := range []string{"maps", "images", "moves"} {
		c.send(class, object, 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Errorf("%s: %+v", class, a)
		}
	}
	c.send("films", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "Lost" {
		t.Errorf("films have a key now: %+v", a)
	}
	// What may have run is not sent again, and not refused as harmless.
	r.setHandler(func(a *storeRequest) { a.Reply("BROKE", "-", "") })
	c.send("moves", "00000000000000aa", 2*time.Second, "")
	if a := c.readAnswer(); a.err != "Lost" || len(r.storeRequests("00000000000000aa")) != 1 {
		t.Errorf("after an error: %+v, sent %d times", a, len(r.storeRequests("00000000000000aa")))
	}
	got := r.consoleStats(console)
	for name, n := range map[string]int{"success.images": 2, "success.maps": 1, "success.moves": 1, "error.moves": 1, "error.films": 1} {
		if got[name] != n {
			t.Errorf("%s is %d, want %d", name, got[name], n)
		}
	}
	eventually(t, "a dropped class ends", func() bool {
		c.send("images", object, time.Second, "")
		return c.readAnswer().err == "Backoff"
	})
}

// Fewer attempts hold for what comes from then on: what is open goes on by the old number.
func TestReloadedAttemptLimitAppliesToNewRequests(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	first := receive(t, pending)
	s := testSettings(t)
	s["limits"].(map[string]any)["sendCap"] = 1
	r.config["settings"] = s
	r.reload(console)
	first.Reply("WAIT", "-", "")
	receive(t, pending).Reply("WAIT", "-", "")
	serveHit(receive(t, pending))
	if a := c.readAnswer(); a.err != "" || len(r.storeRequests(object)) != 3 {
		t.Errorf("open across the reload: %+v, sent %d times", a, len(r.storeRequests(object)))
	}
	c.send("films", "00000000000000bb", 5*time.Second, "")
	receive(t, pending).Reply("WAIT", "-", "")
	if a := c.readAnswer(); a.err != "Backoff" || len(r.storeRequests("00000000000000bb")) != 1 {
		t.Errorf("with one attempt: %+v, sent %d times", a, len(r.storeRequests("00000000000000bb")))
	}
}

// Of a file that is at fault nothing is taken: neither its classes nor the journal's address. Each fault is named.
func TestInvalidReloadChangesNothing(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	nobody := freeAddr(t)
	faults := []struct {
		name, word string
		change     func(config, settings map[string]any)
	}{
		{"no settings", "settings", func(c, _ map[string]any) { delete(c, "settings") }},
		{"no limits", "settings.limits", func(_, s map[string]any) { delete(s, "limits") }},
		{"no invariants", "settings.invariants", func(_, s map[string]any) { delete(s, "invariants") }},
		{"no classes", "settings.classes", func(_, s map[string]any) { delete(s, "classes") }},
		{"empty classes", "Classes is empty", func(_, s map[string]any) { s["classes"] = []any{} }},
		{"a class without a deadline", "hardLimitMs", func(_, s map[string]any) { delete(classesByName(s)["films"], "hardLimitMs") }},
		{"a class without an effect", "effect", func(_, s map[string]any) { delete(classesByName(s)["films"], "effect") }},
		{"a deadline of 0", "hardLimitMs", func(_, s map[string]any) { classesByName(s)["films"]["hardLimitMs"] = 0 }},
		{"a negative deadline", "hardLimitMs", func(_, s map[string]any) { classesByName(s)["films"]["hardLimitMs"] = -5 }},
		{"no deadline", "hardLimitMs", func(_, s map[string]any) { classesByName(s)["films"]["hardLimitMs"] = nil }},
		{"a deadline in words", "hardLimitMs", func(_, s map[string]any) { classesByName(s)["films"]["hardLimitMs"] = "5000" }},
		{"no attempts", "sendCap", func(_, s map[string]any) { s["limits"].(map[string]any)["sendCap"] = 0 }},
		{"negative attempts", "sendCap", func(_, s map[string]any) { s["limits"].(map[string]any)["sendCap"] = -1 }},
		{"a class twice", "stands twice", func(_, s map[string]any) { classesByName(s)["films"]["name"] = "images" }},
		{"no journal", "journal", func(c, _ map[string]any) { delete(c, "journal") }},
		{"no name", "name", func(c, _ map[string]any) { delete(c, "name") }},
	}
	good := r.config
	for i, f := range faults {
		s, config := testSettings(t), map[string]any{}
		for k, v := range good {
			config[k] = v
		}
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": "maps", "aimMs": 100, "hardLimitMs": 300, "effect": "once", "value": 3})
		config["journal"], config["settings"] = nobody, s
		f.change(config, s)
		r.config = config
		r.writeConfig()
		r.log.Reset()
		r.signal(syscall.SIGHUP)
		if line := r.waitForLog("msg=\"reload rejected\""); !strings.Contains(line, f.word) {
			t.Errorf("%s: %s", f.name, line)
		}
		if got := r.consoleStats(console); got["reload_failure"] != i+1 || got["reload_success"] != 0 {
			t.Errorf("%s: turned down %d, taken %d", f.name, got["reload_failure"], got["reload_success"])
		}
	}
	if err := os.WriteFile(r.path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	r.log.Reset()
	r.signal(syscall.SIGHUP)
	r.waitForLog("msg=\"reload rejected\"")
	c := r.client()
	c.send("maps", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err == "" {
		t.Error("a class of a faulty file is served")
	}
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	eventually(t, "the old journal is read", func() bool { return r.counter("journal_events") == 1 })
	if n := r.counter("journal_connects"); n != 1 {
		t.Errorf("%d connections to the journal", n)
	}
}
