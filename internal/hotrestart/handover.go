package hotrestart

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tokenBytes is the length of a token in bytes. A token identifies a request, so that no process reads the reply to another's.
	tokenBytes = 4
	// maxStateBytes is the maximum length of a state; a longer one is not read.
	maxStateBytes = 16 << 20
	// watchInterval is the interval at which Watch checks for a request: short, because the successor waits, and the check is cheap.
	watchInterval = 200 * time.Millisecond
)

// Handover is what a successor has received from the active process.
type Handover struct {
	State       []byte
	Sockets     map[string]*os.File // listening sockets by address; the caller must close them
	Connections *Receiver           // receives clients' connections later; nil: none will be sent
	SocketsErr  error               // why no sockets were received; nil: they were
}

// RequestHandover asks the active process for its state and its listening sockets, and blocks until they have arrived. It fails with
// [ErrNoState] if the state has not arrived before the timeout, or the active process has ended. If only the sockets are missing
// it does not fail, and sets SocketsErr.
func (p *Process) RequestHandover(timeout time.Duration) (h Handover, err error) {
	random := make([]byte, tokenBytes)
	if _, err := rand.Read(random); err != nil {
		return h, fmt.Errorf("drawing a handover token: %w", err)
	}
	token := hex.EncodeToString(random)
	listener, listenErr := net.ListenUnix(network, &net.UnixAddr{Name: p.socketPath(token), Net: network})
	if listenErr == nil {
		defer func() { _ = listener.Close() }() // removes the socket's file; if not, the next active process does
	}
	if err := p.writeFile(requestFile, []byte(token)); err != nil {
		return h, err
	}
	if h.State, err = p.awaitState(token, timeout); err != nil {
		return h, err
	}
	if listenErr != nil {
		h.SocketsErr = listenErr
		return h, nil
	}
	h.Connections, h.Sockets, h.SocketsErr = receive(listener)
	return h, nil
}

// awaitState polls for the state file that the active process writes for a token, reads it and removes it.
func (p *Process) awaitState(token string, timeout time.Duration) ([]byte, error) {
	path := filepath.Join(p.dir, statePrefix+token)
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		info, err := os.Stat(path)
		if err == nil && info.Size() <= maxStateBytes {
			state, err := os.ReadFile(path)
			_ = os.Remove(path) // if this fails the next active process removes it
			return state, err
		}
		if time.Now().After(deadline) || tryLock(p.activeLock, unix.LOCK_EX) {
			return nil, ErrNoState
		}
	}
}

// writeFile writes a file atomically, by renaming a temporary one.
func (p *Process) writeFile(name string, data []byte) error {
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path+temporarySuffix, data, fileMode); err != nil {
		return fmt.Errorf("handover: writing a file for the other process: %w", err)
	}
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return fmt.Errorf("handover: writing a file for the other process: %w", err)
	}
	return nil
}

// AnswerFunc hands over a state and listening sockets to the successor that requested them. It returns a link over which clients'
// connections can be sent later, which the caller must close. An error that wraps [ErrNoSockets] means that the state was handed
// over, but no sockets; the successor can use the state alone.
type AnswerFunc func(state []byte, sockets []Socket) (*Link, error)

// answerRequest returns the function that answers the request with a token.
func (p *Process) answerRequest(token string) AnswerFunc {
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

// Watch checks for successors on a goroutine of its own, whenever this process is the active one, until Close. On that goroutine it
// calls onRequest for each request for a handover, and onSuccessorExit when a successor that made a request has ended.
func (p *Process) Watch(onRequest func(answer AnswerFunc), onSuccessorExit func()) {
	go func() {
		successorPresent, answeredToken := false, ""
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-p.closed:
				return
			case <-ticker.C:
			}
			if !p.isActive() {
				continue
			}
			token := p.requestedToken()
			isNew := token != "" && token != answeredToken
			if isNew && p.HasSuccessor() {
				successorPresent, answeredToken = true, token
				onRequest(p.answerRequest(token))
			} else if successorPresent && !p.HasSuccessor() {
				successorPresent = false
				onSuccessorExit()
			}
		}
	}()
}

// requestedToken returns the token of the latest request, or "" if there is none.
func (p *Process) requestedToken() string {
	path := filepath.Join(p.dir, requestFile)
	if err := unix.Access(path, unix.F_OK); err != nil { // the usual case; Access is cheaper than an Open that fails
		return ""
	}
	token, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(token)
}
