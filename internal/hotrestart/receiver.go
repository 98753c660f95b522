package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// socketsTimeout bounds the wait for listening sockets once the state has come.
const socketsTimeout = 500 * time.Millisecond

// Receiver receives sockets from the active process.
type Receiver struct {
	conn *net.UnixConn
	data []byte
}

// receive waits for the active process to connect, and returns its listening sockets by their addresses.
func receive(l *net.UnixListener) (*Receiver, map[string]*os.File, error) {
	_ = l.SetDeadline(time.Now().Add(socketsTimeout)) // fails only if it is closed, and then Accept does
	conn, err := acceptWithRetry(l.AcceptUnix)
	if err != nil {
		return nil, nil, fmt.Errorf("waiting for sockets: %w", err)
	}
	r := &Receiver{conn: conn, data: make([]byte, maxPacketBytes)}
	_ = conn.SetReadDeadline(time.Now().Add(socketsTimeout)) // fails only if it is closed, and then the read does
	listening, files, err := r.next()
	if err != nil {
		r.Close()
		return nil, nil, err
	}
	_ = conn.SetReadDeadline(time.Time{}) // likewise
	byAddr := map[string]*os.File{}
	for i, f := range files {
		byAddr[listening.Addrs[i]] = f
	}
	return r, byAddr, nil
}

// acceptWithRetry accepts a connection. Only the listener's deadline or its closing ends the wait: other errors of accept(2) are
// of shortages that pass.
func acceptWithRetry(accept func() (*net.UnixConn, error)) (*net.UnixConn, error) {
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(pollInterval)
	}
}

// Next waits for the next connection that goes over. It fails once the other process has closed its [Link] or ended.
func (r *Receiver) Next() (MigratedConn, error) {
	p, files, err := r.next()
	if err != nil {
		return MigratedConn{}, err
	}
	if len(files) != 1 {
		closeAll(files)
		return MigratedConn{}, errPacket
	}
	return MigratedConn{Addr: p.Addrs[0], Inputs: p.Pieces, File: files[0]}, nil
}

// next reads one packet, which has as many sockets as addresses.
func (r *Receiver) next() (p packet, files []*os.File, err error) {
	control := make([]byte, unix.CmsgSpace(descriptorBytes*maxSocketsPerPacket))
	n, controls, _, _, err := r.conn.ReadMsgUnix(r.data, control)
	if err != nil {
		return p, nil, fmt.Errorf("receiving sockets: %w", err)
	}
	if files, err = readRights(control[:controls]); err != nil {
		return p, nil, err
	}
	if err := json.Unmarshal(r.data[:n], &p); err != nil || len(p.Addrs) != len(files) {
		closeAll(files)
		return p, nil, errPacket
	}
	return p, files, nil
}

// Close ends the receiving.
func (r *Receiver) Close() { _ = r.conn.Close() } // nothing was written

// descriptorBytes is the length of a file descriptor in a control message.
const descriptorBytes = 4

// readRights returns the descriptors in a control message as files.
func readRights(control []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPacket, err)
	}
	for _, m := range messages {
		rights, err := unix.ParseUnixRights(&m)
		if err != nil {
			closeAll(files)
			return nil, fmt.Errorf("%w: %w", errPacket, err)
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
		_ = f.Close() // nothing was written
	}
}
