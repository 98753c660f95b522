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
	// tokenBytes is the length of a token. It names a request, so that no process takes an answer that was meant for another.
	tokenBytes = 4
	// maxStateBytes is the length of the longest state that is read.
	maxStateBytes = 16 << 20
	// watchInterval is the time between two looks for a request: it costs little, and a successor waits.
	watchInterval = 200 * time.Millisecond
)

// Handover is what the active process has handed over to its successor.
type Handover struct {
	State       []byte
	Sockets     map[string]*os.File // listening sockets by their addresses; the caller's to close
	Connections *Receiver           // receives connections of clients later; nil: none will come
	SocketsErr  error               // why there are no sockets; nil: there are
}

// RequestHandover asks the active process for its state and its listening sockets, and waits for them. It fails with [ErrNoState]
// if no state has come after the timeout, or once the active process has ended.
func (p *Process) RequestHandover(timeout time.Duration) (h Handover, err error) {
	random := make([]byte, tokenBytes)
	if _, err := rand.Read(random); err != nil {
		return h, fmt.Errorf("the handover's token: %w", err)
	}
	token := hex.EncodeToString(random)
	listener, listenErr := net.ListenUnix(network, &net.UnixAddr{Name: p.socketPath(token), Net: network})
	if listenErr == nil {
		defer func() { _ = listener.Close() }() // removes the file, or the next active process does
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

// awaitState waits for the file that answers a token.
func (p *Process) awaitState(token string, timeout time.Duration) ([]byte, error) {
	answer := filepath.Join(p.dir, statePrefix+token)
	for end := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		info, err := os.Stat(answer)
		if err == nil && info.Size() <= maxStateBytes {
			state, err := os.ReadFile(answer)
			_ = os.Remove(answer) // or the next active process does
			return state, err
		}
		if time.Now().After(end) || tryLock(p.activeLock, unix.LOCK_EX) {
			return nil, ErrNoState
		}
	}
}

// writeFile puts a file in place as a whole.
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

// AnswerFunc hands a state and listening sockets over to the successor that asked for them, and returns a link by which clients'
// connections can follow. An error that wraps [ErrNoSockets] says that the state went over without sockets, which is of use,
// too.
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

// Watch looks for successors on a goroutine of its own, while this process is the active one. It calls came for each request for a
// handover, and gone if a successor that made one ends.
func (p *Process) Watch(came func(answer AnswerFunc), gone func()) {
	go func() {
		present, answered := false, ""
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
			isNew := token != "" && token != answered
			if isNew && p.HasSuccessor() {
				present, answered = true, token
				came(p.answerTo(token))
			} else if present && !p.HasSuccessor() {
				present = false
				gone()
			}
		}
	}()
}

// requestedToken returns the token of the latest request; empty: there is none.
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
