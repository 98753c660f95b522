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
	// The backoff after failed accepts doubles from the minimum up to the maximum. The maximum is also the longest
	// time that a connection waits once accepts succeed again.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 20 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about failed accepts, over all listeners of an
	// engine.
	acceptLogInterval = time.Second
	// maxQueuedAcceptFailures limits the consecutive failures while the accept queue is drained. With the backoff
	// between them this takes less than half a second.
	maxQueuedAcceptFailures = 25
)

// otherError is the name under which errors without an errno are counted.
const otherError = "other"

// run accepts connections until the listener is closed, or until CloseAfterQueued is called and the accept queue is
// drained. No other error ends it: accept(2) also reports errors of single connections and temporary shortages of
// resources.
func (l *Listener) run() {
	var backoff acceptBackoff
	for {
		conn, err := l.accept()
		switch {
		case err == nil:
			backoff.reset()
			l.serveOrReject(conn)
		case l.isDraining():
			l.acceptQueued()
			l.Close()
			return
		case errors.Is(err, net.ErrClosed):
			return
		default:
			l.engine.acceptFailures.record(l.engine.log, l.Addr().String(), err)
			l.sleep(backoff.next())
		}
	}
}

// sleep waits for d, or until CloseAfterQueued is called.
func (l *Listener) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.draining:
	}
}

// acceptQueued accepts the connections in the kernel's accept queue, closes the listening socket and then serves
// them. It runs on the listener's goroutine, so no other accept runs meanwhile.
func (l *Listener) acceptQueued() {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return
	}
	var queued []int
	_ = raw.Control(func(listening uintptr) { queued = l.emptyQueue(int(listening)) })
	l.Close() // first, so that new connections go to the other process that listens on the address
	for _, fd := range queued {
		file := os.NewFile(uintptr(fd), "queued connection")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err != nil {
			l.engine.log.WithError(err).Warn(logfields.ConnTakeoverFailed)
			continue
		}
		l.serveOrReject(conn)
	}
}

// emptyQueue accepts connections from a listening socket until its queue is empty or maxQueuedAcceptFailures accepts
// in a row have failed. It returns the descriptors.
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

// acceptDescriptor accepts one connection from the listening descriptor and returns its descriptor, which is
// non-blocking.
func acceptDescriptor(listening int) (int, error) {
	fd, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return fd, err
}

// acceptBackoff computes the wait after consecutive failed accepts. The zero value is ready for use.
type acceptBackoff struct{ latest time.Duration }

func (b *acceptBackoff) next() time.Duration {
	b.latest = min(max(minAcceptBackoff, 2*b.latest), maxAcceptBackoff)
	return b.latest
}

func (b *acceptBackoff) reset() { b.latest = 0 }

// acceptFailures counts and logs failed accepts. It is safe for concurrent use.
type acceptFailures struct {
	mu         sync.Mutex
	byErrno    map[string]uint64
	loggedAt   time.Time // time of the latest log line; zero: none was written
	suppressed int       // failures since loggedAt that were counted and not logged
}

// record counts a failure by its errno. It logs the failure unless a line was written less than acceptLogInterval
// ago.
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

// errnoName returns the name of an error's errno, such as ENOBUFS, or otherError.
func errnoName(err error) string {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return otherError
	}
	if errno == unix.EOPNOTSUPP { // the name in accept(2); unix.ErrnoName returns ENOTSUP for the same number
		return "EOPNOTSUPP"
	}
	return cmp.Or(unix.ErrnoName(errno), otherError)
}

// AcceptFailures returns the number of failed accepts by the name of the errno. It may be called from any goroutine.
func (e *Engine) AcceptFailures() map[string]uint64 {
	f := &e.acceptFailures
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.byErrno)
}
