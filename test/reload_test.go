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

// SIGHUP ended the program, since nobody minded it. It must take the journal's new address at once and go on after
// the latest event, while requests and connections stay as they are.
func TestReloadChangesJournalAddress(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	eventually(t, "the event is read", func() bool { return r.counter("purges") == 1 })
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
		t.Errorf("resumed after %q", id)
	}
	second.Publish(2, `"expire":{"set":40,"stamp":1}`) // told again
	second.Publish(3, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c1", "DRAINING")+`]}`)
	eventually(t, "the new journal is read", func() bool { return r.counter("journal_events") == 2 })

	r.setHandler(serveHit)
	serveHit(a)
	if got := c.readAnswer(); got.err != "" || got.body != content(object, "3") {
		t.Errorf("open across the reload: %+v", got)
	}
	c.send("images", "00000000000000dd", 2*time.Second, "")
	if got := c.readAnswer(); got.err != "" {
		t.Errorf("on the same connection: %+v", got)
	}
	for _, a := range r.storeRequests("00000000000000dd") {
		if a.Store.Name == "c1" {
			t.Error("a store that the new journal drains was asked")
		}
	}
}

// A faulty file is logged, and all stays as it was; the next good one is taken.
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
	if err := os.WriteFile(r.path, []byte(`{"listen":`), 0o600); err != nil { // half written
		t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	r.waitForLog("msg=\"reload rejected\"")
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	eventually(t, "the old journal is read", func() bool { return r.counter("journal_events") == 1 })

	r.config["journal"], r.config["seed"] = good, "1" // the same address: its connection stays
	r.writeConfig()
	r.signal(syscall.SIGHUP)
	if line := r.waitForLog("msg=\"reload needs restart\""); !strings.Contains(line, "keys=seed") {
		t.Error(line)
	}
	eventually(t, "it is taken", func() bool { return r.counter("reloads") == 1 })
	if n := r.counter("journal_connects"); n != 1 {
		t.Errorf("%d connections to the journal", n)
	}
	c := r.client()
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("%+v", a)
	}
}

// A signed front that a newer file has no more ends: what was admitted is answered, and then nothing is, by the old keys or at all; the
// other front goes on, and a file that has it again says that this takes a start. What comes with the reload's signal is forced to
// be open: the store holds its answer.
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
		t.Fatalf("status %d", status)
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
		t.Errorf("an idle connection: %d bytes, %v", n, err)
	}
	serveHit(a)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d for what was admitted before", status)
	}
	if n, err := busy.r.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection behind its last answer: %d bytes, %v", n, err)
	}
	if conn, err := loopback.Dial(addr); err == nil {
		loopback.Close(conn)
		t.Error("it still takes connections")
	}
	c := r.client()
	c.send("images", "00000000000000ee", 2*time.Second, "")
	if got := c.readAnswer(); got.err != "" {
		t.Errorf("on the other front: %+v", got)
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

// The signed front takes its keys anew: a dropped one is refused from then on, on open connections too.
func TestReloadReplacesSigningKeys(t *testing.T) {
	r, addr := signedRig(t, "")
	w := newHTTPConn(t, addr)
	uri := strings.TrimPrefix(signer(t, signedKeys, "old")(signedurl.Order{Target: "/films/" + object + "/3?shard=17",
		Expiry: time.Now().Add(time.Minute)}), base)
	if status, _, _ := w.get("GET", uri); status != http.StatusOK {
		t.Fatalf("status %d", status)
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
		t.Errorf("status %d for a dropped key", status)
	}
}
