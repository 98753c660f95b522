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

// testSettings returns testbed.Settings as decoded JSON, which the test may change.
func testSettings(t *testing.T) map[string]any {
	t.Helper()
	var s map[string]any
	if err := json.Unmarshal([]byte(testbed.Settings), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// classesByName returns the classes in decoded settings by their names.
func classesByName(s map[string]any) map[string]map[string]any {
	all := map[string]map[string]any{}
	for _, c := range s["classes"].([]any) {
		class := c.(map[string]any)
		all[class["name"].(string)] = class
	}
	return all
}

// reload writes the configuration, sends SIGHUP and waits until the console counts a successful reload.
func (r *rig) reload(console string) {
	r.t.Helper()
	before := r.consoleStats(console)["reload_success"]
	r.writeConfig()
	r.signal(syscall.SIGHUP)
	eventually(r.t, "the reload has succeeded", func() bool { return r.consoleStats(console)["reload_success"] == before+1 })
}

// After a reload, requests of new and changed classes must follow the new rules at once, and those of a removed class the
// old rules for a while. A request that is open during the reload, because its store withholds the answer, keeps the rules
// under which it arrived.
func TestReloadedClassesApplyToNewRequests(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	c.send("images", object, 10*time.Second, "") // bounded by the class's deadline of 2.5 s
	first := receive(t, pending)

	s := testSettings(t)
	all := classesByName(s)
	all["images"]["name"] = "maps"
	all["films"]["effect"], all["films"]["dedupScope"], all["films"]["repeatWindowMs"] = "by_key", "all", 3000
	s["classes"] = append(s["classes"].([]any), map[string]any{"name": "moves", "aimMs": 100, "hardLimitMs": 300, "effect": "once", "value": 3})
	r.config["settings"] = s
	r.reload(console)

	first.Reply("BROKE", "-", "") // may be retried under the rules of its arrival
	serveHit(receive(t, pending))
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request open during the reload: answer %+v, want no error", a)
	}
	r.setHandler(serveHit)
	for _, class := range []string{"maps", "images", "moves"} {
		c.send(class, object, 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Errorf("class %s after the reload: answer %+v, want no error", class, a)
		}
	}
	c.send("films", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "Lost" {
		t.Errorf("film without an idempotency key, which films need after the reload: answer %+v, want error Lost", a)
	}
	// An attempt that may have run is not retried, and the error does not allow the client to repeat it.
	r.setHandler(func(a *storeRequest) { a.Reply("BROKE", "-", "") })
	c.send("moves", "00000000000000aa", 2*time.Second, "")
	if a := c.readAnswer(); a.err != "Lost" || len(r.storeRequests("00000000000000aa")) != 1 {
		t.Errorf("class moves after a store error: answer %+v, sent %d times; want error Lost, sent once", a, len(r.storeRequests("00000000000000aa")))
	}
	got := r.consoleStats(console)
	for name, n := range map[string]int{"success.images": 2, "success.maps": 1, "success.moves": 1, "error.moves": 1, "error.films": 1} {
		if got[name] != n {
			t.Errorf("statistic %s: got %d, want %d", name, got[name], n)
		}
	}
	eventually(t, "requests of the removed class are rejected", func() bool {
		c.send("images", object, time.Second, "")
		return c.readAnswer().err == "Backoff"
	})
}

// Guards against a reload that is rejected because a class that it adds has left out an optional key, which all earlier
// classes have: the gateway would stay with an address at which the journal service tells nothing more, and hear of no
// purge.
func TestReloadAddsClassWithoutOptionalKey(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	full, s := testSettings(t), testSettings(t)
	s["classes"] = s["classes"].([]any)[:2] // films and images, which have the optional key aimStretch, and orders has not
	r.config["settings"] = s
	r.start()

	second := newJournal(t)
	r.config["journal"], r.config["settings"] = second.Addr, full
	r.reload(console)
	receive(t, second.Connected)
	second.Publish(2, `"expire":{"name":"`+object+`","stamp":1}`)
	eventually(t, "the purge of the new journal has been processed", func() bool { return r.counter("purges") == 1 })
	c := r.client()
	c.send("orders", object, 2*time.Second, "", "unique", "key")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request of the added class: answer %+v, want no error", a)
	}
}

// A reload that lowers the number of attempts must apply to new requests only; open ones keep the old limit.
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
		t.Errorf("request open during the reload: answer %+v, sent %d times; want no error, sent 3 times", a, len(r.storeRequests(object)))
	}
	c.send("films", "00000000000000bb", 5*time.Second, "")
	receive(t, pending).Reply("WAIT", "-", "")
	if a := c.readAnswer(); a.err != "Backoff" || len(r.storeRequests("00000000000000bb")) != 1 {
		t.Errorf("request limited to one attempt: answer %+v, sent %d times; want error Backoff, sent once", a, len(r.storeRequests("00000000000000bb")))
	}
}

// A reload of an invalid file must change nothing, neither classes nor the journal's address, and its log line must name
// the fault.
func TestInvalidReloadChangesNothing(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	unusedAddr := freeAddr(t)
	faults := []struct {
		name, wantText string
		change         func(config, settings map[string]any)
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
		{"a null deadline", "hardLimitMs", func(_, s map[string]any) { classesByName(s)["films"]["hardLimitMs"] = nil }},
		{"a deadline as text", "hardLimitMs", func(_, s map[string]any) { classesByName(s)["films"]["hardLimitMs"] = "5000" }},
		{"no attempts", "sendCap", func(_, s map[string]any) { s["limits"].(map[string]any)["sendCap"] = 0 }},
		{"negative attempts", "sendCap", func(_, s map[string]any) { s["limits"].(map[string]any)["sendCap"] = -1 }},
		{"duplicate class", "duplicate Name", func(_, s map[string]any) { classesByName(s)["films"]["name"] = "images" }},
		{"no journal address", "journal", func(c, _ map[string]any) { delete(c, "journal") }},
		{"no name", "name", func(c, _ map[string]any) { delete(c, "name") }},
	}
	good := r.config
	for i, f := range faults {
		s, config := testSettings(t), map[string]any{}
		for k, v := range good {
			config[k] = v
		}
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": "maps", "aimMs": 100, "hardLimitMs": 300, "effect": "once", "value": 3})
		config["journal"], config["settings"] = unusedAddr, s
		f.change(config, s)
		r.config = config
		r.writeConfig()
		r.log.Reset()
		r.signal(syscall.SIGHUP)
		if line := r.waitForLog("msg=\"reload rejected\""); !strings.Contains(line, f.wantText) {
			t.Errorf("%s: the log line of the rejected reload does not contain wantText of this case: %s", f.name, line)
		}
		if got := r.consoleStats(console); got["reload_failure"] != i+1 || got["reload_success"] != 0 {
			t.Errorf("%s: %d reloads rejected, %d accepted; want one more rejected, none accepted", f.name, got["reload_failure"], got["reload_success"])
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
		t.Error("request of class maps, which only the rejected files have, was served, want an error")
	}
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	eventually(t, "the event of the unchanged journal has been processed", func() bool { return r.counter("journal_events") == 1 })
	if n := r.counter("journal_connects"); n != 1 {
		t.Errorf("%d connections to the journal, want 1", n)
	}
}

// Guards against a memory limit that is too small without a word: the start must name the key and the least that will do, and the
// program must serve all the same.
func TestSmallMemoryLimitIsNamed(t *testing.T) {
	r := newRig(t)
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 24, "sockets": 512}
	r.start()
	line := r.waitForLog("msg=\"memory limit small\"")
	if !strings.Contains(line, "limits.memory_mb") || !strings.Contains(line, "the least that will do is 30") {
		t.Errorf("log line %q, want the key limits.memory_mb and the least limit, 30", line)
	}
	c := r.client()
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("answer %+v with a small memory limit, want no error", a)
	}
}
