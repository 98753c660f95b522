// Package clustertransport carries messages between the gateways of a cluster, and between an operator's tool and a gateway.
//
// A TCP connection between gateways carries messages in one direction, from the member that dialled it; a tool's connection carries
// them in both. The accepting side greets with a random challenge, and each frame has a MAC that is computed over that challenge
// and the frame with the cluster's key. Frames made without the key, and frames recorded on another connection, are therefore
// rejected; a frame that is replayed on the same connection is ignored. Nothing is encrypted, and there is no protection
// against attackers who have the key, or who delay frames.
//
// A Transport belongs to the event loop. Fields that are marked so are used on the connection's poller instead.
package clustertransport

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/cluster"
	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

const (
	// greetingTimeout is how long an accepted connection may stay open without a frame, and the interval of the check for it.
	greetingTimeout = 2 * time.Second
	// toolIdleTimeout is how long a tool's connection may stay open after its latest frame.
	toolIdleTimeout = 30 * time.Second
	// maxTools bounds the number of connected tools.
	maxTools = 32
)

// errTransportClosed is the reason with which connections are closed when the transport is closed.
var errTransportClosed = errors.New("closed")

// Member is a gateway of the cluster: its name, and the address (host:port) on which it listens for the other members.
type Member struct{ Name, Addr string }

// Counters count the messages and connections of a transport. SentBytes counts the bytes of frames, ReceivedBytes those of the
// messages' values.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes uint64
	Dropped                                  uint64 // messages not sent: no connection, a full queue or buffer, or not encodable
	Rejected                                 uint64 // connections closed for an invalid frame, or one from neither a member nor a tool
	Replayed                                 uint64 // frames ignored as duplicated or overtaken
	Dials, Disconnects                       uint64 // connections to members: dials, and dials that failed or connections that ended
}

// Transport connects a gateway with the other members and with tools. Create it with [Open]. All methods run on the event loop.
type Transport struct {
	Counters Counters

	self     string
	key      []byte
	loop     *gateway.Loop
	engine   *transport.Engine
	log      logrus.FieldLogger
	receive  func(from string, m cluster.Message)
	members  map[string]*outgoing
	tools    map[string]*incoming
	accepted map[*incoming]bool
	listener *transport.Listener
	closed   bool
}

// Open listens for the other members and for tools. Each message is passed to receive on the event loop. It fails if the address
// can't be listened on.
func Open(self, listen string, members []Member, key []byte, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger,
	receive func(from string, m cluster.Message)) (*Transport, error) {
	t := &Transport{
		self:     self,
		key:      key,
		loop:     loop,
		engine:   engine,
		log:      log,
		receive:  receive,
		members:  map[string]*outgoing{},
		tools:    map[string]*incoming{},
		accepted: map[*incoming]bool{},
	}
	for _, m := range members {
		if m.Name != self {
			t.members[m.Name] = &outgoing{transport: t, name: m.Name, addr: m.Addr, backoff: minBackoff}
		}
	}
	var err error
	maxConns := 2*len(members) + maxTools
	t.listener, err = engine.Listen(listen, maxConns, nil, func() transport.Handler { return t.newIncoming(engine.Budget) })
	if err != nil {
		return nil, fmt.Errorf("listening for cluster members and tools: %w", err)
	}
	loop.After(greetingTimeout, t.closeIdle)
	return t, nil
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Send sends a message to a member, or to a connected tool. It does not block. Messages may be lost.
func (t *Transport) Send(to string, m cluster.Message) {
	if member := t.members[to]; member != nil {
		member.send(m)
		return
	}
	if tool := t.tools[to]; tool != nil {
		tool.reply(m)
		return
	}
	t.Counters.Dropped++
}

// Close stops listening and closes all connections.
func (t *Transport) Close() {
	t.closed = true
	t.listener.Close()
	for _, m := range t.members {
		m.reset(errTransportClosed)
	}
	for c := range t.accepted {
		c.conn.Close(errTransportClosed)
	}
}

// closeIdle closes accepted connections that have not sent a frame in time, and idle connections of tools. A member's connection
// may stay idle once it has sent a frame.
func (t *Transport) closeIdle() {
	now := t.loop.Now()
	for c := range t.accepted {
		idle := now.Sub(c.lastFrame)
		if c.from == "" && idle > greetingTimeout || c.isTool && idle > toolIdleTimeout {
			c.conn.Close(errors.New("no frame received in time"))
		}
	}
	if !t.closed {
		t.loop.After(greetingTimeout, t.closeIdle)
	}
}
