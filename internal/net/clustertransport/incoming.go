package clustertransport

import (
	"errors"
	"fmt"
	"time"

	"larchusher/cluster"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
)

var errNoMemory = errors.New("no memory for an incomplete frame")

// incoming is an accepted connection, from a member or a tool. Unless marked, its fields belong to the event loop.
type incoming struct {
	transport *Transport
	frames    frameReader      // used on the poller
	buffer    *membudget.Piece // account of the incomplete frame

	conn      *transport.Conn
	from      string // empty: no frame has been received yet
	rejected  bool   // the first frame was rejected; frames after it are ignored
	isTool    bool
	lastFrame time.Time    // time of the latest frame, or of the accept
	writer    *frameWriter // nil unless the connection is a tool's
}

// newIncoming returns the handler of an accepted connection.
func (t *Transport) newIncoming(budget *membudget.Budget) *incoming {
	return &incoming{transport: t, buffer: budget.NewPiece(membudget.PartialInput)}
}

// OnOpened creates the challenge before the first bytes can arrive. It is called on the poller, like the other callbacks.
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

// OnReady sends the greeting, which contains the challenge.
func (c *incoming) OnReady(conn *transport.Conn) {
	_ = conn.Write([]byte(magic), c.frames.challenge) // an error closes the connection, and OnClosed is called
}

// OnBytes reads frames and posts their messages to the event loop. An invalid frame is logged and closes the connection.
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
	if err == nil && !c.buffer.Resize(int64(cap(c.frames.buf))) {
		err = errNoMemory
	}
	if err != nil {
		t.loop.Post(func() {
			t.Counters.Rejected++
			t.log.WithError(err).Warn(logfields.ClusterConnRejected)
		})
	}
	return err
}

// received handles the message of an authenticated frame on the event loop. challenge is the one that a tool has sent.
func (c *incoming) received(from string, challenge []byte, m cluster.Message) {
	t := c.transport
	if c.rejected || t.closed { // the frame was read before the connection was closed
		return
	}
	c.lastFrame = t.loop.Now()
	if c.from == "" {
		if t.members[from] == nil && !c.registerTool(from, challenge) {
			c.rejected = true
			t.Counters.Rejected++
			c.conn.Close(fmt.Errorf("%.64q is not a member, and can't be registered as a tool: its challenge is invalid, its name in use, or too many tools are connected", from))
			return
		}
		c.from = from
	}
	t.Counters.Received++
	t.Counters.ReceivedBytes += uint64(len(m.Value))
	t.receive(from, m)
}

// registerTool has replies to a name sent over this connection. It reports false if the challenge has the wrong length, the name
// is in use, or maxTools are connected.
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

// OnClosed removes the connection from the transport.
func (c *incoming) OnClosed(*transport.Conn, error) {
	c.buffer.Release()
	t := c.transport
	t.loop.Post(func() {
		delete(t.accepted, c)
		if t.tools[c.from] == c {
			delete(t.tools, c.from)
		}
	})
}

// reply sends a message to the tool on this connection.
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
