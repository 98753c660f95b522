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

// firstBarrierTimeout is how long the first barrier may take, at the start, before the poller counts as not running.
const firstBarrierTimeout = 10 * time.Second

// barrier is an eventfd that the poller reads: once it was written to, the poller comes to it after all connections that
// were ready before. It is no pair of Unix sockets: where the system serves TCP and UDP alone, those have no name, and the
// start would fail.
type barrier struct {
	mu        sync.Mutex
	nc        *nbio.Conn // the poller's descriptor of it
	fd        int        // the program's own
	callbacks []func()
}

func (e *barrier) open(engine *nbio.Engine) error {
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fd = fd
	if e.nc, err = nbio.NBConn(descriptor{fd: fd}); err == nil {
		_, err = engine.AddConn(e.nc)
	}
	return err
}

// close closes the descriptors, once the engine has stopped. nbio closes only those that it knows as sockets.
func (e *barrier) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = unix.Close(e.nc.Hash()) // that is the descriptor
	_ = unix.Close(e.fd)
}

// Barrier calls f on the poller, once it has read what had come on all connections by now. f must not block. It may be
// called from any goroutine.
func (e *Engine) Barrier(f func()) {
	e.barrier.mu.Lock()
	defer e.barrier.mu.Unlock()
	e.barrier.callbacks = append(e.barrier.callbacks, f)
	if len(e.barrier.callbacks) > 1 { // it has been written to
		return
	}
	if _, err := unix.Write(e.barrier.fd, binary.NativeEndian.AppendUint64(nil, 1)); err != nil {
		e.log.WithError(err).Warn(logfields.PollerBarrierFailed)
	}
}

// passed calls the callbacks, on the poller.
func (e *barrier) passed() {
	e.mu.Lock()
	var count [8]byte
	_, _ = unix.Read(e.fd, count[:]) // before the callbacks are taken: one that comes later writes again
	want := e.callbacks
	e.callbacks = nil
	e.mu.Unlock()
	for _, f := range want {
		f()
	}
}

// descriptor shows a descriptor to nbio as a connection, which takes a duplicate of it. Nothing else of it is called.
type descriptor struct {
	net.Conn
	fd int
}

func (d descriptor) SyscallConn() (syscall.RawConn, error) { return raw{fd: uintptr(d.fd)}, nil }
func (descriptor) LocalAddr() net.Addr                     { return nil }
func (descriptor) RemoteAddr() net.Addr                    { return nil }
func (descriptor) Close() error                            { return nil }

type raw struct {
	syscall.RawConn
	fd uintptr
}

func (r raw) Control(f func(fd uintptr)) error {
	f(r.fd)
	return nil
}

// limitKernelUnsent limits what the kernel takes of a connection's answers before they can be sent (TCP_NOTSENT_LOWAT,
// tcp(7)). Its buffers count as the program's memory, and would hide that a client does not read.
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
