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

// passingAcceptErrors are the errors of accept(2) that are not of the listening socket.
var passingAcceptErrors = []syscall.Errno{
	unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EMFILE, unix.ENFILE, unix.ECONNABORTED, unix.EINTR,
	unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT,
}

// echoListener returns a listener that does not accept yet, and echoes what comes.
func echoListener(t *testing.T, e *Engine) *Listener {
	t.Helper()
	tcp, err := e.open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := e.newListener(tcp, 100, nil, func() Handler { return echoes{} })
	t.Cleanup(l.Close)
	return l
}

// isEchoed reports whether a new connection is served.
func isEchoed(t *testing.T, l *Listener) bool {
	t.Helper()
	c, err := dial(t, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // nothing more is wanted of it
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, _ := c.Read(make([]byte, 1))
	return n == 1
}

// A listener was deaf for good after one accept that failed with an error that it did not know.
func TestAFailedAcceptDoesNotEndTheListener(t *testing.T) {
	for _, errno := range passingAcceptErrors {
		t.Run(errnoName(errno), func(t *testing.T) {
			e := testEngine(t)
			l := echoListener(t, e)
			var calls atomic.Int64
			accept := l.accept
			l.accept = func() (net.Conn, error) {
				if calls.Add(1)%4 != 0 { // three in a row
					return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				}
				return accept()
			}
			go l.run()
			for i := range 5 {
				if !isEchoed(t, l) {
					t.Fatalf("connection %d is not served", i)
				}
			}
			if n := e.AcceptFailures()[errnoName(errno)]; n < 15 {
				t.Errorf("%d failures are counted", n)
			}
		})
	}
}

// Only its own closing ends a listener's loop, and that it does also while accepts fail.
func TestOnlyItsClosingEndsAListener(t *testing.T) {
	for name, end := range map[string]func(*Listener){"close": (*Listener).Close, "yield": (*Listener).CloseAfterQueued} {
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
		_ = l.tcp.SetDeadline(time.Unix(1, 0)) // every accept fails
		ended := make(chan struct{})
		go func() { l.run(); close(ended) }()
		within(t, "accepts fail", func() bool { return failed.Load() > 5 })
		select {
		case <-ended:
			t.Fatalf("%s: it has ended by itself", name)
		default:
		}
		end(l)
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: it goes on", name)
		}
	}
}

// A listener that yields gave up the rest of its queue after one accept that failed: the kernel reset those connections.
func TestAYieldingListenerOutlivesFailedAccepts(t *testing.T) {
	for _, errno := range passingAcceptErrors {
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
				defer func() { _ = c.Close() }() // nothing more is wanted of it
				if _, err := c.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
				clients = append(clients, c)
			}
			l.acceptQueued()
			for i, c := range clients {
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				if n, err := c.Read(make([]byte, 1)); n != 1 {
					t.Errorf("connection %d: %v", i, err)
				}
			}
		})
	}
}

// A queue that can't be emptied holds the end up for less than a second.
func TestAQueueThatCannotBeEmptiedIsGivenUp(t *testing.T) {
	l := echoListener(t, testEngine(t))
	calls := 0
	l.acceptDescriptor = func(int) (int, error) { calls++; return -1, unix.ENOMEM }
	l.acceptQueued()
	if calls != maxQueuedAcceptFailures {
		t.Errorf("%d accepts", calls)
	}
}

// Failures are counted by errno, and logged once a second with the number of lines that were left out.
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
		t.Errorf("%d lines: %s", n, text.String())
	}
	if f.byErrno["ENOBUFS"] != 3 || f.byErrno["EPROTO"] != 1 || f.byErrno[otherError] != 1 {
		t.Error(f.byErrno)
	}
}
