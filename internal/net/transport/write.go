package transport

import (
	"fmt"

	pool "github.com/libp2p/go-buffer-pool"

	"larchusher/membudget"
)

const (
	maxUnwrittenPerConn = 10 << 20 // limit of the bytes waiting to be written on one connection
	// Beyond the engine's limit, a connection may have the limit divided by fairUnwrittenDivisor, until all connections together
	// have the limit and a part of it, given by unwrittenReserveDivisor.
	fairUnwrittenDivisor    = 32
	unwrittenReserveDivisor = 4

	maxJoinedWrite = 64 << 10 // buffers of up to this many bytes in total are joined into one write
)

// Write writes the buffers in order. It never blocks and keeps no reference to them. If more bytes wait to be written
// than the engine allows, it closes the connection if many of them wait there, since its peer does not read. After any
// error, OnClosed has been or will be called.
func (c *Conn) Write(buffers ...[]byte) error {
	if c.ended.Load() {
		return errConnEnded
	}
	total := 0
	for _, p := range buffers {
		total += len(p)
	}
	if c.exceedsUnwritten(int64(total)) {
		err := fmt.Errorf("too many unwritten bytes: %d on all connections, %d on this connection", c.engine.unwritten.Load(), c.unwritten.Load())
		c.Close(err)
		return err
	}
	c.addUnwritten(int64(total))
	err := c.writeBuffers(buffers, total)
	if err != nil {
		c.releaseUnwritten() // the connection may have been closed before these bytes were counted
		return fmt.Errorf("writing to %s: %w", c.Remote, err)
	}
	return nil
}

// exceedsUnwritten reports whether the connection must be closed for n more bytes that would wait to be written. Beyond the
// engine's limit those go first on which much waits, and beyond a quarter more all others on which anything does.
func (c *Conn) exceedsUnwritten(n int64) bool {
	limit, own := c.engine.maxUnwritten.Load(), c.unwritten.Load()
	all := c.engine.unwritten.Load() + n
	if all <= limit || own <= 0 {
		return false
	}
	return own+n > limit/fairUnwrittenDivisor || all > limit+limit/unwrittenReserveDivisor
}

// writeBuffers passes the buffers, of total bytes, to nbio, which copies what the kernel does not accept at once.
// Small buffers are joined: a copy costs less than another system call, and they are sent in one packet.
func (c *Conn) writeBuffers(buffers [][]byte, total int) error {
	if len(buffers) > 1 && total <= maxJoinedWrite {
		buf := pool.Get(total)
		defer pool.Put(buf)
		joined := buf[:0]
		for _, p := range buffers {
			joined = append(joined, p...)
		}
		return c.engine.write(c.nc, joined)
	}
	// One by one: nbio's Writev loses the buffers after the one at which the socket's send buffer becomes full.
	for _, p := range buffers {
		if len(p) == 0 {
			continue
		}
		if err := c.engine.write(c.nc, p); err != nil {
			return err
		}
	}
	return nil
}

// addUnwritten adds n bytes, which may be negative, to those that wait to be written, and returns their number on the connection.
func (c *Conn) addUnwritten(n int64) (left int64) {
	c.engine.unwritten.Add(n)
	c.engine.Budget.Add(membudget.Writes, n)
	return c.unwritten.Add(n)
}

// releaseUnwritten subtracts the connection's unwritten bytes from the engine's total, once the connection is closed.
func (c *Conn) releaseUnwritten() {
	n := c.unwritten.Swap(0)
	c.engine.unwritten.Add(-n)
	c.engine.Budget.Release(membudget.Writes, n)
}
