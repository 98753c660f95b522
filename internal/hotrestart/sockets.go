package hotrestart

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
	maxSocketsPerPacket = 64                     // that go over in one packet
	maxPacketBytes      = 192 << 10              // bytes of a packet beside its sockets
	socketsTimeout      = 500 * time.Millisecond // of the state
	sendTimeout         = 20 * time.Millisecond  // for a successor that does not read: whoever sends may have more to do
	network             = "unixpacket"           // keeps packets apart
)

// Socket is a listening socket that goes over to a successor. What waits in its queue goes over with it.
type Socket struct {
	Addr string // where it listens, by which the successor knows it
	Conn syscall.RawConn
}

// BufferedInput is something that has come on a connection, and that the former process has not dealt with.
type BufferedInput struct {
	Data []byte        `json:"Data"`
	Age  time.Duration `json:"Age"` // since it came
}

// MigratedConn is a client's connection that has gone over.
type MigratedConn struct {
	Addr   string // of the socket that accepted it
	Inputs []BufferedInput
	File   *os.File
}

// packet is what goes over beside sockets: the address of each, and for a connection the pieces that have come on it.
type packet struct {
	Addrs  []string        `json:"Addrs"`
	Pieces []BufferedInput `json:"Pieces,omitempty"`
}

// errPacket says that what has come is not what a Link sends.
var errPacket = errors.New("sockets that were handed over cannot be read")

// Link gives sockets to a successor. It is safe for use from one goroutine at a time.
type Link struct{ conn *net.UnixConn }

// socketPath is where a successor waits for sockets.
func (p *Process) socketPath(token string) string { return filepath.Join(p.dir, socketPrefix+token) }

// dialLink connects to the successor with a token, and gives it listening sockets.
func (p *Process) dialLink(token string, sockets []Socket) (*Link, error) {
	conn, err := net.DialUnix(network, nil, &net.UnixAddr{Name: p.socketPath(token), Net: network})
	if err != nil {
		return nil, fmt.Errorf("handing sockets over: %w", err)
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

// Migrate gives a client's connection to the successor, which reads on behind the pieces. The descriptor stays the caller's.
func (l *Link) Migrate(addr string, pieces []BufferedInput, descriptor int) error {
	return l.send(packet{Addrs: []string{addr}, Pieces: pieces}, []int{descriptor})
}

func (l *Link) send(p packet, descriptors []int) error {
	data, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("handing sockets over: %w", err)
	}
	if len(data) > maxPacketBytes || len(descriptors) > maxSocketsPerPacket {
		return fmt.Errorf("handing over %d sockets and %d bytes: too many", len(descriptors), len(data))
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, _, err := l.conn.WriteMsgUnix(data, unix.UnixRights(descriptors...), nil); err != nil {
		return fmt.Errorf("handing sockets over: %w", err)
	}
	return nil
}

// Close ends the link. What was sent stays the successor's.
func (l *Link) Close() { _ = l.conn.Close() }

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

// Receiver takes sockets from the process that serves.
type Receiver struct {
	conn *net.UnixConn
	data []byte
}

// receive waits for the process that serves, and returns its listening sockets by their addresses.
func receive(l *net.UnixListener) (*Receiver, map[string]*os.File, error) {
	_ = l.SetDeadline(time.Now().Add(socketsTimeout))
	conn, err := l.AcceptUnix()
	if err != nil {
		return nil, nil, fmt.Errorf("waiting for sockets: %w", err)
	}
	r := &Receiver{conn: conn, data: make([]byte, maxPacketBytes)}
	_ = conn.SetReadDeadline(time.Now().Add(socketsTimeout))
	listening, files, err := r.next()
	if err != nil {
		r.Close()
		return nil, nil, err
	}
	_ = conn.SetReadDeadline(time.Time{})
	byAddr := map[string]*os.File{}
	for i, f := range files {
		byAddr[listening.Addrs[i]] = f
	}
	return r, byAddr, nil
}

// Next waits for the next connection that goes over. It fails once the other process has ended.
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

// next reads one packet: as many sockets as addresses.
func (r *Receiver) next() (p packet, files []*os.File, err error) {
	control := make([]byte, unix.CmsgSpace(4*maxSocketsPerPacket))
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
func (r *Receiver) Close() { _ = r.conn.Close() }

// readRights takes the descriptors out of a control message.
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
		_ = f.Close()
	}
}
