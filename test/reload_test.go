package test

import (
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/loopback"
	"larchusher/signedurl"
)

// On SIGHUP the program must connect to the journal's new address at once and resume after the latest event, while open
// requests and connections continue. An earlier version did not handle SIGHUP, which killed it.
func TestReloadChangesJournalAddress(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	eventually(t, "the purge has been processed", func() bool { return r.counter("purges") == 1 })
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	a := receive(t, pending)

	second := newJournal(t)
	r.config["journal"] = second.Addr
	r.writeConfig()
	r.signal(syscall.SIGHUP)
	if id := receive(t, second.Connected); id != "2" {
		t.Errorf("the new journal connection resumes after event %q, want 2", id)
	}
	second.Publish(2, `"expire":{"set":40,"stamp":1}`) // sent again
	second.Publish(3, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c1", "DRAINING")+`]}`)
	eventually(t, "the event of the new journal has been processed", func() bool { return r.counter("journal_events") == 2 })

	r.setHandler(serveHit)
	serveHit(a)
	if got := c.readAnswer(); got.err != "" || got.body != content(object, "3") {
		t.Errorf("request open during the reload: answer %+v, want the content", got)
	}
	c.send("images", "00000000000000dd", 2*time.Second, "")
	if got := c.readAnswer(); got.err != "" {
		t.Errorf("request after the reload on the same connection: answer %+v, want no error", got)
	}
	for _, a := range r.storeRequests("00000000000000dd") {
		if a.Store.Name == "c1" {
			t.Error("the draining store c1 received the request for object 00000000000000dd after the reload, want it at another store")
		}
	}
}

// An invalid or truncated configuration file must be logged and change nothing; the next valid one must be accepted.
func TestReloadRejectsInvalidFile(t *testing.T) {
	r := newRig(t).start()
	good := r.config["journal"]
	for _, fault := range []string{"nowhere", ""} {
		r.config["journal"] = fault
		r.writeConfig()
		r.signal(syscall.SIGHUP)
		if line := r.waitForLog("msg=\"reload rejected\""); !strings.Contains(line, "journal") {
			t.Error(line)
		}
		r.log.Reset()
	}
	if err := os.WriteFile(r.path, []byte(`{"listen":`), 0o600); err != nil { // truncated
		t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	r.waitForLog("msg=\"reload rejected\"")
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	eventually(t, "the event of the unchanged journal has been processed", func() bool { return r.counter("journal_events") == 1 })

	r.config["journal"], r.config["seed"] = good, "1" // same journal address: its connection is kept
	r.writeConfig()
	r.signal(syscall.SIGHUP)
	if line := r.waitForLog("msg=\"reload needs restart\""); !strings.Contains(line, "keys=seed") {
		t.Error(line)
	}
	eventually(t, "the reload is counted", func() bool { return r.counter("reloads") == 1 })
	if n := r.counter("journal_connects"); n != 1 {
		t.Errorf("%d connections to the journal, want 1", n)
	}
	c := r.client()
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request after the reloads: answer %+v, want no error", a)
	}
}

// When a reloaded operator's file no longer contains the signed front, that front must close: admitted requests are
// answered, idle connections are closed and no new ones accepted. The platform front continues, and adding the signed
// front again is logged as needing a restart. One request is open during the reload, because the store withholds its
// answer.
func TestReloadClosesRemovedSignedFront(t *testing.T) {
	r, addr := signedRig(t, "")
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) {
		if a.Fields["name"] == object {
			pending <- a
			return
		}
		serveHit(a)
	})
	sign := signer(t, signedKeys, "old")
	uri := func(object string) string {
		return strings.TrimPrefix(sign(signedurl.Order{Target: "/films/" + object + "/3?shard=17", Expiry: time.Now().Add(time.Minute)}), base)
	}
	busy, idle := newHTTPConn(t, addr), newHTTPConn(t, addr)
	if status, _, _ := idle.get("GET", uri("00000000000000dd")); status != http.StatusOK {
		t.Fatalf("request before the reload: status %d, want 200", status)
	}
	answered := make(chan int, 1)
	go func() {
		status, _, _ := busy.get("GET", uri(object))
		answered <- status
	}()
	a := <-pending

	file, err := os.ReadFile(r.args[2])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(r.args[2], []byte("# nothing\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	r.waitForLog("msg=\"reload closed the signed front\"")
	if n, err := idle.r.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection after the reload: read %d bytes, error %v; want the end of the connection", n, err)
	}
	serveHit(a)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("request admitted before the reload: status %d, want 200", status)
	}
	if n, err := busy.r.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection after its last answer: read %d bytes, error %v; want the end of the connection", n, err)
	}
	if conn, err := loopback.Dial(addr); err == nil {
		loopback.Close(conn)
		t.Error("the removed signed front still accepts connections")
	}
	c := r.client()
	c.send("images", "00000000000000ee", 2*time.Second, "")
	if got := c.readAnswer(); got.err != "" {
		t.Errorf("request on the platform front: answer %+v, want no error", got)
	}
	if err := os.WriteFile(r.args[2], file, 0o600); err != nil {
		t.Fatal(err)
	}
	r.log.Reset()
	r.signal(syscall.SIGHUP)
	if line := r.waitForLog("msg=\"reload needs restart\""); !strings.Contains(line, "signed_front") {
		t.Error(line)
	}
}

// A reload must replace the keys of the signed front: tokens of a removed key are rejected afterwards, on open
// connections too.
func TestReloadReplacesSigningKeys(t *testing.T) {
	r, addr := signedRig(t, "")
	w := newHTTPConn(t, addr)
	uri := strings.TrimPrefix(signer(t, signedKeys, "old")(signedurl.Order{Target: "/films/" + object + "/3?shard=17",
		Expiry: time.Now().Add(time.Minute)}), base)
	if status, _, _ := w.get("GET", uri); status != http.StatusOK {
		t.Fatalf("request before the reload: status %d, want 200", status)
	}
	file, err := os.ReadFile(r.args[2])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(r.args[2], []byte(strings.Replace(string(file), `"old"`, `"older"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	r.waitForLog("msg=reloaded")
	if status, _, _ := w.get("GET", uri); status != http.StatusForbidden {
		t.Errorf("token of a removed key: status %d, want 403", status)
	}
}

// Guards against a fault in one of the two files that keeps the other from being applied: while an operator's file is
// faulty the journal service's new address must be used, and while the platform's file is faulty a key that was removed from
// the operator's must be rejected. A reload with a faulty file counts as rejected.
func TestReloadAppliesOneFileDespiteFaultInOther(t *testing.T) {
	var console string
	r, addr := signedRig(t, "", func(r *rig) { console = r.withConsole() })
	w := newHTTPConn(t, addr)
	uri := strings.TrimPrefix(signer(t, signedKeys, "old")(signedurl.Order{Target: "/films/" + object + "/3?shard=17",
		Expiry: time.Now().Add(time.Minute)}), base)
	status := func() int {
		status, _, _ := w.get("GET", uri)
		return status
	}
	operatorFile, err := os.ReadFile(r.args[2])
	if err != nil {
		t.Fatal(err)
	}
	writeOperatorFile := func(text string) {
		t.Helper()
		if err := os.WriteFile(r.args[2], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	second := newJournal(t)
	r.config["journal"] = second.Addr
	r.writeConfig()
	writeOperatorFile("signed_front {")
	r.signal(syscall.SIGHUP)
	if line := r.waitForLog("msg=\"reload rejected\""); !strings.Contains(line, r.args[2]) || !strings.Contains(line, "platform's file was applied") {
		t.Errorf("reload with a faulty operator's file: log line %s; want it to name that file, and that the other was applied", line)
	}
	receive(t, second.Connected)
	if got := status(); got != http.StatusOK {
		t.Errorf("signed request after a reload with a faulty operator's file: status %d, want 200 by the former keys", got)
	}

	r.log.Reset()
	r.config["journal"] = "nowhere"
	r.writeConfig()
	writeOperatorFile(strings.Replace(string(operatorFile), `"old"`, `"older"`, 1))
	r.signal(syscall.SIGHUP)
	if line := r.waitForLog("msg=\"reload rejected\""); !strings.Contains(line, "journal") || !strings.Contains(line, "operator's file was applied") {
		t.Errorf("reload with a faulty platform's file: log line %s; want it to name the key, and that the other file was applied", line)
	}
	if got := status(); got != http.StatusForbidden {
		t.Errorf("token of a removed key after a reload with a faulty platform's file: status %d, want 403", got)
	}
	second.Publish(2, `"expire":{"set":40,"stamp":1}`)
	eventually(t, "the event of the journal in use has been processed", func() bool { return r.counter("purges") == 1 })
	if got := r.consoleStats(console); got["reload_success"] != 0 || got["reload_failure"] != 2 {
		t.Errorf("%d reloads accepted, %d rejected; want 0 and 2", got["reload_success"], got["reload_failure"])
	}
}
