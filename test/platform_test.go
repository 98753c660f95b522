package test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/loopback"
)

// object is the object that most tests request.
const object = "7f3a9c21e0b4d655"

// A part must reach the client with the store's content, and the request must reach the store with the client's body,
// fields and transaction id. A health check on the same connection must be answered.
func TestServesPartUnchanged(t *testing.T) {
	r := newRig(t).start()
	c := r.client()
	c.write([]byte("\x94\x00\x01\xa5alive\x91\x80"))
	if a := c.readAnswer(); a.id != 1 || !a.boolean {
		t.Fatalf("health check (alive): answer %+v, want id 1 and true", a)
	}
	c.id = 1
	id := c.send("films", object, 5*time.Second, "body\x00\r\n")
	a := c.readAnswer()
	if a.id != id || a.err != "" || a.body != content(object, "3") {
		t.Fatalf("request: answer %+v, want the content of the part", a)
	}
	got := r.storeRequests(object)
	if len(got) != 1 || got[0].Body != "body\x00\r\n" || got[0].Fields["lane"] != "films" ||
		got[0].Fields["piece"] != "3" || got[0].ID != fmt.Sprintf("%08x%08x", os.Getpid(), 1) {
		t.Fatalf("the store received %+v, want the client's body, class, part and transaction", got[0])
	}
	if ttl, _ := strconv.Atoi(got[0].Fields["ttl"]); ttl < 1 || ttl > 5000 {
		t.Errorf("the store received a ttl of %d ms, want 1 to 5000", ttl)
	}
}

// If a store confirms the copy whose tag the client sent, the client must get the confirmation without a body.
func TestClientCopyIsConfirmed(t *testing.T) {
	r := newRig(t).start()
	r.setHandler(func(a *storeRequest) { a.Reply("KEEP", "why=warm,digest="+a.Fields["got"], "") })
	c := r.client()
	c.send("images", object, 2*time.Second, "", "mine", "4be0c1927d55a6f3")
	if a := c.readAnswer(); a.err != "" || a.body != "" || a.fields["still"] != "1" {
		t.Fatalf("request with the current tag: answer %+v, want still=1 and no body", a)
	}
	if got := r.storeRequests(object)[0].Fields["got"]; got != "4be0c1927d55a6f3" {
		t.Errorf("the store received the tag %q, want the client's", got)
	}
}

// A refused store connection proves that the attempt did not run, so that the request goes to another store. The dialer of
// nbio took a refused connection for an open one, which counted as an attempt that may have run.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	r := newRig(t)
	loopback.Close(r.stores["c1"].Listener)
	r.start()
	c := r.client()
	for i := range 20 {
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("request %d: answer %+v, want no error", i, a)
		}
	}
	if n := r.counter("ended_not_connected"); n == 0 {
		t.Error("ended_not_connected is 0, want some refused connections")
	}
	if n := r.counter("ended_reset"); n != 0 {
		t.Errorf("ended_reset is %d, want 0: refused connections are not broken ones", n)
	}
}

// If a store closes its connection instead of answering, a request with an idempotency key must be retried with the same
// key and id, and the client must get one answer.
func TestOneAnswerWhenStoreDisconnects(t *testing.T) {
	r := newRig(t).start()
	disconnectOnce := make(chan bool, 1)
	disconnectOnce <- true
	r.setHandler(func(a *storeRequest) {
		select {
		case <-disconnectOnce:
			loopback.Close(a.Conn)
		default:
			serveHit(a)
		}
	})
	c := r.client()
	c.send("orders", object, 3*time.Second, "move", "unique", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	if a := c.readAnswer(); a.err != "" {
		t.Fatalf("request: answer %+v, want no error", a)
	}
	got := r.storeRequests(object)
	if len(got) != 2 || got[0].Fields["dedupe"] != got[1].Fields["dedupe"] || got[0].ID != got[1].ID ||
		got[0].Fields["dedupe"] != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" {
		t.Fatalf("the stores received %d attempts, want 2 with the same id and idempotency key", len(got))
	}
	if n := r.counter("answered_served"); n != 1 {
		t.Errorf("answered_served is %d, want 1", n)
	}
}

// At its deadline a request must get one answer and the store a cancel, and a late answer of the store must be ignored.
func TestOneAnswerAtDeadline(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	began := time.Now()
	id := c.send("images", object, 300*time.Millisecond, "")
	if a := c.readAnswer(); a.id != id || a.err == "" {
		t.Fatalf("request that no store answers: answer %+v, want an error", a)
	}
	if took := time.Since(began); took < 250*time.Millisecond {
		t.Errorf("the error came after %v, want it at the deadline of 300ms", took)
	}
	eventually(t, "a store has received a cancel", func() bool { return r.sumStores(func(s *store) int { return len(s.Quits) }) > 0 })
	r.setHandler(serveHit)
	serveHit(receive(t, pending))
	id = c.send("images", "00000000000000aa", 2*time.Second, "")
	if a := c.readAnswer(); a.id != id || a.body != content("00000000000000aa", "3") {
		t.Fatalf("request after the late answer: answer %+v, want its own content", a)
	}
}

// A request with a client limit of a minute must be answered at the shorter deadline of its class.
func TestClassDeadlineBoundsClientLimit(t *testing.T) {
	r := newRig(t).start()
	r.setHandler(func(*storeRequest) {})
	c := r.client()
	began := time.Now()
	c.send("images", object, time.Minute, "")
	if a := c.readAnswer(); a.err == "" || time.Since(began) > 4*time.Second {
		t.Errorf("after %v: answer %+v, want an error within 4 s", time.Since(began), a)
	}
}

// A request that no store can take must be rejected promptly, with the time after which to retry.
func TestRejectionIsPrompt(t *testing.T) {
	r := newRig(t)
	for _, s := range r.stores {
		loopback.Close(s.Listener)
	}
	r.start()
	c := r.client()
	began := time.Now()
	c.send("films", object, 5*time.Second, "")
	a := c.readAnswer()
	if later, err := strconv.Atoi(a.fields["later"]); a.err != "Backoff" || err != nil || later < 1 || later > 2000 {
		t.Errorf("request without usable stores: answer %+v, want error Backoff with later from 1 to 2000 ms", a)
	}
	if took := time.Since(began); took > 2500*time.Millisecond {
		t.Errorf("the rejection came after %v, want at most 2.5s", took)
	}
}

// A client that cancels a request or disconnects must make the gateway send a cancel to the store.
func TestCancelReachesStore(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	id := c.send("films", object, 5*time.Second, "")
	a := receive(t, pending)
	c.write(append([]byte("\x93\x02\xadcancelRequest\x91"), byte(id)))
	eventually(t, "the store has received the cancel", func() bool { return r.sumStores(func(s *store) int { return len(s.Quits) }) == 1 })
	serveHit(a) // the cancelled request gets no answer
	other := r.client()
	other.send("films", "00000000000000bb", 5*time.Second, "")
	receive(t, pending).Store.SetHandler(serveHit)
	loopback.Close(other.conn) // a disconnect cancels the client's requests
	eventually(t, "the store has received a cancel for the client that disconnected", func() bool { return r.sumStores(func(s *store) int { return len(s.Quits) }) == 2 })
	if n := r.counter("gone"); n != 2 {
		t.Errorf("gone is %d, want 2 requests of departed clients", n)
	}
}

// 32 open requests of one client must share few store connections, and each must get its own answer even if the stores
// answer in the opposite order. A 33rd request is rejected, because a client connection may have 32 open.
func TestAttemptsShareConnections(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 100)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	want := map[int]string{}
	for i := range 32 {
		o := fmt.Sprintf("%016x", i)
		want[c.send("films", o, 5*time.Second, "")] = content(o, "3")
	}
	c.send("films", object, 5*time.Second, "") // one more than a client connection may have open
	if a := c.readAnswer(); a.err != "Backoff" {
		t.Fatalf("33rd open request: answer %+v, want error Backoff", a)
	}
	var got []*storeRequest
	for range 32 {
		got = append(got, receive(t, pending))
	}
	for i := range got { // answered in the opposite order
		serveHit(got[len(got)-1-i])
	}
	for range want {
		a := c.readAnswer()
		if a.err != "" || want[a.id] != a.body {
			t.Fatalf("answer with id %+v is an error or lacks the content of its request, want one answer with that content for each id", a.id)
		}
		delete(want, a.id)
	}
	if n := r.sumStores(func(s *store) int { return s.Conns }); n > 12 { // four attempts share one connection while descriptors suffice
		t.Errorf("%d store connections, want at most 12", n)
	}
}

// A store that becomes unreachable leaves its connection open and silent. The gateway must send a health check on it and
// retry the request elsewhere.
func TestSilentConnectionIsProbedAndAbandoned(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	goSilent := func(a *storeRequest) {
		a.Store.Lock()
		a.Store.IgnoreHealthChecks = true
		a.Store.Unlock()
		for _, s := range r.stores {
			if s != a.Store {
				s.SetHandler(serveHit)
			}
		}
		pending <- a
	}
	r.setHandler(goSilent)
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" || a.body != content(object, "3") {
		t.Fatalf("request to a silent store: answer %+v, want the content from another store", a)
	}
	if s := receive(t, pending).Store; r.sumStores(func(s *store) int { return s.Noops }) == 0 {
		t.Errorf("no store received a health check (NOOP), want one at the silent store %s", s.Name)
	}
}

// After a journal event that marks a store as draining, no request may go to it or name it as a fill source.
func TestDrainingStoreGetsNoNewRequests(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c1", "DRAINING")+`]}`)
	eventually(t, "the event has been processed", func() bool { return r.counter("journal_events") == 1 })
	c := r.client()
	for i := range 40 {
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("answer %+v, want no error", a)
		}
	}
	for _, a := range r.storeRequests("") {
		if a.Store.Name == "c1" || a.Fields["parent"] == "c1" {
			t.Fatalf("store %s was requested, with fill source %q; want neither to be the draining c1", a.Store.Name, a.Fields["parent"])
		}
	}
}

// After a purge of an object, requests for it must limit the age of acceptable copies; other objects must be unaffected.
func TestPurgeBoundsAcceptedAge(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, fmt.Sprintf(`"expire":{"name":%q,"stamp":%d}`, object, time.Now().UnixMilli()-500))
	r.journal.Publish(3, fmt.Sprintf(`"expire":{"set":40,"stamp":%d}`, time.Now().UnixMilli()))
	eventually(t, "both purges have been processed", func() bool { return r.counter("purges") == 2 })
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	c.readAnswer()
	if age, err := strconv.Atoi(r.storeRequests(object)[0].Fields["accept"]); err != nil || age < 500 || age > 6000 {
		t.Errorf("accept is %d ms (error %v), want 500 to 6000 for the purged object", age, err)
	}
	c.send("films", "00000000000000cc", 5*time.Second, "")
	c.readAnswer()
	if age := r.storeRequests("00000000000000cc")[0].Fields["accept"]; age != "" {
		t.Errorf("accept is %s for an object that was not purged, want none", age)
	}
}

// After a lost connection the gateway must resume the journal after the last event, count unusable events as dropped, and
// ignore events that it has already processed.
func TestJournalResumesAfterLastEvent(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	r.journal.Events <- "id: 3\ndata: {\"pos\":3,\"expire\":{}}\n\n" // unusable, must be skipped
	r.journal.Events <- "id: 4\ndata: nonsense\n\n"
	r.journal.Events <- "" // closes the connection
	if id := receive(t, r.journal.Connected); id != "4" {
		t.Errorf("the journal was resumed after event %q, want 4", id)
	}
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`) // sent again
	r.journal.Publish(5, `"expire":{"set":41,"stamp":1}`)
	eventually(t, "the remaining events have been processed", func() bool { return r.counter("purges") == 2 })
	if n := r.counter("journal_dropped"); n != 2 {
		t.Errorf("journal_dropped is %d, want 2", n)
	}
}

// Malformed bytes must close the connection on which they arrive, invalid requests must get an error, and other
// connections must be unaffected.
func TestMalformedBytesCloseOnlyTheirConnection(t *testing.T) {
	r := newRig(t).start()
	good := r.client()
	for _, b := range []string{"\xc1", "GET / HTTP/1.1\r\n\r\n", "\x94\x00\x01\xa5alive\x93\x80\xc0\xc0",
		"\x94\x00\xc6\xff\xff\xff\xff", "\x91\x91\x91\x91\x91\x91\x91\x91", "\xdd\xff\xff\xff\xff",
		"\x94\x00\x01\xa1x\x91\xdc\x00\x40" + strings.Repeat("\x98"+strings.Repeat("\xc0", 8), 60),
		"\x94\x00\x01\xda\xff\xff" + strings.Repeat("x", 100<<10)} {
		c := r.client()
		c.write([]byte(b))
		c.expectClosed()
	}
	c := r.client()
	c.send("films", "a,parent=o", 5*time.Second, "") // would add a field to the store request
	if a := c.readAnswer(); a.err == "" {
		t.Errorf("object name with a comma: answer %+v, want an error", a)
	}
	c.write([]byte("\x94\x00\x02\xa5nosuc\x92\x81\xa5limit\xa3abc\xc4\x00"))
	if a := c.readAnswer(); a.err == "" {
		t.Errorf("unknown class with an invalid limit: answer %+v, want an error", a)
	}
	good.send("films", object, 5*time.Second, "")
	if a := good.readAnswer(); a.err != "" {
		t.Errorf("valid request on another connection: answer %+v, want no error", a)
	}
	if n := len(r.storeRequests("")); n != 1 {
		t.Errorf("the stores received %d requests, want only the valid one", n)
	}
}

// The gateway must answer invalid requests itself: a store closes its connection on a request that it cannot parse, which
// would fail all attempts open on that connection.
func TestInvalidRequestsReachNoStore(t *testing.T) {
	r := newRig(t).start()
	c := r.client()
	for _, bad := range [][]string{{"txn", "x"}, {"txn", ""}, {"item", "7f3a"}, {"item", "7F3A9C21E0B4D65G"}, {"n", "-1"},
		{"n", "+1"}, {"n", "99999999"}, {"n", "NaN"}, {"shard", "256"}, {"limit", ""}, {"limit", "1e3"}, {"limit", "-5"},
		{"limit", "99999999999999999999"}, {"unique", ""}, {"unique", "a=b"}, {"mine", "a,b"}, {"BODY", ""}} {
		fields := map[string]string{"txn": "00000000000000ff", "item": object, "n": "3", "shard": "17", "limit": "3000",
			"unique": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
		body := "move"
		if fields[bad[0]] = bad[1]; bad[0] == "BODY" {
			delete(fields, "BODY")
			body = strings.Repeat("x", 48001)
		}
		var list []string
		for k, v := range fields {
			list = append(list, k, v)
		}
		c.id++
		b := append([]byte{0x94, 0, byte(c.id)}, packString("orders")...)
		b = append(append(append(b, 0x92), packFields(list)...), 0xc5, byte(len(body)>>8), byte(len(body)))
		c.write(append(b, body...))
		if a := c.readAnswer(); a.id != c.id || a.err == "" {
			t.Errorf("invalid field %v: answer %+v, want an error", bad, a)
		}
	}
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("valid request after invalid ones: answer %+v, want no error", a)
	}
	if n := len(r.storeRequests("")); n != 1 {
		t.Errorf("the stores received %d requests, want only the valid one", n)
	}
}

// After a malformed reply of a store, the request must be retried and served.
func TestMalformedStoreReplyIsRetried(t *testing.T) {
	for _, reply := range []string{"*9\r\n", "$3\r\nabc\r\n", "*4\r\n$99999999\r\n", "+OK\r\n", strings.Repeat("1", 100),
		respArray("x", "HUH", "-", ""), respArray("x", "DONE"), "*1\r\n$3\r\nabcd\r\n"} {
		t.Run("malformed reply", func(t *testing.T) {
			r := newRig(t).start()
			once := make(chan bool, 1)
			once <- true
			r.setHandler(func(a *storeRequest) {
				select {
				case <-once:
					_, _ = a.Conn.Write([]byte(reply))
				default:
					serveHit(a)
				}
			})
			c := r.client()
			c.send("images", object, 2*time.Second, "")
			if a := c.readAnswer(); a.err != "" || a.body != content(object, "3") {
				t.Fatalf("request after a malformed reply: answer %+v, want the content", a)
			}
		})
	}
}

// After SIGTERM the gateway must still serve new connections and requests before it exits: the platform opens connections
// for up to 0.4 s longer and sends requests for 0.2 s after that.
func TestTermServesLateConnections(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	earlyClient := r.client()
	earlyClient.send("films", object, 5*time.Second, "")
	a := receive(t, pending)
	if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r.waitForLog("msg=draining")
	r.setHandler(serveHit)
	lateClient := r.client()
	lateClient.send("films", "00000000000000dd", 5*time.Second, "")
	if got := lateClient.readAnswer(); got.err != "" {
		t.Errorf("request on a connection opened after SIGTERM: answer %+v, want no error", got)
	}
	serveHit(a)
	if got := earlyClient.readAnswer(); got.err != "" {
		t.Errorf("request open at SIGTERM: answer %+v, want no error", got)
	}
	if err := receive(t, r.exited); err != nil {
		t.Errorf("the program exited with %v, want status 0", err)
	}
	if line := r.waitForLog("msg=counters"); !strings.Contains(line, "answered_served=2") {
		t.Error(line)
	}
}

// The platform kills the process no sooner than 0.7 s after the longest deadline, so that open requests may be served
// until then. An earlier version failed them 3.5 s after SIGTERM, although the longest deadline here is 5 s.
func TestTermWaitsForLongestDeadline(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	a := receive(t, pending)
	r.signal(syscall.SIGTERM)
	time.AfterFunc(4200*time.Millisecond, func() { serveHit(a) })
	if got := c.readAnswer(); got.err != "" {
		t.Errorf("request answered by its store 4.2 s after SIGTERM: answer %+v, want no error", got)
	}
	if err := receive(t, r.exited); err != nil {
		t.Errorf("the program exited with %v, want status 0", err)
	}
}

// A signal sent right after the program logs that it serves must be handled. Some were lost while the program
// installed its signal handlers after that log line.
func TestSignalsHandledOnceServing(t *testing.T) {
	for range 10 {
		r := newRig(t).start()
		_ = r.cmd.Process.Signal(syscall.SIGUSR1)
		r.waitForLog("msg=counters")
	}
}

// A request that its store never answers must get an error after SIGTERM, and the program must exit with status 0 within
// 10 s of the signal. (The platform kills the process no sooner than 0.7 s after the longest deadline, 5 s here.)
func TestTermFailsHangingRequests(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	c.send("films", object, 20*time.Second, "")
	receive(t, pending)
	began := time.Now()
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	if a := c.readAnswer(); a.err == "" {
		t.Errorf("request that no store answers, after SIGTERM: answer %+v, want an error", a)
	}
	if err := receive(t, r.exited); err != nil || time.Since(began) > 10*time.Second {
		t.Errorf("the program exited with %v after %v, want status 0 within 10s", err, time.Since(began))
	}
}

// Gossip messages must be dropped if they come from an address that is not a configured peer or are malformed. A valid
// greeting from a peer must be accepted and answered.
func TestOnlyPeerMessagesAreAccepted(t *testing.T) {
	r := newRig(t)
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { loopback.Close(c) })
		return c
	}
	peer, broadcast, stranger := listen(), listen(), listen()
	own := listen()
	r.config["peer_listen"] = own.LocalAddr().String()
	r.config["peers"] = []string{own.LocalAddr().String(), peer.LocalAddr().String()}
	r.config["peers_all"] = broadcast.LocalAddr().String()
	loopback.Close(own)
	r.start()
	buf := make([]byte, 512)
	_ = broadcast.SetReadDeadline(time.Now().Add(eventTimeout))
	n, from, err := broadcast.ReadFromUDP(buf)
	if err != nil || n > 256 || from.String() != r.config["peer_listen"] {
		t.Fatalf("greeting: %d bytes from %v, error %v; want at most 256 bytes from the peer address", n, from, err)
	}
	greeting, to := buf[:n], own.LocalAddr().(*net.UDPAddr)
	for _, m := range []struct {
		from *net.UDPConn
		data []byte
	}{{stranger, greeting}, {peer, make([]byte, 300)}, {peer, []byte("nonsense")}, {peer, greeting}} {
		if _, err := m.from.WriteToUDP(m.data, to); err != nil {
			t.Fatal(err)
		}
	}
	_ = peer.SetReadDeadline(time.Now().Add(eventTimeout)) // the answer to the greeting
	if _, _, err := peer.ReadFromUDP(buf); err != nil {
		t.Fatal(err)
	}
	if accepted, dropped := r.counter("peer_heard"), r.counter("peer_dropped"); accepted != 2 || dropped != 2 {
		t.Errorf("%d messages accepted, %d dropped, want 2 and 2", accepted, dropped)
	}
}

// A start error for an invalid configuration must name the invalid key.
func TestConfigurationErrorsNameKey(t *testing.T) {
	for key, change := range map[string]func(*rig){
		"listen":                  func(r *rig) { r.config["listen"] = "nowhere" },
		"journal":                 func(r *rig) { delete(r.config, "journal") },
		"seed":                    func(r *rig) { r.config["seed"] = "xyz" },
		"limits.memory_mb":        func(r *rig) { r.config["limits"] = map[string]any{"memory_mb": -1} },
		"familyInfo.rootKind":     func(r *rig) { r.config["settings"] = map[string]any{} },
		"settings.limits.sendCap": func(r *rig) { r.config["settings"] = map[string]any{"limits": map[string]any{"sendCap": "8"}} },
		"peers[0]":                func(r *rig) { r.config["peers"] = []string{"x"} },
		"known":                   func(r *rig) { r.stores["c1"].Kind, r.stores["c1"].Name = "box", "c1" },
	} {
		t.Run(key, func(t *testing.T) {
			r := newRig(t)
			change(r)
			out := r.startExpectingError(key == "known")
			if want := key[strings.LastIndex(key, ".")+1:]; !strings.Contains(out, want) {
				t.Errorf("output without the key: %s", out)
			}
		})
	}
}

// When the journal reports that a store has restarted, the gateway must open a new connection to it: a crashed store may
// have left the old one open and silent.
func TestRestartedStoreGetsNewConnections(t *testing.T) {
	r := newRig(t).start()
	c := r.client()
	ask := func(i int) {
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		c.readAnswer()
	}
	conns := func() int { return r.sumStores(func(s *store) int { return s.Conns }) }
	for i := range 20 {
		ask(i)
	}
	if n := conns(); n != 2 {
		t.Fatalf("%d store connections before the restart, want 2", n)
	}
	since := fmt.Sprint(`"since_ms":`, time.Now().Add(-10*time.Second).UnixMilli())
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+
		strings.ReplaceAll(r.endpointJSON("c1", "SERVING")+","+r.endpointJSON("c2", "SERVING"), `"since_ms":0`, since)+`]}`)
	eventually(t, "the event has been processed", func() bool { return r.counter("journal_events") == 1 })
	i := 0
	eventually(t, "both caches have a new connection", func() bool { // cold stores get few requests at first
		ask(i)
		i++
		return conns() == 4
	})
}

// Client connections use at most their share of the descriptors, and idle ones must be closed to make room for new ones.
// Idle connections once filled the share for good, and each new connection was closed without an answer.
func TestNewClientsReplaceIdleConnections(t *testing.T) {
	r := newRig(t)
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 64}
	r.start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	busy := r.client()
	busy.send("images", object, 20*time.Second, "")
	a := receive(t, pending)
	r.setHandler(serveHit)
	for i := range 100 { // the share is 27 connections
		c := r.client()
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("client %d: answer %+v, want no error", i, a)
		}
	}
	serveHit(a)
	if got := busy.readAnswer(); got.err != "" {
		t.Errorf("request open meanwhile on another connection: answer %+v, want no error", got)
	}
	if open := r.counter("conns_opened") - r.counter("conns_closed"); open > 27+10 {
		t.Errorf("%d client and store connections are open, want at most 37", open)
	}
}

// While all client connections have open requests, a further connection must be closed. When one of them closes, the
// next new connection must be accepted.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	r := newRig(t)
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 64}
	r.start()
	pending := make(chan *storeRequest, 100)
	r.setHandler(func(a *storeRequest) { pending <- a })
	var clients []*client
	for i := range 27 {
		clients = append(clients, r.client())
		clients[i].send("images", fmt.Sprintf("%016x", i), 20*time.Second, "")
	}
	for range clients {
		receive(t, pending)
	}
	r.client().expectClosed()
	loopback.Close(clients[0].conn)
	eventually(t, "the gateway has noticed that the client left", func() bool { return r.counter("gone") > 0 })
	r.setHandler(serveHit)
	c := r.client()
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request on a new connection after one of 27 was closed: answer %+v, want no error", a)
	}
}

// Connections that send nothing, or stop in the middle of a request, must be closed on both fronts.
func TestSilentAndHalfSentConnectionsAreClosed(t *testing.T) {
	r, addr := signedRig(t, "")
	silent, half, halfSecond := r.client(), r.client(), r.client()
	half.write([]byte("\x94\x00\x01\xa5ali"))
	halfSecond.send("images", object, 2*time.Second, "")
	halfSecond.readAnswer()
	halfSecond.write([]byte("\x94\x00\xc4\xff"))
	halfHTTP, silentHTTP := newHTTPConn(t, addr), newHTTPConn(t, addr)
	if _, err := halfHTTP.conn.Write([]byte("GET /films HTT")); err != nil {
		t.Fatal(err)
	}
	if answer, _ := halfHTTP.readResponse(); answer.StatusCode != 408 {
		t.Errorf("HTTP request cut off in its first line: status %d, want 408", answer.StatusCode)
	}
	_ = silentHTTP.conn.SetReadDeadline(time.Now().Add(eventTimeout))
	if _, err := silentHTTP.r.ReadByte(); err != io.EOF {
		t.Errorf("silent HTTP connection: error %v, want it closed without a response", err)
	}
	silent.expectClosed()
	half.expectClosed()
	halfSecond.expectClosed()
}

// A request that is written slowly, in pieces over a little more than 2 s, must be served, both on a new connection and
// after an earlier request.
func TestSlowlyWrittenRequestIsServed(t *testing.T) {
	const pieces, over = 10, 2300 * time.Millisecond
	r := newRig(t).start()
	fresh, used := r.client(), r.client()
	used.send("images", object, 2*time.Second, "")
	used.readAnswer()
	request := [2][]byte{fresh.encodeRequest("images", object, 5*time.Second, ""), used.encodeRequest("images", object, 5*time.Second, "")}
	began := time.Now()
	for i := range pieces {
		time.Sleep(time.Until(began.Add(over * time.Duration(i) / (pieces - 1))))
		for n, c := range [2]*client{fresh, used} {
			b := request[n]
			c.write(b[len(b)*i/pieces : len(b)*(i+1)/pieces])
		}
	}
	for _, c := range [2]*client{fresh, used} {
		if a := c.readAnswer(); a.err != "" {
			t.Errorf("slowly written request: answer %+v, want no error", a)
		}
	}
}
