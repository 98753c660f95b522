package test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/loopback"
)

// startSuccessor starts a second process of the same gateway with the same files and a console of its own, and waits until
// it is ready to accept clients.
func (r *rig) startSuccessor() (second *rig, console string) { return r.startSuccessorVersion("") }

// startSuccessorVersion is startSuccessor with another executable; empty: the one that TestMain built.
func (r *rig) startSuccessorVersion(version string) (second *rig, console string) {
	r.t.Helper()
	console = freeAddr(r.t)
	other := *r
	second = &other
	second.program = version
	second.env = append(append([]string{}, r.env...), "BALANCER_CONSOLE="+console)
	second.startProcess()
	eventually(r.t, "the successor accepts clients", func() bool {
		conn, err := loopback.Dial(console)
		if err != nil {
			return false
		}
		loopback.Close(conn)
		return second.consoleCall(console, "READY")[0] == "ok"
	})
	return second, console
}

// withSharedTempDir gives all processes of a rig one temporary directory, in which they find each other's sockets. It must
// be called before start.
func (r *rig) withSharedTempDir() *rig {
	r.env = append(r.env, "TMPDIR="+r.t.TempDir())
	return r
}

// waitExit waits until the program has exited and returns the result of Cmd.Wait. It fails the test after eventTimeout.
func (r *rig) waitExit() error {
	r.t.Helper()
	select {
	case err := <-r.exited:
		return err
	case <-time.After(eventTimeout):
		r.t.Fatal("the process has not exited within eventTimeout")
		return nil
	}
}

// A successor must take over from its predecessor. It must know the events that the predecessor received from a journal
// that is unreachable by then, and serve all new connections. The predecessor must answer its open requests, close its idle
// connections and exit.
func TestSuccessorTakesOver(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 100)
	r.setHandler(func(a *storeRequest) { pending <- a })
	busy, idle := r.client(), r.client()
	busy.send("films", object, 5*time.Second, "")
	open := receive(t, pending)
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c1", "DRAINING")+`]}`)
	eventually(t, "the predecessor has processed the drain", func() bool { return r.counter("journal_events") == 1 })
	r.journal.Close()

	second, console := r.startSuccessor()
	second.waitForLog("msg=\"upgrade: taking over\"")
	if got := second.consoleStats(console); got["targets"] != 4 || got["targets_disabled"] != 1 {
		t.Errorf("the successor knows %d endpoints, %d of them disabled; want 4 and 1", got["targets"], got["targets_disabled"])
	}
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	idle.expectClosed()
	r.setHandler(serveHit)
	for i := range 40 {
		c := r.client()
		c.send("images", fmt.Sprintf("%016x", i), 5*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("request on new connection %d: answer %+v, want no error", i, a)
		}
		loopback.Close(c.conn)
	}
	for _, a := range r.storeRequests("") {
		if a.Store.Name == "c1" && a.Fields["name"] != object {
			t.Error("store c1, which the predecessor knew to be draining, received a request, want none there")
		}
	}
	serveHit(open)
	if a := busy.readAnswer(); a.err != "" || a.body != content(object, "3") {
		t.Errorf("request open during the upgrade: answer %+v, want the content", a)
	}
	busy.expectClosed()
	if err := r.waitExit(); err != nil {
		t.Errorf("the predecessor exited with %v, want status 0", err)
	}
	second.waitForLog("msg=\"upgrade: predecessor has ended\"")
}

// upgradeRounds is the number of consecutive upgrades in TestUpgradesLoseNoRequests, unless the environment variable
// UPGRADES gives another.
const upgradeRounds = 5

// Clients that send requests continuously, on reused and on new connections, must lose none during several upgrades. A
// request that crosses the close of its connection is sent once more, as the protocol requires. If the environment variable
// FORMER_PROGRAM names another version of the program, every other process is of that version, so that upgrades go to it
// and back.
func TestUpgradesLoseNoRequests(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	stop, failed := make(chan struct{}), make(chan string, 100)
	first := *r // all processes have one address; r changes below
	var all sync.WaitGroup
	for n := range 6 {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := first.sendUntilStopped(n, stop); err != nil {
				failed <- fmt.Sprintf("client %d failed: %v", n, err)
			}
		}()
	}
	rounds := upgradeRounds
	if n, err := strconv.Atoi(os.Getenv("UPGRADES")); err == nil {
		rounds = n
	}
	for round := range rounds {
		version := ""
		if round%2 == 0 {
			version = os.Getenv("FORMER_PROGRAM")
		}
		second, _ := r.startSuccessorVersion(version)
		r.signal(syscall.SIGTERM)
		if err := r.waitExit(); err != nil {
			t.Errorf("a predecessor exited with %v, want status 0", err)
		}
		*r = *second
	}
	close(stop)
	all.Wait()
	close(failed)
	for f := range failed {
		t.Error(f)
	}
}

// sendUntilStopped sends one request after the other until stop is closed, and opens a new connection after every third. A
// request that fails within 50 ms of its sending is sent once more; any other failure is returned. The number n, different
// for each client, makes the requests' ids unique.
func (r *rig) sendUntilStopped(n int, stop <-chan struct{}) error {
	var conn net.Conn
	defer func() {
		if conn != nil {
			loopback.Close(conn)
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		retried := false
		for {
			if conn == nil {
				var err error
				if conn, err = loopback.Dial(r.addr); err != nil {
					return err
				}
			}
			sent := time.Now()
			err := sendOneRequest(conn, n<<20|i)
			if err == nil {
				break
			}
			loopback.Close(conn)
			conn = nil
			if retried || time.Since(sent) > 50*time.Millisecond {
				return fmt.Errorf("request %d failed after %v (second try: %v): %w", i, time.Since(sent), retried, err)
			}
			retried = true
		}
		if i%3 == 2 {
			loopback.Close(conn)
			conn = nil
		}
	}
}

// sendOneRequest requests a part on a connection and returns an error unless the answer is a success.
func sendOneRequest(conn net.Conn, number int) error {
	txn := fmt.Sprintf("%016x", number)
	fields := []string{"txn", txn, "limit", "5000", "item", txn, "n", "3", "shard", "17"}
	b := append([]byte{0x94, 0, 1}, packString("images")...)
	b = append(append(b, 0x92), packFields(fields)...)
	b = append(b, 0xc4, 0)
	if _, err := conn.Write(b); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(eventTimeout))
	v, err := unpack(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if m := v.([]any); m[1].(int) != 1 || m[2] != nil {
		return fmt.Errorf("got answer %.100v, want id 1 without an error", m)
	}
	return nil
}

// If a successor is killed, its predecessor must continue to serve; if a predecessor is killed, its successor must take
// over. SIGTERM without a successor must still serve what arrives and exit.
func TestKillsDuringUpgrade(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	second, _ := r.startSuccessor()
	if err := second.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	r.waitForLog("msg=\"upgrade: successor has ended\"")
	third, _ := r.startSuccessor()
	if err := r.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	third.waitForLog("msg=\"upgrade: predecessor has ended\"")
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request after the predecessor was killed: answer %+v, want no error", a)
	}
	// Without a successor, SIGTERM drains as usual.
	third.signal(syscall.SIGTERM)
	c.send("images", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request after SIGTERM without a successor: answer %+v, want no error", a)
	}
	if err := third.waitExit(); err != nil {
		t.Error(err)
	}
}

// Predecessor and successor together must not exceed the budget of a cold store. After the state is handed over, the cold
// store must get no requests for a whole overload window (the test checks the first four fifths of it), and then get some
// again.
func TestUpgradeKeepsColdStoreBudget(t *testing.T) {
	const window = 2 * time.Second // settings.invariants.overloadForMs
	r := newRig(t).withSharedTempDir()
	coldEndpoint := strings.Replace(r.endpointJSON("c1", "SERVING"), `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, time.Now().UnixMilli()), 1)
	r.start()
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+coldEndpoint+`]}`)
	eventually(t, "the gateway has processed the cold start", func() bool { return r.counter("journal_events") == 1 })
	coldRequests := func() (n int) {
		for _, a := range r.storeRequests("") {
			if a.Store.Name == "c1" {
				n++
			}
		}
		return n
	}
	number := 0
	load := func(enough func() bool) { // 200 requests per second, each for a new object
		for end := time.Now().Add(eventTimeout); !enough(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no request reached the cold store within the time limit, want some")
			}
			c := r.client()
			number++
			c.send("images", fmt.Sprintf("%016x", number), 2*time.Second, "")
			c.readAnswer()
			loopback.Close(c.conn)
		}
	}
	load(func() bool { return coldRequests() > 0 })
	r.startSuccessor()
	r.waitForLog("msg=\"upgrade: handing over\"") // logged a moment ago
	before, until := coldRequests(), time.Now().Add(window*4/5)
	load(func() bool { return time.Now().After(until) })
	if n := coldRequests() - before; n != 0 {
		t.Errorf("%d requests reached the cold store within the window after the handover, want 0", n)
	}
	r.signal(syscall.SIGTERM)
	load(func() bool { return coldRequests() > before })
}

// If the Unix socket for the handover cannot be created, here because its path is too long, the successor must listen on
// the same address beside its predecessor.
func TestUpgradeWithoutUnixSockets(t *testing.T) {
	r := newRig(t)
	folder := filepath.Join(t.TempDir(), strings.Repeat("long", 25))
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	r.env = append(r.env, "TMPDIR="+folder)
	r.start()
	second, _ := r.startSuccessor()
	second.waitForLog("msg=\"upgrade: sockets not handed over\"")
	second.waitForLog("msg=\"upgrade: taking over\"")
	r.signal(syscall.SIGTERM)
	if err := r.waitExit(); err != nil {
		t.Error(err)
	}
	c := second.client()
	c.send("films", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request to the last process: answer %+v, want no error", a)
	}
}

// A third process that starts while the first one still has open requests must wait until the first has exited, and then
// take over from the second.
func TestThirdProcessWaitsForPredecessorExit(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	open := receive(t, pending)
	second, _ := r.startSuccessor()
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	third := *second
	third.startProcess()
	r.setHandler(serveHit)
	serveHit(open)
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request open during two upgrades: answer %+v, want no error", a)
	}
	if err := r.waitExit(); err != nil {
		t.Error(err)
	}
	second.waitForLog("msg=\"upgrade: predecessor has ended\"")
	third.waitForLog("msg=\"upgrade: taking over\"")
	third.waitForLog("msg=serving")
	second.signal(syscall.SIGTERM)
	if err := second.waitExit(); err != nil {
		t.Error(err)
	}
	c = third.client()
	c.send("images", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request to the last process: answer %+v, want no error", a)
	}
}
