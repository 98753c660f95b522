package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const patience = 10 * time.Second

// join is Join, with what it takes closed at the end. Locks belong to open files, so two processes of one test are told apart as
// those of two programs are.
func join(t *testing.T, dir string) *Process {
	t.Helper()
	p, err := Join(dir, 5*pollInterval)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func await(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatalf("it never came that %s", what)
	}
}

// listening is a TCP socket that listens, its address and its raw connection.
func listening(t *testing.T) (*net.TCPListener, string, syscall.RawConn) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener), l.Addr().String(), raw
}

// closeLater closes something at the end of a test.
func closeLater(t *testing.T, what io.Closer) {
	t.Cleanup(func() { _ = what.Close() }) // nothing is written to it
}

// answerWith answers a successor with a state, the socket at an address twice, and a connection with two inputs.
func answerWith(t *testing.T, answer AnswerFunc, addr string, raw syscall.RawConn) {
	link, err := answer([]byte("all that is known"), []Socket{{addr, raw}, {"again", raw}})
	if err != nil {
		t.Error(err)
		return
	}
	inputs := []BufferedInput{{Data: []byte("half"), Age: time.Second}, {Data: []byte("rest")}}
	if controlErr := raw.Control(func(fd uintptr) { err = link.Migrate("where", inputs, int(fd)) }); controlErr != nil || err != nil {
		t.Error(controlErr, err)
	}
	if err := link.Migrate("too long", []BufferedInput{{Data: make([]byte, maxPacketBytes)}}, 0); err == nil {
		t.Error("a packet that is too long goes over")
	}
	link.Close()
}

// checkHandover checks that what answerWith has sent has come.
func checkHandover(t *testing.T, h Handover) {
	t.Helper()
	if string(h.State) != "all that is known" || h.SocketsErr != nil || len(h.Sockets) != 2 {
		t.Fatalf("%+v", h)
	}
	moved, err := h.Connections.Next()
	if err != nil || moved.Addr != "where" || len(moved.Inputs) != 2 || string(moved.Inputs[0].Data) != "half" ||
		moved.Inputs[0].Age != time.Second || string(moved.Inputs[1].Data) != "rest" {
		t.Fatalf("%+v, %v", moved, err)
	}
	closeLater(t, moved.File)
	if _, err := h.Connections.Next(); err == nil {
		t.Error("the link has no end")
	}
}

// checkSockets has a successor ask for the state and the sockets of the process that answers with answerWith. What waits to be
// accepted is not reset with the former process's socket.
func checkSockets(t *testing.T, successor *Process, listener *net.TCPListener) {
	t.Helper()
	addr := listener.Addr().String()
	queued, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, queued)
	handed, err := successor.RequestHandover(patience)
	if err != nil {
		t.Fatal(err)
	}
	checkHandover(t, handed)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	over, err := net.FileListener(handed.Sockets[addr])
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, over)
	if conn, err := over.Accept(); err != nil || conn.RemoteAddr().String() != queued.LocalAddr().String() {
		t.Errorf("%v", err)
	}
	for _, f := range handed.Sockets {
		closeLater(t, f)
	}
}

// The state goes over, the successor hears of the end of the former process, and takes its place: the next one may come.
func TestStateGoesOver(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first := join(t, dir)
	if first.IsSuccessor() || first.HasSuccessor() {
		t.Error("one that is alone has company")
	}
	listener, addr, raw := listening(t)
	first.Watch(func(answer AnswerFunc) { answerWith(t, answer, addr, raw) }, func() {})
	second := join(t, dir)
	if !second.IsSuccessor() || second.HasSuccessor() || !first.HasSuccessor() {
		t.Error("who takes over from whom?")
	}
	checkSockets(t, second, listener)
	if _, err := Join(dir, 5*pollInterval); !errors.Is(err, ErrTooManyProcesses) {
		t.Errorf("a third one: %v", err)
	}
	if first.SuccessorServes() {
		t.Error("the successor takes no clients yet")
	}
	if err := second.StartServing(); err != nil || !first.SuccessorServes() {
		t.Errorf("the successor takes clients: %v", err)
	}
	second.StopServing()
	if first.SuccessorServes() {
		t.Error("the successor takes no clients any more")
	}
	alone := make(chan struct{})
	second.OnPredecessorExit(func() { close(alone) })
	select {
	case <-alone:
		t.Fatal("the former process still runs")
	case <-time.After(4 * pollInterval):
	}
	first.Close()
	await(t, "the former process has ended", alone)
	third := join(t, dir)
	if !third.IsSuccessor() || !second.HasSuccessor() || second.SuccessorServes() {
		t.Error("the successor has not taken the place of the one that serves")
	}
}

// A third process waits for its turn, and takes over from the second once the first has ended.
func TestAThirdProcessWaits(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first, second := join(t, dir), join(t, dir)
	second.OnPredecessorExit(func() {})
	joined := make(chan *Process, 1)
	go func() {
		third, err := Join(dir, patience)
		if err != nil {
			t.Error(err)
		}
		joined <- third
	}()
	select {
	case <-joined:
		t.Fatal("three processes at once")
	case <-time.After(4 * pollInterval):
	}
	first.Close()
	third := <-joined
	defer third.Close()
	if !third.IsSuccessor() || !second.HasSuccessor() {
		t.Error("it does not take over from the second")
	}
}

// A successor that ends before it serves is noticed; the next one gets a state of its own, not the one meant for the first.
func TestASuccessorThatEnds(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first := join(t, dir)
	asked, gone := make(chan AnswerFunc, 1), make(chan struct{})
	first.Watch(func(answer AnswerFunc) { asked <- answer }, func() { close(gone) })
	second := join(t, dir)
	if _, err := second.RequestHandover(5 * pollInterval); !errors.Is(err, ErrNoState) {
		t.Errorf("nobody answered: %v", err)
	}
	late := <-asked
	second.Close()
	await(t, "the successor has ended", gone)
	third := join(t, dir)
	if _, err := late([]byte("late"), nil); !errors.Is(err, ErrNoSockets) {
		t.Error(err)
	}
	go func() {
		if _, err := (<-asked)([]byte("fresh"), nil); err != nil {
			t.Error(err)
		}
	}()
	if handed, err := third.RequestHandover(patience); err != nil || string(handed.State) != "fresh" {
		t.Errorf("%+v, %v", handed, err)
	}
}

// Where the one that serves ends before it answers, its successor does not wait for it.
func TestAPredecessorThatEnds(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first := join(t, dir)
	second := join(t, dir)
	first.Close()
	began := time.Now()
	if _, err := second.RequestHandover(patience); !errors.Is(err, ErrNoState) || time.Since(began) > patience/2 {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}

// A folder that others can write, or a link in its place, is not used.
func TestForeignFolders(t *testing.T) {
	open := filepath.Join(t.TempDir(), "open")
	if err := os.Mkdir(open, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(open, 0o777); err != nil {
		t.Fatal(err)
	}
	link := filepath.Join(t.TempDir(), "link")
	if err := os.Symlink(t.TempDir(), link); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{open, link} {
		if _, err := Join(dir, 0); !errors.Is(err, ErrFolderNotPrivate) {
			t.Errorf("%s: %v", dir, err)
		}
	}
}

// A successor got no sockets after one accept that failed for a shortage that passes.
func TestAFailedAcceptDoesNotEndTheWaitForSockets(t *testing.T) {
	calls := 0
	conn, err := acceptWithRetry(func() (*net.UnixConn, error) {
		if calls++; calls < 4 {
			return nil, os.NewSyscallError("accept4", syscall.ENOBUFS)
		}
		return &net.UnixConn{}, nil
	})
	if conn == nil || err != nil || calls != 4 {
		t.Errorf("after %d accepts: %v, %v", calls, conn, err)
	}
	for _, end := range []error{os.ErrDeadlineExceeded, net.ErrClosed} {
		if _, err := acceptWithRetry(func() (*net.UnixConn, error) { return nil, end }); !errors.Is(err, end) {
			t.Errorf("%v: %v", end, err)
		}
	}
}
