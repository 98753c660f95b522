// Package clustertransport carries messages between the gateways of an installation, and between an operator's tool and one of
// them.
//
// Each TCP connection carries messages one way, from the member that dialled; a tool's carries them both ways. Who accepts a connection
// greets with a challenge, and every frame is authenticated by the installation's key over that challenge. So frames
// without the key are rejected, and so is what was sent before on another connection; a frame that comes again on the same
// one is ignored. Nothing is encrypted, and nothing protects against one who has the key or delays frames.
//
// A Transport lives on the event loop; what is marked poller runs on the connection's poller.
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
	// greetingTimeout is how long an accepted connection may be without a frame, and how often idle connections are closed.
	greetingTimeout = 2 * time.Second
	// toolIdleTimeout is how long a tool's connection may be without a further frame.
	toolIdleTimeout = 30 * time.Second
	// maxTools bounds the tools that are connected.
	maxTools = 32
)

// errTransportClosed ends connections when the transport is closed.
var errTransportClosed = errors.New("closed")

// Member is a gateway of the installation.
type Member struct{ Name, Addr string }

// Counters count what went over the transport. Bytes sent are those of frames, bytes received those of the messages' values.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes uint64
	Dropped                                  uint64 // messages that were not sent: no connection, or a full one
	Rejected                                 uint64 // connections closed for a frame that was not valid, or not from a member or a tool
	Replayed                                 uint64 // frames that came again, or out of order
	Dials, Disconnects                       uint64 // of connections to members
}

// Transport connects a gateway with the other members, and with tools. Use Open.
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

// Open listens for the other members and for tools. Each message is handed to receive, on the loop. An error says why the address can't be
// listened on.
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
	t.listener, err = engine.Listen(listen, maxConns, nil, func() transport.Handler { return &incoming{transport: t} })
	if err != nil {
		return nil, fmt.Errorf("listening for the fleet: %w", err)
	}
	loop.After(greetingTimeout, t.closeIdle)
	return t, nil
}

// Addr is the address that it listens on.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Send sends a message to a member, or back to a tool. It does not block, and the message may get lost.
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

// Close ends listening and all connections.
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

// closeIdle closes accepted connections without a frame in time. A member's connection may be idle once it has sent one.
func (t *Transport) closeIdle() {
	now := t.loop.Now()
	for c := range t.accepted {
		idle := now.Sub(c.lastFrame)
		if c.from == "" && idle > greetingTimeout || c.isTool && idle > toolIdleTimeout {
			c.conn.Close(errors.New("it says nothing"))
		}
	}
	if !t.closed {
		t.loop.After(greetingTimeout, t.closeIdle)
	}
}
