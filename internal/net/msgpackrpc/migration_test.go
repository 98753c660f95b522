package msgpackrpc

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

// countingBackend counts the attempts that are sent.
type countingBackend struct{ sent int }

func (b *countingBackend) Send(*gateway.Attempt) { b.sent++ }
func (*countingBackend) Cancel(*gateway.Attempt) {}

// newTestFront returns a front on a loop that does not run yet, and the backend of its gateway.
func newTestFront(t *testing.T) (*Front, *countingBackend) {
	t.Helper()
	loop, backend := gateway.NewLoop(), &countingBackend{}
	g, err := gateway.New(gateway.Config{Loop: loop, Backend: backend, Log: logrus.New(), Settings: routing.Settings{
		Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond,
		Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box"}, {ID: "o", Zone: "here", Kind: "origin"}}})
	return New(loop, g, []string{"page"}, 10, logrus.New()), backend
}

// newTestConn accepts a connection as one that was migrated with the given input, and returns its handler once that has the
// input.
func newTestConn(t *testing.T, f *Front, chunks ...string) *conn {
	t.Helper()
	engine, err := transport.New(logrus.New(), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	handlers := make(chan *conn, 1)
	l, err := engine.Listen("127.0.0.1:0", 10, nil, func() transport.Handler {
		c := f.NewHandler().(*conn)
		handlers <- c
		return c
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	other, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	client, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", other.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	var received []transport.ReceivedChunk
	for _, text := range chunks {
		received = append(received, transport.ReceivedChunk{Data: []byte(text), At: time.Now()})
	}
	l.Adopt(accepted, received)
	return <-handlers
}

// requestText encodes a request of class page.
func requestText(id byte) string {
	text := func(s string) string { return string([]byte{0xa0 | byte(len(s))}) + s }
	fields := []string{"txn", fmt.Sprintf("%016x", id), "limit", "2000", "item", "00000000000000aa", "n", "3", "shard", "17"}
	all := "\x94\x00" + string([]byte{id}) + text("page") + "\x92" + string([]byte{0x80 | byte(len(fields)/2)})
	for _, f := range fields {
		all += text(f)
	}
	return all + "\xc4\x00"
}

// cancelText encodes the cancel of a request.
func cancelText(id byte) string { return "\x93\x02\xadcancelRequest\x91" + string([]byte{id}) }

// onLoop runs f on a loop that runs, and waits for it.
func onLoop(loop *gateway.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// handleBufferedAndCount has the poller handle the buffered input of a connection, and returns how many batches it has posted to
// the loop for that.
func handleBufferedAndCount(f *Front, c *conn) (batches int64) {
	onLoop(f.loop, func() {
		handled := make(chan struct{})
		c.handleBufferedSoon()
		c.tc.RunOnPoller(func() { close(handled) })
		<-handled // the loop takes no batch meanwhile
		batches = c.inbox.count.Load()
	})
	return batches
}

// Guards against an attempt for a request that was cancelled while it was buffered: input that was read at different times
// must reach the loop as one batch, so that the cancel is known before the request starts. The same input without the cancel is
// the counter-check.
func TestBufferedCancelIsKnownBeforeItsRequestStarts(t *testing.T) {
	for _, k := range []struct {
		name             string
		cancels, buffers bool // the input contains a cancel; the process is a predecessor that handles the input in the end
		attempts         int
	}{
		{"migrated", true, false, 0},
		{"migrated, without the cancel", false, false, 1},
		{"handled by the predecessor", true, true, 0},
		{"handled by the predecessor, without the cancel", false, true, 1},
	} {
		f, backend := newTestFront(t)
		if k.buffers {
			f.BufferRequests(1 << 20)
		}
		request := requestText(1)
		chunks := []string{request[:20], request[20:]}
		if k.cancels {
			chunks = append(chunks, cancelText(1))
		}
		c := newTestConn(t, f, chunks...)
		batches := c.inbox.count.Load()
		go f.loop.Run()
		if k.buffers {
			batches = handleBufferedAndCount(f, c)
		}
		if batches != 1 {
			t.Errorf("%s: the input was posted to the loop in %d batches, want 1", k.name, batches)
		}
		attempts := 0
		for end := time.Now().Add(time.Second); attempts != k.attempts && time.Now().Before(end); time.Sleep(time.Millisecond) {
			onLoop(f.loop, func() { attempts = backend.sent })
		}
		if k.attempts == 0 {
			time.Sleep(20 * time.Millisecond) // in which an attempt would have started
			onLoop(f.loop, func() { attempts = backend.sent })
		}
		if attempts != k.attempts {
			t.Errorf("%s: %d attempts, want %d", k.name, attempts, k.attempts)
		}
		f.loop.Close()
	}
}
