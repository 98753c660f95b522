// Package hotrestart lets a new process of a gateway take over from one that still serves. Both find each other by locks on
// files in a folder that they share, and the state goes over by a file. The kernel gives locks back when a process dies, so
// what a file says never claims a process that is gone.
//
// The package knows nothing of what the state is. Where Unix sockets work, listening sockets go over as well, with what waits in
// their queues.
package hotrestart

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	activeLockFile    = "active.lock"  // held by the process that serves
	successorLockFile = "next.lock"    // held by its successor while both run
	servingLockFile   = "serving.lock" // held by the successor once it takes clients, while both run
	requestFile       = "request"      // the successor's: it holds a token
	statePrefix       = "state-"       // followed by the token: the answer
	socketPrefix      = "s-"           // likewise: a Unix socket of the successor\'s, which takes sockets. Short: a path has 107 bytes at most
	temporarySuffix   = ".tmp"
	folderMode        = 0o700
	fileMode          = 0o600
	maxStateBytes     = 16 << 20 // bytes of a state that is read
	tokenBytes        = 4

	pollInterval  = 20 * time.Millisecond  // between two looks for a file or a lock, while both processes run
	watchInterval = 200 * time.Millisecond // between two looks for a successor: it costs little, and a successor waits
)

// Errors to be told apart by errors.Is.
var (
	ErrTooManyProcesses = errors.New("two processes of this gateway run already")
	ErrFolderNotPrivate = errors.New("the folder is not this user's alone")
	ErrNoState          = errors.New("no state has come in time")
	ErrNoSockets        = errors.New("no sockets were handed over")
)

// Process is this process's place in a handover.
type Process struct {
	dir           string
	activeLock    *os.File // holds activeLock, or waits for it
	successorLock *os.File // holds nextLock; nil: this process was alone at its start
	servingLock   *os.File // holds servingLock; nil: it does not

	mu        sync.Mutex
	alone     bool
	closed    chan struct{}
	closeOnce sync.Once
}

// Join takes this process's place among those that share a folder, which is made if need be. If a process and its successor run
// already it waits until one of them has ended, and fails with ErrThird if that takes longer than within.
func Join(dir string, within time.Duration) (*Process, error) {
	if err := ensurePrivateFolder(dir); err != nil {
		return nil, err
	}
	p := &Process{dir: dir, closed: make(chan struct{})}
	var err error
	if p.activeLock, err = openLockFile(dir, activeLockFile); err != nil {
		return nil, err
	}
	next, err := openLockFile(dir, successorLockFile)
	if err != nil {
		_ = p.activeLock.Close()
		return nil, err
	}
	// The successor's lock comes first: whoever holds it is the one to take the other, once that comes free.
	for end := time.Now().Add(within); !tryLock(next, unix.LOCK_EX); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			_ = p.activeLock.Close()
			_ = next.Close()
			return nil, fmt.Errorf("%s: %w", dir, ErrTooManyProcesses)
		}
	}
	if !tryLock(p.activeLock, unix.LOCK_EX) {
		p.successorLock = next
		return p, nil
	}
	p.alone = true
	p.removeLeftovers()
	_ = next.Close() // last: a successor may ask from now on
	return p, nil
}

// ensurePrivateFolder makes the folder, or checks that it is this user's and nobody else's. Guards against a folder that somebody else
// has made in a temporary folder that all share.
func ensurePrivateFolder(dir string) error {
	if err := os.Mkdir(dir, folderMode); err != nil && !errors.Is(err, os.ErrExist) {
		return fmt.Errorf("the handover's folder: %w", err)
	}
	var st unix.Stat_t
	if err := unix.Lstat(dir, &st); err != nil {
		return fmt.Errorf("the handover's folder %s: %w", dir, err)
	}
	if st.Mode&unix.S_IFMT != unix.S_IFDIR || int(st.Uid) != os.Geteuid() || st.Mode&0o077 != 0 {
		return fmt.Errorf("%s: %w", dir, ErrFolderNotPrivate)
	}
	return nil
}

func openLockFile(dir, name string) (*os.File, error) {
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

// removeLeftovers removes what earlier processes have left.
func (p *Process) removeLeftovers() {
	entries, _ := os.ReadDir(p.dir)
	for _, e := range entries {
		if name := e.Name(); name == requestFile || strings.HasPrefix(name, statePrefix) || strings.HasPrefix(name, socketPrefix) {
			_ = os.Remove(filepath.Join(p.dir, name))
		}
	}
}

// IsSuccessor says whether this process takes over from another one, which may have ended by now.
func (p *Process) IsSuccessor() bool { return p.successorLock != nil }

// Handover is what the process that serves has handed over.
type Handover struct {
	State       []byte
	Sockets     map[string]*os.File // by their addresses
	Connections *Receiver           // of clients' connections, later; nil: none will come
	SocketsErr  error               // why there are no sockets; nil: there are
}

// RequestHandover asks the process that serves for its state and its listening sockets, and waits for them. It fails with ErrNoState
// if no state has come within a time, or as soon as that process has ended.
func (p *Process) RequestHandover(within time.Duration) (h Handover, err error) {
	token := make([]byte, tokenBytes)
	if _, err := rand.Read(token); err != nil {
		return h, fmt.Errorf("the handover's token: %w", err)
	}
	name := hex.EncodeToString(token)
	sockets, missed := net.ListenUnix(network, &net.UnixAddr{Name: p.socketPath(name), Net: network})
	if missed == nil {
		defer sockets.Close() // and removes it
	}
	if err := p.writeFile(requestFile, []byte(name)); err != nil {
		return h, err
	}
	if h.State, err = p.awaitState(name, within); err != nil {
		return h, err
	}
	if h.SocketsErr = missed; missed == nil {
		h.Connections, h.Sockets, h.SocketsErr = receive(sockets)
	}
	return h, nil
}

// awaitState waits for the file that answers a token.
func (p *Process) awaitState(name string, within time.Duration) ([]byte, error) {
	answer := filepath.Join(p.dir, statePrefix+name)
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		info, err := os.Stat(answer)
		if err == nil && info.Size() <= maxStateBytes {
			state, err := os.ReadFile(answer)
			_ = os.Remove(answer)
			return state, err
		}
		if time.Now().After(end) || tryLock(p.activeLock, unix.LOCK_EX) {
			return nil, ErrNoState
		}
	}
}

// writeFile puts a file in place whole.
func (p *Process) writeFile(name string, data []byte) error {
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path+temporarySuffix, data, fileMode); err != nil {
		return fmt.Errorf("handing over: %w", err)
	}
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return fmt.Errorf("handing over: %w", err)
	}
	return nil
}

// StartServing tells the process that this one takes over from that clients are served here from now on.
func (p *Process) StartServing() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successorLock == nil || p.alone || p.servingLock != nil {
		return nil
	}
	f, err := openLockFile(p.dir, servingLockFile)
	if err != nil {
		return err
	}
	for !tryLock(f, unix.LOCK_EX) { // the other process may be looking whether it is held
		time.Sleep(time.Millisecond)
	}
	p.servingLock = f
	return nil
}

// StopServing takes back what Serve has told: this process is about to end.
func (p *Process) StopServing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopServing()
}

func (p *Process) stopServing() {
	if p.servingLock != nil {
		_ = p.servingLock.Close()
		p.servingLock = nil
	}
}

// AwaitAlone calls alone, on a goroutine of its own, once the process that this one takes over from has ended.
func (p *Process) AwaitAlone(alone func()) {
	go func() {
		for !tryLock(p.activeLock, unix.LOCK_EX) {
			select {
			case <-p.closed:
				return
			case <-time.After(pollInterval):
			}
		}
		p.mu.Lock()
		p.alone = true
		p.stopServing()
		p.removeLeftovers()
		_ = p.successorLock.Close() // last: the next one may ask from now on
		p.mu.Unlock()
		alone()
	}()
}

// AnswerFunc hands a state and listening sockets over to the successor that asked for them, and returns a link by which clients'
// connections can follow. A state without sockets is of use, too: an error that wraps ErrNoSockets says that just these did
// not go over.
type AnswerFunc func(state []byte, sockets []Socket) (*Link, error)

// answerTo answers the successor with a token.
func (p *Process) answerTo(token string) AnswerFunc {
	return func(state []byte, sockets []Socket) (*Link, error) {
		if err := p.writeFile(statePrefix+token, state); err != nil {
			return nil, err
		}
		link, err := p.dialLink(token, sockets)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoSockets, err)
		}
		return link, nil
	}
}

// Watch calls came, on a goroutine of its own, with a function that answers a successor with this process's state, as soon
// as one asks for it, and gone if it ends while this process still serves.
func (p *Process) Watch(came func(answer AnswerFunc), gone func()) {
	go func() {
		present, last := false, ""
		look := time.NewTicker(watchInterval)
		defer look.Stop()
		for {
			select {
			case <-p.closed:
				return
			case <-look.C:
			}
			if !p.isActive() {
				continue
			}
			if token := p.requestedToken(); token != "" && token != last && p.HasSuccessor() {
				present, last = true, token
				came(p.answerTo(last))
			} else if present && !p.HasSuccessor() {
				present = false
				gone()
			}
		}
	}()
}

// requestedToken is the token of the latest request; empty: there is none.
func (p *Process) requestedToken() string {
	path := filepath.Join(p.dir, requestFile)
	if err := unix.Access(path, unix.F_OK); err != nil { // nearly always; it costs less than an open that fails
		return ""
	}
	token, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(token)
}

// isActive says whether this process holds the place of the one that serves.
func (p *Process) isActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alone
}

// HasSuccessor says whether a successor of this process runs.
func (p *Process) HasSuccessor() bool { return p.isActive() && p.heldByOther(successorLockFile) }

// SuccessorServes says whether a successor of this process runs and takes clients.
func (p *Process) SuccessorServes() bool { return p.HasSuccessor() && p.heldByOther(servingLockFile) }

// heldByOther says whether another process holds a lock.
func (p *Process) heldByOther(name string) bool {
	probe, err := openLockFile(p.dir, name)
	if err != nil {
		return false
	}
	defer probe.Close() // gives the lock back, too
	return !tryLock(probe, unix.LOCK_SH)
}

// Close gives up this process's place. It is to be called last: a successor takes it as the end of this process.
func (p *Process) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.activeLock.Close()
		p.stopServing()
		if p.successorLock != nil {
			_ = p.successorLock.Close()
		}
	})
}
