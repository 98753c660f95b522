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

// pollInterval is the time between two looks for a file or a lock while both processes run.
const pollInterval = 20 * time.Millisecond

// Errors to be told apart by errors.Is.
var (
	ErrTooManyProcesses = errors.New("two processes of this gateway run already")
	ErrFolderNotPrivate = errors.New("the folder is not this user's alone")
	ErrNoState          = errors.New("no state has come in time")
	ErrNoSockets        = errors.New("no sockets were handed over")
)

// Process is this process's place among those of a gateway: the active one, or its successor. Use [Join].
type Process struct {
	dir           string
	activeLock    *os.File // locked, or to be locked once the active process has ended
	successorLock *os.File // nil: this process was active from its start

	mu          sync.Mutex
	active      bool     // this process is the active one
	servingLock *os.File // nil: not locked
	closed      chan struct{}
	closeOnce   sync.Once
}

// Join takes this process's place among those that share a folder, which is made if need be. If a process and its successor run
// already it waits for one of them to end, and fails with [ErrTooManyProcesses] after the timeout. It fails with
// [ErrFolderNotPrivate] if others can use the folder.
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
	// The successor's lock comes first: whoever holds it may lock the other once that is released.
	for end := time.Now().Add(timeout); !tryLock(successor, unix.LOCK_EX); time.Sleep(pollInterval) {
		if time.Now().After(end) {
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
	closeLockFile(successor) // last: a successor may make a request from now on
	return p, nil
}

// removeLeftovers removes the files that earlier processes have left.
func (p *Process) removeLeftovers() {
	entries, _ := os.ReadDir(p.dir) // what can't be read is left: tokens keep it from being taken for another's
	for _, e := range entries {
		name := e.Name()
		if name == requestFile || strings.HasPrefix(name, statePrefix) || strings.HasPrefix(name, socketPrefix) {
			_ = os.Remove(filepath.Join(p.dir, name)) // likewise
		}
	}
}

// IsSuccessor reports whether this process takes over from another one, which may have ended by now.
func (p *Process) IsSuccessor() bool { return p.successorLock != nil }

// StartServing tells the active process that this one, its successor, serves clients from now on.
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
	for !tryLock(f, unix.LOCK_EX) { // the active process may just be looking whether it is locked
		time.Sleep(time.Millisecond)
	}
	p.servingLock = f
	return nil
}

// StopServing takes back StartServing: this process is about to end.
func (p *Process) StopServing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseServingLock()
}

// releaseServingLock is called with mu locked.
func (p *Process) releaseServingLock() {
	if p.servingLock != nil {
		closeLockFile(p.servingLock)
		p.servingLock = nil
	}
}

// OnPredecessorExit calls exited, on a goroutine of its own, once the process that this one takes over from has ended. This process
// is the active one from then on.
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
	closeLockFile(p.successorLock) // last: the next successor may make a request from now on
}

// isActive reports whether this process is the active one.
func (p *Process) isActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// HasSuccessor reports whether a successor of this process runs.
func (p *Process) HasSuccessor() bool { return p.isActive() && p.heldByOther(successorLockFile) }

// SuccessorServes reports whether a successor of this process runs and serves clients.
func (p *Process) SuccessorServes() bool { return p.HasSuccessor() && p.heldByOther(servingLockFile) }

// heldByOther reports whether another process holds a lock.
func (p *Process) heldByOther(name string) bool {
	f, err := openLockFile(p.dir, name)
	if err != nil {
		return false
	}
	defer closeLockFile(f)
	return !tryLock(f, unix.LOCK_SH)
}

// Close gives up this process's place. It is to be called last: a successor takes it for the end of this process.
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
