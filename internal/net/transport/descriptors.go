package transport

import (
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"larchusher/internal/multiset"
)

const (
	// maxReservedDescriptors limits how many descriptors are open at once to keep one new connection off stale numbers.
	maxReservedDescriptors = 16
	// maxStaleWait limits how long a new connection waits for its number. The poller may have been stopped.
	maxStaleWait = time.Second
	// staleCheckInterval is the interval between two looks at the number while a new connection waits.
	staleCheckInterval = time.Millisecond
)

// staleDescriptors holds the numbers of descriptors that were closed while the poller may still have had events of them to handle. nbio
// (version 1.6.8) finds the connection of an event by the number alone, so a new connection with that number would be closed when
// the peer of the old one has gone. Descriptors that the poller itself closes while it handles their events are not stale.
type staleDescriptors struct {
	closing sync.RWMutex // read-locked from before a descriptor may be closed until it is added

	closes multiset.Set[int] // descriptors, as often as they were closed
}

// reused reports whether a descriptor that has just been opened is stale. It waits for closes that are under way: one of them may have
// freed the number.
func (s *staleDescriptors) reused(descriptor int) bool {
	s.closing.Lock()
	defer s.closing.Unlock()
	return s.closes.Contains(descriptor)
}

// awaitRemoval waits until a descriptor is no longer stale, for at most maxStaleWait.
func (s *staleDescriptors) awaitRemoval(descriptor int) {
	for end := time.Now().Add(maxStaleWait); s.closes.Contains(descriptor) && time.Now().Before(end); {
		time.Sleep(staleCheckInterval)
	}
}

// closeStale closes a connection outside the poller's handling of its events.
func (e *Engine) closeStale(nc *nbio.Conn, err error) {
	e.stale.closing.RLock()
	defer e.stale.closing.RUnlock()
	if closed, _ := nc.IsClosed(); closed {
		return
	}
	e.stale.closes.Add(nc.Hash())
	_ = nc.CloseWithError(err) // fails if the connection has been closed meanwhile
	e.removeStale(nc.Hash())
}

// write passes bytes to nbio, which closes the connection if it cannot send them.
func (e *Engine) write(nc *nbio.Conn, b []byte) error {
	e.stale.closing.RLock()
	defer e.stale.closing.RUnlock()
	closedBefore, _ := nc.IsClosed()
	_, err := nc.Write(b)
	if err != nil && !closedBefore {
		e.stale.closes.Add(nc.Hash())
		e.removeStale(nc.Hash())
	}
	return err
}

// removeStale removes a descriptor that is closed by now, once the poller has handled all events that it fetched before this call.
func (e *Engine) removeStale(descriptor int) {
	// The first callback may run among events that were fetched before the close, the second one cannot.
	e.Barrier(func() {
		e.Barrier(func() { e.stale.closes.Remove(descriptor) })
	})
}

// takeOver passes a connection to nbio, which duplicates its descriptor and closes the connection. The number of the duplicate is one of
// which the poller has no events.
func (e *Engine) takeOver(conn net.Conn) (*nbio.Conn, error) {
	release := e.reserveStale()
	nc, err := nbio.NBConn(conn)
	release()
	if err != nil {
		return nil, err
	}
	if e.stale.reused(nc.Hash()) {
		e.stale.awaitRemoval(nc.Hash())
	}
	return nc, nil
}

// reserveStale opens descriptors until the next one to be opened has a number that is not stale. release closes them.
func (e *Engine) reserveStale() (release func()) {
	var reserved []int
	for !e.stale.closes.Empty() && len(reserved) < maxReservedDescriptors {
		descriptor, err := unix.FcntlInt(uintptr(e.barrier.fd), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil { // all descriptors are in use; the connection waits for its number instead
			break
		}
		if !e.stale.closes.Contains(descriptor) {
			_ = unix.Close(descriptor)
			break
		}
		reserved = append(reserved, descriptor)
	}
	return func() {
		for _, descriptor := range reserved {
			_ = unix.Close(descriptor)
		}
	}
}
