package client

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ackReader reads from the kernel how many written bytes the peer of a TCP connection has acknowledged. A nil *ackReader
// reports that this is not known.
type ackReader struct {
	raw  syscall.RawConn
	base uint64 // the kernel's count before the first byte was written, which includes the SYN
}

// newAckReader returns an ackReader for a connection on which nothing has been written yet. It returns nil if the connection
// is not a plain kernel TCP connection (such as TLS, which writes other bytes than the caller does), or if the kernel gives
// no counts.
func newAckReader(nc net.Conn) *ackReader {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	r := &ackReader{raw: raw}
	if r.base, ok = r.bytesAcked(); !ok {
		return nil
	}
	return r
}

// acknowledged returns how many bytes the peer has acknowledged, or false if that is not known.
func (r *ackReader) acknowledged() (uint64, bool) {
	if r == nil {
		return 0, false
	}
	n, ok := r.bytesAcked()
	return n - r.base, ok && n >= r.base
}

// bytesAcked returns the kernel's count of acknowledged bytes (tcpi_bytes_acked), or false if it is not available.
func (r *ackReader) bytesAcked() (n uint64, ok bool) {
	err := r.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		// Kernels before 4.1 fill in neither count. Others count at least one segment, the SYN.
		n, ok = info.Bytes_acked, info.Segs_out > 0
	})
	return n, ok && err == nil
}

// peerClosed reports whether the peer is known to have closed or reset the connection.
func (r *ackReader) peerClosed() (closed bool) {
	if r == nil {
		return false
	}
	_ = r.raw.Control(func(fd uintptr) { // fails if the connection is closed on this side, and then a write fails as well
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		n, err := unix.Poll(fds[:], 0)
		closed = err == nil && n > 0 && fds[0].Revents&hungUp != 0
	})
	return closed
}
