package transport

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"larchusher/internal/logfields"
)

const (
	// The backoff after an accept that failed doubles up to its maximum, which is also the longest that a connection waits
	// once accepts succeed again.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 20 * time.Millisecond
	// acceptLogInterval is the least time between two lines about accepts that failed, on all listeners.
	acceptLogInterval = time.Second
	// maxQueuedAcceptFailures bounds the accepts that fail in a row while a queue is emptied: less than half a second.
	maxQueuedAcceptFailures = 25
)

// otherError is what an error without an errno is counted as.
const otherError = "other"

// run accepts until the listener is closed or yields. No error but these ends it: accept(2) also reports what befell single
// connections, and shortages that pass.
func (l *Listener) run() {
	var backoff acceptBackoff
	for {
		conn, err := l.accept()
		switch {
		case err == nil:
			backoff.reset()
			l.take(conn)
		case l.isClosing():
			l.acceptQueued()
			l.Close()
			return
		case errors.Is(err, net.ErrClosed):
			return
		default:
			l.engine.acceptFailures.record(l.engine.log, l.Addr().String(), err)
			l.wait(backoff.next())
		}
	}
}

// wait waits for a time, or until the listener yields.
func (l *Listener) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.closing:
	}
}

// acceptQueued takes what the kernel has accepted for this listener and run has not. Nothing else accepts meanwhile.
func (l *Listener) acceptQueued() {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return
	}
	var queued []int
	_ = raw.Control(func(listening uintptr) { queued = l.emptyQueue(int(listening)) })
	l.Close() // before anything else is done: what comes from now on is another listener's
	for _, fd := range queued {
		file := os.NewFile(uintptr(fd), "queued connection")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err != nil {
			l.engine.log.WithError(err).Warn(logfields.ConnTakeoverFailed)
			continue
		}
		l.take(conn)
	}
}

// emptyQueue accepts from a listening socket until its queue is empty, or too many accepts in a row have failed.
func (l *Listener) emptyQueue(listening int) (queued []int) {
	var backoff acceptBackoff
	for failures := 0; failures < maxQueuedAcceptFailures; {
		fd, err := l.acceptDescriptor(listening)
		switch {
		case err == nil:
			queued = append(queued, fd)
			failures = 0
			backoff.reset()
		case errors.Is(err, unix.EAGAIN):
			return queued
		case errors.Is(err, unix.EINTR):
		default:
			l.engine.acceptFailures.record(l.engine.log, l.Addr().String(), err)
			failures++
			time.Sleep(backoff.next())
		}
	}
	return queued
}

// acceptDescriptor accepts one connection from a listening socket.
func acceptDescriptor(listening int) (int, error) {
	fd, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return fd, err
}

// acceptBackoff is the wait after accepts that failed in a row.
type acceptBackoff struct{ latest time.Duration }

func (b *acceptBackoff) next() time.Duration {
	b.latest = min(max(minAcceptBackoff, 2*b.latest), maxAcceptBackoff)
	return b.latest
}

func (b *acceptBackoff) reset() { b.latest = 0 }

// acceptFailures counts and logs accepts that failed. It is safe for concurrent use.
type acceptFailures struct {
	mu         sync.Mutex
	byErrno    map[string]uint64
	loggedAt   time.Time // zero: nothing was logged
	suppressed int       // lines since then
}

// record counts a failure, and logs it unless a line was just written.
func (f *acceptFailures) record(log logrus.FieldLogger, addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byErrno == nil {
		f.byErrno = map[string]uint64{}
	}
	f.byErrno[errnoName(err)]++
	now := time.Now()
	if !f.loggedAt.IsZero() && now.Sub(f.loggedAt) < acceptLogInterval {
		f.suppressed++
		return
	}
	log.WithError(err).WithFields(logrus.Fields{logfields.Address: addr, logfields.Suppressed: f.suppressed}).Warn(logfields.AcceptFailed)
	f.loggedAt, f.suppressed = now, 0
}

// errnoName is the name of an error's errno, such as ENOBUFS.
func errnoName(err error) string {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return otherError
	}
	if errno == unix.EOPNOTSUPP { // accept(2)'s name of it; unix says ENOTSUP
		return "EOPNOTSUPP"
	}
	return cmp.Or(unix.ErrnoName(errno), otherError)
}

// AcceptFailures is how many accepts have failed, by the name of the errno.
func (e *Engine) AcceptFailures() map[string]uint64 {
	f := &e.acceptFailures
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.byErrno)
}
