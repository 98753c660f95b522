package msgpackrpc

import (
	"sync"
	"sync/atomic"

	"larchusher/internal/net/transport"
)

// Turns of connections on the loop, in messages.
const (
	messagesPerTurn = 4   // of one connection before the next one has its turn
	messagesPerRun  = 128 // before the loop does its other work
)

// inbox holds the connections whose messages wait for the loop. They have turns of the same length, so that a connection on
// which much arrives does not delay the others (round robin). It is safe for concurrent use.
type inbox struct {
	mu        sync.Mutex
	waiting   []*conn // in the order of their turns
	scheduled bool    // the loop will run handleInbox
}

// connInbox is the part of an inbox that belongs to one connection. It is guarded by the inbox's mutex, but for the count.
type connInbox struct {
	batches []*batch
	waiting bool         // the connection is in inbox.waiting, or has its turn
	count   atomic.Int64 // batches that the loop has not handled completely
}

// post passes a batch to the loop.
func (c *conn) post(tc *transport.Conn, b *batch) {
	b.tc = tc
	c.inbox.count.Add(1)
	if c.front.inbox.push(c, b) {
		c.front.loop.Post(c.front.handleInbox)
	}
}

// push adds a batch of a connection, and reports whether the caller must schedule handleInbox.
func (in *inbox) push(c *conn, b *batch) (schedule bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.inbox.batches = append(c.inbox.batches, b)
	if !c.inbox.waiting {
		c.inbox.waiting = true
		in.waiting = append(in.waiting, c)
	}
	schedule = !in.scheduled
	in.scheduled = true
	return schedule
}

// next returns the connection whose turn it is, with its oldest batch; nil if nothing waits.
func (in *inbox) next() (*conn, *batch) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.waiting) == 0 {
		in.scheduled, in.waiting = false, nil
		return nil, nil
	}
	c := in.waiting[0]
	in.waiting[0] = nil
	in.waiting = in.waiting[1:]
	return c, c.inbox.batches[0]
}

// endTurn ends the turn of a connection; done means that its oldest batch has been handled.
func (in *inbox) endTurn(c *conn, done bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if done {
		c.inbox.batches[0] = nil
		c.inbox.batches = c.inbox.batches[1:]
	}
	c.inbox.waiting = len(c.inbox.batches) > 0
	if c.inbox.waiting {
		in.waiting = append(in.waiting, c)
	} else {
		c.inbox.batches = nil
	}
}

// handleInbox handles some of the messages that wait, on the loop.
func (f *Front) handleInbox() {
	for left := messagesPerRun; left > 0; {
		c, b := f.inbox.next()
		if c == nil {
			return
		}
		if !c.opened() && !b.tc.Closing() { // its OnOpened runs before the next handleInbox
			f.inbox.endTurn(c, false)
			break
		}
		n, done := c.handleTurn(b)
		f.inbox.endTurn(c, done)
		left -= max(1, n)
	}
	f.loop.Post(f.handleInbox)
}

// handleTurn handles messages of a batch for one turn, and returns their number and whether the batch is done.
func (c *conn) handleTurn(b *batch) (n int, done bool) {
	if !b.begun {
		c.beginBatch(b)
	}
	for ; n < messagesPerTurn && b.handled < len(b.messages); n++ {
		m := b.messages[b.handled]
		b.messages[b.handled] = clientMessage{} // its memory is not held until the end of the batch
		b.handled++
		if b.abandoned || c.closed || b.tc.Closing() {
			c.discard(m)
		} else {
			c.handleMessage(m)
		}
	}
	if b.handled < len(b.messages) {
		return n, false
	}
	c.inbox.count.Add(-1)
	b.tc.ReleaseInput(b.reserved)
	return n, true
}

// beginBatch records what a batch shows of its connection.
func (c *conn) beginBatch(b *batch) {
	b.begun = true
	if b.err != nil {
		c.front.Malformed++
	}
	// The kernel may know before the loop does that the client has left. It is asked for large batches only, as that costs a
	// system call; right before an attempt it is asked again.
	b.abandoned = len(b.messages) > messagesPerTurn && b.tc.PeerClosed()
	if !c.closed && !b.tc.Closing() {
		c.tracked.Received(c.front.loop.Now(), len(b.messages)+b.shed, b.partial)
	}
}

// discard drops a message that was read before the connection closed and is handled after it: the client repeats its requests
// elsewhere.
func (c *conn) discard(m clientMessage) {
	if m.kind == cancelMessage {
		c.pendingCancels.Remove(m.id)
	}
	if m.request != nil {
		m.request.ReleaseMemory()
	}
}
