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

// network is the kind of Unix socket that sockets go over by: it keeps packets apart.
const network = "unixpacket"

const (
	maxSocketsPerPacket = 64
	maxPacketBytes      = 192 << 10 // beside the sockets
	// sendTimeout bounds the wait for a successor that does not read: the sender may have more to do.
	sendTimeout = 20 * time.Millisecond
)

// Socket is a listening socket that goes over to a successor. The connections that wait in its queue go over with it.
type Socket struct {
	Addr string // where it listens: the successor finds it by this
	Conn syscall.RawConn
}

// BufferedInput is something that was read from a connection and not handled yet.
type BufferedInput struct {
	Data []byte        `json:"Data"`
	Age  time.Duration `json:"Age"` // since it was read
}

// MigratedConn is a connection of a client that has gone over.
type MigratedConn struct {
	Addr   string          // of the socket that accepted it
	Inputs []BufferedInput // in the order in which they were read
	File   *os.File        // the caller's to close
}

// packet is what goes over beside sockets: the address of each, and for a connection what was read from it.
type packet struct {
	Addrs  []string        `json:"Addrs"`
	Pieces []BufferedInput `json:"Pieces,omitempty"`
}

// errPacket says that what has come is not what a Link sends.
var errPacket = errors.New("sockets that were handed over cannot be read")

// Link sends sockets to a successor. It is not safe for concurrent use.
type Link struct{ conn *net.UnixConn }

// socketPath is the path of the Unix socket on which the successor with a token waits.
func (p *Process) socketPath(token string) string { return filepath.Join(p.dir, socketPrefix+token) }

// dialLink connects to the successor with a token, and sends it the listening sockets.
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

// Migrate sends a connection of a client to the successor, which reads on behind the inputs. The descriptor stays the caller's.
// It fails if the packet is too long, or the successor does not read for a while.
func (l *Link) Migrate(addr string, inputs []BufferedInput, descriptor int) error {
	return l.send(packet{Addrs: []string{addr}, Pieces: inputs}, []int{descriptor})
}

func (l *Link) send(p packet, descriptors []int) error {
	data, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("handing sockets over: %w", err)
	}
	if len(data) > maxPacketBytes || len(descriptors) > maxSocketsPerPacket {
		return fmt.Errorf("handing over %d sockets and %d bytes: too many", len(descriptors), len(data))
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only if it is closed, and then the write does
	if _, _, err := l.conn.WriteMsgUnix(data, unix.UnixRights(descriptors...), nil); err != nil {
		return fmt.Errorf("handing sockets over: %w", err)
	}
	return nil
}

// Close ends the link. What was sent stays the successor's.
func (l *Link) Close() { _ = l.conn.Close() } // all was sent when Migrate returned

// withDescriptors calls f with the descriptors of open and of sockets, which stay open meanwhile.
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
