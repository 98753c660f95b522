package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is the interval at which a process checks for a file or a lock of another one, while both run.
const pollInterval = 20 * time.Millisecond

// Errors of this package, for errors.Is.
var (
	ErrTooManyProcesses = errors.New("two processes of this gateway are running already")
	ErrFolderNotPrivate = errors.New("handover folder is not a folder that belongs to this user and is closed to others")
	ErrNoState          = errors.New("active process handed over no state: it did not answer in time, or has ended")
	ErrSuccessorBusy    = errors.New("successor has not read earlier connections yet")
	ErrNoSockets        = errors.New("state was handed over without sockets")
)

// Process is this process among those of a gateway: the active one or its successor. Create it with [Join].
type Process struct {
	dir           string
	activeLock    *os.File // locked if this process is active; a successor locks it once the active process has ended
	successorLock *os.File // nil: this process has been active from its start

	mu          sync.Mutex
	active      bool     // guarded by mu, like servingLock
	servingLock *os.File // nil: not locked
	closed      chan struct{}
	closeOnce   sync.Once
}

// Join registers this process among those that share a folder, as the active one or as its successor. It creates the folder if it
// does not exist. If two processes are running already it waits for one of them to end, and fails with [ErrTooManyProcesses]
// after the timeout. It fails with [ErrFolderNotPrivate] if other users have access to the folder.
func Join(dir string, timeout time.Duration) (*Process, error) {
	if err := ensurePrivateFolder(dir); err != nil {
		return nil, err
	}
	active, err := openLockFile(dir, activeLockFile)
	if err != nil {
		return nil, err
	}
	successor, err := openLockFile(dir, successorLockFile)
	if err != nil {
		closeLockFile(active)
		return nil, err
	}
	// The successor's lock is taken first: only its holder may wait for the active process's lock.
	for deadline := time.Now().Add(timeout); !tryLock(successor, unix.LOCK_EX); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			closeLockFile(active)
			closeLockFile(successor)
			return nil, fmt.Errorf("%s: %w", dir, ErrTooManyProcesses)
		}
	}
	p := &Process{dir: dir, activeLock: active, closed: make(chan struct{})}
	if !tryLock(active, unix.LOCK_EX) {
		p.successorLock = successor
		return p, nil
	}
	p.active = true
	p.removeLeftovers()
	closeLockFile(successor) // last, because a successor may make a request from now on
	return p, nil
}

// removeLeftovers removes files of handovers that earlier processes left behind.
func (p *Process) removeLeftovers() {
	entries, _ := os.ReadDir(p.dir) // files that can't be listed stay; nobody reads them, since each handover has a new token
	for _, e := range entries {
		name := e.Name()
		if name == requestFile || strings.HasPrefix(name, statePrefix) || strings.HasPrefix(name, socketPrefix) {
			_ = os.Remove(filepath.Join(p.dir, name)) // if this fails the file stays, for the same reason
		}
	}
}

// IsSuccessor reports whether this process joined as a successor. It stays true after the predecessor has ended.
func (p *Process) IsSuccessor() bool { return p.successorLock != nil }

// StartServing signals to the active process, by a lock, that this process serves clients from now on. It does nothing unless this
// process is a successor, and fails if the lock file can't be opened.
func (p *Process) StartServing() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successorLock == nil || p.active || p.servingLock != nil {
		return nil
	}
	f, err := openLockFile(p.dir, servingLockFile)
	if err != nil {
		return err
	}
	for !tryLock(f, unix.LOCK_EX) { // the active process locks it for a moment to check it
		time.Sleep(time.Millisecond)
	}
	p.servingLock = f
	return nil
}

// StopServing withdraws the signal of StartServing, because this process is about to end.
func (p *Process) StopServing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseServingLock()
}

// releaseServingLock releases the serving lock. The caller must hold mu.
func (p *Process) releaseServingLock() {
	if p.servingLock != nil {
		closeLockFile(p.servingLock)
		p.servingLock = nil
	}
}

// OnPredecessorExit waits on a goroutine of its own until the predecessor has ended, makes this process the active one, and then
// calls exited on that goroutine.
func (p *Process) OnPredecessorExit(exited func()) {
	go func() {
		for !tryLock(p.activeLock, unix.LOCK_EX) {
			select {
			case <-p.closed:
				return
			case <-time.After(pollInterval):
			}
		}
		p.becomeActive()
		exited()
	}()
}

func (p *Process) becomeActive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = true
	p.releaseServingLock()
	p.removeLeftovers()
	closeLockFile(p.successorLock) // last, because the next successor may make a request from now on
}

// isActive reports whether this process is the active one.
func (p *Process) isActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// HasSuccessor reports whether this process is active and a successor of it is running.
func (p *Process) HasSuccessor() bool { return p.isActive() && p.lockedByOther(successorLockFile) }

// SuccessorServes reports whether this process is active and a successor of it is running and serves clients.
func (p *Process) SuccessorServes() bool { return p.HasSuccessor() && p.lockedByOther(servingLockFile) }

// lockedByOther reports whether another process holds the lock on a file of the folder. It reports false if the file can't be opened.
func (p *Process) lockedByOther(name string) bool {
	f, err := openLockFile(p.dir, name)
	if err != nil {
		return false
	}
	defer closeLockFile(f)
	return !tryLock(f, unix.LOCK_SH)
}

// Close releases the locks of this process and stops its goroutines. It must be called last, because a successor takes it for the end
// of this process.
func (p *Process) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.mu.Lock()
		defer p.mu.Unlock()
		closeLockFile(p.activeLock)
		p.releaseServingLock()
		if p.successorLock != nil {
			closeLockFile(p.successorLock)
		}
	})
}
