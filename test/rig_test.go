// Package test runs the gateway program as a process and talks to it as its clients, its stores and the journal service
// do.
package test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/crowd"
	"larchusher/lab/fakeserver"
	"larchusher/lab/loopback"
	"larchusher/lab/testbed"
)

// eventTimeout is how long a test waits for an event that must happen.
const eventTimeout = 20 * time.Second

// program is the path of the executable that TestMain has built.
var program string

// TestMain builds the program with the deployment's build command, runs the tests and removes the program.
func TestMain(m *testing.M) {
	if crowd.Main() { // this process is a crowd of another one's test
		return
	}
	dir, err := os.MkdirTemp("", "larchusher")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "larchusher")
	line, err := buildLine()
	if err != nil {
		panic(err)
	}
	line = strings.NewReplacer("mkdir -p bin && ", "", "-o bin/", "-o "+program, "./cmd/...", "larchusher/cmd/larchusher").Replace(line)
	if out, err := exec.CommandContext(context.Background(), "sh", "-c", line).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program failed: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// anyCore is the argument of Process.Start for a program that is not pinned to a core.
const anyCore = -1

// rig is the program under test with its fake servers and configuration.
type rig struct {
	t                *testing.T
	stores           map[string]*store
	journal          *journal
	addr             string          // address of the platform front
	config           map[string]any  // written as JSON by writeConfig
	initialEndpoints json.RawMessage // endpoint list in the configuration; nil: all stores, serving and warm
	path             string          // path of the configuration file; empty until it is written
	clientCount      int             // clients created so far
	args             []string        // arguments of the program
	env              []string        // added to its environment
	program          string          // executable to run; empty: the one that TestMain built
	cmd              *exec.Cmd
	log              *testbed.Log
	exited           <-chan error // receives how the program exited; see Process.Exited
}

// newRig creates the caches c1 and c2, the parent p and the origin o, and a rig that uses them. It does not start the
// program.
func newRig(t *testing.T) *rig { return newRigWithStores(t, newStores(t)) }

// newStores starts the fake stores of newRig, by name. They are closed at the end of the test.
func newStores(t *testing.T) map[string]*store {
	stores := map[string]*store{}
	for name, kind := range map[string]string{"c1": "box", "c2": "box", "p": "parent", "o": "origin"} {
		stores[name] = newStore(t, name, kind)
	}
	return stores
}

// newRigWithStores creates a rig that uses the given stores, which other rigs may use too.
func newRigWithStores(t *testing.T, stores map[string]*store) *rig {
	r := &rig{t: t, stores: stores, journal: newJournal(t), addr: freeAddr(t), log: &testbed.Log{}}
	r.config = map[string]any{"name": "n0", "listen": r.addr, "seed": "8c1f30d27a5be964", "journal": r.journal.Addr,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(testbed.Settings)}
	return r
}

// endpointJSON encodes a store with a status as an endpoint of a journal event.
func (r *rig) endpointJSON(name, status string) string {
	return testbed.EndpointJSON(r.stores[name], status)
}

// writeConfig writes the configuration to its file, which it creates the first time.
func (r *rig) writeConfig() {
	r.t.Helper()
	data, err := json.Marshal(r.config)
	if err != nil {
		r.t.Fatal(err)
	}
	if r.path == "" {
		r.path = filepath.Join(r.t.TempDir(), "config.json")
	}
	if err := os.WriteFile(r.path, data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// signal sends the program a signal.
func (r *rig) signal(s os.Signal) {
	r.t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

// start writes the configuration, starts the program, and waits until it serves and is connected to the journal.
func (r *rig) start() *rig {
	r.t.Helper()
	if r.config["known"] = r.initialEndpoints; r.initialEndpoints == nil {
		r.config["known"] = testbed.EndpointListJSON(r.stores)
	}
	r.writeConfig()
	r.startProcess()
	r.waitForLog("msg=serving")
	receive(r.t, r.journal.Connected)
	return r
}

// startProcess starts the program with the configuration file as it is, and does not wait until it serves. At the end of
// the test it stops the program, prints its log if the test has failed, and fails the test if the log shows a panic.
func (r *rig) startProcess() {
	r.t.Helper()
	p := testbed.NewProcess(cmp.Or(r.program, program), r.args, append([]string{"BALANCER_CONFIG=" + r.path, "BALANCER_NAME=n0"}, r.env...))
	r.cmd, r.log, r.exited = p.Cmd, p.Log, p.Exited()
	if err := p.Start(anyCore); err != nil {
		r.t.Fatal(err)
	}
	log := p.Log
	r.t.Cleanup(func() {
		p.Stop()
		if text := log.String(); strings.Contains(text, "panic") && !strings.Contains(text, "panics=0") || r.t.Failed() {
			r.t.Errorf("the test failed or the program panicked; its log:\n%s", text)
		}
	})
}

// waitForLog waits until a line of the program's log contains the text, and returns the first such line.
func (r *rig) waitForLog(text string) (line string) {
	r.t.Helper()
	eventually(r.t, "the log contains "+text, func() bool {
		for l := range strings.SplitSeq(r.log.String(), "\n") {
			if strings.Contains(l, text) {
				line = l
				return true
			}
		}
		return false
	})
	return line
}

// counter has the program log its counters and returns the one with the given name, or 0 if there is none. It empties
// the log first.
func (r *rig) counter(name string) int {
	r.t.Helper()
	r.log.Reset()
	r.signal(syscall.SIGUSR1)
	for f := range strings.SplitSeq(r.waitForLog("msg=counters"), " ") {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			n, err := strconv.Atoi(v)
			if err != nil {
				r.t.Fatal(err)
			}
			return n
		}
	}
	return 0
}

// receive returns the next value from a channel, and fails the test if none arrives within eventTimeout.
func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(eventTimeout):
		t.Fatal("no value arrived on the channel within eventTimeout")
	}
	return v
}

// eventually polls until the function holds returns true, and fails the test if it has not within eventTimeout. The
// condition names in the failure what was waited for.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within eventTimeout: %s", condition)
		}
	}
}

// freeAddr returns a loopback address that no listener uses.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testbed.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// Short names for the fake servers of package fakeserver.
type (
	store        = fakeserver.Store
	storeRequest = fakeserver.Request
	journal      = fakeserver.Journal
)

// Shorthands for functions of package fakeserver: a RESP array, the content of a part, and an answer with that content.
func respArray(args ...string) string    { return fakeserver.Array(args...) }
func content(object, part string) string { return fakeserver.Content(object, part) }
func serveHit(a *storeRequest)           { fakeserver.ServeHit(a) }

// newStore starts a fake store that is closed at the end of the test.
func newStore(t *testing.T, name, kind string) *store {
	s, err := fakeserver.NewStore(name, kind, fakeserver.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// newJournal starts a fake journal service that is closed at the end of the test.
func newJournal(t *testing.T) *journal {
	j, err := fakeserver.NewJournal(fakeserver.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(j.Close)
	return j
}

// setHandler sets the function by which all stores answer.
func (r *rig) setHandler(answer func(*storeRequest)) {
	for _, s := range r.stores {
		s.SetHandler(answer)
	}
}

// storeRequests returns the requests that all stores have received so far, for one object or, if it is empty, for all.
func (r *rig) storeRequests(object string) (all []*storeRequest) {
	for _, s := range r.stores {
		s.Lock()
		for _, a := range s.Requests {
			if object == "" || a.Fields["name"] == object {
				all = append(all, a)
			}
		}
		s.Unlock()
	}
	return all
}

// sumStores sums a count over all stores, each read under the store's lock.
func (r *rig) sumStores(count func(*store) int) (n int) {
	for _, s := range r.stores {
		s.Lock()
		n += count(s)
		s.Unlock()
	}
	return n
}

// client is a client on one connection of the platform front. It is used by one goroutine at a time.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
	id   int // message id of the latest request
	txn  int // number in the txn field of the latest request
}

// client connects a new client. The connection is closed at the end of the test.
func (r *rig) client() *client {
	r.t.Helper()
	conn, err := loopback.Dial(r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { loopback.Close(conn) })
	r.clientCount++ // disjoint ranges: no two clients send the same txn
	return &client{t: r.t, conn: conn, r: bufio.NewReader(conn), txn: (r.clientCount - 1) << 16}
}

// packString encodes a MessagePack string of up to 255 bytes.
func packString(s string) []byte { return append([]byte{0xd9, byte(len(s))}, s...) }

// packFields encodes a MessagePack map of at most 15 entries from alternating names and values.
func packFields(fields []string) []byte {
	b := []byte{0x80 | byte(len(fields)/2)}
	for _, f := range fields {
		b = append(b, packString(f)...)
	}
	return b
}

// send sends a request for part 3 of an object and returns its message id. The limit is the client's time limit; fields
// are additional names and values, alternating.
func (c *client) send(class, object string, limit time.Duration, body string, fields ...string) int {
	c.t.Helper()
	c.txn++
	c.write(c.encodeRequest(class, object, limit, body, fields...))
	return c.id
}

// encodeRequest encodes a request with the next message id. It does not advance the transaction number txn.
func (c *client) encodeRequest(class, object string, limit time.Duration, body string, fields ...string) []byte {
	c.id++
	fields = append(fields, "txn", fmt.Sprintf("%08x%08x", os.Getpid(), c.txn), "limit", strconv.FormatInt(limit.Milliseconds(), 10),
		"item", object, "n", "3", "shard", "17")
	b := append([]byte{0x94, 0, 0xcd, byte(c.id >> 8), byte(c.id)}, packString(class)...)
	b = append(append(b, 0x92), packFields(fields)...)
	return append(binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(body))), body...)
}

// write sends raw bytes.
func (c *client) write(b []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// answer is a response of the gateway to a client.
type answer struct {
	id      int
	err     string // name of the error, such as Backoff or Lost; empty: served
	body    string
	boolean bool              // result of a health check (alive)
	fields  map[string]string // further fields of the response
}

// readAnswer reads the next response, and fails the test if none arrives within eventTimeout.
func (c *client) readAnswer() answer {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(eventTimeout))
	v, err := unpack(c.r)
	if err != nil {
		c.t.Fatal("reading an answer failed: ", err)
	}
	m := v.([]any)
	a := answer{id: m[1].(int)}
	rest, ok := m[3].([]any)
	if !ok {
		rest = m[2].([]any)
		a.err = rest[0].(string)
	} else if a.boolean, ok = rest[0].(bool); !ok {
		a.body = rest[0].(string)
	}
	a.fields = rest[1].(map[string]string)
	return a
}

// expectClosed waits until the gateway closes the connection, and fails the test if it sends a byte first or does not
// close within eventTimeout.
func (c *client) expectClosed() {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(eventTimeout))
	if b, err := c.r.ReadByte(); err == nil || os.IsTimeout(err) {
		c.t.Fatalf("got byte %#x and error %v, want the connection to be closed without data", b, err)
	}
}

// unpack reads one MessagePack value of the kinds that answers contain. It fails on other kinds.
func unpack(r *bufio.Reader) (any, error) {
	b, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	num := func(n int) int {
		buf := make([]byte, 8)
		_, err = io.ReadFull(r, buf[8-n:])
		return int(binary.BigEndian.Uint64(buf))
	}
	text := func(n int) (any, error) {
		buf := make([]byte, n)
		_, err := io.ReadFull(r, buf)
		return string(buf), err
	}
	switch {
	case b <= 0x7f:
		return int(b), nil
	case b >= 0x80 && b <= 0x8f:
		m := map[string]string{}
		for range b & 0x0f {
			k, _ := unpack(r)
			v, err := unpack(r)
			if err != nil {
				return nil, err
			}
			m[k.(string)] = v.(string)
		}
		return m, nil
	case b >= 0x90 && b <= 0x9f:
		var l []any
		for range b & 0x0f {
			v, err := unpack(r)
			if err != nil {
				return nil, err
			}
			l = append(l, v)
		}
		return l, nil
	case b >= 0xa0 && b <= 0xbf:
		return text(int(b & 0x1f))
	case b == 0xc0:
		return nil, nil
	case b == 0xc2 || b == 0xc3:
		return b == 0xc3, nil
	case b >= 0xc4 && b <= 0xc6:
		return text(num(1 << (b - 0xc4)))
	case b >= 0xcc && b <= 0xce:
		return num(1 << (b - 0xcc)), err
	case b == 0xd9:
		return text(num(1))
	}
	return nil, fmt.Errorf("unexpected MessagePack type byte %#x in an answer", b)
}

// startExpectingError runs the program with a configuration that it must reject, and returns its output. With
// badEndpointList the endpoint list contains an unknown status.
func (r *rig) startExpectingError(badEndpointList bool) string {
	r.t.Helper()
	r.config["known"] = map[string]any{"pos": 1}
	if badEndpointList {
		r.config["known"] = json.RawMessage(`{"pos":1,"entries":[{"hosts":{"endpoints":[` + r.endpointJSON("c1", "HUH") + `]}}]}`)
	}
	r.writeConfig()
	cmd := exec.CommandContext(context.Background(), program, r.args...)
	cmd.Env = append(append(os.Environ(), "BALANCER_CONFIG="+r.path), r.env...)
	out, err := cmd.CombinedOutput()
	if err == nil {
		r.t.Fatalf("the program accepted an invalid configuration, want an exit with an error; output: %s", out)
	}
	return string(out)
}
