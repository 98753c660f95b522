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

// consoleTimeout is the time limit for one command on the console, from dialling to the end of the reply.
const consoleTimeout = time.Second

// withConsole configures a console on an unused address and returns the address. It must be called before start.
func (r *rig) withConsole() string {
	addr := freeAddr(r.t)
	r.config["console"] = addr
	return addr
}

// consoleCall sends one command to the console at addr and returns the lines of the reply.
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
		r.t.Fatalf("reading the reply to console command %s failed: %v, after the lines %q", name, in.Err(), lines)
	}
	return lines
}

// consoleStats sends STATS to the console and returns the values by name, without the prefix "balancer.".
func (r *rig) consoleStats(addr string) map[string]int {
	r.t.Helper()
	lines, all := r.consoleCall(addr, "STATS"), map[string]int{}
	if len(lines) == 0 || lines[len(lines)-1] != "eof" {
		r.t.Fatalf("STATS reply does not end with eof: %q", lines)
	}
	for _, line := range lines[:len(lines)-1] {
		name, rest, ok := strings.Cut(strings.TrimPrefix(line, "balancer."), ":")
		value, kind, typed := strings.Cut(rest, "|")
		n, err := strconv.Atoi(value)
		if !ok || !typed || err != nil || kind != "c" && kind != "g" {
			r.t.Fatalf("malformed line in the STATS reply: %q", line)
		}
		all[name] = n
	}
	return all
}

// STATS must count each final answer under its class with the outcome that the client saw, and report the current numbers
// of open requests, endpoints and unusable endpoints. An unknown console command must fail.
func TestConsoleStatsMatchClientAnswers(t *testing.T) {
	r := newRig(t)
	console := r.withConsole()
	r.start()
	if got := r.consoleCall(console, "READY"); len(got) != 1 || !strings.HasPrefix(got[0], "ok") {
		t.Errorf("reply to READY: %q, want one line that begins with ok", got)
	}
	if got := r.consoleCall(console, "OPEN"); len(got) != 1 || !strings.HasPrefix(got[0], "fail") {
		t.Errorf("reply to an unknown command: %q, want one line that begins with fail", got)
	}
	c := r.client()
	for range 3 {
		c.send("films", object, 2*time.Second, "")
		c.readAnswer()
	}
	c.send("orders", object, 2*time.Second, "no key")
	if a := c.readAnswer(); a.err != "Lost" {
		t.Errorf("order without an idempotency key: answer %+v, want error Lost", a)
	}
	c.send("images", "not an id", 2*time.Second, "")
	if a := c.readAnswer(); a.err != "Lost" {
		t.Errorf("invalid object name: answer %+v, want error Lost", a)
	}
	pending := make(chan *storeRequest, 100)
	r.setHandler(func(a *storeRequest) { pending <- a })
	for range 33 { // one more than a client connection may have open
		c.send("images", object, 5*time.Second, "")
	}
	if a := c.readAnswer(); a.err != "Backoff" {
		t.Errorf("33rd open request on a connection: answer %+v, want error Backoff", a)
	}
	for range 32 {
		receive(t, pending)
	}
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c2", "DRAINING")+`]}`)
	eventually(t, "the gateway has processed the drain", func() bool { return r.consoleStats(console)["targets_disabled"] == 1 })
	want := map[string]int{"success.films": 3, "overload.films": 0, "error.films": 0, "success.images": 0, "overload.images": 1,
		"error.images": 1, "success.orders": 0, "overload.orders": 0, "error.orders": 1, "dispatches": 35, "concurrent": 32,
		"targets": 4, "targets_disabled": 1, "reload_success": 0, "reload_failure": 0}
	got := r.consoleStats(console)
	for name, n := range want {
		if v, ok := got[name]; !ok || v != n {
			t.Errorf("statistic %s: got %d (reported: %v), want %d", name, v, ok, n)
		}
	}
	if len(got) != len(want) {
		t.Errorf("STATS reports other names than the expected ones: %v", got)
	}
}

// 100 simultaneous STATS commands must each get a complete reply within a second. A line without an
// end must get no reply.
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
		t.Error("the console answered a line without an end, want no reply")
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

// Console connections that send no complete command must not keep later ones from being served.
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
			t.Errorf("reply to READY beside 40 silent connections: %q, want ok", got)
		}
	}
	r.consoleStats(console)
}
