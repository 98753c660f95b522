package transport

import (
	"errors"
	"sync"

	"golang.org/x/sys/unix"
)

var (
	errDetached = errors.New("it has gone over to another process")
	errNoPoller = errors.New("the poller's descriptor is not to be found")
)

// StopReading has nothing more read from the connection: what comes stays in the kernel. It reports whether what was being
// read has been handed to the handler; until then it is to be called again. It is meant for a connection on which nothing
// waits to be written, and which is about to be detached.
func (c *Conn) StopReading() (bool, error) {
	if !c.stopped.Swap(true) {
		if err := c.unregister(); err != nil {
			return false, err
		}
	}
	return !c.reading.Load(), nil
}

// Detach has send hand the connection's descriptor to another process, and ends the connection here without a word to its
// other end. If send fails the connection stays as it is, and is not read.
func (c *Conn) Detach(send func(descriptor int) error) error {
	c.nc.Lock() // its descriptor stays its own meanwhile
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

// unregister takes the connection off the poller. nbio (1.6.8) leaves that to the kernel, which does it once nobody holds the
// connection any more, in no process.
func (c *Conn) unregister() error {
	poller, err := c.engine.poller.descriptor(c.engine)
	if err != nil {
		return err
	}
	c.nc.Lock() // its descriptor stays its own meanwhile
	defer c.nc.Unlock()
	if closed, _ := c.nc.IsClosed(); closed {
		return errConnEnded
	}
	return unix.EpollCtl(poller, unix.EPOLL_CTL_DEL, c.nc.Hash(), nil)
}

// pollerDescriptor finds the poller's epoll descriptor, which nbio keeps to itself: the one that knows the echo.
type pollerDescriptor struct {
	once sync.Once
	fd   int
	err  error
}

const maxPollerDescriptor = 256 // the poller is made at the start, when few descriptors are open

func (p *pollerDescriptor) descriptor(e *Engine) (int, error) {
	p.once.Do(func() {
		p.err = errNoPoller
		e.barrier.mu.Lock()
		defer e.barrier.mu.Unlock()
		known := e.barrier.nc.Hash()
		// As nbio has it: nothing changes by this where it succeeds.
		event := unix.EpollEvent{Fd: int32(known), Events: unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLRDHUP | unix.EPOLLPRI | unix.EPOLLIN}
		for fd := range maxPollerDescriptor {
			if unix.EpollCtl(fd, unix.EPOLL_CTL_MOD, known, &event) == nil {
				p.fd, p.err = fd, nil
				return
			}
		}
	})
	return p.fd, p.err
}
