// Package handover lets a new process of a gateway take over from one that still serves. Both find each other by locks on
// files in a folder that they share, and the state goes over by a file. The kernel gives locks back when a process dies, so
// what a file says never claims a process that is gone.
//
// The package knows nothing of what the state is.
package handover

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	activeLock  = "active.lock" // held by the process that serves
	nextLock    = "next.lock"   // held by its successor while both run
	requestFile = "request"     // the successor's: it holds a token
	statePrefix = "state-"      // followed by the token: the answer
	partial     = ".tmp"
	folderMode  = 0o700
	fileMode    = 0o600
	stateMost   = 16 << 20 // bytes of a state that is read

	poll = 20 * time.Millisecond // between two looks for a file or a lock
)

// Errors to be told apart by errors.Is.
var (
	ErrThird   = errors.New("two processes of this gateway run already")
	ErrNotOurs = errors.New("the folder is not this user's alone")
	ErrNoState = errors.New("no state has come in time")
)

// Process is this process's place in a handover.
type Process struct {
	dir    string
	active *os.File // holds activeLock, or waits for it
	next   *os.File // holds nextLock; nil: this process was alone at its start

	mu     sync.Mutex
	alone  bool
	closed chan struct{}
	once   sync.Once
}

// Join takes this process's place among those that share a folder, which is made if need be. It fails with ErrThird if a
// process and its successor run already.
func Join(dir string) (*Process, error) {
	if err := ownFolder(dir); err != nil {
		return nil, err
	}
	p := &Process{dir: dir, closed: make(chan struct{})}
	var err error
	if p.active, err = open(dir, activeLock); err != nil {
		return nil, err
	}
	if tryLock(p.active, unix.LOCK_EX) {
		p.alone = true
		p.sweep()
		return p, nil
	}
	if p.next, err = open(dir, nextLock); err != nil {
		_ = p.active.Close()
		return nil, err
	}
	if !tryLock(p.next, unix.LOCK_EX) {
		time.Sleep(poll) // the process that serves may be looking whether it is held
		if !tryLock(p.next, unix.LOCK_EX) {
			_ = p.active.Close()
			_ = p.next.Close()
			return nil, fmt.Errorf("%s: %w", dir, ErrThird)
		}
	}
	return p, nil
}

// ownFolder makes the folder, or checks that it is this user's and nobody else's. Guards against a folder that somebody else
// has made in a temporary folder that all share.
func ownFolder(dir string) error {
	if err := os.Mkdir(dir, folderMode); err != nil && !errors.Is(err, os.ErrExist) {
		return fmt.Errorf("the handover's folder: %w", err)
	}
	var st unix.Stat_t
	if err := unix.Lstat(dir, &st); err != nil {
		return fmt.Errorf("the handover's folder %s: %w", dir, err)
	}
	if st.Mode&unix.S_IFMT != unix.S_IFDIR || int(st.Uid) != os.Geteuid() || st.Mode&0o077 != 0 {
		return fmt.Errorf("%s: %w", dir, ErrNotOurs)
	}
	return nil
}

func open(dir, name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("the handover's lock: %w", err)
	}
	return f, nil
}

// tryLock takes a lock on a file, unless another process holds it.
func tryLock(f *os.File, how int) bool {
	for {
		err := unix.Flock(int(f.Fd()), how|unix.LOCK_NB)
		if !errors.Is(err, unix.EINTR) {
			return err == nil
		}
	}
}

// sweep removes what earlier processes have left.
func (p *Process) sweep() {
	entries, _ := os.ReadDir(p.dir)
	for _, e := range entries {
		if name := e.Name(); name == requestFile || strings.HasPrefix(name, statePrefix) {
			_ = os.Remove(filepath.Join(p.dir, name))
		}
	}
}

// Successor says whether this process takes over from another one, which may have ended by now.
func (p *Process) Successor() bool { return p.next != nil }

// Request asks the process that serves for its state and waits for it. It fails with ErrNoState if none has come within a
// time, or as soon as that process has ended.
func (p *Process) Request(within time.Duration) ([]byte, error) {
	token := make([]byte, 8)
	if _, err := rand.Read(token); err != nil {
		return nil, fmt.Errorf("the handover's token: %w", err)
	}
	name := hex.EncodeToString(token)
	if err := p.write(requestFile, []byte(name)); err != nil {
		return nil, err
	}
	answer := filepath.Join(p.dir, statePrefix+name)
	for end := time.Now().Add(within); ; time.Sleep(poll) {
		info, err := os.Stat(answer)
		if err == nil && info.Size() <= stateMost {
			state, err := os.ReadFile(answer)
			_ = os.Remove(answer)
			return state, err
		}
		if time.Now().After(end) || tryLock(p.active, unix.LOCK_EX) {
			return nil, ErrNoState
		}
	}
}

// write puts a file in place whole.
func (p *Process) write(name string, data []byte) error {
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path+partial, data, fileMode); err != nil {
		return fmt.Errorf("handing over: %w", err)
	}
	if err := os.Rename(path+partial, path); err != nil {
		return fmt.Errorf("handing over: %w", err)
	}
	return nil
}

// AwaitAlone calls alone, on a goroutine of its own, once the process that this one takes over from has ended.
func (p *Process) AwaitAlone(alone func()) {
	go func() {
		for !tryLock(p.active, unix.LOCK_EX) {
			select {
			case <-p.closed:
				return
			case <-time.After(poll):
			}
		}
		p.mu.Lock()
		p.alone = true
		_ = p.next.Close() // the next one may come
		p.mu.Unlock()
		p.sweep()
		alone()
	}()
}

// Watch calls came, on a goroutine of its own, with a function that answers a successor with this process's state, as soon
// as one asks for it, and gone if it ends while this process still serves.
func (p *Process) Watch(came func(answer func(state []byte) error), gone func()) {
	go func() {
		present, last := false, ""
		for {
			select {
			case <-p.closed:
				return
			case <-time.After(poll):
			}
			if !p.serves() {
				continue
			}
			token, err := os.ReadFile(filepath.Join(p.dir, requestFile))
			switch asks := err == nil && string(token) != last; {
			case asks && p.Succeeded():
				present, last = true, string(token)
				name := statePrefix + last
				came(func(state []byte) error { return p.write(name, state) })
			case present && !p.Succeeded():
				present = false
				gone()
			}
		}
	}()
}

// serves says whether this process holds the place of the one that serves.
func (p *Process) serves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alone
}

// Succeeded says whether a successor of this process runs.
func (p *Process) Succeeded() bool {
	if !p.serves() {
		return false
	}
	probe, err := open(p.dir, nextLock)
	if err != nil {
		return false
	}
	defer probe.Close() // gives the lock back, too
	return !tryLock(probe, unix.LOCK_SH)
}

// Close gives up this process's place. It is to be called last: a successor takes it as the end of this process.
func (p *Process) Close() {
	p.once.Do(func() {
		close(p.closed)
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.active.Close()
		if p.next != nil {
			_ = p.next.Close()
		}
	})
}
