package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	socketsMost   = 64                     // that go over
	namesMost     = 8 << 10                // bytes of their names
	socketsWithin = 500 * time.Millisecond // of the state
)

// Socket is a listening socket that goes over to a successor. What waits in its queue goes over with it.
type Socket struct {
	Addr string // where it listens, by which the successor knows it
	Conn syscall.RawConn
}

// errSockets says that what has come is not what sendSockets sends.
var errSockets = errors.New("the sockets that were handed over cannot be read")

// socketPath is where a successor waits for sockets.
func (p *Process) socketPath(token string) string { return filepath.Join(p.dir, socketPrefix+token) }

// sendSockets gives sockets to the successor that waits for them.
func (p *Process) sendSockets(token string, sockets []Socket) error {
	if len(sockets) > socketsMost {
		return fmt.Errorf("handing over %d sockets: %d at most", len(sockets), socketsMost)
	}
	conn, err := net.Dial("unix", p.socketPath(token))
	if err != nil {
		return fmt.Errorf("handing sockets over: %w", err)
	}
	defer conn.Close()
	var names []string
	for _, s := range sockets {
		names = append(names, s.Addr)
	}
	data, err := json.Marshal(names)
	if err != nil {
		return err
	}
	send := func(rights []int) error {
		_, _, err := conn.(*net.UnixConn).WriteMsgUnix(data, unix.UnixRights(rights...), nil)
		return err
	}
	return withDescriptors(sockets, nil, send)
}

// withDescriptors calls f with the descriptors of sockets, which stay open meanwhile.
func withDescriptors(sockets []Socket, open []int, f func([]int) error) error {
	if len(sockets) == 0 {
		return f(open)
	}
	var failed error
	err := sockets[0].Conn.Control(func(fd uintptr) {
		failed = withDescriptors(sockets[1:], append(open, int(fd)), f)
	})
	return errors.Join(err, failed)
}

// receiveSockets waits for sockets and returns them by their addresses.
func receiveSockets(l *net.UnixListener) (map[string]*os.File, error) {
	_ = l.SetDeadline(time.Now().Add(socketsWithin))
	conn, err := l.AcceptUnix()
	if err != nil {
		return nil, fmt.Errorf("waiting for sockets: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(socketsWithin))
	data, control := make([]byte, namesMost), make([]byte, unix.CmsgSpace(4*socketsMost))
	n, controls, _, _, err := conn.ReadMsgUnix(data, control)
	if err != nil {
		return nil, fmt.Errorf("receiving sockets: %w", err)
	}
	files, err := readRights(control[:controls])
	if err != nil {
		return nil, err
	}
	var names []string
	if err := json.Unmarshal(data[:n], &names); err != nil || len(names) != len(files) {
		closeAll(files)
		return nil, errSockets
	}
	byAddr := map[string]*os.File{}
	for i, f := range files {
		byAddr[names[i]] = f
	}
	return byAddr, nil
}

// readRights takes the descriptors out of a control message.
func readRights(control []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSockets, err)
	}
	for _, m := range messages {
		rights, err := unix.ParseUnixRights(&m)
		if err != nil {
			closeAll(files)
			return nil, fmt.Errorf("%w: %w", errSockets, err)
		}
		for _, fd := range rights {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "socket of the former process"))
		}
	}
	return files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}
