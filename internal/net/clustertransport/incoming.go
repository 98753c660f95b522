package clustertransport

import (
	"fmt"
	"time"

	"larchusher/cluster"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// incoming is an accepted connection, of a member or a tool.
type incoming struct {
	transport *Transport
	frames    frameReader // poller

	conn      *transport.Conn
	from      string // empty: no frame was received yet
	rejected  bool   // its first frame was: nothing that comes behind it is taken
	isTool    bool
	lastFrame time.Time    // or when it was accepted
	writer    *frameWriter // to a tool
}

// OnOpened makes the challenge, before the first byte can come.
func (c *incoming) OnOpened(conn *transport.Conn) {
	t := c.transport
	c.frames = frameReader{key: t.key, challenge: newChallenge(), self: t.self}
	t.loop.Post(func() {
		c.conn, c.lastFrame = conn, t.loop.Now()
		t.accepted[c] = true
		if t.closed {
			conn.Close(errTransportClosed)
		}
	})
}

// OnReady greets with the challenge.
func (c *incoming) OnReady(conn *transport.Conn) {
	_ = conn.Write([]byte(magic), c.frames.challenge) // after an error the connection ends, and OnClosed is called
}

// OnBytes takes frames.
func (c *incoming) OnBytes(_ *transport.Conn, b []byte, _ time.Time) error {
	t := c.transport
	err := c.frames.feed(b, func(from string, m cluster.Message) {
		challenge := c.frames.peerChallenge
		t.loop.Post(func() { c.received(from, challenge, m) })
	})
	if replayed := c.frames.replayed; replayed > 0 {
		c.frames.replayed = 0
		t.loop.Post(func() { t.Counters.Replayed += replayed })
	}
	if err != nil {
		t.loop.Post(func() {
			t.Counters.Rejected++
			t.log.WithError(err).Warn(logfields.ClusterConnRejected)
		})
	}
	return err
}

// received takes a message of an authenticated frame; challenge is that of a tool.
func (c *incoming) received(from string, challenge []byte, m cluster.Message) {
	t := c.transport
	if c.rejected || t.closed { // frames that were read before the connection closed
		return
	}
	c.lastFrame = t.loop.Now()
	if c.from == "" {
		if t.members[from] == nil && !c.registerTool(from, challenge) {
			c.rejected = true
			t.Counters.Rejected++
			c.conn.Close(fmt.Errorf("%.64q is neither a member nor a tool", from))
			return
		}
		c.from = from
	}
	t.Counters.Received++
	t.Counters.ReceivedBytes += uint64(len(m.Value))
	t.receive(from, m)
}

// registerTool has replies to a name go over this connection; false: it is not a tool's, or there are too many.
func (c *incoming) registerTool(name string, challenge []byte) bool {
	t := c.transport
	if len(challenge) != challengeSize || len(t.tools) >= maxTools || t.tools[name] != nil || name == t.self {
		return false
	}
	c.isTool = true
	c.writer = &frameWriter{key: t.key, challenge: challenge, from: t.self, to: name}
	t.tools[name] = c
	return true
}

// OnClosed forgets the connection.
func (c *incoming) OnClosed(*transport.Conn, error) {
	t := c.transport
	t.loop.Post(func() {
		delete(t.accepted, c)
		if t.tools[c.from] == c {
			delete(t.tools, c.from)
		}
	})
}

// reply sends a message to a tool.
func (c *incoming) reply(m cluster.Message) {
	t := c.transport
	f, err := c.writer.frame(m)
	if err == nil {
		err = c.conn.Write(f)
	}
	if err != nil {
		t.Counters.Dropped++
		t.log.WithError(err).Warn(logfields.ClusterReplyUnencodable)
		return
	}
	t.Counters.Sent++
	t.Counters.SentBytes += uint64(len(f))
}
