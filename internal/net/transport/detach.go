package transport

import (
	"errors"
	"sync"

	"golang.org/x/sys/unix"
)

var (
	errDetached = errors.New("connection was migrated to another process")
	errNoPoller = errors.New("epoll descriptor of the poller not found")
)

// RunOnPoller calls f on the poller goroutine, after the poller has passed on the input that had arrived before this
// call. f must not block.
func (c *Conn) RunOnPoller(f func()) { c.engine.Barrier(f) }

// SettingUp reports whether the listener has not finished handing the connection to its handler. The connection must not
// be paused or detached before.
func (c *Conn) SettingUp() bool { return c.settingUp.Load() }

// Detach passes the connection's descriptor to send, which transfers it to another process, and then closes the
// connection here without notifying the peer. Reading must be paused, and no bytes may wait to be written. If send fails,
// the connection stays as it was, and the error is returned.
func (c *Conn) Detach(send func(descriptor int) error) error {
	poller, err := c.engine.poller.descriptor(c.engine)
	if err != nil {
		return err
	}
	if err := c.sendAndUnregister(poller, send); err != nil {
		return err
	}
	c.Close(errDetached)
	return nil
}

// sendAndUnregister passes the descriptor to send and then removes it from the poller. nbio (version 1.6.8) leaves that
// to the kernel, which does it only once no process has the connection open any more.
func (c *Conn) sendAndUnregister(poller int, send func(descriptor int) error) error {
	c.nc.Lock() // while it is locked, the descriptor cannot be closed and reused
	defer c.nc.Unlock()
	if closed, _ := c.nc.IsClosed(); closed {
		return errConnEnded
	}
	descriptor := c.nc.Hash()
	if err := send(descriptor); err != nil {
		return err
	}
	_ = unix.EpollCtl(poller, unix.EPOLL_CTL_DEL, descriptor, nil) // fails only if it is not registered
	return nil
}

// pollerDescriptor finds the epoll descriptor of the poller, which nbio does not expose: the one with which the
// barrier's eventfd is registered.
type pollerDescriptor struct {
	once sync.Once
	fd   int
	err  error
}

const maxPollerDescriptor = 256 // highest descriptor tried, plus 1; the poller is opened at startup, when few descriptors are open

// descriptor returns the epoll descriptor, which it searches for on the first call, or errNoPoller.
func (p *pollerDescriptor) descriptor(e *Engine) (int, error) {
	p.once.Do(func() {
		p.err = errNoPoller
		e.barrier.mu.Lock()
		defer e.barrier.mu.Unlock()
		eventfd := e.barrier.nc.Hash()
		// The same events as nbio registers, so that a successful call changes nothing.
		event := unix.EpollEvent{Fd: int32(eventfd), Events: unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLRDHUP | unix.EPOLLPRI | unix.EPOLLIN}
		for fd := range maxPollerDescriptor {
			if unix.EpollCtl(fd, unix.EPOLL_CTL_MOD, eventfd, &event) == nil {
				p.fd, p.err = fd, nil
				return
			}
		}
	})
	return p.fd, p.err
}
