package transport

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// transientAcceptErrors are the errors of accept(2) that do not concern the listening socket itself.
var transientAcceptErrors = []syscall.Errno{
	unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EMFILE, unix.ENFILE, unix.ECONNABORTED, unix.EINTR,
	unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT,
}

// echoListener returns a listener whose accept loop is not started and whose handlers echo their input.
func echoListener(t *testing.T, e *Engine) *Listener {
	t.Helper()
	tcp, err := e.open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := e.newListener(tcp, 100, nil, func() Handler { return echoHandler{} })
	t.Cleanup(l.Close)
	return l
}

// isServed reports whether a new connection to the listener is accepted and gets its byte echoed.
func isServed(t *testing.T, l *Listener) bool {
	t.Helper()
	c, err := dial(t, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // no further data is expected
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, _ := c.Read(make([]byte, 1))
	return n == 1
}

// Guards against a listener that stopped accepting for good after one accept failed with an error that it did not
// know.
func TestListenerContinuesAfterFailedAccepts(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errnoName(errno), func(t *testing.T) {
			e := testEngine(t)
			l := echoListener(t, e)
			var calls atomic.Int64
			accept := l.accept
			l.accept = func() (net.Conn, error) {
				if calls.Add(1)%4 != 0 { // three failures before each successful accept
					return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				}
				return accept()
			}
			go l.run()
			for i := range 5 {
				if !isServed(t, l) {
					t.Fatalf("connection %d was not served", i)
				}
			}
			if n := e.AcceptFailures()[errnoName(errno)]; n < 15 {
				t.Errorf("counted %d failed accepts, want at least 15", n)
			}
		})
	}
}

// The accept loop ends only when the listener is closed or drained, and does so also while accepts fail.
func TestListenerStopsOnlyWhenClosed(t *testing.T) {
	for name, end := range map[string]func(*Listener){"close": (*Listener).Close, "close after queued": (*Listener).CloseAfterQueued} {
		e := testEngine(t)
		l := echoListener(t, e)
		accept := l.accept
		var failed atomic.Int64
		l.accept = func() (net.Conn, error) {
			if conn, err := accept(); err == nil || errors.Is(err, net.ErrClosed) {
				return conn, err
			}
			failed.Add(1)
			return nil, syscall.ENOBUFS
		}
		_ = l.tcp.SetDeadline(time.Unix(1, 0)) // lets every accept fail with a timeout
		ended := make(chan struct{})
		go func() { l.run(); close(ended) }()
		waitFor(t, "more than five accepts have failed", func() bool { return failed.Load() > 5 })
		select {
		case <-ended:
			t.Fatalf("%s: the accept loop ended before the listener was closed", name)
		default:
		}
		end(l)
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the accept loop still runs 10 s after the listener was closed", name)
		}
	}
}

// Guards against a listener that gave up the rest of its accept queue after one failed accept: the kernel then reset
// those connections.
func TestAcceptQueuedContinuesAfterFailedAccepts(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errnoName(errno), func(t *testing.T) {
			e := testEngine(t)
			l := echoListener(t, e)
			calls := 0
			l.acceptDescriptor = func(listening int) (int, error) {
				if calls++; calls%3 == 1 {
					return -1, errno
				}
				return acceptDescriptor(listening)
			}
			var clients []net.Conn
			for range 8 {
				c, err := dial(t, l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }() // no further data is expected
				if _, err := c.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
				clients = append(clients, c)
			}
			l.acceptQueued()
			for i, c := range clients {
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				if n, err := c.Read(make([]byte, 1)); n != 1 {
					t.Errorf("queued connection %d got no echo: %v", i, err)
				}
			}
		})
	}
}

// An accept queue that cannot be emptied delays the shutdown by less than a second.
func TestAcceptQueuedGivesUpAfterTooManyFailures(t *testing.T) {
	l := echoListener(t, testEngine(t))
	calls := 0
	l.acceptDescriptor = func(int) (int, error) { calls++; return -1, unix.ENOMEM }
	l.acceptQueued()
	if calls != maxQueuedAcceptFailures {
		t.Errorf("%d accepts were tried, want maxQueuedAcceptFailures", calls)
	}
}

// Failures are counted by errno and logged once a second, with the number of suppressed lines.
func TestAcceptFailuresAreCountedAndLogged(t *testing.T) {
	var text strings.Builder
	log := logrus.New()
	log.SetOutput(&text)
	var f acceptFailures
	for range 3 {
		f.record(log, "127.0.0.1:1", os.NewSyscallError("accept4", unix.ENOBUFS))
	}
	f.record(log, "127.0.0.1:1", errors.New("no errno"))
	f.loggedAt = f.loggedAt.Add(-acceptLogInterval)
	f.record(log, "127.0.0.1:1", os.NewSyscallError("accept4", unix.EPROTO))
	if n := strings.Count(text.String(), "accept failed"); n != 2 || !strings.Contains(text.String(), "suppressed=3") {
		t.Errorf("%d log lines, want 2 and suppressed=3: %s", n, text.String())
	}
	if f.byErrno["ENOBUFS"] != 3 || f.byErrno["EPROTO"] != 1 || f.byErrno[otherError] != 1 {
		t.Error(f.byErrno)
	}
}
