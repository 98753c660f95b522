package resp

import pool "github.com/libp2p/go-buffer-pool"

// reserve reports whether a string of an answer may be held, and counts it if so. What was asked of endpoints for slow
// clients may come all at once, and be longer than expected.
func (c *conn) reserve(n int) bool {
	p := c.pool
	held := p.answerBytes.Add(int64(n))
	if p.cfg.MaxAnswerBytes > 0 && held > p.cfg.MaxAnswerBytes {
		p.answerBytes.Add(int64(-n))
		return false
	}
	c.reservedBytes.Add(int64(n))
	return true
}

// releaseReserved gives back what is reserved for an answer that will not be completed. It may run beside OnBytes: each
// calls it once the connection has ended, and what the other has reserved meanwhile evens out.
func (c *conn) releaseReserved() { c.pool.answerBytes.Add(-c.reservedBytes.Swap(0)) }

// releaseStrings gives the memory of strings back.
func (p *Pool) releaseStrings(strings [][]byte) {
	for _, s := range strings {
		p.releaseBody(s)
	}
}

// releaseBody gives the memory of a string back. nil is none.
func (p *Pool) releaseBody(body []byte) {
	if len(body) > maxUnreservedBytes {
		p.answerBytes.Add(int64(-len(body)))
	}
	pool.Put(body)
}
