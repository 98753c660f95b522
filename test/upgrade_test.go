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

// startSuccessor starts another process of the same gateway with the same files, and waits until it says that it takes clients.
func (r *rig) startSuccessor() (second *rig, console string) { return r.startSuccessorVersion("") }

// startSuccessorVersion is beside with another version of the program; empty: the one that was built.
func (r *rig) startSuccessorVersion(version string) (second *rig, console string) {
	r.t.Helper()
	console = freeAddr(r.t)
	other := *r
	second = &other
	second.program = version
	second.env = append(append([]string{}, r.env...), "BALANCER_CONSOLE="+console)
	second.startProcess()
	eventually(r.t, "the new process takes clients", func() bool {
		conn, err := loopback.Dial(console)
		if err != nil {
			return false
		}
		loopback.Close(conn)
		return second.consoleCall(console, "READY")[0] == "ok"
	})
	return second, console
}

// withSharedTempDir gives the processes of a rig one temporary folder.
func (r *rig) withSharedTempDir() *rig {
	r.env = append(r.env, "TMPDIR="+r.t.TempDir())
	return r
}

// waitExit waits until the program has ended, and says how.
func (r *rig) waitExit() error {
	r.t.Helper()
	select {
	case err := <-r.exited:
		return err
	case <-time.After(eventTimeout):
		r.t.Fatal("it has not ended")
		return nil
	}
}

// A second process takes over from the first: it knows what the first was told by a journal that is gone by then, the first
// answers what is open, ends its idle connections and itself, and leaves all that is new to the second.
func TestSuccessorTakesOver(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 100)
	r.setHandler(func(a *storeRequest) { pending <- a })
	busy, idle := r.client(), r.client()
	busy.send("films", object, 5*time.Second, "")
	open := receive(t, pending)
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c1", "DRAINING")+`]}`)
	eventually(t, "the drain is heard of", func() bool { return r.counter("journal_events") == 1 })
	r.journal.Close()

	second, console := r.startSuccessor()
	second.waitForLog("msg=\"upgrade: taking over\"")
	if got := second.consoleStats(console); got["targets"] != 4 || got["targets_disabled"] != 1 {
		t.Errorf("it knows %d stores, of which %d are out of use", got["targets"], got["targets_disabled"])
	}
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	idle.expectClosed()
	r.setHandler(serveHit)
	for i := range 40 {
		c := r.client()
		c.send("images", fmt.Sprintf("%016x", i), 5*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("new connection %d: %+v", i, a)
		}
		loopback.Close(c.conn)
	}
	for _, a := range r.storeRequests("") {
		if a.Store.Name == "c1" && a.Fields["name"] != object {
			t.Error("a store was asked that the former process knew to drain")
		}
	}
	serveHit(open)
	if a := busy.readAnswer(); a.err != "" || a.body != content(object, "3") {
		t.Errorf("open across the upgrade: %+v", a)
	}
	busy.expectClosed()
	if err := r.waitExit(); err != nil {
		t.Errorf("the former process: %v", err)
	}
	second.waitForLog("msg=\"upgrade: predecessor has ended\"")
}

// upgradeRounds is how many follow each other in TestNoRequestIsLostOverUpgrades, unless the environment says UPGRADES=N.
const upgradeRounds = 5

// Clients that never stop asking, on connections that they keep and on new ones, lose nothing over some upgrades. A request
// that crosses the end of its connection is sent anew, as the protocol has it. Where the environment names another version of
// the program as FORMER_PROGRAM, every other process is of that version: upgrades go to it and back.
func TestUpgradesLoseNoRequests(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	stop, failed := make(chan struct{}), make(chan string, 100)
	var all sync.WaitGroup
	for n := range 6 {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := r.sendUntilStopped(n, stop); err != nil {
				failed <- fmt.Sprintf("client %d: %v", n, err)
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
			t.Errorf("a former process: %v", err)
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

// sendUntilStopped asks until it is stopped, every third request on a connection of its own. A request whose connection ends within
// 50 ms of its sending goes out once more.
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
		again := false
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
			if again || time.Since(sent) > 50*time.Millisecond {
				return fmt.Errorf("request %d after %v, sent again: %v: %w", i, time.Since(sent), again, err)
			}
			again = true
		}
		if i%3 == 2 {
			loopback.Close(conn)
			conn = nil
		}
	}
}

// sendOneRequest asks for a part and reads the answer.
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
		return fmt.Errorf("the answer %.100v", m)
	}
	return nil
}

// A process that is killed while its successor starts leaves it in charge, and one whose successor is killed goes on.
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
		t.Errorf("%+v", a)
	}
	// Alone again, a planned end is what it always was.
	third.signal(syscall.SIGTERM)
	c.send("images", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("after SIGTERM without a successor: %+v", a)
	}
	if err := third.waitExit(); err != nil {
		t.Error(err)
	}
}

// A connection on which something is always open, and one with a message that has come in part, go over to the new process: the next
// request is on its way before each answer is. The client notices nothing.
func TestBusyConnectionMigratesToSuccessor(t *testing.T) {
	const rounds = 20
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c, slow := r.client(), r.client()
	c.send("films", object, 5*time.Second, "")
	open := receive(t, pending)
	request := slow.encodeRequest("films", object, 5*time.Second, "")
	slow.write(request[:len(request)/2])
	second, console := r.startSuccessor()
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	for i := range rounds {
		c.send("films", object, 5*time.Second, "")
		serveHit(open)
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("request %d: %+v", i, a)
		}
		open = receive(t, pending)
	}
	serveHit(open)
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("the last: %+v", a)
	}
	slow.write(request[len(request)/2:])
	serveHit(receive(t, pending))
	if a := slow.readAnswer(); a.err != "" {
		t.Errorf("in two parts: %+v", a)
	}
	if err := r.waitExit(); err != nil {
		t.Errorf("the former process: %v", err)
	}
	if got := second.consoleStats(console)["success.films"]; got < rounds {
		t.Errorf("the new process has answered %d", got)
	}
}

// While a connection waits to go over, a cancel on it is heeded at once, a request behind it is not begun by the former process, and
// its deadline counts from when it came: of one that waited for too long the new process makes no attempt.
func TestRequestsOnConnectionWaitingToMigrate(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	first := c.send("films", object, 5*time.Second, "")
	cancelled := receive(t, pending)
	c.send("films", "00000000000000bb", 5*time.Second, "")
	open := receive(t, pending)
	second, console := r.startSuccessor()
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	c.write(append([]byte{0x93, 2}, append(packString("cancelRequest"), 0x91, byte(first))...))
	eventually(t, "the store is told", func() bool {
		return r.sumStores(func(s *store) int { return len(s.Quits) }) == 1
	})
	if quits := cancelled.Store.Quits; len(quits) != 1 || quits[0] != cancelled.ID {
		t.Errorf("the store was told of %q", quits)
	}
	const patient = 300 * time.Millisecond
	hasty := c.send("images", "00000000000000cc", patient, "")
	c.send("images", "00000000000000dd", 5*time.Second, "")
	time.Sleep(patient + 50*time.Millisecond) // the hasty one's time passes while it waits
	if n := len(r.storeRequests("00000000000000dd")); n != 0 {
		t.Errorf("the former process has begun %d attempts", n)
	}
	r.setHandler(serveHit)
	serveHit(open)
	got := map[int]answer{}
	for range 3 {
		a := c.readAnswer()
		got[a.id] = a
	}
	if a := got[hasty]; a.err != "Backoff" || len(r.storeRequests("00000000000000cc")) != 0 {
		t.Errorf("too late: %+v after %d attempts", a, len(r.storeRequests("00000000000000cc")))
	}
	if a := got[hasty+1]; a.err != "" {
		t.Errorf("in time: %+v", a)
	}
	if n := second.consoleStats(console)["success.images"]; n != 1 {
		t.Errorf("the new process has answered %d", n)
	}
}

// While two processes run neither overdraws what a cold store may be sent: nothing goes there for a whole window from the moment
// at which the state goes over, and then it has its part.
func TestUpgradeKeepsColdStoreBudget(t *testing.T) {
	const window = 2 * time.Second // settings.invariants.overloadForMs
	r := newRig(t).withSharedTempDir()
	cold := strings.Replace(r.endpointJSON("c1", "SERVING"), `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, time.Now().UnixMilli()), 1)
	r.start()
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+cold+`]}`)
	eventually(t, "the start is heard of", func() bool { return r.counter("journal_events") == 1 })
	toCold := func() (n int) {
		for _, a := range r.storeRequests("") {
			if a.Store.Name == "c1" {
				n++
			}
		}
		return n
	}
	number := 0
	load := func(enough func() bool) { // 200 requests a second, each for an object of its own
		for end := time.Now().Add(eventTimeout); !enough(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the cold store gets nothing")
			}
			c := r.client()
			number++
			c.send("images", fmt.Sprintf("%016x", number), 2*time.Second, "")
			c.readAnswer()
			loopback.Close(c.conn)
		}
	}
	load(func() bool { return toCold() > 0 })
	r.startSuccessor()
	r.waitForLog("msg=\"upgrade: handing over\"") // a moment ago
	before, until := toCold(), time.Now().Add(window*4/5)
	load(func() bool { return time.Now().After(until) })
	if n := toCold() - before; n != 0 {
		t.Errorf("%d requests went to the cold store within a window", n)
	}
	r.signal(syscall.SIGTERM)
	load(func() bool { return toCold() > before })
}

// Where no Unix socket can be made, for a path that is too long, the new process listens beside the former one.
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
		t.Errorf("%+v", a)
	}
}

// A third process that starts while the first still answers what is open waits until that has ended, and takes over from the
// second.
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
		t.Errorf("open across two upgrades: %+v", a)
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
		t.Errorf("%+v", a)
	}
}
