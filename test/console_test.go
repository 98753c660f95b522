package test

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"larchusher/lab/loopback"
)

// consoleTimeout is how long an operator waits for a reply.
const consoleTimeout = time.Second

// withConsole gives the program a second address, and returns it.
func (r *rig) withConsole() string {
	addr := freeAddr(r.t)
	r.config["console"] = addr
	return addr
}

// consoleCall makes one call at the second address and returns the lines of its reply.
func (r *rig) consoleCall(addr, name string) (lines []string) {
	r.t.Helper()
	conn, err := loopback.DialTimeout(addr, consoleTimeout)
	if err != nil {
		r.t.Fatal(err)
	}
	defer loopback.Close(conn)
	_ = conn.SetDeadline(time.Now().Add(consoleTimeout))
	if _, err := conn.Write([]byte(name + "\n")); err != nil {
		r.t.Fatal(err)
	}
	in := bufio.NewScanner(conn)
	for in.Scan() {
		lines = append(lines, in.Text())
	}
	if in.Err() != nil {
		r.t.Fatalf("%s: %v after %q", name, in.Err(), lines)
	}
	return lines
}

// consoleStats asks for the figures and returns them by name, without their prefix.
func (r *rig) consoleStats(addr string) map[string]int {
	r.t.Helper()
	lines, all := r.consoleCall(addr, "STATS"), map[string]int{}
	if len(lines) == 0 || lines[len(lines)-1] != "eof" {
		r.t.Fatalf("no end: %q", lines)
	}
	for _, line := range lines[:len(lines)-1] {
		name, rest, ok := strings.Cut(strings.TrimPrefix(line, "balancer."), ":")
		value, kind, typed := strings.Cut(rest, "|")
		n, err := strconv.Atoi(value)
		if !ok || !typed || err != nil || kind != "c" && kind != "g" {
			r.t.Fatalf("the line %q", line)
		}
		all[name] = n
	}
	return all
}

// Each final answer is counted for its class as its client saw it; what is open, listed and avoided is told as it stands.
func TestConsoleStatsMatchClientAnswers(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	if got := r.consoleCall(console, "READY"); len(got) != 1 || !strings.HasPrefix(got[0], "ok") {
		t.Errorf("READY: %q", got)
	}
	if got := r.consoleCall(console, "OPEN"); len(got) != 1 || !strings.HasPrefix(got[0], "fail") {
		t.Errorf("an unknown call: %q", got)
	}
	c := r.client()
	for range 3 {
		c.send("films", object, 2*time.Second, "")
		c.readAnswer()
	}
	c.send("orders", object, 2*time.Second, "no key")
	if a := c.readAnswer(); a.err != "Lost" {
		t.Errorf("without a key: %+v", a)
	}
	c.send("images", "not an id", 2*time.Second, "")
	if a := c.readAnswer(); a.err != "Lost" {
		t.Errorf("an object of no name: %+v", a)
	}
	pending := make(chan *storeRequest, 100)
	r.setHandler(func(a *storeRequest) { pending <- a })
	for range 33 { // one more than a connection may have open
		c.send("images", object, 5*time.Second, "")
	}
	if a := c.readAnswer(); a.err != "Backoff" {
		t.Errorf("the 33rd: %+v", a)
	}
	for range 32 {
		receive(t, pending)
	}
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c2", "DRAINING")+`]}`)
	eventually(t, "the drain is heard of", func() bool { return r.consoleStats(console)["targets_disabled"] == 1 })
	want := map[string]int{"success.films": 3, "overload.films": 0, "error.films": 0, "success.images": 0, "overload.images": 1,
		"error.images": 1, "success.orders": 0, "overload.orders": 0, "error.orders": 1, "dispatches": 35, "concurrent": 32,
		"targets": 4, "targets_disabled": 1, "reload_success": 0, "reload_failure": 0}
	got := r.consoleStats(console)
	for name, n := range want {
		if v, ok := got[name]; !ok || v != n {
			t.Errorf("%s is %d, told: %v; want %d", name, v, ok, n)
		}
	}
	if len(got) != len(want) {
		t.Errorf("figures: %v", got)
	}
}

// A hundred calls at once are answered, each within its second; a line that does not end, and one of another kind, end or fail.
func TestConsoleServesConcurrentCalls(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	long, err := loopback.Dial(console)
	if err != nil {
		t.Fatal(err)
	}
	defer loopback.Close(long)
	if _, err := long.Write([]byte(strings.Repeat("READY ", 100))); err != nil {
		t.Fatal(err)
	}
	_ = long.SetReadDeadline(time.Now().Add(eventTimeout))
	if n, _ := long.Read(make([]byte, 1)); n != 0 {
		t.Error("a line that does not end is answered")
	}
	failed := make(chan string, 100)
	var all sync.WaitGroup
	for range 100 {
		all.Add(1)
		go func() {
			defer all.Done()
			conn, err := loopback.DialTimeout(console, consoleTimeout)
			if err != nil {
				failed <- err.Error()
				return
			}
			defer loopback.Close(conn)
			_ = conn.SetDeadline(time.Now().Add(consoleTimeout))
			if _, err := conn.Write([]byte("STATS\n")); err != nil {
				failed <- err.Error()
				return
			}
			if reply, err := io.ReadAll(conn); err != nil || !strings.HasSuffix(string(reply), "eof\n") {
				failed <- fmt.Sprintf("%q, %v", reply, err)
			}
		}()
	}
	all.Wait()
	close(failed)
	for f := range failed {
		t.Error(f)
	}
}

// Callers that complete no call take no slot from one that does.
func TestSilentConsoleCallersDoNotBlockOthers(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	for i := range 40 {
		conn, err := loopback.Dial(console)
		if err != nil {
			t.Fatal(err)
		}
		defer loopback.Close(conn)
		if i%2 == 0 {
			_, _ = conn.Write([]byte("STA"))
		}
	}
	for range 5 {
		if got := r.consoleCall(console, "READY"); len(got) != 1 || got[0] != "ok" {
			t.Errorf("READY: %q", got)
		}
	}
	r.consoleStats(console)
}
