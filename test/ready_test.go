package test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchusher/lab/loopback"
	"larchusher/lab/testbed"
)

const (
	eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	commentLine     = ": still here\n\n"
	pollInterval    = 50 * time.Millisecond // of a balancer in these tests
)

// scriptedJournal is a journal service that treats each connection as a function says, which may be replaced.
type scriptedJournal struct {
	addr   string
	treat  atomic.Pointer[func(conn net.Conn)]
	spoken atomic.Bool // it has sent a line of an event stream
	conns  chan net.Conn
}

// newScriptedJournal starts a journal service.
func newScriptedJournal(t *testing.T, treat func(conn net.Conn)) *scriptedJournal {
	t.Helper()
	l, err := loopback.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loopback.Close(l) })
	j := &scriptedJournal{addr: l.Addr().String(), conns: make(chan net.Conn, 1000)}
	j.treat.Store(&treat)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			j.conns <- conn
			go (*j.treat.Load())(conn)
		}
	}()
	return j
}

// switchTo changes how connections are treated, and closes those that are open.
func (j *scriptedJournal) switchTo(treat func(conn net.Conn)) {
	j.treat.Store(&treat)
	for {
		select {
		case conn := <-j.conns:
			loopback.Close(conn)
		default:
			return
		}
	}
}

// Ways in which a journal service says nothing.
var silences = map[string]func(conn net.Conn){
	"accepts and is silent": func(net.Conn) {},
	"breaks off":            func(conn net.Conn) { loopback.Close(conn) },
	"breaks off after the head": func(conn net.Conn) {
		_, _ = io.WriteString(conn, eventStreamHead)
		loopback.Close(conn)
	},
	"sends the head and is silent": func(conn net.Conn) { _, _ = io.WriteString(conn, eventStreamHead) },
	"has an error":                 func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n\r\nnot yet\n") },
	"dribbles a line": func(conn net.Conn) {
		_, _ = io.WriteString(conn, eventStreamHead)
		for {
			if _, err := io.WriteString(conn, ":"); err != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	},
}

// speak sends a comment each half second.
func (j *scriptedJournal) speak(conn net.Conn) {
	_, _ = io.WriteString(conn, eventStreamHead)
	for {
		j.spoken.Store(true)
		if _, err := io.WriteString(conn, commentLine); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// balancerState asks the agent check and the health check, and returns whether the former says that the gateway is up. It fails the test if
// they disagree while the state does not change.
func balancerState(t *testing.T, agent, health string) (up bool) {
	t.Helper()
	before := agentSaysReady(t, agent)
	status, _, _ := newHTTPConn(t, health).get("GET", "/healthz")
	up = agentSaysReady(t, agent)
	if before == up && up != (status == 200) {
		t.Errorf("agent check ready %v, /healthz %d: they disagree", up, status)
	}
	return up
}

// agentSaysReady asks the agent check whether the gateway is ready.
func agentSaysReady(t *testing.T, addr string) bool {
	t.Helper()
	c, err := loopback.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer loopback.Close(c)
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return strings.HasPrefix(string(text), "ready")
}

// checkStateStays polls the health checks for a time and fails the test if they change from what is wanted.
func checkStateStays(t *testing.T, agent, health string, up bool, d time.Duration) {
	t.Helper()
	changes, last := 0, up
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
		if state := balancerState(t, agent, health); state != last {
			changes, last = changes+1, state
		}
	}
	if changes > 0 {
		t.Errorf("the state was up %v, and changed %d times within %v; want no change", up, changes, d)
	}
}

// Guards against a gateway that tells balancers it is ready while it knows its old list alone: it must have heard a line of the journal
// service since its start. From then on it must stay ready, without flapping, whatever the service does. JOURNAL_SECONDS is for how long
// each state is watched.
func TestGatewayIsReadyOnceJournalHasSpoken(t *testing.T) {
	watched := 3 * time.Second // longer than the silence after which the gateway connects anew
	if n, err := strconv.Atoi(os.Getenv("JOURNAL_SECONDS")); err == nil {
		watched = time.Duration(n) * time.Second
	}
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j := newScriptedJournal(t, silence)
			agent, health := freeAddr(t), freeAddr(t)
			r := newRig(t)
			r.config["journal"] = j.addr
			r.config["known"] = testbed.EndpointListJSON(r.stores)
			r.writeConfig()
			r.args = []string{"serve", "--operator", writeHealthChecks(t, agent, health)}
			r.startProcess()
			r.waitForLog("msg=serving")
			checkStateStays(t, agent, health, false, watched)
			j.switchTo(j.speak)
			eventually(t, "the gateway is ready", func() bool { return balancerState(t, agent, health) })
			if !j.spoken.Load() {
				t.Error("the gateway is ready before the journal service has sent a line")
			}
			j.switchTo(silence)
			checkStateStays(t, agent, health, true, watched)
		})
	}
}

// writeHealthChecks writes an operator's file with the two health checks, and returns its path.
func writeHealthChecks(t *testing.T, agent, health string) string {
	t.Helper()
	path := t.TempDir() + "/operator.textproto"
	if err := os.WriteFile(path, fmt.Appendf(nil, "health {\nagent_listen: %q\nhttp_listen: %q\n}\n", agent, health), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
