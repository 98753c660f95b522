package transport

import (
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"larchusher/internal/logfields"
)

// firstBarrierTimeout limits the time of the first barrier, after which New reports that the poller does not run.
const firstBarrierTimeout = 10 * time.Second

// barrier is an eventfd registered with the poller. After a write to it, the poller reaches it only after all
// connections that were ready before. It is not a pair of Unix sockets: on systems that provide only TCP and UDP
// sockets these have no address, and the start would fail.
type barrier struct {
	mu        sync.Mutex
	nc        *nbio.Conn // nbio's wrapper of a duplicate of fd
	fd        int        // the eventfd that Barrier writes
	callbacks []func()
}

// open creates the eventfd and registers it with the poller.
func (e *barrier) open(engine *nbio.Engine) error {
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fd = fd
	if e.nc, err = nbio.NBConn(descriptorConn{fd: fd}); err == nil {
		_, err = engine.AddConn(e.nc)
	}
	return err
}

// close closes both descriptors, after the engine has stopped. nbio closes only descriptors that it knows as sockets.
func (e *barrier) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = unix.Close(e.nc.Hash()) // nbio's Hash returns the descriptor
	_ = unix.Close(e.fd)
}

// Barrier calls f on the poller goroutine after the poller has read what had arrived on all connections before this
// call. f must not block. Barrier may be called from any goroutine.
func (e *Engine) Barrier(f func()) {
	e.barrier.mu.Lock()
	defer e.barrier.mu.Unlock()
	e.barrier.callbacks = append(e.barrier.callbacks, f)
	if len(e.barrier.callbacks) > 1 { // the eventfd has been written and not been read yet
		return
	}
	if _, err := unix.Write(e.barrier.fd, binary.NativeEndian.AppendUint64(nil, 1)); err != nil {
		e.log.WithError(err).Warn(logfields.PollerBarrierFailed)
	}
}

// runCallbacks resets the eventfd and runs the pending callbacks. It runs on the poller goroutine.
func (e *barrier) runCallbacks() {
	e.mu.Lock()
	var count [8]byte
	_, _ = unix.Read(e.fd, count[:]) // before the callbacks are taken, so that a later Barrier call writes again
	callbacks := e.callbacks
	e.callbacks = nil
	e.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// descriptorConn presents a descriptor to nbio as a net.Conn. nbio duplicates the descriptor and calls only the
// methods below.
type descriptorConn struct {
	net.Conn
	fd int
}

func (d descriptorConn) SyscallConn() (syscall.RawConn, error) {
	return rawDescriptor{fd: uintptr(d.fd)}, nil
}
func (descriptorConn) LocalAddr() net.Addr  { return nil }
func (descriptorConn) RemoteAddr() net.Addr { return nil }
func (descriptorConn) Close() error         { return nil }

// rawDescriptor implements the Control method of syscall.RawConn for a descriptor.
type rawDescriptor struct {
	syscall.RawConn
	fd uintptr
}

func (r rawDescriptor) Control(f func(fd uintptr)) error {
	f(r.fd)
	return nil
}

// limitKernelUnsent sets TCP_NOTSENT_LOWAT (tcp(7)), which limits how many unsent bytes the kernel buffers for a
// connection. The kernel's buffers count towards the process's memory, and large ones would hide that a client does
// not read.
func limitKernelUnsent(conn net.Conn) {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxKernelUnsent)
		})
	}
}
