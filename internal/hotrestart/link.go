package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// network is the kind of Unix socket over which descriptors are sent. It preserves packet boundaries.
const network = "unixpacket"

const (
	maxSocketsPerPacket = 64
	maxPacketBytes      = 192 << 10 // without the descriptors
)

// Socket is a listening socket to be handed over to a successor. The connections in its accept queue are handed over with it.
type Socket struct {
	Addr string // listening address, by which the successor identifies the socket
	Conn syscall.RawConn
}

// BufferedInput is data that was read from a connection and has not been processed yet.
type BufferedInput struct {
	Data []byte        `json:"Data"`
	Age  time.Duration `json:"Age"` // time since it was read
}

// MigratedConn is a client's connection that was received from the active process.
type MigratedConn struct {
	Addr   string          // listening address of the socket that accepted it
	Inputs []BufferedInput // in the order in which they were read
	File   *os.File        // the caller must close it
}

// packet is the data that is sent with descriptors: the address of each, and for a connection the inputs read from it.
type packet struct {
	Addrs  []string        `json:"Addrs"`
	Pieces []BufferedInput `json:"Pieces,omitempty"`
}

// errPacket reports a packet that no Link sends.
var errPacket = errors.New("packet with handed-over sockets can't be decoded")

// Link sends sockets to a successor. It is not safe for concurrent use.
type Link struct{ conn *net.UnixConn }

// socketPath returns the path of the Unix socket on which the successor with a token listens.
func (p *Process) socketPath(token string) string { return filepath.Join(p.dir, socketPrefix+token) }

// dialLink connects to the successor with a token and sends it the listening sockets.
func (p *Process) dialLink(token string, sockets []Socket) (*Link, error) {
	conn, err := net.DialUnix(network, nil, &net.UnixAddr{Name: p.socketPath(token), Net: network})
	if err != nil {
		return nil, fmt.Errorf("handover: connecting to the successor's socket: %w", err)
	}
	l := &Link{conn}
	var listening packet
	for _, s := range sockets {
		listening.Addrs = append(listening.Addrs, s.Addr)
	}
	send := func(descriptors []int) error { return l.send(listening, descriptors) }
	if err := withDescriptors(sockets, nil, send); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Migrate sends a client's connection to the successor, which first processes the inputs and then reads from the connection. The
// caller keeps its descriptor. It does not block: it fails with [ErrSuccessorBusy] if the successor has to read earlier packets
// first, after which it may be called again. It also fails if the packet is too long.
func (l *Link) Migrate(addr string, inputs []BufferedInput, descriptor int) error {
	return l.send(packet{Addrs: []string{addr}, Pieces: inputs}, []int{descriptor})
}

func (l *Link) send(p packet, descriptors []int) error {
	data, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("handover: encoding a packet: %w", err)
	}
	if len(data) > maxPacketBytes || len(descriptors) > maxSocketsPerPacket {
		return fmt.Errorf("handover: %d sockets and %d bytes exceed the limits of a packet, 64 sockets and 192 KiB", len(descriptors), len(data))
	}
	if err := l.sendNow(data, unix.UnixRights(descriptors...)); err != nil {
		return fmt.Errorf("handover: sending sockets to the successor: %w", err)
	}
	return nil
}

// sendNow sends one packet without waiting for the successor.
func (l *Link) sendNow(data, control []byte) error {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	err = raw.Write(func(fd uintptr) (done bool) {
		sendErr = unix.Sendmsg(int(fd), data, control, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		return true
	})
	if slices.ContainsFunc(temporarySendErrors, func(e error) bool { return errors.Is(sendErr, e) }) {
		sendErr = fmt.Errorf("%w: %w", ErrSuccessorBusy, sendErr)
	}
	return errors.Join(err, sendErr)
}

// temporarySendErrors are the errors of sendmsg(2) that pass once the successor has read earlier packets, or the kernel has memory.
var temporarySendErrors = []error{unix.EAGAIN, unix.ETOOMANYREFS, unix.ENOBUFS, unix.ENOMEM, unix.EINTR}

// Close closes the link. The successor keeps what was sent.
func (l *Link) Close() { _ = l.conn.Close() } // everything was sent when Migrate returned, so an error has no effect

// withDescriptors calls f with the descriptors in open, followed by those of sockets, which stay open during the call.
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
