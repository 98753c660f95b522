package client

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ackReader reads from the kernel how much of what was written to a TCP connection its other end has acknowledged. A nil one
// knows nothing.
type ackReader struct {
	raw  syscall.RawConn
	base uint64 // acknowledged before the first byte was written: the SYN counts
}

// newAckReader returns the reader of a connection on which nothing was written yet; nil: it is not one of the kernel's own TCP
// connections, whose bytes are the caller's.
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

// acknowledged returns how many bytes the other end has acknowledged; false: that is not known.
func (r *ackReader) acknowledged() (uint64, bool) {
	if r == nil {
		return 0, false
	}
	n, ok := r.bytesAcked()
	return n - r.base, ok && n >= r.base
}

// bytesAcked is the kernel's own count.
func (r *ackReader) bytesAcked() (n uint64, ok bool) {
	err := r.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		// Kernels before 4.1 have neither count. The SYN is a segment, so that there is one at least.
		n, ok = info.Bytes_acked, info.Segs_out > 0
	})
	return n, ok && err == nil
}

// peerClosed reports whether the other end is known to have closed or reset the connection.
func (r *ackReader) peerClosed() (closed bool) {
	if r == nil {
		return false
	}
	_ = r.raw.Control(func(fd uintptr) { // it fails if this end is closed, and then a write does
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		n, err := unix.Poll(fds[:], 0)
		closed = err == nil && n > 0 && fds[0].Revents&hungUp != 0
	})
	return closed
}
