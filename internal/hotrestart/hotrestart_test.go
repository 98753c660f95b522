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

const testTimeout = 10 * time.Second

// join calls Join, and Close at the end of the test. File locks belong to open files rather than processes, so two Processes in one
// test exclude each other like those of two programs.
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
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting until %s", what)
	}
}

// listenTCP returns a listening TCP socket, its address and its raw connection.
func listenTCP(t *testing.T) (*net.TCPListener, string, syscall.RawConn) {
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

// closeAtEnd closes something at the end of the test.
func closeAtEnd(t *testing.T, what io.Closer) {
	t.Cleanup(func() { _ = what.Close() }) // nothing was written to it
}

// answerHandover answers a request with a state, one socket under two addresses, and a client's connection with two inputs.
func answerHandover(t *testing.T, answer AnswerFunc, addr string, raw syscall.RawConn) {
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
		t.Error("Migrate accepts a packet of more than maxPacketBytes")
	}
	link.Close()
}

// checkHandover checks that a handover has what answerHandover sent.
func checkHandover(t *testing.T, h Handover) {
	t.Helper()
	if string(h.State) != "all that is known" || h.SocketsErr != nil || len(h.Sockets) != 2 {
		t.Fatalf("handover: %+v, want the state and two sockets", h)
	}
	migrated, err := h.Connections.Next()
	if err != nil || migrated.Addr != "where" || len(migrated.Inputs) != 2 || string(migrated.Inputs[0].Data) != "half" ||
		migrated.Inputs[0].Age != time.Second || string(migrated.Inputs[1].Data) != "rest" {
		t.Fatalf("migrated connection: %+v, error %v, want inputs half and rest at address where", migrated, err)
	}
	closeAtEnd(t, migrated.File)
	if _, err := h.Connections.Next(); err == nil {
		t.Error("Next returns no error after the link was closed")
	}
}

// checkSocketHandover has a successor request a handover, which its predecessor answers by answerHandover. A connection that waits in
// the accept queue must survive the close of the predecessor's listening socket.
func checkSocketHandover(t *testing.T, successor *Process, listener *net.TCPListener) {
	t.Helper()
	addr := listener.Addr().String()
	queued, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, queued)
	handover, err := successor.RequestHandover(testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	checkHandover(t, handover)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	inherited, err := net.FileListener(handover.Sockets[addr])
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, inherited)
	if conn, err := inherited.Accept(); err != nil || conn.RemoteAddr().String() != queued.LocalAddr().String() {
		t.Errorf("accepting the connection that waited in the queue: error %v, or another connection", err)
	}
	for _, f := range handover.Sockets {
		closeAtEnd(t, f)
	}
}

// A successor receives the state, is notified when the active process ends, and becomes the active one, which can have a successor.
func TestHandover(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first := join(t, dir)
	if first.IsSuccessor() || first.HasSuccessor() {
		t.Error("a process that joins alone is a successor or has one")
	}
	listener, addr, raw := listenTCP(t)
	first.Watch(func(answer AnswerFunc) { answerHandover(t, answer, addr, raw) }, func() {})
	second := join(t, dir)
	if !second.IsSuccessor() || second.HasSuccessor() || !first.HasSuccessor() {
		t.Error("the second process is not the successor of the first")
	}
	checkSocketHandover(t, second, listener)
	if _, err := Join(dir, 5*pollInterval); !errors.Is(err, ErrTooManyProcesses) {
		t.Errorf("a third process joins: error %v, want ErrTooManyProcesses", err)
	}
	if first.SuccessorServes() {
		t.Error("SuccessorServes before StartServing")
	}
	if err := second.StartServing(); err != nil || !first.SuccessorServes() {
		t.Errorf("not SuccessorServes after StartServing, which returned %v", err)
	}
	second.StopServing()
	if first.SuccessorServes() {
		t.Error("SuccessorServes after StopServing")
	}
	predecessorExited := make(chan struct{})
	second.OnPredecessorExit(func() { close(predecessorExited) })
	select {
	case <-predecessorExited:
		t.Fatal("OnPredecessorExit calls back while the predecessor is running")
	case <-time.After(4 * pollInterval):
	}
	first.Close()
	await(t, "the successor is notified of the predecessor's end", predecessorExited)
	third := join(t, dir)
	if !third.IsSuccessor() || !second.HasSuccessor() || second.SuccessorServes() {
		t.Error("the second process has not become active: the third is not its successor, or serves already")
	}
}

// A third process waits until one of the two others has ended. If the first one ends, it becomes the successor of the second.
func TestThirdProcessWaits(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first, second := join(t, dir), join(t, dir)
	second.OnPredecessorExit(func() {})
	joined := make(chan *Process, 1)
	go func() {
		third, err := Join(dir, testTimeout)
		if err != nil {
			t.Error(err)
		}
		joined <- third
	}()
	select {
	case <-joined:
		t.Fatal("a third process joined while two were running")
	case <-time.After(4 * pollInterval):
	}
	first.Close()
	third := <-joined
	defer third.Close()
	if !third.IsSuccessor() || !second.HasSuccessor() {
		t.Error("the third process is not the successor of the second")
	}
}

// The end of a successor that does not serve yet is noticed. The next successor gets the state that was written for it, not the late
// one for the first.
func TestSuccessorExitsBeforeServing(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first := join(t, dir)
	requests, successorExited := make(chan AnswerFunc, 1), make(chan struct{})
	first.Watch(func(answer AnswerFunc) { requests <- answer }, func() { close(successorExited) })
	second := join(t, dir)
	if _, err := second.RequestHandover(5 * pollInterval); !errors.Is(err, ErrNoState) {
		t.Errorf("request without an answer: error %v, want ErrNoState", err)
	}
	firstAnswer := <-requests
	second.Close()
	await(t, "the active process notices the successor's end", successorExited)
	third := join(t, dir)
	if _, err := firstAnswer([]byte("late"), nil); !errors.Is(err, ErrNoSockets) {
		t.Error(err)
	}
	go func() {
		if _, err := (<-requests)([]byte("fresh"), nil); err != nil {
			t.Error(err)
		}
	}()
	if handover, err := third.RequestHandover(testTimeout); err != nil || string(handover.State) != "fresh" {
		t.Errorf("handover %+v, error %v, want the state fresh", handover, err)
	}
}

// If the active process ends before it answers, its successor does not wait for the timeout.
func TestPredecessorExitsBeforeAnswering(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gateway")
	first := join(t, dir)
	second := join(t, dir)
	first.Close()
	start := time.Now()
	if _, err := second.RequestHandover(testTimeout); !errors.Is(err, ErrNoState) || time.Since(start) > testTimeout/2 {
		t.Errorf("error %v after %v, want ErrNoState before the timeout", err, time.Since(start))
	}
}

// Join rejects a folder that other users can write to, and a symbolic link in its place.
func TestJoinRejectsFoldersNotPrivate(t *testing.T) {
	worldWritable := filepath.Join(t.TempDir(), "open")
	if err := os.Mkdir(worldWritable, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(worldWritable, 0o777); err != nil {
		t.Fatal(err)
	}
	link := filepath.Join(t.TempDir(), "link")
	if err := os.Symlink(t.TempDir(), link); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{worldWritable, link} {
		if _, err := Join(dir, 0); !errors.Is(err, ErrFolderNotPrivate) {
			t.Errorf("%s: error %v, want ErrFolderNotPrivate", dir, err)
		}
	}
}

// Guards against a handover without sockets because a single accept failed for a temporary shortage.
func TestAcceptIsRetried(t *testing.T) {
	calls := 0
	conn, err := acceptWithRetry(func() (*net.UnixConn, error) {
		if calls++; calls < 4 {
			return nil, os.NewSyscallError("accept4", syscall.ENOBUFS)
		}
		return &net.UnixConn{}, nil
	})
	if conn == nil || err != nil || calls != 4 {
		t.Errorf("after %d accepts: connection %v, error %v, want a connection after 4", calls, conn, err)
	}
	for _, end := range []error{os.ErrDeadlineExceeded, net.ErrClosed} {
		if _, err := acceptWithRetry(func() (*net.UnixConn, error) { return nil, end }); !errors.Is(err, end) {
			t.Errorf("accept failed with %v, which ends the wait: got error %v", end, err)
		}
	}
}

// A successor that does not read must not block its predecessor: Migrate must report that it is busy, at once, and work again
// once the successor has read.
func TestMigrateDoesNotBlock(t *testing.T) {
	const longest = time.Second // far above the time of all calls, and below that of waiting for each
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_SEQPACKET|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	conns := make([]*net.UnixConn, 2)
	for i, fd := range ends {
		file := os.NewFile(uintptr(fd), "link")
		conn, err := net.FileConn(file)
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, file)
		closeAtEnd(t, conn)
		conns[i] = conn.(*net.UnixConn)
	}
	link, receiver := &Link{conns[0]}, &Receiver{conn: conns[1], data: make([]byte, maxPacketBytes)}
	devNull, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, devNull)
	start, sent := time.Now(), 0
	for ; err == nil && sent < 1e5; sent++ {
		err = link.Migrate("where", nil, int(devNull.Fd()))
	}
	for range 100 {
		if err := link.Migrate("where", nil, int(devNull.Fd())); !errors.Is(err, ErrSuccessorBusy) {
			t.Fatalf("Migrate after %d packets that were not read: error %v, want ErrSuccessorBusy", sent, err)
		}
	}
	if took := time.Since(start); took > longest {
		t.Errorf("%d calls took %v, want none of them to wait", sent+100, took)
	}
	for range sent - 1 { // the last one was not sent
		migrated, err := receiver.Next()
		if err != nil {
			t.Fatal(err)
		}
		_ = migrated.File.Close() // nothing was written to it
	}
	if err := link.Migrate("where", nil, int(devNull.Fd())); err != nil {
		t.Errorf("Migrate after the successor has read: error %v, want none", err)
	}
}
