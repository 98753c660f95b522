package msgpackrpc

import (
	"sync"
	"sync/atomic"
)

// pendingCancels is the set of message IDs whose cancel messages the poller has read and the loop has not handled
// yet. The zero value is empty. It is safe for concurrent use.
type pendingCancels struct {
	n   atomic.Int64
	mu  sync.Mutex
	ids map[uint64]int
}

func (c *pendingCancels) add(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids == nil {
		c.ids = map[uint64]int{}
	}
	c.ids[id]++
	c.n.Add(1)
}

func (c *pendingCancels) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids[id]--; c.ids[id] <= 0 {
		delete(c.ids, id)
	}
	c.n.Add(-1)
}

// contains reports whether a cancel of this ID is pending. If no cancel is pending, which is the usual case, it costs
// one atomic load.
func (c *pendingCancels) contains(id uint64) bool {
	if c.n.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[id] > 0
}
