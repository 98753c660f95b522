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

const object = "7f3a9c21e0b4d655"

func TestServesPartUnchanged(t *testing.T) {
	r := newRig(t).start()
	c := r.client()
	c.write([]byte("\x94\x00\x01\xa5alive\x91\x80"))
	if a := c.readAnswer(); a.id != 1 || !a.boolean {
		t.Fatalf("alive: %+v", a)
	}
	c.id = 1
	id := c.send("films", object, 5*time.Second, "body\x00\r\n")
	a := c.readAnswer()
	if a.id != id || a.err != "" || a.body != content(object, "3") {
		t.Fatalf("%+v", a)
	}
	got := r.storeRequests(object)
	if len(got) != 1 || got[0].Body != "body\x00\r\n" || got[0].Fields["lane"] != "films" ||
		got[0].Fields["piece"] != "3" || got[0].ID != fmt.Sprintf("%08x%08x", os.Getpid(), 1) {
		t.Fatalf("%+v", got[0])
	}
	if ttl, _ := strconv.Atoi(got[0].Fields["ttl"]); ttl < 1 || ttl > 5000 {
		t.Errorf("ttl %d", ttl)
	}
}

func TestClientCopyIsConfirmed(t *testing.T) {
	r := newRig(t).start()
	r.setHandler(func(a *storeRequest) { a.Reply("KEEP", "why=warm,digest="+a.Fields["got"], "") })
	c := r.client()
	c.send("images", object, 2*time.Second, "", "mine", "4be0c1927d55a6f3")
	if a := c.readAnswer(); a.err != "" || a.body != "" || a.fields["still"] != "1" {
		t.Fatalf("%+v", a)
	}
	if got := r.storeRequests(object)[0].Fields["got"]; got != "4be0c1927d55a6f3" {
		t.Errorf("got=%q", got)
	}
}

// A request goes to another store when its first is not there. nbio's dialer took a refused connection for
// an open one, so that it might have run.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	r := newRig(t)
	loopback.Close(r.stores["c1"].Listener)
	r.start()
	c := r.client()
	for i := range 20 {
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("request %d: %+v", i, a)
		}
	}
	if n := r.counter("ended_not_connected"); n == 0 {
		t.Error("no connection was refused")
	}
	if n := r.counter("ended_reset"); n != 0 {
		t.Errorf("%d refused connections count as broken", n)
	}
}

func TestOneAnswerWhenStoreDisconnects(t *testing.T) {
	r := newRig(t).start()
	broken := make(chan bool, 1)
	broken <- true
	r.setHandler(func(a *storeRequest) {
		select {
		case <-broken:
			loopback.Close(a.Conn)
		default:
			serveHit(a)
		}
	})
	c := r.client()
	c.send("orders", object, 3*time.Second, "move", "unique", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	if a := c.readAnswer(); a.err != "" {
		t.Fatalf("%+v", a)
	}
	got := r.storeRequests(object)
	if len(got) != 2 || got[0].Fields["dedupe"] != got[1].Fields["dedupe"] || got[0].ID != got[1].ID ||
		got[0].Fields["dedupe"] != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" {
		t.Fatalf("%d attempts", len(got))
	}
	if n := r.counter("answered_served"); n != 1 {
		t.Errorf("%d answers", n)
	}
}

// At the deadline there is one answer, and a late one of the store changes nothing.
func TestOneAnswerAtDeadline(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	began := time.Now()
	id := c.send("images", object, 300*time.Millisecond, "")
	if a := c.readAnswer(); a.id != id || a.err == "" {
		t.Fatalf("%+v", a)
	}
	if took := time.Since(began); took < 250*time.Millisecond {
		t.Errorf("given up after %v", took)
	}
	eventually(t, "the store is told", func() bool { return r.sumStores(func(s *store) int { return len(s.Quits) }) > 0 })
	r.setHandler(serveHit)
	serveHit(receive(t, pending))
	id = c.send("images", "00000000000000aa", 2*time.Second, "")
	if a := c.readAnswer(); a.id != id || a.body != content("00000000000000aa", "3") {
		t.Fatalf("after the late answer: %+v", a)
	}
}

// A client that claims to wait for a minute is answered when its class gives up.
func TestClassDeadlineBoundsClientLimit(t *testing.T) {
	r := newRig(t).start()
	r.setHandler(func(*storeRequest) {})
	c := r.client()
	began := time.Now()
	c.send("images", object, time.Minute, "")
	if a := c.readAnswer(); a.err == "" || time.Since(began) > 4*time.Second {
		t.Errorf("after %v: %+v", time.Since(began), a)
	}
}

// A request that has been given up is refused at once, with word of when to come back.
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
		t.Errorf("%+v", a)
	}
	if took := time.Since(began); took > 2500*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}

func TestCancelReachesStore(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	id := c.send("films", object, 5*time.Second, "")
	a := receive(t, pending)
	c.write(append([]byte("\x93\x02\xadcancelRequest\x91"), byte(id)))
	eventually(t, "the store is told", func() bool { return r.sumStores(func(s *store) int { return len(s.Quits) }) == 1 })
	serveHit(a) // nobody is owed this
	other := r.client()
	other.send("films", "00000000000000bb", 5*time.Second, "")
	receive(t, pending).Store.SetHandler(serveHit)
	loopback.Close(other.conn) // leaving is cancelling
	eventually(t, "the store is told", func() bool { return r.sumStores(func(s *store) int { return len(s.Quits) }) == 2 })
	if n := r.counter("gone"); n != 2 {
		t.Errorf("%d clients left", n)
	}
}

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
	c.send("films", object, 5*time.Second, "") // one more than a connection may have open
	if a := c.readAnswer(); a.err != "Backoff" {
		t.Fatalf("%+v", a)
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
			t.Fatalf("%+v", a.id)
		}
		delete(want, a.id)
	}
	if n := r.sumStores(func(s *store) int { return s.Conns }); n > 12 { // four share one, while there are descriptors
		t.Errorf("%d connections", n)
	}
}

// A machine that was cut off leaves its connection open without a word.
func TestSilentConnectionIsProbedAndAbandoned(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	deaf := func(a *storeRequest) {
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
	r.setHandler(deaf)
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" || a.body != content(object, "3") {
		t.Fatalf("%+v", a)
	}
	if s := receive(t, pending).Store; r.sumStores(func(s *store) int { return s.Noops }) == 0 {
		t.Errorf("%s was not tested", s.Name)
	}
}

func TestDrainingStoreGetsNoNewRequests(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+r.endpointJSON("c1", "DRAINING")+`]}`)
	eventually(t, "the event is read", func() bool { return r.counter("journal_events") == 1 })
	c := r.client()
	for i := range 40 {
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("%+v", a)
		}
	}
	for _, a := range r.storeRequests("") {
		if a.Store.Name == "c1" || a.Fields["parent"] == "c1" {
			t.Fatalf("%s was asked, with source %q", a.Store.Name, a.Fields["parent"])
		}
	}
}

func TestPurgeBoundsAcceptedAge(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, fmt.Sprintf(`"expire":{"name":%q,"stamp":%d}`, object, time.Now().UnixMilli()-500))
	r.journal.Publish(3, fmt.Sprintf(`"expire":{"set":40,"stamp":%d}`, time.Now().UnixMilli()))
	eventually(t, "both are read", func() bool { return r.counter("purges") == 2 })
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	c.readAnswer()
	if age, err := strconv.Atoi(r.storeRequests(object)[0].Fields["accept"]); err != nil || age < 500 || age > 6000 {
		t.Errorf("accept %d %v", age, err)
	}
	c.send("films", "00000000000000cc", 5*time.Second, "")
	c.readAnswer()
	if age := r.storeRequests("00000000000000cc")[0].Fields["accept"]; age != "" {
		t.Errorf("of another group: accept %s", age)
	}
}

func TestJournalResumesAfterLastEvent(t *testing.T) {
	r := newRig(t).start()
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`)
	r.journal.Events <- "id: 3\ndata: {\"pos\":3,\"expire\":{}}\n\n" // cannot be used, and is passed over
	r.journal.Events <- "id: 4\ndata: nonsense\n\n"
	r.journal.Events <- "" // the connection ends
	if id := receive(t, r.journal.Connected); id != "4" {
		t.Errorf("resumed after %q", id)
	}
	r.journal.Publish(2, `"expire":{"set":40,"stamp":1}`) // told again
	r.journal.Publish(5, `"expire":{"set":41,"stamp":1}`)
	eventually(t, "the rest is read", func() bool { return r.counter("purges") == 2 })
	if n := r.counter("journal_dropped"); n != 2 {
		t.Errorf("%d dropped", n)
	}
}

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
	c.send("films", "a,parent=o", 5*time.Second, "") // would word a field of its own
	if a := c.readAnswer(); a.err == "" {
		t.Errorf("%+v", a)
	}
	c.write([]byte("\x94\x00\x02\xa5nosuc\x92\x81\xa5limit\xa3abc\xc4\x00"))
	if a := c.readAnswer(); a.err == "" {
		t.Errorf("%+v", a)
	}
	good.send("films", object, 5*time.Second, "")
	if a := good.readAnswer(); a.err != "" {
		t.Errorf("%+v", a)
	}
	if n := len(r.storeRequests("")); n != 1 {
		t.Errorf("the stores saw %d", n)
	}
}

// What stores could not use is answered at the front: they close their connection on what they cannot read, and all
// that is open on it would be lost.
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
			t.Errorf("%v: %+v", bad, a)
		}
	}
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("%+v", a)
	}
	if n := len(r.storeRequests("")); n != 1 {
		t.Errorf("the stores saw %d", n)
	}
}

func TestMalformedStoreReplyIsRetried(t *testing.T) {
	for _, nonsense := range []string{"*9\r\n", "$3\r\nabc\r\n", "*4\r\n$99999999\r\n", "+OK\r\n", strings.Repeat("1", 100),
		respArray("x", "HUH", "-", ""), respArray("x", "DONE"), "*1\r\n$3\r\nabcd\r\n"} {
		t.Run("", func(t *testing.T) {
			r := newRig(t).start()
			once := make(chan bool, 1)
			once <- true
			r.setHandler(func(a *storeRequest) {
				select {
				case <-once:
					_, _ = a.Conn.Write([]byte(nonsense))
				default:
					serveHit(a)
				}
			})
			c := r.client()
			c.send("images", object, 2*time.Second, "")
			if a := c.readAnswer(); a.err != "" || a.body != content(object, "3") {
				t.Fatalf("%+v", a)
			}
		})
	}
}

// After SIGTERM connections keep coming for up to 0.4 s, and requests for 0.2 s beyond that.
func TestTermServesLateConnections(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	early := r.client()
	early.send("films", object, 5*time.Second, "")
	a := receive(t, pending)
	if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r.waitForLog("msg=draining")
	r.setHandler(serveHit)
	late := r.client()
	late.send("films", "00000000000000dd", 5*time.Second, "")
	if got := late.readAnswer(); got.err != "" {
		t.Errorf("%+v", got)
	}
	serveHit(a)
	if got := early.readAnswer(); got.err != "" {
		t.Errorf("%+v", got)
	}
	if err := receive(t, r.exited); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if line := r.waitForLog("msg=counters"); !strings.Contains(line, "answered_served=2") {
		t.Error(line)
	}
}

// No kill comes sooner than 0.7 s after the longest deadline: until then what is open may still be served. It was
// failed 3.5 s after SIGTERM, though it may take 5 s here.
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
		t.Errorf("%+v", got)
	}
	if err := receive(t, r.exited); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// A signal that comes as soon as the program says that it serves is minded. It was lost now and then, since
// signals were taken in only after that.
func TestSignalsHandledOnceServing(t *testing.T) {
	for range 10 {
		r := newRig(t).start()
		_ = r.cmd.Process.Signal(syscall.SIGUSR1)
		r.waitForLog("msg=counters")
	}
}

// What is open at the end is answered before the kill that follows 3.7 s after SIGTERM.
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
		t.Errorf("%+v", a)
	}
	if err := receive(t, r.exited); err != nil || time.Since(began) > 10*time.Second {
		t.Errorf("it ended with %v after %v", err, time.Since(began))
	}
}

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
	peer, all, stranger := listen(), listen(), listen()
	own := listen()
	r.config["peer_listen"] = own.LocalAddr().String()
	r.config["peers"] = []string{own.LocalAddr().String(), peer.LocalAddr().String()}
	r.config["peers_all"] = all.LocalAddr().String()
	loopback.Close(own)
	r.start()
	buf := make([]byte, 512)
	_ = all.SetReadDeadline(time.Now().Add(eventTimeout))
	n, from, err := all.ReadFromUDP(buf)
	if err != nil || n > 256 || from.String() != r.config["peer_listen"] {
		t.Fatalf("%d bytes from %v: %v", n, from, err)
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
	_ = peer.SetReadDeadline(time.Now().Add(eventTimeout)) // a greeting is answered
	if _, _, err := peer.ReadFromUDP(buf); err != nil {
		t.Fatal(err)
	}
	if heard, dropped := r.counter("peer_heard"), r.counter("peer_dropped"); heard != 2 || dropped != 2 {
		t.Errorf("%d heard, %d dropped", heard, dropped)
	}
}

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
				t.Errorf("%s", out)
			}
		})
	}
}

// A store that started anew may have left its old connections open without a word.
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
		t.Fatalf("%d connections", n)
	}
	since := fmt.Sprint(`"since_ms":`, time.Now().Add(-10*time.Second).UnixMilli())
	r.journal.Publish(2, `"hosts":{"index":2,"snapshot":false,"endpoints":[`+
		strings.ReplaceAll(r.endpointJSON("c1", "SERVING")+","+r.endpointJSON("c2", "SERVING"), `"since_ms":0`, since)+`]}`)
	eventually(t, "the event is read", func() bool { return r.counter("journal_events") == 1 })
	i := 0
	eventually(t, "both are connected to anew", func() bool { // cold stores get little at first
		ask(i)
		i++
		return conns() == 4
	})
}

// Clients hold at most their share of the descriptors, and who asked once and stays makes room for who comes. Such
// connections filled the share for good, and each newcomer was closed unheard.
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
	for i := range 100 { // 27 is their share
		c := r.client()
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("%d: %+v", i, a)
		}
	}
	serveHit(a)
	if got := busy.readAnswer(); got.err != "" {
		t.Errorf("in work meanwhile: %+v", got)
	}
	if open := r.counter("conns_opened") - r.counter("conns_closed"); open > 27+10 {
		t.Errorf("%d connections", open)
	}
}

// With every place in work, one more connection is closed, and the next free place is given on.
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
	eventually(t, "its place is given on", func() bool { return r.counter("gone") > 0 })
	r.setHandler(serveHit)
	c := r.client()
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("%+v", a)
	}
}

// Nobody keeps a place by saying nothing, or by stopping in the middle.
func TestSilentAndHalfSentConnectionsAreClosed(t *testing.T) {
	r, addr := signedRig(t, "")
	silent, half, later := r.client(), r.client(), r.client()
	half.write([]byte("\x94\x00\x01\xa5ali"))
	later.send("images", object, 2*time.Second, "")
	later.readAnswer()
	later.write([]byte("\x94\x00\xc4\xff"))
	web, unsaid := newHTTPConn(t, addr), newHTTPConn(t, addr)
	if _, err := web.conn.Write([]byte("GET /films HTT")); err != nil {
		t.Fatal(err)
	}
	if answer, _ := web.readResponse(); answer.StatusCode != 408 {
		t.Errorf("status %d", answer.StatusCode)
	}
	_ = unsaid.conn.SetReadDeadline(time.Now().Add(eventTimeout))
	if _, err := unsaid.r.ReadByte(); err != io.EOF {
		t.Errorf("of a silent one: %v", err)
	}
	silent.expectClosed()
	half.expectClosed()
	later.expectClosed()
}

// A client that writes its request slowly, in pieces over somewhat more than 2 s, is answered: on a fresh connection, and behind an
// earlier request.
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
			t.Errorf("%+v", a)
		}
	}
}
