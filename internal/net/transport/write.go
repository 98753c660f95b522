package transport

import (
	"fmt"

	pool "github.com/libp2p/go-buffer-pool"
)

const (
	maxUnwrittenPerConn = 10 << 20 // bytes that may wait to be written on one connection
	maxJoinedWrite      = 64 << 10 // bytes of pieces that are joined into one write
)

// Write sends the pieces in order, and never blocks. It keeps nothing of them. If more waits to be written than the engine
// allows, the connection is closed: its other end does not read. With any error, OnClosed has been or will be called.
func (c *Conn) Write(pieces ...[]byte) error {
	if c.ended.Load() {
		return errConnEnded
	}
	total := 0
	for _, p := range pieces {
		total += len(p)
	}
	if c.engine.unwritten.Load()+int64(total) > c.engine.maxUnwritten && c.unwritten.Load() > 0 {
		err := fmt.Errorf("%d bytes wait to be written, and %d on this connection", c.engine.unwritten.Load(), c.unwritten.Load())
		c.Close(err)
		return err
	}
	c.unwritten.Add(int64(total))
	c.engine.unwritten.Add(int64(total))
	err := c.writePieces(pieces, total)
	if err != nil {
		c.releaseUnwritten() // it may have been closed before the pieces were counted
		return fmt.Errorf("writing to %s: %w", c.Remote, err)
	}
	return nil
}

// writePieces hands pieces to nbio, which copies what the kernel does not take. Small pieces are joined: a copy costs less
// than another system call, and they leave in one packet.
func (c *Conn) writePieces(pieces [][]byte, total int) error {
	if len(pieces) > 1 && total <= maxJoinedWrite {
		buf := pool.Get(total)
		defer pool.Put(buf)
		joined := buf[:0]
		for _, p := range pieces {
			joined = append(joined, p...)
		}
		_, err := c.nc.Write(joined)
		return err
	}
	// One by one: nbio's Writev loses what follows the piece at which the socket's buffer is full.
	for _, p := range pieces {
		if len(p) == 0 {
			continue
		}
		if _, err := c.nc.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// releaseUnwritten takes what waits to be written off the engine's sum, once the connection is closed.
func (c *Conn) releaseUnwritten() { c.engine.unwritten.Add(-c.unwritten.Swap(0)) }
