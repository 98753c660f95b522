package clustertransport

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"time"

	"larchusher/cluster"
)

// defaultRequestTimeout is the timeout of a request whose context has no deadline.
const defaultRequestTimeout = 10 * time.Second

// Tool is the connection of an operator's tool to one gateway. Its methods block, so a gateway must not use it. It is not safe for
// concurrent use.
type Tool struct {
	conn   net.Conn
	writer *frameWriter
	reader frameReader
	lastID uint64
}

// DialTool connects to the gateway with a name and reads its greeting, within the context's deadline, if there is one. key is the
// cluster's key.
func DialTool(ctx context.Context, name, addr string, key []byte) (*Tool, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("gateway %s: %w", name, err)
	}
	challenge, err := readGreeting(ctx, conn)
	if err != nil {
		_ = conn.Close() // the greeting's error is the cause
		return nil, fmt.Errorf("gateway %s at %s: %w", name, addr, err)
	}
	id := make([]byte, 8)
	_, _ = rand.Read(id) // never fails
	self, ownChallenge := "tool-"+hex.EncodeToString(id), newChallenge()
	return &Tool{
		conn:   conn,
		writer: &frameWriter{key: key, challenge: challenge, from: self, to: name, ownChallenge: ownChallenge},
		reader: frameReader{key: key, challenge: ownChallenge, self: self},
	}, nil
}

// readGreeting reads the gateway's greeting and returns its challenge.
func readGreeting(ctx context.Context, conn net.Conn) ([]byte, error) {
	if at, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(at); err != nil {
			return nil, err
		}
	}
	greeting := make([]byte, greetingSize)
	if _, err := io.ReadFull(conn, greeting); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoGreeting, err)
	}
	challenge, ok := parseGreeting(greeting)
	if !ok {
		return nil, errNoGreeting
	}
	return challenge, nil
}

// Request sends a command or a query and returns the reply. It fails at the context's deadline, or after defaultRequestTimeout if
// there is none.
func (t *Tool) Request(ctx context.Context, m cluster.Message) (cluster.Message, error) {
	t.lastID++
	m.Kind, m.ID = cluster.OperatorRequest, t.lastID
	f, err := t.writer.frame(m)
	if err != nil {
		return cluster.Message{}, err
	}
	at, ok := ctx.Deadline()
	if !ok {
		at = time.Now().Add(defaultRequestTimeout)
	}
	if err := t.conn.SetDeadline(at); err != nil {
		return cluster.Message{}, fmt.Errorf("sending the request: %w", err)
	}
	if _, err := t.conn.Write(f); err != nil {
		return cluster.Message{}, fmt.Errorf("sending the request: %w", err)
	}
	return t.receiveReply(m.ID)
}

// receiveReply reads until the reply to a request arrives; other messages are ignored.
func (t *Tool) receiveReply(id uint64) (cluster.Message, error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := t.conn.Read(buf)
		if err != nil {
			return cluster.Message{}, fmt.Errorf("waiting for the reply: %w", err)
		}
		var reply *cluster.Message
		err = t.reader.feed(buf[:n], func(_ string, m cluster.Message) {
			if m.Kind == cluster.OperatorReply && m.ID == id {
				reply = &m
			}
		})
		if err != nil {
			return cluster.Message{}, err
		}
		if reply != nil {
			return *reply, nil
		}
	}
}

// Close closes the connection.
func (t *Tool) Close() error { return t.conn.Close() }
