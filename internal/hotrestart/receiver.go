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

// socketsTimeout bounds the wait for the listening sockets after the state has arrived.
const socketsTimeout = 500 * time.Millisecond

// Receiver receives clients' connections from the active process. It is not safe for concurrent use.
type Receiver struct {
	conn *net.UnixConn
	data []byte
}

// receive waits for the active process to connect, and returns its listening sockets by address and a Receiver for its connections.
func receive(l *net.UnixListener) (*Receiver, map[string]*os.File, error) {
	_ = l.SetDeadline(time.Now().Add(socketsTimeout)) // an error means that the listener is closed, which Accept reports
	conn, err := acceptWithRetry(l.AcceptUnix)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: waiting for the predecessor to connect: %w", err)
	}
	r := &Receiver{conn: conn, data: make([]byte, maxPacketBytes)}
	_ = conn.SetReadDeadline(time.Now().Add(socketsTimeout)) // an error means that the connection is closed, which the read reports
	listening, files, err := r.next()
	if err != nil {
		r.Close()
		return nil, nil, err
	}
	_ = conn.SetReadDeadline(time.Time{}) // as above
	byAddr := map[string]*os.File{}
	for i, f := range files {
		byAddr[listening.Addrs[i]] = f
	}
	return r, byAddr, nil
}

// acceptWithRetry accepts a connection. It returns an error only if the listener's deadline has passed or the listener is closed: all
// other errors of accept(2) are temporary shortages, after which it tries again.
func acceptWithRetry(accept func() (*net.UnixConn, error)) (*net.UnixConn, error) {
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(pollInterval)
	}
}

// Next blocks until the next client's connection arrives. It fails once the other process has closed its [Link] or ended, and for a
// packet that can't be decoded.
func (r *Receiver) Next() (MigratedConn, error) {
	p, files, err := r.next()
	if err != nil {
		return MigratedConn{}, err
	}
	if len(files) != 1 {
		closeFiles(files)
		return MigratedConn{}, errPacket
	}
	return MigratedConn{Addr: p.Addrs[0], Inputs: p.Pieces, File: files[0]}, nil
}

// next reads one packet and returns its descriptors as files, one for each address of the packet.
func (r *Receiver) next() (p packet, files []*os.File, err error) {
	control := make([]byte, unix.CmsgSpace(descriptorBytes*maxSocketsPerPacket))
	n, controls, _, _, err := r.conn.ReadMsgUnix(r.data, control)
	if err != nil {
		return p, nil, fmt.Errorf("handover: receiving sockets: %w", err)
	}
	if files, err = parseDescriptors(control[:controls]); err != nil {
		return p, nil, err
	}
	if err := json.Unmarshal(r.data[:n], &p); err != nil || len(p.Addrs) != len(files) {
		closeFiles(files)
		return p, nil, errPacket
	}
	return p, files, nil
}

// Close closes the connection to the other process.
func (r *Receiver) Close() { _ = r.conn.Close() } // an error has no effect, since nothing was written

// descriptorBytes is the length of a file descriptor in a control message.
const descriptorBytes = 4

// parseDescriptors returns the descriptors in a control message as files. The caller must close them.
func parseDescriptors(control []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPacket, err)
	}
	for _, m := range messages {
		descriptors, err := unix.ParseUnixRights(&m)
		if err != nil {
			closeFiles(files)
			return nil, fmt.Errorf("%w: %w", errPacket, err)
		}
		for _, fd := range descriptors {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "socket handed over by the predecessor"))
		}
	}
	return files, nil
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close() // an error has no effect, since nothing was written
	}
}
