package client

import (
	"errors"
	"io"
	"net"
	"sync"
)

// errPeerClosed is why nothing is written any more on a connection whose other end has closed it.
var errPeerClosed = errors.New("the other end has closed the connection")

// deliveryConn is a connection that knows how much of what was written may have reached the program at its other end. What
// arrived may have run, though the connection then ends without an answer: a gateway that dies closes as orderly as one that
// closes an idle connection.
//
// Offsets count the bytes given to Write. Read is for one goroutine, and Write for one.
type deliveryConn struct {
	net.Conn
	acks *ackReader // nil: nothing is known of arrivals

	mu      sync.Mutex
	written uint64   // bytes that were given to the kernel, or may have been
	end     *peerEnd // nil: the other end has not closed in order
}

// peerEnd is what is known of a connection when its orderly end is read.
type peerEnd struct {
	arrivedBytes  uint64 // that may have reached the program at the other end
	arrivalsKnown bool   // else arrivedBytes says nothing
}

// newDeliveryConn wraps a connection on which nothing was written yet.
func newDeliveryConn(nc net.Conn) *deliveryConn {
	return &deliveryConn{Conn: nc, acks: newAckReader(nc)}
}

// Read reads, and takes note of an orderly end. Bytes that arrived before the other end closed are acknowledged by its FIN at the
// latest, so those that are not acknowledged now did not reach it.
func (c *deliveryConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		c.recordEnd()
	}
	return n, err
}

func (c *deliveryConn) recordEnd() {
	acknowledged, known := c.acks.acknowledged()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil { // what is acknowledged later may come from a kernel that discards it
		c.end = &peerEnd{arrivedBytes: acknowledged, arrivalsKnown: known}
	}
}

// Write writes, unless the other end has closed the connection.
func (c *deliveryConn) Write(b []byte) (int, error) {
	if c.acks.peerClosed() {
		return 0, errPeerClosed
	}
	c.mu.Lock()
	c.written += uint64(len(b)) // before the write: it may arrive while it is under way
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// offset is where the next write begins.
func (c *deliveryConn) offset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// mayHaveArrived reports whether any byte from an offset on may have reached the program at the other end.
func (c *deliveryConn) mayHaveArrived(offset uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written <= offset { // nothing of it was written
		return false
	}
	if c.end == nil || !c.end.arrivalsKnown {
		return true
	}
	return c.end.arrivedBytes > offset
}
