package test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

const (
	soakSlack     = 58 * time.Millisecond // by which an answer may be late on sockets
	closeCrossing = 50 * time.Millisecond // a request that crosses the close of its connection within this time is sent again once
)

// soakClass is a class of requests in a soak.
type soakClass struct {
	name  string
	limit time.Duration
	share float64 // of the requests
	keyed bool
}

// soakClasses returns the classes of settingsWithTrades with their shares.
func soakClasses() []soakClass {
	return []soakClass{
		{name: "images", limit: 2500 * time.Millisecond, share: 0.6},
		{name: "films", limit: 5 * time.Second, share: 0.2},
		{name: "orders", limit: 3 * time.Second, share: 0.15, keyed: true},
		{name: "trades", limit: 3 * time.Second, share: 0.05},
	}
}

// soakRequest is a request of a well-behaved client. The client's mutex guards it.
type soakRequest struct {
	class      soakClass
	message    rpc.Request
	sentAt     time.Time
	limit      time.Duration
	answers    int
	answeredAt time.Time
	err        string
	endedAt    time.Time // when its connection ended without an answer; zero: it has not
	resent     bool      // it crossed the close of its connection, and was sent again as another request
}

// soakClient is a well-behaved client of one gateway: it keeps its connection while the gateway does.
type soakClient struct {
	addr     string
	interval time.Duration
	random   *rand.Rand
	prefix   uint32 // of its transaction ids

	mu     sync.Mutex
	all    []*soakRequest
	lastID uint32
}

// soakConn is a connection of a soakClient.
type soakConn struct {
	client *soakClient
	conn   net.Conn
	open   map[uint32]*soakRequest // guarded by the client's mutex
	ended  chan struct{}
	again  chan *soakRequest // requests that crossed the close
}

// run sends requests until stop is closed, and then waits for the answers.
func (c *soakClient) run(stop <-chan struct{}) {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	var conn *soakConn
	for {
		select {
		case <-stop:
			c.awaitAnswers(conn)
			return
		case <-ticker.C:
		}
		if conn != nil && conn.isEnded() {
			former := conn
			if conn = c.connect(); conn != nil {
				conn.sendAgain(former.again)
			}
		}
		if conn == nil {
			conn = c.connect()
		}
		if conn != nil {
			conn.send(c.draw())
		}
	}
}

// awaitAnswers waits until no request is open on a connection or the longest time limit has passed.
func (c *soakClient) awaitAnswers(conn *soakConn) {
	if conn == nil {
		return
	}
	defer loopback.Close(conn.conn)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end) && !conn.isEnded(); time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		open := len(conn.open)
		c.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// connect opens a connection; nil: the gateway is not there.
func (c *soakClient) connect() *soakConn {
	conn, err := loopback.DialTimeout(c.addr, 300*time.Millisecond)
	if err != nil {
		return nil
	}
	k := &soakConn{client: c, conn: conn, open: map[uint32]*soakRequest{}, ended: make(chan struct{}), again: make(chan *soakRequest, 100)}
	go k.read()
	return k
}

func (k *soakConn) isEnded() bool {
	select {
	case <-k.ended:
		return true
	default:
		return false
	}
}

// draw returns the next request.
func (c *soakClient) draw() *soakRequest {
	class, draw := soakClasses()[0], c.random.Float64()
	for _, class = range soakClasses() {
		if draw -= class.share; draw < 0 {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	txn := fmt.Sprintf("%08x%08x", c.prefix, c.lastID)
	r := &soakRequest{class: class, limit: time.Duration((0.5 + c.random.Float64()/2) * float64(class.limit))}
	r.message = rpc.Request{ID: c.lastID, Class: class.name, Txn: txn, Limit: r.limit, Object: fmt.Sprintf("%016x", c.random.IntN(200)), Part: 3}
	if class.keyed {
		r.message.Key, r.message.Object = "key-"+txn, txn
		if c.random.IntN(5) == 0 {
			r.message.Body = make([]byte, orderBytes)
		}
	}
	return r
}

// send writes a request.
func (k *soakConn) send(r *soakRequest) {
	var b bytes.Buffer
	_ = rpc.NewEncoder(&b).Request(&r.message) // a bytes.Buffer takes everything
	c := k.client
	c.mu.Lock()
	r.sentAt = time.Now()
	c.all = append(c.all, r)
	k.open[r.message.ID] = r
	c.mu.Unlock()
	_, err := k.conn.Write(b.Bytes())
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil { // it was not written to its end
		r.resent = true
		delete(k.open, r.message.ID)
		return
	}
	if r.answers == 0 {
		r.sentAt = time.Now()
	}
}

// sendAgain sends requests that crossed the close of a former connection.
func (k *soakConn) sendAgain(crossed <-chan *soakRequest) {
	for {
		select {
		case r := <-crossed:
			k.send(&soakRequest{class: r.class, message: r.message, limit: r.limit})
		default:
			return
		}
	}
}

// read reads answers until the connection ends.
func (k *soakConn) read() {
	answers := rpc.NewReader(k.conn)
	for {
		a, err := answers.Next()
		if err != nil {
			k.end(errors.Is(err, io.EOF))
			return
		}
		c := k.client
		c.mu.Lock()
		if r := k.open[a.ID]; r != nil {
			r.answers++
			r.answeredAt, r.err = time.Now(), a.Error
			delete(k.open, a.ID)
		} else {
			k.recordSecondAnswer(a.ID)
		}
		c.mu.Unlock()
	}
}

// recordSecondAnswer counts a further answer to a request. The caller holds the client's mutex.
func (k *soakConn) recordSecondAnswer(id uint32) {
	for _, r := range k.client.all {
		if r.message.ID == id && !r.resent {
			r.answers++
		}
	}
}

// end records the requests that are left without an answer. orderly means that the gateway closed the connection without a reset.
func (k *soakConn) end(orderly bool) {
	loopback.Close(k.conn)
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range k.open {
		r.endedAt = now
		if orderly && now.Sub(r.sentAt) <= closeCrossing && len(k.again) < cap(k.again) {
			r.resent = true
			k.again <- r
		}
	}
	close(k.ended)
}
