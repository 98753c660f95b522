//go:build review

package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Client is a client's connection to a gateway.
type Client struct {
	c    *Case
	name string
	conn net.Conn

	mu       sync.Mutex
	lastID   int
	requests map[int]*Request
	ended    error // why the connection has ended; nil: it has not
}

// Request is a request that a client has sent, and its answer.
type Request struct {
	ID         int
	Class      string
	Object     string
	Txn        string
	Limit      time.Duration
	SentAt     time.Time // when its last byte was written
	Answers    int       // whole answers so far
	AnsweredAt time.Time
	Error      string // of the first answer; empty: served
	Later      string
	Body       string
	Done       chan struct{} // closed at the first answer, or when the connection has ended without one
	ConnEnd    error         // the connection has ended without an answer
}

// Connect opens a client's connection. It reads answers at bytesPerS at most; 0: as fast as they come.
func (c *Case) Connect(name, addr string, bytesPerS int) *Client {
	conn, err := net.Dial("tcp", addr)
	c.Check(err)
	k := &Client{c: c, name: name, conn: conn, requests: map[int]*Request{}}
	go k.read(bytesPerS)
	return k
}

// pacedReader reads at a limited rate.
type pacedReader struct {
	r         io.Reader
	bytesPerS int
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.bytesPerS > 0 {
		step := p.bytesPerS / 100
		b = b[:min(len(b), step)]
		defer time.Sleep(time.Duration(float64(len(b)) / float64(p.bytesPerS) * float64(time.Second)))
	}
	return p.r.Read(b)
}

func (k *Client) read(bytesPerS int) {
	r := bufio.NewReaderSize(&pacedReader{k.conn, bytesPerS}, 16<<10)
	for {
		v, err := unpack(r)
		if err == nil {
			err = k.answered(v)
		}
		if err != nil {
			k.mu.Lock()
			k.ended = err
			for _, q := range k.requests {
				if q.Answers == 0 && q.ConnEnd == nil {
					q.ConnEnd = err
					k.c.Log("%s: the connection has ended (%v) without a whole answer to %s %s", k.name, err, q.Class, q.Txn)
					close(q.Done)
				}
			}
			k.mu.Unlock()
			return
		}
	}
}

func (k *Client) answered(v any) error {
	m, ok := v.([]any)
	if !ok || len(m) != 4 {
		return fmt.Errorf("unreadable answer %v", v)
	}
	id, _ := m[1].(int)
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.requests[id]
	if q == nil {
		return fmt.Errorf("answer to message %d, which was not sent", id)
	}
	q.Answers++
	if q.Answers > 1 {
		k.c.Log("%s: a second answer to %s %s", k.name, q.Class, q.Txn)
		return nil
	}
	q.AnsweredAt = time.Now()
	if e, ok := m[2].([]any); ok {
		q.Error, _ = e[0].(string)
		if f, ok := e[1].(map[string]string); ok {
			q.Later = f["later"]
		}
	} else if body, ok := m[3].([]any)[0].(string); ok {
		q.Body = body
	}
	k.c.Log("%s: answer to %s %s after %.3f s (its limit is %v): error=%q later=%s body=%d", k.name, q.Class, q.Txn,
		q.AnsweredAt.Sub(q.SentAt).Seconds(), q.Limit, q.Error, q.Later, len(q.Body))
	close(q.Done)
	return nil
}

// Send writes a request and returns it. more are further fields, names and values.
func (k *Client) Send(class, object string, limit time.Duration, body string, more ...string) *Request {
	q := &Request{Class: class, Object: object, Limit: limit, Txn: Hex(8), Done: make(chan struct{})}
	k.mu.Lock()
	k.lastID++
	q.ID = k.lastID
	k.requests[q.ID] = q
	k.mu.Unlock()
	all := append([]string{"txn", q.Txn, "limit", strconv.FormatInt(limit.Milliseconds(), 10), "item", object, "n", "3", "shard", "17"}, more...)
	b := append([]byte{0x94, 0, 0xcd, byte(q.ID >> 8), byte(q.ID)}, packString(class)...)
	b = append(b, 0x92, 0x80|byte(len(all)/2))
	for _, f := range all {
		b = append(b, packString(f)...)
	}
	b = append(binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(body))), body...)
	if _, err := k.conn.Write(b); err != nil {
		k.c.Log("%s: writing a request failed: %v", k.name, err)
	}
	q.SentAt = time.Now()
	k.c.Log("%s: sent %s %s object=%s limit=%v body=%d %v", k.name, class, q.Txn, object, limit, len(body), more)
	return q
}

// Alive asks whether the gateway is there, and waits for its answer.
func (k *Client) Alive() {
	k.mu.Lock()
	k.lastID++
	q := &Request{ID: k.lastID, Class: "alive", SentAt: time.Now(), Done: make(chan struct{})}
	k.requests[q.ID] = q
	k.mu.Unlock()
	b := append([]byte{0x94, 0, 0xcd, byte(q.ID >> 8), byte(q.ID)}, packString("alive")...)
	_, err := k.conn.Write(append(b, 0x91, 0x80))
	k.c.Check(err)
	select {
	case <-q.Done:
	case <-time.After(time.Second):
	}
	if q.Answers == 0 || q.Error != "" {
		k.c.Fail("the gateway does not answer alive")
	}
}

// Close closes the connection.
func (k *Client) Close() { _ = k.conn.Close() }

// CheckAnswered waits for the answer to a request, and records a broken rule if there is none by its limit and slack.
func (c *Case) CheckAnswered(q *Request, slack time.Duration) {
	select {
	case <-q.Done:
	case <-time.After(time.Until(q.SentAt.Add(q.Limit + slack + 50*time.Millisecond))):
	}
	switch {
	case q.Answers > 0 && q.AnsweredAt.Sub(q.SentAt) <= q.Limit+slack:
	case q.Answers > 0:
		c.Break("%s %s was answered %.3f s after it was sent; its limit is %v", q.Class, q.Txn, q.AnsweredAt.Sub(q.SentAt).Seconds(), q.Limit)
	case q.ConnEnd != nil:
		c.Break("%s %s: its connection ended without a whole answer (%v)", q.Class, q.Txn, q.ConnEnd)
	default:
		c.Break("%s %s has no whole answer %.3f s after it was sent; its limit is %v", q.Class, q.Txn, time.Since(q.SentAt).Seconds(), q.Limit)
	}
}

// Hex returns n random bytes in hex.
func Hex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func packString(s string) []byte { return append([]byte{0xd9, byte(len(s))}, s...) }

// unpack reads one MessagePack value of the kinds that answers contain.
func unpack(r *bufio.Reader) (any, error) {
	b, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	num := func(n int) int {
		buf := make([]byte, 8)
		_, err = io.ReadFull(r, buf[8-n:])
		return int(binary.BigEndian.Uint64(buf))
	}
	text := func(n int) (any, error) {
		if err != nil {
			return nil, err
		}
		buf := make([]byte, n)
		_, err := io.ReadFull(r, buf)
		return string(buf), err
	}
	switch {
	case b <= 0x7f:
		return int(b), nil
	case b >= 0x80 && b <= 0x8f:
		m := map[string]string{}
		for range b & 0x0f {
			k, err := unpack(r)
			if err != nil {
				return nil, err
			}
			v, err := unpack(r)
			if err != nil {
				return nil, err
			}
			m[fmt.Sprint(k)] = fmt.Sprint(v)
		}
		return m, nil
	case b >= 0x90 && b <= 0x9f:
		var l []any
		for range b & 0x0f {
			v, err := unpack(r)
			if err != nil {
				return nil, err
			}
			l = append(l, v)
		}
		return l, nil
	case b >= 0xa0 && b <= 0xbf:
		return text(int(b & 0x1f))
	case b == 0xc0:
		return nil, nil
	case b == 0xc2 || b == 0xc3:
		return b == 0xc3, nil
	case b >= 0xc4 && b <= 0xc6:
		return text(num(1 << (b - 0xc4)))
	case b >= 0xcc && b <= 0xce:
		return num(1 << (b - 0xcc)), err
	case b == 0xd9:
		return text(num(1))
	}
	return nil, fmt.Errorf("byte %#x in an answer", b)
}
