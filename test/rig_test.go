// Package test starts the real program as a process, and speaks to it as clients, stores and the journal
// service would.
package test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// patience is how long anything may take that is sure to come.
const patience = 20 * time.Second

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "larchusher")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "larchusher")
	if out, err := exec.Command("go", "build", "-o", program, "larchusher/cmd/larchusher").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// settings are a small location with two caches, a parent and the origin.
const settings = `{"balancers":2,"position":0,"dcs":["north","edge-1"],"zone":"edge-1","stepMs":1,
 "classes":[{"name":"replay-video","aimMs":500,"aimStretch":2,"hardLimitMs":5000,"effect":"repeatable","value":2},
  {"name":"game-assets","aimMs":400,"aimStretch":2,"hardLimitMs":2500,"effect":"repeatable","value":1},
  {"name":"turn-submit","aimMs":600,"hardLimitMs":3000,"effect":"by_key","dedupScope":"all","repeatWindowMs":3000,"value":3}],
 "flavors":["box","parent","origin"],"discovery":"push","weightSource":"off",
 "familyInfo":{"countByZone":[0,2],"homeHub":[0,0],"inPieces":[true,false,false],"joins":true,"neighbours":"any",
  "neverKept":[false,false,true],"noticeTimeMs":1000,"purgeSettlesMs":6000,"rootKind":2,"shieldKind":1,"says":"hit",
  "streamKbPerS":7200,"parentColdFrom":0.083,"parentColdMs":22000,"upperFallMultiple":2},
 "invariants":{"coldFrom":0.15,"overloadForMs":2000,"rampTimeMs":17000,"stopSendingWithinMs":2000,"tipMultiple":2.5},
 "limits":{"cancelling":true,"connectTimeoutMs":400,"keepaliveMs":30000,"maxRetryAfterMs":2000,"mostHeld":20000,
  "peerMessages":true,"retryAfter":true,"secondCopies":true,"sendCap":8,"streamsPerConn":32},
 "loadInfo":{"fields":["busy_reqs","x1","x0"],"how":"inline"}}`

// rig is the program with everything that it talks to.
type rig struct {
	t       *testing.T
	stores  map[string]*store
	journal *journal
	addr    string
	config  map[string]any
	path    string // of the configuration
	clients int
	args    []string
	env     []string
	cmd     *exec.Cmd
	log     *logBuffer
	exited  chan error
}

// newRig makes caches c1 and c2, a parent p and the origin o, and does not start the program yet.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, stores: map[string]*store{}, journal: newJournal(t), addr: free(t), log: &logBuffer{}}
	for name, kind := range map[string]string{"c1": "box", "c2": "box", "p": "parent", "o": "origin"} {
		r.stores[name] = newStore(t, name, kind)
	}
	r.config = map[string]any{"name": "n0", "listen": r.addr, "seed": "8c1f30d27a5be964", "journal": r.journal.addr,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings)}
	return r
}

// host words a store for the journal.
func (r *rig) host(name, status string) string {
	s, zone := r.stores[name], "edge-1"
	if s.kind != "box" {
		zone = "north"
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, s.addr, zone, s.kind, status)
}

// write writes the configuration to its file.
func (r *rig) write() {
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

// start starts the program and waits until it serves.
func (r *rig) start() *rig {
	r.t.Helper()
	var hosts []string
	for _, n := range []string{"c1", "c2", "p", "o"} {
		if r.stores[n] != nil {
			hosts = append(hosts, r.host(n, "SERVING"))
		}
	}
	r.config["known"] = json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` +
		strings.Join(hosts, ",") + `]}}]}`)
	r.write()
	r.cmd = exec.Command(program, r.args...)
	r.cmd.Env = append(append(os.Environ(), "BALANCER_CONFIG="+r.path, "BALANCER_NAME=n0"), r.env...)
	r.cmd.Stderr = r.log
	if err := r.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.exited = make(chan error, 1)
	go func() { r.exited <- r.cmd.Wait(); close(r.exited) }()
	r.t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		<-r.exited
		if text := r.log.String(); strings.Contains(text, "panic") && !strings.Contains(text, "panics=0") || r.t.Failed() {
			r.t.Errorf("its log:\n%s", text)
		}
	})
	r.logged("msg=serving")
	next(r.t, r.journal.connected)
	return r
}

// logged waits until the log has a line with the text, and returns it.
func (r *rig) logged(text string) (line string) {
	r.t.Helper()
	eventually(r.t, "the log says "+text, func() bool {
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

// counter asks for the counters and returns one.
func (r *rig) counter(name string) int {
	r.t.Helper()
	r.log.Reset()
	r.signal(syscall.SIGUSR1)
	for f := range strings.SplitSeq(r.logged("msg=counters"), " ") {
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

// next takes what must come on a channel.
func next[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

// eventually waits for what must come.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never came that %s", what)
		}
	}
}

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// logBuffer is written by the process and read by tests.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *logBuffer) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Reset()
}

// store is a stand-in for a store.
type store struct {
	name, kind, addr string
	l                net.Listener

	mu     sync.Mutex
	answer func(*ask) // nil: DONE with the body of content
	seen   []*ask
	quits  []string
	noops  int
	conns  int
	deaf   bool // answers no NOOP
}

// ask is one ASK, with what it takes to answer it.
type ask struct {
	id, body string
	fields   map[string]string
	store    *store
	conn     net.Conn
}

// reply sends an answer.
func (a *ask) reply(word, fields, body string) {
	_, _ = io.WriteString(a.conn, array(a.id, word, fields, body))
}

func array(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return s
}

// content is what the stores hold for a part.
func content(object, part string) string { return strings.Repeat(object+"/"+part+";", 400) }

func done(a *ask) {
	a.reply("DONE", "why=warm,digest=tag-"+a.fields["name"]+",dated=1,rep=inflight:1;x1:0.5;x0:0.9",
		content(a.fields["name"], a.fields["piece"]))
}

func newStore(t *testing.T, name, kind string) *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &store{name: name, kind: kind, l: l, addr: l.Addr().String(), answer: done}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *store) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		args, err := readArray(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		answer := s.answer
		switch args[0] {
		case "ASK":
			a := &ask{id: args[1], body: args[3], fields: map[string]string{}, store: s, conn: c}
			for f := range strings.SplitSeq(args[2], ",") {
				k, v, _ := strings.Cut(f, "=")
				a.fields[k] = v
			}
			s.seen = append(s.seen, a)
			s.mu.Unlock()
			answer(a)
			continue
		case "QUIT":
			s.quits = append(s.quits, args[1])
		case "NOOP":
			if s.noops++; !s.deaf {
				_, _ = io.WriteString(c, array(args[1], "FIT", "-", ""))
			}
		}
		s.mu.Unlock()
	}
}

func readArray(r *bufio.Reader) ([]string, error) {
	length := func(kind byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil || line[0] != kind {
			return 0, fmt.Errorf("%q: %w", line, err)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := length('*')
	var args []string
	for ; err == nil && n > 0; n-- {
		var size int
		if size, err = length('$'); err == nil {
			b := make([]byte, size+2)
			if _, err = io.ReadFull(r, b); err == nil {
				args = append(args, string(b[:size]))
			}
		}
	}
	return args, err
}

// on sets how a store answers.
func (s *store) on(answer func(*ask)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// on sets how all stores answer.
func (r *rig) on(answer func(*ask)) {
	for _, s := range r.stores {
		s.on(answer)
	}
}

// asks are what all stores were asked so far; of the object, if one is named.
func (r *rig) asks(object string) (all []*ask) {
	for _, s := range r.stores {
		s.mu.Lock()
		for _, a := range s.seen {
			if object == "" || a.fields["name"] == object {
				all = append(all, a)
			}
		}
		s.mu.Unlock()
	}
	return all
}

// sum adds up a count of the stores.
func (r *rig) sum(of func(*store) int) (n int) {
	for _, s := range r.stores {
		s.mu.Lock()
		n += of(s)
		s.mu.Unlock()
	}
	return n
}

// journal is a stand-in for the journal service.
type journal struct {
	addr      string
	connected chan string // Last-Event-ID of each connection
	events    chan string // to be sent; an empty one ends the connection
}

func newJournal(t *testing.T) *journal {
	j := &journal{connected: make(chan string, 100), events: make(chan string, 100)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	j.addr = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/journal" || q.Method != http.MethodGet {
			http.NotFound(w, q)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, ": hello\n\n")
		w.(http.Flusher).Flush()
		j.connected <- q.Header.Get("Last-Event-ID")
		for tick := time.NewTicker(time.Second); ; {
			select {
			case e := <-j.events:
				if e == "" {
					return
				}
				_, _ = io.WriteString(w, e)
			case <-tick.C:
				_, _ = io.WriteString(w, ": still here\n\n")
			case <-q.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return j
}

// tell sends one event.
func (j *journal) tell(pos int, rest string) {
	j.events <- fmt.Sprintf("id: %d\ndata: {\"pos\":%d,%s}\n\n", pos, pos, rest)
}

// client is a stand-in for a client.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
	id   int
	txn  int
}

func (r *rig) client() *client {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	r.clients++ // no two clients use one txn
	return &client{t: r.t, conn: conn, r: bufio.NewReader(conn), txn: (r.clients - 1) << 16}
}

func packText(s string) []byte { return append([]byte{0xd9, byte(len(s))}, s...) }

func packFields(fields []string) []byte {
	b := []byte{0x80 | byte(len(fields)/2)}
	for _, f := range fields {
		b = append(b, packText(f)...)
	}
	return b
}

// send sends a request and returns its message id. The fields are names and values.
func (c *client) send(class, object string, limit time.Duration, body string, fields ...string) int {
	c.t.Helper()
	c.id++
	c.txn++
	fields = append(fields, "txn", fmt.Sprintf("%08x%08x", os.Getpid(), c.txn), "limit", strconv.FormatInt(limit.Milliseconds(), 10),
		"item", object, "n", "3", "shard", "17")
	b := append([]byte{0x94, 0, 0xcd, byte(c.id >> 8), byte(c.id)}, packText(class)...)
	b = append(append(b, 0x92), packFields(fields)...)
	b = append(binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(body))), body...)
	c.raw(b)
	return c.id
}

func (c *client) raw(b []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// answer is one response.
type answer struct {
	id     int
	err    string // word of the error; "" means served
	body   string
	truth  bool
	fields map[string]string
}

// next reads the next response.
func (c *client) next() answer {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	v, err := unpack(c.r)
	if err != nil {
		c.t.Fatal("reading an answer: ", err)
	}
	m := v.([]any)
	a := answer{id: m[1].(int)}
	rest, ok := m[3].([]any)
	if !ok {
		rest = m[2].([]any)
		a.err = rest[0].(string)
	} else if a.truth, ok = rest[0].(bool); !ok {
		a.body = rest[0].(string)
	}
	a.fields = rest[1].(map[string]string)
	return a
}

// ended waits until the other side closes, and fails on anything that comes before.
func (c *client) ended() {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	if b, err := c.r.ReadByte(); err == nil || os.IsTimeout(err) {
		c.t.Fatalf("the connection is open: %#x %v", b, err)
	}
}

// unpack reads one MessagePack value, of the kinds that answers have.
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
	return nil, fmt.Errorf("byte %#x", b)
}

// refused starts the program on a configuration that it must refuse, and returns what it says.
func (r *rig) refused(badKnown bool) string {
	r.t.Helper()
	r.config["known"] = map[string]any{"pos": 1}
	if badKnown {
		r.config["known"] = json.RawMessage(`{"pos":1,"entries":[{"hosts":{"endpoints":[` + r.host("c1", "HUH") + `]}}]}`)
	}
	r.write()
	cmd := exec.Command(program, r.args...)
	cmd.Env = append(append(os.Environ(), "BALANCER_CONFIG="+r.path), r.env...)
	out, err := cmd.CombinedOutput()
	if err == nil {
		r.t.Fatalf("it started: %s", out)
	}
	return string(out)
}
