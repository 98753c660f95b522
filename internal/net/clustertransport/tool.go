package clustertransport

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"larchusher/cluster"
)

// Tool is an operator's connection to one gateway. It blocks, and is not for use in a gateway.
type Tool struct {
	conn   net.Conn
	w      *frameWriter
	r      frameReader
	serial uint64
}

// DialTool connects to a gateway of that name.
func DialTool(ctx context.Context, name, addr string, key []byte) (*Tool, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("gateway %s: %w", name, err)
	}
	if at, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(at)
	}
	greeting := make([]byte, greetingSize)
	if _, err := io.ReadFull(conn, greeting); err != nil || string(greeting[:len(magic)]) != magic {
		conn.Close()
		return nil, fmt.Errorf("gateway %s at %s: not the greeting of a member: %w", name, addr, errors.Join(err))
	}
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	self, own := "tool-"+hex.EncodeToString(id), newChallenge()
	return &Tool{conn: conn, w: &frameWriter{key: key, challenge: greeting[len(magic):], from: self, to: name, ownChallenge: own},
		r: frameReader{key: key, challenge: own, self: self}}, nil
}

// Request sends an order and waits for its reply.
func (t *Tool) Request(ctx context.Context, m cluster.Message) (cluster.Message, error) {
	t.serial++
	m.Kind, m.ID = cluster.OperatorRequest, t.serial
	f, err := t.w.frame(m)
	if err != nil {
		return cluster.Message{}, err
	}
	at, ok := ctx.Deadline()
	if !ok {
		at = time.Now().Add(10 * time.Second)
	}
	_ = t.conn.SetDeadline(at)
	if _, err := t.conn.Write(f); err != nil {
		return cluster.Message{}, fmt.Errorf("asking: %w", err)
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := t.conn.Read(buf)
		if err != nil {
			return cluster.Message{}, fmt.Errorf("waiting for the reply: %w", err)
		}
		var reply *cluster.Message
		if err := t.r.feed(buf[:n], func(_ string, got cluster.Message) {
			if got.Kind == cluster.OperatorReply && got.ID == m.ID {
				reply = &got
			}
		}); err != nil {
			return cluster.Message{}, err
		}
		if reply != nil {
			return *reply, nil
		}
	}
}

// Close ends the connection.
func (t *Tool) Close() error { return t.conn.Close() }
