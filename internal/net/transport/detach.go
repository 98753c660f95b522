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

// StopReading stops reading from the connection; later input stays in the kernel. It returns true once no input is
// being passed to the handler, and must be called again until then. It is meant for a connection without unwritten
// bytes that is about to be detached. It returns an error if the connection is closed or cannot be removed from the
// poller.
func (c *Conn) StopReading() (bool, error) {
	if !c.stopped.Swap(true) {
		if err := c.unregister(); err != nil {
			return false, err
		}
	}
	return !c.reading.Load(), nil
}

// Detach passes the connection's descriptor to send, which transfers it to another process, and then closes the
// connection here without notifying the peer. If send fails, the connection stays open but is no longer read, and the
// error is returned.
func (c *Conn) Detach(send func(descriptor int) error) error {
	c.nc.Lock() // while it is locked, the descriptor cannot be closed and reused
	closed, _ := c.nc.IsClosed()
	err := errConnEnded
	if !closed {
		err = send(c.nc.Hash())
	}
	c.nc.Unlock()
	if err == nil {
		c.Close(errDetached)
	}
	return err
}

// unregister removes the connection from the poller. nbio (version 1.6.8) leaves that to the kernel, which does it
// only once no process has the connection open any more.
func (c *Conn) unregister() error {
	poller, err := c.engine.poller.descriptor(c.engine)
	if err != nil {
		return err
	}
	c.nc.Lock() // while it is locked, the descriptor cannot be closed and reused
	defer c.nc.Unlock()
	if closed, _ := c.nc.IsClosed(); closed {
		return errConnEnded
	}
	return unix.EpollCtl(poller, unix.EPOLL_CTL_DEL, c.nc.Hash(), nil)
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
