// Package crowd plays many clients that misbehave towards a gateway at the same time, and a well-behaved client beside
// them. Its clients speak the platform's protocol over loopback.
package crowd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// Behavior is what each client of a crowd does on its connection.
type Behavior string

// The behaviors of clients.
const (
	Halfway      Behavior = "halfway"       // stops 1 kB before the end of an order
	Trickle      Behavior = "trickle"       // writes orders at 1,000 bytes every 40 ms, and reads the answers
	ManyFields   Behavior = "many-fields"   // stops within a request that has very many short fields
	Unread       Behavior = "unread"        // writes whole orders one after the other, and reads no answer
	UnreadObject Behavior = "unread-object" // asks for objects one after the other, and reads no answer
	Unsound      Behavior = "unsound"       // writes requests with an invalid id at full speed, and reads the answers
	Sound        Behavior = "sound"         // writes valid requests at full speed, and reads the answers
	UnknownClass Behavior = "unknown-class" // writes requests of classes that do not exist at full speed, each of a new name
	Cancels      Behavior = "cancels"       // writes cancel messages at full speed
	Reconnect    Behavior = "reconnect"     // closes its connection behind some requests, and connects again
)

// Spec describes a crowd.
type Spec struct {
	Addr     string // of the gateway
	Behavior Behavior
	Clients  int
	Seed     uint64 // distinguishes the ids of this crowd's requests from those of other crowds of the process
}

const (
	orderBytes      = 48_000 // of the body of an order, the most that the protocol allows
	missingBytes    = 1_000  // of an order that stops before its end
	trickleBytes    = 1_000
	trickleInterval = 40 * time.Millisecond
	redialInterval  = 50 * time.Millisecond // after a failed connect
	startSpread     = time.Millisecond      // between the starts of two clients
	closeCrossing   = 50 * time.Millisecond // a request that crosses the close of its connection within this time is sent again
)

var errNoAnswer = errors.New("no answer")

// Crowd is a running crowd.
type Crowd struct {
	spec   Spec
	cancel context.CancelFunc
	done   sync.WaitGroup
	txn    atomic.Uint64

	connections, ended, completed, answered, late, cut atomic.Int64
}

// Counts is what a crowd has done and seen.
type Counts struct {
	Connections int64 // connections that were established
	Ended       int64 // of these, those that the gateway closed
	Completed   int64 // requests that were written completely
	Answered    int64 // answers that were read, of behaviors that read them one by one
	Late        int64 // answers to trickled orders that came after the order's time limit
	Cut         int64 // trickled orders that were written completely and whose connection ended without an answer
}

// Counts returns what the crowd has done and seen so far.
func (c *Crowd) Counts() Counts {
	return Counts{Connections: c.connections.Load(), Ended: c.ended.Load(), Completed: c.completed.Load(), Answered: c.answered.Load(),
		Late: c.late.Load(), Cut: c.cut.Load()}
}

// Start starts a crowd, each client on a goroutine of its own. A client whose connection ends connects again.
func Start(spec Spec) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{spec: spec, cancel: cancel}
	for i := range spec.Clients {
		c.done.Go(func() {
			if !sleep(ctx, time.Duration(i)*startSpread) {
				return
			}
			c.run(ctx, i)
		})
	}
	return c
}

// Stop ends the crowd: it closes all connections and waits until its goroutines have ended.
func (c *Crowd) Stop() {
	c.cancel()
	c.done.Wait()
}

// run plays one client until ctx ends.
func (c *Crowd) run(ctx context.Context, index int) {
	for ctx.Err() == nil {
		conn, err := loopback.DialTimeout(c.spec.Addr, time.Second)
		if err != nil {
			sleep(ctx, redialInterval)
			continue
		}
		c.connections.Add(1)
		stop := context.AfterFunc(ctx, func() { loopback.Close(conn) })
		err = c.play(ctx, conn, index)
		if stop() {
			loopback.Close(conn)
			if err != nil {
				c.ended.Add(1)
			}
		}
	}
}

// play plays one connection. An error says that the connection has ended; nil, that the client ends it.
func (c *Crowd) play(ctx context.Context, conn net.Conn, index int) error {
	switch c.spec.Behavior {
	case Halfway:
		message := c.order()
		return writeAndWait(conn, message[:len(message)-missingBytes])
	case ManyFields:
		return writeAndWait(conn, manyFields())
	case Trickle:
		return c.trickle(ctx, conn)
	case Unread:
		return c.writeAll(conn, c.order)
	case UnreadObject:
		return c.writeAll(conn, c.image)
	case Unsound:
		go discard(conn)
		return writeForever(conn, repeat(unsoundRequest()))
	case Sound:
		go discard(conn)
		return c.flood(conn, c.image)
	case UnknownClass:
		go discard(conn)
		return c.flood(conn, c.unknownClass)
	case Cancels:
		return writeForever(conn, repeat([]byte("\x93\x02\xadcancelRequest\x91\x01")))
	case Reconnect:
		return c.closeBehindRequests(ctx, conn)
	}
	return fmt.Errorf("crowd: unknown behavior %q of client %d", c.spec.Behavior, index)
}

// writeAndWait writes a part of a message and waits until the connection ends.
func writeAndWait(conn net.Conn, part []byte) error {
	if _, err := conn.Write(part); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	if err == nil {
		err = io.EOF
	}
	return err
}

// writeAll writes messages one after the other and reads nothing.
func (c *Crowd) writeAll(conn net.Conn, message func() []byte) error {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(16 << 10) // a larger buffer would let the kernel read ahead of the client
	}
	for {
		if _, err := conn.Write(message()); err != nil {
			return err
		}
		c.completed.Add(1)
	}
}

// flood writes messages at full speed, many to a write.
func (c *Crowd) flood(conn net.Conn, message func() []byte) error {
	const perWrite = 256
	for {
		var b []byte
		for range perWrite {
			b = append(b, message()...)
		}
		if _, err := conn.Write(b); err != nil {
			return err
		}
		c.completed.Add(perWrite)
	}
}

// trickle writes orders slowly and reads the answer to each before it begins the next.
func (c *Crowd) trickle(ctx context.Context, conn net.Conn) error {
	answers, ended := make(chan struct{}, 1), make(chan error, 1)
	go func() {
		for reader := rpc.NewReader(conn); ; answers <- struct{}{} {
			if _, err := reader.Next(); err != nil {
				ended <- err
				return
			}
		}
	}()
	for {
		if err := c.trickleOrder(ctx, conn, ended); err != nil || ctx.Err() != nil {
			return err
		}
		c.completed.Add(1)
		sentAt := time.Now()
		select {
		case <-answers:
			c.answered.Add(1)
			if time.Since(sentAt) > orderLimit+answerSlack {
				c.late.Add(1)
			}
		case err := <-ended:
			if ctx.Err() == nil && time.Since(sentAt) > closeCrossing {
				c.cut.Add(1)
			}
			return err
		case <-time.After(2 * orderLimit):
			c.late.Add(1)
			return errNoAnswer
		}
	}
}

// trickleOrder writes an order in small pieces, until the connection ends.
func (c *Crowd) trickleOrder(ctx context.Context, conn net.Conn, ended <-chan error) error {
	for message := c.order(); len(message) > 0; {
		n := min(trickleBytes, len(message))
		if _, err := conn.Write(message[:n]); err != nil {
			return err
		}
		message = message[n:]
		if len(message) == 0 {
			return nil
		}
		select {
		case err := <-ended:
			return err
		case <-ctx.Done():
			return nil
		case <-time.After(trickleInterval):
		}
	}
	return nil
}

// closeBehindRequests writes some requests and closes the connection at once.
func (c *Crowd) closeBehindRequests(ctx context.Context, conn net.Conn) error {
	const requests = 20
	var b []byte
	for range requests {
		b = append(b, c.image()...)
	}
	if _, err := conn.Write(b); err != nil {
		return err
	}
	c.completed.Add(requests)
	sleep(ctx, time.Millisecond)
	return nil
}

// writeForever writes the same bytes again and again.
func writeForever(conn net.Conn, b []byte) error {
	for {
		if _, err := conn.Write(b); err != nil {
			return err
		}
	}
}

// discard reads a connection to its end.
func discard(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// sleep waits for d and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
