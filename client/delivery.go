package client

import (
	"errors"
	"io"
	"net"
	"sync"
)

// errPeerClosed is the error of Write on a connection that the peer has closed.
var errPeerClosed = errors.New("write not attempted: the peer has closed the connection")

// deliveryConn is a connection that tracks which of the written bytes may have reached the program at the other end. A
// request that arrived may have run even if the connection ends without an answer: a gateway that crashes closes its
// connections in order (FIN), like a gateway that closes an idle connection.
//
// Offsets count the bytes passed to Write. Read may be called by one goroutine at a time, and so may Write.
type deliveryConn struct {
	net.Conn
	acks *ackReader // nil: acknowledgements cannot be read, and any byte written may have arrived

	mu      sync.Mutex
	written uint64   // bytes passed to Write, counted before they are written
	end     *peerEnd // nil: no orderly end has been read
}

// peerEnd records how much had arrived at the peer when the orderly end of the connection was read.
type peerEnd struct {
	arrivedBytes  uint64 // bytes that may have reached the program at the other end
	arrivalsKnown bool   // false: arrivedBytes is not valid
}

// newDeliveryConn wraps a connection on which nothing has been written yet.
func newDeliveryConn(nc net.Conn) *deliveryConn {
	return &deliveryConn{Conn: nc, acks: newAckReader(nc)}
}

// Read reads from the connection and, at an orderly end, records how much the peer has acknowledged. The peer's FIN
// acknowledges all bytes that arrived before it, so bytes that are not acknowledged at the end did not reach the program.
func (c *deliveryConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		c.recordPeerEnd()
	}
	return n, err
}

func (c *deliveryConn) recordPeerEnd() {
	acknowledged, known := c.acks.acknowledged()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil { // bytes acknowledged later may be discarded by the peer's kernel
		c.end = &peerEnd{arrivedBytes: acknowledged, arrivalsKnown: known}
	}
}

// Write writes to the connection, or returns errPeerClosed without writing if the peer is known to have closed it.
func (c *deliveryConn) Write(b []byte) (int, error) {
	if c.acks.peerClosed() {
		return 0, errPeerClosed
	}
	c.mu.Lock()
	c.written += uint64(len(b)) // counted first, since bytes may arrive before Write returns
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// offset returns the offset of the next write.
func (c *deliveryConn) offset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// mayHaveArrived reports whether a byte at or after an offset may have reached the program at the other end.
func (c *deliveryConn) mayHaveArrived(offset uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written <= offset { // nothing was written from the offset on
		return false
	}
	if c.end == nil || !c.end.arrivalsKnown {
		return true
	}
	return c.end.arrivedBytes > offset
}
