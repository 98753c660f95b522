package resp

import (
	pool "github.com/libp2p/go-buffer-pool"

	"larchusher/internal/net/transport"
	"larchusher/membudget"
)

// Bytes of one read from an endpoint.
const (
	usualReadBytes = 64 << 10
	shortReadBytes = 8 << 10 // while the memory for answers is short
)

// MaxReadBytes bounds the next read, so that answers are not read much faster than the loop passes them on.
func (c *conn) MaxReadBytes(*transport.Conn) int {
	if c.pool.cfg.Budget.IsShort(membudget.EndpointAnswers) {
		return shortReadBytes
	}
	return usualReadBytes
}

// reserve reserves n bytes for a string of the answer to the request with an ID, and returns false if Config.Budget has not enough
// memory. Answers for slow clients may arrive all at once, and be longer than expected. It runs on the poller goroutine.
func (c *conn) reserve(id []byte, n int) bool {
	budget := c.pool.cfg.Budget
	favored := int64(n) > budget.Free(membudget.EndpointAnswers) && c.favored.Contains(string(id))
	if !budget.Reserve(membudget.EndpointAnswers, int64(n), favored) {
		return false
	}
	c.reservedBytes.Add(int64(n))
	return true
}

// releaseReserved releases the memory reserved for an answer that will not be completed. It may run concurrently with
// OnBytes: both call it after the connection has ended, so that whatever OnBytes reserved in between is released,
// too.
func (c *conn) releaseReserved() {
	c.pool.cfg.Budget.Release(membudget.EndpointAnswers, c.reservedBytes.Swap(0))
}

// releaseStrings releases the memory of an answer's strings.
func (p *Pool) releaseStrings(strings [][]byte) {
	for _, s := range strings {
		p.releaseBody(s)
	}
}

// releaseBody releases the memory of one string, which may be nil.
func (p *Pool) releaseBody(body []byte) {
	if len(body) > maxUnreservedBytes {
		p.cfg.Budget.Release(membudget.EndpointAnswers, int64(len(body)))
	}
	pool.Put(body)
}
