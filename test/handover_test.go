package test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/fakeserver"
	"larchusher/lab/loopback"
)

// beginUpgrade starts a successor and makes this process hand its connections over.
func (r *rig) beginUpgrade() (second *rig, console string) {
	r.t.Helper()
	second, console = r.startSuccessor()
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	return second, console
}

// withholdFilms makes the stores pass requests for films to a channel in place of answering them, and answer all others.
func (r *rig) withholdFilms() (films chan *storeRequest) {
	films = make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) {
		if a.Fields["lane"] == "films" {
			films <- a
			return
		}
		serveHit(a)
	})
	return films
}

// A connection that always has an open request, because the next one is sent before each answer, and a connection with a
// partly received message must migrate to the successor without their clients noticing.
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
	second, console := r.beginUpgrade()
	for i := range rounds {
		c.send("films", object, 5*time.Second, "")
		serveHit(open)
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("request %d on the busy connection: answer %+v, want no error", i, a)
		}
		open = receive(t, pending)
	}
	serveHit(open)
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("last request on the busy connection: answer %+v, want no error", a)
	}
	slow.write(request[len(request)/2:])
	serveHit(receive(t, pending))
	if a := slow.readAnswer(); a.err != "" {
		t.Errorf("request sent in two parts: answer %+v, want no error", a)
	}
	if err := r.waitExit(); err != nil {
		t.Errorf("the predecessor exited with %v, want status 0", err)
	}
	if got := second.consoleStats(console)["success.films"]; got < rounds {
		t.Errorf("the successor has served %d films, want at least the number of rounds", got)
	}
}

// While a connection waits for its open requests before it migrates, a cancel on it must take effect at once, and the
// deadline of a request behind them must count from its arrival: one that has expired by the time at which it is handled
// must not reach a store, and one that has not must reach a store although the open request goes on.
func TestRequestsOnConnectionWaitingToMigrate(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	first := c.send("films", object, 5*time.Second, "")
	cancelled := receive(t, pending)
	film := c.send("films", "00000000000000bb", 5*time.Second, "")
	open := receive(t, pending)
	r.beginUpgrade()
	c.cancel(first)
	eventually(t, "the store has received the cancel", func() bool {
		return r.sumStores(func(s *store) int { return len(s.Quits) }) == 1
	})
	if quits := cancelled.Store.Quits; len(quits) != 1 || quits[0] != cancelled.ID {
		t.Errorf("the store received cancels for %q, want the cancelled request only", quits)
	}
	time.Sleep(100 * time.Millisecond) // what came with the cancel waits no more
	r.setHandler(serveHit)
	expired := c.send("images", "00000000000000cc", 0, "")
	waiting := c.send("images", "00000000000000dd", time.Second, "")
	got := map[int]answer{}
	for range 2 {
		a := c.readAnswer()
		got[a.id] = a
	}
	if a := got[expired]; a.err != "Backoff" || len(r.storeRequests("00000000000000cc")) != 0 {
		t.Errorf("request that expired while waiting: answer %+v after %d attempts; want error Backoff and 0 attempts", a, len(r.storeRequests("00000000000000cc")))
	}
	if a, ok := got[waiting]; !ok || a.err != "" || len(r.storeRequests("00000000000000dd")) != 1 {
		t.Errorf("request behind an open one: answer %+v after %d attempts; want no error and 1 attempt", a, len(r.storeRequests("00000000000000dd")))
	}
	serveHit(open)
	if a := c.readAnswer(); a.id != film || a.err != "" {
		t.Errorf("answer %+v to the open request, want answer %d without an error", a, film)
	}
}

// Guards against requests that wait during an upgrade for the slowest one that is open on their connection: they must be
// answered within their own time limits, in each moment until the predecessor ends.
func TestUpgradeServesRequestsBehindSlowOne(t *testing.T) {
	const (
		limit   = time.Second
		between = 300 * time.Millisecond
		rounds  = 11 // the predecessor ends 3.5 s after SIGTERM
	)
	r := newRig(t).withSharedTempDir().start()
	pending := r.withholdFilms()
	c := r.client()
	film := c.send("films", object, 5*time.Second, "")
	receive(t, pending)
	r.beginUpgrade()
	for i := range rounds {
		sent := time.Now()
		id := c.send("orders", fmt.Sprintf("%016x", i), limit, "order", "unique", fmt.Sprintf("key-%d", i))
		a := c.readAnswer()
		if took := time.Since(sent); a.id != id || a.err != "" || took > limit {
			t.Errorf("round %d: answer %+v after %v, want answer %d without an error within %v", i, a, took, id, limit)
		}
		if n := len(r.storeRequests(fmt.Sprintf("%016x", i))); n != 1 {
			t.Errorf("round %d: the order reached stores %d times, want once", i, n)
		}
		time.Sleep(time.Until(sent.Add(between)))
	}
	if a := c.readAnswer(); a.id != film || a.err != "Backoff" { // cut off at the end of the predecessor
		t.Errorf("answer %+v to the film, which no store has answered; want answer %d with error Backoff", a, film)
	}
	if err := r.waitExit(); err != nil {
		t.Errorf("the predecessor exited with %v, want status 0", err)
	}
}

// Shortly before the predecessor ends, a request behind an open one must be left to the successor, which has time for it,
// unless its own time limit is too short to wait.
func TestUpgradeLeavesLateRequestsToSuccessor(t *testing.T) {
	const lateAfter = 3200 * time.Millisecond // the predecessor ends 3.5 s after SIGTERM
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	patient, hurried := r.client(), r.client()
	for _, c := range []*client{patient, hurried} {
		c.send("films", object, 5*time.Second, "")
		receive(t, pending)
	}
	second, console := r.beginUpgrade()
	time.Sleep(lateAfter)
	r.setHandler(serveHit)
	patient.send("images", "00000000000000aa", 2500*time.Millisecond, "")
	sent := time.Now()
	short := hurried.send("images", "00000000000000bb", 200*time.Millisecond, "")
	if a := hurried.readAnswer(); a.id != short || a.err != "" {
		t.Errorf("request with a limit of 200 ms: answer %+v after %v, want answer %d without an error", a, time.Since(sent), short)
	}
	got := map[int]answer{}
	for range 2 {
		a := patient.readAnswer()
		got[a.id] = a
	}
	if got[1].err != "Backoff" || got[2].err != "" {
		t.Errorf("got answers %+v, want error Backoff for the film, which no store has answered, and none for the image", got)
	}
	if n := second.consoleStats(console)["success.images"]; n < 1 {
		t.Errorf("the successor has served %d images, want the one that had time", n)
	}
}

// orderBytes is the size of the largest request body that the front accepts.
const orderBytes = 48_000

// sendOrders sends two requests of the largest size, which together exceed the input that a connection buffers for the
// successor, and returns their message ids. Their answers must not depend on requests that are open before them.
func (c *client) sendOrders() (ids []int) {
	c.t.Helper()
	for _, key := range []string{"first", "second"} {
		ids = append(ids, c.send("orders", object, 3*time.Second, strings.Repeat("x", orderBytes), "unique", key))
	}
	return ids
}

// Guards against answers that are cut and requests that are never sent to a store, when more input arrives during an
// upgrade than a connection buffers while answers are due on it.
func TestUpgradeServesRequestsBeyondBufferedInput(t *testing.T) {
	const videoBytes = 240_000 // more than a socket takes at once
	r := newRig(t).withSharedTempDir().start()
	pending := r.withholdFilms()
	c := r.client()
	open := map[int]string{} // objects of the requests whose answers the stores withhold
	for _, object := range []string{"00000000000000aa", "00000000000000bb"} {
		open[c.send("films", object, 5*time.Second, "")] = object
	}
	withheld := []*storeRequest{receive(t, pending), receive(t, pending)}
	r.beginUpgrade()

	orders := c.sendOrders()
	for range orders {
		if a := c.readAnswer(); a.err != "" || !slices.Contains(orders, a.id) {
			t.Errorf("answer %d has error %q while the films wait for their store; want an answer to one of the orders %v, without an error", a.id, a.err, orders)
		}
	}
	for _, a := range withheld {
		a.Serve("warm", fakeserver.ContentOfSize(a.Fields["name"], a.Fields["piece"], videoBytes))
	}
	for range open {
		a := c.readAnswer()
		if want := fakeserver.ContentOfSize(open[a.id], "3", videoBytes); a.err != "" || a.body != want {
			t.Errorf("answer to film %d has error %q and %d bytes, want its %d bytes", a.id, a.err, len(a.body), len(want))
		}
	}
	c.send("films", "00000000000000cc", 5*time.Second, "")
	serveHit(receive(t, pending))
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request after the upgrade on the same connection: answer %+v, want no error", a)
	}
	if err := r.waitExit(); err != nil {
		t.Errorf("the predecessor exited with %v, want status 0", err)
	}
}

// Guards against a cancel or a close that goes unseen during an upgrade behind more input than a connection buffers: the
// stores must hear that the open requests are given up.
func TestUpgradeSeesCancelAndCloseBehindBufferedInput(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	cancelling, closing := r.client(), r.client()
	cancelled := cancelling.send("films", "00000000000000aa", 5*time.Second, "")
	cancelledAtStore := receive(t, pending)
	closing.send("films", "00000000000000bb", 5*time.Second, "")
	closedAtStore := receive(t, pending)
	r.beginUpgrade()
	r.setHandler(func(*storeRequest) {})
	cancelling.sendOrders()
	closing.sendOrders()
	time.Sleep(100 * time.Millisecond) // the predecessor has read the orders

	cancelling.cancel(cancelled)
	loopback.Close(closing.conn)
	deadline := time.Now().Add(time.Second) // before any time limit ends the requests
	for _, a := range []*storeRequest{cancelledAtStore, closedAtStore} {
		eventually(t, "the store of film "+a.Fields["name"]+" has received a cancel", func() bool { return a.Store.HasQuit(a.ID) })
	}
	if time.Now().After(deadline) {
		t.Error("the stores received the cancels over 1 s after the clients gave the requests up")
	}
}

// Guards against a predecessor that blocks while it hands connections over to a successor that has stopped reading them:
// requests that come meanwhile must be answered within their time limits.
func TestUpgradeServesWhileSuccessorHangs(t *testing.T) {
	const (
		idleConns = 500 // more than the socket between the processes holds
		limit     = time.Second
	)
	r := newRig(t).withSharedTempDir().start()
	var idle []*client
	for range idleConns {
		idle = append(idle, r.client())
	}
	idle[idleConns-1].send("images", object, limit, "")
	idle[idleConns-1].readAnswer() // the front has registered all connections
	pending := r.withholdFilms()
	c := r.client()
	film := c.send("films", object, 5*time.Second, "")
	open := receive(t, pending)
	second, _ := r.startSuccessor()
	second.signal(syscall.SIGSTOP)
	t.Cleanup(func() { _ = second.cmd.Process.Signal(syscall.SIGCONT) })
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	for i := range 10 {
		sent := time.Now()
		id := c.send("images", fmt.Sprintf("%016x", i), limit, "")
		if a := c.readAnswer(); a.id != id || a.err != "" || time.Since(sent) > limit {
			t.Errorf("round %d: answer %+v after %v, want answer %d without an error within %v", i, a, time.Since(sent), id, limit)
		}
		time.Sleep(time.Until(sent.Add(100 * time.Millisecond)))
	}
	serveHit(open)
	if a := c.readAnswer(); a.id != film || a.err != "" {
		t.Errorf("answer %+v to the film, want answer %d without an error", a, film)
	}
}

// Guards against the loss of input that was buffered for a successor which ends before it gets the connection: the
// predecessor must handle it.
func TestUpgradeServesBufferedRequestsIfSuccessorEnds(t *testing.T) {
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	film := c.send("films", object, 5*time.Second, "")
	open := receive(t, pending)
	second, _ := r.beginUpgrade()
	if err := second.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := second.waitExit(); err == nil {
		t.Fatal("the successor exited with status 0, want it killed")
	}
	r.setHandler(serveHit)
	image := c.send("images", "00000000000000aa", 2*time.Second, "")
	time.Sleep(10 * time.Millisecond) // the predecessor has read and buffered it
	serveHit(open)
	got := map[int]answer{}
	for range 2 {
		a := c.readAnswer()
		got[a.id] = a
	}
	for _, id := range []int{film, image} {
		if a, ok := got[id]; !ok || a.err != "" {
			t.Errorf("answers %+v, want one without an error to request %d", got, id)
		}
	}
	c.expectClosed()
	if err := r.waitExit(); err != nil {
		t.Errorf("the predecessor exited with %v, want status 0", err)
	}
}

// Guards against an attempt for a request that was cancelled while it was buffered: the cancel arrives in a later read, and
// must take effect before the request starts, in the successor after a migration and in the predecessor otherwise.
func TestUpgradeHeedsCancelOfBufferedRequest(t *testing.T) {
	const (
		conns   = 12                   // few enough for the stores' limits, as their films stay open
		between = 5 * time.Millisecond // so that a request and its cancel are read one after the other
	)
	r := newRig(t).withSharedTempDir().start()
	pending := make(chan *storeRequest, conns)
	r.setHandler(func(a *storeRequest) { pending <- a })
	var clients []*client
	open := map[string]*storeRequest{}
	for i := range conns {
		c := r.client()
		c.send("films", fmt.Sprintf("%016x", i), 5*time.Second, "")
		a := receive(t, pending)
		open[a.Fields["name"]] = a
		clients = append(clients, c)
	}
	r.beginUpgrade()
	r.setHandler(serveHit)
	for i, c := range clients {
		id := c.send("images", fmt.Sprintf("%016x", 1000+i), 2*time.Second, "")
		time.Sleep(between)
		c.cancel(id)
		time.Sleep(between)
		if i%2 == 0 { // the connection migrates
			serveHit(open[fmt.Sprintf("%016x", i)])
			if a := c.readAnswer(); a.err != "" {
				t.Errorf("client %d: answer %+v to the film, want no error", i, a)
			}
		}
	}
	for i, c := range clients { // the answer to a later request comes after what was buffered has been handled
		c.send("images", fmt.Sprintf("%016x", 2000+i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Errorf("client %d: answer %+v to a later request, want no error", i, a)
		}
		if n := len(r.storeRequests(fmt.Sprintf("%016x", 1000+i))); n != 0 {
			t.Errorf("client %d: the cancelled request reached stores %d times, want 0", i, n)
		}
	}
}
